//! Serves one worker over HTTP: `POST /` executes a worker call.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use shallotpost_protocol::identity::Epoch;
use shallotpost_protocol::worker::{Reply, Request};
use tiny_http::{Method, Request as HttpRequest};

use crate::fault::Fault;
use crate::hub::{Answer, Service, read_json};
use crate::worker::Worker;

/// Callback that receives the new value when the worker's `leaving` flag is set.
pub type OnLeaving = Box<dyn Fn(bool) + Send + Sync>;

/// A worker together with the waiting `sync` calls.
pub struct Host {
    state: Mutex<State>,
    changed: Condvar,
    on_leaving: OnLeaving,
}

struct State {
    worker: Worker,
    /// `Worker::changes` at the last answer that carried the state.
    reported: u64,
    stopped: bool,
}

impl Host {
    pub fn new(worker: Worker) -> Host {
        Host::with_on_leaving(worker, Box::new(|_| {}))
    }

    /// Like [`Host::new`], and calls `on_leaving` so that the worker list can be updated.
    pub fn with_on_leaving(worker: Worker, on_leaving: OnLeaving) -> Host {
        let state = State { worker, reported: 0, stopped: false };
        Host { state: Mutex::new(state), changed: Condvar::new(), on_leaving }
    }

    /// Reads or changes the worker directly, then wakes waiting `sync` calls.
    pub fn with<T>(&self, action: impl FnOnce(&mut Worker) -> T) -> T {
        let result = action(&mut self.lock().worker);
        self.changed.notify_all();
        result
    }

    /// Executes one call. A `Sync` blocks until the state changes or its wait is over.
    pub fn call(&self, request: &Request) -> Reply {
        let mut state = self.lock();
        let reported = state.reported;
        let reply = state.worker.handle(Instant::now(), request);
        self.changed.notify_all();
        match (request, reply) {
            (Request::Sync { epoch, wait, .. }, Reply::State(_)) => {
                self.wait(state, *epoch, reported, Instant::now() + *wait)
            }
            (_, reply) => {
                if matches!(reply, Reply::State(_)) {
                    state.reported = state.worker.changes;
                }
                reply
            }
        }
    }

    /// Waits until the state differs from the one reported before the call, or until `deadline`.
    fn wait(
        &self,
        mut state: MutexGuard<'_, State>,
        epoch: Epoch,
        reported: u64,
        deadline: Instant,
    ) -> Reply {
        loop {
            let now = Instant::now();
            let reply = state.worker.report(now, epoch);
            let changed = state.worker.changes > reported;
            if changed || now >= deadline || state.stopped || !matches!(reply, Reply::State(_)) {
                state.reported = state.worker.changes;
                return reply;
            }
            let next = state.worker.next_change().map_or(deadline, |next| next.min(deadline));
            // Waits at least a millisecond: a next change in the past would make this loop spin.
            let timeout = next.saturating_duration_since(now).max(Duration::from_millis(1));
            let waited = self.changed.wait_timeout(state, timeout);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for Host {
    fn handle(
        &self,
        method: &Method,
        path: &str,
        request: &mut HttpRequest,
        _: &dyn Fn() -> bool,
    ) -> Answer {
        match (method, path) {
            (Method::Post, "/") => match read_json(request) {
                Ok(call) => Answer::json(&self.call(&call)).with_label(traffic_label(&call)),
                Err(answer) => answer,
            },
            _ => Answer::error(404, "no such route"),
        }
    }

    fn apply_fault(&self, fault: &Fault) {
        self.with(|worker| {
            worker.leaving = fault.leaving.unwrap_or(worker.leaving);
            worker.fails_everything = fault.fails_everything.unwrap_or(worker.fails_everything);
            worker.fencing = fault.fencing.unwrap_or(worker.fencing);
            if fault.leaving.is_some() {
                worker.changes += 1;
            }
            if fault.restart == Some(true) {
                worker.restart();
            }
        });
        if let Some(leaving) = fault.leaving {
            (self.on_leaving)(leaving);
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}

fn traffic_label(call: &Request) -> &'static str {
    match call {
        Request::Claim { .. } => "worker_claim",
        Request::Start { .. } => "worker_start",
        Request::Stop { .. } => "worker_stop",
        Request::Sync { .. } => "worker_sync",
    }
}
