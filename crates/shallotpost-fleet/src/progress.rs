//! Job progress, as stored.

use serde::{Deserialize, Serialize};
use strum::Display;

/// State of a job as its submitter sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No task has started yet.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    Cancelled,
}

impl State {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    pub state: State,
    /// Number of leading occurrences that are complete.
    pub occurrences_done: u32,
    /// Stages with completed tasks, failures or checkpoints; the others are left out.
    pub stages: Vec<StageProgress>,
}

/// Progress of the tasks of a stage. Tasks are named by their position in the step.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageProgress {
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
    /// Whether all tasks are done.
    pub complete: bool,
    /// Tasks that are done; empty if `complete` is set.
    pub done: Vec<u32>,
    /// Tasks with failed runs, and the numbers of these runs. The numbers make counting idempotent: workers list an ended
    /// run again after its failure was stored, and reports of several workers arrive in any order.
    pub failures: Vec<(u32, Vec<u64>)>,
    /// Tasks with a checkpoint of an ended run, and the checkpoint.
    pub checkpoints: Vec<(u32, String)>,
}
