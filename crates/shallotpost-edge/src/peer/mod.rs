//! Streams of frames between entry hosts: HTTP/2 (`h2`) over TCP.
//!
//! Each host opens its own connection for sending, with one long-lived request whose body carries the frames. The
//! response carries the receiver's `Hello`, which proves that the expected host listens there.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use bytes::Bytes;
use shallotpost_protocol::identity::{Address, DataCentreId, HostId};
use shallotpost_protocol::wire::Frame;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::peer::outgoing::Target;
use crate::peer::queue::FrameQueue;

pub mod codec;
mod incoming;
mod outgoing;
pub mod queue;

/// A connection whose other end answers no ping, grants no capacity or sends no `Hello` for this long is closed.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between the answer to a ping and the next ping, at the sender of the frames.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Ping delay at the receiver of the frames. A lost connection only occupies a slot there: the sender detects it by its
/// own pings and opens another one.
const PING_INTERVAL_RECEIVER: Duration = Duration::from_secs(10);

/// Path of the request that carries the frames.
const STREAM_PATH: &str = "/frames";

/// Flow-control window: bytes that a sender may send ahead of the receiver.
const WINDOW_BYTES: u32 = 1 << 20;

/// Maximum number of frames queued between the kernel and the I/O thread; further ones are dropped.
const QUEUED_COMMANDS_MAX: usize = 8192;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] h2::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Frame(#[from] codec::Error),
    #[error("no response within {PEER_TIMEOUT:?}")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("the peer closed the stream")]
    Closed,
    #[error("the peer's Hello is missing, repeated or from another host")]
    UnexpectedHello,
}

enum Command {
    Send {
        to: HostId,
        address: Address,
        frame: Box<Frame>,
    },
    /// Sends the queued frames, then drops the sender.
    Finish(SyncSender<()>),
}

/// Handles a received frame; called with the name of the sending host.
pub type FrameHandler = Arc<dyn Fn(HostId, Frame) + Send + Sync>;

/// Identity of this host, sent to its peers in `Hello`.
#[derive(Clone, Debug)]
pub struct Identity {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Chosen at random when the process starts.
    pub incarnation: u64,
    /// Listening address; port 0 for any.
    pub listen: SocketAddr,
}

/// Listener and outgoing connections for the streams of all peers.
pub struct Peers {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    stop: watch::Sender<bool>,
}

impl Peers {
    /// Starts to listen. `frame_handler` runs on the I/O thread and must not block.
    ///
    /// # Errors
    ///
    /// Fails if the listening address is not available.
    pub fn start(
        identity: Identity,
        runtime: &Handle,
        frame_handler: FrameHandler,
    ) -> io::Result<Peers> {
        let listener = StdListener::bind(identity.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let _context = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let hello = Frame::Hello {
            host: identity.host,
            data_centre: identity.data_centre,
            incarnation: identity.incarnation,
        };
        let (commands, queued) = mpsc::channel(QUEUED_COMMANDS_MAX);
        let (stop, mut stopped) = watch::channel(false);
        let receiving = runtime.spawn(incoming::run(listener, hello.clone(), frame_handler));
        runtime.spawn(async move {
            tokio::select! {
                () = dispatch(queued, hello) => {}
                _ = stopped.wait_for(|stop| *stop) => {}
            }
            receiving.abort();
        });
        Ok(Peers { address, commands, stop })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a frame. The frame is lost if the peer cannot be reached or the queue is full.
    pub fn send(&self, to: HostId, address: Address, frame: Frame) {
        let _ = self.commands.try_send(Command::Send { to, address, frame: Box::new(frame) });
    }

    /// Sends the queued frames for at most `timeout`, then stops. Must not be called from the I/O thread.
    pub fn finish(&self, timeout: Duration) {
        let (sender, done) = sync_channel(1);
        if self.commands.try_send(Command::Finish(sender)).is_ok() {
            let _ = done.recv_timeout(timeout);
        }
        self.stop();
    }

    /// Closes all outgoing connections and stops listening.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// The sending task of one peer; dropping it aborts the task.
struct PeerSender {
    target: Target,
    queue: Arc<FrameQueue>,
    task: JoinHandle<()>,
}

impl PeerSender {
    fn start(target: Target, hello: Frame) -> PeerSender {
        let queue = Arc::<FrameQueue>::default();
        let task = tokio::spawn(outgoing::run(target.clone(), hello, Arc::clone(&queue)));
        PeerSender { target, queue, task }
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Passes frames to the sending tasks.
async fn dispatch(mut commands: mpsc::Receiver<Command>, hello: Frame) {
    let mut peers: HashMap<HostId, PeerSender> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            // Each stream begins with the edge's own `Hello`; a second one would break it.
            Command::Send { frame, .. } if matches!(*frame, Frame::Hello { .. }) => {}
            Command::Send { to, address, frame } => {
                // A frame that is too long or has no valid address is lost, as `Effect::Peer` allows.
                if let (Ok(address), Ok(bytes)) = (address.parse(), codec::encode(&frame)) {
                    enqueue(&mut peers, Target { host: to, address }, bytes, &hello);
                }
            }
            Command::Finish(done) => {
                peers.values().for_each(|peer| peer.queue.finish());
                for peer in peers.values_mut() {
                    let _ = (&mut peer.task).await;
                }
                drop(done);
                return;
            }
        }
    }
}

/// Queues a frame for a peer; starts a sending task if none runs for this address.
fn enqueue(peers: &mut HashMap<HostId, PeerSender>, target: Target, bytes: Bytes, hello: &Frame) {
    let current = peers.get(&target.host).filter(|peer| peer.target == target);
    if current.is_some_and(|peer| peer.queue.push(bytes.clone())) {
        return;
    }
    peers.retain(|_, peer| !peer.task.is_finished());
    let peer = PeerSender::start(target.clone(), hello.clone());
    peer.queue.push(bytes);
    peers.insert(target.host, peer);
}
