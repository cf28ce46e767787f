//! Observation of host rows by this host's monotonic clock.

use std::collections::BTreeMap;

use shallotpost_protocol::host::{Host, row_key};
use shallotpost_protocol::table::{Row, Version};

use super::scan::CompletedScan;
use crate::prelude::*;

/// Reads that must show the same version before a row counts as unchanged. A live host writes at least once a second, so
/// the first reads after a short outage of the table must not count against hosts that had no chance to write.
const UNCHANGED_READS: u32 = 3;

/// One host row as this host observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRow {
    /// Its value.
    pub host: Host,
    /// Its version.
    pub version: Version,
    /// How long it was seen unchanged: from the answer of the first read of this version to the sending of the last one.
    /// Zero until several reads agree, and counted anew after a period without reads.
    pub unchanged_for: Duration,
}

/// Host rows of one data centre as of one scan.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRows {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Moment at which the scan was sent.
    pub scan_started: Instant,
    /// The rows, by host.
    pub rows: Vec<HostRow>,
}

/// What is known of one row.
#[derive(Debug)]
pub struct Observation {
    /// Latest value.
    pub host: Host,
    /// Latest version.
    pub version: Version,
    /// Moment at which a new version was last seen.
    pub changed: Instant,
    since: Instant,
    confirmed: Instant,
    reads: u32,
}

impl Observation {
    /// How long the row was seen unchanged.
    pub fn unchanged(&self) -> Duration {
        match self.reads >= UNCHANGED_READS {
            true => self.confirmed.saturating_duration_since(self.since),
            false => Duration::ZERO,
        }
    }

    /// Moment at which the row will have been unchanged for `period`.
    pub fn due(&self, period: Duration) -> Instant {
        self.since + period
    }
}

/// The observed rows, by key.
#[derive(Debug, Default)]
pub struct Observations {
    rows: BTreeMap<String, Observation>,
}

impl Observations {
    /// Records the result of a complete scan of `prefix` and returns the hosts whose rows changed. `gap` is the longest
    /// period without reads after which a row still counts as observed without interruption.
    pub fn record(
        &mut self,
        now: Instant,
        prefix: &str,
        gap: impl Fn(&str) -> Duration,
        scan: &CompletedScan,
    ) -> Vec<Host> {
        let read: BTreeMap<&str, &Row> =
            scan.rows.iter().map(|row| (row.key.as_str(), row)).collect();
        self.rows.retain(|key, row| {
            read.contains_key(key.as_str())
                || !key.starts_with(prefix)
                || row.changed > scan.started
        });
        scan.rows.iter().filter_map(|row| self.record_row(now, scan.started, row, &gap)).collect()
    }

    fn record_row(
        &mut self,
        now: Instant,
        sent: Instant,
        row: &Row,
        gap: impl Fn(&str) -> Duration,
    ) -> Option<Host> {
        let host: Host = serde_json::from_str(&row.value).ok()?;
        if row.key != row_key(&host.data_centre, &host.host) {
            return None;
        }
        match self.rows.get_mut(&row.key) {
            // Two scans overlap where one prefix contains the other, so an answer can be older than what is known.
            Some(known) if row.version < known.version && sent < known.changed => None,
            Some(known) if known.version == row.version && known.host == host => {
                if sent > known.confirmed + gap(&host.data_centre) {
                    (known.since, known.reads) = (now, 0);
                }
                if sent > known.confirmed {
                    known.confirmed = sent;
                    known.reads += 1;
                }
                None
            }
            _ => {
                let observation = Observation {
                    host: host.clone(),
                    version: row.version,
                    changed: now,
                    since: now,
                    confirmed: now,
                    reads: 0,
                };
                self.rows.insert(row.key.clone(), observation);
                Some(host)
            }
        }
    }

    /// The row of a host.
    pub fn get(&self, data_centre: &str, host: &str) -> Option<&Observation> {
        self.rows.get(&row_key(data_centre, host))
    }

    /// All rows, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Observation)> {
        self.rows.iter()
    }

    /// Rows of one data centre as of a scan.
    pub fn of(&self, data_centre: &str, scan_started: Instant) -> HostRows {
        let own = self.rows.values().filter(|row| row.host.data_centre == data_centre);
        let rows = own.map(|row| HostRow {
            host: row.host.clone(),
            version: row.version,
            unchanged_for: row.unchanged(),
        });
        HostRows { data_centre: data_centre.to_owned(), scan_started, rows: rows.collect() }
    }
}
