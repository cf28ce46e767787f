//! Writes HTTP responses.

use std::io::{self, Write};

use tiny_http::{Header, Method, Request as HttpRequest, Response, StatusCode};

/// `tiny_http` reads bodies up to this length together with the head.
const BODY_READ_AHEAD: usize = 1024;

/// A response whose body is held in memory.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    pub status: u16,
    /// Header names and values, without `Content-Length`, which is added.
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// Responds to a request. `body_read` tells whether its whole body was read.
///
/// The response is written at once. `tiny_http` writes head and body separately and leaves Nagle's algorithm on, so a
/// response beyond its buffer of 1 KiB waits for a delayed acknowledgement of 40 ms.
///
/// # Errors
///
/// Fails if the client disconnected.
pub fn respond(request: HttpRequest, read: bool, message: &Message<'_>) -> io::Result<()> {
    if !read && has_unread_body(&request) {
        return respond_first(request, message);
    }
    let with_body = *request.method() != Method::Head;
    let bytes = encode(message, with_body)?;
    let mut writer = request.into_writer();
    writer.write_all(&bytes)?;
    writer.flush()
}

/// Encodes a response. `with_body` is false for requests whose method is `HEAD`.
///
/// # Errors
///
/// Never fails in practice: it writes to memory.
pub fn encode(message: &Message<'_>, with_body: bool) -> io::Result<Vec<u8>> {
    let reason = StatusCode(message.status).default_reason_phrase();
    let mut bytes = Vec::with_capacity(message.body.len() + 256);
    write!(bytes, "HTTP/1.1 {} {reason}\r\n", message.status)?;
    for (name, value) in message.headers {
        write!(bytes, "{name}: {value}\r\n")?;
    }
    write!(bytes, "Content-Length: {}\r\n\r\n", message.body.len())?;
    bytes.extend_from_slice(if with_body { message.body } else { &[] });
    Ok(bytes)
}

/// Responds to a request and leaks it, together with one idle thread of `tiny_http`, because dropping it would allocate
/// a buffer of the declared body length.
///
/// `tiny_http` hands out the reader and the writer together only after a response of its own. That one is an interim
/// `100 Continue`, which clients skip.
///
/// # Errors
///
/// Fails if the client disconnected.
pub fn respond_and_leak(request: HttpRequest, message: &Message<'_>) -> io::Result<()> {
    let mut stream = request.upgrade("close", Response::empty(100));
    let written = encode(message, true).and_then(|bytes| stream.write_all(&bytes));
    let flushed = written.and_then(|()| stream.flush());
    std::mem::forget(stream);
    flushed
}

/// Responds before the rest of the body is discarded, because the client may wait for the response before it sends the
/// body.
fn respond_first(request: HttpRequest, message: &Message<'_>) -> io::Result<()> {
    let length = Some(message.body.len());
    let mut response = Response::new(message.status.into(), Vec::new(), message.body, length, None)
        .with_chunked_threshold(usize::MAX);
    for (name, value) in message.headers {
        if let Ok(header) = Header::from_bytes(*name, *value) {
            response.add_header(header);
        }
    }
    request.respond(response)
}

/// Returns whether discarding the rest of the body may block until the client sends it.
pub fn has_unread_body(request: &HttpRequest) -> bool {
    let has = |name: &'static str| request.headers().iter().any(|header| header.field.equiv(name));
    let long = request.body_length().is_some_and(|length| length > BODY_READ_AHEAD);
    long || has("Transfer-Encoding") || (has("Expect") && request.body_length() != Some(0))
}
