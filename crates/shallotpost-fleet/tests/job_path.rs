//! The path of a job from its submission to its end.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Configuration;
use shallotpost_fleet::host::OPEN_REQUESTS_MAX;
use shallotpost_fleet::job::Schedule;
use shallotpost_fleet::port::{Action, Answer, Table};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::EndReason;
use support::{Site, configuration, job, ms, step, task};

/// A fleet that has settled.
fn settled(hosts: &[&str], workers: usize) -> Site {
    let mut site = Site::new(hosts, workers);
    site.run_until(Duration::from_secs(3), "an owner", |site| site.owner().is_some());
    site.run(ms(500));
    site
}

/// A submission through any host runs each task exactly once and completes.
#[test]
fn steps_in_order() {
    let mut site = settled(&["a", "b", "c"], 2);
    let second = shallotpost_fleet::job::Step { after: vec![0], ..step(2, 300) };
    let request = site.submit("c", "batch", 0x10, vec![step(3, 300), second]);
    site.run(ms(100));
    assert_eq!(site.answers[&request], Answer::Accepted);
    site.run(ms(1500));
    assert_eq!(site.state("b", "batch", 0x10), Some(State::Completed));
    let starts: Vec<_> = site.workers.values().flat_map(|worker| worker.starts.clone()).collect();
    assert_eq!(starts.len(), 5);
    let last_of_first =
        starts.iter().filter(|(_, task, _)| task.stage.step == 0).map(|(at, _, _)| *at).max();
    let first_of_second =
        starts.iter().filter(|(_, task, _)| task.stage.step == 1).map(|(at, _, _)| *at).min();
    assert!(first_of_second >= last_of_first.map(|at| at + ms(300)), "steps overlap");
}

/// A submission that is repeated at another host, also after its end, remains one job.
#[test]
fn repeated_submission() {
    let mut site = settled(&["a", "b"], 1);
    for host in ["a", "b", "a"] {
        let request = site.submit(host, "batch", 0x20, vec![step(1, 300)]);
        site.run(ms(1000));
        assert_eq!(site.answers[&request], Answer::Accepted);
    }
    assert_eq!(site.starts(task(0x20, 0, 0)), 1);
}

/// Bad input is refused with its reason and stores nothing.
#[test]
fn refusals() {
    let mut site = settled(&["a"], 1);
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
        let request = site.request("a", &path, key, action);
        site.run(ms(100));
        assert_eq!(site.answers[&request], expected, "{path} with {key:?}");
    }
    for (path, action) in [
        (format!("/batch/{id}"), faulty),
        (format!("/batch/{id}"), Action::Submit(Err("no JSON".to_owned()))),
        ("/batch/short".to_owned(), submit()),
    ] {
        let request = site.request("a", &path, Some("key-a"), action);
        site.run(ms(100));
        assert!(matches!(site.answers[&request], Answer::Malformed(_)), "{path}");
    }
    assert!(!site.store.has(Table::Jobs, id));
}

/// A host without a configuration refuses and does not guess that a queue is missing.
#[test]
fn no_configuration() {
    let mut site = Site::new(&["a"], 0);
    site.store.delete(Table::Operator, "config");
    site.run(ms(300));
    let request = site.submit("a", "batch", 1, vec![step(1, 100)]);
    site.run(ms(50));
    assert!(matches!(site.answers[&request], Answer::NotAdmitted { .. }));
}

/// Another team's job is not visible, and a key that is taken away stops working.
#[test]
fn keys_of_teams() {
    let mut site = settled(&["a"], 1);
    site.submit("a", "batch", 0x30, vec![step(1, 60_000)]);
    site.run(ms(200));
    let path = "/batch/0000000000000030";
    let foreign = site.request("a", path, Some("key-b"), Action::Read);
    site.run(ms(100));
    assert_eq!(site.answers[&foreign], Answer::NoJob);
    let mut next = Configuration { version: 2, ..configuration() };
    next.teams.remove(0);
    site.configure(next);
    site.run(ms(1500));
    let withdrawn = site.request("a", path, Some("key-a"), Action::Read);
    site.run(ms(100));
    assert_eq!(site.answers[&withdrawn], Answer::BadKey);
}

/// A task that fails as often as allowed fails its job, is not started again, and stops the others.
#[test]
fn attempts() {
    let mut site = settled(&["a"], 2);
    site.workers.values_mut().for_each(|worker| worker.ending = EndReason::Failed);
    site.submit("a", "batch", 0x40, vec![step(1, 300)]);
    site.run(ms(3000));
    assert_eq!(site.starts(task(0x40, 0, 0)), 2);
    assert_eq!(site.state("a", "batch", 0x40), Some(State::Failed));
}

/// A cancelled job is stopped and never started again.
#[test]
fn cancellation() {
    let mut site = settled(&["a", "b"], 1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    site.submit("a", "batch", 0x50, vec![step(6, 60_000)]);
    site.run(ms(300));
    assert_eq!(site.workers["w0"].running().count(), 4);
    let path = "/batch/0000000000000050";
    let request = site.request("b", path, Some("key-a"), Action::Cancel);
    site.run(ms(500));
    assert_eq!(site.answers[&request], Answer::Cancelled);
    assert_eq!(site.workers["w0"].running().count(), 0);
    site.run(ms(2000));
    assert_eq!(site.workers["w0"].starts.len(), 4);
    assert_eq!(site.state("a", "batch", 0x50), Some(State::Cancelled));
}

/// An occurrence starts no earlier than it is due.
#[test]
fn occurrences() {
    let mut site = settled(&["a"], 1);
    let due = 1_700_000_000_000 + u64::try_from(site.now.as_millis()).expect("time fits") + 1000;
    let schedule = Schedule { occurrences: 2, first_unix_ms: due, interval: ms(800) };
    let scheduled =
        shallotpost_fleet::job::Job { schedule: Some(schedule), ..job(vec![step(1, 100)]) };
    let begin = site.now;
    let action = Action::Submit(Ok(Box::new(scheduled)));
    site.request("a", "/batch/0000000000000060", Some("key-a"), action);
    site.run(ms(3000));
    let starts: Vec<_> = site.workers["w0"].starts.iter().map(|(at, _, _)| *at - begin).collect();
    assert_eq!(starts.len(), 2);
    assert!(starts[0] >= ms(1000) && starts[0] < ms(1200), "{starts:?}");
    assert!(starts[1] >= ms(1800) && starts[1] < ms(2000), "{starts:?}");
    assert_eq!(site.state("a", "batch", 0x60), Some(State::Completed));
}

/// The number of waiting jobs counts those for which nothing has started.
#[test]
fn waiting_count() {
    let mut site = settled(&["a", "b"], 1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    for id in 0..3 {
        site.submit("a", "batch", 0x70 + id, vec![step(4, 60_000)]);
        site.run(ms(200));
    }
    let request = site.request("b", "/batch/", Some("key-a"), Action::Read);
    site.run(ms(200));
    assert_eq!(site.answers[&request], Answer::Waiting(2));
}

/// Requests beyond the limit are refused at once while the store does not answer, so that memory stays bounded.
#[test]
fn open_requests() {
    let mut site = settled(&["a"], 1);
    site.store.fault = support::store::Fault::AnswerLost;
    let requests: Vec<_> = (0..OPEN_REQUESTS_MAX as u64 + 5)
        .map(|id| site.submit("a", "batch", 0x1000 + id, vec![step(1, 100)]))
        .collect();
    site.run(Duration::ZERO);
    let refused =
        |request: &&u64| matches!(site.answers.get(request), Some(Answer::NotAdmitted { .. }));
    assert_eq!(requests.iter().filter(refused).count(), 5);
}

/// The rows of an ended job are deleted after the time for which its state is kept, and not before.
#[test]
fn retention() {
    let mut site = settled(&["a"], 1);
    site.submit("a", "batch", 0x80, vec![step(1, 100)]);
    site.run(Duration::from_secs(110));
    assert_eq!(site.state("a", "batch", 0x80), Some(State::Completed));
    site.run(Duration::from_secs(20));
    for table in [Table::Jobs, Table::Progress] {
        assert!(!site.store.has(table, "0000000000000080"), "{table:?}");
    }
    assert_eq!(site.state("a", "batch", 0x80), None);
}
