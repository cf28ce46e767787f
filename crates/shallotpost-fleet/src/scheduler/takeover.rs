//! Tasks that an earlier owner may have left running.
//!
//! The owner records with each commit which workers are out of its reach and what they may run, and starts nothing there
//! until a commit without them has taken effect. So a successor knows what those workers may run at most. Only a worker
//! that is out of the successor's reach and was not recorded leaves every other task of its pool uncertain. The roster, a
//! row with all workers on which anything may have been started, tells which workers there are.

use serde::{Deserialize, Serialize};

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::session::{Contact, Session, WorkerKey};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Scheduler};
use crate::worker::Registration;

/// A worker out of reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnreachableWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Tasks that it may run; `None` where any task of its pool may run there.
    pub tasks: Option<Vec<TaskId>>,
    /// Time from the commit after which its leases have lapsed for certain.
    pub lease_expires_in: Duration,
}

/// What a new owner does not know yet.
#[derive(Debug)]
pub(super) struct Takeover {
    /// After this moment no lease of an earlier owner can be in force.
    uncertain_until: Uptime,
    /// When the registry had been read as a whole and was complete.
    registry_complete: Option<Uptime>,
    /// Workers out of reach with the tasks that they may run, and when their leases have lapsed.
    held: BTreeMap<WorkerKey, (BTreeSet<TaskId>, Uptime)>,
    /// Workers that stored rows name as out of reach; nothing is started there.
    recorded: BTreeSet<WorkerKey>,
    /// Workers of the stored roster.
    roster: BTreeSet<WorkerKey>,
    /// Workers of the roster in the commit in flight.
    roster_sent: BTreeSet<WorkerKey>,
    settled: bool,
    /// Whether ends were processed whose progress is not in the commit being built.
    unstored: bool,
}

impl Takeover {
    pub(super) fn new(uncertain_until: Uptime) -> Takeover {
        Takeover {
            uncertain_until,
            registry_complete: None,
            held: BTreeMap::new(),
            recorded: BTreeSet::new(),
            roster: BTreeSet::new(),
            roster_sent: BTreeSet::new(),
            settled: false,
            unstored: false,
        }
    }

    pub(super) fn set_unstored(&mut self, unstored: bool) {
        self.unstored = unstored;
    }
}

impl Scheduler {
    /// The registry has been read as a whole and holds all live workers from this moment on.
    pub fn set_registry_complete(&mut self, from: Uptime) {
        self.takeover.registry_complete.get_or_insert(from);
    }

    /// A worker of the stored roster. The registry drops workers that do not reach the store, although they run on.
    pub fn add_roster_worker(
        &mut self,
        worker: &str,
        registration: Registration,
        context: &mut Context,
    ) {
        self.set_registration(worker, Some(registration), context);
        self.set_registration(worker, None, context);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.rostered = true;
        }
    }

    /// The roster of workers for the next commit, if it has changed.
    pub fn changed_roster(&mut self) -> Option<Vec<(WorkerId, Registration)>> {
        let present: BTreeSet<WorkerKey> = self.sessions.keys().cloned().collect();
        if present == self.takeover.roster {
            return None;
        }
        self.takeover.roster_sent = present;
        let entry = |(key, session): (&WorkerKey, &Session)| {
            (key.to_string(), session.registration.clone())
        };
        Some(self.sessions.iter().map(entry).collect())
    }

    /// The commit with the changed roster has taken effect.
    pub fn roster_committed(&mut self) {
        self.takeover.roster = std::mem::take(&mut self.takeover.roster_sent);
        for key in &self.takeover.roster {
            if let Some(session) = self.sessions.get_mut(key) {
                session.rostered = true;
            }
        }
        self.round_due = true;
    }

    /// A worker that the previous owner recorded as out of reach, `since` its last commit was seen.
    pub fn add_unreachable_worker(&mut self, absent: UnreachableWorker, since: Uptime) {
        let key = WorkerKey::from(absent.worker.as_str());
        if let Some(tasks) = absent.tasks {
            let tasks = tasks.into_iter().collect();
            self.takeover.held.insert(Rc::clone(&key), (tasks, since + absent.lease_expires_in));
        }
        self.takeover.recorded.insert(key);
    }

    /// Workers out of reach, for the next commit.
    pub fn unreachable_workers(&self, now: Uptime) -> Vec<UnreachableWorker> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|(_, session)| session.contact != Contact::Live)
            .map(|(key, session)| UnreachableWorker {
                worker: key.to_string(),
                tasks: self.tasks_at_most(key, session),
                lease_expires_in: match self.takeover.held.get(key) {
                    Some((_, lapse)) => lapse.saturating_sub(now),
                    None if session.clock.is_some() => session.lapses_in(now),
                    None => self.takeover.uncertain_until.saturating_sub(now),
                },
            })
            .collect()
    }

    /// A commit with this list of workers out of reach is on its way.
    pub fn unreachable_commit_sent(&mut self, absent: &[UnreachableWorker]) {
        let keys = absent.iter().map(|absent| WorkerKey::from(absent.worker.as_str()));
        self.takeover.recorded.extend(keys);
    }

    /// Tasks that a worker out of reach may run; `None` where they are not known.
    fn tasks_at_most(&self, key: &WorkerKey, session: &Session) -> Option<Vec<TaskId>> {
        // An end that was processed and is not stored leaves no booking, but its run must not be repeated.
        if self.takeover.unstored && session.processed > session.seen {
            return None;
        }
        let placed = session.placements.keys().copied();
        match self.takeover.held.get(key) {
            Some((held, _)) => Some(held.iter().copied().chain(placed).collect()),
            None if session.clock.is_some() || self.takeover.settled => Some(placed.collect()),
            None => None,
        }
    }

    /// A commit with this list of workers out of reach has taken effect.
    pub fn unreachable_committed(&mut self, absent: &[UnreachableWorker]) {
        self.takeover.recorded =
            absent.iter().map(|absent| WorkerKey::from(absent.worker.as_str())).collect();
        self.round_due = true;
    }

    /// Whether a successor would take a worker for one out of reach.
    pub(super) fn is_recorded_absent(&self, key: &WorkerKey) -> bool {
        self.takeover.recorded.contains(key)
    }

    /// Whether workers that may run tasks of an earlier owner have not answered yet.
    pub(super) fn is_unsettled(&self) -> bool {
        !self.takeover.settled
    }

    /// Whether tasks of an earlier owner may be running on a worker that has not answered yet.
    pub(super) fn may_hold_tasks(&self, key: &WorkerKey) -> bool {
        !self.takeover.settled || self.takeover.held.contains_key(key)
    }

    /// What each team may have running on workers that have not answered, beyond what is booked. It counts against the
    /// team's cap until it is known.
    pub(super) fn uncertain_usage(&self) -> BTreeMap<Rc<str>, Size> {
        let mut usage = BTreeMap::new();
        if self.takeover.settled && self.takeover.held.is_empty() {
            return usage;
        }
        let unheard = self.sessions.iter().filter(|(key, session)| {
            session.clock.is_none() && !self.takeover.held.contains_key(*key)
        });
        let room =
            unheard.fold(Size::ZERO, |sum, (_, session)| sum.plus(&session.registration.capacity));
        let held: BTreeSet<TaskId> =
            self.takeover.held.values().flat_map(|(tasks, _)| tasks.iter().copied()).collect();
        let mut known: BTreeMap<Rc<str>, Size> = BTreeMap::new();
        for id in &self.open {
            let Some(entry) = self.jobs.get(id) else { continue };
            let Some(team) = &entry.team else { continue };
            for ((occurrence, position), stage) in &entry.stages {
                let Some(step) = entry.job.steps.get(usize::from(*position)) else { continue };
                let stage_id = StageId { job: *id, occurrence: *occurrence, step: *position };
                for (task, index) in stage.tasks.iter().zip(0u32..) {
                    if task.place != Place::Uncertain {
                        continue;
                    }
                    let exact = held.contains(&stage_id.task(index));
                    let sums = if exact { &mut known } else { &mut usage };
                    let sum = sums.entry(Rc::clone(team)).or_insert(Size::ZERO);
                    *sum = sum.plus(&step.size);
                }
            }
        }
        // No more can run on these workers than they hold.
        usage.values_mut().for_each(|sum| *sum = sum.min(&room));
        for (team, size) in known {
            let sum = usage.entry(team).or_insert(Size::ZERO);
            *sum = sum.plus(&size);
        }
        usage
    }

    /// A worker out of reach has certainly ended; the next tick releases what it was taken to run.
    pub(super) fn release_held(&mut self, key: &WorkerKey) {
        if let Some((_, lapse)) = self.takeover.held.get_mut(key) {
            *lapse = Uptime::ZERO;
        }
    }

    /// Releases uncertain tasks once all workers that may run them have answered, or no lease can be left.
    pub(super) fn settle_takeover(&mut self, context: &mut Context) {
        let held = self.takeover.held.len();
        let sessions = &self.sessions;
        self.takeover.held.retain(|key, (_, lapse)| {
            let heard = sessions.get(key).is_some_and(|session| session.clock.is_some());
            !heard && *lapse > context.now
        });
        let released = self.takeover.held.len() < held;
        if self.takeover.settled && !released {
            return;
        }
        let complete = self.takeover.registry_complete.is_some_and(|from| from <= context.now);
        if complete {
            self.release_uncertain(context);
        }
    }

    fn release_uncertain(&mut self, context: &mut Context) {
        // Once settled, workers that have not answered are newcomers and run nothing.
        let lapsed = self.takeover.settled || context.now >= self.takeover.uncertain_until;
        let unheard: BTreeSet<&str> = self
            .sessions
            .iter()
            .filter(|(key, session)| {
                session.clock.is_none() && !self.takeover.held.contains_key(*key)
            })
            .map(|(_, session)| session.registration.pool.as_str())
            .collect();
        let held: BTreeSet<TaskId> =
            self.takeover.held.values().flat_map(|(tasks, _)| tasks.iter().copied()).collect();
        let mut pending = false;
        let mut released = Vec::new();
        for id in &self.open {
            let Some(entry) = self.jobs.get(id) else { continue };
            if !entry.stages.values().any(super::Stage::is_uncertain) {
                continue;
            }
            let current = context.configuration.queue(&entry.job.queue);
            let pool = current.map_or(&entry.job.policy.pool, |queue| &queue.policy.pool);
            let possible = [pool, &entry.job.policy.pool];
            if !lapsed && possible.iter().any(|pool| unheard.contains(pool.as_str())) {
                pending = true;
            } else {
                released.push(*id);
            }
        }
        let settled = lapsed || !pending && unheard.is_empty();
        if settled && !self.takeover.settled {
            context.log("takeover_settled", vec![("lapsed", lapsed.to_string())]);
        }
        self.takeover.settled |= settled;
        for id in released {
            self.release_job(id, &held, context);
        }
    }

    fn release_job(&mut self, id: JobId, held: &BTreeSet<TaskId>, context: &mut Context) {
        self.round_due = true;
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let mut broken = Vec::new();
        for ((occurrence, step), stage) in &mut entry.stages {
            let gang = entry.job.steps.get(usize::from(*step)).is_some_and(|step| step.gang);
            let stage_id = StageId { job: id, occurrence: *occurrence, step: *step };
            let mut changed = false;
            for (task, index) in stage.tasks.iter_mut().zip(0u32..) {
                if task.place == Place::Uncertain && !held.contains(&stage_id.task(index)) {
                    task.place = Place::Waiting;
                    changed = true;
                }
            }
            if gang && changed {
                broken.push(stage_id.task(0));
            }
        }
        for task in broken {
            self.break_gang(task, context);
        }
    }
}
