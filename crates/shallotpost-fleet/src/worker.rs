//! What workers report, and the calls they take.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::prelude::*;

/// Identifier under which a worker registers.
pub type WorkerId = String;

/// A worker's entry in the registry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Pool that it belongs to.
    pub pool: String,
    /// Where it takes calls.
    pub address: String,
    /// Data centre.
    pub zone: String,
    /// Whether it takes new tasks.
    pub draining: bool,
    /// What it holds.
    pub capacity: Size,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Start of its process, in milliseconds since the Unix epoch. Tells apart two lives under one identifier.
    pub born: u64,
    /// Least time until a draining worker leaves.
    pub drain_remaining: Option<Duration>,
}

/// A task that a worker lists as present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub number: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent. A task that serves is at work at 100.
    pub percent: f64,
    /// Tail latency in milliseconds of a serving task over the last half second, processors in use of any other task.
    pub gauge: Option<f64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// It completed.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Number of the entry in this life of the worker, from one.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub number: u64,
    /// How it ended.
    pub ending: Ending,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// A call to a worker. All calls carry the fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// Number of the start.
        number: u64,
        /// The job's specification.
        specification: String,
        /// End of the lease on the worker's clock, in milliseconds.
        until_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket of the approval.
        ticket: Option<String>,
    },
    /// Stops a run; also prevents one that has not arrived yet.
    Stop {
        /// The task.
        task: TaskId,
        /// Number of the start.
        number: u64,
    },
    /// Extends the lease of everything on the worker and lists runs and ends.
    Hold {
        /// End of the lease on the worker's clock, in milliseconds; none to read the lists only.
        until_ms: Option<u64>,
        /// Ends up to this one are noted and may be forgotten.
        seen: u64,
        /// How long the worker waits for an end.
        wait: Duration,
    },
    /// Sets the share at which a task works.
    Pace {
        /// The task.
        task: TaskId,
        /// Number of the start.
        number: u64,
        /// Share in percent.
        percent: u32,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's process, if the answer has it.
    pub born: Option<u64>,
    /// Runs that are present, and ends; answers to other calls than `Hold` have none.
    pub lists: Option<Lists>,
}

/// Runs and ends that a worker lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lists {
    /// Runs that are present.
    pub running: Vec<Run>,
    /// Ends that are not noted yet, in order.
    pub ended: Vec<End>,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fence,
    /// The run's number is not higher than one that was stopped or ended.
    Old,
    /// The lease had expired on arrival.
    Late,
    /// There is no room.
    Room,
    /// The ticket is missing or expired.
    Ticket,
}

/// Failure of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker refused; nothing was done.
    #[error("the worker refused the call ({0}); place the task again")]
    Refused(Refusal),
    /// Another worker, or another life of it, has this address.
    #[error("another worker listens at this address; wait for its registration")]
    OtherWorker,
    /// The worker is unhealthy and has done nothing.
    #[error("the worker is unhealthy and did nothing; try another one")]
    Unhealthy,
    /// No connection could be made, so nothing was sent.
    #[error("the worker cannot be reached; wait until it is back or its lease has lapsed")]
    Unreachable,
    /// There was no complete answer; the call may be executed, also later.
    #[error("the worker gave no answer; stop the run before placing it again")]
    Unanswered,
}
