//! What the scheduler holds in memory for the jobs that have not ended.

use crate::scheduler::Scheduler;
use crate::scheduler::stage::Stage;

/// Amount of scheduling state of an owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Stages of begun occurrences, with those of jobs that have ended.
    pub stages: usize,
    /// Tasks with a state of their own.
    pub tasks: usize,
    /// Stages that may have waiting tasks.
    pub waiting: usize,
}

impl Scheduler {
    pub fn load(&self) -> Load {
        let stages = || self.jobs.values().flat_map(|entry| entry.stages.values());
        Load {
            stages: stages().count(),
            tasks: stages().map(|stage: &Stage| stage.touched().count()).sum(),
            waiting: self.waiting.len(),
        }
    }
}
