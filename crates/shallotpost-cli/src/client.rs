//! HTTP client that tries the entry hosts in order and never applies a request twice.

use std::io;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use shallotpost_protocol::interface::{Reply, processing_time};
use shallotpost_protocol::problem::{Kind, Problem};
use ureq::http::{Method, Request, Response, StatusCode};
use ureq::{Agent, AsSendBody, Body, SendBody, Timeout};

use crate::error::Error;
use crate::secret::Key;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request, added to the wait that the request asks for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of each read or write of an object stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the response to an upload, without the time to process the object. Longer than the one of the entry host for
/// the response of the object store, so that its answer arrives.
const UPLOAD_RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of a reply, well above that of a page of 500 entries.
const MAX_REPLY_BYTES: u64 = 32 << 20;

/// The effect of sending a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request changes nothing.
    ReadOnly,
    /// A repeat has no further effect, because its id or revision identifies the same change.
    Idempotent,
    /// A repeat could undo a change that was made in between. The request is not sent again after an ambiguous failure.
    NotIdempotent,
}

/// One request to the entry hosts.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// Path that starts with `/v1/`. Its segments are names and need no percent-encoding.
    pub path: String,
    /// Query parameters, in order; names and values need no percent-encoding.
    pub query: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Option<Vec<u8>>,
    pub effect: Effect,
    /// Wait that the request asks the entry host for; zero for none.
    pub wait: Duration,
    /// Command line that shows the outcome after an ambiguous failure; empty for read-only requests.
    pub check: String,
}

impl Call {
    /// Returns a read-only request.
    pub fn get(path: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            query: Vec::new(),
            body: None,
            effect: Effect::ReadOnly,
            wait: Duration::ZERO,
            check: String::new(),
        }
    }

    /// Returns a request that changes something; `check` is the command line that shows its outcome.
    pub fn change(method: Method, path: String, effect: Effect, check: String) -> Call {
        Call { method, effect, check, ..Call::get(path) }
    }

    /// Adds a query parameter, which must need no percent-encoding.
    pub fn query(mut self, name: &'static str, value: impl ToString) -> Call {
        self.query.push((name, value.to_string()));
        self
    }

    pub fn json<T: Serialize>(mut self, body: &T) -> Call {
        self.body = Some(serde_json::to_vec(body).unwrap_or_default());
        self
    }

    /// Makes the request a long poll that the entry host answers after `wait` at the latest.
    pub fn waiting(mut self, wait: Duration) -> Call {
        self.wait = wait;
        self.query("wait_ms", wait.as_millis())
    }
}

/// Authorization scheme of team keys at the entry hosts of a fleet. The `/v1` interface uses `Bearer` instead.
const TEAM_KEY_SCHEME: &str = "Token";

/// Why a request to one entry host failed.
enum AttemptError {
    /// The request did not reach the entry host and had no effect; another entry host may accept it.
    NotSent(String),
    /// The entry host refused the request.
    Refused(Problem),
    /// The reply is missing or unreadable; the request may have taken effect.
    ReplyLost(String),
}

/// Client of the entry hosts. It tries them in order and fails over to the next one.
pub struct Client {
    agent: Agent,
    servers: Vec<String>,
    key: Option<Key>,
}

impl Client {
    /// Creates a client of `servers`, which are base URLs without a trailing slash.
    pub fn new(servers: Vec<String>, key: Option<Key>) -> Client {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            // Connections are not reused: a request that fails on a stale connection is ambiguous, while a failure to
            // connect is known to have had no effect.
            .max_idle_connections(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_resolve(Some(CONNECT_TIMEOUT))
            .build()
            .new_agent();
        Client { agent, servers, key }
    }

    /// Sends the request to the entry hosts in order until one replies.
    ///
    /// # Errors
    ///
    /// Returns `Problem` if an entry host refused the request, `Unreachable` if none accepted it, and `Ambiguous` if it may
    /// have taken effect. A refusal that follows an ambiguous failure says nothing about the first attempt, unless the
    /// refusal holds for every attempt.
    pub fn send(&self, call: &Call) -> Result<Reply, Error> {
        let attempt = |server: &str| self.exchange(server, call);
        self.try_servers(call.effect, &call.check, attempt)
    }

    /// Uploads an object of `length` bytes. `open` is called for each attempt and returns the content from its start.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`].
    pub fn upload<R: io::Read + 'static>(
        &self,
        path: &str,
        length: u64,
        check: &str,
        open: impl Fn() -> io::Result<R>,
    ) -> Result<(), Error> {
        let attempt = |server: &str| {
            let reader = open().map_err(|error| AttemptError::NotSent(error.to_string()))?;
            let request = self
                .request(Method::PUT, server, path, &[])
                .header("content-type", "application/octet-stream")
                .header("content-length", length)
                .body(SendBody::from_owned_reader(reader))
                .map_err(|error| AttemptError::NotSent(error.to_string()))?;
            let read_timeout = UPLOAD_RESPONSE_TIMEOUT + processing_time(length);
            let response = self.run_stream(request, read_timeout)?;
            error_for_status(response).map(|_| ())
        };
        self.try_servers(Effect::Idempotent, check, attempt)
    }

    /// Starts a download. The returned reader fails if the stream ends early.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`].
    pub fn download(&self, path: &str) -> Result<Box<dyn io::Read>, Error> {
        let attempt = |server: &str| {
            let request = self
                .request(Method::GET, server, path, &[])
                .body(())
                .map_err(|error| AttemptError::NotSent(error.to_string()))?;
            let body = error_for_status(self.run_stream(request, STREAM_TIMEOUT)?)?.into_body();
            let reader: Box<dyn io::Read> =
                Box::new(body.into_with_config().limit(u64::MAX).reader());
            Ok(reader)
        };
        self.try_servers(Effect::ReadOnly, "", attempt)
    }

    fn try_servers<T>(
        &self,
        effect: Effect,
        check: &str,
        attempt: impl Fn(&str) -> Result<T, AttemptError>,
    ) -> Result<T, Error> {
        let mut attempts = Vec::new();
        let mut may_have_taken_effect = false;
        let mut refusal = None;
        for server in &self.servers {
            let try_next = match attempt(server) {
                Ok(reply) => return Ok(reply),
                Err(AttemptError::NotSent(cause)) => {
                    attempts.push(format!("{server}: {cause}"));
                    true
                }
                Err(AttemptError::ReplyLost(cause)) => {
                    attempts.push(format!("{server}: {cause}"));
                    may_have_taken_effect = true;
                    true
                }
                Err(AttemptError::Refused(problem)) => {
                    attempts.push(format!("{server}: {}: {}", problem.kind, problem.message));
                    may_have_taken_effect |= problem.kind == Kind::Unknown;
                    let try_next = should_try_next(problem.kind);
                    refusal = Some((server.clone(), problem));
                    try_next
                }
            };
            if !try_next || (may_have_taken_effect && effect == Effect::NotIdempotent) {
                break;
            }
        }
        let ambiguous = may_have_taken_effect && effect != Effect::ReadOnly;
        match refusal {
            Some((server, problem)) if !ambiguous || is_definitive(problem.kind) => {
                Err(Error::Problem { server, problem })
            }
            _ if ambiguous => Err(Error::Ambiguous { attempts, check: check.to_owned() }),
            _ => Err(Error::Unreachable { attempts }),
        }
    }

    /// Sends a request about a job of a fleet to the entry hosts in order until one replies. The request is idempotent,
    /// because a job's id identifies one job.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`].
    pub fn send_job(
        &self,
        method: &Method,
        path: &str,
        team_key: Option<&str>,
        body: &[u8],
        check: &str,
    ) -> Result<Value, Error> {
        let attempt = |server: &str| self.exchange_job(server, method, path, team_key, body);
        let effect = if *method == Method::GET { Effect::ReadOnly } else { Effect::Idempotent };
        self.try_servers(effect, check, attempt)
    }

    fn exchange_job(
        &self,
        server: &str,
        method: &Method,
        path: &str,
        team_key: Option<&str>,
        body: &[u8],
    ) -> Result<Value, AttemptError> {
        let mut builder = Request::builder().method(method.clone()).uri(format!("{server}{path}"));
        if let Some(key) = team_key {
            builder = builder.header("authorization", format!("{TEAM_KEY_SCHEME} {key}"));
        }
        let not_sent = |error: ureq::http::Error| AttemptError::NotSent(error.to_string());
        let mut response = match *method == Method::POST {
            true => {
                builder = builder.header("content-type", "application/json");
                self.run(builder.body(body).map_err(not_sent)?, REQUEST_TIMEOUT)
            }
            false => self.run(builder.body(()).map_err(not_sent)?, REQUEST_TIMEOUT),
        }?;
        let status = response.status();
        let text = read_text(&mut response).map_err(AttemptError::ReplyLost)?;
        let reply: Value = serde_json::from_str(&text).map_err(|error| {
            AttemptError::ReplyLost(format!("the reply cannot be read ({error})"))
        })?;
        match job_problem(status) {
            None if status.is_success() => Ok(reply),
            None => Err(AttemptError::ReplyLost(format!("status {status}"))),
            Some(kind) => {
                let message = reply["error"].as_str().unwrap_or("the reply gives no reason");
                Err(AttemptError::Refused(Problem::new(kind, message)))
            }
        }
    }

    fn exchange(&self, server: &str, call: &Call) -> Result<Reply, AttemptError> {
        let mut builder = self.request(call.method.clone(), server, &call.path, &call.query);
        if call.body.is_some() {
            builder = builder.header("content-type", "application/json");
        }
        let not_sent = |error: ureq::http::Error| AttemptError::NotSent(error.to_string());
        let timeout = REQUEST_TIMEOUT + call.wait;
        let empty_body = call.method == Method::POST || call.method == Method::PUT;
        let response = match &call.body {
            Some(body) => self.run(builder.body(body.as_slice()).map_err(not_sent)?, timeout),
            None if empty_body => self.run(builder.body("").map_err(not_sent)?, timeout),
            None => self.run(builder.body(()).map_err(not_sent)?, timeout),
        }?;
        let text = read_text(&mut error_for_status(response)?).map_err(AttemptError::ReplyLost)?;
        serde_json::from_str(&text)
            .map_err(|error| AttemptError::ReplyLost(format!("the reply cannot be read ({error})")))
    }

    fn request(
        &self,
        method: Method,
        server: &str,
        path: &str,
        query: &[(&'static str, String)],
    ) -> ureq::http::request::Builder {
        let parameters: Vec<String> =
            query.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let separator = if parameters.is_empty() { "" } else { "?" };
        let url = format!("{server}{path}{separator}{}", parameters.join("&"));
        let builder = Request::builder().method(method).uri(url);
        match &self.key {
            Some(key) => builder.header("authorization", key.header()),
            None => builder,
        }
    }

    fn run<B: AsSendBody>(
        &self,
        request: Request<B>,
        timeout: Duration,
    ) -> Result<Response<Body>, AttemptError> {
        let request = self.agent.configure_request(request).timeout_global(Some(timeout)).build();
        self.agent.run(request).map_err(classify)
    }

    /// Runs a request with a large body. Each read and write has a timeout, the whole request has none.
    fn run_stream<B: AsSendBody>(
        &self,
        request: Request<B>,
        read_timeout: Duration,
    ) -> Result<Response<Body>, AttemptError> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_per_read(Some(read_timeout))
            .timeout_per_write(Some(STREAM_TIMEOUT))
            .build();
        self.agent.run(request).map_err(classify)
    }
}

/// Returns a successful response, or the problem in the body of any other one.
fn error_for_status(mut response: Response<Body>) -> Result<Response<Body>, AttemptError> {
    let status: StatusCode = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = read_text(&mut response).map_err(AttemptError::ReplyLost)?;
    match serde_json::from_str(&text) {
        Ok(problem) => Err(AttemptError::Refused(problem)),
        Err(_) => {
            Err(AttemptError::ReplyLost(format!("status {status} without a problem in the body")))
        }
    }
}

/// Returns the kind of problem for a status of a fleet's entry host; `None` for a success and for an unknown outcome.
fn job_problem(status: StatusCode) -> Option<Kind> {
    Some(match status.as_u16() {
        401 => Kind::Unauthorized,
        404 | 410 => Kind::NotFound,
        413 => Kind::TooLarge,
        429 | 503 => Kind::Unavailable,
        400..=499 => Kind::Malformed,
        _ => return None,
    })
}

fn read_text(response: &mut Response<Body>) -> Result<String, String> {
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    body.read_to_string().map_err(|error| format!("the reply is incomplete ({error})"))
}

/// Tells requests that were certainly not sent from those that may have arrived.
fn classify(error: ureq::Error) -> AttemptError {
    let text = error.to_string();
    match error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => AttemptError::NotSent(text),
        ureq::Error::Io(cause) if is_connect_failure(cause.kind()) => AttemptError::NotSent(text),
        _ => AttemptError::ReplyLost(text),
    }
}

fn is_connect_failure(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}

/// Returns whether another entry host may accept what this one refused.
fn should_try_next(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Overloaded
            | Kind::Unavailable
            | Kind::StaleConfiguration
            | Kind::Draining
            | Kind::Unknown
    )
}

/// Returns whether the refusal holds for every attempt of the same request, including an earlier one whose reply was lost.
fn is_definitive(kind: Kind) -> bool {
    matches!(kind, Kind::Malformed | Kind::TooLarge | Kind::IdReused)
}
