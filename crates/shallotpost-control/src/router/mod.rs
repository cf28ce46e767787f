//! Requests of callers: authentication, forwarding to the owner of the work, waits and answers.
//!
//! Each request is a ticket until it is answered exactly once. A ticket for one piece of work looks up the home shard, then
//! asks the local scheduler or forwards the request to the owner. A forward that gets no answer in time is sent again, to
//! whoever owns the shard by then; answers match on request id and attempt, so a late one is dropped.

mod authentication;
mod listing;
mod overview;
mod ticket;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use shallotpost_protocol::interface::{Call, Reply, Request, WAIT_MAX};
use shallotpost_protocol::resource::Right;
use shallotpost_protocol::table;
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::work::{Outcome, Record, Registration, State, Status};

use crate::admission;
use crate::configuration::Snapshot;
use crate::membership::PeerList;
use crate::prelude::*;
use listing::{Listing, RecordScan};
use ticket::{Stage, Ticket};

/// Most open requests; more are refused at once.
pub const OPEN_LIMIT: usize = 4096;

/// Time to answer a request that does not wait for anything.
pub const ANSWER_BOUND: Duration = Duration::from_secs(10);

/// Longest wait that is left to the owner at a time; then the owner is looked up again.
pub const FORWARD_WAIT: Duration = Duration::from_secs(5);

/// Time after which a forwarded request counts as lost, beyond the wait that it asks for.
pub const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a lookup is tried again, for example while a shard has no owner.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval of the router's measurements.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// Most cached home shards.
const HOMES_LIMIT: usize = 20_000;

/// Time before the stop bound at which the last waits are answered with a timeout.
const STOP_MARGIN: Duration = Duration::from_secs(2);

/// Requests of this process to its own scheduler have ids from here, so that they cannot meet a caller's.
const INTERNAL: RequestId = 1 << 63;

/// Progress of a graceful shutdown.
struct Shutdown {
    bound: Instant,
    ownership: bool,
    commit: bool,
}

/// The service.
pub struct Router {
    settings: Settings,
    snapshot: Rc<Snapshot>,
    fresh_until: Option<Instant>,
    table_reachable: bool,
    fleet: Rc<PeerList>,
    loads: Vec<Load>,
    next_ticket: RequestId,
    tickets: BTreeMap<RequestId, Ticket>,
    listings: BTreeMap<RequestId, Listing>,
    /// Tickets by the table call that they wait for.
    lookups: HashMap<CallId, RequestId>,
    /// Scans of records by their table call.
    scans: HashMap<CallId, RecordScan>,
    /// Tickets that wait for work of an owned shard to end.
    waits: HashMap<WorkId, Vec<RequestId>>,
    homes: HashMap<WorkId, Shard>,
    shutdown: Option<Shutdown>,
    next_observation: Option<Instant>,
}

impl Router {
    /// A service without requests.
    pub fn new(settings: &Settings) -> Router {
        Router {
            settings: settings.clone(),
            snapshot: Rc::default(),
            fresh_until: None,
            table_reachable: false,
            fleet: Rc::default(),
            loads: Vec::new(),
            next_ticket: INTERNAL,
            tickets: BTreeMap::new(),
            listings: BTreeMap::new(),
            lookups: HashMap::new(),
            scans: HashMap::new(),
            waits: HashMap::new(),
            homes: HashMap::new(),
            shutdown: None,
            next_observation: None,
        }
    }

    /// Handles one message.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Request { request, call } => {
                self.receive(context, Origin::Client(request), call)
            }
            Message::Abandoned { request } => self.abandon(&Origin::Client(request)),
            Message::Answer { origin: Origin::Client(id), result } if id >= INTERNAL => {
                self.internal_answer(context, id, result);
            }
            Message::Answer { origin, result } => self.reply(context, &origin, result),
            Message::PeerFrame { from, frame } => self.peer(context, from, frame),
            Message::TableResult { call, result } => self.table(context, call, result),
            Message::WorkEnded { work, outcome } => self.ended(context, &work, &outcome),
            Message::WorkMoved { work, shard } => self.moved(context, work, shard),
            Message::Snapshot(snapshot) => self.snapshot = snapshot,
            Message::ConfigurationLease { until } => self.fresh_until = Some(until),
            Message::TableReachable(reachable) => self.table_reachable = reachable,
            Message::PeerList(fleet) => self.fleet = fleet,
            Message::ShardLoads(loads) => self.take_loads(context, loads),
            Message::Stop => self.stop(context),
            Message::Drained(name) => self.drained(name),
            Message::Tick => self.tick(context),
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context, origin: Origin, call: Call) {
        match self.dispatch(context, &origin, call) {
            Ok(()) => {}
            Err(problem) => self.reply(context, &origin, Err(problem)),
        }
    }

    fn dispatch(
        &mut self,
        context: &mut Context,
        origin: &Origin,
        call: Call,
    ) -> Result<(), Problem> {
        if call.request == Request::Ready {
            return self
                .readiness(context.now)
                .map(|()| self.reply(context, origin, Ok(Reply::Ready)));
        }
        let identity = self.authenticate(context, &call.key)?;
        if self.tickets.len() + self.listings.len() >= OPEN_LIMIT {
            return Err(Problem::new(
                ProblemKind::Overloaded,
                format!("{OPEN_LIMIT} requests are open."),
            ));
        }
        authentication::check_right(&identity, &call.request)?;
        match &call.request {
            Request::Status(work) | Request::Explain(work) | Request::Cancel(work) => {
                let work = work.clone();
                self.open(context, origin.clone(), identity, call, work, ANSWER_BOUND);
            }
            Request::Wait { work, wait } => {
                let (work, wait) = (work.clone(), (*wait).min(WAIT_MAX));
                self.open(context, origin.clone(), identity, call, work, wait);
            }
            Request::List { .. } | Request::Workers { .. } => {
                self.list(context, origin.clone(), identity, call);
            }
            Request::Object { .. } => self.reply(context, origin, Ok(Reply::Allowed)),
            Request::Overview => {
                let overview = self.overview(context.now);
                self.reply(context, origin, Ok(Reply::Overview(overview)));
            }
            Request::Submit(_) => {
                ask(context, ServiceName::Admission, origin.clone(), identity, call.request)
            }
            _ => ask(context, ServiceName::Configuration, origin.clone(), identity, call.request),
        }
        Ok(())
    }

    /// Sends the answer to where the request came from.
    fn reply(&self, context: &mut Context, origin: &Origin, result: Result<Reply, Problem>) {
        match origin.clone() {
            Origin::Client(request) => context.effects.push(Effect::Answer { request, result }),
            Origin::Peer { host, request, attempt } => {
                let frame = Frame::ForwardReply { request, attempt, result };
                context.send(ServiceName::Membership, Message::SendFrame { to: host, frame });
            }
        }
    }

    fn abandon(&mut self, origin: &Origin) {
        self.tickets.retain(|_, ticket| ticket.origin != *origin);
        self.listings.retain(|_, listing| listing.origin != *origin);
    }

    fn peer(&mut self, context: &mut Context, from: HostId, frame: Frame) {
        match frame {
            Frame::Forward { request, attempt, call } => {
                self.receive(context, Origin::Peer { host: from, request, attempt }, call);
            }
            Frame::ForwardReply { request, attempt, result } => {
                self.forwarded(context, &from, request, attempt, result);
            }
            _ => {}
        }
    }

    fn table(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<table::Reply, Failure>,
    ) {
        if let Some(scan) = self.scans.remove(&call) {
            return self.scanned(context, scan, result);
        }
        let Some(id) = self.lookups.remove(&call) else { return };
        let row = match result {
            Ok(table::Reply::Rows { rows, .. }) => rows.into_iter().next().map(|row| row.value),
            _ => return self.pause(context, id),
        };
        match self.tickets.get(&id).map(|ticket| &ticket.stage) {
            Some(Stage::Registration) => self.registered(context, id, row),
            Some(Stage::Record) => self.recorded(context, id, row),
            _ => {}
        }
    }

    fn registered(&mut self, context: &mut Context, id: RequestId, row: Option<String>) {
        let registration: Option<Registration> =
            row.and_then(|row| serde_json::from_str(&row).ok());
        let Some(work) = self.tickets.get(&id).map(|ticket| ticket.work.clone()) else { return };
        match registration {
            Some(registration) => {
                self.remember_home(work, registration.shard);
                self.resolve(context, id);
            }
            None => self.finish_unknown(context, id, &work),
        }
    }

    /// Answers that there is no such work, or, to a key of another team, that it may not ask.
    fn finish_unknown(&mut self, context: &mut Context, id: RequestId, work: &WorkId) {
        let Some(ticket) = self.tickets.get(&id) else { return };
        let problem = match acts_for(&ticket.identity, &work.team) {
            true => not_found(work),
            false => forbidden(&ticket.identity),
        };
        self.finish(context, id, Err(problem));
    }

    fn recorded(&mut self, context: &mut Context, id: RequestId, row: Option<String>) {
        let record: Option<Record> = row.and_then(|row| serde_json::from_str(&row).ok());
        let Some(ticket) = self.tickets.get(&id) else { return };
        let work = ticket.work.clone();
        let forbidden = record.as_ref().is_some_and(|record| {
            !acts_for(&ticket.identity, &work.team) && record.submitter != ticket.identity.key
        });
        if forbidden {
            return self.finish_unknown(context, id, &work);
        }
        match (record, &ticket.call.request) {
            (Some(Record { state: State::Ended(outcome), .. }), Request::Wait { .. }) => {
                self.finish(context, id, Ok(Reply::Outcome(outcome)));
            }
            (Some(record), Request::Status(_)) => {
                let status = Status {
                    work,
                    class: record.specification.class,
                    shard: record.shard,
                    state: record.state,
                    tasks: Vec::new(),
                };
                self.finish(context, id, Ok(Reply::Status(status)));
            }
            (Some(Record { state: State::Ended(_), .. }), Request::Cancel(_)) => {
                self.finish(context, id, Ok(Reply::Cancelling));
            }
            // The record exists, but its owner has not loaded it yet.
            (Some(_), _) => self.pause(context, id),
            // The work may have moved since its home was read. Where it is gone, the next read finds no registration.
            (None, _) => {
                self.homes.remove(&work);
                self.pause(context, id);
            }
        }
    }

    /// Lets the requests that wait for the end of moved work go on at its new home.
    fn moved(&mut self, context: &mut Context, work: WorkId, shard: Shard) {
        let waiting = self.waits.remove(&work).unwrap_or_default();
        self.remember_home(work, shard);
        waiting.into_iter().for_each(|id| self.resolve(context, id));
    }

    fn ended(&mut self, context: &mut Context, work: &WorkId, outcome: &Rc<Outcome>) {
        for id in self.waits.remove(work).unwrap_or_default() {
            self.finish(context, id, Ok(Reply::Outcome(outcome.as_ref().clone())));
        }
    }

    fn remember_home(&mut self, work: WorkId, shard: Shard) {
        if self.homes.len() >= HOMES_LIMIT {
            self.homes.clear();
        }
        self.homes.insert(work, shard);
    }

    fn tick(&mut self, context: &mut Context) {
        self.check_tickets(context);
        self.check_listings(context);
        self.check_shutdown(context);
        self.observe(context);
    }

    fn take_loads(&mut self, context: &mut Context, loads: Vec<Load>) {
        let lost =
            self.loads.iter().filter(|load| !loads.iter().any(|other| other.shard == load.shard));
        lost.for_each(|load| context.observe(Observation::ShardLost(load.shard.clone())));
        loads.iter().for_each(|load| context.observe(Observation::Shard(load.clone())));
        self.loads = loads;
    }

    fn observe(&mut self, context: &mut Context) {
        if self.next_observation.is_some_and(|next| context.now < next) {
            return;
        }
        self.next_observation = Some(context.now + OBSERVATION_INTERVAL);
        let lease_left = self
            .fresh_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(context.now));
        context
            .observe(Observation::Configuration { revision: self.snapshot.revision, lease_left });
        context.observe(Observation::TableReachable(self.table_reachable));
    }

    fn readiness(&self, now: Instant) -> Result<(), Problem> {
        match self.fresh_until {
            _ if self.shutdown.is_some() => {
                Err(Problem::new(ProblemKind::Draining, "This entry host is shutting down."))
            }
            Some(until) if now < until => Ok(()),
            _ => Err(stale()),
        }
    }

    fn stop(&mut self, context: &mut Context) {
        let bound = context.now + self.settings.stop_bound;
        self.shutdown.get_or_insert(Shutdown { bound, ownership: false, commit: false });
    }

    fn drained(&mut self, name: ServiceName) {
        match (&mut self.shutdown, name) {
            (Some(shutdown), ServiceName::Ownership) => shutdown.ownership = true,
            (Some(shutdown), ServiceName::Commit) => shutdown.commit = true,
            _ => {}
        }
    }

    fn check_shutdown(&mut self, context: &mut Context) {
        let Some(shutdown) = &self.shutdown else { return };
        let complete = shutdown.ownership && shutdown.commit;
        let late = context.now >= shutdown.bound;
        if context.now + STOP_MARGIN >= shutdown.bound {
            self.time_out_all(context);
        }
        if late || (complete && self.tickets.is_empty() && self.listings.is_empty()) {
            context.effects.push(Effect::Stopped);
        }
    }

    fn time_out_all(&mut self, context: &mut Context) {
        let open: Vec<RequestId> = self.tickets.keys().copied().collect();
        open.into_iter().for_each(|id| self.time_out(context, id));
    }

    fn owner(&self, shard: &Shard) -> Option<HostId> {
        admission::known_owner(&self.fleet, &self.loads, &self.settings.host, shard)
    }

    fn new_id(&mut self) -> RequestId {
        self.next_ticket += 1;
        self.next_ticket
    }
}

fn ask(
    context: &mut Context,
    to: ServiceName,
    origin: Origin,
    identity: Identity,
    request: Request,
) {
    context.send(to, Message::AuthenticatedRequest { origin, identity, request });
}

fn not_found(work: &WorkId) -> Problem {
    Problem::new(ProblemKind::NotFound, format!("No work {work} is recorded."))
}

fn forbidden(identity: &Identity) -> Problem {
    let message = format!("The key {:?} does not allow this request.", identity.key);
    Problem::new(ProblemKind::Forbidden, message)
}

fn stale() -> Problem {
    let message =
        "This entry host could not confirm its configuration in time, so it may not accept keys.";
    Problem::new(ProblemKind::StaleConfiguration, message)
}

/// Whether the identity may act for the team.
fn acts_for(identity: &Identity, team: &str) -> bool {
    match &identity.right {
        Right::Operator => true,
        Right::Team(own) => own == team,
    }
}
