//! Preemption: runs of lower priority make room for stages that cannot wait.

use crate::port::Counter;
use crate::prelude::*;
use crate::scheduler::placement::Demand;
use crate::scheduler::round::{Round, Slot};
use crate::scheduler::session::{Phase, Placement, Reservation, Session, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Time for which a stage waits for room before it preempts. Most rooms free up by themselves within it.
const PREEMPT_AFTER: Duration = Duration::from_millis(20);

/// Pause between two preemptions for one stage: the stopped runs must end first.
const PREEMPT_PAUSE: Duration = Duration::from_millis(300);

/// A run without checkpoints is preempted only while it is younger than this; later too much work is lost.
const PREEMPT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Most stages of one round for which runs are preempted.
const PREEMPTIONS_PER_ROUND: u32 = 6;

/// What a preemption stops, and the room that it makes.
#[derive(Default)]
struct Plan {
    victims: Vec<(WorkerKey, TaskId, u64)>,
    /// Number of tasks of the stage that fit then, by worker.
    rooms: Vec<(WorkerKey, u64)>,
}

impl Scheduler {
    /// Stops runs of lower priority to make room for the tasks of a stage that still wait.
    pub(super) fn preempt(
        &mut self,
        demand: &Demand,
        slots: &[Slot],
        round: &mut Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage_mut(demand.id) else { return };
        let waiting = stage.waiting().len();
        if waiting == 0 || stage.verdicts.is_empty() && demand.terms.approval.is_some() {
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
        let plan = self.plan_preemption(demand, waiting, slots, context);
        if plan.victims.is_empty() {
            return;
        }
        if let Some(stage) = self.stage_mut(demand.id) {
            stage.next_preemption = now + PREEMPT_PAUSE;
        }
        for (worker, tasks) in plan.rooms {
            if let Some(session) = self.sessions.get_mut(&worker) {
                let reservation = Reservation {
                    stage: demand.id,
                    priority: demand.terms.priority,
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

    /// Runs of a worker that may make room for a stage, those that lose the most work first.
    fn preemptible<'a>(
        demand: &Demand,
        session: &'a Session,
        now: Uptime,
    ) -> Vec<(&'a TaskId, &'a Placement)> {
        let mut runs: Vec<_> = session
            .placements
            .iter()
            .filter(|(_, run)| run.phase == Phase::Running && run.preemptible)
            .filter(|(_, run)| run.priority > demand.terms.priority)
            .filter(|(_, run)| run.checkpoints || now.saturating_sub(run.since) < PREEMPT_AGE_MAX)
            .collect();
        // The least work is lost with runs that save their progress and with the youngest ones.
        runs.sort_by_key(|(_, run)| (run.checkpoints, run.since));
        runs
    }

    /// Room that a stage can get on a worker with preemption.
    pub(super) fn obtainable(demand: &Demand, session: &Session, now: Uptime) -> Size {
        let room = session.free().plus(&session.freeing());
        let runs = Self::preemptible(demand, session, now);
        runs.iter().fold(room, |room, (_, run)| room.plus(&run.booking))
    }

    /// Runs to stop so that up to `waiting` tasks fit; for a gang, so that all fit.
    fn plan_preemption(
        &self,
        demand: &Demand,
        waiting: usize,
        slots: &[Slot],
        context: &Context,
    ) -> Plan {
        let now = context.now;
        let mut plan = Plan::default();
        let Some(stage) = self.stage(demand.id) else { return plan };
        let booking = demand.step().booking();
        let mut missing = waiting;
        let mut workers: Vec<_> = self.suitable(demand, slots).collect();
        // Fewer runs are stopped where more room is free.
        workers.sort_by_cached_key(|(_, session)| {
            let free = session.free().plus(&session.freeing());
            std::cmp::Reverse((free.dominant_share(&session.registration.capacity) * 1e6) as u64)
        });
        for (slot, session) in workers {
            // The stopped runs take some time to end, and the ticket must still be valid then.
            if !Self::has_ticket(demand, stage, slot, now + PREEMPT_PAUSE) {
                continue;
            }
            let mut free = session.free().plus(&session.freeing());
            let mut runs = Self::preemptible(demand, session, now);
            let mut room = Self::room(demand, session, &free);
            let mut fitted = 0;
            loop {
                let fitting = usize::try_from(room).unwrap_or(usize::MAX).min(missing);
                missing -= fitting;
                fitted += fitting as u64;
                free = free.minus(&booking.times(fitting as u64));
                if missing == 0 {
                    break;
                }
                let mut chosen = Vec::new();
                while Self::room(demand, session, &free) == 0 {
                    let Some((task, run)) = runs.pop() else { break };
                    free = free.plus(&run.booking);
                    chosen.push((Rc::clone(&slot.key), *task, run.number));
                }
                room = Self::room(demand, session, &free);
                if room == 0 || chosen.is_empty() {
                    break;
                }
                plan.victims.append(&mut chosen);
            }
            if fitted > 0 {
                plan.rooms.push((Rc::clone(&slot.key), fitted));
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
