//! Operator configuration: queues, pools, teams and request limits.

use serde::{Deserialize, Serialize};

use crate::origin::{Address, takes_host};
use crate::prelude::*;

/// A complete configuration; each new one replaces the previous one as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with each configuration, not always by one.
    pub version: u64,
    pub queues: Vec<Queue>,
    pub pools: Vec<Pool>,
    pub teams: Vec<Team>,
    pub limits: Limits,
}

/// A queue to which jobs are submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    pub name: String,
    /// Host name that its requests address; empty for any.
    pub host: String,
    /// Prefix of the path of its requests.
    pub prefix: String,
    /// Whether requests without a key are accepted.
    pub allow_anonymous: bool,
    pub policy: QueuePolicy,
}

impl Queue {
    pub fn address(&self) -> Address {
        Address { host: self.host.clone(), prefix: self.prefix.clone() }
    }
}

/// Placement, priority, retries and deadlines of the jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Zero is the highest priority; lower numbers are scheduled first and may preempt higher ones.
    pub priority: u32,
    /// Number of failed runs after which a task is not started again.
    pub attempts_max: u32,
    /// Factor by which the critical path is multiplied for a job's completion target; values below 1 count as 1.
    pub stretch: f64,
    /// Time that is added to the multiplied critical path for a job's completion target.
    pub target: Duration,
    /// How workers are approved; `None` if the queue's tasks need no approval.
    pub approval: Option<Approval>,
}

/// Duration and validity of approvals of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Approval {
    /// Duration of a call, without the time for each worker.
    pub per_call: Duration,
    /// Additional duration for each worker that the call names.
    pub per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

impl Approval {
    /// Returns the expected duration of a call that names `workers` workers.
    pub fn duration(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.per_call.saturating_add(self.per_worker.saturating_mul(workers))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    pub name: String,
    /// Whether its machines are switched off until they are moved to another pool.
    pub spare: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    pub name: String,
    /// Keys that authenticate requests of the team.
    pub keys: Vec<String>,
    /// Relative share of the fleet while it is full.
    pub weight: f64,
    /// Quota of resources in use at one time; zero means no limit for that resource.
    pub cap: Size,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum length of a request body, in bytes.
    pub body_max: usize,
    /// Maximum length of a request header, in bytes.
    pub header_max: usize,
    /// Time within which a request's header must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration has been read.
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
    /// Returns the queue of a request: the one with the longest matching path prefix among the queues of its host name.
    /// A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits =
            |queue: &&Queue| takes_host(&queue.host, host) && path.starts_with(&queue.prefix);
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }

    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.keys.iter().any(|known| known == key))
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
