//! What a service sees of the kernel while it handles a message.

use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::{table, worker};
use strum::IntoEnumIterator;

use crate::prelude::*;

/// Low bits of a call id that hold the service that made the call.
const SERVICE_BITS: u32 = 8;

/// Time, and the collector of what the service wants done.
#[derive(Debug)]
pub struct Context {
    /// Monotonic time of this message.
    pub now: Instant,
    /// Wall-clock time, in milliseconds since the Unix epoch. For records and expiry of keys only, never for leases.
    pub unix_ms: u64,
    /// Messages to other services, in order.
    pub messages: Vec<(Name, Message)>,
    /// Effects, in order.
    pub effects: Vec<Effect>,
    name: Name,
    next_call: u64,
}

impl Context {
    /// A context for one message to `name`. `next_call` numbers its calls.
    pub fn new(name: Name, now: Instant, unix_ms: u64, next_call: u64) -> Context {
        Context { now, unix_ms, messages: Vec::new(), effects: Vec::new(), name, next_call }
    }

    /// Number of the next call; carry it over to the next context.
    pub fn next_call(&self) -> u64 {
        self.next_call
    }

    /// Sends a message to the service of this name.
    pub fn send(&mut self, to: Name, message: Message) {
        self.messages.push((to, message));
    }

    /// Sends a message to all other services.
    pub fn broadcast(&mut self, message: Message) {
        for name in Name::iter().filter(|name| *name != self.name) {
            self.messages.push((name, message.clone()));
        }
    }

    /// Answers a request.
    pub fn answer(&mut self, origin: Origin, result: Result<Reply, Problem>) {
        self.send(Name::Router, Message::Answer { origin, result });
    }

    /// Calls the table service; the answer comes as [`Message::Table`].
    pub fn call_table(&mut self, request: table::Request, timeout: Duration) -> CallId {
        let call = self.allocate_call();
        self.effects.push(Effect::Table { call, request, timeout });
        call
    }

    /// Calls a worker; the answer comes as [`Message::Worker`].
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

    /// Reads the worker list; the answer comes as [`Message::List`].
    pub fn call_list(&mut self, timeout: Duration) -> CallId {
        let call = self.allocate_call();
        self.effects.push(Effect::WorkerList { call, timeout });
        call
    }

    /// Logs an event.
    pub fn log(&mut self, level: Level, event: &'static str, fields: Vec<(&'static str, String)>) {
        self.effects.push(Effect::Log(Log { level, event, fields }));
    }

    /// Records a measurement.
    pub fn observe(&mut self, observation: Observation) {
        self.effects.push(Effect::Observe(observation));
    }

    fn allocate_call(&mut self) -> CallId {
        self.next_call += 1;
        (self.next_call << SERVICE_BITS) | self.name as u64
    }
}

/// The service that made a call.
pub fn caller(call: CallId) -> Option<Name> {
    Name::from_repr((call & ((1 << SERVICE_BITS) - 1)) as u8)
}
