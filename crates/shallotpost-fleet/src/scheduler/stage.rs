//! Stages: the tasks of one step of one occurrence, and the approvals of workers for them.

use std::collections::HashMap;

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
    /// Last start without an answer, while it may still be carried out.
    pub late_start: Option<LateStart>,
}

impl Task {
    fn new(place: Place) -> Task {
        Task {
            place,
            failed_runs: Vec::new(),
            crashes: History::default(),
            checkpoint: String::new(),
            failed_on: None,
            late_start: None,
        }
    }

    /// Returns whether the task waits and is not bound to the worker of an unanswered start.
    pub fn waits_for_any_worker(&self) -> bool {
        self.place == Place::Waiting && self.late_start.is_none()
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
    /// Tasks, by position.
    pub tasks: Vec<Task>,
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
    pub fn new(tasks: u32, place: Place) -> Stage {
        Stage {
            tasks: (0..tasks).map(|_| Task::new(place.clone())).collect(),
            unfinished: tasks,
            approvals: HashMap::new(),
            refusals: Vec::new(),
            approval_pending: false,
            next_approval_call: Uptime::ZERO,
            blocked_since: None,
            next_preemption: Uptime::ZERO,
            yielding_since: None,
        }
    }

    /// Applies stored progress.
    pub fn restore(&mut self, progress: &StageProgress) {
        if progress.complete {
            self.tasks.iter_mut().for_each(|task| task.place = Place::Done);
        }
        for index in &progress.done {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.place = Place::Done;
            }
        }
        for (index, runs) in &progress.failures {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.failed_runs.clone_from(runs);
            }
        }
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.checkpoint.clone_from(checkpoint);
            }
        }
        self.unfinished = self.count_unfinished();
    }

    /// Applies stored losses of runs.
    pub fn restore_crashes(&mut self, stored: &TaskCrashes) {
        let crash = |crash: &StoredCrash| Crash {
            run: crash.run,
            age: Duration::from_millis(crash.age_ms.into()),
            isolated: crash.isolated,
            certain: crash.certain,
        };
        if let Some(task) = self.tasks.get_mut(stored.index as usize) {
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
        let suspects = self.tasks.iter().zip(0u32..).filter(|(task, _)| !task.crashes.is_empty());
        suspects.map(move |(task, index)| TaskCrashes {
            occurrence,
            step,
            index,
            crashes: task.crashes.crashes().iter().map(crash).collect(),
        })
    }

    /// Returns whether a task may start in isolation only.
    pub fn is_suspect(&self, index: u32) -> bool {
        let task = self.tasks.get(index as usize);
        task.is_some_and(|task| task.crashes.verdict() != Verdict::Sound)
    }

    /// Returns the progress to store; `None` if there is nothing to store.
    pub fn progress(&self, occurrence: u32, step: u16) -> Option<StageProgress> {
        let complete = self.unfinished == 0;
        let list = |test: fn(&Task) -> bool| {
            let tasks = self.tasks.iter().zip(0u32..);
            tasks.filter(move |(task, _)| test(task)).map(|(task, index)| (index, task))
        };
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
        match self.tasks.get_mut(index as usize) {
            Some(task) if task.place != Place::Done => {
                task.place = Place::Done;
                task.checkpoint.clear();
                task.crashes = History::default();
                self.unfinished = self.unfinished.saturating_sub(1);
                true
            }
            _ => false,
        }
    }

    /// Returns the positions of the waiting tasks that may start on any worker.
    pub fn waiting(&self) -> Vec<u32> {
        let waits = |(task, _): &(&Task, u32)| task.waits_for_any_worker();
        self.tasks.iter().zip(0u32..).filter(waits).map(|(_, index)| index).collect()
    }

    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(index as usize)
    }

    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(index as usize)
    }

    /// Returns whether the approval service has refused the worker for the stage, which it does for good.
    pub(super) fn refuses(&self, worker: &PoolWorker) -> bool {
        self.approvals.get(&worker.key).is_some_and(|cached| {
            cached.ticket.is_none() && cached.incarnation == worker.incarnation
        })
    }

    pub fn is_uncertain(&self) -> bool {
        self.tasks.iter().any(|task| task.place == Place::Uncertain)
    }

    fn count_unfinished(&self) -> u32 {
        let unfinished = self.tasks.iter().filter(|task| task.place != Place::Done).count();
        u32::try_from(unfinished).unwrap_or(u32::MAX)
    }
}
