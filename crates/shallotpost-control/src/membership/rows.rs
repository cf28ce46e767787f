//! Observation of host rows: how long each has been unchanged, measured with this host's monotonic clock.

use std::collections::BTreeMap;

use shallotpost_protocol::host::{Host, row_key};
use shallotpost_protocol::table::{Row, Version};

use super::scan::CompletedScan;
use crate::prelude::*;

/// Number of repeated reads of the same version before a row counts as unchanged. A live host writes at least once a
/// second, so the first reads after a short outage of the table must not count against hosts that could not write.
const UNCHANGED_READS: u32 = 3;

/// A host row as observed by this host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRow {
    pub host: Host,
    pub version: Version,
    /// How long the row was seen unchanged: from the result of the first read of this version to the start of the last
    /// one. Zero until several reads agree; restarts after a period without reads.
    pub unchanged_for: Duration,
}

/// Host rows of one data centre, as of one scan.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRows {
    pub data_centre: DataCentreId,
    pub scan_started: Instant,
    /// Sorted by host.
    pub rows: Vec<HostRow>,
}

/// Latest observation of one row.
#[derive(Debug)]
pub struct Observation {
    pub host: Host,
    pub version: Version,
    /// When the current version was first seen.
    pub changed_at: Instant,
    /// Start of the uninterrupted observation of the current version.
    unchanged_since: Instant,
    /// Start of the last scan that repeated the current version; at first, the time of the first result.
    confirmed_at: Instant,
    repeated_reads: u32,
}

impl Observation {
    /// How long the row was seen unchanged; zero until `UNCHANGED_READS` reads repeated it.
    pub fn unchanged_for(&self) -> Duration {
        match self.repeated_reads >= UNCHANGED_READS {
            true => self.confirmed_at.saturating_duration_since(self.unchanged_since),
            false => Duration::ZERO,
        }
    }

    /// Returns the time at which the row will have been unchanged for `period`.
    pub fn unchanged_at(&self, period: Duration) -> Instant {
        self.unchanged_since + period
    }
}

/// The observed rows, by key.
#[derive(Debug, Default)]
pub struct Observations {
    rows: BTreeMap<String, Observation>,
}

impl Observations {
    /// Records the result of a complete scan of `prefix` and returns the values of the rows that changed. `max_gap` is
    /// the maximum time between reads, by data centre, for which the observation of a row counts as uninterrupted.
    pub fn record(
        &mut self,
        now: Instant,
        prefix: &str,
        max_gap: impl Fn(&str) -> Duration,
        scan: &CompletedScan,
    ) -> Vec<Host> {
        let read: BTreeMap<&str, &Row> =
            scan.rows.iter().map(|row| (row.key.as_str(), row)).collect();
        self.rows.retain(|key, row| {
            read.contains_key(key.as_str())
                || !key.starts_with(prefix)
                || row.changed_at > scan.started
        });
        scan.rows
            .iter()
            .filter_map(|row| self.record_row(now, scan.started, row, &max_gap))
            .collect()
    }

    fn record_row(
        &mut self,
        now: Instant,
        sent: Instant,
        row: &Row,
        max_gap: impl Fn(&str) -> Duration,
    ) -> Option<Host> {
        let host: Host = serde_json::from_str(&row.value).ok()?;
        if row.key != row_key(&host.data_centre, &host.host) {
            return None;
        }
        match self.rows.get_mut(&row.key) {
            // The prefix of one scan contains that of the other, so a result can be older than the known row.
            Some(known) if row.version < known.version && sent < known.changed_at => None,
            Some(known) if known.version == row.version && known.host == host => {
                if sent > known.confirmed_at + max_gap(&host.data_centre) {
                    (known.unchanged_since, known.repeated_reads) = (now, 0);
                }
                if sent > known.confirmed_at {
                    known.confirmed_at = sent;
                    known.repeated_reads += 1;
                }
                None
            }
            _ => {
                let observation = Observation {
                    host: host.clone(),
                    version: row.version,
                    changed_at: now,
                    unchanged_since: now,
                    confirmed_at: now,
                    repeated_reads: 0,
                };
                self.rows.insert(row.key.clone(), observation);
                Some(host)
            }
        }
    }

    pub fn get(&self, data_centre: &str, host: &str) -> Option<&Observation> {
        self.rows.get(&row_key(data_centre, host))
    }

    /// Returns all rows with their keys, in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Observation)> {
        self.rows.iter()
    }

    /// Returns the rows of one data centre as of the scan that started at `scan_started`.
    pub fn in_data_centre(&self, data_centre: &str, scan_started: Instant) -> HostRows {
        let own = self.rows.values().filter(|row| row.host.data_centre == data_centre);
        let rows = own.map(|row| HostRow {
            host: row.host.clone(),
            version: row.version,
            unchanged_for: row.unchanged_for(),
        });
        HostRows { data_centre: data_centre.to_owned(), scan_started, rows: rows.collect() }
    }
}
