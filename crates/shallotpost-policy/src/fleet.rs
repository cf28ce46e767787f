//! Workers of the shard, their bookings and the index of their free capacity.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use shallotpost_protocol::prelude::*;

use crate::health::{Health, State};
use crate::index::{ABSENT, Amounts, Index};
use crate::planner::Worker;
use crate::queue::Key;
use crate::sum::Sum;

/// How long the start rate of a worker stays limited after a mass return.
const RETURN_TIME: Duration = Duration::from_secs(10);
/// Workers that return within this time count as one mass return.
const RETURN_WINDOW: Duration = Duration::from_secs(5);
/// Minimum number of workers in a mass return.
const MASS_RETURN_MIN: usize = 4;
/// A mass return includes at least one in this many workers of the shard.
const MASS_RETURN_PART: usize = 10;

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
    pub(crate) tasks: BTreeSet<Key>,
    pub(crate) health: Health,
    /// When the limit on the start rate ends.
    returning_until: Option<Instant>,
    /// When the limited start rate allows the next start.
    paused_until: Option<Instant>,
    /// Key of the worker in `Fleet::grown`.
    grown_at: u64,
    /// Pool and position in the index of the rack; `None` while the worker is not indexed.
    place: Option<(u64, usize)>,
}

impl Host {
    /// Returns the capacity that is not booked, including what is held. Negative if the capacity fell below the
    /// bookings.
    pub(crate) fn unbooked(&self) -> Sum {
        Sum::from(&self.capacity).less(&self.booked)
    }

    /// Returns the capacity that is neither booked nor held once all requested stops are confirmed. May be negative.
    pub(crate) fn future(&self) -> Sum {
        self.unbooked().less(&self.held).plus(&self.stopping)
    }

    /// Returns whether the worker may get a task now.
    pub(crate) fn is_usable(&self) -> bool {
        let healthy = matches!(self.health.state, State::Good | State::Probing { task: None });
        self.known && self.schedulable && healthy && self.paused_until.is_none()
    }

    /// Returns whether the limited start rate prevents a start now.
    pub(crate) fn is_paused(&self) -> bool {
        self.known && self.schedulable && self.paused_until.is_some()
    }

    /// Returns the maximum number of tasks that may start at the same time.
    pub(crate) fn starts_max(&self) -> u64 {
        if self.returning_until.is_some() || self.health.is_restricted() { 1 } else { u64::MAX }
    }

    /// Returns the capacity that is free for any task. `None` if the worker may get no task, for example because its
    /// capacity fell below the bookings.
    pub(crate) fn free(&self) -> Option<Size> {
        let unbooked = self.unbooked();
        (self.is_usable() && !unbooked.is_short()).then(|| unbooked.less(&self.held).size())
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
    free_total: Sum,
    /// Workers by the capacity version at which their free capacity last grew. Each lane of waiting tasks stores the
    /// version up to which none of its tasks fits.
    pub(crate) grown: BTreeMap<u64, usize>,
    /// Incremented whenever the free capacity of a worker or the headroom of a team grows.
    pub(crate) version: u64,
    timers: BTreeSet<(Instant, usize)>,
    returns: VecDeque<(Instant, usize)>,
    /// Minimum time between two starts on a worker while its start rate is limited.
    pub(crate) spacing: Duration,
    /// Rack at which the last spread search started.
    cursor: usize,
    pub(crate) known: usize,
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
            returning_until: None,
            paused_until: None,
            grown_at: 0,
            place: None,
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
        self.withdraw(slot);
        let host = &mut self.hosts[slot];
        host.known = true;
        host.schedulable = worker.schedulable;
        host.capacity = worker.capacity;
        host.rack = rack;
        self.known += 1;
        *self.shapes.entry(worker.capacity.parts()).or_default() += 1;
        if worker.schedulable {
            self.schedulable_capacity.add(&worker.capacity);
        }
        if returned {
            self.note_return(now, slot);
        }
        self.place(slot);
    }

    /// Removes a worker from the shard. Its slot, bookings and health stay.
    pub(crate) fn remove_worker(&mut self, slot: usize) {
        self.withdraw(slot);
        let host = &mut self.hosts[slot];
        host.known = false;
        host.schedulable = false;
        host.paused_until = None;
        host.returning_until = None;
        host.capacity = Size::ZERO;
        self.refresh(slot);
    }

    /// Limits the start rate of every worker for `RETURN_TIME`.
    pub(crate) fn bound_starts(&mut self, now: Instant) {
        for slot in 0..self.hosts.len() {
            if self.hosts[slot].known {
                self.bound_host(now, slot);
            }
        }
    }

    /// Handles the timers that are due: start rates, their limits, and quarantines.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some((due, slot)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, slot));
            let host = &mut self.hosts[slot];
            host.paused_until = host.paused_until.filter(|until| *until > now);
            let returned = host.returning_until.is_some_and(|until| until <= now);
            if returned {
                host.returning_until = None;
            }
            match host.health.state {
                State::Quarantined { until } if until <= now => {
                    host.health.state = State::Probing { task: None };
                }
                _ => {}
            }
            self.refresh(slot);
            if returned && self.hosts[slot].place.is_some() {
                // Its free capacity may be unchanged, but it now accepts several parts of a gang.
                self.touch(slot);
            }
        }
    }

    /// Sets a timer for a worker, which `advance` handles at `due`.
    pub(crate) fn wake(&mut self, due: Instant, slot: usize) {
        self.timers.insert((due, slot));
    }

    pub(crate) fn book(&mut self, now: Instant, slot: usize, key: Key, size: &Size) {
        let host = &mut self.hosts[slot];
        host.booked.add(size);
        host.tasks.insert(key);
        if let State::Probing { task: None } = host.health.state {
            host.health.state = State::Probing { task: Some(key) };
        }
        if host.returning_until.is_some_and(|until| now < until) {
            let until = now + self.spacing;
            host.paused_until = Some(until);
            self.timers.insert((until, slot));
        }
        self.refresh(slot);
    }

    pub(crate) fn unbook(&mut self, slot: usize, key: Key, size: &Size, stopping: bool) {
        let host = &mut self.hosts[slot];
        host.booked.subtract(size);
        host.tasks.remove(&key);
        if stopping {
            host.stopping.subtract(size);
        }
        if host.health.state == (State::Probing { task: Some(key) }) {
            host.health.state = State::Probing { task: None };
        }
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
    pub(crate) fn has_in_total(&self, size: &Size) -> bool {
        self.free_total.holds(size)
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
            let each = copies(&Size::from_parts(*shape), size);
            left = left.saturating_sub(each.saturating_mul(*workers));
        }
        left == 0
    }

    /// Returns the worker capacity that falls short of `size` by the least; the smallest among equals.
    pub(crate) fn nearest_capacity(&self, size: &Size) -> Size {
        let shapes = self.shapes.keys().map(|parts| Size::from_parts(*parts));
        let scored = shapes.map(|shape| (size.minus(&shape).dominant_part(size), shape));
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
        self.cursor = (self.cursor + 1) % self.racks.len().max(1);
        self.cursor
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
        let Some((pool, place)) = host.place else { return };
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
        self.free_total.subtract(&complement(&old));
        self.free_total.add(&complement(&value));
        if value.iter().zip(old).any(|(value, old)| *value < old) {
            self.touch(slot);
        }
    }

    /// Offers a worker to all waiting tasks again.
    pub(crate) fn touch(&mut self, slot: usize) {
        self.version += 1;
        let last = std::mem::replace(&mut self.hosts[slot].grown_at, self.version);
        self.grown.remove(&last);
        self.grown.insert(self.version, slot);
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

    fn place(&mut self, slot: usize) {
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
        self.hosts[slot].place = Some((key, place));
        self.refresh(slot);
    }

    /// Removes a worker from the index and the totals.
    fn withdraw(&mut self, slot: usize) {
        let host = &mut self.hosts[slot];
        let Some((key, place)) = host.place.take() else { return };
        let (rack, capacity, schedulable) = (host.rack, host.capacity, host.schedulable);
        if let Some(pool) = self.pools.get_mut(&key) {
            let rack_hosts = &mut pool.racks[rack];
            let old = rack_hosts.index.get(place);
            rack_hosts.hosts[place] = None;
            rack_hosts.index.set(place, ABSENT);
            pool.index.set(rack, *rack_hosts.index.root());
            self.free_total.subtract(&complement(&old));
        }
        if schedulable {
            self.schedulable_capacity.subtract(&capacity);
        }
        self.known -= 1;
        if let Some(count) = self.shapes.get_mut(&capacity.parts()) {
            *count -= 1;
        }
        self.shapes.retain(|_, count| *count > 0);
        self.grown.remove(&self.hosts[slot].grown_at);
    }

    fn note_return(&mut self, now: Instant, slot: usize) {
        self.returns.push_back((now, slot));
        while self.returns.front().is_some_and(|(at, _)| *at + RETURN_WINDOW < now) {
            self.returns.pop_front();
        }
        let mass = MASS_RETURN_MIN.max(self.known / MASS_RETURN_PART);
        if self.returns.len() < mass {
            return;
        }
        let returned: Vec<usize> = self.returns.iter().map(|(_, slot)| *slot).collect();
        for slot in returned {
            if self.hosts[slot].returning_until.is_none_or(|until| until <= now) {
                self.bound_host(now, slot);
            }
        }
    }

    fn bound_host(&mut self, now: Instant, slot: usize) {
        let host = &mut self.hosts[slot];
        host.returning_until = Some(now + RETURN_TIME);
        host.paused_until = Some(now + self.spacing);
        self.timers.insert((now + self.spacing, slot));
        self.timers.insert((now + RETURN_TIME, slot));
        self.refresh(slot);
    }
}

/// Where [`Fleet::visit`] continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Visit {
    /// At the next worker.
    Next,
    NextRack,
    NextPool,
    /// The visit ends.
    Stop,
}

/// Returns how many tasks of `size` fit in `room`.
pub(crate) fn copies(room: &Size, size: &Size) -> u64 {
    let each = size.parts().into_iter().zip(room.parts()).filter(|(need, _)| *need > 0);
    each.map(|(need, have)| have / need).min().unwrap_or(u64::MAX)
}

/// Converts between free amounts and index values. The index finds minima, so it stores the complement of each amount.
fn complement(parts: &Amounts) -> Size {
    Size::from_parts(parts.map(|part| !part))
}
