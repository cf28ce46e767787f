//! Preemption: runs of lower priority make room for stages that cannot wait.

use crate::port::Counter;
use crate::prelude::*;
use crate::scheduler::placement::{Demand, Round};
use crate::scheduler::session::{Phase, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Time for which a stage waits for room before it preempts. Most rooms free up by themselves within it.
const PREEMPT_AFTER: Duration = Duration::from_millis(20);

/// Pause between two preemptions for one stage: the stopped runs must end first.
const PREEMPT_PAUSE: Duration = Duration::from_millis(300);

/// A run without checkpoints is preempted only while it is younger than this; later too much work is lost.
const PREEMPT_AGE_MAX: Duration = Duration::from_millis(1500);

/// Most stages of one round for which runs are preempted.
const PREEMPTIONS_PER_ROUND: u32 = 6;

impl Scheduler {
    /// Stops runs of lower priority to make room for the tasks of a stage that still wait.
    pub(super) fn preempt(&mut self, demand: &Demand, round: &mut Round, context: &mut Context) {
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
        if exhausted || !self.within_cap(demand, &demand.step.size, round) {
            return;
        }
        round.preemptions += 1;
        let victims = self.victims(demand, waiting, round, context);
        if victims.is_empty() {
            return;
        }
        if let Some(stage) = self.stage_mut(demand.id) {
            stage.next_preemption = now + PREEMPT_PAUSE;
        }
        for (worker, task, number) in victims {
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

    /// Runs to stop so that up to `waiting` tasks fit.
    fn victims(
        &self,
        demand: &Demand,
        waiting: usize,
        round: &Round,
        context: &Context,
    ) -> Vec<(WorkerKey, TaskId, u64)> {
        let now = context.now;
        let Some(stage) = self.stage(demand.id) else { return Vec::new() };
        let booking = demand.step.booking();
        let mut victims = Vec::new();
        let mut missing = waiting;
        for (key, session) in self.suitable(demand, round) {
            let approved = demand.terms.approval.is_none()
                || stage.verdicts.get(key).is_some_and(|verdict| {
                    verdict.ticket.is_some() && verdict.life == session.life
                });
            if !approved {
                continue;
            }
            let mut free = session.free().plus(&session.freeing());
            let mut runs: Vec<_> = session
                .placements
                .iter()
                .filter(|(_, run)| run.phase == Phase::Running && run.preemptible)
                .filter(|(_, run)| run.priority > demand.terms.priority)
                .filter(|(_, run)| {
                    run.checkpoints || now.saturating_sub(run.since) < PREEMPT_AGE_MAX
                })
                .collect();
            // The least work is lost with runs that save their progress and with the youngest ones.
            runs.sort_by_key(|(_, run)| (run.checkpoints, run.since));
            let mut room = Self::room(demand, session, &free);
            loop {
                let fitting = usize::try_from(room).unwrap_or(usize::MAX).min(missing);
                missing -= fitting;
                if missing == 0 {
                    return victims;
                }
                free = free.minus(&booking.times(fitting as u64));
                let mut chosen = Vec::new();
                while Self::room(demand, session, &free) == 0 {
                    let Some((task, run)) = runs.pop() else { break };
                    free = free.plus(&run.booking);
                    chosen.push((Rc::clone(key), *task, run.number));
                }
                room = Self::room(demand, session, &free);
                if room == 0 || chosen.is_empty() {
                    break;
                }
                victims.append(&mut chosen);
            }
        }
        victims
    }
}
