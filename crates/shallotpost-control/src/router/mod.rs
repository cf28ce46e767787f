//! Routing of requests: authentication, forwarding to the owner of the work, waits and answers.
//!
//! Each request is answered exactly once. For a request that concerns one piece of work, the router looks up the home
//! shard, then asks the local scheduler or forwards the request to the owner. If no answer arrives in time, it looks up
//! the owner again and repeats the request. Answers are matched by request id and attempt, so late ones are ignored.

mod authentication;
mod listing;
mod overview;
mod pending;

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
use pending::{PendingRequest, Stage};

/// Maximum number of unanswered requests; further ones are refused immediately.
pub const REQUESTS_MAX: usize = 4096;

/// Timeout of a request that does not ask to wait.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum wait that is forwarded to the owner at a time; after it, the owner is looked up again.
pub const FORWARD_WAIT_MAX: Duration = Duration::from_secs(5);

/// Time after which a forwarded request counts as lost, in addition to the wait that it requests.
pub const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a lookup is retried, for example while a shard has no owner.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between the router's observations for metrics.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of cached home shards.
const HOME_CACHE_MAX: usize = 20_000;

/// Time before the shutdown deadline at which the remaining requests are answered with a timeout.
const STOP_MARGIN: Duration = Duration::from_secs(2);

/// Requests of the router to its own scheduler have ids above this one, so that they do not collide with clients' ids.
const INTERNAL_ID_BASE: RequestId = 1 << 63;

/// Bits of such an id below those that come from the incarnation of the process.
const INTERNAL_ID_BITS: u32 = 23;

/// Returns the id before the first one of a process. Answers to the requests that an earlier process of the same host has
/// forwarded may still arrive, and must not match a request of this one.
fn id_before_first(incarnation: u64) -> RequestId {
    INTERNAL_ID_BASE | (incarnation << (INTERNAL_ID_BITS + 1)) >> 1
}

/// Progress of a graceful shutdown.
struct Shutdown {
    deadline: Instant,
    ownership_drained: bool,
    commit_drained: bool,
}

/// Service that receives all requests and sends their answers.
pub struct Router {
    settings: Settings,
    snapshot: Rc<Snapshot>,
    /// End of the configuration lease; `None` before the first confirmation.
    configuration_lease_until: Option<Instant>,
    table_reachable: bool,
    peer_list: Rc<PeerList>,
    own_loads: Vec<Load>,
    last_id: RequestId,
    requests: BTreeMap<RequestId, PendingRequest>,
    listings: BTreeMap<RequestId, Listing>,
    /// Requests by the table call that they wait for.
    lookups: HashMap<CallId, RequestId>,
    /// Scans of records, by their table call.
    scans: HashMap<CallId, RecordScan>,
    /// Requests that wait for work of an owned shard to end.
    waits: HashMap<WorkId, Vec<RequestId>>,
    /// Cached home shards.
    homes: HashMap<WorkId, Shard>,
    shutdown: Option<Shutdown>,
    next_observation: Option<Instant>,
}

impl Router {
    pub fn new(settings: &Settings) -> Router {
        Router {
            settings: settings.clone(),
            snapshot: Rc::default(),
            configuration_lease_until: None,
            table_reachable: false,
            peer_list: Rc::default(),
            own_loads: Vec::new(),
            last_id: id_before_first(settings.incarnation),
            requests: BTreeMap::new(),
            listings: BTreeMap::new(),
            lookups: HashMap::new(),
            scans: HashMap::new(),
            waits: HashMap::new(),
            homes: HashMap::new(),
            shutdown: None,
            next_observation: None,
        }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Request { request, call } => {
                self.receive(context, Origin::Client(request), call)
            }
            Message::Abandoned { request } => self.abandon(&Origin::Client(request)),
            Message::Answer { origin: Origin::Client(id), result } if id >= INTERNAL_ID_BASE => {
                self.on_scheduler_answer(context, id, result);
            }
            Message::Answer { origin, result } => self.reply(context, &origin, result),
            Message::PeerFrame { from, frame } => self.on_frame(context, from, frame),
            Message::TableResult { call, result } => self.on_table_result(context, call, result),
            Message::WorkEnded { work, outcome } => self.on_work_ended(context, &work, &outcome),
            Message::WorkMoved { work, shard } => self.on_work_moved(context, work, shard),
            Message::Snapshot(snapshot) => self.snapshot = snapshot,
            Message::ConfigurationLease { until } => self.configuration_lease_until = Some(until),
            Message::TableReachable(reachable) => self.table_reachable = reachable,
            Message::PeerList(peer_list) => self.peer_list = peer_list,
            Message::ShardLoads(loads) => self.on_loads(context, loads),
            Message::Stop => self.stop(context),
            Message::Drained(name) => self.on_drained(name),
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
        if self.requests.len() + self.listings.len() >= REQUESTS_MAX {
            return Err(Problem::new(
                ProblemKind::Overloaded,
                format!("{REQUESTS_MAX} requests are waiting for an answer."),
            ));
        }
        authentication::check_right(&identity, &call.request)?;
        match &call.request {
            Request::Status(work) | Request::Explain(work) | Request::Cancel(work) => {
                let work = work.clone();
                self.open(context, origin.clone(), identity, call, work, REQUEST_TIMEOUT);
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
            Request::Submit(_) => send_request(
                context,
                ServiceName::Admission,
                origin.clone(),
                identity,
                call.request,
            ),
            _ => send_request(
                context,
                ServiceName::Configuration,
                origin.clone(),
                identity,
                call.request,
            ),
        }
        Ok(())
    }

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
        self.requests.retain(|_, pending| pending.origin != *origin);
        self.listings.retain(|_, listing| listing.origin != *origin);
    }

    fn on_frame(&mut self, context: &mut Context, from: HostId, frame: Frame) {
        match frame {
            Frame::Forward { request, attempt, call } => {
                self.receive(context, Origin::Peer { host: from, request, attempt }, call);
            }
            Frame::ForwardReply { request, attempt, result } => {
                self.on_forward_reply(context, &from, request, attempt, result);
            }
            _ => {}
        }
    }

    fn on_table_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<table::Reply, Failure>,
    ) {
        if let Some(scan) = self.scans.remove(&call) {
            return self.on_record_scan(context, scan, result);
        }
        let Some(id) = self.lookups.remove(&call) else { return };
        let row = match result {
            Ok(table::Reply::Rows { rows, .. }) => rows.into_iter().next().map(|row| row.value),
            _ => return self.retry_later(context, id),
        };
        match self.requests.get(&id).map(|pending| &pending.stage) {
            Some(Stage::Registration) => self.on_registration(context, id, row),
            Some(Stage::Record) => self.on_record(context, id, row),
            _ => {}
        }
    }

    fn on_registration(&mut self, context: &mut Context, id: RequestId, row: Option<String>) {
        let registration: Option<Registration> =
            row.and_then(|row| serde_json::from_str(&row).ok());
        let Some(work) = self.requests.get(&id).map(|pending| pending.work.clone()) else { return };
        match registration {
            Some(registration) => {
                self.remember_home(work, registration.shard);
                self.resolve(context, id);
            }
            None => self.finish_not_found(context, id, &work),
        }
    }

    /// Answers `NotFound`, or `Forbidden` if the key may not act for the team.
    fn finish_not_found(&mut self, context: &mut Context, id: RequestId, work: &WorkId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let problem = match acts_for(&pending.identity, &work.team) {
            true => not_found(work),
            false => forbidden(&pending.identity),
        };
        self.finish(context, id, Err(problem));
    }

    fn on_record(&mut self, context: &mut Context, id: RequestId, row: Option<String>) {
        let record: Option<Record> = row.and_then(|row| serde_json::from_str(&row).ok());
        let Some(pending) = self.requests.get(&id) else { return };
        let work = pending.work.clone();
        let forbidden = record.as_ref().is_some_and(|record| {
            !acts_for(&pending.identity, &work.team) && record.submitter != pending.identity.key
        });
        if forbidden {
            return self.finish_not_found(context, id, &work);
        }
        match (record, &pending.call.request) {
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
            (Some(_), _) => self.retry_later(context, id),
            // The work may have moved since its home was read. If it was deleted, the next read finds no registration.
            (None, _) => {
                self.homes.remove(&work);
                self.retry_later(context, id);
            }
        }
    }

    /// Continues the requests that wait for the end of moved work at its new home shard.
    fn on_work_moved(&mut self, context: &mut Context, work: WorkId, shard: Shard) {
        let waiting = self.waits.remove(&work).unwrap_or_default();
        self.remember_home(work, shard);
        waiting.into_iter().for_each(|id| self.resolve(context, id));
    }

    fn on_work_ended(&mut self, context: &mut Context, work: &WorkId, outcome: &Rc<Outcome>) {
        for id in self.waits.remove(work).unwrap_or_default() {
            self.finish(context, id, Ok(Reply::Outcome(outcome.as_ref().clone())));
        }
    }

    fn remember_home(&mut self, work: WorkId, shard: Shard) {
        if self.homes.len() >= HOME_CACHE_MAX {
            self.homes.clear();
        }
        self.homes.insert(work, shard);
    }

    fn tick(&mut self, context: &mut Context) {
        self.check_requests(context);
        self.check_listings(context);
        self.check_shutdown(context);
        self.report_observations(context);
    }

    fn on_loads(&mut self, context: &mut Context, loads: Vec<Load>) {
        let lost = self
            .own_loads
            .iter()
            .filter(|load| !loads.iter().any(|other| other.shard == load.shard));
        lost.for_each(|load| context.observe(Observation::ShardLost(load.shard.clone())));
        loads.iter().for_each(|load| context.observe(Observation::Shard(load.clone())));
        self.own_loads = loads;
    }

    fn report_observations(&mut self, context: &mut Context) {
        if self.next_observation.is_some_and(|next| context.now < next) {
            return;
        }
        self.next_observation = Some(context.now + OBSERVATION_INTERVAL);
        let lease_left = self
            .configuration_lease_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(context.now));
        context
            .observe(Observation::Configuration { revision: self.snapshot.revision, lease_left });
        context.observe(Observation::TableReachable(self.table_reachable));
    }

    fn readiness(&self, now: Instant) -> Result<(), Problem> {
        match self.configuration_lease_until {
            _ if self.shutdown.is_some() => {
                Err(Problem::new(ProblemKind::Draining, "This entry host is shutting down."))
            }
            Some(until) if now < until => Ok(()),
            _ => Err(stale_configuration()),
        }
    }

    fn stop(&mut self, context: &mut Context) {
        let deadline = context.now + self.settings.stop_bound;
        self.shutdown.get_or_insert(Shutdown {
            deadline,
            ownership_drained: false,
            commit_drained: false,
        });
    }

    fn on_drained(&mut self, name: ServiceName) {
        match (&mut self.shutdown, name) {
            (Some(shutdown), ServiceName::Ownership) => shutdown.ownership_drained = true,
            (Some(shutdown), ServiceName::Commit) => shutdown.commit_drained = true,
            _ => {}
        }
    }

    fn check_shutdown(&mut self, context: &mut Context) {
        let Some(shutdown) = &self.shutdown else { return };
        let is_drained = shutdown.ownership_drained && shutdown.commit_drained;
        let is_late = context.now >= shutdown.deadline;
        if context.now + STOP_MARGIN >= shutdown.deadline {
            self.time_out_all(context);
        }
        if is_late || (is_drained && self.requests.is_empty() && self.listings.is_empty()) {
            context.effects.push(Effect::Stopped);
        }
    }

    fn time_out_all(&mut self, context: &mut Context) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.into_iter().for_each(|id| self.time_out(context, id));
    }

    /// Returns the owner of the shard; `None` if no host reports it.
    fn owner(&self, shard: &Shard) -> Option<HostId> {
        admission::known_owner(&self.peer_list, &self.own_loads, &self.settings.host, shard)
    }

    fn new_id(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }
}

fn send_request(
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

fn stale_configuration() -> Problem {
    let message =
        "This entry host could not confirm its configuration in time, so it may not accept keys.";
    Problem::new(ProblemKind::StaleConfiguration, message)
}

fn acts_for(identity: &Identity, team: &str) -> bool {
    match &identity.right {
        Right::Operator => true,
        Right::Team(own) => own == team,
    }
}
