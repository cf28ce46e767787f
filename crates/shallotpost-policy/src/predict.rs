//! Prediction of run times from completed tasks.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the latest observation in the exponential moving averages; about the last ten completions count.
const LATEST: f64 = 0.2;
/// Prediction if no run time was declared or observed, in seconds.
const DEFAULT_SECONDS: f64 = 300.0;
/// Minimum time that enters a logarithm, in seconds; avoids the logarithm of zero.
const SHORTEST_SECONDS: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Memory {
    /// Mean logarithm of the ratio of observed to declared time; `None` while no completed task had a declared time.
    ratio: Option<f64>,
    /// Mean logarithm of the observed seconds.
    seconds: f64,
}

/// Predicts run times by team. Declared times may be wrong by a factor of 10, so they are corrected by the mean error
/// of the team.
#[derive(Debug, Default)]
pub(crate) struct Predictor {
    teams: HashMap<usize, Memory>,
}

impl Predictor {
    /// Records the run time of a successful task.
    pub(crate) fn observe(&mut self, team: usize, declared: Option<Duration>, observed: Duration) {
        let seconds = logarithm(observed);
        let ratio = declared.map(|declared| seconds - logarithm(declared));
        let memory = self.teams.entry(team).or_insert(Memory { ratio, seconds });
        memory.seconds += LATEST * (seconds - memory.seconds);
        memory.ratio = match (memory.ratio, ratio) {
            (Some(old), Some(new)) => Some(old + LATEST * (new - old)),
            (old, new) => old.or(new),
        };
    }

    /// Returns the expected run time of a task from its start.
    pub(crate) fn predict(&self, team: usize, declared: Option<Duration>) -> Duration {
        let memory = self.teams.get(&team);
        let seconds = match (declared, memory) {
            (Some(declared), memory) => {
                let ratio = memory.and_then(|memory| memory.ratio).unwrap_or(0.0);
                (logarithm(declared) + ratio).exp()
            }
            (None, Some(memory)) => memory.seconds.exp(),
            (None, None) => DEFAULT_SECONDS,
        };
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

fn logarithm(duration: Duration) -> f64 {
    duration.as_secs_f64().max(SHORTEST_SECONDS).ln()
}
