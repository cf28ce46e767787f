//! Orders to workers: starts, stops and throttling.

use std::ops::RangeInclusive;

use crate::port::{Connection, Counter};
use crate::prelude::*;
use crate::scheduler::run_lists::{first_task, last_task, new_placement};
use crate::scheduler::session::{Phase, Session, UnansweredStart, WorkerKey, milliseconds};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Purpose, Scheduler};
use crate::worker::{Call, Error, Refusal, Report};

/// Timeout of an order. Answers take a few milliseconds.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which an unhealthy worker is avoided.
const UNHEALTHY_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a worker that had no room for a task is left out for the stage. Its registration, or the end of a run
/// there, may be late. Without the pause, the start is repeated in every round, also if other workers have room.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of starts in flight. Answers take a few milliseconds, so only a host that is short of processor time
/// reaches this limit. Without the limit, its calls delay each other until they time out, and the retries add to the
/// load.
pub(super) const STARTS_IN_FLIGHT_MAX: usize = 100;

/// Time after which an unanswered start no longer counts as in flight: its worker is unreachable.
const START_IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Returns the number of the next run, which is higher than any number of an earlier epoch.
    pub(super) fn allocate_run_number(&mut self) -> u64 {
        self.last_run_number += 1;
        self.last_run_number
    }

    /// Places a task on a worker and sends the start.
    pub(super) fn start(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        priority: u32,
        context: &mut Context,
    ) {
        let now = context.now;
        // A new incarnation that takes the start must not take the acknowledgement later.
        if self.sessions.get(worker).is_some_and(Session::is_acknowledging) {
            self.raise_fence(worker);
        }
        let (Some(step), Some(entry)) =
            (self.step(task.stage).cloned(), self.jobs.get(&task.stage.job))
        else {
            return;
        };
        let (team, job) = (entry.team.clone(), Rc::clone(&entry.job));
        let placement = new_placement(&step, number, team, priority, now);
        self.book(worker, task, placement);
        let Some(stage) = self.stage_mut(task.stage) else { return };
        let ticket = stage.approvals.get(worker).and_then(|cached| cached.ticket.clone());
        let Some(state) = stage.task_mut(task.index) else { return };
        state.place = Place::Placed(Rc::clone(worker));
        let checkpoint = state.checkpoint.clone();
        let lease_max = self.bounds.lease_max;
        let Some(session) = self.sessions.get_mut(worker) else { return };
        // A worker that died after its last answer must not hold its runs for longer than one lease from then on.
        let lease = context.latest_lease_end.min(session.heard + lease_max).saturating_sub(now);
        let clock = session.clock_now(now).unwrap_or_default();
        let until_ms = clock.saturating_add(milliseconds(lease));
        session.lease_until_ms = session.lease_until_ms.max(until_ms);
        session.lease_sent = now;
        let request = Call::Start {
            task,
            number,
            specification: job.specification.clone(),
            until_ms,
            checkpoint,
            ticket,
        };
        let fields = vec![
            ("task", task.to_string()),
            ("run", number.to_string()),
            ("worker", worker.to_string()),
            ("lease_ms", lease.as_millis().to_string()),
            ("until_ms", until_ms.to_string()),
        ];
        context.log("run_started", fields);
        context.outputs.push(Output::Count { counter: Counter::Starts, amount: 1 });
        self.order(worker, Purpose::Start(task, number), request, context);
    }

    fn order(
        &mut self,
        worker: &WorkerKey,
        purpose: Purpose,
        request: Call,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get(worker) else { return };
        let call = context.allocate_call();
        context.outputs.push(Output::Worker {
            call,
            address: session.registration.address.clone(),
            worker: worker.to_string(),
            fence: session.fence,
            request,
            connection: Connection::Pooled,
            timeout: ORDER_TIMEOUT,
        });
        self.calls.insert(call, (Rc::clone(worker), session.incarnation, purpose));
        if matches!(purpose, Purpose::Start(..)) {
            self.recent_starts.push_back((context.now, call));
        }
    }

    /// Returns whether so many starts are in flight that further ones would queue up in this host.
    pub(super) fn is_saturated(&mut self, now: Uptime) -> bool {
        let calls = &self.calls;
        self.recent_starts.retain(|(sent, call)| {
            now.saturating_sub(*sent) < START_IN_FLIGHT_TIMEOUT && calls.contains_key(call)
        });
        self.recent_starts.len() >= STARTS_IN_FLIGHT_MAX
    }

    /// Limits the speed of a best-effort run.
    pub(super) fn send_throttle(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        percent: u32,
        context: &mut Context,
    ) {
        self.order(worker, Purpose::Throttle, Call::Throttle { task, number, percent }, context);
    }

    /// Handles the result of a start.
    pub(super) fn start_result(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let now = context.now;
        if !matches!(result, Err(Error::Unanswered)) {
            self.release_decided_start(worker, task, number);
        }
        let Some(session) = self.sessions.get_mut(worker) else { return };
        let current = session.placements.get_mut(&task).filter(|run| run.number == number);
        let Some(placement) = current else { return };
        let error = match result {
            Ok(report) => {
                if placement.phase == Phase::Starting {
                    placement.phase = Phase::Running;
                    placement.changed = now;
                }
                let sent = placement.started;
                let foreign = session.is_foreign_clock(report.clock_ms, sent, now);
                if let Some(placement) = session.placements.get_mut(&task) {
                    placement.foreign_clock |= foreign;
                }
                self.mark_started(task.stage.job, context);
                // The clock may differ because this host was late with the last list, so the worker is only asked.
                if foreign {
                    self.ask_incarnation(worker, context);
                }
                return;
            }
            Err(error) => error,
        };
        let fields = vec![
            ("task", task.to_string()),
            ("run", number.to_string()),
            ("worker", worker.to_string()),
            ("error", error.to_string()),
        ];
        context.log("start_failed", fields);
        match error {
            Error::Unanswered => {
                if placement.phase == Phase::Starting {
                    placement.phase = Phase::StartUnanswered;
                    let sent = placement.started;
                    session.record_unanswered_start(UnansweredStart { task, number, sent }, now);
                    self.bind_to_late_start(worker, task, number, sent, context);
                    self.send_stop(worker, task, number, context);
                }
                return;
            }
            Error::Refused(Refusal::Ticket) => {
                if let Some(stage) = self.stage_mut(task.stage) {
                    stage.approvals.remove(worker);
                }
            }
            Error::Refused(Refusal::NoCapacity) => {
                if let Some(stage) = self.stage_mut(task.stage) {
                    stage.leave_out(worker, now + NO_ROOM_PAUSE, now);
                }
            }
            Error::Unhealthy => session.avoid_until = now + UNHEALTHY_PAUSE,
            Error::Unreachable | Error::OtherWorker => self.lose_contact(worker, error, context),
            Error::Refused(_) => {}
        }
        self.release(worker, &task);
        self.requeue(task, worker);
        self.break_gang(task, context);
    }

    /// Stops a run. If its start has not arrived yet, the worker refuses it later.
    pub(super) fn send_stop(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        if let Some(placement) = session.placements.get_mut(&task)
            && placement.number == number
        {
            let (phase, sent) = (placement.phase, placement.started);
            match phase {
                // The first list tells whether there is anything to stop.
                Phase::Undecided { .. } => return,
                Phase::StartUnanswered => {}
                Phase::Starting | Phase::Running | Phase::Stopping => {
                    placement.phase = Phase::Stopping;
                }
            }
            placement.changed = context.now;
            // The start may get no answer, and the run be gone before that is known.
            if phase == Phase::Starting {
                let start = UnansweredStart { task, number, sent };
                session.record_unanswered_start(start, context.now);
                self.bind_to_late_start(worker, task, number, sent, context);
            }
        }
        self.order(worker, Purpose::Stop(task, number), Call::Stop { task, number }, context);
    }

    /// Stops a run that is listed under a lower number than the placed one, without a change of the placement.
    pub(super) fn stop_stale_run(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        context: &mut Context,
    ) {
        self.order(worker, Purpose::Stop(task, number), Call::Stop { task, number }, context);
    }

    /// Handles the result of a stop.
    pub(super) fn stop_result(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        match result {
            Ok(_) => {
                if let Some(placement) = session.placements.get_mut(&task)
                    && placement.number == number
                {
                    placement.stop_confirmed = true;
                    placement.changed = context.now;
                }
                self.record_confirmed_stop(task, number);
            }
            Err(Error::Unreachable | Error::OtherWorker) => {
                self.lose_contact(worker, Error::Unreachable, context);
            }
            // The stop is repeated while the run is placed.
            Err(_) => {}
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, id: JobId, context: &mut Context) {
        self.stop_runs(first_task(id)..=last_task(id), context);
    }

    /// Stops the other members of a gang after one of them has ended or could not start: they cannot work without it.
    pub(super) fn break_gang(&mut self, task: TaskId, context: &mut Context) {
        if self.step(task.stage).is_some_and(|step| step.gang) {
            self.stop_runs(task.stage.tasks(), context);
        }
    }

    /// Stops the runs of the tasks in a range that are not being stopped yet.
    fn stop_runs(&mut self, tasks: RangeInclusive<TaskId>, context: &mut Context) {
        let runs: Vec<(WorkerKey, TaskId, u64)> = self
            .runs(tasks)
            .filter(|(_, _, run)| !matches!(run.phase, Phase::Stopping | Phase::StartUnanswered))
            .map(|(worker, task, run)| (Rc::clone(worker), task, run.number))
            .collect();
        for (worker, task, number) in runs {
            self.send_stop(&worker, task, number, context);
        }
    }
}
