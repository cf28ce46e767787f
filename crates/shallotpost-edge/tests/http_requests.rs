//! The HTTP API: translation of requests, invalid input, and delivery of responses to the right clients.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use shallotpost_protocol::interface::{Overview, Reply, Request};
use shallotpost_protocol::port::Event;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::{Kind, Propagation, Resource, Team};
use support::{Fixture, TEST_TIMEOUT, agent};

const SPECIFICATION: &str =
    r#"{"id":"job-1","team":"fish","class":"batch","size":{},"command":["run","1"]}"#;

/// Sends raw bytes and returns status and body of the response. The request must ask to close the connection.
fn raw(fixture: &Fixture, request: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(request).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    if answer.starts_with("HTTP/1.1 100 ") {
        answer = answer.split_once("\r\n\r\n").unwrap().1.to_owned();
    }
    let status = answer.split(' ').nth(1).unwrap_or_else(|| panic!("no answer: {answer:?}"));
    let status = status.parse().unwrap();
    (status, answer.split_once("\r\n\r\n").unwrap().1.to_owned())
}

fn message(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head =
        format!("{line} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n");
    format!("{head}{headers}\r\n{body}").into_bytes()
}

/// Guards against a malformed request that reaches the kernel or gets no typed problem.
#[test]
fn bad_inputs_get_problems() {
    let fixture = Fixture::start();
    let spec = |field: &str| SPECIFICATION.replacen('{', &format!("{{{field},"), 1);
    let (unknown_field, negative) = (spec("\"colour\":1"), spec("\"attempts\":-1"));
    let unknown_class = SPECIFICATION.replace("\"batch\"", r#"{"gang":{"parts":2,"colour":1}}"#);
    let large = format!("{}{SPECIFICATION}", " ".repeat(300 << 10));
    let team = r#"{"team":{"share":1}}"#;
    let cases: Vec<(&str, &str, ProblemKind)> = vec![
        ("POST /v1/work", "", ProblemKind::Malformed),
        ("POST /v1/work", "{\"id\":", ProblemKind::Malformed),
        ("POST /v1/work", "[]", ProblemKind::Malformed),
        ("POST /v1/work", &unknown_field, ProblemKind::Malformed),
        ("POST /v1/work", &unknown_class, ProblemKind::Malformed),
        ("POST /v1/work", &negative, ProblemKind::Malformed),
        ("POST /v1/work", &large, ProblemKind::TooLarge),
        ("POST /v1/work?x=1", SPECIFICATION, ProblemKind::Malformed),
        ("PATCH /v1/work", SPECIFICATION, ProblemKind::NotFound),
        ("GET /v1/work", "", ProblemKind::NotFound),
        ("GET /", "", ProblemKind::NotFound),
        ("GET /v2/work/fish", "", ProblemKind::NotFound),
        ("GET /v1/work/fish?limit=0", "", ProblemKind::Malformed),
        ("GET /v1/work/fish?limit=501", "", ProblemKind::Malformed),
        ("GET /v1/work/fish?limit=ten", "", ProblemKind::Malformed),
        ("GET /v1/work/fish?limit=1&limit=2", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/..", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/%zz", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/%ff", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/a%2Fb", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/job/wait?wait_ms=60001", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/job/wait?wait_ms=-1", "", ProblemKind::Malformed),
        ("GET /v1/work/fish/job/cancel", "", ProblemKind::NotFound),
        ("GET /v1/resources/colour", "", ProblemKind::NotFound),
        ("PUT /v1/resources/key/fish", team, ProblemKind::Malformed),
        ("PUT /v1/resources/team/fish?revision=x", team, ProblemKind::Malformed),
        ("PUT /v1/resources/team/fish?dry_run=1", team, ProblemKind::Malformed),
        ("PUT /v1/resources/team/fish", r#"{"team":{"share":1,"x":1}}"#, ProblemKind::Malformed),
        ("GET /v1/force/x", "", ProblemKind::Malformed),
        ("GET /v1/watch?from=x", "", ProblemKind::Malformed),
        ("GET /v1/watch?stream=2", "", ProblemKind::Malformed),
        ("GET /v1/audit?limit=9999", "", ProblemKind::Malformed),
        ("POST /v1/objects/fish/a", "", ProblemKind::NotFound),
        ("PUT /v1/objects/fish/.a", "", ProblemKind::Malformed),
    ];
    for (line, body, kind) in cases {
        let (status, answer) = raw(&fixture, &message(line, "", body));
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((status, problem.kind), (kind.status(), kind), "{line} {answer}");
        assert_eq!(problem.not_run, line == "POST /v1/work", "{line}: {answer}");
        assert!(!problem.remedy.is_empty());
    }
    let basic = message("GET /v1/status", "Authorization: Basic abc\r\n", "");
    assert_eq!(raw(&fixture, &basic).0, 401);
    fixture.no_event();
}

/// Guards against unbounded allocation for a declared length, and against an invalid chunked body.
#[test]
fn broken_lengths_get_problems() {
    let fixture = Fixture::start();
    let cases = [
        ("Content-Length: 18446744073709551615\r\n", "", 413),
        ("Content-Length: 4611686018427387904\r\n", "{}", 413),
        ("Transfer-Encoding: chunked\r\n", "zz\r\n", 400),
        ("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n", 400),
    ];
    for (header, body, expected) in cases {
        let request = format!("POST /v1/work HTTP/1.1\r\nConnection: close\r\n{header}\r\n{body}");
        let (status, answer) = raw(&fixture, request.as_bytes());
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((status, problem.kind.status()), (expected, expected), "{header}");
    }
    fixture.no_event();
}

/// Guards against a rejection that sets `not_run` although the same id may run through another host.
#[test]
fn not_run_is_claimed_for_bodies_that_are_never_admitted() {
    let fixture = Fixture::start();
    let basic = "Authorization: Basic abc\r\n";
    let unknown_field = SPECIFICATION.replacen('{', "{\"colour\":1,", 1);
    let large = " ".repeat(300 << 10);
    let length = |header: &str, body: &str| {
        let head = format!("POST /v1/work HTTP/1.1\r\nConnection: close\r\n{header}\r\n\r\n");
        [head.as_bytes(), body.as_bytes()].concat()
    };
    let submit = |headers: &str, body: &str| message("POST /v1/work", headers, body);
    let cases = [
        ("no JSON", submit("", "{"), ProblemKind::Malformed, true),
        ("unknown field", submit("", &unknown_field), ProblemKind::Malformed, true),
        ("too large", submit("", &large), ProblemKind::TooLarge, true),
        ("absurd", length("Content-Length: 4611686018427387904", ""), ProblemKind::TooLarge, true),
        ("no bearer key", submit(basic, SPECIFICATION), ProblemKind::Unauthorized, false),
        ("query", message("POST /v1/work?x=1", "", SPECIFICATION), ProblemKind::Malformed, false),
        (
            "broken chunk",
            length("Transfer-Encoding: chunked", "zz\r\n"),
            ProblemKind::Malformed,
            false,
        ),
    ];
    for (name, request, kind, not_run) in cases {
        let (_, answer) = raw(&fixture, &request);
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((problem.kind, problem.not_run), (kind, not_run), "{name}: {answer}");
    }
    fixture.no_event();
}

/// Guards against a route that maps onto the wrong kernel request.
#[test]
fn routes_map_onto_requests() {
    let fixture = Fixture::start();
    let work = || "fish/job-1".parse::<WorkId>().unwrap();
    let team = || Resource::Team(Team { share: 2, cap: Size::from_parts([u64::MAX; 4]) });
    let name = || "fish".to_owned();
    let second = Duration::from_secs(1);
    let cases: Vec<(&str, &str, Request)> = vec![
        (
            "POST /v1/work",
            SPECIFICATION,
            Request::Submit(serde_json::from_str(SPECIFICATION).unwrap()),
        ),
        ("GET /v1/work/fish/job-1", "", Request::Status(work())),
        ("GET /v1/work/fish/job%2D1", "", Request::Status(work())),
        (
            "GET /v1/work/fish/job-1/wait?wait_ms=1000",
            "",
            Request::Wait { work: work(), wait: second },
        ),
        ("POST /v1/work/fish/job-1/cancel", "", Request::Cancel(work())),
        ("GET /v1/work/fish/job-1/explain", "", Request::Explain(work())),
        (
            "GET /v1/work/fish?after=a&limit=500",
            "",
            Request::List { team: name(), after: "a".to_owned(), limit: 500 },
        ),
        (
            "GET /v1/resources/data_centre/fish",
            "",
            Request::Get { kind: Kind::DataCentre, name: name() },
        ),
        (
            "GET /v1/resources/team?prefix=f&after=a",
            "",
            Request::Resources {
                kind: Kind::Team,
                prefix: "f".to_owned(),
                after: "a".to_owned(),
                limit: 100,
            },
        ),
        (
            "PUT /v1/resources/team/fish?revision=0&dry_run=true",
            r#"{"team":{"share":2}}"#,
            Request::Put { name: name(), resource: team(), revision: Some(0), dry_run: true },
        ),
        (
            "DELETE /v1/resources/team/fish?revision=9",
            "",
            Request::Delete { kind: Kind::Team, name: name(), revision: Some(9), dry_run: false },
        ),
        ("GET /v1/watch?from=4&wait_ms=1000", "", Request::Watch { from: 4, wait: second }),
        ("GET /v1/force/7", "", Request::Propagation(7)),
        ("GET /v1/audit?from=3&limit=5", "", Request::Audit { from: 3, limit: 5 }),
        ("GET /v1/status", "", Request::Overview),
        ("GET /readyz", "", Request::Ready),
    ];
    for (line, body, expected) in cases {
        let sent = message(line, "Authorization: Bearer op.secret\r\n", body);
        let (status, answer) = thread::scope(|scope| {
            let client = scope.spawn(|| raw(&fixture, &sent));
            let (request, call) = fixture.request();
            assert_eq!((call.key.as_str(), call.request), ("op.secret", expected), "{line}");
            fixture.answer(request, Ok(Reply::Cancelling));
            client.join().unwrap()
        });
        assert_eq!((status, answer.as_str()), (200, "\"cancelling\""), "{line}");
    }
    let (_, health) = raw(&fixture, &message("GET /healthz", "", ""));
    let (_, metrics) = raw(&fixture, &message("GET /metrics", "", ""));
    assert_eq!((health.as_str(), metrics.as_str()), ("ok\n", "metric 1\n"));
    fixture.no_event();
}

/// Guards against an HTTP status that hides a pending change or a repeated submission.
#[test]
fn replies_map_onto_statuses() {
    let fixture = Fixture::start();
    let changed = |in_force| {
        let propagation = Propagation { revision: 5, in_force, waiting_for: Vec::new() };
        Ok(Reply::Changed { revision: 5, propagation })
    };
    let accepted = |repeated| {
        let (work, shard) = ("fish/job-1".parse().unwrap(), "kochi/0".parse().unwrap());
        Ok(Reply::Accepted { work, shard, repeated })
    };
    let refused = |kind| Err(Problem::new(kind, "because"));
    let cases = [
        ("DELETE /v1/resources/team/a", changed(true), 200),
        ("DELETE /v1/resources/team/a", changed(false), 202),
        ("DELETE /v1/resources/team/a?dry_run=true", changed(false), 200),
        ("GET /v1/status", accepted(false), 202),
        ("GET /v1/status", accepted(true), 200),
        ("GET /readyz", Ok(Reply::Ready), 200),
        ("GET /readyz", refused(ProblemKind::Draining), 503),
        ("GET /v1/status", refused(ProblemKind::Unauthorized), 401),
        ("GET /v1/status", refused(ProblemKind::Unknown), 504),
    ];
    for (line, result, expected) in cases {
        let status = thread::scope(|scope| {
            let client = scope.spawn(|| raw(&fixture, &message(line, "", "")));
            let (request, call) = fixture.request();
            assert_eq!(call.key, "", "a missing key is left to the kernel");
            fixture.answer(request, result.clone());
            client.join().unwrap().0
        });
        assert_eq!(status, expected, "{line} {result:?}");
    }
}

/// Guards against responses that reach the wrong client when the kernel answers out of order.
#[test]
fn out_of_order_answers_reach_their_clients() {
    let fixture = Fixture::start();
    let ask = |team: &str| raw(&fixture, &message(&format!("GET /v1/work/{team}/job"), "", ""));
    thread::scope(|scope| {
        let clients: Vec<_> = (0..8)
            .map(|number| scope.spawn(move || (number, ask(&format!("team-{number}")))))
            .collect();
        let requests: Vec<_> = (0..8).map(|_| fixture.request()).collect();
        for (request, call) in requests.into_iter().rev() {
            let Request::Status(work) = call.request else { panic!("{call:?}") };
            fixture.answer(request, Err(Problem::new(ProblemKind::NotFound, work.team)));
        }
        for client in clients {
            let (number, (status, answer)) = client.join().unwrap();
            let problem: Problem = serde_json::from_str(&answer).unwrap();
            assert_eq!((status, problem.message), (404, format!("team-{number}")));
        }
    });
}

/// Guards against a kernel that serves disconnected clients, and against a late answer that reaches the next client.
#[test]
fn a_disconnected_client_is_reported() {
    let fixture = Fixture::start();
    let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
    stream.write_all(b"GET /v1/work/fish/job/wait HTTP/1.1\r\n\r\n").unwrap();
    let (left, _) = fixture.request();
    drop(stream);
    match fixture.event() {
        Event::Abandoned { request } => assert_eq!(request, left),
        other => panic!("{other:?}"),
    }
    fixture.answer(left, Ok(Reply::Ready));
    let overview = Reply::Overview(Overview::default());
    let (status, answer) = thread::scope(|scope| {
        let client = scope.spawn(|| raw(&fixture, &message("GET /v1/status", "", "")));
        let (request, _) = fixture.request();
        assert_ne!(request, left);
        fixture.answer(left, Ok(Reply::Ready));
        fixture.answer(request, Ok(overview.clone()));
        client.join().unwrap()
    });
    assert_eq!((status, serde_json::from_str::<Reply>(&answer).unwrap()), (200, overview));
    fixture.no_event();
}

/// Guards against unbounded open requests: a request beyond the limit is rejected immediately, and the rejection of a
/// submission claims nothing about other requests with the same id.
#[test]
fn too_many_open_requests_are_refused() {
    let fixture = Fixture::with_settings(|settings| settings.open_requests = 2);
    thread::scope(|scope| {
        let held: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| raw(&fixture, &message("GET /v1/status", "", "")).0))
            .collect();
        let requests = [fixture.request(), fixture.request()];
        let (status, answer) = raw(&fixture, &message("POST /v1/work", "", SPECIFICATION));
        let problem: Problem = serde_json::from_str(&answer).unwrap();
        assert_eq!((status, problem.kind, problem.not_run), (429, ProblemKind::Overloaded, false));
        assert!(problem.message.contains("This request admitted nothing"), "{problem}");
        requests.into_iter().for_each(|(request, _)| fixture.answer(request, Ok(Reply::Ready)));
        held.into_iter().for_each(|client| assert_eq!(client.join().unwrap(), 200));
    });
    fixture.no_event();
}

/// Guards against a connection that cannot be reused.
#[test]
fn a_connection_serves_many_requests() {
    let fixture = Fixture::start();
    let agent = agent();
    for _ in 0..20 {
        let status = thread::scope(|scope| {
            let client = scope.spawn(|| agent.get(fixture.url("/readyz")).call().unwrap());
            let (request, _) = fixture.request();
            fixture.answer(request, Ok(Reply::Ready));
            let mut response = client.join().unwrap();
            assert_eq!(response.body_mut().read_to_string().unwrap(), "\"ready\"");
            response.status().as_u16()
        });
        assert_eq!(status, 200);
    }
}

/// Guards against pipelined requests, whose responses would block each other on the writing threads.
#[test]
fn pipelined_requests_close_the_connection() {
    let fixture = Fixture::start();
    let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = "GET /v1/status HTTP/1.1\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let (first, _) = fixture.request();
    stream.write_all(head.as_bytes()).unwrap();
    assert!(matches!(fixture.event(), Event::Abandoned { request } if request == first));
    assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0);
    fixture.no_event();
}

/// Guards against clients that stall within a body and hold the reading threads.
#[test]
fn a_stalled_body_times_out() {
    let fixture = Fixture::with_settings(|settings| {
        settings.http_threads = 1;
        settings.body_timeout = Duration::from_millis(200);
    });
    let started = Instant::now();
    for header in ["Content-Length: 5000", "Transfer-Encoding: chunked"] {
        let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(stream, "POST /v1/work HTTP/1.1\r\n{header}\r\n\r\n").unwrap();
        assert_eq!(stream.read(&mut [0; 64]).unwrap_or(0), 0, "{header}");
    }
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    assert_eq!(raw(&fixture, &message("GET /healthz", "", "")).0, 200);
}
