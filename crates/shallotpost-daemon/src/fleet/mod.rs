//! Entry host of a job fleet: connects the kernel to the platform's adapter and to its peers, on one thread.

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
use shallotpost_platform::server::{Later, Port, Shared, listen};
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

/// Interval of ticks. Leases, holds and retries are due at multiples of some hundred milliseconds.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which idle connections and suppressed log lines are looked at.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);

/// Time that a stopping process still serves: the balancer needs two missed checks, a second apart, to notice.
const SERVE_AFTER_STOP: Duration = Duration::from_millis(2300);

/// Part of the grace period after which a stopping process ends although requests are open.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Most inputs that are handled before the outputs of the first one are executed.
const INPUTS_PER_TURN: usize = 64;

type Inputs = mpsc::UnboundedSender<Input>;
type Answers = Rc<RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>>;

/// Runs an entry host until it is asked to stop.
///
/// # Errors
///
/// An address is taken, or a part cannot be set up.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    LocalSet::new()
        .block_on(&runtime, async move { Runtime::start(settings, &handle).await?.run().await })
}

/// State of the process.
struct Runtime {
    settings: Settings,
    kernel: Kernel,
    start: Instant,
    start_unix_ms: u64,
    inputs: Inputs,
    received: mpsc::UnboundedReceiver<Input>,
    client: Rc<Client>,
    peers: Peers,
    shared: Rc<Shared>,
    answers: Answers,
    metrics: Rc<Metrics>,
    logs: Writer,
    terminate: Signal,
    reload: Signal,
    housekeeping: Instant,
    /// When the kernel had nothing left to hand over.
    released: Option<Instant>,
    stopping: Option<Instant>,
}

impl Runtime {
    async fn start(settings: Settings, handle: &Handle) -> eyre::Result<Runtime> {
        let (inputs, received) = mpsc::unbounded_channel();
        let log_settings = LogSettings {
            level: Level::Info,
            repeat_limit: settings.log_lines_per_second,
            repeat_interval: Duration::from_secs(1),
        };
        let logs = Writer::standard_output(&log_settings).wrap_err("the log cannot be set up")?;
        let incarnation = rand::random();
        let peers = start_peers(&settings, incarnation, handle, inputs.clone())
            .wrap_err_with(|| format!("cannot listen on {}", settings.peer_address))?;
        let answers = Answers::default();
        let metrics = Rc::new(Metrics::new().wrap_err("the metrics cannot be set up")?);
        let shared = Rc::new(shared(&inputs, &answers, &metrics));
        let ports = [
            (settings.callers_address, Port::Callers),
            (settings.readiness_address, Port::Readiness),
            (settings.metrics_address, Port::Metrics),
        ];
        for (address, port) in ports {
            listen(address, port, Rc::clone(&shared))
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
        };
        let start = Instant::now();
        Ok(Runtime {
            kernel: Kernel::new(host_settings, start),
            settings,
            start,
            start_unix_ms: unix_ms(),
            inputs,
            received,
            client: Rc::new(Client::default()),
            peers,
            shared,
            answers,
            metrics,
            logs,
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
            housekeeping: start,
            released: None,
            stopping: None,
        })
    }

    async fn run(mut self) -> eyre::Result<()> {
        self.log("start", vec![("host", self.settings.host.clone())]);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = self.received.recv() => {
                    if let Some(input) = input {
                        self.deliver(input);
                    }
                    for _ in 0..INPUTS_PER_TURN {
                        let Ok(input) = self.received.try_recv() else { break };
                        self.deliver(input);
                    }
                }
                _ = ticks.tick() => {
                    self.deliver(Input::Tick);
                    self.keep_house();
                    if self.may_end() {
                        break;
                    }
                }
                _ = self.terminate.recv() => {
                    self.stopping.get_or_insert(Instant::now());
                    self.shared.stopping.set(true);
                    self.deliver(Input::Stop);
                }
                _ = self.reload.recv() => {
                    // Addresses and bounds of a host do not change while it runs.
                    let faults = settings_faults();
                    self.log("reload", vec![("faults", faults)]);
                }
            }
        }
        self.log("stop", vec![("open_requests", self.shared.requests.get().to_string())]);
        Ok(())
    }

    fn deliver(&mut self, input: Input) {
        let now = Instant::now();
        // Counted from the start, so that steps of the time of day do not move due times.
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
                    // A caller that has gone needs no answer.
                    let _ = sender.send(answer);
                }
            }
            Output::Peer { to, address, message } => {
                if let Ok(bytes) = encode(&message) {
                    self.peers.send(to, address, Frame::Fleet(bytes));
                }
            }
            Output::Store { call, request, timeout } => {
                let (client, inputs) = (Rc::clone(&self.client), self.inputs.clone());
                let metrics = Rc::clone(&self.metrics);
                let address = self.settings.platform.store;
                spawn_local(async move {
                    let sent = Instant::now();
                    let result = store::call(&client, address, &request, timeout).await;
                    if !matches!(request, StoreRequest::Feed { .. }) {
                        metrics.record(Timing::StoreCall, sent.elapsed());
                    }
                    let _ = inputs.send(Input::Store { call, result });
                });
            }
            Output::Worker { call, address, worker, fence, request, timeout } => {
                let (client, inputs) = (Rc::clone(&self.client), self.inputs.clone());
                let metrics = Rc::clone(&self.metrics);
                spawn_local(async move {
                    let sent = Instant::now();
                    let result =
                        worker::call(&client, &address, &worker, fence, &request, timeout).await;
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
            Output::Ready(ready) => self.shared.ready.set(ready),
            Output::Limits(limits) => self.shared.limits.set(limits),
            Output::Log(Log { event, fields }) => self.log(event, fields),
            Output::Count { counter, amount } => self.metrics.add(counter, amount),
            Output::Time { timing, duration } => self.metrics.record(timing, duration),
            Output::Stopped => self.released = Some(Instant::now()),
        }
    }

    /// Whether a stopping process has nothing left to do.
    fn may_end(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        let elapsed = since.elapsed();
        let grace = Duration::from_secs(self.settings.bounds.grace_seconds);
        let idle = self.released.is_some() && self.shared.requests.get() == 0;
        (idle && elapsed >= SERVE_AFTER_STOP) || elapsed + GRACE_MARGIN >= grace
    }

    fn keep_house(&mut self) {
        if self.housekeeping.elapsed() >= HOUSEKEEPING_INTERVAL {
            self.housekeeping = Instant::now();
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
    inputs: Inputs,
) -> std::io::Result<Peers> {
    let identity = Identity {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        listen: settings.peer_address,
    };
    let receiver = Arc::new(move |from, frame| {
        // Frames of other deployments and of other versions are dropped; their senders have timeouts.
        if let Frame::Fleet(bytes) = frame
            && let Ok(message) = decode(&bytes)
        {
            let _ = inputs.send(Input::Peer { from, message });
        }
    });
    Peers::start(identity, handle, receiver)
}

fn shared(inputs: &Inputs, answers: &Answers, metrics: &Rc<Metrics>) -> Shared {
    let (inputs, answers, metrics) = (inputs.clone(), Rc::clone(answers), Rc::clone(metrics));
    let page = Rc::clone(&metrics);
    let last = Cell::new(0);
    let handler = move |body: Request| -> Later {
        last.set(last.get() + 1);
        let request = last.get();
        let (sender, receiver) = oneshot::channel();
        answers.borrow_mut().insert(request, sender);
        let _ = inputs.send(Input::Request { request, body });
        let (metrics, received) = (Rc::clone(&metrics), Instant::now());
        Box::pin(async move {
            let answer = receiver.await.unwrap_or(Answer::Unknown);
            metrics.record(Timing::Request, received.elapsed());
            answer
        })
    };
    Shared {
        handler: Box::new(handler),
        limits: Cell::new(Limits::default()),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        connections: Cell::new(0),
        requests: Cell::new(0),
        metrics: Box::new(move || page.render()),
    }
}

/// What is wrong with the settings file at present; empty if nothing is.
fn settings_faults() -> String {
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
