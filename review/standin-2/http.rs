//! Minimal HTTP/1.1 server and client on loopback for the stand-ins of this review.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// A request that a stand-in has received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// Port that is tried next; zero before the first.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Ports below those that the system gives to outgoing connections: a process that ends finds its port free again.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Listens on a loopback port that is free. Cases that run beside each other begin at different ports.
pub fn listen_on_free_port() -> TcpListener {
    let start = std::process::id().wrapping_mul(509) % PORTS;
    loop {
        let port = FIRST_PORT + (start + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(port).expect("a port");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, String)> + Send + Sync>;

/// A server whose process can end: then its port is closed, and its connections are reset.
#[derive(Clone)]
pub struct Server {
    address: SocketAddr,
    handler: Handler,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    lives: u64,
    up: bool,
    /// Open connections, by their numbers.
    streams: BTreeMap<u64, TcpStream>,
    accepted: u64,
}

impl Server {
    /// Serves on a free port of the address.
    pub fn start(handler: Handler) -> Server {
        let listener = listen_on_free_port();
        let address = listener.local_addr().expect("its address");
        let server = Server { address, handler, state: Arc::default() };
        server.accept(listener);
        server
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub fn end(&self) {
        let mut state = self.lock();
        state.up = false;
        state.lives += 1;
        for stream in std::mem::take(&mut state.streams).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Opens the port again.
    pub fn restart(&self) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.accept(listener);
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the port {} is taken", self.address);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        let life = {
            let mut state = self.lock();
            state.up = true;
            state.lives
        };
        let server = self.clone();
        thread::spawn(move || {
            loop {
                let accepted = listener.accept();
                let mut state = server.lock();
                if state.lives != life {
                    return;
                }
                match accepted {
                    Ok((stream, _)) => {
                        let Ok(copy) = stream.try_clone() else { continue };
                        state.accepted += 1;
                        let number = state.accepted;
                        state.streams.insert(number, copy);
                        drop(state);
                        let server = server.clone();
                        let serve = move || {
                            let _ = serve_connection(stream, &server.handler);
                            server.lock().streams.remove(&number);
                        };
                        drop(thread::Builder::new().stack_size(256 << 10).spawn(serve));
                    }
                    Err(_) => {
                        drop(state);
                        thread::sleep(Duration::from_millis(2));
                    }
                }
            }
        });
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut input)? else { return Ok(()) };
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        output.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
}

fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()))
            }
            None => return Ok(Some((first, headers))),
        }
    }
}

fn read_body(input: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode_percent(value)))
        .collect();
    let body = read_body(input, &headers)?;
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Returns an error if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut input = BufReader::new(stream);
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (first, headers) = read_head(&mut input)?.ok_or_else(closed)?;
    let body = read_body(&mut input, &headers)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(closed)?, String::from_utf8_lossy(&body).into_owned()))
}
