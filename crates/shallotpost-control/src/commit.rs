//! Group commit: batches of all services share one transaction in flight, which also carries the heartbeat of the host.
//!
//! Each transaction writes the host row, checks its previous version, and stores a sequence number in it that is unique
//! within this incarnation. If the outcome of a transaction is unknown, reading the host row resolves it. Such a
//! transaction may still be in flight, so before one of its batches is reported as not written, a transaction that
//! writes only the host row (the fence) makes the version check of the earlier one fail for good.

pub mod queue;
pub mod retry;

use std::collections::BTreeMap;

use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::table::{Check, Reply, Request, Row, Version, Write};

use crate::membership::Peer;
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::settings::lease_expiry_bound;
use queue::{Queue, TRANSACTION_ROWS_MAX};
use retry::Retry;

/// Minimum interval between transactions, with up to [`COMMIT_INTERVAL_MIN_HOSTS`] live hosts.
pub const COMMIT_INTERVAL_MIN: Duration = Duration::from_millis(30);

/// Maximum interval between transactions, with [`COMMIT_INTERVAL_MAX_HOSTS`] or more live hosts.
pub const COMMIT_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Number of live hosts up to which [`COMMIT_INTERVAL_MIN`] applies.
pub const COMMIT_INTERVAL_MIN_HOSTS: usize = 9;

/// Number of live hosts from which [`COMMIT_INTERVAL_MAX`] applies.
pub const COMMIT_INTERVAL_MAX_HOSTS: usize = 135;

/// Maximum time between two transactions. Slightly below one second, so that a late tick does not delay it beyond that.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950);

/// Time without writes by other services after which a stopping host counts as drained.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Number of consecutive failed calls after which the table service counts as unreachable. One lost reply is not an
/// outage.
pub const UNREACHABLE_FAILURES: u32 = 2;

/// Time after the timeout of a call at which its result is no longer awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Returns the interval between transactions for a number of live hosts, including this one. It grows linearly between
/// [`COMMIT_INTERVAL_MIN_HOSTS`] and [`COMMIT_INTERVAL_MAX_HOSTS`].
pub fn commit_interval(live_hosts: usize) -> Duration {
    let hosts = live_hosts.clamp(COMMIT_INTERVAL_MIN_HOSTS, COMMIT_INTERVAL_MAX_HOSTS)
        - COMMIT_INTERVAL_MIN_HOSTS;
    COMMIT_INTERVAL_MIN
        + (COMMIT_INTERVAL_MAX - COMMIT_INTERVAL_MIN) * hosts as u32
            / (COMMIT_INTERVAL_MAX_HOSTS - COMMIT_INTERVAL_MIN_HOSTS) as u32
}

/// A call to the table service that is in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Unread,
    Reading(Call),
    /// The version of the host row is known, and no transaction is in flight.
    Ready,
    Transacting(Call),
    /// A newer process took over the name of this host. Nothing is written any more.
    Replaced,
}

/// A transaction without a known outcome.
#[derive(Debug)]
struct InFlight {
    request: Request,
    sequence: u64,
    first_sent: Instant,
    sent: Instant,
    /// Batches whose outcome is not reported yet.
    batches: Vec<Batch>,
    /// Total size of the batches when the transaction began, in bytes.
    bytes: usize,
    /// Whether an attempt may have been committed, or may still be.
    ambiguous: bool,
    /// Whether a batch has expired, so that the transaction must not be sent again.
    expired: bool,
    /// Set once this transaction is to be kept from being committed.
    fence: Option<Fence>,
}

/// A transaction that writes only the host row, after which the earlier transaction can no longer be committed.
#[derive(Debug)]
struct Fence {
    request: Request,
    sequence: u64,
    first_sent: Instant,
    sent: Instant,
    /// Keys whose checks failed in the earlier transaction.
    failed_checks: Vec<String>,
}

impl InFlight {
    /// Returns the request to send, which is the fence if there is one, and the time at which it was last sent.
    fn current_request(&mut self) -> (&Request, &mut Instant) {
        match &mut self.fence {
            Some(fence) => (&fence.request, &mut fence.sent),
            None => (&self.request, &mut self.sent),
        }
    }
}

struct State {
    host_row_key: String,
    host: Host,
    version: Option<Version>,
    /// Whether a transaction of this process was committed. Before that, another incarnation in the host row is an
    /// older one, whose delayed transaction can still overwrite what was read at the start. Afterwards only a process
    /// that read the row of this incarnation can overwrite it, so another incarnation is a newer one.
    established: bool,
    phase: Phase,
    in_flight: Option<InFlight>,
    queue: Queue,
    retry: Retry,
    /// Earliest time of the next call after a failure.
    retry_from: Option<Instant>,
    /// Whether the next transaction is sent without waiting for the interval.
    urgent: bool,
    last_sent: Option<Instant>,
    interval: Duration,
    reachable: Option<bool>,
    last_write: Option<Instant>,
    stopping: bool,
    drained: bool,
    table_timeout: Duration,
    live_period: Duration,
}

/// The group commit service.
pub struct Commit {
    /// Boxed because the enum of all services is as large as its largest variant.
    state: Box<State>,
}

impl Commit {
    pub fn new(settings: &Settings) -> Commit {
        Commit { state: Box::new(State::new(settings)) }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message)
    }
}

impl State {
    fn new(settings: &Settings) -> State {
        State {
            host_row_key: host::row_key(&settings.data_centre, &settings.host),
            host: Host {
                host: settings.host.clone(),
                data_centre: settings.data_centre.clone(),
                incarnation: settings.incarnation,
                peer_address: settings.peer_address.clone(),
                http_address: settings.http_address.clone(),
                sequence: 0,
                applied: 0,
                draining: false,
            },
            version: None,
            established: false,
            phase: Phase::Unread,
            in_flight: None,
            queue: Queue::default(),
            retry: Retry::new(settings.random_seed ^ ServiceName::Commit as u64),
            retry_from: None,
            urgent: false,
            last_sent: None,
            interval: COMMIT_INTERVAL_MIN,
            reachable: None,
            last_write: None,
            stopping: false,
            drained: false,
            table_timeout: settings.table_timeout,
            live_period: lease_expiry_bound(settings.ownership_lease),
        }
    }

    fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Tick => {}
            Message::Stop => {
                self.stopping = true;
                self.host.draining = true;
                self.urgent = true;
                self.last_write = Some(context.now);
            }
            Message::Write(batch) => self.enqueue(context, batch),
            Message::ConfigurationApplied { revision } => {
                self.host.applied = self.host.applied.max(revision)
            }
            Message::PeerList(list) => {
                let live = list.peers.iter().filter(|peer| self.is_live(context.now, peer));
                self.interval = commit_interval(live.count() + 1);
            }
            Message::TableResult { call, result } => self.on_table_result(context, call, result),
            _ => return,
        }
        self.poll(context);
    }

    fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        let answered = peer.last_pong.as_ref().map(|(sent, _)| *sent);
        let last_seen = answered.max(peer.row_changed_at);
        last_seen.is_some_and(|seen| now.duration_since(seen) < self.live_period)
    }

    fn enqueue(&mut self, context: &mut Context, batch: Batch) {
        self.last_write = Some(context.now);
        // A batch that can never be sent must not block the queue, so it is rejected here.
        let unsendable = queue::row_count(&batch) >= TRANSACTION_ROWS_MAX
            || queue::touches(&batch, &self.host_row_key);
        if unsendable {
            let fields = vec![("sender", batch.reply_to.to_string())];
            context.log(
                Level::Error,
                "batch refused: too many rows or the row of this host",
                fields,
            );
        }
        if unsendable || matches!(self.phase, Phase::Replaced) {
            return answer(context, &batch, Err(WriteFailure::Overloaded));
        }
        let in_flight_bytes = self.in_flight.as_ref().map_or(0, |in_flight| in_flight.bytes);
        if let Err(batch) = self.queue.push(batch, in_flight_bytes) {
            answer(context, &batch, Err(WriteFailure::Overloaded));
        }
    }

    /// Expires batches, times out the call in flight, and sends what is due.
    fn poll(&mut self, context: &mut Context) {
        self.expire_batches(context);
        let now = context.now;
        match self.phase {
            Phase::Reading(call) | Phase::Transacting(call) if now >= call.deadline => {
                self.on_call_failure(context, Failure::Ambiguous)
            }
            Phase::Unread if self.may_retry(now) => {
                let request = Request::Read { keys: vec![self.host_row_key.clone()] };
                self.phase = Phase::Reading(self.call(context, request));
            }
            Phase::Ready if self.may_retry(now) && self.is_due(now) => {
                let batches = self.queue.take_compatible();
                self.begin_transaction(context, batches)
            }
            _ => {}
        }
        self.report_drained(context);
    }

    fn may_retry(&self, now: Instant) -> bool {
        self.retry_from.is_none_or(|from| now >= from)
    }

    fn is_due(&self, now: Instant) -> bool {
        let Some(last) = self.last_sent else { return true };
        let elapsed = now.duration_since(last);
        let has_waited = self.stopping || elapsed >= self.interval;
        self.urgent || elapsed >= HEARTBEAT_INTERVAL || (!self.queue.is_empty() && has_waited)
    }

    fn call(&mut self, context: &mut Context, request: Request) -> Call {
        let deadline = context.now + self.table_timeout + ANSWER_GRACE;
        Call { id: context.call_table(request, self.table_timeout), deadline }
    }

    /// Starts a transaction with these batches, which must be compatible.
    fn begin_transaction(&mut self, context: &mut Context, batches: Vec<Batch>) {
        self.urgent = false;
        let request = self.build_transaction(&batches);
        self.in_flight = Some(InFlight {
            request,
            sequence: self.host.sequence,
            first_sent: context.now,
            sent: context.now,
            bytes: batches.iter().map(queue::byte_size).sum(),
            batches,
            ambiguous: false,
            expired: false,
            fence: None,
        });
        self.send_transaction(context);
    }

    /// Builds a transaction with the next sequence number.
    fn build_transaction(&mut self, batches: &[Batch]) -> Request {
        self.host.sequence += 1;
        let host_row_check = Check { key: self.host_row_key.clone(), version: self.version };
        // Several batches may check the same row; they expect the same version.
        let checks: BTreeMap<&str, &Check> = std::iter::once(&host_row_check)
            .chain(batches.iter().flat_map(|batch| &batch.checks))
            .map(|check| (check.key.as_str(), check))
            .collect();
        let value = serde_json::to_string(&self.host).ok();
        let host_row_write = Write { key: self.host_row_key.clone(), value };
        let writes = batches.iter().flat_map(|batch| batch.writes.iter().cloned());
        Request::Transact {
            checks: checks.into_values().cloned().collect(),
            writes: std::iter::once(host_row_write).chain(writes).collect(),
        }
    }

    /// Sends the current transaction, for the first time or again.
    fn send_transaction(&mut self, context: &mut Context) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let (request, sent) = in_flight.current_request();
        *sent = context.now;
        let request = request.clone();
        self.last_sent = Some(context.now);
        self.phase = Phase::Transacting(self.call(context, request));
    }

    /// Sends a fence, so that the current transaction can no longer be committed.
    fn send_fence(&mut self, context: &mut Context, failed_checks: Vec<String>) {
        let request = self.build_transaction(&[]);
        let (sequence, now) = (self.host.sequence, context.now);
        if let Some(in_flight) = &mut self.in_flight {
            let fence = Fence { request, sequence, first_sent: now, sent: now, failed_checks };
            in_flight.fence = Some(fence);
        }
        self.send_transaction(context);
    }

    fn on_table_result(
        &mut self,
        context: &mut Context,
        id: CallId,
        result: Result<Reply, Failure>,
    ) {
        match (self.phase, result) {
            (Phase::Reading(call), Ok(Reply::Rows { rows, .. })) if call.id == id => {
                self.on_call_success(context);
                let row = rows.into_iter().find(|row| row.key == self.host_row_key);
                self.on_host_row(context, row);
            }
            (Phase::Transacting(call), Ok(Reply::Committed)) if call.id == id => {
                self.on_call_success(context);
                let version = Some(self.version.unwrap_or(0) + 1);
                self.on_committed(context, version);
            }
            (Phase::Transacting(call), Ok(Reply::Conflict { keys })) if call.id == id => {
                self.on_call_success(context);
                self.on_conflict(context, keys);
            }
            (Phase::Reading(call) | Phase::Transacting(call), result) if call.id == id => {
                self.on_call_failure(context, result.err().unwrap_or(Failure::Ambiguous))
            }
            // The result of a call that is no longer awaited.
            _ => {}
        }
    }

    fn on_call_success(&mut self, context: &mut Context) {
        self.retry.record_success();
        self.retry_from = None;
        self.set_reachable(context, true);
    }

    fn on_call_failure(&mut self, context: &mut Context, failure: Failure) {
        self.retry_from = Some(self.retry.record_failure(context.now));
        if self.retry.consecutive_failures() >= UNREACHABLE_FAILURES {
            self.set_reachable(context, false);
        }
        // The next call is a small read of the host row, so that an outage does not repeat the whole transaction each
        // time.
        let transacting = matches!(self.phase, Phase::Transacting(_));
        self.phase = Phase::Unread;
        match &mut self.in_flight {
            Some(in_flight) if transacting && failure == Failure::Ambiguous => {
                in_flight.ambiguous = true
            }
            Some(in_flight) if !in_flight.ambiguous => self.requeue(),
            _ => {}
        }
    }

    fn set_reachable(&mut self, context: &mut Context, reachable: bool) {
        if self.reachable.replace(reachable) != Some(reachable) {
            context.broadcast(Message::TableReachable(reachable));
            let fields = vec![("reachable", reachable.to_string())];
            context.log(Level::Info, "table service reachability changed", fields);
        }
    }

    /// Handles the commit of the transaction that was sent last.
    fn on_committed(&mut self, context: &mut Context, version: Option<Version>) {
        self.version = version;
        self.established = true;
        self.phase = Phase::Ready;
        match self.in_flight.take() {
            Some(InFlight { fence: Some(fence), batches, .. }) => {
                self.report_heartbeat(context, fence.sent);
                self.reject_conflicting(context, batches, &fence.failed_checks);
            }
            Some(in_flight) => {
                self.report_heartbeat(context, in_flight.sent);
                in_flight.batches.iter().for_each(|batch| answer(context, batch, Ok(())));
            }
            None => {}
        }
    }

    fn report_heartbeat(&mut self, context: &mut Context, sent: Instant) {
        context.send(ServiceName::Ownership, Message::HeartbeatCommitted { sent });
        context.send(ServiceName::Membership, Message::HeartbeatCommitted { sent });
    }

    fn on_conflict(&mut self, context: &mut Context, keys: Vec<String>) {
        let Some(in_flight) = self.in_flight.as_mut() else { return };
        let names_a_check = in_flight
            .batches
            .iter()
            .any(|batch| batch.checks.iter().any(|c| keys.contains(&c.key)));
        if keys.contains(&self.host_row_key) {
            self.phase = Phase::Unread;
        } else if !names_a_check {
            // The reply names no check of this transaction, so it tells nothing about its outcome.
            self.on_call_failure(context, Failure::Ambiguous);
        } else if in_flight.ambiguous {
            self.send_fence(context, keys);
        } else if let Some(in_flight) = self.in_flight.take() {
            self.phase = Phase::Ready;
            self.reject_conflicting(context, in_flight.batches, &keys);
        }
    }

    /// Reports the batches whose checks failed, and sends the others again. None of them was committed. Batches that
    /// were queued in the meantime are left out, so that their conflicts do not cause one retry after another.
    fn reject_conflicting(
        &mut self,
        context: &mut Context,
        batches: Vec<Batch>,
        failed: &[String],
    ) {
        let is_failed = |key: &String| failed.contains(key);
        let mut rest = Vec::new();
        for batch in batches {
            let keys = batch.checks.iter().map(|check| check.key.clone());
            let keys: Vec<String> = keys.filter(is_failed).collect();
            match keys.is_empty() {
                true if queue::is_expired(&batch, context.now) => {
                    answer(context, &batch, Err(WriteFailure::Expired))
                }
                true => rest.push(batch),
                false => answer(context, &batch, Err(WriteFailure::Conflict(keys))),
            }
        }
        if !rest.is_empty() {
            self.begin_transaction(context, rest);
        }
    }

    /// Queues the batches of the current transaction again. It was not committed and can no longer be.
    fn requeue(&mut self) {
        let in_flight = self.in_flight.take();
        self.queue.put_back(in_flight.map(|in_flight| in_flight.batches).unwrap_or_default());
    }

    /// Handles a read of the host row, which resolves the outcome of the current transaction.
    fn on_host_row(&mut self, context: &mut Context, row: Option<Row>) {
        let version = row.as_ref().map(|row| row.version);
        let content: Option<Host> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let own = content.as_ref().filter(|host| host.incarnation == self.host.incarnation);
        let sequence = own.map(|host| host.sequence);
        let foreign = content.is_some() && own.is_none();
        let base = std::mem::replace(&mut self.version, version);
        let Some(in_flight) = &mut self.in_flight else {
            // A restart with the same incarnation continues the sequence numbers.
            self.host.sequence = self.host.sequence.max(sequence.unwrap_or(0));
            return self.resume(context, foreign);
        };
        let fence = in_flight.fence.as_ref().map(|fence| fence.sequence);
        if sequence == Some(in_flight.sequence) {
            in_flight.fence = None;
            in_flight.sent = in_flight.first_sent;
            self.on_committed(context, version);
        } else if sequence.is_some() && sequence == fence {
            in_flight.fence.iter_mut().for_each(|fence| fence.sent = fence.first_sent);
            self.on_committed(context, version);
        } else if version == base {
            self.on_not_committed(context);
        } else {
            self.on_overwritten(context, base, foreign);
        }
    }

    /// Handles an unchanged host row: the current transaction has not been committed so far.
    fn on_not_committed(&mut self, context: &mut Context) {
        let Some(in_flight) = &self.in_flight else { return };
        let expired = in_flight.expired && in_flight.fence.is_none();
        match expired {
            true => self.send_fence(context, Vec::new()),
            false => self.send_transaction(context),
        }
    }

    /// Handles a host row written by another process: the current transaction can no longer be committed.
    fn on_overwritten(&mut self, context: &mut Context, base: Option<Version>, foreign: bool) {
        // If the row changed more than once, the first change may have been the current transaction.
        let once = self.version == Some(base.unwrap_or(0) + 1);
        let unknown = self.in_flight.as_ref().is_some_and(|in_flight| in_flight.ambiguous) && !once;
        if unknown && let Some(in_flight) = self.in_flight.take() {
            let fail = |batch| answer(context, batch, Err(WriteFailure::Unknown));
            in_flight.batches.iter().for_each(fail);
        }
        self.requeue();
        self.resume(context, foreign);
    }

    /// Continues with the host row as it was read, unless it shows that a newer process has taken over the host name.
    fn resume(&mut self, context: &mut Context, foreign: bool) {
        self.phase = Phase::Ready;
        self.urgent = true;
        if !(foreign && self.established) {
            return;
        }
        self.phase = Phase::Replaced;
        self.urgent = false;
        let fields = vec![("host", self.host.host.clone())];
        context.log(Level::Error, "another process with this host name took over its row", fields);
        let fail = |batch| answer(context, batch, Err(WriteFailure::Overloaded));
        self.queue.take_all().iter().for_each(fail);
    }

    /// Drops the expired batches and reports them to their senders.
    fn expire_batches(&mut self, context: &mut Context) {
        let now = context.now;
        self.queue.drop_expired(now, |batch| answer(context, batch, Err(WriteFailure::Expired)));
        let Some(in_flight) = self.in_flight.as_mut().filter(|it| it.ambiguous) else { return };
        if !in_flight.batches.iter().any(|batch| queue::is_expired(batch, now)) {
            return;
        }
        let batches = std::mem::take(&mut in_flight.batches);
        let (expired, kept): (Vec<Batch>, Vec<Batch>) =
            batches.into_iter().partition(|batch| queue::is_expired(batch, now));
        in_flight.batches = kept;
        in_flight.expired = true;
        expired.iter().for_each(|batch| answer(context, batch, Err(WriteFailure::Unknown)));
    }

    fn report_drained(&mut self, context: &mut Context) {
        let quiet =
            self.last_write.is_some_and(|last| context.now.duration_since(last) >= QUIET_PERIOD);
        let settled = matches!(self.phase, Phase::Ready | Phase::Replaced);
        let idle = self.stopping && !self.urgent && self.queue.is_empty() && settled;
        if idle && quiet && !self.drained {
            self.drained = true;
            context.send(ServiceName::Router, Message::Drained(ServiceName::Commit));
        }
    }
}

fn answer(context: &mut Context, batch: &Batch, result: Result<(), WriteFailure>) {
    context.send(batch.reply_to, Message::WriteResult { tag: batch.tag, result });
}
