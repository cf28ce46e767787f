//! The scheduler of the host that owns the fleet.
//!
//! Workers are the log of what runs: nothing is stored for a start. An end is stored before the worker may forget it, so
//! that a successor finds in the store and in the workers' lists everything that happened.

mod approvers;
mod commit;
mod ends;
mod holds;
mod orders;
mod pace;
mod placement;
mod preemption;
mod round;
pub mod session;
mod shares;
pub mod stage;
mod takeover;

pub use takeover::UnreachableWorker;

use std::collections::VecDeque;

use crate::configuration::QueuePolicy;
use crate::job::StageId;
use crate::port::{ApprovalError, HostName, Ticket};
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::worker::{Error, Registration, Report};

use approvers::Approvers;
pub use commit::{Batch, JOB_PARTS, cancellation_key, job_key};
use session::{Contact, Session, WorkerKey};
use stage::{Place, Stage};

/// Bits of a run's number below the epoch. Numbers of a later epoch are higher without a write before the start.
const RUN_BITS: u32 = 24;

/// Lives of one worker that one epoch can tell apart in the fencing token.
const LIVES_MAX: u64 = 1 << 10;

/// Least time between two placement rounds, so that the ends of one moment share a round.
const ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Most time between two placement rounds while work waits.
const ROUND_INTERVAL_MAX: Duration = Duration::from_millis(100);

/// Bounds of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease_max: Duration,
    /// Time after which a stopped run is gone.
    pub stop_timeout: Duration,
    /// Time for which the state of an ended job is kept.
    pub retention: Duration,
}

/// What the scheduler sees while it handles an event.
pub struct Context<'a> {
    /// Time.
    pub now: Uptime,
    /// Time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The operator's configuration.
    pub configuration: &'a Configuration,
    /// Data centres to which nothing may be sent.
    pub evacuated: &'a BTreeSet<String>,
    /// Number of the last call.
    pub last_call: &'a mut CallId,
    /// Things to do.
    pub outputs: &'a mut Vec<Output>,
    /// Whether ownership is recent enough to start tasks.
    pub may_start: bool,
    /// No lease may reach beyond this moment: a successor relies on it.
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

/// A job and what is known of it.
#[derive(Debug)]
struct Entry {
    id: JobId,
    job: Rc<Job>,
    /// Terms of its queue at present, or of when it was admitted if the queue is gone.
    terms: Rc<QueuePolicy>,
    /// Longest chain of steps, by their estimates.
    chain: Duration,
    /// Whether its team had submitted more than its share.
    beyond_share: bool,
    team: Option<Rc<str>>,
    admitted: Uptime,
    state: State,
    /// State as far as it is stored; callers are shown final states only from here.
    stored: State,
    cancelled: bool,
    /// Occurrences before this one are done.
    occurrences_done: u32,
    /// Occurrences before this one have stages.
    occurrences_begun: u32,
    stages: BTreeMap<(u32, u16), Stage>,
    finished: Option<Uptime>,
}

/// What a call to a worker was for.
#[derive(Clone, Copy, Debug)]
enum Purpose {
    Start(TaskId, u64),
    Stop(TaskId, u64),
    Hold(Uptime),
    Pace,
}

/// The scheduler of one epoch of ownership.
pub struct Scheduler {
    epoch: u64,
    bounds: Bounds,
    last_run: u64,
    jobs: BTreeMap<JobId, Entry>,
    /// Jobs that are neither final nor cancelled.
    open: BTreeSet<JobId>,
    dirty: BTreeSet<JobId>,
    sessions: BTreeMap<WorkerKey, Session>,
    calls: BTreeMap<CallId, (WorkerKey, u64, Purpose)>,
    /// Starts sent lately, in the order of time.
    recent_starts: VecDeque<(Uptime, CallId)>,
    asks: BTreeMap<CallId, Ask>,
    approvers: Approvers,
    usage: BTreeMap<Rc<str>, Size>,
    shares: shares::Shares,
    takeover: takeover::Takeover,
    commit: commit::Journal,
    round_due: bool,
    last_round: Uptime,
    last_whole_round: Uptime,
    /// Time to the next round beyond the interval, by the work of the last one.
    round_pause: Duration,
    /// Version of the configuration from which the terms of the jobs come.
    terms_version: u64,
}

/// An open call for approval.
#[derive(Debug)]
struct Ask {
    stage: StageId,
    workers: Vec<(WorkerKey, u64)>,
    expires: Uptime,
}

impl Scheduler {
    /// A scheduler that has just taken ownership. Tasks that an earlier owner may have left on workers that do not answer
    /// are not placed before `uncertain_until`.
    pub fn new(own: HostName, epoch: u64, bounds: Bounds, uncertain_until: Uptime) -> Scheduler {
        Scheduler {
            epoch,
            bounds,
            last_run: epoch << RUN_BITS,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            recent_starts: VecDeque::new(),
            asks: BTreeMap::new(),
            approvers: Approvers::new(own),
            usage: BTreeMap::new(),
            shares: shares::Shares::default(),
            takeover: takeover::Takeover::new(uncertain_until),
            commit: commit::Journal::default(),
            round_due: true,
            last_round: Uptime::ZERO,
            last_whole_round: Uptime::ZERO,
            round_pause: Duration::ZERO,
            terms_version: 0,
        }
    }

    /// The epoch of ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Hosts that can call for approval, with their addresses.
    pub fn set_peers(&mut self, peers: &[(HostName, String)]) {
        self.approvers.set_peers(peers);
    }

    /// A job that is stored. One that was accepted in an earlier epoch counts as inherited until the workers have answered:
    /// the owner of that epoch may have started it, also after it lost its ownership without noticing. One of a later epoch
    /// is left to the successor.
    pub fn add_job(&mut self, id: JobId, job: Job, context: &mut Context) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if job.epoch > self.epoch {
            context.log("job_of_successor", vec![("job", format!("{id:016x}"))]);
            return;
        }
        let inherited = self.is_unsettled() && job.epoch < self.epoch;
        let team: Option<Rc<str>> = job.team.as_deref().map(Rc::from);
        let weight = |team: &Rc<str>| context.configuration.team(team).map(|team| team.weight);
        // What was submitted to an earlier owner does not count: its times are not known.
        let beyond_share = !inherited
            && team.as_ref().is_some_and(|team| {
                weight(team).is_some_and(|weight| self.shares.take(team, weight, context.now))
            });
        let entry = Entry {
            id,
            chain: job.critical_path(),
            terms: effective_terms(&job, context.configuration),
            beyond_share,
            job: Rc::new(job),
            team,
            admitted: context.now,
            state: State::Queued,
            stored: State::Queued,
            cancelled: false,
            occurrences_done: 0,
            occurrences_begun: 0,
            stages: BTreeMap::new(),
            finished: None,
        };
        self.jobs.insert(id, entry);
        self.open.insert(id);
        let place = if inherited { Place::Uncertain } else { Place::Waiting };
        self.begin_occurrences(id, &place, context.unix_ms);
        self.apply_early_reports(id, context);
        self.round_due = true;
    }

    /// Stored progress of a job that was added before.
    pub fn restore(&mut self, id: JobId, progress: &Progress, now: Uptime) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.state = progress.state;
        entry.stored = progress.state;
        entry.occurrences_done = progress.occurrences_done;
        let done = progress.occurrences_done;
        entry.occurrences_begun = entry.occurrences_begun.max(done);
        entry.stages.retain(|(occurrence, _), _| *occurrence >= done);
        for stage in &progress.stages {
            let key = (stage.occurrence, stage.step);
            let tasks = entry.job.steps.get(usize::from(stage.step)).map(|step| step.tasks);
            if let Some(tasks) = tasks {
                let state = entry.stages.entry(key);
                state.or_insert_with(|| Stage::new(tasks, Place::Uncertain)).restore(stage);
                entry.occurrences_begun = entry.occurrences_begun.max(stage.occurrence + 1);
            }
        }
        if progress.state.is_final() {
            entry.finished = Some(now);
            self.open.remove(&id);
        }
    }

    /// The cancellation of a job is stored.
    pub fn cancel(&mut self, id: JobId, context: &mut Context) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.cancelled || entry.state.is_final() {
            return;
        }
        entry.cancelled = true;
        entry.state = State::Cancelled;
        entry.finished = Some(context.now);
        self.open.remove(&id);
        self.dirty.insert(id);
        context.log("job_cancelled", vec![("job", format!("{id:016x}"))]);
        self.stop_job(id, context);
    }

    /// State of a job as callers may see it, with its team and queue.
    pub fn state(&self, id: JobId) -> Option<(State, Option<&str>, &str)> {
        let entry = self.jobs.get(&id)?;
        let state = match entry.state {
            // The cancellation itself is stored already.
            State::Cancelled => State::Cancelled,
            state if state.is_final() && entry.stored != state => State::Running,
            state => state,
        };
        Some((state, entry.team.as_deref(), &entry.job.queue))
    }

    /// Number of open jobs of a queue for which nothing has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let entries = self.open.iter().filter_map(|id| self.jobs.get(id));
        entries.filter(|entry| entry.state == State::Queued && entry.job.queue == queue).count()
    }

    /// A worker's registration has changed; `None` where it was removed.
    pub fn set_registration(
        &mut self,
        worker: &str,
        registration: Option<Registration>,
        context: &mut Context,
    ) {
        self.round_due = true;
        let Some(registration) = registration else {
            if let Some(session) = self.sessions.get_mut(worker) {
                session.registered = false;
                context.log("worker_unregistered", vec![("worker", worker.to_owned())]);
            }
            return;
        };
        match self.sessions.get_mut(worker) {
            None => self.join(worker.into(), registration, 0, context),
            Some(session)
                if session.registration.started_unix_ms != registration.started_unix_ms =>
            {
                let life = session.life + 1;
                if registration.started_unix_ms > session.registration.started_unix_ms {
                    let key = WorkerKey::from(worker);
                    self.forget_runs(&key, "reborn", context);
                    self.join(key, registration, life, context);
                }
            }
            Some(session) => {
                if registration.draining && !session.registration.draining {
                    context.log("worker_draining", vec![("worker", worker.to_owned())]);
                }
                session.registered = true;
                session.registration = registration;
            }
        }
    }

    fn join(
        &mut self,
        worker: WorkerKey,
        registration: Registration,
        life: u64,
        context: &mut Context,
    ) {
        let fields = vec![
            ("worker", worker.to_string()),
            ("pool", registration.pool.clone()),
            ("address", registration.address.clone()),
            ("life", life.to_string()),
        ];
        context.log("worker_joined", fields);
        let fence = self.epoch * LIVES_MAX + life.min(LIVES_MAX - 1);
        let mut session = Session::new(registration, life, fence, context.now);
        session.rostered = self.sessions.get(&worker).is_some_and(|earlier| earlier.rostered);
        self.sessions.insert(worker, session);
    }

    /// Removes workers that are not in a complete read of the registry.
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

    /// A call to a worker has ended.
    pub fn worker_result(
        &mut self,
        call: CallId,
        result: Result<Report, Error>,
        context: &mut Context,
    ) {
        let Some((worker, life, purpose)) = self.calls.remove(&call) else { return };
        let Some(session) = self.sessions.get_mut(&worker) else { return };
        if session.life != life {
            return;
        }
        if result == Err(Error::OtherWorker) {
            self.worker_gone(&worker, context);
            return;
        }
        if let Ok(report) = &result
            && report
                .started_unix_ms
                .is_some_and(|born| born != session.registration.started_unix_ms)
        {
            self.change_of_life(&worker, report.started_unix_ms.unwrap_or_default(), context);
            return;
        }
        match purpose {
            Purpose::Start(task, number) => {
                self.start_result(&worker, task, number, result, context)
            }
            Purpose::Stop(task, number) => self.stop_result(&worker, task, number, result, context),
            Purpose::Hold(sent) => self.hold_result(&worker, sent, result, context),
            Purpose::Pace => {}
        }
    }

    /// Another worker listens at the address of this one, so its process has ended and nothing runs there any more.
    fn worker_gone(&mut self, worker: &WorkerKey, context: &mut Context) {
        context.log("worker_gone", vec![("worker", worker.to_string())]);
        self.forget_runs(worker, "address taken over", context);
        self.sessions.remove(worker);
        self.release_held(worker);
        self.round_due = true;
    }

    /// Another process answers under the identifier and address of a worker.
    fn change_of_life(&mut self, worker: &WorkerKey, born: u64, context: &mut Context) {
        let Some(session) = self.sessions.get(worker) else { return };
        let mut registration = session.registration.clone();
        registration.started_unix_ms = born;
        let (life, registered) = (session.life + 1, session.registered);
        self.forget_runs(worker, "reborn", context);
        self.join(Rc::clone(worker), registration, life, context);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.registered = registered;
        }
    }

    /// A call for approval has ended.
    pub fn approval_result(
        &mut self,
        call: CallId,
        result: Result<Vec<Ticket>, ApprovalError>,
        context: &mut Context,
    ) {
        match &result {
            Ok(_) => self.approvers.end(call),
            Err(_) => self.approvers.fail(call, context.now),
        }
        let Some(ask) = self.asks.remove(&call) else { return };
        let Some(terms) = self.terms(ask.stage.job) else { return };
        let validity = terms.approval.map_or(Duration::ZERO, |approval| approval.validity);
        self.round_due = true;
        let Some(stage) = self.stage_mut(ask.stage) else { return };
        stage.asking = false;
        let Ok(tickets) = result else {
            stage.next_ask = context.now + placement::ASK_PAUSE;
            return;
        };
        let expires = context.now + validity.saturating_sub(placement::TICKET_MARGIN);
        for (worker, life) in ask.workers {
            let ticket = tickets.iter().find(|ticket| *ticket.worker == *worker);
            let ticket = ticket.map(|ticket| ticket.ticket.clone());
            stage.verdicts.insert(worker, stage::Verdict { ticket, expires, life });
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, context: &mut Context) {
        self.settle_takeover(context);
        self.expire_asks(context);
        self.check_leases(context);
        self.send_holds(context);
        self.repeat_stops(context);
        self.begin_due(context);
        self.adjust_paces(context);
        self.prune_sessions();
        self.run_round(context);
    }

    /// Places what waits, if something has changed.
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

    /// Whether all workers are free of orders without an answer; a planned hand-over waits for this.
    pub fn has_no_open_orders(&self) -> bool {
        let order = |purpose: &Purpose| matches!(purpose, Purpose::Start(..) | Purpose::Stop(..));
        !self.calls.values().any(|(_, _, purpose)| order(purpose))
    }

    fn expire_asks(&mut self, context: &Context) {
        let expired: Vec<CallId> = self
            .asks
            .iter()
            .filter(|(_, ask)| ask.expires < context.now)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.approvers.fail(call, context.now);
            if let Some(ask) = self.asks.remove(&call)
                && let Some(stage) = self.stage_mut(ask.stage)
            {
                stage.asking = false;
            }
        }
    }

    /// Creates the stages of occurrences that are due.
    fn begin_due(&mut self, context: &Context) {
        let scheduled: Vec<JobId> = self
            .open
            .iter()
            .filter(|id| self.jobs.get(id).is_some_and(|entry| entry.job.schedule.is_some()))
            .copied()
            .collect();
        for id in scheduled {
            self.begin_occurrences(id, &Place::Waiting, context.unix_ms);
        }
    }

    fn begin_occurrences(&mut self, id: JobId, place: &Place, unix_ms: u64) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let job = Rc::clone(&entry.job);
        while entry.occurrences_begun < job.occurrences()
            && job.schedule.is_none_or(|due| due.due_unix_ms(entry.occurrences_begun) <= unix_ms)
        {
            for (step, position) in job.steps.iter().zip(0u16..) {
                let key = (entry.occurrences_begun, position);
                entry.stages.entry(key).or_insert_with(|| Stage::new(step.tasks, place.clone()));
            }
            entry.occurrences_begun += 1;
            self.round_due = true;
        }
    }

    /// Terms of the job's queue as configured now, or as they were when the job was admitted.
    /// The terms that apply to a job at present.
    fn terms(&self, id: JobId) -> Option<Rc<QueuePolicy>> {
        Some(Rc::clone(&self.jobs.get(&id)?.terms))
    }

    /// Applies a new configuration to the jobs that are open.
    fn refresh_terms(&mut self, configuration: &Configuration) {
        if self.terms_version == configuration.version {
            return;
        }
        self.terms_version = configuration.version;
        for id in &self.open {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.terms = effective_terms(&entry.job, configuration);
            }
        }
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

    /// Removes a booking, and what it counts against the team's cap.
    fn release(&mut self, worker: &str, task: &TaskId) -> Option<session::Placement> {
        let placement = self.sessions.get_mut(worker)?.release(task)?;
        if let Some(team) = &placement.team
            && let Some(usage) = self.usage.get_mut(team)
        {
            *usage = usage.minus(&placement.size);
        }
        self.round_due = true;
        Some(placement)
    }

    /// Books a run on a worker.
    fn book(&mut self, worker: &WorkerKey, task: TaskId, placement: session::Placement) {
        if let Some(team) = &placement.team {
            let usage = self.usage.entry(Rc::clone(team)).or_insert(Size::ZERO);
            *usage = usage.plus(&placement.size);
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.book(task, placement);
        }
    }

    /// Puts a task that is no longer on a worker back among those that wait.
    fn requeue(&mut self, task: TaskId, worker: &WorkerKey) {
        if let Some(stage) = self.stage_mut(task.stage)
            && let Some(state) = stage.tasks.get_mut(task.index as usize)
            && state.place == Place::Placed(Rc::clone(worker))
        {
            state.place = Place::Waiting;
        }
        self.round_due = true;
    }

    /// Nothing runs any more on this life of a worker.
    fn forget_runs(&mut self, worker: &WorkerKey, cause: &'static str, context: &mut Context) {
        let Some(session) = self.sessions.get(worker) else { return };
        let tasks: Vec<TaskId> = session.placements.keys().copied().collect();
        if !tasks.is_empty() {
            let fields = vec![
                ("worker", worker.to_string()),
                ("cause", cause.to_owned()),
                ("runs", tasks.len().to_string()),
            ];
            context.log("runs_lost", fields);
        }
        for task in tasks {
            self.release(worker, &task);
            self.requeue(task, worker);
            self.break_gang(task, context);
        }
    }

    /// Forgets workers that have left and on which nothing can run.
    fn prune_sessions(&mut self) {
        let mut sessions = std::mem::take(&mut self.sessions);
        sessions.retain(|key, session| {
            session.registered
                || (session.clock.is_none() && self.may_hold_tasks(key))
                || !session.placements.is_empty()
                || session.contact == Contact::Live
                || session.processed > session.seen
        });
        self.sessions = sessions;
    }
}

fn effective_terms(job: &Job, configuration: &Configuration) -> Rc<QueuePolicy> {
    let queue = configuration.queue(&job.queue);
    Rc::new(queue.map_or(&job.policy, |queue| &queue.policy).clone())
}
