//! One open HTTP request and its response.

use std::io::{self, Read, Write};
use std::sync::Arc;

use serde::Serialize;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};
use tiny_http::{Method, Request as HttpRequest};

use crate::http::objects::object_too_large;
use crate::http::response::{BufferedResponse, has_unread_body, respond, respond_and_leak};
use crate::http::{BODY_BYTES_MAX, OBJECT_BYTES_MAX, Shared};
use crate::proxy::{ConnectionId, Mode};

/// A request without a response. Counts as open until it is dropped. One that is dropped without a response, which
/// happens if a thread pool is full, is rejected: as `Overloaded`, or as `Unknown` if the kernel may have made a change
/// for it.
pub struct Exchange {
    request: Option<Box<HttpRequest>>,
    next_request_allowed: bool,
    body_read: bool,
    connection: ConnectionId,
    is_submission: bool,
    sent_to_kernel: bool,
    shared: Arc<Shared>,
}

impl Exchange {
    /// Takes over a request, which must have been counted as open.
    pub fn new(request: HttpRequest, connection: ConnectionId, shared: Arc<Shared>) -> Exchange {
        let is_submission = *request.method() == Method::Post && request.url() == "/v1/work";
        Exchange {
            request: Some(Box::new(request)),
            next_request_allowed: false,
            body_read: false,
            connection,
            is_submission,
            sent_to_kernel: false,
            shared,
        }
    }

    pub fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Returns whether the client is still connected. `tiny_http` reports a chunked body that breaks off as complete;
    /// the proxy forgets the connection before the upstream server can see its end.
    pub fn is_connected(&self) -> bool {
        self.shared.is_open(self.connection)
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the request, or `None` if the response has been started.
    pub fn request(&mut self) -> Option<&mut HttpRequest> {
        self.request.as_deref_mut()
    }

    pub fn header(&self, name: &'static str) -> Option<String> {
        let headers = self.request.as_deref().map(HttpRequest::headers).unwrap_or_default();
        let header = headers.iter().find(|header| header.field.equiv(name));
        header.map(|header| header.value.to_string())
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds [`BODY_BYTES_MAX`] or ends early.
    pub fn body(&mut self) -> Result<Vec<u8>, Problem> {
        let is_submission = self.is_submission;
        let too_large = || Problem {
            not_run: is_submission,
            ..Problem::new(Kind::TooLarge, format!("the body exceeds {BODY_BYTES_MAX} bytes."))
        };
        let incomplete = || Problem::new(Kind::Malformed, "the body ends early.");
        let Some(request) = &mut self.request else { return Ok(Vec::new()) };
        let declared = request.body_length();
        if declared.is_some_and(|length| length > BODY_BYTES_MAX) {
            return Err(too_large());
        }
        let unread = has_unread_body(request);
        let _timer = unread.then(|| self.shared.start_body_timer(self.connection));
        let mut body = Vec::new();
        let read = request.as_reader().take(BODY_BYTES_MAX as u64 + 1).read_to_end(&mut body);
        match read {
            Ok(length) if length > BODY_BYTES_MAX => Err(too_large()),
            Ok(length) if declared.is_none_or(|declared| declared == length) => {
                self.body_read = true;
                Ok(body)
            }
            _ => Err(incomplete()),
        }
        .and_then(|body| if self.is_connected() { Ok(body) } else { Err(incomplete()) })
    }

    /// Returns whether the declared body length exceeds what can be discarded safely.
    ///
    /// `tiny_http` allocates a buffer of the whole unread length when a request is dropped, and a length that cannot be
    /// allocated aborts the process. Such a request is never dropped; see [`Exchange::abort`].
    pub fn is_too_large_to_discard(&self) -> bool {
        let length = self.request.as_deref().and_then(HttpRequest::body_length);
        length.is_some_and(|length| length as u64 > OBJECT_BYTES_MAX)
    }

    /// Responds with `TooLarge`, closes the connection and leaks the request; see [`respond_and_leak`].
    pub fn abort(mut self) {
        let Some(request) = self.request.take() else { return };
        let problem = Problem { not_run: self.is_submission, ..object_too_large() };
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let headers = &[("Content-Type", "application/json"), ("Connection", "close")];
        let response = BufferedResponse { status: problem.kind.status(), headers, body: &body };
        self.allow_next_request();
        // A failed write means that the client disconnected.
        let _ = respond_and_leak(*request, &response);
        self.shared.close_after_linger(self.connection);
    }

    /// Responds with the kernel's result. `dry_run` tells that nothing was changed.
    pub fn answer(self, result: &Result<Reply, Problem>, dry_run: bool) {
        match result {
            Ok(reply) => self.json(status(reply, dry_run), reply),
            Err(problem) => self.problem(problem),
        }
    }

    pub fn problem(self, problem: &Problem) {
        self.json(problem.kind.status(), problem);
    }

    /// Rejects a request that the kernel has not seen.
    pub fn reject(self, problem: Problem) {
        let problem = self.rejection(problem);
        self.problem(&problem);
    }

    /// Marks the request as sent to the kernel, whose reply is the whole response. The kernel may make a change for it.
    pub fn mark_sent_to_kernel(&mut self) {
        self.sent_to_kernel = true;
    }

    pub fn json<T: Serialize>(self, status: u16, value: &T) {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.send(status, "application/json", body);
    }

    pub fn text(self, status: u16, text: String) {
        self.send(status, "text/plain; charset=utf-8", text.into_bytes());
    }

    /// Starts a streamed response; each line of `headers` ends with `\r\n`.
    ///
    /// # Errors
    ///
    /// Fails if the request has been answered.
    pub fn stream(mut self, headers: &str) -> io::Result<Stream> {
        let request = self.request.take().ok_or_else(|| io::Error::other("already answered"))?;
        let buffer = format!("HTTP/1.1 200 OK\r\n{headers}\r\n").into_bytes();
        Ok(Stream { writer: request.into_writer(), buffer, exchange: self, finished: false })
    }

    pub fn mark_body_read(&mut self) {
        self.body_read = true;
    }

    fn allow_next_request(&mut self) {
        if !std::mem::replace(&mut self.next_request_allowed, true) {
            self.shared.allow_next_request(self.connection);
        }
    }

    /// Completes the problem with which a request is rejected.
    ///
    /// The same id may have been submitted before, possibly through another host, and run. So the rejection of a
    /// submission sets `not_run` only if its body can never be admitted, and otherwise covers this request alone.
    fn rejection(&self, problem: Problem) -> Problem {
        match self.is_submission && !problem.not_run {
            true => {
                let message = format!("{} This request admitted nothing.", problem.message);
                Problem { message, ..problem }
            }
            false => problem,
        }
    }

    /// Returns the problem for a request that is dropped without a response.
    fn problem_if_dropped(&self, method: &Method) -> Problem {
        match self.sent_to_kernel && *method != Method::Get {
            true => Problem::new(Kind::Unknown, "too many responses are waiting to be written."),
            false => self.rejection(Problem::new(Kind::Overloaded, "too many requests are open.")),
        }
    }

    fn send(mut self, status: u16, content_type: &str, body: Vec<u8>) {
        let Some(request) = self.request.take() else { return };
        let response =
            BufferedResponse { status, headers: &[("Content-Type", content_type)], body: &body };
        // The client may send its next request as soon as it has the response.
        self.allow_next_request();
        let unread = !self.body_read && has_unread_body(&request);
        let _timer = unread.then(|| self.shared.start_body_timer(self.connection));
        let _ = respond(*request, self.body_read, &response);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let problem = self.problem_if_dropped(request.method());
            self.allow_next_request();
            self.shared.reject(*request, self.connection, problem);
        }
        self.allow_next_request();
        self.shared.exchange_closed();
    }
}

fn status(reply: &Reply, dry_run: bool) -> u16 {
    match reply {
        Reply::Accepted { repeated: false, .. } => 202,
        Reply::Changed { propagation, .. } if !propagation.in_force && !dry_run => 202,
        _ => 200,
    }
}

/// A response that is being streamed. Dropping it before [`Stream::finish`] closes the connection, so that the client
/// sees a broken response and not a short one.
pub struct Stream {
    writer: Box<dyn Write + Send>,
    /// Bytes to be sent with the next write; separate writes would wait for acknowledgements, see [`respond`].
    buffer: Vec<u8>,
    exchange: Exchange,
    finished: bool,
}

impl Stream {
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Writes bytes of a body with a declared length and flushes them.
    ///
    /// # Errors
    ///
    /// Fails if the client disconnected.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes one chunk of a chunked body and flushes it.
    ///
    /// # Errors
    ///
    /// Fails if the client disconnected.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        write!(self.buffer, "{:x}\r\n", bytes.len())?;
        self.buffer.extend_from_slice(bytes);
        self.buffer.extend_from_slice(b"\r\n");
        self.flush()
    }

    /// Ends a response with a declared length.
    ///
    /// # Errors
    ///
    /// Fails if the client disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.exchange.allow_next_request();
        self.flush()?;
        self.finished = true;
        Ok(())
    }

    /// Ends a chunked response.
    ///
    /// # Errors
    ///
    /// Fails if the client disconnected.
    pub fn finish_chunked(mut self) -> io::Result<()> {
        self.buffer.extend_from_slice(b"0\r\n\r\n");
        self.finish()
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.write_all(&self.buffer)?;
        self.buffer.clear();
        self.writer.flush()
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.finished {
            self.exchange.shared.set_mode(self.exchange.connection, Mode::Drain);
        }
    }
}
