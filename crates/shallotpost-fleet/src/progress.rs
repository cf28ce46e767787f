//! Progress of a job as it is stored.

use serde::{Deserialize, Serialize};
use strum::Display;

/// State of a job as its submitter sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Nothing has started yet.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// What is known of a job's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the whole job.
    pub state: State,
    /// Occurrences before this one are done.
    pub occurrences_done: u32,
    /// Stages with something to record.
    pub stages: Vec<StageProgress>,
}

/// What is known of the tasks of a stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u16,
    /// Whether all tasks are done.
    pub complete: bool,
    /// Positions of tasks that are done, if not all are.
    pub done: Vec<u32>,
    /// Positions of tasks with failed runs, and the numbers of these runs. Workers list an end again after its failure was
    /// stored, and ends of several workers arrive in any order.
    pub failures: Vec<(u32, Vec<u64>)>,
    /// Positions of tasks with a checkpoint of an ended run, and the checkpoint.
    pub checkpoints: Vec<(u32, String)>,
}
