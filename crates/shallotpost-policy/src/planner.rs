//! Interface of the placement decisions.

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Explanation};
use shallotpost_protocol::worker::StopMode;

use crate::engine::Engine;

/// A worker of the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// What it can hold.
    pub capacity: Size,
    /// Whether it may get new tasks: it answers, was claimed and is not leaving.
    pub open: bool,
}

/// A team as this shard sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// Weight of its share.
    pub share: u32,
    /// Most that it may have booked on this shard.
    pub grant: Size,
}

/// Work to place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The work.
    pub work: WorkId,
    /// Its class.
    pub class: Class,
    /// Declared size of each task.
    pub size: Size,
    /// Declared run time; may be wrong by a factor of 10.
    pub run_time: Option<Duration>,
    /// Moment of admission.
    pub admitted: Instant,
    /// Whether a running task may be checkpointed and started again for others.
    pub preemptible: bool,
}

/// No worker could ever hold a task of the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unfit {
    /// The nearest capacity that exists.
    pub nearest: Size,
    /// Explanation for the caller.
    pub message: String,
}

/// Why a task no longer takes capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// It ended well.
    Succeeded,
    /// It failed on the worker.
    Failed,
    /// It was stopped or checkpointed by a call.
    Stopped,
    /// The worker refused the start; it was certainly not run.
    Refused,
    /// Its lease has surely lapsed.
    Lost,
}

/// A decision for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the task; its size is booked on the worker from now on.
    Start {
        /// The task.
        task: Task,
        /// The worker.
        worker: WorkerId,
    },
    /// Stop, checkpoint, throttle or resume a running task; its size stays booked until [`Planner::release`].
    Stop {
        /// The task.
        task: Task,
        /// Its worker.
        worker: WorkerId,
        /// How.
        mode: StopMode,
    },
}

/// Placement state of one shard.
///
/// A task is waiting, booked on one worker, or not known. `submit` and `requeue` make it wait, `plan` and `adopt` book it,
/// `release` frees its booking, `finish` forgets the work.
pub struct Planner {
    engine: Engine,
}

impl Planner {
    /// A shard without workers, teams and work.
    pub fn new(policy: &Policy) -> Planner {
        Planner { engine: Engine::new(policy) }
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: &Policy) {
        self.engine.set_policy(policy);
    }

    /// Adds or changes a worker. Bookings stay.
    pub fn set_worker(&mut self, now: Instant, worker: Worker) {
        self.engine.set_worker(now, worker);
    }

    /// Forgets a worker. Returns the tasks that were booked on it, which now wait for `requeue` or `finish`. Call it only
    /// after the task lease of the worker has surely lapsed.
    pub fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task> {
        self.engine.remove_worker(now, worker)
    }

    /// Adds or changes a team. A team that is not known gets no starts.
    pub fn set_team(&mut self, _now: Instant, team: Team) {
        self.engine.set_team(team);
    }

    /// Forgets a team.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.engine.remove_team(team);
    }

    /// Adds work whose tasks all wait.
    ///
    /// # Errors
    /// Returns [`Unfit`] where no worker of the shard, empty, could hold a task (or, for a gang, all workers all parts).
    pub fn submit(&mut self, now: Instant, job: Job) -> Result<(), Unfit> {
        self.engine.submit(now, job)
    }

    /// Books a task that a worker already runs. Adds the job where it is not known; its other tasks wait.
    pub fn adopt(&mut self, now: Instant, job: &Job, task: Task, worker: &WorkerId) {
        self.engine.adopt(now, job, task, worker);
    }

    /// Frees the booking of a task. The task then neither waits nor runs until `requeue` or `finish`.
    pub fn release(&mut self, now: Instant, task: &Task, cause: Cause) {
        self.engine.release(now, task, cause);
    }

    /// Makes a released task wait again. For a gang the caller requeues every part.
    pub fn requeue(&mut self, now: Instant, task: &Task) {
        self.engine.requeue(now, task);
    }

    /// Forgets work without bookings; waiting tasks are dropped. In time O(1) plus the tasks of the work.
    pub fn finish(&mut self, work: &WorkId) {
        self.engine.finish(work);
    }

    /// Takes note of measured use, which lags by some seconds. Bookings stay at the declared size; `explain` names work that
    /// declares much more than it uses.
    pub fn report(&mut self, _now: Instant, task: &Task, usage: &Size) {
        self.engine.report(task, usage);
    }

    /// Opens or closes the whole shard for starts; closed while its data centre is drained.
    pub fn set_open(&mut self, now: Instant, open: bool) {
        self.engine.set_open(now, open);
    }

    /// Decides at most `limit` actions. Only a gang with more parts may exceed it, as the first of the round: its parts
    /// start together.
    pub fn plan(&mut self, now: Instant, limit: usize) -> Vec<Action> {
        self.engine.plan(now, limit)
    }

    /// Why a work waits; `None` where the work is not known.
    pub fn explain(&self, now: Instant, work: &WorkId) -> Option<Explanation> {
        self.engine.explain(now, work)
    }

    /// What the team has booked on this shard.
    pub fn booked(&self, team: &TeamId) -> Size {
        self.engine.booked(team)
    }

    /// What the team's waiting tasks need.
    pub fn waiting(&self, team: &TeamId) -> Size {
        self.engine.waiting(team)
    }

    /// Load of the shard.
    pub fn load(&self, shard: &Shard, epoch: Epoch) -> Load {
        self.engine.load(shard, epoch)
    }
}
