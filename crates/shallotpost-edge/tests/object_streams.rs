//! Streaming of objects between clients and the object store.
#![allow(clippy::unwrap_used)]

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use shallotpost_edge::settings::Transfer;
use shallotpost_protocol::interface::{Reply, Request, processing_time};
use shallotpost_protocol::key::digest;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Object;
use shallotpost_standin::fault::Fault;
use support::{Fixture, TEST_TIMEOUT, agent, any_port, refusing_port};

const NAME: &str = "fish/catch";
const PATH: &str = "/v1/objects/fish/catch";

fn content(length: usize) -> Vec<u8> {
    (0..length as u64)
        .map(|index| (index.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 56) as u8)
        .collect()
}

/// Returns an agent that waits for progress, as long as the edge allows the store for an object of this length.
fn object_agent(length: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
    let config = config.timeout_per_write(Some(TEST_TIMEOUT));
    config.timeout_per_read(Some(TEST_TIMEOUT + processing_time(length as u64))).build().into()
}

/// Answers the next request, which must be about the object, with `Allowed`.
fn allow(fixture: &Fixture, expected_write: bool) {
    let (request, call) = fixture.request();
    assert_eq!(call.request, Request::Object { name: NAME.to_owned(), write: expected_write });
    fixture.answer(request, Ok(Reply::Allowed));
}

fn put(fixture: &Fixture, content: &[u8], digest: &str) -> (u16, String) {
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let request = object_agent(content.len()).put(fixture.url(PATH));
            let request = request.header("x-content-sha256", digest);
            let mut response = request.send(content).unwrap();
            (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
        });
        allow(fixture, true);
        client.join().unwrap()
    })
}

/// Guards against large objects that are truncated, changed or rejected.
#[test]
fn large_objects_are_unchanged() {
    let fixture = Fixture::start();
    let content = content(30 << 20);
    let digest = digest(&content);
    let (status, answer) = put(&fixture, &content, &digest);
    let object: Object = serde_json::from_str(&answer).unwrap();
    let length = content.len() as u64;
    let expected = Object { name: NAME.to_owned(), length, digest: digest.clone() };
    assert_eq!((status, object), (200, expected));
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let response = object_agent(content.len()).get(fixture.url(PATH)).call().unwrap();
            assert_eq!(response.headers()["x-content-sha256"], digest.as_str());
            let mut body = response.into_body();
            body.with_config().limit(u64::MAX).read_to_vec().unwrap()
        });
        allow(&fixture, false);
        assert!(client.join().unwrap() == content, "the content changed");
    });
}

/// Guards against a chunked upload that is not forwarded completely.
#[test]
fn chunked_uploads_pass() {
    let fixture = Fixture::start();
    let content = content(200_000);
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let body = ureq::SendBody::from_owned_reader(std::io::Cursor::new(content.clone()));
            agent().put(fixture.url(PATH)).send(body).unwrap().status().as_u16()
        });
        allow(&fixture, true);
        assert_eq!(client.join().unwrap(), 200);
    });
    assert!(*fixture.platform.objects().get(NAME).unwrap().content == content);
}

/// Guards against an incomplete upload that is stored or reported as stored.
#[test]
fn a_broken_upload_stores_nothing() {
    let fixture = Fixture::start();
    let heads = ["Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nF4240\r\n"];
    for head in heads {
        let mut stream = TcpStream::connect(fixture.edge.http_address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(stream, "PUT {PATH} HTTP/1.1\r\n{head}").unwrap();
        stream.write_all(&content(400_000)).unwrap();
        allow(&fixture, true);
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        // The upload has ended when nothing is open any more.
        assert!(fixture.platform.objects().get(NAME).is_none());
    }
    assert!(fixture.edge.finish(TEST_TIMEOUT));
    assert!(fixture.platform.objects().get(NAME).is_none());
}

/// Guards against a rejection by the kernel or the store that is reported as success.
#[test]
fn refusals_are_passed_on() {
    let fixture = Fixture::start();
    let content = content(5000);
    let (status, answer) = put(&fixture, &content, &digest(b"something else"));
    assert_eq!(status, 400, "{answer}");
    assert!(fixture.platform.objects().get(NAME).is_none());
    let get = |fixture: &Fixture, result: Result<Reply, Problem>| {
        thread::scope(|scope| {
            let client =
                scope.spawn(|| agent().get(fixture.url(PATH)).call().unwrap().status().as_u16());
            let (request, _) = fixture.request();
            fixture.answer(request, result);
            client.join().unwrap()
        })
    };
    assert_eq!(get(&fixture, Err(Problem::new(ProblemKind::Forbidden, "no"))), 403);
    assert_eq!(get(&fixture, Ok(Reply::Allowed)), 404);
    let (_socket, address) = refusing_port();
    let unreachable = Fixture::with_settings(|settings| {
        settings.object_url = format!("http://{address}/objects")
    });
    assert_eq!(get(&unreachable, Ok(Reply::Allowed)), 503);
}

/// Guards against an incomplete download that looks complete to the client.
#[test]
fn a_broken_download_is_an_error() {
    let fixture = Fixture::start();
    let content = content(3 << 20);
    assert_eq!(put(&fixture, &content, &digest(&content)).0, 200);
    fixture.platform.fault(&Fault { truncate_answers: Some(1), ..Fault::default() });
    let started = Instant::now();
    let result = thread::scope(|scope| {
        let client = scope.spawn(|| {
            let response = agent().get(fixture.url(PATH)).call()?;
            assert_eq!(response.status().as_u16(), 200);
            response.into_body().read_to_vec()
        });
        allow(&fixture, false);
        client.join().unwrap()
    });
    assert!(result.is_err(), "{} bytes came", result.unwrap().len());
    assert!(started.elapsed() < TEST_TIMEOUT / 2, "the client had to wait for its own timeout");
}

/// Guards against buffering whole objects: the store gets the first bytes of an upload before the client sends the last
/// ones, and the client gets the first bytes of a download before the store sends the last ones.
#[test]
fn objects_are_not_buffered_whole() {
    let store = TcpListener::bind(any_port()).unwrap();
    let address = store.local_addr().unwrap();
    let fixture = Fixture::with_settings(|settings| {
        settings.object_url = format!("http://{address}/objects")
    });
    let (half, length) = (vec![b'x'; 1 << 20], 2 << 20);
    let mut buffer = vec![0; 1 << 20];
    let mut client = TcpStream::connect(fixture.edge.http_address()).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();

    write!(client, "PUT {PATH} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").unwrap();
    allow(&fixture, true);
    client.write_all(&half).unwrap();
    let mut stream = store.accept().unwrap().0;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut head = BufReader::new(stream.try_clone().unwrap());
    assert!(skip_head(&mut head).starts_with("PUT /objects/fish/catch"));
    head.read_exact(&mut buffer[..1000]).unwrap();
    client.write_all(&half).unwrap();
    head.read_exact(&mut buffer).unwrap();
    std::io::copy(
        &mut head.by_ref().take(length - buffer.len() as u64 - 1000),
        &mut std::io::sink(),
    )
    .unwrap();
    let object = Object { name: NAME.to_owned(), length, digest: digest(b"") };
    let answer = serde_json::to_string(&object).unwrap();
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{answer}", answer.len()).unwrap();
    let mut answers = BufReader::new(client.try_clone().unwrap());
    assert_eq!(skip_head(&mut answers), "HTTP/1.1 200 OK");
    answers.read_exact(&mut buffer[..answer.len()]).unwrap();
    drop((stream, head));

    write!(client, "GET {PATH} HTTP/1.1\r\n\r\n").unwrap();
    allow(&fixture, false);
    let mut stream = store.accept().unwrap().0;
    skip_head(&mut BufReader::new(stream.try_clone().unwrap()));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").unwrap();
    stream.write_all(&half).unwrap();
    assert_eq!(skip_head(&mut answers), "HTTP/1.1 200 OK");
    answers.read_exact(&mut buffer).unwrap();
    stream.write_all(&half).unwrap();
    answers.read_exact(&mut buffer).unwrap();
    assert!(buffer == half);
}

/// Starts an upload of this length whose content arrives at a store that the test plays, and returns the client's
/// connection and the store's, both after the content.
fn upload_to(store: &TcpListener, fixture: &Fixture, length: usize) -> (TcpStream, TcpStream) {
    let mut client = TcpStream::connect(fixture.edge.http_address()).unwrap();
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(client, "PUT {PATH} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").unwrap();
    allow(fixture, true);
    let mut stream = store.accept().unwrap().0;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    thread::scope(|scope| {
        scope.spawn(|| client.write_all(&content(length)).unwrap());
        let mut received = BufReader::new(&mut stream);
        skip_head(&mut received);
        let mut body = received.take(length as u64);
        assert_eq!(std::io::copy(&mut body, &mut std::io::sink()).unwrap(), length as u64);
    });
    (client, stream)
}

/// Starts an edge whose object store is played by the test.
fn with_store(transfer: Transfer) -> (TcpListener, Fixture) {
    let store = TcpListener::bind(any_port()).unwrap();
    let address = store.local_addr().unwrap();
    let fixture = Fixture::with_settings(|settings| {
        settings.object_url = format!("http://{address}/objects");
        settings.transfer = transfer;
    });
    (store, fixture)
}

/// Guards against an upload that is ended while the store processes it, which takes longer the longer the object is, and
/// against a store that never responds and holds a thread.
#[test]
fn processing_takes_time_by_length() {
    let store_timeout = Duration::from_millis(300);
    let (store, fixture) = with_store(Transfer { store_timeout, ..Transfer::default() });
    let length = 4 << 20;
    let allowance = processing_time(length as u64);
    let (client, mut stream) = upload_to(&store, &fixture, length);
    thread::sleep(store_timeout + allowance / 4);
    let object = Object { name: NAME.to_owned(), length: length as u64, digest: digest(b"") };
    let answer = serde_json::to_string(&object).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}", answer.len());
    write!(stream, "{head}\r\n\r\n{answer}").unwrap();
    assert_eq!(skip_head(&mut BufReader::new(client)), "HTTP/1.1 200 OK");

    for (length, allowance) in [(5000, Duration::ZERO), (length, allowance)] {
        let (client, _stream) = upload_to(&store, &fixture, length);
        let started = Instant::now();
        assert_eq!(skip_head(&mut BufReader::new(client)), "HTTP/1.1 504 Gateway Timeout");
        let elapsed = started.elapsed();
        assert!(elapsed < store_timeout + allowance + TEST_TIMEOUT / 4, "{length}: {elapsed:?}");
    }
}

/// Guards against an upload that is ended while it progresses, and against one that holds a thread while it hardly does.
#[test]
fn uploads_end_without_progress() {
    let chunk_timeout = Duration::from_millis(1500);
    let transfer = Transfer { chunk_timeout, ..Transfer::default() };
    let (bytes, pause) = (vec![b'x'; 64 << 10], Duration::from_millis(100));
    for (piece, completes) in [(&bytes[..], true), (&bytes[..1], false)] {
        let fixture = Fixture::with_settings(|settings| settings.transfer = transfer);
        let pieces = 3 * chunk_timeout.as_millis() / pause.as_millis();
        let length = bytes.len() * pieces as usize;
        let mut client = TcpStream::connect(fixture.edge.http_address()).unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(client, "PUT {PATH} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").unwrap();
        allow(&fixture, true);
        let sent = (0..pieces).try_for_each(|_| {
            thread::sleep(pause);
            client.write_all(piece)
        });
        let mut line = String::new();
        let _ = BufReader::new(&client).read_line(&mut line);
        assert_eq!(line == "HTTP/1.1 200 OK\r\n", completes, "{line} {sent:?}");
        assert_eq!(fixture.platform.objects().get(NAME).is_some(), completes);
        assert!(fixture.edge.finish(TEST_TIMEOUT));
    }
}

/// Guards against a download that holds a thread because its client no longer reads.
#[test]
fn downloads_end_without_progress() {
    let chunk_timeout = Duration::from_millis(500);
    let (store, fixture) = with_store(Transfer { chunk_timeout, ..Transfer::default() });
    let mut client = TcpStream::connect(fixture.edge.http_address()).unwrap();
    write!(client, "GET {PATH} HTTP/1.1\r\n\r\n").unwrap();
    allow(&fixture, false);
    let mut stream = store.accept().unwrap().0;
    stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
    skip_head(&mut BufReader::new(stream.try_clone().unwrap()));
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 1_u64 << 40).unwrap();
    let started = Instant::now();
    let ended = (0..1 << 14).find_map(|_| stream.write_all(&[b'x'; 64 << 10]).err()).unwrap();
    assert_ne!(ended.kind(), std::io::ErrorKind::WouldBlock, "the edge holds the download");
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    assert!(fixture.edge.finish(TEST_TIMEOUT));
}

/// Reads an HTTP head and returns its first line.
fn skip_head(reader: &mut impl BufRead) -> String {
    let mut lines = reader.lines().map(|line| line.unwrap());
    let first = lines.next().unwrap();
    assert!(lines.any(|line| line.is_empty()));
    first
}
