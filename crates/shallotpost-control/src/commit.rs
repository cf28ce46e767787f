//! Group commit: batches of all services share one transaction in flight, which also carries the heartbeat of the host.
//!
//! Each transaction writes the host row, checks its previous version, and stores a sequence number in it that is unique
//! within this incarnation. If the outcome of a transaction is unknown, reading the host row resolves it. Such a
//! transaction may still be in flight, so before one of its batches is reported as not written, a transaction that writes
//! only the host row (the fence) makes the version check of the earlier one fail for good.

pub mod queue;
pub mod retry;

use std::collections::BTreeMap;

use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::table::{Check, Reply, Request, Row, Version, Write};

use crate::membership::Peer;
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::settings::surely_lapsed;
use queue::{Queue, TRANSACTION_ROWS_MAX};
use retry::Retry;

/// Minimum interval between transactions, with up to [`HOSTS_MIN`] live hosts.
pub const INTERVAL_MIN: Duration = Duration::from_millis(30);

/// Maximum interval between transactions, with [`HOSTS_MAX`] or more live hosts.
pub const INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Number of live hosts up to which [`INTERVAL_MIN`] applies.
pub const HOSTS_MIN: usize = 9;

/// Number of live hosts from which [`INTERVAL_MAX`] applies.
pub const HOSTS_MAX: usize = 135;

/// Maximum time between two transactions. Slightly below one second, so that a late tick does not push it over.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950);

/// Time without writes by other services after which a stopping host counts as drained.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Number of consecutive failed calls after which the table service counts as unreachable. One lost reply is not an
/// outage.
pub const UNREACHABLE_FAILURES: u32 = 2;

/// Time after the timeout of a call at which its result is no longer awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Returns the interval between transactions for a number of live hosts, including this one. It grows linearly between
/// [`HOSTS_MIN`] and [`HOSTS_MAX`].
pub fn interval(live_hosts: usize) -> Duration {
    let hosts = live_hosts.clamp(HOSTS_MIN, HOSTS_MAX) - HOSTS_MIN;
    INTERVAL_MIN + (INTERVAL_MAX - INTERVAL_MIN) * hosts as u32 / (HOSTS_MAX - HOSTS_MIN) as u32
}

/// A call to the table service that is in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The host row must be read.
    Unread,
    /// The host row is being read.
    Reading(Call),
    /// The version of the host row is known, and no transaction is in flight.
    Ready,
    /// A transaction is in flight.
    Transacting(Call),
    /// A newer process took over the name of this host. Nothing is written any more.
    Replaced,
}

/// A transaction without a known outcome.
#[derive(Debug)]
struct Flight {
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

impl Flight {
    /// Returns the request to send, which is the fence if there is one, and the time at which it was last sent.
    fn open(&mut self) -> (&Request, &mut Instant) {
        match &mut self.fence {
            Some(fence) => (&fence.request, &mut fence.sent),
            None => (&self.request, &mut self.sent),
        }
    }
}

struct State {
    key: String,
    host: Host,
    version: Option<Version>,
    /// Whether a transaction of this process was committed. Before that, another incarnation in the host row is an older
    /// one, whose delayed transaction can still overwrite what was read at the start. Afterwards only a process that read
    /// the row of this incarnation can overwrite it, so another incarnation is a newer one.
    established: bool,
    phase: Phase,
    flight: Option<Flight>,
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
    /// Creates the service with an empty queue.
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
            key: host::row_key(&settings.data_centre, &settings.host),
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
            flight: None,
            queue: Queue::default(),
            retry: Retry::new(settings.random_seed ^ Name::Commit as u64),
            retry_from: None,
            urgent: false,
            last_sent: None,
            interval: INTERVAL_MIN,
            reachable: None,
            last_write: None,
            stopping: false,
            drained: false,
            table_timeout: settings.table_timeout,
            live_period: surely_lapsed(settings.ownership_lease),
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
            Message::Applied { revision } => self.host.applied = self.host.applied.max(revision),
            Message::Fleet(fleet) => {
                let live = fleet.peers.iter().filter(|peer| self.is_live(context.now, peer));
                self.interval = interval(live.count() + 1);
            }
            Message::Table { call, result } => self.answered(context, call, result),
            _ => return,
        }
        self.proceed(context);
    }

    fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        let answered = peer.answered.as_ref().map(|(sent, _)| *sent);
        let last_sign = answered.max(peer.row_changed);
        last_sign.is_some_and(|moment| now.duration_since(moment) < self.live_period)
    }

    fn enqueue(&mut self, context: &mut Context, batch: Batch) {
        self.last_write = Some(context.now);
        // A batch that can never be sent must not block the queue, so it is rejected here.
        let impossible =
            queue::rows(&batch) >= TRANSACTION_ROWS_MAX || queue::touches(&batch, &self.key);
        if impossible {
            let fields = vec![("sender", batch.reply_to.to_string())];
            context.log(
                Level::Error,
                "batch refused: too many rows or the row of this host",
                fields,
            );
        }
        if impossible || matches!(self.phase, Phase::Replaced) {
            return answer(context, &batch, Err(WriteFailure::Overloaded));
        }
        let in_flight = self.flight.as_ref().map_or(0, |flight| flight.bytes);
        if let Err(batch) = self.queue.push(batch, in_flight) {
            answer(context, &batch, Err(WriteFailure::Overloaded));
        }
    }

    /// Expires batches, times out the call in flight, and sends what is due.
    fn proceed(&mut self, context: &mut Context) {
        self.expire(context);
        let now = context.now;
        match self.phase {
            Phase::Reading(call) | Phase::Transacting(call) if now >= call.deadline => {
                self.failed(context, Failure::Ambiguous)
            }
            Phase::Unread if self.may_retry(now) => {
                let request = Request::Read { keys: vec![self.key.clone()] };
                self.phase = Phase::Reading(self.call(context, request));
            }
            Phase::Ready if self.may_retry(now) && self.is_due(now) => {
                let batches = self.queue.take_compatible();
                self.begin(context, batches)
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
    fn begin(&mut self, context: &mut Context, batches: Vec<Batch>) {
        self.urgent = false;
        let request = self.transaction(&batches);
        self.flight = Some(Flight {
            request,
            sequence: self.host.sequence,
            first_sent: context.now,
            sent: context.now,
            bytes: batches.iter().map(queue::size).sum(),
            batches,
            ambiguous: false,
            expired: false,
            fence: None,
        });
        self.send(context);
    }

    /// Builds a transaction with the next sequence number.
    fn transaction(&mut self, batches: &[Batch]) -> Request {
        self.host.sequence += 1;
        let own_check = Check { key: self.key.clone(), version: self.version };
        // Several batches may check the same row; they expect the same version.
        let checks: BTreeMap<&str, &Check> = std::iter::once(&own_check)
            .chain(batches.iter().flat_map(|batch| &batch.checks))
            .map(|check| (check.key.as_str(), check))
            .collect();
        let value = serde_json::to_string(&self.host).ok();
        let own_write = Write { key: self.key.clone(), value };
        let writes = batches.iter().flat_map(|batch| batch.writes.iter().cloned());
        Request::Transact {
            checks: checks.into_values().cloned().collect(),
            writes: std::iter::once(own_write).chain(writes).collect(),
        }
    }

    /// Sends the current transaction, for the first time or again.
    fn send(&mut self, context: &mut Context) {
        let Some(flight) = &mut self.flight else { return };
        let (request, sent) = flight.open();
        *sent = context.now;
        let request = request.clone();
        self.last_sent = Some(context.now);
        self.phase = Phase::Transacting(self.call(context, request));
    }

    /// Sends a fence, so that the current transaction can no longer be committed.
    fn send_fence(&mut self, context: &mut Context, failed_checks: Vec<String>) {
        let request = self.transaction(&[]);
        let (sequence, now) = (self.host.sequence, context.now);
        if let Some(flight) = &mut self.flight {
            let fence = Fence { request, sequence, first_sent: now, sent: now, failed_checks };
            flight.fence = Some(fence);
        }
        self.send(context);
    }

    fn answered(&mut self, context: &mut Context, id: CallId, result: Result<Reply, Failure>) {
        match (self.phase, result) {
            (Phase::Reading(call), Ok(Reply::Rows { rows, .. })) if call.id == id => {
                self.succeeded(context);
                let row = rows.into_iter().find(|row| row.key == self.key);
                self.own_row(context, row);
            }
            (Phase::Transacting(call), Ok(Reply::Committed)) if call.id == id => {
                self.succeeded(context);
                let version = Some(self.version.unwrap_or(0) + 1);
                self.transaction_committed(context, version);
            }
            (Phase::Transacting(call), Ok(Reply::Conflict { keys })) if call.id == id => {
                self.succeeded(context);
                self.conflicted(context, keys);
            }
            (Phase::Reading(call) | Phase::Transacting(call), result) if call.id == id => {
                self.failed(context, result.err().unwrap_or(Failure::Ambiguous))
            }
            // The result of a call that is no longer awaited.
            _ => {}
        }
    }

    fn succeeded(&mut self, context: &mut Context) {
        self.retry.succeeded();
        self.retry_from = None;
        self.set_reachable(context, true);
    }

    fn failed(&mut self, context: &mut Context, failure: Failure) {
        self.retry_from = Some(self.retry.failed(context.now));
        if self.retry.failures() >= UNREACHABLE_FAILURES {
            self.set_reachable(context, false);
        }
        // The next call is a small read of the host row, so that an outage does not repeat the whole transaction each
        // time.
        let transacting = matches!(self.phase, Phase::Transacting(_));
        self.phase = Phase::Unread;
        match &mut self.flight {
            Some(flight) if transacting && failure == Failure::Ambiguous => flight.ambiguous = true,
            Some(flight) if !flight.ambiguous => self.requeue(),
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
    fn transaction_committed(&mut self, context: &mut Context, version: Option<Version>) {
        self.version = version;
        self.established = true;
        self.phase = Phase::Ready;
        match self.flight.take() {
            Some(Flight { fence: Some(fence), batches, .. }) => {
                self.renewed(context, fence.sent);
                self.refuse(context, batches, &fence.failed_checks);
            }
            Some(flight) => {
                self.renewed(context, flight.sent);
                flight.batches.iter().for_each(|batch| answer(context, batch, Ok(())));
            }
            None => {}
        }
    }

    fn renewed(&mut self, context: &mut Context, sent: Instant) {
        context.send(Name::Ownership, Message::Renewed { sent });
        context.send(Name::Membership, Message::Renewed { sent });
    }

    fn conflicted(&mut self, context: &mut Context, keys: Vec<String>) {
        let Some(flight) = self.flight.as_mut() else { return };
        let known =
            flight.batches.iter().any(|batch| batch.checks.iter().any(|c| keys.contains(&c.key)));
        if keys.contains(&self.key) {
            self.phase = Phase::Unread;
        } else if !known {
            // The reply names no check of this transaction, so it tells nothing about its outcome.
            self.failed(context, Failure::Ambiguous);
        } else if flight.ambiguous {
            self.send_fence(context, keys);
        } else if let Some(flight) = self.flight.take() {
            self.phase = Phase::Ready;
            self.refuse(context, flight.batches, &keys);
        }
    }

    /// Reports the batches whose checks failed, and sends the others again. None of them was committed. Batches that were
    /// queued in the meantime are left out, so that their conflicts do not cause one retry after another.
    fn refuse(&mut self, context: &mut Context, batches: Vec<Batch>, failed: &[String]) {
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
            self.begin(context, rest);
        }
    }

    /// Queues the batches of the current transaction again. It was not committed and can no longer be.
    fn requeue(&mut self) {
        let flight = self.flight.take();
        self.queue.put_back(flight.map(|flight| flight.batches).unwrap_or_default());
    }

    /// Handles a read of the host row, which resolves the outcome of the current transaction.
    fn own_row(&mut self, context: &mut Context, row: Option<Row>) {
        let version = row.as_ref().map(|row| row.version);
        let content: Option<Host> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let own = content.as_ref().filter(|host| host.incarnation == self.host.incarnation);
        let sequence = own.map(|host| host.sequence);
        let foreign = content.is_some() && own.is_none();
        let base = std::mem::replace(&mut self.version, version);
        let Some(flight) = &mut self.flight else {
            // A restart with the same incarnation continues the sequence numbers.
            self.host.sequence = self.host.sequence.max(sequence.unwrap_or(0));
            return self.resume(context, foreign);
        };
        let fence = flight.fence.as_ref().map(|fence| fence.sequence);
        if sequence == Some(flight.sequence) {
            flight.fence = None;
            flight.sent = flight.first_sent;
            self.transaction_committed(context, version);
        } else if sequence.is_some() && sequence == fence {
            flight.fence.iter_mut().for_each(|fence| fence.sent = fence.first_sent);
            self.transaction_committed(context, version);
        } else if version == base {
            self.not_committed(context);
        } else {
            self.overwritten(context, base, foreign);
        }
    }

    /// Handles an unchanged host row: the current transaction has not been committed so far.
    fn not_committed(&mut self, context: &mut Context) {
        let Some(flight) = &self.flight else { return };
        let expired = flight.expired && flight.fence.is_none();
        match expired {
            true => self.send_fence(context, Vec::new()),
            false => self.send(context),
        }
    }

    /// Handles a host row written by another process: the current transaction can no longer be committed.
    fn overwritten(&mut self, context: &mut Context, base: Option<Version>, foreign: bool) {
        // If the row changed more than once, the first change may have been the current transaction.
        let once = self.version == Some(base.unwrap_or(0) + 1);
        let unknown = self.flight.as_ref().is_some_and(|flight| flight.ambiguous) && !once;
        if unknown && let Some(flight) = self.flight.take() {
            let fail = |batch| answer(context, batch, Err(WriteFailure::Unknown));
            flight.batches.iter().for_each(fail);
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
    fn expire(&mut self, context: &mut Context) {
        let now = context.now;
        self.queue.drop_expired(now, |batch| answer(context, batch, Err(WriteFailure::Expired)));
        let Some(flight) = self.flight.as_mut().filter(|flight| flight.ambiguous) else { return };
        if !flight.batches.iter().any(|batch| queue::is_expired(batch, now)) {
            return;
        }
        let batches = std::mem::take(&mut flight.batches);
        let (expired, kept): (Vec<Batch>, Vec<Batch>) =
            batches.into_iter().partition(|batch| queue::is_expired(batch, now));
        flight.batches = kept;
        flight.expired = true;
        expired.iter().for_each(|batch| answer(context, batch, Err(WriteFailure::Unknown)));
    }

    fn report_drained(&mut self, context: &mut Context) {
        let quiet =
            self.last_write.is_some_and(|last| context.now.duration_since(last) >= QUIET_PERIOD);
        let settled = matches!(self.phase, Phase::Ready | Phase::Replaced);
        let idle = self.stopping && !self.urgent && self.queue.is_empty() && settled;
        if idle && quiet && !self.drained {
            self.drained = true;
            context.send(Name::Router, Message::Drained(Name::Commit));
        }
    }
}

fn answer(context: &mut Context, batch: &Batch, result: Result<(), WriteFailure>) {
    context.send(batch.reply_to, Message::Written { tag: batch.tag, result });
}
