//! The operator's configuration.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A configuration as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each configuration, in uneven steps.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools of workers.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Limits on requests.
    pub limits: Limits,
}

/// A queue for jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host name of its requests; empty for any.
    pub host: String,
    /// Beginning of the path of its requests.
    pub prefix: String,
    /// Whether requests need no key.
    pub open: bool,
    /// How its jobs are treated.
    pub terms: Terms,
}

/// How the jobs of a queue are treated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Zero comes first and may preempt higher numbers.
    pub priority: u32,
    /// Failed runs after which a task is not started again.
    pub attempts_max: u32,
    /// Share of the longest chain within which a job should complete.
    pub stretch: f64,
    /// Time on top of the stretched chain.
    pub target: Duration,
    /// Approval of workers, if the queue needs it.
    pub approval: Option<Approval>,
}

/// Cost and validity of the approval of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Approval {
    /// Time of one call.
    pub call: Duration,
    /// Additional time for each worker named.
    pub per_worker: Duration,
    /// Time for which a ticket may be used.
    pub validity: Duration,
}

impl Approval {
    /// Time that a call takes that names this many workers.
    pub fn duration(&self, workers: usize) -> Duration {
        self.call + self.per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Whether its machines are switched off until they are moved to another pool.
    pub spare: bool,
}

/// A team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Keys that act for it.
    pub keys: Vec<String>,
    /// Share when the fleet is full.
    pub weight: f64,
    /// What it may have running; zero stands for no limit.
    pub cap: Size,
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest request body, in bytes.
    pub body_max: usize,
    /// Longest request header, in bytes.
    pub header_max: usize,
    /// Time for a request's header to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What applies until the first configuration has been read.
    fn default() -> Limits {
        Limits {
            body_max: 256 << 10,
            header_max: 16 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// The queue of a request: the longest prefix of its path among the queues of its host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or_default();
        let fits = |queue: &&Queue| {
            (queue.host.is_empty() || queue.host.eq_ignore_ascii_case(host))
                && path.starts_with(&queue.prefix)
        };
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }

    /// The team that a key acts for.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.keys.iter().any(|known| known == key))
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// The queue of this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
