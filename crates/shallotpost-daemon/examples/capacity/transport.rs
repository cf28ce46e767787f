//! Processor time and bytes of the edge: worker calls over HTTP and frames over h2, on loopback.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{bail, ensure};
use shallotpost_edge::{Edge, Settings};
use shallotpost_protocol::port::{Effect, Event, Failure};
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::worker;
use shallotpost_standin::settings::{Fleet, Settings as FleetSettings, WorkerSettings};

use crate::report::Report;

/// Argument that makes this program execute calls and print the processor time of one.
pub const ARGUMENT: &str = "--transport";

/// Worker calls of one measurement.
const CALLS: usize = 8000;

/// Frames of one measurement.
const FRAMES: usize = 40_000;

/// Calls or frames that are under way at once.
const WINDOW: usize = 16;

/// Workers over which the open `sync` calls are spread; each takes at most 64 connections.
const WORKERS: usize = 16;

/// Clock ticks per second of `/proc/self/stat`, fixed on Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bound on each measurement.
const BOUND: Duration = Duration::from_secs(20);

/// Prints the costs of a worker call and of a frame.
pub fn measure(report: &mut Report) -> eyre::Result<()> {
    let fleet = Fleet::start(&fleet_settings())?;
    let address = fleet.workers[0].address().to_string();
    let micros = run_child("worker", &address, CALLS)?;
    report.value("worker_call_process", micros, "us");
    let (events, received) = mpsc::channel();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let edge = Edge::start(&Settings::loopback("b", "d1", any), events, Arc::new(String::new))?;
    thread::spawn(move || while received.recv().is_ok() {});
    let micros = run_child("peer", &edge.peer_address().to_string(), FRAMES)?;
    report.value("peer_frame_process", micros, "us");
    let refused: Vec<(usize, f64)> = [133, 266, 399]
        .into_iter()
        .map(|open| Ok((open, refused_calls(&fleet, open)?)))
        .collect::<eyre::Result<_>>()?;
    report.slope("worker_calls_refused", "calls", "open syncs", &refused);
    let (request, frame) = (request_overhead()?, frame_bytes()?);
    report.value("worker_request_head", request, "bytes");
    report.value("peer_ping_on_wire", frame, "bytes");
    Ok(())
}

/// Executes `count` calls or frames and prints the microseconds of processor time of each.
pub fn run(kind: &str, address: &str, count: &str) -> eyre::Result<()> {
    let (events, received) = mpsc::channel();
    let address: SocketAddr = address.parse()?;
    let edge = Edge::start(&Settings::loopback("a", "d0", address), events, Arc::new(String::new))?;
    let count: usize = count.parse()?;
    // Connections are opened and threads started before the measurement.
    execute(&edge, kind, address, count / 10, &received)?;
    let before = processor_micros()?;
    execute(&edge, kind, address, count, &received)?;
    println!("{}", (processor_micros()? - before) / count as f64);
    Ok(())
}

fn execute(
    edge: &Edge,
    kind: &str,
    address: SocketAddr,
    count: usize,
    received: &Receiver<Event>,
) -> eyre::Result<()> {
    let deadline = Instant::now() + BOUND;
    match kind {
        "worker" => {
            let mut sent = 0;
            let mut answered = 0;
            while answered < count {
                while sent < count && sent - answered < WINDOW {
                    sent += 1;
                    edge.execute(worker_call(sent as u64, address));
                }
                match received.recv_timeout(deadline.saturating_duration_since(Instant::now()))? {
                    Event::Worker { result: Ok(_), .. } => answered += 1,
                    event => bail!("{event:?}"),
                }
            }
        }
        _ => {
            for number in 0..count as u64 {
                edge.execute(ping(number, address));
                // The queue of a peer is bounded; a pause lets the connection drain it.
                if number % WINDOW as u64 == 0 {
                    thread::sleep(Duration::from_micros(500));
                }
            }
        }
    }
    Ok(())
}

fn worker_call(call: u64, address: SocketAddr) -> Effect {
    let request = worker::Request::Claim {
        shard: shallotpost_protocol::identity::Shard { data_centre: "d0".to_owned(), index: 0 },
        epoch: 1,
        lease: Duration::from_secs(8),
    };
    call_to(call, address, request)
}

fn call_to(call: u64, address: SocketAddr, request: worker::Request) -> Effect {
    let timeout = Duration::from_secs(10);
    Effect::Worker { call, worker: "w0".to_owned(), address: address.to_string(), request, timeout }
}

/// Number of `sync` calls that the edge refuses at once when this many are open.
fn refused_calls(fleet: &Fleet, open: usize) -> eyre::Result<f64> {
    let (events, received) = mpsc::channel();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let edge = Edge::start(&Settings::loopback("a", "d0", any), events, Arc::new(String::new))?;
    let address = |index: usize| fleet.workers[index % fleet.workers.len()].address();
    for index in 0..fleet.workers.len() {
        edge.execute(worker_call(0, address(index)));
        let event = received.recv_timeout(BOUND)?;
        ensure!(matches!(event, Event::Worker { result: Ok(_), .. }), "{event:?}");
    }
    for call in 0..open {
        let (lease, wait) = (Duration::from_secs(30), Duration::from_secs(1));
        let request = worker::Request::Sync { epoch: 1, lease, acknowledged: Vec::new(), wait };
        edge.execute(call_to(call as u64, address(call), request));
    }
    let mut refused = 0;
    for _ in 0..open {
        match received.recv_timeout(BOUND)? {
            Event::Worker { result: Ok(_), .. } => {}
            Event::Worker { result: Err(Failure::NotSent), .. } => refused += 1,
            event => bail!("{event:?}"),
        }
    }
    Ok(f64::from(refused))
}

fn ping(number: u64, address: SocketAddr) -> Effect {
    Effect::Peer { to: "b".to_owned(), address: address.to_string(), frame: Frame::Ping { number } }
}

/// Bytes of the HTTP head of a worker call.
fn request_overhead() -> eyre::Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (events, _received) = mpsc::channel();
    let edge = Edge::start(&Settings::loopback("a", "d0", address), events, Arc::new(String::new))?;
    edge.execute(worker_call(1, address));
    let (mut stream, _) = listener.accept()?;
    stream.set_read_timeout(Some(BOUND))?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let head = loop {
        let count = stream.read(&mut buffer)?;
        ensure!(count > 0, "the call was closed early");
        bytes.extend_from_slice(&buffer[..count]);
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    stream.write_all(b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")?;
    Ok(head as f64)
}

/// Bytes on a connection for one `Ping` once the connection is open, both directions. A relay counts them.
fn frame_bytes() -> eyre::Result<f64> {
    let (events, received) = mpsc::channel();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let receiver =
        Edge::start(&Settings::loopback("b", "d1", any), events.clone(), Arc::new(String::new))?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let relay = listener.local_addr()?;
    let sender = Edge::start(&Settings::loopback("a", "d0", any), events, Arc::new(String::new))?;
    let counted = Arc::new(std::sync::atomic::AtomicU64::new(0));
    sender.execute(ping(0, relay));
    let (inner, _) = listener.accept()?;
    let outer = std::net::TcpStream::connect(receiver.peer_address())?;
    for (from, to) in [(inner.try_clone()?, outer.try_clone()?), (outer, inner)] {
        let counted = Arc::clone(&counted);
        thread::spawn(move || copy(from, to, &counted));
    }
    let await_ping = |wanted: u64| -> eyre::Result<()> {
        loop {
            let event = received.recv_timeout(BOUND)?;
            if matches!(event, Event::Peer { frame: Frame::Ping { number }, .. } if number == wanted)
            {
                return Ok(());
            }
        }
    };
    await_ping(0)?;
    let count = 1000;
    let before = counted.load(std::sync::atomic::Ordering::SeqCst);
    for number in 1..=count {
        sender.execute(ping(number, relay));
        await_ping(number)?;
    }
    let after = counted.load(std::sync::atomic::Ordering::SeqCst);
    Ok((after - before) as f64 / count as f64)
}

fn copy(
    mut from: std::net::TcpStream,
    mut to: std::net::TcpStream,
    counted: &std::sync::atomic::AtomicU64,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        counted.fetch_add(count as u64, std::sync::atomic::Ordering::SeqCst);
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn run_child(kind: &str, address: &str, count: usize) -> eyre::Result<f64> {
    let output = Command::new(std::env::current_exe()?)
        .args([ARGUMENT, kind, address, &count.to_string()])
        .output()?;
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    Ok(String::from_utf8_lossy(&output.stdout).trim().parse()?)
}

/// Processor time of this process so far.
fn processor_micros() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    // After the name, user and system time are fields 12 and 13 (proc(5) counts them as 14 and 15).
    let ticks: Vec<u64> =
        fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
    ensure!(ticks.len() == 2, "no processor time in /proc/self/stat");
    Ok(ticks.iter().sum::<u64>() as f64 / TICKS_PER_SECOND * 1e6)
}

fn fleet_settings() -> FleetSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let worker = |index: usize| WorkerSettings {
        worker: format!("w{index}"),
        address: any,
        data_centre: "d0".to_owned(),
        rack: "r0".to_owned(),
        capacity: shallotpost_protocol::size::Size::from_parts([32_000, 131_072, 2, 8]),
    };
    let workers = (0..WORKERS).map(worker).collect();
    FleetSettings { platform: any, list_lag_ms: 0, workers }
}
