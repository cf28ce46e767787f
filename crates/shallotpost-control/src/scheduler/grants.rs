//! Splits each team's fleet-wide cap into grants of the shards.
//!
//! The row `caps/<team>` holds the cap and one grant per shard. A shard changes only its own grant, by a write that is
//! conditional on the row's version. A shard whose demand exceeds its grant also records the unmet rest, so that shards
//! above their fair share can yield. Each amount of a [`Size`] is handled separately.

use std::collections::{BTreeMap, VecDeque};

use shallotpost_protocol::table::Version;

use crate::configuration::cap::CapRow;
use crate::message::WriteFailure;
use crate::prelude::*;

/// Time for which part of a grant must be unused before the grant is lowered, and for which a raised grant is kept even
/// if other shards have unmet demand.
pub const HYSTERESIS: Duration = Duration::from_secs(5);

/// Interval that one sample of the recent demand covers.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of amounts in a [`Size`].
const AMOUNTS: usize = 4;

const UNLIMITED: u64 = u64::MAX;

/// What a shard uses and needs of a team's cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Size of the tasks that are booked and not confirmed as ended.
    pub booked: Size,
    /// Total size of the waiting tasks.
    pub waiting: Size,
    /// Largest waiting task, or gang, for each amount.
    pub largest: Size,
    /// Maximum that the shard can use, such as the capacity of its workers.
    pub target: Size,
}

/// Conditional write of a cap row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantWrite {
    /// Version that the row must have; zero if it must not exist.
    pub version: Version,
    /// New value of the row.
    pub row: CapRow,
}

/// Next step of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Write to send. The caller passes its outcome to [`GrantState::record_write_result`].
    pub write: Option<GrantWrite>,
    /// Maximum that may be booked. Tasks booked beyond it may keep running, but no task may start.
    pub limit: Size,
    /// Size of the running tasks that must stop so that the grants fit in a lowered cap.
    pub stop: Size,
}

/// A write whose outcome is not known yet.
#[derive(Debug)]
struct Pending {
    write: GrantWrite,
    state: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The write is queued or sent.
    Open,
    /// The write may have taken effect; the row must be read.
    Unknown,
    /// The write had not taken effect when the row was read, but still may. Only the same write may follow it.
    Repeat,
}

/// Grant of one team to one shard. Call [`GrantState::plan`] after each change of the demand and before starting tasks.
#[derive(Debug)]
pub struct GrantState {
    shard: Shard,
    row: Option<(CapRow, Version)>,
    pending: Option<Pending>,
    /// Whether the row must be read before the next write.
    stale: bool,
    recent: Recent,
    /// Time of the last raise of each amount.
    raised: [Instant; AMOUNTS],
    yield_until: Option<Instant>,
}

impl GrantState {
    /// Creates the state for a shard that this host acquired at `now`. Nothing may be started before the row is read.
    pub fn new(shard: Shard, now: Instant) -> GrantState {
        GrantState {
            shard,
            row: None,
            pending: None,
            stale: true,
            recent: Recent::default(),
            raised: [now; AMOUNTS],
            yield_until: None,
        }
    }

    /// Records the result of a read that was sent after the outcome of the last write was known.
    pub fn record_row(&mut self, row: CapRow, version: Version) {
        if self.row.as_ref().is_some_and(|(_, known)| version < *known) {
            return;
        }
        self.pending
            .take_if(|pending| pending.state != Outcome::Open && version > pending.write.version);
        if let Some(pending) = self.pending.as_mut().filter(|it| it.state == Outcome::Unknown) {
            pending.state = Outcome::Repeat;
        }
        self.row = Some((row, version));
        self.stale = false;
    }

    pub fn record_write_result(&mut self, result: Result<(), &WriteFailure>) {
        match result {
            Ok(()) => {
                let Some(GrantWrite { version, row }) = self.pending.take().map(|it| it.write)
                else {
                    return;
                };
                if self.row.as_ref().is_none_or(|(_, known)| *known <= version) {
                    self.row = Some((row, version + 1));
                }
            }
            Err(WriteFailure::Unknown) => {
                self.stale = true;
                if let Some(pending) = &mut self.pending {
                    pending.state = Outcome::Unknown;
                }
            }
            Err(WriteFailure::Overloaded | WriteFailure::Expired) => self.pending = None,
            Err(WriteFailure::Conflict(_)) => {
                self.pending = None;
                self.stale = true;
                // The row may have been deleted and created again, with versions from 1.
                if let Some((_, version)) = &mut self.row {
                    *version = 0;
                }
            }
        }
    }

    /// Returns the row as last read or written; `None` before the first read.
    pub fn row(&self) -> Option<&CapRow> {
        self.row.as_ref().map(|(row, _)| row)
    }

    /// Returns whether the row must be read before the next write.
    pub fn needs_read(&self) -> bool {
        self.stale
    }

    /// Computes the next step. The demand must include every task that may run, so a new owner calls this only once the
    /// tasks of its workers are known.
    pub fn plan(&mut self, now: Instant, demand: &Demand) -> Plan {
        let need = demand.need();
        let target = demand.with_headroom(need);
        self.recent.add(now, demand.booked, target);
        let Some((row, version)) = &self.row else {
            return Plan { write: None, limit: Size::ZERO, stop: Size::ZERO };
        };
        let amounts: [Amounts; AMOUNTS] =
            std::array::from_fn(|index| amounts(row, &self.shard, index));
        let step = Step {
            demand,
            need,
            target,
            recent: self.recent.peaks(),
            may_lower: self.raised.map(|raised| now >= raised + HYSTERESIS),
            yields: self.yield_until.is_some_and(|until| now < until),
            fair: Size::from_parts(amounts.map(|amounts| amounts.fair)),
            available: Size::from_parts(amounts.map(|amounts| amounts.available())),
        };
        let next: [Next; AMOUNTS] = std::array::from_fn(|index| step.next(&amounts[index], index));
        let own = row.grant(&self.shard);
        let grant = Size::from_parts(next.map(|next| next.grant));
        let unmet = Size::from_parts(next.map(|next| next.unmet));
        let stop = Size::from_parts(next.map(|next| next.stop));
        if next.iter().any(|next| next.yielded) {
            self.yield_until = Some(now + HYSTERESIS);
        }
        let planned = with_own(row, &self.shard, grant, unmet);
        let planned_write =
            (planned != *row).then_some(GrantWrite { version: *version, row: planned });
        let write = self.issue(planned_write);
        if write.is_some() {
            let rises = |index: usize| grant.parts()[index] > own.parts()[index];
            (0..AMOUNTS).filter(|index| rises(*index)).for_each(|index| self.raised[index] = now);
        }
        let mut limit = own.min(&grant);
        if let Some(pending) = &self.pending {
            limit = limit.min(&pending.write.row.grant(&self.shard));
        }
        Plan { write, limit, stop }
    }

    /// Returns the write to send now: the pending one again, the given one, or none.
    fn issue(&mut self, write: Option<GrantWrite>) -> Option<GrantWrite> {
        if self.stale {
            return None;
        }
        match &mut self.pending {
            Some(pending) if pending.state == Outcome::Repeat => {
                pending.state = Outcome::Open;
                Some(pending.write.clone())
            }
            Some(_) => None,
            None => {
                let pending = |write| Pending { write, state: Outcome::Open };
                self.pending = write.clone().map(pending);
                write
            }
        }
    }
}

impl Demand {
    /// Size that the shard could use immediately.
    fn need(&self) -> Size {
        self.booked.plus(&self.waiting).min(&self.target.max(&self.booked))
    }

    fn with_headroom(&self, need: Size) -> Size {
        let half = Size::from_parts(need.parts().map(|amount| amount / 2));
        need.plus(&half.max(&self.largest)).min(&self.target.max(&self.booked))
    }
}

/// One amount of a cap row from the view of one shard.
#[derive(Clone, Copy, Debug)]
struct Amounts {
    cap: u64,
    own: u64,
    /// Sum of the other grants.
    others: u128,
    /// Own max-min fair share of the cap over all granted and unmet amounts.
    fair: u64,
    /// Whether another shard has unmet demand.
    contended: bool,
}

impl Amounts {
    /// Largest own grant that keeps all grants within the cap.
    fn available(&self) -> u64 {
        match self.cap {
            UNLIMITED => UNLIMITED,
            cap => u64::try_from(u128::from(cap).saturating_sub(self.others)).unwrap_or(cap),
        }
    }
}

/// Returns one amount of a cap row from the view of `shard`.
fn amounts(row: &CapRow, shard: &Shard, index: usize) -> Amounts {
    let amount = |sizes: &BTreeMap<Shard, Size>, shard: &Shard| {
        sizes.get(shard).map_or(0, |size| size.parts()[index])
    };
    let others = || row.grants.keys().chain(row.unmet.keys()).filter(|other| *other != shard);
    let mut wants: BTreeMap<&Shard, u64> = BTreeMap::new();
    for other in row.grants.keys().chain(row.unmet.keys()).chain([shard]) {
        let want = amount(&row.grants, other).saturating_add(amount(&row.unmet, other));
        wants.insert(other, want);
    }
    let cap = row.cap.parts()[index];
    let granted = row.grants.iter().filter(|(other, _)| *other != shard);
    Amounts {
        cap,
        own: amount(&row.grants, shard),
        others: granted.map(|(_, size)| u128::from(size.parts()[index])).sum(),
        fair: fair_part(cap, &wants, shard),
        contended: cap != UNLIMITED && others().any(|other| amount(&row.unmet, other) > 0),
    }
}

/// Next state of one amount.
#[derive(Clone, Copy, Debug)]
struct Next {
    grant: u64,
    unmet: u64,
    stop: u64,
    /// Whether the grant is lowered because other shards have unmet demand.
    yielded: bool,
}

/// Input for computing the next state of all amounts.
struct Step<'a> {
    demand: &'a Demand,
    need: Size,
    target: Size,
    /// Highest booked size and target within the last [`HYSTERESIS`].
    recent: (Size, Size),
    /// Whether each amount was last raised at least [`HYSTERESIS`] ago.
    may_lower: [bool; AMOUNTS],
    /// Whether the shard has just yielded and leaves the available part of the cap to others.
    yields: bool,
    fair: Size,
    available: Size,
}

impl Step<'_> {
    fn next(&self, amounts: &Amounts, index: usize) -> Next {
        let part = |size: &Size| size.parts()[index];
        let (booked, need) = (part(&self.demand.booked), part(&self.need));
        let Amounts { cap, own, others, fair, .. } = *amounts;
        if cap == UNLIMITED {
            let grant = if need > 0 || own > 0 { UNLIMITED } else { 0 };
            return Next { grant, unmet: 0, stop: 0, yielded: false };
        }
        let unmet = |grant: u64| match need.saturating_sub(grant).min(cap) {
            0 => 0,
            missing => missing.checked_next_power_of_two().unwrap_or(cap),
        };
        let available = amounts.available();
        if own > available {
            let grant = own.min(booked.max(fair.min(need)));
            let excess = (others + u128::from(grant)).saturating_sub(u128::from(cap));
            let excess = u64::try_from(excess).unwrap_or(UNLIMITED);
            let stop = booked.saturating_sub(fair).min(excess);
            return Next { grant, unmet: unmet(grant), stop, yielded: false };
        }
        let raised = self.raised(amounts, index).min(available).max(own);
        let lowered = self.lowered(amounts, index);
        let grant = if raised > own { raised } else { lowered.min(own) };
        let yielded = amounts.contended && grant < own;
        // A shard that was the only one has tasks without a grant when the cap becomes split.
        let stop = booked.saturating_sub(available);
        Next { grant, unmet: unmet(grant), stop, yielded }
    }

    /// Returns the grant that the shard requests if it needs more than it has.
    fn raised(&self, amounts: &Amounts, index: usize) -> u64 {
        let part = |size: &Size| size.parts()[index];
        let need = part(&self.need);
        if need <= amounts.own {
            return amounts.own;
        }
        if !amounts.contended {
            return part(&self.target);
        }
        if self.yields {
            return amounts.own;
        }
        // A fair share smaller than one task would never be usable.
        let first =
            self.demand.booked == Size::ZERO && self.demand.largest.fits_in(&self.available);
        let first_task = if first { part(&self.demand.largest) } else { 0 };
        need.min(amounts.fair.max(first_task))
    }

    /// Returns the grant that the shard keeps if it cannot or need not raise it.
    fn lowered(&self, amounts: &Amounts, index: usize) -> u64 {
        let part = |size: &Size| size.parts()[index];
        let (recent_booked, recent_target) = self.recent;
        if !self.may_lower[index] {
            return amounts.own;
        }
        if !amounts.contended {
            return part(&recent_target);
        }
        let booked = part(&self.demand.booked);
        if amounts.own <= amounts.fair {
            return part(&recent_booked).max(booked);
        }
        // If no further task fits in the fair share, the unused rest is left to the other shards.
        let fits = self.demand.booked.plus(&self.demand.largest).fits_in(&self.fair);
        let kept = if fits { amounts.fair } else { 0 };
        kept.max(booked)
    }
}

/// Booked sizes and targets of the last [`HYSTERESIS`].
#[derive(Debug, Default)]
struct Recent {
    /// Peaks of each [`SAMPLE_INTERVAL`] with the time at which it began, oldest first.
    samples: VecDeque<(Instant, Size, Size)>,
}

impl Recent {
    fn add(&mut self, now: Instant, booked: Size, target: Size) {
        match self.samples.back_mut() {
            Some((from, peak_booked, peak_target)) if now < *from + SAMPLE_INTERVAL => {
                *peak_booked = peak_booked.max(&booked);
                *peak_target = peak_target.max(&target);
            }
            _ => self.samples.push_back((now, booked, target)),
        }
        let expired = |(from, _, _): &(Instant, Size, Size)| now >= *from + HYSTERESIS;
        while self.samples.front().is_some_and(expired) && self.samples.len() > 1 {
            self.samples.pop_front();
        }
    }

    fn peaks(&self) -> (Size, Size) {
        let peak = |(booked, target): (Size, Size), (_, other, wanted): &(Instant, Size, Size)| {
            (booked.max(other), target.max(wanted))
        };
        self.samples.iter().fold((Size::ZERO, Size::ZERO), peak)
    }
}

/// Returns the row with the grant and the unmet demand of one shard replaced.
fn with_own(row: &CapRow, shard: &Shard, grant: Size, unmet: Size) -> CapRow {
    let mut row = row.clone();
    for (sizes, size) in [(&mut row.grants, grant), (&mut row.unmet, unmet)] {
        match size == Size::ZERO {
            true => sizes.remove(shard),
            false => sizes.insert(shard.clone(), size),
        };
    }
    row
}

/// Returns the max-min fair share of `shard`: each shard gets what it wants or an equal share of the rest. Units left by
/// the division go to the first shards in order, so the shares never exceed the cap in total.
fn fair_part(cap: u64, wants: &BTreeMap<&Shard, u64>, shard: &Shard) -> u64 {
    let mut ascending: Vec<u64> = wants.values().copied().collect();
    ascending.sort_unstable();
    let mut left = cap;
    for (index, want) in ascending.iter().enumerate() {
        let sharers = (ascending.len() - index) as u64;
        if *want > left / sharers {
            let level = left / sharers;
            let spare = usize::try_from(left % sharers).unwrap_or(0);
            let mut first = wants.iter().filter(|(_, want)| **want > level).take(spare);
            let extra = u64::from(first.any(|(other, _)| *other == shard));
            return wants.get(shard).map_or(0, |want| (*want).min(level + extra));
        }
        left -= want;
    }
    wants.get(shard).copied().unwrap_or(0)
}
