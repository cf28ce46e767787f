//! Guards against a difference between the fake table and the table adapter over loopback.
#![allow(clippy::unwrap_used)]

mod support;

use shallotpost_protocol::port::{Effect, Event};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::table::{Check, Reply, Request, Row, Write};
use shallotpost_standin::table::Table;
use support::{Fixture, TEST_TIMEOUT};

fn check(key: &str, version: Option<u64>) -> Check {
    Check { key: key.to_owned(), version }
}

fn write(key: &str, value: Option<&str>) -> Write {
    Write { key: key.to_owned(), value: value.map(str::to_owned) }
}

fn transact(checks: Vec<Check>, writes: Vec<Write>) -> Request {
    Request::Transact { checks, writes }
}

fn read(keys: &[&str]) -> Request {
    Request::Read { keys: keys.iter().map(|key| key.to_string()).collect() }
}

fn scan(prefix: &str, after: &str, limit: usize) -> Request {
    Request::Scan { prefix: prefix.to_owned(), after: after.to_owned(), limit }
}

fn rows(rows: &[(&str, &str, u64)], more: bool) -> Reply {
    let row = |(key, value, version): &(&str, &str, u64)| Row {
        key: key.to_string(),
        value: value.to_string(),
        version: *version,
    };
    Reply::Rows { rows: rows.iter().map(row).collect(), more }
}

fn conflict(keys: &[&str]) -> Reply {
    Reply::Conflict { keys: keys.iter().map(|key| key.to_string()).collect() }
}

/// Calls in order, each with the reply that the table contract requires.
fn cases() -> Vec<(Request, Reply)> {
    let odd = "a \"quoted\" \u{0}\n line, \u{1F980}";
    vec![
        (read(&["a/1"]), rows(&[], false)),
        (transact(vec![check("a/1", None)], vec![write("a/1", Some("one"))]), Reply::Committed),
        (read(&["b", "a/1", "a/1"]), rows(&[("a/1", "one", 1)], false)),
        (transact(vec![check("a/1", None)], vec![write("a/1", Some("two"))]), conflict(&["a/1"])),
        (
            transact(
                vec![check("a/1", Some(1)), check("a/2", Some(1))],
                vec![write("a/1", Some("two"))],
            ),
            conflict(&["a/2"]),
        ),
        (read(&["a/1"]), rows(&[("a/1", "one", 1)], false)),
        (
            transact(
                vec![check("a/1", Some(1))],
                vec![write("a/1", Some(odd)), write("a/2", Some("x")), write("b/1", Some("y"))],
            ),
            Reply::Committed,
        ),
        (scan("a/", "", 10), rows(&[("a/1", odd, 2), ("a/2", "x", 1)], false)),
        (scan("a/", "", 1), rows(&[("a/1", odd, 2)], true)),
        (scan("a/", "a/1", 1), rows(&[("a/2", "x", 1)], false)),
        (transact(vec![check("a/2", Some(1))], vec![write("a/2", None)]), Reply::Committed),
        (scan("a/", "a/1", 10), rows(&[], false)),
        (transact(vec![check("a/2", None)], vec![write("a/2", Some("again"))]), Reply::Committed),
        (read(&["a/2"]), rows(&[("a/2", "again", 1)], false)),
    ]
}

#[test]
fn fake_keeps_the_contract() {
    let mut table = Table::default();
    for (number, (request, expected)) in cases().into_iter().enumerate() {
        assert_eq!(table.handle(&request), expected, "case {number}: {request:?}");
    }
}

#[test]
fn adapter_keeps_the_contract() {
    let fixture = Fixture::start();
    for (number, (request, expected)) in cases().into_iter().enumerate() {
        let call = number as CallId;
        let effect = Effect::Table { call, request: request.clone(), timeout: TEST_TIMEOUT };
        fixture.edge.execute(effect);
        match fixture.event() {
            Event::Table { call: answered, result } => {
                assert_eq!((answered, result), (call, Ok(expected)), "case {number}: {request:?}");
            }
            other => panic!("case {number}: {other:?}"),
        }
    }
    fixture.no_event();
}
