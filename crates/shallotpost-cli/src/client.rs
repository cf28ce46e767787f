//! HTTP client that tries one entry host after the other without ever doubling an effect.

use std::io;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};
use ureq::http::{Method, Request, Response, StatusCode};
use ureq::{Agent, AsSendBody, Body, SendBody, Timeout};

use crate::error::Error;
use crate::secret::Key;

/// Timeout for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request, beyond the wait that the request asks for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of each read or write of an object stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted reply, well above a page of 500 entries.
const REPLY_LENGTH_MAX: u64 = 32 << 20;

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It changes nothing.
    Read,
    /// A repeat has no further effect: its id or revision makes it refer to the same change.
    Repeatable,
    /// A repeat could undo a change that came in between; it is not sent again after an ambiguous failure.
    Once,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path, starting with `/v1/`; its parts are names and need no encoding.
    pub path: String,
    /// Query, in order.
    pub query: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Option<Vec<u8>>,
    /// What repeating it can do.
    pub effect: Effect,
    /// Wait that the request asks for.
    pub wait: Duration,
    /// Command that tells the outcome after an ambiguous failure.
    pub check: String,
}

impl Call {
    /// A request that changes nothing.
    pub fn get(path: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            query: Vec::new(),
            body: None,
            effect: Effect::Read,
            wait: Duration::ZERO,
            check: String::new(),
        }
    }

    /// A request with an effect; `check` is the command that tells the outcome.
    pub fn change(method: Method, path: String, effect: Effect, check: String) -> Call {
        Call { method, effect, check, ..Call::get(path) }
    }

    /// Adds a query parameter.
    pub fn query(mut self, name: &'static str, value: impl ToString) -> Call {
        self.query.push((name, value.to_string()));
        self
    }

    /// Sets the JSON body.
    pub fn json<T: Serialize>(mut self, body: &T) -> Call {
        self.body = Some(serde_json::to_vec(body).unwrap_or_default());
        self
    }

    /// Asks the entry host to wait this long.
    pub fn waiting(mut self, wait: Duration) -> Call {
        self.wait = wait;
        self.query("wait_ms", wait.as_millis())
    }
}

/// Scheme of team keys at the entry hosts of a fleet; the product's own interface has another one.
const TEAM_KEY_SCHEME: &str = "Token";

/// Why one entry host gave no reply.
enum Attempt {
    /// The request certainly had no effect there; another entry host may take it.
    NotTaken(String),
    /// The entry host refused it in a way that another one would repeat.
    Refused(Problem),
    /// It may have taken effect.
    Lost(String),
}

/// Client of several entry hosts.
pub struct Client {
    agent: Agent,
    servers: Vec<String>,
    key: Option<Key>,
}

impl Client {
    /// A client that tries `servers`, base URLs without a slash at the end, in this order.
    pub fn new(servers: Vec<String>, key: Option<Key>) -> Client {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_redirects(0)
            // A pooled connection that went silent would turn a clean failure into an ambiguous one.
            .max_idle_connections(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_resolve(Some(CONNECT_TIMEOUT))
            .build()
            .new_agent();
        Client { agent, servers, key }
    }

    /// Sends the request to one entry host after the other until one replies.
    ///
    /// # Errors
    ///
    /// `Problem` where an entry host refused it, `Unreachable` where none took it, `Ambiguous` where it may have taken
    /// effect. After an ambiguous failure the refusal of another entry host says nothing about the first try.
    pub fn send(&self, call: &Call) -> Result<Reply, Error> {
        let attempt = |server: &str| self.exchange(server, call);
        self.try_servers(call.effect, &call.check, attempt)
    }

    /// Uploads `length` bytes that `open` gives anew for each try.
    ///
    /// # Errors
    ///
    /// As `send`.
    pub fn upload<R: io::Read + 'static>(
        &self,
        path: &str,
        length: u64,
        check: &str,
        open: impl Fn() -> io::Result<R>,
    ) -> Result<(), Error> {
        let attempt = |server: &str| {
            let reader = open().map_err(|error| Attempt::NotTaken(error.to_string()))?;
            let request = self
                .request(Method::PUT, server, path, &[])
                .header("content-type", "application/octet-stream")
                .header("content-length", length)
                .body(SendBody::from_owned_reader(reader))
                .map_err(|error| Attempt::NotTaken(error.to_string()))?;
            let response = self.stream(request)?;
            accepted(response).map(|_| ())
        };
        self.try_servers(Effect::Repeatable, check, attempt)
    }

    /// Opens a download; the reader fails where the stream ends early.
    ///
    /// # Errors
    ///
    /// As `send`.
    pub fn download(&self, path: &str) -> Result<Box<dyn io::Read>, Error> {
        let attempt = |server: &str| {
            let request = self
                .request(Method::GET, server, path, &[])
                .body(())
                .map_err(|error| Attempt::NotTaken(error.to_string()))?;
            let body = accepted(self.stream(request)?)?.into_body();
            let reader: Box<dyn io::Read> =
                Box::new(body.into_with_config().limit(u64::MAX).reader());
            Ok(reader)
        };
        self.try_servers(Effect::Read, "", attempt)
    }

    fn try_servers<T>(
        &self,
        effect: Effect,
        check: &str,
        attempt: impl Fn(&str) -> Result<T, Attempt>,
    ) -> Result<T, Error> {
        let mut attempts = Vec::new();
        let mut lost = false;
        let mut refusal = None;
        for server in &self.servers {
            let next = match attempt(server) {
                Ok(reply) => return Ok(reply),
                Err(Attempt::NotTaken(cause)) => {
                    attempts.push(format!("{server}: {cause}"));
                    true
                }
                Err(Attempt::Lost(cause)) => {
                    attempts.push(format!("{server}: {cause}"));
                    lost = true;
                    true
                }
                Err(Attempt::Refused(problem)) => {
                    attempts.push(format!("{server}: {}: {}", problem.kind, problem.message));
                    lost |= problem.kind == Kind::Unknown;
                    let next = is_passed_on(problem.kind);
                    refusal = Some((server.clone(), problem));
                    next
                }
            };
            if !next || (lost && effect == Effect::Once) {
                break;
            }
        }
        let ambiguous = lost && effect != Effect::Read;
        match refusal {
            Some((server, problem)) if !ambiguous || holds_everywhere(problem.kind) => {
                Err(Error::Problem { server, problem })
            }
            _ if ambiguous => Err(Error::Ambiguous { attempts, check: check.to_owned() }),
            _ => Err(Error::Unreachable { attempts }),
        }
    }

    /// Sends a request on a job of a fleet to one entry host after the other until one answers. The same request may be
    /// repeated: a job's id names one job.
    ///
    /// # Errors
    ///
    /// No entry host took it, all refused it, or its outcome is not known.
    pub fn send_job(
        &self,
        method: &Method,
        path: &str,
        team_key: Option<&str>,
        body: &[u8],
        check: &str,
    ) -> Result<Value, Error> {
        let attempt = |server: &str| self.exchange_job(server, method, path, team_key, body);
        let effect = if *method == Method::GET { Effect::Read } else { Effect::Repeatable };
        self.try_servers(effect, check, attempt)
    }

    fn exchange_job(
        &self,
        server: &str,
        method: &Method,
        path: &str,
        team_key: Option<&str>,
        body: &[u8],
    ) -> Result<Value, Attempt> {
        let mut builder = Request::builder().method(method.clone()).uri(format!("{server}{path}"));
        if let Some(key) = team_key {
            builder = builder.header("authorization", format!("{TEAM_KEY_SCHEME} {key}"));
        }
        let unsendable = |error: ureq::http::Error| Attempt::NotTaken(error.to_string());
        let mut response = match *method == Method::POST {
            true => {
                builder = builder.header("content-type", "application/json");
                self.run(builder.body(body).map_err(unsendable)?, REQUEST_TIMEOUT)
            }
            false => self.run(builder.body(()).map_err(unsendable)?, REQUEST_TIMEOUT),
        }?;
        let status = response.status();
        let text = read_text(&mut response).map_err(Attempt::Lost)?;
        let answer: Value = serde_json::from_str(&text)
            .map_err(|error| Attempt::Lost(format!("the answer cannot be read ({error})")))?;
        match job_problem(status) {
            None if status.is_success() => Ok(answer),
            None => Err(Attempt::Lost(format!("status {status}"))),
            Some(kind) => {
                let message = answer["error"].as_str().unwrap_or("no reason given");
                Err(Attempt::Refused(Problem::new(kind, message)))
            }
        }
    }

    fn exchange(&self, server: &str, call: &Call) -> Result<Reply, Attempt> {
        let mut builder = self.request(call.method.clone(), server, &call.path, &call.query);
        if call.body.is_some() {
            builder = builder.header("content-type", "application/json");
        }
        let unsendable = |error: ureq::http::Error| Attempt::NotTaken(error.to_string());
        let timeout = REQUEST_TIMEOUT + call.wait;
        let empty_body = call.method == Method::POST || call.method == Method::PUT;
        let response = match &call.body {
            Some(body) => self.run(builder.body(body.as_slice()).map_err(unsendable)?, timeout),
            None if empty_body => self.run(builder.body("").map_err(unsendable)?, timeout),
            None => self.run(builder.body(()).map_err(unsendable)?, timeout),
        }?;
        let text = read_text(&mut accepted(response)?).map_err(Attempt::Lost)?;
        serde_json::from_str(&text)
            .map_err(|error| Attempt::Lost(format!("the reply cannot be read ({error})")))
    }

    fn request(
        &self,
        method: Method,
        server: &str,
        path: &str,
        query: &[(&'static str, String)],
    ) -> ureq::http::request::Builder {
        let pairs: Vec<String> =
            query.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let mark = if pairs.is_empty() { "" } else { "?" };
        let url = format!("{server}{path}{mark}{}", pairs.join("&"));
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
    ) -> Result<Response<Body>, Attempt> {
        let request = self.agent.configure_request(request).timeout_global(Some(timeout)).build();
        self.agent.run(request).map_err(classify)
    }

    /// Runs a request whose body may take long: each read and write has a timeout, the whole has none.
    fn stream<B: AsSendBody>(&self, request: Request<B>) -> Result<Response<Body>, Attempt> {
        let request = self
            .agent
            .configure_request(request)
            .timeout_per_read(Some(STREAM_TIMEOUT))
            .timeout_per_write(Some(STREAM_TIMEOUT))
            .build();
        self.agent.run(request).map_err(classify)
    }
}

/// The response, if its status is a success; otherwise the problem that it carries.
fn accepted(mut response: Response<Body>) -> Result<Response<Body>, Attempt> {
    let status: StatusCode = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = read_text(&mut response).map_err(Attempt::Lost)?;
    match serde_json::from_str(&text) {
        Ok(problem) => Err(Attempt::Refused(problem)),
        Err(_) => Err(Attempt::Lost(format!("status {status} without a problem in the body"))),
    }
}

/// Kind of problem behind a status of a fleet's entry host; none for a success and for an outcome that is not known.
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
    let body = response.body_mut().with_config().limit(REPLY_LENGTH_MAX);
    body.read_to_string().map_err(|error| format!("the reply is incomplete ({error})"))
}

/// Tells a request that was certainly not sent from one that may have arrived.
fn classify(error: ureq::Error) -> Attempt {
    let text = error.to_string();
    match error {
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => Attempt::NotTaken(text),
        ureq::Error::Io(cause) if is_connect_failure(cause.kind()) => Attempt::NotTaken(text),
        _ => Attempt::Lost(text),
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

/// Whether another entry host may take what this one refused.
fn is_passed_on(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Overloaded
            | Kind::Unavailable
            | Kind::StaleConfiguration
            | Kind::Draining
            | Kind::Unknown
    )
}

/// Whether the refusal holds for every try of the same request, also for an earlier one whose outcome was lost.
fn holds_everywhere(kind: Kind) -> bool {
    matches!(kind, Kind::Malformed | Kind::TooLarge | Kind::IdReused)
}
