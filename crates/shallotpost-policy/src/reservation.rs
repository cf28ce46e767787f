//! Reservations against starvation: capacity is held for all parts of a gang, or for a large task that smaller ones
//! would overtake forever, until running tasks have ended. Reservations expire, and together hold a bounded part of the
//! fleet.

use std::collections::BTreeMap;

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

use crate::engine::Engine;
use crate::fleet::fit_count;
use crate::jobs::TaskState;
use crate::preemption::PreemptionRule;
use crate::queue::TaskKey;
use crate::round::Round;
use crate::sum::Sum;
use crate::teams::{LANES, URGENT};

/// Time between attempts to make a reservation.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of workers that one attempt considers, unless the job needs more. Each takes about 1 us; the next attempt
/// starts at others.
const CANDIDATE_HOSTS_MIN: usize = 256;
/// Number of workers that one attempt considers per task, if that is more than `CANDIDATE_HOSTS_MIN`.
const CANDIDATE_HOSTS_PER_TASK: usize = 4;
/// Waiting time after which a gang may get a reservation.
const GANG_MIN_WAIT: Duration = Duration::from_secs(30);
/// Waiting time after which urgent work may get a reservation; until then, it relies on preemption.
const URGENT_MIN_WAIT: Duration = Duration::from_millis(500);
/// Waiting time after which any other task may get a reservation.
const TASK_MIN_WAIT: Duration = Duration::from_secs(20);
/// Number of reservations that are exempt from `HELD_FRACTION_MAX`. On a shard of few workers, one alone holds a large
/// part.
const EXEMPT_RESERVATIONS: usize = 1;
/// Maximum fraction of any resource that all reservations may hold together. Urgent work is exempt.
const HELD_FRACTION_MAX: f64 = 0.05;

/// Capacity that is held for tasks of one job that start together.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) slot: usize,
    /// Indices of the tasks in their job.
    indices: Vec<u32>,
    size: Size,
    /// Workers with the number of tasks for each.
    pub(crate) hosts: Vec<(usize, u64)>,
    /// Tasks that got a checkpoint request.
    victims: Vec<TaskKey>,
    /// When victims that still run get a stop request; `None` once it was sent.
    stop_at: Option<Instant>,
    pub(crate) expires_at: Instant,
}

impl Engine {
    /// Starts all parts of a gang if they fit together. Returns whether they were started.
    pub(crate) fn start_gang_if_fits(&mut self, round: &mut Round, slot: usize) -> bool {
        let Some((size, parts)) = self.startable_gang(slot) else { return false };
        if !self.fits_round_limit(round, parts) {
            return false;
        }
        let enough = self.fleet.total_free_holds(&size.times(parts));
        let (hosts, missing) =
            if enough { self.find_hosts(slot, &size, parts) } else { (vec![], parts) };
        if missing > 0 {
            let version = self.fleet.capacity_version;
            self.jobs.get_mut(slot).into_iter().for_each(|record| record.tried_version = version);
            return false;
        }
        let indices: Vec<u32> = (0..parts as u32).collect();
        self.start_together(round, slot, &indices, &hosts);
        true
    }

    /// Starts tasks whose reserved capacity is free, sends stop requests to victims that outlasted the grace period,
    /// and ends reservations that have expired or lost a task or a worker.
    pub(crate) fn advance_reservations(&mut self, round: &mut Round) {
        for mut reservation in std::mem::take(&mut self.reservations) {
            let ready = self.is_reservation_ready(round, &reservation);
            let expired = reservation.expires_at <= round.now;
            if !ready && !expired && self.is_reservation_valid(&reservation) {
                let stop = reservation.stop_at.is_some_and(|at| at <= round.now);
                if stop && round.remaining() >= reservation.victims.len() {
                    reservation.stop_at = None;
                    self.stop_victims(round, &reservation.victims, StopMode::Stop);
                }
                self.reservations.push(reservation);
                continue;
            }
            for (host, count) in &reservation.hosts {
                self.fleet.unhold(*host, &reservation.size.times(*count));
            }
            let Reservation { slot, indices, hosts, .. } = &reservation;
            if ready {
                self.start_together(round, *slot, indices, hosts);
            } else if let Some(record) = self.jobs.get_mut(*slot).filter(|_| expired) {
                record.next_reservation_at = Some(round.now + self.policy.gang_reservation);
            }
        }
    }

    /// Makes a reservation for the job that has waited the longest, services first. Fair shares do not count here,
    /// because the teams with the lowest share would get every reservation and the work of other teams could starve.
    pub(crate) fn reserve(&mut self, round: &mut Round) {
        if self.reservation_attempt_at.is_some_and(|at| round.now < at) {
            return;
        }
        self.reservation_attempt_at = Some(round.now + RETRY_INTERVAL);
        self.reserve_start = self.reserve_start.wrapping_add(CANDIDATE_HOSTS_MIN);
        if self.fleet.known_workers == 0 {
            return;
        }
        let total = self.fleet.total();
        let rule = self.preemption_rule();
        let mut starving = Vec::new();
        for team in self.teams.serving_order(&total) {
            let Some((slot, indices)) = self.next_starving(round.now, team) else { continue };
            let Some(record) = self.jobs.get(slot) else { continue };
            starving.push((
                !record.is_service(),
                record.waiting_since,
                record.sequence,
                slot,
                indices,
            ));
        }
        starving.sort();
        for (.., slot, indices) in starving {
            if self.reserve_for(round, &rule, slot, indices) {
                return;
            }
        }
    }

    /// Returns the first gang or other task of the team that may get a reservation, as slot and task indices.
    fn next_starving(&self, now: Instant, team: usize) -> Option<(usize, Vec<u32>)> {
        let account = &self.teams.accounts[team];
        let may_reserve = |slot: usize, min_wait: Duration| {
            let reserved = self.reservations.iter().any(|reservation| reservation.slot == slot)
                || self.preemptions.iter().any(|preemption| preemption.key.0 == slot);
            let record = self.jobs.get(slot).filter(|_| !reserved);
            record.is_some_and(|record| {
                record.waiting_since + min_wait <= now
                    && record.next_reservation_at.is_none_or(|at| at <= now)
            })
        };
        let gang =
            account.gangs.keys().map(|(_, slot)| *slot).find(|slot| {
                may_reserve(*slot, GANG_MIN_WAIT) && self.startable_gang(*slot).is_some()
            });
        if let Some((slot, parts)) =
            gang.and_then(|slot| Some((slot, self.startable_gang(slot)?.1)))
        {
            return Some((slot, (0..parts as u32).collect()));
        }
        let room = account.headroom().min(&self.fleet.largest());
        for lane in 0..LANES {
            let min_wait = if lane == URGENT { URGENT_MIN_WAIT } else { TASK_MIN_WAIT };
            let lane = &account.lanes[lane];
            let mut from = 0;
            while let Some((position, key, size)) = lane.first(from, &room) {
                from = position + 1;
                if !may_reserve(key.0, min_wait) {
                    // Later tasks have waited less, unless this one has a reservation or preemption or is in backoff.
                    let held = self.reservations.iter().any(|other| other.slot == key.0)
                        || self.preemptions.iter().any(|preemption| preemption.key.0 == key.0);
                    let in_backoff =
                        self.jobs.get(key.0).is_some_and(|it| it.next_reservation_at.is_some());
                    if held || in_backoff {
                        continue;
                    }
                    break;
                }
                if self.fleet.can_ever_hold(&size, 1) {
                    return Some((key.0, vec![key.1]));
                }
            }
        }
        None
    }

    fn reserve_for(
        &mut self,
        round: &mut Round,
        rule: &PreemptionRule,
        slot: usize,
        indices: Vec<u32>,
    ) -> bool {
        let Some(record) = self.jobs.get(slot) else { return false };
        let (size, count, team) = (record.job.size, indices.len() as u64, record.team);
        let mut held = Sum::default();
        for reservation in &self.reservations {
            held.add(&reservation.size.times(reservation.indices.len() as u64));
        }
        held.add(&size.times(count));
        let within_exempt_count = self.reservations.len() < EXEMPT_RESERVATIONS;
        let exempt = within_exempt_count || record.job.class == Class::Urgent;
        if !exempt && held.size().dominant_share(&rule.total_capacity) > HELD_FRACTION_MAX {
            return false;
        }
        let mut after = self.teams.accounts[team].booked;
        after.add(&size.times(count));
        let account = &self.teams.accounts[team];
        let below_fair_share =
            rule.weighted_share(account, &account.booked) < rule.fair_weighted_share();
        let rule = &rule.with_weighted_share(rule.weighted_share(account, &after));
        let Some(hosts) = self.soonest_hosts(round.now, rule, below_fair_share, slot, count) else {
            return false;
        };
        let mut victims = Vec::new();
        for (host, parts) in &hosts {
            let needed = size.times(*parts);
            let more = self.victims_on(*host, &needed, rule);
            if let Some(more) =
                more.filter(|more| below_fair_share && more.len() <= round.remaining())
            {
                self.stop_victims(round, &more, StopMode::Checkpoint);
                victims.extend(more);
            }
            self.fleet.hold(*host, &needed);
        }
        let stop_at = Some(round.now + self.grace());
        let expires_at = round.now + self.policy.gang_reservation;
        self.reservations.push(Reservation {
            slot,
            indices,
            size,
            hosts,
            victims,
            stop_at,
            expires_at,
        });
        true
    }

    /// Returns the capacity on a worker that reservations for work that is not urgent hold.
    pub(crate) fn reserved_on(&self, host: usize) -> Sum {
        let mut room = Sum::default();
        for reservation in self.reservations.iter().filter(|other| !self.is_urgent(other.slot)) {
            for (_, count) in reservation.hosts.iter().filter(|(slot, _)| *slot == host) {
                room.add(&reservation.size.times(*count));
            }
        }
        room
    }

    /// Drops the reservations for work that is not urgent that hold capacity on a worker. That work may get another
    /// one.
    pub(crate) fn drop_reservations_on(&mut self, host: usize) {
        for reservation in std::mem::take(&mut self.reservations) {
            let touched = reservation.hosts.iter().any(|(slot, _)| *slot == host);
            if self.is_urgent(reservation.slot) || !touched {
                self.reservations.push(reservation);
                continue;
            }
            for (host, count) in &reservation.hosts {
                self.fleet.unhold(*host, &reservation.size.times(*count));
            }
        }
    }

    fn is_urgent(&self, slot: usize) -> bool {
        self.jobs.get(slot).is_some_and(|record| record.job.class == Class::Urgent)
    }

    /// Returns the size and number of the parts of a gang if all of them wait, the grant allows them, and the workers
    /// could hold them when empty.
    fn startable_gang(&self, slot: usize) -> Option<(Size, u64)> {
        let record = self.jobs.get(slot)?;
        let parts = record.tasks.len() as u64;
        let (team, size) = (record.team, record.job.size);
        let whole = record.is_gang() && parts > 0 && u64::from(record.waiting) == parts;
        let allowed = self.teams.accounts[team].allows(&size.times(parts));
        (whole && allowed && self.fleet.can_ever_hold(&size, parts)).then_some((size, parts))
    }

    /// Returns whether the round may still start `parts` tasks. They may exceed its limit only as the first start.
    pub(crate) fn fits_round_limit(&self, round: &Round, parts: u64) -> bool {
        round.actions.is_empty() || parts <= round.remaining() as u64
    }

    /// Returns whether all tasks of a reservation may start now.
    fn is_reservation_ready(&self, round: &Round, reservation: &Reservation) -> bool {
        let Some(record) = self.jobs.get(reservation.slot) else { return false };
        let count = reservation.indices.len() as u64;
        let waits =
            reservation.indices.iter().all(|index| self.is_waiting((reservation.slot, *index)));
        let whole = !record.is_gang() || self.startable_gang(reservation.slot).is_some();
        let account = &self.teams.accounts[record.team];
        waits
            && whole
            && account.allows(&reservation.size.times(count))
            && self.fits_round_limit(round, count)
            && reservation.hosts.iter().all(|(slot, count)| {
                let host = &self.fleet.hosts[*slot];
                host.is_usable()
                    && *count <= host.concurrent_starts_max()
                    && host.unbooked().holds(&reservation.size.times(*count))
            })
    }

    /// Returns whether all tasks still wait and all workers are schedulable and healthy.
    fn is_reservation_valid(&self, reservation: &Reservation) -> bool {
        let usable = |(slot, _): &(usize, u64)| {
            let host = &self.fleet.hosts[*slot];
            host.known && host.schedulable && !host.health.is_restricted()
        };
        let waits = |index: &u32| self.is_waiting((reservation.slot, *index));
        reservation.hosts.iter().all(usable) && reservation.indices.iter().all(waits)
    }

    fn start_together(
        &mut self,
        round: &mut Round,
        slot: usize,
        indices: &[u32],
        hosts: &[(usize, u64)],
    ) {
        let places = hosts.iter().flat_map(|(host, count)| (0..*count).map(|_| *host));
        let places: Vec<usize> = places.collect();
        for (index, host) in indices.iter().zip(places) {
            self.start(round, (slot, *index), host);
        }
    }

    /// Returns the workers that are expected to have room for all tasks the soonest, with the number of tasks for each.
    /// `None` if no room is expected for some task.
    fn soonest_hosts(
        &self,
        now: Instant,
        rule: &PreemptionRule,
        below_fair_share: bool,
        job: usize,
        tasks: u64,
    ) -> Option<Vec<(usize, u64)>> {
        let size = &self.jobs.get(job)?.job.size;
        let mut offers: Vec<(Duration, usize)> = Vec::new();
        let mut considered = 0;
        let considered_max = CANDIDATE_HOSTS_MIN.max(CANDIDATE_HOSTS_PER_TASK * tasks as usize);
        let (before, after) =
            self.fleet.hosts.split_at(self.reserve_start % self.fleet.hosts.len());
        let hosts = (self.reserve_start % self.fleet.hosts.len()..).zip(after);
        for (slot, host) in hosts.chain(before.iter().enumerate()) {
            let fits = size.fits_in(&host.capacity);
            let open =
                host.known && host.schedulable && !host.set_aside && !host.health.is_restricted();
            if !fits || !open || !self.may_place((job, 0), slot) {
                continue;
            }
            considered += 1;
            if considered > considered_max {
                break;
            }
            let count =
                fit_count(&host.capacity, size).min(tasks).min(host.concurrent_starts_max());
            let times = self.expected_room(now, rule, below_fair_share, slot, size, count);
            offers.extend(times.into_iter().map(|time| (time, slot)));
        }
        if (offers.len() as u64) < tasks {
            return None;
        }
        offers.sort();
        let mut hosts = BTreeMap::new();
        for (_, slot) in offers.into_iter().take(tasks as usize) {
            *hosts.entry(slot).or_insert(0) += 1;
        }
        Some(hosts.into_iter().collect())
    }

    /// Returns the expected times until a worker has room for one, two, up to `count` tasks. The list is shorter if no
    /// room is expected for some of them.
    fn expected_room(
        &self,
        now: Instant,
        rule: &PreemptionRule,
        below_fair_share: bool,
        slot: usize,
        size: &Size,
        count: u64,
    ) -> Vec<Duration> {
        let host = &self.fleet.hosts[slot];
        let mut ends: Vec<(Duration, TaskKey)> = Vec::new();
        for key in &host.tasks {
            let end = self.expected_remaining(now, *key);
            let reclaimed = below_fair_share && self.is_preemptible(*key, rule);
            let end = if reclaimed { Some(self.grace()) } else { end };
            ends.extend(end.map(|end| (end, *key)));
        }
        ends.sort();
        let mut ends = ends.into_iter();
        let mut room: Sum = host.unbooked().minus(&host.held);
        let mut time = Duration::ZERO;
        let mut times = Vec::new();
        while (times.len() as u64) < count {
            if room.holds(&size.times(times.len() as u64 + 1)) {
                times.push(time);
                continue;
            }
            let Some((end, key)) = ends.next() else { break };
            time = end;
            if let Some(record) = self.jobs.get(key.0) {
                room.add(&record.job.size);
            }
        }
        times
    }

    /// Returns the expected time to the end of a running task; `None` for services, which run until they are stopped.
    pub(crate) fn expected_remaining(&self, now: Instant, key: TaskKey) -> Option<Duration> {
        let record = self.jobs.get(key.0)?;
        let TaskState::Booked { started, stopping, .. } = self.state(key)? else { return None };
        if stopping {
            return Some(Duration::ZERO);
        }
        if record.is_service() {
            return None;
        }
        let ran = now.saturating_duration_since(started);
        let expected = self.predictor.predict(record.team, record.job.run_time);
        // An overdue task is expected to continue for half the time that it has run.
        Some(expected.checked_sub(ran).unwrap_or(ran / 2))
    }
}
