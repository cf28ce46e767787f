//! Streams objects between clients and the object store.

use std::io::{self, Read};
use std::sync::Arc;

use shallotpost_protocol::port::Failure;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::work::Object;
use ureq::http::Response;
use ureq::{Body, Error, SendBody};

use crate::client::classify;
use crate::http::exchange::Exchange;
use crate::http::{CHUNK_BYTES, CloseTimer, OBJECT_BYTES_MAX, Shared};
use crate::proxy::ConnectionId;

/// Header with the hexadecimal SHA-256 digest of an object.
pub const DIGEST_HEADER: &str = "x-content-sha256";

/// Maximum length of the object store's response to an upload.
const UPLOAD_RESPONSE_BYTES_MAX: u64 = 4096;

/// Stores the request body as an object.
pub fn upload(mut exchange: Exchange, name: &str) {
    let _suspension = IdleSuspension::start(&exchange);
    match store(&mut exchange, name) {
        Ok(object) => exchange.json(200, &object),
        Err(problem) => exchange.problem(&problem),
    }
}

pub fn download(exchange: Exchange, name: &str) {
    let _suspension = IdleSuspension::start(&exchange);
    match fetch(&exchange, name) {
        Ok(response) => {
            // A failed write means that the client disconnected; dropping the stream closes the connection.
            let _ = stream_to_client(exchange, response);
        }
        Err(problem) => exchange.problem(&problem),
    }
}

fn store(exchange: &mut Exchange, name: &str) -> Result<Object, Problem> {
    let Shared { objects, transfer, .. } = &**exchange.shared();
    let url = format!("{}/{name}", objects.url);
    let request = objects.client.agent(&objects.url).put(url);
    let request = request
        .config()
        .timeout_per_write(Some(transfer.store_timeout))
        .timeout_per_read(Some(transfer.store_timeout))
        .build();
    let request = match exchange.header(DIGEST_HEADER) {
        Some(digest) => request.header(DIGEST_HEADER, digest),
        None => request,
    };
    let (shared, connection) = (Arc::clone(exchange.shared()), exchange.connection());
    let progress = Progress::start(&shared, connection);
    let is_connected = move || shared.is_open(connection);
    let Some(http_request) = exchange.request() else { return Err(incomplete_body()) };
    let chunked =
        http_request.headers().iter().any(|header| header.field.equiv("Transfer-Encoding"));
    let length = match http_request.body_length() {
        Some(length) => Some(length as u64),
        None if chunked => None,
        None => Some(0),
    };
    let request = match length {
        Some(length) => request.header("content-length", length.to_string()),
        None => request,
    };
    let mut body = UploadBody {
        source: http_request.as_reader(),
        is_connected: &is_connected,
        length,
        transferred: 0,
        progress: (length != Some(0)).then_some(progress),
        problem: None,
    };
    let result = request.send(SendBody::from_reader(&mut body));
    match (body.problem, result) {
        (Some(problem), _) => Err(problem),
        (None, Ok(response)) => {
            let object = parse_stored(response);
            if object.is_ok() {
                exchange.mark_body_read();
            }
            object
        }
        (None, Err(error)) => Err(store_problem(&error)),
    }
}

fn parse_stored(mut response: Response<Body>) -> Result<Object, Problem> {
    let body = response.body_mut().with_config().limit(UPLOAD_RESPONSE_BYTES_MAX).read_to_vec();
    match (response.status().as_u16(), body) {
        (200, Ok(body)) => serde_json::from_slice(&body).map_err(|_| unknown_outcome()),
        (400..=499, Ok(body)) => {
            let reason = String::from_utf8_lossy(&body).into_owned();
            Err(Problem::new(Kind::Malformed, format!("the object was not stored: {reason}.")))
        }
        _ => Err(unknown_outcome()),
    }
}

fn fetch(exchange: &Exchange, name: &str) -> Result<Response<Body>, Problem> {
    let Shared { objects, transfer, .. } = &**exchange.shared();
    let request = objects.client.agent(&objects.url).get(format!("{}/{name}", objects.url));
    let request = request.config().timeout_per_read(Some(transfer.store_timeout)).build();
    let response = request.call().map_err(|error| store_problem(&error))?;
    match response.status().as_u16() {
        200 => Ok(response),
        404 => Err(Problem::new(Kind::NotFound, format!("there is no object {name:?}."))),
        status => {
            let message = format!("the object store returned status {status}.");
            Err(Problem::new(Kind::Unavailable, message))
        }
    }
}

fn stream_to_client(exchange: Exchange, response: Response<Body>) -> io::Result<()> {
    let digest = response.headers().get(DIGEST_HEADER).and_then(|value| value.to_str().ok());
    let digest = digest.map(|digest| format!("{DIGEST_HEADER}: {digest}\r\n")).unwrap_or_default();
    let length = response.body().content_length();
    let framing = match length {
        Some(length) => format!("Content-Length: {length}\r\n"),
        None => "Transfer-Encoding: chunked\r\n".to_owned(),
    };
    let headers = format!("Content-Type: application/octet-stream\r\n{framing}{digest}");
    let mut progress = Progress::start(exchange.shared(), exchange.connection());
    let mut stream = exchange.stream(&headers)?;
    let mut body = response.into_body().into_with_config().limit(u64::MAX).reader();
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut transferred = 0;
    loop {
        let count = body.read(&mut chunk)?;
        transferred += count as u64;
        progress.record(count);
        match (count, length) {
            (0, Some(length)) if transferred != length => {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            (0, Some(_)) => return stream.finish(),
            (0, None) => return stream.finish_chunked(),
            (_, Some(_)) => stream.write(&chunk[..count])?,
            (_, None) => stream.chunk(&chunk[..count])?,
        }
    }
}

/// Closes the client's connection when the next [`CHUNK_BYTES`] do not pass in time.
struct Progress {
    shared: Arc<Shared>,
    connection: ConnectionId,
    passed_bytes: usize,
    timer: CloseTimer,
}

impl Progress {
    fn start(shared: &Arc<Shared>, connection: ConnectionId) -> Progress {
        let timer = shared.start_chunk_timer(connection);
        Progress { shared: Arc::clone(shared), connection, passed_bytes: 0, timer }
    }

    fn record(&mut self, bytes: usize) {
        self.passed_bytes += bytes;
        if self.passed_bytes >= CHUNK_BYTES {
            self.passed_bytes = 0;
            self.timer = self.shared.start_chunk_timer(self.connection);
        }
    }
}

/// Suspends the idle timeout of the client's connection until it is dropped: no byte passes there while the object store
/// processes an upload. [`Progress`] limits the time of the client instead.
struct IdleSuspension {
    shared: Arc<Shared>,
    connection: ConnectionId,
}

impl IdleSuspension {
    fn start(exchange: &Exchange) -> IdleSuspension {
        let (shared, connection) = (Arc::clone(exchange.shared()), exchange.connection());
        shared.suspend_idle_timeout(connection, true);
        IdleSuspension { shared, connection }
    }
}

impl Drop for IdleSuspension {
    fn drop(&mut self) {
        self.shared.suspend_idle_timeout(self.connection, false);
    }
}

/// Request body of an upload. A body that is too long or ends early, which shows only in the closed connection, is an
/// error that also breaks the stream to the store.
struct UploadBody<'a> {
    source: &'a mut dyn Read,
    is_connected: &'a dyn Fn() -> bool,
    /// `None` for a chunked body.
    length: Option<u64>,
    transferred: u64,
    /// `None` once the body is complete.
    progress: Option<Progress>,
    problem: Option<Problem>,
}

impl Read for UploadBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let result = self.source.read(buffer);
        self.transferred += result.as_ref().map_or(0, |count| *count as u64);
        match (&result, &mut self.progress) {
            (Ok(0), progress) => *progress = None,
            (Ok(_), progress) if Some(self.transferred) == self.length => *progress = None,
            (Ok(count), Some(progress)) => progress.record(*count),
            _ => {}
        }
        match result {
            Ok(0) if !(self.is_connected)() => self.fail(incomplete_body()),
            Ok(_) if self.transferred > OBJECT_BYTES_MAX => self.fail(object_too_large()),
            Ok(count) => Ok(count),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Err(error),
            Err(_) => self.fail(incomplete_body()),
        }
    }
}

impl UploadBody<'_> {
    fn fail(&mut self, problem: Problem) -> io::Result<usize> {
        self.problem = Some(problem);
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// Returns the problem for an object that exceeds [`OBJECT_BYTES_MAX`].
pub fn object_too_large() -> Problem {
    let message = format!("the body exceeds {OBJECT_BYTES_MAX} bytes; split the data.");
    Problem::new(Kind::TooLarge, message)
}

fn incomplete_body() -> Problem {
    Problem::new(Kind::Malformed, "the body ended early; nothing was stored.")
}

fn unknown_outcome() -> Problem {
    Problem::new(
        Kind::Unknown,
        "the object store returned no valid response; send the request again.",
    )
}

fn store_problem(error: &Error) -> Problem {
    match classify(error) {
        Failure::NotSent => Problem::new(Kind::Unavailable, "the object store cannot be reached."),
        Failure::Ambiguous | Failure::Rejected => unknown_outcome(),
    }
}
