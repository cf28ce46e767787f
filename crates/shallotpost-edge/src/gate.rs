//! TCP gate in front of a `tiny_http` server on loopback.
//!
//! `tiny_http` can neither close a connection nor tell that a caller left, and it has no time limits. The gate accepts the
//! callers' connections and relays each to the inner server. It bounds their number, closes the ones that go silent, reports
//! the ones that callers close, and lets a handler close one. The inner server sees each connection under its own address,
//! which names the connection in every call here. The stand-ins inject their connection faults through it.

use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Most bytes relayed at once; allocated only while bytes are under way.
const RELAY_CHUNK: usize = 16 << 10;

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a finishing gate waits for the first bytes of a connection: callers send their request as soon as they are
/// connected, and a connection that ends before its answer counts as a failed request.
const FIRST_BYTES: Duration = Duration::from_millis(200);

/// Times at which [`wake_inner`] follows a new connection; the second one covers a first one that came too early as well.
const WAKE_DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(50)];

/// Name of a connection: the address that the inner server sees as the caller's.
pub type ConnectionId = SocketAddr;

/// What the gate does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass in both directions.
    Open,
    /// The connection stays open and no byte passes.
    Silent,
    /// This many more bytes pass to the caller, then the connection is closed.
    Truncate(usize),
    /// The inner server sees the end of the caller's bytes; its answers pass until it closes the connection.
    Finish,
    /// The bytes that can be read from the inner server pass, then the connection is closed.
    Drain,
    /// The connection is closed at once.
    Closed,
}

/// Bounds of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections; further ones are closed at once.
    pub connections: usize,
    /// A connection on which no byte passes for this long is closed.
    pub idle: Duration,
}

/// Learns of connections. Called on the I/O thread; must not block.
pub trait Observer: Send + Sync + 'static {
    /// A connection was opened; no byte has passed yet.
    fn opened(&self, connection: ConnectionId);
    /// A connection was closed by either side or by the gate.
    fn closed(&self, connection: ConnectionId);
}

/// A listening gate. Dropping it stops listening and closes its connections.
pub struct Gate {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<Phase>,
    closed: Mutex<mpsc::Receiver<()>>,
}

/// What the gate as a whole does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It accepts connections.
    Open,
    /// It serves the connections that have arrived, and accepts no more.
    Finishing,
    /// It closes everything.
    Stopped,
}

struct Shared {
    target: SocketAddr,
    limits: Limits,
    observer: Arc<dyn Observer>,
    connections: Mutex<Connections>,
    empty: Condvar,
}

#[derive(Default)]
struct Connections {
    open: HashMap<ConnectionId, watch::Sender<Mode>>,
    /// Accepted, and not connected to the inner server yet.
    arriving: usize,
}

impl Connections {
    fn is_empty(&self) -> bool {
        self.open.is_empty() && self.arriving == 0
    }

    fn len(&self) -> usize {
        self.open.len() + self.arriving
    }
}

impl Gate {
    /// Listens on `address` (port 0 for any) and relays to the inner server at `target`.
    pub fn start(
        runtime: &Handle,
        address: SocketAddr,
        target: SocketAddr,
        limits: Limits,
        observer: Arc<dyn Observer>,
    ) -> io::Result<Gate> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Shared {
            target,
            limits,
            observer,
            connections: Mutex::default(),
            empty: Condvar::new(),
        };
        let shared = Arc::new(shared);
        let (stop, stopped) = watch::channel(Phase::Open);
        let _context = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let (ended, closed) = mpsc::channel();
        let accepting = accept(listener, Arc::clone(&shared), stopped);
        runtime.spawn(async move {
            accepting.await;
            // Dropping the sender tells `stop_and_wait` that the listening socket is closed.
            drop(ended);
        });
        Ok(Gate { shared, address, stop, closed: Mutex::new(closed) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is still open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.shared.lock().open.contains_key(&connection)
    }

    /// Changes one connection.
    pub fn set(&self, connection: ConnectionId, mode: Mode) {
        if let Some(sender) = self.shared.lock().open.get(&connection) {
            sender.send_replace(mode);
        }
    }

    /// Changes all connections that are open now, except one.
    pub fn set_all(&self, mode: Mode, except: Option<ConnectionId>) {
        let connections = self.shared.lock();
        let affected =
            connections.open.iter().filter(|(connection, _)| Some(**connection) != except);
        affected.for_each(|(_, sender)| {
            sender.send_replace(mode);
        });
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        self.stop.send_replace(Phase::Stopped);
        self.set_all(Mode::Closed, None);
    }

    /// Stops listening, and closes each connection once the inner server has written its answers, also those that wait in
    /// the backlog of the listening socket. Returns when all connections are closed; those that are open after `bound` are
    /// closed at once. Must not be called from the I/O thread.
    pub fn finish(&self, bound: Duration) {
        self.stop.send_replace(Phase::Finishing);
        // The listening socket is closed once its backlog is empty.
        let closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = closed.recv_timeout(bound);
        drop(closed);
        self.set_all(Mode::Finish, None);
        let connections = self.shared.lock();
        let open = |connections: &mut Connections| !connections.is_empty();
        let waited = self.shared.empty.wait_timeout_while(connections, bound, open);
        drop(waited);
        self.stop_and_wait();
    }

    /// Stops, and returns once the port refuses connections. Must not be called from the I/O thread.
    pub fn stop_and_wait(&self) {
        self.stop();
        let _ = self.closed.lock().unwrap_or_else(PoisonError::into_inner).recv();
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<Phase>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|phase| *phase != Phase::Open) => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream, &shared, &stopped),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // Connections that are left in the backlog would be reset with the listening socket.
    while *stopped.borrow() == Phase::Finishing
        && let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await
    {
        admit(stream, &shared, &stopped);
    }
}

/// Serves an accepted connection, if there is room for it.
fn admit(stream: TcpStream, shared: &Arc<Shared>, stopped: &watch::Receiver<Phase>) {
    {
        let mut connections = shared.lock();
        if connections.len() >= shared.limits.connections {
            return;
        }
        connections.arriving += 1;
    }
    tokio::spawn(serve(stream, Arc::clone(shared), stopped.clone()));
}

/// Relays one connection from its acceptance to its end.
async fn serve(mut caller: TcpStream, shared: Arc<Shared>, stopped: watch::Receiver<Phase>) {
    let connected = connect(&shared, &stopped).await;
    let Some((mut inner, connection, mode)) = connected else { return };
    let _ = caller.set_nodelay(true);
    let _ = inner.set_nodelay(true);
    shared.observer.opened(connection);
    relay(&mut caller, &mut inner, mode, shared.limits.idle).await;
    {
        let mut connections = shared.lock();
        connections.open.remove(&connection);
        if connections.is_empty() {
            shared.empty.notify_all();
        }
    }
    drop((caller, inner));
    shared.observer.closed(connection);
}

/// Connects an arriving connection to the inner server; `None` where that fails or the gate has stopped.
async fn connect(
    shared: &Shared,
    stopped: &watch::Receiver<Phase>,
) -> Option<(TcpStream, ConnectionId, watch::Receiver<Mode>)> {
    let inner = TcpStream::connect(shared.target).await;
    tokio::spawn(wake_inner(shared.target));
    let mut connections = shared.lock();
    connections.arriving -= 1;
    let mode = match *stopped.borrow() {
        Phase::Open => Some(Mode::Open),
        Phase::Finishing => Some(Mode::Finish),
        Phase::Stopped => None,
    };
    let named = inner.and_then(|inner| Ok((inner.local_addr()?, inner))).ok();
    if let (Some(mode), Some((connection, inner))) = (mode, named) {
        let (sender, mode) = watch::channel(mode);
        connections.open.insert(connection, sender);
        return Some((inner, connection, mode));
    }
    if connections.is_empty() {
        shared.empty.notify_all();
    }
    None
}

/// Opens and closes short connections, so that the inner server does not leave another one unread.
///
/// `tiny_http` 0.12 hands two connections that come at the same moment to one idle thread. The second one then waits until
/// a thread becomes free, which with kept-alive connections may be never. The thread that reads the end of a short
/// connection goes on with the one that waits.
async fn wake_inner(target: SocketAddr) {
    for delay in WAKE_DELAYS {
        tokio::time::sleep(delay).await;
        // Where the inner server has stopped, no connection waits.
        drop(TcpStream::connect(target).await);
    }
}

async fn relay(
    caller: &mut TcpStream,
    inner: &mut TcpStream,
    mode: watch::Receiver<Mode>,
    idle: Duration,
) {
    let (caller_read, caller_write) = caller.split();
    let (inner_read, inner_write) = inner.split();
    let active = Activity::default();
    let mut closing = mode.clone();
    tokio::select! {
        () = pump(caller_read, inner_write, mode.clone(), false, &active) => {}
        () = pump(inner_read, caller_write, mode.clone(), true, &active) => {}
        _ = closing.wait_for(|mode| *mode == Mode::Closed) => {}
        () = silence(&active, idle) => {}
    }
}

/// Moves bytes in one direction until its source ends.
async fn pump(
    source: ReadHalf<'_>,
    mut sink: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    to_caller: bool,
    active: &Activity,
) {
    let mut truncated = 0;
    let mut passed = false;
    loop {
        let draining = match next_step(&source, &mut mode, to_caller).await {
            Step::Readable => false,
            Step::Drain => true,
            Step::Finish if !passed && timeout(FIRST_BYTES, source.readable()).await.is_ok() => {
                false
            }
            Step::Finish => {
                // The inner server answers what it has and then closes the connection.
                let _ = sink.shutdown().await;
                return pending().await;
            }
            Step::End => return,
        };
        let mut chunk = vec![0; RELAY_CHUNK];
        let length = match source.try_read(&mut chunk) {
            Ok(0) => return,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock && !draining => continue,
            Err(_) => return,
        };
        let current = *mode.borrow();
        let pass = match current {
            Mode::Truncate(limit) if to_caller => length.min(limit.saturating_sub(truncated)),
            Mode::Open | Mode::Truncate(_) | Mode::Finish | Mode::Drain => length,
            Mode::Silent => pending().await,
            Mode::Closed => return,
        };
        match sink.write_all(&chunk[..pass]).await {
            Ok(()) => {}
            Err(_) if to_caller => return,
            // The inner server takes no more bytes, but its answer may still be on the way to the caller.
            Err(_) => return pending().await,
        }
        match current {
            Mode::Truncate(limit) if to_caller && truncated + pass >= limit => return,
            Mode::Truncate(_) if to_caller => truncated += pass,
            _ => {}
        }
        passed = true;
        active.record();
    }
}

/// What a pump does next.
enum Step {
    /// Bytes or an end can be read.
    Readable,
    /// The bytes that can be read pass, then the connection is closed.
    Drain,
    /// The inner server must see the end of the caller's bytes.
    Finish,
    /// The connection is closed.
    End,
}

async fn next_step(
    source: &ReadHalf<'_>,
    mode: &mut watch::Receiver<Mode>,
    to_caller: bool,
) -> Step {
    let ending = if to_caller { Mode::Drain } else { Mode::Finish };
    tokio::select! {
        biased;
        readable = source.readable() => match readable {
            Ok(()) => Step::Readable,
            Err(_) => Step::End,
        },
        changed = mode.wait_for(|mode| *mode == ending) => match changed {
            Ok(_) if to_caller => Step::Drain,
            Ok(_) => Step::Finish,
            Err(_) => Step::End,
        },
    }
}

/// Returns once no byte has passed for `idle`.
async fn silence(active: &Activity, idle: Duration) {
    while active.last().elapsed() < idle {
        sleep_until(active.last() + idle).await;
    }
}

/// Moment at which a byte passed last, in either direction.
struct Activity {
    last: Mutex<Instant>,
}

impl Default for Activity {
    fn default() -> Activity {
        Activity { last: Mutex::new(Instant::now()) }
    }
}

impl Activity {
    fn record(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn last(&self) -> Instant {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
