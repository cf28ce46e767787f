//! Claims, heartbeats and the comparison of workers' snapshots with the records.

use shallotpost_policy::planner::{self, ReleaseCause};
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::work::{Class, Ending, State};
use shallotpost_protocol::worker::{
    AttemptOutcome, Refusal, Reply, Report, Request, Snapshot, StopMode, TaskState,
};

use crate::prelude::*;
use crate::scheduler::entry::{Closing, Entry, Phase, Sequence};
use crate::scheduler::environment::Environment;
use crate::scheduler::session::{Beat, Order, Session};
use crate::scheduler::shard::{Call, Owned};
use crate::settings::lease_expiry_bound;

/// Shortest delay before a failed `claim` or `sync` is repeated.
const BEAT_RETRY: Duration = Duration::from_millis(200);

/// Interval at which unplaced work is checked while workers are silent.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(100);

/// Calls per worker timeout to a worker that stopped answering. With one per timeout, a worker that hung for 5 s got
/// the next call after its task lease had lapsed.
const PROBES_PER_TIMEOUT: u32 = 2;

impl Owned {
    /// Takes over the worker list.
    pub fn refresh_sessions(&mut self, context: &mut Context, environment: &Environment) {
        let Some(workers) = environment.workers(&self.id) else { return };
        let workers: Vec<_> = workers.cloned().collect();
        self.sessions.values_mut().for_each(|session| session.listed = false);
        for listing in workers {
            let worker = listing.worker.clone();
            let session = self
                .sessions
                .entry(worker.clone())
                .or_insert_with(|| Session::new(listing.clone(), context.now));
            session.listed = true;
            session.listing = listing;
            self.publish_worker(context, &worker);
        }
        self.sessions.retain(|_, session| session.listed || !session.lapsed);
        let vanished = self.sessions.iter_mut().filter(|(_, session)| !session.listed);
        let vanished = vanished.map(|(worker, session)| {
            // Its lease is not renewed any more. A later owner cannot find it in the list, so its tasks must end.
            session.answering = false;
            session.reconciled = false;
            worker.clone()
        });
        for worker in vanished.collect::<Vec<_>>() {
            self.publish_worker(context, &worker);
        }
    }

    /// Adds the workers that left the list so recently that they may still run tasks of the earlier owner.
    pub fn add_vanished(&mut self, context: &mut Context, environment: &Environment) {
        for listing in environment.vanished(&self.id, context.now) {
            let worker = listing.worker.clone();
            let mut session = Session::new(listing.clone(), context.now);
            session.listed = false;
            self.sessions.entry(worker).or_insert(session);
        }
    }

    /// Tells the planner the state of a worker.
    pub fn publish_worker(&mut self, context: &mut Context, worker: &WorkerId) {
        let Some(session) = self.sessions.get(worker) else { return };
        if session.lapsed {
            return;
        }
        // The planner has not booked the found parts of a gang yet, so their worker must not get other tasks.
        let unbooked = session
            .tasks
            .iter()
            .any(|task| self.works.get(&task.work).is_some_and(|entry| !entry.submitted));
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let worker = planner::Worker {
            id: worker.clone(),
            rack: session.listing.rack.clone(),
            capacity: session.listing.capacity,
            schedulable: session.is_open() && !unbooked,
        };
        if session.published.as_ref() != Some(&worker) {
            session.published = Some(worker.clone());
            self.planner.set_worker(context.now, worker);
        }
    }

    /// Sends the due claims and heartbeats, and gives up workers whose lease has surely lapsed.
    pub fn drive_sessions(&mut self, context: &mut Context, environment: &Environment) {
        let due = self.sessions.iter().filter(|(_, session)| {
            session.beat.is_none() && context.now >= session.next_beat || !session.answering
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            let lease = environment.settings.task_lease;
            let lapses = self
                .sessions
                .get(&worker)
                .is_some_and(|session| !session.lapsed && session.has_lapsed(context.now, lease));
            if lapses {
                self.give_up(context, &worker);
            }
            self.send_beat(context, environment, &worker);
        }
    }

    fn send_beat(&mut self, context: &mut Context, environment: &Environment, worker: &WorkerId) {
        if self.fenced || self.releasing.is_some() {
            return;
        }
        let settings = &environment.settings;
        let sequence = self.next_sequence();
        let Some(session) = self.sessions.get_mut(worker) else { return };
        if session.beat.is_some() || context.now < session.next_beat || !session.listed {
            return;
        }
        // An owner that was paused or is cut off may have lost the shard. It may go on with workers that hold its
        // epoch, but a new owner may already count a worker without a lease as empty.
        let lapsed = environment.lease_until.is_some()
            && !Environment::holds(environment.lease_until, context.now);
        if !session.claimed && lapsed {
            return;
        }
        let wait = match session.claimed && session.answering {
            true => settings.sync_wait,
            false => Duration::ZERO,
        };
        let timeout = match session.silent && !session.lapsed {
            true => settings.worker_timeout / PROBES_PER_TIMEOUT,
            false => settings.worker_timeout + wait,
        };
        let Some((lease, full_lease)) =
            session.next_lease(context.now, settings.task_lease, timeout)
        else {
            return;
        };
        let acknowledged: Vec<(Task, Attempt)> = match session.claimed {
            true => session.acknowledge.iter().cloned().collect(),
            false => Vec::new(),
        };
        let request = match session.claimed {
            true => {
                Request::Sync { epoch: self.epoch, lease, acknowledged: acknowledged.clone(), wait }
            }
            false => Request::Claim { shard: self.id.clone(), epoch: self.epoch, lease },
        };
        let address = session.listing.address.clone();
        let call = context.call_worker(worker.clone(), address, request, timeout);
        session.beat = Some(Beat { call, sequence, full_lease, acknowledged });
        self.calls.insert(call, Call::Beat(worker.clone()));
    }

    /// Handles the answer to a `claim` or `sync`.
    pub fn on_beat_answer(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        call: CallId,
        worker: &WorkerId,
        result: Result<Reply, Failure>,
    ) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Some(beat) = session.beat.take_if(|beat| beat.call == call) else { return };
        match result {
            Ok(Reply::State(snapshot)) => {
                session.claimed = true;
                session.answering = session.listed;
                session.silent = false;
                session.lapsed = false;
                session.renewed = now;
                session.next_beat = now;
                session.leaving = snapshot.leaving;
                session.listing.capacity = snapshot.capacity;
                beat.acknowledged.iter().for_each(|key| {
                    session.acknowledge.remove(key);
                });
                self.note_incarnation(context, worker, snapshot.incarnation);
                match self.rows.loaded {
                    true => self.reconcile(context, worker, beat.sequence, snapshot),
                    false => self.keep_unread(worker, beat.sequence, snapshot),
                }
            }
            Ok(Reply::Refused(Refusal::NotClaimed)) => {
                session.claimed = false;
                session.next_beat = now;
                self.publish_worker(context, worker);
            }
            Ok(Reply::Refused(_)) => {
                session.next_beat = now + environment.jitter(BEAT_RETRY);
                self.note_refusal(context, worker, &result);
            }
            Ok(Reply::Done) | Err(_) => {
                let sent = !matches!(result, Err(Failure::NotSent | Failure::Rejected));
                if sent && beat.full_lease {
                    session.renewed = now;
                }
                session.answering = false;
                session.silent = true;
                session.reconciled = false;
                session.next_beat = now + environment.jitter(BEAT_RETRY);
                self.publish_worker(context, worker);
            }
        }
    }

    fn note_incarnation(&mut self, context: &mut Context, worker: &WorkerId, incarnation: u64) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let before = session.incarnation.replace(incarnation);
        if before.is_some_and(|before| before != incarnation) {
            // The new incarnation knows no earlier attempt. Its snapshot lacks them, which releases their bookings.
            session.acknowledge.clear();
            context.log(Level::Info, "worker restarted", vec![("worker", worker.clone())]);
        }
    }

    fn keep_unread(&mut self, worker: &WorkerId, sequence: Sequence, snapshot: Snapshot) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.unread = Some((sequence, snapshot));
        }
    }

    /// Compares the snapshots that came before the records were read.
    pub fn reconcile_unread(&mut self, context: &mut Context) {
        let unread = self.sessions.iter_mut().filter_map(|(worker, session)| {
            session.unread.take().map(|(sequence, snapshot)| (worker.clone(), sequence, snapshot))
        });
        for (worker, sequence, snapshot) in unread.collect::<Vec<_>>() {
            self.reconcile(context, &worker, sequence, snapshot);
        }
    }

    /// Compares a snapshot that was requested at `sequence` with the records.
    fn reconcile(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        sequence: Sequence,
        snapshot: Snapshot,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.answered = sequence;
        session.reconciled = session.answering;
        let mut missing = session.tasks.clone();
        self.publish_worker(context, worker);
        for report in snapshot.tasks {
            let booked = self.is_booked_as(&report.task, report.attempt, worker);
            if booked {
                missing.remove(&report.task);
            }
            self.note_report(context, worker, sequence, report, booked);
        }
        for task in missing {
            self.note_missing(context, worker, sequence, &task);
        }
    }

    fn is_booked_as(&self, task: &Task, attempt: Attempt, worker: &WorkerId) -> bool {
        let entry = self.works.get(&task.work);
        entry.and_then(|entry| entry.tasks.get(task.index as usize)).is_some_and(|state| {
            state.phase.is_sent()
                && state.attempt == attempt
                && state.worker.as_ref() == Some(worker)
        })
    }

    fn note_report(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        sequence: Sequence,
        report: Report,
        booked: bool,
    ) {
        let Report { task, attempt, state, usage, .. } = report;
        let entry = self.works.get(&task.work);
        let phase =
            entry.and_then(|entry| entry.tasks.get(task.index as usize)).map(|task| &task.phase);
        let unplaced = phase == Some(&Phase::Unplaced);
        match state {
            TaskState::Running { .. } if booked => {
                self.note_running(context, worker, sequence, &task, attempt);
                if let Some(usage) = usage {
                    self.planner.record_usage(context.now, &task, &usage);
                }
            }
            TaskState::Running { .. } if unplaced => self.adopt(context, worker, task, attempt),
            TaskState::Running { .. } => self.stop_stray(worker, task, attempt),
            TaskState::Ended(end) if booked => {
                self.on_task_end(context, &task, attempt, worker, end)
            }
            TaskState::Ended(end) if unplaced => {
                self.note_earlier_end(context, worker, task, attempt, end)
            }
            TaskState::Ended(_) => {
                let held = entry.is_some_and(|entry| {
                    entry.held.iter().any(|(holder, held, number)| {
                        (holder, held, *number) == (worker, &task, attempt)
                    })
                });
                if !held {
                    self.acknowledge(worker, (task, attempt));
                }
            }
        }
    }

    fn note_running(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        sequence: Sequence,
        task: &Task,
        attempt: Attempt,
    ) {
        let Some(state) = self.task_mut(task) else { return };
        match state.phase {
            Phase::Starting(_) | Phase::Doubtful => self.on_running(context, task),
            Phase::Stopping(mode, None) if state.settled < sequence => {
                // The stop call failed, or the worker has not carried it out yet.
                let order = Order::Stop(task.clone(), attempt, mode);
                self.push_order(worker, order);
            }
            _ => {}
        }
    }

    fn push_order(&mut self, worker: &WorkerId, order: Order) {
        if let Some(session) = self.sessions.get_mut(worker)
            && !session.orders.contains(&order)
        {
            session.orders.push_back(order);
        }
    }

    /// Stops a task that must not run on this worker.
    fn stop_stray(&mut self, worker: &WorkerId, task: Task, attempt: Attempt) {
        let call = Call::Stop(worker.clone(), task.clone(), attempt);
        if !self.calls.values().any(|open| *open == call) {
            self.push_order(worker, Order::Stop(task, attempt, StopMode::Stop));
        }
    }

    /// Takes over a task that an earlier owner started.
    fn adopt(&mut self, context: &mut Context, worker: &WorkerId, task: Task, attempt: Attempt) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        entry.may_have_run = true;
        let state = &mut entry.tasks[task.index as usize];
        state.phase = Phase::Running;
        state.started = true;
        state.attempt = attempt;
        state.worker = Some(worker.clone());
        let gang = entry.is_gang();
        if let Some(session) = self.sessions.get_mut(worker) {
            session.tasks.insert(task.clone());
        }
        match gang {
            true => {
                self.publish_worker(context, worker);
                self.book_gang(context, &task.work);
            }
            false => self.book_found(context, &task, worker),
        }
        self.on_running(context, &task);
    }

    /// Books a found task with the planner.
    fn book_found(&mut self, context: &mut Context, task: &Task, worker: &WorkerId) {
        let Some(entry) = self.works.get(&task.work) else { return };
        let job = self.job(context, entry);
        self.planner.adopt(context.now, &job, task.clone(), worker);
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        if !entry.submitted {
            // The planner now has the other tasks in its queue.
            entry.submitted = true;
            entry.tasks.iter_mut().for_each(|state| state.queued = true);
        }
        entry.tasks[task.index as usize].queued = false;
    }

    /// Books all parts of a gang once every part is found. The planner would place the queued parts of a gang of which
    /// it knows some only.
    fn book_gang(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        if entry.submitted || entry.closing.is_some() || entry.is_unplaced() {
            return;
        }
        let workers: Vec<Option<WorkerId>> =
            entry.tasks.iter().map(|state| state.worker.clone()).collect();
        let Some(any) = workers.iter().flatten().next().cloned() else { return };
        let task = |index: usize| Task { work: work.clone(), index: index as u32 };
        let succeeded = workers.iter().enumerate().filter(|(_, worker)| worker.is_none());
        for (index, _) in succeeded {
            // The worker still has the room of its own part, which is booked below.
            self.book_found(context, &task(index), &any);
            self.planner.release(context.now, &task(index), ReleaseCause::Succeeded);
        }
        for (index, worker) in workers.iter().enumerate() {
            if let Some(worker) = worker {
                self.book_found(context, &task(index), worker);
            }
        }
        for worker in workers.iter().flatten() {
            self.publish_worker(context, worker);
        }
    }

    /// Handles an end that an earlier owner did not record.
    fn note_earlier_end(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        task: Task,
        attempt: Attempt,
        end: AttemptOutcome,
    ) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        let (idempotent, gang) = (entry.is_idempotent(), entry.is_gang());
        let state = &mut entry.tasks[task.index as usize];
        state.attempt = state.attempt.max(attempt);
        match end {
            AttemptOutcome::Failed { .. } if idempotent && !gang => {
                // Another worker may run a later attempt, so the task stays unplaced.
                entry.failures = entry.failures.max(attempt);
                self.acknowledge(worker, (task, attempt));
            }
            AttemptOutcome::Succeeded { .. } if !service => {
                self.note_end(context, &task, attempt, worker, end);
                if gang {
                    self.book_gang(context, &task.work);
                }
            }
            _ if !idempotent => {
                state.phase = Phase::Free;
                self.note_end(context, &task, attempt, worker, end);
            }
            _ => self.acknowledge(worker, (task, attempt)),
        }
    }

    /// Handles a booked task that a snapshot lacks.
    fn note_missing(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        sequence: Sequence,
        task: &Task,
    ) {
        let incarnation = self.sessions.get(worker).and_then(|session| session.incarnation);
        let Some(state) = self.task_mut(task) else { return };
        if state.worker.as_ref() != Some(worker) || state.settled >= sequence {
            return;
        }
        match state.phase {
            Phase::Doubtful => {
                state.phase = Phase::RulingOut(None);
                let order = Order::Stop(task.clone(), state.attempt, StopMode::Stop);
                self.push_order(worker, order);
            }
            // The same process has neither run the attempt nor forgotten its end, which only this owner acknowledges.
            Phase::RuledOut if incarnation.is_some() && state.incarnation == incarnation => {
                self.put_back(context, task)
            }
            Phase::RuledOut | Phase::Running | Phase::Stopping(_, None) => {
                self.free(context, task, Some(ReleaseCause::Lost));
                self.after_loss(context, task);
            }
            // An open start or stop may take effect after the snapshot was made.
            _ => {}
        }
    }

    /// Forgets the tasks of a worker whose lease has surely lapsed.
    fn give_up(&mut self, context: &mut Context, worker: &WorkerId) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.lapsed = true;
        session.reconciled = false;
        session.claimed = false;
        session.published = None;
        session.orders.clear();
        session.acknowledge.clear();
        let tasks = std::mem::take(&mut session.tasks);
        let listed = session.listed;
        context.log(Level::Warn, "worker lost", vec![("worker", worker.clone())]);
        self.planner.remove_worker(context.now, worker);
        for task in tasks {
            let started = self.task_mut(&task).is_some_and(|state| state.phase.is_sent());
            self.free(context, &task, None);
            match started {
                true => self.after_loss(context, &task),
                false => self.put_back(context, &task),
            }
        }
        if !listed {
            self.sessions.remove(worker);
        }
    }

    /// Queues or ends work of an earlier owner once it is certain which of its tasks run.
    pub fn resolve_unplaced(&mut self, context: &mut Context, environment: &Environment) {
        if self.unplaced.is_empty() || !self.rows.loaded {
            return;
        }
        let lease = environment.settings.task_lease;
        let silent_lapsed = context.now >= self.acquired + lease_expiry_bound(lease);
        let known = self.is_settled(environment)
            && (self.epoch == 1 || environment.knows_vanished(context.now));
        if !known && context.now < self.next_resolve {
            return;
        }
        self.next_resolve = context.now + RESOLVE_INTERVAL;
        let works: Vec<WorkId> = self.unplaced.iter().cloned().collect();
        for work in works {
            let Some(entry) = self.works.get(&work) else {
                self.unplaced.remove(&work);
                continue;
            };
            let resolved = match &entry.record.state {
                State::Starting { workers, .. } => workers
                    .iter()
                    .zip(&entry.tasks)
                    .filter(|(worker, _)| !worker.is_empty())
                    .all(|(worker, task)| match self.sessions.get(worker) {
                        Some(session) => {
                            session.lapsed || session.reconciled && session.answered > task.settled
                        }
                        None => silent_lapsed,
                    }),
                _ => known,
            };
            if resolved {
                self.unplaced.remove(&work);
                self.resolve(context, environment, &work);
            }
        }
    }

    fn resolve(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let missing: Vec<u32> = (0..entry.tasks.len() as u32)
            .filter(|index| entry.tasks[*index as usize].phase == Phase::Unplaced)
            .collect();
        for index in &missing {
            entry.tasks[*index as usize].phase = Phase::Free;
        }
        let all_missing = missing.len() == entry.tasks.len();
        let attempts = entry.record.specification.attempts.max(1);
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        match () {
            _ if missing.is_empty() => {}
            _ if entry.closing.is_some() => self.close(context, work),
            _ if !entry.is_idempotent() => {
                let detail = "it was started by an earlier owner, and no worker has it";
                self.end(context, work, Ending::Unknown, detail);
            }
            _ if !service && entry.failures >= attempts => {
                self.end(context, work, Ending::Failed, "every allowed attempt failed");
            }
            _ if entry.is_gang() && !all_missing => {
                entry.closing = Some(Closing::Retry);
                self.close(context, work);
            }
            _ => {
                for index in missing {
                    self.queue(context, environment, &Task { work: work.clone(), index });
                }
            }
        }
    }

    /// Whether every worker of the shard has been compared with the records or has lapsed.
    pub fn is_settled(&self, environment: &Environment) -> bool {
        environment.list.is_some() && self.sessions.values().all(Session::is_resolved)
    }

    /// Marks the tasks of a work as possibly started by another owner.
    pub fn unplace(&mut self, work: &WorkId) {
        let sequence = self.next_sequence();
        let Some(entry) = self.works.get_mut(work) else { return };
        mark_unplaced(entry, sequence);
        self.unplaced.insert(work.clone());
    }
}

fn mark_unplaced(entry: &mut Entry, sequence: Sequence) {
    for state in &mut entry.tasks {
        state.phase = Phase::Unplaced;
        state.settled = sequence;
        state.worker = None;
    }
}
