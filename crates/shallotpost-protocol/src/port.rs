//! The boundary between the kernel thread and the edge threads. Events go in, effects come out.

use std::time::Duration;

use crate::identity::{Address, CallId, HostId, RequestId, Revision, Shard, WorkerId};
use crate::interface::{Call, Reply};
use crate::problem::Problem;
use crate::work::Class;
use crate::{list, table, wire, worker};

/// Why a call to the outside got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The call certainly did not reach the other side.
    NotSent,
    /// The call may have taken effect: no answer, a truncated one or an unreadable one.
    Ambiguous,
    /// The other side refused the call before acting on it.
    Rejected,
}

/// What the edges tell the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request. The kernel answers it exactly once with [`Effect::Answer`].
    Request {
        /// Matches the answer.
        request: RequestId,
        /// The request and its key.
        call: Call,
    },
    /// The caller closed its connection; the answer is not needed any more.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// Answer of the table service.
    Table {
        /// Matches [`Effect::Table`].
        call: CallId,
        /// Its result.
        result: Result<table::Reply, Failure>,
    },
    /// Answer of a worker.
    Worker {
        /// Matches [`Effect::Worker`].
        call: CallId,
        /// Its result.
        result: Result<worker::Reply, Failure>,
    },
    /// Answer of the worker list.
    List {
        /// Matches [`Effect::List`].
        call: CallId,
        /// Its result.
        result: Result<Vec<list::Worker>, Failure>,
    },
    /// A frame from a peer.
    Peer {
        /// Sender, from its `Hello`.
        from: HostId,
        /// The frame.
        frame: wire::Frame,
    },
    /// The process was asked to stop.
    Stop,
}

/// What the kernel tells the edges to do. Each call gets exactly one answering event, at the latest at its timeout.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answers a caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        result: Result<Reply, Problem>,
    },
    /// Calls the table service.
    Table {
        /// Matches the answer.
        call: CallId,
        /// The call.
        request: table::Request,
        /// Time until it counts as failed.
        timeout: Duration,
    },
    /// Calls a worker.
    Worker {
        /// Matches the answer.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// Where it listens.
        address: Address,
        /// The call.
        request: worker::Request,
        /// Time until it counts as failed.
        timeout: Duration,
    },
    /// Reads the worker list.
    List {
        /// Matches the answer.
        call: CallId,
        /// Time until it counts as failed.
        timeout: Duration,
    },
    /// Sends a frame to a peer; lost silently where the peer cannot be reached.
    Peer {
        /// Receiver.
        to: HostId,
        /// Where it listens.
        address: Address,
        /// The frame.
        frame: wire::Frame,
    },
    /// Writes a log event.
    Log(Log),
    /// Records a measurement.
    Observe(Observation),
    /// The kernel has finished its graceful shutdown; the process may exit.
    Stopped,
}

/// A measurement that only the kernel can take.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// Load of an owned shard.
    Shard(wire::Load),
    /// The shard is not owned any more.
    ShardLost(Shard),
    /// A task started for the first time, this long after its admission.
    Waited {
        /// Class of its work.
        class: Class,
        /// Time from the admission to the start.
        waiting: Duration,
    },
    /// Whether the table service answers.
    TableReachable(bool),
    /// Revision that the host applies, and the time left of the configuration lease.
    Configuration {
        /// The revision.
        revision: Revision,
        /// Time left; zero once it has lapsed.
        lease_left: Duration,
    },
    /// Time left of the ownership lease; zero once it has lapsed or while no shard is owned.
    OwnershipLease(Duration),
}

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// A part does not work and needs an operator.
    Error,
    /// A part works around a fault.
    Warn,
    /// A state change.
    Info,
    /// Detail for developers.
    Debug,
}

/// A log event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Severity.
    pub level: Level,
    /// Fixed text that names the event.
    pub event: &'static str,
    /// Fields in order.
    pub fields: Vec<(&'static str, String)>,
}
