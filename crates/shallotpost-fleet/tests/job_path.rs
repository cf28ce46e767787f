//! The life cycle of a job from its submission to the deletion of its rows. Guards against jobs that are lost, started
//! twice or visible to other teams, and against requests that are answered wrongly.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Configuration;
use shallotpost_fleet::host::OPEN_REQUESTS_MAX;
use shallotpost_fleet::job::Schedule;
use shallotpost_fleet::port::{Action, Answer, Table};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::EndReason;
use support::{Simulation, configuration, job, ms, step, task};

/// Returns a fleet that has an owner and has finished starting.
fn settled(hosts: &[&str], workers: usize) -> Simulation {
    let mut sim = Simulation::new(hosts, workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(500));
    sim
}

/// A job submitted through any host runs each task exactly once, its steps in order, and completes.
#[test]
fn steps_in_order() {
    let mut sim = settled(&["a", "b", "c"], 2);
    let second = shallotpost_fleet::job::Step { after: vec![0], ..step(2, 300) };
    let request = sim.submit("c", "batch", 0x10, vec![step(3, 300), second]);
    sim.run(ms(100));
    assert_eq!(sim.answers[&request], Answer::Accepted);
    sim.run(ms(1500));
    assert_eq!(sim.state("b", "batch", 0x10), Some(State::Completed));
    let starts: Vec<_> = sim.workers.values().flat_map(|worker| worker.starts.clone()).collect();
    assert_eq!(starts.len(), 5);
    let last_of_first =
        starts.iter().filter(|(_, task, _)| task.stage.step == 0).map(|(at, _, _)| *at).max();
    let first_of_second =
        starts.iter().filter(|(_, task, _)| task.stage.step == 1).map(|(at, _, _)| *at).min();
    assert!(first_of_second >= last_of_first.map(|at| at + ms(300)), "steps overlap");
}

/// A submission that is repeated, at another host or after the job's end, creates no second job.
#[test]
fn repeated_submission() {
    let mut sim = settled(&["a", "b"], 1);
    for host in ["a", "b", "a"] {
        let request = sim.submit(host, "batch", 0x20, vec![step(1, 300)]);
        sim.run(ms(1000));
        assert_eq!(sim.answers[&request], Answer::Accepted);
    }
    assert_eq!(sim.starts(task(0x20, 0, 0)), 1);
}

/// Invalid requests get the matching answer and store nothing.
#[test]
fn refusals() {
    let mut sim = settled(&["a"], 1);
    let submit = || Action::Submit(Ok(Box::new(job(vec![step(1, 100)]))));
    let cyclic = shallotpost_fleet::job::Step { after: vec![0], ..step(1, 100) };
    let faulty = Action::Submit(Ok(Box::new(job(vec![cyclic]))));
    let id = "00000000000000ff";
    let cases = [
        (format!("/nowhere/{id}"), Some("key-a"), submit(), Answer::NoQueue),
        (format!("/batch/{id}"), Some("key-z"), submit(), Answer::BadKey),
        (format!("/batch/{id}"), None, submit(), Answer::BadKey),
        (format!("/batch/{id}"), Some("key-a"), Action::Read, Answer::NoJob),
        (format!("/batch/{id}"), Some("key-a"), Action::Cancel, Answer::NoJob),
    ];
    for (path, key, action, expected) in cases {
        let request = sim.request("a", &path, key, action);
        sim.run(ms(100));
        assert_eq!(sim.answers[&request], expected, "{path} with {key:?}");
    }
    for (path, action) in [
        (format!("/batch/{id}"), faulty),
        (format!("/batch/{id}"), Action::Submit(Err("no JSON".to_owned()))),
        ("/batch/short".to_owned(), submit()),
    ] {
        let request = sim.request("a", &path, Some("key-a"), action);
        sim.run(ms(100));
        assert!(matches!(sim.answers[&request], Answer::Malformed(_)), "{path}");
    }
    assert!(!sim.store.has(Table::Jobs, id));
}

/// A host without a configuration refuses requests as not admitted, instead of claiming that the queue does not exist.
#[test]
fn no_configuration() {
    let mut sim = Simulation::new(&["a"], 0);
    sim.store.delete(Table::Operator, "config");
    sim.run(ms(300));
    let request = sim.submit("a", "batch", 1, vec![step(1, 100)]);
    sim.run(ms(50));
    assert!(matches!(sim.answers[&request], Answer::NotAdmitted { .. }));
}

/// Another team's job is not visible, and a removed key is rejected.
#[test]
fn keys_of_teams() {
    let mut sim = settled(&["a"], 1);
    sim.submit("a", "batch", 0x30, vec![step(1, 60_000)]);
    sim.run(ms(200));
    let path = "/batch/0000000000000030";
    let foreign = sim.request("a", path, Some("key-b"), Action::Read);
    sim.run(ms(100));
    assert_eq!(sim.answers[&foreign], Answer::NoJob);
    let mut next = Configuration { version: 2, ..configuration() };
    next.teams.remove(0);
    sim.configure(next);
    sim.run(ms(1500));
    let withdrawn = sim.request("a", path, Some("key-a"), Action::Read);
    sim.run(ms(100));
    assert_eq!(sim.answers[&withdrawn], Answer::BadKey);
}

/// A task that has used up its attempts is not started again and fails its job.
#[test]
fn failed_attempts_fail_the_job() {
    let mut sim = settled(&["a"], 2);
    sim.workers.values_mut().for_each(|worker| worker.end_reason = EndReason::Failed);
    sim.submit("a", "batch", 0x40, vec![step(1, 300)]);
    sim.run(ms(3000));
    assert_eq!(sim.starts(task(0x40, 0, 0)), 2);
    assert_eq!(sim.state("a", "batch", 0x40), Some(State::Failed));
}

/// The tasks of a cancelled job are stopped and never started again.
#[test]
fn cancellation() {
    let mut sim = settled(&["a", "b"], 1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    sim.submit("a", "batch", 0x50, vec![step(6, 60_000)]);
    sim.run(ms(300));
    assert_eq!(sim.workers["w0"].running().count(), 4);
    let path = "/batch/0000000000000050";
    let request = sim.request("b", path, Some("key-a"), Action::Cancel);
    sim.run(ms(500));
    assert_eq!(sim.answers[&request], Answer::Cancelled);
    assert_eq!(sim.workers["w0"].running().count(), 0);
    sim.run(ms(2000));
    assert_eq!(sim.workers["w0"].starts.len(), 4);
    assert_eq!(sim.state("a", "batch", 0x50), Some(State::Cancelled));
}

/// Occurrences of a schedule start when they are due, not earlier.
#[test]
fn occurrences() {
    let mut sim = settled(&["a"], 1);
    let due = 1_700_000_000_000 + u64::try_from(sim.now.as_millis()).expect("time fits") + 1000;
    let schedule = Schedule { occurrences: 2, first_unix_ms: due, interval: ms(800) };
    let scheduled =
        shallotpost_fleet::job::Job { schedule: Some(schedule), ..job(vec![step(1, 100)]) };
    let begin = sim.now;
    let action = Action::Submit(Ok(Box::new(scheduled)));
    sim.request("a", "/batch/0000000000000060", Some("key-a"), action);
    sim.run(ms(3000));
    let starts: Vec<_> = sim.workers["w0"].starts.iter().map(|(at, _, _)| *at - begin).collect();
    assert_eq!(starts.len(), 2);
    assert!(starts[0] >= ms(1000) && starts[0] < ms(1200), "{starts:?}");
    assert!(starts[1] >= ms(1800) && starts[1] < ms(2000), "{starts:?}");
    assert_eq!(sim.state("a", "batch", 0x60), Some(State::Completed));
}

/// Only jobs of which no task has started count as waiting.
#[test]
fn waiting_count() {
    let mut sim = settled(&["a", "b"], 1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    for id in 0..3 {
        sim.submit("a", "batch", 0x70 + id, vec![step(4, 60_000)]);
        sim.run(ms(200));
    }
    let request = sim.request("b", "/batch/", Some("key-a"), Action::Read);
    sim.run(ms(200));
    assert_eq!(sim.answers[&request], Answer::Waiting(2));
}

/// Requests beyond the limit are refused at once while the store does not answer. Guards against unbounded memory use.
#[test]
fn open_requests() {
    let mut sim = settled(&["a"], 1);
    sim.store.fault = support::store::Fault::AnswerLost;
    let requests: Vec<_> = (0..OPEN_REQUESTS_MAX as u64 + 5)
        .map(|id| sim.submit("a", "batch", 0x1000 + id, vec![step(1, 100)]))
        .collect();
    sim.run(Duration::ZERO);
    let refused =
        |request: &&u64| matches!(sim.answers.get(request), Some(Answer::NotAdmitted { .. }));
    assert_eq!(requests.iter().filter(refused).count(), 5);
}

/// The rows of an ended job are deleted after the retention time, and not before.
#[test]
fn retention() {
    let mut sim = settled(&["a"], 1);
    sim.submit("a", "batch", 0x80, vec![step(1, 100)]);
    sim.run(Duration::from_secs(110));
    assert_eq!(sim.state("a", "batch", 0x80), Some(State::Completed));
    sim.run(Duration::from_secs(20));
    for table in [Table::Jobs, Table::Progress] {
        assert!(!sim.store.has(table, "0000000000000080"), "{table:?}");
    }
    assert_eq!(sim.state("a", "batch", 0x80), None);
}
