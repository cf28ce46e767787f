//! Inputs and outputs of an entry host's state machine: requests of callers, and calls to the store, workers, the
//! approval service and peers.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::message::Message;
use crate::prelude::*;
use crate::progress::State;
use crate::worker;

/// Time since the process started, on the monotonic clock.
pub type Uptime = Duration;

/// Number that a host assigns to a call it makes; the result carries the same number.
pub type CallId = u64;

/// Number that a host assigns to a request it receives; the answer carries the same number.
pub type RequestId = u64;

/// Name of an entry host, unique in the deployment.
pub type HostName = String;

/// An event that the state machine handles.
#[derive(Debug)]
pub enum Input {
    /// Time has passed; sent at a short interval to drive timeouts and periodic work.
    Tick,
    /// A caller sent a request.
    Request { request: RequestId, body: Request },
    /// A peer sent a message.
    Peer { from: HostName, message: Message },
    /// A call to the store has ended.
    Store { call: CallId, result: Result<StoreAnswer, StoreError> },
    /// A call to a worker has ended.
    Worker { call: CallId, result: Result<worker::Report, worker::Error> },
    /// A call to the approval service has ended.
    Approval {
        call: CallId,
        /// Tickets of the approved workers; workers without a ticket are not approved.
        result: Result<Vec<Ticket>, ApprovalError>,
    },
    /// The process was asked to stop.
    Stop,
}

/// An action that the caller of the state machine carries out.
#[derive(Debug)]
pub enum Output {
    /// Answers a request.
    Answer { request: RequestId, answer: Answer },
    /// Sends a message to a peer, without a guarantee of delivery.
    Peer {
        to: HostName,
        /// Address of the receiver.
        address: String,
        message: Message,
    },
    /// Calls the store.
    Store {
        call: CallId,
        request: StoreRequest,
        connection: Connection,
        /// Time after which the call ends as unanswered.
        timeout: Duration,
    },
    /// Calls a worker.
    Worker {
        call: CallId,
        address: String,
        /// The worker that must answer; any other one at the address refuses the call.
        worker: WorkerId,
        /// Fencing token.
        fence: u64,
        request: worker::Call,
        connection: Connection,
        /// Time after which the call ends as unanswered.
        timeout: Duration,
    },
    /// Calls the approval service.
    Approval {
        call: CallId,
        request: ApprovalRequest,
        /// Time after which the call ends as unanswered.
        timeout: Duration,
    },
    /// Sets whether the readiness check lets the load balancer send new connections.
    Ready(bool),
    /// Sets the limits on callers' requests.
    Limits(crate::configuration::Limits),
    /// Writes a log line.
    Log(Log),
    /// Records a duration in a latency histogram.
    Time { timing: Timing, duration: Duration },
    /// Adds to a counter.
    Count { counter: Counter, amount: u64 },
    /// Ownership is released, or was never held; the process may exit.
    Stopped,
}

/// Connection on which a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An idle connection if there is one.
    Pooled,
    /// A new connection, as existing ones may have gone silent.
    New,
}

/// Counters on the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs stored.
    JobsAdmitted,
    /// Requests refused for a reason on the host's side, such as overload or an unavailable store.
    JobsRefused,
    /// Start calls sent to workers.
    Starts,
    /// Runs that workers listed as ended.
    Ends,
    /// Runs stopped in favour of tasks of higher priority.
    Preemptions,
    /// Runs lost because their worker's process ended or its lease expired.
    RunsLost,
    /// Starts of tasks on workers that were set aside because the task may crash them.
    IsolatedStarts,
    /// Jobs that failed because a task crashes its workers.
    JobsGivenUp,
    /// Jobs that failed because a task has used up its attempts.
    JobsFailed,
    /// Calls to the approval service.
    Approvals,
    /// Calls to the approval service that took longer than expected. Late answers are used all the same.
    ApprovalsLate,
    /// Calls to the approval service that it refused because too many of the host's calls were waiting.
    ApprovalsRefused,
    /// Calls to the approval service that failed or were never answered.
    ApprovalsUnanswered,
    /// Transactions of the owner; repetitions of one transaction count once.
    Commits,
    /// Calls to the store that failed or were not answered.
    StoreFailures,
    /// Failed calls to workers after which a worker counts as silent, or stays so.
    WorkerFailures,
    /// Takeovers of the ownership by this host.
    Takeovers,
    /// Log lines dropped because the log's reader fell behind, or because they were too long.
    LogLinesDropped,
}

/// Latency histograms on the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From receiving a caller's request to answering it.
    Request,
    /// A call to the store, other than a feed.
    StoreCall,
    /// A start or stop call to a worker.
    WorkerOrder,
    /// A call to the approval service, made by this host.
    ApprovalCall,
    /// A transaction of the owner, including its retries.
    Commit,
    /// From the time at which this owner learned of a job to the start of its first task.
    JobStart,
    /// From the time at which this owner learned of a job to the commit of its final state.
    JobEnd,
}

/// A structured log line.
#[derive(Clone, Debug)]
pub struct Log {
    pub event: &'static str,
    /// Keys and values, in the order in which they are written.
    pub fields: Vec<(&'static str, String)>,
}

/// A caller's request, with the parts of the HTTP request that routing and authentication need.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Host name that the caller addressed, with or without a port.
    pub host: String,
    pub path: String,
    /// API key of the caller, if it sent one.
    pub key: Option<String>,
    pub action: Action,
    /// Time for which the caller waits for the answer.
    pub timeout: Duration,
}

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submits a job. The host fills in its queue, team, policy and epoch. `Err` tells why the body cannot be decoded.
    Submit(Result<Box<Job>, String>),
    /// Reads the state of a job or, if the path names no job, the number of waiting jobs of the queue.
    Read,
    Cancel,
}

/// Answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    State(State),
    /// Number of jobs of a queue of which no task has started.
    Waiting(usize),
    /// The cancellation is stored.
    Cancelled,
    /// The queue has no such job, or it belongs to another team.
    NoJob,
    /// No queue matches the host name and path.
    NoQueue,
    /// The key is unknown, or is missing although the queue requires one.
    BadKey,
    /// The request is malformed; the text tells how to correct it.
    Malformed(String),
    /// The request was refused and had no effect.
    NotAdmitted {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The outcome is unknown. Requests are idempotent, so the caller may repeat this one.
    Unknown,
}

#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// Configuration and evacuations, written by the operator.
    Operator,
    /// Registrations, written by the workers.
    Workers,
    /// Jobs and their cancellations, partitioned by the first digits of the key.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// The ownership row and the roster of workers.
    Ownership,
    /// Addresses of the entry hosts.
    Hosts,
}

/// Version of a row or of the whole store; zero for a row that does not exist.
pub type RowVersion = u64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Writes and deletes rows atomically, if all conditions hold.
    Transact {
        /// Rows and the versions that they must have; zero for a row that must not exist.
        conditions: Vec<(Table, String, RowVersion)>,
        writes: Vec<(Table, String, Vec<u8>)>,
        deletes: Vec<(Table, String)>,
    },
    /// Reads rows in the order of their keys. A read covers one partition of the table.
    Read {
        table: Table,
        /// Least key to return.
        from: String,
        limit: u32,
    },
    /// Reads the changes of a table after a version, and waits for one if there is none yet.
    Feed {
        table: Table,
        /// Version after which changes are returned.
        after: RowVersion,
        /// Time for which the store waits for a change.
        wait: Duration,
    },
}

impl StoreRequest {
    /// Returns the number of rows that are written or deleted, and the total size of the written values in bytes.
    pub fn size(&self) -> (usize, usize) {
        match self {
            StoreRequest::Transact { writes, deletes, .. } => {
                let bytes = writes.iter().map(|(_, _, value)| value.len()).sum();
                (writes.len() + deletes.len(), bytes)
            }
            StoreRequest::Read { .. } | StoreRequest::Feed { .. } => (0, 0),
        }
    }
}

/// Successful answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreAnswer {
    /// Rows in the order of their keys, or changes in the order of their versions.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
    /// Newest version of the whole store.
    pub version: RowVersion,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub table: Table,
    pub key: String,
    pub version: RowVersion,
    pub content: Content,
}

/// Content of a row, decoded as its table requires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The row was deleted.
    Deleted,
    /// The row cannot be decoded, or holds an unknown value.
    Unreadable,
    /// Encoded row of a table that entry hosts write.
    Bytes(Vec<u8>),
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// A data centre in which no worker may be used.
    Evacuation { data_centre: String },
    /// A worker's registration.
    Worker(Box<worker::Registration>),
    /// A row of the operator of an unknown kind.
    Other,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// A condition does not hold, so nothing was written.
    #[error("a condition does not hold; read the rows again")]
    Conflict {
        /// Current rows that the conditions name.
        rows: Vec<Row>,
    },
    /// The store refused the call or cannot be reached. The call had no effect.
    #[error("the store is not available; try again later")]
    NotExecuted,
    /// No answer arrived. The call may have been executed, or may still be executed later.
    #[error("the store did not answer; read the rows to see whether the call took effect")]
    Unanswered,
    /// The store no longer holds the changes since the requested version.
    #[error("the change history is no longer available; read the whole table")]
    HistoryLost,
    /// The store treats the request as malformed.
    #[error("the store rejected the request as malformed; this is a bug in the entry host")]
    Rejected,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApprovalRequest {
    pub stage: crate::job::StageId,
    pub workers: Vec<WorkerId>,
}

/// Approval of a worker for a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    pub worker: WorkerId,
    /// Proof of the approval, which the start call passes to the worker.
    pub ticket: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ApprovalError {
    /// The service has too many pending calls from this host.
    #[error("the approval service has too many pending calls; call it through another host")]
    Busy,
    #[error("the approval service did not answer; call it again")]
    Unanswered,
}
