//! Lists of a team's work and of workers, collected from all owners. The work of shards without an owner is read from
//! the table.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{Call, PAGE_LIMIT_MAX, Reply, Request, WorkerState};
use shallotpost_protocol::table::{self, Row};
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::{self, Record, State, Status};

use super::{REQUEST_TIMEOUT, Router, send_request};
use crate::prelude::*;

/// Attempt number of forwarded list requests; each host is asked once.
const ATTEMPT: Attempt = 1;

/// A source of entries of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    /// The shards that a host owns.
    Host(HostId),
    /// The records of a shard without an owner.
    Records(Shard),
}

/// A scan in flight of the records of a shard without an owner.
pub struct RecordScan {
    id: RequestId,
    shard: Shard,
    prefix: String,
}

/// A list request in progress.
pub struct Listing {
    pub origin: Origin,
    limit: usize,
    deadline: Instant,
    /// Parts that are not complete yet.
    pending: Vec<Part>,
    entries: Entries,
    more: bool,
}

/// Entries received so far, sorted by name.
enum Entries {
    Work(BTreeMap<WorkName, Status>),
    Workers(BTreeMap<WorkerId, WorkerState>),
}

impl Entries {
    fn len(&self) -> usize {
        match self {
            Entries::Work(entries) => entries.len(),
            Entries::Workers(entries) => entries.len(),
        }
    }

    /// Adds the entries of a reply. Returns whether the sender has more entries, or `None` if the reply has another
    /// type.
    fn add(&mut self, reply: Reply) -> Option<bool> {
        match (self, reply) {
            (Entries::Work(known), Reply::Work { entries, more }) => {
                known.extend(entries.into_iter().map(|status| (status.work.name.clone(), status)));
                Some(more)
            }
            (Entries::Workers(known), Reply::Workers { entries, more }) => {
                known.extend(entries.into_iter().map(|state| (state.worker.clone(), state)));
                Some(more)
            }
            _ => None,
        }
    }

    fn into_reply(self, limit: usize, more: bool) -> Reply {
        let more = more || self.len() > limit;
        match self {
            Entries::Work(entries) => {
                Reply::Work { entries: entries.into_values().take(limit).collect(), more }
            }
            Entries::Workers(entries) => {
                Reply::Workers { entries: entries.into_values().take(limit).collect(), more }
            }
        }
    }
}

impl Router {
    /// Starts a list request: asks every host that owns a shard, and scans the records of shards without an owner. A
    /// forwarded request is answered from the shards of this host alone.
    pub(super) fn list(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: Identity,
        call: Call,
    ) {
        let (entries, limit, records) = match &call.request {
            Request::List { team, after, limit } => {
                (Entries::Work(BTreeMap::new()), *limit, Some((team.clone(), after.clone())))
            }
            Request::Workers { limit, .. } => (Entries::Workers(BTreeMap::new()), *limit, None),
            _ => return,
        };
        let limit = limit.clamp(1, PAGE_LIMIT_MAX);
        let id = self.new_id();
        let forwarded = matches!(origin, Origin::Peer { .. });
        let peers = self.peer_list.peers.iter().filter(|peer| {
            !forwarded && peer.last_pong.as_ref().is_some_and(|(_, pong)| !pong.shards.is_empty())
        });
        let peers: Vec<HostId> = peers.map(|peer| peer.host.clone()).collect();
        for host in &peers {
            let frame = Frame::Forward { request: id, attempt: ATTEMPT, call: call.clone() };
            context.send(ServiceName::Membership, Message::SendFrame { to: host.clone(), frame });
        }
        send_request(context, ServiceName::Scheduler, Origin::Client(id), identity, call.request);
        let hosts = peers.into_iter().chain([self.settings.host.clone()]).map(Part::Host);
        let unowned = match &records {
            Some(_) if !forwarded => self.unowned_shards(),
            _ => Vec::new(),
        };
        if let Some((team, after)) = records {
            unowned.iter().for_each(|shard| {
                let prefix = format!("{}{team}/", work::prefix(shard));
                let after = format!("{prefix}{after}");
                self.scan_records(context, id, shard.clone(), prefix, after, limit);
            });
        }
        let pending = hosts.chain(unowned.into_iter().map(Part::Records)).collect();
        let deadline = context.now + REQUEST_TIMEOUT;
        let listing = Listing { origin, limit, deadline, pending, entries, more: false };
        self.listings.insert(id, listing);
    }

    fn scan_records(
        &mut self,
        context: &mut Context,
        id: RequestId,
        shard: Shard,
        prefix: String,
        after: String,
        limit: usize,
    ) {
        let scan = table::Request::Scan { prefix: prefix.clone(), after, limit };
        let call = context.call_table(scan, self.settings.table_timeout);
        self.scans.insert(call, RecordScan { id, shard, prefix });
    }

    pub(super) fn on_host_part(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: &HostId,
        result: Result<Reply, Problem>,
    ) {
        let part = Part::Host(host.clone());
        match result {
            _ if !self.is_pending(id, &part) => {}
            Ok(reply) => self.add_part(context, id, &part, reply, true),
            Err(problem) => self.fail_listing(context, id, problem),
        }
    }

    /// Handles a page of records of a shard without an owner.
    pub(super) fn on_record_scan(
        &mut self,
        context: &mut Context,
        scan: RecordScan,
        result: Result<table::Reply, Failure>,
    ) {
        let RecordScan { id, shard, prefix } = scan;
        let part = Part::Records(shard.clone());
        let Some(limit) = self.listings.get(&id).map(|listing| listing.limit) else { return };
        match result {
            Ok(table::Reply::Rows { rows, more }) => {
                let entries: Vec<Status> = rows.iter().filter_map(unended_status).collect();
                // A page may yield fewer entries than rows, because records of ended work are skipped.
                let next = rows.last().filter(|_| more && entries.len() < limit);
                let reply = Reply::Work { entries, more: more && next.is_none() };
                self.add_part(context, id, &part, reply, next.is_none());
                if let Some(last) = next {
                    self.scan_records(context, id, shard, prefix, last.key.clone(), limit);
                }
            }
            _ => self.fail_listing(context, id, incomplete(&part)),
        }
    }

    fn is_pending(&self, id: RequestId, part: &Part) -> bool {
        self.listings.get(&id).is_some_and(|listing| listing.pending.contains(part))
    }

    /// Adds entries of a part, and answers the request once every part is complete.
    fn add_part(
        &mut self,
        context: &mut Context,
        id: RequestId,
        part: &Part,
        reply: Reply,
        complete: bool,
    ) {
        let Some(listing) = self.listings.get_mut(&id) else { return };
        let Some(more) = listing.entries.add(reply) else {
            return self.fail_listing(context, id, incomplete(part));
        };
        listing.more |= more;
        if complete {
            listing.pending.retain(|pending| pending != part);
        }
        if listing.pending.is_empty() {
            self.finish_listing(context, id);
        }
    }

    pub(super) fn check_listings(&mut self, context: &mut Context) {
        let expired = self.listings.iter().filter(|(_, listing)| context.now >= listing.deadline);
        let expired: Vec<(RequestId, Option<Part>)> =
            expired.map(|(id, listing)| (*id, listing.pending.first().cloned())).collect();
        for (id, part) in expired {
            let problem = part.map_or_else(list_timed_out, |part| incomplete(&part));
            self.fail_listing(context, id, problem);
        }
    }

    fn finish_listing(&mut self, context: &mut Context, id: RequestId) {
        let Some(listing) = self.listings.remove(&id) else { return };
        let reply = listing.entries.into_reply(listing.limit, listing.more);
        self.reply(context, &listing.origin, Ok(reply));
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

fn list_timed_out() -> Problem {
    Problem::new(ProblemKind::Unavailable, "The list was not complete in time.")
}

/// Returns the status of unended work from its record, without tasks; `None` if the work has ended or the record cannot
/// be parsed.
fn unended_status(row: &Row) -> Option<Status> {
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
