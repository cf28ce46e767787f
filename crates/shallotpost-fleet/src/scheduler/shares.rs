//! Shares of teams: the rate of jobs to which a team is entitled by its weight.

use crate::prelude::*;

/// Time over which a team may catch up on jobs that it has not submitted.
const BURST: Duration = Duration::from_secs(2);

/// Jobs that a team may submit now before they count as beyond its share.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    jobs: f64,
    updated: Uptime,
}

/// Allowances of all teams.
#[derive(Debug, Default)]
pub(super) struct Shares {
    allowances: BTreeMap<Rc<str>, Allowance>,
}

impl Shares {
    /// Takes one job from the team's allowance, which grows by `weight` jobs a second. Returns whether the job is beyond
    /// the team's share; such jobs are served with what the others leave.
    pub(super) fn take(&mut self, team: &Rc<str>, weight: f64, now: Uptime) -> bool {
        let most = (weight * BURST.as_secs_f64()).max(1.0);
        let allowance = self
            .allowances
            .entry(Rc::clone(team))
            .or_insert(Allowance { jobs: most, updated: now });
        let grown = now.saturating_sub(allowance.updated).as_secs_f64() * weight;
        allowance.jobs = (allowance.jobs + grown).min(most);
        allowance.updated = now;
        let beyond = allowance.jobs < 1.0;
        if !beyond {
            allowance.jobs -= 1.0;
        }
        beyond
    }
}
