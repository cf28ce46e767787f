//! The interface of a service to the kernel while it handles a message: the time, and what the service sends.

use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::{table, worker};
use strum::IntoEnumIterator;

use crate::prelude::*;

/// Number of low bits of a call id that identify the service that made the call.
const SERVICE_BITS: u32 = 8;

/// Carries the time of one message, and collects the messages and effects that the service produces.
#[derive(Debug)]
pub struct Context {
    /// Monotonic time, fixed while the message is handled.
    pub now: Instant,
    /// Wall-clock time in milliseconds since the Unix epoch. Only for records and the expiry of keys, never for leases.
    pub unix_ms: u64,
    /// Messages to deliver, in order.
    pub messages: Vec<(ServiceName, Message)>,
    /// Effects to perform, in order.
    pub effects: Vec<Effect>,
    name: ServiceName,
    next_call: u64,
}

impl Context {
    /// Creates the context for one message to the service `name`. `next_call` comes from [`Context::next_call`] of the
    /// previous context, so that call ids stay unique.
    pub fn new(name: ServiceName, now: Instant, unix_ms: u64, next_call: u64) -> Context {
        Context { now, unix_ms, messages: Vec::new(), effects: Vec::new(), name, next_call }
    }

    /// Returns the call counter to pass to the next context.
    pub fn next_call(&self) -> u64 {
        self.next_call
    }

    pub fn send(&mut self, to: ServiceName, message: Message) {
        self.messages.push((to, message));
    }

    /// Sends a message to every service except the current one.
    pub fn broadcast(&mut self, message: Message) {
        for name in ServiceName::iter().filter(|name| *name != self.name) {
            self.messages.push((name, message.clone()));
        }
    }

    /// Sends the answer to a request to the router, which delivers it to `origin`.
    pub fn answer(&mut self, origin: Origin, result: Result<Reply, Problem>) {
        self.send(ServiceName::Router, Message::Answer { origin, result });
    }

    /// Calls the table service. The result arrives as [`Message::TableResult`].
    pub fn call_table(&mut self, request: table::Request, timeout: Duration) -> CallId {
        let call = self.allocate_call();
        self.effects.push(Effect::Table { call, request, timeout });
        call
    }

    /// Calls a worker. The result arrives as [`Message::WorkerResult`].
    pub fn call_worker(
        &mut self,
        worker: WorkerId,
        address: Address,
        request: worker::Request,
        timeout: Duration,
    ) -> CallId {
        let call = self.allocate_call();
        self.effects.push(Effect::Worker { call, worker, address, request, timeout });
        call
    }

    /// Reads the worker list. The result arrives as [`Message::WorkerListResult`].
    pub fn call_worker_list(&mut self, timeout: Duration) -> CallId {
        let call = self.allocate_call();
        self.effects.push(Effect::WorkerList { call, timeout });
        call
    }

    pub fn log(&mut self, level: Level, event: &'static str, fields: Vec<(&'static str, String)>) {
        self.effects.push(Effect::Log(Log { level, event, fields }));
    }

    /// Records a measurement for the metrics.
    pub fn observe(&mut self, observation: Observation) {
        self.effects.push(Effect::Observe(observation));
    }

    fn allocate_call(&mut self) -> CallId {
        self.next_call += 1;
        (self.next_call << SERVICE_BITS) | self.name as u64
    }
}

/// Returns the service that made a call, or `None` if the id names no service.
pub fn calling_service(call: CallId) -> Option<ServiceName> {
    ServiceName::from_repr((call & ((1 << SERVICE_BITS) - 1)) as u8)
}
