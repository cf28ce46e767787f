//! Choice of the workers that a call to an approval service names.
//!
//! Pattern: a burst of jobs whose tasks run only on approved workers. A call takes longer with each worker that it names,
//! and the service handles one call at a time for each caller. A call that names too many workers delays its own stage
//! and those behind it; one that names too few has to be repeated.

use std::time::Duration;

/// Approved capacity that a call should yield, relative to the capacity that is needed. Other stages may take part of it
/// while the call is in progress.
const CAPACITY_FACTOR: f64 = 1.6;

/// Share of the fixed duration of a call that may be added for workers beyond those that are needed.
const SPARE_SHARE: f64 = 0.4;

/// Minimum number of workers that a call names, as far as there are so many.
const NAMED_MIN: usize = 4;

/// Weight of the newest call in the estimate of a service's approval rate.
const RATE_WEIGHT: f64 = 0.1;

/// Lower bound of the estimated rate, so that one unlucky call does not make the next ones name all workers.
const RATE_MIN: f64 = 0.1;

/// Estimated share of the named workers that the service approves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate(f64);

impl Default for Rate {
    /// Returns the estimate before the first call.
    fn default() -> Rate {
        Rate(0.5)
    }
}

impl Rate {
    /// Returns the estimate, between 0.1 and 1.
    pub fn share(self) -> f64 {
        self.0.clamp(RATE_MIN, 1.0)
    }

    /// Takes the answer to a call into account.
    pub fn record(&mut self, named: usize, approved: usize) {
        if named > 0 {
            let share = approved as f64 / named as f64;
            self.0 += (share - self.0) * RATE_WEIGHT;
        }
    }
}

/// Duration of a call: a fixed part, and a part for each worker that it names.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub per_call: Duration,
    pub per_worker: Duration,
}

/// A worker that a call may name.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Number of tasks that fit.
    pub tasks: u64,
    /// Whether the service has approved it for the stage before. Its decision does not change; only the ticket expires.
    pub approved: bool,
}

/// Returns how many of the workers to name so that the approved ones are likely to have room for `tasks` tasks, in the
/// order in which the workers are named.
pub fn workers_to_name(
    tasks: u64,
    candidates: impl Iterator<Item = Candidate>,
    rate: Rate,
    cost: Cost,
) -> usize {
    let needed = tasks as f64 * CAPACITY_FACTOR;
    let spare = match cost.per_worker.is_zero() {
        true => usize::MAX,
        false => {
            (cost.per_call.as_secs_f64() * SPARE_SHARE / cost.per_worker.as_secs_f64()) as usize
        }
    };
    let (mut named, mut room) = (0, 0.0);
    for candidate in candidates {
        if room >= needed && named >= spare.max(NAMED_MIN) {
            break;
        }
        room += candidate.tasks as f64 * if candidate.approved { 1.0 } else { rate.share() };
        named += 1;
    }
    named
}
