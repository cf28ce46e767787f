//! Messages between the kernel thread and the edge threads. The edge threads pass events to the kernel and execute the
//! effects that it returns.

use std::time::Duration;

use crate::identity::{Address, CallId, HostId, RequestId, Revision, Shard, WorkerId};
use crate::interface::{Call, Reply};
use crate::problem::Problem;
use crate::work::Class;
use crate::{table, wire, worker, worker_list};

/// Why a call to an external service got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The call certainly did not reach the service.
    NotSent,
    /// The call may have taken effect: there was no reply, or it was truncated or unreadable.
    Ambiguous,
    /// The service rejected the call before acting on it.
    Rejected,
}

/// Input of the kernel, from the edge threads.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request from a caller. The kernel answers it exactly once with [`Effect::Answer`].
    Request {
        /// Copied into the [`Effect::Answer`].
        request: RequestId,
        /// The request and the key that it presents.
        call: Call,
    },
    /// The caller closed its connection. The answer is no longer needed.
    Abandoned { request: RequestId },
    /// Reply of the table service, or the failure of the call.
    Table {
        /// Matches [`Effect::Table`].
        call: CallId,
        result: Result<table::Reply, Failure>,
    },
    /// Reply of a worker, or the failure of the call.
    Worker {
        /// Matches [`Effect::Worker`].
        call: CallId,
        result: Result<worker::Reply, Failure>,
    },
    /// Content of the worker list, or the failure of the call.
    WorkerList {
        /// Matches [`Effect::WorkerList`].
        call: CallId,
        result: Result<Vec<worker_list::Worker>, Failure>,
    },
    Peer {
        /// Sender, as named in the `Hello` of the stream.
        from: HostId,
        frame: wire::Frame,
    },
    /// The process was asked to shut down.
    Stop,
}

/// Output of the kernel, executed by the edge threads. Each call is answered by exactly one event, no later than its
/// timeout.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answers the request of a caller.
    Answer { request: RequestId, result: Result<Reply, Problem> },
    /// Calls the table service.
    Table {
        /// Copied into the [`Event::Table`].
        call: CallId,
        request: table::Request,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Calls a worker.
    Worker {
        /// Copied into the [`Event::Worker`].
        call: CallId,
        worker: WorkerId,
        /// Address that the worker listens on.
        address: Address,
        request: worker::Request,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Reads the worker list.
    WorkerList {
        /// Copied into the [`Event::WorkerList`].
        call: CallId,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Sends a frame to a peer. The frame is dropped without notice if the peer cannot be reached.
    Peer {
        to: HostId,
        /// Address that the receiver listens on.
        address: Address,
        frame: wire::Frame,
    },
    /// Writes a log event.
    Log(Log),
    /// Updates the metrics.
    Observe(Observation),
    /// The kernel has finished its graceful shutdown; the process may exit.
    Stopped,
}

/// A measurement for the metrics that only the kernel can take.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// Load of an owned shard.
    Shard(wire::Load),
    /// The host no longer owns the shard.
    ShardLost(Shard),
    /// A task started for the first time.
    Waited {
        class: Class,
        /// Time from the admission of the work to the start of the task.
        waiting: Duration,
    },
    /// Whether the table service responds.
    TableReachable(bool),
    /// State of the configuration of this host.
    Configuration {
        /// Revision that the host applies.
        revision: Revision,
        /// Remaining time of the configuration lease; zero once it has lapsed.
        lease_left: Duration,
    },
    /// Remaining time of the ownership lease; zero once it has lapsed or while no shard is owned.
    OwnershipLease(Duration),
}

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// A component does not work and needs an operator.
    Error,
    /// A component works around a fault.
    Warn,
    /// A state change.
    Info,
    /// Detail for developers.
    Debug,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    pub level: Level,
    /// Name of the event, a fixed text.
    pub event: &'static str,
    /// Keys and values in the order in which they are written.
    pub fields: Vec<(&'static str, String)>,
}
