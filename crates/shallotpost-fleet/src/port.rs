//! What goes into and comes out of an entry host's state machine.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::message::Message;
use crate::prelude::*;
use crate::progress::State;
use crate::worker;

/// Time since the process started, on its monotonic clock.
pub type Uptime = Duration;

/// Number of a call that a host made.
pub type CallId = u64;

/// Number of a request that a host received.
pub type RequestId = u64;

/// Name of an entry host.
pub type HostName = String;

/// Something that happened.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A caller sent a request.
    Request {
        /// Number for the answer.
        request: RequestId,
        /// The request.
        body: Request,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: HostName,
        /// The message.
        message: Message,
    },
    /// A call to the store has ended.
    Store {
        /// Its number.
        call: CallId,
        /// Its result.
        result: Result<StoreAnswer, StoreError>,
    },
    /// A call to a worker has ended.
    Worker {
        /// Its number.
        call: CallId,
        /// Its result.
        result: Result<worker::Report, worker::Error>,
    },
    /// A call for the approval of workers has ended.
    Approval {
        /// Its number.
        call: CallId,
        /// Approved workers and their tickets.
        result: Result<Vec<Ticket>, ApprovalError>,
    },
    /// The process was asked to stop.
    Stop,
}

/// Something to do.
#[derive(Debug)]
pub enum Output {
    /// Answers a request.
    Answer {
        /// Its number.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Sends a message to a peer; it may be lost.
    Peer {
        /// The receiver.
        to: HostName,
        /// Its address.
        address: String,
        /// The message.
        message: Message,
    },
    /// Calls the store.
    Store {
        /// Number for the result.
        call: CallId,
        /// The request.
        request: StoreRequest,
        /// Time after which the call counts as unanswered.
        timeout: Duration,
    },
    /// Calls a worker.
    Worker {
        /// Number for the result.
        call: CallId,
        /// Address of the worker.
        address: String,
        /// The worker that must answer.
        worker: WorkerId,
        /// Fencing token.
        fence: u64,
        /// The request.
        request: worker::Call,
        /// Time after which the call counts as unanswered.
        timeout: Duration,
    },
    /// Asks for the approval of workers.
    Approval {
        /// Number for the result.
        call: CallId,
        /// The request.
        request: ApprovalRequest,
        /// Time after which the call counts as unanswered.
        timeout: Duration,
    },
    /// Whether the balancer may send new connections.
    Ready(bool),
    /// Limits on requests have changed.
    Limits(crate::configuration::Limits),
    /// Writes a log line.
    Log(Log),
    /// Adds to a latency histogram.
    Time {
        /// The histogram.
        timing: Timing,
        /// What was measured.
        duration: Duration,
    },
    /// Adds to a counter.
    Count {
        /// Name of the counter.
        counter: Counter,
        /// Amount.
        amount: u64,
    },
    /// Everything is handed over; the process may end.
    Stopped,
}

/// Counters of the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs stored.
    JobsAdmitted,
    /// Submissions refused.
    JobsRefused,
    /// Starts sent to workers.
    Starts,
    /// Runs that ended.
    Ends,
    /// Runs stopped to make room.
    Preemptions,
    /// Calls for approval.
    Approvals,
    /// Transactions of the owner.
    Commits,
    /// Calls to the store that were refused or got no answer.
    StoreFailures,
    /// Calls to workers that got no answer.
    WorkerFailures,
    /// Ownership taken.
    Takeovers,
    /// Log lines left out because the reader of the log was behind, or because they were too long.
    LogLinesDropped,
}

/// Latency histograms of the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From a caller's request to its answer.
    Request,
    /// A call to the store that does not wait for changes.
    StoreCall,
    /// A start or a stop at a worker.
    WorkerOrder,
    /// A call for approval by this host.
    ApprovalCall,
    /// A transaction of the owner, with repetitions.
    Commit,
    /// From the time at which this owner heard of a job to the first of its starts.
    JobStart,
    /// From the time at which this owner heard of a job to its stored end.
    JobEnd,
}

/// A structured log line.
#[derive(Clone, Debug)]
pub struct Log {
    /// Name of the event.
    pub event: &'static str,
    /// Fields in order.
    pub fields: Vec<(&'static str, String)>,
}

/// A caller's request after routing headers were read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Host name that the caller addressed.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// What is asked for.
    pub action: Action,
    /// How long the caller waits.
    pub patience: Duration,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submits a job. Queue, team and terms are filled in by the host; `Err` says what is wrong with the body.
    Submit(Result<Box<Job>, String>),
    /// Reads a job's state, or the number of waiting jobs of a queue.
    Read,
    /// Cancels a job.
    Cancel,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// State of a job.
    State(State),
    /// Number of jobs of a queue for which nothing has started.
    Waiting(usize),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The key is unknown.
    BadKey,
    /// The request is malformed.
    Malformed(String),
    /// The job was not admitted and never runs through this request.
    NotAdmitted {
        /// When to try again.
        retry_after: Duration,
    },
    /// The outcome is unknown; the same request may be repeated.
    Unknown,
}

/// Tables of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    /// The operator's orders, written by the operator.
    Operator,
    /// Registrations, written by the workers.
    Workers,
    /// Jobs and their cancellations, in one part for each first digit of the key.
    Jobs,
    /// Progress of jobs.
    Progress,
    /// The row that proves ownership.
    Ownership,
    /// Entry hosts.
    Hosts,
}

/// Version of a row; zero where there is none.
pub type RowVersion = u64;

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Writes rows if the rows named have the versions named.
    Transact {
        /// Rows and the versions that they must have.
        conditions: Vec<(Table, String, RowVersion)>,
        /// Rows to write.
        writes: Vec<(Table, String, Vec<u8>)>,
        /// Rows to delete.
        deletes: Vec<(Table, String)>,
    },
    /// Reads rows in the order of their keys.
    Read {
        /// The table.
        table: Table,
        /// First key.
        from: String,
        /// Most rows.
        limit: u32,
    },
    /// Waits for changes after a version.
    Feed {
        /// The table.
        table: Table,
        /// Changes after this version.
        after: RowVersion,
        /// How long the store waits for a change.
        wait: Duration,
    },
}

impl StoreRequest {
    /// Number of rows that are written or deleted, and the bytes of the values written.
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

/// Rows from the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreAnswer {
    /// Rows, or changes in order.
    pub rows: Vec<Row>,
    /// Whether there are further rows.
    pub more: bool,
    /// Newest version of the store.
    pub version: RowVersion,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: RowVersion,
    /// Its content.
    pub content: Content,
}

/// Content of a row, decoded by its table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The row does not exist any more.
    Deleted,
    /// The row cannot be read, or names a state that is not known.
    Unreadable,
    /// A row of the product.
    Bytes(Vec<u8>),
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// A data centre to which nothing may be sent.
    Evacuation {
        /// The data centre.
        zone: String,
    },
    /// A worker's registration.
    Worker(Box<worker::Registration>),
    /// An order of the operator that this program does not know.
    Other,
}

/// Failure of a call to the store.
#[derive(Clone, Debug, PartialEq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// A condition does not hold; nothing was done.
    #[error("a condition does not hold; read the rows again")]
    Conflict {
        /// Rows of the conditions as they are.
        rows: Vec<Row>,
    },
    /// The store refused the call or cannot be reached; nothing was done.
    #[error("the store is not available; try again later")]
    NotDone,
    /// There was no answer; the call may be executed, also later.
    #[error("the store gave no answer; read the rows to see whether it was done")]
    Unanswered,
    /// The history that the feed needs is gone.
    #[error("the history is no longer available; read the whole table")]
    HistoryLost,
    /// The store considers the request malformed.
    #[error("the store rejected the request; this is a fault of the program")]
    Rejected,
}

/// Asks which workers may run a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApprovalRequest {
    /// The stage.
    pub stage: crate::job::StageId,
    /// Workers in question.
    pub workers: Vec<WorkerId>,
}

/// Permission to run a stage on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// Proof for the worker.
    pub ticket: String,
}

/// Failure of a call for approval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ApprovalError {
    /// Too many calls wait.
    #[error("too many calls for approval wait; try another host")]
    Busy,
    /// There was no answer.
    #[error("there was no answer about the approval; ask again")]
    Unanswered,
}
