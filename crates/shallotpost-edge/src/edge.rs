//! [`Edge`]: all adapters behind one interface for the daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use shallotpost_protocol::port::{Effect, Event};

use crate::calls::CallExecutor;
use crate::http::{ApiServer, MetricsRenderer};
use crate::io_thread::IoThread;
use crate::peer::{Identity, Peers};
use crate::settings::Settings;

/// Time for calls in flight to end after all requests are answered.
const CALL_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time to send the queued frames to the peers.
const FRAME_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why the edge cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot listen on {address}: {source}. Choose a free address in the settings.")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("cannot start a thread: {0}. Raise the process's thread limit.")]
    Thread(#[from] io::Error),
}

/// All adapters. Executes the kernel's effects and sends events to the kernel.
pub struct Edge {
    api_server: ApiServer,
    calls: CallExecutor,
    peers: Peers,
    _io_thread: IoThread,
}

impl Edge {
    /// Starts to listen. Events go to `events`; `metrics` renders the page of `GET /metrics`.
    ///
    /// # Errors
    ///
    /// Fails if a listening address is not available or a thread cannot be started.
    pub fn start(
        settings: &Settings,
        events: Sender<Event>,
        metrics: MetricsRenderer,
    ) -> Result<Edge, Error> {
        let io_thread = IoThread::start("edge-io")?;
        let runtime = io_thread.handle();
        let listen = |address| move |source| Error::Listen { address, source };
        let identity = Identity {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: settings.incarnation,
            listen: settings.peer_listen,
        };
        let peer_events = events.clone();
        let frame_handler =
            Arc::new(move |from, frame| drop(peer_events.send(Event::Peer { from, frame })));
        let peers =
            Peers::start(identity, runtime, frame_handler).map_err(listen(settings.peer_listen))?;
        let api_server = ApiServer::start(settings, runtime, events.clone(), metrics)
            .map_err(listen(settings.http_listen))?;
        Ok(Edge {
            api_server,
            calls: CallExecutor::new(settings, events),
            peers,
            _io_thread: io_thread,
        })
    }

    pub fn http_address(&self) -> SocketAddr {
        self.api_server.address()
    }

    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Executes one effect without blocking. `Log`, `Observe` and `Stopped` are handled by the daemon and ignored here.
    pub fn execute(&self, effect: Effect) {
        match effect {
            Effect::Answer { request, result } => self.api_server.answer(request, result),
            Effect::Table { call, request, timeout } => self.calls.table(call, request, timeout),
            Effect::Worker { call, worker: _, address, request, timeout } => {
                self.calls.worker(call, address, request, timeout);
            }
            Effect::WorkerList { call, timeout } => self.calls.list(call, timeout),
            Effect::Peer { to, address, frame } => self.peers.send(to, address, frame),
            Effect::Log(_) | Effect::Observe(_) | Effect::Stopped => {}
        }
    }

    /// Rejects new requests with `Draining`, except for health and readiness checks.
    pub fn stop_accepting(&self) {
        self.api_server.stop_accepting();
    }

    /// Waits until all open requests are answered or `timeout` has passed, then ends the threads. Returns whether all
    /// requests were answered in time.
    pub fn finish(&self, timeout: Duration) -> bool {
        self.api_server.stop_accepting();
        let complete = self.api_server.finish(timeout);
        self.calls.close();
        self.calls.join(Instant::now() + CALL_SHUTDOWN_TIMEOUT);
        self.peers.finish(FRAME_FLUSH_TIMEOUT);
        complete
    }
}
