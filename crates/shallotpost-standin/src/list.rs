//! Worker list that lags behind the truth.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use shallotpost_protocol::worker_list::Worker;

/// The workers, and earlier states of the list as far as the lag needs them.
#[derive(Clone, Debug)]
pub struct List {
    lag: Duration,
    states: VecDeque<(Instant, Vec<Worker>)>,
}

impl List {
    /// An empty list without lag.
    pub fn new(now: Instant) -> List {
        List { lag: Duration::ZERO, states: VecDeque::from([(now, Vec::new())]) }
    }

    /// Sets the lag.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Changes the truth at `now`.
    pub fn update(&mut self, now: Instant, change: impl FnOnce(&mut Vec<Worker>)) {
        let mut workers =
            self.states.back().map(|(_, workers)| workers.clone()).unwrap_or_default();
        change(&mut workers);
        self.states.push_back((now, workers));
    }

    /// What the list shows at `now`: the latest state that is at least as old as the lag, else the first one.
    pub fn read(&mut self, now: Instant) -> Vec<Worker> {
        while self.states.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            self.states.pop_front();
        }
        self.states.front().map(|(_, workers)| workers.clone()).unwrap_or_default()
    }
}
