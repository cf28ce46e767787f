//! Writes HTTP responses.

use std::io::{self, Write};

use tiny_http::{Header, Method, Request as HttpRequest, Response, StatusCode};

/// `tiny_http` reads bodies up to this length together with the head.
const READ_AHEAD_BYTES: usize = 1024;

/// A response whose body is held in memory.
#[derive(Clone, Copy, Debug)]
pub struct BufferedResponse<'a> {
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
pub fn respond(
    request: HttpRequest,
    body_read: bool,
    response: &BufferedResponse<'_>,
) -> io::Result<()> {
    if !body_read && has_unread_body(&request) {
        return respond_before_discarding(request, response);
    }
    let with_body = *request.method() != Method::Head;
    let bytes = encode(response, with_body)?;
    let mut writer = request.into_writer();
    writer.write_all(&bytes)?;
    writer.flush()
}

/// Encodes a response. `with_body` is false for requests whose method is `HEAD`.
///
/// # Errors
///
/// Never fails in practice: it writes to memory.
pub fn encode(response: &BufferedResponse<'_>, with_body: bool) -> io::Result<Vec<u8>> {
    let reason = StatusCode(response.status).default_reason_phrase();
    let mut bytes = Vec::with_capacity(response.body.len() + 256);
    write!(bytes, "HTTP/1.1 {} {reason}\r\n", response.status)?;
    for (name, value) in response.headers {
        write!(bytes, "{name}: {value}\r\n")?;
    }
    write!(bytes, "Content-Length: {}\r\n\r\n", response.body.len())?;
    bytes.extend_from_slice(if with_body { response.body } else { &[] });
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
pub fn respond_and_leak(request: HttpRequest, response: &BufferedResponse<'_>) -> io::Result<()> {
    let mut stream = request.upgrade("close", Response::empty(100));
    let written = encode(response, true).and_then(|bytes| stream.write_all(&bytes));
    let flushed = written.and_then(|()| stream.flush());
    std::mem::forget(stream);
    flushed
}

/// Responds before the rest of the body is discarded, because the client may wait for the response before it sends the
/// body.
fn respond_before_discarding(
    request: HttpRequest,
    buffered: &BufferedResponse<'_>,
) -> io::Result<()> {
    let length = Some(buffered.body.len());
    let mut response =
        Response::new(buffered.status.into(), Vec::new(), buffered.body, length, None)
            .with_chunked_threshold(usize::MAX);
    for (name, value) in buffered.headers {
        if let Ok(header) = Header::from_bytes(*name, *value) {
            response.add_header(header);
        }
    }
    request.respond(response)
}

/// Returns whether discarding the rest of the body may block until the client sends it.
pub fn has_unread_body(request: &HttpRequest) -> bool {
    let has = |name: &'static str| request.headers().iter().any(|header| header.field.equiv(name));
    let long = request.body_length().is_some_and(|length| length > READ_AHEAD_BYTES);
    long || has("Transfer-Encoding") || (has("Expect") && request.body_length() != Some(0))
}
