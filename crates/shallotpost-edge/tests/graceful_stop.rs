//! Graceful shutdown: open requests are completed and new ones are rejected.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::TcpStream;
use std::thread;

use serde_json::json;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::prelude::*;
use support::{Bench, PATIENCE, agent};

fn get(bench: &Bench, path: &str) -> (u16, String) {
    let mut response = agent().get(bench.url(path)).call().unwrap();
    (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
}

/// Guards against requests that are accepted or health checks that fail while the host drains.
#[test]
fn a_draining_host_refuses_new_requests() {
    let bench = Bench::start();
    bench.edge.stop_accepting();
    let body = json!({"id": "a", "team": "t", "class": "batch", "size": {}, "command": []});
    let submit = agent().post(bench.url("/v1/work")).send(body.to_string()).unwrap();
    assert_eq!(submit.status().as_u16(), 503);
    let problem: Problem = submit.into_body().read_json().unwrap();
    // The same id may have been submitted through another host, which runs it.
    assert_eq!((problem.kind, problem.not_run), (ProblemKind::Draining, false));
    assert!(problem.message.contains("This request admitted nothing"), "{problem}");
    assert_eq!(get(&bench, "/healthz").0, 200);
    assert_eq!(get(&bench, "/metrics").0, 200);
    bench.no_event();
    thread::scope(|scope| {
        let caller = scope.spawn(|| get(&bench, "/readyz").0);
        let (request, _) = bench.request();
        bench.answer(request, Err(Problem::new(ProblemKind::Draining, "stopping")));
        assert_eq!(caller.join().unwrap(), 503);
    });
}

/// Guards against a shutdown that interrupts a request, and against one that leaves the port open.
#[test]
fn open_requests_are_completed() {
    // No other test listens on this loopback address, so none takes over the port after it is closed.
    let bench = Bench::with(|settings| settings.http_listen = ([127, 0, 0, 77], 0).into());
    thread::scope(|scope| {
        let caller = scope.spawn(|| get(&bench, "/v1/work/fish/job/wait"));
        let (request, _) = bench.request();
        let finish = scope.spawn(|| bench.edge.finish(PATIENCE));
        // The response is long and must be written completely before the connection is closed.
        let problem = Problem::new(ProblemKind::TimedOut, "x".repeat(1 << 20));
        bench.answer(request, Err(problem.clone()));
        let (status, answer) = caller.join().unwrap();
        assert_eq!((status, serde_json::from_str(&answer).unwrap()), (504, problem));
        assert!(finish.join().unwrap());
    });
    let address = bench.edge.http_address();
    assert!(TcpStream::connect(address).is_err(), "the port still accepts connections");
}

/// Guards against a shutdown that exceeds its timeout or claims an outcome for the remaining requests.
#[test]
fn the_bound_is_kept() {
    let bench = Bench::start();
    thread::scope(|scope| {
        let caller = scope.spawn(|| get(&bench, "/v1/work/fish/job/wait"));
        let (request, _) = bench.request();
        let started = Instant::now();
        let bound = Duration::from_millis(200);
        assert!(!bench.edge.finish(bound));
        assert!(started.elapsed() >= bound && started.elapsed() < bound * 10);
        let (status, answer) = caller.join().unwrap();
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((status, problem.kind, problem.not_run), (504, ProblemKind::Unknown, false));
        bench.answer(request, Ok(Reply::Ready));
    });
}
