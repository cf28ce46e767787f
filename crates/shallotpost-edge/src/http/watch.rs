//! Streams configuration changes as JSON lines.

use std::io;

use serde::Serialize;
use shallotpost_protocol::identity::Revision;
use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::problem::{Kind, Problem};

use crate::http::exchange::{Exchange, Stream};

const STREAM_HEADERS: &str = "Content-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n";

/// Last line of a stream that ends with a problem.
#[derive(Serialize)]
struct ErrorLine<'a> {
    problem: &'a Problem,
}

/// A stream of changes, before and after its first response.
pub enum Watcher {
    /// Nothing was written yet.
    New(Exchange),
    /// The head and possibly some changes were written.
    Open(Stream),
}

impl Watcher {
    pub fn exchange(&self) -> &Exchange {
        match self {
            Watcher::New(exchange) => exchange,
            Watcher::Open(stream) => stream.exchange(),
        }
    }

    /// Writes one batch of changes. Returns the stream and the revision to continue from, or `None` if the stream
    /// ended.
    pub fn write(self, result: &Result<Reply, Problem>) -> Option<(Watcher, Revision)> {
        match result {
            Ok(Reply::Changes { changes, next }) => {
                let stream =
                    self.into_stream().and_then(|stream| write_changes(stream, changes)).ok()?;
                Some((Watcher::Open(stream), *next))
            }
            Ok(_) => {
                self.end(&Problem::new(Kind::Unknown, "the reply contains no changes."));
                None
            }
            Err(problem) => {
                self.end(problem);
                None
            }
        }
    }

    pub fn end(self, problem: &Problem) {
        match self {
            Watcher::New(exchange) => exchange.problem(problem),
            Watcher::Open(mut stream) => {
                // A failed write means that the client disconnected.
                let written =
                    json_line(&ErrorLine { problem }).and_then(|text| stream.chunk(&text));
                let _ = written.and_then(|()| stream.finish_chunked());
            }
        }
    }

    fn into_stream(self) -> io::Result<Stream> {
        match self {
            Watcher::New(exchange) => exchange.stream(STREAM_HEADERS),
            Watcher::Open(stream) => Ok(stream),
        }
    }
}

/// Writes the changes, or an empty line that shows the client that the connection is alive.
fn write_changes<T: Serialize>(mut stream: Stream, changes: &[T]) -> io::Result<Stream> {
    let lines = changes.iter().map(json_line).collect::<io::Result<Vec<_>>>()?;
    match lines.is_empty() {
        true => stream.chunk(b"\n")?,
        false => stream.chunk(&lines.concat())?,
    }
    Ok(stream)
}

fn json_line<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let mut text = serde_json::to_vec(value)?;
    text.push(b'\n');
    Ok(text)
}
