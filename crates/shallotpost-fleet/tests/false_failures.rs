//! Sound tasks whose workers crash, go silent or are cut off. Guards against jobs that are shown as failed although no task
//! of theirs has failed or crashed a worker, and against suspects that wait for isolation without end.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step, task};

const JOB: u64 = 0x55;

/// Time for which a job may have nothing running although there is capacity.
const IDLE_MAX: Duration = Duration::from_secs(3);

fn assert_completes(sim: &mut Simulation, id: u64, bound: Duration) {
    let end = sim.now + bound;
    loop {
        let host = sim.owner().unwrap_or_else(|| "a".to_owned());
        match sim.state(&host, "batch", id) {
            Some(State::Completed) => return,
            Some(State::Failed) => panic!("job {id:x} is shown as failed"),
            state => assert!(sim.now < end, "job {id:x} is {state:?} after {bound:?}"),
        }
    }
}

/// A start that the worker never got counted as a crash of it, so two workers that had gone down before failed the job.
#[test]
fn starts_without_a_run() {
    let mut sim = Simulation::settled(10);
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.crash_after_start(JOB, 1);
    let owner = sim.owner().expect("an owner");
    sim.run(ms(2900));
    for down in [&[1, 2, 3, 4][..], &[0, 5, 6, 7, 8, 9][..]] {
        // The next start goes to a worker of which the owner has not noticed yet that it is down.
        let names: Vec<String> = down.iter().map(|number| format!("w{number}")).collect();
        for name in &names {
            sim.set_partitioned(&owner, name, true);
        }
        sim.run(ms(2000));
        for name in &names {
            sim.crash(name);
        }
        sim.run(ms(2900));
    }
    sim.run(ms(500));
    for number in 0..10 {
        sim.set_partitioned(&owner, &format!("w{number}"), false);
    }
    let condemns =
        |line: &str| line.starts_with("task_suspected") && line.contains("isolated=true");
    assert!(!sim.logs.iter().any(|(_, _, line)| condemns(line)));
    assert_completes(&mut sim, JOB, Duration::from_secs(15));
}

/// Workers that were cut off until their leases had lapsed counted as crashed. Their processes had run all the time.
#[test]
fn cut_off_workers() {
    let mut sim = Simulation::settled(6);
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.crash_after_start(JOB, 1);
    let owner = sim.owner().expect("an owner");
    let mut cut = BTreeSet::new();
    for starts in 2..=3 {
        sim.run_until(Duration::from_secs(15), "a start", |sim| {
            sim.starts(task(JOB, 0, 0)) == starts
        });
        sim.run(ms(5));
        let runs = |name: &String| sim.workers[name].running().any(|run| run == task(JOB, 0, 0));
        let name = sim.workers_of(JOB).into_iter().find(|name| runs(name) && !cut.contains(name));
        let name = name.expect("a worker");
        sim.set_partitioned(&owner, &name, true);
        cut.insert(name);
    }
    sim.run(Duration::from_secs(8));
    for name in &cut {
        sim.set_partitioned(&owner, name, false);
    }
    assert_completes(&mut sim, JOB, Duration::from_secs(15));
}

/// Losses of different members of a gang added up, and the job failed although no task had lost two isolated runs.
#[test]
fn members_of_a_gang() {
    let mut sim = Simulation::settled(8);
    let gang = Step { gang: true, per_worker_max: 1, ..step(2, 300) };
    sim.submit_lasting("batch", JOB, vec![gang], ms(8000));
    sim.crash_after_start(JOB, 2);
    for index in 0..2 {
        sim.run(ms(200));
        sim.wait_for_start(JOB, 2);
        let runs_member = |worker: &support::worker::Worker| {
            worker.running().any(|running| running == task(JOB, 0, index))
        };
        let mut workers = sim.workers.iter().filter(|(_, worker)| runs_member(worker));
        let name = workers.next().map(|(name, _)| name.clone()).expect("a worker");
        sim.crash(&name);
    }
    assert_completes(&mut sim, JOB, Duration::from_secs(40));
}

/// A task that had lost old runs kept its worker set aside until it was older than they had been, and other suspects found
/// no worker for as long.
#[test]
fn short_isolation() {
    let mut sim = Simulation::settled(8);
    let old = [0x100, 0x200];
    for id in old {
        sim.submit_lasting("batch", id, vec![step(1, 8000)], ms(25_000));
    }
    for _ in 0..2 {
        for id in old {
            sim.wait_for_start(id, 1);
        }
        sim.run(ms(9500));
        for id in old {
            for worker in sim.workers_of(id) {
                sim.crash(&worker);
            }
        }
        sim.run(ms(200));
    }
    for id in old {
        sim.wait_for_start(id, 1);
    }
    sim.run(ms(400));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.crash_after_start(JOB, 1);
    // The run counts as lost when the worker is back.
    sim.run(ms(3100));
    sim.run_until(IDLE_MAX, "an isolated start", |sim| sim.starts(task(JOB, 0, 0)) == 2);
}

/// Suspects of expired jobs gave way to every other stage that waited. They started after the traffic had ended, all at once,
/// and many were left when the users looked at their jobs.
#[test]
fn expired_suspects() {
    let mut sim = Simulation::settled(8);
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.crash_after_start(JOB, 1);
    sim.run(ms(100));
    sim.crash_after_start(JOB, 1);
    sim.submit_lasting("batch", 0x100, vec![step(20, 60_000)], ms(60_000));
    let never_placed = Step { label: "absent".to_owned(), ..step(1, 60_000) };
    sim.submit_lasting("batch", 0x200, vec![never_placed], ms(60_000));
    // The run counts as lost when the worker is back. By then, the job has expired.
    sim.run(ms(3100));
    sim.run_until(IDLE_MAX, "an isolated start", |sim| sim.starts(task(JOB, 0, 0)) == 3);
}
