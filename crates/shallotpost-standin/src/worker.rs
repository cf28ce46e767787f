//! State machine of one worker: epoch, lease, capacity and tasks.
//!
//! The command of a task selects its behaviour: `["run", "<milliseconds>"]` succeeds after that time,
//! `["fail", "<milliseconds>"]` fails after that time, and `["serve"]` runs until it is stopped. An optional third element
//! is the share of the booked processors that the task uses, as in `["run", "500", "0.4"]`; the default is all of them.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::{
    Assignment, AttemptOutcome, Refusal, Reply, Report, Request, Snapshot, StopMode, TaskState,
};

/// Time from the start of a task until its usage is reported.
pub const USAGE_LAG: Duration = Duration::from_secs(3);

/// One attempt of a task on the worker.
#[derive(Clone, Debug)]
struct Run {
    assignment: Assignment,
    state: TaskState,
    started: Instant,
    throttled: bool,
}

/// The state of one worker. Time is passed in by the caller.
#[derive(Clone, Debug)]
pub struct Worker {
    incarnation: u64,
    capacity: Size,
    /// Whether the worker is about to leave; it then refuses new tasks.
    pub leaving: bool,
    /// Whether every task fails as soon as it starts.
    pub fails_everything: bool,
    /// Whether calls with an old epoch are refused.
    pub fencing: bool,
    epoch: Epoch,
    lease_until: Option<Instant>,
    runs: BTreeMap<(Task, Attempt), Run>,
    /// Attempts that were stopped in this epoch before their start arrived. A late start of one is refused.
    stopped_before_start: BTreeSet<(Task, Attempt)>,
    /// Number of state changes so far.
    pub changes: u64,
    /// Value of `changes` in the last snapshot.
    reported_changes: u64,
    /// Every accepted start, in order; tests look for duplicates here.
    pub starts: Vec<(Task, Attempt)>,
}

impl Worker {
    /// Returns a worker without tasks that no scheduler has claimed.
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
            stopped_before_start: BTreeSet::new(),
            changes: 0,
            reported_changes: 0,
            starts: Vec::new(),
        }
    }

    /// Executes one call at `now`. A `Sync` is answered at once; waiting is up to the caller.
    pub fn handle(&mut self, now: Instant, request: &Request) -> Reply {
        self.advance(now);
        match request {
            Request::Claim { epoch, .. }
            | Request::Start { epoch, .. }
            | Request::Stop { epoch, .. }
                if self.fencing && *epoch < self.epoch =>
            {
                self.stale_epoch()
            }
            Request::Claim { epoch, lease, .. } => {
                if *epoch > self.epoch {
                    // Starts with a lower epoch are refused from now on, so the set is no longer needed.
                    self.stopped_before_start.clear();
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

    /// Renews the lease for a `Sync` and removes the acknowledged tasks that have ended. Returns a refusal if the epoch does
    /// not match or the worker is not claimed. The state is reported by [`Worker::report`] at the end of the wait.
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

    /// Returns the reply to a `Sync` that has waited until `now`. Unlike [`Worker::handle`] it does not renew the lease,
    /// because the caller counts the lease from the moment it sent the call.
    pub fn report(&mut self, now: Instant, epoch: Epoch) -> Reply {
        self.advance(now);
        match () {
            _ if self.fencing && epoch < self.epoch => self.stale_epoch(),
            _ if self.lease_until.is_none() => Reply::Refused(Refusal::NotClaimed),
            _ => Reply::State(self.snapshot(now)),
        }
    }

    /// Ends the tasks whose run time is over, and all tasks if the lease has lapsed.
    pub fn advance(&mut self, now: Instant) {
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lease_until = None;
            let running = self.runs.values_mut().filter(|run| is_running(&run.state));
            running.for_each(|run| run.state = TaskState::Ended(AttemptOutcome::LeaseLapsed));
            self.changes += 1;
        }
        let fails_everything = self.fails_everything;
        for run in self.runs.values_mut().filter(|run| is_running(&run.state)) {
            if let Some(outcome) = due_outcome(run, now, fails_everything) {
                run.state = TaskState::Ended(outcome);
                self.changes += 1;
            }
        }
    }

    /// Returns when the state next changes without a call; `None` if it does not.
    pub fn next_change(&self) -> Option<Instant> {
        let running = self.runs.values().filter(|run| is_running(&run.state));
        let ends = running.filter_map(|run| Some(run.started + run_time(&run.assignment)?));
        ends.chain(self.lease_until).min()
    }

    /// Returns whether the state has changed since the last reply that contained it. A waiting `Sync` returns then.
    pub fn has_unreported_change(&self) -> bool {
        self.changes != self.reported_changes
    }

    pub fn running(&self) -> Vec<Task> {
        let running = self.runs.iter().filter(|(_, run)| is_running(&run.state));
        running.map(|((task, _), _)| task.clone()).collect()
    }

    /// Returns the sum of the sizes of the running tasks.
    pub fn booked(&self) -> Size {
        let running = self.runs.values().filter(|run| is_running(&run.state));
        running.fold(Size::ZERO, |sum, run| sum.plus(&run.assignment.size))
    }

    pub fn capacity(&self) -> Size {
        self.capacity
    }

    /// Returns the number that tells the runs of the worker process apart; a restart changes it.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Loses the tasks and the lease and begins a new incarnation, as after a crash and a restart.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.runs.clear();
        self.stopped_before_start.clear();
        self.lease_until = None;
        self.changes += 1;
    }

    fn stale_epoch(&self) -> Reply {
        Reply::Refused(Refusal::StaleEpoch { current: self.epoch })
    }

    fn start(&mut self, now: Instant, assignment: &Assignment) -> Reply {
        let key = (assignment.task.clone(), assignment.attempt);
        match () {
            _ if self.runs.contains_key(&key) => Reply::Done,
            _ if self.stopped_before_start.contains(&key) => Reply::Refused(Refusal::NoSuchTask),
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
                self.stopped_before_start.insert(key.clone());
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
        self.reported_changes = self.changes;
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

/// Returns the usage of a running task, or `None` before the first measurement. A throttled task uses half of its
/// processors.
fn usage(run: &Run, now: Instant) -> Option<Size> {
    let measured = is_running(&run.state) && now >= run.started + USAGE_LAG;
    let size = run.assignment.size;
    let argument = run.assignment.command.get(2).and_then(|text| text.parse::<f64>().ok());
    let share = argument.unwrap_or(1.0).clamp(0.0, 1.0) * if run.throttled { 0.5 } else { 1.0 };
    let processors_milli = (size.processors_milli as f64 * share).round() as u64;
    measured.then_some(Size { processors_milli, ..size })
}

/// Returns the outcome of a running task that ends by itself at or before `now`; `None` if it keeps running.
fn due_outcome(run: &Run, now: Instant, fails_everything: bool) -> Option<AttemptOutcome> {
    let failed = |detail: &str| AttemptOutcome::Failed { detail: detail.to_owned() };
    match run.assignment.command.first().map(String::as_str) {
        _ if fails_everything => Some(failed("the worker fails every task")),
        _ if now < run.started + run_time(&run.assignment)? => None,
        Some("run") => Some(AttemptOutcome::Succeeded { result: None }),
        _ => Some(failed("the command failed")),
    }
}

/// Returns the time after which the task ends by itself; `None` if it never does.
fn run_time(assignment: &Assignment) -> Option<Duration> {
    match assignment.command.first().map(String::as_str) {
        Some("serve") => None,
        _ => {
            let millis = assignment.command.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            Some(Duration::from_millis(millis))
        }
    }
}
