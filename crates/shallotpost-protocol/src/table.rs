//! The platform's table service.
//!
//! A row has a key, a value and a version. The version is 1 at creation and rises by one with each write of the row.

use serde::{Deserialize, Serialize};

/// Counts the writes of one row, from 1.
pub type Version = u64;

/// Most rows that one scan returns.
pub const SCAN_LIMIT_MAX: usize = 1000;

/// A stored row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key; `/` separates its parts.
    pub key: String,
    /// Value, JSON by our convention.
    pub value: String,
    /// Current version.
    pub version: Version,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; `None`: the row must not exist.
    pub version: Option<Version>,
}

/// A row change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// A call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Reads these rows in one snapshot.
    Read {
        /// Keys to read.
        keys: Vec<String>,
    },
    /// Reads rows with this prefix in key order.
    Scan {
        /// Common prefix of the keys.
        prefix: String,
        /// Only keys greater than this one; empty for all.
        after: String,
        /// Most rows to return, at most [`SCAN_LIMIT_MAX`].
        limit: usize,
    },
    /// Applies all writes if all checks hold, else none.
    Transact {
        /// Conditions.
        checks: Vec<Check>,
        /// Row changes; each key at most once.
        writes: Vec<Write>,
    },
}

/// An answer of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The rows that exist, in key order.
    Rows {
        /// The rows.
        rows: Vec<Row>,
        /// For a scan: whether rows beyond the limit exist.
        more: bool,
    },
    /// All writes took effect.
    Committed,
    /// No write took effect, because these checks failed.
    Conflict {
        /// Keys of the failed checks.
        keys: Vec<String>,
    },
}
