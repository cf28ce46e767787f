//! Feeds the metrics from the effects and events that pass between the kernel and the edges.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::{CallId, RequestId};
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::port::{Effect, Event, Failure, Observation};
use shallotpost_protocol::{table, worker};

use crate::metrics::{Direction, Lease, Metrics, Route};

/// Longest time that a call stays open here, in case its answer never comes.
const OPEN_BOUND: Duration = Duration::from_secs(120);

/// A call that waits for its answer.
enum Open {
    Request(Route, bool),
    Table(table::Request),
    Worker(worker::Request),
}

/// Matches answers to their calls.
pub struct Observer {
    metrics: Arc<Metrics>,
    calls: HashMap<CallId, (Instant, Open)>,
    requests: HashMap<RequestId, (Instant, Open)>,
}

impl Observer {
    /// An observer without open calls.
    pub fn new(metrics: Arc<Metrics>) -> Observer {
        Observer { metrics, calls: HashMap::new(), requests: HashMap::new() }
    }

    /// Takes note of an event before the kernel gets it.
    pub fn event(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Request { request, call } => {
                let submission = matches!(call.request, Request::Submit(_));
                self.requests
                    .insert(*request, (now, Open::Request(Route::from(&call.request), submission)));
            }
            Event::Abandoned { request } => {
                self.requests.remove(request);
            }
            Event::Table { call, result } => {
                self.answered(now, *call, result.as_ref().err().copied())
            }
            Event::Worker { call, result } => {
                self.answered(now, *call, result.as_ref().err().copied())
            }
            Event::Peer { frame, .. } => self.metrics.peer_frame(Direction::Received, frame),
            Event::WorkerList { .. } | Event::Stop => {}
        }
    }

    /// Takes note of an effect before it is executed.
    pub fn effect(&mut self, now: Instant, effect: &Effect) {
        match effect {
            Effect::Answer { request, result } => {
                let Some((since, Open::Request(route, submission))) = self.requests.remove(request)
                else {
                    return;
                };
                let problem = result.as_ref().err();
                self.metrics.request(route, problem.map(|problem| problem.kind), now - since);
                if let Some(problem) = problem.filter(|_| submission) {
                    self.metrics.refusal(problem);
                }
            }
            Effect::Table { call, request, .. } => {
                self.calls.insert(*call, (now, Open::Table(request.clone())));
            }
            Effect::Worker { call, request, .. } => {
                self.calls.insert(*call, (now, Open::Worker(request.clone())));
            }
            Effect::Peer { frame, .. } => self.metrics.peer_frame(Direction::Sent, frame),
            Effect::Observe(observation) => self.observe(observation),
            Effect::WorkerList { .. } | Effect::Log(_) | Effect::Stopped => {}
        }
    }

    fn answered(&mut self, now: Instant, call: CallId, failure: Option<Failure>) {
        match self.calls.remove(&call) {
            Some((since, Open::Table(request))) => {
                self.metrics.table_call(&request, failure, now - since)
            }
            Some((since, Open::Worker(request))) => {
                self.metrics.worker_call(&request, failure, now - since)
            }
            _ => {}
        }
    }

    fn observe(&self, observation: &Observation) {
        match observation {
            Observation::Shard(load) => self.metrics.shard(load),
            Observation::ShardLost(shard) => self.metrics.shard_lost(shard),
            Observation::Waited { class, waiting } => self.metrics.waited(*class, *waiting),
            Observation::TableReachable(reachable) => self.metrics.table_reachable(*reachable),
            Observation::Configuration { revision, lease_left } => {
                self.metrics.configuration_revision(*revision);
                self.metrics.lease(Lease::Configuration, *lease_left);
            }
            Observation::OwnershipLease(left) => self.metrics.lease(Lease::Ownership, *left),
        }
    }

    /// Forgets calls whose answer never came.
    pub fn forget_old(&mut self, now: Instant) {
        self.calls.retain(|_, (since, _)| now - *since < OPEN_BOUND);
        self.requests.retain(|_, (since, _)| now - *since < OPEN_BOUND);
    }
}
