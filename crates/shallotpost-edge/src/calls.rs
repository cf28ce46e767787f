//! Outbound calls to the table service, the worker list and the workers.

use std::collections::HashMap;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::{Address, CallId};
use shallotpost_protocol::port::{Event, Failure};
use shallotpost_protocol::{list, table, worker};

use crate::client::{Client, ConditionalResponse};
use crate::pool::{Limits, ThreadPool};
use crate::settings::Settings;

/// Stack size of a calling thread.
const STACK_BYTES: usize = 128 << 10;

/// Executes outbound calls on thread pools and reports each result as an event.
pub struct Calls {
    events: Sender<Event>,
    client: Arc<Client>,
    table_url: String,
    list_url: String,
    known: Arc<KnownList>,
    table: ThreadPool,
    list: ThreadPool,
    workers: ThreadPool,
    connections: Arc<Connections>,
}

/// Selects the event that reports the result of a call.
#[derive(Clone, Copy)]
enum Kind {
    Table,
    Worker,
    List,
}

/// Reports the failure of a call that is dropped without a result, so that each call gets exactly one event.
struct Unanswered {
    events: Sender<Event>,
    kind: Kind,
    call: CallId,
    failure: Option<Failure>,
}

impl Calls {
    /// Creates the pools with the sizes in the settings.
    pub fn new(settings: &Settings, events: Sender<Event>) -> Calls {
        let limits = |max_threads| Limits { max_threads, max_queued: 0, stack_bytes: STACK_BYTES };
        Calls {
            events,
            client: Arc::default(),
            table_url: settings.table_url.clone(),
            list_url: list_url(settings),
            known: Arc::default(),
            table: ThreadPool::new("edge-table", limits(settings.table_threads)),
            list: ThreadPool::new("edge-list", limits(settings.list_threads)),
            workers: ThreadPool::new("edge-worker", limits(settings.worker_threads)),
            connections: Arc::new(Connections {
                limit: settings.worker_connections,
                open: Mutex::default(),
            }),
        }
    }

    /// Calls the table service.
    pub fn table(&self, call: CallId, request: table::Request, timeout: Duration) {
        let (client, url) = (Arc::clone(&self.client), self.table_url.clone());
        let deadline = Instant::now() + timeout;
        let unanswered = self.unanswered(Kind::Table, call);
        self.table.execute(Box::new(move || {
            let unanswered = unanswered.started();
            let result = client.post(&url, &url, &request, deadline);
            unanswered.answer(Event::Table { call, result });
        }));
    }

    /// Calls a worker. Fails as `NotSent` if the worker already has its maximum number of calls in flight.
    pub fn worker(
        &self,
        call: CallId,
        address: Address,
        request: worker::Request,
        timeout: Duration,
    ) {
        let client = Arc::clone(&self.client);
        let deadline = Instant::now() + timeout;
        let unanswered = self.unanswered(Kind::Worker, call);
        let Some(connection) = Connections::take(&self.connections, &address) else { return };
        self.workers.execute(Box::new(move || {
            let unanswered = unanswered.started();
            let url = format!("http://{address}/");
            let result = match request {
                worker::Request::Start { .. } => {
                    client.post_unpooled(&address, &url, &request, deadline)
                }
                _ => client.post(&address, &url, &request, deadline),
            };
            // The kernel may call the worker again as soon as it has the result.
            drop(connection);
            unanswered.answer(Event::Worker { call, result });
        }));
    }

    /// Reads the worker list.
    pub fn list(&self, call: CallId, timeout: Duration) {
        let (client, url) = (Arc::clone(&self.client), self.list_url.clone());
        let known = Arc::clone(&self.known);
        let deadline = Instant::now() + timeout;
        let unanswered = self.unanswered(Kind::List, call);
        self.list.execute(Box::new(move || {
            let unanswered = unanswered.started();
            let result = known.read(&client, &url, deadline);
            unanswered.answer(Event::List { call, result });
        }));
    }

    /// Lets the threads end after their current calls; later calls are not sent.
    pub fn close(&self) {
        [&self.table, &self.list, &self.workers].into_iter().for_each(ThreadPool::close);
    }

    /// Waits until the threads of closed pools have ended or `deadline` has passed. Returns whether they have ended.
    pub fn join(&self, deadline: Instant) -> bool {
        [&self.table, &self.list, &self.workers].into_iter().all(|pool| pool.join(deadline))
    }

    fn unanswered(&self, kind: Kind, call: CallId) -> Unanswered {
        let events = self.events.clone();
        Unanswered { events, kind, call, failure: Some(Failure::NotSent) }
    }
}

/// URL of the worker list, filtered by data centre. A server may ignore the query.
fn list_url(settings: &Settings) -> String {
    let separator = if settings.list_url.contains('?') { '&' } else { '?' };
    format!("{}{separator}data_centre={}", settings.list_url, settings.data_centre)
}

/// Caches the last list that had an entity tag.
#[derive(Default)]
struct KnownList {
    last: Mutex<Option<(String, Vec<list::Worker>)>>,
}

impl KnownList {
    fn read(
        &self,
        client: &Client,
        url: &str,
        deadline: Instant,
    ) -> Result<Vec<list::Worker>, Failure> {
        let known = self.lock().clone();
        let tag = known.as_ref().map(|(tag, _)| tag.as_str());
        match client.get::<Vec<list::Worker>>(url, url, tag, deadline)? {
            ConditionalResponse::NotModified => {
                Ok(known.map(|(_, workers)| workers).unwrap_or_default())
            }
            ConditionalResponse::Modified(workers, tag) => {
                *self.lock() = tag.map(|tag| (tag, workers.clone()));
                Ok(workers)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<(String, Vec<list::Worker>)>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits the calls in flight to each worker.
struct Connections {
    limit: usize,
    open: Mutex<HashMap<Address, usize>>,
}

/// One call in flight to a worker; released when dropped.
struct Connection {
    connections: Arc<Connections>,
    address: Address,
}

impl Connections {
    /// Returns a permit, or `None` if the worker has its maximum number of calls in flight.
    fn take(connections: &Arc<Connections>, address: &Address) -> Option<Connection> {
        let mut open = connections.lock();
        let count = open.entry(address.clone()).or_default();
        let free = *count < connections.limit;
        *count += usize::from(free);
        free.then(|| Connection { connections: Arc::clone(connections), address: address.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, usize>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        match open.get_mut(&self.address) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(open.remove(&self.address)),
        }
    }
}

impl Unanswered {
    /// From here on bytes may be sent, so a failure is ambiguous.
    fn started(mut self) -> Unanswered {
        self.failure = Some(Failure::Ambiguous);
        self
    }

    fn answer(mut self, event: Event) {
        self.failure = None;
        let _ = self.events.send(event);
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let Some(failure) = self.failure.take() else { return };
        let (call, failed) = (self.call, failure);
        let _ = self.events.send(match self.kind {
            Kind::Table => Event::Table { call, result: Err(failed) },
            Kind::Worker => Event::Worker { call, result: Err(failed) },
            Kind::List => Event::List { call, result: Err(failed) },
        });
    }
}
