//! Prediction of run times from observed ends.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the latest observation; about the last ten ends count.
const LATEST: f64 = 0.2;
/// Prediction before anything was declared or observed.
const DEFAULT_SECONDS: f64 = 300.0;
/// Shortest time that enters a ratio, in seconds; avoids ratios of zero.
const SHORTEST_SECONDS: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct Memory {
    /// Mean logarithm of the observed over the declared time.
    ratio: Option<f64>,
    /// Mean logarithm of the observed seconds.
    seconds: f64,
}

/// Observed run times of each team. Declared times are wrong by up to 10x, so the team's own error corrects them.
#[derive(Debug, Default)]
pub(crate) struct Predictor {
    teams: HashMap<usize, Memory>,
}

impl Predictor {
    /// Takes note of the run time of a task that succeeded.
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

    /// Expected run time.
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
