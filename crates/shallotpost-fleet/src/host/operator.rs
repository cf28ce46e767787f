//! The operator's orders: configuration and evacuated data centres.

use crate::host::Host;
use crate::host::store::Purpose;
use crate::message::Message;
use crate::port::{
    Content, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;

/// How long the store waits for a change. A feed on a silent connection is noticed soon after it.
const FEED_WAIT: Duration = Duration::from_millis(900);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Least time between two questions to peers about the operator's rows.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// Most rows that one read returns.
const PAGE: u32 = 500;

/// The operator's orders as this host applies them.
#[derive(Default)]
pub(super) struct Operator {
    /// The configuration with the highest version.
    pub(super) configuration: Option<Configuration>,
    /// Data centres to which nothing may be sent.
    pub(super) evacuated: BTreeSet<String>,
    /// Version of the newest row or deletion that is applied.
    pub(super) mark: RowVersion,
    rows: BTreeMap<String, Row>,
    /// Version after which the feed goes on; `None` until the table has been read.
    after: Option<RowVersion>,
    waiting: bool,
    next: Uptime,
    next_ask: Uptime,
}

impl Host {
    /// Keeps one call for the operator's rows open.
    pub(super) fn follow_operator(&mut self) {
        if self.operator.waiting || self.operator.next > self.now {
            return;
        }
        self.operator.waiting = true;
        match self.operator.after {
            None => {
                let request =
                    StoreRequest::Read { table: Table::Operator, from: String::new(), limit: PAGE };
                self.call_store(Purpose::OperatorRead, request, Duration::ZERO);
            }
            Some(after) => {
                let request = StoreRequest::Feed { table: Table::Operator, after, wait: FEED_WAIT };
                self.call_store(Purpose::OperatorFeed, request, FEED_WAIT);
            }
        }
    }

    pub(super) fn operator_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.operator.waiting = false;
        match result {
            Ok(answer) => {
                self.operator.after = Some(answer.version);
                self.replace_operator_rows(answer.rows);
                self.follow_operator();
            }
            Err(_) => self.operator.next = self.now + RETRY_PAUSE,
        }
    }

    pub(super) fn operator_feed(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.operator.waiting = false;
        match result {
            Ok(answer) => {
                self.operator.after = self.operator.after.max(Some(answer.version));
                if !answer.rows.is_empty() {
                    self.apply_operator_rows(answer.rows);
                    self.next_beat = self.now;
                }
                self.follow_operator();
            }
            Err(StoreError::HistoryLost) => {
                self.operator.after = None;
                self.follow_operator();
            }
            Err(_) => self.operator.next = self.now + RETRY_PAUSE,
        }
    }

    /// The whole table was read: rows that are missing were deleted.
    fn replace_operator_rows(&mut self, rows: Vec<Row>) {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or_default();
        let keys: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        if newest >= self.operator.mark {
            self.operator.rows.retain(|key, _| keys.contains(key.as_str()));
        }
        self.apply_operator_rows(rows);
    }

    fn apply_operator_rows(&mut self, rows: Vec<Row>) {
        for row in rows {
            self.operator.mark = self.operator.mark.max(row.version);
            let known = self.operator.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version < known {
                continue;
            }
            match &row.content {
                Content::Deleted => drop(self.operator.rows.remove(&row.key)),
                Content::Unreadable => self.log("operator_row_unreadable", vec![("key", row.key)]),
                _ => drop(self.operator.rows.insert(row.key.clone(), row)),
            }
        }
        self.apply_orders();
    }

    fn apply_orders(&mut self) {
        let mut evacuated = BTreeSet::new();
        let mut newest: Option<Configuration> = None;
        for row in self.operator.rows.values() {
            match &row.content {
                Content::Evacuation { data_centre } => drop(evacuated.insert(data_centre.clone())),
                Content::Configuration(configuration) => newest = Some((**configuration).clone()),
                _ => {}
            }
        }
        if evacuated != self.operator.evacuated {
            let zones: Vec<&str> = evacuated.iter().map(String::as_str).collect();
            let fields = vec![("evacuated", zones.join(","))];
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
                ("queues", configuration.queues.len().to_string()),
                ("teams", configuration.teams.len().to_string()),
            ];
            self.log("configuration", fields);
            self.operator.configuration = Some(configuration);
        }
    }

    /// Asks a peer that applies newer orders. This is how a host learns them that the store refuses.
    pub(super) fn compare_operator(&mut self, peer: &HostName, mark: RowVersion) {
        if mark > self.operator.mark && self.operator.next_ask <= self.now {
            self.operator.next_ask = self.now + ASK_INTERVAL;
            self.send(peer, Message::GetOperatorRows);
        }
    }

    pub(super) fn tell_operator(&mut self, peer: &HostName) {
        let rows = self.operator.rows.values().cloned().collect();
        self.send(peer, Message::OperatorRows { version: self.operator.mark, rows });
    }

    pub(super) fn operator_told(&mut self, version: RowVersion, rows: Vec<Row>) {
        if version > self.operator.mark {
            self.replace_operator_rows(rows);
            self.operator.mark = self.operator.mark.max(version);
        }
    }
}
