//! Retries of failed calls: a retry budget, exponential backoff and jitter.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::prelude::*;

/// Retries added to the budget by each successful call.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Retries added to the budget per second regardless of successes, so that a caller recovers after a long outage.
pub const RETRIES_PER_SECOND: f64 = 1.0;

pub const RETRY_BUDGET_MAX: f64 = 10.0;

/// Backoff before the first retry, before jitter.
pub const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Maximum backoff. Shorter than the ownership lease, so that one lost retry does not let the lease expire.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Decides when a failed call may be retried.
#[derive(Debug)]
pub struct Retry {
    random: StdRng,
    budget: f64,
    refilled_at: Option<Instant>,
    failures: u32,
}

impl Retry {
    /// Creates a state with a full budget. `seed` determines the jitter.
    pub fn new(seed: u64) -> Retry {
        Retry {
            random: StdRng::seed_from_u64(seed),
            budget: RETRY_BUDGET_MAX,
            refilled_at: None,
            failures: 0,
        }
    }

    pub fn record_success(&mut self) {
        self.failures = 0;
        self.budget = (self.budget + RETRIES_PER_SUCCESS).min(RETRY_BUDGET_MAX);
    }

    /// Records a failed call, charges its retry to the budget, and returns the earliest time of the retry.
    pub fn record_failure(&mut self, now: Instant) -> Instant {
        self.refill(now);
        let backoff = self.backoff();
        self.failures = self.failures.saturating_add(1);
        self.budget -= 1.0;
        let deficit = (-self.budget).max(0.0) / RETRIES_PER_SECOND;
        now + backoff.max(Duration::from_secs_f64(deficit))
    }

    pub fn consecutive_failures(&self) -> u32 {
        self.failures
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |since| now.duration_since(since));
        self.refilled_at = Some(now);
        let earned = elapsed.as_secs_f64() * RETRIES_PER_SECOND;
        self.budget = (self.budget + earned).min(RETRY_BUDGET_MAX);
    }

    /// Returns half of the exponential backoff plus a random part of the other half, so that callers that failed
    /// together do not retry together.
    fn backoff(&mut self) -> Duration {
        let exponent = self.failures.min(16);
        let full = BACKOFF_MIN.saturating_mul(1 << exponent).min(BACKOFF_MAX);
        full.mul_f64(self.random.random_range(0.5..1.0))
    }
}
