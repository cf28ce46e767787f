//! Worker list whose readers see changes after a configurable lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use shallotpost_protocol::worker_list::Worker;

/// The current worker list, and the earlier states that readers may still see.
#[derive(Clone, Debug)]
pub struct List {
    lag: Duration,
    states: VecDeque<(Instant, Vec<Worker>)>,
}

impl List {
    /// Returns an empty list without lag.
    pub fn new(now: Instant) -> List {
        List { lag: Duration::ZERO, states: VecDeque::from([(now, Vec::new())]) }
    }

    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Changes the current list at `now`.
    pub fn update(&mut self, now: Instant, change: impl FnOnce(&mut Vec<Worker>)) {
        let mut workers =
            self.states.back().map(|(_, workers)| workers.clone()).unwrap_or_default();
        change(&mut workers);
        self.states.push_back((now, workers));
    }

    /// Returns what readers see at `now`: the latest state that is at least as old as the lag, or else the oldest one.
    pub fn read(&mut self, now: Instant) -> Vec<Worker> {
        while self.states.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            self.states.pop_front();
        }
        self.states.front().map(|(_, workers)| workers.clone()).unwrap_or_default()
    }
}
