//! The kernel: runs each service as a `stakker` actor and routes events and messages to it by name.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use shallotpost_protocol::wire::Frame;
use stakker::{ActorOwn, CX, Fwd, Stakker, actor, fwd_to, ret_nop};
use strum::IntoEnumIterator;

use crate::context::calling_service;
use crate::prelude::*;
use crate::service::Service;

/// Interval of [`Message::Tick`].
pub const TICK: Duration = Duration::from_millis(10);

/// State shared by all service actors.
#[derive(Default)]
struct Registry {
    services: RefCell<BTreeMap<ServiceName, Fwd<Message>>>,
    effects: RefCell<Vec<Effect>>,
    next_call: Cell<u64>,
    unix_ms: Cell<u64>,
}

impl Registry {
    fn send(&self, to: ServiceName, message: Message) {
        if let Some(service) = self.services.borrow().get(&to) {
            service.fwd(message);
        }
    }
}

struct ServiceActor {
    name: ServiceName,
    service: Service,
    registry: Rc<Registry>,
}

impl ServiceActor {
    fn init(
        _: CX![],
        name: ServiceName,
        service: Service,
        registry: Rc<Registry>,
    ) -> Option<ServiceActor> {
        Some(ServiceActor { name, service, registry })
    }

    fn receive(&mut self, cx: CX![], message: Message) {
        let mut context = Context::new(
            self.name,
            cx.now(),
            self.registry.unix_ms.get(),
            self.registry.next_call.get(),
        );
        self.service.handle(&mut context, message);
        self.registry.next_call.set(context.next_call());
        self.registry.effects.borrow_mut().append(&mut context.effects);
        for (to, message) in context.messages {
            self.registry.send(to, message);
        }
    }
}

/// Runs the services of one daemon. It reads no clock: each call passes in the monotonic and the wall-clock time.
///
/// The caller delivers events, calls [`Kernel::advance`] when [`Kernel::next_tick`] is due, and performs the effects
/// that [`Kernel::take_effects`] returns.
pub struct Kernel {
    stakker: Stakker,
    registry: Rc<Registry>,
    _services: Vec<ActorOwn<ServiceActor>>,
    next_tick: Instant,
}

impl Kernel {
    /// Starts all services at `now`.
    pub fn new(settings: &Settings, now: Instant, unix_ms: u64) -> Kernel {
        let mut stakker = Stakker::new(now);
        let registry = Rc::new(Registry::default());
        registry.unix_ms.set(unix_ms);
        let services = ServiceName::iter()
            .map(|name| start_service(&mut stakker, &registry, name, settings))
            .collect();
        stakker.run(now, false);
        Kernel { stakker, registry, _services: services, next_tick: now }
    }

    /// Routes an event to its service and runs until no message is left.
    pub fn deliver(&mut self, now: Instant, unix_ms: u64, event: Event) {
        self.registry.unix_ms.set(unix_ms);
        // Messages see the time of the run that executes them, so the time must advance before they are queued.
        self.stakker.run(now, false);
        route(&self.registry, event);
        self.stakker.run(now, false);
    }

    /// Sends a tick to all services if one is due.
    pub fn advance(&mut self, now: Instant, unix_ms: u64) {
        self.registry.unix_ms.set(unix_ms);
        self.stakker.run(now, false);
        if now >= self.next_tick {
            // A single tick suffices after a pause of any length: services compare times and do not count ticks.
            self.next_tick = now + TICK;
            ServiceName::iter().for_each(|name| self.registry.send(name, Message::Tick));
            self.stakker.run(now, false);
        }
    }

    pub fn next_tick(&self) -> Instant {
        self.next_tick
    }

    /// Returns the effects produced since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.registry.effects.take()
    }
}

fn start_service(
    stakker: &mut Stakker,
    registry: &Rc<Registry>,
    name: ServiceName,
    settings: &Settings,
) -> ActorOwn<ServiceActor> {
    let service = Service::new(name, settings);
    let actor = actor!(stakker, ServiceActor::init(name, service, Rc::clone(registry)), ret_nop!());
    let forward = fwd_to!([actor], receive() as (Message));
    registry.services.borrow_mut().insert(name, forward);
    actor
}

fn route(registry: &Registry, event: Event) {
    match event {
        Event::Request { request, call } => {
            registry.send(ServiceName::Router, Message::Request { request, call })
        }
        Event::Abandoned { request } => {
            registry.send(ServiceName::Router, Message::Abandoned { request })
        }
        Event::Table { call, result } => {
            deliver_result(registry, call, Message::TableResult { call, result })
        }
        Event::Worker { call, result } => {
            deliver_result(registry, call, Message::WorkerResult { call, result })
        }
        Event::WorkerList { call, result } => {
            deliver_result(registry, call, Message::WorkerListResult { call, result })
        }
        // Job fleets are a separate kind of deployment; no service here handles their frames.
        Event::Peer { frame: Frame::Fleet(_), .. } => {}
        Event::Peer { from, frame } => {
            registry.send(frame_receiver(&frame), Message::PeerFrame { from, frame })
        }
        Event::Stop => ServiceName::iter().for_each(|name| registry.send(name, Message::Stop)),
    }
}

fn deliver_result(registry: &Registry, call: CallId, message: Message) {
    if let Some(name) = calling_service(call) {
        registry.send(name, message);
    }
}

fn frame_receiver(frame: &Frame) -> ServiceName {
    match frame {
        Frame::Hello { .. } | Frame::Ping { .. } | Frame::Pong(_) => ServiceName::Membership,
        Frame::Admitted { .. } => ServiceName::Scheduler,
        Frame::Forward { .. } | Frame::ForwardReply { .. } | Frame::Fleet(_) => ServiceName::Router,
        Frame::AskChanges { .. } | Frame::Changes { .. } => ServiceName::Configuration,
    }
}
