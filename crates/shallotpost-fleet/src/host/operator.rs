//! The operator's settings: the configuration and the evacuated data centres.
//!
//! Hosts read them from the store, directly or through a peer, and know how old they may be. Rows that a peer passes on
//! arrive sooner than a host's own calls if these are lost.

use crate::host::Host;
use crate::host::freshness::{Freshness, feed_wait};
use crate::host::store::Purpose;
use crate::message::Message;
use crate::port::{
    Content, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::replica::Replica;
use crate::watch::{Poll, Watch};

/// Maximum time for which the store waits for a change.
const FEED_WAIT_MAX: Duration = Duration::from_millis(1800);

/// Minimum time between two requests to peers for the operator's rows.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of rows that a read returns.
const PAGE_SIZE: u32 = 500;

/// The operator's settings as this host applies them.
pub(super) struct Operator {
    /// The configuration with the highest version.
    pub(super) configuration: Option<Configuration>,
    /// Data centres in which no worker may be used.
    pub(super) evacuated: BTreeSet<String>,
    pub(super) replica: Replica,
    /// Rows of peers do not make the settings current, as a peer's copy may be old.
    pub(super) watch: Watch,
    next_peer_request: Uptime,
}

impl Operator {
    /// Returns the state of a host that has just started.
    pub(super) fn new(freshness: &Freshness) -> Operator {
        let wait = feed_wait(freshness.settings_age_max(), Duration::ZERO, FEED_WAIT_MAX);
        Operator {
            configuration: None,
            evacuated: BTreeSet::new(),
            replica: Replica::default(),
            watch: Watch::new(wait, Duration::ZERO),
            next_peer_request: Uptime::ZERO,
        }
    }
}

impl Host {
    /// Sends the call for the operator's rows that is due.
    pub(super) fn poll_operator_rows(&mut self) {
        let Some(poll) = self.operator.watch.poll(self.now) else { return };
        let (purpose, request) = match poll.after {
            None => {
                let table = Table::Operator;
                let request = StoreRequest::Read { table, from: String::new(), limit: PAGE_SIZE };
                (Purpose::OperatorRead(poll), request)
            }
            Some(after) => {
                let request = StoreRequest::Feed { table: Table::Operator, after, wait: poll.wait };
                (Purpose::OperatorFeed(poll), request)
            }
        };
        self.call_store_again(poll, purpose, request);
    }

    /// Returns whether the operator's settings are recent enough to decide by them.
    pub(super) fn has_current_settings(&self) -> bool {
        let age_max = self.settings.freshness.settings_age_max();
        self.operator.watch.is_current(self.now, age_max)
    }

    pub(super) fn operator_read(&mut self, poll: Poll, result: Result<StoreAnswer, StoreError>) {
        match result {
            Ok(answer) => {
                if self.operator.watch.answered(poll, self.now, answer.version, true).is_none() {
                    return;
                }
                self.replace_operator_rows("store", answer.version, answer.rows);
                self.operator_polled();
            }
            Err(error) => self.operator_call_failed(poll, &error),
        }
    }

    pub(super) fn operator_feed(&mut self, poll: Poll, result: Result<StoreAnswer, StoreError>) {
        match result {
            Ok(answer) => {
                let changed = !answer.rows.is_empty();
                let watch = &mut self.operator.watch;
                if watch.answered(poll, self.now, answer.version, changed).is_none() {
                    return;
                }
                self.log_unreadable_rows(&answer.rows);
                self.operator.replica.apply(answer.version, answer.rows);
                if changed {
                    self.apply_operator_settings();
                    self.next_heartbeat = self.now;
                }
                self.operator_polled();
            }
            Err(StoreError::HistoryLost) => {
                self.operator.watch.history_lost(poll, self.now);
                self.poll_operator_rows();
            }
            Err(error) => self.operator_call_failed(poll, &error),
        }
    }

    fn operator_polled(&mut self) {
        self.poll_operator_rows();
        self.decide_deferred_requests();
    }

    fn operator_call_failed(&mut self, poll: Poll, error: &StoreError) {
        let refused = *error == StoreError::NotExecuted;
        if !self.operator.watch.failed(poll, self.now, refused) {
            return;
        }
        let fields = vec![
            ("error", error.to_string()),
            ("attempt", poll.attempt.to_string()),
            ("taken_ms", self.now.saturating_sub(poll.sent).as_millis().to_string()),
            ("settings_age_ms", self.operator.watch.age(self.now).as_millis().to_string()),
        ];
        self.log("operator_call_failed", fields);
        self.decide_deferred_requests();
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
