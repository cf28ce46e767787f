//! Outbound calls to the table service, the worker list and the workers.

use std::collections::HashMap;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::{Address, CallId};
use shallotpost_protocol::port::{Event, Failure};
use shallotpost_protocol::{table, worker, worker_list};

use crate::client::{Client, ConditionalResponse};
use crate::pool::{Limits, Slot, ThreadPool};
use crate::settings::Settings;

/// Stack size of a calling thread.
const STACK_BYTES: usize = 128 << 10;

/// Executes outbound calls on thread pools and reports each result as an event.
pub struct CallExecutor {
    events: Sender<Event>,
    client: Arc<Client>,
    table_url: String,
    list_url: String,
    list_cache: Arc<ListCache>,
    table: ThreadPool,
    list: ThreadPool,
    workers: ThreadPool,
    limiter: Arc<WorkerCallLimiter>,
}

/// Selects the event that reports the result of a call.
#[derive(Clone, Copy)]
enum CallKind {
    Table,
    Worker,
    List,
}

/// Reports the failure of a call that is dropped without a result, so that each call gets exactly one event.
struct CallGuard {
    events: Sender<Event>,
    kind: CallKind,
    call: CallId,
    failure: Option<Failure>,
    /// Released before the event is sent, because the kernel may make the next call as soon as it has the event.
    slot: Option<Slot>,
}

impl CallExecutor {
    /// Creates the pools with the sizes in the settings.
    pub fn new(settings: &Settings, events: Sender<Event>) -> CallExecutor {
        let limits = |max_threads| Limits { max_threads, max_queued: 0, stack_bytes: STACK_BYTES };
        CallExecutor {
            events,
            client: Arc::default(),
            table_url: settings.table_url.clone(),
            list_url: list_url(settings),
            list_cache: Arc::default(),
            table: ThreadPool::new("edge-table", limits(settings.table_threads)),
            list: ThreadPool::new("edge-list", limits(settings.list_threads)),
            workers: ThreadPool::new("edge-worker", limits(settings.worker_threads)),
            limiter: Arc::new(WorkerCallLimiter {
                max_per_worker: settings.worker_connections,
                in_flight: Mutex::default(),
            }),
        }
    }

    pub fn table(&self, call: CallId, request: table::Request, timeout: Duration) {
        let (client, url) = (Arc::clone(&self.client), self.table_url.clone());
        let deadline = Instant::now() + timeout;
        let guard = self.guard(CallKind::Table, call);
        self.table.execute(Box::new(move |slot| {
            let guard = guard.mark_started(slot);
            let result = client.post(&url, &url, &request, deadline);
            guard.complete(Event::Table { call, result });
        }));
    }

    /// Calls a worker. Fails as `NotSent` if no thread is free or the worker has its maximum number of calls in flight.
    pub fn worker(
        &self,
        call: CallId,
        address: Address,
        request: worker::Request,
        timeout: Duration,
    ) {
        let client = Arc::clone(&self.client);
        let deadline = Instant::now() + timeout;
        let guard = self.guard(CallKind::Worker, call);
        let Some(permit) = WorkerCallLimiter::acquire(&self.limiter, &address) else { return };
        self.workers.execute(Box::new(move |slot| {
            let guard = guard.mark_started(slot);
            let url = format!("http://{address}/");
            let result = match request {
                worker::Request::Start { .. } => {
                    client.post_unpooled(&address, &url, &request, deadline)
                }
                _ => client.post(&address, &url, &request, deadline),
            };
            // The kernel may call the worker again as soon as it has the result.
            drop(permit);
            guard.complete(Event::Worker { call, result });
        }));
    }

    pub fn list(&self, call: CallId, timeout: Duration) {
        let (client, url) = (Arc::clone(&self.client), self.list_url.clone());
        let list_cache = Arc::clone(&self.list_cache);
        let deadline = Instant::now() + timeout;
        let guard = self.guard(CallKind::List, call);
        self.list.execute(Box::new(move |slot| {
            let guard = guard.mark_started(slot);
            let result = list_cache.read(&client, &url, deadline);
            guard.complete(Event::WorkerList { call, result });
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

    fn guard(&self, kind: CallKind, call: CallId) -> CallGuard {
        let events = self.events.clone();
        CallGuard { events, kind, call, failure: Some(Failure::NotSent), slot: None }
    }
}

/// URL of the worker list, filtered by data centre. A server may ignore the query.
fn list_url(settings: &Settings) -> String {
    let separator = if settings.list_url.contains('?') { '&' } else { '?' };
    format!("{}{separator}data_centre={}", settings.list_url, settings.data_centre)
}

/// Caches the last list that had an entity tag.
#[derive(Default)]
struct ListCache {
    last: Mutex<Option<(String, Vec<worker_list::Worker>)>>,
}

impl ListCache {
    fn read(
        &self,
        client: &Client,
        url: &str,
        deadline: Instant,
    ) -> Result<Vec<worker_list::Worker>, Failure> {
        let cached = self.lock().clone();
        let tag = cached.as_ref().map(|(tag, _)| tag.as_str());
        match client.get::<worker_list::List>(url, url, tag, deadline)? {
            ConditionalResponse::NotModified => {
                Ok(cached.map(|(_, workers)| workers).unwrap_or_default())
            }
            ConditionalResponse::Modified(worker_list::List(workers), tag) => {
                *self.lock() = tag.map(|tag| (tag, workers.clone()));
                Ok(workers)
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<(String, Vec<worker_list::Worker>)>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits the calls in flight to each worker.
struct WorkerCallLimiter {
    max_per_worker: usize,
    in_flight: Mutex<HashMap<Address, usize>>,
}

/// One call in flight to a worker; released when dropped.
struct WorkerCallPermit {
    limiter: Arc<WorkerCallLimiter>,
    address: Address,
}

impl WorkerCallLimiter {
    /// Returns a permit, or `None` if the worker has its maximum number of calls in flight.
    fn acquire(limiter: &Arc<WorkerCallLimiter>, address: &Address) -> Option<WorkerCallPermit> {
        let mut in_flight = limiter.lock();
        let count = in_flight.entry(address.clone()).or_default();
        let admitted = *count < limiter.max_per_worker;
        *count += usize::from(admitted);
        admitted
            .then(|| WorkerCallPermit { limiter: Arc::clone(limiter), address: address.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, usize>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WorkerCallPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limiter.lock();
        match in_flight.get_mut(&self.address) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(in_flight.remove(&self.address)),
        }
    }
}

impl CallGuard {
    /// Marks that bytes may be sent from here on, so that a failure counts as ambiguous.
    fn mark_started(mut self, slot: Slot) -> CallGuard {
        self.failure = Some(Failure::Ambiguous);
        self.slot = Some(slot);
        self
    }

    fn complete(mut self, event: Event) {
        self.failure = None;
        self.slot = None;
        let _ = self.events.send(event);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let Some(failure) = self.failure.take() else { return };
        self.slot = None;
        let (call, failed) = (self.call, failure);
        let _ = self.events.send(match self.kind {
            CallKind::Table => Event::Table { call, result: Err(failed) },
            CallKind::Worker => Event::Worker { call, result: Err(failed) },
            CallKind::List => Event::WorkerList { call, result: Err(failed) },
        });
    }
}
