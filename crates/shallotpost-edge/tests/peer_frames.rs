//! Peer streams: frames in both directions, reconnects, limits.
#![allow(clippy::unwrap_used)]

mod support;

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use shallotpost_edge::io_thread::IoThread;
use shallotpost_edge::peer::codec::{Decoder, encode};
use shallotpost_edge::peer::queue::{FrameQueue, QUEUE_FRAMES_MAX};
use shallotpost_edge::proxy::{ConnectionId, Limits, Mode, Observer, TcpProxy};
use shallotpost_protocol::interface::{Call, Request};
use shallotpost_protocol::port::{Effect, Event};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::wire::{FRAME_LENGTH_MAX, Frame};
use support::{Fixture, TEST_TIMEOUT, any_port, refusing_port};

fn host(name: &str) -> Fixture {
    Fixture::with_settings(|settings| settings.host = name.to_owned())
}

fn send(from: &Fixture, to: &str, address: SocketAddr, frame: Frame) {
    let (to, address) = (to.to_owned(), address.to_string());
    from.edge.execute(Effect::Peer { to, address, frame });
}

fn peer_event(fixture: &Fixture) -> (HostId, Frame) {
    match fixture.event() {
        Event::Peer { from, frame } => (from, frame),
        other => panic!("{other:?}"),
    }
}

fn is_hello(frame: &Frame, name: &str) -> bool {
    matches!(frame, Frame::Hello { host, .. } if host == name)
}

fn ping(number: u64) -> Frame {
    Frame::Ping { number }
}

/// Returns a frame whose encoding is about `length` bytes long.
fn long(length: usize) -> Frame {
    let call = Call { key: "k".repeat(length), request: Request::Overview };
    Frame::Forward { request: 1, attempt: 1, call }
}

struct IgnoreEvents;

impl Observer for IgnoreEvents {
    fn opened(&self, _: ConnectionId) {}
    fn closed(&self, _: ConnectionId) {}
}

fn proxy(io_thread: &IoThread, target: SocketAddr) -> TcpProxy {
    let limits = Limits { max_connections: 16, idle_timeout: TEST_TIMEOUT * 2 };
    TcpProxy::start(io_thread.handle(), any_port(), target, limits, Arc::new(IgnoreEvents)).unwrap()
}

/// Guards against frames that are lost, reordered or attributed to another host on a healthy connection.
#[test]
fn frames_pass_in_both_directions() {
    let (one, two) = (host("one"), host("two"));
    for number in 0..200 {
        send(&one, "two", two.edge.peer_address(), ping(number));
        send(&two, "one", one.edge.peer_address(), ping(number + 1000));
    }
    for (fixture, sender, base) in [(&two, "one", 0), (&one, "two", 1000)] {
        let (from, hello) = peer_event(fixture);
        assert!(from == sender && is_hello(&hello, sender), "{hello:?}");
        for number in 0..200 {
            assert_eq!(peer_event(fixture), (sender.to_owned(), ping(base + number)));
        }
        fixture.no_event();
    }
}

/// Guards against a stream that stalls because flow-control capacity is not released.
#[test]
fn long_frames_pass() {
    let (one, two) = (host("one"), host("two"));
    let frame = long(FRAME_LENGTH_MAX - 1024);
    for _ in 0..6 {
        send(&one, "two", two.edge.peer_address(), frame.clone());
    }
    assert!(is_hello(&peer_event(&two).1, "one"));
    // The queue holds fewer frames of this length than were sent, so the oldest may be missing.
    assert_eq!(peer_event(&two).1, frame);
    send(&one, "two", two.edge.peer_address(), ping(1));
    let mut received = peer_event(&two).1;
    while received == frame {
        received = peer_event(&two).1;
    }
    assert_eq!(received, ping(1));
}

/// Guards against an oversize frame that is sent or that breaks the frames after it.
#[test]
fn an_oversize_frame_is_not_sent() {
    let (one, two) = (host("one"), host("two"));
    assert!(encode(&long(FRAME_LENGTH_MAX)).is_err());
    send(&one, "two", two.edge.peer_address(), long(FRAME_LENGTH_MAX));
    send(&one, "two", two.edge.peer_address(), ping(1));
    assert!(is_hello(&peer_event(&two).1, "one"));
    assert_eq!(peer_event(&two).1, ping(1));
}

/// Guards against frames that reach a host which reuses the address of another host.
#[test]
fn another_host_at_the_address_gets_no_frame() {
    let (one, two) = (host("one"), host("two"));
    // Each new attempt proves that the one before it was closed without sending the frame.
    send(&one, "three", two.edge.peer_address(), ping(1));
    for _ in 0..3 {
        assert!(is_hello(&peer_event(&two).1, "one"));
    }
}

/// Guards against a stop that loses the last frames, and against one that waits for an unreachable peer.
#[test]
fn the_last_frames_are_sent_before_the_stop() {
    let (one, two) = (host("one"), host("two"));
    let (_socket, nobody) = refusing_port();
    (0..100).for_each(|number| send(&one, "two", two.edge.peer_address(), ping(number)));
    send(&one, "three", nobody, ping(1));
    let started = Instant::now();
    assert!(one.edge.finish(TEST_TIMEOUT));
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    assert!(is_hello(&peer_event(&two).1, "one"));
    (0..100).for_each(|number| assert_eq!(peer_event(&two).1, ping(number)));
}

/// Guards against a stalled or closed connection that is never replaced.
#[test]
fn a_stalled_connection_is_replaced() {
    let io_thread = IoThread::start("test-gate").unwrap();
    for mode in [Mode::Silent, Mode::Closed] {
        let (one, two) = (host("one"), host("two"));
        let proxy = proxy(&io_thread, two.edge.peer_address());
        send(&one, "two", proxy.address(), ping(1));
        assert!(is_hello(&peer_event(&two).1, "one"));
        assert_eq!(peer_event(&two).1, ping(1));
        proxy.set_mode_of_all(mode, None);
        // Frames on the broken connection may be lost; one of the later ones opens a new connection.
        let deadline = Instant::now() + TEST_TIMEOUT;
        let next = loop {
            assert!(Instant::now() < deadline, "no new connection after {mode:?}");
            send(&one, "two", proxy.address(), ping(2));
            let received = two.events.lock().unwrap().recv_timeout(Duration::from_millis(100));
            if let Ok(event) = received {
                break event;
            }
        };
        assert!(matches!(next, Event::Peer { frame, .. } if is_hello(&frame, "one")), "{mode:?}");
    }
}

/// Sends raw bytes as the body of a peer request and waits for the end of the response. Returns the reset reason.
async fn raw_stream(address: SocketAddr, parts: Vec<Bytes>) -> Option<h2::Reason> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (client, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut client = client.ready().await.unwrap();
    let request = http::Request::post(format!("http://{address}/frames")).body(()).unwrap();
    let (response, mut sender) = client.send_request(request, false).unwrap();
    for mut part in parts {
        while !part.is_empty() {
            sender.reserve_capacity(part.len());
            match poll_fn(|context| sender.poll_capacity(context)).await {
                Some(Ok(count)) => sender.send_data(part.split_to(count), false).unwrap(),
                _ => break,
            }
        }
    }
    let mut body = match response.await {
        Ok(response) => response.into_body(),
        Err(error) => return error.reason(),
    };
    while let Some(data) = body.data().await {
        if let Err(error) = data {
            return error.reason();
        }
    }
    None
}

/// Guards against peers that violate the protocol: such a stream is reset and delivers no invalid frame.
#[test]
fn invalid_streams_are_reset() {
    let two = host("two");
    let hello = || {
        let (host, data_centre) = ("one".to_owned(), "kochi".to_owned());
        encode(&Frame::Hello { host, data_centre, incarnation: 1 }).unwrap()
    };
    let announced = |length: usize| Bytes::from((length as u32).to_be_bytes().to_vec());
    let garbage = Bytes::from(vec![0, 0, 0, 2, 0xff, 0xff]);
    let mut padded = encode(&ping(1)).unwrap().to_vec();
    padded[3] += 1;
    padded.push(0);
    let cases = [
        ("no Hello", vec![encode(&ping(1)).unwrap()], 0),
        ("two Hellos", vec![hello(), hello()], 1),
        ("oversize", vec![hello(), announced(FRAME_LENGTH_MAX + 1)], 1),
        ("garbage", vec![hello(), garbage], 1),
        ("trailing bytes", vec![hello(), padded.into()], 1),
    ];
    let io_thread = IoThread::start("test-peer").unwrap();
    for (name, parts, expected) in cases {
        let reason = io_thread.run(raw_stream(two.edge.peer_address(), parts)).unwrap();
        assert_eq!(reason, Some(h2::Reason::PROTOCOL_ERROR), "{name}");
        (0..expected).for_each(|_| assert!(is_hello(&peer_event(&two).1, "one"), "{name}"));
        two.no_event();
    }
}

/// Guards against a decoder that depends on how the bytes are split.
#[test]
fn frames_are_decoded_from_any_pieces() {
    let frames = [ping(1), long(1000), ping(u64::MAX)];
    let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
    for size in [1, 2, 3, 7, 64, 5000] {
        let (mut decoder, mut decoded) = (Decoder::default(), Vec::new());
        for piece in bytes.chunks(size) {
            decoder.push(piece);
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        assert_eq!(decoded, frames, "pieces of {size}");
    }
}

/// Guards against a queue that grows without limit while a peer is unreachable, or that drops the newest frames.
#[test]
fn a_full_queue_drops_the_oldest() {
    let queue = Arc::new(FrameQueue::default());
    let total = QUEUE_FRAMES_MAX as u64 + 10;
    (0..total).for_each(|number| assert!(queue.push(encode(&ping(number)).unwrap())));
    let io_thread = IoThread::start("test-queue").unwrap();
    let first = io_thread.run(async move { queue.pop().await }).unwrap();
    assert_eq!(first, Some(encode(&ping(10)).unwrap()));
}
