//! Entry hosts of the fleet: discovery through the store, and beats between them.

use serde::{Deserialize, Serialize};

use crate::host::Host;
use crate::host::store::Purpose;
use crate::message::{Heartbeat, Message, decode, encode};
use crate::port::{
    ApprovalError, Content, HostName, StoreAnswer, StoreError, StoreRequest, Table, Ticket,
};
use crate::prelude::*;

/// Interval of the owner's beats. Three missing ones make the others look at the ownership row.
const BEAT_INTERVAL_OWNER: Duration = Duration::from_millis(300);

/// Interval of the other hosts' beats.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of the last beat up to which a peer counts as present: two intervals and the delay of a busy host.
const FRESH: Duration = Duration::from_millis(2500);

/// Interval of reads of the host table in the first seconds, when the other hosts start too.
const HOSTS_INTERVAL_FIRST: Duration = Duration::from_millis(700);

/// Interval of reads of the host table later; newcomers introduce themselves by their beats.
const HOSTS_INTERVAL: Duration = Duration::from_secs(5);

/// How long the first interval applies.
const START_PHASE: Duration = Duration::from_secs(8);

/// Age of a host's last beat after which the owner deletes its row.
const HOST_GONE: Duration = Duration::from_secs(60);

/// Most rows that one read returns.
const PAGE: u32 = 500;

/// Row of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct HostRow {
    address: String,
    zone: String,
    incarnation: u64,
    processors_milli: u64,
}

/// A peer as this host knows it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) address: String,
    /// When a beat last arrived.
    pub(super) heard: Option<Uptime>,
    pub(super) beat: Heartbeat,
    since: Uptime,
    /// Processor of the host, in thousandths of a core.
    pub(super) processors_milli: u64,
}

impl Peer {
    /// Whether a beat has arrived lately.
    pub(super) fn is_fresh(&self, now: Uptime) -> bool {
        self.age(now).is_some_and(|age| age < FRESH)
    }

    /// Time since the last beat.
    pub(super) fn age(&self, now: Uptime) -> Option<Duration> {
        Some(now.saturating_sub(self.heard?))
    }
}

/// Progress of the discovery.
#[derive(Default)]
pub(super) struct Discovery {
    written: bool,
    busy: bool,
    next: Uptime,
}

impl Host {
    /// Publishes this host and reads the others.
    pub(super) fn follow_hosts(&mut self) {
        if self.ownership.discovery.busy || self.ownership.discovery.next > self.now {
            return;
        }
        self.ownership.discovery.busy = true;
        if self.ownership.discovery.written {
            let request =
                StoreRequest::Read { table: Table::Hosts, from: String::new(), limit: PAGE };
            self.call_store(Purpose::HostsRead, request, Duration::ZERO);
            return;
        }
        let row = HostRow {
            address: self.settings.address.clone(),
            zone: self.settings.data_centre.clone(),
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
        self.ownership.discovery.busy = false;
        self.ownership.discovery.written = result.is_ok();
        self.ownership.discovery.next = match result {
            Ok(_) => self.now,
            Err(_) => self.now + HOSTS_INTERVAL_FIRST,
        };
    }

    pub(super) fn hosts_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.ownership.discovery.busy = false;
        let interval = if self.now < START_PHASE { HOSTS_INTERVAL_FIRST } else { HOSTS_INTERVAL };
        self.ownership.discovery.next = self.now + interval;
        let Ok(answer) = result else { return };
        let mut present = BTreeSet::new();
        for row in answer.rows {
            let Content::Bytes(bytes) = &row.content else { continue };
            if let Ok(host) = decode::<HostRow>(bytes)
                && row.key != self.settings.host
            {
                present.insert(row.key.clone());
                self.meet(row.key, host.address, host.processors_milli);
            }
        }
        let now = self.now;
        self.peers.retain(|name, peer| present.contains(name) || peer.is_fresh(now));
    }

    fn meet(&mut self, name: HostName, address: String, processors_milli: u64) {
        let now = self.now;
        let mut new = false;
        let peer = self.peers.entry(name.clone()).or_insert_with(|| {
            new = true;
            let beat = Heartbeat::default();
            Peer { address: String::new(), heard: None, beat, since: now, processors_milli }
        });
        peer.address = address;
        peer.processors_milli = processors_milli;
        if new {
            self.log("peer_known", vec![("peer", name.clone())]);
            let beat = self.beat();
            self.send(&name, Message::Heartbeat(beat));
        }
    }

    /// Rows of hosts that have been silent for long, for the owner to delete.
    pub(super) fn gone_hosts(&self) -> Vec<HostName> {
        let gone =
            |peer: &Peer| self.now.saturating_sub(peer.heard.unwrap_or(peer.since)) > HOST_GONE;
        self.peers.iter().filter(|(_, peer)| gone(peer)).map(|(name, _)| name.clone()).collect()
    }

    fn beat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.settings.incarnation,
            address: self.settings.address.clone(),
            operator_version: self.operator.mark,
            epoch: self.ownership.epoch(),
            owner: self.owner.is_some(),
            store_age: match self.store.answered {
                Some(_) => self.store_age(),
                None => Duration::MAX,
            },
            commit_age: self
                .owner
                .as_ref()
                .map_or(Duration::MAX, |owner| self.now.saturating_sub(owner.confirmed)),
            stopping: self.stopping.is_some(),
            processors_milli: self.settings.processors_milli,
        }
    }

    pub(super) fn send_beats(&mut self) {
        if self.next_beat > self.now {
            return;
        }
        let interval = if self.owner.is_some() { BEAT_INTERVAL_OWNER } else { BEAT_INTERVAL };
        self.next_beat = self.now + interval;
        let beat = self.beat();
        let names: Vec<HostName> = self.peers.keys().cloned().collect();
        for name in names {
            self.send(&name, Message::Heartbeat(beat.clone()));
        }
    }

    pub(super) fn peer_message(&mut self, from: HostName, message: Message) {
        match message {
            Message::Heartbeat(beat) => self.beat_received(from, beat),
            Message::GetOperatorRows => self.tell_operator(&from),
            Message::OperatorRows { version, rows } => self.operator_told(version, rows),
            Message::Submitted { id, job } => self.with_scheduler(|scheduler, context| {
                scheduler.add_job(id, *job, context);
                scheduler.run_round(context);
            }),
            Message::Cancelled { id } => {
                self.with_scheduler(|scheduler, context| scheduler.cancel(id, context));
            }
            Message::Query { call, query } => {
                let answer = self.knowledge(&query);
                self.send(&from, Message::QueryAnswer { call, answer });
            }
            Message::QueryAnswer { call, answer } => self.told(call, answer),
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
        }
    }

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

    fn beat_received(&mut self, from: HostName, beat: Heartbeat) {
        self.meet(from.clone(), beat.address.clone(), beat.processors_milli);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = Some(self.now);
        peer.beat = beat.clone();
        self.compare_operator(&from, beat.operator_version);
        self.note_epoch(&from, &beat);
    }
}
