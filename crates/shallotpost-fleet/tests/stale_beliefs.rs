//! What an owner believes of jobs, runs and rooms, against what is. Guards against jobs that stand because of it.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Schedule};
use shallotpost_fleet::port::Action;
use support::{Simulation, UNIX_MS, job, ms, step, task};

const SCHEDULED: JobId = 0x22;

/// Returns a fleet with a job of two steps whose first and only occurrence is due, and the owner. The time of day of the
/// other hosts is a minute behind. The two tasks of the first step have just started.
fn clocks_behind(first_step: Duration) -> (Simulation, String) {
    let mut sim = Simulation::new(&["a", "b", "c"], 4);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    let owner = sim.owner().expect("there is an owner");
    for host in ["a", "b", "c"].into_iter().filter(|host| *host != owner) {
        sim.clock_offsets.insert(host.to_owned(), -60_000);
    }
    let mut second = step(1, 3000);
    second.after = vec![0];
    let mut scheduled = job(vec![step(2, 300), second]);
    let first_unix_ms = UNIX_MS + u64::try_from(sim.now.as_millis()).expect("time fits") + 500;
    scheduled.schedule = Some(Schedule { occurrences: 1, first_unix_ms, interval: ms(1000) });
    for worker in sim.workers.values_mut() {
        worker.job_durations.insert(SCHEDULED, first_step);
    }
    let action = Action::Submit(Ok(Box::new(scheduled)));
    sim.request(&owner, "/batch/0000000000000022", Some("key-a"), action);
    sim.run_until(Duration::from_secs(3), "a start", |sim| sim.starts_of_job(SCHEDULED) == 2);
    (sim, owner)
}

/// Checks that the successor starts the second step, and the tasks of the first one only once.
fn check_second_step(sim: &mut Simulation) {
    sim.run(Duration::from_secs(25));
    let starts = sim.starts(task(SCHEDULED, 1, 0));
    assert!(starts > 0 || sim.is_open(SCHEDULED), "the job is complete without its second step");
    assert!(starts > 0, "the second step was not started within 25 s");
    let first = [0, 1].map(|index| sim.starts(task(SCHEDULED, 0, index)));
    assert_eq!(first, [1, 1], "tasks of the first step were repeated");
}

/// A successor whose time of day is behind left out the steps of an occurrence of which nothing was stored.
#[test]
fn clock_behind() {
    let (mut sim, owner) = clocks_behind(ms(300));
    // The first step is done and stored; the second one has not been started.
    sim.run(ms(250));
    sim.workers.values_mut().for_each(|worker| worker.loses_starts = true);
    sim.run(ms(150));
    sim.kill_host(&owner);
    sim.workers.values_mut().for_each(|worker| worker.loses_starts = false);
    check_second_step(&mut sim);
}

/// A successor whose time of day is behind dropped ends in an occurrence that it had not begun.
#[test]
fn clock_behind_ends() {
    let (mut sim, owner) = clocks_behind(ms(300));
    sim.kill_host(&owner);
    check_second_step(&mut sim);
}

/// A successor whose time of day is behind stopped the runs of an occurrence that it had not begun.
#[test]
fn clock_behind_runs() {
    let (mut sim, owner) = clocks_behind(Duration::from_secs(8));
    sim.kill_host(&owner);
    check_second_step(&mut sim);
}
