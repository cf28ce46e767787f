//! Requests that arrive while the operator's settings may be out of date. They wait for a call to the store that shows
//! what is in force, so that neither a new key or queue is rejected nor a removed one accepted.

use crate::host::Host;
use crate::port::{Action, Request};
use crate::prelude::*;

/// Time after which a read that the known settings allow is answered, also if the store does not answer. A data centre
/// that is cut off from the store goes on telling the state of its jobs.
const READ_WAIT: Duration = Duration::from_millis(300);

/// A request that waits.
pub(super) struct Deferred {
    request: RequestId,
    body: Request,
    deadline: Uptime,
    received: Uptime,
}

impl Host {
    /// Lets a request wait until the operator's settings are known to be current.
    pub(super) fn defer(&mut self, request: RequestId, body: Request, deadline: Uptime) {
        let received = self.now;
        self.gateway.deferred.push(Deferred { request, body, deadline, received });
        self.poll_operator_rows();
        self.decide_deferred_requests();
    }

    /// Handles the requests that need not wait any longer: all, if the settings are current. Otherwise those whose
    /// deadline has come and, if the store refuses calls, all are refused, except for reads that the known settings allow.
    pub(super) fn decide_deferred_requests(&mut self) {
        if self.gateway.deferred.is_empty() {
            return;
        }
        let deferred = std::mem::take(&mut self.gateway.deferred);
        let current = self.has_current_settings();
        let refused = self.operator.watch.is_refused();
        for entry in deferred {
            let ends = refused || self.now >= entry.deadline;
            let reads = entry.body.action == Action::Read
                && (ends || self.now >= entry.received + READ_WAIT)
                && self.authorize(&entry.body).is_ok();
            match () {
                () if current || reads => self.decide(entry.request, entry.body, entry.deadline),
                () if ends => {
                    self.refuse(entry.request, entry.body.path, "the settings may be out of date");
                }
                () => self.gateway.deferred.push(entry),
            }
        }
    }
}
