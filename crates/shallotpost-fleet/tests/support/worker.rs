//! A worker that keeps fencing tokens, leases and the list of ends.

use std::collections::BTreeMap;
use std::time::Duration;

use shallotpost_fleet::job::TaskId;
use shallotpost_fleet::worker::{Call, EndReason, EndedRun, Error, Refusal, Report, Run, RunLists};
use shallotpost_protocol::size::Size;

/// A run that is present.
struct Present {
    number: u64,
    ends: Duration,
    ending: EndReason,
}

/// The worker.
pub struct Worker {
    pub capacity: Size,
    pub started_unix_ms: u64,
    /// How long tasks run.
    pub duration: Duration,
    /// How tasks end.
    pub ending: EndReason,
    /// Size of every task.
    pub size: Size,
    /// Gauges that it reports, by job.
    pub gauges: BTreeMap<u64, f64>,
    /// Shares at which tasks were told to work, in the order of the calls.
    pub paces: Vec<(TaskId, u32)>,
    /// How long a stop takes.
    pub stop_time: Duration,
    /// Whether starts get no answer and are not carried out.
    pub loses_starts: bool,
    /// Whether another worker has its address.
    pub replaced: bool,
    start: Duration,
    now: Duration,
    fence: u64,
    lease: Duration,
    present: BTreeMap<TaskId, Present>,
    ended: Vec<EndedRun>,
    last_end: u64,
    seen: u64,
    closed: BTreeMap<TaskId, u64>,
    /// Starts that were carried out, and when.
    pub starts: Vec<(Duration, TaskId, u64)>,
    /// Tasks that completed.
    pub done: Vec<TaskId>,
    /// Tickets of the starts.
    pub tickets: Vec<Option<String>>,
}

impl Worker {
    pub fn new(now: Duration, processors_milli: u64) -> Worker {
        Worker {
            capacity: Size { processors_milli, memory_mib: 1 << 16, accelerators: 8, slots: 0 },
            started_unix_ms: 1 + u64::try_from(now.as_millis()).expect("time fits"),
            duration: Duration::from_millis(300),
            ending: EndReason::Done,
            size: Size { processors_milli: 1000, ..Size::ZERO },
            gauges: BTreeMap::new(),
            paces: Vec::new(),
            stop_time: Duration::ZERO,
            loses_starts: false,
            replaced: false,
            start: now,
            now,
            fence: 0,
            lease: Duration::ZERO,
            present: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            seen: 0,
            closed: BTreeMap::new(),
            starts: Vec::new(),
            done: Vec::new(),
            tickets: Vec::new(),
        }
    }

    pub fn starts_of(&self, task: TaskId) -> usize {
        self.starts.iter().filter(|(_, started, _)| *started == task).count()
    }

    pub fn running(&self) -> impl Iterator<Item = TaskId> {
        self.present.keys().copied()
    }

    pub fn used(&self) -> Size {
        self.size.times(self.present.len() as u64)
    }

    /// Ends that have been noted.
    pub fn noted(&self) -> u64 {
        self.seen
    }

    /// Ends that were listed.
    pub fn ends(&self) -> u64 {
        self.last_end
    }

    /// Starts again under the same identifier: nothing runs and nothing is known of before.
    pub fn reborn(&mut self, now: Duration) {
        let (duration, ending) = (self.duration, self.ending);
        let starts = std::mem::take(&mut self.starts);
        *self =
            Worker { duration, ending, starts, ..Worker::new(now, self.capacity.processors_milli) };
    }

    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        let over: Vec<(TaskId, EndReason)> = self
            .present
            .iter()
            .filter_map(|(task, run)| match () {
                () if run.ends <= now && run.ends <= self.lease => Some((*task, run.ending)),
                () if self.lease < now => Some((*task, EndReason::LeaseExpired)),
                () => None,
            })
            .collect();
        for (task, ending) in over {
            self.end(task, ending);
        }
    }

    fn end(&mut self, task: TaskId, reason: EndReason) {
        if let Some(run) = self.present.remove(&task) {
            self.last_end += 1;
            if reason == EndReason::Done {
                self.done.push(task);
            }
            self.closed.insert(task, run.number);
            self.ended.push(EndedRun {
                sequence: self.last_end,
                task,
                number: run.number,
                reason,
                checkpoint: String::new(),
            });
        }
    }

    pub fn has_news(&self) -> bool {
        !self.ended.is_empty()
    }

    pub fn report(&self, now: Duration) -> Report {
        let run = |(task, run): (&TaskId, &Present)| Run {
            task: *task,
            number: run.number,
            checkpoint: String::new(),
            percent: 10.0,
            gauge: self.gauges.get(&task.stage.job).copied(),
        };
        Report {
            clock_ms: self.clock(now),
            started_unix_ms: Some(self.started_unix_ms),
            lists: Some(RunLists {
                running: self.present.iter().map(run).collect(),
                ended: self.ended.clone(),
            }),
        }
    }

    fn clock(&self, now: Duration) -> u64 {
        u64::try_from((now - self.start).as_millis()).expect("time fits")
    }

    fn extend(&mut self, until_ms: u64) {
        self.lease = self.lease.max(self.start + Duration::from_millis(until_ms));
    }

    pub fn call(&mut self, now: Duration, fence: u64, request: &Call) -> Result<Report, Error> {
        if self.replaced {
            return Err(Error::OtherWorker);
        }
        if fence < self.fence {
            return Err(Error::Refused(Refusal::Fence));
        }
        self.fence = fence;
        let plain = Report {
            clock_ms: self.clock(now),
            started_unix_ms: Some(self.started_unix_ms),
            lists: None,
        };
        match request {
            Call::Start { .. } if self.loses_starts => return Err(Error::Unanswered),
            Call::Start { task, number, until_ms, ticket, .. } => {
                let late = self.start + Duration::from_millis(*until_ms) < now;
                if late {
                    return Err(Error::Refused(Refusal::LeaseExpired));
                }
                self.extend(*until_ms);
                if self.closed.get(task).is_some_and(|closed| closed >= number) {
                    return Err(Error::Refused(Refusal::StaleRun));
                }
                let run =
                    Present { number: *number, ends: now + self.duration, ending: self.ending };
                self.present.insert(*task, run);
                self.starts.push((now, *task, *number));
                self.tickets.push(ticket.clone());
            }
            Call::Stop { task, number } => match self.present.get_mut(task) {
                Some(run) if run.number == *number && self.stop_time > Duration::ZERO => {
                    run.ends = run.ends.min(now + self.stop_time);
                    run.ending = EndReason::Stopped;
                }
                Some(run) if run.number == *number => self.end(*task, EndReason::Stopped),
                _ => {
                    let closed = self.closed.entry(*task).or_default();
                    *closed = (*closed).max(*number);
                }
            },
            Call::RenewLease { until_ms, acknowledged, .. } => {
                if let Some(until_ms) = until_ms {
                    self.extend(*until_ms);
                }
                self.seen = self.seen.max(*acknowledged);
                let seen = self.seen;
                self.ended.retain(|end| end.sequence > seen);
            }
            Call::Throttle { task, percent, .. } => self.paces.push((*task, *percent)),
        }
        Ok(plain)
    }
}
