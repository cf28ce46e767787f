//! Entry host of a job fleet. Connects the kernel to the platform adapter and to the peers, on a single thread.

pub mod metrics;
pub mod settings;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::WrapErr;
use shallotpost_edge::peer::{Identity, Peers};
use shallotpost_fleet::configuration::Limits;
use shallotpost_fleet::host;
use shallotpost_fleet::kernel::Kernel;
use shallotpost_fleet::message::{decode, encode};
use shallotpost_fleet::port::{
    Answer, ApprovalError, Counter, Input, Log, Output, Request, RequestId, StoreRequest, Timing,
};
use shallotpost_fleet::worker::Call;
use shallotpost_platform::client::Client;
use shallotpost_platform::server::{AnswerFuture, Interface, ServerState, listen};
use shallotpost_platform::{approval, store, worker};
use shallotpost_protocol::port::{Level, Log as LogEvent};
use shallotpost_protocol::wire::Frame;
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval};

use crate::logs::Writer;
use crate::settings::Log as LogSettings;
use metrics::Metrics;
use settings::Settings;

/// Interval of the kernel's ticks. Lease renewals and retries are scheduled in steps of hundreds of milliseconds.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which idle connections are pruned and suppressed log lines are reported.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a stopping process keeps serving. The load balancer removes a host after two failed readiness checks,
/// which are one second apart.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2300);

/// Time before the end of the grace period at which a stopping process exits even if requests are in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of additional inputs handled per iteration, before ticks and signals are checked again.
const INPUTS_PER_ITERATION: usize = 64;

type InputSender = mpsc::UnboundedSender<Input>;
type PendingAnswers = Rc<RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>>;

/// Runs an entry host until it receives SIGTERM and has stopped.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or if logging, metrics or signal handlers cannot be set up.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    LocalSet::new()
        .block_on(&runtime, async move { Runtime::start(settings, &handle).await?.run().await })
}

/// State of the process: the kernel and the adapters that execute its outputs.
struct Runtime {
    settings: Settings,
    kernel: Kernel,
    start: Instant,
    start_unix_ms: u64,
    inputs: InputSender,
    input_receiver: mpsc::UnboundedReceiver<Input>,
    client: Rc<Client>,
    peers: Peers,
    server: Rc<ServerState>,
    answers: PendingAnswers,
    metrics: Rc<Metrics>,
    logs: Writer,
    terminate: Signal,
    reload: Signal,
    last_housekeeping: Instant,
    /// When the kernel reported that it has stopped.
    kernel_stopped_at: Option<Instant>,
    stop_requested_at: Option<Instant>,
}

impl Runtime {
    async fn start(settings: Settings, handle: &Handle) -> eyre::Result<Runtime> {
        let (inputs, input_receiver) = mpsc::unbounded_channel();
        let log_settings = LogSettings {
            level: Level::Info,
            repeat_limit: settings.log_lines_per_second,
            repeat_interval: Duration::from_secs(1),
        };
        let logs = Writer::standard_output(&log_settings).wrap_err("cannot set up the log")?;
        let incarnation = rand::random();
        let peers = start_peers(&settings, incarnation, handle, inputs.clone())
            .wrap_err_with(|| format!("cannot listen on {}", settings.peer_address))?;
        let answers = PendingAnswers::default();
        let metrics = Rc::new(Metrics::new().wrap_err("cannot set up the metrics")?);
        let server = Rc::new(server_state(&inputs, &answers, &metrics));
        let listeners = [
            (settings.callers_address, Interface::Callers),
            (settings.readiness_address, Interface::Readiness),
            (settings.metrics_address, Interface::Metrics),
        ];
        for (address, interface) in listeners {
            listen(address, interface, Rc::clone(&server))
                .await
                .wrap_err_with(|| format!("cannot listen on {address}; choose a free address"))?;
        }
        let host_settings = host::Settings {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.peer_address.to_string(),
            processors_milli: settings.processors_milli(),
            incarnation,
            bounds: settings.bounds.bounds(),
            freshness: settings.freshness.freshness(),
        };
        let start = Instant::now();
        Ok(Runtime {
            kernel: Kernel::new(host_settings, start),
            settings,
            start,
            start_unix_ms: unix_ms(),
            inputs,
            input_receiver,
            client: Rc::new(Client::default()),
            peers,
            server,
            answers,
            metrics,
            logs,
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            last_housekeeping: start,
            kernel_stopped_at: None,
            stop_requested_at: None,
        })
    }

    async fn run(mut self) -> eyre::Result<()> {
        self.log("start", vec![("host", self.settings.host.clone())]);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = self.input_receiver.recv() => {
                    if let Some(input) = input {
                        self.deliver(input);
                    }
                    for _ in 0..INPUTS_PER_ITERATION {
                        let Ok(input) = self.input_receiver.try_recv() else { break };
                        self.deliver(input);
                    }
                }
                _ = ticks.tick() => {
                    self.deliver(Input::Tick);
                    self.run_housekeeping();
                    if self.may_exit() {
                        break;
                    }
                }
                _ = self.terminate.recv() => {
                    self.stop_requested_at.get_or_insert(Instant::now());
                    self.server.stopping.set(true);
                    self.deliver(Input::Stop);
                }
                _ = self.reload.recv() => {
                    // The settings are only checked: a running host does not apply changed addresses or bounds.
                    let faults = current_settings_faults();
                    self.log("reload", vec![("faults", faults)]);
                }
            }
        }
        self.log("stop", vec![("open_requests", self.server.requests.get().to_string())]);
        Ok(())
    }

    fn deliver(&mut self, input: Input) {
        let now = Instant::now();
        // Derived from the monotonic clock, so that adjustments of the wall clock do not shift deadlines.
        let uptime = now.saturating_duration_since(self.start).as_millis();
        let unix_ms = self.start_unix_ms + u64::try_from(uptime).unwrap_or_default();
        for output in self.kernel.deliver(now, unix_ms, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Answer { request, answer } => {
                if let Some(sender) = self.answers.borrow_mut().remove(&request) {
                    // The receiver is gone if the caller has disconnected.
                    let _ = sender.send(answer);
                }
            }
            Output::Peer { to, address, message } => {
                if let Ok(bytes) = encode(&message) {
                    self.peers.send(to, address, Frame::Fleet(bytes));
                }
            }
            Output::Store { call, request, connection, timeout } => {
                let (client, inputs) = (Rc::clone(&self.client), self.inputs.clone());
                let metrics = Rc::clone(&self.metrics);
                let address = self.settings.platform.store;
                spawn_local(async move {
                    let sent = Instant::now();
                    let result = store::call(&client, address, &request, connection, timeout).await;
                    if !matches!(request, StoreRequest::Feed { .. }) {
                        metrics.record(Timing::StoreCall, sent.elapsed());
                    }
                    let _ = inputs.send(Input::Store { call, result });
                });
            }
            Output::Worker { call, address, worker, fence, request, connection, timeout } => {
                let (client, inputs) = (Rc::clone(&self.client), self.inputs.clone());
                let metrics = Rc::clone(&self.metrics);
                spawn_local(async move {
                    let sent = Instant::now();
                    let result = worker::call(
                        &client, &address, &worker, fence, &request, connection, timeout,
                    )
                    .await;
                    if matches!(request, Call::Start { .. } | Call::Stop { .. }) {
                        metrics.record(Timing::WorkerOrder, sent.elapsed());
                    }
                    let _ = inputs.send(Input::Worker { call, result });
                });
            }
            Output::Approval { call, request, timeout } => {
                let (client, inputs) = (Rc::clone(&self.client), self.inputs.clone());
                let metrics = Rc::clone(&self.metrics);
                let address = self.settings.platform.approval;
                spawn_local(async move {
                    let sent = Instant::now();
                    let result = match address {
                        Some(address) => approval::call(&client, address, &request, timeout).await,
                        None => Err(ApprovalError::Unanswered),
                    };
                    metrics.record(Timing::ApprovalCall, sent.elapsed());
                    let _ = inputs.send(Input::Approval { call, result });
                });
            }
            Output::Ready(ready) => self.server.ready.set(ready),
            Output::Limits(limits) => self.server.limits.set(limits),
            Output::Log(Log { event, fields }) => self.log(event, fields),
            Output::Count { counter, amount } => self.metrics.add(counter, amount),
            Output::Time { timing, duration } => self.metrics.record(timing, duration),
            Output::Stopped => self.kernel_stopped_at = Some(Instant::now()),
        }
    }

    /// Returns whether a stopping process may exit: it is idle and the load balancer has noticed, or the grace period ends.
    fn may_exit(&self) -> bool {
        let Some(since) = self.stop_requested_at else { return false };
        let elapsed = since.elapsed();
        let grace = Duration::from_secs(self.settings.bounds.grace_seconds);
        let idle = self.kernel_stopped_at.is_some() && self.server.requests.get() == 0;
        (idle && elapsed >= SERVE_AFTER_STOP) || elapsed + GRACE_MARGIN >= grace
    }

    fn run_housekeeping(&mut self) {
        if self.last_housekeeping.elapsed() >= HOUSEKEEPING_INTERVAL {
            self.last_housekeeping = Instant::now();
            self.client.prune();
            self.logs.report_suppressed(Instant::now(), SystemTime::now());
        }
    }

    fn log(&mut self, event: &'static str, fields: Vec<(&'static str, String)>) {
        let event = LogEvent { level: Level::Info, event, fields };
        self.logs.write(&event, Instant::now(), SystemTime::now());
        let dropped = self.logs.take_dropped();
        if dropped > 0 {
            self.metrics.add(Counter::LogLinesDropped, dropped);
        }
    }
}

fn start_peers(
    settings: &Settings,
    incarnation: u64,
    handle: &Handle,
    inputs: InputSender,
) -> std::io::Result<Peers> {
    let identity = Identity {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        listen: settings.peer_address,
    };
    let receiver = Arc::new(move |from, frame| {
        // Frames of other deployments or versions are dropped; their senders time out.
        if let Frame::Fleet(bytes) = frame
            && let Ok(message) = decode(&bytes)
        {
            let _ = inputs.send(Input::Peer { from, message });
        }
    });
    Peers::start(identity, handle, receiver)
}

fn server_state(
    inputs: &InputSender,
    answers: &PendingAnswers,
    metrics: &Rc<Metrics>,
) -> ServerState {
    let (inputs, answers, metrics) = (inputs.clone(), Rc::clone(answers), Rc::clone(metrics));
    let page = Rc::clone(&metrics);
    let last_request = Cell::new(0);
    let handler = move |body: Request| -> AnswerFuture {
        last_request.set(last_request.get() + 1);
        let request = last_request.get();
        let (sender, receiver) = oneshot::channel();
        answers.borrow_mut().insert(request, sender);
        let _ = inputs.send(Input::Request { request, body });
        let (metrics, received_at) = (Rc::clone(&metrics), Instant::now());
        Box::pin(async move {
            let answer = receiver.await.unwrap_or(Answer::Unknown);
            metrics.record(Timing::Request, received_at.elapsed());
            answer
        })
    };
    ServerState {
        handler: Box::new(handler),
        limits: Cell::new(Limits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        connections: Cell::new(0),
        requests: Cell::new(0),
        metrics: Box::new(move || page.render()),
    }
}

/// Reads the settings file again and returns its faults; empty if it has none.
fn current_settings_faults() -> String {
    let arguments: Vec<String> = std::env::args().collect();
    let path = arguments.windows(2).find(|pair| pair[0] == "--settings" || pair[0] == "-s");
    match path.map(|pair| settings::read(std::path::Path::new(&pair[1]))) {
        Some(Err(faults)) => faults.to_string(),
        Some(Ok(_)) | None => String::new(),
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
