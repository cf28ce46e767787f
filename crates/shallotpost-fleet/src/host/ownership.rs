//! Election of the owner through one row of the store, which each commit of the owner renews.
//!
//! A host becomes the owner by replacing the row with one of a higher epoch. Workers refuse calls of lower epochs, so
//! an owner that has not noticed its replacement has no effect on workers that the new owner has reached.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::host::Host;
use crate::host::owner::Owner;
use crate::host::peers::Discovery;
use crate::host::store::Purpose;
use crate::host::{OWNERSHIP_LEASE, scheduler};
use crate::message::{Heartbeat, decode, encode, trailing};
use crate::port::{
    Content, Counter, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::scheduler::{StoredStart, UnreachableWorker};

/// Key of the ownership row.
pub(super) const KEY: &str = "owner";

/// Key of the roster, the list of all workers on which tasks may have been started.
pub(super) const ROSTER_KEY: &str = "roster";

/// Time without a commit after which another host claims the ownership. The owner commits at least every 400 ms.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1300);

/// Maximum age of the last heartbeat of a live owner. When it is older, the row is read more often.
const OWNER_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(900);

/// Interval of reads of the row while the owner may have failed.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of reads of the row while the owner is healthy. Heartbeats tell of a new owner.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum age of a peer's last heartbeat at which it may rank before this host. Heartbeats are sent every second.
/// When a claim is due, hosts that were cut off together with the owner have been silent for longer than this.
const PEER_SILENCE_MAX: Duration = Duration::from_millis(1250);

/// Additional claim delay for each host that ranks before this one, so that usually only one host claims.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Time for which a host that finds no ownership row waits to discover its peers before it claims.
const START_DELAY: Duration = Duration::from_millis(400);

/// Factor by which a lease may last longer than granted because the worker's clock is slow.
const CLOCK_DRIFT_FACTOR: f64 = 1.03;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    pub(super) host: HostName,
    pub(super) incarnation: u64,
    pub(super) epoch: u64,
    /// Number of commits in this epoch. Shows whether an unanswered commit took effect.
    pub(super) sequence: u64,
    /// Whether the owner released the ownership in a planned stop.
    pub(super) released: bool,
    /// Workers that the owner cannot reach.
    pub(super) unreachable_workers: Vec<UnreachableWorker>,
    /// Starts without an answer that may still be carried out. Rows of earlier versions end before them.
    #[serde(default, skip_serializing_if = "Vec::is_empty", deserialize_with = "trailing")]
    pub(super) late_starts: Vec<StoredStart>,
}

/// The owner before this one.
pub(super) struct Predecessor {
    host: HostName,
    incarnation: u64,
    epoch: u64,
    /// Time from which no lease of the owners before it can be valid.
    earlier_leases_end: Uptime,
}

/// State of the election on this host.
#[derive(Default)]
pub(super) struct Ownership {
    pub(super) discovery: Discovery,
    /// Approval calls relayed for the owner, with the host that asked and its number for the call.
    pub(super) relayed_approvals: BTreeMap<CallId, (HostName, CallId)>,
    /// The row; `None` before the first read, or if the store holds none.
    pub(super) row: Option<OwnerRow>,
    version: RowVersion,
    /// Time at which this version of the row was first seen.
    observed_at: Option<Uptime>,
    /// Time at which the epoch of the row was first seen.
    epoch_observed_at: Uptime,
    last_read: Option<Uptime>,
    read_in_flight: bool,
    claim_in_flight: bool,
    /// When the last claim was sent.
    claim_sent: Uptime,
    /// Highest epoch that this process has started as the owner.
    started_epoch: u64,
    /// Epoch of a claim whose outcome is unknown.
    unanswered_claim: Option<u64>,
    next_read: Uptime,
}

impl Ownership {
    /// Returns the epoch of the last row that was read; zero if there is none.
    pub(super) fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }
}

/// Returns whether a heartbeat from the owner's host shows that the process has ended which claimed the epoch. One of another
/// process that does not know the epoch may have been sent by an earlier process and delayed on the way.
fn shows_end(heartbeat: &Heartbeat, incarnation: u64, epoch: u64) -> bool {
    heartbeat.incarnation != incarnation && heartbeat.epoch >= epoch
}

impl Host {
    /// Returns the owner if it has sent a recent heartbeat.
    pub(super) fn live_owner(&self) -> Option<HostName> {
        let row = self.ownership.row.as_ref()?;
        let peer = self.peers.get(&row.host)?;
        let same = peer.heartbeat.owner && peer.heartbeat.incarnation == row.incarnation;
        let fresh = peer.heartbeat_age(self.now).is_some_and(|age| age < OWNER_HEARTBEAT_AGE_MAX);
        (same && fresh).then(|| row.host.clone())
    }

    /// Returns whether the owner both sends heartbeats and commits.
    fn owner_is_healthy(&self) -> bool {
        let commits = |name: &HostName| {
            self.peers.get(name).is_some_and(|peer| peer.heartbeat.commit_age < CLAIM_TIMEOUT)
        };
        self.live_owner().is_some_and(|name| commits(&name))
    }

    /// Reads the ownership row periodically, and claims it if the owner does not renew it.
    pub(super) fn check_ownership(&mut self) {
        if self.owner.is_some() || self.ownership.claim_in_flight || self.stopping.is_some() {
            return;
        }
        let healthy = self.owner_is_healthy();
        if !healthy && self.should_claim() {
            self.claim();
            return;
        }
        let interval = if healthy { READ_INTERVAL } else { SUSPECT_READ_INTERVAL };
        let due = self
            .ownership
            .next_read
            .min(self.ownership.last_read.map_or(Uptime::ZERO, |read| read + interval));
        if !self.ownership.read_in_flight && due <= self.now {
            self.ownership.read_in_flight = true;
            self.read_ownership();
        }
    }

    fn read_ownership(&mut self) {
        let request =
            StoreRequest::Read { table: Table::Ownership, from: KEY.to_owned(), limit: 1 };
        self.call_store(Purpose::OwnershipRead, request, Duration::ZERO);
    }

    pub(super) fn ownership_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.ownership.read_in_flight = false;
        self.ownership.next_read = self.now + SUSPECT_READ_INTERVAL;
        let Ok(answer) = result else { return };
        self.ownership.last_read = Some(self.now);
        let row = answer.rows.into_iter().find(|row| row.key == KEY);
        self.observe_row(row);
    }

    fn observe_row(&mut self, row: Option<Row>) {
        let version = row.as_ref().map_or(0, |row| row.version);
        if self.ownership.observed_at.is_none() {
            // It tells the others that an earlier process of this host has ended.
            self.next_heartbeat = self.now;
        }
        if self.ownership.observed_at.is_none() || version > self.ownership.version {
            self.ownership.observed_at = Some(self.now);
            self.ownership.version = version;
            let earlier_epoch = self.ownership.epoch();
            self.ownership.row = row.and_then(|row| match row.content {
                Content::Bytes(bytes) => decode(&bytes).ok(),
                _ => None,
            });
            if self.ownership.epoch() != earlier_epoch {
                self.ownership.epoch_observed_at = self.now;
            }
        }
        let claimed = self.ownership.unanswered_claim.take();
        let won = self.ownership.row.as_ref().is_some_and(|row| {
            row.host == self.settings.host
                && row.incarnation == self.settings.incarnation
                && claimed == Some(row.epoch)
        });
        let started = self.ownership.started_epoch >= self.ownership.epoch();
        if won && !started && self.owner.is_none() && self.stopping.is_none() {
            // The claim took effect although its answer was lost.
            self.adopt_unanswered_claim();
        }
    }

    /// Returns whether this host must claim the ownership now, according to the row and the heartbeats.
    fn should_claim(&self) -> bool {
        let Some(observed) = self.ownership.observed_at else { return false };
        let recent = self
            .ownership
            .last_read
            .is_some_and(|read| self.now.saturating_sub(read) < SUSPECT_READ_INTERVAL * 2);
        if !recent {
            return false;
        }
        let claim_rank = self.claim_rank();
        let wait = match &self.ownership.row {
            None => START_DELAY,
            Some(row) if row.released => Duration::ZERO,
            Some(row) if self.owner_process_ended(row) => Duration::ZERO,
            // An owner that is short of processor time still starts tasks until its lease ends. Its successor would first
            // have to read all jobs and call all workers, and would be no faster.
            Some(_) if self.live_owner().is_some() => OWNERSHIP_LEASE,
            Some(_) => CLAIM_TIMEOUT,
        };
        // A live owner cannot renew the row during an outage of the store.
        let since = match self.live_owner().and(self.store.last_failure) {
            Some(failed) => observed.max(failed),
            None => observed,
        };
        self.now.saturating_sub(since) >= wait + RANK_DELAY * claim_rank
    }

    /// Returns whether the process that wrote the row is known to have ended.
    fn owner_process_ended(&self, row: &OwnerRow) -> bool {
        if row.host == self.settings.host {
            // This process has lost or released the epoch of the row. It must claim a new one.
            return true;
        }
        self.peers
            .get(&row.host)
            .is_some_and(|peer| shows_end(&peer.heartbeat, row.incarnation, row.epoch))
    }

    /// Returns the number of live hosts that claim before this one. Hosts with more processor capacity come first,
    /// because the owner needs more of it than other hosts. Shortly after the start, hosts that were read from the
    /// store but have not sent a heartbeat yet are counted too.
    fn claim_rank(&self) -> u32 {
        let own = (Reverse(self.settings.processors_milli), &self.settings.host);
        let present = |peer: &super::Peer| match peer.heartbeat_age(self.now) {
            Some(age) => age < PEER_SILENCE_MAX && !peer.heartbeat.stopping,
            None => self.now < START_DELAY * 2,
        };
        let before = |(name, peer): &(&HostName, &super::Peer)| {
            present(peer) && (Reverse(peer.processors_milli), *name) < own
        };
        u32::try_from(self.peers.iter().filter(before).count()).unwrap_or(u32::MAX)
    }

    /// Returns the first row of an epoch of this host. It keeps the unreachable workers and the late starts that the last owner
    /// recorded.
    fn new_owner_row(&self, epoch: u64) -> OwnerRow {
        let last = self.ownership.row.as_ref();
        OwnerRow {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch,
            sequence: 0,
            released: false,
            unreachable_workers: last
                .map(|row| row.unreachable_workers.clone())
                .unwrap_or_default(),
            late_starts: last.map(|row| row.late_starts.clone()).unwrap_or_default(),
        }
    }

    /// Returns the longest time for which a worker's lease can be valid after it was granted.
    fn worker_lease_max(&self) -> Duration {
        self.settings.bounds.lease_max.mul_f64(CLOCK_DRIFT_FACTOR)
    }

    /// Returns the time from which no lease can be valid that was granted before the epoch of the row.
    fn earlier_leases_end(&self) -> Uptime {
        self.ownership.epoch_observed_at + OWNERSHIP_LEASE + self.worker_lease_max()
    }

    /// Returns the time from which no lease granted by earlier owners can be valid.
    fn uncertain_until(&self, previous: Option<&OwnerRow>) -> Uptime {
        match previous {
            None => self.now,
            Some(previous) if previous.released || self.owner_process_ended(previous) => {
                let granted_by_previous = self.now + self.worker_lease_max();
                granted_by_previous.max(self.earlier_leases_end())
            }
            Some(_) => {
                let observed = self.ownership.observed_at.unwrap_or(self.now);
                observed + OWNERSHIP_LEASE + self.worker_lease_max()
            }
        }
    }

    fn claim(&mut self) {
        let epoch = self.ownership.epoch() + 1;
        let Ok(bytes) = encode(&self.new_owner_row(epoch)) else { return };
        self.ownership.claim_in_flight = true;
        self.ownership.claim_sent = self.now;
        let request = StoreRequest::Transact {
            conditions: vec![(Table::Ownership, KEY.to_owned(), self.ownership.version)],
            writes: vec![(Table::Ownership, KEY.to_owned(), bytes)],
            deletes: Vec::new(),
        };
        self.log("claiming", vec![("epoch", epoch.to_string())]);
        self.call_store(Purpose::Claim { epoch }, request, Duration::ZERO);
    }

    pub(super) fn claim_result(&mut self, epoch: u64, result: Result<StoreAnswer, StoreError>) {
        self.ownership.claim_in_flight = false;
        match result {
            // A read returned the new row before the claim was answered. An epoch must be started only once.
            Ok(_) if self.owner.is_some() || self.ownership.started_epoch >= epoch => {}
            Ok(answer) => {
                let row = self.new_owner_row(epoch);
                let earlier_leases_end = self.earlier_leases_end();
                let previous = self.ownership.row.replace(row);
                self.ownership.version = answer.version;
                let uncertain_until = self.uncertain_until(previous.as_ref());
                let predecessor = previous.map(|row| Predecessor {
                    host: row.host,
                    incarnation: row.incarnation,
                    epoch: row.epoch,
                    earlier_leases_end,
                });
                self.ownership.epoch_observed_at = self.now;
                self.start_owner(predecessor, uncertain_until);
            }
            Err(StoreError::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == KEY);
                self.observe_row(row);
            }
            Err(_) => {
                // The claim may have taken effect. The next read of the row shows whether it did.
                self.ownership.unanswered_claim = Some(epoch);
                self.ownership.next_read = self.now;
                self.ownership.last_read = None;
            }
        }
    }

    /// Starts an epoch whose claim took effect without an answer.
    fn adopt_unanswered_claim(&mut self) {
        // The replaced row is unknown, and its owner may have renewed it just before the claim.
        let uncertain_until = self.now + OWNERSHIP_LEASE + self.worker_lease_max();
        self.start_owner(None, uncertain_until);
    }

    fn start_owner(&mut self, predecessor: Option<Predecessor>, uncertain_until: Uptime) {
        let Some(row) = self.ownership.row.clone() else { return };
        self.ownership.started_epoch = row.epoch;
        let observed = self.ownership.observed_at.unwrap_or(self.now);
        self.ownership.observed_at = Some(self.now);
        let fields = vec![
            ("epoch", row.epoch.to_string()),
            ("previous", predecessor.as_ref().map(|row| row.host.clone()).unwrap_or_default()),
            ("uncertain_ms", uncertain_until.saturating_sub(self.now).as_millis().to_string()),
        ];
        self.log("ownership_won", fields);
        self.outputs.push(Output::Count { counter: Counter::Takeovers, amount: 1 });
        let scheduler = scheduler::Scheduler::new(
            self.settings.host.clone(),
            row.epoch,
            self.settings.bounds,
            uncertain_until,
        );
        let freshness = &self.settings.freshness;
        let mut owner =
            Owner::new(scheduler, row.epoch, self.ownership.version, freshness, self.now);
        // Other hosts may have seen the claim long before its answer arrived.
        owner.last_commit_sent = self.ownership.claim_sent;
        if let Some(loading) = owner.loading() {
            loading.unreachable_workers = row.unreachable_workers;
            loading.late_starts = row.late_starts;
        }
        owner.previous_commit_observed = observed;
        owner.predecessor = predecessor;
        self.owner = Some(owner);
        self.next_heartbeat = self.now;
        self.load_jobs();
    }

    /// Returns the highest epoch in the ownership row and in the peers' heartbeats.
    pub(super) fn highest_epoch(&self) -> u64 {
        let reported = self.peers.values().map(|peer| peer.heartbeat.epoch).max();
        reported.unwrap_or_default().max(self.ownership.epoch())
    }

    /// Reacts to a heartbeat with a higher epoch, or one that shows that the owner has ended or is stopping.
    pub(super) fn observe_heartbeat(&mut self, from: &HostName, heartbeat: &Heartbeat) {
        if heartbeat.epoch > self.ownership.epoch() {
            self.ownership.next_read = self.now;
            self.ownership.last_read = None;
            if self.owner.is_some() {
                self.lose_ownership("a peer knows a higher epoch");
            }
        }
        self.observe_predecessor(from, heartbeat);
        let known = self.ownership.row.as_ref().map(|row| (row.host.clone(), row.incarnation));
        if known.is_some_and(|(host, incarnation)| {
            host == *from && (incarnation != heartbeat.incarnation || heartbeat.stopping)
        }) {
            self.ownership.next_read = self.ownership.next_read.min(self.now);
        }
    }

    /// Shortens the wait for leases of the previous owner once its host shows that it does not own the fleet any more, or
    /// that its process has ended.
    fn observe_predecessor(&mut self, from: &HostName, heartbeat: &Heartbeat) {
        let lease_max = self.worker_lease_max();
        let Some(owner) = &mut self.owner else { return };
        let ended = |predecessor: &Predecessor| {
            let is_new_process = shows_end(heartbeat, predecessor.incarnation, predecessor.epoch);
            let has_lost = heartbeat.epoch >= predecessor.epoch && !heartbeat.owner;
            predecessor.host == *from && (is_new_process || has_lost)
        };
        if let Some(predecessor) = owner.predecessor.take_if(|predecessor| ended(predecessor)) {
            let granted_by_predecessor = self.now + lease_max;
            let until = granted_by_predecessor.max(predecessor.earlier_leases_end);
            owner.scheduler.limit_uncertainty(until);
            let left = until.saturating_sub(self.now);
            let fields =
                vec![("host", predecessor.host), ("uncertain_ms", left.as_millis().to_string())];
            self.log("predecessor_ended", fields);
        }
    }

    /// Stops acting as the owner at once, without a release, because another host has claimed the ownership.
    pub(super) fn lose_ownership(&mut self, cause: &'static str) {
        if self.owner.take().is_some() {
            self.drop_owner_calls();
            self.log("ownership_lost", vec![("cause", cause.to_owned())]);
            self.ownership.last_read = None;
            self.ownership.next_read = self.now;
            self.next_heartbeat = self.now;
        }
    }

    /// Records the row that made the owner's commit fail.
    pub(super) fn observe_successor(&mut self, row: Option<Row>) {
        self.observe_row(row);
    }

    /// Records the row that the owner's commit wrote.
    pub(super) fn record_renewal(&mut self, version: RowVersion, row: OwnerRow) {
        self.ownership.version = version;
        self.ownership.observed_at = Some(self.now);
        self.ownership.row = Some(row);
    }
}
