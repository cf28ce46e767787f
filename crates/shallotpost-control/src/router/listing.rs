//! Lists of a team's work and of workers, gathered from every owner. The work of shards without an owner comes from the table.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{Call, PAGE_LIMIT_MAX, Reply, Request, WorkerState};
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

/// An open scan of the records of a shard without an owner.
pub struct RecordScan {
    id: RequestId,
    shard: Shard,
    prefix: String,
}

/// An open list request.
pub struct Listing {
    /// Where the answer goes.
    pub origin: Origin,
    limit: usize,
    deadline: Instant,
    missing: Vec<Part>,
    entries: Entries,
    more: bool,
}

/// What has come so far, by name.
enum Entries {
    /// Work.
    Work(BTreeMap<WorkName, Status>),
    /// Workers.
    Workers(BTreeMap<WorkerId, WorkerState>),
}

impl Entries {
    fn len(&self) -> usize {
        match self {
            Entries::Work(entries) => entries.len(),
            Entries::Workers(entries) => entries.len(),
        }
    }

    /// Adds a part of a list; returns whether more follow, and nothing where the reply is no such part.
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
    /// Asks every host that owns a shard.
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
        let peers = self.fleet.peers.iter().filter(|peer| {
            !forwarded && peer.last_pong.as_ref().is_some_and(|(_, pong)| !pong.shards.is_empty())
        });
        let peers: Vec<HostId> = peers.map(|peer| peer.host.clone()).collect();
        for host in &peers {
            let frame = Frame::Forward { request: id, attempt: ATTEMPT, call: call.clone() };
            context.send(ServiceName::Membership, Message::SendFrame { to: host.clone(), frame });
        }
        ask(context, ServiceName::Scheduler, Origin::Client(id), identity, call.request);
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
        let missing = hosts.chain(unowned.into_iter().map(Part::Records)).collect();
        let deadline = context.now + ANSWER_BOUND;
        let listing = Listing { origin, limit, deadline, missing, entries, more: false };
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
            _ if !self.is_missing(id, &part) => {}
            Ok(reply) => self.add_part(context, id, &part, reply, true),
            Err(problem) => self.fail_listing(context, id, problem),
        }
    }

    /// Takes a page of records of a shard without an owner.
    pub(super) fn scanned(
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
                let entries: Vec<Status> = rows.iter().filter_map(open_status).collect();
                // A page may hold fewer entries than rows, because records of ended work are left out.
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

    fn is_missing(&self, id: RequestId, part: &Part) -> bool {
        self.listings.get(&id).is_some_and(|listing| listing.missing.contains(part))
    }

    /// Adds entries of a part; answers once every part is complete.
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
            listing.missing.retain(|missing| missing != part);
        }
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
