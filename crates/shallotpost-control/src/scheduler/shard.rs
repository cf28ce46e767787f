//! State of one owned shard and the steps of its tick.

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

/// Maximum number of planner actions per tick; keeps a tick within milliseconds.
const ACTIONS_PER_TICK: usize = 64;

/// Number of unwritten record changes at which no more tasks start, so that a long table outage cannot exhaust memory.
pub const UNWRITTEN_MAX: usize = 10_000;

/// Delay before a task whose start was refused is queued again.
pub const REFUSED_DELAY: Duration = Duration::from_millis(100);

/// Delay before the first restart of a failed task; it doubles with each failure.
const RESTART_DELAY: Duration = Duration::from_millis(200);

const RESTART_DELAY_MAX: Duration = Duration::from_secs(30);

/// Maximum time that a release waits for open record writes.
const RELEASE_WRITES_MAX: Duration = Duration::from_secs(5);

/// Interval at which running work past its deadline is checked again, since its task may return to the queue.
const DEADLINE_RECHECK_MS: u64 = 1000;

/// Interval at which work that fits no known worker is submitted to the planner again.
const INFEASIBLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Purpose of an open call to a worker or the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `claim` or `sync` of a worker.
    Heartbeat(WorkerId),
    Start(WorkerId, Task, Attempt),
    Stop(WorkerId, Task, Attempt),
    /// Read of the row that names the owner of the shard.
    Ownership,
    /// Scan of one page of record rows.
    Scan,
    /// Read of record rows by key.
    Read(Vec<WorkId>),
    /// Read of cap rows.
    Caps,
}

pub struct OwnedShard {
    pub id: Shard,
    /// Epoch of the ownership, sent as the fencing token with each worker call.
    pub epoch: Epoch,
    pub planner: Planner,
    pub acquired: Instant,
    pub sessions: BTreeMap<WorkerId, Session>,
    /// Work by id, including ended work within the retention time.
    pub works: BTreeMap<WorkId, Entry>,
    pub calls: HashMap<CallId, Call>,
    pub rows: Rows,
    pub caps: Caps,
    /// Work with tasks in [`Phase::Unlocated`].
    pub unlocated: BTreeSet<WorkId>,
    /// Work with losses of which its tasks have not been cleared.
    pub with_losses: BTreeSet<WorkId>,
    /// Work with uncertain losses, by worker.
    pub uncertain: BTreeMap<WorkerId, BTreeSet<WorkId>>,
    /// Time of the next check of running tasks with losses.
    pub next_survivors: Instant,
    /// Tasks in [`Phase::Backoff`], by the time at which they are queued again.
    pub backoffs: BTreeSet<(Instant, Task)>,
    /// Work that the planner rejected because it fits no known worker.
    pub infeasible: BTreeSet<WorkId>,
    /// Work by deadline, in milliseconds since the Unix epoch.
    pub deadlines: BTreeSet<(u64, WorkId)>,
    pub moves: Moves,
    /// Ended work whose rows are retained, oldest first.
    pub retained: VecDeque<(Instant, WorkId)>,
    /// Last sequence number that was assigned.
    pub sequence: Sequence,
    /// Whether a worker or the table has shown a higher epoch. A fenced shard does nothing any more.
    pub fenced: bool,
    /// Time at which a release was requested, if any.
    pub releasing: Option<Instant>,
    /// Time of the next check of unlocated work while workers are silent.
    pub next_resolve: Instant,
    availability: Availability,
    next_infeasible: Instant,
}

impl OwnedShard {
    /// Creates the state of a shard that was just acquired, and begins to read its rows.
    pub fn new(
        context: &mut Context,
        environment: &Environment,
        id: Shard,
        epoch: Epoch,
    ) -> OwnedShard {
        let mut owned = OwnedShard {
            id,
            epoch,
            planner: Planner::new(&environment.snapshot.policy()),
            acquired: context.now,
            sessions: BTreeMap::new(),
            works: BTreeMap::new(),
            calls: HashMap::new(),
            rows: Rows::new(context.now),
            caps: Caps::new(context.now),
            unlocated: BTreeSet::new(),
            with_losses: BTreeSet::new(),
            uncertain: BTreeMap::new(),
            next_survivors: context.now,
            backoffs: BTreeSet::new(),
            infeasible: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            moves: Moves::default(),
            retained: VecDeque::new(),
            sequence: 0,
            fenced: false,
            releasing: None,
            availability: Availability::Active,
            next_resolve: context.now,
            next_infeasible: context.now,
        };
        owned.refresh_sessions(context, environment);
        owned.add_delisted(context, environment);
        owned.refresh_configuration(context, environment);
        owned.scan_rows(context, environment);
        owned
    }

    pub fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    /// Runs every step that is due.
    pub fn tick(&mut self, context: &mut Context, environment: &Environment) {
        if self.fenced {
            return;
        }
        self.scan_rows(context, environment);
        self.maintain_sessions(context, environment);
        self.resolve_unlocated(context, environment);
        self.check_survivors(context);
        self.expire(context);
        self.requeue_due(context, environment);
        self.retry_infeasible(context, environment);
        self.plan_grants(context, environment);
        self.search_moves(context, environment);
        self.plan(context, environment);
        self.send_orders(context, environment);
        self.write_records(context, environment);
        self.update_grants(context, environment);
        self.delete_retained(context, environment);
    }

    /// Returns whether a requested release is complete.
    pub fn is_released(&self, now: Instant) -> bool {
        let Some(requested) = self.releasing else { return false };
        let orders_open =
            self.calls.values().any(|call| matches!(call, Call::Start(..) | Call::Stop(..)));
        let writes_open = self.rows.has_open_writes() && now < requested + RELEASE_WRITES_MAX;
        !orders_open && !writes_open
    }

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

    /// Stops the idempotent work whose class does not keep running in a drained data centre under the policy.
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

    /// Builds the planner job of a work record.
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

    pub fn task_mut(&mut self, task: &Task) -> Option<&mut TaskEntry> {
        self.works.get_mut(&task.work)?.tasks.get_mut(task.index as usize)
    }

    /// Submits work to the planner. Work that can run nowhere ends with [`Ending::NeverRunnable`]; work that fits no known
    /// worker is retried.
    pub fn submit(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        if self.give_up_deadly(context, work) {
            return;
        }
        self.mark_suspects(context, work);
        let Some(entry) = self.works.get(work) else { return };
        let job = self.job(context, entry);
        match self.planner.submit(context.now, job) {
            Ok(()) => {
                self.infeasible.remove(work);
                self.request_grant(context.now, work);
                let Some(entry) = self.works.get_mut(work) else { return };
                entry.submitted = true;
                for task in &mut entry.tasks {
                    task.phase = Phase::Waiting;
                    task.queued = true;
                }
            }
            Err(infeasible)
                if self.knows_all_workers(environment)
                    && !self.fits_elsewhere(environment, context.now, work) =>
            {
                self.infeasible.remove(work);
                let detail = format!(
                    "{}; the nearest capacity is {:?}",
                    infeasible.message, infeasible.nearest_capacity
                );
                self.end(context, work, Ending::NeverRunnable, &detail);
            }
            Err(_) => {
                self.infeasible.insert(work.clone());
            }
        }
    }

    /// Queues a task that holds no capacity, unless its work is closing.
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

    pub fn queue_later(&mut self, context: &Context, task: &Task, delay: Duration) {
        if let Some(state) = self.task_mut(task) {
            state.phase = Phase::Backoff;
            self.backoffs.insert((context.now + delay, task.clone()));
        }
    }

    /// Returns the backoff before the next start after this many failures.
    pub fn restart_delay(failures: Attempt) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        (RESTART_DELAY * (1 << doublings)).min(RESTART_DELAY_MAX)
    }

    /// Returns whether the shard is owned, loaded and not being released, so that tasks may start.
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

    fn retry_infeasible(&mut self, context: &mut Context, environment: &Environment) {
        if context.now < self.next_infeasible || self.infeasible.is_empty() {
            return;
        }
        self.next_infeasible = context.now + INFEASIBLE_RETRY_INTERVAL;
        for work in std::mem::take(&mut self.infeasible) {
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

    /// Applies a booking of the planner. The start of non-idempotent work waits for its durable intent.
    fn book(&mut self, context: &mut Context, task: Task, worker: WorkerId) {
        let known = self.works.get(&task.work).is_some_and(|entry| entry.closing.is_none());
        let has_session = self.sessions.contains_key(&worker);
        let Some(state) = self.task_mut(&task) else {
            self.planner.release(context.now, &task, planner::ReleaseCause::Refused);
            return;
        };
        state.queued = false;
        if !known || !has_session || state.phase != Phase::Waiting {
            // Adopting one task of a job also queues its other tasks, before it is known whether they run.
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
                _ if entry.is_unlocated()
                    || entry.tasks.iter().any(|task| task.phase.is_sent()) =>
                {
                    self.deadlines.insert((context.unix_ms + DEADLINE_RECHECK_MS, work));
                }
                _ => {
                    self.end(context, &work, Ending::Expired, "the deadline passed before a start")
                }
            }
        }
    }

    /// Stops the booked tasks of work and ends it once none is booked. Does nothing if its end is decided or it is moving.
    pub fn end(&mut self, context: &mut Context, work: &WorkId, ending: Ending, detail: &str) {
        let Some(entry) = self.works.get_mut(work) else { return };
        if entry.is_ending() || entry.moving.is_some() {
            return;
        }
        entry.closing = Some(Closing::End(entry.outcome(ending, detail)));
        self.close(context, work);
    }
}
