//! Policy state of one shard and the events that change it.

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::Class;

use crate::fleet::Fleet;
use crate::isolation::Isolation;
use crate::jobs::{JobRecord, Jobs, TaskState};
use crate::planner::{Infeasible, Job, ReleaseCause, Team, Worker};
use crate::predict::Predictor;
use crate::preemption::Preemption;
use crate::queue::TaskKey;
use crate::reservation::Reservation;
use crate::sum::Sum;
use crate::teams::{NEW, REPLACEMENT, REQUEUED, Teams, URGENT};

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) policy: Policy,
    pub(crate) fleet: Fleet,
    pub(crate) teams: Teams,
    pub(crate) jobs: Jobs,
    pub(crate) predictor: Predictor,
    /// Pending preemptions, the oldest first.
    pub(crate) preemptions: Vec<Preemption>,
    pub(crate) reservations: Vec<Reservation>,
    pub(crate) isolation: Isolation,
    /// Earliest time of the next attempt to make a reservation.
    pub(crate) reservation_attempt_at: Option<Instant>,
    /// Offset of the worker at which the next attempt to make a reservation starts; taken modulo the number of workers.
    pub(crate) reserve_start: usize,
    pub(crate) starts_enabled: bool,
    last_start: u64,
}

impl Engine {
    pub(crate) fn new(policy: &Policy) -> Engine {
        let mut engine = Engine {
            policy: policy.clone(),
            fleet: Fleet::default(),
            teams: Teams::default(),
            jobs: Jobs::default(),
            predictor: Predictor::default(),
            preemptions: Vec::new(),
            reservations: Vec::new(),
            isolation: Isolation::default(),
            reservation_attempt_at: None,
            reserve_start: 0,
            starts_enabled: true,
            last_start: 0,
        };
        engine.set_policy(policy);
        engine
    }

    pub(crate) fn set_policy(&mut self, policy: &Policy) {
        self.policy = policy.clone();
        self.fleet.start_interval = Duration::from_secs(1) / policy.return_starts_per_second.max(1);
    }

    pub(crate) fn set_worker(&mut self, now: Instant, worker: Worker) {
        self.fleet.set_worker(now, worker);
    }

    pub(crate) fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task> {
        let Some(host) = self.fleet.slot(worker) else { return Vec::new() };
        let keys: Vec<TaskKey> = self.fleet.hosts[host].tasks.iter().copied().collect();
        let mut lost: Vec<Task> = keys.iter().filter_map(|key| self.task(*key)).collect();
        lost.sort();
        lost.iter().for_each(|task| self.release(now, task, ReleaseCause::Lost));
        self.fleet.remove_worker(host);
        lost
    }

    pub(crate) fn note_process(&mut self, now: Instant, worker: &WorkerId) {
        let host = self.fleet.slot_or_insert(worker);
        self.fleet.note_process(now, host);
    }

    pub(crate) fn set_team(&mut self, team: Team) {
        let slot = self.teams.slot_or_insert(&team.id);
        let account = &mut self.teams.accounts[slot];
        account.weight = team.weight.max(1);
        account.grant = Some(team.grant);
        self.reoffer_grant_limited_hosts(slot);
    }

    pub(crate) fn remove_team(&mut self, team: &TeamId) {
        let slot = self.teams.slot_or_insert(team);
        self.teams.accounts[slot].grant = None;
    }

    pub(crate) fn submit(&mut self, now: Instant, job: Job) -> Result<(), Infeasible> {
        if let Some(slot) = self.jobs.slot(&job.work) {
            self.requeue_finished(now, slot);
            return Ok(());
        }
        if let Some(infeasible) = self.infeasibility(&job) {
            return Err(infeasible);
        }
        self.insert(now, job);
        Ok(())
    }

    /// Returns an error if no worker could hold a task of the job even when empty, or if all workers together could not
    /// hold all parts of a gang.
    pub(crate) fn infeasibility(&self, job: &Job) -> Option<Infeasible> {
        if self.fleet.known_workers == 0 {
            return None;
        }
        let nearest_capacity = self.fleet.nearest_capacity(&job.size);
        if !self.fleet.can_ever_hold(&job.size, 1) {
            let message = format!(
                "no worker can hold a task of {}; the nearest capacity is {}",
                format_size(&job.size),
                format_size(&nearest_capacity)
            );
            return Some(Infeasible { nearest_capacity, message });
        }
        match job.class {
            Class::Gang { parts } if !self.fleet.can_ever_hold(&job.size, u64::from(parts)) => {
                let message = format!(
                    "all workers together cannot hold {parts} parts of {} at once; one worker holds {}",
                    format_size(&job.size),
                    format_size(&nearest_capacity)
                );
                Some(Infeasible { nearest_capacity, message })
            }
            _ => None,
        }
    }

    pub(crate) fn adopt(&mut self, now: Instant, job: &Job, task: Task, worker: &WorkerId) {
        let slot = match self.jobs.slot(&job.work) {
            Some(slot) => slot,
            None => self.insert(now, job.clone()),
        };
        let state = self.jobs.get(slot).and_then(|record| record.tasks.get(task.index as usize));
        if matches!(state, None | Some(TaskState::Booked { .. })) {
            return;
        }
        let host = self.fleet.slot_or_insert(worker);
        self.book(now, (slot, task.index), host);
        self.adopt_isolated((slot, task.index), host);
    }

    pub(crate) fn release(&mut self, now: Instant, task: &Task, cause: ReleaseCause) {
        let Some((slot, TaskState::Booked { host, started, .. })) = self.jobs.task(task) else {
            return;
        };
        self.unbook((slot, task.index), cause);
        self.record_outcome(now, slot, host, started, cause);
        let is_removable = |record: &JobRecord| record.finished && record.booked == 0;
        if self.jobs.get(slot).is_some_and(is_removable) {
            self.jobs.remove(slot);
        }
    }

    pub(crate) fn requeue(&mut self, now: Instant, task: &Task) {
        if let Some((slot, TaskState::Idle(_))) = self.jobs.task(task) {
            self.enqueue(now, (slot, task.index));
        }
    }

    pub(crate) fn finish(&mut self, work: &WorkId) {
        self.isolation.forget(work);
        let Some(slot) = self.jobs.slot(work) else { return };
        let tasks = self.jobs.get(slot).map_or(0, |record| record.tasks.len());
        (0..tasks).for_each(|index| self.dequeue((slot, index as u32)));
        let Some(record) = self.jobs.get_mut(slot) else { return };
        record.finished = true;
        if record.booked == 0 {
            self.jobs.remove(slot);
        }
    }

    pub(crate) fn record_usage(&mut self, task: &Task, usage: &Size) {
        let slot = self.jobs.slot(&task.work);
        if let Some(record) = slot.and_then(|slot| self.jobs.get_mut(slot)) {
            record.peak_usage = Some(record.peak_usage.map_or(*usage, |used| used.max(usage)));
        }
    }

    pub(crate) fn set_starts_enabled(&mut self, now: Instant, enabled: bool) {
        if enabled && !self.starts_enabled {
            self.fleet.limit_start_rates(now);
        }
        self.starts_enabled = enabled;
    }

    pub(crate) fn booked(&self, team: &TeamId) -> Size {
        self.teams.find(team).map_or(Size::ZERO, |account| account.booked.size())
    }

    pub(crate) fn waiting(&self, team: &TeamId) -> Size {
        self.teams.find(team).map_or(Size::ZERO, |account| account.waiting.size())
    }

    pub(crate) fn load(&self, shard: &Shard, epoch: Epoch) -> Load {
        let open = self.fleet.hosts.iter().filter(|host| host.known && host.schedulable);
        let mut booked = Sum::default();
        open.for_each(|host| booked.add(&host.booked.size()));
        let mut waiting = Sum::default();
        let accounts = &self.teams.accounts;
        accounts.iter().for_each(|account| waiting.add(&account.waiting.size()));
        let silent = self.fleet.hosts.iter().filter(|host| host.known && !host.schedulable).count();
        Load {
            shard: shard.clone(),
            epoch,
            capacity: self.fleet.total(),
            booked: booked.size(),
            waiting: waiting.size(),
            largest: self.fleet.largest(),
            waiting_tasks: accounts.iter().map(|account| account.waiting_tasks).sum(),
            running_tasks: accounts.iter().map(|account| account.running_tasks).sum(),
            workers: self.fleet.known_workers as u64,
            silent_workers: silent as u64,
        }
    }

    pub(crate) fn task(&self, (slot, index): TaskKey) -> Option<Task> {
        Some(Task { work: self.jobs.get(slot)?.job.work.clone(), index })
    }

    pub(crate) fn state(&self, (slot, index): TaskKey) -> Option<TaskState> {
        self.jobs.get(slot)?.tasks.get(index as usize).copied()
    }

    /// Returns whether the task waits and may start beside others.
    pub(crate) fn is_waiting(&self, key: TaskKey) -> bool {
        let waits =
            matches!(self.state(key), Some(TaskState::Queued { .. } | TaskState::QueuedPart));
        waits && !self.is_suspect(key)
    }

    /// Removes a task from its queue and books it on a worker.
    pub(crate) fn book(&mut self, now: Instant, key: TaskKey, host: usize) {
        self.dequeue(key);
        self.last_start += 1;
        let sequence = self.last_start;
        let rack = self.fleet.hosts[host].rack;
        let Some(record) = self.jobs.get_mut(key.0) else { return };
        record.tasks[key.1 as usize] =
            TaskState::Booked { host, started: now, sequence, stopping: false };
        record.booked += 1;
        *record.booked_by_rack.entry(rack).or_default() += 1;
        let size = record.job.size;
        let victim = record.victim_rank().map(|rank| (rank, std::cmp::Reverse(sequence), key));
        let account = &mut self.teams.accounts[record.team];
        account.booked.add(&size);
        account.running_tasks += 1;
        account.victims.extend(victim);
        self.fleet.book(now, host, key, &size);
    }

    /// Records that a booked task was asked to stop. Returns its worker, or `None` if the task is not booked or was
    /// asked before.
    pub(crate) fn mark_stopping(&mut self, key: TaskKey) -> Option<usize> {
        let record = self.jobs.get_mut(key.0)?;
        let rank = record.victim_rank();
        let TaskState::Booked { host, sequence, stopping, .. } =
            record.tasks.get_mut(key.1 as usize)?
        else {
            return None;
        };
        if std::mem::replace(stopping, true) {
            return None;
        }
        let victim = rank.map(|rank| (rank, std::cmp::Reverse(*sequence), key));
        let account = &mut self.teams.accounts[record.team];
        victim.map(|victim| account.victims.remove(&victim));
        account.stopping.add(&record.job.size);
        self.fleet.hosts[*host].stopping.add(&record.job.size);
        Some(*host)
    }

    /// Offers again the workers that were skipped because of the team's grant.
    fn reoffer_grant_limited_hosts(&mut self, team: usize) {
        let account = &mut self.teams.accounts[team];
        account.gangs_changed = true;
        let grant_limited = std::mem::take(&mut account.grant_limited_hosts);
        grant_limited.into_iter().for_each(|host| self.fleet.mark_grown(host));
        self.fleet.capacity_version += 1;
    }

    fn insert(&mut self, now: Instant, job: Job) -> usize {
        let team = self.teams.slot_or_insert(&job.work.team);
        let tasks = job.class.tasks();
        let slot = self.jobs.insert(now, job, team);
        (0..tasks).for_each(|index| self.enqueue(now, (slot, index)));
        slot
    }

    /// Queues the idle tasks of a finished job that still has bookings.
    fn requeue_finished(&mut self, now: Instant, slot: usize) {
        let Some(record) = self.jobs.get_mut(slot).filter(|record| record.finished) else { return };
        record.finished = false;
        let tasks = record.tasks.len() as u32;
        for index in 0..tasks {
            if let Some(TaskState::Idle(_)) = self.state((slot, index)) {
                self.enqueue(now, (slot, index));
            }
        }
    }

    pub(crate) fn enqueue(&mut self, now: Instant, key: TaskKey) {
        let suspect = self.is_suspect(key);
        let Some(record) = self.jobs.get_mut(key.0).filter(|record| !record.finished) else {
            return;
        };
        let lane = lane_for(record, key.1 as usize);
        let account = &mut self.teams.accounts[record.team];
        if record.waiting == 0 {
            record.waiting_since = now;
        }
        record.waiting += 1;
        account.waiting.add(&record.job.size);
        account.waiting_tasks += 1;
        if record.is_gang() {
            record.tasks[key.1 as usize] = TaskState::QueuedPart;
            record.tried_version = 0;
            match record.waiting as usize == record.tasks.len() {
                true if suspect => self.isolation.push(key),
                true => {
                    account.gangs.insert((record.sequence, key.0), record.job.size);
                    account.gangs_changed = true;
                }
                false => {}
            }
            return;
        }
        if suspect {
            record.tasks[key.1 as usize] = TaskState::Isolated;
            self.isolation.push(key);
            return;
        }
        let moved = account.lanes[lane].push(key, record.job.size);
        for ((slot, index), position) in moved {
            if let Some(record) = self.jobs.get_mut(slot) {
                record.tasks[index as usize] = TaskState::Queued { lane, position };
            }
        }
    }

    /// Removes a waiting task from its queue and leaves it idle.
    pub(crate) fn dequeue(&mut self, key: TaskKey) {
        let Some(record) = self.jobs.get_mut(key.0) else { return };
        let Some(state) = record.tasks.get_mut(key.1 as usize) else { return };
        let account = &mut self.teams.accounts[record.team];
        match *state {
            TaskState::Queued { lane, position } => account.lanes[lane].remove(position),
            TaskState::QueuedPart => {
                account.gangs.remove(&(record.sequence, key.0));
                self.isolation.remove_job(key.0);
            }
            TaskState::Isolated => self.isolation.remove(key),
            TaskState::Booked { .. } | TaskState::Idle(_) => return,
        }
        *state = TaskState::Idle(None);
        record.waiting -= 1;
        account.waiting.subtract(&record.job.size);
        account.waiting_tasks -= 1;
    }

    fn unbook(&mut self, key: TaskKey, cause: ReleaseCause) {
        let Some(record) = self.jobs.get_mut(key.0) else { return };
        let rank = record.victim_rank();
        let state = &mut record.tasks[key.1 as usize];
        let TaskState::Booked { host, sequence, stopping, .. } = *state else { return };
        *state = TaskState::Idle(Some(cause));
        record.booked -= 1;
        let (team, size) = (record.team, record.job.size);
        let rack = self.fleet.hosts[host].rack;
        if let Some(count) = record.booked_by_rack.get_mut(&rack) {
            *count = count.saturating_sub(1);
        }
        let account = &mut self.teams.accounts[team];
        account.booked.subtract(&size);
        if stopping {
            account.stopping.subtract(&size);
        }
        account.running_tasks -= 1;
        rank.map(|rank| account.victims.remove(&(rank, std::cmp::Reverse(sequence), key)));
        self.fleet.unbook(host, key, &size, stopping);
        self.reoffer_grant_limited_hosts(team);
    }

    /// Updates the run-time prediction and the health of the worker after the end of a task.
    fn record_outcome(
        &mut self,
        now: Instant,
        slot: usize,
        host: usize,
        started: Instant,
        cause: ReleaseCause,
    ) {
        let Some(record) = self.jobs.get(slot) else { return };
        match cause {
            ReleaseCause::Succeeded => {
                let observed = now.saturating_duration_since(started);
                self.predictor.observe(record.team, record.job.run_time, observed);
                self.record_success(host);
            }
            ReleaseCause::Failed => self.record_failure(now, slot, host),
            ReleaseCause::Stopped | ReleaseCause::Refused | ReleaseCause::Lost => {}
        }
    }
}

/// Returns the lane in which a task waits. Call this before the state of the task changes to waiting.
fn lane_for(record: &JobRecord, index: usize) -> usize {
    let state = record.tasks.get(index);
    match (record.job.class, state) {
        (Class::Urgent, _) => URGENT,
        (_, None | Some(TaskState::Idle(None))) => NEW,
        (Class::Service { .. }, _) => REPLACEMENT,
        (_, Some(TaskState::Idle(Some(ReleaseCause::Failed)))) => NEW,
        _ => REQUEUED,
    }
}

/// Formats a size for messages.
pub(crate) fn format_size(size: &Size) -> String {
    format!(
        "{} cores, {} MiB, {} accelerators, {} slots",
        size.processors_milli as f64 / 1000.0,
        size.memory_mib,
        size.accelerators,
        size.slots
    )
}
