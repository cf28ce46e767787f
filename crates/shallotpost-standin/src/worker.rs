//! One worker: epochs, leases, capacity and tasks.
//!
//! A task's command selects its behaviour: `["run", "<milliseconds>"]` succeeds after that time, `["fail", "<milliseconds>"]`
//! fails after that time, `["serve"]` runs until it is stopped. An optional third argument is the share of the booked
//! processors that the task really uses, for example `["run", "500", "0.4"]`; without it the task uses all of them.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::{
    Assignment, AttemptOutcome, Refusal, Reply, Report, Request, Snapshot, StopMode, TaskState,
};

/// Age of the first measurement of a task's usage.
pub const USAGE_LAG: Duration = Duration::from_secs(3);

/// One attempt of a task on the worker.
#[derive(Clone, Debug)]
struct Run {
    assignment: Assignment,
    state: TaskState,
    started: Instant,
    throttled: bool,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    incarnation: u64,
    capacity: Size,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether every task fails as soon as it starts.
    pub fails_everything: bool,
    /// Whether calls with an old epoch are refused.
    pub fencing: bool,
    epoch: Epoch,
    lease_until: Option<Instant>,
    runs: BTreeMap<(Task, Attempt), Run>,
    /// Unknown attempts that were stopped in this epoch.
    ruled_out: BTreeSet<(Task, Attempt)>,
    /// Counts state changes.
    pub changes: u64,
    reported: u64,
    /// Each accepted start, in order; tests look for duplicates here.
    pub starts: Vec<(Task, Attempt)>,
}

impl Worker {
    /// An empty worker that nobody has claimed.
    pub fn new(incarnation: u64, capacity: Size) -> Worker {
        Worker {
            incarnation,
            capacity,
            leaving: false,
            fails_everything: false,
            fencing: true,
            epoch: 0,
            lease_until: None,
            runs: BTreeMap::new(),
            ruled_out: BTreeSet::new(),
            changes: 0,
            reported: 0,
            starts: Vec::new(),
        }
    }

    /// Executes one call at `now`. The wait of a `Sync` is up to the caller.
    pub fn handle(&mut self, now: Instant, request: &Request) -> Reply {
        self.advance(now);
        match request {
            Request::Claim { epoch, .. }
            | Request::Start { epoch, .. }
            | Request::Stop { epoch, .. }
                if self.fencing && *epoch < self.epoch =>
            {
                self.stale()
            }
            Request::Claim { epoch, lease, .. } => {
                if *epoch > self.epoch {
                    // Starts of the lower epochs are refused from now on.
                    self.ruled_out.clear();
                }
                self.epoch = *epoch;
                self.lease_until = Some(now + *lease);
                Reply::State(self.snapshot(now))
            }
            Request::Sync { .. } => match self.renew(now, request) {
                Some(refusal) => Reply::Refused(refusal),
                None => Reply::State(self.snapshot(now)),
            },
            Request::Start { epoch, .. } | Request::Stop { epoch, .. }
                if self.lease_until.is_none() || *epoch > self.epoch =>
            {
                Reply::Refused(Refusal::NotClaimed)
            }
            Request::Start { assignment, .. } => self.start(now, assignment),
            Request::Stop { task, attempt, mode, .. } => {
                self.stop(&(task.clone(), *attempt), *mode)
            }
        }
    }

    /// Renews the lease for a `Sync` and forgets the acknowledged ends; the state is told by the answer, at the end of the wait.
    pub fn renew(&mut self, now: Instant, request: &Request) -> Option<Refusal> {
        self.advance(now);
        match request {
            Request::Sync { epoch, .. } if self.fencing && *epoch < self.epoch => {
                Some(Refusal::StaleEpoch { current: self.epoch })
            }
            Request::Sync { epoch, .. } if self.lease_until.is_none() || *epoch > self.epoch => {
                Some(Refusal::NotClaimed)
            }
            Request::Sync { lease, acknowledged, .. } => {
                self.lease_until = Some(now + *lease);
                acknowledged.iter().for_each(|key| self.forget(key));
                None
            }
            _ => None,
        }
    }

    /// Answers a `Sync` that has waited until `now`. Unlike [`Worker::handle`] it renews no lease: the caller counts the
    /// lease from the moment it sent the call.
    pub fn report(&mut self, now: Instant, epoch: Epoch) -> Reply {
        self.advance(now);
        match () {
            _ if self.fencing && epoch < self.epoch => self.stale(),
            _ if self.lease_until.is_none() => Reply::Refused(Refusal::NotClaimed),
            _ => Reply::State(self.snapshot(now)),
        }
    }

    /// Ends the tasks whose time has come, and all tasks once the lease has lapsed.
    pub fn advance(&mut self, now: Instant) {
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lease_until = None;
            let running = self.runs.values_mut().filter(|run| is_running(&run.state));
            running.for_each(|run| run.state = TaskState::Ended(AttemptOutcome::LeaseLapsed));
            self.changes += 1;
        }
        let fails = self.fails_everything;
        for run in self.runs.values_mut().filter(|run| is_running(&run.state)) {
            if let Some(end) = due_end(run, now, fails) {
                run.state = TaskState::Ended(end);
                self.changes += 1;
            }
        }
    }

    /// Moment of the next change without a call, if any.
    pub fn next_change(&self) -> Option<Instant> {
        let running = self.runs.values().filter(|run| is_running(&run.state));
        let ends = running.filter_map(|run| Some(run.started + run_time(&run.assignment)?));
        ends.chain(self.lease_until).min()
    }

    /// Whether the state changed since the last answer that told it; a `Sync` that waits returns then.
    pub fn has_unreported_change(&self) -> bool {
        self.changes != self.reported
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<Task> {
        let running = self.runs.iter().filter(|(_, run)| is_running(&run.state));
        running.map(|((task, _), _)| task.clone()).collect()
    }

    /// What the running tasks have booked.
    pub fn booked(&self) -> Size {
        let running = self.runs.values().filter(|run| is_running(&run.state));
        running.fold(Size::ZERO, |sum, run| sum.plus(&run.assignment.size))
    }

    /// What the worker can hold.
    pub fn capacity(&self) -> Size {
        self.capacity
    }

    /// Distinguishes the runs of the worker's process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Loses all state, as after a crash and a restart.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.runs.clear();
        self.ruled_out.clear();
        self.lease_until = None;
        self.changes += 1;
    }

    fn stale(&self) -> Reply {
        Reply::Refused(Refusal::StaleEpoch { current: self.epoch })
    }

    fn start(&mut self, now: Instant, assignment: &Assignment) -> Reply {
        let key = (assignment.task.clone(), assignment.attempt);
        match () {
            _ if self.runs.contains_key(&key) => Reply::Done,
            _ if self.ruled_out.contains(&key) => Reply::Refused(Refusal::NoSuchTask),
            _ if self.leaving => Reply::Refused(Refusal::Leaving),
            _ if !self.booked().plus(&assignment.size).fits_in(&self.capacity) => {
                Reply::Refused(Refusal::Full)
            }
            _ => {
                let state = TaskState::Running { throttled: false };
                let run =
                    Run { assignment: assignment.clone(), state, started: now, throttled: false };
                self.starts.push(key.clone());
                self.runs.insert(key, run);
                self.changes += 1;
                Reply::Done
            }
        }
    }

    fn stop(&mut self, key: &(Task, Attempt), mode: StopMode) -> Reply {
        let Some(run) = self.runs.get_mut(key) else {
            if self.fencing && matches!(mode, StopMode::Stop | StopMode::Checkpoint) {
                self.ruled_out.insert(key.clone());
            }
            return Reply::Refused(Refusal::NoSuchTask);
        };
        if is_running(&run.state) {
            run.throttled = mode == StopMode::Throttle;
            run.state = match mode {
                StopMode::Checkpoint => TaskState::Ended(AttemptOutcome::Checkpointed),
                StopMode::Stop => TaskState::Ended(AttemptOutcome::Stopped),
                StopMode::Throttle | StopMode::Resume => {
                    TaskState::Running { throttled: run.throttled }
                }
            };
            self.changes += 1;
        }
        Reply::Done
    }

    fn forget(&mut self, key: &(Task, Attempt)) {
        if self.runs.get(key).is_some_and(|run| !is_running(&run.state)) {
            self.runs.remove(key);
        }
    }

    fn snapshot(&mut self, now: Instant) -> Snapshot {
        self.reported = self.changes;
        let tasks = self.runs.iter().map(|((task, attempt), run)| Report {
            task: task.clone(),
            attempt: *attempt,
            size: run.assignment.size,
            state: run.state.clone(),
            usage: usage(run, now),
        });
        Snapshot {
            incarnation: self.incarnation,
            capacity: self.capacity,
            leaving: self.leaving,
            tasks: tasks.collect(),
        }
    }
}

fn is_running(state: &TaskState) -> bool {
    matches!(state, TaskState::Running { .. })
}

/// What a running task uses, once it has been measured. A throttled task uses half of its processors.
fn usage(run: &Run, now: Instant) -> Option<Size> {
    let measured = is_running(&run.state) && now >= run.started + USAGE_LAG;
    let size = run.assignment.size;
    let argument = run.assignment.command.get(2).and_then(|text| text.parse::<f64>().ok());
    let share = argument.unwrap_or(1.0).clamp(0.0, 1.0) * if run.throttled { 0.5 } else { 1.0 };
    let processors_milli = (size.processors_milli as f64 * share).round() as u64;
    measured.then_some(Size { processors_milli, ..size })
}

fn due_end(run: &Run, now: Instant, fails: bool) -> Option<AttemptOutcome> {
    let failed = |detail: &str| AttemptOutcome::Failed { detail: detail.to_owned() };
    match run.assignment.command.first().map(String::as_str) {
        _ if fails => Some(failed("the worker fails every task")),
        _ if now < run.started + run_time(&run.assignment)? => None,
        Some("run") => Some(AttemptOutcome::Succeeded { result: None }),
        _ => Some(failed("the command failed")),
    }
}

/// Time until the task ends by itself; `None` where it never does.
fn run_time(assignment: &Assignment) -> Option<Duration> {
    match assignment.command.first().map(String::as_str) {
        Some("serve") => None,
        _ => {
            let millis = assignment.command.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            Some(Duration::from_millis(millis))
        }
    }
}
