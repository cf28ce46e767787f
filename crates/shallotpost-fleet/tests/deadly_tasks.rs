//! Tasks that crash each worker that starts them. Guards against a task that takes down one worker after the other, and
//! against sound jobs that fail because their tasks shared a crashed worker.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::port::{Action, Answer};
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step, task};

const DEADLY: u64 = 0x77;

/// Starts of a deadly task that the platform allows: three that crash a worker, and two more.
const STARTS_MAX: usize = 5;

/// Submits sound jobs at a steady rate for the given time, and returns their identifiers.
fn submit_sound_jobs(sim: &mut Simulation, first: u64, time: Duration) -> Vec<u64> {
    let end = sim.now + time;
    let mut ids = Vec::new();
    while sim.now < end {
        let id = first + ids.len() as u64;
        let host = sim.hosts.keys().next().expect("a host").clone();
        sim.submit(&host, "batch", id, vec![step(3, 300)]);
        ids.push(id);
        sim.run(ms(150));
    }
    ids
}

fn assert_all_completed(sim: &mut Simulation, ids: &[u64]) {
    let host = sim.owner().expect("there is an owner");
    let path = |id: &u64| format!("/batch/{id:016x}");
    let requests: Vec<_> = ids
        .iter()
        .map(|id| (*id, sim.request(&host, &path(id), Some("key-a"), Action::Read)))
        .collect();
    sim.run(ms(1500));
    for (id, request) in requests {
        assert_eq!(sim.answers[&request], Answer::State(State::Completed), "job {id:x}");
    }
}

/// A task that crashes its workers was started again without end, because a lost run counted nowhere.
#[test]
fn starts_are_bounded() {
    let mut sim = Simulation::settled(6);
    sim.deadly_tasks.insert(task(DEADLY, 0, 0));
    sim.submit("a", "batch", DEADLY, vec![step(2, 300)]);
    let sound = submit_sound_jobs(&mut sim, 0x1000, Duration::from_secs(45));
    assert!(sim.starts(task(DEADLY, 0, 0)) <= STARTS_MAX);
    assert_eq!(sim.state("a", "batch", DEADLY), Some(State::Failed));
    assert_all_completed(&mut sim, &sound);
    sim.check_invariants();
}

/// Crashes that an owner has seen count under its successors too.
#[test]
fn bounded_across_takeovers() {
    let mut sim = Simulation::settled(6);
    sim.deadly_tasks.insert(task(DEADLY, 0, 0));
    sim.submit("a", "batch", DEADLY, vec![step(1, 300)]);
    for id in [0x2000, 0x3000] {
        submit_sound_jobs(&mut sim, id, ms(4500));
        let owner = sim.owner().expect("there is an owner");
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
        sim.start_host(&owner);
    }
    let sound = submit_sound_jobs(&mut sim, 0x4000, Duration::from_secs(40));
    assert!(sim.starts(task(DEADLY, 0, 0)) <= STARTS_MAX);
    assert_eq!(sim.state("a", "batch", DEADLY), Some(State::Failed));
    assert_all_completed(&mut sim, &sound);
}

/// A task may crash its worker before the worker has answered the start.
#[test]
fn bounded_without_answers() {
    let mut sim = Simulation::settled(6);
    sim.crashes_before_answer = true;
    sim.deadly_tasks.insert(task(DEADLY, 0, 0));
    sim.submit("a", "batch", DEADLY, vec![step(2, 300)]);
    let sound = submit_sound_jobs(&mut sim, 0x1000, Duration::from_secs(45));
    assert!(sim.starts(task(DEADLY, 0, 0)) <= STARTS_MAX);
    assert_eq!(sim.state("a", "batch", DEADLY), Some(State::Failed));
    assert_all_completed(&mut sim, &sound);
}

/// An owner that dies before a crashed worker is back leaves a loss of which it is not certain that it was a crash.
#[test]
fn bounded_by_uncertain_crashes() {
    let mut sim = Simulation::settled(6);
    sim.deadly_tasks.insert(task(DEADLY, 0, 0));
    sim.submit("a", "batch", DEADLY, vec![step(1, 300)]);
    for starts in 1..=3 {
        sim.run_until(Duration::from_secs(20), "a start", |sim| {
            sim.starts(task(DEADLY, 0, 0)) >= starts
        });
        sim.run(ms(300));
        let owner = sim.owner().expect("there is an owner");
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
        sim.start_host(&owner);
    }
    sim.run(ms(1500));
    let sound = submit_sound_jobs(&mut sim, 0x4000, Duration::from_secs(60));
    assert!(sim.starts(task(DEADLY, 0, 0)) <= STARTS_MAX);
    let host = sim.owner().expect("there is an owner");
    assert_eq!(sim.state(&host, "batch", DEADLY), Some(State::Failed));
    assert_all_completed(&mut sim, &sound);
}

/// The cause of a failure was in the lines of the owner that decided it, which were gone when users asked.
#[test]
fn cause_outlives_the_owner() {
    let mut sim = Simulation::settled(6);
    sim.deadly_tasks.insert(task(DEADLY, 0, 0));
    sim.submit("a", "batch", DEADLY, vec![step(1, 300)]);
    sim.run(Duration::from_secs(25));
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim.logs.clear();
    let host = sim.owner().expect("there is an owner");
    assert_eq!(sim.state(&host, "batch", DEADLY), Some(State::Failed));
    let shown = |(_, _, line): &&(Duration, String, String)| line.starts_with("failure_shown");
    let line = sim.logs.iter().find(shown).map(|(_, _, line)| line.clone()).expect("a line");
    assert!(line.contains("cause=crashes"), "{line}");
}

/// Members of a gang crash their workers too, and the gang is started again as a whole.
#[test]
fn gang_starts_are_bounded() {
    let mut sim = Simulation::settled(6);
    sim.deadly_tasks.insert(task(DEADLY, 0, 1));
    for worker in sim.workers.values_mut() {
        worker.job_durations.insert(DEADLY, Duration::from_secs(8));
    }
    sim.submit("a", "batch", DEADLY, vec![Step { gang: true, ..step(6, 300) }]);
    let sound = submit_sound_jobs(&mut sim, 0x1000, Duration::from_secs(45));
    assert!(sim.starts(task(DEADLY, 0, 1)) <= STARTS_MAX);
    assert_eq!(sim.state("a", "batch", DEADLY), Some(State::Failed));
    assert_all_completed(&mut sim, &sound);
}

/// Several deadly tasks at a time crash many workers, so sound tasks share a crashed worker again and again. Their jobs
/// must not be given up.
#[test]
fn sound_tasks_complete() {
    let mut sim = Simulation::settled(8);
    for job in 0..6 {
        sim.deadly_tasks.insert(task(DEADLY + job, 0, 0));
        sim.submit("a", "batch", DEADLY + job, vec![step(2, 300)]);
    }
    let sound = submit_sound_jobs(&mut sim, 0x1000, Duration::from_secs(60));
    for job in 0..6 {
        assert!(sim.starts(task(DEADLY + job, 0, 0)) <= STARTS_MAX);
        assert_eq!(sim.state("a", "batch", DEADLY + job), Some(State::Failed));
    }
    assert_all_completed(&mut sim, &sound);
    sim.check_invariants();
}

/// Workers that crash for reasons of their own, also right after a start, must not fail any job.
#[test]
fn crashes_of_workers_fail_no_job() {
    let mut sim = Simulation::settled(6);
    let mut sound = Vec::new();
    for round in 0..12 {
        sound.extend(submit_sound_jobs(&mut sim, 0x1000 * (round + 1), ms(900)));
        sim.crash(&format!("w{}", round % 6));
        sim.run(ms(35));
        sim.crash(&format!("w{}", (round + 3) % 6));
    }
    sim.run(Duration::from_secs(8));
    assert_all_completed(&mut sim, &sound);
}
