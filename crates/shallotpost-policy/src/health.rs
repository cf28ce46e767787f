//! Worker health: quarantine after repeated failures, then probing with one task at a time.

use std::time::{Duration, Instant};

use crate::queue::TaskKey;

/// Maximum number of times that the quarantine duration doubles.
const DOUBLINGS_MAX: u32 = 6;

/// Number of distinct workers on which work must fail before it counts as faulty. Few workers fail every task, and work
/// is kept off workers on which it failed, so healthy work rarely fails on that many.
pub(crate) const FAULTY_WORK_WORKERS_MIN: usize = 3;

/// Whether a worker may get tasks, as far as its health is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthState {
    #[default]
    Healthy,
    /// The worker gets no tasks until the given time.
    Quarantined { until: Instant },
    /// The worker gets one task at a time, as a probe.
    Probing { task: Option<TaskKey> },
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: HealthState,
    /// Work that failed since the last success, as sequence number and slot. Each job counts once.
    pub(crate) failures: Vec<(u64, usize)>,
    /// Number of quarantines since the last success.
    pub(crate) quarantine_count: u32,
}

impl Health {
    /// Returns whether the worker is quarantined or probing.
    pub(crate) fn is_restricted(&self) -> bool {
        self.state != HealthState::Healthy
    }

    /// Records a successful task, which clears all failures.
    pub(crate) fn record_success(&mut self) {
        *self = Health::default();
    }

    pub(crate) fn record_failure(&mut self, work: (u64, usize)) {
        if !self.failures.contains(&work) {
            self.failures.push(work);
        }
    }

    /// Starts a quarantine and returns its end. The duration is `first`, doubled for each quarantine since the last
    /// success.
    pub(crate) fn quarantine(&mut self, now: Instant, first: Duration) -> Instant {
        let length = first.saturating_mul(1 << self.quarantine_count.min(DOUBLINGS_MAX));
        let until = now + length;
        self.quarantine_count += 1;
        self.state = HealthState::Quarantined { until };
        until
    }
}
