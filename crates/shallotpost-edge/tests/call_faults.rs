//! Failing calls: each gets exactly one event, with the right kind of failure.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;

use shallotpost_edge::Settings;
use shallotpost_protocol::port::{Effect, Event, Failure};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::table::{Check, Reply, Request, Write as RowWrite};
use shallotpost_protocol::{worker, worker_list};
use shallotpost_standin::fault::Fault;
use support::{Fixture, TEST_TIMEOUT, any_port, refusing_port};

/// Timeout of calls that are expected to time out.
const SHORT: Duration = Duration::from_millis(300);

fn create(key: &str) -> Request {
    let check = Check { key: key.to_owned(), version: None };
    let write = RowWrite { key: key.to_owned(), value: Some("x".to_owned()) };
    Request::Transact { checks: vec![check], writes: vec![write] }
}

fn send(fixture: &Fixture, call: CallId, request: Request, timeout: Duration) {
    fixture.edge.execute(Effect::Table { call, request, timeout });
}

fn table_event(fixture: &Fixture) -> (CallId, Result<Reply, Failure>) {
    match fixture.event() {
        Event::Table { call, result } => (call, result),
        other => panic!("{other:?}"),
    }
}

/// Guards against wrong claims: `NotSent` for a call that took effect, or success for one that did not.
#[test]
fn failures_are_classified() {
    let fault = Fault::default();
    let cases = [
        ("answer lost", Fault { lose_after_effect: Some(1), ..fault.clone() }, true),
        ("call lost", Fault { lose_before_effect: Some(1), ..fault.clone() }, false),
        ("down", Fault { down: Some(true), ..fault.clone() }, false),
        ("answer cut", Fault { truncate_answers: Some(1), ..fault.clone() }, true),
        ("slow", Fault { slow_ms: Some(3000), ..fault.clone() }, true),
    ];
    for (name, fault, takes_effect) in cases {
        let fixture = Fixture::start();
        fixture.platform.fault(&fault);
        send(&fixture, 1, create("a"), SHORT);
        assert_eq!(table_event(&fixture), (1, Err(Failure::Ambiguous)), "{name}");
        assert_eq!(fixture.platform.table().row("a").is_some(), takes_effect, "{name}");
        let reset = Fault { down: Some(false), slow_ms: Some(0), ..Fault::default() };
        fixture.platform.fault(&reset);
        send(&fixture, 2, create("b"), TEST_TIMEOUT);
        assert_eq!(table_event(&fixture), (2, Ok(Reply::Committed)), "{name}");
        fixture.no_event();
    }
}

/// Guards against a refused connection that counts as ambiguous, which would block the id of a submission.
#[test]
fn a_refused_connection_is_not_sent() {
    let (_socket, address) = refusing_port();
    let fixture = Fixture::with_settings(|settings| {
        settings.table_url = format!("http://{address}/table");
        settings.list_url = format!("http://{address}/list");
    });
    send(&fixture, 1, create("a"), TEST_TIMEOUT);
    assert_eq!(table_event(&fixture), (1, Err(Failure::NotSent)));
    fixture.edge.execute(Effect::WorkerList { call: 2, timeout: TEST_TIMEOUT });
    assert!(matches!(
        fixture.event(),
        Event::WorkerList { call: 2, result: Err(Failure::NotSent) }
    ));
    send(&fixture, 3, create("a"), Duration::ZERO);
    assert_eq!(table_event(&fixture), (3, Err(Failure::NotSent)));
    fixture.no_event();
}

/// Guards against invalid responses that are accepted or classified wrongly.
#[test]
fn invalid_responses_are_failures() {
    let ok =
        |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let status = |status: u16| format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    let cases = [
        ("no JSON", ok("xyz"), Failure::Ambiguous),
        ("another type", ok("{\"rows\":7}"), Failure::Ambiguous),
        ("empty", ok(""), Failure::Ambiguous),
        ("no HTTP", "hello\r\n\r\n".to_owned(), Failure::Ambiguous),
        ("half a head", "HTTP/1.1 200 OK\r\nContent-".to_owned(), Failure::Ambiguous),
        (
            "half a chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n\"comm".to_owned(),
            Failure::Ambiguous,
        ),
        (
            "redirect",
            "HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Failure::Ambiguous,
        ),
        ("400", status(400), Failure::Rejected),
        ("408", status(408), Failure::Ambiguous),
        ("500", status(500), Failure::Ambiguous),
        ("503", status(503), Failure::Ambiguous),
    ];
    for (name, answer, expected) in cases {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let fixture = Fixture::with_settings(|settings| {
            settings.table_url = format!("http://{address}/table")
        });
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // The whole request comes in one piece, so that closing the connection does not reset it.
            let count = stream.read(&mut [0; 4096]).unwrap();
            assert!(count > 0);
            stream.write_all(answer.as_bytes()).unwrap();
        });
        send(&fixture, 1, create("a"), TEST_TIMEOUT);
        assert_eq!(table_event(&fixture), (1, Err(expected)), "{name}");
        server.join().unwrap();
    }
}

/// Guards against stalled pooled connections that cost more than one timeout.
#[test]
fn stalled_connections_cost_one_timeout() {
    let fixture = Fixture::start();
    // Answers that overlap need a connection each.
    fixture.platform.fault(&Fault { slow_ms: Some(200), ..Fault::default() });
    (1..=4).for_each(|call| send(&fixture, call, create(&call.to_string()), TEST_TIMEOUT));
    (1..=4).for_each(|_| assert_eq!(table_event(&fixture).1, Ok(Reply::Committed)));
    let fault =
        Fault { slow_ms: Some(0), silence_open_connections: Some(true), ..Fault::default() };
    fixture.platform.fault(&fault);
    send(&fixture, 5, create("5"), SHORT);
    assert_eq!(table_event(&fixture), (5, Err(Failure::Ambiguous)));
    for call in 6..=9 {
        send(&fixture, call, create(&call.to_string()), TEST_TIMEOUT);
        assert_eq!(table_event(&fixture), (call, Ok(Reply::Committed)));
    }
    fixture.no_event();
}

/// Guards against a failure that comes before or long after the timeout, and against a late response that is taken for
/// the response to another call.
#[test]
fn a_late_response_reaches_no_other_call() {
    let fixture = Fixture::start();
    fixture.platform.fault(&Fault { slow_ms: Some(600), ..Fault::default() });
    let started = Instant::now();
    send(&fixture, 1, create("a"), SHORT);
    assert_eq!(table_event(&fixture), (1, Err(Failure::Ambiguous)));
    let took = started.elapsed();
    assert!(took >= SHORT && took < SHORT * 2, "{took:?}");
    let read = |key: &str| Request::Read { keys: vec![key.to_owned()] };
    send(&fixture, 2, read("none"), TEST_TIMEOUT);
    assert_eq!(table_event(&fixture), (2, Ok(Reply::Rows { rows: Vec::new(), more: false })));
    fixture.no_event();
}

/// Guards against calls that wait for a thread or exceed a worker's connection limit: they fail immediately, unsent.
#[test]
fn calls_beyond_a_limit_are_refused_at_once() {
    type Adjust = fn(&mut Settings);
    // Limits, and the workers of three calls, the last of which is rejected.
    let cases: [(Adjust, [usize; 3]); 2] = [
        (|settings| settings.worker_threads = 2, [0, 1, 2]),
        (|settings| settings.worker_connections = 1, [0, 1, 0]),
    ];
    for (adjust, targets) in cases {
        let fixture = Fixture::with_settings(adjust);
        let workers = [0; 3].map(|_| TcpListener::bind(any_port()).unwrap());
        let execute = |call: usize| {
            let (shard, epoch, lease) = ("kochi/0".parse().unwrap(), 1, TEST_TIMEOUT);
            fixture.edge.execute(Effect::Worker {
                call: call as CallId,
                worker: "worker-1".to_owned(),
                address: workers[targets[call]].local_addr().unwrap().to_string(),
                request: worker::Request::Claim { shard, epoch, lease },
                timeout: TEST_TIMEOUT,
            });
        };
        execute(0);
        execute(1);
        let connections = [0, 1].map(|worker: usize| workers[worker].accept().unwrap());
        execute(2);
        assert!(matches!(
            fixture.event(),
            Event::Worker { call: 2, result: Err(Failure::NotSent) }
        ));
        drop(connections);
        for _ in 0..2 {
            let event = fixture.event();
            let ambiguous = Err(Failure::Ambiguous);
            assert!(matches!(event, Event::Worker { call: 0 | 1, result } if result == ambiguous));
        }
        fixture.no_event();
    }
}

/// Reads one call with its body, which may arrive in pieces.
fn read_call(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if length.unwrap().parse::<usize>().unwrap() == body.len() {
            return;
        }
    }
}

/// Guards against calls that lose, repeat or reorder bytes: short ones arrive in one piece, long ones completely.
#[test]
fn calls_arrive_whole() {
    for length in [1, 100, 3_900, 4_000, 4_100, 8_192, 100_000] {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let fixture = Fixture::with_settings(|settings| {
            settings.table_url = format!("http://{address}/table")
        });
        let key: String = (0..length).map(|index| char::from(b'a' + (index % 23) as u8)).collect();
        let request = create(&key);
        let expected = serde_json::to_string(&request).unwrap();
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut text = String::new();
            let mut reads = 0;
            while !text.ends_with(&expected) {
                let mut bytes = [0; 4096];
                let count = stream.read(&mut bytes).unwrap();
                assert!(count > 0, "the call ends early");
                text.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
                reads += 1;
            }
            let (_, body) = text.split_once("\r\n\r\n").unwrap();
            assert_eq!(body, expected);
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n\"committed\"";
            stream.write_all(answer.as_bytes()).unwrap();
            reads
        });
        send(&fixture, 1, request, TEST_TIMEOUT);
        assert_eq!(table_event(&fixture), (1, Ok(Reply::Committed)), "{length}");
        let reads = server.join().unwrap();
        assert!(length > 100 || reads == 1, "{length} bytes came in {reads} pieces");
    }
}

/// Guards against a start that fails as ambiguous because the worker closed an idle connection while the start was
/// being sent on it. Work that is not idempotent would end as `unknown`.
#[test]
fn a_start_uses_a_new_connection() {
    let fixture = Fixture::start();
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    // Answers one call on each connection and closes the connection when the next call comes.
    let answered = thread::spawn(move || {
        let mut open = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            read_call(&mut stream);
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n\"done\"").unwrap();
            let closing = stream.try_clone().unwrap();
            thread::spawn(move || {
                let _ = (&closing).read(&mut [0; 4096]);
                let _ = closing.shutdown(Shutdown::Both);
            });
            open.push(stream);
        }
        open
    });
    let (shard, epoch, lease) = ("kochi/0".parse().unwrap(), 1, TEST_TIMEOUT);
    let assignment = worker::Assignment {
        task: Task { work: "fish/job-1".parse().unwrap(), index: 0 },
        attempt: 1,
        size: Size::from_parts([1, 1, 0, 1]),
        command: vec!["run".to_owned()],
        input: None,
    };
    let requests = [
        worker::Request::Claim { shard, epoch, lease },
        worker::Request::Start { epoch, assignment },
    ];
    for (call, request) in (1..).zip(requests) {
        let (worker, address) = ("worker-1".to_owned(), address.clone());
        fixture.edge.execute(Effect::Worker {
            call,
            worker,
            address,
            request,
            timeout: TEST_TIMEOUT,
        });
        match fixture.event() {
            Event::Worker { result, .. } => assert_eq!(result, Ok(worker::Reply::Done), "{call}"),
            other => panic!("{other:?}"),
        }
    }
    drop(answered.join().unwrap());
}

/// Guards against a worker list that is translated wrongly.
#[test]
fn the_list_is_read() {
    let fixture = Fixture::start();
    let entry = worker_list::Worker {
        worker: "w".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "kochi".to_owned(),
        rack: "r".to_owned(),
        capacity: Size::from_parts([1, 2, 3, 4]),
        leaving: true,
    };
    fixture.platform.update_list(|list| list.push(entry.clone()));
    fixture.edge.execute(Effect::WorkerList { call: 7, timeout: TEST_TIMEOUT });
    match fixture.event() {
        Event::WorkerList { call, result } => assert_eq!((call, result), (7, Ok(vec![entry]))),
        other => panic!("{other:?}"),
    }
}
