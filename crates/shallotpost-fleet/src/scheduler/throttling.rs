//! Throttling of best-effort tasks that slow down tasks with a latency target on the same worker.

use crate::prelude::*;
use crate::scheduler::session::{Phase, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Minimum time between two changes of one run: the gauge covers half a second, and a change takes effect after a tenth
/// of a second.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(700);

/// Ratio of latency to target above which best-effort tasks are throttled. Interference changes within seconds.
const THROTTLE_ABOVE: f64 = 0.8;

/// Ratio of latency to target below which best-effort tasks are sped up again.
const SPEED_UP_BELOW: f64 = 0.5;

const SPEED_UP_STEP_PERCENT: u32 = 10;

impl Scheduler {
    /// Adjusts the speed of best-effort tasks on workers that also run tasks with a latency target.
    pub(super) fn adjust_throttles(&mut self, context: &mut Context) {
        let mut orders: Vec<(WorkerKey, TaskId, u64, u32)> = Vec::new();
        for (worker, session) in &mut self.sessions {
            let Some(ratio) = worst_latency_ratio(session.placements.values()) else { continue };
            for (task, run) in &mut session.placements {
                let recent = context.now.saturating_sub(run.speed_changed) < THROTTLE_INTERVAL;
                if !run.best_effort || run.phase != Phase::Running || recent {
                    continue;
                }
                let speed_percent = match ratio {
                    ratio if ratio > THROTTLE_ABOVE => run.speed_percent / 4,
                    ratio if ratio < SPEED_UP_BELOW => {
                        (run.speed_percent + SPEED_UP_STEP_PERCENT).min(100)
                    }
                    _ => run.speed_percent,
                };
                if speed_percent != run.speed_percent {
                    run.speed_percent = speed_percent;
                    run.speed_changed = context.now;
                    orders.push((Rc::clone(worker), *task, run.number, speed_percent));
                }
            }
        }
        for (worker, task, number, percent) in orders {
            self.send_throttle(&worker, task, number, percent, context);
        }
    }
}

/// Returns the highest ratio of latency to target; `None` if no run has a latency target.
fn worst_latency_ratio<'a>(
    placements: impl Iterator<Item = &'a super::session::Placement>,
) -> Option<f64> {
    let ratio = |run: &super::session::Placement| {
        let target = run.latency_target?.as_secs_f64() * 1e3;
        Some(run.gauge.unwrap_or_default() / target)
    };
    placements.filter_map(ratio).max_by(f64::total_cmp)
}
