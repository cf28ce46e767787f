//! The table row that records the owner of a shard.

use serde::{Deserialize, Serialize};
use shallotpost_protocol::table;

use crate::prelude::*;

/// Value of the row `shards/<data centre>/<n>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Host that last claimed the shard.
    pub owner: HostId,
    /// Incarnation of the owner when it claimed the shard.
    pub incarnation: u64,
    /// Fencing token; rises by one with each claim.
    pub epoch: Epoch,
    /// Whether the owner has released the shard, so that any host may claim it.
    pub released: bool,
}

pub fn prefix(data_centre: &str) -> String {
    format!("shards/{data_centre}/")
}

pub fn row_key(shard: &Shard) -> String {
    format!("shards/{shard}")
}

/// Returns the shard index and the value of a row of this data centre, or `None` if either cannot be parsed.
pub fn parse(data_centre: &str, row: &table::Row) -> Option<(u32, ShardRow)> {
    let index = row.key.strip_prefix(&prefix(data_centre))?.parse().ok()?;
    Some((index, serde_json::from_str(&row.value).ok()?))
}
