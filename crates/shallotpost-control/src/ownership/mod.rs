//! Shard ownership: claims, epochs, leases and handovers to preferred hosts.

mod ranking;
pub mod row;
mod shard;

use std::collections::BTreeMap;
use std::rc::Rc;

use shallotpost_protocol::table::{Check, Write};

pub use ranking::rank;
pub use row::ShardRow;

use crate::membership::HostRows;
use crate::membership::scan::{CompletedScan, Scan};
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::settings::{Fencing, HOLDER_MARGIN, lease_expiry_bound};
use shard::{ClaimConditions, Phase, ShardState};

/// Interval between scans of the shard rows.
pub const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Delay of a claim per live host that is preferred to this one, so that claims rarely conflict.
pub const CLAIM_DELAY: Duration = Duration::from_millis(250);

/// Minimum interval between two handovers to preferred hosts.
pub const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);

/// Delay of further handovers after a preferred host did not claim a shard that was released for it.
pub const HANDOVER_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Minimum time for which a host must have been live before shards are handed over to it.
pub const HANDOVER_MIN_LIVE_TIME: Duration = Duration::from_secs(10);

/// Maximum wait for `ShardReleased`. It exceeds the timeout of a call to a worker.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed claim before the next one. The host rows that the claim relied on are read again meanwhile.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum time that a claim or release waits in the write queue.
const WRITE_EXPIRY: Duration = Duration::from_secs(3);

/// A live peer of this data centre and the time since which it has been live.
struct LiveHost {
    incarnation: u64,
    since: Instant,
}

/// Service that claims, keeps and releases the shards of this data centre.
pub struct Ownership {
    state: Box<State>,
}

impl Ownership {
    pub fn new(settings: &Settings) -> Ownership {
        Ownership { state: Box::new(State::new(settings)) }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message);
    }
}

struct State {
    host: HostId,
    data_centre: DataCentreId,
    incarnation: u64,
    lease: Duration,
    fencing: Fencing,
    scan: Scan,
    /// Scans that started earlier may be older than the known rows and are ignored.
    scans_valid_from: Option<Instant>,
    /// Whether the known rows are recent enough to act on.
    rows_current: bool,
    hosts: Option<Rc<HostRows>>,
    live: BTreeMap<HostId, LiveHost>,
    shards: BTreeMap<u32, ShardState>,
    lease_until: Option<Instant>,
    /// Time since which an earlier incarnation of this host can no longer renew its lease.
    sole_incarnation_since: Option<Instant>,
    next_handover: Option<Instant>,
    table_timeout: Duration,
    stopping: bool,
    drained: bool,
    next_tag: Tag,
}

impl State {
    fn new(settings: &Settings) -> State {
        let prefix = row::prefix(&settings.data_centre);
        State {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: settings.incarnation,
            lease: settings.ownership_lease,
            fencing: settings.fencing,
            scan: Scan::new(prefix, SCAN_INTERVAL, settings.table_timeout),
            scans_valid_from: None,
            rows_current: false,
            hosts: None,
            live: BTreeMap::new(),
            shards: BTreeMap::from([(0, ShardState::default())]),
            lease_until: None,
            sole_incarnation_since: None,
            next_handover: None,
            table_timeout: settings.table_timeout,
            stopping: false,
            drained: false,
            next_tag: 0,
        }
    }

    fn handle(&mut self, context: &mut Context, message: Message) {
        // The process may have been paused for longer than the lease, so expiry is checked before a message can extend
        // it.
        self.drop_expired(context);
        match message {
            Message::Stop => self.stopping = true,
            Message::Snapshot(snapshot) => {
                // Shards beyond a lowered shard count keep their rows and owners, since they may hold work.
                let count = snapshot.data_centre(&self.data_centre).map_or(1, |found| found.shards);
                (0..count.max(1)).for_each(|index| {
                    self.shards.entry(index).or_default();
                });
            }
            Message::TableResult { call, result } if self.scan.is_current_call(call) => {
                if let Some(scan) = self.scan.on_result(context, result) {
                    self.on_scan(context, &scan);
                }
            }
            Message::HostRows(rows) => {
                self.on_host_rows(context.now, rows);
                self.hand_over(context);
            }
            Message::HeartbeatCommitted { sent } => self.renew_lease(context, sent),
            Message::WriteResult { tag, result } => self.on_write_result(context, tag, result),
            Message::ShardFenced { shard, epoch } => self.on_fenced(context, &shard, epoch),
            Message::ShardReleased { shard } => self.on_released(context, &shard),
            _ => {}
        }
        self.scan.poll(context, None);
        self.advance(context);
    }

    fn shard(&self, index: u32) -> Shard {
        Shard { data_centre: self.data_centre.clone(), index }
    }

    /// Returns the index of the shard, or `None` if it belongs to another data centre.
    fn local_index(&self, shard: &Shard) -> Option<u32> {
        Some(shard.index).filter(|_| shard.data_centre == self.data_centre)
    }

    fn is_mine(&self, row: &ShardRow) -> bool {
        row.owner == self.host && row.incarnation == self.incarnation
    }

    fn lease_holds(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Whether this host may act as an owner. Epoch fencing makes the lease unnecessary.
    fn may_own(&self, now: Instant) -> bool {
        self.fencing == Fencing::Epoch || self.lease_holds(now)
    }

    fn drop_expired(&mut self, context: &mut Context) {
        if self.may_own(context.now) {
            return;
        }
        let indexes: Vec<u32> = self.shards.keys().copied().collect();
        for index in indexes {
            self.lose(context, index, "lease lapsed");
        }
    }

    fn renew_lease(&mut self, context: &mut Context, sent: Instant) {
        self.sole_incarnation_since.get_or_insert(context.now);
        let until = sent + self.lease;
        if self.lease_until.is_none_or(|known| known < until) {
            self.lease_until = Some(until);
            context.send(ServiceName::Scheduler, Message::OwnershipLease { until });
        }
    }

    fn on_host_rows(&mut self, now: Instant, hosts: Rc<HostRows>) {
        let expiry_bound = lease_expiry_bound(self.lease);
        let live =
            hosts.rows.iter().filter(|row| row.unchanged_for < expiry_bound && !row.host.draining);
        let mut previous = std::mem::take(&mut self.live);
        for row in live.map(|row| &row.host).filter(|row| row.host != self.host) {
            let before =
                previous.remove(&row.host).filter(|live| live.incarnation == row.incarnation);
            let live = before.unwrap_or(LiveHost { incarnation: row.incarnation, since: now });
            self.live.insert(row.host.clone(), live);
        }
        self.shards.values_mut().for_each(|shard| shard.record_owner(now, &hosts));
        self.hosts = Some(hosts);
    }

    fn on_scan(&mut self, context: &mut Context, scan: &CompletedScan) {
        if self.scans_valid_from.is_some_and(|from| scan.started < from) {
            return;
        }
        self.rows_current = true;
        let mut rows: BTreeMap<u32, _> = BTreeMap::new();
        for found in &scan.rows {
            match row::parse(&self.data_centre, found) {
                Some((index, row)) => {
                    rows.insert(index, (row, found.version));
                    self.shards.entry(index).or_default();
                }
                None => {
                    let key = ("key", found.key.clone());
                    context.log(Level::Error, "shard row is unreadable; delete it", vec![key]);
                }
            }
        }
        let indexes: Vec<u32> = self.shards.keys().copied().collect();
        for index in indexes {
            let row = rows.remove(&index);
            self.update_row(context, index, row);
        }
    }

    fn update_row(&mut self, context: &mut Context, index: u32, row: Option<(ShardRow, u64)>) {
        let confirms = |epoch: Epoch, row: &Option<(ShardRow, u64)>| {
            let found = row.as_ref().map(|(row, _)| row);
            found.is_some_and(|row| self.is_mine(row) && row.epoch == epoch && !row.released)
        };
        let Some(shard) = self.shards.get(&index) else { return };
        let (phase, epoch) = (shard.phase, shard.phase.epoch());
        let confirmed = epoch.is_some_and(|epoch| confirms(epoch, &row));
        if let Some(shard) = self.shards.get_mut(&index) {
            shard.set_row(context.now, row);
        }
        match phase {
            Phase::Owned { .. } | Phase::HandingOver { .. } if !confirmed => {
                self.lose(context, index, "row shows another owner");
            }
            Phase::Resolving { epoch } if confirmed => self.acquire(context, index, epoch),
            Phase::Resolving { .. } => self.set_phase(index, Phase::Idle),
            _ => {}
        }
    }

    fn set_phase(&mut self, index: u32, phase: Phase) {
        if let Some(shard) = self.shards.get_mut(&index) {
            shard.phase = phase;
        }
    }

    fn acquire(&mut self, context: &mut Context, index: u32, epoch: Epoch) {
        if self.stopping {
            self.write_release(context, index);
        } else if self.may_own(context.now) {
            self.set_phase(index, Phase::Owned { epoch });
            let shard = self.shard(index);
            let fields = vec![("shard", shard.to_string()), ("epoch", epoch.to_string())];
            context.log(Level::Info, "shard acquired", fields);
            context.send(ServiceName::Scheduler, Message::ShardAcquired { shard, epoch });
        } else {
            // The row still names this host, which claims the shard again once its lease holds.
            self.set_phase(index, Phase::Idle);
        }
    }

    /// Ends the ownership of a shard; does nothing if this host does not own it.
    fn lose(&mut self, context: &mut Context, index: u32, reason: &'static str) {
        let shard = self.shard(index);
        let Some(state) = self.shards.get_mut(&index).filter(|state| state.phase.owns()) else {
            return;
        };
        state.phase = Phase::Idle;
        let fields = vec![("shard", shard.to_string()), ("reason", reason.to_owned())];
        context.log(Level::Info, "shard lost", fields);
        context.send(ServiceName::Scheduler, Message::ShardLost { shard });
    }

    fn on_fenced(&mut self, context: &mut Context, shard: &Shard, epoch: Epoch) {
        let Some(index) = self.local_index(shard) else { return };
        let Some(state) = self.shards.get_mut(&index) else { return };
        state.highest_epoch = state.highest_epoch.max(epoch);
        if state.phase.epoch().is_some_and(|own| own < epoch) {
            self.lose(context, index, "worker saw a higher epoch");
            self.require_scan(context.now);
            self.scan.run_by(context.now);
        }
    }

    fn on_released(&mut self, context: &mut Context, shard: &Shard) {
        let state = self.local_index(shard).and_then(|index| self.shards.get(&index));
        if let Some(Phase::HandingOver { .. }) = state.map(|state| state.phase) {
            self.finish_handover(context, shard.index);
        }
    }

    fn finish_handover(&mut self, context: &mut Context, index: u32) {
        // The scheduler must stop acting for the shard before the row can show it as released.
        self.lose(context, index, "handed over");
        self.write_release(context, index);
    }

    fn write_release(&mut self, context: &mut Context, index: u32) {
        let known = self.shards.get(&index).and_then(|shard| shard.row.clone());
        if let Some((row, version)) = known {
            let epoch = row.epoch;
            let row = ShardRow { released: true, ..row };
            let tag = self.write(context, index, &row, Some(version), Vec::new());
            self.set_phase(index, Phase::Releasing { epoch, tag });
        }
    }

    fn write(
        &mut self,
        context: &mut Context,
        index: u32,
        row: &ShardRow,
        version: Option<u64>,
        mut checks: Vec<Check>,
    ) -> Tag {
        self.next_tag += 1;
        let key = row::row_key(&self.shard(index));
        checks.push(Check { key: key.clone(), version });
        let value = serde_json::to_string(row).ok();
        let batch = Batch {
            reply_to: ServiceName::Ownership,
            tag: self.next_tag,
            checks,
            writes: vec![Write { key, value }],
            expires: Some(context.now + WRITE_EXPIRY),
        };
        context.send(ServiceName::Commit, Message::Write(batch));
        self.next_tag
    }

    fn on_write_result(
        &mut self,
        context: &mut Context,
        tag: Tag,
        result: Result<(), WriteFailure>,
    ) {
        let found = self.shards.iter().find(|(_, shard)| shard.phase.tag() == Some(tag));
        let Some((&index, shard)) = found else { return };
        match shard.phase {
            Phase::Claiming { epoch, .. } => self.on_claim_result(context, index, epoch, result),
            Phase::Releasing { epoch, .. } => self.on_release_result(context, index, epoch, result),
            _ => {}
        }
    }

    fn on_claim_result(
        &mut self,
        context: &mut Context,
        index: u32,
        epoch: Epoch,
        result: Result<(), WriteFailure>,
    ) {
        match result {
            Ok(()) => {
                let before = self.shards.get(&index).and_then(|shard| shard.row.as_ref());
                if before.is_some_and(|(row, _)| self.is_mine(row) && row.released) {
                    self.next_handover = Some(context.now + HANDOVER_RETRY_DELAY);
                }
                let row = self.claimed_row(epoch);
                self.record_own_write(context.now, index, row);
                self.acquire(context, index, epoch);
            }
            Err(WriteFailure::Unknown) => {
                self.set_phase(index, Phase::Resolving { epoch });
                self.require_scan(context.now);
                self.scan.run_by(context.now);
            }
            Err(WriteFailure::Conflict(_) | WriteFailure::Overloaded | WriteFailure::Expired) => {
                self.set_phase(index, Phase::Idle);
                if let Some(shard) = self.shards.get_mut(&index) {
                    shard.not_before = Some(context.now + CLAIM_RETRY_DELAY);
                }
                self.require_scan(context.now);
            }
        }
    }

    fn on_release_result(
        &mut self,
        context: &mut Context,
        index: u32,
        epoch: Epoch,
        result: Result<(), WriteFailure>,
    ) {
        match result {
            Ok(()) => {
                let row = ShardRow { released: true, ..self.claimed_row(epoch) };
                self.record_own_write(context.now, index, row);
                self.set_phase(index, Phase::Idle);
            }
            // The row still names this host, which keeps the shard instead of leaving it without an owner while the
            // table service is unreachable.
            Err(WriteFailure::Overloaded | WriteFailure::Expired) if !self.stopping => {
                self.acquire(context, index, epoch);
            }
            // After the next scan, a stopping host writes the release again, and any other host claims the shard again.
            // If the write queue is full, the retry waits for the next regular scan.
            Err(failure) => {
                self.set_phase(index, Phase::Idle);
                self.require_scan(context.now);
                if !matches!(failure, WriteFailure::Overloaded | WriteFailure::Expired) {
                    self.scan.run_by(context.now);
                }
            }
        }
    }

    fn claimed_row(&self, epoch: Epoch) -> ShardRow {
        let (owner, incarnation) = (self.host.clone(), self.incarnation);
        ShardRow { owner, incarnation, epoch, released: false }
    }

    /// Records a committed write of this host. Scans that started before may not show it.
    fn record_own_write(&mut self, now: Instant, index: u32, row: ShardRow) {
        self.scans_valid_from = Some(now);
        self.scan.run_by(now);
        if let Some(shard) = self.shards.get_mut(&index) {
            let version = shard.row.as_ref().map_or(0, |(_, version)| *version) + 1;
            shard.set_row(now, Some((row, version)));
        }
    }

    /// Makes the known rows unusable until a scan that starts from now on completes.
    fn require_scan(&mut self, now: Instant) {
        self.scans_valid_from = Some(now);
        self.rows_current = false;
    }

    fn advance(&mut self, context: &mut Context) {
        let indexes: Vec<u32> = self.shards.keys().copied().collect();
        for index in indexes {
            self.advance_shard(context, index);
        }
        if self.stopping {
            self.report_drained(context);
        }
    }

    fn advance_shard(&mut self, context: &mut Context, index: u32) {
        let Some(shard) = self.shards.get(&index) else { return };
        let unreleased =
            shard.row.as_ref().is_some_and(|(row, _)| self.is_mine(row) && !row.released);
        match shard.phase {
            Phase::HandingOver { deadline, .. } if context.now >= deadline => {
                self.finish_handover(context, index);
            }
            Phase::Owned { epoch } if self.stopping => self.begin_handover(context, index, epoch),
            Phase::Idle if self.stopping && self.rows_current && unreleased => {
                self.write_release(context, index);
            }
            Phase::Idle if !self.stopping => self.try_claim(context, index),
            _ => {}
        }
    }

    fn begin_handover(&mut self, context: &mut Context, index: u32, epoch: Epoch) {
        let deadline = context.now + RELEASE_TIMEOUT;
        self.set_phase(index, Phase::HandingOver { epoch, deadline });
        context.send(ServiceName::Scheduler, Message::ReleaseShard { shard: self.shard(index) });
    }

    /// Starts the handover of one shard whose preferred host has been live for long enough.
    fn hand_over(&mut self, context: &mut Context) {
        let now = context.now;
        let too_soon = self.next_handover.is_some_and(|next| now < next);
        if self.stopping || too_soon || !self.lease_holds(now) {
            return;
        }
        let is_stable = |host: &str| {
            self.live.get(host).is_some_and(|live| now >= live.since + HANDOVER_MIN_LIVE_TIME)
        };
        let owned = self.shards.iter().filter_map(|(index, shard)| match shard.phase {
            Phase::Owned { epoch } => Some((*index, epoch)),
            _ => None,
        });
        let mut misplaced = owned.filter(|(index, _)| is_stable(self.ranked_hosts(*index)[0]));
        if let Some((index, epoch)) = misplaced.next() {
            self.next_handover = Some(now + HANDOVER_INTERVAL);
            self.begin_handover(context, index, epoch);
        }
    }

    /// Returns the live hosts including this one, the preferred owner of the shard first.
    fn ranked_hosts(&self, index: u32) -> Vec<&str> {
        let hosts = self.live.keys().map(String::as_str).chain([self.host.as_str()]);
        rank(&self.shard(index), hosts)
    }

    fn try_claim(&mut self, context: &mut Context, index: u32) {
        let now = context.now;
        // The margin leaves time for the claim. A host without a lease may have no host row, in which case others would
        // treat its claim as one of a replaced host.
        if !self.rows_current || !self.lease_holds(now + HOLDER_MARGIN) {
            return;
        }
        let Some(shard) = self.shards.get(&index) else { return };
        let conditions = match &shard.row {
            Some((row, _)) if row.owner == self.host && !row.released => {
                self.reclaim_conditions(row)
            }
            _ => self.claim_conditions(index, shard),
        };
        let Some(shard) = self.shards.get_mut(&index) else { return };
        let Some(checks) = shard.poll_claim(now, conditions) else { return };
        let epoch = shard.highest_epoch + 1;
        let version = shard.row.as_ref().map(|(_, version)| *version);
        let row = self.claimed_row(epoch);
        let tag = self.write(context, index, &row, version, checks);
        self.set_phase(index, Phase::Claiming { epoch, tag });
    }

    /// Conditions for claiming a shard whose row names this host although it does not own the shard. Returns `None`
    /// while an earlier incarnation of this host may still hold its lease.
    fn reclaim_conditions(&self, row: &ShardRow) -> Option<ClaimConditions> {
        let expiry_bound = lease_expiry_bound(self.lease);
        let scan_started = self.hosts.as_ref().map(|hosts| hosts.scan_started);
        let previous_expiry = self.sole_incarnation_since.map(|since| since + expiry_bound);
        let is_claimable = row.incarnation == self.incarnation
            || self.fencing == Fencing::Epoch
            || previous_expiry.is_some_and(|end| scan_started >= Some(end));
        is_claimable.then(ClaimConditions::default)
    }

    /// Conditions for claiming a shard whose row names another host, is released or does not exist. Returns `None`
    /// while the owner may still hold its lease.
    fn claim_conditions(&self, index: u32, shard: &ShardState) -> Option<ClaimConditions> {
        let hosts = self.hosts.as_ref()?;
        let checks = shard.claim_checks(hosts, self.fencing, lease_expiry_bound(self.lease))?;
        let rank = self.ranked_hosts(index).iter().position(|host| *host == self.host).unwrap_or(0);
        let released = shard.row.as_ref().is_some_and(|(row, _)| row.released);
        // The preferred host sees the release with its next successful scan at the latest. An earlier claim would
        // return the shard to a host that hands it over again.
        let wait = match released && rank > 0 {
            true => SCAN_INTERVAL + self.table_timeout,
            false => Duration::ZERO,
        };
        let delay = wait + CLAIM_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        Some(ClaimConditions { checks, delay })
    }

    fn report_drained(&mut self, context: &mut Context) {
        let is_unsettled = |shard: &ShardState| {
            let row = shard.row.as_ref().map(|(row, _)| row);
            shard.phase != Phase::Idle || row.is_some_and(|row| self.is_mine(row) && !row.released)
        };
        if !self.drained && !self.shards.values().any(is_unsettled) {
            self.drained = true;
            context.send(ServiceName::Router, Message::Drained(ServiceName::Ownership));
        }
    }
}
