//! Scheduler of the host that owns the fleet.
//!
//! Nothing is stored when a run starts: the workers' lists are the record of what runs. The end of a run is stored
//! before the worker may drop it from its list, so a successor finds everything that happened in the store and in the
//! workers' lists.

mod affiliation;
mod approvals;
mod approvers;
mod commit;
mod crashes;
mod holds;
mod late_starts;
mod leases;
mod load;
mod occurrences;
mod orders;
mod placement;
mod preemption;
mod round;
mod run_lists;
pub mod session;
mod shares;
pub mod stage;
mod takeover;
mod throttling;

pub use late_starts::StoredStart;
pub use load::Load;
pub use takeover::UnreachableWorker;

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use shallotpost_policy::approval::Rate;
use shallotpost_policy::slowness::QueueSpeed;

use crate::configuration::QueuePolicy;
use crate::job::StageId;
use crate::origin::Address;
use crate::port::{Counter, HostName};
use crate::prelude::*;
use crate::progress::{Failure, Progress, State};
use crate::worker::{Error, Registration, Report};

use approvers::Approvers;
pub use commit::{Batch, cancellation_key, job_key, job_part, job_parts};
use crashes::Loss;
use session::{Contact, FULL_SPEED_PERCENT, Phase, Placement, Session, WorkerKey};
use stage::{Place, Stage};

/// Bits of a run number below the epoch. Run numbers of a later epoch are higher, so no counter has to be stored before
/// a start.
const RUN_NUMBER_BITS: u32 = 24;

/// Maximum number of incarnations of one worker that the fencing token distinguishes within one epoch.
const INCARNATIONS_MAX: u64 = 1 << 10;

/// Number of them up to which the token is raised within a session. The others are left to restarts.
const RAISED_FENCE_MAX: u64 = INCARNATIONS_MAX / 2;

/// Minimum time between two placement rounds, so that runs that end at about the same time share a round.
const ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Maximum time between two placement rounds while work waits.
const ROUND_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Time limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum length of a lease that the owner asks for.
    pub lease_max: Duration,
    /// Maximum length of a lease that a worker grants. A call that was meant for another incarnation of the worker, and so
    /// names a time on another clock, may get one of this length.
    pub hold_max: Duration,
    /// Time after which a stopped run is certain to have ended.
    pub stop_timeout: Duration,
    /// Time for which the state of a finished job is kept.
    pub retention: Duration,
}

/// Environment in which the scheduler handles an event.
pub struct Context<'a> {
    pub now: Uptime,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    pub configuration: &'a Configuration,
    /// Data centres whose workers receive no new tasks.
    pub evacuated: &'a BTreeSet<String>,
    /// Number of the last call that the host made.
    pub last_call: &'a mut CallId,
    pub outputs: &'a mut Vec<Output>,
    /// Whether the ownership was renewed recently enough to start tasks.
    pub may_start: bool,
    /// Time up to which all stored jobs are known.
    pub jobs_known_until: Uptime,
    /// Latest time at which a lease may end; a successor relies on it.
    pub latest_lease_end: Uptime,
}

impl Context<'_> {
    fn allocate_call(&mut self) -> CallId {
        *self.last_call += 1;
        *self.last_call
    }

    fn log(&mut self, event: &'static str, fields: Vec<(&'static str, String)>) {
        self.outputs.push(Output::Log(Log { event, fields }));
    }
}

/// A job and its scheduling state.
#[derive(Debug)]
struct JobEntry {
    id: JobId,
    job: Rc<Job>,
    /// Name of its queue; `None` if the configuration has none for the job.
    queue: Option<Rc<str>>,
    /// Current policy of its queue, or the policy at admission if it has none.
    policy: Rc<QueuePolicy>,
    critical_path: Duration,
    /// Longest path from the start of each step to the end of the job.
    remaining_paths: Vec<Duration>,
    /// Whether its team had exceeded its share when it submitted the job.
    beyond_share: bool,
    /// Team whose quota its tasks use; `None` if it was submitted without a key.
    team: Option<Rc<str>>,
    /// When this owner learned of the job.
    admitted: Uptime,
    state: State,
    /// State in the last commit. Callers see a final state only once it is stored.
    stored_state: State,
    cancelled: bool,
    /// Number of leading occurrences that are complete.
    occurrences_done: u32,
    /// Number of leading occurrences whose stages have been created.
    occurrences_begun: u32,
    /// Stages of the begun occurrences, except the leading ones that are complete, by occurrence and step.
    stages: BTreeMap<(u32, u16), Stage>,
    /// When the job reached a final state; `None` before.
    finished: Option<Uptime>,
    /// Why the job failed; `None` if it did not, or if that is not known.
    failure: Option<Failure>,
}

impl JobEntry {
    /// Returns the time after admission by which the job is to be completed.
    fn completion_target(&self) -> Duration {
        let stretched = self.critical_path.as_secs_f64() * self.policy.stretch.max(1.0);
        let stretched = Duration::try_from_secs_f64(stretched).unwrap_or(Duration::MAX);
        stretched.saturating_add(self.policy.target)
    }
}

/// Purpose of a call to a worker. Starts and stops name the task and the number of the run, and a renewal the time at
/// which it was sent.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Start(TaskId, u64),
    Stop(TaskId, u64),
    RenewLease(Uptime),
    /// A call that only shows that the worker was alive after this time.
    Probe(Uptime),
    Throttle,
}

/// Schedules the fleet's jobs during one epoch of ownership.
pub struct Scheduler {
    epoch: u64,
    bounds: Bounds,
    last_run_number: u64,
    jobs: BTreeMap<JobId, JobEntry>,
    /// Jobs that have not reached a final state.
    unfinished: BTreeSet<JobId>,
    /// Jobs whose progress is not in a batch yet.
    dirty: BTreeSet<JobId>,
    /// Stages that may have waiting tasks. Rounds remove those that have none.
    waiting: BTreeSet<StageId>,
    /// Stages that may have become placeable since the last full round.
    fresh: BTreeSet<StageId>,
    /// The stages that the last full round ranked first, if there are too many to rank in every round.
    ranked: Vec<StageId>,
    sessions: BTreeMap<WorkerKey, Session>,
    /// Last number that the fencing token of each worker contains in this epoch: that of the last session's incarnation, or
    /// a higher one. It outlives the session, as the worker keeps the fencing token, and calls and commits in flight name
    /// the incarnation.
    incarnations: BTreeMap<WorkerKey, u64>,
    /// Workers on which each task is placed. More than one if an earlier run has not ended yet.
    workers_of_tasks: BTreeMap<TaskId, Vec<WorkerKey>>,
    /// Tasks with an unanswered start that may still be carried out.
    late_starts: BTreeSet<TaskId>,
    /// Whether they have changed since the last commit was built.
    late_starts_changed: bool,
    /// Calls in flight to workers: the worker, its incarnation and the purpose.
    calls: BTreeMap<CallId, (WorkerKey, u64, Purpose)>,
    /// When workers stopped answering, in the order of time.
    breaks: VecDeque<Uptime>,
    /// Recently sent starts, ordered by time.
    recent_starts: VecDeque<(Uptime, CallId)>,
    pending_approvals: BTreeMap<CallId, PendingApproval>,
    approvers: Approvers,
    /// Estimated share of workers that the approval service approves, by [`Job::profile`].
    approval_rates: BTreeMap<Address, Rate>,
    /// Resources of the placements that count against the quota of each team.
    usage: BTreeMap<Rc<str>, Size>,
    /// Ratios of durations to estimates, by [`Job::profile`].
    queue_speeds: BTreeMap<Address, QueueSpeed>,
    shares: shares::Shares,
    takeover: takeover::Takeover,
    commit: commit::InFlightCommit,
    round_due: bool,
    last_round: Uptime,
    last_full_round: Uptime,
    last_holds_log: Uptime,
    /// Time that is added to the interval before the next round, in proportion to the stages that the last round tried.
    round_pause: Duration,
    /// Version of the configuration from which the queues, policies and teams of the jobs were taken.
    affiliations_version: u64,
}

/// A call to the approval service that has not been answered yet.
#[derive(Debug)]
struct PendingApproval {
    stage: StageId,
    /// Workers to approve, with their incarnations.
    workers: Vec<(WorkerKey, u64)>,
    /// Time after which no answer can arrive any more.
    ends: Uptime,
    /// Whether the answer takes longer than expected. The stage may ask again then.
    late: bool,
}

impl Scheduler {
    /// Creates the scheduler of a new owner. Tasks that an earlier owner may have left on workers that do not answer
    /// are not placed before `uncertain_until`.
    pub fn new(own: HostName, epoch: u64, bounds: Bounds, uncertain_until: Uptime) -> Scheduler {
        Scheduler {
            epoch,
            bounds,
            last_run_number: epoch << RUN_NUMBER_BITS,
            jobs: BTreeMap::new(),
            unfinished: BTreeSet::new(),
            dirty: BTreeSet::new(),
            waiting: BTreeSet::new(),
            fresh: BTreeSet::new(),
            ranked: Vec::new(),
            sessions: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            workers_of_tasks: BTreeMap::new(),
            late_starts: BTreeSet::new(),
            late_starts_changed: false,
            calls: BTreeMap::new(),
            breaks: VecDeque::new(),
            recent_starts: VecDeque::new(),
            pending_approvals: BTreeMap::new(),
            approvers: Approvers::new(own),
            approval_rates: BTreeMap::new(),
            usage: BTreeMap::new(),
            queue_speeds: BTreeMap::new(),
            shares: shares::Shares::default(),
            takeover: takeover::Takeover::new(uncertain_until),
            commit: commit::InFlightCommit::default(),
            round_due: true,
            last_round: Uptime::ZERO,
            last_full_round: Uptime::ZERO,
            last_holds_log: Uptime::ZERO,
            round_pause: Duration::ZERO,
            affiliations_version: 0,
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Replaces the other hosts that can call the approval service, with their addresses.
    pub fn set_peers(&mut self, peers: &[(HostName, String)]) {
        let dropped = self.approvers.set_peers(peers);
        self.mark_approvals_late(dropped);
    }

    pub fn knows(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    pub fn worker_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the data centre of a worker; `None` if the worker is not known.
    pub fn data_centre_of(&self, worker: &str) -> Option<&str> {
        self.sessions.get(worker).map(|session| session.registration.data_centre.as_str())
    }

    /// Adds a stored job; a job that is known already is ignored.
    ///
    /// While the takeover is not settled, the tasks of a job that was accepted in an earlier epoch count as uncertain:
    /// the owner of that epoch may have started them, even after it lost its ownership without noticing. A job of a
    /// later epoch is left to the owner of that epoch.
    pub fn add_job(&mut self, id: JobId, job: Job, context: &mut Context) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if job.epoch > self.epoch {
            context.log("job_of_successor", vec![("job", format!("{id:016x}"))]);
            return;
        }
        let inherited = self.is_unsettled() && job.epoch < self.epoch;
        let configuration = context.configuration;
        let team = affiliation::team_name(&job, configuration);
        let weight = |team: &Rc<str>| context.configuration.team(team).map(|team| team.weight);
        // Jobs submitted to an earlier owner do not count, because their submission times are not known.
        let beyond_share = !inherited
            && team.as_ref().is_some_and(|team| {
                weight(team).is_some_and(|weight| self.shares.take(team, weight, context.now))
            });
        let entry = JobEntry {
            id,
            critical_path: job.critical_path(),
            remaining_paths: job.remaining_paths(),
            queue: affiliation::queue_name(&job, configuration),
            policy: affiliation::effective_policy(&job, configuration),
            beyond_share,
            job: Rc::new(job),
            team,
            admitted: context.now,
            state: State::Queued,
            stored_state: State::Queued,
            cancelled: false,
            occurrences_done: 0,
            occurrences_begun: 0,
            stages: BTreeMap::new(),
            finished: None,
            failure: None,
        };
        self.jobs.insert(id, entry);
        self.unfinished.insert(id);
        let place = if inherited { Place::Uncertain } else { Place::Waiting };
        self.begin_occurrences(id, &place, context);
        self.apply_early_reports(id, context);
        self.round_due = true;
    }

    /// Applies the stored progress of a job that was added before.
    pub fn restore(&mut self, id: JobId, progress: &Progress, now: Uptime) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.restore(progress, now);
        if progress.state.is_final() {
            self.unfinished.remove(&id);
        }
    }

    /// Cancels a job and stops its runs. The caller has stored the cancellation.
    pub fn cancel(&mut self, id: JobId, context: &mut Context) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.cancelled || entry.state.is_final() {
            return;
        }
        entry.cancelled = true;
        entry.state = State::Cancelled;
        entry.finished = Some(context.now);
        entry.drop_stages();
        self.unfinished.remove(&id);
        self.dirty.insert(id);
        context.log("job_cancelled", vec![("job", format!("{id:016x}"))]);
        self.stop_job(id, context);
    }

    /// Returns a job with its state as callers may see it; `None` if the job is not known. A job whose final state is not
    /// stored yet is shown as running.
    pub fn state(&self, id: JobId) -> Option<(State, &Job)> {
        let entry = self.jobs.get(&id)?;
        let state = match entry.state {
            // The cancellation was stored before `cancel` was called.
            State::Cancelled => State::Cancelled,
            state if state.is_final() && entry.stored_state != state => State::Running,
            state => state,
        };
        Some((state, &entry.job))
    }

    /// Returns why a job failed; `None` if it did not, or if that is not known.
    pub fn failure(&self, id: JobId) -> Option<&Failure> {
        self.jobs.get(&id)?.failure.as_ref()
    }

    /// Fails a job. The caller stops its runs.
    fn fail_job(&mut self, failure: Failure, now: Uptime) {
        let id = failure.task.stage.job;
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.state = State::Failed;
            entry.finished = Some(now);
            entry.failure = Some(failure);
            entry.drop_stages();
            self.unfinished.remove(&id);
            self.dirty.insert(id);
        }
    }

    /// Applies a change of a worker's registration; `None` if it was removed or names no worker to use.
    pub fn set_registration(
        &mut self,
        worker: &str,
        registration: Option<Registration>,
        context: &mut Context,
    ) {
        self.round_due = true;
        let Some(registration) = registration else {
            if let Some(session) = self.sessions.get_mut(worker).filter(|known| known.registered) {
                session.registered = false;
                context.log("worker_unregistered", vec![("worker", worker.to_owned())]);
            }
            return;
        };
        let located = self.takeover.roster_names(&worker.into(), &registration);
        match self.sessions.get_mut(worker) {
            None => self.open_session(worker.into(), registration, context),
            Some(session)
                if session.registration.started_unix_ms != registration.started_unix_ms =>
            {
                if registration.started_unix_ms > session.registration.started_unix_ms {
                    self.replace_incarnation(
                        &WorkerKey::from(worker),
                        registration,
                        "registry",
                        context,
                    );
                }
            }
            Some(session) => {
                if registration.draining && !session.registration.draining {
                    context.log("worker_draining", vec![("worker", worker.to_owned())]);
                }
                session.leaves = registration.leaves(context.now).map(|leaves| {
                    // The time that is left is old when the entry is read, by a time that differs.
                    session.leaves.map_or(leaves, |known| known.min(leaves))
                });
                session.registered = true;
                session.in_roster = located || session.in_roster && session.is_at(&registration);
                session.registration = registration;
            }
        }
    }

    /// Opens a session with a worker in place of an earlier one. Each session with the same worker has a higher
    /// incarnation, and so, up to [`INCARNATIONS_MAX`] in an epoch, a higher fencing token.
    fn open_session(
        &mut self,
        worker: WorkerKey,
        registration: Registration,
        context: &mut Context,
    ) {
        let incarnation = self.incarnations.get(&worker).map_or(0, |last| last + 1);
        self.incarnations.insert(Rc::clone(&worker), incarnation);
        let fields = vec![
            ("worker", worker.to_string()),
            ("pool", registration.pool.clone()),
            ("address", registration.address.clone()),
            ("life", incarnation.to_string()),
        ];
        context.log("worker_joined", fields);
        let fence = fence(self.epoch, incarnation);
        // A process that no commit has named does not know the fencing token of a successor, which may have replaced this owner.
        let in_roster = self.takeover.roster_names(&worker, &registration);
        let former = self.sessions.get(&worker);
        let former_started_unix_ms = former.map(|former| former.registration.started_unix_ms);
        let hold_max = self.bounds.hold_max;
        let mut session = Session::new(registration, incarnation, fence, hold_max, context.now);
        session.former_started_unix_ms = former_started_unix_ms;
        session.in_roster = in_roster;
        self.sessions.insert(worker, session);
    }

    /// Raises the fencing token of a session, so that an incarnation that takes the next call refuses those that were sent
    /// before.
    fn raise_fence(&mut self, worker: &WorkerKey) {
        let Some(last) = self.incarnations.get_mut(worker) else { return };
        if let Some(session) = self.sessions.get_mut(worker)
            && session.can_raise_fence()
        {
            *last += 1;
            session.fence = fence(self.epoch, *last);
        }
    }

    /// Marks workers as unregistered that are missing from a complete read of the registry.
    pub fn retain_registered(&mut self, present: &BTreeSet<String>, context: &mut Context) {
        let missing: Vec<WorkerKey> = self
            .sessions
            .iter()
            .filter(|(key, session)| session.registered && !present.contains(&***key))
            .map(|(key, _)| Rc::clone(key))
            .collect();
        for worker in missing {
            self.set_registration(&worker, None, context);
        }
    }

    /// Handles the result of a call to a worker. Results for an earlier incarnation of the worker are ignored.
    pub fn worker_result(
        &mut self,
        call: CallId,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let Some((worker, incarnation, purpose)) = self.calls.remove(&call) else { return };
        let Some(session) = self.sessions.get_mut(&worker) else { return };
        if session.incarnation != incarnation {
            return;
        }
        if result == Err(Error::OtherWorker) {
            if let Purpose::Start(task, number) = purpose {
                self.drop_start(&worker, task, number, context);
            }
            self.worker_gone(&worker, context);
            return;
        }
        if let Ok(report) = &result
            && report.started_unix_ms.is_some_and(|started_unix_ms| {
                started_unix_ms != session.registration.started_unix_ms
            })
        {
            self.worker_restarted(&worker, report.started_unix_ms.unwrap_or_default(), context);
            return;
        }
        if result.is_ok() {
            session.heard = context.now;
        }
        // A later call has taken the place of this one.
        if matches!(purpose, Purpose::RenewLease(_))
            && session.renewal.is_none_or(|renewal| renewal.call != call)
        {
            return;
        }
        match (&result, purpose) {
            (Ok(_), Purpose::RenewLease(sent) | Purpose::Probe(sent)) => {
                session.answered = session.answered.max(sent);
                session.broken = None;
                self.round_due |=
                    matches!(session.isolation, Some(session::Isolation::Held { .. }));
            }
            (Ok(_), _) => session.broken = None,
            (Err(Error::Refused(_) | Error::Unhealthy), _) => {}
            (Err(_), _) if session.broken.is_some() => {}
            (Err(_), _) => {
                session.broken = Some(context.now);
                self.record_break(context.now);
            }
        }
        match purpose {
            Purpose::Start(task, number) => {
                self.start_result(&worker, task, number, result, context)
            }
            Purpose::Stop(task, number) => self.stop_result(&worker, task, number, result, context),
            Purpose::RenewLease(sent) => self.renewal_result(&worker, sent, result, context),
            Purpose::Probe(_) | Purpose::Throttle => {}
        }
    }

    /// Requeues a task whose start reached no worker that could run it.
    fn drop_start(&mut self, worker: &WorkerKey, task: TaskId, number: u64, context: &mut Context) {
        self.release_decided_start(worker, task, number);
        let Some(session) = self.sessions.get(worker) else { return };
        if session.placements.get(&task).is_some_and(|run| run.number == number) {
            self.release(worker, &task);
            self.requeue(task, worker);
            self.break_gang(task, context);
        }
    }

    /// Drops a worker at whose address another worker listens: its process has ended, so none of its runs exist any
    /// more.
    fn worker_gone(&mut self, worker: &WorkerKey, context: &mut Context) {
        context.log("worker_gone", vec![("worker", worker.to_string())]);
        let tasks = self.tasks_on(worker);
        self.forget_runs(worker, &tasks, Loss::Replaced, context);
        self.sessions.remove(worker);
        self.expire_possible_tasks(worker);
        self.round_due = true;
    }

    /// Starts a new session with a worker whose process has been replaced by another one with the same identifier and
    /// address.
    fn worker_restarted(
        &mut self,
        worker: &WorkerKey,
        started_unix_ms: u64,
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get(worker) else { return };
        let mut registration = session.registration.clone();
        registration.started_unix_ms = started_unix_ms;
        let registered = session.registered;
        self.replace_incarnation(worker, registration, "answer", context);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.registered = registered;
        }
    }

    /// Replaces the session with a worker whose process has been replaced by another one under its identifier. `source`
    /// tells how this became known.
    fn replace_incarnation(
        &mut self,
        worker: &WorkerKey,
        registration: Registration,
        source: &'static str,
        context: &mut Context,
    ) {
        if let Some(former) = self.sessions.get(worker) {
            let unlisted = former.placements.values().filter(|run| !run.listed).count();
            let fields = vec![
                ("worker", worker.to_string()),
                ("source", source.to_owned()),
                ("former_start_unix_ms", former.registration.started_unix_ms.to_string()),
                ("start_unix_ms", registration.started_unix_ms.to_string()),
                ("runs", former.placements.len().to_string()),
                ("unlisted", unlisted.to_string()),
                ("lease_until_ms", former.lease_until_ms.to_string()),
                ("acknowledged", former.acknowledged.to_string()),
            ];
            context.log("worker_restarted", fields);
        }
        self.bind_starts_in_flight(worker, context);
        let undecided = self.take_undecided(worker, context);
        let lost = self.release_lost(worker, &self.tasks_on(worker), Loss::Restarted, context);
        // A run that the new incarnation turns out to have is cleared of the loss then.
        let possibly_lost: Vec<_> = lost.iter().chain(&undecided).cloned().collect();
        self.record_losses(worker, Loss::Restarted, &possibly_lost, context);
        self.requeue_lost(worker, lost, context);
        let Some(former) = self.sessions.get_mut(worker) else { return };
        let (lease_sent, unanswered_starts) =
            (former.lease_sent, std::mem::take(&mut former.unanswered_starts));
        self.open_session(Rc::clone(worker), registration, context);
        for (task, run) in undecided {
            let answered = match run.phase {
                Phase::Running => unanswered_starts.iter().all(|start| start.task != task),
                Phase::Undecided { answered } => answered,
                Phase::Starting | Phase::StartUnanswered | Phase::Stopping => false,
            };
            let run = Placement {
                phase: Phase::Undecided { answered },
                stop_confirmed: false,
                speed_percent: FULL_SPEED_PERCENT,
                speed_changed: Uptime::ZERO,
                ..run
            };
            self.book(worker, task, run);
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.lease_sent = lease_sent;
            session.unanswered_starts = unanswered_starts;
        }
    }

    /// Takes the runs from a worker whose process has been replaced that the new incarnation may have got, or may still get
    /// before it knows the fencing token of its session.
    fn take_undecided(
        &mut self,
        worker: &WorkerKey,
        context: &mut Context,
    ) -> Vec<(TaskId, Placement)> {
        let Some(session) = self.sessions.get(worker) else { return Vec::new() };
        let tasks = session.undecided_tasks(context.now);
        let taken = tasks.into_iter().filter_map(|task| {
            let run = self.release(worker, &task)?;
            Some((task, Placement { listed: false, ..run }))
        });
        let taken: Vec<(TaskId, Placement)> = taken.collect();
        for (task, run) in &taken {
            let fields = vec![
                ("task", task.to_string()),
                ("run", run.number.to_string()),
                ("worker", worker.to_string()),
            ];
            context.log("run_undecided", fields);
        }
        taken
    }

    fn tasks_on(&self, worker: &WorkerKey) -> Vec<TaskId> {
        let session = self.sessions.get(worker);
        session.map(|session| session.placements.keys().copied().collect()).unwrap_or_default()
    }

    /// Performs periodic work. Called at a short interval.
    pub fn tick(&mut self, context: &mut Context) {
        self.settle_takeover(context);
        self.expire_pending_approvals(context);
        self.question_silent_starts(context);
        self.release_bound_tasks(context);
        self.check_leases(context);
        self.check_isolations(context);
        self.send_renewals(context);
        self.repeat_stops(context);
        self.stop_on_leaving_workers(context);
        self.begin_due_occurrences(context);
        self.adjust_throttles(context);
        self.prune_sessions();
        self.run_round(context);
    }

    /// Runs a placement round if one is due.
    pub fn run_round(&mut self, context: &mut Context) {
        let since = context.now.saturating_sub(self.last_round);
        let due = (self.round_due && since >= ROUND_INTERVAL + self.round_pause)
            || since >= ROUND_INTERVAL_MAX + self.round_pause;
        if due {
            self.round_due = false;
            self.last_round = context.now;
            self.place(context);
        }
    }

    /// Returns whether no start or stop is in flight. A planned handover waits for this.
    pub fn has_no_open_orders(&self) -> bool {
        let order = |purpose: &Purpose| matches!(purpose, Purpose::Start(..) | Purpose::Stop(..));
        !self.calls.values().any(|(_, _, purpose)| order(purpose))
    }

    /// Returns the current policy of the job's queue, or the policy at admission if it has none.
    fn policy(&self, id: JobId) -> Option<Rc<QueuePolicy>> {
        Some(Rc::clone(&self.jobs.get(&id)?.policy))
    }

    fn stage(&self, id: StageId) -> Option<&Stage> {
        self.jobs.get(&id.job)?.stages.get(&(id.occurrence, id.step))
    }

    fn stage_mut(&mut self, id: StageId) -> Option<&mut Stage> {
        self.jobs.get_mut(&id.job)?.stages.get_mut(&(id.occurrence, id.step))
    }

    fn step(&self, id: StageId) -> Option<&Step> {
        self.jobs.get(&id.job)?.job.steps.get(usize::from(id.step))
    }

    /// Removes a placement from its worker and from its team's usage.
    fn release(&mut self, worker: &str, task: &TaskId) -> Option<Placement> {
        let placement = self.sessions.get_mut(worker)?.release(task)?;
        if let Some(workers) = self.workers_of_tasks.get_mut(task) {
            workers.retain(|key| **key != *worker);
            if workers.is_empty() {
                self.workers_of_tasks.remove(task);
            }
        }
        if let Some(team) = &placement.team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage = usage.minus(&placement.size);
        }
        self.round_due = true;
        Some(placement)
    }

    /// Adds a placement to its worker and to its team's usage.
    fn book(&mut self, worker: &WorkerKey, task: TaskId, placement: Placement) {
        if let Some(team) = &placement.team {
            let usage = self.usage.entry(Rc::clone(team)).or_insert(Size::ZERO);
            *usage = usage.plus(&placement.size);
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.book(task, placement);
            let workers = self.workers_of_tasks.entry(task).or_default();
            if !workers.contains(worker) {
                workers.push(Rc::clone(worker));
            }
        }
    }

    /// Returns the placed runs of the tasks in a range, with their workers.
    fn runs(
        &self,
        tasks: RangeInclusive<TaskId>,
    ) -> impl Iterator<Item = (&WorkerKey, TaskId, &Placement)> {
        self.workers_of_tasks.range(tasks).flat_map(|(task, workers)| {
            workers.iter().filter_map(|worker| {
                let run = self.sessions.get(worker)?.placements.get(task)?;
                Some((worker, *task, run))
            })
        })
    }

    /// Records that tasks of a stage may be placeable.
    fn set_waiting(&mut self, stage: StageId) {
        self.waiting.insert(stage);
        self.fresh.insert(stage);
        self.round_due = true;
    }

    /// Sets a task that is no longer on the worker back to waiting. While the owner before this one may start it again too, the
    /// task is uncertain.
    fn requeue(&mut self, task: TaskId, worker: &WorkerKey) {
        let uncertain = self.may_be_started_by_predecessor(task.stage.job);
        if let Some(stage) = self.stage_mut(task.stage)
            && let Some(state) = stage.touched_mut(task.index)
            && state.place == Place::Placed(Rc::clone(worker))
        {
            match uncertain {
                true => state.place = Place::Uncertain,
                false => {
                    state.place = Place::Waiting;
                    self.set_waiting(task.stage);
                }
            }
        }
        self.round_due = true;
    }

    /// Releases the placements of tasks on a worker whose runs there cannot exist any more, records the loss, and requeues
    /// the tasks.
    fn forget_runs(
        &mut self,
        worker: &WorkerKey,
        tasks: &[TaskId],
        loss: Loss,
        context: &mut Context,
    ) {
        let lost = self.release_lost(worker, tasks, loss, context);
        self.record_losses(worker, loss, &lost, context);
        self.requeue_lost(worker, lost, context);
    }

    fn release_lost(
        &mut self,
        worker: &WorkerKey,
        tasks: &[TaskId],
        loss: Loss,
        context: &mut Context,
    ) -> Vec<(TaskId, Placement)> {
        let cause = <&str>::from(loss);
        let Some(session) = self.sessions.get(worker) else { return Vec::new() };
        if !tasks.is_empty() {
            let fields = vec![
                ("worker", worker.to_string()),
                ("cause", cause.to_owned()),
                ("runs", tasks.len().to_string()),
            ];
            context.log("runs_lost", fields);
        }
        let broken = session.broken.unwrap_or(context.now);
        let mut lost = Vec::with_capacity(tasks.len());
        for task in tasks.iter().copied() {
            let Some(run) = self.release(worker, &task) else { continue };
            let failures = self.counted_failures(task);
            let fields = vec![
                ("task", task.to_string()),
                ("run", run.number.to_string()),
                ("worker", worker.to_string()),
                ("cause", cause.to_owned()),
                ("age_ms", broken.saturating_sub(run.started).as_millis().to_string()),
                ("failures", failures.to_string()),
            ];
            context.log("run_lost", fields);
            context.outputs.push(Output::Count { counter: Counter::RunsLost, amount: 1 });
            lost.push((task, run));
        }
        lost
    }

    fn requeue_lost(
        &mut self,
        worker: &WorkerKey,
        lost: Vec<(TaskId, Placement)>,
        context: &mut Context,
    ) {
        for (task, _) in lost {
            self.requeue(task, worker);
            self.break_gang(task, context);
        }
    }

    /// Returns the number of failed runs that count against the task, or against the gang to which it belongs.
    fn counted_failures(&self, task: TaskId) -> usize {
        let gang = self.step(task.stage).is_some_and(|step| step.gang);
        let index = if gang { 0 } else { task.index };
        let counted = self.stage(task.stage).and_then(|stage| stage.task(index));
        counted.map_or(0, |task| task.failed_runs.len())
    }

    /// Removes the sessions of unregistered workers on which nothing can run.
    fn prune_sessions(&mut self) {
        let mut sessions = std::mem::take(&mut self.sessions);
        sessions.retain(|key, session| {
            session.registered
                || (!session.has_listed_all() && self.may_run_earlier_tasks(key))
                || !session.placements.is_empty()
                || session.contact == Contact::Live
                || session.processed > session.acknowledged
        });
        self.sessions = sessions;
    }
}

/// Returns the fencing token with a number within an epoch.
fn fence(epoch: u64, number: u64) -> u64 {
    epoch * INCARNATIONS_MAX + number.min(INCARNATIONS_MAX - 1)
}
