//! Speed of an approval service relative to the durations that it announces.
//!
//! Pattern: the service is shared with other callers, or slower than announced. Callers that give up too early ask again,
//! while the service still handles the abandoned calls. Beyond some load every answer comes too late, and this state
//! does not end with the load.

use std::time::Duration;

/// Weight of the newest answer when the service becomes slower.
const RISE_WEIGHT: f64 = 0.5;

/// Weight of the newest answer when the service becomes faster. Short calls between long ones look fast.
const FALL_WEIGHT: f64 = 0.3;

/// Part of an answer's time that is due to the network and to busy hosts.
const DELAY: Duration = Duration::from_millis(20);

/// Upper bound of the factor.
const FACTOR_MAX: f64 = 200.0;

/// Upper bound of an expected time. A call that takes longer is as good as lost.
const EXPECTED_MAX: Duration = Duration::from_secs(10);

/// Estimated ratio of the time that a service takes to the time that it announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f64);

impl Default for Pace {
    /// Returns the pace of a service that is as fast as announced.
    fn default() -> Pace {
        Pace(1.0)
    }
}

impl Pace {
    /// Returns the ratio, between 1 and 200.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Returns the time that a call with an announced duration is expected to take, at most 10 s.
    pub fn expected(self, announced: Duration) -> Duration {
        let seconds = announced.as_secs_f64() * self.0;
        Duration::try_from_secs_f64(seconds).unwrap_or(EXPECTED_MAX).min(EXPECTED_MAX)
    }

    /// Takes the answer to a call into account. `taken` begins when the service could begin with the call.
    pub fn record(&mut self, announced: Duration, taken: Duration) {
        let announced = announced.as_secs_f64().max(1e-3);
        let ratio = taken.saturating_sub(DELAY).as_secs_f64() / announced;
        let difference = ratio.clamp(1.0, FACTOR_MAX) - self.0;
        self.0 += difference * if difference > 0.0 { RISE_WEIGHT } else { FALL_WEIGHT };
    }

    /// Takes into account that a call was never answered, although the service was given ample time.
    pub fn record_silence(&mut self) {
        self.0 = (self.0 * 2.0).min(FACTOR_MAX);
    }
}
