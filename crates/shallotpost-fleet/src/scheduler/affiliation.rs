//! Queues and teams of the present configuration to which the jobs belong.
//!
//! A configuration may rename queues and teams. Policies, quotas and counts follow the job, not the name at its admission.

use crate::configuration::QueuePolicy;
use crate::origin::{Address, KeyDigest};
use crate::prelude::*;
use crate::progress::State;
use crate::scheduler::{JobEntry, Scheduler};

impl Scheduler {
    /// Returns the number of jobs of a queue of which no task has started. The address finds the jobs also while this owner
    /// knows the queue by another name.
    pub fn waiting(&self, queue: &str, address: Option<&Address>) -> usize {
        let entries = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        let belongs = |entry: &&JobEntry| {
            let origin = entry.job.origin.as_ref().map(|origin| &origin.address);
            entry.queue.as_deref() == Some(queue) || address.is_some() && origin == address
        };
        entries.filter(|entry| entry.state == State::Queued).filter(belongs).count()
    }

    /// Applies a new configuration: the queues and policies of the unfinished jobs, and the teams of all.
    pub(super) fn refresh_affiliations(&mut self, configuration: &Configuration) {
        if self.affiliations_version == configuration.version {
            return;
        }
        self.affiliations_version = configuration.version;
        // To find the holder of a key, the keys of all teams are hashed: once for each key, not for each job.
        let mut teams: BTreeMap<(String, Option<KeyDigest>), Rc<str>> = BTreeMap::new();
        let mut moved = false;
        for (id, entry) in &mut self.jobs {
            if self.unfinished.contains(id) {
                entry.queue = queue_name(&entry.job, configuration);
                entry.policy = effective_policy(&entry.job, configuration);
            }
            let Some(submitter) = &entry.job.team else { continue };
            let origin = entry.job.origin.as_ref();
            let key = (submitter.clone(), origin.and_then(|origin| origin.key));
            let team =
                teams.entry(key).or_insert_with(|| configuration.team_of(submitter, origin).into());
            moved |= entry.team.as_ref() != Some(team);
            entry.team = Some(Rc::clone(team));
        }
        if moved {
            self.move_usage();
        }
    }

    /// Books the placed runs for the present teams of their jobs.
    fn move_usage(&mut self) {
        self.usage.clear();
        // These sums do not tell the jobs. Without them, tasks out of sight count for more.
        self.takeover.adopted.clear();
        for session in self.sessions.values_mut() {
            for (task, run) in &mut session.placements {
                if let Some(entry) = self.jobs.get(&task.stage.job) {
                    run.team.clone_from(&entry.team);
                }
                if let Some(team) = &run.team {
                    let usage = self.usage.entry(Rc::clone(team)).or_insert(Size::ZERO);
                    *usage = usage.plus(&run.size);
                }
            }
        }
    }
}

pub(super) fn queue_name(job: &Job, configuration: &Configuration) -> Option<Rc<str>> {
    configuration.queue_of(job).map(|queue| queue.name.as_str().into())
}

pub(super) fn effective_policy(job: &Job, configuration: &Configuration) -> Rc<QueuePolicy> {
    let queue = configuration.queue_of(job);
    Rc::new(queue.map_or(&job.policy, |queue| &queue.policy).clone())
}

pub(super) fn team_name(job: &Job, configuration: &Configuration) -> Option<Rc<str>> {
    let submitter = job.team.as_deref()?;
    Some(configuration.team_of(submitter, job.origin.as_ref()).into())
}
