//! Guards against a connection that `tiny_http` never reads because another one arrived at the same time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use shallotpost_standin::hub::Hub;
use shallotpost_standin::platform::Platform;

/// Rounds of one single and two simultaneous connections; without the fix the first round fails.
const ROUNDS: usize = 200;

/// Time within which each connection must get its response.
const ANSWER_BOUND: Duration = Duration::from_secs(1);

const REQUEST: &[u8] = b"GET /list HTTP/1.1\r\nhost: standin\r\n\r\n";

fn open(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the stand-in listens");
    stream.set_read_timeout(Some(ANSWER_BOUND)).expect("the timeout can be set");
    stream.write_all(REQUEST).expect("the request can be sent");
    stream
}

fn is_answered(stream: &mut TcpStream) -> bool {
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && head.starts_with(b"HTTP/1.1 200")
}

#[test]
fn both_are_answered() {
    let hub = Hub::start().expect("the hub starts");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = hub.serve(any, Platform::default()).expect("the platform is served");
    // Connections that stay open occupy the initial threads of the upstream server.
    let mut held: Vec<TcpStream> = (0..4).map(|_| open(server.address())).collect();
    assert!(held.iter_mut().all(is_answered));
    for round in 0..ROUNDS {
        // A connection that ends leaves one idle thread behind.
        assert!(is_answered(&mut open(server.address())), "round {round}: a single connection");
        let mut pair = [open(server.address()), open(server.address())];
        assert!(pair.iter_mut().all(is_answered), "round {round}: one of two connections");
    }
}
