//! Guards against a difference between the fake worker and the worker adapter over loopback.
#![allow(clippy::unwrap_used)]

mod support;

use shallotpost_protocol::port::{Effect, Event};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::{
    Assignment, AttemptOutcome, Refusal, Reply, Report, Request, Snapshot, StopMode, TaskState,
};
use shallotpost_standin::host::Host;
use shallotpost_standin::worker::Worker;
use support::{Fixture, TEST_TIMEOUT, any_port};

const LEASE: Duration = Duration::from_secs(600);
const CAPACITY: Size = Size { processors_milli: 2000, memory_mib: 1024, accelerators: 1, slots: 2 };
const HALF: Size = Size { processors_milli: 1000, memory_mib: 512, accelerators: 0, slots: 1 };

fn task(name: &str) -> Task {
    Task { work: format!("team/{name}").parse().unwrap(), index: 0 }
}

fn claim(epoch: Epoch) -> Request {
    Request::Claim { shard: "kochi/0".parse().unwrap(), epoch, lease: LEASE }
}

fn start(epoch: Epoch, name: &str, attempt: Attempt, size: Size) -> Request {
    let command = vec!["serve".to_owned()];
    let assignment = Assignment { task: task(name), attempt, size, command, input: None };
    Request::Start { epoch, assignment }
}

fn stop(epoch: Epoch, name: &str, attempt: Attempt, mode: StopMode) -> Request {
    Request::Stop { epoch, task: task(name), attempt, mode }
}

fn sync(epoch: Epoch, acknowledged: &[(&str, Attempt)]) -> Request {
    let acknowledged = acknowledged.iter().map(|(name, attempt)| (task(name), *attempt)).collect();
    Request::Sync { epoch, lease: LEASE, acknowledged, wait: Duration::ZERO }
}

fn state(tasks: &[(&str, Attempt, TaskState)]) -> Reply {
    let report = |(name, attempt, state): &(&str, Attempt, TaskState)| Report {
        task: task(name),
        attempt: *attempt,
        size: HALF,
        state: state.clone(),
        usage: None,
    };
    let tasks = tasks.iter().map(report).collect();
    Reply::State(Snapshot { incarnation: 7, capacity: CAPACITY, leaving: false, tasks })
}

/// Calls in order, each with the reply that the worker contract requires.
fn cases() -> Vec<(Request, Reply)> {
    let running = TaskState::Running { throttled: false };
    let throttled = TaskState::Running { throttled: true };
    let saved = TaskState::Ended(AttemptOutcome::Checkpointed);
    let stale = |current| Reply::Refused(Refusal::StaleEpoch { current });
    vec![
        (sync(1, &[]), Reply::Refused(Refusal::NotClaimed)),
        (start(1, "a", 1, HALF), Reply::Refused(Refusal::NotClaimed)),
        (claim(2), state(&[])),
        (claim(1), stale(2)),
        (start(1, "a", 1, HALF), stale(2)),
        (start(3, "a", 1, HALF), Reply::Refused(Refusal::NotClaimed)),
        (start(2, "a", 1, HALF), Reply::Done),
        (start(2, "a", 1, HALF), Reply::Done),
        (sync(2, &[]), state(&[("a", 1, running.clone())])),
        (start(2, "b", 1, CAPACITY), Reply::Refused(Refusal::Full)),
        (start(2, "b", 1, HALF), Reply::Done),
        (start(2, "c", 1, HALF), Reply::Refused(Refusal::Full)),
        (stop(2, "a", 2, StopMode::Stop), Reply::Refused(Refusal::NoSuchTask)),
        (stop(2, "a", 1, StopMode::Throttle), Reply::Done),
        (sync(2, &[]), state(&[("a", 1, throttled), ("b", 1, running.clone())])),
        (stop(2, "a", 1, StopMode::Resume), Reply::Done),
        (stop(2, "a", 1, StopMode::Checkpoint), Reply::Done),
        (sync(2, &[("b", 1)]), state(&[("a", 1, saved.clone()), ("b", 1, running.clone())])),
        (sync(2, &[("a", 1)]), state(&[("b", 1, running.clone())])),
        (claim(3), state(&[("b", 1, running)])),
        (stop(2, "b", 1, StopMode::Stop), stale(3)),
        (stop(3, "b", 1, StopMode::Stop), Reply::Done),
        (sync(3, &[("b", 1)]), state(&[])),
    ]
}

#[test]
fn fake_keeps_the_contract() {
    let (mut worker, now) = (Worker::new(7, CAPACITY), Instant::now());
    for (number, (request, expected)) in cases().into_iter().enumerate() {
        assert_eq!(worker.handle(now, &request), expected, "case {number}: {request:?}");
    }
}

#[test]
fn adapter_keeps_the_contract() {
    let fixture = Fixture::start();
    let worker = fixture.hub.serve(any_port(), Host::new(Worker::new(7, CAPACITY))).unwrap();
    for (number, (request, expected)) in cases().into_iter().enumerate() {
        let call = number as CallId;
        fixture.edge.execute(Effect::Worker {
            call,
            worker: "worker-1".to_owned(),
            address: worker.address().to_string(),
            request: request.clone(),
            timeout: TEST_TIMEOUT,
        });
        match fixture.event() {
            Event::Worker { call: answered, result } => {
                assert_eq!((answered, result), (call, Ok(expected)), "case {number}: {request:?}");
            }
            other => panic!("case {number}: {other:?}"),
        }
    }
    fixture.no_event();
}
