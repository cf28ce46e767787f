//! Stand-ins for the review's scripts: the platform's store, a worker, and a command line for the operator and callers.
//!
//! Uses the standard library alone, so that `rustc` builds it without a network. Each process appends what it sees to the
//! file that the variable `RECORD` names.

mod http;
mod json;
mod platform;
mod worker;

use std::fs::OpenOptions;
use std::io::Write;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use json::Value;

/// Returns the time of day, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Appends a line to the record. One write per line keeps lines of several processes apart.
pub fn record(text: &str) {
    let Ok(path) = std::env::var("RECORD") else { return };
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(path) {
        let _ = file.write_all(format!("{} {text}\n", unix_ms()).as_bytes());
    }
}

const USAGE: &str = "usage: standin ports N | platform ADDRESS | worker JSON | \
    put STORE TABLE KEY JSON | delete STORE TABLE KEY | control STORE PATH | \
    submit HOST-NAME KEY PATH JSON FRONT... | state HOST-NAME KEY PATH FRONT...";

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let succeeded = match words.as_slice() {
        ["ports", count] => print_ports(count.parse().unwrap_or(0)),
        ["platform", address] => platform::run(address),
        ["worker", settings] => worker::run(settings),
        ["put", store, table, key, value] => {
            record(&format!("operator puts {table}/{key} {value}"));
            write_row(store, table, key, Value::text(&json::base64(value.as_bytes())))
        }
        ["delete", store, table, key] => {
            record(&format!("operator deletes {table}/{key}"));
            write_row(store, table, key, Value::Null)
        }
        ["control", store, path] => {
            record(&format!("platform is told {path}"));
            http::call(store, "POST", path, &[], "", Duration::from_secs(60)).is_some()
        }
        ["submit", host, key, path, job, fronts @ ..] => {
            caller("POST", host, key, path, job, fronts)
        }
        ["state", host, key, path, fronts @ ..] => caller("GET", host, key, path, "", fronts),
        _ => {
            eprintln!("{USAGE}");
            false
        }
    };
    std::process::exit(if succeeded { 0 } else { 2 });
}

fn print_ports(count: usize) -> bool {
    let listeners: Vec<_> =
        (0..count).filter_map(|_| TcpListener::bind("127.0.0.1:0").ok()).collect();
    let ports = listeners.iter().filter_map(|listener| listener.local_addr().ok());
    let ports: Vec<String> = ports.map(|address| address.port().to_string()).collect();
    println!("{}", ports.join(" "));
    ports.len() == count
}

/// Writes or deletes a row without a condition, as the operator or a worker does.
pub fn write_row(store: &str, table: &str, key: &str, value: Value) -> bool {
    let body = Value::object(vec![
        ("table", Value::text(table)),
        ("key", Value::text(key)),
        ("value", value),
    ]);
    let timeout = Duration::from_secs(5);
    let answer = http::call(store, "POST", "/control/write", &[], &body.to_string(), timeout);
    answer.is_some_and(|(status, _)| status == 200)
}

/// Sends a request as a sound caller: after no answer, a 502 or a 504 it tries the next host, after a 429 or a 503 it
/// waits for a second. Prints the last status and body.
fn caller(method: &str, host: &str, key: &str, path: &str, body: &str, fronts: &[&str]) -> bool {
    let authorization = format!("Token {key}");
    let headers = [
        ("Host", host),
        ("Authorization", authorization.as_str()),
        ("Content-Type", "application/json"),
        ("Shallotpost-Deadline-Milliseconds", "3000"),
    ];
    let mut last = (0, String::from("no answer"));
    for attempt in 0..15 {
        let front = fronts[attempt % fronts.len()];
        record(&format!("caller sends {method} {path} to {front} {body}"));
        let answer = http::call(front, method, path, &headers, body, Duration::from_secs(3));
        let text = answer.as_ref().map(|(status, body)| format!("{status} {body}"));
        record(&format!("caller gets for {method} {path}: {}", text.unwrap_or("no answer".into())));
        match answer {
            Some((429 | 503, _)) => sleep(Duration::from_secs(1)),
            Some((502 | 504, _)) | None => sleep(Duration::from_millis(200)),
            Some(answer) => {
                last = answer;
                break;
            }
        }
    }
    println!("{} {}", last.0, last.1);
    last.0 > 0
}
