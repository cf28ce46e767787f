//! Prediction of run times from completed tasks.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the latest observation in the exponential moving averages; about the last ten completions count.
const LATEST_WEIGHT: f64 = 0.2;
/// Prediction if no run time was declared or observed, in seconds.
const DEFAULT_SECONDS: f64 = 300.0;
/// Minimum time that enters a logarithm, in seconds; avoids the logarithm of zero.
const MIN_SECONDS: f64 = 0.001;

#[derive(Clone, Copy, Debug)]
struct RunTimeAverages {
    /// Mean logarithm of the ratio of observed to declared time; `None` while no completed task had a declared time.
    log_ratio: Option<f64>,
    /// Mean logarithm of the observed seconds.
    log_seconds: f64,
}

/// Predicts run times by team. Declared times may be wrong by a factor of 10, so they are corrected by the mean error
/// of the team.
#[derive(Debug, Default)]
pub(crate) struct Predictor {
    teams: HashMap<usize, RunTimeAverages>,
}

impl Predictor {
    /// Records the run time of a successful task.
    pub(crate) fn observe(&mut self, team: usize, declared: Option<Duration>, observed: Duration) {
        let log_seconds = logarithm(observed);
        let log_ratio = declared.map(|declared| log_seconds - logarithm(declared));
        let averages = self.teams.entry(team).or_insert(RunTimeAverages { log_ratio, log_seconds });
        averages.log_seconds += LATEST_WEIGHT * (log_seconds - averages.log_seconds);
        averages.log_ratio = match (averages.log_ratio, log_ratio) {
            (Some(old), Some(new)) => Some(old + LATEST_WEIGHT * (new - old)),
            (old, new) => old.or(new),
        };
    }

    /// Returns the expected run time of a task from its start.
    pub(crate) fn predict(&self, team: usize, declared: Option<Duration>) -> Duration {
        let averages = self.teams.get(&team);
        let seconds = match (declared, averages) {
            (Some(declared), averages) => {
                let log_ratio = averages.and_then(|averages| averages.log_ratio).unwrap_or(0.0);
                (logarithm(declared) + log_ratio).exp()
            }
            (None, Some(averages)) => averages.log_seconds.exp(),
            (None, None) => DEFAULT_SECONDS,
        };
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

fn logarithm(duration: Duration) -> f64 {
    duration.as_secs_f64().max(MIN_SECONDS).ln()
}
