//! Takeover of tasks that an earlier owner may have left running.
//!
//! With each commit, the owner records which workers are unreachable and which tasks they may run. It starts nothing on
//! a recorded worker until a commit without that worker has taken effect. A successor therefore knows an upper bound on
//! the tasks that a recorded worker may run. A worker that the successor cannot reach and that was not recorded leaves
//! every other task of its pool uncertain. The roster, a stored row with all workers on which anything may have been
//! started, tells which workers exist.

use serde::{Deserialize, Serialize};

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::session::{Contact, Session, WorkerKey};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Scheduler};
use crate::worker::Registration;

/// Factor by which a lease may last longer than granted because the worker's clock is slow.
const CLOCK_DRIFT_FACTOR: f64 = 1.03;

/// Time after a restart of a worker within which the roster tells of it: calls that were meant for the former process are
/// carried out, and the leases that they got have expired.
const FORMER_LISTED_TIME: Duration = Duration::from_secs(15);

/// Maximum number of awaited workers that a log line names.
const NAMED_MAX: usize = 5;

/// A worker that the owner cannot reach, as stored for a successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnreachableWorker {
    pub worker: WorkerId,
    /// Tasks that it may run; `None` if it may run any task of its pool.
    pub tasks: Option<Vec<TaskId>>,
    /// Time from the commit until its leases have certainly expired.
    pub lease_expires_in: Duration,
}

impl UnreachableWorker {
    /// Returns the worker as it is to be stored after the given time.
    pub fn aged(&self, time: Duration) -> UnreachableWorker {
        let lease_expires_in = self.lease_expires_in.saturating_sub(time);
        UnreachableWorker { lease_expires_in, ..self.clone() }
    }
}

/// What the stored roster says of a worker.
#[derive(Debug)]
struct RosterEntry {
    pool: String,
    address: String,
    /// Start of the worker's process, in milliseconds since the Unix epoch.
    started_unix_ms: u64,
}

impl RosterEntry {
    fn new(registration: &Registration) -> RosterEntry {
        RosterEntry {
            pool: registration.pool.clone(),
            address: registration.address.clone(),
            started_unix_ms: registration.started_unix_ms,
        }
    }

    /// Returns whether the entry is of this process, and a successor that reads it looks for the worker's runs where they are.
    fn is_of(&self, registration: &Registration) -> bool {
        (&self.pool, &self.address, self.started_unix_ms)
            == (&registration.pool, &registration.address, registration.started_unix_ms)
    }
}

/// Tracks which tasks earlier owners may have left on workers, and the roster that a successor needs.
#[derive(Debug)]
pub(super) struct Takeover {
    /// Time after which no lease of an earlier owner can be valid, except on workers that have restarted.
    uncertain_until: Uptime,
    /// Time from which the registry is known to hold all live workers; `None` until it has been read completely.
    registry_complete: Option<Uptime>,
    /// Workers that an earlier owner recorded as unreachable: the tasks that each may run, and the time at which its
    /// leases have expired.
    possible_tasks: BTreeMap<WorkerKey, (BTreeSet<TaskId>, Uptime)>,
    /// Workers that an earlier owner recorded as unreachable: the time at which their leases have expired. No owner has
    /// started anything there since.
    recorded_leases: BTreeMap<WorkerKey, Uptime>,
    /// Workers that a stored or in-flight commit names as unreachable, and the time at which a successor takes their leases
    /// for expired. Nothing is started on them, and no lease ends later.
    recorded_unreachable: BTreeMap<WorkerKey, Uptime>,
    /// Workers that the stored roster names.
    roster: BTreeMap<WorkerKey, RosterEntry>,
    /// Workers of the roster that is being committed; `None` if none is.
    roster_sent: Option<BTreeMap<WorkerKey, RosterEntry>>,
    /// Whether the last roster that was sent tells of a restart.
    roster_tells_restart: bool,
    settled: bool,
    /// Whether the owner before this one may still start tasks, as its last commit is recent.
    predecessor_starts: bool,
    /// Resources of the runs that earlier owners started and this one has found on workers, by team.
    pub(super) adopted: BTreeMap<Rc<str>, Size>,
    /// Whether ended runs were processed whose progress is not in the commit being built.
    unstored_ends: bool,
}

impl Takeover {
    pub(super) fn new(uncertain_until: Uptime) -> Takeover {
        Takeover {
            uncertain_until,
            registry_complete: None,
            possible_tasks: BTreeMap::new(),
            recorded_leases: BTreeMap::new(),
            recorded_unreachable: BTreeMap::new(),
            roster: BTreeMap::new(),
            roster_sent: None,
            roster_tells_restart: false,
            settled: false,
            predecessor_starts: true,
            adopted: BTreeMap::new(),
            unstored_ends: false,
        }
    }

    /// Returns whether the roster names this process of the worker where it is now, the stored one as well as one that is being
    /// committed.
    pub(super) fn roster_names(&self, key: &WorkerKey, registration: &Registration) -> bool {
        let names = |roster: &BTreeMap<WorkerKey, RosterEntry>| {
            roster.get(key).is_some_and(|entry| entry.is_of(registration))
        };
        names(&self.roster) && self.roster_sent.as_ref().is_none_or(names)
    }

    pub(super) fn set_unstored_ends(&mut self, unstored_ends: bool) {
        self.unstored_ends = unstored_ends;
    }
}

impl Scheduler {
    /// Records that the registry has been read completely and holds all live workers from time `from` on.
    pub fn set_registry_complete(&mut self, from: Uptime) {
        self.takeover.registry_complete.get_or_insert(from);
    }

    /// Adds a worker of the stored roster. The registry drops workers that cannot reach the store, although they keep
    /// running.
    pub fn add_roster_worker(
        &mut self,
        worker: &str,
        registration: Registration,
        context: &mut Context,
    ) {
        self.set_registration(worker, Some(registration), context);
        self.set_registration(worker, None, context);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.in_roster = true;
            self.takeover.roster_tells_restart |= session.former_started_unix_ms.is_some();
        }
    }

    /// Returns the roster for the next commit; `None` if it has not changed.
    pub fn changed_roster(&mut self, now: Uptime) -> Option<Vec<(WorkerId, Registration)>> {
        let roster = &self.takeover.roster;
        let is_current = |(key, session): (&WorkerKey, &Session)| {
            roster.get(key).is_some_and(|entry| entry.is_of(&session.registration))
        };
        // A successor learns from the entry of the former process that the present one has replaced it.
        let former = |(key, session): (&WorkerKey, &Session)| {
            let recent = now.saturating_sub(session.opened) < FORMER_LISTED_TIME;
            let started_unix_ms = session.former_started_unix_ms.filter(|_| recent)?;
            let registration = Registration { started_unix_ms, ..session.registration.clone() };
            Some((key.to_string(), registration))
        };
        let formers: Vec<_> = self.sessions.iter().filter_map(former).collect();
        // Otherwise a successor would wait for calls to former processes that are long over.
        let outdated = self.takeover.roster_tells_restart && formers.is_empty();
        let complete = roster.len() == self.sessions.len();
        if complete && !outdated && self.sessions.iter().all(is_current) {
            return None;
        }
        let entry = |(key, session): (&WorkerKey, &Session)| {
            (Rc::clone(key), RosterEntry::new(&session.registration))
        };
        self.takeover.roster_sent = Some(self.sessions.iter().map(entry).collect());
        self.takeover.roster_tells_restart = !formers.is_empty();
        let present = |(key, session): (&WorkerKey, &Session)| {
            (key.to_string(), session.registration.clone())
        };
        Some(formers.into_iter().chain(self.sessions.iter().map(present)).collect())
    }

    /// Records that the commit with the changed roster has taken effect.
    pub fn roster_committed(&mut self) {
        self.takeover.roster = self.takeover.roster_sent.take().unwrap_or_default();
        for (key, entry) in &self.takeover.roster {
            if let Some(session) = self.sessions.get_mut(key) {
                session.in_roster |= entry.is_of(&session.registration);
            }
        }
        self.round_due = true;
    }

    /// Adds a worker that the previous owner recorded as unreachable. `since` is the time at which its last commit was
    /// seen.
    pub fn add_unreachable_worker(&mut self, unreachable: UnreachableWorker, since: Uptime) {
        let key = WorkerKey::from(unreachable.worker.as_str());
        let expires = since.saturating_add(unreachable.lease_expires_in);
        self.takeover.recorded_leases.insert(Rc::clone(&key), expires);
        if let Some(tasks) = unreachable.tasks {
            let tasks = tasks.into_iter().collect();
            self.takeover.possible_tasks.insert(Rc::clone(&key), (tasks, expires));
        }
        self.takeover.recorded_unreachable.insert(key, expires);
    }

    /// Returns the unreachable workers for the next commit.
    pub fn unreachable_workers(&self, now: Uptime) -> Vec<UnreachableWorker> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|(_, session)| session.contact != Contact::Live)
            .map(|(key, session)| UnreachableWorker {
                worker: key.to_string(),
                tasks: self.possible_tasks_of(key, session),
                lease_expires_in: match self.takeover.possible_tasks.get(key) {
                    // The worker may have answered this owner, and got leases from it, without having listed all.
                    Some((_, expires)) => expires.saturating_sub(now).max(session.runs_end_in(now)),
                    None if session.clock.is_some() => session.runs_end_in(now),
                    None => {
                        let earlier = self.earlier_leases_expire(key, session).saturating_sub(now);
                        earlier.max(session.runs_end_in(now))
                    }
                },
            })
            .collect()
    }

    /// Records that a commit with this list of unreachable workers was sent at `sent`.
    pub fn unreachable_commit_sent(&mut self, unreachable: &[UnreachableWorker], sent: Uptime) {
        for (key, end) in recorded_lease_ends(unreachable, sent) {
            let recorded = self.takeover.recorded_unreachable.entry(key).or_insert(end);
            *recorded = end.min(*recorded);
        }
    }

    /// Records that no lease of an earlier owner can be valid from `until` on.
    pub fn limit_uncertainty(&mut self, until: Uptime) {
        self.takeover.uncertain_until = self.takeover.uncertain_until.min(until);
    }

    /// Returns the time after which no lease of an earlier owner can be valid on a worker that has not answered yet.
    fn earlier_leases_expire(&self, key: &WorkerKey, session: &Session) -> Uptime {
        // A call that was meant for a former incarnation may have got it a longer lease than the earlier owner asked for.
        let longer = match session.former_started_unix_ms {
            Some(_) => self.bounds.hold_max.saturating_sub(self.bounds.lease_max),
            None => Duration::ZERO,
        };
        let unrecorded = self.takeover.uncertain_until + longer.mul_f64(CLOCK_DRIFT_FACTOR);
        let recorded = self.takeover.recorded_leases.get(key).copied();
        recorded.map_or(unrecorded, |expires| expires.min(unrecorded))
    }

    /// Returns whether the worker may run any task of its pool, as it has not answered yet and no owner has recorded which
    /// tasks it may run.
    fn may_run_any_task(&self, key: &WorkerKey, session: &Session, now: Uptime) -> bool {
        !session.has_listed_all()
            && !self.takeover.possible_tasks.contains_key(key)
            && (session.is_listing() || now < self.earlier_leases_expire(key, session))
    }

    /// Returns the tasks that an unreachable worker may run; `None` if they are not known.
    fn possible_tasks_of(&self, key: &WorkerKey, session: &Session) -> Option<Vec<TaskId>> {
        // A processed end that is not stored leaves no placement, but its run must not be repeated.
        if self.takeover.unstored_ends && session.processed > session.acknowledged {
            return None;
        }
        let placed = session.placements.keys().copied();
        match self.takeover.possible_tasks.get(key) {
            Some((possible_tasks, _)) => {
                Some(possible_tasks.iter().copied().chain(placed).collect())
            }
            None if session.has_listed_all() || self.takeover.settled => Some(placed.collect()),
            None => None,
        }
    }

    /// Records that a commit with this list of unreachable workers, which was sent at `sent`, has taken effect.
    pub fn unreachable_committed(&mut self, unreachable: &[UnreachableWorker], sent: Uptime) {
        self.takeover.recorded_unreachable = recorded_lease_ends(unreachable, sent).collect();
        self.round_due = true;
    }

    /// Returns whether a successor may treat the worker as unreachable.
    pub(super) fn is_recorded_unreachable(&self, key: &WorkerKey) -> bool {
        self.takeover.recorded_unreachable.contains_key(key)
    }

    /// Returns when a successor takes the leases of the worker for expired; `None` if it does not count it as unreachable.
    pub(super) fn recorded_lease_end(&self, key: &WorkerKey) -> Option<Uptime> {
        self.takeover.recorded_unreachable.get(key).copied()
    }

    /// Returns whether a worker answers that the last commit names as unreachable, so that nothing starts there before
    /// another commit, or one is silent that it does not name, which a successor would have to wait for.
    pub(super) fn has_contact_to_record(&self) -> bool {
        let none_recorded = self.takeover.recorded_unreachable.is_empty();
        self.sessions.iter().any(|(key, session)| match session.contact {
            Contact::Live => !none_recorded && self.is_recorded_unreachable(key),
            Contact::Silent => !self.is_recorded_unreachable(key),
            Contact::Joining => false,
        })
    }

    /// Returns whether workers that may run tasks of an earlier owner have not answered yet.
    pub(super) fn is_unsettled(&self) -> bool {
        !self.takeover.settled
    }

    /// Returns whether the owner before this one may start the tasks of a job again on a worker that has not answered yet.
    pub(super) fn may_be_started_by_predecessor(&self, job: JobId) -> bool {
        let entry = self.jobs.get(&job);
        self.is_unsettled()
            && self.takeover.predecessor_starts
            && entry.is_some_and(|entry| entry.job.epoch < self.epoch)
    }

    /// Returns whether any worker may run tasks of an earlier owner that this one does not know of.
    pub(super) fn may_have_earlier_runs(&self) -> bool {
        !self.takeover.settled || !self.takeover.possible_tasks.is_empty()
    }

    /// Returns whether the worker may run tasks of an earlier owner, provided that it has not answered yet.
    pub(super) fn may_run_earlier_tasks(&self, key: &WorkerKey) -> bool {
        !self.takeover.settled || self.takeover.possible_tasks.contains_key(key)
    }

    /// Returns the resources that each team may use on workers that have not answered, in addition to placements. They
    /// count against the team's quota until the workers have answered or their leases have expired.
    pub(super) fn uncertain_usage(&self, context: &Context) -> BTreeMap<Rc<str>, Size> {
        let now = context.now;
        let mut usage = BTreeMap::new();
        if self.takeover.settled && self.takeover.possible_tasks.is_empty() {
            return usage;
        }
        let not_contacted =
            self.sessions.iter().filter(|(key, session)| self.may_run_any_task(key, session, now));
        let capacity = not_contacted
            .fold(Size::ZERO, |sum, (_, session)| sum.plus(&session.registration.capacity));
        let possible_tasks: BTreeSet<TaskId> = self
            .takeover
            .possible_tasks
            .values()
            .flat_map(|(tasks, _)| tasks.iter().copied())
            .collect();
        let mut exact_usage = BTreeMap::new();
        for id in &self.unfinished {
            let Some(entry) = self.jobs.get(id) else { continue };
            let Some(team) = &entry.team else { continue };
            let add = |sums: &mut BTreeMap<Rc<str>, Size>, size: &Size, tasks: u64| {
                if tasks > 0 {
                    let sum = sums.entry(Rc::clone(team)).or_insert(Size::ZERO);
                    *sum = sum.plus(&size.times(tasks));
                }
            };
            for ((occurrence, position), stage) in &entry.stages {
                let Some(step) = entry.job.steps.get(usize::from(*position)) else { continue };
                let stage_id = StageId { job: *id, occurrence: *occurrence, step: *position };
                let uncertain = u64::from(stage.count_in(&Place::Uncertain));
                if uncertain == 0 {
                    continue;
                }
                let is_uncertain = |task: &&TaskId| {
                    stage.task(task.index).is_some_and(|task| task.place == Place::Uncertain)
                };
                let exact = possible_tasks.range(stage_id.tasks()).filter(is_uncertain).count();
                add(&mut exact_usage, &step.size, exact as u64);
                add(&mut usage, &step.size, uncertain - exact as u64);
            }
            // An earlier owner may also have begun occurrences that this one has not.
            for task in possible_tasks.range(entry.unbegun_tasks()) {
                let step = entry.job.steps.get(usize::from(task.stage.step));
                if let Some(step) = step.filter(|_| !entry.has_stage(task.stage)) {
                    add(&mut exact_usage, &step.size, 1);
                }
            }
            if !self.takeover.settled && entry.job.epoch < self.epoch {
                let unbegun = u64::from(entry.count_due_unbegun(context.unix_ms));
                for step in &entry.job.steps {
                    add(&mut usage, &step.size, unbegun.saturating_mul(step.tasks.into()));
                }
            }
        }
        // Tasks whose worker is not known cannot use more than the capacity of the workers that have not answered.
        usage.values_mut().for_each(|sum| *sum = sum.min(&capacity));
        for (team, size) in exact_usage {
            let sum = usage.entry(team).or_insert(Size::ZERO);
            *sum = sum.plus(&size);
        }
        // The earlier owner kept each team within its cap, with the runs that were found since. What ended meanwhile was
        // booked too, until that owner could start nothing any more.
        for (team, sum) in &mut usage {
            let cap = context.configuration.team(team).map_or(Size::ZERO, |team| team.cap);
            let adopted = self.takeover.adopted.get(team).copied().unwrap_or(Size::ZERO);
            let limits = cap.parts().into_iter().zip(adopted.parts());
            let limits = limits.map(|(cap, adopted)| match cap {
                0 => u64::MAX,
                cap => cap.saturating_sub(adopted),
            });
            let mut parts = sum.parts();
            parts.iter_mut().zip(limits).for_each(|(part, limit)| *part = limit.min(*part));
            *sum = Size::from_parts(parts);
        }
        usage
    }

    /// Returns the stages with tasks that an earlier owner may have left on workers that have not answered.
    pub(super) fn uncertain_stages(&self) -> Vec<StageId> {
        if !self.may_have_earlier_runs() {
            return Vec::new();
        }
        let entries = self.unfinished.iter().filter_map(|id| self.jobs.get(id));
        let stages = entries.flat_map(|entry| {
            let uncertain = entry.stages.iter().filter(|(_, stage)| stage.is_uncertain());
            uncertain.map(|((occurrence, step), _)| StageId {
                job: entry.id,
                occurrence: *occurrence,
                step: *step,
            })
        });
        stages.collect()
    }

    /// Logs the workers that keep tasks of earlier owners uncertain, if there are any.
    pub(super) fn log_awaited_workers(&self, context: &mut Context) {
        let awaited: Vec<&WorkerKey> = self
            .sessions
            .iter()
            .filter(|(key, session)| !session.has_listed_all() && self.may_run_earlier_tasks(key))
            .map(|(key, _)| key)
            .collect();
        if awaited.is_empty() {
            return;
        }
        let named: Vec<&str> = awaited.iter().take(NAMED_MAX).map(|key| &***key).collect();
        let left = self.takeover.uncertain_until.saturating_sub(context.now);
        let fields = vec![
            ("workers", awaited.len().to_string()),
            ("first", named.join(",")),
            ("settled", self.takeover.settled.to_string()),
            ("lapse_ms", left.as_millis().to_string()),
        ];
        context.log("workers_awaited", fields);
    }

    /// Records a run of an earlier owner that was found on a worker.
    pub(super) fn record_adopted(&mut self, team: Option<&Rc<str>>, size: &Size) {
        if let Some(team) = team
            && !self.takeover.settled
        {
            let sum = self.takeover.adopted.entry(Rc::clone(team)).or_insert(Size::ZERO);
            *sum = sum.plus(size);
        }
    }

    /// Marks the leases of a worker whose process has ended as expired. The next tick releases the tasks that it might
    /// have run.
    pub(super) fn expire_possible_tasks(&mut self, key: &WorkerKey) {
        if let Some((_, expires)) = self.takeover.possible_tasks.get_mut(key) {
            *expires = Uptime::ZERO;
        }
    }

    /// Releases uncertain tasks once all workers that may run them have answered, or once no lease of an earlier owner
    /// can be valid.
    pub(super) fn settle_takeover(&mut self, context: &mut Context) {
        // The uncertainty ends with the leases that the predecessor can have granted last.
        let lease = self.bounds.lease_max.mul_f64(CLOCK_DRIFT_FACTOR);
        self.takeover.predecessor_starts = context.now + lease < self.takeover.uncertain_until;
        let count_before = self.takeover.possible_tasks.len();
        let sessions = &self.sessions;
        self.takeover.possible_tasks.retain(|key, (_, expires)| {
            let session = sessions.get(key);
            let contacted = session.is_some_and(Session::has_listed_all);
            let listing = session.is_some_and(Session::is_listing);
            !contacted && (listing || *expires > context.now)
        });
        let released = self.takeover.possible_tasks.len() < count_before;
        if self.takeover.settled && !released {
            return;
        }
        let complete = self.takeover.registry_complete.is_some_and(|from| from <= context.now);
        if complete {
            self.release_uncertain(context);
        }
    }

    pub(super) fn release_uncertain(&mut self, context: &mut Context) {
        // Once the takeover is settled, workers that have not answered yet are new and run nothing.
        let expired = self.takeover.settled || context.now >= self.takeover.uncertain_until;
        let pools_not_contacted: BTreeSet<&str> = self
            .sessions
            .iter()
            .filter(|(key, session)| self.may_run_any_task(key, session, context.now))
            .map(|(_, session)| session.registration.pool.as_str())
            .collect();
        // Ends that a worker has still to list do not depend on its leases.
        let pools_listing: BTreeSet<&str> = self
            .sessions
            .values()
            .filter(|session| session.is_listing())
            .map(|session| session.registration.pool.as_str())
            .collect();
        let possible_tasks: BTreeSet<TaskId> = self
            .takeover
            .possible_tasks
            .values()
            .flat_map(|(tasks, _)| tasks.iter().copied())
            .collect();
        let all_contacted = pools_not_contacted.is_empty();
        let awaited = match () {
            // Only the tasks of recorded workers were left uncertain.
            () if self.takeover.settled => BTreeSet::new(),
            () if expired => pools_listing.union(&pools_not_contacted).copied().collect(),
            () => pools_not_contacted,
        };
        let mut pending = false;
        let mut released = Vec::new();
        for id in &self.unfinished {
            let Some(entry) = self.jobs.get(id) else { continue };
            if !entry.stages.values().any(super::Stage::is_uncertain) {
                continue;
            }
            let current = context.configuration.queue_of(&entry.job);
            let pool = current.map_or(&entry.job.policy.pool, |queue| &queue.policy.pool);
            let pools = [pool, &entry.job.policy.pool];
            if pools.iter().any(|pool| awaited.contains(pool.as_str())) {
                pending = true;
            } else {
                released.push(*id);
            }
        }
        let settled = !pending && (expired || all_contacted);
        if settled && !self.takeover.settled {
            let lapsed = self.sessions.iter().any(|(key, session)| {
                !session.has_listed_all() && !self.takeover.possible_tasks.contains_key(key)
            });
            context.log("takeover_settled", vec![("lapsed", lapsed.to_string())]);
        }
        self.takeover.settled |= settled;
        for id in released {
            self.release_job(id, &possible_tasks, context);
        }
    }

    fn release_job(&mut self, id: JobId, possible_tasks: &BTreeSet<TaskId>, context: &mut Context) {
        self.round_due = true;
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let (mut broken_gangs, mut released) = (Vec::new(), Vec::new());
        for ((occurrence, step), stage) in &mut entry.stages {
            let gang = entry.job.steps.get(usize::from(*step)).is_some_and(|step| step.gang);
            let stage_id = StageId { job: id, occurrence: *occurrence, step: *step };
            let possible = possible_tasks.range(stage_id.tasks()).map(|task| task.index);
            let changed = stage.release_uncertain(&possible.collect());
            if changed {
                released.push(stage_id);
            }
            if gang && changed {
                broken_gangs.push(stage_id.task(0));
            }
        }
        for stage in released {
            self.set_waiting(stage);
        }
        for task in broken_gangs {
            self.break_gang(task, context);
        }
    }
}

/// Returns the workers that a commit names as unreachable, with the earliest time at which a successor that reads it takes
/// their leases for expired.
fn recorded_lease_ends(
    unreachable: &[UnreachableWorker],
    sent: Uptime,
) -> impl Iterator<Item = (WorkerKey, Uptime)> {
    unreachable.iter().map(move |worker| {
        (worker.worker.as_str().into(), sent.saturating_add(worker.lease_expires_in))
    })
}
