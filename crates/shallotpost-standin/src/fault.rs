//! Fault switches of a stand-in, set by `POST /fault` or by tests.

use serde::{Deserialize, Serialize};

/// A change of fault switches; fields that are left out stay as they are. Counts of `u64::MAX` last until they are reset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Closes connections without an answer and without an effect.
    pub down: Option<bool>,
    /// Delays each answer by this many milliseconds, after the effect.
    pub slow_ms: Option<u64>,
    /// Loses this many calls before they take effect.
    pub lose_before_effect: Option<u64>,
    /// Loses this many answers after the calls took effect.
    pub lose_after_effect: Option<u64>,
    /// Cuts this many answers in the middle of their body.
    pub truncate_answers: Option<u64>,
    /// Makes all connections that are open now silent for ever. New ones work.
    pub silence_open_connections: Option<bool>,
    /// Platform: age of the worker list in milliseconds.
    pub list_lag_ms: Option<u64>,
    /// Worker: whether it is about to leave.
    pub leaving: Option<bool>,
    /// Worker: whether every task fails as soon as it starts.
    pub fails_everything: Option<bool>,
    /// Worker: whether calls with an old epoch are refused.
    pub fencing: Option<bool>,
    /// Worker: loses all state, as after a crash.
    pub restart: Option<bool>,
}

/// Fault switches in effect.
#[derive(Clone, Debug, Default)]
pub struct Switches {
    down: bool,
    slow_ms: u64,
    lose_before_effect: u64,
    lose_after_effect: u64,
    truncate_answers: u64,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Lost before the effect.
    pub lost_before: bool,
    /// Delay of the answer in milliseconds.
    pub slow_ms: u64,
    /// Lost after the effect.
    pub lost_after: bool,
    /// The answer is cut.
    pub truncated: bool,
}

impl Switches {
    /// Applies a change.
    pub fn set(&mut self, fault: &Fault) {
        self.down = fault.down.unwrap_or(self.down);
        self.slow_ms = fault.slow_ms.unwrap_or(self.slow_ms);
        self.lose_before_effect = fault.lose_before_effect.unwrap_or(self.lose_before_effect);
        self.lose_after_effect = fault.lose_after_effect.unwrap_or(self.lose_after_effect);
        self.truncate_answers = fault.truncate_answers.unwrap_or(self.truncate_answers);
    }

    /// Decides about the next call and counts it.
    pub fn decide(&mut self) -> Verdict {
        let lost_before = self.down || take(&mut self.lose_before_effect);
        let lost_after = !lost_before && take(&mut self.lose_after_effect);
        let truncated = !lost_before && !lost_after && take(&mut self.truncate_answers);
        Verdict { lost_before, slow_ms: self.slow_ms, lost_after, truncated }
    }
}

fn take(count: &mut u64) -> bool {
    let fires = *count > 0;
    if fires && *count < u64::MAX {
        *count -= 1;
    }
    fires
}
