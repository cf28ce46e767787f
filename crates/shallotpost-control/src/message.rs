//! Messages between services.

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
use crate::membership::{Fleet, HostRows};
use crate::service::Name;

/// Matches a `Written` to its `Write`; chosen by the sender, unique per sender.
pub type Tag = u64;

/// Who asks, once the key is verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the key.
    pub key: String,
    /// What it allows.
    pub right: Right,
}

/// Where the answer to a request goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    /// To a caller of this process.
    Caller(RequestId),
    /// To the peer that forwarded the request.
    Peer {
        /// The peer.
        host: HostId,
        /// Its request id.
        request: RequestId,
        /// Its try.
        attempt: Attempt,
    },
}

/// Row changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Service that gets the `Written`.
    pub reply_to: Name,
    /// Copied into the `Written`.
    pub tag: Tag,
    /// Conditions.
    pub checks: Vec<Check>,
    /// Row changes.
    pub writes: Vec<Write>,
    /// Time after which the batch must not be sent any more; `None` keeps it until it is written.
    pub expires: Option<Instant>,
}

/// Why a batch was not written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// These checks failed; nothing was written.
    Conflict(Vec<String>),
    /// The queue is full; nothing was written.
    Overloaded,
    /// It expired before it was sent; nothing was written.
    Expired,
    /// It expired while its transaction had an unknown outcome; it may have been written.
    Unknown,
}

/// A message to a service. `Tick` comes every [`crate::kernel::TICK`]; answers from outside go to the service that made the call.
#[derive(Clone, Debug)]
pub enum Message {
    /// Time has passed.
    Tick,
    /// The process was asked to stop.
    Stop,

    /// Answer of the table service to a call of this service.
    Table {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<table::Reply, Failure>,
    },
    /// Answer of a worker to a call of this service.
    Worker {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<worker::Reply, Failure>,
    },
    /// Answer of the worker list to a call of this service.
    List {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<Vec<worker_list::Worker>, Failure>,
    },
    /// A frame of a peer; the kernel routes it by its kind.
    Peer {
        /// Sender.
        from: HostId,
        /// The frame.
        frame: Frame,
    },

    /// To `router`: a caller's request.
    Request {
        /// The request.
        request: RequestId,
        /// Its content and key.
        call: Call,
    },
    /// To `router`: the caller is gone.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// To the service that handles the request, with a verified identity.
    Ask {
        /// Where the answer goes.
        origin: Origin,
        /// Who asks.
        identity: Identity,
        /// What is asked.
        request: Request,
    },
    /// To `router`: the answer to an `Ask`, exactly once for each.
    Answer {
        /// Where it goes.
        origin: Origin,
        /// The answer.
        result: Result<Reply, Problem>,
    },

    /// To `commit`: queue row changes.
    Write(Batch),
    /// From `commit`: outcome of a batch.
    Written {
        /// Tag of the batch.
        tag: Tag,
        /// Its outcome.
        result: Result<(), WriteFailure>,
    },
    /// From `commit` to `ownership` and `membership`: a transaction of this host took effect.
    Renewed {
        /// Moment before the transaction was sent.
        sent: Instant,
    },
    /// From `commit` to all: whether the table service answers.
    TableReachable(bool),
    /// To `commit`: content of the host row from now on.
    Applied {
        /// Configuration revision that this host applies.
        revision: Revision,
    },

    /// From `configuration` to all: a newer configuration.
    Snapshot(Rc<Snapshot>),
    /// From `configuration` to all: the configuration is confirmed until then.
    Fresh {
        /// End of the configuration lease.
        until: Instant,
    },
    /// From `configuration` to `membership`: what this host's `Pong` tells about its configuration.
    Freshness {
        /// Revision that it applies.
        revision: Revision,
        /// Moment up to which the revision is known to have been current; `None` before the first confirmation.
        confirmed: Option<Instant>,
        /// Whether an update has an unknown outcome.
        update_in_flight: bool,
    },

    /// From `membership` to all: entry hosts changed or answered.
    Fleet(Rc<Fleet>),
    /// From `membership` to `ownership`: host rows of the own data centre, after each scan of them.
    HostRows(Rc<HostRows>),
    /// From `membership` to `scheduler`: the worker list.
    Workers(Rc<Vec<worker_list::Worker>>),
    /// To `membership`: send a frame to a peer; lost silently where the peer is not known.
    Send {
        /// Receiver.
        to: HostId,
        /// The frame.
        frame: Frame,
    },

    /// From `ownership` to `scheduler`: this host now owns the shard.
    Acquired {
        /// The shard.
        shard: Shard,
        /// Its epoch.
        epoch: Epoch,
    },
    /// From `ownership` to `scheduler`: the ownership lease of all owned shards ends then.
    Lease {
        /// End of the lease.
        until: Instant,
    },
    /// From `ownership` to `scheduler`: this host no longer owns the shard.
    Lost {
        /// The shard.
        shard: Shard,
    },
    /// From `scheduler` to `ownership`: a worker saw a higher epoch.
    Fenced {
        /// The shard.
        shard: Shard,
        /// The epoch that the worker saw.
        epoch: Epoch,
    },
    /// From `ownership` to `scheduler`: hand the shard over; answered with `Released`.
    Release {
        /// The shard.
        shard: Shard,
    },
    /// From `scheduler` to `ownership`: no call for the shard is open any more.
    Released {
        /// The shard.
        shard: Shard,
    },
    /// From `scheduler` to `membership`, `admission` and `router`: load of the owned shards.
    Loads(Vec<Load>),

    /// To `scheduler`: a record was admitted to an owned shard.
    Admitted {
        /// The record; `None` where only the id is known and the row must be read.
        record: Option<Rc<Record>>,
        /// Home shard.
        shard: Shard,
        /// The work.
        work: WorkId,
    },
    /// From `scheduler` to `router`: work ended, and its outcome is durable.
    Ended {
        /// The work.
        work: WorkId,
        /// Its outcome.
        outcome: Rc<Outcome>,
    },
    /// From `scheduler` to `router`: an owned shard gave the work to another home.
    Moved {
        /// The work.
        work: WorkId,
        /// Its new home shard.
        shard: Shard,
    },
    /// From any service to `router`: the graceful shutdown of that service is complete.
    Drained(Name),
}
