//! Runs an entry host as a `stakker` actor. All time comes from the caller.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use stakker::{ActorOwn, CX, Stakker, actor, call, ret_nop};

use crate::host::{Host, Settings};
use crate::port::Input;
use crate::prelude::*;

/// What the actor shares with its kernel.
#[derive(Default)]
struct Shared {
    outputs: RefCell<Vec<Output>>,
    unix_ms: Cell<u64>,
}

/// Actor that owns the host.
struct Service {
    host: Host,
    start: Instant,
    shared: Rc<Shared>,
}

impl Service {
    fn init(_: CX![], host: Host, start: Instant, shared: Rc<Shared>) -> Option<Service> {
        Some(Service { host, start, shared })
    }

    fn receive(&mut self, cx: CX![], input: Input) {
        let now = cx.now().saturating_duration_since(self.start);
        let outputs = self.host.handle(now, self.shared.unix_ms.get(), input);
        self.shared.outputs.borrow_mut().extend(outputs);
    }
}

/// The kernel of one entry host.
pub struct Kernel {
    stakker: Stakker,
    service: ActorOwn<Service>,
    shared: Rc<Shared>,
}

impl Kernel {
    /// Starts the host at `now`.
    pub fn new(settings: Settings, now: Instant) -> Kernel {
        let mut stakker = Stakker::new(now);
        let shared = Rc::new(Shared::default());
        let host = Host::new(settings);
        let service = actor!(stakker, Service::init(host, now, Rc::clone(&shared)), ret_nop!());
        stakker.run(now, false);
        Kernel { stakker, service, shared }
    }

    /// Handles an input and returns what is to be done.
    pub fn deliver(&mut self, now: Instant, unix_ms: u64, input: Input) -> Vec<Output> {
        self.shared.unix_ms.set(unix_ms);
        // Calls see the time of the run that executes them, so time must move before they are queued.
        self.stakker.run(now, false);
        call!([self.service], receive(input));
        self.stakker.run(now, false);
        self.shared.outputs.take()
    }
}
