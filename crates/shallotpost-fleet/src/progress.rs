//! Job progress, as stored.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::job::TaskId;
use crate::message::{CodecError, decode_prefix, encode};

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
    /// Losses of runs with their worker. They are encoded behind the other fields, and only if there are any: rows of
    /// earlier versions do not have them, and earlier versions skip them.
    #[serde(skip)]
    pub crashes: Vec<TaskCrashes>,
    /// Why the job failed; `None` if it did not, or if an earlier version stored that it did. Encoded behind `crashes`; jobs
    /// that have not failed have the certainty of their losses in its place.
    #[serde(skip)]
    pub failure: Option<Failure>,
}

impl Progress {
    /// Encodes the row.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::Encode`] if a field cannot be serialized.
    pub fn to_bytes(&self) -> Result<Vec<u8>, CodecError> {
        let mut bytes = encode(self)?;
        if !self.crashes.is_empty() || self.failure.is_some() {
            bytes.extend(encode(&self.crashes)?);
        }
        let certain: Vec<bool> =
            self.crashes.iter().flat_map(|task| &task.crashes).map(|crash| crash.certain).collect();
        match &self.failure {
            Some(failure) => bytes.extend(encode(failure)?),
            None if self.state != State::Failed && certain.contains(&true) => {
                bytes.extend(encode(&certain)?)
            }
            None => {}
        }
        Ok(bytes)
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::Decode`] if the bytes do not hold progress.
    pub fn from_bytes(bytes: &[u8]) -> Result<Progress, CodecError> {
        let (progress, rest): (Progress, _) = decode_prefix(bytes)?;
        let (mut crashes, rest): (Vec<TaskCrashes>, _) = match rest {
            [] => (Vec::new(), rest),
            rest => decode_prefix(rest)?,
        };
        let mut failure = None;
        match rest {
            [] => {}
            rest if progress.state == State::Failed => failure = Some(decode_prefix(rest)?.0),
            rest => {
                let certain: Vec<bool> = decode_prefix(rest)?.0;
                let losses = crashes.iter_mut().flat_map(|task| &mut task.crashes);
                losses.zip(certain).for_each(|(crash, certain)| crash.certain = certain);
            }
        }
        Ok(Progress { crashes, failure, ..progress })
    }
}

/// Why a job failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    pub cause: Cause,
    /// The task that failed. A gang fails as a whole; the task is then one of its members.
    pub task: TaskId,
    /// Numbers of the runs that count.
    pub runs: Vec<u64>,
}

/// What the runs of a failed task have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Workers listed them as failed.
    FailedRuns,
    /// Their workers crashed.
    Crashes,
}

/// Losses of the runs of one task with their workers. Earlier versions stored those of a gang with its first task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
    /// Position of the task in the step.
    pub index: u32,
    pub crashes: Vec<StoredCrash>,
}

/// Loss of a run with its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Number of the run.
    pub run: u64,
    /// Age of the run when its worker stopped answering, in milliseconds.
    pub age_ms: u32,
    /// Whether no other run on the worker can have been the cause.
    pub isolated: bool,
    /// Whether the worker's process has certainly ended; `false` in rows of earlier versions.
    #[serde(skip)]
    pub certain: bool,
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
