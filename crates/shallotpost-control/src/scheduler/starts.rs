//! Start and stop calls, and the checks immediately before each start.

use shallotpost_policy::planner::ReleaseCause;
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, State};
use shallotpost_protocol::worker::{Assignment, Refusal, Reply, Request, StopMode};

use crate::prelude::*;
use crate::scheduler::entry::{Closing, Entry, Phase, TaskEntry};
use crate::scheduler::environment::Environment;
use crate::scheduler::session::{ORDERS_IN_FLIGHT_MAX, Order};
use crate::scheduler::shard::{Call, OwnedShard, REFUSED_DELAY};
use crate::settings::Fencing;

/// Reason why a task may not be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StartDenied {
    /// The shard is fenced, being released or not loaded yet.
    NotOwned,
    /// The configuration lease has lapsed.
    StaleConfiguration,
    /// The data centre is drained.
    Drained,
    /// The team is not configured.
    NoTeam,
    /// The ownership lease has lapsed, and workers do not fence by epoch.
    LeaseLapsed,
    /// The work is closing or has ended.
    Ending,
    Expired,
}

impl OwnedShard {
    /// Checks the conditions for starts that concern the whole shard.
    ///
    /// # Errors
    ///
    /// Returns the first condition that is not met.
    pub fn check_shard(&self, environment: &Environment, now: Instant) -> Result<(), StartDenied> {
        if !self.takes_starts() {
            return Err(StartDenied::NotOwned);
        }
        if !Environment::lease_holds(environment.configuration_lease_until, now) {
            return Err(StartDenied::StaleConfiguration);
        }
        if environment.availability(&self.id.data_centre) != Availability::Active {
            return Err(StartDenied::Drained);
        }
        if environment.settings.fencing == Fencing::None
            && !Environment::lease_holds(environment.ownership_lease_until, now)
        {
            return Err(StartDenied::LeaseLapsed);
        }
        Ok(())
    }

    /// Checks all conditions for starting a task of `entry`.
    fn check_start(
        &self,
        context: &Context,
        environment: &Environment,
        entry: &Entry,
    ) -> Result<(), StartDenied> {
        self.check_shard(environment, context.now)?;
        let specification = &entry.record.specification;
        if environment.snapshot.team(&specification.team).is_none() {
            return Err(StartDenied::NoTeam);
        }
        if entry.is_ending() || entry.closing.is_some() {
            return Err(StartDenied::Ending);
        }
        let restartable = matches!(specification.class, Class::Service { .. });
        match specification.deadline_unix_ms {
            Some(deadline) if deadline <= context.unix_ms && !restartable => {
                Err(StartDenied::Expired)
            }
            _ => Ok(()),
        }
    }

    /// Sends queued orders, up to [`ORDERS_IN_FLIGHT_MAX`] open ones per worker.
    pub fn send_orders(&mut self, context: &mut Context, environment: &Environment) {
        if self.fenced {
            return;
        }
        let pending = self.sessions.iter().filter(|(_, session)| !session.orders.is_empty());
        let workers: Vec<WorkerId> = pending.map(|(worker, _)| worker.clone()).collect();
        for worker in workers {
            self.send_worker_orders(context, environment, &worker);
        }
    }

    fn send_worker_orders(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        worker: &WorkerId,
    ) {
        while let Some(session) = self.sessions.get_mut(worker)
            && session.in_flight < ORDERS_IN_FLIGHT_MAX
            && let Some(order) = session.orders.pop_front()
        {
            match order {
                Order::Start(task, attempt) => {
                    self.send_start(context, environment, worker, task, attempt)
                }
                Order::Stop(task, attempt, mode) => {
                    self.send_stop(context, environment, worker, task, attempt, mode)
                }
            }
        }
    }

    fn send_start(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        worker: &WorkerId,
        task: Task,
        attempt: Attempt,
    ) {
        let Some(entry) = self.works.get(&task.work) else { return };
        let state = &entry.tasks[task.index as usize];
        let current = state.phase == Phase::Planned
            && state.attempt == attempt
            && state.worker.as_ref() == Some(worker);
        if !current {
            return;
        }
        if !entry.is_idempotent() && !self.intent_is_durable(entry, &task, worker) {
            return;
        }
        let session = self.sessions.get(worker);
        let open = session.is_some_and(|session| session.is_open());
        let incarnation = session.and_then(|session| session.incarnation);
        match self.check_start(context, environment, entry) {
            Ok(()) if open => {
                let specification = &entry.record.specification;
                let assignment = Assignment {
                    task: task.clone(),
                    attempt,
                    size: specification.size,
                    command: specification.command.clone(),
                    input: specification.input.clone(),
                };
                let request = Request::Start { epoch: self.epoch, assignment };
                let order = Call::Start(worker.clone(), task.clone(), attempt);
                let call = self.call_order(context, environment, worker, request, order);
                let Some(entry) = self.works.get_mut(&task.work) else { return };
                entry.may_have_run = true;
                let state = &mut entry.tasks[task.index as usize];
                state.phase = Phase::Starting(call);
                state.started_at = Some(context.now);
                state.ran_in = incarnation;
                state.incarnation = match environment.settings.fencing {
                    Fencing::Epoch => incarnation,
                    Fencing::None => None,
                };
            }
            Err(StartDenied::Expired) => {
                let work = task.work;
                self.end(context, &work, Ending::Expired, "the deadline passed before a start");
            }
            Ok(()) => self.requeue_unstarted(context, &task),
            Err(barrier) => {
                let fields = vec![("task", task.to_string()), ("barrier", barrier.to_string())];
                context.log(Level::Info, "start withheld", fields);
                self.requeue_unstarted(context, &task);
            }
        }
    }

    fn intent_is_durable(&self, entry: &Entry, task: &Task, worker: &WorkerId) -> bool {
        match &entry.record.state {
            State::Starting { workers, epoch } => {
                *epoch == self.epoch && workers.get(task.index as usize) == Some(worker)
            }
            _ => false,
        }
    }

    fn send_stop(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        worker: &WorkerId,
        task: Task,
        attempt: Attempt,
        mode: StopMode,
    ) {
        let request = Request::Stop { epoch: self.epoch, task: task.clone(), attempt, mode };
        let order = Call::Stop(worker.clone(), task.clone(), attempt);
        let call = self.call_order(context, environment, worker, request, order);
        if let Some(state) = self.task_mut(&task)
            && state.attempt == attempt
            && let Phase::Stopping(_, open) | Phase::RevokingStart(open) = &mut state.phase
        {
            *open = Some(call);
        }
    }

    fn call_order(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        worker: &WorkerId,
        request: Request,
        order: Call,
    ) -> CallId {
        let address = match self.sessions.get_mut(worker) {
            Some(session) => {
                session.in_flight += 1;
                session.listing.address.clone()
            }
            None => Address::new(),
        };
        let timeout = environment.settings.worker_timeout;
        let call = context.call_worker(worker.clone(), address, request, timeout);
        self.calls.insert(call, order);
        call
    }

    pub fn on_start_answer(
        &mut self,
        context: &mut Context,
        call: CallId,
        worker: &WorkerId,
        task: &Task,
        result: Result<Reply, Failure>,
    ) {
        self.close_order(worker);
        self.note_refusal(context, worker, &result);
        let sequence = self.next_sequence();
        let Some(state) = self.task_mut(task) else { return };
        // A snapshot may have resolved the start before its answer arrived.
        if state.phase != Phase::Starting(call) {
            return;
        }
        match result {
            Ok(Reply::Done) => {
                state.conclusive_after = sequence;
                self.on_running(context, task);
            }
            Ok(Reply::Refused(_)) | Err(Failure::NotSent | Failure::Rejected) => {
                self.requeue_unstarted(context, task)
            }
            Ok(Reply::State(_)) | Err(Failure::Ambiguous) => {
                state.phase = Phase::Unconfirmed;
                state.conclusive_after = sequence;
            }
        }
    }

    /// Handles the answer to a stop call. Only a later snapshot confirms that the task has ended.
    pub fn on_stop_answer(
        &mut self,
        context: &mut Context,
        call: CallId,
        worker: &WorkerId,
        task: &Task,
        result: Result<Reply, Failure>,
    ) {
        self.close_order(worker);
        self.note_refusal(context, worker, &result);
        let sequence = self.next_sequence();
        let Some(state) = self.task_mut(task) else { return };
        let next = match (&state.phase, &result) {
            (Phase::Stopping(mode, Some(open)), _) if *open == call => Phase::Stopping(*mode, None),
            (Phase::RevokingStart(Some(open)), result) if *open == call => match result {
                Ok(Reply::Refused(Refusal::NoSuchTask)) => Phase::StartRevoked,
                // The start arrived late, and the stop ended the task.
                Ok(Reply::Done) => Phase::Stopping(StopMode::Stop, None),
                _ => Phase::Unconfirmed,
            },
            _ => return,
        };
        state.phase = next;
        state.conclusive_after = sequence;
    }

    fn close_order(&mut self, worker: &WorkerId) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.in_flight = session.in_flight.saturating_sub(1);
        }
    }

    /// Updates the session or fences the shard if the worker refused the call.
    pub fn note_refusal(
        &mut self,
        context: &mut Context,
        worker: &WorkerId,
        result: &Result<Reply, Failure>,
    ) {
        let Ok(Reply::Refused(refusal)) = result else { return };
        match refusal {
            Refusal::StaleEpoch { current } => self.fence(context, *current),
            Refusal::NotClaimed => {
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.claimed = false;
                    session.next_heartbeat = context.now;
                }
                self.publish_worker(context, worker);
            }
            Refusal::Leaving => {
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.leaving = true;
                }
                self.publish_worker(context, worker);
            }
            Refusal::Full | Refusal::NoSuchTask => {}
        }
    }

    /// Stops acting on a shard that another host has claimed with `epoch`.
    pub fn fence(&mut self, context: &mut Context, epoch: Epoch) {
        if !self.fenced {
            self.fenced = true;
            let shard = self.id.clone();
            context.send(ServiceName::Ownership, Message::ShardFenced { shard, epoch });
        }
    }

    /// Releases the booking of a task that was certainly not started, and queues the task again.
    ///
    /// An idempotent gang is restarted as a whole. Non-idempotent work ends if another of its tasks may have run.
    pub fn requeue_unstarted(&mut self, context: &mut Context, task: &Task) {
        self.release_booking(context, task, Some(ReleaseCause::Refused));
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        // A task of the gang that has succeeded must not run again either.
        let ran =
            |other: &TaskEntry| other.phase.is_sent() || matches!(other.phase, Phase::Done(_));
        let others_ran = entry.tasks.iter().any(ran);
        let recorded = matches!(entry.record.state, State::Starting { .. });
        match () {
            _ if entry.closing.is_some() => self.close(context, &task.work),
            _ if entry.is_idempotent() && entry.is_gang() => {
                entry.closing = Some(Closing::Retry);
                self.close(context, &task.work);
            }
            _ if entry.is_idempotent() => self.queue_later(context, task, REFUSED_DELAY),
            _ if others_ran => {
                self.end(context, &task.work, Ending::Failed, "a part could not be started");
            }
            _ => self.withdraw_intent(context, &task.work, recorded),
        }
    }

    /// Queues non-idempotent work again whose tasks were certainly not started. If the intent is `recorded`, it is first
    /// replaced in the record.
    pub fn withdraw_intent(&mut self, context: &mut Context, work: &WorkId, recorded: bool) {
        let Some(entry) = self.works.get_mut(work) else { return };
        let indices = 0..entry.tasks.len() as u32;
        let tasks: Vec<Task> = indices.map(|index| Task { work: work.clone(), index }).collect();
        for task in &tasks {
            if self.task_mut(task).is_some_and(|state| state.phase == Phase::Planned) {
                self.release_booking(context, task, Some(ReleaseCause::Refused));
            }
        }
        if recorded {
            self.set_pending_state(work, State::Admitted);
            return;
        }
        for task in &tasks {
            if self.task_mut(task).is_some_and(|state| state.phase == Phase::Idle) {
                self.queue_later(context, task, REFUSED_DELAY);
            }
        }
    }

    /// Requests a stop, checkpoint, throttle or resume of a task. The request is kept until the task runs.
    pub fn stop_task(&mut self, task: &Task, mode: StopMode) {
        let Some(state) = self.task_mut(task) else { return };
        let Some(worker) = state.worker.clone() else { return };
        if state.phase != Phase::Running {
            state.deferred_stop = Some(mode);
            return;
        }
        let attempt = state.attempt;
        if matches!(mode, StopMode::Stop | StopMode::Checkpoint) {
            state.phase = Phase::Stopping(mode, None);
        }
        if let Some(session) = self.sessions.get_mut(&worker) {
            session.orders.push_back(Order::Stop(task.clone(), attempt, mode));
        }
    }

    pub fn stop_tasks(&mut self, work: &WorkId, mode: StopMode) {
        let Some(entry) = self.works.get(work) else { return };
        for index in 0..entry.tasks.len() as u32 {
            self.stop_task(&Task { work: work.clone(), index }, mode);
        }
    }

    /// Marks a task as running, and stops it if that was requested in the meantime.
    pub fn on_running(&mut self, context: &mut Context, task: &Task) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        let closing = entry.closing.is_some();
        let Some(state) = entry.tasks.get_mut(task.index as usize) else { return };
        state.phase = Phase::Running;
        if !std::mem::replace(&mut state.started, true) {
            let waiting = context.unix_ms.saturating_sub(entry.record.admitted_unix_ms);
            let class = entry.record.specification.class;
            let waiting = Duration::from_millis(waiting);
            context.observe(Observation::Waited { class, waiting });
        }
        let mode = state.deferred_stop.take();
        if let Some(mode) = if closing { Some(StopMode::Stop) } else { mode } {
            self.stop_task(task, mode);
        }
    }
}
