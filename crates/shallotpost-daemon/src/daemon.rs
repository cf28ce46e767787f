//! Runs the kernel on its own thread and connects it to the edge, the metrics and the log.

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

/// Maximum number of additional events handled per iteration, before the kernel's timers run again.
const EVENTS_PER_ITERATION: usize = 256;

/// Stack size of the kernel thread, in bytes.
const KERNEL_STACK_BYTES: usize = 2 << 20;

/// Interval at which expired calls are dropped and suppressed log events are reported.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time to write the last answers after the kernel has stopped.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// A daemon whose kernel runs on its own thread.
pub struct Daemon {
    events: Sender<Event>,
    kernel: JoinHandle<()>,
    http_address: String,
    peer_address: String,
}

impl Daemon {
    /// Starts the edge and the kernel thread.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is invalid or cannot be bound, or if the edge, the metrics, the log or the kernel
    /// thread cannot be set up.
    pub fn start(settings: &Settings) -> eyre::Result<Daemon> {
        let metrics = Arc::new(Metrics::new().wrap_err("cannot set up the metrics")?);
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
            .map_err(|error| eyre!("cannot set up the log: {error}"))?;
        let run = move || {
            let now = Instant::now();
            let event_loop = EventLoop {
                kernel: Kernel::new(&control, now, unix_ms()),
                edge,
                observer: Observer::new(metrics),
                logs,
                next_housekeeping: now,
            };
            event_loop.run(&receiver);
        };
        let builder =
            thread::Builder::new().name("kernel".to_owned()).stack_size(KERNEL_STACK_BYTES);
        let kernel = builder.spawn(run).wrap_err("cannot start the kernel thread")?;
        Ok(Daemon { events, kernel, http_address, peer_address })
    }

    /// Returns the address on which the HTTP interface listens.
    pub fn http_address(&self) -> &str {
        &self.http_address
    }

    /// Returns the address on which peers connect.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        self.stop_handle()();
    }

    /// Returns a function that starts a graceful shutdown from another thread.
    pub fn stop_handle(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        // Sending fails only if the kernel has already stopped.
        move || drop(events.send(Event::Stop))
    }

    /// Waits until the daemon has stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel thread has panicked.
    pub fn join(self) -> eyre::Result<()> {
        self.kernel.join().map_err(|_| eyre!("the kernel thread has panicked"))
    }
}

/// Event loop of the kernel thread.
struct EventLoop {
    kernel: Kernel,
    edge: Edge,
    observer: Observer,
    logs: Writer,
    next_housekeeping: Instant,
}

impl EventLoop {
    fn run(mut self, events: &Receiver<Event>) {
        while self.run_once(events) {}
        self.edge.finish(FINISH_TIMEOUT);
    }

    /// Waits for events until the next tick is due, and handles both. Returns whether the daemon keeps running.
    fn run_once(&mut self, events: &Receiver<Event>) -> bool {
        let wait = self.kernel.next_tick().saturating_duration_since(Instant::now());
        match events.recv_timeout(wait) {
            Ok(event) => {
                self.deliver(event);
                events.try_iter().take(EVENTS_PER_ITERATION).for_each(|event| self.deliver(event));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        self.kernel.advance(Instant::now(), unix_ms());
        self.run_housekeeping();
        self.execute()
    }

    fn deliver(&mut self, event: Event) {
        let now = Instant::now();
        self.observer.record_event(now, &event);
        self.kernel.deliver(now, unix_ms(), event);
    }

    /// Executes the kernel's pending effects. Returns whether the kernel keeps running.
    fn execute(&mut self) -> bool {
        let now = Instant::now();
        let mut running = true;
        for effect in self.kernel.take_effects() {
            self.observer.record_effect(now, &effect);
            match effect {
                Effect::Log(log) => self.logs.write(&log, now, SystemTime::now()),
                Effect::Observe(_) => {}
                Effect::Stopped => running = false,
                effect => self.edge.execute(effect),
            }
        }
        running
    }

    fn run_housekeeping(&mut self) {
        let now = Instant::now();
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.observer.drop_expired(now);
            self.logs.report_suppressed(now, SystemTime::now());
        }
    }
}

fn edge_settings(
    settings: &Settings,
    incarnation: u64,
) -> eyre::Result<shallotpost_edge::Settings> {
    let platform = &settings.platform;
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(shallotpost_edge::Settings {
        incarnation,
        http_listen: settings.http_address.parse().wrap_err("http_address must be IP:port")?,
        peer_listen: settings.peer_address.parse().wrap_err("peer_address must be IP:port")?,
        table_url: platform.table.clone(),
        object_url: platform.objects.clone(),
        list_url: platform.list.clone(),
        open_requests: settings.limits.open_requests,
        ..shallotpost_edge::Settings::loopback(&settings.host, &settings.data_centre, ephemeral)
    })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
