//! Calls to a worker and their replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::identity::{Attempt, Epoch, Shard, Task};
use crate::millis;
use crate::size::Size;
use crate::work::Object;

/// Task that a worker is to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub task: Task,
    /// A repeated request with the same attempt is the same start.
    pub attempt: Attempt,
    /// Resources that are booked for the task.
    pub size: Size,
    /// Command line to run.
    pub command: Vec<String>,
    /// Input in the object store.
    pub input: Option<Object>,
}

/// How a [`Request::Stop`] changes the execution of a task.
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
pub enum StopMode {
    /// Save progress, then stop. The next attempt continues from there.
    Checkpoint,
    /// Continue with less processor time.
    Throttle,
    /// Continue at full speed after [`StopMode::Throttle`].
    Resume,
    /// Stop without saving progress.
    Stop,
}

/// A call to a worker. The epoch of the caller serves as a fencing token: the worker refuses an epoch lower than the
/// highest that it has seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Takes over the worker for a new epoch and returns its tasks.
    Claim {
        shard: Shard,
        epoch: Epoch,
        /// The worker stops all tasks if no call of this epoch arrives for this long.
        #[serde(rename = "lease_ms", with = "millis")]
        lease: Duration,
    },
    /// Starts a task. Idempotent for the same task and attempt.
    Start { epoch: Epoch, assignment: Assignment },
    /// Stops, checkpoints, throttles or resumes a task. Idempotent.
    ///
    /// A `stop` or `checkpoint` of an attempt that the worker does not know is refused with `NoSuchTask` and rules out
    /// a later start of this attempt: the worker refuses such a start with `NoSuchTask` until it accepts a higher
    /// epoch or exits. This guards against a start that arrives after its caller gave up on it: once the caller has
    /// the refusal, such a start has no effect. A worker that does not check epochs does not give this guarantee
    /// either.
    Stop {
        epoch: Epoch,
        task: Task,
        /// Attempt to stop. Other attempts of the task are not affected.
        attempt: Attempt,
        mode: StopMode,
    },
    /// Renews the lease and returns all tasks. The worker replies after `wait`, or earlier if a task has changed since
    /// its last reply.
    Sync {
        epoch: Epoch,
        /// Same meaning as in `Claim`.
        #[serde(rename = "lease_ms", with = "millis")]
        lease: Duration,
        /// Ended attempts whose outcome the caller has recorded. The worker forgets them.
        acknowledged: Vec<(Task, Attempt)>,
        /// Maximum time to wait for a change.
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
}

/// State of a task on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Running {
        throttled: bool,
    },
    /// The task ended and no longer takes capacity.
    Ended(AttemptOutcome),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    Succeeded {
        /// `None` if the task produced no result.
        result: Option<Object>,
    },
    Failed {
        /// Human-readable reason.
        detail: String,
    },
    /// Stopped by a request.
    Stopped,
    /// Stopped by a request after its progress was saved.
    Checkpointed,
    /// Stopped by the worker because the lease lapsed.
    LeaseLapsed,
}

/// Report of a worker on one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub task: Task,
    pub attempt: Attempt,
    /// Resources that are booked for the task.
    pub size: Size,
    pub state: TaskState,
    /// Measured resource usage, some seconds old; `None` before the first measurement.
    pub usage: Option<Size>,
}

/// Complete state of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Random number, drawn when the worker starts. A changed value means that all earlier tasks are gone.
    pub incarnation: u64,
    /// Total capacity, including what is booked.
    pub capacity: Size,
    /// Whether the worker is about to leave the fleet.
    pub leaving: bool,
    /// All running tasks, and the ended ones that are not acknowledged yet.
    pub tasks: Vec<Report>,
}

/// Why a worker refused a call. A task whose start is refused was certainly not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    StaleEpoch {
        /// The highest epoch that the worker has seen.
        current: Epoch,
    },
    /// The task does not fit into the free capacity.
    Full,
    /// The worker is about to leave the fleet.
    Leaving,
    /// The worker was never claimed, or its lease has lapsed. The caller has to claim it first.
    NotClaimed,
    /// The worker does not know the task or attempt. For a start: an earlier stop ruled out the attempt.
    NoSuchTask,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Reply to `Claim` and `Sync`.
    State(Snapshot),
    /// The start or stop was accepted. `Sync` reports its result.
    Done,
    /// The call had no effect.
    Refused(Refusal),
}
