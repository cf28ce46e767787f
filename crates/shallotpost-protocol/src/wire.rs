//! Frames between entry hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::{Attempt, DataCentreId, Epoch, HostId, RequestId, Revision, Shard, WorkId};
use crate::interface::{Call, Reply};
use crate::problem::Problem;
use crate::resource::Change;
use crate::size::Size;

/// Longest encoded frame, in bytes.
pub const FRAME_LENGTH_MAX: usize = 4 << 20;

/// One message on a peer stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each stream, in both directions.
    Hello {
        /// Sender.
        host: HostId,
        /// Its data centre.
        data_centre: DataCentreId,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Asks for a `Pong`.
    Ping {
        /// Copied into the answer.
        number: u64,
    },
    /// State of the sender.
    Pong(Pong),
    /// A record was admitted for a shard of the receiver.
    Admitted {
        /// Home shard.
        shard: Shard,
        /// The work.
        work: WorkId,
    },
    /// Executes a request for a caller of the sender.
    Forward {
        /// The sender's request id.
        request: RequestId,
        /// Counts the sender's tries.
        attempt: Attempt,
        /// The request.
        call: Call,
    },
    /// Answer to `Forward`.
    Forwarded {
        /// The asker's request id.
        request: RequestId,
        /// The asker's try.
        attempt: Attempt,
        /// The answer.
        result: Result<Reply, Problem>,
    },
    /// A message between the entry hosts of a fleet of jobs, encoded by its own crate.
    Fleet(Vec<u8>),
    /// Asks for changes after a revision.
    AskChanges {
        /// Revision that the sender has.
        from: Revision,
    },
    /// Changes in order, without gap.
    Changes {
        /// The changes.
        changes: Vec<Change>,
    },
}

/// State of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Number of the `Ping`.
    pub number: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Configuration revision that it applies.
    pub revision: Revision,
    /// Age of its configuration freshness; `None` where it has none.
    pub freshness_age: Option<Duration>,
    /// Whether it has a configuration update in flight whose outcome it does not know.
    pub update_in_flight: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Shards that it owns.
    pub shards: Vec<Load>,
}

/// Load of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The shard.
    pub shard: Shard,
    /// Epoch of its owner.
    pub epoch: Epoch,
    /// Capacity of workers that take work.
    pub capacity: Size,
    /// What is booked of it.
    pub booked: Size,
    /// Size of all waiting tasks.
    pub waiting: Size,
    /// Largest size that one worker could hold when empty.
    pub largest: Size,
    /// Tasks that wait.
    pub waiting_tasks: u64,
    /// Tasks that run.
    pub running_tasks: u64,
    /// Workers.
    pub workers: u64,
    /// Workers that do not answer.
    pub silent_workers: u64,
}
