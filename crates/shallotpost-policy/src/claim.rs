//! Preemption: tasks of teams above their fair share are stopped to make room for waiting tasks.
//!
//! A preempted task first gets a checkpoint request. If it still runs after the grace period, it gets a stop request.
//! Its capacity is held on the worker for the waiting task.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::Mode;

use crate::decide::Round;
use crate::engine::Engine;
use crate::jobs::{Record, TaskState};
use crate::planner::Action;
use crate::queue::Key;
use crate::sum::Sum;
use crate::teams::{Account, LANES, REPLACEMENT, URGENT, Victim};

/// Maximum preemptions that one team may have pending for work that is not urgent.
const TEAM_CLAIMS_MAX: usize = 16;
/// Maximum preemptions that one round attempts.
const ROUND_CLAIMS_MAX: usize = 16;
/// Maximum workers that are compared for one preemption.
const HOSTS_MAX: usize = 64;
/// Maximum running tasks that are considered for one preemption.
const VICTIMS_MAX: usize = 1024;
/// Backoff of a team for which no preemption was possible.
const RETRY: Duration = Duration::from_millis(100);
/// The grace period between the checkpoint request and the stop request is the urgent bound divided by this.
const GRACE_PART: u32 = 2;

/// Capacity that is held on a worker for a waiting task until the preempted tasks have ended.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) key: Key,
    host: usize,
    size: Size,
    victims: Vec<Key>,
    /// When victims that still run get a stop request; `None` once it was sent.
    stop_at: Option<Instant>,
    until: Instant,
}

/// Criteria that decide whether a running task may be preempted.
///
/// The weighted share of a team is its dominant share of the total capacity divided by its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Judge {
    /// Sum of the weights of the active teams.
    pub(crate) total_weight: f64,
    /// Capacity of the schedulable workers.
    pub(crate) total: Size,
    /// Whether the preemption is for urgent work, which may take a task that is only partly above its team's fair
    /// share.
    pub(crate) urgent: bool,
    /// Minimum weighted share that a victim's team keeps; does not apply to urgent work.
    pub(crate) floor: f64,
    /// Team that preempts its own batch tasks (for urgent work, its gangs too) regardless of its share.
    pub(crate) own: Option<usize>,
}

impl Judge {
    /// Returns the weighted share at which all active teams together use the total capacity.
    pub(crate) fn fair_level(&self) -> f64 {
        1.0 / self.total_weight
    }

    /// Returns the weighted share of a team that has `booked`.
    pub(crate) fn level(&self, account: &Account, booked: &Sum) -> f64 {
        booked.size().dominant_part(&self.total) / f64::from(account.weight)
    }

    /// Returns the criteria for work that raises its team to `level`. Teams of victims keep at least that much.
    pub(crate) fn for_level(&self, level: f64) -> Judge {
        Judge { floor: self.fair_level().max(level), ..*self }
    }

    /// Returns the criteria for the tasks of one lane of a team.
    fn for_lane(&self, team: usize, lane: usize) -> Judge {
        let own = matches!(lane, URGENT | REPLACEMENT).then_some(team);
        Judge { urgent: lane == URGENT, own, ..*self }
    }

    /// Returns whether a running task may be preempted while its team has `booked`.
    fn allows(&self, account: &Account, booked: &Sum, record: &Record) -> bool {
        let own = self.own == Some(record.team);
        match record.job.class {
            Class::Batch if own => return true,
            Class::Gang { .. } if own && self.urgent => return true,
            _ => {}
        }
        let mut after = *booked;
        after.subtract(&record.size_at_once());
        match self.urgent {
            true => self.level(account, booked) > self.fair_level(),
            false => self.level(account, &after) >= self.floor,
        }
    }
}

impl Engine {
    /// Returns the criteria for work that is not urgent, of a team below its fair share.
    pub(crate) fn judge(&self) -> Judge {
        let (total_weight, total) = (self.teams.active_weight(), self.fleet.total());
        Judge { total_weight, total, urgent: false, floor: 1.0 / total_weight, own: None }
    }

    /// Returns the time between a checkpoint request and the stop request that follows it.
    pub(crate) fn grace(&self) -> Duration {
        self.policy.urgent_bound / GRACE_PART
    }

    /// Returns whether the task runs and may be preempted now.
    pub(crate) fn may_reclaim(&self, key: Key, judge: &Judge) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let account = &self.teams.accounts[record.team];
        let running = matches!(self.state(key), Some(TaskState::Booked { stopping: false, .. }));
        running
            && record.victim_rank().is_some()
            && judge.allows(account, &account.staying(), record)
    }

    /// Starts tasks whose held capacity is free, sends stop requests to victims that outlasted the grace period, and
    /// drops preemptions that have expired or lost their task or worker.
    pub(crate) fn advance_claims(&mut self, round: &mut Round) {
        let claims = std::mem::take(&mut self.claims);
        for mut claim in claims {
            if self.is_ripe(&claim) && round.left() > 0 {
                self.fleet.unhold(claim.host, &claim.size);
                self.start(round, claim.key, claim.host);
                continue;
            }
            let host = &self.fleet.hosts[claim.host];
            if !self.is_waiting(claim.key)
                || !host.known
                || !host.schedulable
                || claim.until <= round.now
            {
                self.fleet.unhold(claim.host, &claim.size);
                continue;
            }
            if claim.stop_at.is_some_and(|at| at <= round.now)
                && round.left() >= claim.victims.len()
            {
                claim.stop_at = None;
                self.stop_victims(round, &claim.victims, Mode::Stop);
            }
            self.claims.push(claim);
        }
    }

    /// Preempts tasks for urgent work, for service replacements and for teams below their fair share.
    pub(crate) fn reclaim(&mut self, round: &mut Round) {
        let total = self.fleet.total();
        let judge = self.judge();
        let mut budget = ROUND_CLAIMS_MAX;
        for team in self.teams.order(&total) {
            let account = &self.teams.accounts[team];
            if account.reclaim_at.is_some_and(|at| round.now < at) {
                continue;
            }
            let mut found = true;
            for lane in 0..LANES {
                while found && budget > 0 && round.left() > 0 {
                    let Some((key, level)) = self.next_unclaimed(team, lane, &judge) else { break };
                    found = self.claim(round, key, &judge.for_level(level).for_lane(team, lane));
                    budget -= 1;
                }
            }
            if !found {
                self.teams.accounts[team].reclaim_at = Some(round.now + RETRY);
            }
        }
    }

    /// Returns the first task of a lane that may preempt and has no preemption pending, with the weighted share that
    /// its start gives its team.
    fn next_unclaimed(&self, team: usize, lane: usize, judge: &Judge) -> Option<(Key, f64)> {
        let account = &self.teams.accounts[team];
        let mut claimed = BTreeSet::new();
        let mut booked = account.booked;
        for claim in &self.claims {
            if self.jobs.get(claim.key.0).is_some_and(|record| record.team == team) {
                claimed.insert(claim.key);
                booked.add(&claim.size);
            }
        }
        if lane != URGENT && claimed.len() >= TEAM_CLAIMS_MAX {
            return None;
        }
        let grant = account.grant?;
        let room = Sum::from(&grant).less(&booked).size().min(&self.fleet.largest());
        let below = judge.level(account, &booked) < judge.fair_level();
        let mut from = 0;
        while let Some((position, key, size)) = account.lanes[lane].first(from, &room) {
            from = position + 1;
            if claimed.contains(&key) {
                continue;
            }
            let mut after = booked;
            after.add(&size);
            let may = below || matches!(lane, URGENT | REPLACEMENT);
            return may.then(|| (key, judge.level(account, &after)));
        }
        None
    }

    /// Preempts tasks for `key` and holds their capacity. Returns false if no worker can make room.
    fn claim(&mut self, round: &mut Round, key: Key, judge: &Judge) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let size = record.job.size;
        let Some((host, victims)) = self.cheapest_host(&size, judge) else { return false };
        if victims.len() > round.left() {
            return false;
        }
        let room = self.fleet.hosts[host].future();
        if judge.urgent && !room.plus(&self.sum_on(host, &victims)).holds(&size) {
            self.drop_reservations_on(host);
        }
        self.fleet.hold(host, &size);
        self.stop_victims(round, &victims, Mode::Checkpoint);
        let stop_at = Some(round.now + self.grace());
        let until = round.now + self.policy.urgent_bound;
        self.claims.push(Claim { key, host, size, victims, stop_at, until });
        true
    }

    /// Returns the worker on which the fewest tasks must be preempted to make room for `size`, with those tasks.
    fn cheapest_host(&self, size: &Size, judge: &Judge) -> Option<(usize, Vec<Key>)> {
        let mut over: Vec<(f64, usize)> = Vec::new();
        for (slot, account) in self.teams.accounts.iter().enumerate() {
            let excess = judge.level(account, &account.staying()) - judge.fair_level();
            let gives = excess > 0.0 || judge.own == Some(slot);
            if gives && !account.victims.is_empty() {
                over.push((excess, slot));
            }
        }
        over.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        let mut checked = BTreeSet::new();
        let mut best: Option<(usize, Vec<Key>)> = None;
        let reserved = self.reservations.iter().filter(|_| judge.urgent);
        let reserved: BTreeSet<usize> =
            reserved.flat_map(|it| it.hosts.iter().map(|(host, _)| *host)).collect();
        for host in reserved {
            if let Some(found) = self.victims_on(host, size, judge).filter(Vec::is_empty) {
                return Some((host, found));
            }
        }
        let victims = over.iter().flat_map(|(_, team)| &self.teams.accounts[*team].victims);
        for (_, _, victim) in victims.take(VICTIMS_MAX) {
            let Some(TaskState::Booked { host, .. }) = self.state(*victim) else { continue };
            let fits = size.fits_in(&self.fleet.hosts[host].capacity);
            if !fits || checked.len() >= HOSTS_MAX || !checked.insert(host) {
                continue;
            }
            let Some(found) = self.victims_on(host, size, judge) else { continue };
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
    pub(crate) fn victims_on(&self, slot: usize, size: &Size, judge: &Judge) -> Option<Vec<Key>> {
        let host = &self.fleet.hosts[slot];
        if !host.is_usable() || !size.fits_in(&host.capacity) {
            return None;
        }
        let mut room = host.future();
        if judge.urgent {
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
            let held = booked.entry(record.team).or_insert(account.staying());
            if judge.allows(account, held, record) {
                held.subtract(&record.size_at_once());
                room.add(&record.job.size);
                victims.extend(self.ends_with(key));
            }
        }
        room.holds(size).then_some(victims)
    }

    /// Returns the total size of those of `tasks` that run on a worker.
    fn sum_on(&self, host: usize, tasks: &[Key]) -> Sum {
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
    fn ends_with(&self, key: Key) -> Vec<Key> {
        let Some(record) = self.jobs.get(key.0).filter(|record| record.is_gang()) else {
            return vec![key];
        };
        let parts = (0..record.tasks.len() as u32).map(|index| (key.0, index));
        parts.filter(|part| matches!(self.state(*part), Some(TaskState::Booked { .. }))).collect()
    }

    /// Requests a checkpoint or a stop of each task. A checkpoint is requested only from tasks without an earlier
    /// request, a stop only from tasks with one.
    pub(crate) fn stop_victims(&mut self, round: &mut Round, victims: &[Key], mode: Mode) {
        for key in victims {
            let Some(TaskState::Booked { host, stopping, .. }) = self.state(*key) else { continue };
            if stopping == (mode == Mode::Checkpoint) {
                continue;
            }
            self.mark_stopping(*key);
            let Some(task) = self.task(*key) else { continue };
            let worker = self.fleet.hosts[host].id.clone();
            round.actions.push(Action::Stop { task, worker, mode });
        }
    }

    /// Returns whether the task still waits, and the capacity and the grant allow its start.
    fn is_ripe(&self, claim: &Claim) -> bool {
        let host = &self.fleet.hosts[claim.host];
        let team = self.jobs.get(claim.key.0).map(|record| record.team);
        self.is_waiting(claim.key)
            && host.is_usable()
            && host.unbooked().holds(&claim.size)
            && team.is_some_and(|team| self.teams.accounts[team].allows(&claim.size))
    }
}
