//! Bounds on the age of what a host has read from the store, and the waits of feeds that keep within them.

use crate::prelude::*;
use crate::watch::LATE_AFTER;

/// Time by which the settings are known to be current before their bound is reached.
const SETTINGS_MARGIN: Duration = Duration::from_millis(100);

/// Time by which changes are known to the owner before their bound is reached. Their age counts from the owner's last
/// commit, which is up to 400 ms old.
const OWNER_MARGIN: Duration = Duration::from_millis(500);

/// Time for a call on another path, and for one more if it is lost too.
const RECOVERY: Duration = Duration::from_millis(400);

/// Minimum time for which the store waits for a change.
const FEED_WAIT_MIN: Duration = Duration::from_millis(200);

/// Times within which a change that the store has accepted must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Bound for the operator's settings.
    pub settings: Duration,
    /// Bound for a worker's announcement that it drains.
    pub drains: Duration,
    /// Bound for the cancellation of a job.
    pub cancellations: Duration,
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness {
            settings: Duration::from_secs(2),
            drains: Duration::from_secs(2),
            cancellations: Duration::from_secs(3),
        }
    }
}

impl Freshness {
    /// Returns the age of the settings beyond which a host does not decide by them.
    pub(super) fn settings_age_max(&self) -> Duration {
        self.settings.saturating_sub(SETTINGS_MARGIN)
    }

    /// Returns the age of the registry, at the owner's last commit, beyond which no task starts.
    pub(super) fn registry_age_max(&self) -> Duration {
        self.drains.saturating_sub(OWNER_MARGIN)
    }

    /// Returns the age of the jobs, at the owner's last commit, beyond which no task starts.
    pub(super) fn jobs_age_max(&self) -> Duration {
        self.cancellations.saturating_sub(OWNER_MARGIN)
    }
}

/// Returns the time for which a feed waits so that its content stays younger than `age_max` if one call is lost. `pause`
/// is the time between an answer and the next call.
pub(super) fn feed_wait(age_max: Duration, pause: Duration, wait_max: Duration) -> Duration {
    let lost = pause + LATE_AFTER + RECOVERY;
    age_max.saturating_sub(lost).clamp(FEED_WAIT_MIN, wait_max)
}
