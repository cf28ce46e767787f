//! Distribution of approval calls over the entry hosts.
//!
//! The approving service handles one call at a time for each calling machine, so calls are spread over all of them.

use crate::message::Message;
use crate::port::{ApprovalRequest, HostName};
use crate::prelude::*;

/// Most calls at one host. The second one hides the time between two calls.
const CALLS_MAX: usize = 2;

/// Time that a call may take beyond what the queue's terms say. The service waits for the other call of the host first.
const SLACK: Duration = Duration::from_millis(700);

/// A host that can call for approval.
#[derive(Debug, Default)]
struct Approver {
    address: String,
    calls: BTreeMap<CallId, Duration>,
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
    pub fn is_available(&self) -> bool {
        self.hosts.values().any(|host| host.calls.len() < CALLS_MAX)
    }

    /// Sends a call through the host that is free first.
    pub fn send(
        &mut self,
        call: CallId,
        request: ApprovalRequest,
        duration: Duration,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let free = self.hosts.iter_mut().filter(|(_, host)| host.calls.len() < CALLS_MAX);
        let load = |host: &Approver| host.calls.values().sum::<Duration>();
        let Some((name, host)) = free.min_by_key(|(_, host)| (load(host), host.calls.len())) else {
            return false;
        };
        let timeout = load(host) + duration * 2 + SLACK;
        host.calls.insert(call, duration);
        outputs.push(match *name == self.own {
            true => Output::Approval { call, request, timeout },
            false => Output::Peer {
                to: name.clone(),
                address: host.address.clone(),
                message: Message::ApprovalCall { call, request, timeout },
            },
        });
        true
    }

    /// A call has ended, or is given up.
    pub fn end(&mut self, call: CallId) {
        self.hosts.values_mut().for_each(|host| {
            let _ = host.calls.remove(&call);
        });
    }
}
