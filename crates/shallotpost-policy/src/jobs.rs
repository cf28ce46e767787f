//! Jobs that the planner knows and the states of their tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;

use crate::planner::{Job, ReleaseCause};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TaskState {
    /// Waits at a position in a lane of its team.
    Queued {
        lane: usize,
        position: usize,
    },
    /// Waits together with the other parts of its gang.
    QueuedPart,
    /// Is suspect and waits for a worker that runs nothing else.
    Isolated,
    Booked {
        host: usize,
        started: Instant,
        sequence: u64,
        stopping: bool,
    },
    /// Neither waits nor runs. Holds the cause of the last release, if the task was ever booked.
    Idle(Option<ReleaseCause>),
}

/// A job and the states of its tasks.
#[derive(Debug)]
pub(crate) struct JobRecord {
    pub(crate) job: Job,
    pub(crate) team: usize,
    /// Increases with each submission; unique also when the slot is reused.
    pub(crate) sequence: u64,
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) waiting: u32,
    pub(crate) booked: u32,
    /// Number of booked tasks by rack.
    pub(crate) booked_by_rack: BTreeMap<usize, u32>,
    /// Workers on which a task of the job failed.
    pub(crate) failed_on: BTreeSet<usize>,
    /// Peak measured usage of any task, by resource; `None` before the first measurement.
    pub(crate) peak_usage: Option<Size>,
    /// Whether the job is removed once its last booking is released.
    pub(crate) finished: bool,
    /// Capacity version at the last failed attempt to place the whole gang; 0 before the first attempt.
    pub(crate) tried_version: u64,
    /// When the job last began to wait.
    pub(crate) waiting_since: Instant,
    /// Earliest time of the next reservation, set after one has expired.
    pub(crate) next_reservation_at: Option<Instant>,
}

impl JobRecord {
    pub(crate) fn is_gang(&self) -> bool {
        matches!(self.job.class, Class::Gang { .. })
    }

    /// Returns the order in which running tasks are preempted, the lowest first; `None` if they may not be preempted.
    pub(crate) fn victim_rank(&self) -> Option<u8> {
        match self.job.class {
            _ if !self.job.preemptible => None,
            Class::Batch => Some(0),
            Class::Service { .. } => Some(1),
            Class::Gang { .. } => Some(2),
            Class::Urgent => None,
        }
    }

    /// Returns the size that preempting one running task frees: that of all running parts for a gang.
    pub(crate) fn preempted_size(&self) -> Size {
        if self.is_gang() { self.job.size.times(u64::from(self.booked)) } else { self.job.size }
    }

    pub(crate) fn is_service(&self) -> bool {
        matches!(self.job.class, Class::Service { .. })
    }
}

/// All jobs, by slot. Slots of removed jobs are reused.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    records: Vec<Option<JobRecord>>,
    free_slots: Vec<usize>,
    slots: HashMap<WorkId, usize>,
    sequence: u64,
}

impl Jobs {
    pub(crate) fn slot(&self, work: &WorkId) -> Option<usize> {
        self.slots.get(work).copied()
    }

    pub(crate) fn get(&self, slot: usize) -> Option<&JobRecord> {
        self.records.get(slot)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, slot: usize) -> Option<&mut JobRecord> {
        self.records.get_mut(slot)?.as_mut()
    }

    /// Adds a job whose tasks are all idle, and returns its slot.
    pub(crate) fn insert(&mut self, now: Instant, job: Job, team: usize) -> usize {
        self.sequence += 1;
        let slot = self.free_slots.pop().unwrap_or(self.records.len());
        if slot == self.records.len() {
            self.records.push(None);
        }
        self.slots.insert(job.work.clone(), slot);
        let tasks = vec![TaskState::Idle(None); job.class.tasks() as usize];
        self.records[slot] = Some(JobRecord {
            job,
            team,
            sequence: self.sequence,
            tasks,
            waiting: 0,
            booked: 0,
            booked_by_rack: BTreeMap::new(),
            failed_on: BTreeSet::new(),
            peak_usage: None,
            finished: false,
            tried_version: 0,
            waiting_since: now,
            next_reservation_at: None,
        });
        slot
    }

    pub(crate) fn remove(&mut self, slot: usize) {
        if let Some(record) = self.records.get_mut(slot).and_then(Option::take) {
            self.slots.remove(&record.job.work);
            self.free_slots.push(slot);
        }
    }

    /// Returns the slot of the job and the state of a task.
    pub(crate) fn task(&self, task: &Task) -> Option<(usize, TaskState)> {
        let slot = self.slot(&task.work)?;
        let state = self.get(slot)?.tasks.get(task.index as usize)?;
        Some((slot, *state))
    }
}
