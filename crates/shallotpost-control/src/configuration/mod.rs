//! Configuration: the cached resources, their freshness, and updates by operators.
//!
//! Every change increments the revision in the row `config/head`. This host polls that row, applies missing changes in
//! order, and never returns to a lower revision.

pub mod audit;
pub mod cache;
pub mod cap;
pub mod freshness;
pub mod poll;
mod propagation;
pub mod snapshot;
pub mod update;
pub mod validate;
mod watch;

pub use snapshot::Snapshot;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply, Request};
use shallotpost_protocol::resource::{Change, Kind, Right};
use shallotpost_protocol::table;
use shallotpost_protocol::wire::Frame;

use crate::membership::PeerList;
use crate::prelude::*;
use cache::Cache;

/// Time after the timeout of a call from which its result is no longer expected.
const RESULT_GRACE: Duration = Duration::from_secs(1);

/// Maximum number of changes in one frame to a peer. At about 1 KB each, this is far below the maximum frame size.
const FRAME_CHANGES_MAX: usize = 500;

/// Service that holds and updates the configuration.
pub struct Configuration {
    /// Boxed, because the enum of all services has the size of its largest variant.
    state: Box<State>,
}

impl Configuration {
    pub fn new(settings: &Settings) -> Configuration {
        Configuration { state: Box::new(State::new(settings)) }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message)
    }
}

/// Purpose of a table read, with the state to continue from its result.
#[derive(Debug)]
enum Read {
    /// The head and the changes that follow it.
    Poll(poll::Poll),
    /// A step of reading all resources.
    Load(poll::Load),
    /// The head, before an update.
    Refresh {
        number: u64,
        /// Time just before the read was sent.
        sent: Instant,
    },
    /// The log row that shows whether an update took effect.
    Resolve { number: u64 },
    /// The grants of a team.
    Cap {
        team: TeamId,
        /// Time just before the read was sent.
        sent: Instant,
    },
    /// The change whose propagation is queried.
    Propagation(propagation::PropagationQuery),
    /// A page of changes that are not in memory.
    Watch(watch::Watcher),
    /// A step of a page of the audit trail.
    Audit(audit::Page),
    /// The oldest rows of the log or of the refused changes, to delete them.
    Trim(audit::Trim),
}

#[derive(Debug)]
struct PendingRead {
    read: Read,
    deadline: Instant,
}

type Rows = Vec<table::Row>;

/// Content of a `ConfigurationStatus`: revision, confirmation time, and whether an update is in flight.
type ReportedStatus = (Revision, Option<Instant>, bool);

struct State {
    host: HostId,
    data_centre: DataCentreId,
    lease: Duration,
    table_timeout: Duration,
    cache: Cache,
    peer_list: Rc<PeerList>,
    /// Whether a `PeerList` has been received.
    peers_known: bool,
    /// Latest time at which the applied revision is known to have been current.
    confirmed: Option<Instant>,
    reported_status: Option<ReportedStatus>,
    /// Revision of the last snapshot that was sent to the other services.
    announced: Option<Revision>,
    reads: BTreeMap<CallId, PendingRead>,
    poller: poll::Poller,
    updates: VecDeque<update::Update>,
    active: Option<update::ActiveUpdate>,
    propagation_waits: Vec<propagation::PropagationWait>,
    watchers: Vec<watch::Watcher>,
    refusal_limiter: audit::RefusalLimiter,
    /// Time of the last attempt to delete old rows.
    last_trim: Option<Instant>,
    last_tag: Tag,
    stopping: bool,
    drained: bool,
}

impl State {
    fn new(settings: &Settings) -> State {
        State {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            lease: settings.configuration_lease,
            table_timeout: settings.table_timeout,
            cache: Cache::default(),
            peer_list: Rc::default(),
            peers_known: false,
            confirmed: None,
            reported_status: None,
            announced: None,
            reads: BTreeMap::new(),
            poller: poll::Poller::new(settings.random_seed ^ ServiceName::Configuration as u64),
            updates: VecDeque::new(),
            active: None,
            propagation_waits: Vec::new(),
            watchers: Vec::new(),
            refusal_limiter: audit::RefusalLimiter::default(),
            last_trim: None,
            last_tag: 0,
            stopping: false,
            drained: false,
        }
    }

    fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Tick => self.tick(context),
            Message::Stop => self.stop(context),
            Message::TableResult { call, result } => {
                if let Some(pending) = self.reads.remove(&call) {
                    self.on_read(context, pending.read, rows(result));
                }
            }
            Message::WriteResult { tag, result } => self.on_write_result(context, tag, result),
            Message::PeerList(peer_list) => {
                self.peer_list = peer_list;
                self.peers_known = true;
                self.on_peer_list(context);
            }
            Message::PeerFrame { from, frame } => self.on_frame(context, from, frame),
            Message::AuthenticatedRequest { origin, identity, request } => {
                self.on_request(context, origin, identity, request)
            }
            _ => return,
        }
        self.announce(context);
        self.report_status(context);
    }

    fn tick(&mut self, context: &mut Context) {
        let now = context.now;
        let expired: Vec<CallId> =
            self.reads.iter().filter(|(_, read)| now >= read.deadline).map(|(id, _)| *id).collect();
        for call in expired {
            if let Some(pending) = self.reads.remove(&call) {
                self.on_read(context, pending.read, None);
            }
        }
        self.poll_if_due(context);
        self.advance_updates(context);
        self.check_propagation_waits(context);
        self.serve_watchers(context);
        self.trim_if_due(context);
        self.report_drained(context);
    }

    /// Reads the table. The result is handled according to `read`.
    fn read(&mut self, context: &mut Context, read: Read, request: table::Request) {
        let deadline = context.now + self.table_timeout + RESULT_GRACE;
        let call = context.call_table(request, self.table_timeout);
        self.reads.insert(call, PendingRead { read, deadline });
    }

    /// Handles the rows of a read; `None` if the read failed.
    fn on_read(&mut self, context: &mut Context, read: Read, rows: Option<(Rows, bool)>) {
        match read {
            Read::Poll(poll) => self.on_poll(context, poll, rows),
            Read::Load(load) => self.on_load_read(context, load, rows),
            Read::Refresh { number, sent } => self.on_refresh(context, number, sent, rows),
            Read::Resolve { number } => self.on_resolve(context, number, rows),
            Read::Cap { team, sent } => self.on_cap_read(&team, sent, rows),
            Read::Propagation(query) => self.on_propagation_read(context, query, rows),
            Read::Watch(watcher) => self.on_watch_read(context, watcher, rows),
            Read::Audit(page) => self.on_audit_read(context, page, rows),
            Read::Trim(trim) => self.on_trim_read(context, trim, rows),
        }
    }

    fn on_request(
        &mut self,
        context: &mut Context,
        origin: Origin,
        identity: Identity,
        request: Request,
    ) {
        if let Err(problem) = self.check_permission(&identity, &request) {
            self.record_forbidden(context, &identity.key, &request, &problem);
            return context.answer(origin, Err(problem));
        }
        match request {
            Request::Get { kind, name } => context.answer(origin, self.get(kind, &name)),
            Request::Resources { kind, prefix, after, limit } => {
                context.answer(origin, self.list(kind, &prefix, &after, limit))
            }
            Request::Put { .. } | Request::Delete { .. } => {
                self.queue_update(context, origin, identity.key, request)
            }
            Request::Watch { from, wait } => self.watch(context, origin, from, wait),
            Request::Propagation(revision) => self.query_propagation(context, origin, revision),
            Request::Audit { from, limit } => self.audit(context, origin, from, limit),
            _ => context.answer(
                origin,
                Err(Problem::new(
                    ProblemKind::Malformed,
                    "The request does not concern the configuration.",
                )),
            ),
        }
    }

    /// Operators may make every request; the key of a team may read that team.
    fn check_permission(&self, identity: &Identity, request: &Request) -> Result<(), Problem> {
        match (&identity.right, request) {
            (Right::Operator, _) => Ok(()),
            (Right::Team(team), Request::Get { kind: Kind::Team, name }) if team == name => Ok(()),
            _ => Err(Problem::new(
                ProblemKind::Forbidden,
                format!("The key {:?} is not an operator's key.", identity.key),
            )),
        }
    }

    fn get(&self, kind: Kind, name: &str) -> Result<Reply, Problem> {
        self.require_loaded()?;
        let entry = self.cache.snapshot().entry(kind, name).cloned();
        entry.map(Reply::Entry).ok_or_else(|| {
            Problem::new(ProblemKind::NotFound, format!("There is no {kind} {name:?}."))
        })
    }

    fn list(&self, kind: Kind, prefix: &str, after: &str, limit: usize) -> Result<Reply, Problem> {
        self.require_loaded()?;
        let limit = limit.clamp(1, PAGE_LIMIT_MAX);
        let start = (kind, prefix.max(after).to_owned());
        let entries = self.cache.snapshot().entries.range(start..);
        let mut matching = entries
            .take_while(|((other, name), _)| *other == kind && name.starts_with(prefix))
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, entry)| entry);
        let page = matching.by_ref().take(limit).cloned().collect();
        let more = matching.next().is_some();
        Ok(Reply::Entries { entries: page, revision: self.cache.revision(), more })
    }

    /// Fails until the configuration is known from the table or from peers.
    fn require_loaded(&self) -> Result<(), Problem> {
        match self.cache.loaded || self.cache.revision() > 0 {
            true => Ok(()),
            false => Err(Problem::new(
                ProblemKind::Unavailable,
                "This entry host has not read the configuration yet.",
            )),
        }
    }

    fn on_frame(&mut self, context: &mut Context, from: HostId, frame: Frame) {
        match frame {
            Frame::AskChanges { from: revision } => {
                let changes = self.cache.changes_after(revision, FRAME_CHANGES_MAX);
                if let Some(changes) = changes.filter(|changes| !changes.is_empty()) {
                    let frame = Frame::Changes { changes };
                    context.send(ServiceName::Membership, Message::SendFrame { to: from, frame });
                }
            }
            Frame::Changes { changes } => {
                for change in changes {
                    if !self.apply(context, change) {
                        break;
                    }
                }
                self.confirm_by_peers(context);
            }
            _ => {}
        }
    }

    /// Applies the next change. Returns false if changes before it are missing.
    fn apply(&mut self, context: &mut Context, change: Change) -> bool {
        self.resolve_by_change(context, &change);
        self.cache.apply(change, context.now)
    }

    /// Sends a newer snapshot to the other services.
    fn announce(&mut self, context: &mut Context) {
        let revision = self.cache.revision();
        let known = self.cache.loaded || revision > 0;
        if known && self.announced.replace(revision) != Some(revision) {
            context.broadcast(Message::Snapshot(Rc::clone(self.cache.snapshot())));
            context.send(ServiceName::Commit, Message::ConfigurationApplied { revision });
        }
    }

    /// Records that the applied revision was current at `moment`, and extends the configuration lease.
    fn confirm(&mut self, context: &mut Context, moment: Instant) {
        // Other services must receive the snapshot before its confirmation.
        self.announce(context);
        if Some(moment) > self.confirmed {
            self.confirmed = Some(moment);
            context.broadcast(Message::ConfigurationLease { until: moment + self.lease });
        }
    }

    /// Confirms the applied revision by the pongs of peers. Before the first full read of the table they prove nothing:
    /// other hosts may rely on a newer revision that an earlier process of this host applied.
    fn confirm_by_peers(&mut self, context: &mut Context) {
        let (revision, in_flight) = (self.cache.revision(), self.is_update_in_flight());
        let moment = freshness::confirmed_by_peers(&self.peer_list, revision, in_flight);
        if let Some(moment) = moment.filter(|_| self.cache.loaded) {
            self.confirm(context, moment);
        }
    }

    /// Whether an update of this host may have taken effect without its knowledge. Before the first full read, this may
    /// be an update of an earlier process of this host.
    fn is_update_in_flight(&self) -> bool {
        !self.cache.loaded || self.active.as_ref().is_some_and(update::ActiveUpdate::is_in_flight)
    }

    /// Sends the configuration status to `membership` if it changed.
    fn report_status(&mut self, context: &mut Context) {
        let status = (self.cache.revision(), self.confirmed, self.is_update_in_flight());
        if self.reported_status.replace(status) != Some(status) {
            let (revision, confirmed, update_in_flight) = status;
            let message = Message::ConfigurationStatus { revision, confirmed, update_in_flight };
            context.send(ServiceName::Membership, message);
        }
    }

    fn next_tag(&mut self) -> Tag {
        self.last_tag += 1;
        self.last_tag
    }

    fn stop(&mut self, context: &mut Context) {
        self.stopping = true;
        for watcher in std::mem::take(&mut self.watchers) {
            watcher.answer_empty(context);
        }
    }

    fn report_drained(&mut self, context: &mut Context) {
        let is_idle =
            self.active.is_none() && self.updates.is_empty() && self.propagation_waits.is_empty();
        if self.stopping && is_idle && !self.drained {
            self.drained = true;
            context.send(ServiceName::Router, Message::Drained(ServiceName::Configuration));
        }
    }
}

fn rows(result: Result<table::Reply, Failure>) -> Option<(Rows, bool)> {
    match result {
        Ok(table::Reply::Rows { rows, more }) => Some((rows, more)),
        _ => None,
    }
}

/// Parses the value of the row with this key; `None` if the row is missing or cannot be parsed.
fn content<T: serde::de::DeserializeOwned>(rows: &[table::Row], key: &str) -> Option<T> {
    let row = rows.iter().find(|row| row.key == key)?;
    serde_json::from_str(&row.value).ok()
}

fn table_unavailable(message: &str) -> Problem {
    Problem::new(ProblemKind::Unavailable, message)
}
