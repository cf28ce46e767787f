//! Jobs as they are submitted and stored.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::configuration::Terms;
use crate::prelude::*;

/// Identifier of a job, chosen by its submitter: 16 hexadecimal digits.
pub type JobId = u64;

/// Largest number of tasks in a step; a larger one does not fit any fleet of the target size.
pub const TASKS_MAX: u32 = 10_000;

/// Largest number of steps in a job.
pub const STEPS_MAX: usize = 256;

/// A job as its submitter described it, with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the queue.
    pub queue: String,
    /// Team that submitted it; none in queues that are open to all.
    pub team: Option<String>,
    /// Opaque text that is handed to the workers.
    pub specification: String,
    /// Steps; a step refers to earlier ones by position.
    pub steps: Vec<Step>,
    /// Repetition, if the job runs at set times.
    pub schedule: Option<Schedule>,
    /// Terms of the queue when the job was admitted. They apply once the queue is removed.
    pub terms: Terms,
    /// Highest epoch of ownership that the accepting host knew. An owner of a lower epoch does not start the job, so the
    /// owner of this epoch knows that nobody did before it.
    pub epoch: u64,
}

/// Times at which a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time from one due time to the next.
    pub interval: Duration,
}

impl Schedule {
    /// Due time of an occurrence, in milliseconds since the Unix epoch.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.first_unix_ms.saturating_add(interval.saturating_mul(occurrence.into()))
    }
}

/// A set of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs. Its slots are zero: workers of a fleet are bounded by resources only.
    pub size: Size,
    /// Rough duration of a task.
    pub estimate: Duration,
    /// Positions of steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// Whether all tasks run at the same time or not at all.
    pub gang: bool,
    /// Whether the gang is slower across racks.
    pub one_rack: bool,
    /// Label that the worker must have; empty for any.
    pub label: String,
    /// Rack that holds the data; empty for none.
    pub data_rack: String,
    /// Most tasks of one occurrence on one worker; zero for no limit.
    pub per_worker_max: u32,
    /// Whether several copies of a task may run at once.
    pub duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound for the tail latency of what the tasks serve; zero for none.
    pub latency_target: Duration,
    /// Whether the tasks use left-over processor time, which is not booked.
    pub fills: bool,
    /// Most tasks that the scheduler may interrupt at the same time.
    pub unavailable_max: u32,
}

impl Step {
    /// What a task books on a worker.
    pub fn booking(&self) -> Size {
        match self.fills {
            true => Size { processors_milli: 0, ..self.size },
            false => self.size,
        }
    }
}

impl Job {
    /// The fault that prevents the job from being admitted, if there is one.
    pub fn fault(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("the job has no steps; give at least one");
        }
        if self.steps.len() > STEPS_MAX {
            return Some("the job has too many steps; split it");
        }
        if self.steps.iter().any(|step| step.tasks == 0 || step.tasks > TASKS_MAX) {
            return Some("a step has no tasks or too many; give 1 to 10000");
        }
        let forward = |(position, step): (usize, &Step)| {
            step.after.iter().any(|before| usize::from(*before) >= position)
        };
        if self.steps.iter().enumerate().any(forward) {
            return Some("a step waits for itself or a later one; name earlier steps only");
        }
        None
    }

    /// Number of occurrences; one for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Length of the longest chain of steps, by their estimates.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|step| ends.get(usize::from(*step))).max();
            ends.push(before.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether a step runs until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from zero.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u16,
}

impl StageId {
    /// The task at a position of this stage.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { stage: self, index }
    }
}

impl fmt::Display for StageId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task, named `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Its stage.
    pub stage: StageId,
    /// Position in the stage.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.stage, self.index)
    }
}

/// The text does not name a task.
#[derive(Debug, thiserror::Error)]
#[error("a task's name has the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct NotATask;

impl FromStr for TaskId {
    type Err = NotATask;

    fn from_str(text: &str) -> Result<TaskId, NotATask> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(NotATask);
        let job = parse_job_id(next()?).ok_or(NotATask)?;
        let occurrence = next()?.parse().map_err(|_| NotATask)?;
        let step = next()?.parse().map_err(|_| NotATask)?;
        let index = next()?.parse().map_err(|_| NotATask)?;
        match parts.next() {
            None => Ok(StageId { job, occurrence, step }.task(index)),
            Some(_) => Err(NotATask),
        }
    }
}

/// Reads 16 lower-case hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    match text.len() == 16 && text.bytes().all(digit) {
        true => JobId::from_str_radix(text, 16).ok(),
        false => None,
    }
}
