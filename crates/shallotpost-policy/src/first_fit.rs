//! FIFO queue with first-fit placement: the baseline to which the policy is compared.
//!
//! It has the interface of [`Planner`](crate::planner::Planner), so the same events can drive both. The first task in
//! the queue without room blocks those behind it. A task that exceeds its team's grant, or that no worker could hold,
//! is skipped.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Explanation, Phase};

use crate::fleet::fit_count;
use crate::index::{ABSENT, Index};
use crate::planner::{Action, Infeasible, Job, ReleaseCause, Team, Worker};
use crate::sum::Sum;

#[derive(Debug)]
struct Host {
    worker: Worker,
    known: bool,
    booked: Sum,
    tasks: BTreeSet<Task>,
}

#[derive(Debug)]
struct Entry {
    job: Job,
    /// Sequence numbers of the waiting tasks in the queue, by task index.
    waiting: BTreeMap<u32, u64>,
    bookings: BTreeMap<u32, usize>,
    finished: bool,
}

/// Baseline planner of one shard.
#[derive(Debug, Default)]
pub struct FirstFit {
    hosts: Vec<Host>,
    slots: HashMap<WorkerId, usize>,
    free: Index,
    teams: HashMap<TeamId, Team>,
    jobs: HashMap<WorkId, Entry>,
    queue: BTreeMap<u64, Task>,
    sequence: u64,
    booked: HashMap<TeamId, Sum>,
    waiting: HashMap<TeamId, Sum>,
    starts_disabled: bool,
}

impl FirstFit {
    /// Adds or updates a worker. Its bookings stay.
    pub fn set_worker(&mut self, _now: Instant, worker: Worker) {
        let slot = self.slot(&worker.id);
        self.hosts[slot].worker = worker;
        self.hosts[slot].known = true;
        self.refresh(slot);
    }

    /// Removes a worker and returns the tasks that were booked on it.
    pub fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task> {
        let Some(slot) = self.slots.get(worker).copied() else { return Vec::new() };
        let lost: Vec<Task> = self.hosts[slot].tasks.iter().cloned().collect();
        lost.iter().for_each(|task| self.release(now, task, ReleaseCause::Lost));
        self.hosts[slot].known = false;
        self.refresh(slot);
        lost
    }

    pub fn set_team(&mut self, _now: Instant, team: Team) {
        self.teams.insert(team.id.clone(), team);
    }

    pub fn remove_team(&mut self, team: &TeamId) {
        self.teams.remove(team);
    }

    /// Queues all tasks of a job, unless it is already known.
    ///
    /// # Errors
    /// Returns [`Infeasible`] if no worker could hold a task of the job even when empty.
    pub fn submit(&mut self, _now: Instant, job: Job) -> Result<(), Infeasible> {
        if self.hosts.iter().any(|host| host.known) && !self.can_hold(&job.size) {
            let nearest_capacity = self.largest();
            let message = format!("the largest worker holds {nearest_capacity:?}");
            return Err(Infeasible { nearest_capacity, message });
        }
        if !self.jobs.contains_key(&job.work) {
            self.insert(job);
        }
        Ok(())
    }

    /// Books a task that a worker already runs. An unknown job is added, and its other tasks are queued.
    pub fn adopt(&mut self, _now: Instant, job: &Job, task: Task, worker: &WorkerId) {
        if !self.jobs.contains_key(&job.work) {
            self.insert(job.clone());
        }
        let booked = |entry: &Entry| entry.bookings.contains_key(&task.index);
        if self.jobs.get(&task.work).is_some_and(booked) {
            return;
        }
        let slot = self.slot(worker);
        self.book(&task, slot);
    }

    /// Frees the booking of a task, which then stays idle until `requeue` or `finish`.
    pub fn release(&mut self, _now: Instant, task: &Task, _cause: ReleaseCause) {
        let Some(entry) = self.jobs.get_mut(&task.work) else { return };
        let Some(slot) = entry.bookings.remove(&task.index) else { return };
        let size = entry.job.size;
        let is_removable = entry.finished && entry.bookings.is_empty();
        let host = &mut self.hosts[slot];
        host.booked.subtract(&size);
        host.tasks.remove(task);
        self.booked.entry(task.work.team.clone()).or_default().subtract(&size);
        self.refresh(slot);
        if is_removable {
            self.jobs.remove(&task.work);
        }
    }

    /// Queues a released task again, at the end of the queue.
    pub fn requeue(&mut self, _now: Instant, task: &Task) {
        self.enqueue(task);
    }

    /// Removes a job and drops its waiting tasks. Bookings stay until they are released.
    pub fn finish(&mut self, work: &WorkId) {
        let Some(entry) = self.jobs.get_mut(work) else { return };
        for sequence in std::mem::take(&mut entry.waiting).into_values() {
            self.queue.remove(&sequence);
            self.waiting.entry(work.team.clone()).or_default().subtract(&entry.job.size);
        }
        entry.finished = true;
        if entry.bookings.is_empty() {
            self.jobs.remove(work);
        }
    }

    /// Enables or disables starts on the whole shard.
    pub fn set_starts_enabled(&mut self, _now: Instant, enabled: bool) {
        self.starts_disabled = !enabled;
    }

    /// Returns at most `limit` starts. A gang may exceed the limit as the first start.
    pub fn plan(&mut self, _now: Instant, limit: usize) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut after = 0;
        while actions.len() < limit && !self.starts_disabled {
            let next = self.queue.range(after + 1..).next();
            let Some((sequence, task)) = next.map(|(sequence, task)| (*sequence, task.clone()))
            else {
                break;
            };
            after = sequence;
            if !self.may_start(&task) {
                continue;
            }
            let Some(placement) = self.place(&task, limit, actions.len()) else { break };
            for (task, slot) in placement {
                let worker = self.hosts[slot].worker.id.clone();
                actions.push(Action::Start { task, worker });
            }
        }
        actions
    }

    /// Returns the position of a job in the queue, or `None` if the job is unknown.
    pub fn explain(&self, _now: Instant, work: &WorkId) -> Option<Explanation> {
        let entry = self.jobs.get(work)?;
        let (phase, reasons) = match entry.waiting.values().min() {
            Some(first) => {
                let ahead = self.queue.range(..first).count();
                (Phase::Waiting, vec![format!("{ahead} tasks are ahead of it in the queue")])
            }
            None => (Phase::Running, Vec::new()),
        };
        Some(Explanation { work: work.clone(), phase, reasons, remedies: Vec::new() })
    }

    /// Returns the total size of the tasks that the team has booked.
    pub fn booked(&self, team: &TeamId) -> Size {
        self.booked.get(team).map_or(Size::ZERO, Sum::size)
    }

    /// Returns the total size of the waiting tasks of the team.
    pub fn waiting(&self, team: &TeamId) -> Size {
        self.waiting.get(team).map_or(Size::ZERO, Sum::size)
    }

    /// Summarizes capacity, bookings and demand of the shard.
    pub fn load(&self, shard: &Shard, epoch: Epoch) -> Load {
        let mut capacity = Sum::default();
        let mut booked = Sum::default();
        for host in self.hosts.iter().filter(|host| host.known && host.worker.schedulable) {
            capacity.add(&host.worker.capacity);
            booked.add(&host.booked.size());
        }
        let mut waiting = Sum::default();
        let entries = self.queue.values().filter_map(|task| self.jobs.get(&task.work));
        entries.for_each(|entry| waiting.add(&entry.job.size));
        let known = self.hosts.iter().filter(|host| host.known);
        Load {
            shard: shard.clone(),
            epoch,
            capacity: capacity.size(),
            booked: booked.size(),
            waiting: waiting.size(),
            largest: self.largest(),
            waiting_tasks: self.queue.len() as u64,
            running_tasks: self.hosts.iter().map(|host| host.tasks.len() as u64).sum(),
            workers: known.clone().count() as u64,
            silent_workers: known.filter(|host| !host.worker.schedulable).count() as u64,
        }
    }

    fn slot(&mut self, worker: &WorkerId) -> usize {
        if let Some(slot) = self.slots.get(worker) {
            return *slot;
        }
        let slot = self.hosts.len();
        let unknown = Worker {
            id: worker.clone(),
            rack: RackId::new(),
            capacity: Size::ZERO,
            schedulable: false,
        };
        self.hosts.push(Host {
            worker: unknown,
            known: false,
            booked: Sum::default(),
            tasks: BTreeSet::new(),
        });
        self.slots.insert(worker.clone(), slot);
        slot
    }

    fn insert(&mut self, job: Job) {
        let work = job.work.clone();
        let tasks = job.class.tasks();
        let entry =
            Entry { job, waiting: BTreeMap::new(), bookings: BTreeMap::new(), finished: false };
        self.jobs.insert(work.clone(), entry);
        for index in 0..tasks {
            self.enqueue(&Task { work: work.clone(), index });
        }
    }

    fn enqueue(&mut self, task: &Task) {
        let Some(entry) = self.jobs.get_mut(&task.work) else { return };
        let idle = !entry.finished
            && !entry.waiting.contains_key(&task.index)
            && !entry.bookings.contains_key(&task.index);
        if idle {
            self.sequence += 1;
            entry.waiting.insert(task.index, self.sequence);
            self.waiting.entry(task.work.team.clone()).or_default().add(&entry.job.size);
            self.queue.insert(self.sequence, task.clone());
        }
    }

    fn refresh(&mut self, slot: usize) {
        let host = &self.hosts[slot];
        let schedulable = host.known && host.worker.schedulable;
        let free = Sum::from(&host.worker.capacity).minus(&host.booked).size();
        let value = if schedulable { free.parts().map(|part| !part) } else { ABSENT };
        self.free.set(slot, value);
    }

    fn can_hold(&self, size: &Size) -> bool {
        self.hosts.iter().any(|host| host.known && size.fits_in(&host.worker.capacity))
    }

    fn largest(&self) -> Size {
        let known = self.hosts.iter().filter(|host| host.known);
        known.fold(Size::ZERO, |largest, host| largest.max(&host.worker.capacity))
    }

    /// Returns whether the grant allows the task (for a gang, all parts), a worker could hold it, and all parts wait.
    fn may_start(&self, task: &Task) -> bool {
        let Some(entry) = self.jobs.get(&task.work) else { return false };
        let Some(team) = self.teams.get(&task.work.team) else { return false };
        let parts = match entry.job.class {
            Class::Gang { parts } => u64::from(parts),
            _ => 1,
        };
        let whole = parts == 1 || entry.waiting.len() as u64 == parts;
        let booked = self.booked.get(&team.id).copied().unwrap_or_default();
        let allowed = Sum::from(&team.grant).minus(&booked).holds(&entry.job.size.times(parts));
        whole && allowed && self.can_hold(&entry.job.size)
    }

    /// Books the task, or all parts of its gang. Returns `None` if there is no room.
    fn place(&mut self, task: &Task, limit: usize, planned: usize) -> Option<Vec<(Task, usize)>> {
        let entry = self.jobs.get(&task.work)?;
        let size = entry.job.size;
        let indices = match entry.job.class {
            Class::Gang { parts } => 0..parts,
            _ => task.index..task.index + 1,
        };
        if planned > 0 && planned + indices.len() > limit {
            return None;
        }
        let places = self.first_fitting(&size, indices.len())?;
        let tasks = indices.map(|index| Task { work: task.work.clone(), index });
        let placement: Vec<(Task, usize)> = tasks.zip(places).collect();
        placement.iter().for_each(|(task, slot)| self.book(task, *slot));
        Some(placement)
    }

    /// Returns the first workers with room for `count` tasks together, one entry per task.
    fn first_fitting(&self, size: &Size, count: usize) -> Option<Vec<usize>> {
        let bound = size.parts().map(|part| !part);
        let mut places = Vec::new();
        let mut from = 0;
        while places.len() < count {
            let slot = self.free.first(from, &bound)?;
            let host = self.hosts.get(slot)?;
            let free = Sum::from(&host.worker.capacity).minus(&host.booked).size();
            let schedulable = host.known && host.worker.schedulable;
            let room = if schedulable { fit_count(&free, size) } else { 0 };
            let wanted = (count - places.len()) as u64;
            places.extend((0..room.min(wanted)).map(|_| slot));
            from = slot + 1;
        }
        Some(places)
    }

    fn book(&mut self, task: &Task, slot: usize) {
        let Some(entry) = self.jobs.get_mut(&task.work) else { return };
        let size = entry.job.size;
        if let Some(sequence) = entry.waiting.remove(&task.index) {
            self.queue.remove(&sequence);
            self.waiting.entry(task.work.team.clone()).or_default().subtract(&size);
        }
        entry.bookings.insert(task.index, slot);
        let host = &mut self.hosts[slot];
        host.booked.add(&size);
        host.tasks.insert(task.clone());
        self.booked.entry(task.work.team.clone()).or_default().add(&size);
        self.refresh(slot);
    }
}
