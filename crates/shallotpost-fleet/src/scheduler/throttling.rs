//! Throttling of best-effort tasks that slow down tasks with a latency target on the same worker.

use crate::prelude::*;
use crate::scheduler::session::{FULL_SPEED_PERCENT, Phase, WorkerKey};
use crate::scheduler::{Context, Scheduler};

/// Minimum time between two changes of one run: the gauge covers half a second, and a change takes effect after a tenth
/// of a second.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(700);

/// Ratio of latency to target above which best-effort tasks are throttled. Interference changes within seconds.
const THROTTLE_ABOVE: f64 = 0.8;

/// Ratio of latency to target below which best-effort tasks are sped up again.
const SPEED_UP_BELOW: f64 = 0.5;

const SPEED_UP_STEP_PERCENT: u32 = 10;

/// Interval at which the speed of a run that was limited is sent again. A call may be lost, and a worker may carry out an
/// earlier one up to 12 s late.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Adjusts the speed of best-effort tasks on workers that also run tasks with a latency target, and speeds the others
    /// up.
    pub(super) fn adjust_throttles(&mut self, context: &mut Context) {
        let mut orders: Vec<(WorkerKey, TaskId, u64, u32)> = Vec::new();
        for (worker, session) in &mut self.sessions {
            if session.best_effort == 0 {
                continue;
            }
            let ratio = worst_latency_ratio(session.placements.values()).unwrap_or_default();
            for (task, run) in &mut session.placements {
                let unchanged = context.now.saturating_sub(run.speed_changed);
                if !run.best_effort || run.phase != Phase::Running || unchanged < THROTTLE_INTERVAL
                {
                    continue;
                }
                let speed_percent = match ratio {
                    ratio if ratio > THROTTLE_ABOVE => run.speed_percent / 4,
                    ratio if ratio < SPEED_UP_BELOW => {
                        (run.speed_percent + SPEED_UP_STEP_PERCENT).min(FULL_SPEED_PERCENT)
                    }
                    _ => run.speed_percent,
                };
                let due = match run.speed_changed {
                    // An earlier owner may have limited the run. It keeps that speed while the latency is between the bounds.
                    Uptime::ZERO if run.adopted => {
                        !(SPEED_UP_BELOW..=THROTTLE_ABOVE).contains(&ratio)
                    }
                    Uptime::ZERO => false,
                    _ => unchanged >= REPEAT_INTERVAL,
                };
                if due || speed_percent != run.speed_percent {
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
