//! Messages between services, and the types that they carry.

use std::rc::Rc;

use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Right;
use shallotpost_protocol::table::{self, Check, Write};
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::work::{Outcome, Record};
use shallotpost_protocol::worker;
use shallotpost_protocol::worker_list;

use crate::configuration::Snapshot;
use crate::membership::{HostRows, PeerList};
use crate::service::ServiceName;

/// Correlates a [`Message::WriteResult`] with its [`Message::Write`]; chosen by the sender and unique per sender.
pub type Tag = u64;

/// The verified API key of a request and what it allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the API key.
    pub key: String,
    pub right: Right,
}

/// Where the answer to a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// A client that is connected to this process.
    Client(RequestId),
    /// The peer that forwarded the request.
    Peer {
        host: HostId,
        /// Id that the peer gave to the request.
        request: RequestId,
        /// Number of the forwarding attempt at the peer.
        attempt: Attempt,
    },
}

/// A set of row changes that is committed atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Service that receives the [`Message::WriteResult`].
    pub reply_to: ServiceName,
    pub tag: Tag,
    /// Conditions that must all hold when the batch is committed.
    pub checks: Vec<Check>,
    pub writes: Vec<Write>,
    /// Time from which the batch must no longer be sent; `None` keeps it queued until it is written.
    pub expires: Option<Instant>,
}

/// Why a batch was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The checks of these row keys failed; nothing was written.
    Conflict(Vec<String>),
    /// The batch was not accepted: the queue is full, the batch has too many rows or touches the row of this host, or
    /// another process has taken over the name of this host. Nothing was written.
    Overloaded,
    /// The batch expired before it was sent; nothing was written.
    Expired,
    /// The outcome of its transaction is unknown; the batch may have been written.
    Unknown,
}

/// A message to a service. The result of a call to the table service, a worker or the worker list goes to the service
/// that made the call.
#[derive(Clone, Debug)]
pub enum Message {
    /// To all: time has passed. Sent every [`crate::kernel::TICK`], or later after a pause.
    Tick,
    /// To all: the process was asked to shut down gracefully.
    Stop,

    /// Result of a call to the table service.
    TableResult { call: CallId, result: Result<table::Reply, Failure> },
    /// Result of a call to a worker.
    WorkerResult { call: CallId, result: Result<worker::Reply, Failure> },
    /// Result of a read of the worker list.
    WorkerListResult { call: CallId, result: Result<Vec<worker_list::Worker>, Failure> },
    /// A frame from a peer. The kernel routes it by its kind.
    PeerFrame { from: HostId, frame: Frame },

    /// To `router`: a client's request. Its API key is not yet verified.
    Request { request: RequestId, call: Call },
    /// To `router`: the client of the request has disconnected.
    Abandoned { request: RequestId },
    /// To the service that handles the request: a request with a verified API key. The service sends exactly one
    /// `Answer`.
    AuthenticatedRequest { origin: Origin, identity: Identity, request: Request },
    /// To `router`: the answer to an `AuthenticatedRequest`.
    Answer { origin: Origin, result: Result<Reply, Problem> },

    /// To `commit`: commit a batch. Answered with `WriteResult`.
    Write(Batch),
    /// From `commit` to the sender of a batch: its outcome.
    WriteResult { tag: Tag, result: Result<(), WriteFailure> },
    /// From `commit` to `ownership` and `membership`: a transaction of this host, and with it its heartbeat, was
    /// committed.
    HeartbeatCommitted {
        /// Time just before the transaction was sent, from which leases are counted.
        sent: Instant,
    },
    /// From `commit` to all: whether the table service is reachable. Sent when this changes.
    TableReachable(bool),
    /// To `commit`: the configuration revision that this host applies, to be published in its host row.
    ConfigurationApplied { revision: Revision },

    /// From `configuration` to all: a newer revision of the configuration.
    Snapshot(Rc<Snapshot>),
    /// From `configuration` to all: the configuration may be used until the configuration lease ends.
    ConfigurationLease { until: Instant },
    /// From `configuration` to `membership`: the state of the configuration, to be reported to peers in a `Pong`.
    ConfigurationStatus {
        /// Revision that this host applies.
        revision: Revision,
        /// Latest time at which the revision is known to have been current; `None` before the first confirmation.
        confirmed: Option<Instant>,
        /// Whether an update of this host has an unknown outcome.
        update_in_flight: bool,
    },

    /// From `membership` to all: the known peers, after one of them changed or answered a ping.
    PeerList(Rc<PeerList>),
    /// From `membership` to `ownership`: the host rows of this host's data centre, after each scan of them.
    HostRows(Rc<HostRows>),
    /// From `membership` to `scheduler`: the latest worker list.
    WorkerList(Rc<Vec<worker_list::Worker>>),
    /// To `membership`: send a frame to a peer. The frame is dropped silently if the peer is unknown.
    SendFrame { to: HostId, frame: Frame },

    /// From `ownership` to `scheduler`: this host now owns the shard.
    ShardAcquired { shard: Shard, epoch: Epoch },
    /// From `ownership` to `scheduler`: the new end of the ownership lease, which covers all owned shards.
    OwnershipLease { until: Instant },
    /// From `ownership` to `scheduler`: this host no longer owns the shard.
    ShardLost { shard: Shard },
    /// From `scheduler` to `ownership`: a worker rejected a call for the shard because it has seen a higher epoch.
    ShardFenced {
        shard: Shard,
        /// Epoch that the worker has seen.
        epoch: Epoch,
    },
    /// From `ownership` to `scheduler`: stop acting for the shard, so that it can be handed over. Answered with
    /// `ShardReleased`.
    ReleaseShard { shard: Shard },
    /// From `scheduler` to `ownership`: no call for the shard is in flight any more.
    ShardReleased { shard: Shard },
    /// From `scheduler` to `membership`, `admission` and `router`: the load of each owned shard.
    ShardLoads(Vec<Load>),

    /// To `scheduler`: work was admitted to an owned shard.
    WorkAdmitted {
        /// `None` where only the id is known and the row must be read.
        record: Option<Rc<Record>>,
        /// Home shard of the work.
        shard: Shard,
        work: WorkId,
    },
    /// From `scheduler` to `router`: work ended, and its outcome is stored durably.
    WorkEnded { work: WorkId, outcome: Rc<Outcome> },
    /// From `scheduler` to `router`: work moved from an owned shard to another home shard.
    WorkMoved {
        work: WorkId,
        /// New home shard.
        shard: Shard,
    },
    /// From any service to `router`: the service has completed its graceful shutdown.
    Drained(ServiceName),
}
