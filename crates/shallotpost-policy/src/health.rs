//! Health of workers: quarantine of those that fail everything, then a probe with one task at a time.

use std::time::{Duration, Instant};

use crate::queue::Key;

/// Most doublings of the quarantine.
const DOUBLINGS_MAX: u32 = 6;

/// Distinct workers on which work must fail before it counts as faulty itself. Few workers fail everything, and work is
/// kept off workers where it failed, so sound work seldom meets that many of them.
pub(crate) const FAULTY_WORKERS: usize = 3;

/// Whether a worker may get tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// It may.
    #[default]
    Good,
    /// It may not, until the time.
    Quarantined { until: Instant },
    /// It may get one task at a time; the task is the probe.
    Probing { task: Option<Key> },
}

/// Record of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Work that failed since the last success, as sequence and slot; each work counts once.
    pub(crate) failures: Vec<(u64, usize)>,
    /// Quarantines since the last success.
    pub(crate) repeats: u32,
}

impl Health {
    /// Whether it gets no task, or at most one.
    pub(crate) fn is_restricted(&self) -> bool {
        self.state != State::Good
    }

    /// Takes note of a success.
    pub(crate) fn succeed(&mut self) {
        *self = Health::default();
    }

    /// Takes note of failed work.
    pub(crate) fn fail(&mut self, work: (u64, usize)) {
        if !self.failures.contains(&work) {
            self.failures.push(work);
        }
    }

    /// Starts a quarantine of `first` times two to the number of earlier ones.
    pub(crate) fn quarantine(&mut self, now: Instant, first: Duration) -> Instant {
        let length = first.saturating_mul(1 << self.repeats.min(DOUBLINGS_MAX));
        let until = now + length;
        self.repeats += 1;
        self.state = State::Quarantined { until };
        until
    }
}
