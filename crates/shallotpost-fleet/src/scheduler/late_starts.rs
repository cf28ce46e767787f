//! Starts that a later incarnation of their worker may still carry out.
//!
//! A start without an answer may be carried out seconds later. A confirmed stop, the list of an incarnation and its fencing
//! token rule that out for this incarnation alone: the next one knows nothing of them until the owner's first call. So the
//! task runs again on the incarnation that the start was meant for, or not at all for a while.

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::session::{Phase, WorkerKey};
use crate::scheduler::stage::{Place, Task};
use crate::scheduler::{Context, Scheduler};
use crate::worker::EndedRun;

/// Time from an unanswered start until its task may run anywhere. A start can be later than that, but a job with nothing
/// running may stand for at most 3 s once the fleet has been calm for 4 s.
const LATE_START_WAIT: Duration = Duration::from_secs(6);

/// Maximum time for which the end of a bound task is not acknowledged. Workers' ends must be acknowledged within 4 s.
const END_HOLD_MAX: Duration = Duration::from_secs(3);

/// An unanswered start that a later incarnation of its worker may carry out.
#[derive(Clone, Debug)]
pub struct LateStart {
    pub worker: WorkerKey,
    /// Number of the run.
    pub number: u64,
    /// Incarnation of the worker that the start was meant for.
    pub incarnation: u64,
    /// Time until which the task runs on this incarnation or nowhere.
    pub until: Uptime,
}

impl Scheduler {
    /// Binds a task to the worker to which a start without an answer was sent.
    pub(super) fn bind_to_late_start(
        &mut self,
        worker: &WorkerKey,
        task: TaskId,
        number: u64,
        sent: Uptime,
        context: &mut Context,
    ) {
        let until = sent.saturating_add(LATE_START_WAIT);
        // A ticket is valid for one incarnation, so no other one accepts the start.
        let has_ticket =
            self.policy(task.stage.job).is_some_and(|policy| policy.approval.is_some());
        let overlaps = self.step(task.stage).is_none_or(|step| step.duplicates);
        if has_ticket || overlaps || until <= context.now {
            return;
        }
        let Some(incarnation) = self.sessions.get(worker).map(|session| session.incarnation) else {
            return;
        };
        let Some(stage) = self.stage_mut(task.stage) else { return };
        let Some(state) = stage.task_mut(task.index) else { return };
        state.late_start =
            Some(LateStart { worker: Rc::clone(worker), number, incarnation, until });
        self.late_starts.insert(task);
        let fields = vec![
            ("task", task.to_string()),
            ("worker", worker.to_string()),
            ("life", incarnation.to_string()),
            ("wait_ms", until.saturating_sub(context.now).as_millis().to_string()),
        ];
        context.log("task_bound", fields);
    }

    /// Binds the tasks to their worker whose starts are in flight while its process is replaced.
    pub(super) fn bind_starts_in_flight(&mut self, worker: &WorkerKey, context: &mut Context) {
        let Some(session) = self.sessions.get(worker) else { return };
        let placements = session.placements.iter();
        let in_flight: Vec<(TaskId, u64, Uptime)> = placements
            .filter(|(_, run)| run.phase == Phase::Starting)
            .map(|(task, run)| (*task, run.number, run.started))
            .collect();
        for (task, number, sent) in in_flight {
            self.bind_to_late_start(worker, task, number, sent, context);
        }
    }

    /// Releases a task whose start is not carried out later: it had an answer, was not sent, or a list shows its run or its end.
    pub(super) fn release_decided_start(&mut self, worker: &WorkerKey, task: TaskId, number: u64) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.unanswered_starts.retain(|start| (start.task, start.number) != (task, number));
        }
        let Some(stage) = self.stage_mut(task.stage) else { return };
        if let Some(state) = stage.touched_mut(task.index)
            && state.late_start.as_ref().is_some_and(|late| late.number == number)
        {
            state.late_start = None;
            self.late_starts.remove(&task);
            self.set_waiting(task.stage);
        }
    }

    /// Keeps the end of a bound task unacknowledged while its late start may still be carried out: a run that starts after an
    /// acknowledged end has run twice.
    pub(super) fn hold_end(&mut self, worker: &WorkerKey, end: &EndedRun, now: Uptime) {
        let state = self.stage(end.task.stage).and_then(|stage| stage.task(end.task.index));
        let Some(until) = state.and_then(|state| state.late_start.as_ref()).map(|late| late.until)
        else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(worker) {
            session.held_ends.retain(|(_, until)| *until > now);
            session.held_ends.push((end.sequence, until.min(now + END_HOLD_MAX)));
        }
    }

    /// Releases tasks whose late starts are over.
    pub(super) fn release_bound_tasks(&mut self, context: &mut Context) {
        let now = context.now;
        let bound = std::mem::take(&mut self.late_starts);
        for task in bound {
            let state = self.stage_mut(task.stage).and_then(|stage| stage.touched_mut(task.index));
            let Some(state) = state else { continue };
            match &state.late_start {
                Some(late) if late.until > now => drop(self.late_starts.insert(task)),
                Some(late) => {
                    let worker = late.worker.to_string();
                    state.late_start = None;
                    let waits = state.place == Place::Waiting;
                    // Other members of a gang may wait although this one does not.
                    self.set_waiting(task.stage);
                    if waits {
                        let fields = vec![("task", task.to_string()), ("worker", worker)];
                        context.log("task_unbound", fields);
                    }
                }
                None => {}
            }
        }
    }

    /// Starts bound tasks again on the incarnations to which they are bound.
    pub(super) fn place_bound_tasks(&mut self, round: &mut Round, context: &mut Context) {
        let bound: Vec<TaskId> = self.late_starts.iter().copied().collect();
        for task in bound {
            if self.is_saturated(context.now) {
                return;
            }
            self.place_bound_task(task, round, context);
        }
    }

    fn place_bound_task(&mut self, task: TaskId, round: &mut Round, context: &mut Context) {
        let state = self.stage(task.stage).and_then(|stage| stage.task(task.index));
        let waits = |state: &Task| state.place == Place::Waiting;
        let Some(late) =
            state.filter(|state| waits(state)).and_then(|state| state.late_start.clone())
        else {
            return;
        };
        if !self.unfinished.contains(&task.stage.job) {
            return;
        }
        let Some(demand) = self.demand_of(task.stage, context) else { return };
        let pool = &demand.policy.pool;
        let mut workers = round.take_workers(pool);
        let meant = |worker: &&mut PoolWorker| {
            worker.key == late.worker && worker.incarnation == late.incarnation
        };
        if let Some(worker) = workers.iter_mut().find(meant)
            && self.accepts_again(&demand, task, worker, round, context.now)
        {
            let number = self.allocate_run_number();
            self.start(&worker.key, task, number, demand.run_priority, context);
            worker.book(&demand);
        }
        round.put_workers(pool, workers);
    }

    /// Returns whether a task may start again on a worker. Members of a gang start together, and suspects in isolation.
    fn accepts_again(
        &self,
        demand: &Demand,
        task: TaskId,
        worker: &PoolWorker,
        round: &Round,
        now: Uptime,
    ) -> bool {
        let sound = self.stage(task.stage).is_some_and(|stage| !stage.is_suspect(task.index));
        sound
            && !demand.step().gang
            && worker.held_for.is_none()
            && self.suits(demand, worker)
            && self.count_fitting_on_worker(demand, worker, now) > 0
            && self.within_cap(demand, &demand.step().size, round)
    }

    /// Returns the demand of a stage whose turn has come.
    fn demand_of(&self, stage: StageId, context: &Context) -> Option<Demand> {
        let candidate = self.candidate(stage, context).filter(|candidate| !candidate.early)?;
        self.demand(&candidate, context)
    }
}
