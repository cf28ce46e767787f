//! Speeds of best-effort tasks that change by other means than the owner's last answered call. Guards against a task that stays
//! slowed down for as long as it runs.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Step};
use support::restarts::late;
use support::{CallKind, Simulation, ms, step};

const SERVING: JobId = 0x820;
const FILLING: JobId = 0x821;

/// Latency of the serving task in milliseconds, far above and far below its target.
const HIGH: f64 = 150.0;
const LOW: f64 = 10.0;

/// Time within which a task is back at full speed once the latency is low: ten steps of 0.7 s, and one more for each call that
/// is repeated.
const RECOVERY: Duration = Duration::from_secs(12);

/// Returns a fleet with a serving and a best-effort task on its only worker.
fn fleet() -> Simulation {
    let mut sim = Simulation::settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(300));
    let serving = Step { long_running: true, latency_target: ms(100), ..step(1, 300) };
    sim.submit("a", "batch", SERVING, vec![serving]);
    sim.submit("a", "batch", FILLING, vec![Step { best_effort: true, ..step(1, 300_000) }]);
    sim.run(ms(500));
    sim
}

fn set_latency(sim: &mut Simulation, latency: f64) {
    let worker = sim.workers.get_mut("w0").expect("a worker");
    worker.gauges.insert(SERVING, latency);
}

/// Returns the speed that the worker was last told.
fn speed(sim: &Simulation) -> Option<u32> {
    sim.workers["w0"].throttles.last().map(|(_, percent)| *percent)
}

/// A successor took a run that its predecessor had slowed down for one at full speed. Guards against a task that no owner
/// speeds up again.
#[test]
fn new_owner() {
    let mut sim = fleet();
    set_latency(&mut sim, HIGH);
    sim.run(ms(1500));
    assert!(speed(&sim) < Some(50), "{:?}", speed(&sim));
    let owner = sim.owner().expect("an owner");
    sim.kill_host(&owner);
    set_latency(&mut sim, LOW);
    sim.run_until(Duration::from_secs(6), "a successor", |sim| sim.owner().is_some());
    sim.run(RECOVERY);
    assert_eq!(speed(&sim), Some(100));
}

/// A worker carried out a slow-down after all later calls. Guards against an owner that takes the last call that it sent for
/// the last one that was carried out.
#[test]
fn late_call() {
    for delay in [1500, 4000, 9000, 11_500] {
        let mut sim = fleet();
        late(&mut sim, CallKind::Throttle, 1, ms(delay));
        set_latency(&mut sim, HIGH);
        sim.run_until(Duration::from_secs(2), "a late call", |sim| sim.late_calls[0].count == 0);
        set_latency(&mut sim, LOW);
        sim.run(ms(delay) + RECOVERY);
        assert_eq!(speed(&sim), Some(100), "{delay} ms late");
    }
}

/// The last speed-up was lost. Guards against a task that stays just below, or far below, full speed.
#[test]
fn lost_call() {
    let mut sim = fleet();
    set_latency(&mut sim, HIGH);
    sim.run(ms(1000));
    assert!(speed(&sim) < Some(50), "{:?}", speed(&sim));
    late(&mut sim, CallKind::Throttle, 8, Duration::from_secs(3600));
    set_latency(&mut sim, LOW);
    sim.run(RECOVERY);
    assert_eq!(speed(&sim), Some(100));
}

/// The serving task left the worker while another one was slowed down in its favour. Guards against a task that stays slow
/// beside none.
#[test]
fn serving_task_gone() {
    let mut sim = fleet();
    set_latency(&mut sim, HIGH);
    sim.run(ms(1500));
    assert!(speed(&sim) < Some(50), "{:?}", speed(&sim));
    let path = format!("/batch/{SERVING:016x}");
    sim.request("a", &path, Some("key-a"), shallotpost_fleet::port::Action::Cancel);
    sim.run(RECOVERY);
    assert_eq!(speed(&sim), Some(100));
}
