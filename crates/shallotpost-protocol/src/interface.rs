//! Requests from callers and operators, and their replies. Each HTTP request corresponds to one [`Request`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::{HostId, RackId, Revision, Shard, WorkId, WorkerId};
use crate::millis;
use crate::resource::{Change, Entry, Kind, Propagation, RefusedChange, Resource};
use crate::size::Size;
use crate::work::{Explanation, Outcome, Specification, Status};

/// Maximum number of entries in one page.
pub const PAGE_LIMIT_MAX: usize = 500;

/// Maximum wait of one request.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// Rate at which a server must process a request that it has received. Bytes that were sent wait in buffers and then for
/// the server, which shows nothing of that before its response.
pub const PROCESSED_BYTES_PER_SECOND_MIN: u32 = 512 << 10;

/// Returns the time that a server may take to process a request of this length. The timeout for its response is longer by
/// this time.
pub fn processing_time(bytes: u64) -> Duration {
    Duration::from_secs(bytes) / PROCESSED_BYTES_PER_SECOND_MIN
}

/// A request and the key that it presents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Has the form `<name>.<secret>`; empty if no key was presented.
    pub key: String,
    pub request: Request,
}

/// A request from a caller or operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// `POST /v1/work`: submits work.
    Submit(Specification),
    /// `GET /v1/work/<team>/<id>`: returns the status of work.
    Status(WorkId),
    /// `GET /v1/work/<team>/<id>/wait?wait_ms=`: waits until work has ended and returns its outcome.
    Wait {
        work: WorkId,
        /// Maximum wait, at most [`WAIT_MAX`].
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
    /// `POST /v1/work/<team>/<id>/cancel`: cancels work.
    Cancel(WorkId),
    /// `GET /v1/work/<team>/<id>/explain`: explains why work waits.
    Explain(WorkId),
    /// `GET /v1/work/<team>?after=&limit=`: lists the work of a team that has not ended.
    List {
        team: String,
        /// Returns only ids greater than this one.
        after: String,
        /// Maximum number of entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET` or `PUT /v1/objects/<team>/<name>`: checks whether the key may read or write an object. The edge threads
    /// transfer the content.
    Object {
        /// Has the form `<team>/<name>`.
        name: String,
        /// Whether the object is written rather than read.
        write: bool,
    },
    /// `GET /v1/resources/<kind>/<name>`: returns a resource.
    Get { kind: Kind, name: String },
    /// `GET /v1/resources/<kind>?prefix=&after=&limit=`: lists resources in name order.
    Resources {
        kind: Kind,
        /// Returns only names with this prefix.
        prefix: String,
        /// Returns only names greater than this one.
        after: String,
        /// Maximum number of entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `PUT /v1/resources/<kind>/<name>?revision=&dry_run=`: creates or replaces a resource.
    Put {
        name: String,
        resource: Resource,
        /// Revision that the resource must have: `None` for any, 0 if it must not exist.
        revision: Option<Revision>,
        /// Performs all checks without changing anything.
        dry_run: bool,
    },
    /// `DELETE /v1/resources/<kind>/<name>?revision=&dry_run=`: deletes a resource.
    Delete {
        kind: Kind,
        name: String,
        /// Revision that the resource must have; `None` for any.
        revision: Option<Revision>,
        /// Performs all checks without changing anything.
        dry_run: bool,
    },
    /// `GET /v1/watch?from=&wait_ms=`: waits for changes after a revision and returns them.
    Watch {
        /// Latest revision that the caller has.
        from: Revision,
        /// Maximum wait, at most [`WAIT_MAX`].
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
    /// `GET /v1/force/<revision>`: returns whether a change is in force on all hosts.
    #[serde(rename = "force")]
    Propagation(Revision),
    /// `GET /v1/audit?from=&limit=`: lists accepted and refused changes after a revision.
    Audit {
        /// Revision to start after.
        from: Revision,
        /// Maximum number of entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET /v1/status`: returns the state of entry hosts and shards, as this host sees it.
    Overview,
    /// `GET /v1/workers?after=&limit=`: lists the workers of all shards that have an owner, in name order.
    Workers {
        /// Returns only names greater than this one.
        after: String,
        /// Maximum number of entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET /readyz`: returns whether the load balancer should send requests to this host.
    Ready,
}

/// Reply to a successful request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The work is durably admitted, by this or an earlier submission of the same specification.
    Accepted {
        work: WorkId,
        shard: Shard,
        /// Whether an earlier submission had already admitted the work.
        repeated: bool,
    },
    Status(Status),
    Outcome(Outcome),
    /// The cancellation is recorded. Tasks may still run.
    Cancelling,
    Explanation(Explanation),
    /// A page of work.
    Work {
        entries: Vec<Status>,
        /// Whether there are more entries after this page.
        more: bool,
    },
    /// The key permits the access to the object.
    Allowed,
    Entry(Entry),
    /// A page of resources.
    Entries {
        entries: Vec<Entry>,
        /// Revision of the configuration that the page shows. A watch of later changes starts from it.
        revision: Revision,
        /// Whether there are more entries after this page.
        more: bool,
    },
    /// The change is committed, or passed all checks of a dry run.
    Changed {
        /// Revision of the change; the current revision for a dry run.
        revision: Revision,
        #[serde(rename = "force")]
        propagation: Propagation,
    },
    /// Changes in order of revision, without gaps.
    Changes {
        changes: Vec<Change>,
        /// Revision to watch from next.
        next: Revision,
    },
    /// Whether a change is in force on all hosts.
    #[serde(rename = "force")]
    Propagation(Propagation),
    /// A page of the audit trail.
    Audit {
        changes: Vec<Change>,
        /// Refused changes from the same period.
        refused: Vec<RefusedChange>,
    },
    Overview(Overview),
    /// A page of workers.
    Workers {
        entries: Vec<WorkerState>,
        /// Whether there are more entries after this page.
        more: bool,
    },
    /// The host accepts requests.
    Ready,
}

/// State of the fleet, as one entry host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    pub hosts: Vec<HostState>,
    pub shards: Vec<ShardState>,
    /// Configuration revision that this host applies.
    pub revision: Revision,
    /// Changes that are committed and not yet in force on all hosts.
    pub pending: Vec<Propagation>,
    /// Whether the table service responds.
    pub table_reachable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    pub host: HostId,
    pub data_centre: String,
    pub reachable: bool,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Configuration revision that the host applies.
    pub revision: Revision,
}

/// State of a worker, as the owner of its shard sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    pub worker: WorkerId,
    pub shard: Shard,
    pub rack: RackId,
    /// Total capacity, including what is booked.
    pub capacity: Size,
    /// Part of the capacity that is booked.
    pub booked: Size,
    /// Whether the worker is about to leave the fleet.
    pub leaving: bool,
    /// Whether the worker accepted the claim of the owner and answers.
    pub answers: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    pub shard: Shard,
    /// `None` if no owner is known.
    pub owner: Option<HostId>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of waiting tasks.
    pub waiting: u64,
    /// Number of running tasks.
    pub running: u64,
    /// Number of workers, including those that do not answer.
    pub workers: u64,
    /// Number of workers that do not answer.
    pub silent_workers: u64,
}
