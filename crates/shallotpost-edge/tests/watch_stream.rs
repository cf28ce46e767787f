//! `GET /v1/watch?stream=1`: one change per line, until the client disconnects or an error line ends the stream.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use serde_json::{Value, json};
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::port::Event;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::{Change, Kind};
use support::{Fixture, TEST_TIMEOUT, agent};

fn change(revision: Revision) -> Change {
    let text = || "x".to_owned();
    Change {
        revision,
        who: text(),
        host: text(),
        at_unix_ms: 0,
        kind: Kind::Team,
        name: text(),
        before: None,
        after: None,
    }
}

fn changes(revisions: std::ops::RangeInclusive<Revision>) -> Result<Reply, Problem> {
    let next = *revisions.end();
    Ok(Reply::Changes { changes: revisions.map(change).collect(), next })
}

/// Returns the next request, which must be a watch from this revision.
fn watch(fixture: &Fixture, expected: Revision) -> RequestId {
    let (request, call) = fixture.request();
    assert_eq!(call.key, "op.secret");
    assert!(matches!(call.request, Request::Watch { from, .. } if from == expected), "{call:?}");
    request
}

/// Opens a stream from revision 4 and returns its lines once the first response has arrived.
fn open(fixture: &Fixture, first: Result<Reply, Problem>) -> impl Iterator<Item = Value> + use<> {
    let url = fixture.url("/v1/watch?from=4&stream=1");
    let call = std::thread::spawn(move || {
        let request = agent().get(url).header("Authorization", "Bearer op.secret");
        request.call().unwrap()
    });
    fixture.answer(watch(fixture, 4), first);
    let response = call.join().unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let lines = BufReader::new(response.into_body().into_reader()).lines();
    lines
        .map(|line| line.unwrap())
        .filter(|line| !line.is_empty())
        .map(|line| line.parse().unwrap())
}

fn revision(line: &Value) -> Revision {
    serde_json::from_value::<Change>(line.clone()).unwrap().revision
}

/// Guards against changes that are lost, repeated or delayed between batches, and against a stream without an end line.
#[test]
fn changes_are_streamed_in_order() {
    let fixture = Fixture::start();
    let mut lines = open(&fixture, changes(5..=6));
    assert_eq!([lines.next(), lines.next()].map(|line| revision(&line.unwrap())), [5, 6]);
    let empty = Ok(Reply::Changes { changes: Vec::new(), next: 6 });
    fixture.answer(watch(&fixture, 6), empty);
    fixture.answer(watch(&fixture, 6), changes(7..=9));
    for expected in 7..=9 {
        assert_eq!(revision(&lines.next().unwrap()), expected);
    }
    let problem = Problem::new(ProblemKind::RevisionTooOld, "too old");
    fixture.answer(watch(&fixture, 9), Err(problem.clone()));
    assert_eq!(lines.next(), Some(json!({"problem": problem})));
    assert_eq!(lines.next(), None);
    fixture.no_event();
}

/// Guards against an error as first response that still starts a stream.
#[test]
fn a_refused_stream_is_a_problem() {
    let fixture = Fixture::start();
    let url = fixture.url("/v1/watch?stream=1");
    let call = std::thread::spawn(move || agent().get(url).call().unwrap().status().as_u16());
    let (request, _) = fixture.request();
    fixture.answer(request, Err(Problem::new(ProblemKind::Unauthorized, "no key")));
    assert_eq!(call.join().unwrap(), 401);
}

/// Guards against a kernel that serves disconnected watchers.
#[test]
fn a_disconnected_watcher_is_reported() {
    let fixture = Fixture::start();
    let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = "GET /v1/watch?from=4&stream=1 HTTP/1.1\r\nAuthorization: Bearer op.secret\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    fixture.answer(watch(&fixture, 4), changes(5..=5));
    let left = watch(&fixture, 5);
    drop(stream);
    assert!(matches!(fixture.event(), Event::Abandoned { request } if request == left));
    fixture.answer(left, changes(6..=6));
    fixture.no_event();
}

/// Guards against a graceful shutdown that waits for watchers, or that ends their streams without an error line.
#[test]
fn shutdown_ends_streams_with_a_line() {
    let fixture = Fixture::start();
    let mut lines = open(&fixture, changes(5..=5));
    assert_eq!(revision(&lines.next().unwrap()), 5);
    let request = watch(&fixture, 5);
    fixture.edge.stop_accepting();
    assert!(matches!(fixture.event(), Event::Abandoned { request: left } if left == request));
    assert_eq!(lines.next().unwrap()["problem"]["kind"], json!("draining"));
    assert_eq!(lines.next(), None);
    assert!(fixture.edge.finish(TEST_TIMEOUT));
}
