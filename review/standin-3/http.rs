//! HTTP/1.1 server and client on loopback, with a thread for each connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Answer to a request; `None` closes the connection without one.
pub type Response = Option<(u16, Json)>;

/// Serves requests on a free loopback port until the process ends, and returns its address.
pub fn serve(handler: impl Fn(Request) -> Response + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let build = thread::Builder::new().stack_size(256 << 10);
            let _ = build.spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Response) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let (start, headers, body) = read_message(&mut reader)?;
        let mut words = start.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let path = path.to_owned();
        let (status, body) = handler(Request { method, path, query, headers, body })?;
        let body = body.write();
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

type Message = (String, Vec<(String, String)>, String);

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let start = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((key, value)) => headers.push((key.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((start, headers, String::from_utf8(body).ok()?))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
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
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a new connection. Returns the status and the body; `None` if there was no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Json::write).unwrap_or_default();
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    stream.write_all((head + "\r\n" + &body).as_bytes()).ok()?;
    let (start, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = start.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
