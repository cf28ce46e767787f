//! Worker registrations, calls to workers and their results.

use serde::{Deserialize, Serialize};
use strum::Display;

use crate::prelude::*;

/// Identifier under which a worker registers.
pub type WorkerId = String;

/// Entry of a worker in the registry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    pub pool: String,
    /// Address at which the worker accepts calls.
    pub address: String,
    pub data_centre: String,
    /// Whether the worker is about to leave and accepts no new tasks.
    pub draining: bool,
    /// Total resources of the worker.
    pub capacity: Size,
    /// Labels; the first is the worker's kind, the second its rack.
    pub labels: Vec<String>,
    /// Start of the worker's process, in milliseconds since the Unix epoch. Distinguishes successive processes that
    /// register under the same identifier.
    pub started_unix_ms: u64,
    /// Minimum time until a draining worker leaves.
    pub drain_remaining: Option<Duration>,
}

impl Registration {
    /// Returns the earliest time at which a draining worker leaves, if the entry was written at `now`; `None` if the worker
    /// is not draining or does not tell.
    pub fn leaves(&self, now: Uptime) -> Option<Uptime> {
        let left = self.drain_remaining.filter(|_| self.draining)?;
        Some(now.saturating_add(left))
    }
}

/// A run that a worker lists as present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent. A serving task reports 100 once it serves.
    pub percent: f64,
    /// For a serving task, its tail latency in milliseconds over the last half second; for any other task, the number of
    /// processors in use.
    pub gauge: Option<f64>,
}

/// Reason why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The owner stopped the run.
    Stopped,
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of the gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// The run waited too long for the other members of the gang.
    #[strum(serialize = "alone")]
    GangTimeout,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Sequence number in the list of the worker's process, counted from one.
    pub sequence: u64,
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    pub reason: EndReason,
    /// Checkpoint from which the next run resumes; empty for none.
    pub checkpoint: String,
}

/// A call to a worker. The fencing token is sent with each call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    Start {
        task: TaskId,
        /// Number of the run. It is higher than that of every earlier run of the task.
        number: u64,
        /// The job's specification.
        specification: String,
        /// End of the lease on the worker's clock, in milliseconds.
        until_ms: u64,
        /// Checkpoint from which the run resumes; empty for none.
        checkpoint: String,
        /// Ticket of the worker's approval; `None` if the queue needs no approval.
        ticket: Option<String>,
    },
    /// Stops a run. If the start has not arrived yet, the worker refuses it when it does.
    Stop {
        task: TaskId,
        /// Number of the run.
        number: u64,
    },
    /// Renews the lease of all runs on the worker, and lists present and ended runs.
    RenewLease {
        /// End of the lease on the worker's clock, in milliseconds; `None` reads the lists without a renewal.
        until_ms: Option<u64>,
        /// Sequence number up to which ended runs are stored; the worker may drop them from its list.
        acknowledged: u64,
        /// Maximum time for which the worker delays its answer while no further run ends.
        wait: Duration,
    },
    /// Limits the speed of a best-effort task.
    Throttle {
        task: TaskId,
        /// Number of the run.
        number: u64,
        /// Share of full speed, in percent.
        percent: u32,
    },
}

/// Successful answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's process, in milliseconds since the Unix epoch, if the answer holds it.
    pub started_unix_ms: Option<u64>,
    /// Present and ended runs; `None` in answers to calls other than [`Call::RenewLease`].
    pub lists: Option<RunLists>,
}

/// Maximum number of ended runs that a worker lists at once. Further ones are listed once these are acknowledged, so a list
/// of this length may be incomplete.
pub const ENDED_RUNS_MAX: usize = 500;

/// Present and ended runs of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunLists {
    pub running: Vec<Run>,
    /// Ended runs that are not acknowledged yet, in the order of their sequence numbers; at most [`ENDED_RUNS_MAX`].
    pub ended: Vec<EndedRun>,
}

/// Reason why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// A run of the task with this or a higher number was stopped or has ended.
    #[strum(serialize = "old")]
    StaleRun,
    /// The lease had expired when the call arrived.
    #[strum(serialize = "late")]
    LeaseExpired,
    /// The worker has too few free resources.
    #[strum(serialize = "room")]
    NoCapacity,
    /// The approval ticket is missing or has expired.
    Ticket,
}

/// Failure of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Error {
    /// The worker refused the call and did nothing.
    #[error("the worker refused the call ({0}); place the task again")]
    Refused(Refusal),
    /// Another worker, or a later process of this one, has this address.
    #[error("another worker listens at this address; wait for a new registration")]
    OtherWorker,
    /// The worker is unhealthy and did nothing.
    #[error("the worker is unhealthy and did nothing; place the task on another worker")]
    Unhealthy,
    /// No connection could be established, so nothing was sent.
    #[error(
        "the worker cannot be reached; wait until it is reachable again or its lease has expired"
    )]
    Unreachable,
    /// No complete answer arrived. The call may have been executed, or may still be executed later.
    #[error("the worker did not answer; stop the run before placing the task again")]
    Unanswered,
}
