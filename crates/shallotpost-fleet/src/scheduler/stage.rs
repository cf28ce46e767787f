//! Stages: the tasks of one step of one occurrence, and the approvals of workers for them.

use crate::prelude::*;
use crate::progress::StageProgress;
use crate::scheduler::session::WorkerKey;

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// It waits for a start.
    Waiting,
    /// It is booked on a worker.
    Placed(WorkerKey),
    /// It has completed.
    Done,
    /// It may be running on a worker that has not been heard since ownership was taken.
    Uncertain,
}

/// State of a task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it is.
    pub place: Place,
    /// Numbers of the runs that failed. For a gang, the first task counts.
    pub failed_runs: Vec<u64>,
    /// Newest checkpoint of an ended run; empty for none.
    pub checkpoint: String,
    /// Worker on which the last run failed; another one is preferred.
    pub failed_on: Option<WorkerKey>,
}

impl Task {
    fn new(place: Place) -> Task {
        Task { place, failed_runs: Vec::new(), checkpoint: String::new(), failed_on: None }
    }
}

/// What is known about a worker's approval for a stage.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Ticket, if the worker is approved.
    pub ticket: Option<String>,
    /// When the ticket expires.
    pub expires: Uptime,
    /// Life of the worker for which it holds.
    pub life: u64,
}

/// State of a stage.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Its tasks, by position.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub open: u32,
    /// Verdicts by worker.
    pub verdicts: BTreeMap<WorkerKey, Verdict>,
    /// Whether a call for approval is out.
    pub asking: bool,
    /// No call for approval before this moment.
    pub next_ask: Uptime,
    /// Since when tasks wait for room.
    pub blocked_since: Option<Uptime>,
    /// No preemption for this stage before this moment.
    pub next_preemption: Uptime,
}

impl Stage {
    /// A stage with all tasks in this place.
    pub fn new(tasks: u32, place: Place) -> Stage {
        Stage {
            tasks: (0..tasks).map(|_| Task::new(place.clone())).collect(),
            open: tasks,
            verdicts: BTreeMap::new(),
            asking: false,
            next_ask: Uptime::ZERO,
            blocked_since: None,
            next_preemption: Uptime::ZERO,
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
        self.open = self.count_open();
    }

    /// Progress to store; `None` where there is nothing to record.
    pub fn progress(&self, occurrence: u32, step: u16) -> Option<StageProgress> {
        let complete = self.open == 0;
        let list = |test: fn(&Task) -> bool| {
            let tasks = self.tasks.iter().zip(0u32..);
            tasks.filter(move |(task, _)| test(task)).map(|(task, index)| (index, task))
        };
        let open = |task: &Task| task.place != Place::Done;
        let progress = StageProgress {
            occurrence,
            step,
            complete,
            done: match complete {
                true => Vec::new(),
                false => list(|task| task.place == Place::Done).map(|(index, _)| index).collect(),
            },
            failures: list(|task| !task.failed_runs.is_empty())
                .filter(|(_, task)| open(task))
                .map(|(index, task)| (index, task.failed_runs.clone()))
                .collect(),
            checkpoints: list(|task| !task.checkpoint.is_empty())
                .filter(|(_, task)| open(task))
                .map(|(index, task)| (index, task.checkpoint.clone()))
                .collect(),
        };
        let empty = !complete
            && progress.done.is_empty()
            && progress.failures.is_empty()
            && progress.checkpoints.is_empty();
        (!empty).then_some(progress)
    }

    /// Marks a task as done. Returns whether it was not before.
    pub fn complete(&mut self, index: u32) -> bool {
        match self.tasks.get_mut(index as usize) {
            Some(task) if task.place != Place::Done => {
                task.place = Place::Done;
                task.checkpoint.clear();
                self.open = self.open.saturating_sub(1);
                true
            }
            _ => false,
        }
    }

    /// Positions of the tasks that wait.
    pub fn waiting(&self) -> Vec<u32> {
        let waits = |(task, _): &(&Task, u32)| task.place == Place::Waiting;
        self.tasks.iter().zip(0u32..).filter(waits).map(|(_, index)| index).collect()
    }

    /// Whether any task is uncertain.
    pub fn is_uncertain(&self) -> bool {
        self.tasks.iter().any(|task| task.place == Place::Uncertain)
    }

    fn count_open(&self) -> u32 {
        let open = self.tasks.iter().filter(|task| task.place != Place::Done).count();
        u32::try_from(open).unwrap_or(u32::MAX)
    }
}
