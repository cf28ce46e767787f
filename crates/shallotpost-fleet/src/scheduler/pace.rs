//! Throttling of tasks that use left-over capacity, where they disturb tasks that serve.

use crate::prelude::*;
use crate::scheduler::session::{Phase, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Least time between two changes on one run; the gauge covers half a second and a change takes a tenth.
const PACE_INTERVAL: Duration = Duration::from_millis(700);

/// Share of the latency target above which fill tasks are throttled. Disturbance changes within seconds.
const THROTTLE_ABOVE: f64 = 0.8;

/// Share of the latency target below which fill tasks are sped up again.
const RELEASE_BELOW: f64 = 0.5;

/// Step by which fill tasks are sped up, in percent.
const RELEASE_STEP: u32 = 10;

impl Scheduler {
    /// Adjusts the share at which fill tasks work beside tasks that serve.
    pub(super) fn adjust_paces(&mut self, context: &mut Context) {
        let mut orders: Vec<(WorkerKey, TaskId, u64, u32)> = Vec::new();
        for (worker, session) in &mut self.sessions {
            let Some(load) = worst_load(session.placements.values()) else { continue };
            for (task, run) in &mut session.placements {
                let recent = context.now.saturating_sub(run.paced) < PACE_INTERVAL;
                if !run.fills || run.phase != Phase::Running || recent {
                    continue;
                }
                let pace = match load {
                    load if load > THROTTLE_ABOVE => run.pace / 4,
                    load if load < RELEASE_BELOW => (run.pace + RELEASE_STEP).min(100),
                    _ => run.pace,
                };
                if pace != run.pace {
                    run.pace = pace;
                    run.paced = context.now;
                    orders.push((Rc::clone(worker), *task, run.number, pace));
                }
            }
        }
        for (worker, task, number, percent) in orders {
            self.send_pace(&worker, task, number, percent, context);
        }
    }
}

/// Highest latency of the serving tasks as a share of their targets; `None` without serving tasks.
fn worst_load<'a>(placements: impl Iterator<Item = &'a super::session::Placement>) -> Option<f64> {
    let load = |run: &super::session::Placement| {
        let target = run.target?.as_secs_f64() * 1e3;
        Some(run.gauge.unwrap_or_default() / target)
    };
    placements.filter_map(load).max_by(f64::total_cmp)
}
