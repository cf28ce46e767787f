//! Isolation of suspect tasks, whose lost runs may have crashed their workers.
//!
//! Pattern: a task crashes each worker that starts it, and all runs of the worker are lost with it. A suspect task
//! therefore starts only on a worker that runs nothing else and has run for a while, and nothing else starts there until
//! the task has outlived its losses. A further crash then takes no other work along, and nothing else can be its cause.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::StopMode;

use crate::crash::isolated_workers_max;
use crate::engine::Engine;
use crate::fleet::fit_count;
use crate::jobs::TaskState;
use crate::queue::TaskKey;
use crate::round::Round;

/// Time after which tasks that may be preempted are asked to leave a worker that is set aside.
const DRAIN_WAIT: Duration = Duration::from_secs(30);

/// Maximum number of waiting suspect tasks and gangs that one round tries.
const TRIES_MAX: usize = 16;

/// A worker that is set aside for the suspect tasks of one job.
#[derive(Debug)]
struct Aside {
    work: WorkId,
    /// Next request to the tasks of other jobs that still run there, and its time.
    next_stop: Option<(StopMode, Instant)>,
}

/// Suspect tasks, and the workers that are set aside for them.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    /// Suspect tasks, with the workers that crashed while they ran nothing else.
    suspects: BTreeMap<Task, BTreeSet<usize>>,
    /// Waiting suspect tasks, and one part of each waiting gang with a suspect part, in the order of their arrival.
    queue: BTreeMap<u64, TaskKey>,
    arrivals: u64,
    workers: BTreeMap<usize, Aside>,
}

impl Isolation {
    pub(crate) fn push(&mut self, key: TaskKey) {
        self.arrivals += 1;
        self.queue.insert(self.arrivals, key);
    }

    pub(crate) fn remove(&mut self, key: TaskKey) {
        self.queue.retain(|_, queued| *queued != key);
    }

    /// Removes a gang from the queue.
    pub(crate) fn remove_job(&mut self, slot: usize) {
        self.queue.retain(|_, queued| queued.0 != slot);
    }

    pub(crate) fn forget(&mut self, work: &WorkId) {
        self.suspects.retain(|task, _| task.work != *work);
    }

    fn suspects_of(&self, work: &WorkId) -> impl Iterator<Item = (&Task, &BTreeSet<usize>)> {
        let task = |index| Task { work: work.clone(), index };
        self.suspects.range(task(0)..=task(u32::MAX))
    }

    /// Returns the workers that crashed with a task, or with any part of its gang.
    fn crashed_with(&self, work: &WorkId, index: Option<u32>) -> BTreeSet<usize> {
        let own =
            self.suspects_of(work).filter(|(task, _)| index.is_none_or(|it| it == task.index));
        own.flat_map(|(_, crashed)| crashed.iter().copied()).collect()
    }
}

impl Engine {
    /// Marks a task as suspect. Its booking stays as it is.
    pub(crate) fn set_suspect(&mut self, now: Instant, task: &Task, crashed: &[WorkerId]) {
        let crashed = crashed.iter().map(|worker| self.fleet.slot_or_insert(worker)).collect();
        if self.isolation.suspects.insert(task.clone(), crashed).is_none() {
            self.requeue_waiting(now, task);
        }
    }

    pub(crate) fn clear_suspect(&mut self, now: Instant, task: &Task) {
        if self.isolation.suspects.remove(task).is_some() {
            self.requeue_waiting(now, task);
        }
    }

    /// Moves a waiting task, or its waiting gang, to or from the queue of suspects.
    fn requeue_waiting(&mut self, now: Instant, task: &Task) {
        let Some((slot, state)) = self.jobs.task(task) else { return };
        let part = match state {
            TaskState::Booked { .. } | TaskState::Idle(_) => self.waiting_part(slot),
            _ => Some(task.index),
        };
        if let Some(index) = part {
            self.dequeue((slot, index));
            self.enqueue(now, (slot, index));
        }
    }

    fn waiting_part(&self, slot: usize) -> Option<u32> {
        let record = self.jobs.get(slot).filter(|record| record.is_gang())?;
        let waits = |state: &TaskState| matches!(state, TaskState::QueuedPart);
        record.tasks.iter().position(waits).map(|index| index as u32)
    }

    /// Returns whether a task, or any part of its gang, is suspect.
    pub(crate) fn is_suspect(&self, key: TaskKey) -> bool {
        let Some(record) = self.jobs.get(key.0).filter(|_| !self.isolation.suspects.is_empty())
        else {
            return false;
        };
        match record.is_gang() {
            true => self.isolation.suspects_of(&record.job.work).next().is_some(),
            false => self.task(key).is_some_and(|task| self.isolation.suspects.contains_key(&task)),
        }
    }

    /// Returns the number of suspect tasks of a job.
    pub(crate) fn suspects(&self, work: &WorkId) -> usize {
        self.isolation.suspects_of(work).count()
    }

    /// Sets the worker of a suspect task aside that it already runs on.
    pub(crate) fn adopt_isolated(&mut self, key: TaskKey, host: usize) {
        if self.is_suspect(key)
            && let Some(task) = self.task(key)
        {
            self.isolation.workers.insert(host, Aside { work: task.work, next_stop: None });
            self.fleet.set_aside(host, true);
        }
    }

    /// Ends the isolation of a running task: other tasks may start on its worker again.
    pub(crate) fn end_isolation(&mut self, task: &Task) {
        if let Some((slot, TaskState::Booked { host, .. })) = self.jobs.task(task)
            && self.is_suspect((slot, task.index))
            && self.isolation.workers.get(&host).is_some_and(|aside| aside.work == task.work)
        {
            self.return_worker(host);
        }
    }

    /// Starts waiting suspect tasks on workers that run nothing else, and sets workers aside for the first one that finds
    /// none.
    pub(crate) fn advance_isolation(&mut self, round: &mut Round) {
        self.return_unused_workers();
        let waiting: Vec<TaskKey> =
            self.isolation.queue.values().take(TRIES_MAX).copied().collect();
        let mut blocked = false;
        for key in waiting {
            let Some(parts) = self.startable_parts(key) else { continue };
            if !self.start_isolated(round, key, &parts) && !std::mem::replace(&mut blocked, true) {
                self.set_workers_aside(round.now, key, parts.len() as u64);
            }
        }
        self.drain_workers(round);
    }

    /// Returns the task, or all parts of its gang, if the grant of the team allows them now.
    fn startable_parts(&self, key: TaskKey) -> Option<Vec<TaskKey>> {
        let record = self.jobs.get(key.0)?;
        let parts: Vec<TaskKey> = match record.is_gang() {
            true => (0..record.tasks.len() as u32).map(|index| (key.0, index)).collect(),
            false => vec![key],
        };
        let size = record.job.size.times(parts.len() as u64);
        self.teams.accounts[record.team].allows(&size).then_some(parts)
    }

    fn start_isolated(&mut self, round: &mut Round, key: TaskKey, parts: &[TaskKey]) -> bool {
        let Some(record) = self.jobs.get(key.0) else { return false };
        let (work, size) = (record.job.work.clone(), record.job.size);
        if !self.fits_round_limit(round, parts.len() as u64) {
            return false;
        }
        let index = (!record.is_gang()).then_some(key.1);
        let crashed = self.isolation.crashed_with(&work, index);
        let mut free: Vec<(bool, bool, usize)> = Vec::new();
        for (slot, host) in self.fleet.hosts.iter().enumerate() {
            let own = self.isolation.workers.get(&slot).is_none_or(|aside| aside.work == work);
            let empty = host.tasks.is_empty() && host.unbooked().minus(&host.held).holds(&size);
            let again = crashed.contains(&slot);
            if own && empty && host.is_ready() && host.is_steady(round.now, again) {
                free.push((again, record.failed_on.contains(&slot), slot));
            }
        }
        free.sort();
        let mut left = parts.iter();
        let mut places = Vec::new();
        for (.., slot) in free {
            let host = &self.fleet.hosts[slot];
            let room = fit_count(&host.capacity, &size).min(host.concurrent_starts_max());
            places.extend(left.by_ref().take(room as usize).map(|part| (*part, slot)));
        }
        if places.len() < parts.len() {
            return false;
        }
        for (part, slot) in places {
            self.isolation.workers.insert(slot, Aside { work: work.clone(), next_stop: None });
            self.fleet.set_aside(slot, true);
            self.start(round, part, slot);
        }
        true
    }

    /// Sets workers aside on which a suspect task, or all parts of a gang, will have room once their tasks have ended.
    fn set_workers_aside(&mut self, now: Instant, key: TaskKey, parts: u64) {
        let Some(record) = self.jobs.get(key.0) else { return };
        let (work, size) = (record.job.work.clone(), record.job.size);
        let room = |slot: usize| fit_count(&self.fleet.hosts[slot].capacity, &size);
        let own = self.isolation.workers.iter().filter(|(_, aside)| aside.work == work);
        let waiting = own.filter(|(slot, _)| {
            let tasks = &self.fleet.hosts[**slot].tasks;
            !tasks.iter().any(|task| task.0 == key.0 && self.is_suspect(*task))
        });
        let mut missing =
            waiting.fold(parts, |missing, (slot, _)| missing.saturating_sub(room(*slot)));
        let allowed = isolated_workers_max(self.fleet.known_workers);
        if missing == 0 || parts == 1 && self.isolation.workers.len() >= allowed {
            return;
        }
        let index = (!record.is_gang()).then_some(key.1);
        let crashed = self.isolation.crashed_with(&work, index);
        let mut offers = Vec::new();
        for (slot, host) in self.fleet.hosts.iter().enumerate() {
            if host.set_aside || !host.is_ready() || room(slot) == 0 {
                continue;
            }
            let stays = |key: &&TaskKey| {
                self.jobs.get(key.0).is_none_or(|record| record.victim_rank().is_none())
            };
            let staying = host.tasks.iter().filter(stays).count();
            let again = crashed.contains(&slot);
            let avoid = (again, !host.is_steady(now, again));
            offers.push((staying, avoid, host.tasks.len(), slot));
        }
        offers.sort();
        let mut chosen = Vec::new();
        for (.., slot) in offers {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(room(slot));
            chosen.push(slot);
        }
        if missing > 0 {
            return;
        }
        for slot in chosen {
            let next_stop = Some((StopMode::Checkpoint, now + DRAIN_WAIT));
            self.isolation.workers.insert(slot, Aside { work: work.clone(), next_stop });
            self.fleet.set_aside(slot, true);
        }
    }

    /// Asks the tasks of other jobs to leave workers that have been set aside for long.
    fn drain_workers(&mut self, round: &mut Round) {
        let due = self.isolation.workers.iter().filter_map(|(slot, aside)| {
            let (mode, _) = aside.next_stop.filter(|(_, at)| *at <= round.now)?;
            Some((*slot, mode))
        });
        for (slot, mode) in due.collect::<Vec<_>>() {
            let victims: Vec<TaskKey> = self.fleet.hosts[slot]
                .tasks
                .iter()
                .filter(|key| {
                    self.jobs.get(key.0).is_some_and(|record| record.victim_rank().is_some())
                })
                .copied()
                .collect();
            if victims.len() > round.remaining() {
                return;
            }
            self.stop_victims(round, &victims, mode);
            let next_stop = match mode {
                StopMode::Checkpoint => Some((StopMode::Stop, round.now + self.grace())),
                _ => None,
            };
            if let Some(aside) = self.isolation.workers.get_mut(&slot) {
                aside.next_stop = next_stop;
            }
        }
    }

    /// Returns the workers to all work whose suspect tasks neither wait nor run there.
    fn return_unused_workers(&mut self) {
        let job = |slot: usize| self.jobs.get(slot).map(|record| &record.job.work);
        let waiting: BTreeSet<&WorkId> =
            self.isolation.queue.values().filter_map(|key| job(key.0)).collect();
        let unused = self.isolation.workers.iter().filter(|(slot, aside)| {
            let tasks = &self.fleet.hosts[**slot].tasks;
            let own = |key: &TaskKey| job(key.0) == Some(&aside.work) && self.is_suspect(*key);
            let runs = tasks.iter().any(own);
            !runs && !waiting.contains(&aside.work)
        });
        for slot in unused.map(|(slot, _)| *slot).collect::<Vec<_>>() {
            self.return_worker(slot);
        }
    }

    fn return_worker(&mut self, slot: usize) {
        self.isolation.workers.remove(&slot);
        self.fleet.set_aside(slot, false);
    }
}
