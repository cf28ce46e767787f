//! Fault injection for a stand-in, controlled by `POST /fault` or by tests.

use serde::{Deserialize, Serialize};

/// A change to the injected faults. Absent fields keep their current value. A count of `u64::MAX` lasts until it is reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Closes connections without executing calls or answering them.
    pub down: Option<bool>,
    /// Delays each answer by this many milliseconds, after the call took effect.
    pub slow_ms: Option<u64>,
    /// Drops this many calls before they take effect.
    pub lose_before_effect: Option<u64>,
    /// Drops the answers of this many calls after they took effect.
    pub lose_after_effect: Option<u64>,
    /// Truncates this many answers in the middle of their body.
    pub truncate_answers: Option<u64>,
    /// Silences all connections that are open now, permanently. New connections work.
    pub silence_open_connections: Option<bool>,
    /// Platform: age of the worker list in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Worker: whether it reports that it is about to leave.
    pub leaving: Option<bool>,
    /// Worker: whether every task fails as soon as it starts.
    pub fails_everything: Option<bool>,
    /// Worker: whether it refuses calls with an old epoch.
    pub fencing: Option<bool>,
    /// Worker: loses all state, as after a crash.
    pub restart: Option<bool>,
}

/// The faults that are currently injected.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    down: bool,
    slow_ms: u64,
    lose_before_effect: u64,
    lose_after_effect: u64,
    truncate_answers: u64,
}

/// The faults that apply to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallFaults {
    pub dropped_before_effect: bool,
    /// Delay of the answer in milliseconds; 0 for none.
    pub slow_ms: u64,
    pub dropped_after_effect: bool,
    pub truncated: bool,
}

impl ActiveFaults {
    pub fn apply(&mut self, fault: &Fault) {
        self.down = fault.down.unwrap_or(self.down);
        self.slow_ms = fault.slow_ms.unwrap_or(self.slow_ms);
        self.lose_before_effect = fault.lose_before_effect.unwrap_or(self.lose_before_effect);
        self.lose_after_effect = fault.lose_after_effect.unwrap_or(self.lose_after_effect);
        self.truncate_answers = fault.truncate_answers.unwrap_or(self.truncate_answers);
    }

    /// Returns the faults for the next call and counts them down.
    pub fn next_call(&mut self) -> CallFaults {
        let dropped_before_effect = self.down || consume(&mut self.lose_before_effect);
        let dropped_after_effect = !dropped_before_effect && consume(&mut self.lose_after_effect);
        let truncated =
            !dropped_before_effect && !dropped_after_effect && consume(&mut self.truncate_answers);
        CallFaults { dropped_before_effect, slow_ms: self.slow_ms, dropped_after_effect, truncated }
    }
}

/// Returns whether `count` is positive, and decrements it unless it is `u64::MAX`.
fn consume(count: &mut u64) -> bool {
    let positive = *count > 0;
    if positive && *count < u64::MAX {
        *count -= 1;
    }
    positive
}
