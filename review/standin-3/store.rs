//! The platform's metadata store: tables of rows, transactions under conditions, reads and feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::{Json, base64_length, encode_base64, number, object, text};

/// Largest value of a row, as in `platform.row_bytes` of the settings.
const ROW_BYTES: usize = 65_536;

/// Most rows of a read.
const PAGE: usize = 500;

/// Most bytes of values of a read, and of a transaction.
const CALL_BYTES: usize = 1 << 20;

/// Duration of a call.
const ANSWER: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    present: BTreeMap<Key, (String, u64)>,
    /// Versions of the rows that were dropped.
    dropped: BTreeMap<Key, u64>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let served = Arc::clone(&store);
        (store, serve(move |request| served.handle(request)))
    }

    /// Writes a row without a condition, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut rows = self.rows.lock().expect("poisoned");
        rows.version += 1;
        let version = rows.version;
        let value = encode_base64(value.write().as_bytes());
        rows.present.insert((table.to_owned(), String::new(), key.to_owned()), (value, version));
        drop(rows);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().expect("poisoned");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.present.remove(&key);
        rows.dropped.insert(key, version);
        drop(rows);
        self.changed.notify_all();
    }

    fn handle(&self, request: Request) -> Response {
        std::thread::sleep(ANSWER);
        Some(match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/rows-tx") => self.transact(&request.body),
            ("GET", "/v1/rows-get") => self.read(&request),
            ("GET", "/v1/rows-feed") => self.feed(&request),
            _ => (404, Json::Null),
        })
    }

    fn answer(&self, rows: &Rows, fields: Vec<(&str, Json)>) -> Json {
        let now = self.start.elapsed().as_millis() as u64;
        let mut all = fields;
        all.push(("row_version", number(rows.version)));
        all.push(("now_ms", number(now)));
        object(all)
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut rows = self.rows.lock().expect("poisoned");
        let (writes, deletes) = (body.get("writes").list(), body.get("deletes").list());
        let conditions = body.get("precondition").list();
        let entries = conditions.len() + writes.len() + deletes.len();
        let all = conditions.iter().chain(writes).chain(deletes);
        let parts: std::collections::BTreeSet<&str> =
            all.map(|row| row.get("part").text()).collect();
        let size = |row: &Json| base64_length(row.get("value").text());
        let total: usize = writes.iter().map(size).sum();
        let too_large = writes.iter().any(|row| size(row) > ROW_BYTES);
        if too_large || entries > 100 || total > CALL_BYTES || parts.len() > 1 {
            return (400, object(vec![("error", text("the transaction is too large"))]));
        }
        let version_of =
            |row: &Json| rows.present.get(&key_of(row)).map_or(0, |(_, version)| *version);
        let holds = |row: &Json| Some(version_of(row)) == row.get("row_version").number();
        if !conditions.iter().all(holds) {
            let found = conditions.iter().filter_map(|row| {
                let key = key_of(row);
                rows.present.get(&key).map(|(value, version)| row_json(&key, Some(value), *version))
            });
            let found = Json::List(found.collect());
            return (412, self.answer(&rows, vec![("rows", found)]));
        }
        rows.version += 1;
        let version = rows.version;
        for row in writes {
            rows.present.insert(key_of(row), (row.get("value").text().to_owned(), version));
        }
        for row in deletes {
            let key = key_of(row);
            if rows.present.remove(&key).is_some() {
                rows.dropped.insert(key, version);
            }
        }
        let answer = self.answer(&rows, Vec::new());
        drop(rows);
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let rows = self.rows.lock().expect("poisoned");
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let limit = request.parameter("limit").parse().unwrap_or(PAGE).min(PAGE);
        let from = (table.to_owned(), part.to_owned(), request.parameter("from").to_owned());
        let to = request.parameter("to");
        let mut bytes = 0;
        let mut page = Vec::new();
        let mut more = false;
        for (key, (value, version)) in rows.present.range(from..) {
            if key.0 != table || key.1 != part || !to.is_empty() && key.2.as_str() >= to {
                break;
            }
            bytes += value.len();
            if page.len() >= limit || !page.is_empty() && bytes > CALL_BYTES {
                more = true;
                break;
            }
            page.push(row_json(key, Some(value), *version));
        }
        let fields = vec![("rows", Json::List(page)), ("has_more", Json::Bool(more))];
        (200, self.answer(&rows, fields))
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0).min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().expect("poisoned");
        loop {
            let present = rows.present.iter().map(|(key, (value, at))| (key, Some(value), *at));
            let dropped = rows.dropped.iter().map(|(key, at)| (key, None, *at));
            let dropped = dropped.filter(|(key, ..)| !rows.present.contains_key(*key));
            let changed = |row: &(&Key, Option<&String>, u64)| row.0.0 == table && row.2 > after;
            let mut changes: Vec<_> = present.chain(dropped).filter(changed).collect();
            changes.sort_by_key(|(.., version)| *version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let list = changes.iter().map(|(key, value, at)| row_json(key, *value, *at));
                let list = Json::List(list.collect());
                return (200, self.answer(&rows, vec![("rows", list)]));
            }
            rows = self.changed.wait_timeout(rows, left).expect("poisoned").0;
        }
    }
}

fn key_of(row: &Json) -> Key {
    let field = |name| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json(key: &Key, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table", text(&key.0)),
        ("part", text(&key.1)),
        ("key", text(&key.2)),
        ("row_version", number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("deleted", Json::Bool(true))),
    }
    object(fields)
}
