//! Calls to the platform's table service and their replies.
//!
//! A row has a key, a value and a version. The version is 1 at creation and is incremented by each write of the row.

use serde::{Deserialize, Serialize};

/// Number of writes of one row, from 1.
pub type Version = u64;

/// Maximum number of rows that one scan returns.
pub const SCAN_LIMIT_MAX: usize = 1000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Segments are separated by `/`.
    pub key: String,
    /// JSON by convention.
    pub value: String,
    pub version: Version,
}

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    pub key: String,
    /// Version that the row must have; `None` if the row must not exist.
    pub version: Option<Version>,
}

/// Change of one row by a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads rows from one consistent snapshot.
    Read { keys: Vec<String> },
    /// Reads the rows whose keys have a prefix, in key order.
    Scan {
        prefix: String,
        /// Returns only keys greater than this one; empty for all.
        after: String,
        /// Maximum number of rows to return, at most [`SCAN_LIMIT_MAX`].
        limit: usize,
    },
    /// Applies all writes if all checks hold, and none otherwise.
    Transact {
        checks: Vec<Check>,
        /// Each key occurs at most once.
        writes: Vec<Write>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Reply to `Read` and `Scan`: the rows that exist, in key order.
    Rows {
        rows: Vec<Row>,
        /// For a scan: whether there are more rows beyond the limit.
        more: bool,
    },
    /// Reply to `Transact`: all writes took effect.
    Committed,
    /// Reply to `Transact`: no write took effect, because some checks failed.
    Conflict {
        /// Keys of the failed checks.
        keys: Vec<String>,
    },
}
