//! State of one shard at this host.

use shallotpost_protocol::host;
use shallotpost_protocol::table::{Check, Version};

use super::ShardRow;
use crate::membership::HostRows;
use crate::prelude::*;
use crate::settings::Fencing;

/// What this host does with the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Nothing; another host owns it or it waits to be claimed.
    #[default]
    Idle,
    /// A claim is queued or sent.
    Claiming { epoch: Epoch, tag: Tag },
    /// The outcome of a claim is unknown until the next read.
    Resolving { epoch: Epoch },
    /// This host owns it.
    Owned { epoch: Epoch },
    /// This host owns it and waits until the scheduler has stopped acting for it.
    HandingOver { epoch: Epoch, deadline: Instant },
    /// The release is queued or sent.
    Releasing { epoch: Epoch, tag: Tag },
}

impl Phase {
    /// Whether the scheduler acts for the shard.
    pub fn owns(&self) -> bool {
        matches!(self, Phase::Owned { .. } | Phase::HandingOver { .. })
    }

    /// Epoch under which this host acts.
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

    /// Tag of the open write.
    pub fn tag(&self) -> Option<Tag> {
        match *self {
            Phase::Claiming { tag, .. } | Phase::Releasing { tag, .. } => Some(tag),
            _ => None,
        }
    }
}

/// How the shard may be claimed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claimable {
    /// Conditions beside the version of the shard's row.
    pub checks: Vec<Check>,
    /// Delay that leaves the claim to preferred hosts.
    pub delay: Duration,
}

/// One shard.
#[derive(Debug, Default)]
pub struct ShardState {
    /// Its row with the version, as last read or written.
    pub row: Option<(ShardRow, Version)>,
    /// Highest epoch seen in the row or at a worker.
    pub highest: Epoch,
    /// What this host does with it.
    pub phase: Phase,
    /// Moment before which it is not claimed again.
    pub not_before: Option<Instant>,
    /// Moment at which the owner was first read in the row.
    owner_since: Option<Instant>,
    /// Moment since which the owner in the row has no host row or a replaced one.
    owner_gone: Option<Instant>,
    /// Moment since which the row at this version was claimable.
    claimable_since: Option<(Option<Version>, Instant)>,
}

impl ShardState {
    /// Replaces the row.
    pub fn set_row(&mut self, now: Instant, row: Option<(ShardRow, Version)>) {
        let owner = |row: &Option<(ShardRow, Version)>| {
            row.as_ref().map(|(row, _)| (row.owner.clone(), row.incarnation))
        };
        if owner(&row) != owner(&self.row) {
            self.owner_gone = None;
            self.owner_since = Some(now);
        }
        self.highest = self.highest.max(row.as_ref().map_or(0, |(row, _)| row.epoch));
        self.row = row;
    }

    /// Records whether the host rows still show the owner.
    pub fn record_owner(&mut self, now: Instant, hosts: &HostRows) {
        let Some((row, _)) = &self.row else { return };
        // Host rows read before the shard row can lack a host that has just joined and claimed.
        if self.owner_since.is_some_and(|since| hosts.scan_started < since) {
            return;
        }
        let shown = hosts
            .rows
            .iter()
            .any(|found| found.host.host == row.owner && found.host.incarnation == row.incarnation);
        match shown {
            true => self.owner_gone = None,
            false => {
                self.owner_gone.get_or_insert(now);
            }
        }
    }

    /// Conditions under which the shard may be claimed where its row shows another host or none, judged by the host rows.
    /// `lapse` is the time after which the owner's lease has surely lapsed.
    pub fn claimable(
        &self,
        hosts: &HostRows,
        fencing: Fencing,
        lapse: Duration,
    ) -> Option<Vec<Check>> {
        let Some((row, _)) = &self.row else { return Some(Vec::new()) };
        if row.released {
            return Some(Vec::new());
        }
        let gone = self.owner_gone.map(|since| hosts.scan_started.saturating_duration_since(since));
        let found = hosts.rows.iter().find(|found| found.host.host == row.owner);
        match found {
            // The check fails where the owner has renewed its lease since the host rows were read.
            Some(found) if found.host.incarnation == row.incarnation => {
                (found.unchanged_for >= lapse).then(|| owner_check(hosts, row, Some(found.version)))
            }
            // A replaced incarnation cannot renew its lease, but without fencing the last one must run out.
            Some(_) => {
                let over =
                    gone >= Some(if fencing == Fencing::Epoch { Duration::ZERO } else { lapse });
                over.then(Vec::new)
            }
            None => (gone >= Some(lapse)).then(|| owner_check(hosts, row, None)),
        }
    }

    /// Conditions of the claim once its delay has passed since the row became claimable.
    pub fn wait_for_turn(
        &mut self,
        now: Instant,
        claimable: Option<Claimable>,
    ) -> Option<Vec<Check>> {
        let version = self.row.as_ref().map(|(_, version)| *version);
        let Some(claimable) = claimable else {
            self.claimable_since = None;
            return None;
        };
        let since = match self.claimable_since {
            Some((known, since)) if known == version => since,
            _ => now,
        };
        self.claimable_since = Some((version, since));
        let due = now >= since + claimable.delay && self.not_before.is_none_or(|from| now >= from);
        due.then_some(claimable.checks)
    }
}

fn owner_check(hosts: &HostRows, row: &ShardRow, version: Option<Version>) -> Vec<Check> {
    vec![Check { key: host::row_key(&hosts.data_centre, &row.owner), version }]
}
