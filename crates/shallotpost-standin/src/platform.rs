//! Serves the platform over HTTP.
//!
//! - `POST /table`: table service
//! - `GET` and `PUT /objects/<team>/<name>`: object store
//! - `GET /list`: worker list, with entity tags and an optional `data_centre` in the query

use std::hash::{DefaultHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use shallotpost_protocol::{table, worker_list};
use tiny_http::{Method, Request};

use crate::fault::Fault;
use crate::hub::{Answer, Service, read_json};
use crate::list::List;
use crate::objects::{self, Objects, ReceiveError};
use crate::table::Table;

/// Header with the hexadecimal SHA-256 digest of an object.
pub const DIGEST_HEADER: &str = "x-content-sha256";

const OBJECT_PATH: &str = "/objects/";

/// Table, objects and worker list of the platform.
pub struct Platform {
    table: Mutex<Table>,
    objects: Mutex<Objects>,
    list: Mutex<List>,
}

impl Default for Platform {
    fn default() -> Platform {
        let list = Mutex::new(List::new(Instant::now()));
        Platform { table: Mutex::default(), objects: Mutex::default(), list }
    }
}

impl Platform {
    /// Locks the table, for inspection and for direct changes.
    pub fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    /// Locks the object store.
    pub fn objects(&self) -> MutexGuard<'_, Objects> {
        lock(&self.objects)
    }

    /// Changes the current worker list; readers see the change after the lag.
    pub fn update_list(&self, change: impl FnOnce(&mut Vec<worker_list::Worker>)) {
        lock(&self.list).update(Instant::now(), change);
    }

    fn read_list(&self, path: &str, request: &Request) -> Answer {
        let mut workers = lock(&self.list).read(Instant::now());
        if let Some((_, data_centre)) = path.split_once("?data_centre=") {
            workers.retain(|worker| worker.data_centre == data_centre);
        }
        let mut answer = Answer::json(&workers).with_label("list");
        let etag = format!("\"{}\"", content_hash(&answer.body));
        let if_none_match =
            request.headers().iter().find(|header| header.field.equiv("If-None-Match"));
        if if_none_match.is_some_and(|header| header.value == etag.as_str()) {
            answer = Answer { status: 304, body: Arc::default(), ..answer };
        }
        answer.headers.push(("ETag", etag));
        answer
    }

    fn read_object(&self, name: &str) -> Answer {
        let Some(stored) = self.objects().get(name) else {
            return Answer::error(404, "no such object");
        };
        Answer {
            status: 200,
            headers: vec![(DIGEST_HEADER, stored.object.digest.clone())],
            body: stored.content,
            label: "objects",
        }
    }

    fn write_object(
        &self,
        name: &str,
        request: &mut Request,
        connected: &dyn Fn() -> bool,
    ) -> Answer {
        let length = request.body_length().map(|length| length as u64);
        let header = request.headers().iter().find(|header| header.field.equiv(DIGEST_HEADER));
        let digest = header.map(|header| header.value.to_string());
        match objects::receive(name, request.as_reader(), length, digest.as_deref()) {
            Ok(_) if !connected() => Answer::error(400, "the stream failed"),
            Ok(stored) => {
                let object = stored.object.clone();
                self.objects().put(stored);
                Answer::json(&object)
            }
            Err(error @ ReceiveError::Digest { .. }) => Answer::error(422, &error.to_string()),
            Err(error) => Answer::error(400, &error.to_string()),
        }
    }
}

impl Service for Platform {
    fn handle(
        &self,
        method: &Method,
        path: &str,
        request: &mut Request,
        connected: &dyn Fn() -> bool,
    ) -> Answer {
        match (method, path, path.strip_prefix(OBJECT_PATH)) {
            (Method::Post, "/table", _) => match read_json(request) {
                Ok(call) => {
                    Answer::json(&self.table().handle(&call)).with_label(traffic_label(&call))
                }
                Err(answer) => answer,
            },
            (Method::Get, _, _) if is_list(path) => self.read_list(path, request),
            (Method::Get, _, Some(name)) => self.read_object(name),
            (Method::Put, _, Some(name)) => self.write_object(name, request, connected),
            _ => Answer::error(404, "no such route"),
        }
    }

    fn apply_fault(&self, fault: &Fault) {
        if let Some(lag) = fault.list_lag_ms {
            lock(&self.list).set_lag(Duration::from_millis(lag));
        }
    }
}

fn is_list(path: &str) -> bool {
    path == "/list" || path.starts_with("/list?")
}

fn content_hash(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}

fn traffic_label(call: &table::Request) -> &'static str {
    match call {
        table::Request::Read { .. } => "table_read",
        table::Request::Scan { prefix, .. } if prefix.starts_with("hosts/") => "table_scan_hosts",
        table::Request::Scan { prefix, .. } if prefix.starts_with("shards/") => "table_scan_shards",
        table::Request::Scan { prefix, .. } if prefix.starts_with("work/") => "table_scan_work",
        table::Request::Scan { .. } => "table_scan",
        table::Request::Transact { .. } => "table_transact",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
