//! TCP proxy in front of a `tiny_http` server on loopback.
//!
//! `tiny_http` can neither close a connection nor report that a client disconnected, and it has no timeouts. The proxy
//! accepts the client connections and relays each to the upstream server. It limits their number, closes idle ones,
//! reports disconnected clients, and lets a handler close a connection. The upstream server sees each connection under
//! its own local address, which is the [`ConnectionId`] in every call here. The stand-ins inject connection faults
//! through the proxy.

use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Size of one relay read. The buffer is allocated only while bytes are in flight.
const RELAY_CHUNK_BYTES: usize = 16 << 10;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a finishing proxy waits for the first bytes of a connection. Clients send their request as soon as they are
/// connected, and a connection that ends before its response counts as a failed request.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(200);

/// Delays after a new connection at which [`wake_upstream`] connects; the second one covers a first one that came too
/// early.
const WAKE_DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Identifies a connection: the client address that the upstream server sees.
pub type ConnectionId = SocketAddr;

/// How the proxy treats a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass in both directions.
    Open,
    /// The connection stays open and no byte passes.
    Silent,
    /// At most this many more bytes pass to the client, then the connection is closed.
    Truncate(usize),
    /// The upstream server sees the end of the client's bytes; its responses pass until it closes the connection.
    Finish,
    /// The bytes that can be read from the upstream server pass, then the connection is closed.
    Drain,
    /// The connection is closed immediately.
    Closed,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections; further ones are closed immediately.
    pub max_connections: usize,
    /// A connection on which no byte passes for this long is closed.
    pub idle_timeout: Duration,
}

/// Receives connection events. The methods run on the I/O thread and must not block.
pub trait Observer: Send + Sync + 'static {
    /// Reports a new connection on which no byte has passed yet.
    fn opened(&self, connection: ConnectionId);
    /// Reports a connection that either side or the proxy closed.
    fn closed(&self, connection: ConnectionId);
}

/// A listening proxy. Dropping it stops listening and closes its connections.
pub struct TcpProxy {
    shared: Arc<Shared>,
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    listener_closed: Mutex<mpsc::Receiver<()>>,
}

/// State of the proxy as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Accepts connections.
    Open,
    /// Serves the connections that have arrived and accepts no more.
    Finishing,
    /// Closes everything.
    Stopped,
}

struct Shared {
    target: SocketAddr,
    limits: Limits,
    observer: Arc<dyn Observer>,
    connections: Mutex<Connections>,
    all_closed: Condvar,
}

#[derive(Default)]
struct Connections {
    open: HashMap<ConnectionId, Entry>,
    /// Connections that were accepted and are not connected to the upstream server yet.
    connecting: usize,
}

struct Entry {
    mode: watch::Sender<Mode>,
    activity: Arc<Activity>,
}

impl Connections {
    fn is_empty(&self) -> bool {
        self.open.is_empty() && self.connecting == 0
    }

    fn len(&self) -> usize {
        self.open.len() + self.connecting
    }
}

impl TcpProxy {
    /// Listens on `address` (port 0 for any) and relays to the upstream server at `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address is not available.
    pub fn start(
        runtime: &Handle,
        address: SocketAddr,
        target: SocketAddr,
        limits: Limits,
        observer: Arc<dyn Observer>,
    ) -> io::Result<TcpProxy> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Shared {
            target,
            limits,
            observer,
            connections: Mutex::default(),
            all_closed: Condvar::new(),
        };
        let shared = Arc::new(shared);
        let (phase, phase_changes) = watch::channel(Phase::Open);
        let _context = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let (ended, closed) = mpsc::channel();
        let accepting = accept(listener, Arc::clone(&shared), phase_changes);
        runtime.spawn(async move {
            accepting.await;
            // Dropping the sender tells `stop_and_wait` that the listening socket is closed.
            drop(ended);
        });
        Ok(TcpProxy { shared, address, phase, listener_closed: Mutex::new(closed) })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.shared.lock().open.contains_key(&connection)
    }

    /// Changes the mode of a connection; does nothing if it is closed.
    pub fn set_mode(&self, connection: ConnectionId, mode: Mode) {
        if let Some(entry) = self.shared.lock().open.get(&connection) {
            entry.mode.send_replace(mode);
        }
    }

    /// Changes the mode of all connections that are open now, except one.
    pub fn set_mode_of_all(&self, mode: Mode, except: Option<ConnectionId>) {
        let connections = self.shared.lock();
        let affected =
            connections.open.iter().filter(|(connection, _)| Some(**connection) != except);
        affected.for_each(|(_, entry)| {
            entry.mode.send_replace(mode);
        });
    }

    /// Suspends the idle timeout of a connection whose progress the handler watches itself, or starts it again.
    pub fn suspend_idle_timeout(&self, connection: ConnectionId, suspended: bool) {
        if let Some(entry) = self.shared.lock().open.get(&connection) {
            entry.activity.suspend(suspended);
        }
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
        self.set_mode_of_all(Mode::Closed, None);
    }

    /// Stops listening, and closes each connection once the upstream server has written its responses, including those
    /// in the backlog of the listening socket. Returns when all connections are closed; those that are still open after
    /// `timeout` are closed then. Must not be called from the I/O thread.
    pub fn finish(&self, timeout: Duration) {
        self.phase.send_replace(Phase::Finishing);
        // The listening socket is closed once its backlog is empty.
        let closed = self.listener_closed.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = closed.recv_timeout(timeout);
        drop(closed);
        self.set_mode_of_all(Mode::Finish, None);
        let connections = self.shared.lock();
        let open = |connections: &mut Connections| !connections.is_empty();
        let waited = self.shared.all_closed.wait_timeout_while(connections, timeout, open);
        drop(waited);
        self.stop_and_wait();
    }

    /// Stops, and returns once the port refuses connections. Must not be called from the I/O thread.
    pub fn stop_and_wait(&self) {
        self.stop();
        let _ = self.listener_closed.lock().unwrap_or_else(PoisonError::into_inner).recv();
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut phase_changes: watch::Receiver<Phase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase_changes.wait_for(|phase| *phase != Phase::Open) => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &shared, &phase_changes),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections left in the backlog would be reset when the listening socket is closed.
    while *phase_changes.borrow() == Phase::Finishing
        && let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await
    {
        admit(stream, &shared, &phase_changes);
    }
}

/// Serves an accepted connection, or closes it if the limit is reached.
fn admit(stream: TcpStream, shared: &Arc<Shared>, phase_changes: &watch::Receiver<Phase>) {
    {
        let mut connections = shared.lock();
        if connections.len() >= shared.limits.max_connections {
            return;
        }
        connections.connecting += 1;
    }
    tokio::spawn(serve(stream, Arc::clone(shared), phase_changes.clone()));
}

/// Relays one connection from its acceptance to its end.
async fn serve(mut client: TcpStream, shared: Arc<Shared>, phase_changes: watch::Receiver<Phase>) {
    let connected = connect(&shared, &phase_changes).await;
    let Some((mut upstream, connection, mode, activity)) = connected else { return };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    shared.observer.opened(connection);
    relay(&mut client, &mut upstream, mode, &activity, shared.limits.idle_timeout).await;
    {
        let mut connections = shared.lock();
        connections.open.remove(&connection);
        if connections.is_empty() {
            shared.all_closed.notify_all();
        }
    }
    drop((client, upstream));
    shared.observer.closed(connection);
}

/// Connects a new connection to the upstream server. Returns `None` if that fails or the proxy has stopped.
async fn connect(
    shared: &Shared,
    phase_changes: &watch::Receiver<Phase>,
) -> Option<(TcpStream, ConnectionId, watch::Receiver<Mode>, Arc<Activity>)> {
    let upstream = TcpStream::connect(shared.target).await;
    tokio::spawn(wake_upstream(shared.target));
    let mut connections = shared.lock();
    connections.connecting -= 1;
    let mode = match *phase_changes.borrow() {
        Phase::Open => Some(Mode::Open),
        Phase::Finishing => Some(Mode::Finish),
        Phase::Stopped => None,
    };
    let identified = upstream.and_then(|upstream| Ok((upstream.local_addr()?, upstream))).ok();
    if let (Some(mode), Some((connection, upstream))) = (mode, identified) {
        let (sender, mode) = watch::channel(mode);
        let activity = Arc::<Activity>::default();
        let entry = Entry { mode: sender, activity: Arc::clone(&activity) };
        connections.open.insert(connection, entry);
        return Some((upstream, connection, mode, activity));
    }
    if connections.is_empty() {
        shared.all_closed.notify_all();
    }
    None
}

/// Opens and closes short connections so that the upstream server does not leave another connection unread.
///
/// `tiny_http` 0.12 hands two connections that arrive at the same time to one idle thread. The second one then waits
/// until a thread becomes free, which may be never with keep-alive connections. The thread that reads the end of a
/// short connection continues with the waiting one.
async fn wake_upstream(target: SocketAddr) {
    for delay in WAKE_DELAYS {
        tokio::time::sleep(delay).await;
        // If the upstream server has stopped, no connection waits.
        drop(TcpStream::connect(target).await);
    }
}

async fn relay(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    mode: watch::Receiver<Mode>,
    activity: &Activity,
    idle_timeout: Duration,
) {
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let mut closing = mode.clone();
    tokio::select! {
        () = copy_direction(client_read, upstream_write, mode.clone(), false, activity) => {}
        () = copy_direction(upstream_read, client_write, mode.clone(), true, activity) => {}
        _ = closing.wait_for(|mode| *mode == Mode::Closed) => {}
        () = wait_until_idle(activity, idle_timeout) => {}
    }
}

/// Copies bytes in one direction until the source ends.
async fn copy_direction(
    source: ReadHalf<'_>,
    mut sink: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    to_client: bool,
    activity: &Activity,
) {
    let mut passed_bytes = 0;
    let mut any_passed = false;
    loop {
        let draining = match next_step(&source, &mut mode, to_client).await {
            Step::Readable => false,
            Step::Drain => true,
            Step::Finish
                if !any_passed && timeout(FIRST_BYTES_TIMEOUT, source.readable()).await.is_ok() =>
            {
                false
            }
            Step::Finish => {
                // The upstream server answers the requests that it has and then closes the connection.
                let _ = sink.shutdown().await;
                return pending().await;
            }
            Step::End => return,
        };
        let mut chunk = vec![0; RELAY_CHUNK_BYTES];
        let length = match source.try_read(&mut chunk) {
            Ok(0) => return,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock && !draining => continue,
            Err(_) => return,
        };
        let current = *mode.borrow();
        let pass = match current {
            Mode::Truncate(limit) if to_client => length.min(limit.saturating_sub(passed_bytes)),
            Mode::Open | Mode::Truncate(_) | Mode::Finish | Mode::Drain => length,
            Mode::Silent => pending().await,
            Mode::Closed => return,
        };
        match sink.write_all(&chunk[..pass]).await {
            Ok(()) => {}
            Err(_) if to_client => return,
            // The upstream server takes no more bytes, but its response may still be in flight to the client.
            Err(_) => return pending().await,
        }
        match current {
            Mode::Truncate(limit) if to_client && passed_bytes + pass >= limit => return,
            Mode::Truncate(_) if to_client => passed_bytes += pass,
            _ => {}
        }
        any_passed = true;
        activity.record();
    }
}

/// Next step of one copy direction.
enum Step {
    /// Bytes or an end of stream can be read.
    Readable,
    /// The readable bytes pass, then the connection is closed.
    Drain,
    /// The upstream server must see the end of the client's bytes.
    Finish,
    /// The connection is closed.
    End,
}

async fn next_step(
    source: &ReadHalf<'_>,
    mode: &mut watch::Receiver<Mode>,
    to_client: bool,
) -> Step {
    let ending = if to_client { Mode::Drain } else { Mode::Finish };
    tokio::select! {
        biased;
        readable = source.readable() => match readable {
            Ok(()) => Step::Readable,
            Err(_) => Step::End,
        },
        changed = mode.wait_for(|mode| *mode == ending) => match changed {
            Ok(_) if to_client => Step::Drain,
            Ok(_) => Step::Finish,
            Err(_) => Step::End,
        },
    }
}

/// Returns once no byte has passed for `idle_timeout`, not counting the time in which the timeout is suspended.
async fn wait_until_idle(activity: &Activity, idle_timeout: Duration) {
    loop {
        let last = activity.last();
        if last.elapsed() >= idle_timeout {
            return;
        }
        sleep_until(last + idle_timeout).await;
    }
}

/// Time at which a byte last passed, in either direction.
struct Activity {
    last: Mutex<Instant>,
    suspended: AtomicBool,
}

impl Default for Activity {
    fn default() -> Activity {
        Activity { last: Mutex::new(Instant::now()), suspended: AtomicBool::new(false) }
    }
}

impl Activity {
    fn record(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn suspend(&self, suspended: bool) {
        self.record();
        self.suspended.store(suspended, Ordering::Relaxed);
    }

    fn last(&self) -> Instant {
        if self.suspended.load(Ordering::Relaxed) {
            return Instant::now();
        }
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
