//! Workers whose capacity shrinks and grows while they run tasks. Guards against overcommitted workers, and against runs
//! that are stopped although nothing fits in their place.

mod support;

use std::time::Duration;

use shallotpost_fleet::progress::State;
use shallotpost_protocol::size::Size;
use support::{Simulation, ms, step};

const LONG: u64 = 0x51;
const NEXT: u64 = 0x52;

/// Returns a fleet that has finished starting, in which all workers are full with runs of the job `LONG`.
fn full(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    for worker in sim.workers.values_mut() {
        worker.job_durations.insert(LONG, Duration::from_secs(4));
    }
    let tasks = u32::try_from(workers * 4).expect("few workers");
    sim.submit("a", "batch", LONG, vec![step(tasks, 4000)]);
    sim.run(ms(300));
    assert_eq!(sim.workers["w0"].running().count(), 4);
    sim
}

fn resize(sim: &mut Simulation, worker: &str, processors_milli: u64) {
    let capacity = &mut sim.workers.get_mut(worker).expect("a worker").capacity;
    *capacity = Size { processors_milli, ..*capacity };
    sim.register(worker, false);
}

fn running(sim: &Simulation, worker: &str, job: u64) -> usize {
    sim.workers[worker].running().filter(|task| task.stage.job == job).count()
}

/// A worker that has shrunk below what runs there gets no task until enough has ended, and is full again when it grows.
#[test]
fn shrunk_worker_fills_no_gap() {
    let mut sim = full(1);
    resize(&mut sim, "w0", 2000);
    sim.workers.get_mut("w0").expect("a worker").duration = Duration::from_secs(3);
    sim.run(ms(500));
    sim.submit("a", "batch", NEXT, vec![step(8, 3000)]);
    while sim.now < Duration::from_secs(9) {
        sim.run(ms(20));
        assert!(running(&sim, "w0", LONG) == 0 || running(&sim, "w0", NEXT) == 0);
        assert!(running(&sim, "w0", NEXT) <= 2, "the worker is overcommitted");
    }
    assert_eq!(running(&sim, "w0", NEXT), 2);
    resize(&mut sim, "w0", 4000);
    sim.run(ms(500));
    assert_eq!(running(&sim, "w0", NEXT), 4);
}

/// A shrunk capacity holds after a takeover as well.
#[test]
fn shrunk_worker_after_takeover() {
    let mut sim = full(1);
    resize(&mut sim, "w0", 1000);
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    sim.submit(other, "urgent", NEXT, vec![step(4, 300)]);
    let mut started = false;
    while sim.now < Duration::from_secs(12) {
        sim.run(ms(20));
        let next = running(&sim, "w0", NEXT);
        started |= next > 0;
        let used = next + running(&sim, "w0", LONG);
        assert!(next == 0 || used <= 1, "{next} started among {used}");
    }
    assert!(started);
    assert_eq!(sim.state(other, "urgent", NEXT), Some(State::Completed));
}

/// Runs were stopped on a worker that had shrunk so far that their room was not free afterwards: the negative room counted
/// as none.
#[test]
fn preemption_counts_missing_room() {
    let mut sim = full(2);
    resize(&mut sim, "w0", 1000);
    sim.run(ms(200));
    sim.submit("a", "urgent", NEXT, vec![step(1, 300)]);
    sim.run(ms(150));
    let stopped = |sim: &Simulation| 8 - running(sim, "w0", LONG) - running(sim, "w1", LONG);
    sim.run(ms(250));
    assert_eq!(running(&sim, "w0", LONG), 4, "runs on the shrunk worker were stopped in vain");
    assert_eq!(stopped(&sim), 1);
    sim.run(ms(200));
    assert_eq!(sim.state("a", "urgent", NEXT), Some(State::Completed));
}
