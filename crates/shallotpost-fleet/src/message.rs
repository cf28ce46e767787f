//! Messages between entry hosts.

use serde::{Deserialize, Serialize};

use crate::port::{
    ApprovalError, ApprovalRequest, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Ticket,
};
use crate::prelude::*;
use crate::progress::State;

/// A message. Each may be lost; every sender of a question has a timeout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender, at an interval.
    Beat(Beat),
    /// Asks for the operator's rows.
    AskOperator,
    /// The operator's rows as of a version.
    Operator {
        /// Version of the store.
        version: RowVersion,
        /// All rows.
        rows: Vec<Row>,
    },
    /// A job was stored.
    Submitted {
        /// The job.
        id: JobId,
        /// Its content.
        job: Box<Job>,
    },
    /// The cancellation of a job was stored.
    Cancelled {
        /// The job.
        id: JobId,
    },
    /// Asks the owner.
    Ask {
        /// The asker's number.
        call: CallId,
        /// The question.
        question: Question,
    },
    /// The owner's answer.
    Tell {
        /// The asker's number.
        call: CallId,
        /// The answer.
        answer: Knowledge,
    },
    /// Asks the receiver to call the store.
    StoreCall {
        /// The asker's number.
        call: CallId,
        /// The request.
        request: StoreRequest,
        /// The asker's timeout.
        timeout: Duration,
    },
    /// Result of a call to the store.
    StoreResult {
        /// The asker's number.
        call: CallId,
        /// The result.
        result: Result<StoreAnswer, StoreError>,
    },
    /// Asks the receiver to call for approval.
    ApprovalCall {
        /// The asker's number.
        call: CallId,
        /// The request.
        request: ApprovalRequest,
        /// The asker's timeout.
        timeout: Duration,
    },
    /// Result of a call for approval.
    ApprovalResult {
        /// The asker's number.
        call: CallId,
        /// The result.
        result: Result<Vec<Ticket>, ApprovalError>,
    },
}

/// State of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Address of the sender for peers.
    pub address: String,
    /// Version of the operator's rows that it applies.
    pub operator_version: RowVersion,
    /// Highest epoch of ownership that it knows.
    pub epoch: u64,
    /// Whether it owns the fleet.
    pub owner: bool,
    /// Time since it last heard from the store on its own connection.
    pub store_age: Duration,
    /// Time since the last commit that took effect, if it owns the fleet.
    pub commit_age: Duration,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// Processor of the sender, in thousandths of a core.
    pub processors_milli: u64,
}

/// A question to the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// State of a job.
    State {
        /// The job.
        id: JobId,
    },
    /// Number of jobs of a queue for which nothing has started.
    Waiting {
        /// The queue.
        queue: String,
    },
}

/// What the owner knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// State of a job, and its team.
    State {
        /// The state.
        state: State,
        /// The team that submitted it.
        team: Option<String>,
        /// Its queue.
        queue: String,
    },
    /// Number of jobs for which nothing has started.
    Waiting(usize),
    /// The job is not known.
    Unknown,
    /// The receiver is not the owner, or has not read the jobs yet.
    NotOwner,
}

/// A message that cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// It cannot be written.
    #[error("the message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// It cannot be read.
    #[error("the message cannot be decoded: {0}; run the same version on all hosts")]
    Decode(#[from] bincode::error::DecodeError),
}

/// Encodes a message or a row.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(value, bincode::config::standard())?)
}

/// Decodes a message or a row.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(bincode::serde::decode_from_slice(bytes, bincode::config::standard())?.0)
}
