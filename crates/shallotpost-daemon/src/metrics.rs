//! Metrics of one entry host, in the text format of Prometheus.
//!
//! docs/operating.md describes each metric: its unit, what a bad value means and what to do about it. Label values come
//! from closed sets or from configured names, so the number of series is bounded by the size of the deployment.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use shallotpost_protocol::identity::{Revision, Shard, TeamId};
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::problem::{Kind, Problem};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::{table, work, worker};
use strum::IntoStaticStr;

/// Upper bounds of the waiting time buckets, in seconds. Urgent work must start within 6.2 s.
const WAITING_BUCKET_SECONDS: [f64; 16] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 6.2, 15.0, 60.0, 300.0, 900.0, 3600.0,
    14400.0,
];

/// Upper bounds of the latency buckets, in seconds. The default timeout of a call is 2 s.
const LATENCY_BUCKET_SECONDS: [f64; 10] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.0, 10.0];

/// Labels of the dimensions of a size, in the order of `Size::parts`.
const DIMENSIONS: [&str; 4] = ["processors_milli", "memory_mib", "accelerators", "slots"];

/// Route of a request, used as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Route {
    /// `POST /v1/work`.
    Submit,
    /// `GET /v1/work/<team>/<id>`.
    Status,
    /// `GET /v1/work/<team>/<id>/wait`.
    Wait,
    /// `POST /v1/work/<team>/<id>/cancel`.
    Cancel,
    /// `GET /v1/work/<team>/<id>/explain`.
    Explain,
    /// `GET /v1/work/<team>`.
    List,
    /// `GET` or `PUT /v1/objects/<team>/<name>`.
    Object,
    /// `GET` of resources.
    Get,
    /// `PUT` or `DELETE` of resources.
    Change,
    /// `GET /v1/watch`.
    Watch,
    /// `GET /v1/force/<revision>`.
    #[strum(serialize = "force")]
    Propagation,
    /// `GET /v1/audit`.
    Audit,
    /// `GET /v1/status`.
    Overview,
    /// `GET /v1/workers`.
    Workers,
    /// `GET /readyz`.
    Ready,
    /// Requests that the edge answers itself, such as `/metrics` and unknown paths.
    Other,
}

impl From<&Request> for Route {
    fn from(request: &Request) -> Route {
        match request {
            Request::Submit(_) => Route::Submit,
            Request::Status(_) => Route::Status,
            Request::Wait { .. } => Route::Wait,
            Request::Cancel(_) => Route::Cancel,
            Request::Explain(_) => Route::Explain,
            Request::List { .. } => Route::List,
            Request::Object { .. } => Route::Object,
            Request::Get { .. } | Request::Resources { .. } => Route::Get,
            Request::Put { .. } | Request::Delete { .. } => Route::Change,
            Request::Watch { .. } => Route::Watch,
            Request::Propagation(_) => Route::Propagation,
            Request::Audit { .. } => Route::Audit,
            Request::Overview => Route::Overview,
            Request::Workers { .. } => Route::Workers,
            Request::Ready => Route::Ready,
        }
    }
}

/// A lease held by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Lease {
    /// The lease on all shards that this host owns.
    Ownership,
    /// The lease on the configuration.
    Configuration,
}

/// Target of a retried call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Target {
    Table,
    Objects,
    List,
    Worker,
    Peer,
}

/// Direction of a peer frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    Received,
    Sent,
}

/// Current values of the observable gauges. Removing a value ends its series.
#[derive(Default)]
struct State {
    shards: BTreeMap<Shard, Load>,
    share_distances: BTreeMap<TeamId, f64>,
    leases: BTreeMap<Lease, Duration>,
    freshness_age: Option<Duration>,
}

/// Metrics of this process. It can be shared between threads.
pub struct Metrics {
    registry: Registry,
    state: Arc<Mutex<State>>,
    requests: Counter<u64>,
    request_time: Histogram<f64>,
    refusals: Counter<u64>,
    waiting_time: Histogram<f64>,
    table_calls: Counter<u64>,
    table_time: Histogram<f64>,
    worker_calls: Counter<u64>,
    worker_time: Histogram<f64>,
    peer_frames: Counter<u64>,
    retries: Counter<u64>,
    revision: Gauge<u64>,
    pending: Gauge<u64>,
    table_reachable: Gauge<u64>,
    /// Keeps the instruments registered with the exporter.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all instruments, without any samples.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Metrics, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("shallotpost")
            .without_target_info()
            .without_units()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("shallotpost");
        let state = Arc::new(Mutex::new(State::default()));
        observe_shards(&meter, &state);
        observe_leases(&meter, &state);
        Ok(Metrics {
            requests: counter(&meter, "requests", "Requests by route and result."),
            request_time: latency(&meter, "request_seconds", "Time to answer a request by route."),
            refusals: counter(&meter, "refusals", "Refused submissions by reason."),
            waiting_time: histogram(
                &meter,
                "waiting_seconds",
                "Time from admission to the first start by class.",
                &WAITING_BUCKET_SECONDS,
            ),
            table_calls: counter(
                &meter,
                "table_calls",
                "Calls to the table by operation and result.",
            ),
            table_time: latency(&meter, "table_seconds", "Time of calls to the table."),
            worker_calls: counter(
                &meter,
                "worker_calls",
                "Calls to workers by operation and result.",
            ),
            worker_time: latency(&meter, "worker_seconds", "Time of calls to workers."),
            peer_frames: counter(&meter, "peer_frames", "Frames between entry hosts."),
            retries: counter(&meter, "retries", "Repeated calls by target."),
            revision: gauge(&meter, "configuration_revision", "Applied configuration revision."),
            pending: gauge(&meter, "configuration_pending", "Changes that are not yet in force."),
            table_reachable: gauge(&meter, "table_reachable", "1 while the table answers, else 0."),
            registry,
            state,
            _provider: provider,
        })
    }

    /// Records an answered request; `problem` is the kind of failure, if any.
    pub fn record_request(&self, route: Route, problem: Option<Kind>, duration: Duration) {
        let result = problem.map_or("ok", <&str>::from);
        self.requests.add(1, &[label("route", route), KeyValue::new("result", result)]);
        self.request_time.record(duration.as_secs_f64(), &[label("route", route)]);
    }

    /// Counts a refused submission.
    pub fn record_refusal(&self, problem: &Problem) {
        let not_run = KeyValue::new("not_run", problem.not_run);
        self.refusals.add(1, &[label("reason", problem.kind), not_run]);
    }

    /// Records the time from the admission of work to the first start of a task.
    pub fn record_wait(&self, class: work::Class, waiting: Duration) {
        let class = KeyValue::new("class", class.name());
        self.waiting_time.record(waiting.as_secs_f64(), &[class]);
    }

    /// Sets the load of an owned shard, which replaces its previous load.
    pub fn set_shard_load(&self, load: &Load) {
        self.lock().shards.insert(load.shard.clone(), load.clone());
    }

    /// Ends the series of a shard that this host no longer owns.
    pub fn remove_shard(&self, shard: &Shard) {
        self.lock().shards.remove(shard);
    }

    /// Sets the difference between a team's dominant usage and its share, from -1 (the team gets nothing of its share) to 1
    /// (it borrows everything).
    pub fn set_share_distance(&self, team: &str, distance: f64) {
        self.lock().share_distances.insert(team.to_owned(), distance);
    }

    /// Ends the series of a deleted team.
    pub fn remove_team(&self, team: &str) {
        self.lock().share_distances.remove(team);
    }

    /// Records the result and the duration of a call to the table service.
    pub fn record_table_call(
        &self,
        call: &table::Request,
        failure: Option<Failure>,
        duration: Duration,
    ) {
        let operation = KeyValue::new("operation", table_operation(call));
        self.table_calls.add(1, &[operation.clone(), result(failure)]);
        self.table_time.record(duration.as_secs_f64(), &[operation]);
    }

    pub fn set_table_reachable(&self, reachable: bool) {
        self.table_reachable.record(u64::from(reachable), &[]);
    }

    /// Records the result and the duration of a call to a worker.
    pub fn record_worker_call(
        &self,
        call: &worker::Request,
        failure: Option<Failure>,
        duration: Duration,
    ) {
        let operation = KeyValue::new("operation", worker_operation(call));
        self.worker_calls.add(1, &[operation.clone(), result(failure)]);
        self.worker_time.record(duration.as_secs_f64(), &[operation]);
    }

    pub fn count_peer_frame(&self, direction: Direction, frame: &Frame) {
        let kind = KeyValue::new("kind", frame_kind(frame));
        self.peer_frames.add(1, &[label("direction", direction), kind]);
    }

    /// Sets the remaining time of a lease; zero if it has expired or is not held.
    pub fn set_lease_left(&self, lease: Lease, left: Duration) {
        self.lock().leases.insert(lease, left);
    }

    pub fn set_configuration_revision(&self, revision: Revision) {
        self.revision.record(revision, &[]);
    }

    /// Sets the number of configuration changes that are committed but not yet in force.
    pub fn set_configuration_pending(&self, changes: usize) {
        self.pending.record(changes as u64, &[]);
    }

    /// Sets the time since the configuration was last confirmed as current; `None` before the first confirmation.
    pub fn set_freshness_age(&self, age: Option<Duration>) {
        self.lock().freshness_age = age;
    }

    pub fn count_retry(&self, target: Target) {
        self.retries.add(1, &[label("target", target)]);
    }

    /// Renders all metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8(text).unwrap_or_default(),
            Err(_) => String::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

/// Locks the state. A poisoned lock is still usable, because each change is a single insertion or removal.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn observe_shards(meter: &Meter, state: &Arc<Mutex<State>>) {
    type Count = fn(&Load) -> u64;
    let counts: [(&str, &str, Count); 4] = [
        ("tasks_waiting", "Tasks that wait by shard.", |load| load.waiting_tasks),
        ("tasks_running", "Tasks that run by shard.", |load| load.running_tasks),
        ("workers", "Workers by shard.", |load| load.workers),
        ("workers_silent", "Workers that do not answer by shard.", |load| load.silent_workers),
    ];
    for (name, description, count) in counts {
        let state = Arc::clone(state);
        let callback = move |observer: &dyn AsyncInstrument<u64>| {
            for load in lock(&state).shards.values() {
                observer.observe(count(load), &[shard_label(load)]);
            }
        };
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(callback)
            .build();
    }
    type Amount = fn(&Load) -> Size;
    let sizes: [(&str, &str, Amount); 3] = [
        ("capacity", "Capacity of workers that take work.", |load| load.capacity),
        ("booked", "Booked part of the capacity.", |load| load.booked),
        ("demand", "Size of all waiting tasks.", |load| load.waiting),
    ];
    for (name, description, size) in sizes {
        let state = Arc::clone(state);
        let callback = move |observer: &dyn AsyncInstrument<u64>| {
            for load in lock(&state).shards.values() {
                for (dimension, amount) in DIMENSIONS.into_iter().zip(size(load).parts()) {
                    let dimension = KeyValue::new("dimension", dimension);
                    observer.observe(amount, &[shard_label(load), dimension]);
                }
            }
        };
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(callback)
            .build();
    }
    let teams = Arc::clone(state);
    meter
        .f64_observable_gauge("share_distance")
        .with_description("Dominant usage of a team less its share, by team.")
        .with_callback(move |observer| {
            for (team, distance) in &lock(&teams).share_distances {
                observer.observe(*distance, &[KeyValue::new("team", team.clone())]);
            }
        })
        .build();
}

fn observe_leases(meter: &Meter, state: &Arc<Mutex<State>>) {
    let leases = Arc::clone(state);
    meter
        .f64_observable_gauge("lease_left_seconds")
        .with_description("Time left of a lease; 0 once it has lapsed.")
        .with_callback(move |observer| {
            for (lease, left) in &lock(&leases).leases {
                observer.observe(left.as_secs_f64(), &[label("lease", *lease)]);
            }
        })
        .build();
    let freshness = Arc::clone(state);
    meter
        .f64_observable_gauge("configuration_freshness_age_seconds")
        .with_description("Time since the configuration was known to be current.")
        .with_callback(move |observer| {
            if let Some(age) = lock(&freshness).freshness_age {
                observer.observe(age.as_secs_f64(), &[]);
            }
        })
        .build();
}

fn shard_label(load: &Load) -> KeyValue {
    KeyValue::new("shard", load.shard.to_string())
}

fn label<T: Into<&'static str>>(name: &'static str, value: T) -> KeyValue {
    KeyValue::new(name, value.into())
}

fn result(failure: Option<Failure>) -> KeyValue {
    let text = match failure {
        None => "ok",
        Some(Failure::NotSent) => "not_sent",
        Some(Failure::Ambiguous) => "ambiguous",
        Some(Failure::Rejected) => "rejected",
    };
    KeyValue::new("result", text)
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

fn latency(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    histogram(meter, name, description, &LATENCY_BUCKET_SECONDS)
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter.f64_histogram(name).with_description(description).with_boundaries(bounds.to_vec()).build()
}

fn table_operation(call: &table::Request) -> &'static str {
    match call {
        table::Request::Read { .. } => "read",
        table::Request::Scan { .. } => "scan",
        table::Request::Transact { .. } => "transact",
    }
}

fn worker_operation(call: &worker::Request) -> &'static str {
    match call {
        worker::Request::Claim { .. } => "claim",
        worker::Request::Start { .. } => "start",
        worker::Request::Stop { .. } => "stop",
        worker::Request::Sync { .. } => "sync",
    }
}

fn frame_kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello { .. } => "hello",
        Frame::Ping { .. } => "ping",
        Frame::Pong(_) => "pong",
        Frame::Admitted { .. } => "admitted",
        Frame::Forward { .. } => "forward",
        Frame::ForwardReply { .. } => "forwarded",
        Frame::AskChanges { .. } => "ask_changes",
        Frame::Fleet(_) => "fleet",
        Frame::Changes { .. } => "changes",
    }
}
