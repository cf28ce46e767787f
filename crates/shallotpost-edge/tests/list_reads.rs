//! Reads of the worker list: conditional, filtered by data centre, and correct with servers that support neither.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use shallotpost_protocol::port::{Effect, Event, Failure};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::worker_list;
use support::{Fixture, TEST_TIMEOUT, any_port};

fn worker(name: &str, data_centre: &str) -> worker_list::Worker {
    worker_list::Worker {
        worker: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: data_centre.to_owned(),
        rack: "r".to_owned(),
        capacity: Size::from_parts([1, 2, 3, 4]),
        leaving: false,
    }
}

fn read(fixture: &Fixture) -> Result<Vec<worker_list::Worker>, Failure> {
    fixture.edge.execute(Effect::WorkerList { call: 1, timeout: TEST_TIMEOUT });
    match fixture.event() {
        Event::WorkerList { call: 1, result } => result,
        other => panic!("{other:?}"),
    }
}

/// Reads the head of one request; the requests have no body.
fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap().to_ascii_lowercase()
}

/// Guards against an unchanged list that is sent again, and against a cached list that is used after a change.
#[test]
fn an_unchanged_list_is_not_sent_again() {
    let fixture = Fixture::start();
    let near: Vec<_> = (0..50).map(|index| worker(&format!("w-{index}"), "kochi")).collect();
    fixture.platform.update_list(|list| list.extend(near.clone()));
    fixture.platform.update_list(|list| list.push(worker("far", "thrissur")));
    let bytes = || fixture.platform.traffic().get("list").copied().unwrap_or(0);
    assert_eq!(read(&fixture), Ok(near.clone()));
    let first = bytes();
    assert_eq!(read(&fixture), Ok(near.clone()));
    let second = bytes() - first;
    assert!(second * 10 < first, "{first} bytes, then {second}");
    fixture.platform.update_list(|list| list[0].leaving = true);
    let changed = read(&fixture).unwrap();
    assert!(changed[0].leaving);
    assert_eq!(changed[1..], near[1..]);
}

/// Guards against a read that is not sent because the thread of the read before has not yet returned to the pool.
#[test]
fn reads_in_turn_are_sent() {
    for list_threads in [1, 2] {
        let fixture = Fixture::with_settings(|settings| settings.list_threads = list_threads);
        for round in 0..1000 {
            assert_eq!(read(&fixture), Ok(Vec::new()), "{list_threads} threads, read {round}");
        }
    }
}

/// Guards against wrong lists from servers without entity tags, with changing ones, or with unexpected responses.
#[test]
fn lists_of_other_servers_are_read() {
    let full = |tag: &str, name: &str| {
        let body = serde_json::to_string(&[worker(name, "kochi")]).unwrap();
        format!("HTTP/1.1 200 OK\r\n{tag}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let same = || "HTTP/1.1 304 Not Modified\r\n\r\n".to_owned();
    let failed = || "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned();
    let (one, two) = ("ETag: \"1\"\r\n", "ETag: W/\"2\"\r\n");
    // Responses, each with the tag that the request must name and the worker that must be read.
    let ambiguous = Err(Failure::Ambiguous);
    type Step = (String, Option<&'static str>, Result<&'static str, Failure>);
    let cases: [(&str, Vec<Step>); 5] = [
        ("no tags", vec![(full("", "a"), None, Ok("a")), (full("", "b"), None, Ok("b"))]),
        ("unasked", vec![(same(), None, ambiguous), (full(one, "a"), None, Ok("a"))]),
        (
            "changing",
            vec![
                (full(one, "a"), None, Ok("a")),
                (full(two, "b"), Some("\"1\""), Ok("b")),
                (same(), Some("w/\"2\""), Ok("b")),
            ],
        ),
        (
            "failing",
            vec![
                (full(one, "a"), None, Ok("a")),
                (failed(), Some("\"1\""), ambiguous),
                (same(), Some("\"1\""), Ok("a")),
            ],
        ),
        (
            "no tag any more",
            vec![
                (full(one, "a"), None, Ok("a")),
                (full("", "b"), Some("\"1\""), Ok("b")),
                (full("", "c"), None, Ok("c")),
            ],
        ),
    ];
    for (name, steps) in cases {
        let listener = TcpListener::bind(any_port()).unwrap();
        let address = listener.local_addr().unwrap();
        let fixture =
            Fixture::with_settings(|settings| settings.list_url = format!("http://{address}/list"));
        for (answer, tag, expected) in steps {
            let result = thread::scope(|scope| {
                let server = scope.spawn(|| {
                    let (mut stream, _) = listener.accept().unwrap();
                    let head = head(&mut stream);
                    let close = answer.replacen("\r\n", "\r\nConnection: close\r\n", 1);
                    stream.write_all(close.as_bytes()).unwrap();
                    head
                });
                let result = read(&fixture);
                let head = server.join().unwrap();
                assert!(head.starts_with("get /list?data_centre=kochi "), "{name}: {head}");
                let sent = head.lines().find_map(|line| line.strip_prefix("if-none-match: "));
                assert_eq!(sent, tag, "{name}");
                result
            });
            let expected = expected.map(|expected| vec![worker(expected, "kochi")]);
            assert_eq!(result, expected, "{name}");
        }
    }
}

/// One entry that cannot be read, or that names no worker to use, hid the whole list.
#[test]
fn odd_entries() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let fixture =
        Fixture::with_settings(|settings| settings.list_url = format!("http://{address}/list"));
    let good = |name: &str| serde_json::to_string(&worker(name, "kochi")).unwrap();
    let entry = |part: &str, replacement: &str| {
        let entry = good("odd");
        assert!(entry.contains(part), "{part} in {entry}");
        entry.replace(part, replacement)
    };
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let long = "x".repeat(50_000);
    let mut odd: Vec<String> = [
        "null",
        "7",
        "\"w\"",
        "[]",
        "{}",
        "1e999",
        "[\"odd\",\"127.0.0.1:1\",\"kochi\",\"r\",{},false]",
    ]
    .map(str::to_owned)
    .to_vec();
    for address in
        ["", ":1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "w1.example:1", "0.0.0.0:1"]
    {
        odd.push(entry("127.0.0.1:1", address));
    }
    for number in ["18446744073709551615", "18446744073709551616", "1e300", "1e999", "-1", "0.5"] {
        odd.push(entry("\"memory_mib\":2", &format!("\"memory_mib\":{number}")));
        odd.push(entry("\"slots\":4", &format!("\"slots\":{number}")));
    }
    for depth in [200, 100_000] {
        odd.push(nested(depth));
        odd.push(entry("\"r\"", &nested(depth)));
        odd.push(entry("\"leaving\":false", &format!("\"leaving\":{}", nested(depth))));
    }
    odd.push(entry("\"leaving\":false", &format!("\"leaving\":false,\"x\":{}", nested(100_000))));
    odd.push(entry("\"odd\"", "\"\""));
    odd.push(entry("\"odd\"", &format!("\"{long}\"")));
    odd.push(entry("\"r\"", &format!("\"{long}\"")));
    let mut hidden = Vec::new();
    for odd in odd {
        let body = format!("[{},{odd},{}]", good("a"), good("b"));
        let result = thread::scope(|scope| {
            let server = scope.spawn(|| {
                let (mut stream, _) = listener.accept().unwrap();
                head(&mut stream);
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                stream.write_all(answer.as_bytes()).unwrap();
            });
            let result = read(&fixture);
            server.join().unwrap();
            result
        });
        if result != Ok(vec![worker("a", "kochi"), worker("b", "kochi")]) {
            let odd: String = odd.chars().take(200).collect();
            hidden.push(format!("{odd}: {:?}", result.map(|workers| workers.len())));
        }
    }
    assert!(hidden.is_empty(), "{hidden:#?}");
}
