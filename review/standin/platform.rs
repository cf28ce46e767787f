//! The platform's store of rows, with the disruptions that the pages name.
//!
//! `POST /control/down?for_ms=N` answers every call with 503 for that time; `POST /control/compact?gap_ms=N` lets feeds hear
//! nothing for that time, then drops the history and cuts them. The first call returns at once, the second after the gap.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{serve, Request, Response};
use crate::json::Value;
use crate::record;

/// A worker's entry is removed after three ping intervals of silence.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3 * 1500);

/// Time after an outage of the store within which the entries of live workers are written again.
const ENTRY_RECOVERY: Duration = Duration::from_secs(2);

/// Duration of a transaction (`transaction_ms`).
const TRANSACTION: Duration = Duration::from_millis(6);

/// Duration of a read.
const READ: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// Changes in order; `None` for a deletion.
    history: Vec<(u64, Key, Option<String>)>,
    /// Oldest version from which a feed can continue.
    history_start: u64,
    written: BTreeMap<String, Instant>,
    down_until: Option<Instant>,
    /// Feeds hear nothing.
    silent: bool,
    /// Number of times that feeds were cut.
    cuts: u64,
}

impl Store {
    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => drop(self.rows.insert(key.clone(), (self.version, value.clone()))),
                None => drop(self.rows.remove(&key)),
            }
            self.history.push((self.version, key, value));
        }
    }

    fn answer(&self, rows: Vec<Value>, has_more: bool) -> Response {
        let body = Value::object(vec![
            ("rows", Value::List(rows)),
            ("has_more", Value::Bool(has_more)),
            ("row_version", Value::number(self.version)),
            ("now_ms", Value::number(crate::unix_ms())),
        ]);
        Response::Answer(200, body.to_string())
    }
}

struct Platform {
    store: Mutex<Store>,
    changed: Condvar,
}

fn row(key: &Key, version: u64, value: Option<&String>) -> Value {
    let (table, part, name) = key;
    let mut fields = vec![
        ("table", Value::text(table)),
        ("part", Value::text(part)),
        ("key", Value::text(name)),
        ("row_version", Value::number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", Value::text(value))),
        None => fields.push(("deleted", Value::Bool(true))),
    }
    Value::object(fields)
}

fn key(entry: &Value) -> Key {
    (entry.str("table").to_owned(), entry.str("part").to_owned(), entry.str("key").to_owned())
}

pub fn run(address: &str) -> bool {
    let platform = Arc::new(Platform { store: Mutex::default(), changed: Condvar::new() });
    let reaper = Arc::clone(&platform);
    spawn(move || loop {
        sleep(Duration::from_millis(200));
        reaper.remove_silent_workers();
    });
    serve(address, move |request| platform.handle(&request))
}

impl Platform {
    fn remove_silent_workers(&self) {
        let mut store = self.store.lock().expect("store");
        // Workers cannot renew their entries while the store is down, and are back within two seconds of its return.
        if store.down_until.is_some_and(|until| Instant::now() < until + ENTRY_RECOVERY) {
            return;
        }
        let silent = store.written.iter().filter(|(_, at)| at.elapsed() > ENTRY_TIMEOUT);
        let silent: Vec<String> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in silent {
            store.written.remove(&worker);
            record(&format!("platform removes servers/{worker}"));
            store.apply(vec![(("servers".into(), String::new(), worker), None)]);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let down = self.store.lock().expect("store").down_until;
        match request.path() {
            path if !path.starts_with("/control/")
                && down.is_some_and(|until| until > Instant::now()) =>
            {
                Response::Answer(503, "{}".to_owned())
            }
            "/v1/rows-tx" => self.transact(request),
            "/v1/rows-get" => self.read(request),
            "/v1/rows-feed" => self.feed(request),
            "/control/write" => self.control_write(request),
            "/control/down" => {
                let time = request.query("for_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(time);
                self.store.lock().expect("store").down_until = Some(until);
                Response::Answer(200, "{}".to_owned())
            }
            "/control/compact" => {
                let gap = request.query("gap_ms").parse().unwrap_or(0);
                self.store.lock().expect("store").silent = true;
                sleep(Duration::from_millis(gap));
                let mut store = self.store.lock().expect("store");
                (store.silent, store.cuts) = (false, store.cuts + 1);
                store.history.clear();
                store.history_start = store.version;
                self.changed.notify_all();
                Response::Answer(200, "{}".to_owned())
            }
            _ => Response::Answer(404, "{}".to_owned()),
        }
    }

    fn transact(&self, request: &Request) -> Response {
        sleep(TRANSACTION);
        let Some(body) = Value::parse(&request.body) else {
            return Response::Answer(400, "{}".to_owned());
        };
        let mut store = self.store.lock().expect("store");
        let current =
            |store: &Store, entry: &Value| store.rows.get(&key(entry)).map_or(0, |row| row.0);
        let conditions = body.list("precondition");
        if conditions
            .iter()
            .any(|entry| current(&store, entry) != entry.u64("row_version").unwrap_or(0))
        {
            let rows = conditions.iter().filter_map(|entry| {
                let (version, value) = store.rows.get(&key(entry))?;
                Some(row(&key(entry), *version, Some(value)))
            });
            let Response::Answer(_, body) = store.answer(rows.collect(), false) else {
                return Response::Close;
            };
            return Response::Answer(412, body);
        }
        let writes = body
            .list("writes")
            .iter()
            .map(|entry| (key(entry), Some(entry.str("value").to_owned())));
        let deletes = body.list("deletes").iter().map(|entry| (key(entry), None));
        let changes = writes.chain(deletes).collect();
        store.apply(changes);
        self.changed.notify_all();
        store.answer(Vec::new(), false)
    }

    fn read(&self, request: &Request) -> Response {
        sleep(READ);
        let (table, part, from) =
            (request.query("table"), request.query("part"), request.query("from"));
        let to = request.query("to");
        let limit = request.query("limit").parse().unwrap_or(500).min(500);
        let store = self.store.lock().expect("store");
        let mut found = store.rows.iter().filter(|((known, of, name), _)| {
            *known == table && *of == part && *name >= from && (to.is_empty() || *name < to)
        });
        let rows = found
            .by_ref()
            .take(limit)
            .map(|(key, (version, value))| row(key, *version, Some(value)));
        let rows = rows.collect();
        store.answer(rows, found.next().is_some())
    }

    fn feed(&self, request: &Request) -> Response {
        sleep(READ);
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let mut store = self.store.lock().expect("store");
        let cuts = store.cuts;
        if after < store.history_start {
            return Response::Answer(410, "{}".to_owned());
        }
        loop {
            if store.cuts != cuts {
                return Response::Close;
            }
            let changes = store
                .history
                .iter()
                .filter(|(version, (known, ..), _)| *version > after && *known == table);
            let rows: Vec<Value> =
                changes.map(|(version, key, value)| row(key, *version, value.as_ref())).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !store.silent && (!rows.is_empty() || left.is_zero()) {
                return store.answer(rows, false);
            }
            let left = if left.is_zero() { Duration::from_millis(50) } else { left };
            store = self.changed.wait_timeout(store, left).expect("store").0;
        }
    }

    /// Writes or deletes a row of the operator or of a worker.
    fn control_write(&self, request: &Request) -> Response {
        let Some(body) = Value::parse(&request.body) else {
            return Response::Answer(400, "{}".to_owned());
        };
        let mut store = self.store.lock().expect("store");
        let key = (body.str("table").to_owned(), String::new(), body.str("key").to_owned());
        if key.0 == "servers" && store.down_until.is_some_and(|until| until > Instant::now()) {
            return Response::Answer(503, "{}".to_owned());
        }
        if key.0 == "servers" {
            match body.get("value") {
                Some(_) => drop(store.written.insert(key.2.clone(), Instant::now())),
                None => drop(store.written.remove(&key.2)),
            }
        }
        let value = body.get("value").map(|_| body.str("value").to_owned());
        store.apply(vec![(key, value)]);
        self.changed.notify_all();
        Response::Answer(200, "{}".to_owned())
    }
}
