//! Connections of peers that send frames to this host.

use bytes::Bytes;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{Request, Response};
use shallotpost_protocol::identity::HostId;
use shallotpost_protocol::wire::Frame;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep, timeout};

use crate::peer::codec::{Decoder, encode};
use crate::peer::outgoing::{keep_alive, send};
use crate::peer::{
    Error, FrameHandler, PEER_TIMEOUT, PING_INTERVAL_RECEIVER, STREAM_PATH, WINDOW_BYTES,
};

/// Maximum number of peer connections; a fleet of the target size has 135 entry hosts.
const CONNECTIONS_MAX: usize = 512;

/// Maximum number of streams per connection. A peer needs one; a second one may overlap with it during a reset.
const STREAMS_MAX: u32 = 2;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until it is dropped, which closes all of them.
pub async fn run(listener: TcpListener, hello: Frame, frame_handler: FrameHandler) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while connections.try_join_next().is_some() {}
                // A connection beyond the limit is closed immediately; the sender reconnects by itself.
                if connections.len() < CONNECTIONS_MAX {
                    connections.spawn(serve(stream, hello.clone(), frame_handler.clone()));
                }
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(stream: TcpStream, hello: Frame, frame_handler: FrameHandler) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let mut builder = Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX);
    let handshake = builder.handshake::<_, Bytes>(stream);
    let mut connection = timeout(PEER_TIMEOUT, handshake).await??;
    let ping_pong = connection.ping_pong();
    let accept = async {
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            let (hello, frame_handler) = (hello.clone(), frame_handler.clone());
            tokio::spawn(serve_stream(request, respond, hello, frame_handler));
        }
        Ok(())
    };
    tokio::select! {
        result = accept => result,
        error = keep_alive(ping_pong, PING_INTERVAL_RECEIVER) => Err(error),
    }
}

/// Receives the frames of one stream; resets it on an error.
async fn serve_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    hello: Frame,
    frame_handler: FrameHandler,
) {
    if request.uri().path() != STREAM_PATH {
        respond.send_reset(Reason::REFUSED_STREAM);
        return;
    }
    let Ok(mut response) = respond.send_response(Response::new(()), false) else { return };
    let received = receive(request.into_body(), &mut response, &hello, &frame_handler).await;
    // The end of the response tells the sender that all frames have arrived.
    let ended = received.and_then(|()| Ok(response.send_data(Bytes::new(), true)?));
    if ended.is_err() {
        response.send_reset(Reason::PROTOCOL_ERROR);
    }
}

async fn receive(
    mut body: RecvStream,
    response: &mut SendStream<Bytes>,
    hello: &Frame,
    frame_handler: &FrameHandler,
) -> Result<(), Error> {
    send(response, encode(hello)?).await?;
    let mut decoder = Decoder::default();
    let mut sender: Option<HostId> = None;
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        decoder.push(&bytes);
        body.flow_control().release_capacity(bytes.len())?;
        while let Some(frame) = decoder.next_frame()? {
            match (&sender, &frame) {
                (None, Frame::Hello { host, .. }) => sender = Some(host.clone()),
                (None, _) | (Some(_), Frame::Hello { .. }) => return Err(Error::UnexpectedHello),
                (Some(_), _) => {}
            }
            let from = sender.clone().unwrap_or_default();
            frame_handler(from, frame);
        }
    }
    Ok(())
}
