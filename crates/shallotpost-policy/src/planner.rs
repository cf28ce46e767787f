//! Public interface of the placement policy.

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Explanation};
use shallotpost_protocol::worker::StopMode;

use crate::engine::Engine;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    pub id: WorkerId,
    pub rack: RackId,
    pub capacity: Size,
    /// Whether the worker may get new tasks: it answers, was claimed and is not leaving.
    pub schedulable: bool,
}

/// Fair-share weight and quota of a team on this shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    pub id: TeamId,
    /// Weight of the team in weighted fair sharing; 0 counts as 1.
    pub weight: u32,
    /// Maximum that the team may have booked on this shard.
    pub grant: Size,
}

/// A job whose tasks are to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    pub work: WorkId,
    pub class: Class,
    /// Declared size of each task.
    pub size: Size,
    /// Declared run time; may be wrong by a factor of 10.
    pub run_time: Option<Duration>,
    pub admitted: Instant,
    /// Whether a running task may be checkpointed and restarted later to free capacity for other work.
    pub preemptible: bool,
}

/// Error for a job that does not fit the shard even if all its workers are empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Infeasible {
    /// Capacity of the worker that falls short of the task size by the least.
    pub nearest_capacity: Size,
    /// Explanation for the submitter.
    pub message: String,
}

/// Why a task releases its booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReleaseCause {
    Succeeded,
    /// The task failed on the worker; this counts against the health of the worker.
    Failed,
    /// The task was stopped or checkpointed on request.
    Stopped,
    /// The worker refused the start; the task has certainly not run.
    Refused,
    /// The task lease has certainly expired.
    Lost,
}

/// A decision that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a task. Its size is already booked on the worker.
    Start { task: Task, worker: WorkerId },
    /// Checkpoints or stops a running task. Its size stays booked until [`Planner::release`].
    Stop { task: Task, worker: WorkerId, mode: StopMode },
}

/// Placement state of one shard.
///
/// A task is waiting, booked on one worker, idle, or unknown. [`submit`](Planner::submit) and
/// [`requeue`](Planner::requeue) queue it, [`plan`](Planner::plan) and [`adopt`](Planner::adopt) book it on a worker,
/// [`release`](Planner::release) frees its booking and leaves it idle, and [`finish`](Planner::finish) removes its job.
pub struct Planner {
    engine: Engine,
}

impl Planner {
    /// Creates a planner without workers, teams or jobs.
    pub fn new(policy: &Policy) -> Planner {
        Planner { engine: Engine::new(policy) }
    }

    pub fn set_policy(&mut self, policy: &Policy) {
        self.engine.set_policy(policy);
    }

    /// Adds or updates a worker. Its bookings stay.
    pub fn set_worker(&mut self, now: Instant, worker: Worker) {
        self.engine.set_worker(now, worker);
    }

    /// Removes a worker and returns the tasks that were booked on it. They stay idle until `requeue` or `finish`.
    ///
    /// Call this only after the task lease of the worker has certainly expired; otherwise a task may run twice.
    pub fn remove_worker(&mut self, now: Instant, worker: &WorkerId) -> Vec<Task> {
        self.engine.remove_worker(now, worker)
    }

    /// Adds or updates a team. Tasks of an unknown team wait and are never started.
    pub fn set_team(&mut self, _now: Instant, team: Team) {
        self.engine.set_team(team);
    }

    /// Removes a team. Its running tasks stay booked; its waiting tasks are not started.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.engine.remove_team(team);
    }

    /// Queues all tasks of a job. A job that is already known is left as it is, except that a finished job with
    /// remaining bookings is queued again.
    ///
    /// # Errors
    /// Returns [`Infeasible`] if no worker could hold a task of the job even when empty, or, for a gang, if all workers
    /// together could not hold all parts. A shard without workers accepts every job.
    pub fn submit(&mut self, now: Instant, job: Job) -> Result<(), Infeasible> {
        self.engine.submit(now, job)
    }

    /// Books a task that a worker already runs. An unknown job is added, and its other tasks are queued.
    pub fn adopt(&mut self, now: Instant, job: &Job, task: Task, worker: &WorkerId) {
        self.engine.adopt(now, job, task, worker);
    }

    /// Frees the booking of a task, which then stays idle until `requeue` or `finish`. Ignores a task that is not
    /// booked.
    pub fn release(&mut self, now: Instant, task: &Task, cause: ReleaseCause) {
        self.engine.release(now, task, cause);
    }

    /// Queues a released task again. For a gang, the caller requeues every part.
    pub fn requeue(&mut self, now: Instant, task: &Task) {
        self.engine.requeue(now, task);
    }

    /// Removes a job and drops its waiting tasks, in time proportional to the number of its tasks. A job with bookings
    /// is removed when the last one is released.
    pub fn finish(&mut self, work: &WorkId) {
        self.engine.finish(work);
    }

    /// Marks a task as suspect of crashing its workers. It starts only on a worker that runs nothing else, and nothing else
    /// starts there until [`end_isolation`](Planner::end_isolation), or until the task is released. `crashed` are the
    /// workers that crashed while they ran nothing else than the task. The mark lasts until `clear_suspect` or `finish`, and
    /// the job may be submitted after it.
    pub fn set_suspect(&mut self, now: Instant, task: &Task, crashed: &[WorkerId]) {
        self.engine.set_suspect(now, task, crashed);
    }

    pub fn clear_suspect(&mut self, now: Instant, task: &Task) {
        self.engine.clear_suspect(now, task);
    }

    /// Returns the worker of a suspect task that has outlived its losses to all work.
    pub fn end_isolation(&mut self, task: &Task) {
        self.engine.end_isolation(task);
    }

    /// Records that the process of a worker has restarted or was first seen. Suspect tasks do not start there for
    /// [`steady_time`](crate::losses::steady_time).
    pub fn note_process(&mut self, now: Instant, worker: &WorkerId) {
        self.engine.note_process(now, worker);
    }

    /// Records the measured resource usage of a task, which lags by some seconds. Bookings stay at the declared size;
    /// `explain` reports work that declares much more than it uses.
    pub fn record_usage(&mut self, _now: Instant, task: &Task, usage: &Size) {
        self.engine.record_usage(task, usage);
    }

    /// Enables or disables starts on the whole shard. Starts are disabled while the data centre is drained. After they
    /// are enabled again, the start rate of each worker is limited for a while.
    pub fn set_starts_enabled(&mut self, now: Instant, enabled: bool) {
        self.engine.set_starts_enabled(now, enabled);
    }

    /// Runs one round of decisions and returns at most `limit` actions.
    ///
    /// Only a gang with more than `limit` parts exceeds the limit, as the first start of a round, because its parts
    /// start together.
    pub fn plan(&mut self, now: Instant, limit: usize) -> Vec<Action> {
        self.engine.plan(now, limit)
    }

    /// Explains why a job waits. Returns `None` if the job is unknown.
    pub fn explain(&self, now: Instant, work: &WorkId) -> Option<Explanation> {
        self.engine.explain(now, work)
    }

    /// Returns the total size of the tasks that the team has booked on this shard.
    pub fn booked(&self, team: &TeamId) -> Size {
        self.engine.booked(team)
    }

    /// Returns the total size of the waiting tasks of the team.
    pub fn waiting(&self, team: &TeamId) -> Size {
        self.engine.waiting(team)
    }

    /// Summarizes capacity, bookings and demand of the shard for routing between shards.
    pub fn load(&self, shard: &Shard, epoch: Epoch) -> Load {
        self.engine.load(shard, epoch)
    }
}
