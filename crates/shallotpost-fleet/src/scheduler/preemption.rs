//! Preemption: runs of lower priority are stopped in favour of stages that have waited too long.

use crate::port::Counter;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{PoolWorker, Round};
use crate::scheduler::session::{Phase, Placement, Reservation, Session, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Time for which a stage waits for capacity before it preempts. In most cases capacity becomes free within this time.
const PREEMPT_AFTER: Duration = Duration::from_millis(20);

/// Pause between two preemptions in favour of one stage: the stopped runs must end first.
const PREEMPT_PAUSE: Duration = Duration::from_millis(300);

/// Maximum age at which a run without checkpoints is preempted. An older run would lose too much work.
const PREEMPT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Maximum number of stages per round in whose favour runs are preempted.
const PREEMPTIONS_PER_ROUND: u32 = 6;

/// Runs that a preemption stops, and the tasks that fit afterwards.
#[derive(Default)]
struct Plan {
    victims: Vec<(WorkerKey, TaskId, u64)>,
    /// Number of tasks of the stage that fit after the preemption, by worker.
    fitting_tasks: Vec<(WorkerKey, u64)>,
}

impl Scheduler {
    /// Stops runs of lower priority in favour of the waiting tasks of a stage.
    pub(super) fn preempt(
        &mut self,
        demand: &Demand,
        pool_workers: &[PoolWorker],
        round: &mut Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage_mut(demand.id) else { return };
        let waiting = stage.count_waiting() as usize;
        if waiting == 0 || stage.approvals.is_empty() && demand.policy.approval.is_some() {
            stage.blocked_since = None;
            return;
        }
        let since = *stage.blocked_since.get_or_insert(now);
        if now.saturating_sub(since) < PREEMPT_AFTER || stage.next_preemption > now {
            return;
        }
        let exhausted = round.preemptions >= PREEMPTIONS_PER_ROUND;
        if exhausted || !self.within_cap(demand, &demand.step().size, round) {
            return;
        }
        round.preemptions += 1;
        let plan = self.plan_preemption(demand, waiting, pool_workers, context);
        if plan.victims.is_empty() {
            return;
        }
        if let Some(stage) = self.stage_mut(demand.id) {
            stage.next_preemption = now + PREEMPT_PAUSE;
        }
        for (worker, tasks) in plan.fitting_tasks {
            if let Some(session) = self.sessions.get_mut(&worker) {
                let reservation = Reservation {
                    stage: demand.id,
                    priority: demand.policy.priority,
                    size: demand.step().booking().times(tasks),
                    until: now + PREEMPT_PAUSE,
                };
                session.reserve(reservation, now);
            }
        }
        for (worker, task, number) in plan.victims {
            let fields = vec![
                ("task", task.to_string()),
                ("worker", worker.to_string()),
                ("for", demand.id.to_string()),
            ];
            context.log("preempted", fields);
            context.outputs.push(Output::Count { counter: Counter::Preemptions, amount: 1 });
            self.send_stop(&worker, task, number, context);
        }
    }

    /// Returns the runs of a worker that may be preempted in favour of a stage, in descending order of the work that is
    /// lost.
    fn preemptible<'a>(
        demand: &Demand,
        session: &'a Session,
        now: Uptime,
    ) -> Vec<(&'a TaskId, &'a Placement)> {
        let mut runs: Vec<_> = session
            .placements
            .iter()
            .filter(|(_, run)| run.phase == Phase::Running && run.preemptible)
            .filter(|(_, run)| run.priority > demand.policy.priority)
            .filter(|(_, run)| run.checkpoints || now.saturating_sub(run.started) < PREEMPT_AGE_MAX)
            .collect();
        // The least work is lost with runs that write checkpoints, and then with the youngest runs.
        runs.sort_by_key(|(_, run)| (run.checkpoints, run.started));
        runs
    }

    /// Returns the capacity that a stage can get on a worker with preemption.
    pub(super) fn capacity_with_preemption(
        demand: &Demand,
        session: &Session,
        now: Uptime,
    ) -> Size {
        let runs = Self::preemptible(demand, session, now);
        let freed = runs.iter().fold(session.freeing(), |sum, (_, run)| sum.plus(&run.booking));
        session.free_after(&freed)
    }

    /// Plans which runs to stop so that up to `waiting` tasks fit; for a gang, so that all of them fit.
    fn plan_preemption(
        &self,
        demand: &Demand,
        waiting: usize,
        pool_workers: &[PoolWorker],
        context: &Context,
    ) -> Plan {
        let now = context.now;
        let mut plan = Plan::default();
        let Some(stage) = self.stage(demand.id) else { return plan };
        let booking = demand.step().booking();
        let mut missing = waiting;
        let mut suitable_workers: Vec<_> = self.suitable(demand, pool_workers).collect();
        // Fewer runs have to be stopped on workers with more free capacity, and most on those whose capacity has shrunk.
        suitable_workers.sort_by_cached_key(|(_, session)| {
            let capacity = &session.registration.capacity;
            let booked = session.used.minus(&session.freeing());
            let share = |size: Size| (size.dominant_share(capacity) * 1e6) as u64;
            let (excess, free) = (booked.minus(capacity), capacity.minus(&booked));
            (share(excess), std::cmp::Reverse(share(free)))
        });
        for (worker, session) in suitable_workers {
            // The stopped runs take some time to end, and the ticket must still be valid then.
            if !Self::has_ticket(demand, stage, worker, now + PREEMPT_PAUSE) {
                continue;
            }
            let mut freed = session.freeing();
            let mut placed = Size::ZERO;
            let mut free = session.free_after(&freed);
            let mut runs = Self::preemptible(demand, session, now);
            let mut tasks_max = Self::count_fitting(demand, session, &free);
            let mut fitted = 0;
            loop {
                let fitting = usize::try_from(tasks_max).unwrap_or(usize::MAX).min(missing);
                missing -= fitting;
                fitted += fitting as u64;
                placed = placed.plus(&booking.times(fitting as u64));
                free = session.free_after(&freed).minus(&placed);
                if missing == 0 {
                    break;
                }
                let mut chosen = Vec::new();
                while Self::count_fitting(demand, session, &free) == 0 {
                    let Some((task, run)) = runs.pop() else { break };
                    freed = freed.plus(&run.booking);
                    free = session.free_after(&freed).minus(&placed);
                    chosen.push((Rc::clone(&worker.key), *task, run.number));
                }
                tasks_max = Self::count_fitting(demand, session, &free);
                if tasks_max == 0 || chosen.is_empty() {
                    break;
                }
                plan.victims.append(&mut chosen);
            }
            if fitted > 0 {
                plan.fitting_tasks.push((Rc::clone(&worker.key), fitted));
            }
            if missing == 0 {
                return plan;
            }
        }
        match demand.step().gang {
            true => Plan::default(),
            false => plan,
        }
    }
}
