//! HTTP server for any number of stand-ins in one process.
//!
//! One inner `tiny_http` server handles the requests of all stand-ins. Each stand-in has its own listening gate, through
//! which connection faults are injected; the gate's address of a connection tells which stand-in is meant.

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

use crate::fault::{Fault, Switches, Verdict};

/// Bounds of each stand-in's gate. Idle connections stay open long: the stand-in must not hide stale ones.
const GATE_LIMITS: ProxyLimits =
    ProxyLimits { max_connections: 4096, idle_timeout: Duration::from_secs(3600) };

/// Bounds of the threads that handle requests; each waiting `sync` takes one.
const THREADS: Limits = Limits { max_threads: 4096, max_queued: 4096, stack_bytes: 256 << 10 };

/// Longest body of a call, in bytes.
const BODY_LENGTH_MAX: u64 = 64 << 20;

/// What a stand-in answers.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Arc<Vec<u8>>,
    /// What the call was made for; the bytes of calls are counted by it.
    pub cause: &'static str,
}

/// Bytes of calls and answers by cause: lines, headers and bodies of HTTP, without the headers of TCP and IP.
pub type Traffic = BTreeMap<&'static str, u64>;

/// Cause of calls without a name.
const OTHER: &str = "other";

impl Answer {
    /// A JSON answer with status 200.
    pub fn json<T: Serialize>(value: &T) -> Answer {
        match serde_json::to_vec(value) {
            Ok(body) => {
                Answer { status: 200, headers: Vec::new(), body: Arc::new(body), cause: OTHER }
            }
            Err(error) => Answer::refused(500, &error.to_string()),
        }
    }

    /// A refusal with a reason.
    pub fn refused(status: u16, reason: &str) -> Answer {
        let body = Arc::new(reason.as_bytes().to_vec());
        Answer { status, headers: Vec::new(), body, cause: OTHER }
    }

    /// The same answer with a cause.
    pub fn caused_by(self, cause: &'static str) -> Answer {
        Answer { cause, ..self }
    }
}

/// A stand-in behind a gate.
pub trait Service: Send + Sync + 'static {
    /// Executes one call. `connected` tells whether the caller's connection is still open; a chunked body that breaks off
    /// looks like one that ended.
    fn handle(
        &self,
        method: &Method,
        path: &str,
        request: &mut Request,
        connected: &dyn Fn() -> bool,
    ) -> Answer;
    /// Applies the switches that only this kind of stand-in has.
    fn set(&self, fault: &Fault);
    /// Ends waits, because the stand-in stops.
    fn stop(&self) {}
}

/// Reads a JSON body.
pub fn read_json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Result<T, Answer> {
    let mut body = Vec::new();
    let read = request.as_reader().take(BODY_LENGTH_MAX).read_to_end(&mut body);
    let malformed = |error: &dyn ToString| Answer::refused(400, &error.to_string());
    read.map_err(|error| malformed(&error))?;
    serde_json::from_slice(&body).map_err(|error| malformed(&error))
}

/// The process-wide part: the inner server, its threads and the I/O thread. Stops when it is dropped.
pub struct Hub {
    driver: IoThread,
    inner: Arc<HttpServer>,
    inner_address: SocketAddr,
    sites: Arc<Sites>,
}

#[derive(Default)]
struct Sites {
    by_connection: Mutex<HashMap<ConnectionId, Arc<Site>>>,
}

/// One stand-in with its gate and its switches.
struct Site {
    service: Arc<dyn Service>,
    switches: Mutex<Switches>,
    gate: OnceLock<TcpProxy>,
    traffic: Mutex<Traffic>,
}

/// A running stand-in. Dereferences to its service. Stops when it is dropped.
pub struct Server<T> {
    service: Arc<T>,
    site: Arc<Site>,
    address: SocketAddr,
}

impl Hub {
    /// Starts the inner server.
    pub fn start() -> io::Result<Hub> {
        let inner = HttpServer::http("127.0.0.1:0").map_err(io::Error::other)?;
        let inner = Arc::new(inner);
        let inner_address =
            inner.server_addr().to_ip().ok_or_else(|| io::Error::other("no IP address"))?;
        let sites = Arc::<Sites>::default();
        let (server, registry) = (Arc::clone(&inner), Arc::clone(&sites));
        let dispatcher = thread::Builder::new().name("standin-dispatch".to_owned());
        dispatcher.spawn(move || dispatch(&server, &registry))?;
        Ok(Hub { driver: IoThread::start("standin-io")?, inner, inner_address, sites })
    }

    /// Serves a stand-in at `address`; port 0 selects a free one.
    pub fn serve<T: Service>(&self, address: SocketAddr, service: T) -> io::Result<Server<T>> {
        let service = Arc::new(service);
        let site = Arc::new(Site {
            service: Arc::clone(&service) as Arc<dyn Service>,
            switches: Mutex::default(),
            gate: OnceLock::new(),
            traffic: Mutex::default(),
        });
        let registrar = Registrar { sites: Arc::clone(&self.sites), site: Arc::downgrade(&site) };
        let runtime = self.driver.handle();
        let gate = TcpProxy::start(
            runtime,
            address,
            self.inner_address,
            GATE_LIMITS,
            Arc::new(registrar),
        )?;
        let address = gate.address();
        let _ = site.gate.set(gate);
        Ok(Server { service, site, address })
    }
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.inner.unblock();
    }
}

impl<T> Server<T> {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of all calls so far.
    pub fn traffic(&self) -> Traffic {
        self.site.traffic.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes fault switches.
    pub fn fault(&self, fault: &Fault) {
        self.site.set(fault, None);
    }

    /// Stops listening and closes all connections; the port refuses connections afterwards.
    pub fn stop(&self) {
        self.site.service.stop();
        if let Some(gate) = self.site.gate.get() {
            gate.stop_and_wait();
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
        self.site.service.stop();
        if let Some(gate) = self.site.gate.get() {
            gate.stop();
        }
    }
}

/// Records which stand-in each connection belongs to.
struct Registrar {
    sites: Arc<Sites>,
    site: Weak<Site>,
}

impl Observer for Registrar {
    fn opened(&self, connection: ConnectionId) {
        if let Some(site) = self.site.upgrade() {
            self.sites.lock().insert(connection, site);
        }
    }

    fn closed(&self, connection: ConnectionId) {
        self.sites.lock().remove(&connection);
    }
}

impl Sites {
    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Site>>> {
        self.by_connection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn dispatch(server: &HttpServer, sites: &Sites) {
    let pool = ThreadPool::new("standin", THREADS);
    while let Ok(request) = server.recv() {
        let connection = request.remote_addr().copied();
        let site = connection.and_then(|connection| sites.lock().get(&connection).cloned());
        if let (Some(site), Some(connection)) = (site, connection) {
            pool.execute(Box::new(move || site.serve(connection, request)));
        }
    }
}

impl Site {
    fn serve(&self, connection: ConnectionId, mut request: Request) {
        let method = request.method().clone();
        let path = request.url().to_owned();
        if (&method, path.as_str()) == (&Method::Post, "/fault") {
            let answer = self.change(connection, &mut request);
            return respond(request, false, &answer);
        }
        let verdict = self.lock().decide();
        if verdict.lost_before {
            return self.close(connection);
        }
        let connected = || self.gate.get().is_some_and(|gate| gate.is_open(connection));
        let answer = self.service.handle(&method, &path, &mut request, &connected);
        self.count(&request, &answer);
        if verdict.slow_ms > 0 {
            thread::sleep(Duration::from_millis(verdict.slow_ms));
        }
        match verdict {
            Verdict { lost_after: true, .. } => self.close(connection),
            Verdict { truncated: true, .. } => self.truncate(connection, request, &answer),
            // A call that succeeded has read its whole body.
            _ => respond(request, answer.status == 200, &answer),
        }
    }

    fn count(&self, request: &Request, answer: &Answer) {
        let line = format!("{} {} HTTP/1.1\r\n\r\n", request.method(), request.url()).len();
        let headers = request.headers().iter();
        let headers: usize = headers
            .map(|header| header.field.as_str().as_str().len() + header.value.len() + 4)
            .sum();
        let answered = with_message(answer, |message| response::encode(message, true));
        let answered = answered.map_or(0, |bytes| bytes.len());
        let bytes = line + headers + request.body_length().unwrap_or(0) + answered;
        let mut traffic = self.traffic.lock().unwrap_or_else(PoisonError::into_inner);
        *traffic.entry(answer.cause).or_default() += bytes as u64;
    }

    /// Closes the connection. The status 500 that `tiny_http` writes for a dropped request does not pass the gate any more.
    fn close(&self, connection: ConnectionId) {
        if let Some(gate) = self.gate.get() {
            gate.set_mode(connection, Mode::Closed);
        }
    }

    /// Sends the headers and half of the body, then closes the connection.
    fn truncate(&self, connection: ConnectionId, request: Request, answer: &Answer) {
        let length = answer.body.len();
        let head =
            format!("HTTP/1.1 {} Truncated\r\nContent-Length: {length}\r\n\r\n", answer.status);
        let part = [head.as_bytes(), &answer.body[..length / 2]].concat();
        if let Some(gate) = self.gate.get() {
            gate.set_mode(connection, Mode::Truncate(part.len()));
        }
        let mut writer = request.into_writer();
        let _ = writer.write_all(&part).and_then(|()| writer.flush());
    }

    fn change(&self, connection: ConnectionId, request: &mut Request) -> Answer {
        match read_json::<Fault>(request) {
            Ok(fault) => {
                self.set(&fault, Some(connection));
                Answer::json(&fault)
            }
            Err(answer) => answer,
        }
    }

    fn set(&self, fault: &Fault, except: Option<ConnectionId>) {
        self.lock().set(fault);
        self.service.set(fault);
        if let (Some(true), Some(gate)) = (fault.silence_open_connections, self.gate.get()) {
            gate.set_mode_of_all(Mode::Silent, except);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Switches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn respond(request: Request, read: bool, answer: &Answer) {
    // A failed write means that the caller left.
    let _ = with_message(answer, |message| response::respond(request, read, message));
}

fn with_message<R>(answer: &Answer, action: impl FnOnce(&BufferedResponse<'_>) -> R) -> R {
    let headers: Vec<(&str, &str)> =
        answer.headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    action(&BufferedResponse { status: answer.status, headers: &headers, body: &answer.body })
}
