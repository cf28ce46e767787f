//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Request, Server};
use crate::json::{self, Json, number, object, text};

/// Limits of a call, from PROTOCOL.md and DEPLOY.md.
const ENTRIES_MAX: usize = 100;
const CALL_BYTES_MAX: usize = 1 << 20;
const ROW_BYTES: usize = 65_536;
const ROWS_MAX: usize = 500;

/// Duration of a transaction and of a read.
const TRANSACTION: Duration = Duration::from_millis(6);
const READ: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    rows: BTreeMap<Key, (String, u64)>,
    /// Every change: version, row, and value; `None` if it was deleted.
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
    refused: Vec<String>,
    accepted: u64,
}

/// The store. Clones share the tables.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn start() -> (Store, SocketAddr) {
        let store = Store { tables: Arc::default(), start: Instant::now() };
        let served = store.clone();
        let server = Server::start(Arc::new(move |request| Some(served.answer(&request))));
        (store, server.address())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tables> {
        self.tables.0.lock().expect("no panic while locked")
    }

    /// Writes a row as the operator or a worker does; `None` deletes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut tables = self.lock();
        tables.version += 1;
        let row = (table.to_owned(), String::new(), key.to_owned());
        tables.write(row, value.map(|value| base64(value.to_string().as_bytes())));
        self.tables.1.notify_all();
    }

    /// Returns the number of transactions that were accepted, and those that were refused as invalid.
    pub fn transactions(&self) -> (u64, Vec<String>) {
        let tables = self.lock();
        (tables.accepted, tables.refused.clone())
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/rows-tx") => {
                sleep(TRANSACTION);
                self.transact(&request.body)
            }
            ("GET", "/v1/rows-get") => {
                sleep(READ);
                self.read(request)
            }
            ("GET", "/v1/rows-feed") => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> Json {
        number(self.start.elapsed().as_millis() as u64)
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else { return (400, "{}".to_owned()) };
        let list = |name: &str| call.get(name).list().to_vec();
        let (conditions, writes, deletes) = (list("precondition"), list("writes"), list("deletes"));
        let mut tables = self.lock();
        let entries = conditions.len() + writes.len() + deletes.len();
        let longest = writes.iter().max_by_key(|entry| decoded_length(entry.get("value").text()));
        let longest_bytes = longest.map_or(0, |entry| decoded_length(entry.get("value").text()));
        let mut parts =
            conditions.iter().chain(&writes).chain(&deletes).map(|entry| entry.get("part"));
        let first = parts.next();
        let fault = match () {
            () if entries > ENTRIES_MAX => Some(format!("{entries} entries")),
            () if body.len() > CALL_BYTES_MAX => Some(format!("{} bytes in a call", body.len())),
            () if longest_bytes > ROW_BYTES => Some(format!(
                "{longest_bytes} bytes in the row {} {}",
                longest.map_or("", |entry| entry.get("table").text()),
                longest.map_or("", |entry| entry.get("key").text())
            )),
            () if parts.any(|part| Some(part) != first) => Some("several parts".to_owned()),
            () => None,
        };
        if let Some(fault) = fault {
            tables.refused.push(fault.clone());
            return (400, object(vec![("error", text(fault))]).to_string());
        }
        let row_version = |tables: &Tables, entry: &Json| {
            tables.rows.get(&key(entry)).map_or(0, |(_, version)| *version)
        };
        let holds = |entry: &Json| {
            row_version(&tables, entry) == entry.get("row_version").number().unwrap_or(0)
        };
        if !conditions.iter().all(holds) {
            let rows = conditions.iter().filter_map(|entry| {
                let key = key(entry);
                let (value, version) = tables.rows.get(&key)?;
                Some(row(&key, Some(value), *version))
            });
            let answer = object(vec![
                ("rows", Json::List(rows.collect())),
                ("row_version", number(tables.version)),
                ("now_ms", self.now_ms()),
            ]);
            return (412, answer.to_string());
        }
        tables.version += 1;
        tables.accepted += 1;
        for entry in &writes {
            tables.write(key(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in &deletes {
            tables.write(key(entry), None);
        }
        let version = tables.version;
        drop(tables);
        self.tables.1.notify_all();
        let answer = object(vec![("row_version", number(version)), ("now_ms", self.now_ms())]);
        (200, answer.to_string())
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.query("table"), request.query("part"));
        let limit = request.query("limit").parse().unwrap_or(ROWS_MAX).min(ROWS_MAX);
        let tables = self.lock();
        let from = (table.to_owned(), part.to_owned(), request.query("from").to_owned());
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, version)) in tables.rows.range(from..) {
            if key.0 != table || key.1 != part {
                break;
            }
            if rows.len() >= limit || bytes + value.len() > CALL_BYTES_MAX && !rows.is_empty() {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(row(key, Some(value), *version));
        }
        let answer = object(vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(more)),
            ("row_version", number(tables.version)),
            ("now_ms", self.now_ms()),
        ]);
        (200, answer.to_string())
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        sleep(READ);
        let mut tables = self.lock();
        loop {
            let start = tables.changes.partition_point(|(version, ..)| *version <= after);
            let changes = tables.changes[start..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<Json> =
                changes.map(|(version, key, value)| row(key, value.as_deref(), *version)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let answer = object(vec![
                    ("rows", Json::List(rows)),
                    ("row_version", number(tables.version)),
                    ("now_ms", self.now_ms()),
                ]);
                return (200, answer.to_string());
            }
            tables = self.tables.1.wait_timeout(tables, left).expect("no panic while locked").0;
        }
    }
}

impl Tables {
    fn write(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(self.rows.remove(&key)),
        }
        self.changes.push((version, key, value));
    }
}

fn key(entry: &Json) -> Key {
    let field = |name| entry.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row(key: &Key, value: Option<&str>, version: u64) -> Json {
    let mut fields = vec![
        ("table", text(&*key.0)),
        ("part", text(&*key.1)),
        ("key", text(&*key.2)),
        ("row_version", number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    object(fields)
}

/// Returns the number of bytes that a base64 text holds.
fn decoded_length(text: &str) -> usize {
    text.trim_end_matches('=').len() * 3 / 4
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for position in 0..4 {
            match position <= chunk.len() {
                true => out.push(DIGITS[(group >> (18 - 6 * position) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
