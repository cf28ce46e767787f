//! Claims workers, sends heartbeats and reconciles worker snapshots with the records.

use shallotpost_policy::planner::{self, ReleaseCause};
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::work::{Class, Ending, State};
use shallotpost_protocol::worker::{
    AttemptOutcome, Refusal, Reply, Report, Request, Snapshot, StopMode, TaskState,
};

use crate::prelude::*;
use crate::scheduler::entry::{Closing, Entry, Phase, Sequence};
use crate::scheduler::environment::Environment;
use crate::scheduler::session::{Heartbeat, Order, Session};
use crate::scheduler::shard::{Call, OwnedShard};
use crate::settings::lease_expiry_bound;

/// Minimum delay before a failed `claim` or `sync` is retried; the maximum is twice this.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval at which unlocated work is checked while workers are silent.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of calls per worker timeout to a silent worker. With one per timeout, a worker that hung for 5 s received the
/// next call only after its task lease had lapsed.
const PROBES_PER_TIMEOUT: u32 = 2;

impl OwnedShard {
    /// Updates the sessions from the worker list.
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
        let delisted = self.sessions.iter_mut().filter(|(_, session)| !session.listed);
        let delisted = delisted.map(|(worker, session)| {
            // The lease is no longer renewed: a later owner cannot find the worker in the list, so its tasks must end.
            session.answering = false;
            session.reconciled = false;
            worker.clone()
        });
        for worker in delisted.collect::<Vec<_>>() {
            self.publish_worker(context, &worker);
        }
    }

    /// Adds sessions for workers that left the list so recently that they may still run tasks of an earlier owner.
    pub fn add_delisted(&mut self, context: &mut Context, environment: &Environment) {
        for listing in environment.delisted(&self.id, context.now) {
            let worker = listing.worker.clone();
            let mut session = Session::new(listing.clone(), context.now);
            session.listed = false;
            self.sessions.entry(worker).or_insert(session);
        }
    }

    /// Updates a worker in the planner if its state changed.
    pub fn publish_worker(&mut self, context: &mut Context, worker: &WorkerId) {
        let Some(session) = self.sessions.get(worker) else { return };
        if session.lapsed {
            return;
        }
        // Tasks of a gang that were found on the worker are not booked in the planner yet, so it must place no others there.
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

    /// Sends due heartbeats, and marks workers as lost whose task lease has certainly lapsed.
    pub fn maintain_sessions(&mut self, context: &mut Context, environment: &Environment) {
        let due = self.sessions.iter().filter(|(_, session)| {
            session.heartbeat.is_none() && context.now >= session.next_heartbeat
                || !session.answering
        });
        let due: Vec<WorkerId> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            let lease = environment.settings.task_lease;
            let lapses = self
                .sessions
                .get(&worker)
                .is_some_and(|session| !session.lapsed && session.has_lapsed(context.now, lease));
            if lapses {
                self.mark_worker_lost(context, &worker);
            }
            self.send_heartbeat(context, environment, &worker);
        }
    }

    fn send_heartbeat(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        worker: &WorkerId,
    ) {
        if self.fenced || self.releasing.is_some() {
            return;
        }
        let settings = &environment.settings;
        let sequence = self.next_sequence();
        let Some(session) = self.sessions.get_mut(worker) else { return };
        if session.heartbeat.is_some() || context.now < session.next_heartbeat || !session.listed {
            return;
        }
        // An owner that was paused or is partitioned may have lost the shard. It may continue with workers that hold its
        // epoch, but a new owner may already treat a worker without a lease as empty.
        let lapsed = environment.ownership_lease_until.is_some()
            && !Environment::lease_holds(environment.ownership_lease_until, context.now);
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
            true => session.to_acknowledge.iter().cloned().collect(),
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
        session.heartbeat = Some(Heartbeat { call, sequence, full_lease, acknowledged });
        self.calls.insert(call, Call::Heartbeat(worker.clone()));
    }

    pub fn on_heartbeat_answer(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        call: CallId,
        worker: &WorkerId,
        result: Result<Reply, Failure>,
    ) {
        let now = context.now;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let Some(heartbeat) = session.heartbeat.take_if(|open| open.call == call) else { return };
        match result {
            Ok(Reply::State(snapshot)) => {
                self.note_process(context, worker, snapshot.incarnation);
                let Some(session) = self.sessions.get_mut(worker) else { return };
                session.silence = None;
                session.claimed = true;
                session.answering = session.listed;
                session.silent = false;
                session.lapsed = false;
                session.renewed = now;
                session.next_heartbeat = now;
                session.leaving = snapshot.leaving;
                session.listing.capacity = snapshot.capacity;
                heartbeat.acknowledged.iter().for_each(|key| {
                    session.to_acknowledge.remove(key);
                });
                match self.rows.loaded {
                    true => self.reconcile(context, worker, heartbeat.sequence, snapshot),
                    false => self.defer_snapshot(worker, heartbeat.sequence, snapshot),
                }
            }
            Ok(Reply::Refused(Refusal::NotClaimed)) => {
                session.claimed = false;
                session.next_heartbeat = now;
                self.publish_worker(context, worker);
            }
            Ok(Reply::Refused(_)) => {
                session.next_heartbeat = now + environment.jitter(HEARTBEAT_RETRY_DELAY);
                self.note_refusal(context, worker, &result);
            }
            Ok(Reply::Done) | Err(_) => {
                self.note_silence(now, worker);
                let Some(session) = self.sessions.get_mut(worker) else { return };
                let sent = !matches!(result, Err(Failure::NotSent | Failure::Rejected));
                if sent && heartbeat.full_lease {
                    session.renewed = now;
                }
                session.answering = false;
                session.silent = true;
                session.reconciled = false;
                session.next_heartbeat = now + environment.jitter(HEARTBEAT_RETRY_DELAY);
                self.publish_worker(context, worker);
            }
        }
    }

    fn defer_snapshot(&mut self, worker: &WorkerId, sequence: Sequence, snapshot: Snapshot) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.deferred_snapshot = Some((sequence, snapshot));
        }
    }

    /// Reconciles the snapshots that arrived before the records were loaded.
    pub fn reconcile_deferred(&mut self, context: &mut Context) {
        let deferred = self.sessions.iter_mut().filter_map(|(worker, session)| {
            session
                .deferred_snapshot
                .take()
                .map(|(sequence, snapshot)| (worker.clone(), sequence, snapshot))
        });
        for (worker, sequence, snapshot) in deferred.collect::<Vec<_>>() {
            self.reconcile(context, &worker, sequence, snapshot);
        }
    }

    /// Reconciles a snapshot that was requested at `sequence` with the records.
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
        self.resolve_losses(context, worker);
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
        let unlocated = phase == Some(&Phase::Unlocated);
        match state {
            TaskState::Running { .. } if booked => {
                self.note_running(context, worker, sequence, &task, attempt);
                if let Some(usage) = usage {
                    self.planner.record_usage(context.now, &task, &usage);
                }
            }
            TaskState::Running { .. } if unlocated => self.adopt(context, worker, task, attempt),
            TaskState::Running { .. } => self.stop_unexpected(worker, task, attempt),
            TaskState::Ended(outcome) if booked => {
                self.on_task_end(context, &task, attempt, worker, outcome)
            }
            TaskState::Ended(outcome) if unlocated => {
                self.note_earlier_end(context, worker, task, attempt, outcome)
            }
            TaskState::Ended(_) => {
                let held = entry.is_some_and(|entry| {
                    entry.deferred_acknowledgements.iter().any(|(holder, held, number)| {
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
            Phase::Starting(_) | Phase::Unconfirmed => self.on_running(context, task),
            Phase::Stopping(mode, None) if state.conclusive_after < sequence => {
                // The stop call failed, or the worker has not completed it yet.
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

    fn stop_unexpected(&mut self, worker: &WorkerId, task: Task, attempt: Attempt) {
        let call = Call::Stop(worker.clone(), task.clone(), attempt);
        if !self.calls.values().any(|open| *open == call) {
            self.push_order(worker, Order::Stop(task, attempt, StopMode::Stop));
        }
    }

    /// Adopts a running task that an earlier owner started.
    fn adopt(&mut self, context: &mut Context, worker: &WorkerId, task: Task, attempt: Attempt) {
        let incarnation = self.sessions.get(worker).and_then(|session| session.incarnation);
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        entry.may_have_run = true;
        let state = &mut entry.tasks[task.index as usize];
        state.phase = Phase::Running;
        state.started = true;
        state.attempt = attempt;
        state.worker = Some(worker.clone());
        state.started_at = Some(context.now);
        state.ran_in = incarnation;
        let gang = entry.is_gang();
        if let Some(session) = self.sessions.get_mut(worker) {
            session.tasks.insert(task.clone());
        }
        match gang {
            true => {
                self.publish_worker(context, worker);
                self.book_gang(context, &task.work);
            }
            false => self.book_adopted(context, &task, worker),
        }
        self.on_running(context, &task);
    }

    /// Books an adopted task in the planner.
    fn book_adopted(&mut self, context: &mut Context, task: &Task, worker: &WorkerId) {
        self.mark_suspects(context, &task.work);
        let Some(entry) = self.works.get(&task.work) else { return };
        let job = self.job(context, entry);
        self.planner.adopt(context.now, &job, task.clone(), worker);
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        if !entry.submitted {
            // Adopting one task also queues the other tasks of the job.
            entry.submitted = true;
            entry.tasks.iter_mut().for_each(|state| state.queued = true);
        }
        entry.tasks[task.index as usize].queued = false;
    }

    /// Books all tasks of a gang once every task is located. If only some were booked, the planner would place the others
    /// again.
    fn book_gang(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        if entry.submitted || entry.closing.is_some() || entry.is_unlocated() {
            return;
        }
        let workers: Vec<Option<WorkerId>> =
            entry.tasks.iter().map(|state| state.worker.clone()).collect();
        let Some(any) = workers.iter().flatten().next().cloned() else { return };
        let task = |index: usize| Task { work: work.clone(), index: index as u32 };
        let succeeded = workers.iter().enumerate().filter(|(_, worker)| worker.is_none());
        for (index, _) in succeeded {
            // The capacity of the worker's own task, which is booked below, is still free for this short booking.
            self.book_adopted(context, &task(index), &any);
            self.planner.release(context.now, &task(index), ReleaseCause::Succeeded);
        }
        for (index, worker) in workers.iter().enumerate() {
            if let Some(worker) = worker {
                self.book_adopted(context, &task(index), worker);
            }
        }
        for worker in workers.iter().flatten() {
            self.publish_worker(context, worker);
        }
    }

    /// Handles the end of an attempt that an earlier owner did not record.
    fn note_earlier_end(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        task: Task,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        let service = matches!(entry.record.specification.class, Class::Service { .. });
        let (idempotent, gang) = (entry.is_idempotent(), entry.is_gang());
        let state = &mut entry.tasks[task.index as usize];
        state.attempt = state.attempt.max(attempt);
        match outcome {
            AttemptOutcome::Failed { .. } if idempotent && !gang => {
                // Another worker may run a later attempt, so the task stays unlocated.
                entry.failures = entry.failures.max(attempt);
                self.acknowledge(worker, (task, attempt));
            }
            AttemptOutcome::Succeeded { .. } if !service => {
                self.note_end(context, &task, attempt, worker, outcome);
                if gang {
                    self.book_gang(context, &task.work);
                }
            }
            _ if !idempotent => {
                state.phase = Phase::Idle;
                self.note_end(context, &task, attempt, worker, outcome);
            }
            _ => self.acknowledge(worker, (task, attempt)),
        }
    }

    /// Handles a booked task that is missing from a snapshot.
    fn note_missing(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        sequence: Sequence,
        task: &Task,
    ) {
        let incarnation = self.sessions.get(worker).and_then(|session| session.incarnation);
        let Some(state) = self.task_mut(task) else { return };
        if state.worker.as_ref() != Some(worker) || state.conclusive_after >= sequence {
            return;
        }
        match state.phase {
            Phase::Unconfirmed => {
                state.phase = Phase::RevokingStart(None);
                let order = Order::Stop(task.clone(), state.attempt, StopMode::Stop);
                self.push_order(worker, order);
            }
            // The same process has neither run the attempt nor forgotten its end, since only this owner acknowledges it.
            Phase::StartRevoked if incarnation.is_some() && state.incarnation == incarnation => {
                self.requeue_unstarted(context, task)
            }
            Phase::StartRevoked | Phase::Running | Phase::Stopping(_, None) => {
                let ended = self.sessions.get(worker).and_then(|session| session.ended.as_ref());
                let loss = ended.and_then(|process| self.loss(task, process, true));
                self.release_booking(context, task, Some(ReleaseCause::Lost));
                if let Some(loss) = loss {
                    self.record_loss(context, &task.work, loss);
                }
                self.after_loss(context, task);
            }
            // An open start or stop may take effect after the snapshot was taken.
            _ => {}
        }
    }

    /// Releases the tasks of a worker whose task lease has certainly lapsed, and restarts them or ends their work.
    fn mark_worker_lost(&mut self, context: &mut Context, worker: &WorkerId) {
        let process = self.process(context.now, worker);
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.lapsed = true;
        session.reconciled = false;
        session.claimed = false;
        session.published = None;
        session.orders.clear();
        session.to_acknowledge.clear();
        let tasks = std::mem::take(&mut session.tasks);
        let listed = session.listed;
        context.log(Level::Warn, "worker lost", vec![("worker", worker.clone())]);
        self.planner.remove_worker(context.now, worker);
        for task in tasks {
            let started = self.task_mut(&task).is_some_and(|state| state.phase.is_sent());
            let loss = process.as_ref().and_then(|process| self.loss(&task, process, false));
            self.release_booking(context, &task, None);
            match started {
                true => {
                    if let Some(loss) = loss {
                        self.record_loss(context, &task.work, loss);
                    }
                    self.after_loss(context, &task)
                }
                false => self.requeue_unstarted(context, &task),
            }
        }
        if !listed {
            self.sessions.remove(worker);
        }
    }

    /// Queues or ends unlocated work once it is certain which of its tasks run.
    pub fn resolve_unlocated(&mut self, context: &mut Context, environment: &Environment) {
        if self.unlocated.is_empty() || !self.rows.loaded {
            return;
        }
        let lease = environment.settings.task_lease;
        let silent_lapsed = context.now >= self.acquired + lease_expiry_bound(lease);
        let known = self.all_workers_resolved(environment)
            && (self.epoch == 1 || environment.knows_delisted(context.now));
        if !known && context.now < self.next_resolve {
            return;
        }
        self.next_resolve = context.now + RESOLVE_INTERVAL;
        let works: Vec<WorkId> = self.unlocated.iter().cloned().collect();
        for work in works {
            let Some(entry) = self.works.get(&work) else {
                self.unlocated.remove(&work);
                continue;
            };
            let resolved = match &entry.record.state {
                State::Starting { workers, .. } => workers
                    .iter()
                    .zip(&entry.tasks)
                    .filter(|(worker, _)| !worker.is_empty())
                    .all(|(worker, task)| match self.sessions.get(worker) {
                        Some(session) => {
                            session.lapsed
                                || session.reconciled && session.answered > task.conclusive_after
                        }
                        None => silent_lapsed,
                    }),
                _ => known,
            };
            if resolved {
                self.unlocated.remove(&work);
                self.resolve(context, environment, &work);
            }
        }
    }

    fn resolve(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let missing: Vec<u32> = (0..entry.tasks.len() as u32)
            .filter(|index| entry.tasks[*index as usize].phase == Phase::Unlocated)
            .collect();
        for index in &missing {
            entry.tasks[*index as usize].phase = Phase::Idle;
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

    /// Returns whether every worker of the shard has been reconciled or has lapsed.
    pub fn all_workers_resolved(&self, environment: &Environment) -> bool {
        environment.list.is_some() && self.sessions.values().all(Session::is_resolved)
    }

    /// Marks the tasks of work as possibly started by another owner.
    pub fn mark_unlocated(&mut self, work: &WorkId) {
        let sequence = self.next_sequence();
        let Some(entry) = self.works.get_mut(work) else { return };
        mark_tasks_unlocated(entry, sequence);
        self.unlocated.insert(work.clone());
    }
}

fn mark_tasks_unlocated(entry: &mut Entry, sequence: Sequence) {
    for state in &mut entry.tasks {
        state.phase = Phase::Unlocated;
        state.conclusive_after = sequence;
        state.worker = None;
    }
}
