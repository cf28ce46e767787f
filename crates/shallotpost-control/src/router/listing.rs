//! Lists of a team's work, gathered from every owner.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{Call, PAGE_LIMIT_MAX, Reply, Request};
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::Status;

use super::{ANSWER_BOUND, Router, ask};
use crate::prelude::*;

/// Attempt number of the forwards of a listing; each host is asked once.
const ATTEMPT: Attempt = 1;

/// An open list request.
pub struct Listing {
    /// Where the answer goes.
    pub origin: Origin,
    limit: usize,
    deadline: Instant,
    missing: Vec<HostId>,
    entries: BTreeMap<String, Status>,
    more: bool,
}

impl Router {
    /// Asks every host that owns a shard.
    pub(super) fn list(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: Identity,
        call: Call,
    ) {
        let limit = match &call.request {
            Request::List { limit, .. } => (*limit).clamp(1, PAGE_LIMIT_MAX),
            _ => PAGE_LIMIT_MAX,
        };
        let id = self.new_id();
        let forwarded = matches!(origin, Origin::Peer { .. });
        let peers = self.fleet.peers.iter().filter(|peer| {
            !forwarded && peer.answered.as_ref().is_some_and(|(_, pong)| !pong.shards.is_empty())
        });
        let peers: Vec<HostId> = peers.map(|peer| peer.host.clone()).collect();
        for host in &peers {
            let frame = Frame::Forward { request: id, attempt: ATTEMPT, call: call.clone() };
            context.send(Name::Membership, Message::Send { to: host.clone(), frame });
        }
        ask(context, Name::Scheduler, Origin::Caller(id), identity, call.request);
        let missing = peers.into_iter().chain([self.settings.host.clone()]).collect();
        let deadline = context.now + ANSWER_BOUND;
        let listing =
            Listing { origin, limit, deadline, missing, entries: BTreeMap::new(), more: false };
        self.listings.insert(id, listing);
    }

    /// Takes the part of one host; answers once every part has come.
    pub(super) fn listed(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: &HostId,
        result: Result<Reply, Problem>,
    ) {
        let Some(listing) = self.listings.get_mut(&id) else { return };
        let expected = listing.missing.iter().position(|missing| missing == host);
        match (expected, result) {
            (None, _) => {}
            (Some(position), Ok(Reply::Work { entries, more })) => {
                listing.missing.swap_remove(position);
                listing.more |= more;
                listing
                    .entries
                    .extend(entries.into_iter().map(|status| (status.work.name.clone(), status)));
                if listing.missing.is_empty() {
                    self.finish_listing(context, id);
                }
            }
            (Some(_), Ok(_)) => self.fail_listing(context, id, incomplete(host)),
            (Some(_), Err(problem)) => self.fail_listing(context, id, problem),
        }
    }

    pub(super) fn check_listings(&mut self, context: &mut Context) {
        let late = self.listings.iter().filter(|(_, listing)| context.now >= listing.deadline);
        let late: Vec<(RequestId, HostId)> = late
            .map(|(id, listing)| (*id, listing.missing.first().cloned().unwrap_or_default()))
            .collect();
        for (id, host) in late {
            self.fail_listing(context, id, incomplete(&host));
        }
    }

    fn finish_listing(&mut self, context: &mut Context, id: RequestId) {
        let Some(listing) = self.listings.remove(&id) else { return };
        let more = listing.more || listing.entries.len() > listing.limit;
        let entries = listing.entries.into_values().take(listing.limit).collect();
        self.reply(context, &listing.origin, Ok(Reply::Work { entries, more }));
    }

    fn fail_listing(&mut self, context: &mut Context, id: RequestId, problem: Problem) {
        if let Some(listing) = self.listings.remove(&id) {
            self.reply(context, &listing.origin, Err(problem));
        }
    }
}

fn incomplete(host: &str) -> Problem {
    let message = format!(
        "The entry host {host:?} did not send its part of the list, so the list would be incomplete."
    );
    Problem::new(ProblemKind::Unavailable, message)
}
