//! One round of placement: the workers that may take tasks, with what the choice between them needs.
//!
//! A round looks at every worker for each task, so what it needs lies in one list instead of behind lookups by name.

use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::session::{Session, WorkerKey};

/// A worker that may take tasks.
pub(super) struct Slot {
    pub(super) key: WorkerKey,
    /// Life of the worker.
    pub(super) life: u64,
    pub(super) capacity: Size,
    /// What is not booked.
    pub(super) free: Size,
    /// Whether room is kept there for some stage.
    pub(super) reserved: bool,
    /// Whether runs failed there lately.
    pub(super) avoided: bool,
    /// Whether a run there serves under a latency target.
    pub(super) serves: bool,
    /// Whether a run there uses left-over processor time.
    pub(super) fills: bool,
}

impl Slot {
    pub(super) fn new(key: &WorkerKey, session: &Session, now: Uptime) -> Slot {
        Slot {
            key: Rc::clone(key),
            life: session.life,
            capacity: session.registration.capacity,
            free: session.free(),
            reserved: session.reservations.iter().any(|kept| kept.until > now),
            avoided: session.avoid_until > now,
            serves: session.placements.values().any(|run| run.target.is_some()),
            fills: session.placements.values().any(|run| run.fills),
        }
    }

    /// A task of the stage was booked there.
    pub(super) fn book(&mut self, demand: &Demand) {
        let step = demand.step();
        self.free = self.free.minus(&step.booking());
        self.serves |= step.latency_target > Duration::ZERO;
        self.fills |= step.best_effort;
    }
}

/// State of a round.
#[derive(Default)]
pub(super) struct Round {
    /// Workers by pool.
    slots: BTreeMap<String, Vec<Slot>>,
    /// Stages tried without success, by pool.
    failures: BTreeMap<String, u32>,
    pub(super) preemptions: u32,
    /// What teams may have running out of sight after a take-over.
    pub(super) uncertain: BTreeMap<Rc<str>, Size>,
}

impl Round {
    pub(super) fn new(uncertain: BTreeMap<Rc<str>, Size>) -> Round {
        Round { uncertain, ..Round::default() }
    }

    pub(super) fn add(&mut self, pool: &str, slot: Slot) {
        match self.slots.get_mut(pool) {
            Some(slots) => slots.push(slot),
            None => drop(self.slots.insert(pool.to_owned(), vec![slot])),
        }
    }

    /// Takes the workers of a pool out, for the time in which one stage is placed.
    pub(super) fn take_slots(&mut self, pool: &str) -> Vec<Slot> {
        self.slots.get_mut(pool).map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn put_slots(&mut self, pool: &str, taken: Vec<Slot>) {
        if let Some(slots) = self.slots.get_mut(pool) {
            *slots = taken;
        }
    }

    /// Stages of the pool that were tried without success.
    pub(super) fn failures(&self, pool: &str) -> u32 {
        self.failures.get(pool).copied().unwrap_or_default()
    }

    pub(super) fn add_failure(&mut self, pool: &str) {
        match self.failures.get_mut(pool) {
            Some(failures) => *failures += 1,
            None => drop(self.failures.insert(pool.to_owned(), 1)),
        }
    }
}
