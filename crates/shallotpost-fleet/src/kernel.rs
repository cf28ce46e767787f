//! Runs an entry host as a `stakker` actor. The caller supplies all times.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use stakker::{ActorOwn, CX, Stakker, actor, call, ret_nop};

use crate::host::{Host, Settings};
use crate::port::Input;
use crate::prelude::*;

/// State that the actor shares with its [`Kernel`].
#[derive(Default)]
struct Shared {
    outputs: RefCell<Vec<Output>>,
    unix_ms: Cell<u64>,
}

struct HostActor {
    host: Host,
    start: Instant,
    shared: Rc<Shared>,
}

impl HostActor {
    fn init(_: CX![], host: Host, start: Instant, shared: Rc<Shared>) -> Option<HostActor> {
        Some(HostActor { host, start, shared })
    }

    fn receive(&mut self, cx: CX![], input: Input) {
        let now = cx.now().saturating_duration_since(self.start);
        let outputs = self.host.handle(now, self.shared.unix_ms.get(), input);
        self.shared.outputs.borrow_mut().extend(outputs);
    }
}

/// Actor system with the actor of one entry host, driven by its caller.
pub struct Kernel {
    stakker: Stakker,
    actor: ActorOwn<HostActor>,
    shared: Rc<Shared>,
}

impl Kernel {
    /// Starts the host. `now` is time zero of its uptime.
    pub fn new(settings: Settings, now: Instant) -> Kernel {
        let mut stakker = Stakker::new(now);
        let shared = Rc::new(Shared::default());
        let host = Host::new(settings);
        let actor = actor!(stakker, HostActor::init(host, now, Rc::clone(&shared)), ret_nop!());
        stakker.run(now, false);
        Kernel { stakker, actor, shared }
    }

    /// Handles an input and returns the outputs, which the caller executes in order.
    pub fn deliver(&mut self, now: Instant, unix_ms: u64, input: Input) -> Vec<Output> {
        self.shared.unix_ms.set(unix_ms);
        // An actor call sees the time of the run that executes it, so the clock advances before the call is queued.
        self.stakker.run(now, false);
        call!([self.actor], receive(input));
        self.stakker.run(now, false);
        self.shared.outputs.take()
    }
}
