//! Evidence of crashes. Guards against starts of deadly tasks beyond the bound, against suspects that wait while workers have
//! room, and against evidence from runs that did not crash their worker.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallotpost_fleet::configuration::Approval;
use shallotpost_fleet::job::Step;
use shallotpost_fleet::progress::{Progress, State, StoredCrash, TaskCrashes};
use support::{Simulation, configuration, ms, step, task};

const JOB: u64 = 0x55;

/// Starts of a deadly task that the platform allows: three that crash a worker, and two more.
const STARTS_MAX: usize = 5;

/// Time for which a job may have nothing running although there is capacity.
const IDLE_MAX: Duration = Duration::from_secs(3);

/// Submits long tasks and makes their workers crash twice under them, 9.5 s after the start.
fn lose_old_runs(sim: &mut Simulation, ids: &[u64]) {
    for id in ids {
        let step = Step { per_worker_max: 1, ..step(1, 8000) };
        sim.submit_lasting("batch", *id, vec![step], ms(25_000));
    }
    for _ in 0..2 {
        for id in ids {
            sim.wait_for_start(*id, 1);
        }
        sim.run(ms(9500));
        for id in ids {
            for worker in sim.workers_of(*id) {
                sim.crash(&worker);
            }
        }
        sim.run(ms(200));
    }
}

/// Makes long tasks suspects. Their third runs are on trial for 9.5 s.
fn put_on_trial(sim: &mut Simulation, ids: &[u64]) {
    lose_old_runs(sim, ids);
    for id in ids {
        sim.wait_for_start(*id, 1);
    }
    sim.run(ms(400));
}

/// Returns the number of starts of a task that crashes its workers after these times, one for each start.
fn starts_with_delays(sim: &mut Simulation, delays: &[u64]) -> usize {
    for (delay, starts) in delays.iter().zip(1..) {
        sim.crash_delay = ms(*delay);
        let end = sim.now + Duration::from_secs(15);
        while sim.starts(task(JOB, 0, 0)) < starts && sim.now < end {
            sim.run(ms(10));
        }
    }
    sim.run(Duration::from_secs(15));
    sim.starts(task(JOB, 0, 0))
}

/// A task that crashes its workers at ages which differ by more than the tolerance was started six times.
#[test]
fn varying_ages() {
    let mut sim = Simulation::settled(8);
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(30_000));
    let starts =
        starts_with_delays(&mut sim, &[2400, 2200, 2000, 1800, 1600, 1400, 1200, 1000, 800, 600]);
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// A task whose crashes come later each time clears itself of the earlier ones, and was started without end.
#[test]
fn growing_ages() {
    let mut sim = Simulation::settled(8);
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(30_000));
    let starts =
        starts_with_delays(&mut sim, &[10, 200, 400, 600, 800, 1000, 1200, 1400, 1600, 1800]);
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// A crash at a late age did not count as isolated if another task had started on the worker shortly before, which happens all
/// the time once a worker on trial is open again.
#[test]
fn late_crash_beside_starts() {
    let mut sim = Simulation::settled(4);
    sim.crash_delay = ms(1000);
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(30_000));
    for id in 0..1200 {
        sim.submit("b", "batch", 0x10_000 + id, vec![step(5, 100)]);
        sim.run(ms(50));
    }
    let starts = sim.starts(task(JOB, 0, 0));
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// A start that crashed an idle worker before it was answered did not count, as the last answer of an idle worker is older than
/// a proof of life.
#[test]
fn unanswered_on_idle_workers() {
    let mut sim = Simulation::settled(6);
    sim.crashes_before_answer = true;
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.run(Duration::from_secs(90));
    let starts = sim.starts(task(JOB, 0, 0));
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// A task whose crashes come at about a second, give or take a third, was started more often than the platform allows.
#[test]
fn scattered_ages() {
    let mut sim = Simulation::settled(8);
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(30_000));
    let starts =
        starts_with_delays(&mut sim, &[1000, 1300, 700, 1150, 880, 1330, 690, 1080, 1250, 840]);
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// Starts that no worker answered did not count if their workers stayed away, so they took one worker after the other.
#[test]
fn unanswered_and_never_back() {
    let mut sim = Simulation::settled(14);
    sim.crashes_before_answer = true;
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    let mut starts = 0;
    for _ in 0..9000 {
        sim.run(ms(10));
        let crashed = |(_, worker): &(&String, &support::worker::Worker)| worker.crashed;
        let gone: Vec<String> =
            sim.workers.iter().filter(crashed).map(|(name, _)| name.clone()).collect();
        for name in gone {
            starts += sim.workers[&name].starts_of(task(JOB, 0, 0));
            sim.workers.remove(&name);
            sim.unregister(&name);
        }
    }
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// Owners that die while a run is on trial leave it to successors for which it is not, and a late crash did not count.
#[test]
fn late_crashes_across_takeovers() {
    let mut sim = Simulation::settled(8);
    sim.crash_delay = ms(1000);
    sim.deadly_tasks.insert(task(JOB, 0, 0));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(30_000));
    for starts in 1..=2 {
        sim.run_until(Duration::from_secs(20), "a start", |sim| {
            sim.starts(task(JOB, 0, 0)) >= starts
        });
        sim.run(ms(1300));
        let owner = sim.owner().expect("an owner");
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
        sim.start_host(&owner);
    }
    sim.run(Duration::from_secs(60));
    let starts = sim.starts(task(JOB, 0, 0));
    assert!(starts <= STARTS_MAX, "{starts} starts");
}

/// A worker that drained while a suspect was on trial there, and a planned end after that, must not count as a crash.
#[test]
fn drained_on_trial() {
    let mut sim = Simulation::settled(8);
    put_on_trial(&mut sim, &[JOB]);
    for _ in 0..3 {
        let name = sim.workers_of(JOB).first().expect("a worker").clone();
        sim.register(&name, true);
        sim.run(ms(600));
        sim.crash(&name);
        sim.run(ms(3500));
        sim.wait_for_start(JOB, 1);
        sim.run(ms(400));
    }
    let host = sim.owner().expect("an owner");
    assert_ne!(sim.state(&host, "batch", JOB), Some(State::Failed));
}

/// A suspect gang chose the worker of another suspect on trial each time, and waited until that trial ended.
#[test]
fn gang_beside_trial() {
    let mut sim = Simulation::settled(10);
    put_on_trial(&mut sim, &[0x100]);
    let gang = Step { gang: true, per_worker_max: 1, ..step(2, 300) };
    sim.submit_lasting("batch", JOB, vec![gang], ms(8000));
    sim.wait_for_start(JOB, 2);
    let trial = sim.workers_of(0x100);
    // The crash of a worker that is not on trial.
    let other = sim.workers_of(JOB).into_iter().find(|name| !trial.contains(name));
    sim.crash(&other.expect("a worker"));
    sim.run(ms(3100));
    sim.run_until(IDLE_MAX, "an isolated start", |sim| sim.starts(task(JOB, 0, 0)) == 2);
}

/// A ticket for a worker on trial counted as usable, so a suspect with approvals waited until that trial ended.
#[test]
fn approval_beside_trial() {
    let mut sim = Simulation::settled(5);
    let mut configuration = configuration();
    configuration.version = 2;
    for queue in &mut configuration.queues {
        queue.policy.approval =
            queue.policy.approval.map(|approval| Approval { validity: ms(8000), ..approval });
    }
    sim.configure(configuration);
    sim.run(ms(1000));
    let trials = [0x100, 0x200, 0x300];
    lose_old_runs(&mut sim, &trials);
    sim.run(ms(1500));
    let jobs: Vec<u64> = (0..2).map(|number| JOB + 0x1000 * number).collect();
    for id in &jobs {
        sim.submit_lasting("approved", *id, vec![step(1, 300)], ms(300));
        sim.crash_after_start(*id, 1);
    }
    for id in &trials {
        sim.wait_for_start(*id, 1);
    }
    // The last run counts as lost when the worker is back.
    sim.run(ms(1500));
    sim.run_until(IDLE_MAX, "isolated starts", |sim| {
        jobs.iter().all(|id| sim.starts(task(*id, 0, 0)) >= 2)
    });
}

/// Runs on trial for long kept all workers of a small pool from other suspects, though most of their room was free.
#[test]
fn small_pool_on_trial() {
    let mut sim = Simulation::settled(4);
    let trials = [0x100, 0x200, 0x300];
    lose_old_runs(&mut sim, &trials);
    sim.run(ms(1500));
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.wait_for_start(JOB, 1);
    let name = sim.workers_of(JOB).first().expect("a worker").clone();
    sim.crash(&name);
    sim.run_until(Duration::from_secs(4), "a restart", |sim| !sim.workers[&name].crashed);
    sim.register(&name, true);
    for id in &trials {
        sim.wait_for_start(*id, 1);
    }
    sim.run_until(IDLE_MAX, "an isolated start", |sim| sim.starts(task(JOB, 0, 0)) == 2);
}

/// Four workers that were cut off one after the other, and ran on, failed a sound job.
#[test]
fn four_cut_workers() {
    let mut sim = Simulation::settled(12);
    sim.submit_lasting("batch", JOB, vec![step(1, 300)], ms(300));
    sim.crash_after_start(JOB, 1);
    let owner = sim.owner().expect("an owner");
    let mut cut = BTreeSet::new();
    for starts in 2..=5 {
        sim.run_until(Duration::from_secs(20), "a start", |sim| {
            sim.starts(task(JOB, 0, 0)) == starts
        });
        sim.run(ms(5));
        let runs = |name: &String| sim.workers[name].running().any(|run| run == task(JOB, 0, 0));
        let name = sim.workers_of(JOB).into_iter().find(|name| runs(name) && !cut.contains(name));
        let name = name.expect("a worker");
        sim.set_partitioned(&owner, &name, true);
        cut.insert(name);
    }
    sim.run(Duration::from_secs(10));
    for name in &cut {
        sim.set_partitioned(&owner, name, false);
    }
    sim.run(Duration::from_secs(10));
    let host = sim.owner().expect("an owner");
    assert_ne!(sim.state(&host, "batch", JOB), Some(State::Failed));
}

/// A run that a new owner finds counts as started then, so a crash of its worker made a task that had run for long a suspect.
#[test]
fn adopted_run() {
    let mut sim = Simulation::settled(6);
    sim.submit_lasting("batch", JOB, vec![step(1, 20_000)], ms(40_000));
    sim.wait_for_start(JOB, 1);
    sim.run(Duration::from_secs(10));
    let owner = sim.owner().expect("an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(10), "an adopted run", |sim| {
        sim.logs.iter().any(|(_, _, line)| line.starts_with("run_adopted"))
    });
    sim.run(ms(20));
    for worker in sim.workers_of(JOB) {
        sim.crash(&worker);
    }
    sim.run(Duration::from_secs(5));
    let line = sim.logs.iter().find(|(_, _, line)| line.starts_with("task_suspected"));
    assert!(line.is_none(), "{line:?}");
}

/// A job that an earlier version failed stores no cause. With a certain loss, its row could not be read again.
#[test]
fn failed_row_without_cause() {
    let crash = StoredCrash { run: 7, age_ms: 10, isolated: true, certain: true };
    let crashes = vec![TaskCrashes { occurrence: 0, step: 0, index: 0, crashes: vec![crash] }];
    let progress = Progress {
        state: State::Failed,
        occurrences_done: 0,
        stages: Vec::new(),
        crashes,
        failure: None,
    };
    let bytes = progress.to_bytes().expect("progress can be encoded");
    let read = Progress::from_bytes(&bytes).map(|read| read.state);
    assert!(matches!(read, Ok(State::Failed)), "{read:?}");
}
