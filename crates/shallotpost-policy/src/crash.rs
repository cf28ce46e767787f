//! Attribution of worker crashes to tasks.
//!
//! Pattern: a task crashes each worker that starts it. All runs of the worker are lost with it, so a loss does not tell
//! the task from its neighbours, and when all of them start again elsewhere, the next workers crash. A task that lost its
//! run shortly after its start, or lost several runs, is therefore started in isolation: on a worker where all other runs
//! have survived their start and nothing else starts meanwhile. A crash of that worker is evidence against the task; a
//! run that outlives the age of an earlier loss clears the task of it.
//!
//! A worker that stops answering may be cut off and run on. Such a loss makes a task a suspect, but it takes a process that
//! has certainly ended, or many losses, to condemn it. A task that crashes its workers does so at about the same age, while
//! workers that crash by themselves lose a long run each time at another age.

use std::time::Duration;

/// Time after which a run has survived its start, if its worker still answers.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Certain crashes in isolation, at the same age, after which a task is given up. One may be a coincidence.
const ISOLATED_CRASHES_MAX: usize = 2;

/// Difference up to which two losses are of the same age.
const SAME_AGE: Duration = SETTLE_TIME;

/// Certain crashes in isolation, at any age, after which a task is given up. The age at which a task crashes may vary.
const ISOLATED_CRASHES_OF_ANY_AGE_MAX: usize = 3;

/// Losses in isolation after which a task is given up although its workers may have been cut off. A task that takes its
/// worker away for good leaves no certain crash, and its starts must be bounded too.
const ISOLATED_LOSSES_MAX: usize = 4;

/// Losses after which a task is isolated, whatever the age of its runs was.
const LOSSES_MAX: usize = 2;

/// Share of the workers that stop answering together from which a common cause, such as a power failure, is assumed.
const COMMON_CAUSE_SHARE: f64 = 0.1;

/// Number of workers below which no common cause is assumed.
const COMMON_CAUSE_MIN: usize = 4;

/// Share of a pool's workers that may be set aside for isolated tasks at the same time. Their other runs continue.
const ISOLATION_SHARE: f64 = 0.25;

/// Part of these workers that suspects of expired jobs, and of jobs beyond their team's share, may use.
const YIELDING_ISOLATION_SHARE: f64 = 0.25;

/// Loss of a run with its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Number of the run.
    pub run: u64,
    /// Time from the start of the run until the worker stopped answering.
    pub age: Duration,
    /// Whether no other run on the worker can have been the cause.
    pub isolated: bool,
    /// Whether the worker's process has certainly ended.
    pub certain: bool,
}

/// What is to be done with a task after the losses of its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may start on any worker.
    Sound,
    /// It may start in isolation only.
    Suspect,
    /// It crashes its workers and is not started again.
    Deadly,
}

/// Losses that a task has not been cleared of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    crashes: Vec<Crash>,
}

impl History {
    pub fn new(crashes: Vec<Crash>) -> History {
        History { crashes }
    }

    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records a loss. Each run counts once, and becomes certain when a later report says so.
    pub fn record(&mut self, crash: Crash) {
        match self.crashes.iter_mut().find(|known| known.run == crash.run) {
            Some(known) => known.certain |= crash.certain,
            None => self.crashes.push(crash),
        }
    }

    /// Returns whether the task has lost another run at the same age.
    pub fn has_lost_at(&self, run: u64, age: Duration) -> bool {
        let mut others = self.crashes.iter().filter(|crash| crash.run != run);
        others.any(|crash| crash.age.abs_diff(age) <= SAME_AGE)
    }

    /// Drops the loss of a run whose worker turns out to be alive: it lists the run or its end. Returns whether there was
    /// one.
    pub fn acquit(&mut self, run: u64) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.run != run);
        self.crashes.len() < before
    }

    /// Records that a run was alive at an age. Returns whether this cleared the task of a loss.
    pub fn survive(&mut self, age: Duration) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| age < crash.age + SETTLE_TIME);
        self.crashes.len() < before
    }

    pub fn verdict(&self) -> Verdict {
        let isolated = self.crashes.iter().filter(|crash| crash.isolated).count();
        let condemning: Vec<&Crash> =
            self.crashes.iter().filter(|crash| crash.isolated && crash.certain).collect();
        let of_same_age = |crash: &&Crash| {
            condemning.iter().filter(|other| other.age.abs_diff(crash.age) <= SAME_AGE).count()
        };
        let most_of_same_age = condemning.iter().map(of_same_age).max().unwrap_or_default();
        let early = self.crashes.iter().any(|crash| crash.age < SETTLE_TIME);
        match () {
            () if most_of_same_age >= ISOLATED_CRASHES_MAX => Verdict::Deadly,
            () if condemning.len() >= ISOLATED_CRASHES_OF_ANY_AGE_MAX => Verdict::Deadly,
            () if isolated >= ISOLATED_LOSSES_MAX => Verdict::Deadly,
            () if early || self.crashes.len() >= LOSSES_MAX => Verdict::Suspect,
            () => Verdict::Sound,
        }
    }

    /// Returns the age at which an isolated run has outlived all losses.
    pub fn isolation_time(&self) -> Duration {
        let longest = self.crashes.iter().map(|crash| crash.age).max();
        longest.unwrap_or_default() + SETTLE_TIME
    }
}

/// Returns whether so many workers stopped answering at the same time that none of the runs which had survived their
/// start is the cause.
pub fn is_common_cause(lost_together: usize, workers: usize) -> bool {
    lost_together >= COMMON_CAUSE_MIN && lost_together as f64 >= workers as f64 * COMMON_CAUSE_SHARE
}

/// Returns how many workers of a pool may be set aside while suspects start whose jobs are of little use by now. They start
/// nevertheless: each takes a worker for a short time only, and the ones that wait crash many workers at once later.
pub fn yielding_isolated_workers_max(workers: usize) -> usize {
    ((isolated_workers_max(workers) as f64 * YIELDING_ISOLATION_SHARE) as usize).max(1)
}

/// Returns how many workers of a pool may be set aside for isolated tasks at the same time.
pub fn isolated_workers_max(workers: usize) -> usize {
    ((workers as f64 * ISOLATION_SHARE) as usize).max(1)
}
