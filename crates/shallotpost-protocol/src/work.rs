//! Specification, stored record, outcome and status of work.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::identity::{
    Attempt, DataCentreId, Epoch, Shard, Task, TeamId, WorkId, WorkName, WorkerId,
};
use crate::key::digest;
use crate::millis;
use crate::size::Size;

/// Maximum number of tasks in one service or gang.
pub const TASKS_MAX: u32 = 1000;

/// Class of work. It selects the placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Class {
    /// Long-running replicas, spread over racks and replaced at once.
    Service {
        /// From 1 to [`TASKS_MAX`].
        replicas: u32,
    },
    /// One task, packed tightly and backfilled.
    Batch,
    /// A gang: either all of its parts start or none.
    Gang {
        /// From 1 to [`TASKS_MAX`].
        parts: u32,
    },
    /// One task that is to start within the urgent bound of the placement policy.
    Urgent,
}

impl Class {
    /// Returns the number of tasks.
    pub fn tasks(self) -> u32 {
        match self {
            Class::Service { replicas } => replicas,
            Class::Gang { parts } => parts,
            Class::Batch | Class::Urgent => 1,
        }
    }

    /// Returns the name of the class, without the number of tasks.
    pub fn name(self) -> &'static str {
        match self {
            Class::Service { .. } => "service",
            Class::Batch => "batch",
            Class::Gang { .. } => "gang",
            Class::Urgent => "urgent",
        }
    }
}

/// Work as a caller submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Specification {
    /// Chosen by the caller; unique in the team.
    pub id: WorkName,
    /// Team that the work is charged to. It must be the team of the key unless `queue` names an open queue.
    pub team: TeamId,
    pub class: Class,
    /// Size of each task, as the caller declares it.
    pub size: Size,
    /// Command line that the worker runs.
    pub command: Vec<String>,
    /// Run time as the caller declares it; only an estimate.
    #[serde(rename = "run_time_ms", default, with = "millis::option")]
    pub run_time: Option<Duration>,
    /// Whether a task may be started again after a start whose outcome is not known.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Time after which the work must not start, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub deadline_unix_ms: Option<u64>,
    /// Data centres that may run the work; empty for any.
    #[serde(default)]
    pub data_centres: Vec<DataCentreId>,
    /// Queue to submit to. An open queue accepts the keys of all teams.
    #[serde(default)]
    pub queue: Option<String>,
    /// Input in the object store.
    #[serde(default)]
    pub input: Option<Object>,
    /// Maximum number of starts of an idempotent task that fails, at least 1.
    #[serde(default = "default_attempts")]
    pub attempts: Attempt,
}

fn default_idempotent() -> bool {
    true
}

fn default_attempts() -> Attempt {
    3
}

impl Specification {
    /// Returns the id that is unique in the fleet.
    pub fn work_id(&self) -> WorkId {
        WorkId { team: self.team.clone(), name: self.id.clone() }
    }

    /// Returns a digest of the specification. It distinguishes a repeat of the same submission from other work with the
    /// same id.
    pub fn digest(&self) -> String {
        digest(&serde_json::to_vec(self).unwrap_or_default())
    }
}

/// An object in the object store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Has the form `<team>/<name>`.
    pub name: String,
    /// Length in bytes.
    pub length: u64,
    /// Hexadecimal SHA-256 digest.
    pub digest: String,
}

/// How work ended.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// Every task succeeded.
    Succeeded,
    /// A task failed on its last attempt, or crashed its workers.
    Failed,
    /// A caller or operator cancelled it.
    Cancelled,
    /// No worker is large enough for one of its tasks.
    NeverRunnable,
    /// The deadline passed before a start; no task was run.
    Expired,
    /// The work was started, and whether it ran to completion is not known.
    Unknown,
}

/// Final outcome of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub ending: Ending,
    /// Human-readable reason.
    pub detail: String,
    /// True only if no task was ever started.
    pub not_run: bool,
    /// Results by task index. A task that produced no result has no entry.
    pub results: Vec<(u32, Object)>,
}

/// Durable state of work, as stored in its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The work is accepted. Which tasks run is not stored: the workers report it.
    Admitted,
    /// Cancellation was requested; tasks may still run.
    Cancelling,
    /// Written before the start request is sent, for non-idempotent work only.
    Starting {
        /// Worker that each task is sent to, by task index.
        workers: Vec<WorkerId>,
        /// Epoch of the owner that sends the start requests.
        epoch: Epoch,
    },
    /// Final state.
    Ended(Outcome),
}

/// Loss of a run of a task with its worker: a crash of the worker, or its silence until the task lease had certainly lapsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Index of the task among those of the work.
    pub index: u32,
    pub attempt: Attempt,
    pub worker: WorkerId,
    /// Incarnation of the worker that ran the task.
    pub incarnation: u64,
    /// Longest time for which the run can have lasted.
    #[serde(rename = "age_ms", with = "millis")]
    pub age: Duration,
    /// Whether the worker ran no other work, had run for a while before the start, and no other cause is likely.
    pub alone: bool,
    /// Whether the process of the worker was certainly replaced.
    pub certain: bool,
}

/// Value of the row `work/<shard>/<team>/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub specification: Specification,
    /// Home shard: its owner schedules the work.
    pub shard: Shard,
    pub state: State,
    /// Time of admission, in milliseconds since the Unix epoch.
    pub admitted_unix_ms: u64,
    /// Name of the key that submitted the work. In an open queue it may belong to another team.
    #[serde(default)]
    pub submitter: String,
    /// Highest attempt that an earlier home shard may have started; 0 if it certainly started none.
    #[serde(default)]
    pub attempt: Attempt,
    /// Time of the last change of the home shard, in milliseconds since the Unix epoch; 0 before the first change.
    #[serde(default)]
    pub moved_unix_ms: u64,
    /// Lost runs of which the tasks have not been cleared.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<Loss>,
}

/// Value of the row `ids/<team>/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    pub shard: Shard,
    /// Digest of the specification, from [`Specification::digest`].
    pub digest: String,
}

/// Returns the key prefix of the records of a shard.
pub fn prefix(shard: &Shard) -> String {
    format!("work/{shard}/")
}

/// Returns the key of the row that holds the record of `work`.
pub fn row_key(shard: &Shard, work: &WorkId) -> String {
    format!("work/{shard}/{work}")
}

/// Returns the key of the row that registers the id of `work`, so that it is not used twice.
pub fn registration_key(work: &WorkId) -> String {
    format!("ids/{work}")
}

/// Phase of a task.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Waits for placement.
    Waiting,
    /// The start request is in flight.
    Starting,
    Running,
    /// A stop was requested and is not yet confirmed.
    Stopping,
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    pub task: Task,
    pub phase: Phase,
    /// Worker that the task is placed on, if any.
    pub worker: Option<WorkerId>,
    /// Latest attempt; 0 before the first start.
    pub attempt: Attempt,
}

/// Status of work, as the owner of its home shard sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub work: WorkId,
    pub class: Class,
    pub shard: Shard,
    pub state: State,
    /// Empty once the work has ended, or if only its stored record is available.
    pub tasks: Vec<TaskStatus>,
}

/// Why work waits, and what would let it start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    pub work: WorkId,
    pub phase: Phase,
    /// The most restrictive reason comes first.
    pub reasons: Vec<String>,
    /// Changes that would let the work start.
    pub remedies: Vec<String>,
}
