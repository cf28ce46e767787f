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

/// Ends of several unknown jobs each held up the ends behind them for the whole time that an unknown job is waited for.
#[test]
fn unknown_ends() {
    let mut sim = Simulation::settled(2);
    sim.submit_lasting("batch", 0x21, vec![step(4, 1000)], ms(1000));
    sim.wait_for_start(0x21, 4);
    let worker = sim.workers_of(0x21).into_iter().next().expect("it runs");
    for unknown in 0x901..0x906 {
        sim.workers.get_mut(&worker).expect("present").list_foreign_end(task(unknown, 0, 0));
    }
    let begun = sim.now;
    sim.run_until(Duration::from_secs(40), "the end", |sim| !sim.is_open(0x21));
    let taken = sim.now - begun;
    assert!(taken < ms(6500), "the ends of the job were noticed after {taken:?}");
}

/// Each end of an unknown job is waited for, also behind one that was listed earlier. Guards against an acknowledgement
/// before the wait is over: if the job is read after that, its task runs again.
#[test]
fn unknown_end_behind_another() {
    let mut sim = Simulation::settled(2);
    let worker = sim.workers.keys().next().cloned().expect("present");
    sim.workers.get_mut(&worker).expect("present").list_foreign_end(task(0x901, 0, 0));
    sim.run(ms(3500));
    sim.workers.get_mut(&worker).expect("present").list_foreign_end(task(0x902, 0, 0));
    sim.run(ms(3500));
    assert_eq!(sim.workers[&worker].acknowledged(), 1, "3.5 s after the second end");
    sim.run(ms(1500));
    assert_eq!(sim.workers[&worker].acknowledged(), 2, "5 s after the second end");
}

/// A worker with less room than the owner believes was chosen again after each refusal, while others were empty.
#[test]
fn refused_room() {
    let mut sim = Simulation::settled(3);
    let worker = "w0";
    sim.workers.get_mut(worker).expect("present").guards_capacity = true;
    // The process is of a smaller kind now, and its registration is late.
    let capacity = &mut sim.workers.get_mut(worker).expect("present").capacity;
    capacity.processors_milli = 1000;
    sim.submit_lasting("batch", 0x31, vec![step(1, 9000)], Duration::from_secs(9));
    sim.run(ms(500));
    let on = sim.workers_of(0x31);
    sim.submit_lasting("batch", 0x32, vec![step(1, 500)], ms(500));
    sim.run(Duration::from_secs(5));
    let refused = sim.logs.iter().filter(|(_, _, text)| text.starts_with("start_failed")).count();
    assert_eq!(sim.starts_of_job(0x32), 1, "refused {refused} times; the first job is on {on:?}");
}

/// A start for which the only worker had no room was repeated in every round. The job starts once there is room.
#[test]
fn refused_room_only_worker() {
    let mut sim = Simulation::settled(1);
    let worker = sim.workers.get_mut("w0").expect("present");
    worker.guards_capacity = true;
    worker.capacity.processors_milli = 1000;
    sim.submit_lasting("batch", 0x31, vec![step(1, 4000)], ms(4000));
    sim.run(ms(500));
    sim.submit_lasting("batch", 0x32, vec![step(1, 500)], ms(500));
    sim.run_until(ms(4500), "the start", |sim| sim.starts_of_job(0x32) == 1);
    let refused = sim.logs.iter().filter(|(_, _, text)| text.starts_with("start_failed")).count();
    assert!(refused <= 16, "refused {refused} times");
}
