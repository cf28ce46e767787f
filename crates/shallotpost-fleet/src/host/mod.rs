//! State machine of an entry host: it serves callers, applies the operator's settings, and schedules the jobs of the
//! fleet while it is the owner.

mod agents;
mod deferral;
mod freshness;
mod gateway;
mod operator;
mod owner;
mod owner_feeds;
mod ownership;
mod peers;
mod store;

use crate::message::Message;
use crate::port::{HostName, Input, Log};
use crate::prelude::*;
use crate::scheduler::{self, Bounds, Load, Scheduler};

use agents::Agents;
pub use freshness::Freshness;
use gateway::Gateway;
pub use gateway::OPEN_REQUESTS_MAX;
use operator::Operator;
use owner::Owner;
use ownership::Ownership;
use peers::Peer;
use store::StoreClient;

/// Time for which an owner may start tasks after its last successful commit. A successor waits for it before it
/// restarts tasks of workers that do not answer. Shorter outages of the store do not interrupt scheduling.
pub const OWNERSHIP_LEASE: Duration = Duration::from_secs(4);

/// Bits of a call's number below those that come from the incarnation of the process.
const CALL_NUMBER_BITS: u32 = 23;

/// Returns the number before the first one of a process's calls. Results of the calls that an earlier process of the same
/// host relayed through peers may still arrive, and must not match a call of this one.
fn call_before_first(incarnation: u64) -> CallId {
    // The highest bit stays free for the calls themselves.
    (incarnation << (CALL_NUMBER_BITS + 1)) >> 1
}

/// Identity of an entry host and limits of its platform.
#[derive(Clone, Debug)]
pub struct Settings {
    pub host: HostName,
    pub data_centre: String,
    /// Address at which peers reach this host.
    pub address: String,
    /// Processor capacity of this host, in thousandths of a core. Hosts with more capacity claim the ownership first.
    pub processors_milli: u64,
    /// Random number that identifies this process among those with the same host name.
    pub incarnation: u64,
    pub bounds: Bounds,
    pub freshness: Freshness,
}

/// Entry host. It does no I/O: [`Host::handle`] turns each input into outputs for the caller to carry out.
pub struct Host {
    settings: Settings,
    now: Uptime,
    unix_ms: u64,
    last_call: CallId,
    outputs: Vec<Output>,
    operator: Operator,
    peers: BTreeMap<HostName, Peer>,
    next_heartbeat: Uptime,
    store: StoreClient,
    agents: Agents,
    gateway: Gateway,
    ownership: Ownership,
    owner: Option<Owner>,
    ready: Option<bool>,
    stopping: Option<Uptime>,
    stopped: bool,
}

impl Host {
    /// Returns a host that has just started: it knows no configuration, peers or owner.
    pub fn new(settings: Settings) -> Host {
        Host {
            now: Uptime::ZERO,
            unix_ms: 0,
            last_call: call_before_first(settings.incarnation),
            operator: Operator::new(&settings.freshness),
            settings,
            outputs: Vec::new(),
            peers: BTreeMap::new(),
            next_heartbeat: Uptime::ZERO,
            store: StoreClient::default(),
            agents: Agents::default(),
            gateway: Gateway::default(),
            ownership: Ownership::default(),
            owner: None,
            ready: None,
            stopping: None,
            stopped: false,
        }
    }

    /// Handles an input and returns the outputs, in the order in which they must be carried out.
    ///
    /// `now` must not decrease between calls; `unix_ms` is the time of day in milliseconds since the Unix epoch.
    pub fn handle(&mut self, now: Uptime, unix_ms: u64, input: Input) -> Vec<Output> {
        self.now = now;
        self.unix_ms = unix_ms;
        self.agents.note_input(now);
        match input {
            Input::Tick => self.tick(),
            Input::Request { request, body } => self.request(request, body),
            Input::Peer { from, message } => self.peer_message(from, message),
            Input::Store { call, result } => self.store_result(call, result),
            Input::Worker { call, result } => self.worker_result(call, result),
            Input::Approval { call, result } => self.approval_result(call, result),
            Input::Stop => self.stop(),
        }
        self.commit_if_due();
        self.relay_worker_calls();
        std::mem::take(&mut self.outputs)
    }

    fn tick(&mut self) {
        self.expire_store_calls();
        self.probe_store();
        self.poll_operator_rows();
        self.decide_deferred_requests();
        self.discover_hosts();
        self.send_heartbeats();
        self.retry_requests();
        self.check_ownership();
        self.tick_owner();
        self.select_agents();
        self.expire_relayed_calls();
        self.with_scheduler(|scheduler, context| scheduler.tick(context));
        self.update_readiness();
        self.finish_stop();
    }

    /// Runs `run` on the scheduler if this host is the owner and has loaded the jobs and a configuration.
    fn with_scheduler(&mut self, run: impl FnOnce(&mut Scheduler, &mut scheduler::Context)) {
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.is_loaded()) else { return };
        let Some(configuration) = self.operator.configuration.as_ref() else { return };
        let deadline = owner.last_commit_sent + OWNERSHIP_LEASE;
        // The successor counts from the release, which may have taken effect.
        let latest_lease_end = match owner.is_release_sent() {
            true => self.now,
            false => deadline + self.settings.bounds.lease_max,
        };
        let mut context = scheduler::Context {
            now: self.now,
            unix_ms: self.unix_ms,
            configuration,
            evacuated: &self.operator.evacuated,
            last_call: &mut self.last_call,
            outputs: &mut self.outputs,
            may_start: self.now < deadline
                && owner.releasing_since.is_none()
                && owner.outdated(&self.operator, &self.settings.freshness).is_none(),
            jobs_known_until: self.now.saturating_sub(owner.jobs_watch.age(self.now)),
            latest_lease_end,
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

    fn update_readiness(&mut self) {
        let ready = self.operator.configuration.is_some()
            && self.stopping.is_none()
            && (self.store_is_reachable() || self.live_owner().is_some());
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
            self.update_readiness();
            self.next_heartbeat = self.now;
        }
    }

    /// Reports that the process may exit, once the ownership is released.
    fn finish_stop(&mut self) {
        if self.stopping.is_some() && self.owner.is_none() && !self.stopped {
            self.stopped = true;
            self.outputs.push(Output::Stopped);
        }
    }

    pub fn is_owner(&self) -> bool {
        self.owner.is_some()
    }

    /// Returns how much scheduling state this host holds; `None` if it is not the owner.
    pub fn load(&self) -> Option<Load> {
        self.owner.as_ref().map(|owner| owner.scheduler.load())
    }
}
