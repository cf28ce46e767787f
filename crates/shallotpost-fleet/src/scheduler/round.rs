//! State of one placement round: the workers that accept tasks, with the data that the choice between them needs.
//!
//! A round examines every worker for each task, so this data is kept in one list instead of being looked up by name.

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::session::{Isolation, Session, WorkerKey};

/// A worker that accepts tasks, in its state at this point of the round.
pub(super) struct PoolWorker {
    pub(super) key: WorkerKey,
    pub(super) incarnation: u64,
    pub(super) capacity: Size,
    /// Capacity that is not booked.
    pub(super) free: Size,
    /// Whether a reservation for any stage is in force there.
    pub(super) reserved: bool,
    /// Whether suspect tasks run there.
    pub(super) on_trial: bool,
    /// Whether a suspect task has started there and nothing else may.
    pub(super) isolated: bool,
    /// The stage with a suspect task for which the worker is held.
    pub(super) held_for: Option<StageId>,
    /// Whether the worker is avoided because runs failed there or took too long.
    pub(super) avoided: bool,
    /// Whether any run there has a latency target.
    pub(super) has_latency_target: bool,
    /// Whether any run there is best effort.
    pub(super) has_best_effort: bool,
}

impl PoolWorker {
    pub(super) fn new(key: &WorkerKey, session: &Session, now: Uptime) -> PoolWorker {
        PoolWorker {
            key: Rc::clone(key),
            incarnation: session.incarnation,
            capacity: session.registration.capacity,
            free: session.free(),
            reserved: session.reservations.iter().any(|kept| kept.until > now),
            on_trial: matches!(
                session.isolation,
                Some(Isolation::Closed { .. } | Isolation::Observed { .. })
            ),
            isolated: matches!(session.isolation, Some(Isolation::Closed { .. })),
            held_for: match session.isolation {
                Some(Isolation::Held { stage, .. }) => Some(stage),
                Some(Isolation::Closed { .. } | Isolation::Observed { .. }) | None => None,
            },
            avoided: session.avoid_until > now || session.slowness.is_slow(now),
            has_latency_target: session.latency_targets > 0,
            has_best_effort: session.best_effort > 0,
        }
    }

    /// Returns whether tasks of the stage may start on the worker, as far as isolation is concerned.
    pub(super) fn is_open_to(&self, stage: StageId) -> bool {
        !self.isolated && self.held_for.is_none_or(|held_for| held_for == stage)
    }

    /// Records that a task of the stage was placed on the worker.
    pub(super) fn book(&mut self, demand: &Demand) {
        let step = demand.step();
        self.free = self.free.minus(&step.booking());
        self.has_latency_target |= step.latency_target > Duration::ZERO;
        self.has_best_effort |= step.best_effort;
    }
}

/// Stages of one pool that were tried without success.
#[derive(Default)]
struct Failures {
    count: u32,
    /// Bookings for which no worker had capacity, without those that contain another one.
    bookings: Vec<Size>,
}

#[derive(Default)]
pub(super) struct Round {
    workers: BTreeMap<String, Vec<PoolWorker>>,
    /// Stages tried without success, by pool.
    failures: BTreeMap<String, Failures>,
    /// Pools in which a stage waits for room that it may use, apart from stages that yield.
    claimed: BTreeSet<String>,
    /// Number of stages of each team whose quota allows no further task.
    capped: BTreeMap<Rc<str>, u32>,
    /// Resources for which stages of each team have tickets or ask for them.
    expected: BTreeMap<Rc<str>, Size>,
    pub(super) preemptions: u32,
    /// Pools in which a stage is served although it yields.
    starving: BTreeSet<String>,
    /// Resources that each team may use on workers that have not answered since the takeover.
    pub(super) uncertain: BTreeMap<Rc<str>, Size>,
}

impl Round {
    pub(super) fn new(uncertain: BTreeMap<Rc<str>, Size>) -> Round {
        Round { uncertain, ..Round::default() }
    }

    pub(super) fn add(&mut self, pool: &str, worker: PoolWorker) {
        match self.workers.get_mut(pool) {
            Some(workers) => workers.push(worker),
            None => drop(self.workers.insert(pool.to_owned(), vec![worker])),
        }
    }

    pub(super) fn workers(&self, pool: &str) -> &[PoolWorker] {
        self.workers.get(pool).map(Vec::as_slice).unwrap_or_default()
    }

    /// Removes the workers of a pool from the round while one stage is placed; `put_workers` puts them back.
    pub(super) fn take_workers(&mut self, pool: &str) -> Vec<PoolWorker> {
        self.workers.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn put_workers(&mut self, pool: &str, taken: Vec<PoolWorker>) {
        if let Some(workers) = self.workers.get_mut(pool) {
            *workers = taken;
        }
    }

    /// Returns the number of stages of the pool that were tried without success.
    pub(super) fn failures(&self, pool: &str) -> u32 {
        self.failures.get(pool).map_or(0, |failures| failures.count)
    }

    /// Returns whether a stage that does not yield waits for room in the pool.
    pub(super) fn is_claimed(&self, pool: &str) -> bool {
        self.claimed.contains(pool)
    }

    /// Records that a stage that does not yield waits for room in the pool.
    pub(super) fn claim(&mut self, pool: &str) {
        self.claimed.insert(pool.to_owned());
    }

    /// Counts a stage of a team whose quota allows no further task. Returns their number.
    pub(super) fn add_capped(&mut self, team: &Rc<str>) -> u32 {
        let capped = self.capped.entry(Rc::clone(team)).or_default();
        *capped += 1;
        *capped
    }

    /// Returns whether no stage of the pool has been served although it yields. One in each round may, so that these stages
    /// do not keep the approval service busy.
    pub(super) fn may_serve_starving(&self, pool: &str) -> bool {
        !self.starving.contains(pool)
    }

    /// Records that a stage of the pool is served although it yields. Returns `false` if another one was.
    pub(super) fn serve_starving(&mut self, pool: &str) -> bool {
        self.starving.insert(pool.to_owned())
    }

    /// Records that a stage of the team is expected to start tasks of this size soon.
    pub(super) fn expect(&mut self, team: &Rc<str>, size: &Size) {
        let expected = self.expected.entry(Rc::clone(team)).or_insert(Size::ZERO);
        *expected = expected.plus(size);
    }

    /// Returns the resources that stages of the team are expected to take soon.
    pub(super) fn expected(&self, team: &Rc<str>) -> Size {
        self.expected.get(team).copied().unwrap_or(Size::ZERO)
    }

    /// Records a stage that was tried without success, and its booking if no worker had capacity for it.
    pub(super) fn add_failure(&mut self, pool: &str, booking: Option<Size>) {
        if !self.failures.contains_key(pool) {
            self.failures.insert(pool.to_owned(), Failures::default());
        }
        let Some(failures) = self.failures.get_mut(pool) else { return };
        failures.count += 1;
        if let Some(booking) = booking
            && !failures.bookings.iter().any(|failed| failed.fits_in(&booking))
        {
            failures.bookings.retain(|failed| !booking.fits_in(failed));
            failures.bookings.push(booking);
        }
    }

    /// Returns whether no worker of the pool had capacity for a booking that is no larger.
    pub(super) fn is_known_to_fail(&self, pool: &str, booking: &Size) -> bool {
        let fails =
            |failures: &Failures| failures.bookings.iter().any(|failed| failed.fits_in(booking));
        self.failures.get(pool).is_some_and(fails)
    }
}
