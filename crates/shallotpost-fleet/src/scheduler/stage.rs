//! Stages: the tasks of one step of one occurrence, and the approvals of workers for them.

use std::collections::HashMap;
use std::ops::Range;

use shallotpost_policy::crash::{Crash, History, Verdict};

use crate::prelude::*;
use crate::progress::{StageProgress, StoredCrash, TaskCrashes};
use crate::scheduler::late_starts::LateStart;
use crate::scheduler::round::PoolWorker;
use crate::scheduler::session::WorkerKey;

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// It waits for a start.
    Waiting,
    /// It is placed on a worker.
    Placed(WorkerKey),
    Done,
    /// It may be running on a worker that has not answered since this owner took over.
    Uncertain,
}

#[derive(Clone, Debug)]
pub struct Task {
    pub place: Place,
    /// Numbers of the failed runs. For a gang, they are kept with the first task.
    pub failed_runs: Vec<u64>,
    /// Losses of runs with their worker.
    pub crashes: History,
    /// Newest checkpoint of the task; empty for none.
    pub checkpoint: String,
    /// Worker on which the last failed run was; other workers are preferred.
    pub failed_on: Option<WorkerKey>,
    /// Starts without an answer that may still be carried out, the latest one last. All are on one worker.
    pub late_starts: Vec<LateStart>,
}

impl Task {
    fn new(place: Place) -> Task {
        Task {
            place,
            failed_runs: Vec::new(),
            crashes: History::default(),
            checkpoint: String::new(),
            failed_on: None,
            late_starts: Vec::new(),
        }
    }

    /// Returns whether the task may start in isolation only.
    fn is_suspect(&self) -> bool {
        self.crashes.verdict() != Verdict::Sound
    }

    fn complete(&mut self) {
        self.place = Place::Done;
        self.checkpoint.clear();
        self.crashes = History::default();
    }

    pub fn is_placed(&self) -> bool {
        matches!(self.place, Place::Placed(_))
    }

    /// Returns whether the task waits and is not bound to the worker of an unanswered start.
    pub fn waits_for_any_worker(&self) -> bool {
        self.place == Place::Waiting && self.late_starts.is_empty()
    }
}

/// Decision of the approval service about a worker for a stage.
#[derive(Clone, Debug)]
pub struct CachedApproval {
    /// Ticket; `None` if the worker was not approved.
    pub ticket: Option<String>,
    /// Time after which the ticket is no longer used.
    pub expires: Uptime,
    /// Incarnation of the worker to which the approval applies.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
pub struct Stage {
    /// Number of tasks.
    count: u32,
    /// The leading tasks, by position, up to the last one with a state of its own.
    touched: Vec<Task>,
    /// State of each of the other tasks. What a job asks for takes no memory until it is started.
    untouched: Task,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Approvals by worker.
    pub approvals: HashMap<WorkerKey, CachedApproval>,
    /// Workers that had no room for a task, and the time until which each is left out.
    pub refusals: Vec<(WorkerKey, Uptime)>,
    /// Whether a call to the approval service is in flight for this stage.
    pub approval_pending: bool,
    /// Earliest time of the next call to the approval service for this stage.
    pub next_approval_call: Uptime,
    /// Time since which tasks wait for capacity; used only to decide on preemption.
    pub blocked_since: Option<Uptime>,
    /// Earliest time of the next preemption in favour of this stage.
    pub next_preemption: Uptime,
    /// Time since which the stage yields while nothing of its job runs.
    pub yielding_since: Option<Uptime>,
}

impl Stage {
    /// Creates a stage with all tasks in the given place.
    pub fn new(count: u32, place: Place) -> Stage {
        Stage {
            count,
            touched: Vec::new(),
            untouched: Task::new(place),
            unfinished: count,
            approvals: HashMap::new(),
            refusals: Vec::new(),
            approval_pending: false,
            next_approval_call: Uptime::ZERO,
            blocked_since: None,
            next_preemption: Uptime::ZERO,
            yielding_since: None,
        }
    }

    /// Returns the number of tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the tasks that may have a state of their own, with their positions.
    pub fn touched(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0u32..).zip(&self.touched)
    }

    /// Returns the positions of the other tasks, which share the state of [`Stage::untouched`].
    fn untouched_range(&self) -> Range<u32> {
        u32::try_from(self.touched.len()).unwrap_or(u32::MAX)..self.count
    }

    /// Returns a task; `None` if there is no such task.
    pub fn task(&self, index: u32) -> Option<&Task> {
        match self.touched.get(index as usize) {
            None if index < self.count => Some(&self.untouched),
            task => task,
        }
    }

    /// Returns a task, which has a state of its own from now on; `None` if there is no such task.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        let position = index as usize;
        if index < self.count && position >= self.touched.len() {
            self.touched.resize(position + 1, self.untouched.clone());
        }
        self.touched.get_mut(position)
    }

    /// Returns a task if it has a state of its own.
    pub fn touched_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.touched.get_mut(index as usize)
    }

    /// Returns the number of tasks in a place other than [`Place::Placed`].
    pub fn count_in(&self, place: &Place) -> u32 {
        let touched = self.touched.iter().filter(|task| task.place == *place).count();
        let untouched = match self.untouched.place == *place {
            true => self.untouched_range().len(),
            false => 0,
        };
        u32::try_from(touched + untouched).unwrap_or(u32::MAX)
    }

    /// Returns whether any task is neither done nor on a worker.
    pub fn has_unplaced(&self) -> bool {
        let is_unplaced = |task: &Task| matches!(task.place, Place::Waiting | Place::Uncertain);
        is_unplaced(&self.untouched) && !self.untouched_range().is_empty()
            || self.touched.iter().any(is_unplaced)
    }

    /// Returns whether any task is on a worker.
    pub fn has_placed(&self) -> bool {
        self.touched.iter().any(Task::is_placed)
    }

    /// Returns whether any task is bound to the worker of an unanswered start.
    pub fn has_bound(&self) -> bool {
        self.touched.iter().any(|task| !task.late_starts.is_empty())
    }

    /// Returns whether losses of runs with their worker count against any task.
    pub fn has_crashes(&self) -> bool {
        self.touched.iter().any(|task| !task.crashes.is_empty())
    }

    /// Applies stored progress.
    pub fn restore(&mut self, progress: &StageProgress) {
        if progress.complete {
            self.complete_all();
        }
        for index in &progress.done {
            if let Some(task) = self.task_mut(*index) {
                task.place = Place::Done;
            }
        }
        for (index, runs) in &progress.failures {
            if let Some(task) = self.task_mut(*index) {
                task.failed_runs.clone_from(runs);
            }
        }
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(task) = self.task_mut(*index) {
                task.checkpoint.clone_from(checkpoint);
            }
        }
        self.unfinished = self.count - self.count_in(&Place::Done);
    }

    /// Applies stored losses of runs.
    pub fn restore_crashes(&mut self, stored: &TaskCrashes) {
        let crash = |crash: &StoredCrash| Crash {
            run: crash.run,
            age: Duration::from_millis(crash.age_ms.into()),
            isolated: crash.isolated,
            certain: crash.certain,
        };
        if let Some(task) = self.task_mut(stored.index) {
            task.crashes = History::new(stored.crashes.iter().map(crash).collect());
        }
    }

    /// Returns the losses of runs to store.
    pub fn stored_crashes(&self, occurrence: u32, step: u16) -> impl Iterator<Item = TaskCrashes> {
        let crash = |crash: &Crash| StoredCrash {
            run: crash.run,
            age_ms: u32::try_from(crash.age.as_millis()).unwrap_or(u32::MAX),
            isolated: crash.isolated,
            certain: crash.certain,
        };
        let suspects = self.touched().filter(|(_, task)| !task.crashes.is_empty());
        suspects.map(move |(index, task)| TaskCrashes {
            occurrence,
            step,
            index,
            crashes: task.crashes.crashes().iter().map(crash).collect(),
        })
    }

    /// Returns whether a task may start in isolation only.
    pub fn is_suspect(&self, index: u32) -> bool {
        self.task(index).is_some_and(Task::is_suspect)
    }

    /// Returns the progress to store; `None` if there is nothing to store.
    pub fn progress(&self, occurrence: u32, step: u16) -> Option<StageProgress> {
        let complete = self.unfinished == 0;
        let list = |test: fn(&Task) -> bool| self.touched().filter(move |(_, task)| test(task));
        let unfinished = |task: &Task| task.place != Place::Done;
        let progress = StageProgress {
            occurrence,
            step,
            complete,
            done: match complete {
                true => Vec::new(),
                false => list(|task| task.place == Place::Done).map(|(index, _)| index).collect(),
            },
            failures: list(|task| !task.failed_runs.is_empty())
                .filter(|(_, task)| unfinished(task))
                .map(|(index, task)| (index, task.failed_runs.clone()))
                .collect(),
            checkpoints: list(|task| !task.checkpoint.is_empty())
                .filter(|(_, task)| unfinished(task))
                .map(|(index, task)| (index, task.checkpoint.clone()))
                .collect(),
        };
        let empty = !complete
            && progress.done.is_empty()
            && progress.failures.is_empty()
            && progress.checkpoints.is_empty();
        (!empty).then_some(progress)
    }

    /// Leaves a worker out for this stage until the given time.
    pub fn leave_out(&mut self, worker: &WorkerKey, until: Uptime, now: Uptime) {
        self.refusals.retain(|(key, until)| key != worker && *until > now);
        self.refusals.push((Rc::clone(worker), until));
    }

    /// Marks a task as done. Returns `false` if it already was, or if there is no such task.
    pub fn complete(&mut self, index: u32) -> bool {
        match self.task_mut(index) {
            Some(task) if task.place != Place::Done => {
                task.complete();
                self.unfinished = self.unfinished.saturating_sub(1);
                if self.unfinished == 0 {
                    self.complete_all();
                }
                true
            }
            _ => false,
        }
    }

    /// Marks all tasks as done.
    pub fn complete_all(&mut self) {
        self.unfinished = 0;
        self.untouched.complete();
        match self.has_bound() {
            true => self.touched.iter_mut().for_each(Task::complete),
            false => self.touched = Vec::new(),
        }
    }

    /// Returns the positions of up to `max` waiting tasks that are no suspects and may start on any worker.
    pub fn waiting_sound(&self, max: usize) -> Vec<u32> {
        let touched = self.touched().filter(|(_, task)| task.waits_for_any_worker());
        let touched = touched.filter(|(_, task)| !task.is_suspect()).map(|(index, _)| index);
        let untouched = match self.untouched.waits_for_any_worker() {
            true => self.untouched_range(),
            false => 0..0,
        };
        touched.chain(untouched).take(max).collect()
    }

    /// Returns the positions of the waiting suspects that may start on any worker.
    pub fn waiting_suspects(&self) -> Vec<u32> {
        let waiting = self.touched().filter(|(_, task)| task.waits_for_any_worker());
        waiting.filter(|(_, task)| task.is_suspect()).map(|(index, _)| index).collect()
    }

    /// Returns the number of waiting tasks that may start on any worker.
    pub fn count_waiting(&self) -> u32 {
        let touched = self.touched.iter().filter(|task| task.waits_for_any_worker()).count();
        let untouched = match self.untouched.waits_for_any_worker() {
            true => self.untouched_range().len(),
            false => 0,
        };
        u32::try_from(touched + untouched).unwrap_or(u32::MAX)
    }

    /// Returns whether any task waits that may start on any worker.
    pub fn has_waiting(&self) -> bool {
        self.untouched.waits_for_any_worker() && !self.untouched_range().is_empty()
            || self.touched.iter().any(Task::waits_for_any_worker)
    }

    /// Sets the uncertain tasks to waiting, except those at the given positions. Returns whether there were any.
    pub fn release_uncertain(&mut self, kept: &BTreeSet<u32>) -> bool {
        if self.untouched.place == Place::Uncertain
            && let Some(last) = kept.range(..self.count).next_back()
        {
            self.task_mut(*last);
        }
        let mut released = false;
        for (index, task) in (0u32..).zip(&mut self.touched) {
            if task.place == Place::Uncertain && !kept.contains(&index) {
                task.place = Place::Waiting;
                released = true;
            }
        }
        if self.untouched.place == Place::Uncertain {
            self.untouched.place = Place::Waiting;
            released |= !self.untouched_range().is_empty();
        }
        released
    }

    /// Returns whether the approval service has refused the worker for the stage, which it does for good.
    pub(super) fn refuses(&self, worker: &PoolWorker) -> bool {
        self.approvals.get(&worker.key).is_some_and(|cached| {
            cached.ticket.is_none() && cached.incarnation == worker.incarnation
        })
    }

    pub fn is_uncertain(&self) -> bool {
        self.untouched.place == Place::Uncertain && !self.untouched_range().is_empty()
            || self.touched.iter().any(|task| task.place == Place::Uncertain)
    }
}
