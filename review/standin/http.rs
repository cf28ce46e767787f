//! HTTP/1.1 on blocking sockets: a server with one thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

pub struct Request {
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a decoded value of the query; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let mut bytes = Vec::new();
        let mut rest = value.unwrap_or_default().as_bytes();
        while let Some((byte, after)) = rest.split_first() {
            let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
            let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
            match (byte, code) {
                (b'%', Some(code)) => {
                    bytes.push(code);
                    rest = &after[2..];
                }
                _ => {
                    bytes.push(*byte);
                    rest = after;
                }
            }
        }
        String::from_utf8(bytes).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// What a server does with a request.
pub enum Response {
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

/// Serves an address for ever.
pub fn serve(address: &str, handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> bool {
    let Ok(listener) = TcpListener::bind(address) else { return false };
    let handler = Arc::new(handler);
    for stream in listener.incoming().flatten() {
        let handler = Arc::clone(&handler);
        spawn(move || serve_connection(stream, &*handler));
    }
    true
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Response + ?Sized),
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (line, headers) = read_head(&mut reader)?;
        let mut words = line.split(' ');
        let target = words.nth(1)?.to_owned();
        let body = read_body(&mut reader, &headers)?;
        let Response::Answer(status, body) = handler(Request { target, headers, body }) else {
            return None;
        };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
    Some((lines.first()?.clone(), headers))
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends a request on a new connection. Returns the status and the body, or `None` without a complete answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
