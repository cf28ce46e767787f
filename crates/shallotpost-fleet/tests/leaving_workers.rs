//! Draining workers that leave while tasks run there. Guards against a task that runs again although it was done, and against
//! one that waits for the lease of a worker that has left.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use support::{Simulation, ms, step, task};

const JOB: JobId = 0x51;
const LEAVING: &str = "w0";
const OTHER: &str = "w1";

/// Minimum time until the worker leaves, as it reports when it begins to drain.
const DRAIN: Duration = Duration::from_secs(3);

/// Time for which it stays beyond that.
const LINGER: Duration = Duration::from_secs(2);

/// Returns a fleet in which two tasks of a job run on the worker that is to leave, and the time at which they started.
fn fleet(time: Duration) -> (Simulation, Duration) {
    let mut sim = Simulation::new(&["a", "b", "c"], 0);
    sim.add_worker(LEAVING, 4000);
    sim.run(Duration::from_secs(5));
    sim.submit_lasting("batch", JOB, vec![step(2, 8000)], time);
    sim.wait_for_start(JOB, 2);
    sim.add_worker(OTHER, 4000);
    sim.workers.get_mut(OTHER).expect("a worker").job_durations.insert(JOB, time);
    let started = sim.workers[LEAVING].starts[0].0;
    (sim, started)
}

fn drain(sim: &mut Simulation, remaining: Option<Duration>) {
    if let Some(remaining) = remaining {
        sim.drain_remaining.insert(LEAVING.to_owned(), remaining);
    }
    sim.register(LEAVING, true);
}

fn leave(sim: &mut Simulation) {
    sim.kill_worker(LEAVING, false);
    sim.unregister(LEAVING);
}

/// Returns how often the tasks were done, on both workers together.
fn times_done(sim: &Simulation) -> Vec<usize> {
    let done = |index| {
        let of_task = |worker: &support::worker::Worker| {
            worker.done.iter().filter(|done| **done == task(JOB, 0, index)).count()
        };
        sim.workers.values().map(of_task).sum()
    };
    vec![done(0), done(1)]
}

/// The runs ended 2 ms before the worker left, and the answer that listed their ends was lost with its connections. The
/// tasks started again once the lease had lapsed.
#[test]
fn ends_in_the_last_moment() {
    let time = Duration::from_secs(8);
    let (mut sim, started) = fleet(time);
    let leaves = started + time + ms(2);
    let begins = leaves - DRAIN - LINGER;
    sim.run(begins - sim.now);
    drain(&mut sim, Some(DRAIN));
    sim.run(leaves - sim.now);
    leave(&mut sim);
    sim.run(Duration::from_secs(20));
    assert_eq!(times_done(&sim), [1, 1]);
    assert_eq!(sim.twice(), Vec::<String>::new());
}

/// Tasks that were not done when the worker left waited for its lease.
#[test]
fn long_tasks() {
    let (mut sim, _) = fleet(Duration::from_secs(30));
    drain(&mut sim, Some(DRAIN));
    sim.run(DRAIN + LINGER);
    leave(&mut sim);
    let restarted = sim.workers[OTHER].running().count();
    assert_eq!(restarted, 2, "tasks that go on elsewhere when the worker leaves");
    sim.check_invariants();
}

/// Runs are stopped neither on a worker that does not tell when it leaves, nor on one that no longer drains, nor long before
/// the departure.
#[test]
fn runs_that_go_on() {
    let time = Duration::from_secs(8);
    for (case, remaining, ready_after) in [
        ("no time told", None, None),
        ("leaves late", Some(Duration::from_secs(30)), None),
        ("drains no longer", Some(DRAIN), Some(ms(1000))),
    ] {
        let (mut sim, _) = fleet(time);
        drain(&mut sim, remaining);
        if let Some(after) = ready_after {
            sim.run(after);
            sim.register(LEAVING, false);
        }
        sim.run(Duration::from_secs(12));
        assert_eq!(sim.starts_of_job(JOB), 2, "{case}: starts");
        assert_eq!(times_done(&sim), [1, 1], "{case}");
    }
}
