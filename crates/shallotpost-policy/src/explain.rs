//! Explanations of why a job waits and what would let it start.

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::{Explanation, Phase};

use crate::engine::{Engine, format_size};
use crate::health::HealthState;
use crate::jobs::{JobRecord, TaskState};
use crate::sum::Sum;

/// Names of the resources, in the order of `Size::parts`.
const RESOURCES: [&str; 4] = ["processors", "memory", "accelerators", "slots"];

/// Fraction of the declared amount below which peak usage counts as over-declared. Tasks need some margin above their
/// usual usage.
const OVER_DECLARED_FRACTION: f64 = 0.5;

#[derive(Default)]
struct Findings {
    reasons: Vec<String>,
    remedies: Vec<String>,
}

impl Findings {
    fn add(&mut self, reason: impl Into<String>, remedy: impl Into<String>) {
        self.reasons.push(reason.into());
        self.remedies.push(remedy.into());
    }
}

impl Engine {
    pub(crate) fn explain(&self, now: Instant, work: &WorkId) -> Option<Explanation> {
        let slot = self.jobs.slot(work)?;
        let record = self.jobs.get(slot)?;
        let phase = phase(record);
        let mut findings = Findings::default();
        if phase == Phase::Waiting {
            self.add_wait_reasons(now, slot, record, &mut findings);
        }
        add_over_declaration(record, &mut findings);
        let Findings { reasons, remedies } = findings;
        Some(Explanation { work: work.clone(), phase, reasons, remedies })
    }

    /// Adds the reasons, the most binding first: a reason precedes those that do not matter while it holds.
    fn add_wait_reasons(
        &self,
        now: Instant,
        slot: usize,
        record: &JobRecord,
        findings: &mut Findings,
    ) {
        if let Some(infeasible) = self.infeasibility(&record.job) {
            findings
                .add(infeasible.message, "submit it with a smaller size, or add a larger worker");
        }
        if record.waiting == 0 {
            findings.add("its tasks were released and not queued again", "queue its tasks again");
        }
        if !self.starts_enabled {
            findings.add("the data centre takes no new work", "set the data centre to active");
        }
        self.add_grant_reasons(record, findings);
        self.add_room_reasons(now, slot, record, findings);
        self.add_queue_reasons(record, findings);
    }

    fn add_grant_reasons(&self, record: &JobRecord, findings: &mut Findings) {
        let account = &self.teams.accounts[record.team];
        let Some(grant) = account.grant else {
            let reason = format!("team {} is not known here", account.id);
            findings.add(reason, "create the team");
            return;
        };
        let needed = self.needed_at_once(record);
        if account.allows(&needed) {
            return;
        }
        let resource = scarcest_resource(&needed, &Sum::from(&grant).minus(&account.booked));
        findings.add(
            format!(
                "team {} has {} booked of its grant of {}; {resource} is short",
                account.id,
                format_size(&account.booked.size()),
                format_size(&grant)
            ),
            format!("wait until tasks of the team end, or raise its cap on {resource}"),
        );
    }

    fn add_room_reasons(
        &self,
        now: Instant,
        slot: usize,
        record: &JobRecord,
        findings: &mut Findings,
    ) {
        let size = record.job.size;
        let open = self.fleet.hosts.iter().filter(|host| host.known && host.schedulable).count();
        if open == 0 {
            findings.add("no worker takes tasks", "wait until a worker answers");
            return;
        }
        let quarantined = self.fleet.hosts.iter().filter(|host| {
            host.known && matches!(host.health.state, HealthState::Quarantined { .. })
        });
        let quarantined = quarantined.count();
        let paused = self.fleet.hosts.iter().filter(|host| host.is_rate_limited()).count();
        if record.is_gang() {
            self.add_gang_reasons(now, slot, record, findings);
        } else if self.find_hosts(slot, &size, 1).1 > 0 {
            let free = self.fleet.largest_free_with(size.accelerators);
            let resource = scarcest_resource(&size, &Sum::from(&free));
            findings.add(
                format!(
                    "no worker has {} free; {resource} is short; the most of each that is free on one worker with as many accelerators is {}",
                    format_size(&size),
                    format_size(&free)
                ),
                format!("wait until running tasks end, or add a worker with more free {resource}"),
            );
        }
        let suspects = self.suspects(&record.job.work);
        if suspects > 0 {
            findings.add(
                format!("{suspects} of its tasks lost several runs with their workers, and start only on a worker that runs nothing else"),
                "check whether the work crashes its workers; otherwise wait until a worker is empty",
            );
        }
        if quarantined > 0 {
            findings.add(
                format!("{quarantined} of {} workers are quarantined", self.fleet.known_workers),
                "repair the workers that fail every task",
            );
        }
        if paused > 0 {
            findings.add(
                format!("{paused} workers have just returned, and their start rate is limited"),
                "wait some seconds",
            );
        }
        if self.is_faulty(slot) {
            findings.add(
                format!("it failed on {} workers", record.failed_on.len()),
                "correct the work; the workers are healthy",
            );
        }
    }

    fn add_gang_reasons(
        &self,
        now: Instant,
        slot: usize,
        record: &JobRecord,
        findings: &mut Findings,
    ) {
        let parts = record.tasks.len() as u64;
        if u64::from(record.waiting) < parts {
            findings.add(
                format!("only {} of {parts} parts wait, and they start together", record.waiting),
                "queue every part again",
            );
            return;
        }
        let (_, missing) = self.find_hosts(slot, &record.job.size, parts);
        match self.reservations.iter().find(|reservation| reservation.slot == slot) {
            Some(reservation) => {
                let left = reservation.expires_at.saturating_duration_since(now).as_secs();
                findings.add(
                    format!("room for its {parts} parts is reserved and not yet free"),
                    format!("wait for running tasks; the reservation expires in {left} s"),
                );
            }
            _ if missing > 0 => findings.add(
                format!("only {} of its {parts} parts fit now", parts - missing),
                "wait until running tasks end, or submit it with fewer or smaller parts",
            ),
            _ => {}
        }
    }

    fn add_queue_reasons(&self, record: &JobRecord, findings: &mut Findings) {
        let account = &self.teams.accounts[record.team];
        let first = record.tasks.iter().find_map(|task| match task {
            TaskState::Queued { lane, position } => Some((*lane, *position)),
            _ => None,
        });
        let Some((lane, position)) = first else { return };
        let ahead = account.lanes[..lane].iter().map(|lane| lane.len()).sum::<usize>()
            + account.lanes[lane].count_before(position);
        if ahead > 0 {
            findings.add(
                format!("{ahead} tasks of the team are ahead of it"),
                "wait, or cancel work of the team that is not needed",
            );
        }
        let total = self.fleet.total();
        let fair = f64::from(account.weight) / self.teams.active_weight().max(1.0);
        let used = account.dominant_share(&total);
        if used >= fair && self.teams.accounts.iter().filter(|team| team.is_active()).count() > 1 {
            findings.add(
                format!(
                    "the team uses {:.1}% of the data centre and its share is {:.1}%",
                    used * 100.0,
                    fair * 100.0
                ),
                "wait until other teams need less, or raise the share of the team",
            );
        }
        if findings.reasons.is_empty() {
            findings.add("it has not been considered yet", "wait for the next decision");
        }
    }

    /// Returns the size that must fit at once: all parts of a gang, otherwise one task.
    fn needed_at_once(&self, record: &JobRecord) -> Size {
        let count = if record.is_gang() { record.tasks.len() as u64 } else { 1 };
        record.job.size.times(count)
    }
}

/// Reports the resource of which the job declares the most in excess of the peak usage of its tasks.
fn add_over_declaration(record: &JobRecord, findings: &mut Findings) {
    let Some(used) = record.peak_usage else { return };
    let declared = record.job.size;
    let parts = declared.parts().into_iter().zip(used.parts());
    let part = |(declared, used): (u64, u64)| used as f64 / declared.max(1) as f64;
    // Usage of slots is not measured.
    let parts = RESOURCES[..3].iter().zip(parts).filter(|(_, parts)| parts.0 > 0);
    let least = parts.map(|(name, parts)| (part(parts), name));
    let Some((part, name)) = least.min_by(|left, right| left.0.total_cmp(&right.0)) else { return };
    if part < OVER_DECLARED_FRACTION {
        findings.add(
            format!("its tasks used at most {:.0}% of the {name} that they declare", part * 100.0),
            format!("declare less {name}"),
        );
    }
}

fn phase(record: &JobRecord) -> Phase {
    let stopping =
        record.tasks.iter().any(|task| matches!(task, TaskState::Booked { stopping: true, .. }));
    match record {
        _ if record.finished || (stopping && record.waiting == 0) => Phase::Stopping,
        _ if record.waiting > 0 || record.booked == 0 => Phase::Waiting,
        _ => Phase::Running,
    }
}

/// Returns the name of the resource that falls short by the largest fraction of what is needed.
fn scarcest_resource(need: &Size, have: &Sum) -> &'static str {
    let have = have.size();
    let missing = need.minus(&have).parts();
    let parts = missing.into_iter().zip(need.parts());
    let part = parts.map(|(missing, need)| missing as f64 / need.max(1) as f64);
    let worst = part.enumerate().fold(
        (0, 0.0),
        |worst: (usize, f64), (index, part)| {
            if part > worst.1 { (index, part) } else { worst }
        },
    );
    RESOURCES[worst.0]
}
