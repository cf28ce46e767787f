//! Room that long tasks leave to urgent short ones.
//!
//! Pattern: bursts of short urgent jobs on a pool that long tasks fill. Without headroom, a long task takes the room of
//! each short one that ends, and the next urgent job has to preempt. Stopping a run can take longer than the urgent task
//! itself, and its work is lost.

use std::time::Duration;

use shallotpost_protocol::size::Size;

/// Time after which the remembered peak has fallen to 1/e.
const DECAY: Duration = Duration::from_secs(12);

/// Maximum share of the pool's capacity that is kept free.
const CAPACITY_SHARE_MAX: f64 = 0.3;

/// Weight of the newest task in the mean size of urgent tasks.
const SIZE_WEIGHT: f64 = 0.05;

/// Recent use of one pool by urgent tasks.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// Decaying maximum of the processors that urgent tasks used at the same time, in thousandths.
    peak_milli: f64,
    updated: Duration,
    /// Processors that urgent tasks use now, in thousandths.
    used_milli: u64,
    /// Mean processors of an urgent task, in thousandths.
    mean_milli: f64,
}

impl Headroom {
    /// Records that an urgent task of this size was placed at a time since the start.
    pub fn placed(&mut self, size: &Size, now: Duration) {
        self.used_milli += size.processors_milli;
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.peak_milli *= (-elapsed / DECAY.as_secs_f64()).exp();
        self.peak_milli = self.peak_milli.max(self.used_milli as f64);
        self.updated = now;
        let weight = if self.mean_milli == 0.0 { 1.0 } else { SIZE_WEIGHT };
        self.mean_milli += (size.processors_milli as f64 - self.mean_milli) * weight;
    }

    /// Records that an urgent task of this size has ended.
    pub fn ended(&mut self, size: &Size) {
        self.used_milli = self.used_milli.saturating_sub(size.processors_milli);
    }

    /// Returns the processors that long tasks must leave free on a pool of this capacity, in thousandths.
    pub fn kept_milli(&self, capacity_milli: u64, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let peak = self.peak_milli * (-elapsed / DECAY.as_secs_f64()).exp();
        let kept = (peak - self.used_milli as f64).max(0.0);
        kept.min(capacity_milli as f64 * CAPACITY_SHARE_MAX) as u64
    }

    /// Returns whether this much free capacity on one worker is of use to an urgent task of mean size.
    pub fn is_usable(&self, free: &Size) -> bool {
        free.processors_milli as f64 >= self.mean_milli
    }
}
