//! Distribution of approval calls over the entry hosts.
//!
//! The approval service handles one call at a time for each calling machine, so the calls are spread over all of them.

use crate::message::Message;
use crate::port::{ApprovalRequest, HostName};
use crate::prelude::*;

/// Maximum number of calls in flight at one host. The second one fills the gap between two calls.
const CALLS_MAX: usize = 2;

/// Margin of a call's timeout beyond twice its expected duration, for delays of the network and of busy hosts.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// Time by which the result of a relayed call may arrive after the call's timeout.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Pause for a host after a call that failed or timed out. Calls through a host that is cut off fail at once, so it has
/// the least load and would get most calls without the pause. Heartbeats show within this time that a peer is
/// unreachable.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// A host that can call the approval service.
#[derive(Debug, Default)]
struct Approver {
    address: String,
    calls: BTreeMap<CallId, Duration>,
    /// Earliest time of the next call.
    paused_until: Uptime,
}

impl Approver {
    fn is_free(&self, now: Uptime) -> bool {
        self.calls.len() < CALLS_MAX && self.paused_until <= now
    }

    fn load(&self) -> Duration {
        self.calls.values().fold(Duration::ZERO, |sum, call| sum.saturating_add(*call))
    }
}

/// The hosts that can call the approval service, with their calls in flight.
#[derive(Debug)]
pub struct Approvers {
    own: HostName,
    hosts: BTreeMap<HostName, Approver>,
}

impl Approvers {
    /// Creates the list with this host only.
    pub fn new(own: HostName) -> Approvers {
        let hosts = BTreeMap::from([(own.clone(), Approver::default())]);
        Approvers { own, hosts }
    }

    /// Replaces the other hosts. Known hosts keep their calls.
    pub fn set_peers(&mut self, peers: &[(HostName, String)]) {
        self.hosts
            .retain(|name, _| *name == self.own || peers.iter().any(|(peer, _)| peer == name));
        for (name, address) in peers {
            self.hosts.entry(name.clone()).or_default().address.clone_from(address);
        }
    }

    /// Returns whether any host can make a call now.
    pub fn is_available(&self, now: Uptime) -> bool {
        self.hosts.values().any(|host| host.is_free(now))
    }

    /// Sends a call through the available host with the least load. Returns the time at which the caller gives the call
    /// up, or `None` if no host is available.
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
        let timeout = host.load().saturating_add(duration.saturating_mul(2));
        let timeout = timeout.saturating_add(TIMEOUT_MARGIN);
        host.calls.insert(call, duration);
        outputs.push(match *name == self.own {
            true => Output::Approval { call, request, timeout },
            false => Output::Peer {
                to: name.clone(),
                address: host.address.clone(),
                message: Message::ApprovalCall { call, request, timeout },
            },
        });
        Some(now.saturating_add(timeout).saturating_add(RELAY_DELAY))
    }

    /// Removes a call that has returned a result.
    pub fn end(&mut self, call: CallId) {
        for host in self.hosts.values_mut() {
            host.calls.remove(&call);
        }
    }

    /// Removes a call that has failed or timed out, and pauses its host.
    pub fn fail(&mut self, call: CallId, now: Uptime) {
        for host in self.hosts.values_mut() {
            if host.calls.remove(&call).is_some() {
                host.paused_until = now + FAILURE_PAUSE;
            }
        }
    }
}
