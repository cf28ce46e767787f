//! Graceful shutdown: open requests are completed and new ones are rejected.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::TcpStream;
use std::thread;

use serde_json::json;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::prelude::*;
use support::{Fixture, TEST_TIMEOUT, agent};

fn get(fixture: &Fixture, path: &str) -> (u16, String) {
    let mut response = agent().get(fixture.url(path)).call().unwrap();
    (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
}

/// Guards against requests that are accepted or health checks that fail while the host drains.
#[test]
fn a_draining_host_refuses_new_requests() {
    let fixture = Fixture::start();
    fixture.edge.stop_accepting();
    let body = json!({"id": "a", "team": "t", "class": "batch", "size": {}, "command": []});
    let submit = agent().post(fixture.url("/v1/work")).send(body.to_string()).unwrap();
    assert_eq!(submit.status().as_u16(), 503);
    let problem: Problem = submit.into_body().read_json().unwrap();
    // The same id may have been submitted through another host, which runs it.
    assert_eq!((problem.kind, problem.not_run), (ProblemKind::Draining, false));
    assert!(problem.message.contains("This request admitted nothing"), "{problem}");
    assert_eq!(get(&fixture, "/healthz").0, 200);
    assert_eq!(get(&fixture, "/metrics").0, 200);
    fixture.no_event();
    thread::scope(|scope| {
        let client = scope.spawn(|| get(&fixture, "/readyz").0);
        let (request, _) = fixture.request();
        fixture.answer(request, Err(Problem::new(ProblemKind::Draining, "stopping")));
        assert_eq!(client.join().unwrap(), 503);
    });
}

/// Guards against a shutdown that interrupts a request, and against one that leaves the port open.
#[test]
fn open_requests_are_completed() {
    // No other test listens on this loopback address, so none takes over the port after it is closed.
    let fixture =
        Fixture::with_settings(|settings| settings.http_listen = ([127, 0, 0, 77], 0).into());
    thread::scope(|scope| {
        let client = scope.spawn(|| get(&fixture, "/v1/work/fish/job/wait"));
        let (request, _) = fixture.request();
        let finish = scope.spawn(|| fixture.edge.finish(TEST_TIMEOUT));
        // The response is long and must be written completely before the connection is closed.
        let problem = Problem::new(ProblemKind::TimedOut, "x".repeat(1 << 20));
        fixture.answer(request, Err(problem.clone()));
        let (status, answer) = client.join().unwrap();
        assert_eq!((status, serde_json::from_str(&answer).unwrap()), (504, problem));
        assert!(finish.join().unwrap());
    });
    let address = fixture.edge.http_address();
    assert!(TcpStream::connect(address).is_err(), "the port still accepts connections");
}

/// Guards against a shutdown that exceeds its timeout or claims an outcome for the remaining requests.
#[test]
fn finish_keeps_its_timeout() {
    let fixture = Fixture::start();
    thread::scope(|scope| {
        let client = scope.spawn(|| get(&fixture, "/v1/work/fish/job/wait"));
        let (request, _) = fixture.request();
        let started = Instant::now();
        let bound = Duration::from_millis(200);
        assert!(!fixture.edge.finish(bound));
        assert!(started.elapsed() >= bound && started.elapsed() < bound * 10);
        let (status, answer) = client.join().unwrap();
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((status, problem.kind, problem.not_run), (504, ProblemKind::Unknown, false));
        fixture.answer(request, Ok(Reply::Ready));
    });
}
