//! Distribution of approval calls over the entry hosts.
//!
//! The approving service handles one call at a time for each calling machine, so calls are spread over all of them.

use crate::message::Message;
use crate::port::{ApprovalRequest, HostName};
use crate::prelude::*;

/// Most calls at one host. The second one hides the time between two calls.
const CALLS_MAX: usize = 2;

/// Time that a call may take beyond twice what the queue's terms say: delays of the network and of busy hosts.
const SLACK: Duration = Duration::from_millis(400);

/// Time by which the result of a relayed call may come later than the call's timeout.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Pause for a host after a call that failed or had no result. A cut-off host fails at once and has the least load, so
/// without the pause it would get most calls. Beats tell within this time that a peer is out of reach.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// A host that can call for approval.
#[derive(Debug, Default)]
struct Approver {
    address: String,
    calls: BTreeMap<CallId, Duration>,
    /// No calls before this moment.
    paused_until: Uptime,
}

impl Approver {
    fn is_free(&self, now: Uptime) -> bool {
        self.calls.len() < CALLS_MAX && self.paused_until <= now
    }

    fn load(&self) -> Duration {
        self.calls.values().sum()
    }
}

/// The hosts that call for approval.
#[derive(Debug)]
pub struct Approvers {
    own: HostName,
    hosts: BTreeMap<HostName, Approver>,
}

impl Approvers {
    /// Only this host.
    pub fn new(own: HostName) -> Approvers {
        let hosts = BTreeMap::from([(own.clone(), Approver::default())]);
        Approvers { own, hosts }
    }

    /// Replaces the other hosts.
    pub fn set_peers(&mut self, peers: &[(HostName, String)]) {
        self.hosts
            .retain(|name, _| *name == self.own || peers.iter().any(|(peer, _)| peer == name));
        for (name, address) in peers {
            self.hosts.entry(name.clone()).or_default().address.clone_from(address);
        }
    }

    /// Whether a host can take a call.
    pub fn is_available(&self, now: Uptime) -> bool {
        self.hosts.values().any(|host| host.is_free(now))
    }

    /// Sends a call through the host that is free first. Returns when the call is to be given up, or `None` where no host
    /// is free.
    pub fn send(
        &mut self,
        call: CallId,
        request: ApprovalRequest,
        duration: Duration,
        now: Uptime,
        outputs: &mut Vec<Output>,
    ) -> Option<Uptime> {
        let free = self.hosts.iter_mut().filter(|(_, host)| host.is_free(now));
        let (name, host) = free.min_by_key(|(_, host)| (host.load(), host.calls.len()))?;
        let timeout = host.load() + duration * 2 + SLACK;
        host.calls.insert(call, duration);
        outputs.push(match *name == self.own {
            true => Output::Approval { call, request, timeout },
            false => Output::Peer {
                to: name.clone(),
                address: host.address.clone(),
                message: Message::ApprovalCall { call, request, timeout },
            },
        });
        Some(now + timeout + RELAY_DELAY)
    }

    /// A call has ended with a result.
    pub fn end(&mut self, call: CallId) {
        for host in self.hosts.values_mut() {
            host.calls.remove(&call);
        }
    }

    /// A call has failed, or is given up.
    pub fn fail(&mut self, call: CallId, now: Uptime) {
        for host in self.hosts.values_mut() {
            if host.calls.remove(&call).is_some() {
                host.paused_until = now + FAILURE_PAUSE;
            }
        }
    }
}
