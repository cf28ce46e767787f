//! An edge with a stand-in platform. The test takes the part of the kernel.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use shallotpost_edge::{Edge, Settings};
use shallotpost_protocol::interface::{Call, Reply};
use shallotpost_protocol::port::{Effect, Event};
use shallotpost_protocol::prelude::*;
use shallotpost_standin::hub::{Hub, Server};
use shallotpost_standin::platform::Platform;
use tokio::net::TcpSocket;

/// Timeout of waits that end much earlier in a passing test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a bound socket that does not listen, so that its port refuses connections and no other process takes it.
pub fn refusing_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(any_port()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

pub struct Fixture {
    pub edge: Edge,
    pub events: Mutex<Receiver<Event>>,
    pub platform: Server<Platform>,
    pub hub: Hub,
}

impl Fixture {
    pub fn start() -> Fixture {
        Fixture::with_settings(|_| {})
    }

    pub fn with_settings(adjust: impl FnOnce(&mut Settings)) -> Fixture {
        let hub = Hub::start().unwrap();
        let platform = hub.serve(any_port(), Platform::default()).unwrap();
        let mut settings = Settings::loopback("entry-1", "kochi", platform.address());
        adjust(&mut settings);
        let (sender, events) = channel();
        let edge = Edge::start(&settings, sender, Arc::new(|| "metric 1\n".to_owned())).unwrap();
        Fixture { edge, events: Mutex::new(events), platform, hub }
    }

    pub fn event(&self) -> Event {
        self.events.lock().unwrap().recv_timeout(TEST_TIMEOUT).unwrap()
    }

    pub fn no_event(&self) {
        assert!(matches!(self.events.lock().unwrap().try_recv(), Err(TryRecvError::Empty)));
    }

    pub fn request(&self) -> (RequestId, Call) {
        match self.event() {
            Event::Request { request, call } => (request, call),
            other => panic!("{other:?} is no request"),
        }
    }

    pub fn answer(&self, request: RequestId, result: Result<Reply, Problem>) {
        self.edge.execute(Effect::Answer { request, result });
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.edge.http_address())
    }
}

/// Returns an agent that does not treat error statuses as errors.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
    config.timeout_global(Some(TEST_TIMEOUT)).build().into()
}
