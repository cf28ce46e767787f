//! Tests of the wait of a worker's `sync`, and of the delay before usage is reported.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::thread;

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::{
    Assignment, AttemptOutcome, Refusal, Reply, Request, Snapshot, StopMode, TaskState,
};
use shallotpost_standin::fault::Fault;
use shallotpost_standin::host::Host;
use shallotpost_standin::hub::Service;
use shallotpost_standin::worker::{USAGE_LAG, Worker};

const LONG: Duration = Duration::from_secs(30);
const SIZE: Size = Size { processors_milli: 1000, memory_mib: 64, accelerators: 0, slots: 1 };

fn task() -> Task {
    Task { work: "team/job".parse().unwrap(), index: 0 }
}

fn claim(epoch: Epoch, lease: Duration) -> Request {
    Request::Claim { shard: "kochi/0".parse().unwrap(), epoch, lease }
}

fn start(command: &[&str]) -> Request {
    let command = command.iter().map(|part| part.to_string()).collect();
    let assignment = Assignment { task: task(), attempt: 1, size: SIZE, command, input: None };
    Request::Start { epoch: 1, assignment }
}

fn sync(lease: Duration, wait: Duration) -> Request {
    Request::Sync { epoch: 1, lease, acknowledged: Vec::new(), wait }
}

fn worker() -> Worker {
    Worker::new(1, Size::from_parts([4000, 1024, 0, 4]))
}

fn claimed() -> Arc<Host> {
    let host = Host::new(worker());
    host.call(&claim(1, LONG * 2));
    Arc::new(host)
}

fn snapshot(reply: Reply) -> Snapshot {
    match reply {
        Reply::State(snapshot) => snapshot,
        other => panic!("{other:?}"),
    }
}

/// Guards against a `sync` that reports a change only when its wait is over.
#[test]
fn sync_returns_early_on_a_change() {
    type Change = (&'static str, fn(&Host));
    let changes: [Change; 5] = [
        ("start", |host| drop(host.call(&start(&["serve"])))),
        ("end of a task", |host| drop(host.call(&start(&["run", "20"])))),
        ("leaving", |host| host.apply_fault(&Fault { leaving: Some(true), ..Fault::default() })),
        ("takeover", |host| drop(host.call(&claim(2, LONG)))),
        ("stop", |host| host.stop()),
    ];
    for (name, change) in changes {
        let host = claimed();
        let waiting = Arc::clone(&host);
        let started = Instant::now();
        let call = thread::spawn(move || waiting.call(&sync(LONG * 2, LONG)));
        change(&host);
        call.join().unwrap();
        assert!(started.elapsed() < LONG / 2, "{name}");
    }
}

/// Guards against a task whose end is reported only at the next call.
#[test]
fn sync_reports_the_end_of_a_task() {
    let host = claimed();
    host.call(&start(&["run", "50"]));
    let first = snapshot(host.call(&sync(LONG * 2, LONG)));
    assert_eq!(first.tasks[0].state, TaskState::Running { throttled: false });
    let second = snapshot(host.call(&sync(LONG * 2, LONG)));
    assert_eq!(second.tasks[0].state, TaskState::Ended(AttemptOutcome::Succeeded { result: None }));
}

/// Guards against a `sync` that returns before its wait is over although nothing changed.
#[test]
fn sync_waits_as_long_as_nothing_changes() {
    let (host, wait) = (claimed(), Duration::from_millis(200));
    let started = Instant::now();
    snapshot(host.call(&sync(LONG * 2, wait)));
    assert!(started.elapsed() >= wait);
}

/// Guards against a `sync` that renews the lease at the end of its wait: the caller counts the lease from the start of
/// the call.
#[test]
fn waiting_does_not_renew_the_lease() {
    let host = claimed();
    let lease = Duration::from_millis(100);
    let reply = host.call(&sync(lease, LONG));
    assert_eq!(reply, Reply::Refused(Refusal::NotClaimed));
}

/// Guards against usage that is reported too early, after the end of the task, or with another value than the command
/// sets.
#[test]
fn usage_lags_and_follows_the_command() {
    let cases: [(&[&str], Option<StopMode>, u64); 5] = [
        (&["run", "60000"], None, 1000),
        (&["run", "60000", "0.25"], None, 250),
        (&["run", "60000", "7"], None, 1000),
        (&["serve", "", "0.5"], None, 500),
        (&["serve", "", "0.5"], Some(StopMode::Throttle), 250),
    ];
    for (command, mode, processors_milli) in cases {
        let (mut worker, now) = (worker(), Instant::now());
        worker.handle(now, &claim(1, LONG * 4));
        worker.handle(now, &start(command));
        if let Some(mode) = mode {
            worker.handle(now, &Request::Stop { epoch: 1, task: task(), attempt: 1, mode });
        }
        let mut usage = |after: Duration| {
            let reply = worker.handle(now + after, &sync(LONG * 4, Duration::ZERO));
            snapshot(reply).tasks[0].usage
        };
        assert_eq!(usage(USAGE_LAG - Duration::from_millis(1)), None, "{command:?}");
        assert_eq!(usage(USAGE_LAG), Some(Size { processors_milli, ..SIZE }), "{command:?}");
        if command[0] == "run" {
            assert_eq!(usage(Duration::from_secs(61)), None, "{command:?}");
        }
    }
}
