//! Calls to a worker.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::identity::{Attempt, Epoch, Shard, Task};
use crate::millis;
use crate::size::Size;
use crate::work::Object;

/// A task as a worker gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The task.
    pub task: Task,
    /// Attempt; a repeat of the same attempt is the same start.
    pub attempt: Attempt,
    /// Booked size.
    pub size: Size,
    /// What to run.
    pub command: Vec<String>,
    /// Input in the object store.
    pub input: Option<Object>,
}

/// How to stop a task.
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
pub enum Mode {
    /// Save progress, then stop. The next attempt goes on from there.
    Checkpoint,
    /// Run on with less processor time.
    Throttle,
    /// End a throttle.
    Resume,
    /// Stop now.
    Stop,
}

/// A call to a worker. Every call names the caller's epoch; a lower one than the highest seen is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Takes the worker over for a new epoch and lists its tasks.
    Claim {
        /// Shard of the worker.
        shard: Shard,
        /// Caller's epoch.
        epoch: Epoch,
        /// The worker stops all tasks when no call of this epoch comes for this long.
        #[serde(rename = "lease_ms", with = "millis")]
        lease: Duration,
    },
    /// Starts a task. Idempotent by task and attempt.
    Start {
        /// Caller's epoch.
        epoch: Epoch,
        /// The task.
        assignment: Assignment,
    },
    /// Stops, checkpoints, throttles or resumes a task. Idempotent.
    ///
    /// A `stop` or `checkpoint` of an attempt that the worker does not know is refused with `NoSuchTask` and rules out a
    /// later start of this attempt: the worker refuses such a start with `NoSuchTask` until it accepts a higher epoch or
    /// ends. A start may arrive after its caller gave it up; a caller that got the refusal can be sure that it has no
    /// effect. A worker that does not check epochs does not offer this either.
    Stop {
        /// Caller's epoch.
        epoch: Epoch,
        /// The task.
        task: Task,
        /// The attempt that is meant; another one is left alone.
        attempt: Attempt,
        /// How.
        mode: Mode,
    },
    /// Renews the lease and reports all tasks; returns early when a task changed since the last answer.
    Sync {
        /// Caller's epoch.
        epoch: Epoch,
        /// As in `Claim`.
        #[serde(rename = "lease_ms", with = "millis")]
        lease: Duration,
        /// Ended attempts whose end the caller has recorded; the worker forgets them.
        acknowledged: Vec<(Task, Attempt)>,
        /// Longest time to wait for a change.
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
}

/// What a task does on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running {
        /// Whether it is throttled.
        throttled: bool,
    },
    /// It ended and takes no capacity any more.
    Ended(End),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It succeeded.
    Succeeded {
        /// Its result, if it left one.
        result: Option<Object>,
    },
    /// It failed.
    Failed {
        /// Reason, for people.
        detail: String,
    },
    /// It was stopped by a call.
    Stopped,
    /// It was stopped after a checkpoint.
    Checkpointed,
    /// The worker stopped it because the lease lapsed.
    LeaseLapsed,
}

/// Report on one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: Attempt,
    /// Booked size.
    pub size: Size,
    /// What it does.
    pub state: TaskState,
    /// Measured use, some seconds old; `None` before the first measurement.
    pub usage: Option<Size>,
}

/// Answer to `Claim` and `Sync`: the whole state of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Drawn at random when the worker starts; another value means that all earlier tasks are gone.
    pub incarnation: u64,
    /// What the worker can hold.
    pub capacity: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// All running tasks, and the ended ones that were not acknowledged.
    pub tasks: Vec<Report>,
}

/// Why a worker refused a call. A refused start was certainly not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A higher epoch was seen.
    StaleEpoch {
        /// The highest epoch seen.
        current: Epoch,
    },
    /// The size does not fit into what is free.
    Full,
    /// The worker is about to leave.
    Leaving,
    /// The worker was never claimed, or its lease lapsed: claim it first.
    NotClaimed,
    /// No such task or attempt; for a start, the attempt was ruled out by an earlier stop.
    NoSuchTask,
}

/// An answer of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Answer to `Claim` and `Sync`.
    State(Snapshot),
    /// The start or stop was accepted; `Sync` reports the rest.
    Done,
    /// Nothing was done.
    Refused(Refusal),
}
