//! State of one shard at this host, and the conditions under which the host may claim it.

use shallotpost_protocol::host;
use shallotpost_protocol::table::{Check, Version};

use super::ShardRow;
use crate::membership::HostRows;
use crate::prelude::*;
use crate::settings::Fencing;

/// Ownership phase of a shard at this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// This host does not own the shard and no write for it is in flight.
    #[default]
    Idle,
    /// A claim is queued or in flight.
    Claiming { epoch: Epoch, tag: Tag },
    /// The outcome of a claim is unknown until the next scan.
    Resolving { epoch: Epoch },
    /// This host owns the shard.
    Owned { epoch: Epoch },
    /// This host owns the shard and waits until the scheduler has stopped acting for it.
    HandingOver { epoch: Epoch, deadline: Instant },
    /// A release is queued or in flight.
    Releasing { epoch: Epoch, tag: Tag },
}

impl Phase {
    /// Whether the scheduler acts for the shard.
    pub fn owns(&self) -> bool {
        matches!(self, Phase::Owned { .. } | Phase::HandingOver { .. })
    }

    /// Epoch that this host claimed; `None` while idle.
    pub fn epoch(&self) -> Option<Epoch> {
        match *self {
            Phase::Idle => None,
            Phase::Claiming { epoch, .. }
            | Phase::Resolving { epoch }
            | Phase::Owned { epoch }
            | Phase::HandingOver { epoch, .. }
            | Phase::Releasing { epoch, .. } => Some(epoch),
        }
    }

    /// Tag of the write in flight.
    pub fn tag(&self) -> Option<Tag> {
        match *self {
            Phase::Claiming { tag, .. } | Phase::Releasing { tag, .. } => Some(tag),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimConditions {
    /// Checks in addition to the version of the shard's row.
    pub checks: Vec<Check>,
    /// Delay since the row became claimable, which gives preferred hosts precedence.
    pub delay: Duration,
}

/// A shard as this host knows it.
#[derive(Debug, Default)]
pub struct ShardState {
    /// The row and its version, as last read or written; `None` if there is no row.
    pub row: Option<(ShardRow, Version)>,
    /// Highest epoch seen in the row or at a worker.
    pub highest_epoch: Epoch,
    pub phase: Phase,
    /// Earliest time of the next claim, after a failed one.
    pub not_before: Option<Instant>,
    /// When the row first showed the current owner.
    owner_since: Option<Instant>,
    /// Time since which the owner has had no host row, or one of another incarnation.
    owner_absent_since: Option<Instant>,
    /// Time since which the row has been claimable, with its version.
    claimable_since: Option<(Option<Version>, Instant)>,
}

impl ShardState {
    pub fn set_row(&mut self, now: Instant, row: Option<(ShardRow, Version)>) {
        let owner = |row: &Option<(ShardRow, Version)>| {
            row.as_ref().map(|(row, _)| (row.owner.clone(), row.incarnation))
        };
        if owner(&row) != owner(&self.row) {
            self.owner_absent_since = None;
            self.owner_since = Some(now);
        }
        self.highest_epoch = self.highest_epoch.max(row.as_ref().map_or(0, |(row, _)| row.epoch));
        self.row = row;
    }

    /// Records whether the host rows still show the owner with its incarnation.
    pub fn record_owner(&mut self, now: Instant, hosts: &HostRows) {
        let Some((row, _)) = &self.row else { return };
        // Host rows that were read before the shard row can lack a host that has just joined and claimed the shard.
        if self.owner_since.is_some_and(|since| hosts.scan_started < since) {
            return;
        }
        let is_listed = hosts
            .rows
            .iter()
            .any(|found| found.host.host == row.owner && found.host.incarnation == row.incarnation);
        match is_listed {
            true => self.owner_absent_since = None,
            false => {
                self.owner_absent_since.get_or_insert(now);
            }
        }
    }

    /// Returns the checks of a claim if the row names another host, is released or does not exist. Returns `None` if
    /// the host rows do not prove that the lease of the owner has expired. `expiry_bound` is the time after which it
    /// certainly has.
    pub fn claim_checks(
        &self,
        hosts: &HostRows,
        fencing: Fencing,
        expiry_bound: Duration,
    ) -> Option<Vec<Check>> {
        let Some((row, _)) = &self.row else { return Some(Vec::new()) };
        if row.released {
            return Some(Vec::new());
        }
        let absent_for = self
            .owner_absent_since
            .map(|since| hosts.scan_started.saturating_duration_since(since));
        let found = hosts.rows.iter().find(|found| found.host.host == row.owner);
        match found {
            // The check fails if the owner has renewed its lease since the host rows were read.
            Some(found) if found.host.incarnation == row.incarnation => (found.unchanged_for
                >= expiry_bound)
                .then(|| owner_check(hosts, row, Some(found.version))),
            // A replaced incarnation cannot renew its lease, but without fencing its last lease must expire first.
            Some(_) => {
                let has_expired = absent_for
                    >= Some(if fencing == Fencing::Epoch { Duration::ZERO } else { expiry_bound });
                has_expired.then(Vec::new)
            }
            None => (absent_for >= Some(expiry_bound)).then(|| owner_check(hosts, row, None)),
        }
    }

    /// Returns the checks of the claim once the row has been claimable for the delay and `not_before` has passed.
    pub fn poll_claim(
        &mut self,
        now: Instant,
        conditions: Option<ClaimConditions>,
    ) -> Option<Vec<Check>> {
        let version = self.row.as_ref().map(|(_, version)| *version);
        let Some(conditions) = conditions else {
            self.claimable_since = None;
            return None;
        };
        let since = match self.claimable_since {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        self.claimable_since = Some((version, since));
        let is_due =
            now >= since + conditions.delay && self.not_before.is_none_or(|from| now >= from);
        is_due.then_some(conditions.checks)
    }
}

fn owner_check(hosts: &HostRows, row: &ShardRow, version: Option<Version>) -> Vec<Check> {
    vec![Check { key: host::row_key(&hosts.data_centre, &row.owner), version }]
}
