//! Gangs: every part starts or none, with a reservation against starvation that expires.

use shallotpost_protocol::prelude::*;

use crate::decide::Round;
use crate::engine::Engine;
use crate::fleet::copies;
use crate::jobs::TaskState;
use crate::queue::Key;
use crate::sum::Sum;

/// Time between attempts to reserve; an attempt looks at every worker.
const RETRY: Duration = Duration::from_secs(1);

/// Room that is held for all parts of one gang.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) slot: usize,
    size: Size,
    /// Worker and number of parts.
    hosts: Vec<(usize, u64)>,
    pub(crate) until: Instant,
}

impl Engine {
    /// Starts all parts of a gang, or none.
    pub(crate) fn start_whole(&mut self, round: &mut Round, slot: usize) -> bool {
        let Some((size, parts)) = self.startable_gang(slot) else { return false };
        if !self.has_space(round, parts) || !self.fleet.has_in_total(&size.times(parts)) {
            return false;
        }
        let (hosts, missing) = self.find_all(&size, parts);
        if missing > 0 {
            return false;
        }
        self.start_parts(round, slot, &hosts);
        true
    }

    /// Starts the gang that holds the reservation once all its room is free; ends the reservation when it has expired.
    pub(crate) fn advance_reservation(&mut self, round: &mut Round) {
        let Some(reservation) = self.reservation.take() else { return };
        let expired = reservation.until <= round.now;
        let startable = self.startable_gang(reservation.slot);
        let intact = reservation
            .hosts
            .iter()
            .all(|(slot, _)| self.fleet.hosts[*slot].known && self.fleet.hosts[*slot].open);
        let waits = self.jobs.get(reservation.slot).is_some_and(|record| record.waiting > 0);
        let ready = startable.is_some_and(|(_, parts)| self.has_space(round, parts))
            && reservation.hosts.iter().all(|(slot, count)| {
                let host = &self.fleet.hosts[*slot];
                host.is_usable()
                    && *count <= host.starts_max()
                    && host.unbooked().holds(&reservation.size.times(*count))
            });
        if !ready && !expired && intact && waits {
            self.reservation = Some(reservation);
            return;
        }
        for (slot, count) in &reservation.hosts {
            self.fleet.unhold(*slot, &reservation.size.times(*count));
        }
        if ready {
            self.start_parts(round, reservation.slot, &reservation.hosts);
        } else if expired {
            self.reservation_at = Some(round.now + self.policy.gang_reservation);
        }
    }

    /// Gives a reservation to the first gang, by share, that could not start.
    pub(crate) fn reserve(&mut self, round: &mut Round) {
        let early = self.reservation_at.is_some_and(|at| round.now < at);
        if early || self.reservation.is_some() {
            return;
        }
        for team in self.teams.order(&self.fleet.total()) {
            let first = self.teams.accounts[team].gangs.iter().map(|(_, slot)| *slot);
            let gang = first.filter(|slot| self.startable_gang(*slot).is_some()).take(1).next();
            let Some(slot) = gang else { continue };
            let Some((size, parts)) = self.startable_gang(slot) else { continue };
            let Some(hosts) = self.soonest_hosts(round.now, &size, parts) else { continue };
            for (host, count) in &hosts {
                self.fleet.hold(*host, &size.times(*count));
            }
            let until = round.now + self.policy.gang_reservation;
            self.reservation = Some(Reservation { slot, size, hosts, until });
            return;
        }
        self.reservation_at = Some(round.now + RETRY);
    }

    /// Size and number of the parts, where all of them wait, workers could hold them and the grant allows them.
    fn startable_gang(&self, slot: usize) -> Option<(Size, u64)> {
        let record = self.jobs.get(slot)?;
        let parts = record.tasks.len() as u64;
        let (team, size) = (record.team, record.job.size);
        let whole = record.is_gang() && parts > 0 && u64::from(record.waiting) == parts;
        let allowed = self.teams.accounts[team].allows(&size.times(parts));
        (whole && allowed && self.fleet.can_ever_hold(&size, parts)).then_some((size, parts))
    }

    /// Whether the round has space for all parts; a gang may exceed the limit only as the first of a round.
    fn has_space(&self, round: &Round, parts: u64) -> bool {
        round.actions.is_empty() || parts <= round.left() as u64
    }

    fn start_parts(&mut self, round: &mut Round, slot: usize, hosts: &[(usize, u64)]) {
        let places = hosts.iter().flat_map(|(host, count)| (0..*count).map(|_| *host));
        let places: Vec<usize> = places.collect();
        for (index, host) in (0u32..).zip(places) {
            self.start(round, (slot, index), host);
        }
    }

    /// Workers that are expected to have room for all parts the soonest; `None` where room for some part is not expected.
    fn soonest_hosts(&self, now: Instant, size: &Size, parts: u64) -> Option<Vec<(usize, u64)>> {
        let mut offers: Vec<(Duration, usize)> = Vec::new();
        for (slot, host) in self.fleet.hosts.iter().enumerate() {
            if !host.known || !host.open || host.health.is_restricted() {
                continue;
            }
            let count = copies(&host.capacity, size).min(parts).min(host.starts_max());
            let times = self.expected_room(now, slot, size, count);
            offers.extend(times.into_iter().map(|time| (time, slot)));
        }
        if (offers.len() as u64) < parts {
            return None;
        }
        offers.sort();
        let mut hosts = std::collections::BTreeMap::new();
        for (_, slot) in offers.into_iter().take(parts as usize) {
            *hosts.entry(slot).or_insert(0) += 1;
        }
        Some(hosts.into_iter().collect())
    }

    /// Times until a worker has room for one, two, up to `count` parts.
    fn expected_room(&self, now: Instant, slot: usize, size: &Size, count: u64) -> Vec<Duration> {
        let host = &self.fleet.hosts[slot];
        let mut ends: Vec<(Duration, Key)> = Vec::new();
        for key in &host.tasks {
            ends.extend(self.expected_end(now, *key).map(|end| (end, *key)));
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

    /// Expected time to the end of a running task; `None` for one that runs until it is stopped.
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
        // A task that is overdue is expected to run on for half the time that it has run.
        Some(expected.checked_sub(ran).unwrap_or(ran / 2))
    }
}
