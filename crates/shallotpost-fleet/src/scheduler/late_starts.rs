//! Starts that a later incarnation of their worker may still carry out.
//!
//! A start without an answer may be carried out seconds later. A confirmed stop, the list of an incarnation and its fencing
//! token rule that out for this incarnation alone: the next one knows nothing of them until the owner's first call. So the
//! task runs again on the incarnation that the start was meant for, or not at all for a while.
//!
//! A worker that falls silent may have restarted behind a cut. If it had answered later calls than the start, the start is
//! on its way, and the task waits until no incarnation can run it any more. Otherwise the worker has more likely died with
//! the start, and the task waits no longer than any other task of a worker that died.

use serde::{Deserialize, Serialize};

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::session::{
    CLOCK_RATE_MIN, Contact, LATE_START_TIME_MAX, Phase, UnansweredStart, WorkerKey,
};
use crate::scheduler::stage::{Place, Task};
use crate::scheduler::{Context, Purpose, Scheduler};
use crate::worker::EndedRun;

/// Time from an unanswered start until its task may run anywhere while the worker is in contact. A start can be later than that,
/// but a job with nothing running may stand for at most 3 s once the fleet has been calm for 4 s.
const LATE_START_WAIT: Duration = Duration::from_secs(6);

/// Time after which a start that is not answered makes the owner ask whether its worker is alive. Answers take a few
/// milliseconds, and the worker may be cut off before the start counts as unanswered.
const QUESTION_AFTER: Duration = Duration::from_millis(100);

/// Time before the end of that wait from which on an answer of the worker shows that its process has not been replaced.
const FRESH_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time for which the task waits for such an answer beyond the end.
const ANSWER_WAIT: Duration = Duration::from_millis(500);

/// Maximum time for which the end of a bound task is not acknowledged. Workers' ends must be acknowledged within 4 s.
const END_HOLD_MAX: Duration = Duration::from_secs(3);

/// Maximum number of unanswered starts that a commit names, so that the row of the ownership stays small. Each takes some 50
/// bytes.
const STORED_STARTS_MAX: usize = 200;

/// An unanswered start that a later incarnation of its worker may carry out.
#[derive(Clone, Debug)]
pub struct LateStart {
    pub worker: WorkerKey,
    /// Number of the run.
    pub number: u64,
    /// Incarnation of the worker that the start was meant for.
    pub incarnation: u64,
    pub sent: Uptime,
    /// Whether the worker has answered a call that was sent after the start.
    pub outlived: bool,
}

impl LateStart {
    /// Returns the time until which the task runs on the incarnation that the start was meant for, or nowhere, while the
    /// worker is in contact.
    fn bound_until(&self) -> Uptime {
        self.sent.saturating_add(LATE_START_WAIT)
    }

    /// Returns whether the answer to a call that was sent at `sent` came late enough for the task to run elsewhere.
    fn is_fresh(&self, sent: Uptime) -> bool {
        sent.saturating_add(FRESH_ANSWER_TIME) >= self.bound_until()
    }

    /// Returns the time from which no incarnation carries the start out.
    fn carried_out_until(&self) -> Uptime {
        self.sent.saturating_add(LATE_START_TIME_MAX)
    }
}

/// An unanswered start, as stored for a successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredStart {
    pub task: TaskId,
    pub worker: WorkerId,
    /// Number of the run.
    pub number: u64,
    /// Time since the start was sent.
    pub age: Duration,
    /// Whether the worker has answered a call that was sent after the start.
    pub outlived: bool,
}

impl StoredStart {
    /// Returns the start as it is to be stored after the given time.
    pub fn aged(&self, time: Duration) -> StoredStart {
        StoredStart { age: self.age.saturating_add(time), ..self.clone() }
    }
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
        let Some(incarnation) = self.sessions.get(worker).map(|session| session.incarnation) else {
            return;
        };
        let outlived = false;
        let late = LateStart { worker: Rc::clone(worker), number, incarnation, sent, outlived };
        self.bind(task, late, context);
    }

    /// Returns whether an incarnation that a start was not meant for may run the task beside another run.
    fn may_run_late(&self, task: TaskId) -> bool {
        // A ticket is valid for one incarnation, so no other one accepts the start.
        let has_ticket =
            self.policy(task.stage.job).is_some_and(|policy| policy.approval.is_some());
        let overlaps = self.step(task.stage).is_none_or(|step| step.duplicates);
        !has_ticket && !overlaps
    }

    /// Binds the tasks whose starts are not answered soon, so that the next commit tells a successor of them, and asks their
    /// workers for an answer.
    pub(super) fn question_silent_starts(&mut self, context: &mut Context) {
        let now = context.now;
        let silent = |(sent, call): &(Uptime, CallId)| {
            let (worker, incarnation, purpose) = self.calls.get(call)?;
            let Purpose::Start(task, number) = *purpose else { return None };
            let session = self.sessions.get(worker)?;
            let run = session.placements.get(&task)?;
            // A list may have shown the run already.
            let undecided = session.incarnation == *incarnation
                && (run.number, run.phase) == (number, Phase::Starting);
            let is_late = undecided && *sent + QUESTION_AFTER <= now && self.may_run_late(task);
            is_late.then(|| (Rc::clone(worker), task, number, *sent))
        };
        let starts: Vec<_> = self.recent_starts.iter().filter_map(silent).collect();
        for (worker, task, number, sent) in starts {
            self.bind_to_late_start(&worker, task, number, sent, context);
            let session = self.sessions.get(&worker);
            if session.is_some_and(|known| known.answered <= sent && known.next_probe <= now) {
                self.probe(&worker, context);
            }
        }
    }

    fn bind(&mut self, task: TaskId, late: LateStart, context: &mut Context) {
        let known = self.late_starts_of(task).iter().any(|known| known.number == late.number);
        if known || !self.may_run_late(task) || self.binds_until(&late) <= context.now {
            return;
        }
        let fields = vec![
            ("task", task.to_string()),
            ("worker", late.worker.to_string()),
            ("life", late.incarnation.to_string()),
            ("wait_ms", late.bound_until().saturating_sub(context.now).as_millis().to_string()),
        ];
        let Some(stage) = self.stage_mut(task.stage) else { return };
        let Some(state) = stage.task_mut(task.index) else { return };
        // Late starts on another worker have been released.
        state.late_starts.retain(|known| known.worker == late.worker);
        state.late_starts.push(late);
        self.late_starts.insert(task);
        self.late_starts_changed = true;
        context.log("task_bound", fields);
    }

    /// Returns the time until which a task runs on the incarnation that its late start was meant for, or nowhere.
    fn binds_until(&self, late: &LateStart) -> Uptime {
        let session = self.sessions.get(&late.worker);
        match session.filter(|session| session.contact == Contact::Live) {
            Some(session) if late.is_fresh(session.answered) => late.bound_until(),
            // The process may have been replaced since its last answer.
            Some(_) => late.bound_until().saturating_add(ANSWER_WAIT),
            None if late.outlived => {
                let longest_lease = self.bounds.hold_max.div_f64(CLOCK_RATE_MIN);
                late.carried_out_until().saturating_add(longest_lease)
            }
            None => late.bound_until(),
        }
    }

    /// Returns the unanswered starts for the next commit, the latest ones if there are too many.
    pub fn take_late_starts(&mut self, now: Uptime) -> Vec<StoredStart> {
        self.late_starts_changed = false;
        let stored = |task: &TaskId, late: &LateStart| StoredStart {
            task: *task,
            worker: late.worker.to_string(),
            number: late.number,
            age: now.saturating_sub(late.sent),
            outlived: late.outlived,
        };
        let starts = self
            .late_starts
            .iter()
            .flat_map(|task| self.late_starts_of(*task).iter().map(move |late| stored(task, late)));
        let mut starts: Vec<StoredStart> = starts.collect();
        starts.sort_by_key(|start| start.age);
        starts.truncate(STORED_STARTS_MAX);
        starts
    }

    /// Adds an unanswered start of the previous owner. `since` is the time at which its last commit was seen.
    pub fn add_late_start(&mut self, stored: StoredStart, since: Uptime, context: &mut Context) {
        let StoredStart { task, worker, number, age, outlived } = stored;
        let worker = WorkerKey::from(worker.as_str());
        let sent = since.saturating_sub(age);
        self.begin_listed_occurrence(task.stage, context);
        let session = self.sessions.get_mut(&worker);
        let incarnation = session.map_or(0, |session| {
            session.record_unanswered_start(UnansweredStart { task, number, sent }, context.now);
            session.incarnation
        });
        self.bind(task, LateStart { worker, number, incarnation, sent, outlived }, context);
    }

    fn late_starts_of(&self, task: TaskId) -> &[LateStart] {
        let state = self.stage(task.stage).and_then(|stage| stage.task(task.index));
        state.map(|state| state.late_starts.as_slice()).unwrap_or_default()
    }

    /// Records that a worker has confirmed the stop of a run, which was sent after the start.
    pub(super) fn record_confirmed_stop(&mut self, task: TaskId, number: u64) {
        let state = self.stage_mut(task.stage).and_then(|stage| stage.touched_mut(task.index));
        let late_starts = state.into_iter().flat_map(|state| &mut state.late_starts);
        if let Some(late) = late_starts.filter(|late| late.number == number).last() {
            late.outlived = true;
            self.late_starts_changed = true;
        }
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

    /// Forgets a start that is not carried out later: it had an answer, was not sent, or a list shows its run or its end.
    pub(super) fn release_decided_start(&mut self, worker: &WorkerKey, task: TaskId, number: u64) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.unanswered_starts.retain(|start| (start.task, start.number) != (task, number));
        }
        let Some(stage) = self.stage_mut(task.stage) else { return };
        if let Some(state) = stage.touched_mut(task.index)
            && state.late_starts.iter().any(|late| late.number == number)
        {
            state.late_starts.retain(|late| late.number != number);
            if state.late_starts.is_empty() {
                self.late_starts.remove(&task);
                self.set_waiting(task.stage);
            }
        }
    }

    /// Keeps the end of a bound task unacknowledged while its late start may still be carried out: a run that starts after an
    /// acknowledged end has run twice.
    pub(super) fn hold_end(&mut self, worker: &WorkerKey, end: &EndedRun, now: Uptime) {
        let bound = self.late_starts_of(end.task).iter().map(LateStart::bound_until).max();
        let Some(until) = bound else { return };
        if let Some(session) = self.sessions.get_mut(worker) {
            session.held_ends.retain(|(_, until)| *until > now);
            session.held_ends.push((end.sequence, until.min(now + END_HOLD_MAX)));
        }
    }

    /// Records which workers have outlived their unanswered starts, and releases the tasks whose late starts are over.
    pub(super) fn release_bound_tasks(&mut self, context: &mut Context) {
        let now = context.now;
        let bound = std::mem::take(&mut self.late_starts);
        for task in bound {
            let mut late_starts = self.late_starts_of(task).to_vec();
            let latest = late_starts.last().map(|late| late.worker.to_string());
            for late in late_starts.iter_mut().filter(|late| !late.outlived) {
                late.outlived = self.is_outlived(late);
                self.late_starts_changed |= late.outlived;
            }
            late_starts.retain(|late| self.keeps(task, late, now));
            let is_over = late_starts.is_empty();
            let state = self.stage_mut(task.stage).and_then(|stage| stage.touched_mut(task.index));
            let Some(state) = state else { continue };
            state.late_starts = late_starts;
            if !is_over {
                self.late_starts.insert(task);
                self.ask_before_release(task, context);
                continue;
            }
            let waits = state.place == Place::Waiting;
            // Other members of a gang may wait although this one does not.
            self.set_waiting(task.stage);
            if let Some(worker) = latest.filter(|_| waits) {
                context.log("task_unbound", vec![("task", task.to_string()), ("worker", worker)]);
            }
        }
    }

    /// Asks the worker of a waiting bound task for an answer when the task is about to run elsewhere.
    fn ask_before_release(&mut self, task: TaskId, context: &mut Context) {
        let now = context.now;
        let state = self.stage(task.stage).and_then(|stage| stage.task(task.index));
        let waiting = state.filter(|state| state.place == Place::Waiting);
        let Some(late) = waiting.and_then(|state| state.late_starts.last()) else { return };
        let worker = Rc::clone(&late.worker);
        let asks = self.sessions.get(&worker).is_some_and(|session| {
            session.contact == Contact::Live
                && late.is_fresh(now)
                && !late.is_fresh(session.answered)
                && session.next_probe <= now
        });
        if asks {
            self.probe(&worker, context);
        }
    }

    /// Returns whether the incarnation for which a start was meant has answered a later call.
    fn is_outlived(&self, late: &LateStart) -> bool {
        self.sessions.get(&late.worker).is_some_and(|session| {
            session.incarnation == late.incarnation && session.answered > late.sent
        })
    }

    /// Returns whether a late start still matters: the task is bound by it, or would be if its worker fell silent.
    fn keeps(&self, task: TaskId, late: &LateStart, now: Uptime) -> bool {
        let state = self.stage(task.stage).and_then(|stage| stage.task(task.index));
        let is_there =
            state.is_some_and(|state| state.place == Place::Placed(Rc::clone(&late.worker)));
        now < self.binds_until(late) || is_there && now < late.carried_out_until()
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
            state.filter(|state| waits(state)).and_then(|state| state.late_starts.last().cloned())
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
