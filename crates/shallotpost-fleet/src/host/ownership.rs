//! Who owns the fleet: one row of the store, renewed with each commit of the owner.
//!
//! A host that wins the row with a higher epoch is the owner. Workers refuse the orders of lower epochs, so an owner that
//! has not noticed its loss does no harm at workers that the new one has reached.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::host::Host;
use crate::host::owner::Owner;
use crate::host::peers::Discovery;
use crate::host::store::Purpose;
use crate::host::{OWNERSHIP_LEASE, scheduler};
use crate::message::{Heartbeat, decode, encode};
use crate::port::{
    Content, Counter, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::scheduler::UnreachableWorker;

/// Key of the ownership row.
pub(super) const KEY: &str = "owner";

/// Key of the roster of workers.
pub(super) const ROSTER_KEY: &str = "roster";

/// Time without a commit after which another host takes over. The owner commits every 400 ms at least.
const CLAIM_AFTER: Duration = Duration::from_millis(1300);

/// Age of the owner's last beat after which the row is watched.
const BEAT_AGE_MAX: Duration = Duration::from_millis(900);

/// Interval of reads of the row while the owner is in doubt.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of reads of the row otherwise.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Silence of a peer after which it is not waited for: beats come every second. Hosts that were cut off with the owner are
/// silent for longer when its succession is due.
const PRESENT_MAX: Duration = Duration::from_millis(1250);

/// Time by which each further host claims later, so that mostly one of them tries.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Time after the start in which a host that sees no owner waits for its peers to be known.
const START_DELAY: Duration = Duration::from_millis(400);

/// Rate by which a worker's clock may be slower, and the time that its lease may seem longer for it.
const CLOCK_SLACK: f64 = 1.03;

/// The ownership row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct OwnerRow {
    pub(super) host: HostName,
    pub(super) incarnation: u64,
    pub(super) epoch: u64,
    /// Counts the commits of the epoch; tells whether a commit without an answer took effect.
    pub(super) sequence: u64,
    /// The owner has stopped in an orderly way.
    pub(super) released: bool,
    /// Workers out of the owner's reach.
    pub(super) absent: Vec<UnreachableWorker>,
}

/// What this host knows of the ownership row.
#[derive(Default)]
pub(super) struct Ownership {
    pub(super) discovery: Discovery,
    /// Approval calls that were made for the owner.
    pub(super) relayed_approvals: BTreeMap<CallId, (HostName, CallId)>,
    /// The row; `None` before the first read and where there is none.
    pub(super) row: Option<OwnerRow>,
    version: RowVersion,
    /// When this version of the row was first seen.
    observed: Option<Uptime>,
    last_read: Option<Uptime>,
    reading: bool,
    claiming: bool,
    /// Highest epoch that this process has begun as owner.
    begun: u64,
    /// Epoch of a claim whose outcome is not known.
    unanswered_claim: Option<u64>,
    next_read: Uptime,
}

impl Ownership {
    /// Highest epoch that is known.
    pub(super) fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }
}

impl Host {
    /// The owner, if it has sent a beat lately.
    pub(super) fn fresh_owner(&self) -> Option<HostName> {
        let row = self.ownership.row.as_ref()?;
        let peer = self.peers.get(&row.host)?;
        let same = peer.beat.owner && peer.beat.incarnation == row.incarnation;
        let fresh = peer.age(self.now).is_some_and(|age| age < BEAT_AGE_MAX);
        (same && fresh).then(|| row.host.clone())
    }

    /// Whether the owner both sends beats and commits.
    fn owner_is_well(&self) -> bool {
        let commits = |name: &HostName| {
            self.peers.get(name).is_some_and(|peer| peer.beat.commit_age < CLAIM_AFTER)
        };
        self.fresh_owner().is_some_and(|name| commits(&name))
    }

    /// Watches the ownership row, and claims it where the owner does not renew it.
    pub(super) fn follow_ownership(&mut self) {
        if self.owner.is_some() || self.ownership.claiming || self.stopping.is_some() {
            return;
        }
        let well = self.owner_is_well();
        if !well && self.may_claim() {
            self.claim();
            return;
        }
        let interval = if well { READ_INTERVAL } else { WATCH_INTERVAL };
        let due = self
            .ownership
            .next_read
            .min(self.ownership.last_read.map_or(Uptime::ZERO, |read| read + interval));
        if !self.ownership.reading && due <= self.now {
            self.ownership.reading = true;
            self.read_ownership();
        }
    }

    fn read_ownership(&mut self) {
        let request =
            StoreRequest::Read { table: Table::Ownership, from: KEY.to_owned(), limit: 1 };
        self.call_store(Purpose::OwnershipRead, request, Duration::ZERO);
    }

    pub(super) fn ownership_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        self.ownership.reading = false;
        self.ownership.next_read = self.now + WATCH_INTERVAL;
        let Ok(answer) = result else { return };
        self.ownership.last_read = Some(self.now);
        let row = answer.rows.into_iter().find(|row| row.key == KEY);
        self.observe_row(row);
    }

    fn observe_row(&mut self, row: Option<Row>) {
        let version = row.as_ref().map_or(0, |row| row.version);
        if self.ownership.observed.is_none() || version > self.ownership.version {
            self.ownership.observed = Some(self.now);
            self.ownership.version = version;
            self.ownership.row = row.and_then(|row| match row.content {
                Content::Bytes(bytes) => decode(&bytes).ok(),
                _ => None,
            });
        }
        let claimed = self.ownership.unanswered_claim.take();
        let won = self.ownership.row.as_ref().is_some_and(|row| {
            row.host == self.settings.host
                && row.incarnation == self.settings.incarnation
                && claimed == Some(row.epoch)
        });
        let begun = self.ownership.begun >= self.ownership.epoch();
        if won && !begun && self.owner.is_none() && self.stopping.is_none() {
            // The claim took effect although its answer was lost.
            self.become_owner();
        }
    }

    /// Whether this host is the next one to claim, by what the row and the beats say.
    fn may_claim(&self) -> bool {
        let Some(observed) = self.ownership.observed else { return false };
        let recent = self
            .ownership
            .last_read
            .is_some_and(|read| self.now.saturating_sub(read) < WATCH_INTERVAL * 2);
        if !recent {
            return false;
        }
        let rank = self.rank();
        let wait = match &self.ownership.row {
            None => START_DELAY,
            Some(row) if row.released => Duration::ZERO,
            Some(row) if self.has_restarted(row) => Duration::ZERO,
            Some(_) => CLAIM_AFTER,
        };
        // An owner that is alive could not renew the row while the store was away.
        let since = match self.fresh_owner().and(self.store.failed) {
            Some(failed) => observed.max(failed),
            None => observed,
        };
        self.now.saturating_sub(since) >= wait + RANK_DELAY * rank
    }

    /// Whether the process that won the row is known to have ended.
    fn has_restarted(&self, row: &OwnerRow) -> bool {
        if row.host == self.settings.host {
            // This process has given up an epoch that it had won; the next one needs a claim of its own.
            return true;
        }
        self.peers
            .get(&row.host)
            .is_some_and(|peer| peer.heard.is_some() && peer.beat.incarnation != row.incarnation)
    }

    /// Number of present hosts that claim before this one: those with more processor, as an owner needs most of it. Shortly
    /// after the start, hosts that were read from the store and not heard yet count too.
    fn rank(&self) -> u32 {
        let own = (Reverse(self.settings.processors_milli), &self.settings.host);
        let present = |peer: &super::Peer| match peer.age(self.now) {
            Some(age) => age < PRESENT_MAX && !peer.beat.stopping,
            None => self.now < START_DELAY * 2,
        };
        let before = |(name, peer): &(&HostName, &super::Peer)| {
            present(peer) && (Reverse(peer.processors_milli), *name) < own
        };
        u32::try_from(self.peers.iter().filter(before).count()).unwrap_or(u32::MAX)
    }

    /// The row of an epoch that this host has just won. Workers out of reach are those that the last owner recorded.
    fn own_row(&self, epoch: u64) -> OwnerRow {
        OwnerRow {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch,
            sequence: 0,
            released: false,
            absent: self.ownership.row.as_ref().map(|row| row.absent.clone()).unwrap_or_default(),
        }
    }

    /// Longest time for which a lease of the previous owner can be in force.
    fn lease_bound(&self) -> Duration {
        self.settings.bounds.lease_max.mul_f64(CLOCK_SLACK)
    }

    /// When no lease of the previous owner can be in force any more.
    fn uncertain_until(&self, previous: Option<&OwnerRow>) -> Uptime {
        match previous {
            None => self.now,
            Some(previous) if previous.released || self.has_restarted(previous) => {
                self.now + self.lease_bound()
            }
            Some(_) => {
                let observed = self.ownership.observed.unwrap_or(self.now);
                observed + OWNERSHIP_LEASE + self.lease_bound()
            }
        }
    }

    fn claim(&mut self) {
        let epoch = self.ownership.epoch() + 1;
        let Ok(bytes) = encode(&self.own_row(epoch)) else { return };
        self.ownership.claiming = true;
        let request = StoreRequest::Transact {
            conditions: vec![(Table::Ownership, KEY.to_owned(), self.ownership.version)],
            writes: vec![(Table::Ownership, KEY.to_owned(), bytes)],
            deletes: Vec::new(),
        };
        self.log("claiming", vec![("epoch", epoch.to_string())]);
        self.call_store(Purpose::Claim { epoch }, request, Duration::ZERO);
    }

    pub(super) fn claim_result(&mut self, epoch: u64, result: Result<StoreAnswer, StoreError>) {
        self.ownership.claiming = false;
        match result {
            // A read has shown the won row before the answer to the claim; an epoch is begun once.
            Ok(_) if self.owner.is_some() || self.ownership.begun >= epoch => {}
            Ok(answer) => {
                let row = self.own_row(epoch);
                let previous = self.ownership.row.replace(row);
                self.ownership.version = answer.version;
                let uncertain_until = self.uncertain_until(previous.as_ref());
                self.start_owner(previous.map(|row| row.host), uncertain_until);
            }
            Err(StoreError::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == KEY);
                self.observe_row(row);
            }
            Err(_) => {
                // It may have taken effect; the row tells.
                self.ownership.unanswered_claim = Some(epoch);
                self.ownership.next_read = self.now;
                self.ownership.last_read = None;
            }
        }
    }

    fn become_owner(&mut self) {
        // The row that was replaced is not known any more; its owner may have renewed it just before.
        let uncertain_until = self.now + OWNERSHIP_LEASE + self.lease_bound();
        self.start_owner(None, uncertain_until);
    }

    fn start_owner(&mut self, previous: Option<HostName>, uncertain_until: Uptime) {
        let Some(row) = self.ownership.row.clone() else { return };
        self.ownership.begun = row.epoch;
        let observed = self.ownership.observed.unwrap_or(self.now);
        self.ownership.observed = Some(self.now);
        let fields = vec![
            ("epoch", row.epoch.to_string()),
            ("previous", previous.unwrap_or_default()),
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
        let mut owner = Owner::new(scheduler, row.epoch, self.ownership.version, self.now);
        owner.absent = row.absent;
        owner.absent_since = observed;
        self.owner = Some(owner);
        self.next_beat = self.now;
        self.load_jobs();
    }

    /// A peer knows of a higher epoch, or the previous owner turns out to have ended.
    /// Highest epoch of which this host knows that it was won.
    pub(super) fn highest_epoch(&self) -> u64 {
        let heard = self.peers.values().map(|peer| peer.beat.epoch).max();
        heard.unwrap_or_default().max(self.ownership.epoch())
    }

    pub(super) fn note_epoch(&mut self, from: &HostName, beat: &Heartbeat) {
        if beat.epoch > self.ownership.epoch() {
            self.ownership.next_read = self.now;
            self.ownership.last_read = None;
            if self.owner.is_some() {
                self.lose_ownership("a peer knows a higher epoch");
            }
        }
        let known = self.ownership.row.as_ref().map(|row| (row.host.clone(), row.incarnation));
        if known.is_some_and(|(host, incarnation)| {
            host == *from && (incarnation != beat.incarnation || beat.stopping)
        }) {
            self.ownership.next_read = self.ownership.next_read.min(self.now);
        }
    }

    /// Gives up ownership at once: another host has won it.
    pub(super) fn lose_ownership(&mut self, cause: &'static str) {
        if self.owner.take().is_some() {
            self.log("ownership_lost", vec![("cause", cause.to_owned())]);
            self.ownership.last_read = None;
            self.ownership.next_read = self.now;
            self.next_beat = self.now;
        }
    }

    /// The row as the owner's commit found it.
    pub(super) fn observe_successor(&mut self, row: Option<Row>) {
        self.observe_row(row);
    }

    /// The owner's commit has moved the row on.
    pub(super) fn renew_row(&mut self, version: RowVersion, row: OwnerRow) {
        self.ownership.version = version;
        self.ownership.observed = Some(self.now);
        self.ownership.row = Some(row);
    }
}
