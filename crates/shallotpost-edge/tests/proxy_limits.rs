//! The TCP proxy: limits and modes of connections.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use shallotpost_edge::io_thread::IoThread;
use shallotpost_edge::proxy::{ConnectionId, Limits, Mode, Observer, TcpProxy};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Reports(Mutex<Sender<(ConnectionId, bool)>>);

impl Observer for Reports {
    fn opened(&self, connection: ConnectionId) {
        self.0.lock().unwrap().send((connection, true)).unwrap();
    }

    fn closed(&self, connection: ConnectionId) {
        let _ = self.0.lock().unwrap().send((connection, false));
    }
}

struct Setup {
    proxy: TcpProxy,
    upstream: TcpListener,
    reports: Receiver<(ConnectionId, bool)>,
    _io_thread: IoThread,
}

impl Setup {
    fn start(max_connections: usize, idle_timeout: Duration) -> Setup {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let upstream = TcpListener::bind(any_port).unwrap();
        let io_thread = IoThread::start("test-gate").unwrap();
        let (sender, reports) = channel();
        let observer = Arc::new(Reports(Mutex::new(sender)));
        let (target, limits) =
            (upstream.local_addr().unwrap(), Limits { max_connections, idle_timeout });
        let proxy =
            TcpProxy::start(io_thread.handle(), any_port, target, limits, observer).unwrap();
        Setup { proxy, upstream, reports, _io_thread: io_thread }
    }

    /// Opens a connection and returns its client end, its server end and its id.
    fn connect(&self) -> (TcpStream, TcpStream, ConnectionId) {
        let client = TcpStream::connect(self.proxy.address()).unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let (connection, opened) = self.reports.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(opened);
        // The proxy also opens short connections of its own, which it does not report.
        let accepted = std::iter::repeat_with(|| self.upstream.accept().unwrap());
        let (server, _) = accepted.take(10).find(|(_, peer)| *peer == connection).unwrap();
        server.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        (client, server, connection)
    }
}

/// Reads until the connection ends.
fn rest(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

/// Guards against an unlimited number of connections and against idle ones that stay open.
#[test]
fn connections_are_bounded_in_number_and_time() {
    let setup = Setup::start(1, Duration::from_millis(300));
    let (mut client, mut server, connection) = setup.connect();
    let mut excess = TcpStream::connect(setup.proxy.address()).unwrap();
    excess.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert!(rest(&mut excess).is_empty());
    let started = Instant::now();
    client.write_all(b"x").unwrap();
    assert!(rest(&mut client).is_empty());
    assert!(
        started.elapsed() >= Duration::from_millis(300) && started.elapsed() < TEST_TIMEOUT / 2
    );
    assert_eq!(rest(&mut server), b"x");
    assert_eq!(setup.reports.recv_timeout(TEST_TIMEOUT).unwrap(), (connection, false));
    setup.connect();
}

/// Guards against a connection that is closed while the server works on a request, and against one that stays open after
/// that.
#[test]
fn suspended_timeouts_start_again() {
    let idle_timeout = Duration::from_millis(200);
    let setup = Setup::start(1, idle_timeout);
    let (mut client, _server, connection) = setup.connect();
    setup.proxy.suspend_idle_timeout(connection, true);
    std::thread::sleep(4 * idle_timeout);
    assert!(setup.proxy.is_open(connection));
    setup.proxy.suspend_idle_timeout(connection, false);
    let started = Instant::now();
    assert!(rest(&mut client).is_empty());
    assert!(started.elapsed() >= idle_timeout / 2 && started.elapsed() < TEST_TIMEOUT / 2);
}

/// Guards against modes that pass too much or too little of a response.
#[test]
fn modes_decide_what_passes() {
    let answer = vec![7; 3 << 20];
    let cases = [
        (Mode::Finish, answer.len()),
        (Mode::Truncate(100_000), 100_000),
        (Mode::Truncate(0), 0),
        (Mode::Closed, 0),
    ];
    for (mode, expected) in cases {
        let setup = Setup::start(4, TEST_TIMEOUT);
        let (mut client, mut server, connection) = setup.connect();
        setup.proxy.set_mode(connection, mode);
        let answer = answer.clone();
        let writer = std::thread::spawn(move || {
            let _ = server.write_all(&answer);
            rest(&mut server)
        });
        let received = rest(&mut client);
        assert_eq!(received.len(), expected, "{mode:?}");
        assert!(writer.join().unwrap().is_empty());
        assert_eq!(
            setup.reports.recv_timeout(TEST_TIMEOUT).unwrap(),
            (connection, false),
            "{mode:?}"
        );
    }
}

/// Guards against a closed connection that handlers still take for an open one.
#[test]
fn a_closed_connection_is_reported_before_the_server_sees_it() {
    let setup = Setup::start(4, TEST_TIMEOUT);
    let (client, mut server, connection) = setup.connect();
    assert!(setup.proxy.is_open(connection));
    drop(client);
    assert!(rest(&mut server).is_empty());
    assert!(!setup.proxy.is_open(connection));
}

/// Guards against requests that fail during a graceful stop because their connection waited in the backlog or had just
/// been accepted.
#[test]
fn a_finishing_proxy_serves_what_has_arrived() {
    for _ in 0..20 {
        let setup = Setup::start(64, TEST_TIMEOUT);
        let address = setup.proxy.address();
        let upstream = setup.upstream.try_clone().unwrap();
        std::thread::spawn(move || {
            for stream in upstream.incoming() {
                std::thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut request = [0; 4];
                    while stream.read_exact(&mut request).is_ok() {
                        stream.write_all(b"done").unwrap();
                    }
                });
            }
        });
        let mut clients: Vec<TcpStream> =
            (0..24).map(|_| TcpStream::connect(address).unwrap()).collect();
        let finishing = std::thread::spawn(move || setup.proxy.finish(TEST_TIMEOUT));
        for client in &mut clients {
            client.write_all(b"work").unwrap();
        }
        for client in &mut clients {
            client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            assert_eq!(rest(client), b"done");
        }
        finishing.join().unwrap();
    }
}
