//! An entry host: takes callers' requests, follows the operator's orders, and owns the fleet if it wins the ownership row.

mod gateway;
mod operator;
mod owner;
mod ownership;
mod peers;
mod reading;
mod store;

use crate::message::Message;
use crate::port::{HostName, Input, Log};
use crate::prelude::*;
use crate::scheduler::{self, Bounds, Scheduler};

use gateway::Gateway;
pub use gateway::OPEN_REQUESTS_MAX;
use operator::Operator;
use owner::Owner;
use ownership::Ownership;
use peers::Peer;
use store::StorePath;

/// Time for which an owner may start tasks after its last successful commit. A successor waits for it where a worker does
/// not answer; outages of the store that are shorter interrupt nothing.
pub const OWNERSHIP_LEASE: Duration = Duration::from_secs(4);

/// Identity and bounds of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name.
    pub host: HostName,
    /// Data centre.
    pub data_centre: String,
    /// Address for peers.
    pub address: String,
    /// Processor of this host, in thousandths of a core. Hosts with more of it own the fleet first.
    pub processors_milli: u64,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// Bounds of the platform.
    pub bounds: Bounds,
}

/// State of an entry host.
pub struct Host {
    settings: Settings,
    now: Uptime,
    unix_ms: u64,
    last_call: CallId,
    outputs: Vec<Output>,
    operator: Operator,
    peers: BTreeMap<HostName, Peer>,
    next_beat: Uptime,
    store: StorePath,
    gateway: Gateway,
    ownership: Ownership,
    owner: Option<Owner>,
    ready: Option<bool>,
    stopping: Option<Uptime>,
    stopped: bool,
}

impl Host {
    /// A host that has just started.
    pub fn new(settings: Settings) -> Host {
        Host {
            settings,
            now: Uptime::ZERO,
            unix_ms: 0,
            last_call: 0,
            outputs: Vec::new(),
            operator: Operator::default(),
            peers: BTreeMap::new(),
            next_beat: Uptime::ZERO,
            store: StorePath::default(),
            gateway: Gateway::default(),
            ownership: Ownership::default(),
            owner: None,
            ready: None,
            stopping: None,
            stopped: false,
        }
    }

    /// Handles an input and returns what is to be done.
    pub fn handle(&mut self, now: Uptime, unix_ms: u64, input: Input) -> Vec<Output> {
        self.now = now;
        self.unix_ms = unix_ms;
        match input {
            Input::Tick => self.tick(),
            Input::Request { request, body } => self.request(request, body),
            Input::Peer { from, message } => self.peer_message(from, message),
            Input::Store { call, result } => self.store_result(call, result),
            Input::Worker { call, result } => self.with_scheduler(|scheduler, context| {
                scheduler.worker_result(call, result, context);
                scheduler.run_round(context);
            }),
            Input::Approval { call, result } => self.approval_result(call, result),
            Input::Stop => self.stop(),
        }
        self.advance_owner();
        std::mem::take(&mut self.outputs)
    }

    fn tick(&mut self) {
        self.expire_store_calls();
        self.probe_store();
        self.follow_operator();
        self.follow_hosts();
        self.send_beats();
        self.retry_requests();
        self.follow_ownership();
        self.follow_as_owner();
        self.with_scheduler(|scheduler, context| scheduler.tick(context));
        self.report_ready();
        self.finish_stop();
    }

    /// Runs the scheduler if this host owns the fleet and has read the jobs.
    fn with_scheduler(&mut self, run: impl FnOnce(&mut Scheduler, &mut scheduler::Context)) {
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.is_loaded()) else { return };
        let Some(configuration) = self.operator.configuration.as_ref() else { return };
        let deadline = owner.confirmed + OWNERSHIP_LEASE;
        let mut context = scheduler::Context {
            now: self.now,
            unix_ms: self.unix_ms,
            configuration,
            evacuated: &self.operator.evacuated,
            last_call: &mut self.last_call,
            outputs: &mut self.outputs,
            may_start: self.now < deadline && owner.releasing.is_none(),
            latest_lease_end: deadline + self.settings.bounds.lease_max,
        };
        run(&mut owner.scheduler, &mut context);
    }

    fn allocate_call(&mut self) -> CallId {
        self.last_call += 1;
        self.last_call
    }

    fn log(&mut self, event: &'static str, fields: Vec<(&'static str, String)>) {
        self.outputs.push(Output::Log(Log { event, fields }));
    }

    fn send(&mut self, to: &HostName, message: Message) {
        if let Some(peer) = self.peers.get(to) {
            let address = peer.address.clone();
            self.outputs.push(Output::Peer { to: to.clone(), address, message });
        }
    }

    fn report_ready(&mut self) {
        let ready = self.operator.configuration.is_some()
            && self.stopping.is_none()
            && (self.store_is_reachable() || self.fresh_owner().is_some());
        if self.ready != Some(ready) {
            self.ready = Some(ready);
            self.outputs.push(Output::Ready(ready));
            self.log("readiness", vec![("ready", ready.to_string())]);
        }
    }

    fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            self.log("stopping", vec![("owner", self.owner.is_some().to_string())]);
            self.report_ready();
            self.next_beat = self.now;
        }
    }

    /// Ends the process once ownership is released.
    fn finish_stop(&mut self) {
        if self.stopping.is_some() && self.owner.is_none() && !self.stopped {
            self.stopped = true;
            self.outputs.push(Output::Stopped);
        }
    }

    /// Whether this host owns the fleet.
    pub fn is_owner(&self) -> bool {
        self.owner.is_some()
    }
}
