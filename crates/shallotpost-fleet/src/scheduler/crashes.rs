//! Tasks that crash their workers: losses are recorded, suspects start in isolation, and deadly tasks are given up.

use shallotpost_policy::crash::{
    Crash, SETTLE_TIME, Verdict, is_common_cause, isolated_workers_max,
    yielding_isolated_workers_max,
};

use crate::job::StageId;
use crate::port::{Connection, Counter};
use crate::prelude::*;
use crate::progress::{Cause, Failure};
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::session::{Isolation, Phase, Placement, Session, WorkerKey};
use crate::scheduler::stage::Place;
use crate::scheduler::{Context, Purpose, Scheduler};
use crate::worker::Call;

/// Time within which workers count as having stopped answering together.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(100);

/// Time for which it is remembered that a worker stopped answering. A lost run is recorded after its lease at the latest.
const BREAK_MEMORY: Duration = Duration::from_secs(10);

/// Maximum time for which a worker is kept free of starts until the runs there have survived their own.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// Time after its first contact for which a worker is not preferred for isolated tasks: workers that go down and up by
/// turns would crash under them by themselves.
const PROVEN_AFTER: Duration = Duration::from_secs(5);

/// Age up to which an answer proves that a worker is alive when an isolated run starts. Calls that wait for an end are
/// answered after up to 1.4 s, and a worker that went down meanwhile looks idle.
const PROOF_AGE_MAX: Duration = Duration::from_millis(300);

/// Pause between two calls that ask whether a worker is alive.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// Timeout of such a call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// How a worker's runs were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub(super) enum Loss {
    /// It has stopped answering, and its runs may be lost.
    Silent,
    /// The worker's process has been replaced by another one with the same identifier.
    #[strum(serialize = "reborn")]
    Restarted,
    /// Another worker listens at its address.
    #[strum(serialize = "address taken over")]
    Replaced,
    /// It did not answer until its leases had expired. It may be cut off, with its process alive until then.
    #[strum(serialize = "lease_lapsed")]
    LeaseExpired,
}

impl Loss {
    /// Returns whether the worker's process has certainly ended.
    fn is_certain(self) -> bool {
        match self {
            Loss::Restarted | Loss::Replaced => true,
            Loss::Silent | Loss::LeaseExpired => false,
        }
    }
}

impl Scheduler {
    /// Remembers that a worker has stopped answering.
    pub(super) fn record_break(&mut self, now: Uptime) {
        while self.breaks.front().is_some_and(|at| now.saturating_sub(*at) > BREAK_MEMORY) {
            self.breaks.pop_front();
        }
        self.breaks.push_back(now);
    }

    /// Records that a worker has stopped answering against the tasks that may be the cause. A run that turns out to be
    /// alive clears its task, and an owner that takes over before the worker is back knows of the loss.
    pub(super) fn record_silence(&mut self, worker: &WorkerKey, context: &mut Context) {
        let Some(session) = self.sessions.get(worker) else { return };
        let runs = session.placements.iter();
        let runs: Vec<(TaskId, Placement)> = runs.map(|(task, run)| (*task, run.clone())).collect();
        self.record_losses(worker, Loss::Silent, &runs, context);
    }

    /// Records the loss of a worker's runs against their tasks.
    pub(super) fn record_losses(
        &mut self,
        worker: &WorkerKey,
        loss: Loss,
        lost: &[(TaskId, Placement)],
        context: &mut Context,
    ) {
        let Some(session) = self.sessions.get(worker) else { return };
        if session.registration.draining || lost.is_empty() {
            return;
        }
        let broken = session.broken.unwrap_or(context.now);
        let isolation = session.isolation.clone();
        let confirmed = |run: &Placement| matches!(run.phase, Phase::Running | Phase::Stopping);
        let age = |run: &Placement| match broken.saturating_sub(run.started) {
            // It had survived its start before it was found.
            age if run.adopted => age + SETTLE_TIME,
            age if confirmed(run) => age,
            // The worker may have crashed before it answered the start.
            _ => Duration::ZERO,
        };
        let neighbour_started = |task: &TaskId, run: &Placement| {
            lost.iter().any(|(other, started)| {
                let member = other.stage == task.stage && started.number == run.number;
                !member && age(started) < SETTLE_TIME
            })
        };
        let together = self.breaks.iter().filter(|at| at.abs_diff(broken) <= COMMON_CAUSE_TIME);
        let common_cause = is_common_cause(together.count(), self.sessions.len());
        let fields = vec![
            ("worker", worker.to_string()),
            ("cause", <&str>::from(loss).to_owned()),
            ("runs", lost.len().to_string()),
            ("isolated", isolation.is_some().to_string()),
            ("common_cause", common_cause.to_string()),
        ];
        if loss != Loss::Silent {
            context.log("worker_lost", fields);
        }
        let heard = session.heard;
        let certain = loss.is_certain();
        // The worker may have been down before a start that it did not confirm.
        let proven =
            |run: &Placement| confirmed(run) || run.started.saturating_sub(heard) < PROOF_AGE_MAX;
        let may_have_run = |run: &Placement| confirmed(run) || loss != Loss::Silent;
        for (task, run) in lost.iter().filter(|(_, run)| may_have_run(run)) {
            let age = age(run);
            // Several deadly tasks that start together look like a common cause too.
            let counts = run.on_trial || age < SETTLE_TIME || certain && !common_cause;
            if counts {
                let only_cause =
                    !neighbour_started(task, run) || self.has_lost_at(*task, run.number, age);
                let isolated = run.on_trial && proven(run) && only_cause;
                let crash = Crash { run: run.number, age, isolated, certain };
                self.record_crash(*task, crash, context);
            }
            // The new incarnation of the worker may have taken a run that no list has shown, and its first list clears it.
            let undecided = loss == Loss::Restarted && !run.listed;
            if loss != Loss::Silent && !undecided {
                self.give_up_if_deadly(*task, context);
            }
        }
    }

    /// Drops the loss of a run through which its worker did not crash.
    pub(super) fn acquit(&mut self, task: TaskId, run: u64) {
        if let Some(stage) = self.stage_mut(task.stage)
            && let Some(state) = stage.touched_mut(task.index)
            && state.crashes.acquit(run)
        {
            self.dirty.insert(task.stage.job);
        }
    }

    fn has_lost_at(&self, task: TaskId, run: u64, age: Duration) -> bool {
        let state = self.stage(task.stage).and_then(|stage| stage.task(task.index));
        state.is_some_and(|state| state.crashes.has_lost_at(run, age))
    }

    fn record_crash(&mut self, task: TaskId, crash: Crash, context: &mut Context) {
        if !self.unfinished.contains(&task.stage.job) {
            return;
        }
        let Some(stage) = self.stage_mut(task.stage) else { return };
        let state = stage.task_mut(task.index);
        let Some(state) = state.filter(|state| state.place != Place::Done) else { return };
        state.crashes.record(crash);
        let (verdict, crashes) = (state.crashes.verdict(), state.crashes.crashes().len());
        self.dirty.insert(task.stage.job);
        if verdict != Verdict::Sound {
            let fields = vec![
                ("task", task.to_string()),
                ("run", crash.run.to_string()),
                ("age_ms", crash.age.as_millis().to_string()),
                ("isolated", crash.isolated.to_string()),
                ("certain", crash.certain.to_string()),
                ("crashes", crashes.to_string()),
            ];
            context.log("task_suspected", fields);
        }
    }

    /// Fails the job of a task that crashes its workers. Returns whether it does.
    pub(super) fn give_up_if_deadly(&mut self, task: TaskId, context: &mut Context) -> bool {
        let stage = self.stage(task.stage);
        let state = stage.and_then(|stage| stage.task(task.index));
        let Some(state) = state.filter(|state| state.crashes.verdict() == Verdict::Deadly) else {
            return false;
        };
        let crashes = state.crashes.crashes().len();
        let runs = state.crashes.crashes().iter().map(|crash| crash.run).collect();
        if self.jobs.get(&task.stage.job).is_none_or(|entry| entry.state.is_final()) {
            return true;
        }
        self.fail_job(Failure { cause: Cause::Crashes, task, runs }, context.now);
        let fields = vec![("task", task.to_string()), ("crashes", crashes.to_string())];
        context.log("job_given_up", fields);
        context.outputs.push(Output::Count { counter: Counter::JobsGivenUp, amount: 1 });
        self.stop_job(task.stage.job, context);
        true
    }

    /// Records that a run was alive at an age.
    pub(super) fn record_survival(&mut self, task: TaskId, age: Duration) {
        let Some(stage) = self.stage_mut(task.stage) else { return };
        if let Some(state) = stage.touched_mut(task.index)
            && !state.crashes.is_empty()
            && state.crashes.survive(age)
        {
            self.dirty.insert(task.stage.job);
            self.set_waiting(task.stage);
        }
    }

    /// Returns whether losses of the job are not stored yet. Its suspects wait, so that a successor knows of every crash.
    fn has_unstored_progress(&self, job: JobId) -> bool {
        self.dirty.contains(&job) || self.commit.holds(job)
    }

    /// Starts suspect tasks of a stage in isolation, as far as workers can be set aside for them.
    pub(super) fn place_suspects(
        &mut self,
        demand: &Demand,
        suspects: Vec<u32>,
        pool_workers: &mut [PoolWorker],
        round: &Round,
        context: &mut Context,
    ) {
        let now = context.now;
        if suspects.is_empty() || self.has_unstored_progress(demand.id.job) {
            return;
        }
        // An earlier owner may have seen the crashes, and this one that the runs are lost.
        if suspects.iter().any(|index| self.give_up_if_deadly(demand.id.task(*index), context)) {
            return;
        }
        let Some(stage) = self.stage(demand.id) else { return };
        let mut choices: Vec<_> = pool_workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| self.count_fitting_on_worker(demand, worker, now) > 0)
            .filter(|(_, worker)| Self::has_ticket(demand, stage, worker, now))
            .filter(|(_, worker)| self.suits(demand, worker))
            .filter_map(|(position, worker)| self.isolation_choice(demand, position, worker, now))
            .collect();
        choices.sort_unstable();
        let mut available = self.available_isolations(pool_workers);
        let mut waiting = suspects.into_iter().peekable();
        let held_for = Some(demand.id);
        let mut holds = pool_workers.iter().filter(|worker| worker.held_for == held_for).count();
        for choice in choices {
            let Some(index) = waiting.peek().copied() else { return };
            if !self.within_cap(demand, &demand.step().size, round) || self.is_saturated(now) {
                return;
            }
            let waits_already = choice.busy && (choice.held || holds >= waiting.len());
            if waits_already || !choice.held && available == 0 {
                continue;
            }
            available -= usize::from(!choice.held);
            let worker = &mut pool_workers[choice.position];
            if choice.busy {
                // The start follows when the runs there have survived theirs.
                holds += 1;
                self.hold(demand.id, worker, context);
                continue;
            }
            waiting.next();
            let number = self.allocate_run_number();
            let task = demand.id.task(index);
            self.isolate(demand.id, number, worker, context);
            self.start(&worker.key, task, number, demand.run_priority, context);
            self.put_on_trial(&worker.key, task);
            worker.book(demand);
        }
    }

    /// Records that a run was started in isolation. It stays so when other suspects start on the worker later.
    pub(super) fn put_on_trial(&mut self, worker: &WorkerKey, task: TaskId) {
        let session = self.sessions.get_mut(worker);
        if let Some(run) = session.and_then(|session| session.placements.get_mut(&task)) {
            run.on_trial = true;
        }
    }

    /// Returns whether the members of a gang may start on these workers under this run number. The workers that cannot
    /// isolate a suspect gang yet are held for it.
    pub(super) fn prepare_gang(
        &mut self,
        demand: &Demand,
        number: u64,
        positions: &BTreeSet<usize>,
        pool_workers: &mut [PoolWorker],
        context: &mut Context,
    ) -> bool {
        let Some(stage) = self.stage(demand.id) else { return true };
        let suspects = stage.waiting_suspects();
        if suspects.is_empty() {
            return true;
        }
        let now = context.now;
        if self.has_unstored_progress(demand.id.job)
            || suspects.iter().any(|index| self.give_up_if_deadly(demand.id.task(*index), context))
        {
            return false;
        }
        let ready = |worker: &PoolWorker| {
            let session = self.sessions.get(&worker.key);
            session.is_some_and(|session| session.can_isolate(now))
        };
        if positions.iter().all(|position| ready(&pool_workers[*position])) {
            for position in positions {
                self.isolate(demand.id, number, &mut pool_workers[*position], context);
            }
            return true;
        }
        for position in positions {
            self.hold(demand.id, &mut pool_workers[*position], context);
        }
        false
    }

    /// Returns whether a worker may be set aside for suspects of the stage, or is held for it. Suspects whose jobs yield to
    /// others share a part of the workers that may be set aside.
    pub(super) fn may_isolate(
        &self,
        stage: StageId,
        yields: bool,
        pool_workers: &[PoolWorker],
    ) -> bool {
        let set_aside = count_set_aside(pool_workers);
        let workers_max = match yields {
            true => yielding_isolated_workers_max(pool_workers.len()),
            false => isolated_workers_max(pool_workers.len()),
        };
        set_aside < workers_max || pool_workers.iter().any(|worker| worker.held_for == Some(stage))
    }

    /// Returns how many further workers of the pool may be set aside.
    fn available_isolations(&self, pool_workers: &[PoolWorker]) -> usize {
        isolated_workers_max(pool_workers.len()).saturating_sub(count_set_aside(pool_workers))
    }

    fn isolation_choice(
        &self,
        demand: &Demand,
        position: usize,
        worker: &PoolWorker,
        now: Uptime,
    ) -> Option<Choice> {
        let session = self.sessions.get(&worker.key)?;
        if session.broken.is_some() {
            return None;
        }
        Some(Choice {
            on_trial: worker.on_trial,
            busy: !session.can_isolate(now),
            unproven: now.saturating_sub(session.opened) < PROVEN_AFTER,
            held: worker.held_for == Some(demand.id),
            cost: self.cost(demand, worker, now),
            position,
        })
    }

    /// Keeps a worker free of other starts for some time.
    fn hold(&mut self, stage: StageId, worker: &mut PoolWorker, context: &mut Context) {
        worker.held_for = Some(stage);
        if let Some(session) = self.sessions.get_mut(&worker.key)
            && session.isolation.is_none()
        {
            session.isolation = Some(Isolation::Held { stage, until: context.now + HOLD_TIME });
            let fields = vec![("stage", stage.to_string()), ("worker", worker.key.to_string())];
            context.log("worker_held", fields);
        }
        self.prove_alive(&worker.key, context);
    }

    /// Asks a worker for an answer if it has not given one recently.
    fn prove_alive(&mut self, worker: &WorkerKey, context: &mut Context) {
        let now = context.now;
        let asks =
            |session: &&Session| !session.has_answered_recently(now) && session.next_probe <= now;
        if self.sessions.get(worker).as_ref().is_some_and(asks) {
            self.probe(worker, context);
        }
    }

    /// Sets a worker aside for the runs of a stage that start next.
    fn isolate(
        &mut self,
        stage: StageId,
        run: u64,
        worker: &mut PoolWorker,
        context: &mut Context,
    ) {
        (worker.on_trial, worker.isolated) = (true, true);
        if let Some(session) = self.sessions.get_mut(&worker.key) {
            session.isolation = Some(Isolation::Closed { stage, run });
        }
        let fields = vec![("stage", stage.to_string()), ("worker", worker.key.to_string())];
        context.log("isolated_start", fields);
        context.outputs.push(Output::Count { counter: Counter::IsolatedStarts, amount: 1 });
    }

    /// Ends isolations whose runs have ended or survived, and asks workers whether they have.
    pub(super) fn check_isolations(&mut self, context: &mut Context) {
        let isolated: Vec<(WorkerKey, Isolation)> = self
            .sessions
            .iter()
            .filter_map(|(key, session)| Some((Rc::clone(key), session.isolation.clone()?)))
            .collect();
        for (worker, isolation) in isolated {
            match isolation {
                Isolation::Held { stage, until }
                    if until > context.now && self.has_waiting_suspect(stage) =>
                {
                    self.prove_alive(&worker, context);
                }
                Isolation::Held { .. } => self.end_isolation(&worker),
                Isolation::Closed { stage, run } | Isolation::Observed { stage, run } => {
                    self.check_trial(&worker, stage, run, context);
                }
            }
        }
    }

    fn has_waiting_suspect(&self, id: StageId) -> bool {
        self.stage(id).is_some_and(|stage| !stage.waiting_suspects().is_empty())
    }

    /// Opens a worker to other tasks when the suspects there have survived their start, and clears them when they have
    /// survived the age of earlier losses.
    fn check_trial(&mut self, worker: &WorkerKey, stage: StageId, run: u64, context: &mut Context) {
        let now = context.now;
        let Some(session) = self.sessions.get(worker) else { return };
        let tried =
            session.placements.range(stage.tasks()).filter(|(_, other)| other.number == run);
        let tried: Vec<(TaskId, Uptime)> = tried.map(|(task, run)| (*task, run.started)).collect();
        let times = tried.iter().filter_map(|(task, _)| {
            let state = self.stage(stage)?.task(task.index)?;
            Some(state.crashes.isolation_time())
        });
        let Some((time, started)) = times.max().zip(tried.iter().map(|(_, at)| *at).max()) else {
            return self.end_isolation(worker);
        };
        let closed = matches!(session.isolation, Some(Isolation::Closed { .. }));
        let (answered, next_probe) = (session.answered, session.next_probe);
        match () {
            () if answered >= started + time => {
                self.end_isolation(worker);
                let age = answered.saturating_sub(started);
                match self.step(stage).is_some_and(|step| step.gang) {
                    false => tried.iter().for_each(|(task, _)| self.record_survival(*task, age)),
                    // Another member of the gang may still crash its worker.
                    true if self.is_on_trial(stage) => {}
                    true => self.record_survival_of_gang(stage, age),
                }
            }
            () if closed && answered >= started + SETTLE_TIME => {
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.isolation = Some(Isolation::Observed { stage, run });
                    self.round_due = true;
                }
            }
            () if closed && now >= (started + SETTLE_TIME).max(next_probe) => {
                self.probe(worker, context);
            }
            () => {}
        }
    }

    fn record_survival_of_gang(&mut self, stage: StageId, age: Duration) {
        let members = self.stage(stage).map(|stage| stage.touched().map(|(index, _)| index));
        let members: Vec<u32> = members.into_iter().flatten().collect();
        for index in members {
            self.record_survival(stage.task(index), age);
        }
    }

    /// Returns whether suspect runs of the stage are on trial on any worker.
    fn is_on_trial(&self, stage: StageId) -> bool {
        self.sessions.values().any(|session| match &session.isolation {
            Some(
                Isolation::Closed { stage: tried, .. } | Isolation::Observed { stage: tried, .. },
            ) => *tried == stage,
            Some(Isolation::Held { .. }) | None => false,
        })
    }

    fn end_isolation(&mut self, worker: &WorkerKey) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.isolation = None;
            self.round_due = true;
        }
    }

    /// Asks a worker for an answer at once, as the long poll in flight may take longer.
    pub(super) fn probe(&mut self, worker: &WorkerKey, context: &mut Context) {
        let Some(session) = self.sessions.get_mut(worker) else { return };
        session.next_probe = context.now + PROBE_PAUSE;
        let incarnation = session.incarnation;
        let call = context.allocate_call();
        context.outputs.push(Output::Worker {
            call,
            address: session.registration.address.clone(),
            worker: worker.to_string(),
            fence: session.fence,
            request: Call::RenewLease { until_ms: None, acknowledged: 0, wait: Duration::ZERO },
            connection: Connection::Pooled,
            timeout: PROBE_TIMEOUT,
        });
        let purpose = Purpose::Probe(context.now);
        self.calls.insert(call, (Rc::clone(worker), incarnation, purpose));
    }
}

fn count_set_aside(pool_workers: &[PoolWorker]) -> usize {
    pool_workers.iter().filter(|worker| worker.isolated || worker.held_for.is_some()).count()
}

/// A worker on which a suspect may start, in the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Choice {
    /// Whether other suspects are on trial there.
    on_trial: bool,
    /// Whether runs there have not survived their start yet.
    busy: bool,
    /// Whether the worker has not been in contact for long.
    unproven: bool,
    cost: (bool, bool, bool, u64),
    position: usize,
    /// Whether it is held for the stage already.
    held: bool,
}

impl Session {
    /// Returns whether a suspect may start on the worker: all runs there have survived their start, as far as is known, and
    /// the worker is known to be alive.
    fn can_isolate(&self, now: Uptime) -> bool {
        let settled = |run: &Placement| {
            matches!(run.phase, Phase::Running | Phase::Stopping)
                && now.saturating_sub(run.started) >= SETTLE_TIME
        };
        self.broken.is_none()
            && self.has_answered_recently(now)
            && self.placements.values().all(settled)
    }

    fn has_answered_recently(&self, now: Uptime) -> bool {
        now.saturating_sub(self.heard) < PROOF_AGE_MAX
    }
}
