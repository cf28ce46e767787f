//! Reservations against starvation: capacity is held for all parts of a gang, or for a large task that smaller ones
//! would overtake forever, until running tasks have ended. Reservations expire, and together hold a bounded part of the
//! fleet.

use std::collections::BTreeMap;

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::Mode;

use crate::claim::Judge;
use crate::decide::Round;
use crate::engine::Engine;
use crate::fleet::copies;
use crate::jobs::TaskState;
use crate::queue::Key;
use crate::sum::Sum;
use crate::teams::{LANES, URGENT};

/// Time between attempts to make a reservation.
const RETRY: Duration = Duration::from_millis(500);
/// Workers that one attempt considers, unless the job needs more. Each takes about 1 us; the next attempt starts at
/// others.
const HOSTS_MAX: usize = 256;
/// Workers that one attempt considers per task, if that is more than `HOSTS_MAX`.
const HOSTS_PER_TASK: usize = 4;
/// Waiting time after which a gang may get a reservation.
const GANG_PATIENCE: Duration = Duration::from_secs(30);
/// Waiting time after which urgent work may get a reservation; until then, it relies on preemption.
const URGENT_PATIENCE: Duration = Duration::from_millis(500);
/// Waiting time after which any other task may get a reservation.
const TASK_PATIENCE: Duration = Duration::from_secs(20);
/// Reservations that are exempt from `HELD_PART_MAX`. On a shard of few workers, one alone holds a large part.
const RESERVATIONS_MIN: usize = 1;
/// Maximum fraction of any resource that all reservations may hold together.
const HELD_PART_MAX: f64 = 0.05;

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
    victims: Vec<Key>,
    /// When victims that still run get a stop request; `None` once it was sent.
    stop_at: Option<Instant>,
    pub(crate) until: Instant,
}

impl Engine {
    /// Starts all parts of a gang if they fit together. Returns whether they were started.
    pub(crate) fn start_whole(&mut self, round: &mut Round, slot: usize) -> bool {
        let Some((size, parts)) = self.startable_gang(slot) else { return false };
        if !self.has_space(round, parts) {
            return false;
        }
        let enough = self.fleet.has_in_total(&size.times(parts));
        let (hosts, missing) =
            if enough { self.find_all(slot, &size, parts) } else { (vec![], parts) };
        if missing > 0 {
            let version = self.fleet.version;
            self.jobs.get_mut(slot).into_iter().for_each(|record| record.tried = version);
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
            let ready = self.is_ready(round, &reservation);
            let expired = reservation.until <= round.now;
            if !ready && !expired && self.is_intact(&reservation) {
                let stop = reservation.stop_at.is_some_and(|at| at <= round.now);
                if stop && round.left() >= reservation.victims.len() {
                    reservation.stop_at = None;
                    self.stop_victims(round, &reservation.victims, Mode::Stop);
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
                record.reserve_at = Some(round.now + self.policy.gang_reservation);
            }
        }
    }

    /// Makes a reservation for the job that has waited the longest, services first. Fair shares do not count here,
    /// because the teams with the lowest share would get every reservation and the work of other teams could starve.
    pub(crate) fn reserve(&mut self, round: &mut Round) {
        if self.reservation_at.is_some_and(|at| round.now < at) {
            return;
        }
        self.reservation_at = Some(round.now + RETRY);
        self.reserve_from = self.reserve_from.wrapping_add(HOSTS_MAX);
        if self.fleet.known == 0 {
            return;
        }
        let total = self.fleet.total();
        let judge = self.judge();
        let mut starving = Vec::new();
        for team in self.teams.order(&total) {
            let Some((slot, indices)) = self.next_starving(round.now, team) else { continue };
            let Some(record) = self.jobs.get(slot) else { continue };
            starving.push((!record.is_service(), record.queued, record.sequence, slot, indices));
        }
        starving.sort();
        for (.., slot, indices) in starving {
            if self.reserve_for(round, &judge, slot, indices) {
                return;
            }
        }
    }

    /// Returns the first gang or other task of the team that may get a reservation, as slot and task indices.
    fn next_starving(&self, now: Instant, team: usize) -> Option<(usize, Vec<u32>)> {
        let account = &self.teams.accounts[team];
        let may = |slot: usize, patience: Duration| {
            let reserved = self.reservations.iter().any(|reservation| reservation.slot == slot)
                || self.claims.iter().any(|claim| claim.key.0 == slot);
            let record = self.jobs.get(slot).filter(|_| !reserved);
            record.is_some_and(|record| {
                record.queued + patience <= now && record.reserve_at.is_none_or(|at| at <= now)
            })
        };
        let gang = account
            .gangs
            .keys()
            .map(|(_, slot)| *slot)
            .find(|slot| may(*slot, GANG_PATIENCE) && self.startable_gang(*slot).is_some());
        if let Some((slot, parts)) =
            gang.and_then(|slot| Some((slot, self.startable_gang(slot)?.1)))
        {
            return Some((slot, (0..parts as u32).collect()));
        }
        let room = account.headroom().min(&self.fleet.largest());
        for lane in 0..LANES {
            let patience = if lane == URGENT { URGENT_PATIENCE } else { TASK_PATIENCE };
            let lane = &account.lanes[lane];
            let mut from = 0;
            while let Some((position, key, size)) = lane.first(from, &room) {
                from = position + 1;
                if !may(key.0, patience) {
                    // Later tasks have waited less, unless this one has a reservation or preemption or is in backoff.
                    let held = self.reservations.iter().any(|other| other.slot == key.0)
                        || self.claims.iter().any(|claim| claim.key.0 == key.0);
                    let resting = self.jobs.get(key.0).is_some_and(|it| it.reserve_at.is_some());
                    if held || resting {
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
        judge: &Judge,
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
        let few = self.reservations.len() < RESERVATIONS_MIN;
        let exempt = few || record.job.class == Class::Urgent;
        if !exempt && held.size().dominant_part(&judge.total) > HELD_PART_MAX {
            return false;
        }
        let mut after = self.teams.accounts[team].booked;
        after.add(&size.times(count));
        let account = &self.teams.accounts[team];
        let entitled = judge.level(account, &account.booked) < judge.fair_level();
        let judge = &judge.for_level(judge.level(account, &after));
        let Some(hosts) = self.soonest_hosts(round.now, judge, entitled, slot, count) else {
            return false;
        };
        let mut victims = Vec::new();
        for (host, parts) in &hosts {
            let needed = size.times(*parts);
            let more = self.victims_on(*host, &needed, judge);
            if let Some(more) = more.filter(|more| entitled && more.len() <= round.left()) {
                self.stop_victims(round, &more, Mode::Checkpoint);
                victims.extend(more);
            }
            self.fleet.hold(*host, &needed);
        }
        let stop_at = Some(round.now + self.grace());
        let until = round.now + self.policy.gang_reservation;
        self.reservations.push(Reservation { slot, indices, size, hosts, victims, stop_at, until });
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
    fn has_space(&self, round: &Round, parts: u64) -> bool {
        round.actions.is_empty() || parts <= round.left() as u64
    }

    /// Returns whether all tasks of a reservation may start now.
    fn is_ready(&self, round: &Round, reservation: &Reservation) -> bool {
        let Some(record) = self.jobs.get(reservation.slot) else { return false };
        let count = reservation.indices.len() as u64;
        let waits =
            reservation.indices.iter().all(|index| self.is_waiting((reservation.slot, *index)));
        let whole = !record.is_gang() || self.startable_gang(reservation.slot).is_some();
        let account = &self.teams.accounts[record.team];
        waits
            && whole
            && account.allows(&reservation.size.times(count))
            && self.has_space(round, count)
            && reservation.hosts.iter().all(|(slot, count)| {
                let host = &self.fleet.hosts[*slot];
                host.is_usable()
                    && *count <= host.starts_max()
                    && host.unbooked().holds(&reservation.size.times(*count))
            })
    }

    /// Returns whether all tasks still wait and all workers are schedulable and healthy.
    fn is_intact(&self, reservation: &Reservation) -> bool {
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
        judge: &Judge,
        entitled: bool,
        job: usize,
        tasks: u64,
    ) -> Option<Vec<(usize, u64)>> {
        let size = &self.jobs.get(job)?.job.size;
        let mut offers: Vec<(Duration, usize)> = Vec::new();
        let mut looked = 0;
        let most = HOSTS_MAX.max(HOSTS_PER_TASK * tasks as usize);
        let (before, after) = self.fleet.hosts.split_at(self.reserve_from % self.fleet.hosts.len());
        let hosts = (self.reserve_from % self.fleet.hosts.len()..).zip(after);
        for (slot, host) in hosts.chain(before.iter().enumerate()) {
            let fits = size.fits_in(&host.capacity);
            let open = host.known && host.schedulable && !host.health.is_restricted();
            if !fits || !open || !self.may_place((job, 0), slot) {
                continue;
            }
            looked += 1;
            if looked > most {
                break;
            }
            let count = copies(&host.capacity, size).min(tasks).min(host.starts_max());
            let times = self.expected_room(now, judge, entitled, slot, size, count);
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
        judge: &Judge,
        entitled: bool,
        slot: usize,
        size: &Size,
        count: u64,
    ) -> Vec<Duration> {
        let host = &self.fleet.hosts[slot];
        let mut ends: Vec<(Duration, Key)> = Vec::new();
        for key in &host.tasks {
            let end = self.expected_end(now, *key);
            let reclaimed = entitled && self.may_reclaim(*key, judge);
            let end = if reclaimed { Some(self.grace()) } else { end };
            ends.extend(end.map(|end| (end, *key)));
        }
        ends.sort();
        let mut ends = ends.into_iter();
        let mut room: Sum = host.unbooked().less(&host.held);
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
    pub(crate) fn expected_end(&self, now: Instant, key: Key) -> Option<Duration> {
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
