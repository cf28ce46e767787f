//! Tests of starts that arrive after their attempt was stopped.

use std::time::{Duration, Instant};

use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker::{Assignment, Refusal, Reply, Request, StopMode};
use shallotpost_standin::worker::Worker;

const LEASE: Duration = Duration::from_secs(8);

fn task(index: u32) -> Task {
    let work = WorkId { team: "red".to_owned(), name: "job".to_owned() };
    Task { work, index }
}

fn claim(epoch: Epoch) -> Request {
    let shard = Shard { data_centre: "dc".to_owned(), index: 0 };
    Request::Claim { shard, epoch, lease: LEASE }
}

fn start(epoch: Epoch, index: u32, attempt: Attempt) -> Request {
    let assignment = Assignment {
        task: task(index),
        attempt,
        size: Size::ZERO,
        command: vec!["serve".to_owned()],
        input: None,
    };
    Request::Start { epoch, assignment }
}

fn stop(mode: StopMode) -> Request {
    Request::Stop { epoch: 1, task: task(0), attempt: 1, mode }
}

/// Guards against a late start that takes effect although its attempt was stopped, and against a stop that affects
/// other attempts.
#[test]
fn late_start_of_a_stopped_attempt_is_refused() {
    let refused = || Reply::Refused(Refusal::NoSuchTask);
    // Name, mode of the stop, whether the worker fences, later requests, reply to the last of them.
    let cases: Vec<(&str, StopMode, bool, Vec<Request>, Reply)> = vec![
        ("stop", StopMode::Stop, true, vec![start(1, 0, 1)], refused()),
        ("checkpoint", StopMode::Checkpoint, true, vec![start(1, 0, 1)], refused()),
        ("twice", StopMode::Stop, true, vec![start(1, 0, 1), start(1, 0, 1)], refused()),
        ("claimed again", StopMode::Stop, true, vec![claim(1), start(1, 0, 1)], refused()),
        ("throttle", StopMode::Throttle, true, vec![start(1, 0, 1)], Reply::Done),
        ("next attempt", StopMode::Stop, true, vec![start(1, 0, 2)], Reply::Done),
        ("other task", StopMode::Stop, true, vec![start(1, 1, 1)], Reply::Done),
        ("higher epoch", StopMode::Stop, true, vec![claim(2), start(2, 0, 1)], Reply::Done),
        (
            "lower epoch",
            StopMode::Stop,
            true,
            vec![claim(2), start(1, 0, 1)],
            Reply::Refused(Refusal::StaleEpoch { current: 2 }),
        ),
        ("no fencing", StopMode::Stop, false, vec![start(1, 0, 1)], Reply::Done),
    ];
    for (name, mode, fencing, requests, expected) in cases {
        let now = Instant::now();
        let mut worker = Worker::new(1, Size::ZERO);
        worker.fencing = fencing;
        worker.handle(now, &claim(1));
        assert_eq!(worker.handle(now, &stop(mode)), refused(), "{name}");
        let replies: Vec<Reply> =
            requests.iter().map(|request| worker.handle(now, request)).collect();
        assert_eq!(replies.last(), Some(&expected), "{name}");
    }
}
