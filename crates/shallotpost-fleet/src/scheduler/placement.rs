//! Placement of waiting tasks: approvals and the choice of workers.

use crate::configuration::QueuePolicy;
use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::holds::{Hold, Holds};
use crate::scheduler::orders::STARTS_IN_FLIGHT_MAX;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::run_lists::{first_task, last_task};
use crate::scheduler::session::{Session, WorkerKey};
use crate::scheduler::stage::{Place, Stage};
use crate::scheduler::{Context, JobEntry, Scheduler};

/// Lead time, in addition to the call's duration, by which approval is requested before the preceding steps are
/// expected to end.
const APPROVAL_LEAD_TIME: Duration = Duration::from_millis(150);

/// Maximum number of stages of one pool that a round tries without success. The others wait for the next full round.
/// Each try takes some microseconds per worker.
const FAILURES_PER_ROUND: u32 = 24;

/// Maximum number of stages of one team that a round tries while the team's quota allows no further task. They get tickets,
/// so that what becomes free is used at once.
const CAPPED_STAGES_MAX: u32 = 10;

/// Number of waiting stages up to which every round ranks all of them. Beyond it, rounds between two full ones consider
/// as many of the stages that the last full round ranked first, and those that have changed since.
const RANKED_MAX: usize = 256;

/// Interval between full rounds, which try all stages.
const FULL_ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a round for each stage that it tried. It limits the load on a host with a quarter of a processor core.
const PAUSE_PER_STAGE: Duration = Duration::from_micros(60);

/// Urgency of a job; lower values are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The job is within its team's share and not expired.
    Regular,
    /// The job is so late that its result is of little use to its submitter.
    Expired,
    /// The team had exceeded its share when it submitted the job.
    BeyondShare,
}

/// Priority of the runs of expired jobs and of jobs beyond their team's share; those of all queues are more urgent.
const YIELDING_PRIORITY: u32 = u32::MAX;

/// Share of a pool's processors in use above which work of no use yields to other stages that wait.
const YIELD_ABOVE: f64 = 0.5;

/// Time after which a job that yields, and has nothing running, may start one task or gang all the same.
const YIELD_MAX: Duration = Duration::from_millis(1500);

/// Share of the estimated remaining duration that a job certainly takes. Estimates are rough.
const ESTIMATE_SHARE: f64 = 0.7;

/// Multiple of the completion target after which a job counts as expired; the platform counts nothing that completes
/// later.
const EXPIRY_FACTOR: u32 = 3;

/// A stage with waiting tasks. Stages are served in the order of these fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    urgency: Urgency,
    priority: u32,
    /// Jobs that can no longer meet their completion target come after those that can.
    late: bool,
    due: Uptime,
    stage: StageId,
    /// Whether preceding steps are still running; only approvals are requested then.
    pub(super) early: bool,
}

/// A stage to place, with the policy and the quota that apply to it.
pub(super) struct Demand {
    pub(super) id: StageId,
    pub(super) job: Rc<Job>,
    pub(super) policy: Rc<QueuePolicy>,
    pub(super) team: Option<Rc<str>>,
    pub(super) cap: Size,
    /// Priority of its runs when others need their room.
    pub(super) run_priority: u32,
    /// Workers that have just refused a task of the stage for want of room.
    left_out: Vec<WorkerKey>,
}

impl Demand {
    pub(super) fn step(&self) -> &Step {
        &self.job.steps[usize::from(self.id.step)]
    }
}

impl Scheduler {
    /// Runs one placement round over the stages with waiting tasks.
    pub(super) fn place(&mut self, context: &mut Context) {
        if !context.may_start {
            return;
        }
        self.refresh_affiliations(context.configuration);
        let full = context.now.saturating_sub(self.last_full_round) >= FULL_ROUND_INTERVAL;
        if full {
            self.last_full_round = context.now;
        }
        let mut round = self.begin_round(context);
        self.place_bound_tasks(&mut round, context);
        let mut tried = 0;
        // Only a full round knows all stages.
        let logs_holds = full && self.is_holds_log_due(context.now);
        let mut holds = Holds::default();
        for candidate in self.candidates(full, context) {
            if self.is_saturated(context.now) {
                self.round_due = true;
                if !logs_holds {
                    break;
                }
                holds.record(Hold::Processor, candidate.stage);
                continue;
            }
            let Some(mut demand) = self.demand(&candidate, context) else {
                continue;
            };
            if self.waits_behind_cap(&demand, &mut round) {
                holds.record(Hold::Quota, demand.id);
                continue;
            }
            let pool = &demand.policy.pool;
            let backlogged = round.failures(pool) >= FAILURES_PER_ROUND;
            let only_suspects = self.only_suspects_wait(demand.id);
            // Work of no use to its submitter, or beyond its team's share, does not take the room for which others wait.
            let late = candidate.urgency != Urgency::Regular
                && round.is_claimed(pool)
                && used_share(round.workers(pool)) > YIELD_ABOVE;
            let starves = late
                && !candidate.early
                && self.starves(&demand, full, &round, context.now)
                && round.serve_starving(pool);
            let yields = late && !starves;
            if starves {
                // Otherwise the next regular stage would stop what starts now.
                demand.run_priority = demand.policy.priority;
            }
            // Others have failed because the worker is held for this stage.
            let held = round.workers(pool).iter().any(|worker| worker.held_for == Some(demand.id));
            let known_to_fail =
                backlogged && !held && round.is_known_to_fail(pool, &demand.step().booking());
            let hopeless = match only_suspects {
                _ if known_to_fail => true,
                // Workers that may be set aside are scarce, not capacity.
                true => !self.may_isolate(demand.id, yields, round.workers(pool)),
                false => backlogged && !full,
            };
            if hopeless {
                holds.record(if known_to_fail { Hold::Room } else { Hold::Rank }, demand.id);
                continue;
            }
            tried += 1;
            let mut pool_workers = round.take_workers(pool);
            let has_capacity = self.has_capacity(&demand, &pool_workers, context.now);
            match demand.step().gang {
                _ if candidate.early || !has_capacity || yields && !only_suspects => {}
                true => self.place_gang(&demand, &mut pool_workers, &round, context),
                false => {
                    let tasks_max = if starves { 1 } else { usize::MAX };
                    self.place_tasks(&demand, tasks_max, &mut pool_workers, &round, context);
                }
            }
            // Stages that yield or are far back in a backlog get neither tickets, which would expire, nor the room of
            // others.
            let served = starves && self.has_runs(demand.id.job);
            if !yields
                && !served
                && (!backlogged || has_capacity)
                && self.may_use_tickets(&demand, has_capacity, &pool_workers, &mut round)
            {
                self.request_approvals(&demand, candidate.early, &pool_workers, context);
            }
            match candidate.early {
                _ if !logs_holds || !self.has_waiting(demand.id) => {}
                true => holds.record(Hold::Turn, demand.id),
                false if yields && has_capacity => holds.record(Hold::Yielding, demand.id),
                false => {
                    let hold = self.hold_of(&demand, &pool_workers, &round, context.now);
                    holds.record(hold, demand.id);
                }
            }
            // Suspects wait for a worker that can be set aside, not for capacity that others must give up.
            let waits = self.has_waiting(demand.id)
                && !(has_capacity && self.only_suspects_wait(demand.id));
            if !candidate.early && waits {
                // Other stages may fit on the workers that are left out for this one.
                let no_room = !has_capacity && demand.left_out.is_empty();
                round.add_failure(pool, no_room.then(|| demand.step().booking()));
                // A gang waits for room for all of its members.
                let lacks_room = !has_capacity || demand.step().gang;
                if candidate.urgency == Urgency::Regular
                    && lacks_room
                    && self.within_cap(&demand, &demand.step().size, &round)
                    && !round.is_claimed(pool)
                    && self.can_ever_fit(&demand, &pool_workers)
                {
                    round.claim(pool);
                }
                // Expired jobs and jobs beyond their share do not displace others.
                if candidate.urgency == Urgency::Regular && !backlogged {
                    self.preempt(&demand, &pool_workers, &mut round, context);
                }
            }
            round.put_workers(pool, pool_workers);
        }
        self.round_pause = PAUSE_PER_STAGE * tried;
        if logs_holds {
            for stage in self.uncertain_stages() {
                holds.record(Hold::Takeover, stage);
            }
            self.log_holds(&holds, context);
        }
    }

    fn begin_round(&self, context: &Context) -> Round {
        let mut round = Round::new(self.uncertain_usage(context));
        for (key, session) in &self.sessions {
            let usable = session.accepts_tasks()
                && !self.is_recorded_unreachable(key)
                && !context.evacuated.contains(&session.registration.data_centre);
            if usable {
                round.add(&session.registration.pool, PoolWorker::new(key, session, context.now));
            }
        }
        round
    }

    /// Returns the capacity of a worker that the stage may use.
    pub(super) fn free(&self, demand: &Demand, worker: &PoolWorker, now: Uptime) -> Size {
        if !worker.is_open_to(demand.id) || demand.left_out.contains(&worker.key) {
            return Size::ZERO;
        }
        let session = if worker.reserved { self.sessions.get(&worker.key) } else { None };
        session.map_or(worker.free, |session| {
            session.free_for(&demand.id, demand.policy.priority, now)
        })
    }

    /// Returns the number of further tasks of the stage that may start on a worker, with respect to reservations.
    pub(super) fn count_fitting_on_worker(
        &self,
        demand: &Demand,
        worker: &PoolWorker,
        now: Uptime,
    ) -> u32 {
        let free = self.free(demand, worker, now);
        if demand.step().per_worker_max == 0 {
            return fits(&demand.step().booking(), &free);
        }
        let session = self.sessions.get(&worker.key);
        session.map_or(0, |session| Self::count_fitting(demand, session, &free))
    }

    /// Returns whether any worker of the pool has capacity for one task of the stage.
    fn has_capacity(&self, demand: &Demand, pool_workers: &[PoolWorker], now: Uptime) -> bool {
        let booking = demand.step().booking();
        pool_workers.iter().any(|worker| booking.fits_in(&self.free(demand, worker, now)))
    }

    /// Returns whether the quota of the stage's team allows no further task, and enough stages of the team are ready to
    /// use what becomes free. A stage that cannot start must not keep the approval service busy.
    fn waits_behind_cap(&self, demand: &Demand, round: &mut Round) -> bool {
        let Some(team) = &demand.team else { return false };
        !self.within_cap(demand, &demand.step().size, round)
            && round.add_capped(team) > CAPPED_STAGES_MAX
    }

    /// Returns whether the quota of the stage's team may allow its tasks while their tickets are valid, apart from what
    /// stages before it take and with what ends in that time. A stage that cannot start must not keep the approval
    /// service busy.
    fn may_use_tickets(
        &self,
        demand: &Demand,
        has_capacity: bool,
        pool_workers: &[PoolWorker],
        round: &mut Round,
    ) -> bool {
        let (Some(team), Some(approval)) = (&demand.team, demand.policy.approval) else {
            return true;
        };
        let step = demand.step();
        let waiting = u64::from(self.stage(demand.id).map_or(0, Stage::count_waiting));
        let least = if step.gang { step.size.times(waiting) } else { step.size };
        let taken = self.usage.get(team).copied().unwrap_or(Size::ZERO);
        let uncertain = round.uncertain.get(team).copied().unwrap_or(Size::ZERO);
        let needed = taken.plus(&uncertain).plus(&round.expected(team)).plus(&least);
        let estimate = step.estimate.as_secs_f64().max(1e-3);
        let ending = (approval.validity.as_secs_f64() / estimate).min(1.0);
        let parts = needed.parts().into_iter().zip(least.parts()).zip(demand.cap.parts());
        let exceeds = |((needed, least), cap): ((u64, u64), u64)| {
            least > 0 && cap > 0 && needed as f64 > cap as f64 * (1.0 + ending)
        };
        let may_start = !parts.into_iter().any(exceeds);
        if may_start {
            // Only gangs wait for so many workers at once that these may never be approved.
            if has_capacity && (!step.gang || self.can_ever_fit(demand, pool_workers)) {
                round.expect(team, &step.size.times(waiting));
            }
        }
        may_start
    }

    /// Returns whether the tasks of the stage that must start together fit on workers that the approval service has not
    /// refused, once these are empty.
    fn can_ever_fit(&self, demand: &Demand, pool_workers: &[PoolWorker]) -> bool {
        let Some(stage) = self.stage(demand.id) else { return false };
        let step = demand.step();
        let needed = if step.gang { u64::from(stage.count()) } else { 1 };
        let open = self.suitable(demand, pool_workers).filter(|(worker, _)| !stage.refuses(worker));
        let places =
            open.map(|(worker, _)| match (fits(&step.booking(), &worker.capacity), step) {
                (places, Step { per_worker_max: 0, .. }) => u64::from(places),
                (places, step) => u64::from(places.min(step.per_worker_max)),
            });
        places.sum::<u64>() >= needed
    }

    fn has_runs(&self, job: JobId) -> bool {
        self.runs(first_task(job)..=last_task(job)).next().is_some()
    }

    /// Returns whether the stage has yielded for long while nothing of its job ran, its team used less than half of its quota
    /// and there was room for it twice over. Such a job makes some progress also beside others that wait for room.
    fn starves(&mut self, demand: &Demand, full: bool, round: &Round, now: Uptime) -> bool {
        let pool = &demand.policy.pool;
        let since = self.stage(demand.id).and_then(|stage| stage.yielding_since);
        let may_starve = since.is_some_and(|since| now.saturating_sub(since) >= YIELD_MAX)
            && round.may_serve_starving(pool);
        // Full rounds keep the times of all stages. In between, a backlog of late stages costs nothing.
        if !full && !may_starve {
            return false;
        }
        let runs = self.has_runs(demand.id.job);
        let used = demand.team.as_ref().and_then(|team| self.usage.get(team));
        let used = used.copied().unwrap_or(Size::ZERO).parts().into_iter();
        let above_half =
            used.zip(demand.cap.parts()).any(|(used, cap)| cap > 0 && used.saturating_mul(2) > cap);
        let Some(stage) = self.stage_mut(demand.id) else { return false };
        if runs || above_half {
            stage.yielding_since = None;
            return false;
        }
        stage.yielding_since.get_or_insert(now);
        let needed = if demand.step().gang { u64::from(stage.count()) } else { 1 };
        may_starve
            && self.within_cap(demand, &demand.step().size.times(needed), round)
            && self.count_open_places(demand, round.workers(pool), now) >= 2 * needed
    }

    /// Returns the number of tasks of the stage that fit into the free capacity of workers that the approval service has not
    /// refused.
    fn count_open_places(&self, demand: &Demand, pool_workers: &[PoolWorker], now: Uptime) -> u64 {
        let Some(stage) = self.stage(demand.id) else { return 0 };
        let open = self.suitable(demand, pool_workers).filter(|(worker, _)| !stage.refuses(worker));
        open.map(|(worker, _)| u64::from(self.count_fitting_on_worker(demand, worker, now))).sum()
    }

    fn has_waiting(&self, id: StageId) -> bool {
        let gang = self.step(id).is_some_and(|step| step.gang);
        let waits = |stage: &Stage| {
            // A gang starts only with all members, so it needs no room while one of them is bound.
            let held_up = gang && stage.has_bound();
            !held_up && stage.has_waiting()
        };
        self.stage(id).is_some_and(waits)
    }

    pub(super) fn only_suspects_wait(&self, id: StageId) -> bool {
        self.stage(id).is_some_and(|stage| stage.waiting_sound(1).is_empty())
    }

    /// Returns whether a worker suits a stage, regardless of approval and free capacity.
    pub(super) fn suits(&self, demand: &Demand, worker: &PoolWorker) -> bool {
        let label = &demand.step().label;
        let labelled = || {
            let session = self.sessions.get(&worker.key);
            session.is_some_and(|session| session.registration.labels.contains(label))
        };
        worker.is_open_to(demand.id)
            && demand.step().booking().fits_in(&worker.capacity)
            && (label.is_empty() || labelled())
    }

    /// Returns the workers that suit a stage, regardless of approval and free capacity.
    pub(super) fn suitable<'a>(
        &'a self,
        demand: &'a Demand,
        pool_workers: &'a [PoolWorker],
    ) -> impl Iterator<Item = (&'a PoolWorker, &'a Session)> {
        let pool_workers = pool_workers.iter().filter(|worker| self.suits(demand, worker));
        pool_workers.filter_map(|worker| Some((worker, self.sessions.get(&worker.key)?)))
    }

    /// Returns the stages to try, in the order in which they are served.
    fn candidates(&mut self, full: bool, context: &Context) -> Vec<Candidate> {
        let all = full || self.waiting.len() <= RANKED_MAX;
        let stages: Vec<StageId> = match all {
            true => self.waiting.iter().copied().collect(),
            false => {
                let ranked: BTreeSet<StageId> = self.ranked.iter().copied().collect();
                self.fresh.union(&ranked).copied().collect()
            }
        };
        let mut candidates = Vec::with_capacity(stages.len());
        for stage in stages {
            if !self.unfinished.contains(&stage.job) || !self.has_waiting(stage) {
                self.waiting.remove(&stage);
                self.fresh.remove(&stage);
            } else if let Some(candidate) = self.candidate(stage, context) {
                candidates.push(candidate);
            }
        }
        candidates.sort_unstable();
        if all {
            self.fresh.clear();
            let first = candidates.iter().take(RANKED_MAX);
            self.ranked = first.map(|candidate| candidate.stage).collect();
        }
        candidates
    }

    /// Returns the rank of a stage with waiting tasks; `None` if it is not its turn yet.
    pub(super) fn candidate(&self, stage: StageId, context: &Context) -> Option<Candidate> {
        let entry = self.jobs.get(&stage.job)?;
        let policy = &entry.policy;
        let remaining = self.remaining(entry, stage.occurrence, stage.step, context.now)?;
        let call = policy.approval.map_or(Duration::ZERO, |approval| approval.duration(16));
        if remaining > call.saturating_add(APPROVAL_LEAD_TIME) {
            return None;
        }
        let completion_target = entry.completion_target();
        let due = entry.admitted.saturating_add(completion_target);
        let expiry = entry.admitted.saturating_add(completion_target.saturating_mul(EXPIRY_FACTOR));
        let path = entry.remaining_paths.get(usize::from(stage.step)).copied().unwrap_or_default();
        let urgency = match () {
            () if entry.beyond_share => Urgency::BeyondShare,
            () if entry.job.long_running() => Urgency::Regular,
            () if context.now > expiry => Urgency::Expired,
            () => Urgency::Regular,
        };
        Some(Candidate {
            urgency,
            priority: policy.priority,
            late: due < context.now.saturating_add(path.mul_f64(ESTIMATE_SHARE)),
            due,
            stage,
            early: remaining > Duration::ZERO,
        })
    }

    /// Returns the expected time until the preceding steps are done; zero if they are, `None` if any of their tasks is
    /// waiting or uncertain.
    fn remaining(
        &self,
        entry: &JobEntry,
        occurrence: u32,
        step: u16,
        now: Uptime,
    ) -> Option<Duration> {
        let after = &entry.job.steps.get(usize::from(step))?.after;
        let mut remaining = Duration::ZERO;
        for before in after {
            let stage = entry.stages.get(&(occurrence, *before))?;
            if stage.unfinished == 0 {
                continue;
            }
            let estimate = entry.job.steps.get(usize::from(*before))?.estimate;
            if stage.has_unplaced() {
                return None;
            }
            for (index, task) in stage.touched() {
                let Place::Placed(worker) = &task.place else { continue };
                let id = StageId { job: entry.id, occurrence, step: *before }.task(index);
                let run = self.sessions.get(worker)?.placements.get(&id)?;
                let left = estimate.saturating_sub(now.saturating_sub(run.started));
                remaining = remaining.max(left.max(Duration::from_millis(1)));
            }
        }
        Some(remaining)
    }

    pub(super) fn demand(&self, candidate: &Candidate, context: &Context) -> Option<Demand> {
        let id = candidate.stage;
        let entry = self.jobs.get(&id.job)?;
        entry.job.steps.get(usize::from(id.step))?;
        let team = entry.team.clone();
        let cap = team.as_deref().and_then(|team| context.configuration.team(team));
        let cap = cap.map_or(Size::ZERO, |team| team.cap);
        let (job, policy) = (Rc::clone(&entry.job), Rc::clone(&entry.policy));
        let run_priority = match candidate.urgency {
            Urgency::Regular => policy.priority,
            Urgency::Expired | Urgency::BeyondShare => YIELDING_PRIORITY,
        };
        let refusals = entry.stages.get(&(id.occurrence, id.step)).map(|stage| &stage.refusals);
        let left_out = refusals.into_iter().flatten();
        let left_out = left_out.filter(|(_, until)| *until > context.now);
        let left_out = left_out.map(|(worker, _)| Rc::clone(worker)).collect();
        Some(Demand { id, job, policy, team, cap, run_priority, left_out })
    }

    /// Returns whether the team's quota allows this much more usage.
    pub(super) fn within_cap(&self, demand: &Demand, more: &Size, round: &Round) -> bool {
        let Some(team) = &demand.team else { return true };
        let booked = self.usage.get(team).copied().unwrap_or(Size::ZERO);
        let uncertain = round.uncertain.get(team).copied().unwrap_or(Size::ZERO);
        let used = booked.plus(&uncertain).plus(more);
        let exceeds = |(used, cap): (u64, u64)| cap > 0 && used > cap;
        !used.parts().into_iter().zip(demand.cap.parts()).any(exceeds)
    }

    /// Returns whether the stage needs no approval or has a valid ticket for the worker.
    pub(super) fn has_ticket(
        demand: &Demand,
        stage: &Stage,
        worker: &PoolWorker,
        now: Uptime,
    ) -> bool {
        demand.policy.approval.is_none()
            || stage.approvals.get(&worker.key).is_some_and(|cached| {
                cached.ticket.is_some()
                    && cached.incarnation == worker.incarnation
                    && cached.expires > now
            })
    }

    /// Returns the number of further tasks of the stage that fit into the free capacity of a worker.
    pub(super) fn count_fitting(demand: &Demand, session: &Session, free: &Size) -> u32 {
        let fits = fits(&demand.step().booking(), free);
        match demand.step().per_worker_max {
            0 => fits,
            limit => {
                let present = session.placements.range(demand.id.tasks()).count();
                fits.min(limit.saturating_sub(u32::try_from(present).unwrap_or(u32::MAX)))
            }
        }
    }

    /// Returns the cost of placing the next task on a worker, compared by field; the lowest is chosen. Avoided workers
    /// come last, then workers on which best-effort tasks and tasks with a latency target would meet, then workers far
    /// from the data. Among the others, the worker with the least capacity left wins, or for a best-effort step the
    /// one with the most free capacity.
    pub(super) fn cost(
        &self,
        demand: &Demand,
        worker: &PoolWorker,
        now: Uptime,
    ) -> (bool, bool, bool, u64) {
        let step = demand.step();
        let conflicts = match step.best_effort {
            true => worker.has_latency_target,
            false => step.latency_target > Duration::ZERO && worker.has_best_effort,
        };
        let far = !step.data_rack.is_empty()
            && self
                .sessions
                .get(&worker.key)
                .is_none_or(|session| session.rack() != step.data_rack);
        let free = self.free(demand, worker, now);
        let left = match step.best_effort {
            // Best-effort tasks run on idle capacity.
            true => 1.0 - free.dominant_share(&worker.capacity),
            false => free.minus(&step.booking()).dominant_share(&worker.capacity),
        };
        (worker.avoided, conflicts, far, (left * 1e6) as u64)
    }

    fn place_tasks(
        &mut self,
        demand: &Demand,
        tasks_max: usize,
        pool_workers: &mut [PoolWorker],
        round: &Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage(demand.id) else { return };
        // No more than these can start before answers arrive.
        let others = stage.waiting_sound(tasks_max.min(STARTS_IN_FLIGHT_MAX));
        let suspects = stage.waiting_suspects();
        // Workers with their costs. Only the cost of the chosen worker changes.
        let mut eligible: Vec<_> = pool_workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.held_for.is_none())
            .filter(|(_, worker)| self.count_fitting_on_worker(demand, worker, now) > 0)
            .filter(|(_, worker)| Self::has_ticket(demand, stage, worker, now))
            .filter(|(_, worker)| self.suits(demand, worker))
            .map(|(position, worker)| (position, self.cost(demand, worker, now)))
            .collect();
        for index in others {
            if eligible.is_empty() || !self.within_cap(demand, &demand.step().size, round) {
                break;
            }
            let task = self.stage(demand.id).and_then(|stage| stage.task(index));
            let failed_on = task.and_then(|task| task.failed_on.clone());
            let best = (0..eligible.len()).min_by_key(|at| {
                let (position, cost) = eligible[*at];
                (failed_on.as_ref() == Some(&pool_workers[position].key), cost)
            });
            let Some(at) = best.filter(|_| !self.is_saturated(now)) else { return };
            let worker = &mut pool_workers[eligible[at].0];
            let number = self.allocate_run_number();
            let priority = demand.run_priority;
            self.start(&worker.key, demand.id.task(index), number, priority, context);
            worker.book(demand);
            if self.count_fitting_on_worker(demand, worker, now) == 0 {
                eligible.remove(at);
            } else {
                eligible[at].1 = self.cost(demand, worker, now);
            }
        }
        self.place_suspects(demand, suspects, pool_workers, round, context);
    }

    /// Places all members of a gang at the same time, or none of them.
    fn place_gang(
        &mut self,
        demand: &Demand,
        pool_workers: &mut [PoolWorker],
        round: &Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage(demand.id) else { return };
        let members = stage.count();
        let remains = self.workers_of_tasks.range(demand.id.tasks()).next().is_some();
        // All members of the previous run must have ended first.
        if remains || stage.count_waiting() != members {
            return;
        }
        let all = demand.step().size.times(members.into());
        if !self.within_cap(demand, &all, round) {
            return;
        }
        let suspect = !stage.waiting_suspects().is_empty();
        let mut eligible: Vec<(usize, &Session, u32)> = Vec::new();
        for (position, worker) in pool_workers.iter().enumerate() {
            let tasks_max = self.count_fitting_on_worker(demand, worker, now);
            if tasks_max > 0
                && self.suits(demand, worker)
                && Self::has_ticket(demand, stage, worker, now)
                && let Some(session) = self.sessions.get(&worker.key)
                && !(suspect && session.broken.is_some())
            {
                eligible.push((position, session, tasks_max));
            }
        }
        eligible.sort_by_cached_key(|(position, ..)| {
            let worker = &pool_workers[*position];
            (suspect && worker.on_trial, self.cost(demand, worker, now))
        });
        let fits_all = |eligible: &[(usize, &Session, u32)]| {
            let tasks_max: u64 =
                eligible.iter().map(|(_, _, tasks_max)| u64::from(*tasks_max)).sum();
            tasks_max >= u64::from(members)
        };
        if demand.step().one_rack {
            let racks: BTreeSet<&str> =
                eligible.iter().map(|(_, session, _)| session.rack()).collect();
            let chosen_rack = racks.into_iter().find(|rack| {
                let on_rack: Vec<_> = eligible
                    .iter()
                    .filter(|(_, session, _)| session.rack() == *rack)
                    .cloned()
                    .collect();
                fits_all(&on_rack)
            });
            if let Some(rack) = chosen_rack {
                eligible.retain(|(_, session, _)| session.rack() == rack);
            }
        }
        if !fits_all(&eligible) {
            return;
        }
        let places = eligible.into_iter().flat_map(|(position, _, tasks_max)| {
            std::iter::repeat_n(position, usize::try_from(tasks_max).unwrap_or(usize::MAX))
        });
        let starts: Vec<(u32, usize)> = (0..members).zip(places).collect();
        let positions = starts.iter().map(|(_, position)| *position).collect();
        let number = self.allocate_run_number();
        if !self.prepare_gang(demand, number, &positions, pool_workers, context) {
            return;
        }
        for (index, position) in starts {
            let priority = demand.run_priority;
            let worker = &mut pool_workers[position];
            self.start(&worker.key, demand.id.task(index), number, priority, context);
            if suspect {
                self.put_on_trial(&worker.key, demand.id.task(index));
            }
            worker.book(demand);
        }
    }
}

/// Returns the share of the pool's processors that are booked.
fn used_share(pool_workers: &[PoolWorker]) -> f64 {
    let sum = |size: fn(&PoolWorker) -> u64| {
        pool_workers.iter().map(|worker| size(worker) as f64).sum::<f64>()
    };
    let capacity = sum(|worker| worker.capacity.processors_milli);
    1.0 - sum(|worker| worker.free.processors_milli) / capacity.max(1.0)
}

/// Returns how many times a booking fits into the free capacity.
pub(super) fn fits(booking: &Size, free: &Size) -> u32 {
    let parts = booking.parts().into_iter().zip(free.parts());
    let fits = parts.filter(|(need, _)| *need > 0).map(|(need, have)| have / need).min();
    u32::try_from(fits.unwrap_or(u64::from(u32::MAX))).unwrap_or(u32::MAX)
}
