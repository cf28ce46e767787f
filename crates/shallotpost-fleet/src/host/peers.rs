//! Discovery of the other entry hosts through the store, and the messages between hosts.

use serde::{Deserialize, Serialize};

use crate::host::Host;
use crate::host::store::Purpose;
use crate::message::{Heartbeat, Message, decode, encode};
use crate::port::{
    ApprovalError, Content, HostName, StoreAnswer, StoreError, StoreRequest, Table, Ticket,
};
use crate::prelude::*;

/// Interval of the owner's heartbeats. When three are missing, the other hosts read the ownership row more often.
const OWNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of the heartbeats of hosts that are not the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the last heartbeat below which a peer counts as alive: two intervals and the delay of a busy host.
const PEER_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(2500);

/// Interval of reads of the host table during the startup phase, when other hosts are likely to start too.
const STARTUP_DISCOVERY_INTERVAL: Duration = Duration::from_millis(700);

/// Interval of reads of the host table after the startup phase. New hosts also become known by their heartbeats.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);

/// Length of the startup phase.
const STARTUP_DURATION: Duration = Duration::from_secs(8);

/// Time without a heartbeat after which the owner deletes the row of a host.
const HOST_EXPIRY: Duration = Duration::from_secs(60);

/// Maximum number of rows that a read returns.
const PAGE_SIZE: u32 = 500;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct HostRow {
    address: String,
    data_centre: String,
    incarnation: u64,
    processors_milli: u64,
}

/// Another entry host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: String,
    /// Time at which a heartbeat last arrived; `None` if none has arrived yet.
    pub(super) last_heartbeat: Option<Uptime>,
    /// Content of the last heartbeat; the default value if none has arrived yet.
    pub(super) heartbeat: Heartbeat,
    known_since: Uptime,
    /// Empty until the row of the host has been read.
    pub(super) data_centre: String,
    /// Processor capacity, in thousandths of a core.
    pub(super) processors_milli: u64,
}

impl Peer {
    /// Returns whether a recent heartbeat has arrived.
    pub(super) fn is_alive(&self, now: Uptime) -> bool {
        self.heartbeat_age(now).is_some_and(|age| age < PEER_HEARTBEAT_AGE_MAX)
    }

    pub(super) fn heartbeat_age(&self, now: Uptime) -> Option<Duration> {
        Some(now.saturating_sub(self.last_heartbeat?))
    }
}

/// State of the discovery of hosts.
#[derive(Default)]
pub(super) struct Discovery {
    /// Whether the row of this host was written, and was there when the rows were last read.
    published: bool,
    call_in_flight: bool,
    next_call: Uptime,
}

impl Host {
    /// Writes the row of this host, then reads all rows periodically. Writes it again if it is missing or names another
    /// process.
    pub(super) fn discover_hosts(&mut self) {
        if self.ownership.discovery.call_in_flight || self.ownership.discovery.next_call > self.now
        {
            return;
        }
        self.ownership.discovery.call_in_flight = true;
        if self.ownership.discovery.published {
            let request =
                StoreRequest::Read { table: Table::Hosts, from: String::new(), limit: PAGE_SIZE };
            self.call_store(Purpose::HostsRead, request, Duration::ZERO);
            return;
        }
        let row = HostRow {
            address: self.settings.address.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.settings.incarnation,
            processors_milli: self.settings.processors_milli,
        };
        let writes = match encode(&row) {
            Ok(bytes) => vec![(Table::Hosts, self.settings.host.clone(), bytes)],
            Err(_) => Vec::new(),
        };
        let request =
            StoreRequest::Transact { conditions: Vec::new(), writes, deletes: Vec::new() };
        self.call_store(Purpose::HostsWrite, request, Duration::ZERO);
    }

    pub(super) fn hosts_written(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.ownership.discovery.call_in_flight = false;
        self.ownership.discovery.published = result.is_ok();
        self.ownership.discovery.next_call = match result {
            Ok(_) => self.now,
            Err(_) => self.now + STARTUP_DISCOVERY_INTERVAL,
        };
    }

    pub(super) fn hosts_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.ownership.discovery.call_in_flight = false;
        let interval = if self.now < STARTUP_DURATION {
            STARTUP_DISCOVERY_INTERVAL
        } else {
            DISCOVERY_INTERVAL
        };
        self.ownership.discovery.next_call = self.now + interval;
        let Ok(answer) = result else { return };
        let mut present = BTreeSet::new();
        // A host that was silent for long is deleted. The store may also carry out a deletion, or the write of an earlier
        // process, after this process has written its row.
        let mut published = answer.more;
        for row in answer.rows {
            let Content::Bytes(bytes) = &row.content else { continue };
            let Ok(host) = decode::<HostRow>(bytes) else { continue };
            if row.key == self.settings.host {
                published = host.incarnation == self.settings.incarnation;
            } else {
                present.insert(row.key.clone());
                self.upsert_peer(row.key.clone(), host.address, host.processors_milli);
                if let Some(peer) = self.peers.get_mut(&row.key) {
                    peer.data_centre = host.data_centre;
                }
            }
        }
        if !published {
            self.ownership.discovery.published = false;
            self.ownership.discovery.next_call = self.now + STARTUP_DISCOVERY_INTERVAL;
        }
        let now = self.now;
        self.peers.retain(|name, peer| present.contains(name) || peer.is_alive(now));
    }

    /// Adds a peer or updates its address and capacity. A new peer is sent a heartbeat, so that it knows this host.
    fn upsert_peer(&mut self, name: HostName, address: String, processors_milli: u64) {
        let now = self.now;
        let mut new = false;
        let peer = self.peers.entry(name.clone()).or_insert_with(|| {
            new = true;
            let heartbeat = Heartbeat::default();
            Peer {
                address: String::new(),
                last_heartbeat: None,
                heartbeat,
                known_since: now,
                data_centre: String::new(),
                processors_milli,
            }
        });
        peer.address = address;
        peer.processors_milli = processors_milli;
        if new {
            self.log("peer_known", vec![("peer", name.clone())]);
            let heartbeat = self.heartbeat();
            self.send(&name, Message::Heartbeat(heartbeat));
        }
    }

    /// Returns the hosts whose rows the owner deletes because they have sent no heartbeat for a long time.
    pub(super) fn expired_hosts(&self) -> Vec<HostName> {
        let expired = |peer: &Peer| {
            self.now.saturating_sub(peer.last_heartbeat.unwrap_or(peer.known_since)) > HOST_EXPIRY
        };
        self.peers.iter().filter(|(_, peer)| expired(peer)).map(|(name, _)| name.clone()).collect()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.settings.incarnation,
            address: self.settings.address.clone(),
            operator_version: self.operator.replica.changed(),
            epoch: self.ownership.epoch(),
            owner: self.owner.is_some(),
            store_age: match self.store.last_direct_answer {
                Some(_) => self.store_age(),
                None => Duration::MAX,
            },
            commit_age: self
                .owner
                .as_ref()
                .map_or(Duration::MAX, |owner| self.now.saturating_sub(owner.last_commit_sent)),
            stopping: self.stopping.is_some(),
            processors_milli: self.settings.processors_milli,
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        if self.next_heartbeat > self.now {
            return;
        }
        let interval =
            if self.owner.is_some() { OWNER_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        self.next_heartbeat = self.now + interval;
        let heartbeat = self.heartbeat();
        let names: Vec<HostName> = self.peers.keys().cloned().collect();
        for name in names {
            self.send(&name, Message::Heartbeat(heartbeat.clone()));
        }
    }

    pub(super) fn peer_message(&mut self, from: HostName, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat_received(from, heartbeat),
            Message::GetOperatorRows => self.send_operator_rows(&from),
            Message::OperatorRows { version, rows } => {
                self.operator_rows_received(&from, version, rows);
            }
            Message::Submitted { id, job } => self.with_scheduler(|scheduler, context| {
                scheduler.add_job(id, *job, context);
                scheduler.run_round(context);
            }),
            Message::Cancelled { id } => {
                self.with_scheduler(|scheduler, context| scheduler.cancel(id, context));
            }
            Message::Query { call, query } => {
                let answer = self.answer_query(&query);
                self.send(&from, Message::QueryAnswer { call, answer });
            }
            Message::QueryAnswer { call, answer } => self.query_answered(call, answer),
            Message::StoreCall { call, request, .. } => {
                let wait = match &request {
                    StoreRequest::Feed { wait, .. } => *wait,
                    StoreRequest::Transact { .. } | StoreRequest::Read { .. } => Duration::ZERO,
                };
                self.call_store(Purpose::Relay { from, call }, request, wait);
            }
            Message::StoreResult { call, result } => self.store_result(call, result),
            Message::ApprovalCall { call, request, timeout } => {
                let own = self.allocate_call();
                self.ownership.relayed_approvals.insert(own, (from, call));
                self.outputs.push(Output::Approval { call: own, request, timeout });
            }
            Message::ApprovalResult { call, result } => self.approval_result(call, result),
            Message::WorkerCalls(calls) => self.accept_worker_calls(&from, calls),
            Message::WorkerResults(results) => self.relayed_results(results),
        }
    }

    /// Passes the result of an approval call to the host that asked for it, or to the scheduler.
    pub(super) fn approval_result(
        &mut self,
        call: CallId,
        result: Result<Vec<Ticket>, ApprovalError>,
    ) {
        match self.ownership.relayed_approvals.remove(&call) {
            Some((host, call)) => self.send(&host, Message::ApprovalResult { call, result }),
            None => self.with_scheduler(|scheduler, context| {
                scheduler.approval_result(call, result, context);
                scheduler.run_round(context);
            }),
        }
    }

    fn heartbeat_received(&mut self, from: HostName, heartbeat: Heartbeat) {
        self.upsert_peer(from.clone(), heartbeat.address.clone(), heartbeat.processors_milli);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.last_heartbeat = Some(self.now);
        peer.heartbeat = heartbeat.clone();
        self.request_newer_operator_rows(&from, heartbeat.operator_version);
        self.observe_heartbeat(&from, &heartbeat);
    }
}
