//! HTTP server for any number of stand-ins in one process.
//!
//! One `tiny_http` server handles the requests of all stand-ins. Each stand-in listens on its own TCP proxy, which injects
//! connection faults. The address from which the proxy connects to the server identifies the stand-in.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use shallotpost_edge::http::response::{self, BufferedResponse};
use shallotpost_edge::io_thread::IoThread;
use shallotpost_edge::pool::{Limits, ThreadPool};
use shallotpost_edge::proxy::{ConnectionId, Limits as ProxyLimits, Mode, Observer, TcpProxy};
use tiny_http::{Method, Request, Server as HttpServer};

use crate::fault::{ActiveFaults, CallFaults, Fault};

/// Limits of each stand-in's proxy. The idle timeout is long so that clients still have to detect stale connections.
const PROXY_LIMITS: ProxyLimits =
    ProxyLimits { max_connections: 4096, idle_timeout: Duration::from_secs(3600) };

/// Limits of the threads that handle requests. Each waiting `sync` occupies one thread.
const THREAD_LIMITS: Limits =
    Limits { max_threads: 4096, max_queued: 4096, stack_bytes: 256 << 10 };

const MAX_BODY_BYTES: u64 = 64 << 20;

/// The HTTP response of a stand-in.
pub struct Answer {
    pub status: u16,
    /// Headers besides `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    pub body: Arc<Vec<u8>>,
    /// Key under which [`Traffic`] counts the bytes of the call.
    pub label: &'static str,
}

/// Bytes of calls and answers by label: HTTP request lines, headers and bodies, without TCP and IP headers.
pub type Traffic = BTreeMap<&'static str, u64>;

/// Label of calls that set no other one.
const OTHER_LABEL: &str = "other";

impl Answer {
    /// Returns a JSON answer with status 200, or one with status 500 if `value` cannot be serialized.
    pub fn json<T: Serialize>(value: &T) -> Answer {
        match serde_json::to_vec(value) {
            Ok(body) => Answer {
                status: 200,
                headers: Vec::new(),
                body: Arc::new(body),
                label: OTHER_LABEL,
            },
            Err(error) => Answer::error(500, &error.to_string()),
        }
    }

    /// Returns an answer whose body is `reason` as plain text.
    pub fn error(status: u16, reason: &str) -> Answer {
        let body = Arc::new(reason.as_bytes().to_vec());
        Answer { status, headers: Vec::new(), body, label: OTHER_LABEL }
    }

    pub fn with_label(self, label: &'static str) -> Answer {
        Answer { label, ..self }
    }
}

/// The request handler of one kind of stand-in.
pub trait Service: Send + Sync + 'static {
    /// Executes one call.
    ///
    /// `connected` returns whether the caller's connection is still open. A handler that reads a chunked body has to ask,
    /// because a body that breaks off looks like one that ended.
    fn handle(
        &self,
        method: &Method,
        path: &str,
        request: &mut Request,
        connected: &dyn Fn() -> bool,
    ) -> Answer;
    /// Applies the faults that only this kind of stand-in supports.
    fn apply_fault(&self, fault: &Fault);
    /// Ends waiting calls because the stand-in stops.
    fn stop(&self) {}
}

/// Parses the body as JSON. At most 64 MiB are read.
///
/// # Errors
///
/// Returns the answer to send, with status 400, if the body cannot be read or parsed.
pub fn read_json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, Answer> {
    let mut body = Vec::new();
    let read = request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
    let malformed = |error: &dyn ToString| Answer::error(400, &error.to_string());
    read.map_err(|error| malformed(&error))?;
    serde_json::from_slice(&body).map_err(|error| malformed(&error))
}

/// The server that all stand-ins of a process share, with its threads. Stops when it is dropped.
pub struct Hub {
    io_thread: IoThread,
    http_server: Arc<HttpServer>,
    http_server_address: SocketAddr,
    connections: Arc<Connections>,
}

/// The stand-in that each open connection belongs to.
#[derive(Default)]
struct Connections {
    endpoints: Mutex<HashMap<ConnectionId, Arc<Endpoint>>>,
}

/// One stand-in with its proxy and its injected faults.
struct Endpoint {
    service: Arc<dyn Service>,
    faults: Mutex<ActiveFaults>,
    /// Empty until the proxy has started, which needs the endpoint itself.
    proxy: OnceLock<TcpProxy>,
    traffic: Mutex<Traffic>,
}

/// A running stand-in. Dereferences to its service. Stops when it is dropped.
pub struct Server<T> {
    service: Arc<T>,
    endpoint: Arc<Endpoint>,
    address: SocketAddr,
}

impl Hub {
    /// Starts the shared server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen or a thread cannot be started.
    pub fn start() -> io::Result<Hub> {
        let http_server = HttpServer::http("127.0.0.1:0").map_err(io::Error::other)?;
        let http_server = Arc::new(http_server);
        let http_server_address =
            http_server.server_addr().to_ip().ok_or_else(|| io::Error::other("no IP address"))?;
        let connections = Arc::<Connections>::default();
        let (server, dispatcher_connections) = (Arc::clone(&http_server), Arc::clone(&connections));
        let dispatcher = thread::Builder::new().name("standin-dispatch".to_owned());
        dispatcher.spawn(move || dispatch(&server, &dispatcher_connections))?;
        Ok(Hub {
            io_thread: IoThread::start("standin-io")?,
            http_server,
            http_server_address,
            connections,
        })
    }

    /// Serves a stand-in at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy cannot listen on `address`.
    pub fn serve<T: Service>(&self, address: SocketAddr, service: T) -> io::Result<Server<T>> {
        let service = Arc::new(service);
        let endpoint = Arc::new(Endpoint {
            service: Arc::clone(&service) as Arc<dyn Service>,
            faults: Mutex::default(),
            proxy: OnceLock::new(),
            traffic: Mutex::default(),
        });
        let observer = ConnectionObserver {
            connections: Arc::clone(&self.connections),
            endpoint: Arc::downgrade(&endpoint),
        };
        let runtime = self.io_thread.handle();
        let proxy = TcpProxy::start(
            runtime,
            address,
            self.http_server_address,
            PROXY_LIMITS,
            Arc::new(observer),
        )?;
        let address = proxy.address();
        let _ = endpoint.proxy.set(proxy);
        Ok(Server { service, endpoint, address })
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.http_server.unblock();
    }
}

impl<T> Server<T> {
    /// Returns the address that the stand-in listens on, with the selected port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes of all calls so far.
    pub fn traffic(&self) -> Traffic {
        self.endpoint.traffic.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the injected faults.
    pub fn fault(&self, fault: &Fault) {
        self.endpoint.apply_fault(fault, None);
    }

    /// Stops listening and closes all connections. On return the port refuses connections.
    pub fn stop(&self) {
        self.endpoint.service.stop();
        if let Some(proxy) = self.endpoint.proxy.get() {
            proxy.stop_and_wait();
        }
    }
}

impl<T> Deref for Server<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.service
    }
}

impl<T> Drop for Server<T> {
    fn drop(&mut self) {
        self.endpoint.service.stop();
        if let Some(proxy) = self.endpoint.proxy.get() {
            proxy.stop();
        }
    }
}

/// Records which stand-in each connection of a proxy belongs to.
struct ConnectionObserver {
    connections: Arc<Connections>,
    endpoint: Weak<Endpoint>,
}

impl Observer for ConnectionObserver {
    fn opened(&self, connection: ConnectionId) {
        if let Some(endpoint) = self.endpoint.upgrade() {
            self.connections.lock().insert(connection, endpoint);
        }
    }

    fn closed(&self, connection: ConnectionId) {
        self.connections.lock().remove(&connection);
    }
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Endpoint>>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn dispatch(server: &HttpServer, connections: &Connections) {
    let pool = ThreadPool::new("standin", THREAD_LIMITS);
    while let Ok(request) = server.recv() {
        let connection = request.remote_addr().copied();
        let endpoint =
            connection.and_then(|connection| connections.lock().get(&connection).cloned());
        if let (Some(endpoint), Some(connection)) = (endpoint, connection) {
            pool.execute(Box::new(move |_slot| endpoint.serve(connection, request)));
        }
    }
}

impl Endpoint {
    fn serve(&self, connection: ConnectionId, mut request: Request) {
        let method = request.method().clone();
        let path = request.url().to_owned();
        if (&method, path.as_str()) == (&Method::Post, "/fault") {
            let answer = self.handle_fault(connection, &mut request);
            return respond(request, false, &answer);
        }
        let call_faults = self.lock().next_call();
        if call_faults.dropped_before_effect {
            return self.close(connection);
        }
        let connected = || self.proxy.get().is_some_and(|proxy| proxy.is_open(connection));
        let answer = self.service.handle(&method, &path, &mut request, &connected);
        self.count_traffic(&request, &answer);
        if call_faults.slow_ms > 0 {
            thread::sleep(Duration::from_millis(call_faults.slow_ms));
        }
        match call_faults {
            CallFaults { dropped_after_effect: true, .. } => self.close(connection),
            CallFaults { truncated: true, .. } => self.truncate(connection, request, &answer),
            // A successful call has read its whole body; a failed one may not have.
            _ => respond(request, answer.status == 200, &answer),
        }
    }

    fn count_traffic(&self, request: &Request, answer: &Answer) {
        let line = format!("{} {} HTTP/1.1\r\n\r\n", request.method(), request.url()).len();
        let headers = request.headers().iter();
        let headers: usize = headers
            .map(|header| header.field.as_str().as_str().len() + header.value.len() + 4)
            .sum();
        let answer_bytes = with_response(answer, |message| response::encode(message, true));
        let answer_bytes = answer_bytes.map_or(0, |bytes| bytes.len());
        let bytes = line + headers + request.body_length().unwrap_or(0) + answer_bytes;
        let mut traffic = self.traffic.lock().unwrap_or_else(PoisonError::into_inner);
        *traffic.entry(answer.label).or_default() += bytes as u64;
    }

    /// Closes the connection. The status 500 that `tiny_http` writes for a dropped request no longer passes the proxy.
    fn close(&self, connection: ConnectionId) {
        if let Some(proxy) = self.proxy.get() {
            proxy.set_mode(connection, Mode::Closed);
        }
    }

    /// Sends the headers and half of the body, then closes the connection.
    fn truncate(&self, connection: ConnectionId, request: Request, answer: &Answer) {
        let length = answer.body.len();
        let head =
            format!("HTTP/1.1 {} Truncated\r\nContent-Length: {length}\r\n\r\n", answer.status);
        let part = [head.as_bytes(), &answer.body[..length / 2]].concat();
        if let Some(proxy) = self.proxy.get() {
            proxy.set_mode(connection, Mode::Truncate(part.len()));
        }
        let mut writer = request.into_writer();
        let _ = writer.write_all(&part).and_then(|()| writer.flush());
    }

    fn handle_fault(&self, connection: ConnectionId, request: &mut Request) -> Answer {
        match read_json::<Fault>(request) {
            Ok(fault) => {
                self.apply_fault(&fault, Some(connection));
                Answer::json(&fault)
            }
            Err(answer) => answer,
        }
    }

    fn apply_fault(&self, fault: &Fault, except: Option<ConnectionId>) {
        self.lock().apply(fault);
        self.service.apply_fault(fault);
        if let (Some(true), Some(proxy)) = (fault.silence_open_connections, self.proxy.get()) {
            proxy.set_mode_of_all(Mode::Silent, except);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ActiveFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn respond(request: Request, read: bool, answer: &Answer) {
    // A failed write means that the caller has disconnected.
    let _ = with_response(answer, |message| response::respond(request, read, message));
}

fn with_response<R>(answer: &Answer, action: impl FnOnce(&BufferedResponse<'_>) -> R) -> R {
    let headers: Vec<(&str, &str)> =
        answer.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    action(&BufferedResponse { status: answer.status, headers: &headers, body: &answer.body })
}
