//! Calls to the store: directly, or through a peer while the store refuses this host.

use crate::host::Host;
use crate::message::Message;
use crate::port::{Counter, HostName, StoreAnswer, StoreError, StoreRequest, Table};
use crate::prelude::*;

/// Time for an answer of the store. A slow store may take fifty times the usual 4 to 10 ms.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Consecutive failures after which calls go through a peer.
const FAILURES_MAX: u32 = 2;

/// Interval of attempts to reach the store directly again.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// A peer that has heard from the store within this time can pass calls on.
const PEER_STORE_AGE_MAX: Duration = Duration::from_millis(2500);

/// Additional time for a call through a peer.
const RELAY_SLACK: Duration = Duration::from_millis(100);

/// Age of the last answer up to which the store counts as reachable.
const REACHABLE_AGE: Duration = Duration::from_secs(4);

/// What a call to the store is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    Probe,
    OperatorRead,
    OperatorFeed,
    HostsRead,
    HostsWrite,
    OwnershipRead,
    Claim { epoch: u64 },
    Commit { sequence: u64 },
    JobsRead { from: String },
    ProgressRead { from: String },
    RosterRead,
    JobsDeleted(Vec<JobId>),
    JobsFeed,
    RegistryRead { first: bool },
    RegistryFeed,
    Submit(RequestId),
    CancelRead(RequestId),
    CancelWrite(RequestId),
    StateRead(RequestId),
    ProgressOf(RequestId),
    Relay { from: HostName, call: CallId },
}

struct Pending {
    purpose: Purpose,
    deadline: Uptime,
    relayed: bool,
}

/// Health of the path to the store, and the open calls.
#[derive(Default)]
pub(super) struct StorePath {
    calls: BTreeMap<CallId, Pending>,
    failures: u32,
    /// When the store last answered this host directly.
    pub(super) answered: Option<Uptime>,
    /// When any path to the store last worked.
    reached: Option<Uptime>,
    /// When a call last failed.
    pub(super) failed: Option<Uptime>,
    next_probe: Uptime,
}

impl Host {
    /// Calls the store; the result comes to the handler of the purpose.
    pub(super) fn call_store(&mut self, purpose: Purpose, request: StoreRequest, wait: Duration) {
        let timeout = STORE_TIMEOUT + wait;
        let call = self.allocate_call();
        let relay = match purpose {
            Purpose::Probe | Purpose::Relay { .. } => None,
            _ if self.store.failures < FAILURES_MAX => None,
            _ => self.relay_host(),
        };
        let relayed = relay.is_some();
        let deadline = self.now + timeout + RELAY_SLACK;
        self.store.calls.insert(call, Pending { purpose, deadline, relayed });
        match relay {
            Some(host) => self.send(&host, Message::StoreCall { call, request, timeout }),
            None => self.outputs.push(Output::Store { call, request, timeout }),
        }
    }

    /// A peer through which the store can be reached.
    fn relay_host(&self) -> Option<HostName> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(self.now) && !peer.beat.stopping)
            .filter(|(_, peer)| peer.beat.store_age < PEER_STORE_AGE_MAX)
            .min_by_key(|(_, peer)| peer.beat.store_age)
            .map(|(name, _)| name.clone())
    }

    /// Whether the store has answered lately, on any path.
    pub(super) fn store_is_reachable(&self) -> bool {
        let recent = |reached| self.now.saturating_sub(reached) < REACHABLE_AGE;
        self.store.reached.is_some_and(recent)
    }

    /// Time since the store last answered this host directly; the time since the start where it never has.
    pub(super) fn store_age(&self) -> Duration {
        self.now.saturating_sub(self.store.answered.unwrap_or_default())
    }

    /// Whether another path to the store is worth an immediate second attempt.
    pub(super) fn store_has_relay(&self) -> bool {
        self.relay_host().is_some()
    }

    /// Makes the next calls go through a peer.
    pub(super) fn prefer_relay(&mut self) {
        self.store.failures = self.store.failures.max(FAILURES_MAX);
    }

    pub(super) fn store_result(&mut self, call: CallId, result: Result<StoreAnswer, StoreError>) {
        let Some(pending) = self.store.calls.remove(&call) else { return };
        self.note_path(pending.relayed, &result);
        self.dispatch(pending.purpose, result);
    }

    fn note_path(&mut self, relayed: bool, result: &Result<StoreAnswer, StoreError>) {
        let failed = matches!(result, Err(StoreError::NotExecuted | StoreError::Unanswered));
        if failed {
            self.store.failed = Some(self.now);
            self.outputs.push(Output::Count { counter: Counter::StoreFailures, amount: 1 });
        } else {
            self.store.reached = Some(self.now);
        }
        match (relayed, failed) {
            (true, _) => {}
            (false, true) => {
                self.store.failures += 1;
                if self.store.failures == FAILURES_MAX {
                    let error = result.as_ref().err().map(ToString::to_string);
                    self.log("store_lost", vec![("error", error.unwrap_or_default())]);
                    self.next_beat = self.now;
                }
            }
            (false, false) => {
                if self.store.failures >= FAILURES_MAX {
                    self.log("store_regained", Vec::new());
                }
                self.store.failures = 0;
                self.store.answered = Some(self.now);
            }
        }
    }

    /// Tries the direct path again while calls go through peers or fail.
    pub(super) fn probe_store(&mut self) {
        if self.store.failures >= FAILURES_MAX && self.store.next_probe <= self.now {
            self.store.next_probe = self.now + PROBE_INTERVAL;
            let request =
                StoreRequest::Read { table: Table::Ownership, from: String::new(), limit: 1 };
            self.call_store(Purpose::Probe, request, Duration::ZERO);
        }
    }

    /// Ends calls whose results were lost on the way through a peer.
    pub(super) fn expire_store_calls(&mut self) {
        let expired: Vec<CallId> = self
            .store
            .calls
            .iter()
            .filter(|(_, pending)| pending.deadline < self.now)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.store_result(call, Err(StoreError::Unanswered));
        }
    }

    fn dispatch(&mut self, purpose: Purpose, result: Result<StoreAnswer, StoreError>) {
        match purpose {
            Purpose::Probe => {}
            Purpose::OperatorRead => self.operator_read(result),
            Purpose::OperatorFeed => self.operator_feed(result),
            Purpose::HostsRead => self.hosts_read(result),
            Purpose::HostsWrite => self.hosts_written(result),
            Purpose::OwnershipRead => self.ownership_read(result),
            Purpose::Claim { epoch } => self.claim_result(epoch, result),
            Purpose::Commit { sequence } => self.commit_result(sequence, result),
            Purpose::JobsRead { from } => self.jobs_read(from, result),
            Purpose::ProgressRead { from } => self.progress_read(from, result),
            Purpose::RosterRead => self.roster_read(result),
            Purpose::JobsDeleted(ids) => self.jobs_deleted(&ids, result.is_ok()),
            Purpose::JobsFeed => self.jobs_feed(result),
            Purpose::RegistryRead { first } => self.registry_read(first, result),
            Purpose::RegistryFeed => self.registry_feed(result),
            Purpose::Submit(request) => self.submit_result(request, result),
            Purpose::CancelRead(request) => self.cancel_read(request, result),
            Purpose::CancelWrite(request) => self.cancel_written(request, result),
            Purpose::StateRead(request) => self.state_read(request, result),
            Purpose::ProgressOf(request) => self.progress_of(request, result),
            Purpose::Relay { from, call } => {
                self.send(&from, Message::StoreResult { call, result });
            }
        }
    }
}
