//! Processor time and bytes of the edge on loopback: worker calls over HTTP/1.1 and peer frames over HTTP/2.

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

/// Argument that makes this program execute calls or frames and print the processor time of each.
pub const ARGUMENT: &str = "--transport";

/// Number of worker calls per measurement.
const CALLS: usize = 8000;

/// Number of frames per measurement.
const FRAMES: usize = 40_000;

/// Maximum number of calls in flight, and number of frames that are sent without a pause.
const IN_FLIGHT_MAX: usize = 16;

/// Number of workers over which the open `sync` calls are distributed. Each worker accepts at most 64 connections.
const WORKERS: usize = 16;

/// Clock ticks per second of `/proc/self/stat`, fixed on Linux for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Timeout of each measurement.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Measures and prints the costs of a worker call and of a peer frame.
pub fn measure(report: &mut Report) -> eyre::Result<()> {
    let fleet = Fleet::start(&fleet_settings())?;
    let address = fleet.workers[0].address().to_string();
    let micros = run_child("worker", &address, CALLS)?;
    report.value("worker_call_process", micros, "us");
    let (events, received) = mpsc::channel();
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let edge =
        Edge::start(&Settings::loopback("b", "d1", ephemeral), events, Arc::new(String::new))?;
    thread::spawn(move || while received.recv().is_ok() {});
    let micros = run_child("peer", &edge.peer_address().to_string(), FRAMES)?;
    report.value("peer_frame_process", micros, "us");
    let refused: Vec<(usize, f64)> = [133, 266, 399]
        .into_iter()
        .map(|open| Ok((open, refused_calls(&fleet, open)?)))
        .collect::<eyre::Result<_>>()?;
    report.slope("worker_calls_refused", "calls", "open syncs", &refused);
    let (request, frame) = (request_head_bytes()?, frame_bytes()?);
    report.value("worker_request_head", request, "bytes");
    report.value("peer_ping_on_wire", frame, "bytes");
    Ok(())
}

/// Executes `count` calls or frames and prints the processor time of each, in microseconds.
pub fn run(kind: &str, address: &str, count: &str) -> eyre::Result<()> {
    let (events, received) = mpsc::channel();
    let address: SocketAddr = address.parse()?;
    let edge = Edge::start(&Settings::loopback("a", "d0", address), events, Arc::new(String::new))?;
    let count: usize = count.parse()?;
    // Opens the connections and starts the threads before the measurement.
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
    let deadline = Instant::now() + TIMEOUT;
    match kind {
        "worker" => {
            let mut sent = 0;
            let mut answered = 0;
            while answered < count {
                while sent < count && sent - answered < IN_FLIGHT_MAX {
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
                // The queue of a peer is bounded. The pause lets the connection drain it.
                if number % IN_FLIGHT_MAX as u64 == 0 {
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

/// Returns the number of `sync` calls that the edge refuses when `open` calls are in flight.
fn refused_calls(fleet: &Fleet, open: usize) -> eyre::Result<f64> {
    let (events, received) = mpsc::channel();
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let edge =
        Edge::start(&Settings::loopback("a", "d0", ephemeral), events, Arc::new(String::new))?;
    let address = |index: usize| fleet.workers[index % fleet.workers.len()].address();
    for index in 0..fleet.workers.len() {
        edge.execute(worker_call(0, address(index)));
        let event = received.recv_timeout(TIMEOUT)?;
        ensure!(matches!(event, Event::Worker { result: Ok(_), .. }), "{event:?}");
    }
    for call in 0..open {
        let (lease, wait) = (Duration::from_secs(30), Duration::from_secs(1));
        let request = worker::Request::Sync { epoch: 1, lease, acknowledged: Vec::new(), wait };
        edge.execute(call_to(call as u64, address(call), request));
    }
    let mut refused = 0;
    for _ in 0..open {
        match received.recv_timeout(TIMEOUT)? {
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

/// Returns the size of the HTTP head of a worker call, in bytes.
fn request_head_bytes() -> eyre::Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (events, _received) = mpsc::channel();
    let edge = Edge::start(&Settings::loopback("a", "d0", address), events, Arc::new(String::new))?;
    edge.execute(worker_call(1, address));
    let (mut stream, _) = listener.accept()?;
    stream.set_read_timeout(Some(TIMEOUT))?;
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

/// Returns the bytes per `Ping` on an open connection, in both directions. A relay counts them.
fn frame_bytes() -> eyre::Result<f64> {
    let (events, received) = mpsc::channel();
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let receiver = Edge::start(
        &Settings::loopback("b", "d1", ephemeral),
        events.clone(),
        Arc::new(String::new),
    )?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let relay = listener.local_addr()?;
    let sender =
        Edge::start(&Settings::loopback("a", "d0", ephemeral), events, Arc::new(String::new))?;
    let byte_count = Arc::new(std::sync::atomic::AtomicU64::new(0));
    sender.execute(ping(0, relay));
    let (accepted, _) = listener.accept()?;
    let forwarded = std::net::TcpStream::connect(receiver.peer_address())?;
    for (from, to) in [(accepted.try_clone()?, forwarded.try_clone()?), (forwarded, accepted)] {
        let byte_count = Arc::clone(&byte_count);
        thread::spawn(move || copy(from, to, &byte_count));
    }
    let await_ping = |expected: u64| -> eyre::Result<()> {
        loop {
            let event = received.recv_timeout(TIMEOUT)?;
            if matches!(event, Event::Peer { frame: Frame::Ping { number }, .. } if number == expected)
            {
                return Ok(());
            }
        }
    };
    await_ping(0)?;
    let count = 1000;
    let before = byte_count.load(std::sync::atomic::Ordering::SeqCst);
    for number in 1..=count {
        sender.execute(ping(number, relay));
        await_ping(number)?;
    }
    let after = byte_count.load(std::sync::atomic::Ordering::SeqCst);
    Ok((after - before) as f64 / count as f64)
}

fn copy(
    mut from: std::net::TcpStream,
    mut to: std::net::TcpStream,
    byte_count: &std::sync::atomic::AtomicU64,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        byte_count.fetch_add(count as u64, std::sync::atomic::Ordering::SeqCst);
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

/// Returns the processor time that this process has used, in microseconds.
fn processor_micros() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    // User and system time are fields 12 and 13 after the name (14 and 15 in proc(5)).
    let ticks: Vec<u64> =
        fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse().ok()).collect();
    ensure!(ticks.len() == 2, "no processor time in /proc/self/stat");
    Ok(ticks.iter().sum::<u64>() as f64 / TICKS_PER_SECOND * 1e6)
}

fn fleet_settings() -> FleetSettings {
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    let worker = |index: usize| WorkerSettings {
        worker: format!("w{index}"),
        address: ephemeral,
        data_centre: "d0".to_owned(),
        rack: "r0".to_owned(),
        capacity: shallotpost_protocol::size::Size::from_parts([32_000, 131_072, 2, 8]),
    };
    let workers = (0..WORKERS).map(worker).collect();
    FleetSettings { platform: ephemeral, list_lag_ms: 0, workers }
}
