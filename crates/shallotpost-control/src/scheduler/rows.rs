//! Rows of the work records: paged scans, conditional writes and deletion after the retention time.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use shallotpost_policy::planner::ReleaseCause;
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::table::{Check, Reply, Request, Row, Version, Write};
use shallotpost_protocol::work::{self, Class, Ending, Record, State};

use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::scheduler::entry::{Closing, Entry, Phase};
use crate::scheduler::environment::Environment;
use crate::scheduler::session::Order;
use crate::scheduler::shard::{Call, Owned};

/// Rows per page of a scan.
const PAGE: usize = 500;

/// Interval between two scans of all rows of a shard.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Least time between two pages once the shard is loaded; bounds the reads at 4 per second.
const PAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two reads by key; bounds them at 20 per second.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest delay before a failed read or write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest time that a start waits for its durable intent, after which the task is placed anew.
const INTENT_WAIT_MAX: Duration = Duration::from_secs(3);

/// How long the rows of ended work stay readable.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// Rows of ended work that one batch deletes.
const DELETIONS_PER_BATCH: usize = 32;

/// Record writes that one tick hands to `commit`.
const WRITES_PER_TICK: usize = 64;

/// Most keys of one read.
const KEYS_PER_READ: usize = 100;

/// What an open write is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// State of a record.
    Record(WorkId),
    /// Change of the home shard.
    Move(WorkId),
    /// Deletion of ended records.
    Deletion,
    /// Grant of a team.
    Grant(TeamId),
}

/// What is known about the row that names the owner of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// It was not read yet.
    Unread,
    /// It names this epoch, in this version. A claim by another host changes the version.
    Version(Version),
    /// It does not name an epoch, so writes cannot be made conditional on it.
    Unchecked,
}

/// Reads and writes of one shard.
pub struct Rows {
    /// Whether every row was read once.
    pub loaded: bool,
    /// Open writes by tag.
    pub writes: HashMap<Tag, Purpose>,
    ownership: Ownership,
    ownership_call: Option<CallId>,
    next_ownership: Instant,
    scanned: bool,
    after: String,
    scan: Option<CallId>,
    next_page: Instant,
    read: Option<CallId>,
    next_read: Instant,
    unread: BTreeSet<WorkId>,
    dirty: BTreeSet<WorkId>,
    next_deletion: Instant,
}

impl Rows {
    /// Rows that were not read yet.
    pub fn new(now: Instant) -> Rows {
        Rows {
            loaded: false,
            writes: HashMap::new(),
            ownership: Ownership::Unread,
            ownership_call: None,
            next_ownership: now,
            scanned: false,
            after: String::new(),
            scan: None,
            next_page: now,
            read: None,
            next_read: now,
            unread: BTreeSet::new(),
            dirty: BTreeSet::new(),
            next_deletion: now,
        }
    }

    /// Whether a write is under way or waits.
    pub fn has_open_writes(&self) -> bool {
        !self.writes.is_empty() || !self.dirty.is_empty()
    }

    /// Whether a page of a scan is awaited.
    pub fn has_open_scan(&self) -> bool {
        self.scan.is_some()
    }

    /// Whether rows that are read by key are awaited.
    pub fn has_open_read(&self) -> bool {
        self.read.is_some()
    }

    /// Requests that the row of the work is read.
    pub fn read_again(&mut self, work: &WorkId) {
        self.unread.insert(work.clone());
    }

    /// Number of records whose write is under way or waits.
    pub fn unwritten(&self) -> usize {
        self.writes.len() + self.dirty.len()
    }
}

impl Owned {
    /// Reads the next page of the shard's rows, and rows that must be read again.
    pub fn scan_rows(&mut self, context: &mut Context, environment: &Environment) {
        if self.releasing.is_some() {
            return;
        }
        let timeout = environment.settings.table_timeout;
        let unread = self.rows.ownership == Ownership::Unread;
        let idle = self.rows.ownership_call.is_none() && context.now >= self.rows.next_ownership;
        if unread && idle {
            self.rows.next_ownership = context.now + environment.jitter(RETRY_DELAY);
            let keys = vec![shard_key(&self.id)];
            let call = context.call_table(Request::Read { keys }, timeout);
            self.rows.ownership_call = Some(call);
            self.calls.insert(call, Call::Ownership);
        }
        if self.rows.scan.is_none() && context.now >= self.rows.next_page {
            let after = self.rows.after.clone();
            let request = Request::Scan { prefix: work::prefix(&self.id), after, limit: PAGE };
            let call = context.call_table(request, timeout);
            self.rows.scan = Some(call);
            self.calls.insert(call, Call::Scan);
        }
        let due = self.rows.read.is_none() && context.now >= self.rows.next_read;
        if due && !self.rows.unread.is_empty() {
            let works: Vec<WorkId> = self.rows.unread.iter().take(KEYS_PER_READ).cloned().collect();
            let keys = works.iter().map(|work| work::row_key(&self.id, work)).collect();
            let call = context.call_table(Request::Read { keys }, timeout);
            self.rows.next_read = context.now + READ_INTERVAL;
            self.rows.read = Some(call);
            self.calls.insert(call, Call::Read(works));
        }
    }

    /// Handles a page of rows.
    pub fn on_page(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        result: Result<Reply, Failure>,
    ) {
        self.rows.scan = None;
        let Ok(Reply::Rows { rows, more }) = result else {
            self.rows.next_page = context.now + environment.jitter(RETRY_DELAY);
            return;
        };
        self.rows.after = match rows.last() {
            Some(row) if more => row.key.clone(),
            _ => String::new(),
        };
        let left = std::mem::take(&mut self.moves.left_during_scan);
        for row in rows {
            if self.work_of(&row.key).is_some_and(|work| left.contains(&work)) {
                continue;
            }
            self.note_row(context, environment, row);
        }
        self.rows.next_page = context.now
            + match (more, self.rows.loaded) {
                (true, false) => Duration::ZERO,
                (true, true) => PAGE_INTERVAL,
                (false, _) => SCAN_INTERVAL,
            };
        self.rows.scanned |= !more;
        self.finish_loading(context);
    }

    /// Handles the row of the shard. All writes are conditional on it, so that an owner that was paused and lost the
    /// shard cannot end work which the new owner runs.
    pub fn on_ownership_row(&mut self, context: &mut Context, result: Result<Reply, Failure>) {
        self.rows.ownership_call = None;
        let Ok(Reply::Rows { rows, .. }) = result else { return };
        let named = rows.first().and_then(|row| {
            let value: serde_json::Value = serde_json::from_str(&row.value).ok()?;
            Some((value["epoch"].as_u64()?, row.version))
        });
        match named {
            Some((epoch, _)) if epoch > self.epoch => return self.fence(context, epoch),
            // The read is older than the claim of this host.
            Some((epoch, _)) if epoch < self.epoch => return,
            Some((_, version)) => self.rows.ownership = Ownership::Version(version),
            None => {
                let fields = vec![("shard", self.id.to_string())];
                context.log(Level::Error, "shard row without epoch, writes are not fenced", fields);
                self.rows.ownership = Ownership::Unchecked;
            }
        }
        self.finish_loading(context);
    }

    /// Checks of a batch that changes `key`.
    pub fn checks(&self, key: String, version: Option<Version>) -> Vec<Check> {
        let mut checks = self.ownership_checks();
        checks.push(Check { key, version });
        checks
    }

    fn ownership_checks(&self) -> Vec<Check> {
        match self.rows.ownership {
            Ownership::Version(version) => {
                vec![Check { key: shard_key(&self.id), version: Some(version) }]
            }
            Ownership::Unread | Ownership::Unchecked => Vec::new(),
        }
    }

    /// Stops acting on the shard where a conflict shows that another host claimed it.
    pub fn note_conflict(&mut self, context: &mut Context, result: &Result<(), WriteFailure>) {
        if let Err(WriteFailure::Conflict(keys)) = result
            && keys.contains(&shard_key(&self.id))
        {
            self.fence(context, self.epoch + 1);
        }
    }

    fn finish_loading(&mut self, context: &mut Context) {
        if !self.rows.loaded && self.rows.scanned && self.rows.ownership != Ownership::Unread {
            self.rows.loaded = true;
            self.reconcile_unread(context);
        }
    }

    /// Handles rows that were read by key.
    pub fn on_read(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        works: Vec<WorkId>,
        result: Result<Reply, Failure>,
    ) {
        self.rows.read = None;
        let Ok(Reply::Rows { rows, .. }) = result else {
            self.rows.next_read = context.now + environment.jitter(RETRY_DELAY);
            return;
        };
        let mut found: HashMap<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let left = std::mem::take(&mut self.moves.left_during_read);
        for work in works {
            self.rows.unread.remove(&work);
            if left.contains(&work) {
                continue;
            }
            let row = found.remove(&work::row_key(&self.id, &work));
            match (row, self.works.contains_key(&work)) {
                (Some(row), true) => {
                    if self.is_moving(&work) {
                        self.on_move_unwritten(context, environment, &work, row.version);
                    }
                    self.settle_write(context, environment, &work, row)
                }
                (Some(row), false) => self.note_row(context, environment, row),
                (None, true) if self.is_moving(&work) => self.depart(context, environment, &work),
                (None, true) => self.note_deleted(context, &work),
                (None, false) => {}
            }
        }
    }

    /// Takes note of an admitted record.
    pub fn on_admitted(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        record: Option<Rc<Record>>,
        work: WorkId,
    ) {
        match record {
            _ if self.works.contains_key(&work) => {}
            // A new row has version 1; a wrong guess shows as a conflict of the first write.
            // Work that left since the notification was sent must not be added from it.
            Some(record) if self.rows.loaded && !self.moves.has_departed(&work) => {
                self.add(context, environment, Record::clone(&record), 1)
            }
            _ => {
                self.rows.unread.insert(work);
            }
        }
    }

    fn note_row(&mut self, context: &mut Context, environment: &Environment, row: Row) {
        let Some(work) = self.work_of(&row.key) else { return };
        match self.works.get(&work) {
            Some(entry)
                if row.version > entry.version
                    && entry.writing.is_none()
                    && entry.moving.is_none() =>
            {
                self.settle_write(context, environment, &work, row)
            }
            Some(_) => {}
            None => match serde_json::from_str::<Record>(&row.value) {
                Ok(record) => self.add(context, environment, record, row.version),
                Err(error) => {
                    let fields = vec![("key", row.key), ("error", error.to_string())];
                    context.log(Level::Error, "unreadable work record", fields);
                }
            },
        }
    }

    fn is_moving(&self, work: &WorkId) -> bool {
        self.works.get(work).is_some_and(|entry| entry.moving.is_some())
    }

    fn work_of(&self, key: &str) -> Option<WorkId> {
        key.strip_prefix(&work::prefix(&self.id))?.parse().ok()
    }

    fn add(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        record: Record,
        version: Version,
    ) {
        let work = record.specification.work_id();
        let mut entry = Entry::new(record, version);
        let idempotent = entry.is_idempotent();
        let unplaced = match entry.record.state {
            State::Starting { .. } | State::Cancelling => true,
            State::Admitted => !self.rows.loaded && idempotent,
            State::Ended(_) => false,
        };
        // Non-idempotent work is recorded before it starts, so an admitted record shows that it was not started.
        let earlier_owner = self.epoch > 1 && !self.is_settled(environment);
        entry.may_have_run |= unplaced || earlier_owner && idempotent;
        if unplaced {
            entry.tasks.iter_mut().for_each(|state| state.phase = Phase::Unplaced);
        }
        if let Some(deadline) = entry.record.specification.deadline_unix_ms
            && !entry.has_ended()
            && !matches!(entry.record.specification.class, Class::Service { .. })
        {
            self.deadlines.insert((deadline, work.clone()));
        }
        if entry.record.state == State::Cancelling {
            entry.closing = Some(Closing::End(entry.outcome(Ending::Cancelled, "cancelled")));
        }
        let ended = entry.has_ended();
        self.works.insert(work.clone(), entry);
        match () {
            _ if ended => self.retained.push_back((context.now, work)),
            _ if unplaced => {
                self.unplaced.insert(work);
            }
            _ => self.submit(context, environment, &work),
        }
    }

    /// Requests that a record gets this state. A later request replaces an earlier one that was not sent.
    pub fn want(&mut self, work: &WorkId, state: State) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.wanted = Some(state);
            self.rows.dirty.insert(work.clone());
        }
    }

    /// Records the intent to start non-idempotent work once all its tasks are booked.
    pub fn record_intent(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let booked = entry.tasks.iter().all(|task| task.phase == Phase::Planned);
        if booked {
            let workers = entry.tasks.iter().filter_map(|task| task.worker.clone()).collect();
            self.want(work, State::Starting { workers, epoch: self.epoch });
        }
    }

    /// Hands pending record writes to `commit`.
    pub fn write_records(&mut self, context: &mut Context, environment: &Environment) {
        let now = context.now;
        let due = self.rows.dirty.iter().filter(|work| {
            self.works.get(work).is_none_or(|entry| {
                entry.writing.is_none() && entry.write_after.is_none_or(|after| now >= after)
            })
        });
        let due: Vec<WorkId> = due.take(WRITES_PER_TICK).cloned().collect();
        for work in due {
            self.rows.dirty.remove(&work);
            self.write_record(context, environment, &work);
        }
    }

    fn write_record(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let wanted = self.works.get_mut(work).and_then(|entry| entry.wanted.take());
        let (Some(state), Some(entry)) = (wanted, self.works.get(work)) else { return };
        let expires = match state {
            State::Starting { .. } => Some(context.now + INTENT_WAIT_MAX),
            _ => None,
        };
        let record = Record { state: state.clone(), ..entry.record.clone() };
        let key = work::row_key(&self.id, work);
        let tag = environment.next_tag();
        let checks = self.checks(key.clone(), Some(entry.version));
        let batch = Batch {
            reply_to: ServiceName::Scheduler,
            tag,
            checks,
            writes: vec![Write { key, value: serde_json::to_string(&record).ok() }],
            expires,
        };
        if let Some(entry) = self.works.get_mut(work) {
            entry.writing = Some((tag, state));
        }
        self.rows.writes.insert(tag, Purpose::Record(work.clone()));
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    /// Handles the outcome of a record write.
    pub fn on_record_written(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        work: &WorkId,
        result: Result<(), WriteFailure>,
    ) {
        match result {
            Ok(()) => {
                let Some(entry) = self.works.get_mut(work) else { return };
                let Some((_, state)) = entry.writing.take() else { return };
                entry.version += 1;
                entry.record.state = state;
                self.on_durable(context, work);
            }
            Err(WriteFailure::Overloaded | WriteFailure::Expired) => {
                self.on_not_written(context, environment, work)
            }
            Err(WriteFailure::Conflict(_) | WriteFailure::Unknown) => {
                self.rows.unread.insert(work.clone());
            }
        }
    }

    /// Answers the requests that wait for a write, when the shard is given up.
    pub fn abandon(&mut self, context: &mut Context) {
        for origin in self.works.values_mut().flat_map(|entry| std::mem::take(&mut entry.cancels)) {
            let message =
                "the shard has moved to another host before the cancellation was recorded";
            context.answer(origin, Err(Problem::new(ProblemKind::Unknown, message)));
        }
    }

    fn on_not_written(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let Some((_, state)) = entry.writing.take() else { return };
        entry.write_after = Some(context.now + environment.jitter(RETRY_DELAY));
        match state {
            State::Starting { .. } if entry.closing.is_none() => {
                self.withdraw_intent(context, work, false)
            }
            State::Starting { .. } => {}
            state => {
                entry.wanted.get_or_insert(state);
                self.rows.dirty.insert(work.clone());
            }
        }
    }

    /// Goes on after the state of a record became durable.
    pub fn on_durable(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.write_after = None;
        if entry.wanted.is_some() {
            self.rows.dirty.insert(work.clone());
        }
        match entry.record.state.clone() {
            State::Ended(outcome) => {
                // The next snapshots list these ends again, and they are acknowledged then.
                entry.held.clear();
                let cancels = std::mem::take(&mut entry.cancels);
                entry.tasks = Vec::new();
                entry.closing = None;
                answer_cancels(context, cancels);
                self.retained.push_back((context.now, work.clone()));
                let outcome = Rc::new(outcome);
                context
                    .send(ServiceName::Router, Message::WorkEnded { work: work.clone(), outcome });
            }
            State::Cancelling => answer_cancels(context, std::mem::take(&mut entry.cancels)),
            State::Starting { .. } => self.on_intent_durable(work),
            State::Admitted if entry.closing.is_none() && !entry.is_ending() => {
                self.withdraw_intent(context, work, false)
            }
            State::Admitted => {}
        }
    }

    /// Decides a write with an unknown outcome, or a change by another owner, from the row.
    fn settle_write(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        work: &WorkId,
        row: Row,
    ) {
        let Ok(record) = serde_json::from_str::<Record>(&row.value) else { return };
        let Some(entry) = self.works.get_mut(work) else { return };
        let writing = entry.writing.as_ref().map(|(_, state)| state);
        match () {
            _ if row.version <= entry.version => {
                if writing.is_some() {
                    self.on_not_written(context, environment, work);
                }
            }
            _ if writing == Some(&record.state) => {
                entry.writing = None;
                entry.version = row.version;
                entry.record = record;
                self.on_durable(context, work);
            }
            _ => self.take_foreign(context, work, record, row.version),
        }
    }

    /// Takes over a record that somebody else changed.
    fn take_foreign(
        &mut self,
        context: &mut Context,
        work: &WorkId,
        record: Record,
        version: Version,
    ) {
        context.log(
            Level::Warn,
            "record changed by another owner",
            vec![("work", work.to_string())],
        );
        let Some(entry) = self.works.get_mut(work) else { return };
        let interrupted = entry.writing.take().map(|(_, state)| state);
        entry.version = version;
        entry.record = record;
        match entry.record.state.clone() {
            State::Ended(outcome) => {
                entry.wanted = None;
                entry.closing = Some(Closing::End(outcome));
                self.close(context, work);
            }
            State::Cancelling => {
                self.end(context, work, Ending::Cancelled, "cancelled");
                self.resume_write(work, interrupted);
            }
            State::Starting { .. } if !entry.tasks.iter().any(|task| task.phase.is_sent()) => {
                let count = entry.tasks.len() as u32;
                for index in 0..count {
                    let task = Task { work: work.clone(), index };
                    self.free(context, &task, Some(ReleaseCause::Refused));
                }
                self.unplace(work);
                if let Some(entry) = self.works.get_mut(work) {
                    entry.may_have_run = true;
                }
            }
            State::Starting { .. } => self.resume_write(work, interrupted),
            State::Admitted => match interrupted {
                Some(State::Starting { .. }) => self.withdraw_intent(context, work, false),
                state => self.resume_write(work, state),
            },
        }
    }

    fn resume_write(&mut self, work: &WorkId, state: Option<State>) {
        let Some(entry) = self.works.get_mut(work) else { return };
        if let (Some(state), None) = (state, &entry.wanted)
            && !matches!(state, State::Starting { .. })
        {
            entry.wanted = Some(state);
        }
        if entry.wanted.is_some() {
            self.rows.dirty.insert(work.clone());
        }
    }

    /// Forgets work whose row no longer exists, once no worker runs it.
    fn note_deleted(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.writing = None;
        if entry.is_booked() || entry.is_unplaced() {
            self.end(context, work, Ending::Failed, "its record was deleted");
            return;
        }
        let cancels = self.works.remove(work).map(|entry| entry.cancels).unwrap_or_default();
        self.planner.finish(work);
        self.unplaced.remove(work);
        answer_cancels(context, cancels);
    }

    fn on_intent_durable(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let placed = entry.tasks.iter().any(|task| task.phase.is_booked());
        if !placed && entry.closing.is_none() && entry.wanted.is_none() {
            // Its worker was given up while the intent was written.
            self.want(work, State::Admitted);
            return;
        }
        let planned = entry.tasks.iter().enumerate().filter_map(|(index, state)| {
            let task = Task { work: work.clone(), index: index as u32 };
            let worker = state.worker.clone()?;
            (state.phase == Phase::Planned).then_some((worker, task, state.attempt))
        });
        for (worker, task, attempt) in planned.collect::<Vec<_>>() {
            if let Some(session) = self.sessions.get_mut(&worker) {
                let order = Order::Start(task, attempt);
                session.orders.push_back(order);
            }
        }
    }

    /// Deletes the rows of work that ended longer ago than the retention time.
    pub fn delete_retained(&mut self, context: &mut Context, environment: &Environment) {
        let open = self.rows.writes.values().any(|purpose| *purpose == Purpose::Deletion);
        if open || context.now < self.rows.next_deletion || self.releasing.is_some() {
            return;
        }
        let mut checks = self.ownership_checks();
        let mut writes = Vec::new();
        while writes.len() < 2 * DELETIONS_PER_BATCH
            && let Some((ended, _)) = self.retained.front()
            && context.now >= *ended + RETENTION
        {
            let Some((_, work)) = self.retained.pop_front() else { break };
            let Some(entry) = self.works.remove(&work) else { continue };
            let key = work::row_key(&self.id, &work);
            checks.push(Check { key: key.clone(), version: Some(entry.version) });
            writes.push(Write { key, value: None });
            writes.push(Write { key: work::registration_key(&work), value: None });
        }
        if writes.is_empty() {
            return;
        }
        // A batch that fails leaves its rows in the table; the next scan finds them again.
        let tag = environment.next_tag();
        let expires = Some(context.now + SCAN_INTERVAL);
        self.rows.next_deletion = context.now + PAGE_INTERVAL;
        self.rows.writes.insert(tag, Purpose::Deletion);
        let batch = Batch { reply_to: ServiceName::Scheduler, tag, checks, writes, expires };
        context.send(ServiceName::Commit, Message::Write(batch));
    }
}

/// Key of the row that names the owner of a shard.
fn shard_key(shard: &Shard) -> String {
    format!("shards/{shard}")
}

fn answer_cancels(context: &mut Context, cancels: Vec<Origin>) {
    for origin in cancels {
        context.answer(origin, Ok(shallotpost_protocol::interface::Reply::Cancelling));
    }
}
