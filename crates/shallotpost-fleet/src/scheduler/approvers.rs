//! Distribution of approval calls over the entry hosts.
//!
//! The approval service handles one call at a time for each calling machine, so the calls are spread over all of them. It
//! also handles calls that their caller no longer waits for, so late answers are accepted, and a host whose answer is late
//! pauses.

use shallotpost_policy::approval_pace::Pace;

use crate::message::Message;
use crate::port::{ApprovalRequest, HostName};
use crate::prelude::*;

/// Maximum number of calls in flight at one host. The second one fills the gap between two calls.
const CALLS_MAX: usize = 2;

/// Margin of a call's expected time beyond twice its expected duration, for delays of the network and of busy hosts.
const MARGIN: Duration = Duration::from_millis(400);

/// Time by which the result of a relayed call may arrive after the call's timeout.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Time for which the answer to an overdue call is still accepted.
const LATE_ANSWER_MAX: Duration = Duration::from_secs(3);

/// Pause for a host after a call that failed or is overdue; an answer ends it. Calls through a host that is cut off fail
/// at once, so it has the least load and would get most calls without the pause. Heartbeats show within this time that a
/// peer is unreachable.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// A call in flight.
#[derive(Debug)]
struct Call {
    announced: Duration,
    sent: Uptime,
    /// Announced duration of the calls before it at the host, and twice its own.
    allowance: Duration,
    /// Whether the answer is late. The stage may ask again then.
    overdue: bool,
}

/// A host that can call the approval service.
#[derive(Debug, Default)]
struct Approver {
    address: String,
    calls: BTreeMap<CallId, Call>,
    pace: Pace,
    last_answer: Uptime,
    /// Earliest time of the next call.
    paused_until: Uptime,
}

impl Approver {
    fn is_free(&self, now: Uptime) -> bool {
        self.calls_in_time().count() < CALLS_MAX && self.paused_until <= now
    }

    fn calls_in_time(&self) -> impl Iterator<Item = &Call> {
        self.calls.values().filter(|call| !call.overdue)
    }

    /// Returns the announced duration of the calls in flight.
    fn load(&self) -> Duration {
        self.calls_in_time().fold(Duration::ZERO, |sum, call| sum.saturating_add(call.announced))
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

    /// Replaces the other hosts. Known hosts keep their calls. Returns the calls of the hosts that are gone.
    pub fn set_peers(&mut self, peers: &[(HostName, String)]) -> Vec<CallId> {
        let gone =
            |name: &HostName| *name != self.own && !peers.iter().any(|(peer, _)| peer == name);
        let gone: Vec<HostName> = self.hosts.keys().filter(|name| gone(name)).cloned().collect();
        let gone = gone.iter().filter_map(|name| self.hosts.remove(name));
        let calls = gone.flat_map(|host| host.calls.into_keys()).collect();
        for (name, address) in peers {
            self.hosts.entry(name.clone()).or_default().address.clone_from(address);
        }
        calls
    }

    /// Returns whether any host can make a call now.
    pub fn is_available(&self, now: Uptime) -> bool {
        self.hosts.values().any(|host| host.is_free(now))
    }

    /// Returns the highest ratio of actual to announced durations among the hosts.
    pub fn slowest_pace(&self) -> f64 {
        self.hosts.values().map(|host| host.pace.factor()).fold(1.0, f64::max)
    }

    /// Sends a call through the available host with the least load. Returns the time after which no answer can arrive any
    /// more, or `None` if no host is available.
    pub fn send(
        &mut self,
        call: CallId,
        request: ApprovalRequest,
        duration: Duration,
        now: Uptime,
        outputs: &mut Vec<Output>,
    ) -> Option<Uptime> {
        let free = self.hosts.iter_mut().filter(|(_, host)| host.is_free(now));
        let (name, host) = free.min_by_key(|(_, host)| {
            (host.pace.expected(host.load().saturating_add(duration)), host.calls.len())
        })?;
        let allowance = host.load().saturating_add(duration.saturating_mul(2));
        let expected = host.pace.expected(allowance).saturating_add(MARGIN);
        let timeout = expected.saturating_add(LATE_ANSWER_MAX);
        let open = Call { announced: duration, sent: now, allowance, overdue: false };
        host.calls.insert(call, open);
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
    pub fn end(&mut self, call: CallId, now: Uptime) {
        let ended =
            self.hosts.values_mut().find_map(|host| Some((host.calls.remove(&call)?, host)));
        let Some((ended, host)) = ended else { return };
        // The service handles the calls of a host in turn.
        let begun = ended.sent.max(host.last_answer);
        host.pace.record(ended.announced, now.saturating_sub(begun));
        host.last_answer = now;
        host.paused_until = now;
    }

    /// Removes a call that has failed, and pauses its host.
    pub fn fail(&mut self, call: CallId, now: Uptime) {
        for host in self.hosts.values_mut() {
            let Some(failed) = host.calls.remove(&call) else { continue };
            host.paused_until = now + FAILURE_PAUSE;
            if failed.overdue && host.last_answer < failed.sent {
                host.pace.record_silence();
            }
        }
    }

    /// Marks the calls whose answers are late, pauses their hosts, and returns these calls.
    pub fn expire(&mut self, now: Uptime) -> Vec<CallId> {
        let mut expired = Vec::new();
        for host in self.hosts.values_mut() {
            let pace = host.pace;
            let is_late = |call: &Call| {
                let expected = pace.expected(call.allowance).saturating_add(MARGIN + RELAY_DELAY);
                !call.overdue && call.sent.saturating_add(expected) < now
            };
            for (id, call) in host.calls.iter_mut().filter(|(_, call)| is_late(call)) {
                call.overdue = true;
                host.paused_until = now + FAILURE_PAUSE;
                expired.push(*id);
            }
        }
        expired
    }
}
