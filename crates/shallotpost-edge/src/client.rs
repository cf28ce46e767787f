//! HTTP client for the platform services and the workers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use shallotpost_protocol::interface::processing_time;
use shallotpost_protocol::port::Failure;
use ureq::config::{AutoHeaderValue, Config};
use ureq::http::header::{ETAG, IF_NONE_MATCH};
use ureq::http::{Response, StatusCode, Uri};
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Body, Error, Timeout};

/// Pooled connections older than this are not reused.
pub const CONNECTION_AGE_MAX: Duration = Duration::from_secs(60);

/// Pooled connections that were idle for longer than this are not reused.
pub const CONNECTION_IDLE_MAX: Duration = Duration::from_secs(5);

/// Connect timeout. A separate one tells an unreachable address from a lost response.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum length of a response, in bytes; a scan of 1,000 rows with the largest records stays below it.
pub const RESPONSE_BYTES_MAX: u64 = 16 << 20;

/// Maximum number of idle connections per address.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Size of a connection's buffer in each direction.
const BUFFER_BYTES: usize = 8 << 10;

/// Requests up to this length are collected and sent in one piece. `ureq` sends the head and the body separately, which
/// costs one more segment and its acknowledgement.
const WRITE_COALESCE_BYTES: usize = 4 << 10;

/// Number of agents from which on those that were not used for [`CONNECTION_AGE_MAX`] are dropped.
const AGENT_EVICTION_THRESHOLD: usize = 256;

/// Response to a conditional request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConditionalResponse<R> {
    /// The resource still has the entity tag that the request named.
    NotModified,
    /// The resource, and its entity tag if the server sent one.
    Modified(R, Option<String>),
}

/// HTTP client with one connection pool per address, so that a fault at one address does not affect the others.
pub struct Client {
    buffer_bytes: usize,
    agents: Mutex<HashMap<String, (Agent, Instant)>>,
    unpooled: Agent,
}

impl Default for Client {
    fn default() -> Client {
        Client::with_buffers(BUFFER_BYTES)
    }
}

impl Client {
    /// Creates a client whose connections have buffers of this size in each direction.
    pub fn with_buffers(buffer_bytes: usize) -> Client {
        let unpooled = new_agent(buffer_bytes, 0);
        Client { buffer_bytes, agents: Mutex::default(), unpooled }
    }

    /// Posts `body` as JSON and parses the JSON response. `address` selects the connection pool.
    ///
    /// # Errors
    ///
    /// Returns whether the call was not sent, was rejected by the server, or may have taken effect.
    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        url: &str,
        body: &T,
        deadline: Instant,
    ) -> Result<R, Failure> {
        let body = serde_json::to_vec(body).map_err(|_| Failure::NotSent)?;
        let timeout = remaining(deadline)?;
        let request = self.agent(address).post(url).header("content-type", "application/json");
        let result = request.config().timeout_global(Some(timeout)).build().send(&body[..]);
        self.parse_result(address, result)
    }

    /// Like [`Client::post`], on a new connection. A server may close an idle connection while a request is being sent
    /// on it, and then it is unknown whether the server read the request.
    ///
    /// # Errors
    ///
    /// As [`Client::post`].
    pub fn post_unpooled<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        url: &str,
        body: &T,
        deadline: Instant,
    ) -> Result<R, Failure> {
        let body = serde_json::to_vec(body).map_err(|_| Failure::NotSent)?;
        let timeout = remaining(deadline)?;
        let request = self.unpooled.post(url).header("content-type", "application/json");
        let result = request.config().timeout_global(Some(timeout)).build().send(&body[..]);
        self.parse_result(address, result)
    }

    /// Gets `url` and parses the JSON response. `etag` is the entity tag of an earlier response and makes the request
    /// conditional.
    ///
    /// # Errors
    ///
    /// As [`Client::post`].
    pub fn get<R: DeserializeOwned>(
        &self,
        address: &str,
        url: &str,
        etag: Option<&str>,
        deadline: Instant,
    ) -> Result<ConditionalResponse<R>, Failure> {
        let timeout = remaining(deadline)?;
        let request = self.agent(address).get(url);
        let request = match etag {
            Some(tag) => request.header(IF_NONE_MATCH, tag),
            None => request,
        };
        let result = request.config().timeout_global(Some(timeout)).build().call();
        self.read_result(address, result, |response| parse_conditional(response, etag.is_some()))
    }

    /// Returns the agent that holds the connection pool of an address.
    pub fn agent(&self, address: &str) -> Agent {
        let now = Instant::now();
        let mut agents = self.lock();
        if agents.len() >= AGENT_EVICTION_THRESHOLD && !agents.contains_key(address) {
            agents.retain(|_, (_, used)| now.duration_since(*used) < CONNECTION_AGE_MAX);
        }
        let entry = agents
            .entry(address.to_owned())
            .or_insert_with(|| (new_agent(self.buffer_bytes, IDLE_CONNECTIONS_MAX), now));
        entry.1 = now;
        entry.0.clone()
    }

    /// Drops all pooled connections to an address. If one stopped responding, the others may have too.
    pub fn drop_connections(&self, address: &str) {
        self.lock().remove(address);
    }

    fn parse_result<R: DeserializeOwned>(
        &self,
        address: &str,
        result: Result<Response<Body>, Error>,
    ) -> Result<R, Failure> {
        self.read_result(address, result, parse)
    }

    /// Reads a response. Drops the connections to the address if the outcome is ambiguous.
    fn read_result<R>(
        &self,
        address: &str,
        result: Result<Response<Body>, Error>,
        read: impl FnOnce(Response<Body>) -> Result<R, Failure>,
    ) -> Result<R, Failure> {
        let outcome = result.map_err(|error| classify(&error)).and_then(read);
        if matches!(outcome, Err(Failure::Ambiguous)) {
            self.drop_connections(address);
        }
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (Agent, Instant)>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Classifies an error by whether the call may have taken effect.
pub fn classify(error: &Error) -> Failure {
    match error {
        Error::Other(source) if source.is::<ConnectFailed>() => Failure::NotSent,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::NotSent,
        Error::BadUri(_) | Error::HostNotFound | Error::ConnectionFailed => Failure::NotSent,
        _ => Failure::Ambiguous,
    }
}

/// Returns the time left until the deadline. A call whose deadline has passed is not sent.
fn remaining(deadline: Instant) -> Result<Duration, Failure> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() { Err(Failure::NotSent) } else { Ok(left) }
}

fn parse<R: DeserializeOwned>(mut response: Response<Body>) -> Result<R, Failure> {
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(RESPONSE_BYTES_MAX).read_to_vec();
    match (status, body) {
        (200, Ok(body)) => serde_json::from_slice(&body).map_err(|_| Failure::Ambiguous),
        // 408: the server stopped reading; what it did with the part it received is unknown.
        (400..=499, _) if status != 408 => Err(Failure::Rejected),
        _ => Err(Failure::Ambiguous),
    }
}

fn parse_conditional<R: DeserializeOwned>(
    response: Response<Body>,
    conditional: bool,
) -> Result<ConditionalResponse<R>, Failure> {
    if conditional && response.status() == StatusCode::NOT_MODIFIED {
        return Ok(ConditionalResponse::NotModified);
    }
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok()).map(str::to_owned);
    parse(response).map(|value| ConditionalResponse::Modified(value, tag))
}

fn new_agent(buffer_bytes: usize, idle_connections: usize) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .accept_encoding(AutoHeaderValue::None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .input_buffer_size(buffer_bytes)
        .output_buffer_size(buffer_bytes)
        .max_idle_connections(idle_connections)
        .max_idle_connections_per_host(idle_connections)
        .max_idle_age(CONNECTION_IDLE_MAX)
        .build();
    Agent::with_parts(config, AgeLimitingConnector, LiteralResolver)
}

/// A failed connect: no byte of the request was sent.
#[derive(Debug, thiserror::Error)]
#[error("connecting failed: {0}")]
struct ConnectFailed(String);

/// Wraps connect errors in [`ConnectFailed`] and limits the age of connections.
#[derive(Debug)]
struct AgeLimitingConnector;

impl Connector for AgeLimitingConnector {
    type Out = PooledTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<PooledTransport>, Error> {
        match TcpConnector::default().connect(details, chained) {
            Ok(transport) => {
                let opened = Instant::now();
                Ok(transport.map(|transport| PooledTransport {
                    transport: transport.boxed(),
                    opened,
                    unsent: Vec::new(),
                    sent_bytes: 0,
                }))
            }
            Err(error) => Err(Error::Other(Box::new(ConnectFailed(error.to_string())))),
        }
    }
}

/// A connection that counts as closed after [`CONNECTION_AGE_MAX`] and sends a short request in one piece.
struct PooledTransport {
    transport: Box<dyn Transport>,
    opened: Instant,
    /// Start of a request, sent with its next part or before its response is awaited.
    unsent: Vec<u8>,
    /// Bytes sent since the last input.
    sent_bytes: u64,
}

impl PooledTransport {
    fn send_unsent(&mut self, timeout: NextTimeout) -> Result<(), Error> {
        let unsent = std::mem::take(&mut self.unsent);
        let mut rest = unsent.as_slice();
        while !rest.is_empty() {
            let output = self.transport.buffers().output();
            let length = rest.len().min(output.len());
            output[..length].copy_from_slice(&rest[..length]);
            self.transport.transmit_output(length, timeout)?;
            rest = &rest[length..];
        }
        Ok(())
    }
}

impl fmt::Debug for PooledTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgedTransport").field("opened", &self.opened).finish_non_exhaustive()
    }
}

impl Transport for PooledTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.transport.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.sent_bytes += amount as u64;
        self.unsent.extend_from_slice(&self.transport.buffers().output()[..amount]);
        if self.unsent.len() <= WRITE_COALESCE_BYTES { Ok(()) } else { self.send_unsent(timeout) }
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.send_unsent(timeout)?;
        let processing = processing_time(self.sent_bytes);
        let per_read = timeout.per_read.map(|limit| limit.saturating_add(processing).into());
        let received = self.transport.await_input(NextTimeout { per_read, ..timeout })?;
        self.sent_bytes = 0;
        Ok(received)
    }

    fn is_open(&mut self) -> bool {
        self.opened.elapsed() < CONNECTION_AGE_MAX && self.transport.is_open()
    }

    fn is_tls(&self) -> bool {
        self.transport.is_tls()
    }
}

/// Accepts only literal `ip:port` addresses. The resolver of `ureq` starts a thread for each lookup.
#[derive(Debug)]
struct LiteralResolver;

impl Resolver for LiteralResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(|authority| authority.as_str()).unwrap_or_default();
        let address: SocketAddr = authority.parse().map_err(|_| Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
