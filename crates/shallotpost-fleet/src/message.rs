//! Messages between entry hosts, and the encoding of messages and stored rows.

use serde::{Deserialize, Deserializer, Serialize};

use crate::origin::{Address, Origin};
use crate::port::{
    ApprovalError, ApprovalRequest, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Ticket,
};
use crate::prelude::*;
use crate::progress::State;
use crate::worker;

/// A message to another entry host. Any message may be lost, so each sender of a request sets a timeout.
///
/// `call` is the number that the sender of a request assigned to it; the reply carries the same number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic report of the sender's state.
    Heartbeat(Heartbeat),
    /// Requests the operator's rows.
    GetOperatorRows,
    /// All of the operator's rows.
    OperatorRows {
        /// Version up to which the sender has applied every change.
        version: RowVersion,
        rows: Vec<Row>,
    },
    /// Tells the owner that a job was stored.
    Submitted { id: JobId, job: Box<Job> },
    /// Tells the owner that the cancellation of a job was stored.
    Cancelled { id: JobId },
    /// Queries the owner.
    Query { call: CallId, query: Query },
    /// The owner's answer to a query.
    QueryAnswer { call: CallId, answer: QueryAnswer },
    /// Asks the receiver to call the store on behalf of the sender.
    StoreCall {
        call: CallId,
        request: StoreRequest,
        /// Time after which the sender treats the call as unanswered.
        timeout: Duration,
    },
    /// Result of a relayed call to the store.
    StoreResult { call: CallId, result: Result<StoreAnswer, StoreError> },
    /// Asks the receiver to call the approval service on behalf of the sender.
    ApprovalCall {
        call: CallId,
        request: ApprovalRequest,
        /// Time after which the sender treats the call as unanswered.
        timeout: Duration,
    },
    /// Result of a relayed call to the approval service.
    ApprovalResult { call: CallId, result: Result<Vec<Ticket>, ApprovalError> },
    /// Asks the receiver to call workers on behalf of the sender.
    WorkerCalls(Vec<WorkerCall>),
    /// Results of relayed calls to workers.
    WorkerResults(Vec<(CallId, Result<worker::Report, worker::Error>)>),
}

/// A call to a worker that another host makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerCall {
    pub call: CallId,
    pub address: String,
    /// The worker that must answer; any other one at the address refuses the call.
    pub worker: WorkerId,
    /// Fencing token.
    pub fence: u64,
    pub request: worker::Call,
    /// Time after which the call ends as unanswered.
    pub timeout: Duration,
}

/// State of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Random number that identifies the sender's process.
    pub incarnation: u64,
    /// Address at which the sender accepts messages from other hosts.
    pub address: String,
    /// Version at or after the newest change of the operator's rows that the sender has applied; see
    /// [`crate::replica::Replica::changed`].
    pub operator_version: RowVersion,
    /// Epoch of the newest ownership row that the sender has seen.
    pub epoch: u64,
    /// Whether the sender owns the fleet.
    pub owner: bool,
    /// Time since the store last answered the sender directly; `Duration::MAX` if it never has.
    pub store_age: Duration,
    /// Time since the last successful commit was sent; `Duration::MAX` if the sender does not own the fleet.
    pub commit_age: Duration,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Processor capacity of the sender, in thousandths of a core.
    pub processors_milli: u64,
}

/// A query to the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// State of a job.
    State { id: JobId },
    /// Number of jobs of a queue of which no task has started.
    Waiting {
        /// Name of the queue, as the sender's configuration has it.
        queue: String,
        /// Address of the queue; `None` in messages of earlier versions.
        #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "trailing")]
        address: Option<Address>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// State of a job.
    State {
        state: State,
        /// Team that submitted the job; `None` if it was submitted without a key.
        team: Option<String>,
        queue: String,
        /// What the job was submitted with; `None` if it was submitted through an earlier version, or the owner is one.
        #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "trailing")]
        origin: Option<Origin>,
    },
    /// Number of jobs of which no task has started.
    Waiting(usize),
    /// The owner does not know the job.
    Unknown,
    /// The host is not the owner, or has not loaded the jobs yet.
    NotOwner,
}

/// Failure to encode or decode a message or a row.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    #[error("the value cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    #[error("the value cannot be decoded: {0}; run the same version on all hosts")]
    Decode(#[from] bincode::error::DecodeError),
}

/// Encodes a message or a row with bincode.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] if the value cannot be serialized.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(value, bincode::config::standard())?)
}

/// Decodes a value at the start of the bytes, and returns the bytes behind it too.
///
/// # Errors
///
/// Returns [`CodecError::Decode`] if the bytes do not begin with a value of this type.
pub fn decode_prefix<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), CodecError> {
    let (value, length) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())?;
    Ok((value, bytes.get(length..).unwrap_or_default()))
}

/// Decodes a last field that is left out if it is empty. Rows and messages of earlier versions end before it.
pub(crate) fn trailing<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// Decodes a message or a row. Trailing bytes are ignored.
///
/// # Errors
///
/// Returns [`CodecError::Decode`] if the bytes do not hold a value of this type.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(decode_prefix(bytes)?.0)
}
