//! Updates the metrics from the effects and events exchanged between the kernel and the edge.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::{CallId, RequestId};
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::port::{Effect, Event, Failure, Observation};
use shallotpost_protocol::{table, worker};

use crate::metrics::{Direction, Lease, Metrics, Route};

/// Age after which a call is dropped because no answer is expected any more.
const CALL_AGE_MAX: Duration = Duration::from_secs(120);

enum OpenCall {
    /// A request of a caller, and whether it is a submission.
    Request(Route, bool),
    Table(table::Request),
    Worker(worker::Request),
}

/// Matches answers to calls and records their results and durations.
pub struct Observer {
    metrics: Arc<Metrics>,
    calls: HashMap<CallId, (Instant, OpenCall)>,
    requests: HashMap<RequestId, (Instant, OpenCall)>,
}

impl Observer {
    pub fn new(metrics: Arc<Metrics>) -> Observer {
        Observer { metrics, calls: HashMap::new(), requests: HashMap::new() }
    }

    /// Records an event before the kernel handles it.
    pub fn record_event(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Request { request, call } => {
                let is_submission = matches!(call.request, Request::Submit(_));
                self.requests.insert(
                    *request,
                    (now, OpenCall::Request(Route::from(&call.request), is_submission)),
                );
            }
            Event::Abandoned { request } => {
                self.requests.remove(request);
            }
            Event::Table { call, result } => {
                self.record_result(now, *call, result.as_ref().err().copied())
            }
            Event::Worker { call, result } => {
                self.record_result(now, *call, result.as_ref().err().copied())
            }
            Event::Peer { frame, .. } => self.metrics.count_peer_frame(Direction::Received, frame),
            Event::WorkerList { .. } | Event::Stop => {}
        }
    }

    /// Records an effect before it is executed.
    pub fn record_effect(&mut self, now: Instant, effect: &Effect) {
        match effect {
            Effect::Answer { request, result } => {
                let Some((started_at, OpenCall::Request(route, is_submission))) =
                    self.requests.remove(request)
                else {
                    return;
                };
                let problem = result.as_ref().err();
                self.metrics.record_request(
                    route,
                    problem.map(|problem| problem.kind),
                    now - started_at,
                );
                if let Some(problem) = problem.filter(|_| is_submission) {
                    self.metrics.record_refusal(problem);
                }
            }
            Effect::Table { call, request, .. } => {
                self.calls.insert(*call, (now, OpenCall::Table(request.clone())));
            }
            Effect::Worker { call, request, .. } => {
                self.calls.insert(*call, (now, OpenCall::Worker(request.clone())));
            }
            Effect::Peer { frame, .. } => self.metrics.count_peer_frame(Direction::Sent, frame),
            Effect::Observe(observation) => self.record_observation(observation),
            Effect::WorkerList { .. } | Effect::Log(_) | Effect::Stopped => {}
        }
    }

    fn record_result(&mut self, now: Instant, call: CallId, failure: Option<Failure>) {
        match self.calls.remove(&call) {
            Some((started_at, OpenCall::Table(request))) => {
                self.metrics.record_table_call(&request, failure, now - started_at)
            }
            Some((started_at, OpenCall::Worker(request))) => {
                self.metrics.record_worker_call(&request, failure, now - started_at)
            }
            _ => {}
        }
    }

    fn record_observation(&self, observation: &Observation) {
        match observation {
            Observation::Shard(load) => self.metrics.set_shard_load(load),
            Observation::ShardLost(shard) => self.metrics.remove_shard(shard),
            Observation::Waited { class, waiting } => self.metrics.record_wait(*class, *waiting),
            Observation::TableReachable(reachable) => self.metrics.set_table_reachable(*reachable),
            Observation::Configuration { revision, lease_left } => {
                self.metrics.set_configuration_revision(*revision);
                self.metrics.set_lease_left(Lease::Configuration, *lease_left);
            }
            Observation::OwnershipLease(left) => {
                self.metrics.set_lease_left(Lease::Ownership, *left)
            }
        }
    }

    /// Drops calls that have been open for longer than [`CALL_AGE_MAX`].
    pub fn drop_expired(&mut self, now: Instant) {
        self.calls.retain(|_, (started_at, _)| now - *started_at < CALL_AGE_MAX);
        self.requests.retain(|_, (started_at, _)| now - *started_at < CALL_AGE_MAX);
    }
}
