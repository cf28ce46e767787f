//! Simulated worker that enforces fencing tokens and leases and lists its ended runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotpost_fleet::job::TaskId;
use shallotpost_fleet::worker::{
    Call, ENDED_RUNS_MAX, EndReason, EndedRun, Error, Refusal, Report, Run, RunLists,
};
use shallotpost_protocol::size::Size;

/// Something that a worker did with a run, for [`super::twice`]. It is kept across lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Started,
    /// The run ended, under this number in the list of the worker's life.
    Ended(EndReason, u64),
    /// The process ended, and the run with it.
    Lost,
    /// A stop was executed for a run that was not there.
    Barred,
    /// The owner acknowledged the end with this number. `lapsed` tells whether the lease lapsed between the two.
    Acknowledged {
        sequence: u64,
        lapsed: bool,
    },
}

/// A change of a run, with its time.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub at: Duration,
    /// Start of the worker's process, in milliseconds since the Unix epoch.
    pub life: u64,
    pub task: TaskId,
    pub number: u64,
    pub change: Change,
    /// Whether the call that caused it was executed late.
    pub late: bool,
}

struct ActiveRun {
    number: u64,
    ends_at: Duration,
    end_reason: EndReason,
}

pub struct Worker {
    pub capacity: Size,
    pub started_unix_ms: u64,
    /// Duration of runs that are started from now on.
    pub duration: Duration,
    /// Duration of the runs of single jobs, in place of `duration`.
    pub job_durations: BTreeMap<u64, Duration>,
    /// End reason of runs that are started from now on.
    pub end_reason: EndReason,
    /// Jobs whose runs fail.
    pub failing_jobs: BTreeSet<u64>,
    /// Number in 100 of the runs that fail.
    pub failure_percent: u64,
    /// Size of every task.
    pub size: Size,
    /// Gauges to report, by job.
    pub gauges: BTreeMap<u64, f64>,
    /// Tasks and percentages of the throttle calls, in the order of their arrival.
    pub throttles: Vec<(TaskId, u32)>,
    /// Time that a stopped run takes to end.
    pub stop_time: Duration,
    /// Clock to report in place of its own, in milliseconds.
    pub false_clock_ms: Option<u64>,
    /// Whether start calls are neither executed nor answered.
    pub loses_starts: bool,
    /// Whether it refuses starts for which it has no room.
    pub guards_capacity: bool,
    /// Whether another worker listens at its address.
    pub replaced: bool,
    /// Whether its process has crashed and has not been started again.
    pub crashed: bool,
    /// Rate of the worker's clock.
    pub clock_rate: f64,
    /// Whether the present call was sent long before.
    pub executes_late: bool,
    /// Maximum time from the arrival of a lease to its end, on the worker's clock.
    pub hold_max: Duration,
    /// The worker's clock at the start of its process, in milliseconds.
    pub clock_base_ms: u64,
    /// Whether connections to the former life stay open and silent, as its machine was cut off when it ended.
    pub keeps_connections: bool,
    /// Arrival times of renewals, and the numbers that they acknowledge.
    pub renewals: Vec<(Duration, u64)>,
    /// What the worker did with its runs, in all its lives.
    pub records: Vec<Record>,
    /// When the lease last lapsed.
    lapsed: Option<Duration>,
    start: Duration,
    now: Duration,
    fence: u64,
    lease_end: Duration,
    active: BTreeMap<TaskId, ActiveRun>,
    ended: Vec<EndedRun>,
    last_sequence: u64,
    acknowledged: u64,
    /// Highest run number of each task that was stopped or has ended; starts up to it are refused.
    closed_runs: BTreeMap<TaskId, u64>,
    /// Executed starts: time, task and run number.
    pub starts: Vec<(Duration, TaskId, u64)>,
    /// Completed tasks.
    pub done: Vec<TaskId>,
    /// Tasks of the runs that failed.
    pub failed: Vec<TaskId>,
    /// Tickets of the executed starts.
    pub tickets: Vec<Option<String>>,
}

impl Worker {
    pub fn new(now: Duration, processors_milli: u64) -> Worker {
        Worker {
            capacity: Size { processors_milli, memory_mib: 1 << 16, accelerators: 8, slots: 0 },
            started_unix_ms: super::UNIX_MS
                + 1
                + u64::try_from(now.as_millis()).expect("time fits"),
            duration: Duration::from_millis(300),
            job_durations: BTreeMap::new(),
            end_reason: EndReason::Done,
            failing_jobs: BTreeSet::new(),
            failure_percent: 0,
            size: Size { processors_milli: 1000, ..Size::ZERO },
            gauges: BTreeMap::new(),
            throttles: Vec::new(),
            stop_time: Duration::ZERO,
            false_clock_ms: None,
            loses_starts: false,
            guards_capacity: false,
            replaced: false,
            crashed: false,
            clock_rate: 1.0,
            executes_late: false,
            hold_max: Duration::from_secs(10),
            clock_base_ms: 0,
            keeps_connections: false,
            renewals: Vec::new(),
            records: Vec::new(),
            lapsed: None,
            start: now,
            now,
            fence: 0,
            lease_end: Duration::ZERO,
            active: BTreeMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            acknowledged: 0,
            closed_runs: BTreeMap::new(),
            starts: Vec::new(),
            done: Vec::new(),
            failed: Vec::new(),
            tickets: Vec::new(),
        }
    }

    pub fn starts_of(&self, task: TaskId) -> usize {
        self.starts.iter().filter(|(_, started, _)| *started == task).count()
    }

    pub fn running(&self) -> impl Iterator<Item = TaskId> {
        self.active.keys().copied()
    }

    pub fn used(&self) -> Size {
        self.size.times(self.active.len() as u64)
    }

    /// Returns the sequence number up to which ended runs are acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the number of runs that have ended.
    pub fn ended_count(&self) -> u64 {
        self.last_sequence
    }

    /// Restarts the process under the same identifier. All runs, the lease, the fencing token and the numbers of ends are
    /// lost, and the clock starts at zero.
    pub fn restart(&mut self, now: Duration) {
        self.lose_runs();
        let (duration, end_reason) = (self.duration, self.end_reason);
        let starts = std::mem::take(&mut self.starts);
        let job_durations = std::mem::take(&mut self.job_durations);
        let (failing_jobs, failure_percent) =
            (std::mem::take(&mut self.failing_jobs), self.failure_percent);
        let records = std::mem::take(&mut self.records);
        *self = Worker {
            records,
            hold_max: self.hold_max,
            clock_rate: self.clock_rate,
            failing_jobs,
            failure_percent,
            duration,
            job_durations,
            end_reason,
            starts,
            ..Worker::new(now, self.capacity.processors_milli)
        };
    }

    /// Returns the completed tasks whose end is not acknowledged.
    pub fn unacknowledged_done(&self) -> impl Iterator<Item = TaskId> {
        let done = self.ended.iter().filter(|end| end.reason == EndReason::Done);
        done.map(|end| end.task)
    }

    /// Ends the process without a trace of its runs. [`Worker::restart`] starts it again.
    pub fn crash(&mut self) {
        self.crashed = true;
        self.lose_runs();
        self.ended.clear();
    }

    fn lose_runs(&mut self) {
        for (task, run) in std::mem::take(&mut self.active) {
            self.record(self.now, task, run.number, Change::Lost);
        }
    }

    fn record(&mut self, at: Duration, task: TaskId, number: u64, change: Change) {
        let (life, late) = (self.started_unix_ms, self.executes_late);
        self.records.push(Record { at, life, task, number, change, late });
    }

    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        let ended_now: Vec<(TaskId, EndReason, Duration)> = self
            .active
            .iter()
            .filter_map(|(task, run)| match () {
                () if run.ends_at <= now && run.ends_at <= self.lease_end => {
                    Some((*task, run.end_reason, run.ends_at))
                }
                () if self.lease_end < now => {
                    Some((*task, EndReason::LeaseExpired, self.lease_end))
                }
                () => None,
            })
            .collect();
        for (task, end_reason, at) in ended_now {
            self.end(task, end_reason, at);
        }
    }

    fn end(&mut self, task: TaskId, reason: EndReason, at: Duration) {
        if let Some(run) = self.active.remove(&task) {
            self.last_sequence += 1;
            let change = Change::Ended(reason, self.last_sequence);
            self.record(at, task, run.number, change);
            if reason == EndReason::Done {
                self.done.push(task);
            }
            if reason == EndReason::Failed {
                self.failed.push(task);
            }
            self.closed_runs.insert(task, run.number);
            self.ended.push(EndedRun {
                sequence: self.last_sequence,
                task,
                number: run.number,
                reason,
                checkpoint: String::new(),
            });
        }
    }

    /// Runs a task that no host of the fleet has started.
    pub fn run_foreign(&mut self, task: TaskId, time: Duration) {
        let ends_at = self.now + time;
        self.active.insert(task, ActiveRun { number: 1, ends_at, end_reason: EndReason::Done });
    }

    /// Lists the end of a run that no host of the fleet has started.
    pub fn list_foreign_end(&mut self, task: TaskId) {
        self.active
            .insert(task, ActiveRun { number: 1, ends_at: self.now, end_reason: EndReason::Done });
        self.end(task, EndReason::Done, self.now);
    }

    pub fn has_ended_runs(&self) -> bool {
        !self.ended.is_empty()
    }

    pub fn report(&self, now: Duration) -> Report {
        let run = |(task, run): (&TaskId, &ActiveRun)| Run {
            task: *task,
            number: run.number,
            checkpoint: String::new(),
            percent: 10.0,
            gauge: self.gauges.get(&task.stage.job).copied(),
        };
        Report {
            clock_ms: self.false_clock_ms.unwrap_or_else(|| self.clock(now)),
            started_unix_ms: Some(self.started_unix_ms),
            lists: Some(RunLists {
                running: self.active.iter().map(run).collect(),
                ended: self.ended.iter().take(ENDED_RUNS_MAX).cloned().collect(),
            }),
        }
    }

    fn clock(&self, now: Duration) -> u64 {
        let uptime = (now - self.start).mul_f64(self.clock_rate);
        let uptime = u64::try_from(uptime.as_millis()).expect("time fits");
        self.clock_base_ms + uptime
    }

    /// Returns when the worker's clock reaches a time; the start of the process for an earlier one.
    fn time_of(&self, clock_ms: u64) -> Duration {
        let uptime = Duration::from_millis(clock_ms.saturating_sub(self.clock_base_ms));
        self.start.saturating_add(uptime.div_f64(self.clock_rate))
    }

    /// Extends the lease, which ends at most `hold_max` after the arrival and is never shortened.
    fn extend_lease(&mut self, now: Duration, until_ms: u64) {
        self.note_lapse(now);
        let until = self.time_of(until_ms).min(now + self.hold_max.div_f64(self.clock_rate));
        self.lease_end = self.lease_end.max(until);
    }

    fn note_lapse(&mut self, now: Duration) {
        if self.lease_end < now {
            self.lapsed = self.lapsed.max(Some(self.lease_end));
        }
    }

    /// Forgets the ends up to a number and records them as acknowledged.
    fn acknowledge(&mut self, now: Duration, sequence: u64) {
        self.note_lapse(now);
        self.acknowledged = self.acknowledged.max(sequence);
        let (seen, kept): (Vec<EndedRun>, Vec<EndedRun>) =
            std::mem::take(&mut self.ended).into_iter().partition(|end| end.sequence <= sequence);
        self.ended = kept;
        for end in seen {
            let listed = Change::Ended(end.reason, end.sequence);
            let life = self.started_unix_ms;
            let ended = self.records.iter().rev().find(|record| {
                (record.life, record.task, record.change) == (life, end.task, listed)
            });
            let lapsed = ended.is_some_and(|record| self.lapsed.is_some_and(|at| at >= record.at));
            let change = Change::Acknowledged { sequence: end.sequence, lapsed };
            self.record(now, end.task, end.number, change);
        }
    }

    pub fn call(&mut self, now: Duration, fence: u64, request: &Call) -> Result<Report, Error> {
        if self.replaced {
            return Err(Error::OtherWorker);
        }
        if self.crashed {
            return Err(Error::Unreachable);
        }
        if fence < self.fence {
            return Err(Error::Refused(Refusal::Fence));
        }
        self.fence = fence;
        let plain = Report {
            clock_ms: self.false_clock_ms.unwrap_or_else(|| self.clock(now)),
            // Only lists name the life of a worker.
            started_unix_ms: None,
            lists: None,
        };
        match request {
            Call::Start { .. } if self.loses_starts => return Err(Error::Unanswered),
            Call::Start { task, number, until_ms, ticket, .. } => {
                if *until_ms < self.clock(now) {
                    return Err(Error::Refused(Refusal::LeaseExpired));
                }
                self.extend_lease(now, *until_ms);
                if self.active.get(task).is_some_and(|run| run.number == *number) {
                    return Ok(plain);
                }
                if self.closed_runs.get(task).is_some_and(|closed| closed >= number) {
                    return Err(Error::Refused(Refusal::StaleRun));
                }
                let used = self.used().plus(&self.size);
                if self.guards_capacity && !used.fits_in(&self.capacity) {
                    return Err(Error::Refused(Refusal::NoCapacity));
                }
                let duration = self.job_durations.get(&task.stage.job).unwrap_or(&self.duration);
                let run = ActiveRun {
                    number: *number,
                    ends_at: now + *duration,
                    end_reason: match self.failing_jobs.contains(&task.stage.job)
                        || number % 100 < self.failure_percent
                    {
                        true => EndReason::Failed,
                        false => self.end_reason,
                    },
                };
                let replaced = self.active.insert(*task, run);
                self.record(now, *task, *number, Change::Started);
                if let Some(replaced) = replaced {
                    self.record(now, *task, replaced.number, Change::Lost);
                }
                self.starts.push((now, *task, *number));
                self.tickets.push(ticket.clone());
            }
            Call::Stop { task, number } => match self.active.get_mut(task) {
                Some(run) if run.number == *number && self.stop_time > Duration::ZERO => {
                    run.ends_at = run.ends_at.min(now + self.stop_time);
                    run.end_reason = EndReason::Stopped;
                }
                Some(run) if run.number == *number => self.end(*task, EndReason::Stopped, now),
                _ => {
                    let closed = self.closed_runs.entry(*task).or_default();
                    *closed = (*closed).max(*number);
                    self.record(now, *task, *number, Change::Barred);
                }
            },
            Call::RenewLease { until_ms, acknowledged, .. } => {
                if let Some(until_ms) = until_ms {
                    self.extend_lease(now, *until_ms);
                }
                self.renewals.push((now, *acknowledged));
                self.acknowledge(now, *acknowledged);
            }
            Call::Throttle { task, percent, .. } => self.throttles.push((*task, *percent)),
        }
        Ok(plain)
    }
}
