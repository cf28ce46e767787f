//! A fake entry host on the loopback interface, and helpers that run the tool against it.
#![allow(dead_code, clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, UNIX_EPOCH};

use serde_json::Value;
use shallotpost_cli::{Environment, Error, execute};
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::resource::Propagation;
use tiny_http::{Header, Response, Server};

/// An address on which nothing listens.
pub const CLOSED: &str = "http://127.0.0.1:1";

/// The key in the environment of the tool.
pub const KEY: &str = "tester.correct-horse";

/// A request that the fake received.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    pub method: String,
    pub url: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl RecordedRequest {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn line(&self) -> String {
        format!("{} {}", self.method, self.url)
    }
}

/// One scripted answer of the fake.
#[derive(Clone)]
pub enum Answer {
    Reply(Reply),
    Problem(Problem),
    /// Status and body.
    Raw(u16, Vec<u8>),
}

impl Answer {
    pub fn refuse(kind: Kind) -> Answer {
        Answer::Problem(Problem::new(kind, "refused by the fake"))
    }

    /// Returns a truncated reply, after which the tool cannot know whether the request took effect.
    pub fn truncated() -> Answer {
        Answer::Raw(200, b"{\"acc".to_vec())
    }

    pub fn changed(revision: u64) -> Answer {
        Answer::Reply(Reply::Changed { revision, propagation: propagation(revision, true) })
    }
}

pub fn propagation(revision: u64, in_force: bool) -> Propagation {
    let waiting_for = if in_force { Vec::new() } else { vec!["thrissur".to_owned()] };
    Propagation { revision, in_force, waiting_for }
}

/// An entry host that gives the answers of a script in order, and then refuses requests as `unavailable`.
pub struct Fake {
    server: Arc<Server>,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    thread: Option<JoinHandle<()>>,
}

impl Fake {
    pub fn start(script: impl IntoIterator<Item = Answer>) -> Fake {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script: Vec<Answer> = script.into_iter().collect();
        let thread = {
            let (server, requests) = (Arc::clone(&server), Arc::clone(&requests));
            thread::spawn(move || serve(&server, script, &requests))
        };
        Fake { server, requests, thread: Some(thread) }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr().to_ip().unwrap())
    }

    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap().clone()
    }

    pub fn lines(&self) -> Vec<String> {
        self.requests().iter().map(RecordedRequest::line).collect()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, script: Vec<Answer>, requests: &Mutex<Vec<RecordedRequest>>) {
    let mut script = script.into_iter();
    while let Ok(mut request) = server.recv() {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).unwrap();
        let header = |header: &Header| {
            (header.field.as_str().as_str().to_ascii_lowercase(), header.value.to_string())
        };
        requests.lock().unwrap().push(RecordedRequest {
            method: request.method().to_string(),
            url: request.url().to_owned(),
            headers: request.headers().iter().map(header).collect(),
            body,
        });
        let answer = script.next().unwrap_or_else(|| Answer::refuse(Kind::Unavailable));
        let _ = match answer {
            Answer::Reply(reply) => {
                let pending =
                    matches!(&reply, Reply::Changed { propagation, .. } if !propagation.in_force);
                let status = if pending { 202 } else { 200 };
                respond(request, status, serde_json::to_vec(&reply).unwrap())
            }
            Answer::Problem(problem) => {
                let status = problem.kind.status();
                respond(request, status, serde_json::to_vec(&problem).unwrap())
            }
            Answer::Raw(status, body) => respond(request, status, body),
        };
    }
}

fn respond(request: tiny_http::Request, status: u16, body: Vec<u8>) -> std::io::Result<()> {
    request.respond(Response::from_data(body).with_status_code(status))
}

pub fn environment(servers: &[&str]) -> Environment {
    Environment {
        servers: Some(servers.join(",")),
        key: Some(KEY.to_owned()),
        now: UNIX_EPOCH + Duration::from_secs(1_700_000_000),
        poll_interval: Duration::ZERO,
    }
}

/// Accepts one connection, reads its request, writes `answer` as it is and closes the connection.
pub fn answer_and_close(answer: &'static [u8]) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = BufReader::new(stream.try_clone().unwrap());
        let (mut length, mut line) = (0, String::new());
        while request.read_line(&mut line).unwrap() > 2 {
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            line.clear();
        }
        std::io::copy(&mut request.take(length), &mut std::io::sink()).unwrap();
        stream.write_all(answer).unwrap();
    });
    (url, thread)
}

/// Runs a command line, which is split at spaces, and returns its result and its output.
pub fn run(servers: &[&str], line: &str) -> (Result<(), Error>, String) {
    run_words(servers, &line.split(' ').collect::<Vec<_>>())
}

pub fn run_words(servers: &[&str], words: &[&str]) -> (Result<(), Error>, String) {
    let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let mut out = Vec::new();
    let result = execute(&arguments, &environment(servers), &mut out);
    (result, String::from_utf8(out).unwrap())
}

/// Returns the exit code of the process for a result.
pub fn code(result: &Result<(), Error>) -> u8 {
    result.as_ref().err().map_or(0, Error::exit_code)
}

/// A temporary directory for the files of one test, removed when it is dropped.
pub struct Directory(pub std::path::PathBuf);

impl Directory {
    pub fn new(name: &str) -> Directory {
        let path = std::env::temp_dir().join(format!("shallotpost-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    pub fn file(&self, name: &str, content: &[u8]) -> String {
        let path = self.path(name);
        std::fs::write(&path, content).unwrap();
        path
    }

    pub fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_owned()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
