//! Requests of callers and operators, and their replies. The HTTP interface maps onto these types one to one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identity::{HostId, RackId, Revision, Shard, WorkId, WorkerId};
use crate::millis;
use crate::resource::{Change, Entry, Force, Kind, Refused, Resource};
use crate::size::Size;
use crate::work::{Explanation, Outcome, Specification, Status};

/// Most entries in one page.
pub const PAGE_LIMIT_MAX: usize = 500;

/// Longest wait that one request may ask for.
pub const WAIT_MAX: Duration = Duration::from_secs(60);

/// A request with the key that came with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The presented key, `<name>.<secret>`; empty where none came.
    pub key: String,
    /// What is asked for.
    pub request: Request,
}

/// What a caller or operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// `POST /v1/work`: submits work.
    Submit(Specification),
    /// `GET /v1/work/<team>/<id>`: status.
    Status(WorkId),
    /// `GET /v1/work/<team>/<id>/wait?wait_ms=`: outcome, once it ended.
    Wait {
        /// The work.
        work: WorkId,
        /// Longest wait, at most [`WAIT_MAX`].
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
    /// `POST /v1/work/<team>/<id>/cancel`: cancels it.
    Cancel(WorkId),
    /// `GET /v1/work/<team>/<id>/explain`: why it waits.
    Explain(WorkId),
    /// `GET /v1/work/<team>?after=&limit=`: status of a team's work that has not ended.
    List {
        /// The team.
        team: String,
        /// Only ids greater than this one.
        after: String,
        /// Most entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET` or `PUT /v1/objects/<team>/<name>`: may this key read or write the object? The edge streams the bytes.
    Object {
        /// Name, `<team>/<name>`.
        name: String,
        /// Whether it is written.
        write: bool,
    },
    /// `GET /v1/resources/<kind>/<name>`: one resource.
    Get {
        /// Kind.
        kind: Kind,
        /// Name.
        name: String,
    },
    /// `GET /v1/resources/<kind>?prefix=&after=&limit=`: resources in name order.
    Resources {
        /// Kind.
        kind: Kind,
        /// Only names with this prefix.
        prefix: String,
        /// Only names greater than this one.
        after: String,
        /// Most entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `PUT /v1/resources/<kind>/<name>?revision=&dry_run=`: creates or replaces a resource.
    Put {
        /// Name.
        name: String,
        /// New content.
        resource: Resource,
        /// Revision that it must have: `None` for any, 0 for none at all.
        revision: Option<Revision>,
        /// Checks everything and changes nothing.
        dry_run: bool,
    },
    /// `DELETE /v1/resources/<kind>/<name>?revision=&dry_run=`: deletes a resource.
    Delete {
        /// Kind.
        kind: Kind,
        /// Name.
        name: String,
        /// Revision that it must have; `None` for any.
        revision: Option<Revision>,
        /// Checks everything and changes nothing.
        dry_run: bool,
    },
    /// `GET /v1/watch?from=&wait_ms=`: changes after a revision, as soon as there is one.
    Watch {
        /// Revision that the caller has.
        from: Revision,
        /// Longest wait, at most [`WAIT_MAX`].
        #[serde(rename = "wait_ms", with = "millis")]
        wait: Duration,
    },
    /// `GET /v1/force/<revision>`: whether a change is in force everywhere.
    Force(Revision),
    /// `GET /v1/audit?from=&limit=`: accepted and refused changes after a revision.
    Audit {
        /// Revision to start after.
        from: Revision,
        /// Most entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET /v1/status`: entry hosts and shards as this host sees them.
    Overview,
    /// `GET /v1/workers?after=&limit=`: workers of all shards that have an owner, in name order.
    Workers {
        /// Only names greater than this one.
        after: String,
        /// Most entries, at most [`PAGE_LIMIT_MAX`].
        limit: usize,
    },
    /// `GET /readyz`: whether the balancer should send requests.
    Ready,
}

/// Reply to a request that succeeded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The work is admitted durably, now or by an earlier submission of the same specification.
    Accepted {
        /// Fleet-wide id.
        work: WorkId,
        /// Home shard.
        shard: Shard,
        /// Whether an earlier submission had admitted it.
        repeated: bool,
    },
    /// Status.
    Status(Status),
    /// Outcome.
    Outcome(Outcome),
    /// The cancellation is recorded.
    Cancelling,
    /// Explanation.
    Explanation(Explanation),
    /// A page of work.
    Work {
        /// Entries.
        entries: Vec<Status>,
        /// Whether more follow.
        more: bool,
    },
    /// The key may do it.
    Allowed,
    /// A resource.
    Entry(Entry),
    /// A page of resources.
    Entries {
        /// Entries.
        entries: Vec<Entry>,
        /// Revision that the page is true at; watch from it.
        revision: Revision,
        /// Whether more follow.
        more: bool,
    },
    /// The change is committed (or, for a dry run, would be).
    Changed {
        /// Its revision; the current one for a dry run.
        revision: Revision,
        /// Whether it is in force.
        force: Force,
    },
    /// Changes in order, without gap.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// Revision to watch from next.
        next: Revision,
    },
    /// Whether a change is in force.
    Force(Force),
    /// A page of the audit trail.
    Audit {
        /// Accepted changes.
        changes: Vec<Change>,
        /// Refused changes of the same time.
        refused: Vec<Refused>,
    },
    /// Entry hosts and shards.
    Overview(Overview),
    /// A page of workers.
    Workers {
        /// Entries.
        entries: Vec<WorkerState>,
        /// Whether more follow.
        more: bool,
    },
    /// The host takes requests.
    Ready,
}

/// The fleet as one entry host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// Entry hosts.
    pub hosts: Vec<HostState>,
    /// Shards.
    pub shards: Vec<ShardState>,
    /// Applied configuration revision.
    pub revision: Revision,
    /// Revisions that are committed and not yet in force.
    pub pending: Vec<Force>,
    /// Whether the table service answers.
    pub table_reachable: bool,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostState {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Configuration revision that it applies.
    pub revision: Revision,
}

/// One worker, as the owner of its shard sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The worker.
    pub worker: WorkerId,
    /// Its shard.
    pub shard: Shard,
    /// Its rack.
    pub rack: RackId,
    /// What it can hold.
    pub capacity: Size,
    /// What is booked on it.
    pub booked: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether it accepted the owner's claim and answers.
    pub answers: bool,
}

/// One shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// The shard.
    pub shard: Shard,
    /// Its owner, if one is known.
    pub owner: Option<HostId>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Tasks that wait.
    pub waiting: u64,
    /// Tasks that run.
    pub running: u64,
    /// Workers, and those of them that do not answer.
    pub workers: u64,
    /// Workers that do not answer.
    pub silent_workers: u64,
}
