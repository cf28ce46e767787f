//! Calls to the store: directly, or relayed through a peer while the store cannot be reached directly.

use crate::host::Host;
use crate::host::peers::Peer;
use crate::message::Message;
use crate::port::{
    Connection, Counter, HostName, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::watch::Poll;

/// Timeout of calls to the store. A slow store may take fifty times the usual 4 to 10 ms.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of consecutive failures of direct calls after which calls are relayed.
const FAILURES_MAX: u32 = 2;

/// Interval of attempts to reach the store directly while calls are relayed or fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum age of the store's last direct answer to a peer that can relay calls.
const PEER_STORE_AGE_MAX: Duration = Duration::from_millis(2500);

/// Time without any direct answer after which a submission or a commit is repeated through a peer. A store that is only
/// slow still answers other calls.
const HEDGE_AGE: Duration = Duration::from_millis(250);

/// Additional time for a call that may be relayed.
const RELAY_SLACK: Duration = Duration::from_millis(100);

/// Age of the last answer below which the store counts as reachable.
const REACHABLE_AGE_MAX: Duration = Duration::from_secs(4);

/// Purpose of a call to the store, which selects the handler of its result.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    Probe,
    OperatorRead(Poll),
    OperatorFeed(Poll),
    HostsRead,
    HostsWrite,
    OwnershipRead,
    Claim { epoch: u64 },
    Commit { sequence: u64 },
    JobsRead { from: String },
    ProgressRead { from: String },
    RosterRead,
    JobsDeleted(Vec<(JobId, RowVersion)>),
    JobsFeed(Poll),
    RegistryRead { from: String },
    RegistryFeed(Poll),
    Submit(RequestId),
    CancelRead(RequestId),
    CancelWrite(RequestId),
    StateRead(RequestId),
    JobProgressRead(RequestId),
    Relay { from: HostName, call: CallId },
}

impl Purpose {
    /// Returns whether the call belongs to an ownership, and its result is of no use when the ownership has ended.
    fn is_of_owner(&self) -> bool {
        match self {
            Purpose::Commit { .. }
            | Purpose::JobsRead { .. }
            | Purpose::ProgressRead { .. }
            | Purpose::RosterRead
            | Purpose::JobsDeleted(_)
            | Purpose::JobsFeed(_)
            | Purpose::RegistryRead { .. }
            | Purpose::RegistryFeed(_) => true,
            Purpose::Probe
            | Purpose::OperatorRead(_)
            | Purpose::OperatorFeed(_)
            | Purpose::HostsRead
            | Purpose::HostsWrite
            | Purpose::OwnershipRead
            | Purpose::Claim { .. }
            | Purpose::Submit(_)
            | Purpose::CancelRead(_)
            | Purpose::CancelWrite(_)
            | Purpose::StateRead(_)
            | Purpose::JobProgressRead(_)
            | Purpose::Relay { .. } => false,
        }
    }
}

/// Way to the store.
#[derive(Clone, Debug)]
pub(super) enum Path {
    Direct(Connection),
    /// Through a peer.
    Relayed(HostName),
}

struct PendingCall {
    purpose: Purpose,
    sent: Uptime,
    deadline: Uptime,
    relayed: bool,
}

/// Calls in flight, and which paths to the store work.
#[derive(Default)]
pub(super) struct StoreClient {
    calls: BTreeMap<CallId, PendingCall>,
    direct_failures: u32,
    /// Time of the store's last direct answer to this host.
    pub(super) last_direct_answer: Option<Uptime>,
    /// When the last direct call that was answered had been sent.
    last_direct_call: Option<Uptime>,
    /// Time of the store's last answer, direct or relayed.
    last_answer: Option<Uptime>,
    /// Time of the last failure of a call, direct or relayed.
    pub(super) last_failure: Option<Uptime>,
    next_probe: Uptime,
}

impl Host {
    /// Calls the store, through a peer if direct calls fail. The handler for `purpose` gets the result. `wait` is the
    /// time for which the store may delay its answer to a feed.
    pub(super) fn call_store(&mut self, purpose: Purpose, request: StoreRequest, wait: Duration) {
        let relay = match purpose {
            Purpose::Probe | Purpose::Relay { .. } => None,
            _ if self.store.direct_failures < FAILURES_MAX => None,
            _ => self.relay_host(),
        };
        let path = relay.map_or(Path::Direct(Connection::Pooled), Path::Relayed);
        self.call_store_on(path, purpose, request, wait);
    }

    /// Sends a call of a watch. Each attempt takes another path than the one before, so that it does not depend on what
    /// keeps the earlier ones from being answered: in turn a new connection, and the next peer that can relay calls.
    pub(super) fn call_store_again(&mut self, poll: Poll, purpose: Purpose, request: StoreRequest) {
        if poll.attempt == 0 {
            return self.call_store(purpose, request, poll.wait);
        }
        let turn = poll.attempt as usize / 2;
        let relay = match poll.attempt.is_multiple_of(2) {
            true => self.relay_hosts().into_iter().cycle().nth(turn - 1),
            false => None,
        };
        let path = relay.map_or(Path::Direct(Connection::New), Path::Relayed);
        self.call_store_on(path, purpose, request, poll.wait);
    }

    /// Returns the peer through which a call should be repeated that the store has not answered since `sent`: the direct
    /// path seems to be broken, and the peer's is not.
    pub(super) fn hedge_host(&self, sent: Uptime) -> Option<HostName> {
        let answered = self.store.last_direct_answer.unwrap_or_default();
        let broken = self.store.direct_failures < FAILURES_MAX
            && self.now.saturating_sub(answered.max(sent)) >= HEDGE_AGE;
        self.relay_host().filter(|_| broken)
    }

    /// Calls the store on a path.
    pub(super) fn call_store_on(
        &mut self,
        path: Path,
        purpose: Purpose,
        request: StoreRequest,
        wait: Duration,
    ) {
        let timeout = STORE_TIMEOUT + wait;
        let call = self.allocate_call();
        let relayed = matches!(path, Path::Relayed(_));
        let deadline = self.now + timeout + RELAY_SLACK;
        let sent = self.now;
        self.store.calls.insert(call, PendingCall { purpose, sent, deadline, relayed });
        match path {
            Path::Relayed(host) => self.send(&host, Message::StoreCall { call, request, timeout }),
            Path::Direct(connection) => {
                self.outputs.push(Output::Store { call, request, connection, timeout });
            }
        }
    }

    /// Returns the peers that can relay calls, those first that the store answered last.
    fn relay_hosts(&self) -> Vec<HostName> {
        // What a peer has reported ages, as the peer may have ended since.
        let age = |peer: &Peer| {
            let reported = peer.heartbeat_age(self.now).unwrap_or(Duration::MAX);
            peer.heartbeat.store_age.saturating_add(reported)
        };
        let mut relays: Vec<(Duration, &HostName)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_alive(self.now) && !peer.heartbeat.stopping)
            .filter(|(_, peer)| peer.heartbeat.store_age < PEER_STORE_AGE_MAX)
            .map(|(name, peer)| (age(peer), name))
            .collect();
        relays.sort_unstable();
        relays.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the peer that relays calls.
    fn relay_host(&self) -> Option<HostName> {
        self.relay_hosts().into_iter().next()
    }

    /// Returns whether the store has recently answered a call, direct or relayed.
    pub(super) fn store_is_reachable(&self) -> bool {
        let recent = |answered| self.now.saturating_sub(answered) < REACHABLE_AGE_MAX;
        self.store.last_answer.is_some_and(recent)
    }

    /// Returns the time since the store's last direct answer, or since the start if there was none.
    pub(super) fn store_age(&self) -> Duration {
        self.now.saturating_sub(self.store.last_direct_answer.unwrap_or_default())
    }

    /// Returns whether a failed call can be repeated at once through a peer.
    pub(super) fn store_has_relay(&self) -> bool {
        self.relay_host().is_some()
    }

    /// Relays calls from now on, until a direct call succeeds.
    pub(super) fn prefer_relay(&mut self) {
        self.store.direct_failures = self.store.direct_failures.max(FAILURES_MAX);
    }

    pub(super) fn store_result(&mut self, call: CallId, result: Result<StoreAnswer, StoreError>) {
        let Some(pending) = self.store.calls.remove(&call) else { return };
        self.record_result(&pending, &result);
        self.dispatch(pending.purpose, result);
    }

    /// Drops the calls of an ownership that has ended. The next ownership of this process makes the same calls again, and
    /// would take late results for its own.
    pub(super) fn drop_owner_calls(&mut self) {
        self.store.calls.retain(|_, pending| !pending.purpose.is_of_owner());
    }

    /// Updates the health of the paths by the result of a call. Only direct calls tell about the direct path, and failed ones
    /// only if no call that was sent later has been answered.
    fn record_result(&mut self, call: &PendingCall, result: &Result<StoreAnswer, StoreError>) {
        let failed = matches!(result, Err(StoreError::NotExecuted | StoreError::Unanswered));
        if failed {
            self.store.last_failure = Some(self.now);
            self.outputs.push(Output::Count { counter: Counter::StoreFailures, amount: 1 });
        } else {
            self.store.last_answer = Some(self.now);
        }
        let outdated = self.store.last_direct_call.is_some_and(|sent| sent > call.sent);
        match (call.relayed, failed) {
            (true, _) => {}
            (false, true) if outdated => {}
            (false, true) => {
                self.store.direct_failures += 1;
                if self.store.direct_failures == FAILURES_MAX {
                    let error = result.as_ref().err().map(ToString::to_string);
                    self.log("store_lost", vec![("error", error.unwrap_or_default())]);
                    self.next_heartbeat = self.now;
                }
            }
            (false, false) => {
                if self.store.direct_failures >= FAILURES_MAX {
                    self.log("store_regained", Vec::new());
                }
                self.store.direct_failures = 0;
                self.store.last_direct_answer = Some(self.now);
                self.store.last_direct_call = self.store.last_direct_call.max(Some(call.sent));
            }
        }
    }

    /// Tries the direct path periodically while calls are relayed or fail.
    pub(super) fn probe_store(&mut self) {
        if self.store.direct_failures >= FAILURES_MAX && self.store.next_probe <= self.now {
            self.store.next_probe = self.now + PROBE_INTERVAL;
            let request =
                StoreRequest::Read { table: Table::Ownership, from: String::new(), limit: 1 };
            self.call_store(Purpose::Probe, request, Duration::ZERO);
        }
    }

    /// Ends calls whose results did not arrive, as may happen to relayed ones.
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
            Purpose::OperatorRead(poll) => self.operator_read(poll, result),
            Purpose::OperatorFeed(poll) => self.operator_feed(poll, result),
            Purpose::HostsRead => self.hosts_read(result),
            Purpose::HostsWrite => self.hosts_written(result),
            Purpose::OwnershipRead => self.ownership_read(result),
            Purpose::Claim { epoch } => self.claim_result(epoch, result),
            Purpose::Commit { sequence } => self.commit_result(sequence, result),
            Purpose::JobsRead { from } => self.jobs_read(from, result),
            Purpose::ProgressRead { from } => self.progress_read(from, result),
            Purpose::RosterRead => self.roster_read(result),
            Purpose::JobsDeleted(jobs) => self.jobs_deleted(jobs, result),
            Purpose::JobsFeed(poll) => self.jobs_feed(poll, result),
            Purpose::RegistryRead { from } => self.registry_read(from, result),
            Purpose::RegistryFeed(poll) => self.registry_feed(poll, result),
            Purpose::Submit(request) => self.submit_result(request, result),
            Purpose::CancelRead(request) => self.cancel_read(request, result),
            Purpose::CancelWrite(request) => self.cancel_written(request, result),
            Purpose::StateRead(request) => self.state_read(request, result),
            Purpose::JobProgressRead(request) => self.job_progress_read(request, result),
            Purpose::Relay { from, call } => {
                self.send(&from, Message::StoreResult { call, result });
            }
        }
    }
}
