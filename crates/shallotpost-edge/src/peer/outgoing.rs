//! Outgoing connection to one peer.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use h2::client::{Builder, ResponseFuture};
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::Request;
use shallotpost_protocol::identity::HostId;
use shallotpost_protocol::wire::Frame;
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, timeout};

use crate::peer::codec::{Decoder, encode};
use crate::peer::queue::FrameQueue;
use crate::peer::{Error, PEER_TIMEOUT, PING_INTERVAL, STREAM_PATH, WINDOW_BYTES};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after the first failure; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// A connection without frames for this long is closed.
const CONNECTION_IDLE_MAX: Duration = Duration::from_secs(60);

/// Destination of the frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Host that must identify itself at the address.
    pub host: HostId,
    pub address: SocketAddr,
}

/// Sends the queued frames to the peer, reconnecting as needed, until the queue is finished or idle.
pub async fn run(target: Target, hello: Frame, queue: Arc<FrameQueue>) {
    let mut failures = 0;
    while queue.wait_for_frame(CONNECTION_IDLE_MAX).await {
        let mut hello_verified = false;
        // Frames on a broken connection are lost; the kernel sends what it needs again.
        let _ = session(&target, &hello, &queue, &mut hello_verified).await;
        failures = if hello_verified { 0 } else { failures + 1 };
        sleep(backoff(failures)).await;
    }
}

/// Exponential backoff with jitter, so that the peers of a restarted host do not reconnect at the same time.
fn backoff(failures: u32) -> Duration {
    let delay = BACKOFF_MIN * 2u32.saturating_pow(failures.min(8));
    delay.min(BACKOFF_MAX).mul_f64(rand::random_range(0.5..1.0))
}

async fn session(
    target: &Target,
    hello: &Frame,
    queue: &FrameQueue,
    hello_verified: &mut bool,
) -> Result<(), Error> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await??;
    stream.set_nodelay(true)?;
    let mut builder = Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .enable_push(false);
    let handshake = builder.handshake::<_, Bytes>(stream);
    let (client, mut connection) = timeout(PEER_TIMEOUT, handshake).await??;
    let ping_pong = connection.ping_pong();
    let exchange = async {
        let mut client = client.ready().await?;
        let request = Request::post(format!("http://{}{STREAM_PATH}", target.address));
        let (response, mut sender) = client.send_request(request.body(())?, false)?;
        send(&mut sender, encode(hello)?).await?;
        let response_body = timeout(PEER_TIMEOUT, verify_hello(response, &target.host)).await??;
        *hello_verified = true;
        send_queued(sender, response_body, queue).await
    };
    tokio::select! {
        result = &mut connection => Ok(result?),
        result = exchange => result,
        error = keep_alive(ping_pong, PING_INTERVAL) => Err(error),
    }
}

/// Checks that the host at the other end is the expected one, because addresses are reused.
async fn verify_hello(response: ResponseFuture, expected: &str) -> Result<RecvStream, Error> {
    let mut body = response.await?.into_body();
    let mut decoder = Decoder::default();
    loop {
        match decoder.next_frame()? {
            Some(Frame::Hello { host, .. }) if host == expected => return Ok(body),
            Some(_) => return Err(Error::UnexpectedHello),
            None => {}
        }
        let bytes = body.data().await.ok_or(Error::Closed)??;
        body.flow_control().release_capacity(bytes.len())?;
        decoder.push(&bytes);
    }
}

async fn send_queued(
    mut sender: SendStream<Bytes>,
    mut response_body: RecvStream,
    queue: &FrameQueue,
) -> Result<(), Error> {
    loop {
        tokio::select! {
            frame = queue.pop() => match frame {
                Some(frame) => send(&mut sender, frame).await?,
                None => break,
            },
            _ = response_body.data() => return Err(Error::Closed),
        }
    }
    // The peer ends its response when it has received everything.
    sender.send_data(Bytes::new(), true)?;
    match response_body.data().await {
        None => Ok(()),
        Some(_) => Err(Error::UnexpectedHello),
    }
}

/// Sends all bytes as the receiver grants capacity.
///
/// # Errors
///
/// Fails if the stream is closed or the receiver grants no capacity within [`PEER_TIMEOUT`].
pub async fn send(sender: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        sender.reserve_capacity(bytes.len());
        let granted = timeout(PEER_TIMEOUT, poll_fn(|context| sender.poll_capacity(context)));
        let capacity = granted.await?.ok_or(Error::Closed)??;
        sender.send_data(bytes.split_to(capacity.min(bytes.len())), false)?;
    }
    Ok(())
}

/// Pings the other end, waiting for `interval` after each answer. Returns the error once an answer is missing.
pub async fn keep_alive(ping_pong: Option<PingPong>, interval: Duration) -> Error {
    let Some(mut ping_pong) = ping_pong else { return Error::Closed };
    loop {
        match timeout(PEER_TIMEOUT, ping_pong.ping(Ping::opaque())).await {
            Ok(Ok(_)) => sleep(interval).await,
            Ok(Err(error)) => return error.into(),
            Err(elapsed) => return elapsed.into(),
        }
    }
}
