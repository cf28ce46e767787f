//! In-memory table service.

use std::collections::BTreeMap;
use std::ops::Bound;

use shallotpost_protocol::table::{Check, Reply, Request, Row, SCAN_LIMIT_MAX, Version, Write};

/// Rows with their versions, and the number of calls.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (String, Version)>,
    /// Number of read and scan calls.
    pub reads: u64,
    /// Number of transactions, including those that conflicted.
    pub writes: u64,
}

impl Table {
    /// Executes one call atomically.
    pub fn handle(&mut self, request: &Request) -> Reply {
        match request {
            Request::Read { keys } => self.read(keys),
            Request::Scan { prefix, after, limit } => self.scan(prefix, after, *limit),
            Request::Transact { checks, writes } => self.transact(checks, writes),
        }
    }

    pub fn row(&self, key: &str) -> Option<Row> {
        let (value, version) = self.rows.get(key)?;
        Some(Row { key: key.to_owned(), value: value.clone(), version: *version })
    }

    /// Returns all rows whose key starts with `prefix`, in the order of their keys.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let range = self.rows.range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        matching.map(|(key, (value, version))| row(key, value, *version)).collect()
    }

    fn read(&mut self, keys: &[String]) -> Reply {
        self.reads += 1;
        let mut rows: Vec<Row> = keys.iter().filter_map(|key| self.row(key)).collect();
        rows.sort_by(|left, right| left.key.cmp(&right.key));
        rows.dedup_by(|left, right| left.key == right.key);
        Reply::Rows { rows, more: false }
    }

    fn scan(&mut self, prefix: &str, after: &str, limit: usize) -> Reply {
        self.reads += 1;
        let limit = limit.clamp(1, SCAN_LIMIT_MAX);
        let start = if after >= prefix { Bound::Excluded(after) } else { Bound::Included(prefix) };
        let range = self.rows.range::<str, _>((start, Bound::Unbounded));
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        let mut rows: Vec<Row> = matching
            .take(limit + 1)
            .map(|(key, (value, version))| row(key, value, *version))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Reply::Rows { rows, more }
    }

    fn transact(&mut self, checks: &[Check], writes: &[Write]) -> Reply {
        self.writes += 1;
        let version = |key: &str| self.rows.get(key).map(|(_, version)| *version);
        let failed = checks.iter().filter(|check| version(&check.key) != check.version);
        let keys: Vec<String> = failed.map(|check| check.key.clone()).collect();
        match keys.is_empty() {
            true => {
                writes.iter().for_each(|write| self.write(write));
                Reply::Committed
            }
            false => Reply::Conflict { keys },
        }
    }

    fn write(&mut self, write: &Write) {
        match &write.value {
            Some(value) => {
                let row = self.rows.entry(write.key.clone()).or_default();
                *row = (value.clone(), row.1 + 1);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }
}

fn row(key: &str, value: &str, version: Version) -> Row {
    Row { key: key.to_owned(), value: value.to_owned(), version }
}
