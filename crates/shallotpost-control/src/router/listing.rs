//! Lists of a team's work, gathered from every owner, and from the table for shards without an owner.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{Call, PAGE_LIMIT_MAX, Reply, Request};
use shallotpost_protocol::table::{self, Row};
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::{self, Record, State, Status};

use super::{ANSWER_BOUND, Router, ask};
use crate::prelude::*;

/// Attempt number of the forwards of a listing; each host is asked once.
const ATTEMPT: Attempt = 1;

/// A part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    /// The work of the shards that a host owns.
    Host(HostId),
    /// The records of a shard without an owner.
    Records(Shard),
}

/// An open list request.
pub struct Listing {
    /// Where the answer goes.
    pub origin: Origin,
    limit: usize,
    deadline: Instant,
    missing: Vec<Part>,
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
        let Request::List { team, after, limit } = call.request.clone() else { return };
        let limit = limit.clamp(1, PAGE_LIMIT_MAX);
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
        let hosts = peers.into_iter().chain([self.settings.host.clone()]).map(Part::Host);
        let unowned = if forwarded { Vec::new() } else { self.unowned_shards() };
        for shard in &unowned {
            let prefix = format!("{}{team}/", work::prefix(shard));
            let after = format!("{prefix}{after}");
            let scan = table::Request::Scan { prefix, after, limit };
            let scan = context.call_table(scan, self.settings.table_timeout);
            self.scans.insert(scan, (id, shard.clone()));
        }
        let missing = hosts.chain(unowned.into_iter().map(Part::Records)).collect();
        let deadline = context.now + ANSWER_BOUND;
        let listing =
            Listing { origin, limit, deadline, missing, entries: BTreeMap::new(), more: false };
        self.listings.insert(id, listing);
    }

    /// Takes the part of one host.
    pub(super) fn listed(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: &HostId,
        result: Result<Reply, Problem>,
    ) {
        let part = Part::Host(host.clone());
        match result {
            Ok(Reply::Work { entries, more }) => self.add_part(context, id, &part, entries, more),
            _ if !self.is_missing(id, &part) => {}
            Ok(_) => self.fail_listing(context, id, incomplete(&part)),
            Err(problem) => self.fail_listing(context, id, problem),
        }
    }

    /// Takes the records of a shard without an owner.
    pub(super) fn scanned(
        &mut self,
        context: &mut Context,
        id: RequestId,
        shard: Shard,
        result: Result<table::Reply, Failure>,
    ) {
        let part = Part::Records(shard);
        match result {
            Ok(table::Reply::Rows { rows, more }) => {
                let entries = rows.iter().filter_map(open_status).collect();
                self.add_part(context, id, &part, entries, more);
            }
            _ => self.fail_listing(context, id, incomplete(&part)),
        }
    }

    fn is_missing(&self, id: RequestId, part: &Part) -> bool {
        self.listings.get(&id).is_some_and(|listing| listing.missing.contains(part))
    }

    /// Adds a part that was still missing; answers once every part has come.
    fn add_part(
        &mut self,
        context: &mut Context,
        id: RequestId,
        part: &Part,
        entries: Vec<Status>,
        more: bool,
    ) {
        let Some(listing) = self.listings.get_mut(&id) else { return };
        let Some(position) = listing.missing.iter().position(|missing| missing == part) else {
            return;
        };
        listing.missing.swap_remove(position);
        listing.more |= more;
        listing
            .entries
            .extend(entries.into_iter().map(|status| (status.work.name.clone(), status)));
        if listing.missing.is_empty() {
            self.finish_listing(context, id);
        }
    }

    pub(super) fn check_listings(&mut self, context: &mut Context) {
        let late = self.listings.iter().filter(|(_, listing)| context.now >= listing.deadline);
        let late: Vec<(RequestId, Option<Part>)> =
            late.map(|(id, listing)| (*id, listing.missing.first().cloned())).collect();
        for (id, part) in late {
            let problem = part.map_or_else(late_list, |part| incomplete(&part));
            self.fail_listing(context, id, problem);
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

fn incomplete(part: &Part) -> Problem {
    let message = match part {
        Part::Host(host) => format!("The entry host {host:?} did not send its part of the list."),
        Part::Records(shard) => {
            format!("The records of the shard {shard}, which has no owner, cannot be read.")
        }
    };
    Problem::new(ProblemKind::Unavailable, message)
}

fn late_list() -> Problem {
    Problem::new(ProblemKind::Unavailable, "The list was not complete in time.")
}

/// Status of a record that has not ended, as far as the record tells.
fn open_status(row: &Row) -> Option<Status> {
    let record: Record = serde_json::from_str(&row.value).ok()?;
    match record.state {
        State::Ended(_) => None,
        state => Some(Status {
            work: record.specification.work_id(),
            class: record.specification.class,
            shard: record.shard,
            state,
            tasks: Vec::new(),
        }),
    }
}
