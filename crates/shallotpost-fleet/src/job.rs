//! Jobs, as submitted and stored, and the names of their tasks.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::configuration::QueuePolicy;
use crate::message::trailing;
use crate::origin::{Address, Origin};
use crate::prelude::*;

/// Identifier of a job, chosen by its submitter and written as 16 hexadecimal digits.
pub type JobId = u64;

/// Maximum number of tasks in a step; a larger step does not fit any fleet of the target size.
pub const TASKS_MAX: u32 = 10_000;

/// Maximum number of steps in a job.
pub const STEPS_MAX: usize = 256;

/// A job as submitted, with the policy that its queue had at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the queue at the submission. [`Configuration::queue_of`] tells the present one.
    pub queue: String,
    /// Name at the submission of the team that submitted the job; `None` if it was submitted without a key.
    pub team: Option<String>,
    /// Opaque text that is passed to the workers.
    pub specification: String,
    /// Steps, in topological order: a step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Due times of a recurring job; `None` for a job that runs once, at once.
    pub schedule: Option<Schedule>,
    /// Policy of the queue when the job was admitted. It applies while the configuration has no queue for the job.
    pub policy: QueuePolicy,
    /// Highest epoch of ownership that the accepting host knew. An owner of a lower epoch does not start the job, so the
    /// owner of this epoch knows that no earlier owner has started it.
    pub epoch: u64,
    /// What the job was submitted with; `None` in rows and messages of earlier versions, which end before it.
    #[serde(default, skip_serializing_if = "Option::is_none", deserialize_with = "trailing")]
    pub origin: Option<Origin>,
}

/// Recurrence of a job. Each occurrence runs all of its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    pub occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
}

impl Schedule {
    /// Returns the number of occurrences that are due.
    pub fn count_due(&self, unix_ms: u64) -> u32 {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        match unix_ms.checked_sub(self.first_unix_ms) {
            None => 0,
            Some(elapsed) => match elapsed.checked_div(interval) {
                None => self.occurrences,
                Some(before) => u32::try_from(before)
                    .unwrap_or(u32::MAX)
                    .saturating_add(1)
                    .min(self.occurrences),
            },
        }
    }

    /// Returns the due time of an occurrence, counted from zero, in milliseconds since the Unix epoch.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.first_unix_ms.saturating_add(interval.saturating_mul(occurrence.into()))
    }
}

/// A set of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub tasks: u32,
    /// Resources that each task needs. Its slots are zero: workers of a fleet are limited by resources only.
    pub size: Size,
    /// Estimated duration of a task.
    pub estimate: Duration,
    /// Positions of the steps that must complete before this one starts.
    pub after: Vec<u16>,
    /// Whether tasks write checkpoints from which they can resume.
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which runs all at once or not at all.
    pub gang: bool,
    /// Whether the gang runs slower when it is spread over several racks.
    pub one_rack: bool,
    /// Label that a worker must have; empty for any worker.
    pub label: String,
    /// Rack that holds the input data; empty if none does.
    pub data_rack: String,
    /// Maximum number of tasks of one occurrence on one worker; zero for no limit.
    pub per_worker_max: u32,
    /// Whether several runs of one task may overlap.
    pub duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Program that the tasks run; tasks with the same image behave alike.
    pub image: String,
    /// Target for the tail latency of requests that the tasks serve; zero for none.
    pub latency_target: Duration,
    /// Whether the tasks are best effort: they use idle processor time, which is not booked.
    pub best_effort: bool,
    /// Maximum number of tasks that the scheduler may interrupt at the same time.
    pub unavailable_max: u32,
}

impl Step {
    /// Returns the resources that a task books on a worker.
    pub fn booking(&self) -> Size {
        match self.best_effort {
            true => Size { processors_milli: 0, ..self.size },
            false => self.size,
        }
    }
}

impl Job {
    /// Returns why the job cannot be admitted; `None` if it is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("the job has no steps; give at least one");
        }
        if self.steps.len() > STEPS_MAX {
            return Some("the job has more than 256 steps; split it into several jobs");
        }
        if self.steps.iter().any(|step| step.tasks == 0 || step.tasks > TASKS_MAX) {
            return Some("a step has no tasks or more than 10000; give 1 to 10000");
        }
        let forward = |(position, step): (usize, &Step)| {
            step.after.iter().any(|before| usize::from(*before) >= position)
        };
        if self.steps.iter().enumerate().any(forward) {
            return Some("a step depends on itself or on a later step; name earlier steps only");
        }
        // Occurrences that last until the job is cancelled all run at the same time.
        if self.long_running() && self.tasks() > TASKS_MAX.into() {
            return Some(
                "the occurrences of a long-running job have more than 10000 tasks in all; ask for fewer occurrences",
            );
        }
        None
    }

    /// Returns the key of what is learned about the jobs of the queue. It stays when the queue is renamed.
    pub fn profile(&self) -> Address {
        match &self.origin {
            Some(origin) => origin.address.clone(),
            None => Address { host: String::new(), prefix: self.queue.clone() },
        }
    }

    /// Returns the number of occurrences, which is one without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the number of tasks of all steps and occurrences.
    fn tasks(&self) -> u64 {
        let tasks = self.steps.iter().map(|step| u64::from(step.tasks)).sum::<u64>();
        tasks.saturating_mul(self.occurrences().into())
    }

    /// Returns the length of the critical path through the steps, by their estimates.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|step| ends.get(usize::from(*step))).max();
            ends.push(before.copied().unwrap_or_default().saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns for each step the length of the longest path from its start to the end of the job, by the estimates.
    pub fn remaining_paths(&self) -> Vec<Duration> {
        let mut paths: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        for (position, step) in self.steps.iter().enumerate().rev() {
            let path = paths[position];
            for before in &step.after {
                if let Some(earlier) = self.steps.get(usize::from(*before)) {
                    let through = earlier.estimate.saturating_add(path);
                    let known = &mut paths[usize::from(*before)];
                    *known = through.max(*known);
                }
            }
        }
        paths
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Identifier of a stage: one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StageId {
    pub job: JobId,
    /// Occurrence of the job, counted from zero.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
}

impl StageId {
    pub fn task(self, index: u32) -> TaskId {
        TaskId { stage: self, index }
    }

    /// Returns the range of all possible tasks of the stage.
    pub fn tasks(self) -> RangeInclusive<TaskId> {
        self.task(0)..=self.task(u32::MAX)
    }
}

impl fmt::Display for StageId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    pub stage: StageId,
    /// Position of the task in the stage.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.stage, self.index)
    }
}

/// The text is not the name of a task.
#[derive(Debug, thiserror::Error)]
#[error("not a task name; the form is JOB.OCCURRENCE.STEP.INDEX")]
pub struct ParseTaskIdError;

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<TaskId, ParseTaskIdError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(ParseTaskIdError);
        let job = parse_job_id(next()?).ok_or(ParseTaskIdError)?;
        let occurrence = next()?.parse().map_err(|_| ParseTaskIdError)?;
        let step = next()?.parse().map_err(|_| ParseTaskIdError)?;
        let index = next()?.parse().map_err(|_| ParseTaskIdError)?;
        match parts.next() {
            None => Ok(StageId { job, occurrence, step }.task(index)),
            Some(_) => Err(ParseTaskIdError),
        }
    }
}

/// Parses a job's identifier; returns `None` unless the text is 16 lower-case hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    match text.len() == 16 && text.bytes().all(digit) {
        true => JobId::from_str_radix(text, 16).ok(),
        false => None,
    }
}
