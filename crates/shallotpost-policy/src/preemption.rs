//! Preemption: tasks of teams above their fair share are stopped to make room for waiting tasks.
//!
//! A preempted task first gets a checkpoint request. If it still runs after the grace period, it gets a stop request.
//! Its capacity is held on the worker for the waiting task.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

use crate::engine::Engine;
use crate::jobs::{JobRecord, TaskState};
use crate::planner::Action;
use crate::queue::TaskKey;
use crate::round::Round;
use crate::sum::Sum;
use crate::teams::{Account, LANES, REPLACEMENT, URGENT, Victim};

/// Maximum number of preemptions that one team may have pending for work that is not urgent.
const TEAM_PREEMPTIONS_MAX: usize = 16;
/// Maximum number of preemptions that one round attempts.
const ROUND_PREEMPTIONS_MAX: usize = 16;
/// Maximum number of workers that are compared for one preemption.
const CANDIDATE_HOSTS_MAX: usize = 64;
/// Maximum number of running tasks that are considered for one preemption.
const CANDIDATE_VICTIMS_MAX: usize = 1024;
/// Backoff of a team for which no preemption was possible.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The grace period between the checkpoint request and the stop request is the urgent bound divided by this.
const GRACE_DIVISOR: u32 = 2;

/// Capacity that is held on a worker for a waiting task until the preempted tasks have ended.
#[derive(Clone, Debug)]
pub(crate) struct Preemption {
    pub(crate) key: TaskKey,
    host: usize,
    size: Size,
    victims: Vec<TaskKey>,
    /// When victims that still run get a stop request; `None` once it was sent.
    stop_at: Option<Instant>,
    expires_at: Instant,
}

/// Rule that decides whether a running task may be preempted.
///
/// The weighted share of a team is its dominant share of the total capacity divided by its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreemptionRule {
    /// Sum of the weights of the active teams.
    pub(crate) total_weight: f64,
    /// Capacity of the schedulable workers.
    pub(crate) total_capacity: Size,
    /// Whether the preemption is for urgent work, which may take a task that is only partly above its team's fair
    /// share.
    pub(crate) urgent: bool,
    /// Minimum weighted share that a victim's team keeps; does not apply to urgent work.
    pub(crate) min_weighted_share: f64,
    /// Team that preempts its own batch tasks (for urgent work, its gangs too) regardless of its share.
    pub(crate) own_team: Option<usize>,
}

impl PreemptionRule {
    /// Returns the weighted share at which all active teams together use the total capacity.
    pub(crate) fn fair_weighted_share(&self) -> f64 {
        1.0 / self.total_weight
    }

    /// Returns the weighted share of a team that has `booked`.
    pub(crate) fn weighted_share(&self, account: &Account, booked: &Sum) -> f64 {
        booked.size().dominant_share(&self.total_capacity) / f64::from(account.weight)
    }

    /// Returns the rule for work that raises its team to `weighted_share`. Teams of victims keep at least that
    /// much.
    pub(crate) fn with_weighted_share(&self, weighted_share: f64) -> PreemptionRule {
        PreemptionRule {
            min_weighted_share: self.fair_weighted_share().max(weighted_share),
            ..*self
        }
    }

    /// Returns the rule for the tasks of one lane of a team.
    fn for_lane(&self, team: usize, lane: usize) -> PreemptionRule {
        let own_team = matches!(lane, URGENT | REPLACEMENT).then_some(team);
        PreemptionRule { urgent: lane == URGENT, own_team, ..*self }
    }

    /// Returns whether a running task may be preempted while its team has `booked`.
    fn allows(&self, account: &Account, booked: &Sum, record: &JobRecord) -> bool {
        let is_own_team = self.own_team == Some(record.team);
        match record.job.class {
            Class::Batch if is_own_team => return true,
            Class::Gang { .. } if is_own_team && self.urgent => return true,
            _ => {}
        }
        let mut after = *booked;
        after.subtract(&record.preempted_size());
        match self.urgent {
            true => self.weighted_share(account, booked) > self.fair_weighted_share(),
            false => self.weighted_share(account, &after) >= self.min_weighted_share,
        }
    }
}

impl Engine {
    /// Returns the rule for work that is not urgent, of a team below its fair share.
    pub(crate) fn preemption_rule(&self) -> PreemptionRule {
        let (total_weight, total_capacity) = (self.teams.active_weight(), self.fleet.total());
        PreemptionRule {
            total_weight,
            total_capacity,
            urgent: false,
            min_weighted_share: 1.0 / total_weight,
            own_team: None,
        }
    }

    /// Returns the time between a checkpoint request and the stop request that follows it.
    pub(crate) fn grace(&self) -> Duration {
        self.policy.urgent_bound / GRACE_DIVISOR
    }

    /// Returns whether the task runs and may be preempted now.
    pub(crate) fn is_preemptible(&self, key: TaskKey, rule: &PreemptionRule) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let account = &self.teams.accounts[record.team];
        let running = matches!(self.state(key), Some(TaskState::Booked { stopping: false, .. }));
        running
            && record.victim_rank().is_some()
            && rule.allows(account, &account.booked_after_stops(), record)
    }

    /// Starts tasks whose held capacity is free, sends stop requests to victims that outlasted the grace period, and
    /// drops preemptions that have expired or lost their task or worker.
    pub(crate) fn advance_preemptions(&mut self, round: &mut Round) {
        let preemptions = std::mem::take(&mut self.preemptions);
        for mut preemption in preemptions {
            if self.is_preemption_ready(&preemption) && round.remaining() > 0 {
                self.fleet.unhold(preemption.host, &preemption.size);
                self.start(round, preemption.key, preemption.host);
                continue;
            }
            let host = &self.fleet.hosts[preemption.host];
            if !self.is_waiting(preemption.key)
                || !host.known
                || !host.schedulable
                || preemption.expires_at <= round.now
            {
                self.fleet.unhold(preemption.host, &preemption.size);
                continue;
            }
            if preemption.stop_at.is_some_and(|at| at <= round.now)
                && round.remaining() >= preemption.victims.len()
            {
                preemption.stop_at = None;
                self.stop_victims(round, &preemption.victims, StopMode::Stop);
            }
            self.preemptions.push(preemption);
        }
    }

    /// Preempts tasks for urgent work, for service replacements and for teams below their fair share.
    pub(crate) fn preempt_for_waiting(&mut self, round: &mut Round) {
        let total = self.fleet.total();
        let rule = self.preemption_rule();
        let mut budget = ROUND_PREEMPTIONS_MAX;
        for team in self.teams.serving_order(&total) {
            let account = &self.teams.accounts[team];
            if account.next_preemption_at.is_some_and(|at| round.now < at) {
                continue;
            }
            let mut found = true;
            for lane in 0..LANES {
                while found && budget > 0 && round.remaining() > 0 {
                    let Some((key, share)) = self.next_preemptor(team, lane, &rule) else { break };
                    found = self.preempt(
                        round,
                        key,
                        &rule.with_weighted_share(share).for_lane(team, lane),
                    );
                    budget -= 1;
                }
            }
            if !found {
                self.teams.accounts[team].next_preemption_at = Some(round.now + RETRY_INTERVAL);
            }
        }
    }

    /// Returns the first task of a lane that may preempt and has no preemption pending, with the weighted share that
    /// its start gives its team.
    fn next_preemptor(
        &self,
        team: usize,
        lane: usize,
        rule: &PreemptionRule,
    ) -> Option<(TaskKey, f64)> {
        let account = &self.teams.accounts[team];
        if account.lanes[lane].is_empty() {
            return None;
        }
        let mut preempting = BTreeSet::new();
        let mut booked = account.booked;
        for preemption in &self.preemptions {
            if self.jobs.get(preemption.key.0).is_some_and(|record| record.team == team) {
                preempting.insert(preemption.key);
                booked.add(&preemption.size);
            }
        }
        if lane != URGENT && preempting.len() >= TEAM_PREEMPTIONS_MAX {
            return None;
        }
        let grant = account.grant?;
        let room = Sum::from(&grant).minus(&booked).size().min(&self.fleet.largest());
        let below = rule.weighted_share(account, &booked) < rule.fair_weighted_share();
        if !below && !matches!(lane, URGENT | REPLACEMENT) {
            return None;
        }
        let mut from = 0;
        while let Some((position, key, size)) = account.lanes[lane].first(from, &room) {
            from = position + 1;
            if preempting.contains(&key) {
                continue;
            }
            let mut after = booked;
            after.add(&size);
            return Some((key, rule.weighted_share(account, &after)));
        }
        None
    }

    /// Preempts tasks for `key` and holds their capacity. Returns false if no worker can make room.
    fn preempt(&mut self, round: &mut Round, key: TaskKey, rule: &PreemptionRule) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let size = record.job.size;
        let Some((host, victims)) = self.find_preemption_host(&size, rule) else { return false };
        if victims.len() > round.remaining() {
            return false;
        }
        let room = self.fleet.hosts[host].available_after_stops();
        if rule.urgent && !room.plus(&self.booked_on(host, &victims)).holds(&size) {
            self.drop_reservations_on(host);
        }
        self.fleet.hold(host, &size);
        self.stop_victims(round, &victims, StopMode::Checkpoint);
        let stop_at = Some(round.now + self.grace());
        let expires_at = round.now + self.policy.urgent_bound;
        self.preemptions.push(Preemption { key, host, size, victims, stop_at, expires_at });
        true
    }

    /// Returns the worker on which the fewest tasks must be preempted to make room for `size`, with those tasks.
    fn find_preemption_host(
        &self,
        size: &Size,
        rule: &PreemptionRule,
    ) -> Option<(usize, Vec<TaskKey>)> {
        let mut over_share: Vec<(f64, usize)> = Vec::new();
        for (slot, account) in self.teams.accounts.iter().enumerate() {
            let excess = rule.weighted_share(account, &account.booked_after_stops())
                - rule.fair_weighted_share();
            let is_candidate = excess > 0.0 || rule.own_team == Some(slot);
            if is_candidate && !account.victims.is_empty() {
                over_share.push((excess, slot));
            }
        }
        over_share.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        let mut checked = BTreeSet::new();
        let mut best: Option<(usize, Vec<TaskKey>)> = None;
        let reserved = self.reservations.iter().filter(|_| rule.urgent);
        let reserved: BTreeSet<usize> =
            reserved.flat_map(|it| it.hosts.iter().map(|(host, _)| *host)).collect();
        for host in reserved {
            if let Some(found) = self.victims_on(host, size, rule).filter(Vec::is_empty) {
                return Some((host, found));
            }
        }
        let victims = over_share.iter().flat_map(|(_, team)| &self.teams.accounts[*team].victims);
        for (_, _, victim) in victims.take(CANDIDATE_VICTIMS_MAX) {
            if checked.len() >= CANDIDATE_HOSTS_MAX {
                break;
            }
            let Some(TaskState::Booked { host, .. }) = self.state(*victim) else { continue };
            let fits = size.fits_in(&self.fleet.hosts[host].capacity);
            if !fits || !checked.insert(host) {
                continue;
            }
            let Some(found) = self.victims_on(host, size, rule) else { continue };
            if best.as_ref().is_none_or(|(_, fewest)| found.len() < fewest.len()) {
                best = Some((host, found));
            }
            if best.as_ref().is_some_and(|(_, fewest)| fewest.len() <= 1) {
                break;
            }
        }
        best
    }

    /// Returns the tasks to preempt on a worker to make room for `size`, the latest start first within a class rank.
    /// The list is empty if requested stops alone make enough room; `None` means that preemption cannot make enough
    /// room.
    pub(crate) fn victims_on(
        &self,
        slot: usize,
        size: &Size,
        rule: &PreemptionRule,
    ) -> Option<Vec<TaskKey>> {
        let host = &self.fleet.hosts[slot];
        if !host.is_usable() || !size.fits_in(&host.capacity) {
            return None;
        }
        let mut room = host.available_after_stops();
        if rule.urgent {
            room = room.plus(&self.reserved_on(slot));
        }
        let mut tasks: Vec<Victim> = Vec::new();
        for key in &host.tasks {
            let rank = self.jobs.get(key.0).and_then(|record| record.victim_rank());
            if let (Some(rank), Some(TaskState::Booked { sequence, stopping: false, .. })) =
                (rank, self.state(*key))
            {
                tasks.push((rank, std::cmp::Reverse(sequence), *key));
            }
        }
        tasks.sort();
        let mut booked = BTreeMap::new();
        let mut victims = Vec::new();
        for (_, _, key) in tasks {
            if room.holds(size) {
                break;
            }
            let Some(record) = self.jobs.get(key.0) else { continue };
            if victims.contains(&key) {
                room.add(&record.job.size);
                continue;
            }
            let account = &self.teams.accounts[record.team];
            let held = booked.entry(record.team).or_insert(account.booked_after_stops());
            if rule.allows(account, held, record) {
                held.subtract(&record.preempted_size());
                room.add(&record.job.size);
                victims.extend(self.gang_parts_of(key));
            }
        }
        room.holds(size).then_some(victims)
    }

    /// Returns the total size of those of `tasks` that run on a worker.
    fn booked_on(&self, host: usize, tasks: &[TaskKey]) -> Sum {
        let mut sum = Sum::default();
        for key in tasks {
            let here =
                matches!(self.state(*key), Some(TaskState::Booked { host: at, .. }) if at == host);
            if let Some(record) = self.jobs.get(key.0).filter(|_| here) {
                sum.add(&record.job.size);
            }
        }
        sum
    }

    /// Returns the task, or all running parts if it belongs to a gang.
    fn gang_parts_of(&self, key: TaskKey) -> Vec<TaskKey> {
        let Some(record) = self.jobs.get(key.0).filter(|record| record.is_gang()) else {
            return vec![key];
        };
        let parts = (0..record.tasks.len() as u32).map(|index| (key.0, index));
        parts.filter(|part| matches!(self.state(*part), Some(TaskState::Booked { .. }))).collect()
    }

    /// Requests a checkpoint or a stop of each task. A checkpoint is requested only from tasks without an earlier
    /// request, a stop only from tasks with one.
    pub(crate) fn stop_victims(&mut self, round: &mut Round, victims: &[TaskKey], mode: StopMode) {
        for key in victims {
            let Some(TaskState::Booked { host, stopping, .. }) = self.state(*key) else { continue };
            if stopping == (mode == StopMode::Checkpoint) {
                continue;
            }
            self.mark_stopping(*key);
            let Some(task) = self.task(*key) else { continue };
            let worker = self.fleet.hosts[host].id.clone();
            round.actions.push(Action::Stop { task, worker, mode });
        }
    }

    /// Returns whether the task still waits, and the capacity and the grant allow its start.
    fn is_preemption_ready(&self, preemption: &Preemption) -> bool {
        let host = &self.fleet.hosts[preemption.host];
        let team = self.jobs.get(preemption.key.0).map(|record| record.team);
        self.is_waiting(preemption.key)
            && host.is_usable()
            && host.unbooked().holds(&preemption.size)
            && team.is_some_and(|team| self.teams.accounts[team].allows(&preemption.size))
    }
}
