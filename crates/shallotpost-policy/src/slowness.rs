//! Detection of workers that run tasks slower than the others.
//!
//! Pattern: some workers turn slow for a while, although they answer and report good health. Tasks that are placed there
//! miss their objective, and those of gangs delay the other members. Estimates of durations are rough, so a worker is
//! compared with the other runs of the same queue, and one run alone counts little.

use std::time::Duration;

/// Weight of the newest run in the mean of a queue.
const QUEUE_WEIGHT: f64 = 0.02;

/// Weight of the newest run in the mean of a worker.
const WORKER_WEIGHT: f64 = 0.4;

/// Factor by which a worker's runs must take longer than the queue's mean so that the worker counts as slow.
const SLOW_FACTOR: f64 = 1.9;

/// Mean deviation of a queue up to which its runs count in full.
const TRUSTED_DEVIATION: f64 = 0.4;

/// Time after the last observation from which a worker no longer counts as slow.
const MEMORY: Duration = Duration::from_secs(4);

/// Logarithm of the limit of a single observation, so that one misjudged task does not condemn a worker.
const OBSERVATION_MAX: f64 = 1.8;

/// Mean and spread of the ratio of durations to estimates of one queue, as logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueSpeed {
    mean: f64,
    deviation: f64,
    known: bool,
}

impl QueueSpeed {
    /// Records a completed run, and returns by how much it was slower than the queue's mean. The result is a logarithm
    /// that is smaller the more the durations of the queue vary.
    pub fn observe(&mut self, estimate: Duration, duration: Duration) -> f64 {
        let ratio = (duration.as_secs_f64().max(1e-3) / estimate.as_secs_f64().max(1e-3)).ln();
        if !self.known {
            *self = QueueSpeed { mean: ratio, deviation: 0.5, known: true };
        }
        let difference = ratio - self.mean;
        self.mean += difference * QUEUE_WEIGHT;
        self.deviation += (difference.abs() - self.deviation) * QUEUE_WEIGHT;
        let trust = TRUSTED_DEVIATION / self.deviation.max(TRUSTED_DEVIATION);
        difference.clamp(-OBSERVATION_MAX, OBSERVATION_MAX) * trust
    }
}

/// Slowness of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    mean: f64,
    observed: Duration,
}

impl Slowness {
    /// Records a result of [`QueueSpeed::observe`] at a time since the start.
    pub fn record(&mut self, difference: f64, now: Duration) {
        if now.saturating_sub(self.observed) > MEMORY {
            self.mean = 0.0;
        }
        self.mean += (difference - self.mean) * WORKER_WEIGHT;
        self.observed = now;
    }

    /// Returns whether other workers are to be preferred at present.
    pub fn is_slow(&self, now: Duration) -> bool {
        self.mean > SLOW_FACTOR.ln() && now.saturating_sub(self.observed) <= MEMORY
    }
}
