//! Configuration: the cached resources, their freshness, and updates by operators.
//!
//! All changes go through the row `config/head`. This host polls it, applies the changes that it lacks in order, and
//! never moves to a lower revision.

pub mod audit;
pub mod cache;
pub mod cap;
mod force;
pub mod freshness;
pub mod poll;
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

/// Time beyond the timeout of a call after which its answer is no longer expected.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Most changes in one frame to a peer. About 1 KB each, far below the longest frame.
const FRAME_CHANGES_MAX: usize = 500;

/// The service.
pub struct Configuration {
    /// Boxed, since the enum of all services has the size of the largest one.
    state: Box<State>,
}

impl Configuration {
    /// A service with an empty cache.
    pub fn new(settings: &Settings) -> Configuration {
        Configuration { state: Box::new(State::new(settings)) }
    }

    /// Handles one message.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message)
    }
}

/// What a table read is for.
#[derive(Debug)]
enum Read {
    /// The head and the changes that follow.
    Poll(poll::Poll),
    /// A step of reading all resources.
    Load(poll::Load),
    /// The head, for the update that is next.
    Refresh {
        /// Number of the read.
        number: u64,
        /// Moment before the read was sent.
        sent: Instant,
    },
    /// The log row that tells whether an update took effect.
    Resolve {
        /// Number of the read.
        number: u64,
    },
    /// The grants of a team.
    Cap {
        /// The team.
        team: TeamId,
        /// Moment before the read was sent.
        sent: Instant,
    },
    /// The change whose force is asked about.
    Force(force::Question),
    /// A page of changes that memory does not hold.
    Watch(watch::Watcher),
    /// A step of a page of the audit trail.
    Audit(audit::Page),
    /// The oldest rows of the log or of the refused changes, to delete them.
    Trim(audit::Trim),
}

/// A table read whose answer is awaited.
#[derive(Debug)]
struct Open {
    read: Read,
    deadline: Instant,
}

/// Rows of an answer.
type Rows = Vec<table::Row>;

/// What `membership` was told last.
type Told = (Revision, Option<Instant>, bool);

/// State of the service.
struct State {
    host: HostId,
    data_centre: DataCentreId,
    lease: Duration,
    table_timeout: Duration,
    cache: Cache,
    fleet: Rc<PeerList>,
    /// Whether `membership` told of the entry hosts yet.
    is_fleet_known: bool,
    confirmed: Option<Instant>,
    told: Option<Told>,
    /// Revision that the other services were told last.
    announced: Option<Revision>,
    reads: BTreeMap<CallId, Open>,
    polls: poll::Polls,
    updates: VecDeque<update::Update>,
    active: Option<update::Active>,
    waits: Vec<force::Wait>,
    watchers: Vec<watch::Watcher>,
    recorder: audit::Recorder,
    trimmed: Option<Instant>,
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
            fleet: Rc::default(),
            is_fleet_known: false,
            confirmed: None,
            told: None,
            announced: None,
            reads: BTreeMap::new(),
            polls: poll::Polls::new(settings.random_seed ^ ServiceName::Configuration as u64),
            updates: VecDeque::new(),
            active: None,
            waits: Vec::new(),
            watchers: Vec::new(),
            recorder: audit::Recorder::default(),
            trimmed: None,
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
                if let Some(open) = self.reads.remove(&call) {
                    self.answered(context, open.read, rows(result));
                }
            }
            Message::WriteResult { tag, result } => self.written(context, tag, result),
            Message::PeerList(fleet) => {
                self.fleet = fleet;
                self.is_fleet_known = true;
                self.follow_peers(context);
            }
            Message::PeerFrame { from, frame } => self.frame(context, from, frame),
            Message::AuthenticatedRequest { origin, identity, request } => {
                self.asked(context, origin, identity, request)
            }
            _ => return,
        }
        self.announce(context);
        self.tell_freshness(context);
    }

    fn tick(&mut self, context: &mut Context) {
        let now = context.now;
        let lost: Vec<CallId> =
            self.reads.iter().filter(|(_, open)| now >= open.deadline).map(|(id, _)| *id).collect();
        for call in lost {
            if let Some(open) = self.reads.remove(&call) {
                self.answered(context, open.read, None);
            }
        }
        self.poll_if_due(context);
        self.proceed_update(context);
        self.check_waits(context);
        self.serve_watchers(context);
        self.trim_if_due(context);
        self.report_drained(context);
    }

    /// Reads the table; the answer comes back with `read`.
    fn read(&mut self, context: &mut Context, read: Read, request: table::Request) {
        let deadline = context.now + self.table_timeout + ANSWER_GRACE;
        let call = context.call_table(request, self.table_timeout);
        self.reads.insert(call, Open { read, deadline });
    }

    /// Handles the rows of a read; `None` where it failed.
    fn answered(&mut self, context: &mut Context, read: Read, rows: Option<(Rows, bool)>) {
        match read {
            Read::Poll(poll) => self.polled(context, poll, rows),
            Read::Load(load) => self.load_step(context, load, rows),
            Read::Refresh { number, sent } => self.refreshed(context, number, sent, rows),
            Read::Resolve { number } => self.resolved(context, number, rows),
            Read::Cap { team, sent } => self.cap_read(&team, sent, rows),
            Read::Force(question) => self.force_read(context, question, rows),
            Read::Watch(watcher) => self.watch_read(context, watcher, rows),
            Read::Audit(page) => self.audit_step(context, page, rows),
            Read::Trim(trim) => self.trim_step(context, trim, rows),
        }
    }

    fn asked(&mut self, context: &mut Context, origin: Origin, who: Identity, request: Request) {
        if let Err(problem) = self.permitted(&who, &request) {
            self.record_refusal(context, &who.key, &request, &problem);
            return context.answer(origin, Err(problem));
        }
        match request {
            Request::Get { kind, name } => context.answer(origin, self.get(kind, &name)),
            Request::Resources { kind, prefix, after, limit } => {
                context.answer(origin, self.list(kind, &prefix, &after, limit))
            }
            Request::Put { .. } | Request::Delete { .. } => {
                self.queue_update(context, origin, who.key, request)
            }
            Request::Watch { from, wait } => self.watch(context, origin, from, wait),
            Request::Propagation(revision) => self.ask_force(context, origin, revision),
            Request::Audit { from, limit } => self.audit(context, origin, from, limit),
            _ => context.answer(
                origin,
                Err(Problem::new(
                    ProblemKind::Malformed,
                    "The request is not one about the configuration.",
                )),
            ),
        }
    }

    /// Operators may do everything; a team's key may read its own team.
    fn permitted(&self, who: &Identity, request: &Request) -> Result<(), Problem> {
        match (&who.right, request) {
            (Right::Operator, _) => Ok(()),
            (Right::Team(team), Request::Get { kind: Kind::Team, name }) if team == name => Ok(()),
            _ => Err(Problem::new(
                ProblemKind::Forbidden,
                format!("The key {:?} is not an operator's key.", who.key),
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

    /// Refuses requests until the configuration is known, from the table or from peers.
    fn require_loaded(&self) -> Result<(), Problem> {
        match self.cache.loaded || self.cache.revision() > 0 {
            true => Ok(()),
            false => Err(Problem::new(
                ProblemKind::Unavailable,
                "This entry host has not read the configuration yet.",
            )),
        }
    }

    fn frame(&mut self, context: &mut Context, from: HostId, frame: Frame) {
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

    /// Applies the next change; false where changes before it are missing.
    fn apply(&mut self, context: &mut Context, change: Change) -> bool {
        self.settle_by(context, &change);
        self.cache.apply(change, context.now)
    }

    /// Tells the other services of a newer revision.
    fn announce(&mut self, context: &mut Context) {
        let revision = self.cache.revision();
        let known = self.cache.loaded || revision > 0;
        if known && self.announced.replace(revision) != Some(revision) {
            context.broadcast(Message::Snapshot(Rc::clone(self.cache.snapshot())));
            context.send(ServiceName::Commit, Message::ConfigurationApplied { revision });
        }
    }

    /// Records that the applied revision was the current one at `moment`.
    fn confirm(&mut self, context: &mut Context, moment: Instant) {
        // Other services must see the configuration before its confirmation.
        self.announce(context);
        if Some(moment) > self.confirmed {
            self.confirmed = Some(moment);
            context.broadcast(Message::ConfigurationLease { until: moment + self.lease });
        }
    }

    /// Renews the freshness by the peers' answers. Before the first full read of the table, they prove nothing: others may
    /// count on a newer revision that an earlier process of this host applied.
    fn confirm_by_peers(&mut self, context: &mut Context) {
        let (revision, in_flight) = (self.cache.revision(), self.is_update_in_flight());
        let moment = freshness::confirmed_by_peers(&self.fleet, revision, in_flight);
        if let Some(moment) = moment.filter(|_| self.cache.loaded) {
            self.confirm(context, moment);
        }
    }

    /// Whether an update may have taken effect without this host knowing. Before the first full read, that holds for
    /// updates of an earlier process of this host.
    fn is_update_in_flight(&self) -> bool {
        !self.cache.loaded || self.active.as_ref().is_some_and(update::Active::is_in_flight)
    }

    fn tell_freshness(&mut self, context: &mut Context) {
        let told = (self.cache.revision(), self.confirmed, self.is_update_in_flight());
        if self.told.replace(told) != Some(told) {
            let (revision, confirmed, update_in_flight) = told;
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
        let idle = self.active.is_none() && self.updates.is_empty() && self.waits.is_empty();
        if self.stopping && idle && !self.drained {
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

/// Content of the row with this key.
fn content<T: serde::de::DeserializeOwned>(rows: &[table::Row], key: &str) -> Option<T> {
    let row = rows.iter().find(|row| row.key == key)?;
    serde_json::from_str(&row.value).ok()
}

/// A problem of a request that needs the table.
fn table_unavailable(message: &str) -> Problem {
    Problem::new(ProblemKind::Unavailable, message)
}
