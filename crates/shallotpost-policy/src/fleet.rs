//! Workers of the shard, their bookings and the index of their free capacity.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use shallotpost_protocol::prelude::*;

use crate::health::{Health, HealthState};
use crate::index::{ABSENT, Amounts, Index};
use crate::losses::steady_time;
use crate::planner::Worker;
use crate::queue::TaskKey;
use crate::sum::Sum;

/// How long the start rate of a worker stays limited after a mass return.
const RATE_LIMIT_DURATION: Duration = Duration::from_secs(10);
/// Workers that return within this time count as one mass return.
const RETURN_WINDOW: Duration = Duration::from_secs(5);
/// Minimum number of workers in a mass return.
const MASS_RETURN_MIN: usize = 4;
/// A mass return includes at least one in this many workers of the shard.
const MASS_RETURN_DIVISOR: usize = 10;

/// One worker. Its slot is kept after its removal, so its health is known when it returns.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) id: WorkerId,
    /// Whether the worker currently belongs to the shard.
    pub(crate) known: bool,
    pub(crate) schedulable: bool,
    pub(crate) capacity: Size,
    pub(crate) rack: usize,
    pub(crate) booked: Sum,
    /// Capacity that preemptions and reservations hold for waiting tasks.
    pub(crate) held: Sum,
    /// Portion of `booked` whose stop was requested.
    pub(crate) stopping: Sum,
    pub(crate) tasks: BTreeSet<TaskKey>,
    pub(crate) health: Health,
    /// Whether the worker is set aside for suspect tasks.
    pub(crate) set_aside: bool,
    /// When the process of the worker started or was first seen; `None` before the worker was added.
    running_since: Option<Instant>,
    /// When the limit on the start rate ends.
    rate_limited_until: Option<Instant>,
    /// When the limited start rate allows the next start.
    next_start_at: Option<Instant>,
    /// Key of the worker in `Fleet::grown_hosts`.
    grown_version: u64,
    /// Pool and position in the index of the rack; `None` while the worker is not indexed.
    index_position: Option<(u64, usize)>,
}

impl Host {
    /// Returns the capacity that is not booked, including what is held. Negative if the capacity fell below the
    /// bookings.
    pub(crate) fn unbooked(&self) -> Sum {
        Sum::from(&self.capacity).minus(&self.booked)
    }

    /// Returns the capacity that is neither booked nor held once all requested stops are confirmed. May be negative.
    pub(crate) fn available_after_stops(&self) -> Sum {
        self.unbooked().minus(&self.held).plus(&self.stopping)
    }

    /// Returns whether the worker may get a task now.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_ready() && !self.set_aside
    }

    /// Returns whether the worker may get a task now, at least one for which it is set aside.
    pub(crate) fn is_ready(&self) -> bool {
        let healthy =
            matches!(self.health.state, HealthState::Healthy | HealthState::Probing { task: None });
        self.known && self.schedulable && healthy && self.next_start_at.is_none()
    }

    /// Returns whether the process of the worker has run for so long that its crash counts against a suspect task.
    /// `crashed` tells whether it crashed with the task before.
    pub(crate) fn is_steady(&self, now: Instant, crashed: bool) -> bool {
        self.running_since.is_some_and(|since| since + steady_time(crashed) <= now)
    }

    /// Returns whether the limited start rate prevents a start now.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.known && self.schedulable && self.next_start_at.is_some()
    }

    /// Returns the maximum number of tasks that may start at the same time.
    pub(crate) fn concurrent_starts_max(&self) -> u64 {
        if self.rate_limited_until.is_some() || self.health.is_restricted() { 1 } else { u64::MAX }
    }

    /// Returns the capacity that is free for any task. `None` if the worker may get no task, for example because its
    /// capacity fell below the bookings.
    pub(crate) fn free(&self) -> Option<Size> {
        let unbooked = self.unbooked();
        (self.is_usable() && !unbooked.has_negative()).then(|| unbooked.minus(&self.held).size())
    }
}

#[derive(Debug, Default)]
struct RackHosts {
    index: Index,
    hosts: Vec<Option<usize>>,
}

/// Workers with the same number of accelerators.
#[derive(Debug, Default)]
struct Pool {
    index: Index,
    racks: Vec<RackHosts>,
}

/// All workers of the shard.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Host>,
    /// Free capacity by slot, as returned by `Host::free`. Kept separate from `hosts` so that a scan touches little
    /// memory.
    free: Vec<Option<Size>>,
    slots: HashMap<WorkerId, usize>,
    pub(crate) racks: Vec<RackId>,
    rack_slots: HashMap<RackId, usize>,
    pools: BTreeMap<u64, Pool>,
    /// Number of workers by capacity.
    pub(crate) shapes: BTreeMap<Amounts, u64>,
    /// Total capacity of the schedulable workers.
    schedulable_capacity: Sum,
    /// Total free capacity of the usable workers.
    total_free: Sum,
    /// Workers by the capacity version at which their free capacity last grew. Each lane of waiting tasks stores the
    /// version up to which none of its tasks fits.
    pub(crate) grown_hosts: BTreeMap<u64, usize>,
    /// Incremented whenever the free capacity of a worker or the headroom of a team grows.
    pub(crate) capacity_version: u64,
    timers: BTreeSet<(Instant, usize)>,
    recent_returns: VecDeque<(Instant, usize)>,
    /// Minimum time between two starts on a worker while its start rate is limited.
    pub(crate) start_interval: Duration,
    /// Rack at which the last spread search started.
    rack_cursor: usize,
    pub(crate) known_workers: usize,
}

impl Fleet {
    pub(crate) fn slot(&self, id: &WorkerId) -> Option<usize> {
        self.slots.get(id).copied()
    }

    /// Returns the slot of a worker. An unknown worker is added without capacity and gets no tasks.
    pub(crate) fn slot_or_insert(&mut self, id: &WorkerId) -> usize {
        if let Some(slot) = self.slot(id) {
            return slot;
        }
        let slot = self.hosts.len();
        self.slots.insert(id.clone(), slot);
        self.free.push(None);
        self.hosts.push(Host {
            id: id.clone(),
            known: false,
            schedulable: false,
            capacity: Size::ZERO,
            rack: 0,
            booked: Sum::default(),
            held: Sum::default(),
            stopping: Sum::default(),
            tasks: BTreeSet::new(),
            health: Health::default(),
            set_aside: false,
            running_since: None,
            rate_limited_until: None,
            next_start_at: None,
            grown_version: 0,
            index_position: None,
        });
        slot
    }

    /// Adds or updates a worker, and limits the start rate if it is part of a mass return.
    pub(crate) fn set_worker(&mut self, now: Instant, worker: Worker) {
        let seen = self.slots.contains_key(&worker.id);
        let slot = self.slot_or_insert(&worker.id);
        let rack = self.rack_slot(&worker.rack);
        let host = &self.hosts[slot];
        let shape = (host.rack, host.capacity, host.schedulable);
        if host.known && shape == (rack, worker.capacity, worker.schedulable) {
            return;
        }
        let returned =
            seen && worker.schedulable && !(self.hosts[slot].known && self.hosts[slot].schedulable);
        self.remove_from_index(slot);
        let host = &mut self.hosts[slot];
        host.known = true;
        host.running_since.get_or_insert(now);
        host.schedulable = worker.schedulable;
        host.capacity = worker.capacity;
        host.rack = rack;
        self.known_workers += 1;
        *self.shapes.entry(worker.capacity.parts()).or_default() += 1;
        if worker.schedulable {
            self.schedulable_capacity.add(&worker.capacity);
        }
        if returned {
            self.record_return(now, slot);
        }
        self.add_to_index(slot);
    }

    /// Removes a worker from the shard. Its slot, bookings and health stay.
    pub(crate) fn remove_worker(&mut self, slot: usize) {
        self.remove_from_index(slot);
        let host = &mut self.hosts[slot];
        host.known = false;
        host.schedulable = false;
        host.next_start_at = None;
        host.rate_limited_until = None;
        host.capacity = Size::ZERO;
        self.refresh(slot);
    }

    /// Limits the start rate of every worker for `RATE_LIMIT_DURATION`.
    pub(crate) fn limit_start_rates(&mut self, now: Instant) {
        for slot in 0..self.hosts.len() {
            if self.hosts[slot].known {
                self.limit_start_rate(now, slot);
            }
        }
    }

    /// Handles the timers that are due: start rates, their limits, and quarantines.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((due, slot)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, slot));
            let host = &mut self.hosts[slot];
            host.next_start_at = host.next_start_at.filter(|until| *until > now);
            let returned = host.rate_limited_until.is_some_and(|until| until <= now);
            if returned {
                host.rate_limited_until = None;
            }
            match host.health.state {
                HealthState::Quarantined { until } if until <= now => {
                    host.health.state = HealthState::Probing { task: None };
                }
                _ => {}
            }
            self.refresh(slot);
            if returned && self.hosts[slot].index_position.is_some() {
                // Its free capacity may be unchanged, but it now accepts several parts of a gang.
                self.mark_grown(slot);
            }
        }
    }

    /// Sets a timer for a worker, which `advance` handles at `due`.
    pub(crate) fn set_timer(&mut self, due: Instant, slot: usize) {
        self.timers.insert((due, slot));
    }

    pub(crate) fn book(&mut self, now: Instant, slot: usize, key: TaskKey, size: &Size) {
        let host = &mut self.hosts[slot];
        host.booked.add(size);
        host.tasks.insert(key);
        if let HealthState::Probing { task: None } = host.health.state {
            host.health.state = HealthState::Probing { task: Some(key) };
        }
        if host.rate_limited_until.is_some_and(|until| now < until) {
            let until = now + self.start_interval;
            host.next_start_at = Some(until);
            self.timers.insert((until, slot));
        }
        self.refresh(slot);
    }

    pub(crate) fn unbook(&mut self, slot: usize, key: TaskKey, size: &Size, stopping: bool) {
        let host = &mut self.hosts[slot];
        host.booked.subtract(size);
        host.tasks.remove(&key);
        if stopping {
            host.stopping.subtract(size);
        }
        if host.health.state == (HealthState::Probing { task: Some(key) }) {
            host.health.state = HealthState::Probing { task: None };
        }
        self.refresh(slot);
    }

    /// Records that the process of the worker started, or was first seen, at this time.
    pub(crate) fn note_process(&mut self, now: Instant, slot: usize) {
        self.hosts[slot].running_since = Some(now);
    }

    /// Sets a worker aside for suspect tasks, or returns it to all work.
    pub(crate) fn set_aside(&mut self, slot: usize, aside: bool) {
        self.hosts[slot].set_aside = aside;
        self.refresh(slot);
    }

    pub(crate) fn hold(&mut self, slot: usize, size: &Size) {
        self.hosts[slot].held.add(size);
        self.refresh(slot);
    }

    pub(crate) fn unhold(&mut self, slot: usize, size: &Size) {
        self.hosts[slot].held.subtract(size);
        self.refresh(slot);
    }

    /// Returns the total capacity of the schedulable workers.
    pub(crate) fn total(&self) -> Size {
        self.schedulable_capacity.size()
    }

    /// Returns whether the free capacity of all workers together is at least `size`.
    pub(crate) fn total_free_holds(&self, size: &Size) -> bool {
        self.total_free.holds(size)
    }

    /// Returns the largest capacity of any one worker, by resource.
    pub(crate) fn largest(&self) -> Size {
        let shapes = self.shapes.keys().map(|parts| Size::from_parts(*parts));
        shapes.fold(Size::ZERO, |largest, shape| largest.max(&shape))
    }

    /// Returns the largest free capacity of any one worker, by resource.
    pub(crate) fn largest_free(&self) -> Size {
        self.largest_free_with(0)
    }

    /// Returns the largest free capacity of any one worker that has at least `accelerators`, by resource.
    pub(crate) fn largest_free_with(&self, accelerators: u64) -> Size {
        let pools = self.pools.range(accelerators..);
        let roots = pools.map(|(_, pool)| complement(pool.index.root()));
        roots.fold(Size::ZERO, |largest, root| largest.max(&root))
    }

    /// Returns false if no worker has room for `size`. May return true without such a worker, because it compares the
    /// largest free amount of each resource in a pool.
    pub(crate) fn may_fit(&self, size: &Size) -> bool {
        self.pools.values().any(|pool| size.fits_in(&complement(pool.index.root())))
    }

    /// Returns whether the workers of the shard could hold `count` tasks of `size` together if they were empty.
    pub(crate) fn can_ever_hold(&self, size: &Size, count: u64) -> bool {
        let mut left = count;
        for (shape, workers) in &self.shapes {
            let each = fit_count(&Size::from_parts(*shape), size);
            left = left.saturating_sub(each.saturating_mul(*workers));
        }
        left == 0
    }

    /// Returns the worker capacity that falls short of `size` by the least; the smallest among equals.
    pub(crate) fn nearest_capacity(&self, size: &Size) -> Size {
        let shapes = self.shapes.keys().map(|parts| Size::from_parts(*parts));
        let scored = shapes.map(|shape| (size.minus(&shape).dominant_share(size), shape));
        let best = scored.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map_or(Size::ZERO, |(_, shape)| shape)
    }

    /// Calls `found` with each worker that has room for `size`. Pools are visited in order of their number of
    /// accelerators, and the racks of a pool cyclically from rack `from`. `found` returns where the visit continues.
    pub(crate) fn visit(&self, size: &Size, from: usize, found: &mut impl FnMut(usize) -> Visit) {
        let bound = size.parts().map(|part| !part);
        for pool in self.pools.range(size.accelerators..).map(|(_, pool)| pool) {
            let mut state = Visit::Next;
            let mut ranges = [(from, usize::MAX), (0, from)].into_iter();
            while let Some((low, high)) = ranges.next().filter(|_| state != Visit::NextPool) {
                let mut rack = pool.index.first(low, &bound).filter(|rack| *rack < high);
                while let Some(position) = rack.filter(|_| state != Visit::NextPool) {
                    state = self.visit_rack(pool, position, size, found);
                    if state == Visit::Stop {
                        return;
                    }
                    rack = pool.index.first(position + 1, &bound).filter(|rack| *rack < high);
                }
            }
        }
    }

    fn visit_rack(
        &self,
        pool: &Pool,
        rack: usize,
        size: &Size,
        found: &mut impl FnMut(usize) -> Visit,
    ) -> Visit {
        let bound = size.parts().map(|part| !part);
        let Some(rack) = pool.racks.get(rack) else { return Visit::Next };
        let mut position = rack.index.first(0, &bound);
        while let Some(place) = position {
            let host = rack.hosts.get(place).copied().flatten();
            let fits = host.filter(|slot| self.free(*slot).is_some_and(|free| size.fits_in(&free)));
            match fits.map_or(Visit::Next, &mut *found) {
                Visit::Next => position = rack.index.first(place + 1, &bound),
                Visit::NextRack => return Visit::Next,
                other => return other,
            }
        }
        Visit::Next
    }

    /// Returns the rack at which a spread search starts, the next one with each call.
    pub(crate) fn next_rack(&mut self) -> usize {
        self.rack_cursor = (self.rack_cursor + 1) % self.racks.len().max(1);
        self.rack_cursor
    }

    /// Returns the capacity of a worker that is free for any task; `None` if it may get no task.
    pub(crate) fn free(&self, slot: usize) -> Option<Size> {
        self.free[slot]
    }

    /// Updates the index and the totals after a change of the worker.
    pub(crate) fn refresh(&mut self, slot: usize) {
        let host = &self.hosts[slot];
        let free = host.free();
        self.free[slot] = free;
        let Some((pool, place)) = host.index_position else { return };
        let value = free.map_or(ABSENT, |free| free.parts().map(|part| !part));
        let rack_slot = host.rack;
        let Some(pool) = self.pools.get_mut(&pool) else { return };
        let rack = &mut pool.racks[rack_slot];
        let old = rack.index.get(place);
        if old == value {
            return;
        }
        rack.index.set(place, value);
        pool.index.set(rack_slot, *rack.index.root());
        self.total_free.subtract(&complement(&old));
        self.total_free.add(&complement(&value));
        if value.iter().zip(old).any(|(value, old)| *value < old) {
            self.mark_grown(slot);
        }
    }

    /// Offers a worker to all waiting tasks again.
    pub(crate) fn mark_grown(&mut self, slot: usize) {
        self.capacity_version += 1;
        let last = std::mem::replace(&mut self.hosts[slot].grown_version, self.capacity_version);
        self.grown_hosts.remove(&last);
        self.grown_hosts.insert(self.capacity_version, slot);
    }

    fn rack_slot(&mut self, rack: &RackId) -> usize {
        if let Some(slot) = self.rack_slots.get(rack) {
            return *slot;
        }
        let slot = self.racks.len();
        self.racks.push(rack.clone());
        self.rack_slots.insert(rack.clone(), slot);
        slot
    }

    fn add_to_index(&mut self, slot: usize) {
        let host = &self.hosts[slot];
        let (key, rack) = (host.capacity.accelerators, host.rack);
        let pool = self.pools.entry(key).or_default();
        if pool.racks.len() <= rack {
            pool.racks.resize_with(rack + 1, RackHosts::default);
        }
        let hosts = &mut pool.racks[rack].hosts;
        let unused = hosts.iter().position(Option::is_none);
        let place = unused.unwrap_or(hosts.len());
        if place == hosts.len() {
            hosts.push(None);
        }
        hosts[place] = Some(slot);
        self.hosts[slot].index_position = Some((key, place));
        self.refresh(slot);
    }

    /// Removes a worker from the index and the totals.
    fn remove_from_index(&mut self, slot: usize) {
        let host = &mut self.hosts[slot];
        let Some((key, place)) = host.index_position.take() else { return };
        let (rack, capacity, schedulable) = (host.rack, host.capacity, host.schedulable);
        if let Some(pool) = self.pools.get_mut(&key) {
            let rack_hosts = &mut pool.racks[rack];
            let old = rack_hosts.index.get(place);
            rack_hosts.hosts[place] = None;
            rack_hosts.index.set(place, ABSENT);
            pool.index.set(rack, *rack_hosts.index.root());
            self.total_free.subtract(&complement(&old));
        }
        if schedulable {
            self.schedulable_capacity.subtract(&capacity);
        }
        self.known_workers -= 1;
        if let Some(count) = self.shapes.get_mut(&capacity.parts()) {
            *count -= 1;
        }
        self.shapes.retain(|_, count| *count > 0);
        self.grown_hosts.remove(&self.hosts[slot].grown_version);
    }

    fn record_return(&mut self, now: Instant, slot: usize) {
        self.recent_returns.push_back((now, slot));
        while self.recent_returns.front().is_some_and(|(at, _)| *at + RETURN_WINDOW < now) {
            self.recent_returns.pop_front();
        }
        let mass_return_min = MASS_RETURN_MIN.max(self.known_workers / MASS_RETURN_DIVISOR);
        if self.recent_returns.len() < mass_return_min {
            return;
        }
        let returned: Vec<usize> = self.recent_returns.iter().map(|(_, slot)| *slot).collect();
        for slot in returned {
            if self.hosts[slot].rate_limited_until.is_none_or(|until| until <= now) {
                self.limit_start_rate(now, slot);
            }
        }
    }

    fn limit_start_rate(&mut self, now: Instant, slot: usize) {
        let host = &mut self.hosts[slot];
        host.rate_limited_until = Some(now + RATE_LIMIT_DURATION);
        host.next_start_at = Some(now + self.start_interval);
        self.timers.insert((now + self.start_interval, slot));
        self.timers.insert((now + RATE_LIMIT_DURATION, slot));
        self.refresh(slot);
    }
}

/// Where [`Fleet::visit`] continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Visit {
    Next,
    NextRack,
    NextPool,
    Stop,
}

/// Returns how many tasks of `size` fit in `room`.
pub(crate) fn fit_count(room: &Size, size: &Size) -> u64 {
    let each = size.parts().into_iter().zip(room.parts()).filter(|(need, _)| *need > 0);
    each.map(|(need, have)| have / need).min().unwrap_or(u64::MAX)
}

/// Converts between free amounts and index values. The index finds minima, so it stores the complement of each amount.
fn complement(parts: &Amounts) -> Size {
    Size::from_parts(parts.map(|part| !part))
}
