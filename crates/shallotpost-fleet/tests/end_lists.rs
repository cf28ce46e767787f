//! Workers with more ended runs than they list at once, or with ends that cannot be processed yet. Guards against a task
//! that is started again because its end has not been seen.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::message::Message;
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::ENDED_RUNS_MAX;
use support::{Simulation, job, ms, step, task};

const JOB: JobId = 0x61;
const NEXT: JobId = 0x62;
const FOREIGN: JobId = 0x9999;
const WORKER: &str = "w0";

/// Numbers of ends around the length of one list, and many lists.
const COUNTS: [usize; 4] = [ENDED_RUNS_MAX - 1, ENDED_RUNS_MAX, ENDED_RUNS_MAX + 1, 5000];

/// Time of an outage of the store, longer than the lease of the ownership.
const OUTAGE: Duration = Duration::from_secs(6);

/// Returns a fleet with one worker that runs `count` tasks of a job.
fn busy_worker(count: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b", "c"], 0);
    sim.add_worker(WORKER, 6_000_000);
    sim.run(Duration::from_secs(3));
    let tasks = u32::try_from(count).expect("few tasks");
    // The tasks run until the last one has started.
    let time = Duration::from_secs(4 + u64::from(tasks) / 1000);
    sim.submit_lasting("batch", JOB, vec![step(tasks, 900)], time);
    sim.wait_for_start(JOB, count);
    sim
}

fn check(sim: &mut Simulation, count: usize, case: &str) {
    assert_eq!(sim.state("a", "batch", JOB), Some(State::Completed), "{case}");
    assert_eq!(sim.starts_of_job(JOB), count, "{case}: starts");
    sim.check_invariants();
}

/// While the store was away, the worker listed the first ends again and again. Runs whose ends were behind them counted as
/// lost, and their tasks ran a second time.
#[test]
fn outage_of_the_store() {
    for count in COUNTS {
        let mut sim = busy_worker(count);
        sim.run(ms(2000));
        sim.store.down = true;
        sim.run(OUTAGE);
        sim.store.down = false;
        sim.run(Duration::from_secs(12));
        check(&mut sim, count, &format!("{count} ends"));
    }
}

/// All hosts are replaced meanwhile: the new owner learns from several lists what the worker has done.
#[test]
fn takeover_after_an_outage() {
    for count in COUNTS {
        let mut sim = busy_worker(count);
        sim.run(ms(2000));
        sim.store.down = true;
        sim.run(OUTAGE);
        ["a", "b", "c"].iter().for_each(|host| sim.kill_host(host));
        sim.store.down = false;
        ["a", "b", "c"].iter().for_each(|host| sim.start_host(host));
        sim.run(Duration::from_secs(20));
        check(&mut sim, count, &format!("{count} ends"));
    }
}

/// A job of a listed run became known between two lists, and the worker counted as heard before it had listed the rest.
#[test]
fn job_known_between_two_lists() {
    let count = 1200;
    let mut sim = busy_worker(count);
    sim.run(ms(2000));
    sim.store.down = true;
    sim.run(OUTAGE);
    ["a", "b", "c"].iter().for_each(|host| sim.kill_host(host));
    let foreign = task(FOREIGN, 0, 0);
    sim.workers.get_mut(WORKER).expect("a worker").run_foreign(foreign, Duration::from_secs(60));
    sim.store.down = false;
    sim.transaction_delay = ms(800);
    ["a", "b", "c"].iter().for_each(|host| sim.start_host(host));
    let heard = |sim: &Simulation| {
        sim.logs.iter().filter(|(_, _, text)| text.starts_with("run_of_unknown_job")).count()
    };
    sim.run_until(Duration::from_secs(10), "the first list", |sim| heard(sim) == 1);
    let owner = sim.owner().expect("there is an owner");
    let unknown = Box::new(job(vec![step(1, 300)]));
    sim.send_message(&owner, "z", Message::Submitted { id: FOREIGN, job: unknown });
    sim.run(Duration::from_secs(20));
    check(&mut sim, count, "a job known between two lists");
}

/// Ends wait behind one of a job that is not known. Their runs counted as lost.
#[test]
fn unknown_job() {
    for first in [true, false] {
        let mut sim = busy_worker(20);
        sim.submit_lasting("batch", NEXT, vec![step(20, 900)], Duration::from_secs(1));
        sim.wait_for_start(NEXT, 20);
        if !first {
            sim.run_until(Duration::from_secs(5), "the first ends", |sim| {
                sim.workers[WORKER].ended_count() >= 20
            });
        }
        let foreign = task(FOREIGN, 0, 0);
        sim.workers.get_mut(WORKER).expect("a worker").list_foreign_end(foreign);
        sim.run(Duration::from_secs(12));
        let case = if first { "in the first place" } else { "in the middle" };
        check(&mut sim, 20, case);
        assert_eq!(sim.starts_of_job(NEXT), 20, "{case}: starts");
        assert_eq!(sim.state("a", "batch", NEXT), Some(State::Completed), "{case}");
    }
}
