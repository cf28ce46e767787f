//! Where jobs were submitted, and to which queue and team of the present configuration they belong.
//!
//! A configuration may rename its queues and teams, exchange their names, or remove and add them again. Callers know neither
//! name: they address a job by host name and path, and show a key. So a job is found by these, and by the names only if the
//! configuration no longer has them.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::configuration::Team;
use crate::job::parse_job_id;
use crate::prelude::*;

/// Length of a job's identifier in a path, in bytes.
const JOB_ID_LENGTH: usize = 16;

/// First bytes of the SHA-256 hash of an API key.
pub type KeyDigest = [u8; 16];

/// Host name and prefix of the path under which callers find the jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Empty for any host name.
    pub host: String,
    pub prefix: String,
}

impl Address {
    /// Returns whether a request to this host name, with or without a port, is one to the address. `prefix` is the path without
    /// the job's identifier.
    pub fn takes(&self, host: &str, prefix: &str) -> bool {
        takes_host(&self.host, host) && self.prefix == prefix
    }
}

/// Returns whether a queue of this host name takes requests to `host`, which may contain a port.
pub fn takes_host(known: &str, host: &str) -> bool {
    let host = host.split(':').next().unwrap_or_default();
    known.is_empty() || known.eq_ignore_ascii_case(host)
}

/// What a job was submitted with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Address of the queue at that time.
    pub address: Address,
    /// Digest of the API key; `None` for a submission without one.
    pub key: Option<KeyDigest>,
}

/// Returns the digest under which a key is stored with the jobs that it submitted.
pub fn digest(key: &str) -> KeyDigest {
    let mut digest = KeyDigest::default();
    digest.iter_mut().zip(Sha256::digest(key)).for_each(|(byte, hashed)| *byte = hashed);
    digest
}

/// Author of a request about a job.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Host name that the request addresses, with or without a port.
    pub host: String,
    /// Path without the job's identifier.
    pub prefix: String,
    /// Team whose key the request has; `None` for a request without a key, which the selected queue accepts.
    pub team: Option<String>,
}

/// Splits the path of a request about a job behind the prefix; `None` if it does not end with an identifier.
pub fn split_path(path: &str) -> Option<(&str, JobId)> {
    let (prefix, id) = path.split_at_checked(path.len().checked_sub(JOB_ID_LENGTH)?)?;
    Some((prefix, parse_job_id(id)?))
}

impl Configuration {
    /// Returns the queue to which a job belongs: the one at the address to which it was submitted, or else the one that has the
    /// queue's name. A queue that agrees with the job in one of the two alone may be another one in its place, so it counts
    /// only if it uses the pool of the job, or if that pool does not exist any more.
    pub fn queue_of(&self, job: &Job) -> Option<&Queue> {
        let address = job.origin.as_ref().map(|origin| &origin.address);
        let addressed = address.and_then(|address| self.queue_at(&address.host, &address.prefix));
        let pool = &job.policy.pool;
        let pool_exists = self.pools.iter().any(|known| known.name == *pool);
        let replaces = |queue: &&Queue| queue.policy.pool == *pool || !pool_exists;
        match addressed {
            Some(queue) if queue.name == job.queue => addressed,
            _ => addressed.filter(replaces).or(self.queue(&job.queue).filter(replaces)),
        }
    }

    /// Returns the queue that takes the jobs at a prefix.
    fn queue_at(&self, host: &str, prefix: &str) -> Option<&Queue> {
        self.route(host, prefix).filter(|queue| queue.prefix == prefix)
    }

    /// Returns the name of the team to which a job belongs: the team that holds the key of the submission, or else the one
    /// that has the team's name. `submitter` is the team at the submission, which is returned if there is neither.
    pub fn team_of<'a>(&'a self, submitter: &'a str, origin: Option<&Origin>) -> &'a str {
        let Some(key) = origin.and_then(|origin| origin.key) else { return submitter };
        let holds = |team: &&Team| team.keys.iter().any(|known| digest(known) == key);
        let holder = self.team(submitter).filter(holds).or_else(|| self.teams.iter().find(holds));
        holder.map_or(submitter, |team| &team.name)
    }

    /// Returns whether a caller finds a job where it was submitted, and may see it.
    pub fn shows_at_origin(&self, team: Option<&str>, origin: &Origin, caller: &Caller) -> bool {
        origin.address.takes(&caller.host, &caller.prefix)
            && self.shows_team(team, Some(origin), caller)
    }

    /// Returns whether a caller may see a job of a team. A caller without a key may if the queue at the path accepts requests
    /// without one.
    fn shows_team(
        &self,
        submitter: Option<&str>,
        origin: Option<&Origin>,
        caller: &Caller,
    ) -> bool {
        match (submitter, &caller.team) {
            (None, _) => true,
            (Some(submitter), Some(team)) => self.team_of(submitter, origin) == team,
            (Some(_), None) => self
                .queue_at(&caller.host, &caller.prefix)
                .is_some_and(|queue| queue.allow_anonymous),
        }
    }

    /// Returns whether a caller finds a job at the path of its request, and may see it.
    pub fn shows(&self, job: &Job, caller: &Caller) -> bool {
        let Caller { host, prefix, .. } = caller;
        let found = match &job.origin {
            Some(origin) => {
                let belongs = |queue: &Queue| queue.address().takes(host, prefix);
                origin.address.takes(host, prefix) || self.queue_of(job).is_some_and(belongs)
            }
            // The row of an earlier version does not tell the prefix, so each queue of the pool may be the job's.
            None => self.queue_at(host, prefix).is_some_and(|queue| {
                queue.name == job.queue || queue.policy.pool == job.policy.pool
            }),
        };
        found && self.shows_team(job.team.as_deref(), job.origin.as_ref(), caller)
    }
}
