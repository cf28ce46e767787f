//! Giving back: capacity that teams use above their share is reclaimed for waiting tasks.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

use crate::decide::Round;
use crate::engine::Engine;
use crate::jobs::{Record, TaskState};
use crate::planner::Action;
use crate::queue::Key;
use crate::sum::Sum;
use crate::teams::{Account, LANES, REPLACEMENT, URGENT, Victim};

/// Claims that one team may have open for work that is not urgent.
const TEAM_CLAIMS_MAX: usize = 16;
/// Claims that one round adds.
const ROUND_CLAIMS_MAX: usize = 16;
/// Workers that are compared for one claim.
const HOSTS_MAX: usize = 64;
/// Running tasks that are looked at for one claim.
const VICTIMS_MAX: usize = 1024;
/// Time between attempts of a team that found nothing to reclaim.
const RETRY: Duration = Duration::from_millis(100);
/// A task that was asked to save its progress is stopped after this part of the urgent bound.
const GRACE_PART: u32 = 2;

/// Room that is held on a worker for a waiting task until the tasks in its way have ended.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) key: Key,
    host: usize,
    size: Size,
    victims: Vec<Key>,
    /// When tasks that have not ended are stopped.
    stop_at: Option<Instant>,
    until: Instant,
}

/// What decides whether a running task may be reclaimed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Judge {
    /// Sum of the weights of the active teams.
    pub(crate) weight: f64,
    /// Capacity of the open workers.
    pub(crate) total: Size,
    /// Whether it is for urgent work: then a task may be reclaimed that is only in part above its team's share.
    pub(crate) urgent: bool,
    /// Level that a team must keep that gives for work that is not urgent.
    pub(crate) floor: f64,
    /// Team whose own batch tasks (for urgent work, its gangs too) may give way as well, whatever its share.
    pub(crate) own: Option<usize>,
}

impl Judge {
    /// Level that every team could have at once: its part of the total over its weight.
    pub(crate) fn fair_level(&self) -> f64 {
        1.0 / self.weight
    }

    /// Level of a team with `booked`.
    pub(crate) fn level(&self, account: &Account, booked: &Sum) -> f64 {
        booked.size().dominant_share(&self.total) / f64::from(account.share)
    }

    /// The same for work that brings its team to `level`: those who give keep at least as much.
    pub(crate) fn for_level(&self, level: f64) -> Judge {
        Judge { floor: self.fair_level().max(level), ..*self }
    }

    /// The same for the tasks of one lane of a team.
    fn for_lane(&self, team: usize, lane: usize) -> Judge {
        let own = matches!(lane, URGENT | REPLACEMENT).then_some(team);
        Judge { urgent: lane == URGENT, own, ..*self }
    }

    /// Whether a running task may be reclaimed while its team has `booked`.
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
    /// Judge for work that is not urgent, of a team below its share.
    pub(crate) fn judge(&self) -> Judge {
        let (weight, total) = (self.teams.active_weight(), self.fleet.total());
        Judge { weight, total, urgent: false, floor: 1.0 / weight, own: None }
    }

    /// Time that a task gets to save its progress before it is stopped.
    pub(crate) fn grace(&self) -> Duration {
        self.policy.urgent_bound / GRACE_PART
    }

    /// Whether a running task may be reclaimed now.
    pub(crate) fn may_reclaim(&self, key: Key, judge: &Judge) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let account = &self.teams.accounts[record.team];
        let running = matches!(self.state(key), Some(TaskState::Booked { stopping: false, .. }));
        running
            && record.victim_rank().is_some()
            && judge.allows(account, &account.staying(), record)
    }

    /// Starts tasks whose room has become free, stops what did not save its progress in time, and drops old claims.
    pub(crate) fn advance_claims(&mut self, round: &mut Round) {
        let claims = std::mem::take(&mut self.claims);
        for mut claim in claims {
            if self.is_ripe(&claim) && round.left() > 0 {
                self.fleet.unhold(claim.host, &claim.size);
                self.start(round, claim.key, claim.host);
                continue;
            }
            let host = &self.fleet.hosts[claim.host];
            if !self.is_waiting(claim.key) || !host.known || !host.open || claim.until <= round.now
            {
                self.fleet.unhold(claim.host, &claim.size);
                continue;
            }
            if claim.stop_at.is_some_and(|at| at <= round.now)
                && round.left() >= claim.victims.len()
            {
                claim.stop_at = None;
                self.stop_victims(round, &claim.victims, StopMode::Stop);
            }
            self.claims.push(claim);
        }
    }

    /// Requests capacity for urgent tasks and for teams below their share.
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

    /// First task of a lane that may claim capacity and has no claim yet, with the level that it brings its team to.
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
        self.stop_victims(round, &victims, StopMode::Checkpoint);
        let stop_at = Some(round.now + self.grace());
        let until = round.now + self.policy.urgent_bound;
        self.claims.push(Claim { key, host, size, victims, stop_at, until });
        true
    }

    /// Worker where the fewest tasks above their team's share must end to make room, with those tasks.
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

    /// Tasks above their team's share whose end makes room for `size` on a worker, the latest start first. None where the
    /// room comes without them.
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

    /// Sizes of those of the tasks that run on a worker.
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

    /// The task, or all running parts of its gang.
    fn ends_with(&self, key: Key) -> Vec<Key> {
        let Some(record) = self.jobs.get(key.0).filter(|record| record.is_gang()) else {
            return vec![key];
        };
        let parts = (0..record.tasks.len() as u32).map(|index| (key.0, index));
        parts.filter(|part| matches!(self.state(*part), Some(TaskState::Booked { .. }))).collect()
    }

    pub(crate) fn stop_victims(&mut self, round: &mut Round, victims: &[Key], mode: StopMode) {
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

    fn is_ripe(&self, claim: &Claim) -> bool {
        let host = &self.fleet.hosts[claim.host];
        let team = self.jobs.get(claim.key.0).map(|record| record.team);
        self.is_waiting(claim.key)
            && host.is_usable()
            && host.unbooked().holds(&claim.size)
            && team.is_some_and(|team| self.teams.accounts[team].allows(&claim.size))
    }
}
