//! Wires the kernel to the edges.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{WrapErr, eyre};
use shallotpost_control::kernel::Kernel;
use shallotpost_edge::Edge;
use shallotpost_protocol::port::{Effect, Event};

use crate::logs::Writer;
use crate::metrics::Metrics;
use crate::observer::Observer;
use crate::settings::Settings;

/// Events that are taken in one go before the ticks are looked at.
const EVENTS_PER_TURN: usize = 256;

/// Stack of the kernel thread, in bytes.
const KERNEL_STACK: usize = 2 << 20;

/// Interval at which forgotten calls and suppressed log events are looked at.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Time for the last answers to be written once the kernel has finished.
const FINISH_BOUND: Duration = Duration::from_secs(5);

/// A running daemon.
pub struct Daemon {
    events: Sender<Event>,
    kernel: JoinHandle<()>,
    http_address: String,
    peer_address: String,
}

impl Daemon {
    /// Starts the edges and the kernel.
    ///
    /// # Errors
    ///
    /// An address is taken, or a part cannot be set up.
    pub fn start(settings: &Settings) -> eyre::Result<Daemon> {
        let metrics = Arc::new(Metrics::new().wrap_err("the metrics cannot be set up")?);
        let page = Arc::clone(&metrics);
        let incarnation = rand::random();
        let (events, receiver) = mpsc::channel();
        let edge = Edge::start(
            &edge_settings(settings, incarnation)?,
            events.clone(),
            Arc::new(move || page.render()),
        )?;
        let (http_address, peer_address) =
            (edge.http_address().to_string(), edge.peer_address().to_string());
        let mut control = settings.control(incarnation, rand::random());
        control.http_address.clone_from(&http_address);
        control.peer_address.clone_from(&peer_address);
        let logs = Writer::standard_error(&settings.log)
            .map_err(|error| eyre!("the log cannot be set up: {error}"))?;
        let run = move || {
            let now = Instant::now();
            let turn = Turn {
                kernel: Kernel::new(&control, now, unix_ms()),
                edge,
                observer: Observer::new(metrics),
                logs,
                housekeeping: now,
            };
            turn.run(&receiver);
        };
        let builder = thread::Builder::new().name("kernel".to_owned()).stack_size(KERNEL_STACK);
        let kernel = builder.spawn(run).wrap_err("the kernel thread cannot be started")?;
        Ok(Daemon { events, kernel, http_address, peer_address })
    }

    /// Where the HTTP interface listens.
    pub fn http_address(&self) -> &str {
        &self.http_address
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        self.stopper()();
    }

    /// A function that starts a graceful shutdown from another thread.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        // A kernel that has ended already needs no request.
        move || drop(events.send(Event::Stop))
    }

    /// Waits until the daemon has stopped.
    ///
    /// # Errors
    ///
    /// The kernel thread has panicked.
    pub fn join(self) -> eyre::Result<()> {
        self.kernel.join().map_err(|_| eyre!("the kernel thread has panicked"))
    }
}

/// State of the kernel thread.
struct Turn {
    kernel: Kernel,
    edge: Edge,
    observer: Observer,
    logs: Writer,
    housekeeping: Instant,
}

impl Turn {
    fn run(mut self, events: &Receiver<Event>) {
        while self.turn(events) {}
        self.edge.finish(FINISH_BOUND);
    }

    /// Handles the next events and ticks. Returns whether the daemon goes on.
    fn turn(&mut self, events: &Receiver<Event>) -> bool {
        let wait = self.kernel.next_tick().saturating_duration_since(Instant::now());
        match events.recv_timeout(wait) {
            Ok(event) => {
                self.deliver(event);
                events.try_iter().take(EVENTS_PER_TURN).for_each(|event| self.deliver(event));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        self.kernel.advance(Instant::now(), unix_ms());
        self.keep_house();
        self.execute()
    }

    fn deliver(&mut self, event: Event) {
        let now = Instant::now();
        self.observer.event(now, &event);
        self.kernel.deliver(now, unix_ms(), event);
    }

    /// Executes the effects since the last call. Returns whether the kernel goes on.
    fn execute(&mut self) -> bool {
        let now = Instant::now();
        let mut running = true;
        for effect in self.kernel.take_effects() {
            self.observer.effect(now, &effect);
            match effect {
                Effect::Log(log) => self.logs.write(&log, now, SystemTime::now()),
                Effect::Observe(_) => {}
                Effect::Stopped => running = false,
                effect => self.edge.execute(effect),
            }
        }
        running
    }

    fn keep_house(&mut self) {
        let now = Instant::now();
        if now >= self.housekeeping {
            self.housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.observer.forget_old(now);
            self.logs.report_suppressed(now, SystemTime::now());
        }
    }
}

fn edge_settings(
    settings: &Settings,
    incarnation: u64,
) -> eyre::Result<shallotpost_edge::Settings> {
    let platform = &settings.platform;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(shallotpost_edge::Settings {
        incarnation,
        http_listen: settings.http_address.parse().wrap_err("http_address must be IP:port")?,
        peer_listen: settings.peer_address.parse().wrap_err("peer_address must be IP:port")?,
        table_url: platform.table.clone(),
        object_url: platform.objects.clone(),
        list_url: platform.list.clone(),
        open_requests: settings.limits.open_requests,
        ..shallotpost_edge::Settings::loopback(&settings.host, &settings.data_centre, any)
    })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
