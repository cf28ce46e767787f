//! The row of a shard.

use serde::{Deserialize, Serialize};
use shallotpost_protocol::table;

use crate::prelude::*;

/// Value of the row `shards/<data centre>/<n>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Host that claimed the shard last.
    pub owner: HostId,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Rises by one with each claim.
    pub epoch: Epoch,
    /// Whether the owner gave the shard up, so that any host may claim it.
    pub released: bool,
}

/// Prefix of the shard rows of one data centre.
pub fn prefix(data_centre: &str) -> String {
    format!("shards/{data_centre}/")
}

/// Key of a shard's row.
pub fn row_key(shard: &Shard) -> String {
    format!("shards/{shard}")
}

/// Index and value of a row of this data centre; `None` where either cannot be read.
pub fn parse(data_centre: &str, row: &table::Row) -> Option<(u32, ShardRow)> {
    let index = row.key.strip_prefix(&prefix(data_centre))?.parse().ok()?;
    Some((index, serde_json::from_str(&row.value).ok()?))
}
