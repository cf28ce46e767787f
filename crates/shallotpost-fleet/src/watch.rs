//! Watch of a table of the store: which call to send next, and how old the known content of the table may be.
//!
//! Usually one feed is in flight. If it is late, further calls ask for the same changes on other paths. The age of the
//! content counts from a time at which the store certainly had no change that is not known here, so it also grows while
//! every call is lost.

use crate::port::RowVersion;
use crate::prelude::*;

/// Time after which a call counts as late, without the time for which the store waits for a change. A store that is slower
/// than this gets one more call each time.
pub const LATE_AFTER: Duration = Duration::from_millis(300);

/// Delay before a failed call is repeated.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of calls in flight. A call that is never answered ends after 1.2 s.
const CALLS_MAX: usize = 5;

/// Number of consecutive refused calls after which the store counts as refusing: one on each path.
const REFUSALS_MAX: u32 = 2;

/// A call of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    pub sent: Uptime,
    /// Version after which changes are returned; `None` if the whole table is read.
    pub after: Option<RowVersion>,
    /// Time for which the store waits for a change.
    pub wait: Duration,
    /// Number of calls since the last answer; a call other than the first one takes another path.
    pub attempt: u32,
}

/// State of a watch. The times passed to its methods must not decrease.
#[derive(Debug)]
pub struct Watch {
    wait: Duration,
    pause: Duration,
    cursor: Option<RowVersion>,
    current_at: Option<Uptime>,
    /// Calls in flight whose answers are still of use, in the order in which they were sent.
    in_flight: Vec<Poll>,
    /// Number of calls since the last answer.
    attempts: u32,
    refusals: u32,
    next_call: Uptime,
}

impl Watch {
    /// Returns a watch of a table that has not been read. A feed waits for a change for `wait`, and the next one is sent
    /// `pause` after its answer.
    pub fn new(wait: Duration, pause: Duration) -> Watch {
        Watch {
            wait,
            pause,
            cursor: None,
            current_at: None,
            in_flight: Vec::new(),
            attempts: 0,
            refusals: 0,
            next_call: Uptime::ZERO,
        }
    }

    /// Returns the call to send now, if one is due. The caller sends it, and passes on how it ends.
    pub fn poll(&mut self, now: Uptime) -> Option<Poll> {
        let late = |newest: &Poll| now >= newest.sent + newest.wait + LATE_AFTER;
        let due = match self.in_flight.last() {
            None => true,
            Some(newest) => late(newest) && self.in_flight.len() < CALLS_MAX,
        };
        if !due || now < self.next_call {
            return None;
        }
        // What is already old is asked for at once.
        let waits = self.cursor.is_some() && self.attempts == 0 && self.is_current(now, self.wait);
        let wait = if waits { self.wait } else { Duration::ZERO };
        let poll = Poll { sent: now, after: self.cursor, wait, attempt: self.attempts };
        self.in_flight.push(poll);
        self.attempts += 1;
        Some(poll)
    }

    /// Records an answer that contains every change up to `version`; `changed` tells whether it contains any. Returns
    /// the version up to which changes were known before, or `None` if the answer is of no use because that of a later call,
    /// or a read of the whole table, has replaced it.
    pub fn answered(
        &mut self,
        poll: Poll,
        now: Uptime,
        version: RowVersion,
        changed: bool,
    ) -> Option<RowVersion> {
        if !self.in_flight.contains(&poll) {
            return None;
        }
        // The store answers a feed without changes at the end of its wait.
        let waited = match !changed && now.saturating_sub(poll.sent) >= poll.wait {
            true => poll.wait,
            false => Duration::ZERO,
        };
        self.in_flight.retain(|other| other.sent > poll.sent);
        let known = self.cursor;
        self.current_at = self.current_at.max(Some(poll.sent + waited));
        self.cursor = known.max(Some(version));
        (self.attempts, self.refusals) = (0, 0);
        self.next_call = now + self.pause;
        Some(known.unwrap_or_default())
    }

    /// Records a call without an answer. `refused` tells whether the store certainly did not execute it. Returns whether the
    /// call was still of use.
    pub fn failed(&mut self, poll: Poll, now: Uptime, refused: bool) -> bool {
        let position = self.in_flight.iter().position(|other| *other == poll);
        let Some(position) = position else { return false };
        self.in_flight.remove(position);
        self.refusals = if refused { self.refusals + 1 } else { 0 };
        self.next_call = now + RETRY_DELAY;
        true
    }

    /// Records that the store no longer has the changes that a call asked for. Returns whether the whole table must be read
    /// for this; calls that are in flight are of no use then.
    pub fn history_lost(&mut self, poll: Poll, now: Uptime) -> bool {
        let useful = self.in_flight.contains(&poll);
        if useful {
            self.stop();
            self.next_call = now;
        }
        useful
    }

    /// Forgets the version after which the feed continues. Answers to calls in flight are ignored from now on.
    pub fn stop(&mut self) {
        self.cursor = None;
        self.in_flight.clear();
        (self.attempts, self.refusals) = (0, 0);
    }

    /// Continues after a read of the whole table that contains every change up to `version` and was sent at `sent`.
    pub fn resume(&mut self, version: RowVersion, sent: Uptime, now: Uptime) {
        self.stop();
        self.cursor = Some(version);
        self.current_at = self.current_at.max(Some(sent));
        self.next_call = now;
    }

    /// Returns whether the store has refused the last calls and none is in flight, so that an answer is not likely soon.
    pub fn is_refused(&self) -> bool {
        self.refusals >= REFUSALS_MAX && self.in_flight.is_empty()
    }

    /// Returns whether every change that the store had accepted `age_max` before `at` is known.
    pub fn is_current(&self, at: Uptime, age_max: Duration) -> bool {
        self.current_at.is_some_and(|current_at| at <= current_at + age_max)
    }

    /// Returns the age of what is known, or the time since the start if nothing is known yet.
    pub fn age(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.current_at.unwrap_or_default())
    }
}
