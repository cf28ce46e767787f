//! Log line that tells which check holds the waiting stages. Guards against waits that cannot be explained afterwards.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::Action;
use support::{Simulation, job, ms, step};

const FIRST: JobId = 0x1000;

/// Submits six jobs of one long task each and returns the last line of the log.
fn held(workers: usize, key: &str, queue: &str, change: impl Fn(&mut Simulation)) -> String {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    change(&mut sim);
    for id in FIRST..FIRST + 6 {
        let action = Action::Submit(Ok(Box::new(job(vec![step(1, 8000)]))));
        sim.request("a", &format!("/{queue}/{id:016x}"), Some(key), action);
    }
    sim.run(Duration::from_secs(3));
    let mut lines = sim.logs.iter().rev().filter(|(_, _, text)| text.starts_with("held "));
    lines.next().map(|(_, _, text)| text.clone()).expect("the line is written")
}

#[test]
fn quota() {
    let line = held(8, "key-b", "batch", |_| {});
    assert!(line.contains("stages=3 checks=quota:3 first=quota:"), "{line}");
}

#[test]
fn room() {
    let line = held(1, "key-a", "batch", |_| {});
    assert!(line.contains("stages=2 checks=room:2 "), "{line}");
}

#[test]
fn approval() {
    let line = held(1, "key-a", "approved", |sim| {
        sim.unapproved_workers.insert("w0".to_owned());
    });
    assert!(line.contains("stages=6 checks=approval:6 "), "{line}");
}

#[test]
fn approval_service() {
    let line = held(1, "key-a", "approved", |sim| {
        sim.approves_in_turn = true;
        sim.approval_time = Duration::from_secs(20);
    });
    assert!(line.contains("stages=6 checks=approval_service:6 "), "{line}");
}

/// Stages of an earlier owner that wait for a silent worker are held too, and the worker is named.
#[test]
fn takeover() {
    let mut sim = Simulation::settled(2);
    let owner = sim.owner().expect("there is an owner");
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    sim.submit(&owner, "batch", FIRST, vec![step(12, 3000)]);
    sim.run(ms(300));
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, "w0", true);
    }
    sim.kill_host(&owner);
    sim.run(Duration::from_secs(5));
    let has_line = |start: &str, part: &str| {
        sim.logs.iter().any(|(_, _, text)| text.starts_with(start) && text.contains(part))
    };
    assert!(has_line("held ", "takeover:1"), "{:#?}", sim.logs);
    assert!(has_line("workers_awaited ", "workers=1 first=w0 settled=false"), "{:#?}", sim.logs);
}
