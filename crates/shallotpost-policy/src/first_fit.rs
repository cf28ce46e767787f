//! FIFO order with first fit: the baseline that the policy is compared with.

use std::collections::{BTreeMap, HashMap, VecDeque};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Explanation, Phase};

use crate::planner::{Action, Job, Team, Unfit, Worker};

struct Host {
    worker: Worker,
    free: Size,
}

/// State of the baseline.
#[derive(Default)]
pub struct FirstFit {
    hosts: BTreeMap<WorkerId, Host>,
    teams: HashMap<TeamId, Team>,
    jobs: HashMap<WorkId, Job>,
    queue: VecDeque<Task>,
    bookings: HashMap<Task, WorkerId>,
    booked: HashMap<TeamId, Size>,
    closed: bool,
}

impl FirstFit {
    pub(crate) fn set_worker(&mut self, worker: Worker) {
        let booked = self.bookings.iter().filter(|(_, host)| **host == worker.id);
        let sizes = booked.filter_map(|(task, _)| self.jobs.get(&task.work)).map(|job| job.size);
        let used = sizes.fold(Size::ZERO, |sum, size| sum.plus(&size));
        let free = worker.capacity.minus(&used);
        self.hosts.insert(worker.id.clone(), Host { worker, free });
    }

    pub(crate) fn remove_worker(&mut self, worker: &WorkerId) -> Vec<Task> {
        let lost: Vec<Task> = self
            .bookings
            .iter()
            .filter(|(_, host)| *host == worker)
            .map(|(task, _)| task.clone())
            .collect();
        lost.iter().for_each(|task| self.release(task));
        self.hosts.remove(worker);
        lost
    }

    pub(crate) fn set_team(&mut self, team: Team) {
        self.teams.insert(team.id.clone(), team);
    }

    pub(crate) fn remove_team(&mut self, team: &TeamId) {
        self.teams.remove(team);
    }

    pub(crate) fn submit(&mut self, job: Job) -> Result<(), Unfit> {
        if !self.hosts.is_empty()
            && !self.hosts.values().any(|host| job.size.fits_in(&host.worker.capacity))
        {
            let nearest = self.largest();
            let message = format!("the largest worker holds {nearest:?}");
            return Err(Unfit { nearest, message });
        }
        for index in 0..job.class.tasks() {
            self.queue.push_back(Task { work: job.work.clone(), index });
        }
        self.jobs.insert(job.work.clone(), job);
        Ok(())
    }

    pub(crate) fn adopt(&mut self, job: &Job, task: Task, worker: &WorkerId) {
        if !self.jobs.contains_key(&job.work) {
            let others = (0..job.class.tasks()).map(|index| Task { work: job.work.clone(), index });
            self.queue.extend(others);
            self.jobs.insert(job.work.clone(), job.clone());
        }
        self.queue.retain(|waiting| *waiting != task);
        self.book(task, worker.clone(), job.size);
    }

    pub(crate) fn release(&mut self, task: &Task) {
        let (Some(worker), Some(job)) = (self.bookings.remove(task), self.jobs.get(&task.work))
        else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.free = host.free.plus(&job.size).min(&host.worker.capacity);
        }
        let booked = self.booked.entry(task.work.team.clone()).or_default();
        *booked = booked.minus(&job.size);
    }

    pub(crate) fn requeue(&mut self, task: &Task) {
        if self.jobs.contains_key(&task.work) {
            self.queue.push_back(task.clone());
        }
    }

    pub(crate) fn finish(&mut self, work: &WorkId) {
        self.queue.retain(|task| task.work != *work);
        self.jobs.remove(work);
    }

    pub(crate) fn set_open(&mut self, open: bool) {
        self.closed = !open;
    }

    pub(crate) fn plan(&mut self, limit: usize) -> Vec<Action> {
        let mut actions = Vec::new();
        while actions.len() < limit && !self.closed {
            let Some(first) = self.queue.front().cloned() else { break };
            let Some(placement) = self.place_job(&first) else { break };
            for (task, worker) in placement {
                self.queue.retain(|waiting| *waiting != task);
                actions.push(Action::Start { task, worker });
            }
        }
        actions
    }

    pub(crate) fn explain(&self, work: &WorkId) -> Option<Explanation> {
        let job = self.jobs.get(work)?;
        let position = self.queue.iter().position(|task| task.work == *work);
        let (phase, reasons) = match position {
            Some(position) => {
                (Phase::Waiting, vec![format!("{position} tasks are ahead of it in the queue")])
            }
            None => (Phase::Running, Vec::new()),
        };
        Some(Explanation { work: job.work.clone(), phase, reasons, remedies: Vec::new() })
    }

    pub(crate) fn booked(&self, team: &TeamId) -> Size {
        self.booked.get(team).copied().unwrap_or(Size::ZERO)
    }

    pub(crate) fn waiting(&self, team: &TeamId) -> Size {
        let tasks = self.queue.iter().filter(|task| task.work.team == *team);
        tasks
            .filter_map(|task| self.jobs.get(&task.work))
            .fold(Size::ZERO, |sum, job| sum.plus(&job.size))
    }

    pub(crate) fn load(&self, shard: &Shard, epoch: Epoch) -> Load {
        let open = self.hosts.values().filter(|host| host.worker.open);
        let (capacity, free) = open.fold((Size::ZERO, Size::ZERO), |(capacity, free), host| {
            (capacity.plus(&host.worker.capacity), free.plus(&host.free))
        });
        let waiting = self.queue.iter().filter_map(|task| self.jobs.get(&task.work));
        Load {
            shard: shard.clone(),
            epoch,
            capacity,
            booked: capacity.minus(&free),
            waiting: waiting.fold(Size::ZERO, |sum, job| sum.plus(&job.size)),
            largest: self.largest(),
            waiting_tasks: self.queue.len() as u64,
            running_tasks: self.bookings.len() as u64,
            workers: self.hosts.len() as u64,
            silent_workers: self.hosts.values().filter(|host| !host.worker.open).count() as u64,
        }
    }

    fn largest(&self) -> Size {
        self.hosts.values().fold(Size::ZERO, |largest, host| largest.max(&host.worker.capacity))
    }

    /// Books the first task, or all parts of its gang; `None` where there is no room.
    fn place_job(&mut self, first: &Task) -> Option<Vec<(Task, WorkerId)>> {
        let job = self.jobs.get(&first.work)?.clone();
        let indices = match job.class {
            Class::Gang { parts } => 0..parts,
            _ => first.index..first.index + 1,
        };
        let mut placement = Vec::new();
        for index in indices {
            let task = Task { work: job.work.clone(), index };
            let Some(worker) = self.first_fit(&job) else {
                placement.iter().for_each(|(task, _)| self.release(task));
                return None;
            };
            self.book(task.clone(), worker.clone(), job.size);
            placement.push((task, worker));
        }
        Some(placement)
    }

    fn first_fit(&self, job: &Job) -> Option<WorkerId> {
        let team = self.teams.get(&job.work.team)?;
        let within_grant = self.booked(&team.id).plus(&job.size).fits_in(&team.grant);
        let mut open =
            self.hosts.values().filter(|host| host.worker.open && job.size.fits_in(&host.free));
        open.next().filter(|_| within_grant).map(|host| host.worker.id.clone())
    }

    fn book(&mut self, task: Task, worker: WorkerId, size: Size) {
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.free = host.free.minus(&size);
        }
        let booked = self.booked.entry(task.work.team.clone()).or_default();
        *booked = booked.plus(&size);
        self.bookings.insert(task, worker);
    }
}
