//! Tests of object transfers: a transfer is complete or fails, and leaves no partial file.
#![allow(clippy::unwrap_used)]

mod fake;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::Duration;

use fake::{Answer, CLOSED, Directory, Fake, code, run};
use serde_json::json;
use shallotpost_cli::error::{EXIT_GENERAL, EXIT_KEY, EXIT_UNKNOWN};
use shallotpost_protocol::key::digest;
use shallotpost_protocol::problem::Kind;

/// Content longer than one chunk of 64 KiB, so that a transfer takes several.
fn content() -> Vec<u8> {
    (0..200_000_u32).map(|number| (number % 251) as u8).collect()
}

#[test]
fn upload_sends_the_whole_file_and_prints_what_submit_takes() {
    let directory = Directory::new("upload");
    let file = directory.file("day.csv", &content());
    let (first, second) =
        (Fake::start([Answer::refuse(Kind::Draining)]), Fake::start([Answer::Raw(200, vec![])]));
    let line = format!("--json object put intake/day.csv {file}");
    let (result, out) = run(&[CLOSED, &first.url(), &second.url()], &line);
    assert_eq!(code(&result), 0, "{result:?}");
    let requests = second.requests();
    assert_eq!(requests[0].line(), "PUT /v1/objects/intake/day.csv");
    assert!(requests[0].body == content(), "{} bytes arrived", requests[0].body.len());
    assert!(requests[0].headers.contains(&("content-length".to_owned(), "200000".to_owned())));
    let object =
        json!({ "name": "intake/day.csv", "length": 200_000, "digest": digest(&content()) });
    assert_eq!(out.parse::<serde_json::Value>().unwrap(), object);

    let input = directory.file("input.json", out.as_bytes());
    let fake = Fake::start([]);
    let _ = run(&[&fake.url()], &format!("submit --team intake --input {input} -- true"));
    assert_eq!(fake.requests()[0].json()["input"], object);
}

#[test]
fn upload_failures_have_their_exit_code() {
    let directory = Directory::new("upload-failure");
    let file = directory.file("day.csv", b"1,2");
    for (answer, expected) in [
        (Answer::refuse(Kind::Forbidden), EXIT_KEY),
        (Answer::Raw(500, b"oops".to_vec()), EXIT_UNKNOWN),
    ] {
        let fake = Fake::start([answer]);
        let (result, _) = run(&[&fake.url()], &format!("object put intake/day.csv {file}"));
        assert_eq!(code(&result), expected, "{result:?}");
    }
    let (result, _) = run(&[CLOSED], "object put intake/day.csv /nonexistent/day.csv");
    assert_eq!(code(&result), EXIT_GENERAL);
}

/// Guards against an upload that is reported as unknown because the object store takes long to process the object.
#[test]
fn upload_waits_for_a_busy_store() {
    let directory = Directory::new("busy-store");
    let length = 4 << 20;
    let file = directory.file("day.csv", &vec![b'x'; length]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let mut stream = BufReader::new(listener.accept().unwrap().0);
        let lines = stream.by_ref().lines().map(|line| line.unwrap());
        assert!(lines.take_while(|line| !line.is_empty()).count() > 1);
        io::copy(&mut stream.by_ref().take(length as u64), &mut io::sink()).unwrap();
        thread::sleep(Duration::from_secs(12));
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    });
    let line = format!("object put intake/day.csv {file}");
    let (result, _) = run(&[&format!("http://{address}")], &line);
    assert_eq!(code(&result), 0, "{result:?}");
    server.join().unwrap();
}

#[test]
fn download_writes_the_whole_object_and_checks_its_digest() {
    let directory = Directory::new("download");
    let target = directory.path("result");
    let right = digest(&content());
    for (option, expected) in
        [(String::new(), 0), (format!(" --digest {right}"), 0), (" --digest 00".to_owned(), 1)]
    {
        let fake = Fake::start([Answer::Raw(200, content())]);
        let line = format!("object get intake/result {target}{option}");
        let (result, _) = run(&[&fake.url()], &line);
        assert_eq!(code(&result), expected, "{option}: {result:?}");
        assert_eq!(Path::new(&target).exists(), expected == 0, "{option}");
        if expected == 0 {
            assert!(std::fs::read(&target).unwrap() == content());
            std::fs::remove_file(&target).unwrap();
        }
        assert!(!Path::new(&format!("{target}.part")).exists(), "{option}");
    }
}

/// Guards against a truncated download that is taken for the whole object.
#[test]
fn truncated_download_fails_and_leaves_no_file() {
    let directory = Directory::new("truncated");
    let target = directory.path("result");
    let (url, thread) =
        fake::answer_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
    let (result, _) = run(&[&url], &format!("object get intake/result {target}"));
    thread.join().unwrap();
    assert_eq!(code(&result), EXIT_GENERAL, "{result:?}");
    assert_eq!(std::fs::read_dir(&directory.0).unwrap().count(), 0);
}
