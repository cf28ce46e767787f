//! Table rows of the work records: paged scans, conditional writes and deletion after the retention time.

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
use crate::scheduler::shard::{Call, OwnedShard};

/// Rows per page of a scan.
const PAGE_ROWS: usize = 500;

/// Interval between two scans of all rows of a shard.
const SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum interval between two pages once the shard is loaded; limits scans to 4 per second.
const PAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between two reads by key; limits them to 20 per second.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum delay before a failed read or write is retried; the maximum is twice this.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which the write of a start intent expires if it has not been sent; the task is then placed again.
const INTENT_WAIT_MAX: Duration = Duration::from_secs(3);

/// Time for which the rows of ended work are kept.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of ended work records that one batch deletes.
const DELETIONS_PER_BATCH: usize = 32;

/// Maximum number of record writes that one tick sends to `commit`.
const WRITES_PER_TICK: usize = 64;

const KEYS_PER_READ: usize = 100;

/// Purpose of an open write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// New state of a record.
    Record(WorkId),
    Move(WorkId),
    Deletion,
    Grant(TeamId),
}

/// What is known of the row that names the owner of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    Unread,
    /// The row has this version and names this owner's epoch. A claim by another host changes the version.
    Version(Version),
    /// The row is missing or names no epoch, so writes cannot be conditional on it.
    Unchecked,
}

/// State of the record reads and writes of one shard.
pub struct Rows {
    /// Whether all record rows and the shard's row have been read once.
    pub loaded: bool,
    pub writes: HashMap<Tag, Purpose>,
    ownership: Ownership,
    ownership_call: Option<CallId>,
    next_ownership_read: Instant,
    scanned: bool,
    scan_cursor: String,
    scan_call: Option<CallId>,
    next_page: Instant,
    read_call: Option<CallId>,
    next_read: Instant,
    to_read: BTreeSet<WorkId>,
    dirty: BTreeSet<WorkId>,
    next_deletion: Instant,
}

impl Rows {
    /// Creates the state of a shard whose rows have not been read.
    pub fn new(now: Instant) -> Rows {
        Rows {
            loaded: false,
            writes: HashMap::new(),
            ownership: Ownership::Unread,
            ownership_call: None,
            next_ownership_read: now,
            scanned: false,
            scan_cursor: String::new(),
            scan_call: None,
            next_page: now,
            read_call: None,
            next_read: now,
            to_read: BTreeSet::new(),
            dirty: BTreeSet::new(),
            next_deletion: now,
        }
    }

    /// Returns whether a write is in flight or pending.
    pub fn has_open_writes(&self) -> bool {
        !self.writes.is_empty() || !self.dirty.is_empty()
    }

    pub fn has_open_scan(&self) -> bool {
        self.scan_call.is_some()
    }

    pub fn has_open_read(&self) -> bool {
        self.read_call.is_some()
    }

    /// Schedules a read of the row of the work.
    pub fn read_again(&mut self, work: &WorkId) {
        self.to_read.insert(work.clone());
    }

    /// Returns the number of writes in flight and of records with a pending write.
    pub fn unwritten(&self) -> usize {
        self.writes.len() + self.dirty.len()
    }
}

impl OwnedShard {
    /// Sends the due reads: the shard's row, the next page of record rows, and the rows to read by key.
    pub fn scan_rows(&mut self, context: &mut Context, environment: &Environment) {
        if self.releasing.is_some() {
            return;
        }
        let timeout = environment.settings.table_timeout;
        let unread = self.rows.ownership == Ownership::Unread;
        let idle =
            self.rows.ownership_call.is_none() && context.now >= self.rows.next_ownership_read;
        if unread && idle {
            self.rows.next_ownership_read = context.now + environment.jitter(RETRY_DELAY);
            let keys = vec![shard_key(&self.id)];
            let call = context.call_table(Request::Read { keys }, timeout);
            self.rows.ownership_call = Some(call);
            self.calls.insert(call, Call::Ownership);
        }
        if self.rows.scan_call.is_none() && context.now >= self.rows.next_page {
            let after = self.rows.scan_cursor.clone();
            let request = Request::Scan { prefix: work::prefix(&self.id), after, limit: PAGE_ROWS };
            let call = context.call_table(request, timeout);
            self.rows.scan_call = Some(call);
            self.calls.insert(call, Call::Scan);
        }
        let due = self.rows.read_call.is_none() && context.now >= self.rows.next_read;
        if due && !self.rows.to_read.is_empty() {
            let works: Vec<WorkId> =
                self.rows.to_read.iter().take(KEYS_PER_READ).cloned().collect();
            let keys = works.iter().map(|work| work::row_key(&self.id, work)).collect();
            let call = context.call_table(Request::Read { keys }, timeout);
            self.rows.next_read = context.now + READ_INTERVAL;
            self.rows.read_call = Some(call);
            self.calls.insert(call, Call::Read(works));
        }
    }

    pub fn on_page(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        result: Result<Reply, Failure>,
    ) {
        self.rows.scan_call = None;
        let Ok(Reply::Rows { rows, more }) = result else {
            self.rows.next_page = context.now + environment.jitter(RETRY_DELAY);
            return;
        };
        self.rows.scan_cursor = match rows.last() {
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

    /// Handles the row of the shard. All writes are conditional on its version, so that an owner that was paused and lost
    /// the shard cannot end work that the new owner runs.
    pub fn on_ownership_row(&mut self, context: &mut Context, result: Result<Reply, Failure>) {
        self.rows.ownership_call = None;
        let Ok(Reply::Rows { rows, .. }) = result else { return };
        let named = rows.first().and_then(|row| {
            let value: serde_json::Value = serde_json::from_str(&row.value).ok()?;
            Some((value["epoch"].as_u64()?, row.version))
        });
        match named {
            Some((epoch, _)) if epoch > self.epoch => return self.fence(context, epoch),
            // The read is older than this host's claim.
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

    /// Returns the preconditions of a batch that changes `key`: the ownership of the shard and the version of the row, which
    /// is `None` if the row must not exist.
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

    /// Fences the shard if a write conflict shows that another host has claimed it.
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
            self.reconcile_deferred(context);
        }
    }

    pub fn on_read(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        works: Vec<WorkId>,
        result: Result<Reply, Failure>,
    ) {
        self.rows.read_call = None;
        let Ok(Reply::Rows { rows, .. }) = result else {
            self.rows.next_read = context.now + environment.jitter(RETRY_DELAY);
            return;
        };
        let mut found: HashMap<String, Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        let left = std::mem::take(&mut self.moves.left_during_read);
        for work in works {
            self.rows.to_read.remove(&work);
            if left.contains(&work) {
                continue;
            }
            let row = found.remove(&work::row_key(&self.id, &work));
            match (row, self.works.contains_key(&work)) {
                (Some(row), true) => {
                    if self.is_moving(&work) {
                        self.on_move_unwritten(context, environment, &work, row.version);
                    }
                    self.resolve_write(context, environment, &work, row)
                }
                (Some(row), false) => self.note_row(context, environment, row),
                (None, true) if self.is_moving(&work) => {
                    self.finish_move(context, environment, &work)
                }
                (None, true) => self.note_deleted(context, &work),
                (None, false) => {}
            }
        }
    }

    /// Handles the notification of admitted or moved work. Without a usable record, its row is read.
    pub fn on_admitted(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        record: Option<Rc<Record>>,
        work: WorkId,
    ) {
        match record {
            _ if self.works.contains_key(&work) => {}
            // A new row has version 1; if that is wrong, the first write fails with a conflict. Work that has moved away
            // since the notification was sent must not be added from it.
            Some(record) if self.rows.loaded && !self.moves.has_moved_away(&work) => {
                self.add(context, environment, Record::clone(&record), 1)
            }
            _ => {
                self.rows.to_read.insert(work);
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
                self.resolve_write(context, environment, &work, row)
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
        let unlocated = match entry.record.state {
            State::Starting { .. } | State::Cancelling => true,
            State::Admitted => !self.rows.loaded && idempotent,
            State::Ended(_) => false,
        };
        // The intent to start non-idempotent work is durable before the start, so an `Admitted` record was not started.
        let earlier_owner = self.epoch > 1 && !self.all_workers_resolved(environment);
        entry.may_have_run |= unlocated || earlier_owner && idempotent;
        if unlocated {
            entry.tasks.iter_mut().for_each(|state| state.phase = Phase::Unlocated);
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
        let record = entry.record.clone();
        self.works.insert(work.clone(), entry);
        self.add_losses(context, &record);
        match () {
            _ if ended => self.retained.push_back((context.now, work)),
            _ if unlocated => {
                self.unlocated.insert(work);
            }
            _ => self.submit(context, environment, &work),
        }
    }

    /// Schedules a write of the record's state. It replaces an earlier state whose write was not sent.
    pub fn set_pending_state(&mut self, work: &WorkId, state: State) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.pending_state = Some(state);
            self.rows.dirty.insert(work.clone());
        }
    }

    /// Schedules the write of the start intent of non-idempotent work once all its tasks are booked.
    pub fn record_intent(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let booked = entry.tasks.iter().all(|task| task.phase == Phase::Planned);
        if booked {
            let workers = entry.tasks.iter().filter_map(|task| task.worker.clone()).collect();
            self.set_pending_state(work, State::Starting { workers, epoch: self.epoch });
        }
    }

    /// Sends pending record writes to `commit`.
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
        let pending_state = self.works.get_mut(work).and_then(|entry| entry.pending_state.take());
        let (Some(state), Some(entry)) = (pending_state, self.works.get(work)) else { return };
        let expires = match state {
            State::Starting { .. } => Some(context.now + INTENT_WAIT_MAX),
            _ => None,
        };
        let losses = entry.losses.clone();
        let record = Record { state: state.clone(), losses, ..entry.record.clone() };
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
                self.rows.to_read.insert(work.clone());
            }
        }
    }

    /// Answers the cancel requests that wait for a write with an error, since the shard is lost or released.
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
                entry.pending_state.get_or_insert(state);
                self.rows.dirty.insert(work.clone());
            }
        }
    }

    /// Takes the next step after the state of a record became durable.
    pub fn on_durable(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.write_after = None;
        if entry.pending_state.is_some() {
            self.rows.dirty.insert(work.clone());
        }
        match entry.record.state.clone() {
            State::Ended(outcome) => {
                // The next snapshots report these ends again; they are acknowledged then.
                entry.deferred_acknowledgements.clear();
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
            State::Admitted
                if !entry.is_idempotent() && entry.closing.is_none() && !entry.is_ending() =>
            {
                self.withdraw_intent(context, work, false)
            }
            State::Admitted => {}
        }
    }

    /// Resolves a write with an unknown outcome, or a change by another owner, from the row that was read.
    fn resolve_write(
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
            _ => self.accept_external_change(context, work, record, row.version),
        }
    }

    /// Adopts a record that another owner changed.
    fn accept_external_change(
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
        entry.record = record.clone();
        self.add_losses(context, &record);
        let Some(entry) = self.works.get_mut(work) else { return };
        match entry.record.state.clone() {
            State::Ended(outcome) => {
                entry.pending_state = None;
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
                    self.release_booking(context, &task, Some(ReleaseCause::Refused));
                }
                self.mark_unlocated(work);
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
        if let (Some(state), None) = (state, &entry.pending_state)
            && !matches!(state, State::Starting { .. })
        {
            entry.pending_state = Some(state);
        }
        if entry.pending_state.is_some() {
            self.rows.dirty.insert(work.clone());
        }
    }

    /// Removes work whose row no longer exists. If a worker may run it, the work is ended first.
    fn note_deleted(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.writing = None;
        if entry.is_booked() || entry.is_unlocated() {
            self.end(context, work, Ending::Failed, "its record was deleted");
            return;
        }
        let cancels = self.works.remove(work).map(|entry| entry.cancels).unwrap_or_default();
        self.planner.finish(work);
        self.unlocated.remove(work);
        answer_cancels(context, cancels);
    }

    fn on_intent_durable(&mut self, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let placed = entry.tasks.iter().any(|task| task.phase.is_booked());
        if !placed && entry.closing.is_none() && entry.pending_state.is_none() {
            // The worker was lost while the intent was written.
            self.set_pending_state(work, State::Admitted);
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

    /// Deletes the rows of work that ended at least [`RETENTION`] ago.
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
        // If the batch fails, its rows stay in the table and the next scan finds them again.
        let tag = environment.next_tag();
        let expires = Some(context.now + SCAN_INTERVAL);
        self.rows.next_deletion = context.now + PAGE_INTERVAL;
        self.rows.writes.insert(tag, Purpose::Deletion);
        let batch = Batch { reply_to: ServiceName::Scheduler, tag, checks, writes, expires };
        context.send(ServiceName::Commit, Message::Write(batch));
    }
}

/// Returns the key of the row that names the owner of a shard.
fn shard_key(shard: &Shard) -> String {
    format!("shards/{shard}")
}

fn answer_cancels(context: &mut Context, cancels: Vec<Origin>) {
    for origin in cancels {
        context.answer(origin, Ok(shallotpost_protocol::interface::Reply::Cancelling));
    }
}
