//! One owned shard: its state and the work of one tick.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use shallotpost_policy::planner::{self, Action, Planner};
use shallotpost_protocol::resource::{Availability, OnPartition};
use shallotpost_protocol::work::{Class, Ending, Record};
use shallotpost_protocol::worker::StopMode;

use crate::prelude::*;
use crate::scheduler::caps::Caps;
use crate::scheduler::entry::{Closing, Entry, Phase, Sequence, TaskEntry};
use crate::scheduler::environment::Environment;
use crate::scheduler::moves::Moves;
use crate::scheduler::rows::Rows;
use crate::scheduler::session::{Order, Session};

/// Most planner actions in one tick; keeps a tick in milliseconds.
const ACTIONS_PER_TICK: usize = 64;

/// Most work whose end is not written yet. No task starts beyond it, so that a long outage of the table cannot exhaust
/// memory.
pub const UNWRITTEN_MAX: usize = 10_000;

/// Delay before a task whose start was refused is queued again.
pub const REFUSED_DELAY: Duration = Duration::from_millis(100);

/// Delay before the first restart of a failed task; doubles with each failure.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a restart.
const RESTART_DELAY_MAX: Duration = Duration::from_secs(30);

/// Longest time that a release waits for open record writes.
const RELEASE_WRITES_MAX: Duration = Duration::from_secs(5);

/// Interval at which the passed deadline of running work is checked again, since its task may return to the queue.
const DEADLINE_RECHECK_MS: u64 = 1000;

/// Interval at which work that no known worker can hold is submitted to the planner again.
const UNFIT_INTERVAL: Duration = Duration::from_secs(1);

/// What an open call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `claim` or `sync`.
    Beat(WorkerId),
    /// Start of an attempt.
    Start(WorkerId, Task, Attempt),
    /// Stop of an attempt.
    Stop(WorkerId, Task, Attempt),
    /// Row of the shard.
    Ownership,
    /// Page of record rows.
    Scan,
    /// Record rows by key.
    Read(Vec<WorkId>),
    /// Cap rows.
    Caps,
}

/// State of one owned shard.
pub struct Owned {
    /// The shard.
    pub id: Shard,
    /// Epoch of this ownership.
    pub epoch: Epoch,
    /// Placement state.
    pub planner: Planner,
    /// Time of the takeover.
    pub acquired: Instant,
    /// Sessions by worker.
    pub sessions: BTreeMap<WorkerId, Session>,
    /// Work by id.
    pub works: BTreeMap<WorkId, Entry>,
    /// Open calls.
    pub calls: HashMap<CallId, Call>,
    /// Record rows: scans, reads and writes.
    pub rows: Rows,
    /// Grants of the teams.
    pub caps: Caps,
    /// Work with tasks that workers may run without this owner knowing.
    pub unplaced: BTreeSet<WorkId>,
    /// Tasks that are queued again later.
    pub backoffs: BTreeSet<(Instant, Task)>,
    /// Work that no known worker can hold.
    pub unfit: BTreeSet<WorkId>,
    /// Work with a deadline, in milliseconds since the Unix epoch.
    pub deadlines: BTreeSet<(u64, WorkId)>,
    /// Changes of home shards.
    pub moves: Moves,
    /// Ended work in order of its end.
    pub retained: VecDeque<(Instant, WorkId)>,
    /// Counts the calls that may change what a worker runs.
    pub sequence: Sequence,
    /// Whether a worker has seen a higher epoch.
    pub fenced: bool,
    /// Time at which a release was requested.
    pub releasing: Option<Instant>,
    /// Time of the next check of the unplaced work.
    pub next_resolve: Instant,
    availability: Availability,
    next_unfit: Instant,
}

impl Owned {
    /// A shard that was just taken over.
    pub fn new(context: &mut Context, environment: &Environment, id: Shard, epoch: Epoch) -> Owned {
        let mut owned = Owned {
            id,
            epoch,
            planner: Planner::new(&environment.snapshot.policy()),
            acquired: context.now,
            sessions: BTreeMap::new(),
            works: BTreeMap::new(),
            calls: HashMap::new(),
            rows: Rows::new(context.now),
            caps: Caps::new(context.now),
            unplaced: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            unfit: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            moves: Moves::default(),
            retained: VecDeque::new(),
            sequence: 0,
            fenced: false,
            releasing: None,
            availability: Availability::Active,
            next_resolve: context.now,
            next_unfit: context.now,
        };
        owned.refresh_sessions(context, environment);
        owned.add_vanished(context, environment);
        owned.refresh_configuration(context, environment);
        owned.scan_rows(context, environment);
        owned
    }

    /// The next place in the sequence of calls.
    pub fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    /// Does what is due.
    pub fn tick(&mut self, context: &mut Context, environment: &Environment) {
        if self.fenced {
            return;
        }
        self.scan_rows(context, environment);
        self.drive_sessions(context, environment);
        self.resolve_unplaced(context, environment);
        self.expire(context);
        self.requeue_due(context, environment);
        self.retry_unfit(context, environment);
        self.plan_grants(context, environment);
        self.search_moves(context, environment);
        self.plan(context, environment);
        self.send_orders(context, environment);
        self.write_records(context, environment);
        self.update_grants(context, environment);
        self.delete_retained(context, environment);
    }

    /// Whether a requested release is complete.
    pub fn is_released(&self, now: Instant) -> bool {
        let Some(requested) = self.releasing else { return false };
        let orders_open =
            self.calls.values().any(|call| matches!(call, Call::Start(..) | Call::Stop(..)));
        let writes_open = self.rows.has_open_writes() && now < requested + RELEASE_WRITES_MAX;
        !orders_open && !writes_open
    }

    /// Applies a changed configuration.
    pub fn refresh_configuration(&mut self, context: &mut Context, environment: &Environment) {
        self.planner.set_policy(&environment.snapshot.policy());
        let availability = environment.availability(&self.id.data_centre);
        if availability != self.availability {
            self.availability = availability;
            self.planner.set_starts_enabled(context.now, availability == Availability::Active);
        }
        if availability == Availability::Drained {
            self.stop_drained(environment);
        }
        self.refresh_teams(context, environment);
    }

    /// Stops the tasks that the policy does not leave running in a drained data centre.
    fn stop_drained(&mut self, environment: &Environment) {
        let policy = environment.snapshot.policy();
        let on_cut = |class: Class| match class {
            Class::Service { .. } => policy.services_on_partition,
            _ => policy.others_on_partition,
        };
        let stopped = self.works.values().filter(|entry| {
            entry.is_idempotent() && on_cut(entry.record.specification.class) == OnPartition::Stop
        });
        let works: Vec<WorkId> = stopped.map(Entry::work).collect();
        for work in works {
            self.stop_tasks(&work, StopMode::Checkpoint);
        }
    }

    /// The job of a work for the planner.
    pub fn job(&self, context: &Context, entry: &Entry) -> planner::Job {
        let record: &Record = &entry.record;
        let age = Duration::from_millis(context.unix_ms.saturating_sub(record.admitted_unix_ms));
        planner::Job {
            work: entry.work(),
            class: record.specification.class,
            size: record.specification.size,
            run_time: record.specification.run_time,
            admitted: context.now.checked_sub(age).unwrap_or(context.now),
            preemptible: entry.is_idempotent(),
        }
    }

    /// The task, if its work is known.
    pub fn task_mut(&mut self, task: &Task) -> Option<&mut TaskEntry> {
        self.works.get_mut(&task.work)?.tasks.get_mut(task.index as usize)
    }

    /// Gives work whose tasks are not queued to the planner.
    pub fn submit(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let job = self.job(context, entry);
        match self.planner.submit(context.now, job) {
            Ok(()) => {
                self.unfit.remove(work);
                self.request_grant(context.now, work);
                let Some(entry) = self.works.get_mut(work) else { return };
                entry.submitted = true;
                for task in &mut entry.tasks {
                    task.phase = Phase::Waiting;
                    task.queued = true;
                }
            }
            Err(unfit)
                if self.knows_all_workers(environment)
                    && !self.fits_elsewhere(environment, context.now, work) =>
            {
                self.unfit.remove(work);
                let detail = format!(
                    "{}; the nearest capacity is {:?}",
                    unfit.message, unfit.nearest_capacity
                );
                self.end(context, work, Ending::NeverRunnable, &detail);
            }
            Err(_) => {
                self.unfit.insert(work.clone());
            }
        }
    }

    /// Queues a task that holds no capacity.
    pub fn queue(&mut self, context: &mut Context, environment: &Environment, task: &Task) {
        let Some(entry) = self.works.get_mut(&task.work) else { return };
        if entry.closing.is_some() || entry.is_ending() {
            return;
        }
        if !entry.submitted {
            self.submit(context, environment, &task.work);
            return;
        }
        let state = &mut entry.tasks[task.index as usize];
        state.phase = Phase::Waiting;
        if !state.queued {
            state.queued = true;
            self.planner.requeue(context.now, task);
        }
    }

    /// Queues a task after a delay.
    pub fn queue_later(&mut self, context: &Context, task: &Task, delay: Duration) {
        if let Some(state) = self.task_mut(task) {
            state.phase = Phase::Backoff;
            self.backoffs.insert((context.now + delay, task.clone()));
        }
    }

    /// Delay before the next start after this many failures.
    pub fn restart_delay(failures: Attempt) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        (RESTART_DELAY * (1 << doublings)).min(RESTART_DELAY_MAX)
    }

    /// Whether tasks may start on this shard at all.
    pub fn takes_starts(&self) -> bool {
        !self.fenced && self.releasing.is_none() && self.rows.loaded
    }

    fn requeue_due(&mut self, context: &mut Context, environment: &Environment) {
        while let Some((due, _)) = self.backoffs.first()
            && *due <= context.now
        {
            let Some((_, task)) = self.backoffs.pop_first() else { return };
            if self.task_mut(&task).is_some_and(|state| state.phase == Phase::Backoff) {
                self.queue(context, environment, &task);
            }
        }
    }

    fn retry_unfit(&mut self, context: &mut Context, environment: &Environment) {
        if context.now < self.next_unfit || self.unfit.is_empty() {
            return;
        }
        self.next_unfit = context.now + UNFIT_INTERVAL;
        for work in std::mem::take(&mut self.unfit) {
            if self.works.get(&work).is_some_and(|entry| !entry.is_ending()) {
                self.submit(context, environment, &work);
            }
        }
    }

    fn knows_all_workers(&self, environment: &Environment) -> bool {
        environment.list.is_some() && self.sessions.values().all(|session| !session.lapsed)
    }

    fn plan(&mut self, context: &mut Context, environment: &Environment) {
        let blocked = !self.takes_starts()
            || self.rows.unwritten() >= UNWRITTEN_MAX
            || self.check_shard(environment, context.now).is_err();
        if blocked {
            return;
        }
        for action in self.planner.plan(context.now, ACTIONS_PER_TICK) {
            match action {
                Action::Start { task, worker } => self.book(context, task, worker),
                Action::Stop { task, mode, .. } => self.stop_task(&task, mode),
            }
        }
    }

    /// Takes over a booking of the planner.
    fn book(&mut self, context: &mut Context, task: Task, worker: WorkerId) {
        let known = self.works.get(&task.work).is_some_and(|entry| entry.closing.is_none());
        let has_session = self.sessions.contains_key(&worker);
        let Some(state) = self.task_mut(&task) else {
            self.planner.release(context.now, &task, planner::ReleaseCause::Refused);
            return;
        };
        state.queued = false;
        if !known || !has_session || state.phase != Phase::Waiting {
            // A job that was adopted with one task queues its other tasks before it is known whether they run.
            self.planner.release(context.now, &task, planner::ReleaseCause::Refused);
            return;
        }
        state.phase = Phase::Planned;
        state.attempt += 1;
        state.worker = Some(worker.clone());
        let order = Order::Start(task.clone(), state.attempt);
        let idempotent = self.works.get(&task.work).is_some_and(Entry::is_idempotent);
        if let Some(session) = self.sessions.get_mut(&worker) {
            session.tasks.insert(task.clone());
            if idempotent {
                session.orders.push_back(order);
            }
        }
        if !idempotent {
            self.record_intent(&task.work);
        }
    }

    fn expire(&mut self, context: &mut Context) {
        while let Some((deadline, _)) = self.deadlines.first()
            && *deadline <= context.unix_ms
        {
            let Some((_, work)) = self.deadlines.pop_first() else { return };
            let Some(entry) = self.works.get(&work) else { continue };
            match () {
                _ if entry.is_ending() => {}
                _ if entry.is_unplaced() || entry.tasks.iter().any(|task| task.phase.is_sent()) => {
                    self.deadlines.insert((context.unix_ms + DEADLINE_RECHECK_MS, work));
                }
                _ => {
                    self.end(context, &work, Ending::Expired, "the deadline passed before a start")
                }
            }
        }
    }

    /// Ends work once none of its tasks is booked, and stops the booked ones.
    pub fn end(&mut self, context: &mut Context, work: &WorkId, ending: Ending, detail: &str) {
        let Some(entry) = self.works.get_mut(work) else { return };
        if entry.is_ending() || entry.moving.is_some() {
            return;
        }
        entry.closing = Some(Closing::End(entry.outcome(ending, detail)));
        self.close(context, work);
    }
}
