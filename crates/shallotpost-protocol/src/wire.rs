//! Frames of the peer streams between entry hosts.
//!
//! Frames are encoded with `bincode`, which identifies variants and fields by position. Their order is part of the
//! format.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::{Attempt, DataCentreId, Epoch, HostId, RequestId, Revision, Shard, WorkId};
use crate::interface::{Call, Reply};
use crate::problem::Problem;
use crate::resource::Change;
use crate::size::Size;

/// Maximum length of an encoded frame, in bytes.
pub const FRAME_LENGTH_MAX: usize = 4 << 20;

/// A message on a peer stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each stream, in both directions.
    Hello {
        /// Sender of the frames that follow.
        host: HostId,
        data_centre: DataCentreId,
        /// Incarnation of the sender, as in its host row.
        incarnation: u64,
    },
    /// Requests a `Pong`.
    Ping {
        /// Copied into the `Pong`.
        number: u64,
    },
    /// Reply to `Ping`.
    Pong(Pong),
    /// Tells the receiver that work was admitted to a shard that it owns.
    Admitted { shard: Shard, work: WorkId },
    /// Asks the receiver to execute a request from a caller of the sender.
    Forward {
        /// Assigned by the sender.
        request: RequestId,
        /// Number of the sender's attempt to forward the request.
        attempt: Attempt,
        call: Call,
    },
    /// Reply to `Forward`.
    ForwardReply {
        /// Copied from the `Forward`.
        request: RequestId,
        /// Copied from the `Forward`.
        attempt: Attempt,
        result: Result<Reply, Problem>,
    },
    /// A message of the fleet scheduler, encoded by the crate `shallotpost-fleet`.
    Fleet(Vec<u8>),
    /// Requests the configuration changes after a revision.
    AskChanges {
        /// Latest revision that the sender has.
        from: Revision,
    },
    /// Configuration changes in order of revision, without gaps.
    Changes { changes: Vec<Change> },
}

/// State of the entry host that replies to a `Ping`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Copied from the `Ping`.
    pub number: u64,
    /// Incarnation of the sender, as in its host row.
    pub incarnation: u64,
    /// Configuration revision that the sender applies.
    pub revision: Revision,
    /// Time since this revision was last confirmed to be the current one; `None` if it has not been confirmed.
    pub freshness_age: Option<Duration>,
    /// Whether the sender has a configuration update in flight whose outcome it does not know.
    pub update_in_flight: bool,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Load of each shard that the sender owns.
    pub shards: Vec<Load>,
}

/// Load of a shard, as its owner reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub shard: Shard,
    pub epoch: Epoch,
    /// Total capacity of the workers that accept work.
    pub capacity: Size,
    /// Part of the capacity that is booked.
    pub booked: Size,
    /// Total size of the waiting tasks.
    pub waiting: Size,
    /// Largest size that a single worker can hold when empty.
    pub largest: Size,
    pub waiting_tasks: u64,
    pub running_tasks: u64,
    pub workers: u64,
    /// Number of workers that do not answer.
    pub silent_workers: u64,
}
