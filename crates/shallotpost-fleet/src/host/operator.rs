//! The operator's settings: the configuration and the evacuated data centres.
//!
//! Hosts read them from the store. A host that cannot reach the store gets them from its peers.

use crate::host::Host;
use crate::host::store::Purpose;
use crate::message::Message;
use crate::port::{
    Content, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::replica::Replica;

/// Time for which the store waits for a change. A feed on a dead connection is noticed soon after this time; meanwhile the
/// heartbeats of peers tell of changes.
const FEED_WAIT: Duration = Duration::from_millis(1800);

/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Minimum time between two requests to peers for the operator's rows.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of rows that a read returns.
const PAGE_SIZE: u32 = 500;

/// The operator's settings as this host applies them.
#[derive(Default)]
pub(super) struct Operator {
    /// The configuration with the highest version.
    pub(super) configuration: Option<Configuration>,
    /// Data centres in which no worker may be used.
    pub(super) evacuated: BTreeSet<String>,
    pub(super) replica: Replica,
    /// Version after which the feed continues; `None` if the table must be read as a whole.
    cursor: Option<RowVersion>,
    call_in_flight: bool,
    call_sent: Uptime,
    /// Time up to which the rows certainly contain every change of the store; `None` before the first read.
    current_at: Option<Uptime>,
    next_call: Uptime,
    next_peer_request: Uptime,
}

impl Operator {
    /// Returns the age of the rows, or the time since the start if the store was never read.
    pub(super) fn age(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.current_at.unwrap_or_default())
    }
}

impl Host {
    /// Keeps one read or feed of the operator's rows in flight.
    pub(super) fn poll_operator_rows(&mut self) {
        if self.operator.call_in_flight || self.operator.next_call > self.now {
            return;
        }
        self.operator.call_in_flight = true;
        self.operator.call_sent = self.now;
        match self.operator.cursor {
            None => {
                let request = StoreRequest::Read {
                    table: Table::Operator,
                    from: String::new(),
                    limit: PAGE_SIZE,
                };
                self.call_store(Purpose::OperatorRead, request, Duration::ZERO);
            }
            Some(after) => {
                let request = StoreRequest::Feed { table: Table::Operator, after, wait: FEED_WAIT };
                self.call_store(Purpose::OperatorFeed, request, FEED_WAIT);
            }
        }
    }

    pub(super) fn operator_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.operator.call_in_flight = false;
        match result {
            Ok(answer) => {
                self.operator.cursor = Some(answer.version);
                self.operator.current_at = Some(self.operator.call_sent);
                self.replace_operator_rows("store", answer.version, answer.rows);
                self.poll_operator_rows();
            }
            Err(error) => self.operator_call_failed(&error),
        }
    }

    pub(super) fn operator_feed(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.operator.call_in_flight = false;
        match result {
            Ok(answer) => {
                self.operator.cursor = self.operator.cursor.max(Some(answer.version));
                let changed = !answer.rows.is_empty();
                // A feed without changes is answered at the end of its wait.
                let waited = self.now.saturating_sub(self.operator.call_sent).min(FEED_WAIT);
                let waited = if changed { Duration::ZERO } else { waited };
                self.operator.current_at = Some(self.operator.call_sent + waited);
                self.log_unreadable_rows(&answer.rows);
                self.operator.replica.apply(answer.version, answer.rows);
                if changed {
                    self.apply_operator_settings();
                    self.next_heartbeat = self.now;
                }
                self.poll_operator_rows();
            }
            Err(StoreError::HistoryLost) => {
                self.operator.cursor = None;
                self.poll_operator_rows();
            }
            Err(error) => self.operator_call_failed(&error),
        }
    }

    fn operator_call_failed(&mut self, error: &StoreError) {
        self.operator.next_call = self.now + RETRY_DELAY;
        let taken = self.now.saturating_sub(self.operator.call_sent);
        let fields = vec![
            ("error", error.to_string()),
            ("taken_ms", taken.as_millis().to_string()),
            ("settings_age_ms", self.operator.age(self.now).as_millis().to_string()),
        ];
        self.log("operator_call_failed", fields);
    }

    /// Applies a copy of the whole table as of `version`, from the store or from the peer that `source` names.
    fn replace_operator_rows(&mut self, source: &str, version: RowVersion, rows: Vec<Row>) {
        let fields = vec![
            ("source", source.to_owned()),
            ("version", version.to_string()),
            ("known_version", self.operator.replica.version().to_string()),
            ("rows", rows.len().to_string()),
        ];
        self.log("operator_rows", fields);
        self.log_unreadable_rows(&rows);
        self.operator.replica.replace(version, rows);
        self.apply_operator_settings();
    }

    fn log_unreadable_rows(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| row.content == Content::Unreadable) {
            self.log("operator_row_unreadable", vec![("key", row.key.clone())]);
        }
    }

    /// Derives the evacuated data centres and the configuration from the rows, and reports what changed.
    fn apply_operator_settings(&mut self) {
        let mut evacuated = BTreeSet::new();
        let mut newest: Option<Configuration> = None;
        for row in self.operator.replica.rows() {
            match &row.content {
                Content::Evacuation { data_centre } => drop(evacuated.insert(data_centre.clone())),
                Content::Configuration(configuration) => newest = Some((**configuration).clone()),
                _ => {}
            }
        }
        if evacuated != self.operator.evacuated {
            let data_centres: Vec<&str> = evacuated.iter().map(String::as_str).collect();
            let fields = vec![("evacuated", data_centres.join(","))];
            self.log("evacuation", fields);
            self.operator.evacuated = evacuated;
        }
        let current = self.operator.configuration.as_ref().map_or(0, |current| current.version);
        if let Some(configuration) = newest
            && (configuration.version > current || self.operator.configuration.is_none())
        {
            self.outputs.push(Output::Limits(configuration.limits));
            let fields = vec![
                ("version", configuration.version.to_string()),
                ("replaces", current.to_string()),
                ("queues", configuration.queues.len().to_string()),
                ("teams", configuration.teams.len().to_string()),
            ];
            self.log("configuration", fields);
            self.operator.configuration = Some(configuration);
            if let Some(owner) = &mut self.owner {
                owner.registry_stale |= !owner.unusable_entries.is_empty();
            }
        }
    }

    /// Asks a peer for its operator rows if it knows of a change that this host may lack. This is how settings reach a
    /// host that cannot reach the store.
    pub(super) fn request_newer_operator_rows(&mut self, peer: &HostName, changed: RowVersion) {
        if self.operator.replica.lacks(changed) && self.operator.next_peer_request <= self.now {
            self.operator.next_peer_request = self.now + PEER_REQUEST_INTERVAL;
            self.send(peer, Message::GetOperatorRows);
        }
    }

    pub(super) fn send_operator_rows(&mut self, peer: &HostName) {
        let replica = &self.operator.replica;
        let rows = replica.rows().cloned().collect();
        self.send(peer, Message::OperatorRows { version: replica.version(), rows });
    }

    pub(super) fn operator_rows_received(
        &mut self,
        peer: &HostName,
        version: RowVersion,
        rows: Vec<Row>,
    ) {
        if version > self.operator.replica.version() {
            self.replace_operator_rows(peer, version, rows);
        }
    }
}
