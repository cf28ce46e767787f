//! HTTP API for users and operators.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::{RequestId, Revision};
use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::port::Event;
use shallotpost_protocol::problem::{Kind, Problem};
use tiny_http::{Request as HttpRequest, Server as HttpServer};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::client::Client;
use crate::http::exchange::Exchange;
use crate::http::query::WAIT_DEFAULT;
use crate::http::response::{BufferedResponse, respond};
use crate::http::route::{ReplyAction, Route, route};
use crate::http::watch::Watcher;
use crate::pool::{Limits, ThreadPool};
use crate::proxy::{ConnectionId, Limits as ProxyLimits, Mode, Observer, TcpProxy};
use crate::settings::{Settings, Transfer};

mod exchange;
mod objects;
pub mod query;
pub mod response;
pub mod route;
mod watch;

/// Maximum body length of a request other than an upload.
pub const BODY_BYTES_MAX: usize = 256 << 10;

/// Maximum length of an object. The platform's objects are tens of megabytes.
pub const OBJECT_BYTES_MAX: u64 = 256 << 20;

/// Size of the buffer through which an object is streamed.
pub const CHUNK_BYTES: usize = 64 << 10;

/// A client connection on which no byte passes for this long is closed. Longer than the longest wait of a request.
pub const CONNECTION_IDLE_MAX: Duration = Duration::from_secs(90);

/// How long a client has to receive a response before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to write the last responses after the timeout of a graceful shutdown has passed.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Threads that write rejections; each also discards the rest of a request body.
const REJECTION_THREADS: usize = 8;

const STACK_BYTES: usize = 128 << 10;

pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// The listening HTTP API. Dropping it closes all connections.
pub struct ApiServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

/// State shared by the threads of the API server.
pub struct Shared {
    events: Sender<Event>,
    metrics: MetricsRenderer,
    objects: ObjectStore,
    max_open_requests: usize,
    body_timeout: Duration,
    transfer: Transfer,
    next_request: AtomicU64,
    runtime: Handle,
    state: Mutex<State>,
    idle: Condvar,
    server: HttpServer,
    proxy: OnceLock<TcpProxy>,
    readers: ThreadPool,
    writers: ThreadPool,
    streams: ThreadPool,
    rejections: ThreadPool,
}

struct ObjectStore {
    client: Client,
    url: String,
}

#[derive(Default)]
struct State {
    /// Exchanges that have not been dropped.
    open_exchanges: usize,
    /// Requests that the kernel has not answered.
    pending: HashMap<RequestId, Pending>,
    /// Connections whose current request has no response yet, with the kernel's id of the request if it has one.
    active_requests: HashMap<ConnectionId, Option<RequestId>>,
    draining: bool,
    stopped: bool,
}

enum Pending {
    Single(Exchange, ReplyAction),
    Watch(Box<Watcher>, String),
}

impl ApiServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails if the listening address is not available or a thread cannot be started.
    pub fn start(
        settings: &Settings,
        runtime: &Handle,
        events: Sender<Event>,
        metrics: MetricsRenderer,
    ) -> io::Result<ApiServer> {
        let server = HttpServer::http("127.0.0.1:0").map_err(io::Error::other)?;
        let upstream =
            server.server_addr().to_ip().ok_or_else(|| io::Error::other("no IP address"))?;
        let limits =
            |max_threads, max_queued| Limits { max_threads, max_queued, stack_bytes: STACK_BYTES };
        let objects = ObjectStore {
            client: Client::with_buffers(CHUNK_BYTES),
            url: settings.object_url.clone(),
        };
        let threads = settings.http_threads;
        let shared = Arc::new(Shared {
            events,
            metrics,
            objects,
            max_open_requests: settings.open_requests,
            body_timeout: settings.body_timeout,
            transfer: settings.transfer,
            next_request: AtomicU64::new(1),
            runtime: runtime.clone(),
            state: Mutex::default(),
            idle: Condvar::new(),
            server,
            proxy: OnceLock::new(),
            readers: ThreadPool::new("edge-read", limits(threads, threads)),
            writers: ThreadPool::new("edge-write", limits(threads, settings.open_requests)),
            streams: ThreadPool::new("edge-stream", limits(settings.stream_threads, 0)),
            rejections: ThreadPool::new(
                "edge-refuse",
                limits(REJECTION_THREADS, settings.connections),
            ),
        });
        let observer = Arc::new(DisconnectObserver { shared: Arc::downgrade(&shared) });
        let proxy_limits = ProxyLimits {
            max_connections: settings.connections,
            idle_timeout: CONNECTION_IDLE_MAX,
        };
        let proxy =
            TcpProxy::start(runtime, settings.http_listen, upstream, proxy_limits, observer)?;
        let address = proxy.address();
        let _ = shared.proxy.set(proxy);
        let dispatcher = Arc::clone(&shared);
        let builder = thread::Builder::new().name("edge-dispatch".to_owned());
        builder.stack_size(STACK_BYTES).spawn(move || dispatch(&dispatcher))?;
        Ok(ApiServer { shared, address })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delivers the kernel's answer; drops it if the client has disconnected.
    pub fn answer(&self, request: RequestId, result: Result<Reply, Problem>) {
        if let Some(pending) = self.shared.take_pending(request) {
            self.shared.deliver(pending, result);
        }
    }

    /// Rejects new requests except for health and readiness checks, and ends streams of changes.
    pub fn stop_accepting(&self) {
        let watchers = {
            let mut state = self.shared.lock();
            state.draining = true;
            let is_watch =
                |(_, pending): &(&RequestId, &Pending)| matches!(pending, Pending::Watch(..));
            let ids: Vec<RequestId> =
                state.pending.iter().filter(is_watch).map(|(id, _)| *id).collect();
            ids.into_iter()
                .filter_map(|id| Some((id, state.pending.remove(&id)?)))
                .collect::<Vec<_>>()
        };
        for (request, pending) in watchers {
            let _ = self.shared.events.send(Event::Abandoned { request });
            self.shared.deliver(pending, Err(draining()));
        }
    }

    /// Waits until all open requests are answered or `timeout` has passed. Then answers the remaining ones with
    /// `Unknown` and stops. Returns whether all were answered in time.
    pub fn finish(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let complete = self.shared.wait_idle(timeout);
        let unanswered: Vec<Pending> = {
            let mut state = self.shared.lock();
            state.draining = true;
            state.stopped = true;
            state.pending.drain().map(|(_, pending)| pending).collect()
        };
        for pending in unanswered {
            let message = "the entry host stopped before the outcome was known.";
            self.shared.deliver(pending, Err(Problem::new(Kind::Unknown, message)));
        }
        let _ = complete || self.shared.wait_idle(FINAL_RESPONSE_TIMEOUT);
        if let Some(proxy) = self.shared.proxy.get() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            proxy.finish(remaining.max(FINAL_RESPONSE_TIMEOUT));
        }
        self.shared.stop();
        complete
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.stop();
        // Pending exchanges hold the shared state. They are dropped outside the lock because their destructors take it.
        let unanswered = std::mem::take(&mut self.shared.lock().pending);
        drop(unanswered);
    }
}

impl Shared {
    /// Changes the mode of a client connection, for example to close it.
    fn set_mode(&self, connection: ConnectionId, mode: Mode) {
        if let Some(proxy) = self.proxy.get() {
            proxy.set_mode(connection, mode);
        }
    }

    /// Closes the connection unless the returned timer is dropped within the body timeout.
    fn start_body_timer(self: &Arc<Shared>, connection: ConnectionId) -> CloseTimer {
        CloseTimer(self.close_after(self.body_timeout, connection))
    }

    /// Closes the connection unless the returned timer is dropped before the next chunk of an object is due.
    fn start_chunk_timer(self: &Arc<Shared>, connection: ConnectionId) -> CloseTimer {
        CloseTimer(self.close_after(self.transfer.chunk_timeout, connection))
    }

    /// Closes the connection after [`LINGER_TIMEOUT`].
    fn close_after_linger(self: &Arc<Shared>, connection: ConnectionId) {
        drop(self.close_after(LINGER_TIMEOUT, connection));
    }

    fn close_after(
        self: &Arc<Shared>,
        delay: Duration,
        connection: ConnectionId,
    ) -> JoinHandle<()> {
        let shared = Arc::downgrade(self);
        self.runtime.spawn(async move {
            tokio::time::sleep(delay).await;
            if let Some(shared) = shared.upgrade() {
                shared.set_mode(connection, Mode::Closed);
            }
        })
    }

    fn suspend_idle_timeout(&self, connection: ConnectionId, suspended: bool) {
        if let Some(proxy) = self.proxy.get() {
            proxy.suspend_idle_timeout(connection, suspended);
        }
    }

    fn is_open(&self, connection: ConnectionId) -> bool {
        self.proxy.get().is_some_and(|proxy| proxy.is_open(connection))
    }

    /// Allows the next request on a connection, because the response to the current one is about to be written.
    fn allow_next_request(&self, connection: ConnectionId) {
        self.lock().active_requests.remove(&connection);
    }

    fn exchange_closed(&self) {
        let mut state = self.lock();
        state.open_exchanges -= 1;
        if state.open_exchanges == 0 {
            self.idle.notify_all();
        }
    }

    fn reject(
        self: &Arc<Shared>,
        request: HttpRequest,
        connection: ConnectionId,
        problem: Problem,
    ) {
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let timer = self.start_body_timer(connection);
        let rejected = self.rejections.execute(Box::new(move |_slot| {
            let _timer = timer;
            let headers = &[("Content-Type", "application/json")];
            let response = BufferedResponse { status: problem.kind.status(), headers, body: &body };
            let _ = respond(request, false, &response);
        }));
        if !rejected {
            self.set_mode(connection, Mode::Closed);
        }
    }

    fn take_pending(&self, request: RequestId) -> Option<Pending> {
        self.lock().pending.remove(&request)
    }

    fn deliver(self: &Arc<Shared>, pending: Pending, result: Result<Reply, Problem>) {
        match (pending, &result) {
            (Pending::Single(exchange, ReplyAction::Upload(name)), Ok(Reply::Allowed)) => {
                self.streams.execute(Box::new(move |_slot| objects::upload(exchange, &name)));
            }
            (Pending::Single(exchange, ReplyAction::Download(name)), Ok(Reply::Allowed)) => {
                self.streams.execute(Box::new(move |_slot| objects::download(exchange, &name)));
            }
            (Pending::Single(exchange, action), _) => {
                let dry_run = action == ReplyAction::DryRun;
                self.writers.execute(Box::new(move |_slot| exchange.answer(&result, dry_run)));
            }
            (Pending::Watch(watcher, key), _) => {
                let shared = Arc::clone(self);
                self.streams.execute(Box::new(move |_slot| {
                    if let Some((watcher, from)) = watcher.write(&result) {
                        shared.request_changes(watcher, key, from);
                    }
                }));
            }
        }
    }

    /// Asks the kernel for the next batch of changes.
    fn request_changes(&self, watcher: Watcher, key: String, from: Revision) {
        let request = Request::Watch { from, wait: WAIT_DEFAULT };
        let call = Call { key: key.clone(), request };
        if let Err(Pending::Watch(watcher, _)) =
            self.send_to_kernel(Pending::Watch(Box::new(watcher), key), call)
        {
            watcher.end(&draining());
        }
    }

    /// Sends a call to the kernel. Returns the pending request if the host is draining.
    fn send_to_kernel(&self, mut pending: Pending, call: Call) -> Result<(), Pending> {
        let connection = match &pending {
            Pending::Single(exchange, _) => exchange.connection(),
            Pending::Watch(watcher, _) => watcher.exchange().connection(),
        };
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let mut state = self.lock();
        let rejected = state.stopped || (state.draining && call.request != Request::Ready);
        if rejected {
            return Err(pending);
        }
        if !self.is_open(connection) {
            // The destructor of the exchange takes the lock.
            drop(state);
            drop(pending);
            return Ok(());
        }
        if let Pending::Single(exchange, ReplyAction::Plain) = &mut pending {
            exchange.mark_sent_to_kernel();
        }
        state.active_requests.insert(connection, Some(request));
        state.pending.insert(request, pending);
        // Sent under the lock, so that `Abandoned` comes after it.
        let _ = self.events.send(Event::Request { request, call });
        Ok(())
    }

    /// Reads one request and answers it or sends it to the kernel.
    fn handle(self: &Arc<Shared>, mut exchange: Exchange) {
        if exchange.is_too_large_to_discard() {
            return exchange.abort();
        }
        let Some(request) = exchange.request() else { return };
        let (method, url) = (request.method().clone(), request.url().to_owned());
        let routed = route(&method, &url, &mut || exchange.body());
        let (request, action) = match routed {
            Ok(Route::Health) => return exchange.text(200, "ok\n".to_owned()),
            Ok(Route::Metrics) => {
                let page = (self.metrics)();
                return exchange.text(200, page);
            }
            Ok(Route::Kernel(request, action)) => (request, action),
            Err(problem) => return exchange.reject(problem),
        };
        let key = match bearer_key(exchange.header("Authorization")) {
            Ok(key) => key,
            Err(problem) => return exchange.reject(problem),
        };
        let call = Call { key: key.clone(), request: *request };
        let pending = match action {
            ReplyAction::Stream => Pending::Watch(Box::new(Watcher::New(exchange)), key),
            action => Pending::Single(exchange, action),
        };
        match self.send_to_kernel(pending, call) {
            Ok(()) => {}
            Err(Pending::Single(exchange, _)) => {
                exchange.reject(draining());
            }
            Err(Pending::Watch(watcher, _)) => watcher.end(&draining()),
        }
    }

    fn wait_idle(&self, timeout: Duration) -> bool {
        let state = self.lock();
        let waited = self.idle.wait_timeout_while(state, timeout, |state| state.open_exchanges > 0);
        waited.unwrap_or_else(PoisonError::into_inner).0.open_exchanges == 0
    }

    fn stop(&self) {
        if let Some(proxy) = self.proxy.get() {
            proxy.stop();
        }
        self.server.unblock();
        self.pools().into_iter().for_each(ThreadPool::close);
    }

    fn pools(&self) -> [&ThreadPool; 4] {
        [&self.readers, &self.writers, &self.streams, &self.rejections]
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes requests from the upstream server until it is stopped.
fn dispatch(shared: &Arc<Shared>) {
    while let Ok(request) = shared.server.recv() {
        let Some(connection) = request.remote_addr().copied() else { continue };
        match admit(shared, connection) {
            Admission::Admitted => {
                let exchange = Exchange::new(request, connection, Arc::clone(shared));
                let handler = Arc::clone(shared);
                shared.readers.execute(Box::new(move |_slot| handler.handle(exchange)));
            }
            Admission::Full => {
                let exchange = Exchange::new(request, connection, Arc::clone(shared));
                drop(exchange);
            }
            Admission::Pipelined => {
                // The response to a pipelined request would block its thread until the previous request is answered.
                shared.set_mode(connection, Mode::Closed);
                let message =
                    "a request must wait for the response to the one before it on the connection.";
                shared.reject(request, connection, Problem::new(Kind::Malformed, message));
            }
        }
    }
}

/// Aborts a task when dropped.
struct CloseTimer(JoinHandle<()>);

impl Drop for CloseTimer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

enum Admission {
    Admitted,
    Full,
    Pipelined,
}

/// Counts a new request as open unless it is pipelined.
fn admit(shared: &Shared, connection: ConnectionId) -> Admission {
    let mut state = shared.lock();
    match () {
        _ if state.active_requests.contains_key(&connection) => Admission::Pipelined,
        _ => {
            let full = state.open_exchanges >= shared.max_open_requests;
            state.open_exchanges += 1;
            state.active_requests.insert(connection, None);
            if full { Admission::Full } else { Admission::Admitted }
        }
    }
}

fn bearer_key(header: Option<String>) -> Result<String, Problem> {
    let Some(header) = header else { return Ok(String::new()) };
    match header.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(Problem::new(
            Kind::Unauthorized,
            "the Authorization header contains no bearer key.",
        )),
    }
}

fn draining() -> Problem {
    Problem::new(Kind::Draining, "the entry host is shutting down.")
}

/// Tells the kernel about clients that disconnected.
struct DisconnectObserver {
    shared: Weak<Shared>,
}

impl Observer for DisconnectObserver {
    fn opened(&self, _: ConnectionId) {}

    fn closed(&self, connection: ConnectionId) {
        let Some(shared) = self.shared.upgrade() else { return };
        let mut state = shared.lock();
        let request = state.active_requests.remove(&connection).flatten();
        let pending = request.and_then(|request| Some((request, state.pending.remove(&request)?)));
        drop(state);
        if let Some((request, pending)) = pending {
            let _ = shared.events.send(Event::Abandoned { request });
            // The destructor writes to the closed connection; it must not block the I/O thread.
            shared.rejections.execute(Box::new(move |_slot| drop(pending)));
        }
    }
}
