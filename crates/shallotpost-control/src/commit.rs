//! Group commit: one transaction in flight, which also carries the host's heartbeat.
//!
//! Each transaction writes the host's own row, checked on its previous version, with a sequence number that no other
//! transaction of this incarnation carries. An unknown outcome is resolved by reading that row. A transaction with an
//! unknown outcome may still be on its way, so before one of its batches is reported as not written, a transaction with
//! the own row alone (the fence) makes the check on the own row fail for it for ever.

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

/// Interval of transactions with [`HOSTS_MIN`] live hosts.
pub const INTERVAL_MIN: Duration = Duration::from_millis(30);

/// Interval of transactions with [`HOSTS_MAX`] live hosts.
pub const INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Number of live hosts up to which [`INTERVAL_MIN`] holds.
pub const HOSTS_MIN: usize = 9;

/// Number of live hosts from which [`INTERVAL_MAX`] holds.
pub const HOSTS_MAX: usize = 135;

/// Longest time between two transactions. Somewhat below one second, so that a late tick does not stretch it beyond.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(950);

/// Time without writes of other services after which a stopping host counts as drained.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Consecutive failed calls after which the table counts as unreachable. One lost answer is not an outage.
pub const UNREACHABLE_FAILURES: u32 = 2;

/// Time beyond the timeout of a call after which its answer is no longer expected.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Interval of transactions with this number of live hosts, this one included.
pub fn interval(live_hosts: usize) -> Duration {
    let hosts = live_hosts.clamp(HOSTS_MIN, HOSTS_MAX) - HOSTS_MIN;
    INTERVAL_MIN + (INTERVAL_MAX - INTERVAL_MIN) * hosts as u32 / (HOSTS_MAX - HOSTS_MIN) as u32
}

/// A call whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    deadline: Instant,
}

/// What the service does now.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The own row must be read.
    Unread,
    /// The own row is being read.
    Reading(Call),
    /// The version of the own row is known and no outcome is open.
    Ready,
    /// A transaction is on its way.
    Transacting(Call),
    /// Another process took over the name of this host.
    Replaced,
}

/// A transaction whose outcome is open.
#[derive(Debug)]
struct Flight {
    request: Request,
    sequence: u64,
    first_sent: Instant,
    sent: Instant,
    /// Batches that have no answer yet.
    batches: Vec<Batch>,
    /// Bytes of all batches at the start.
    bytes: usize,
    /// Whether a copy may have taken effect, or may still do.
    ambiguous: bool,
    /// Whether a batch expired, so that the transaction must not be sent again.
    expired: bool,
    /// The transaction that rules this one out.
    fence: Option<Fence>,
}

/// A transaction with the own row alone.
#[derive(Debug)]
struct Fence {
    request: Request,
    sequence: u64,
    first_sent: Instant,
    sent: Instant,
    /// Keys of the checks of the flight that failed.
    failed_checks: Vec<String>,
}

impl Flight {
    /// The transaction to send, the fence if there is one, and the moment at which it was sent last.
    fn open(&mut self) -> (&Request, &mut Instant) {
        match &mut self.fence {
            Some(fence) => (&fence.request, &mut fence.sent),
            None => (&self.request, &mut self.sent),
        }
    }
}

/// State of the service.
struct State {
    key: String,
    host: Host,
    version: Option<Version>,
    /// Whether a transaction of this process took effect. Before that, any other incarnation in the row is an older one:
    /// its delayed transaction can still overwrite what was read at the start. Afterwards only a process that read this
    /// incarnation's row can overwrite it, so another incarnation is a newer one.
    established: bool,
    phase: Phase,
    flight: Option<Flight>,
    queue: Queue,
    retry: Retry,
    /// Earliest moment of the next transaction, after a failure.
    retry_from: Option<Instant>,
    /// Whether the next transaction does not wait for the interval.
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

/// The service.
pub struct Commit {
    /// Boxed, since the enum of all services has the size of the largest one.
    state: Box<State>,
}

impl Commit {
    /// A service without a queue.
    pub fn new(settings: &Settings) -> Commit {
        Commit { state: Box::new(State::new(settings)) }
    }

    /// Handles one message.
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
        // A batch that can never be sent must not block the queue.
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

    /// Does what is due at this moment.
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

    /// Sends a transaction with these batches, which can go together.
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

    /// A transaction with the next sequence number.
    fn transaction(&mut self, batches: &[Batch]) -> Request {
        self.host.sequence += 1;
        let own_check = Check { key: self.key.clone(), version: self.version };
        // Two batches may check the same row, with the same version.
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

    /// Sends the open transaction, for the first time or again.
    fn send(&mut self, context: &mut Context) {
        let Some(flight) = &mut self.flight else { return };
        let (request, sent) = flight.open();
        *sent = context.now;
        let request = request.clone();
        self.last_sent = Some(context.now);
        self.phase = Phase::Transacting(self.call(context, request));
    }

    /// Replaces the open transaction by one with the own row alone.
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
            // The answer of a call that was given up.
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
        // A small read probes the table next, so that an outage does not repeat the whole transaction each time.
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

    /// The transaction that was sent last took effect.
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
            // The answer names no check of this transaction, so it says nothing about its outcome.
            self.failed(context, Failure::Ambiguous);
        } else if flight.ambiguous {
            self.send_fence(context, keys);
        } else if let Some(flight) = self.flight.take() {
            self.phase = Phase::Ready;
            self.refuse(context, flight.batches, &keys);
        }
    }

    /// Reports the batches whose checks failed, and sends the others again. None of them took effect. Batches that were
    /// queued since are left out, so that conflicts among them do not lead to one transaction after the other.
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

    /// Queues the batches of the open transaction again, since it certainly did not take effect and never will.
    fn requeue(&mut self) {
        let flight = self.flight.take();
        self.queue.put_back(flight.map(|flight| flight.batches).unwrap_or_default());
    }

    /// The own row was read.
    fn own_row(&mut self, context: &mut Context, row: Option<Row>) {
        let version = row.as_ref().map(|row| row.version);
        let content: Option<Host> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let own = content.as_ref().filter(|host| host.incarnation == self.host.incarnation);
        let sequence = own.map(|host| host.sequence);
        let foreign = content.is_some() && own.is_none();
        let base = std::mem::replace(&mut self.version, version);
        let Some(flight) = &mut self.flight else {
            // A restart with the same incarnation continues its sequence.
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

    /// The own row is unchanged: the open transaction has not taken effect so far.
    fn not_committed(&mut self, context: &mut Context) {
        let Some(flight) = &self.flight else { return };
        let expired = flight.expired && flight.fence.is_none();
        match expired {
            true => self.send_fence(context, Vec::new()),
            false => self.send(context),
        }
    }

    /// The own row was written by another process: the open transaction can no longer take effect.
    fn overwritten(&mut self, context: &mut Context, base: Option<Version>, foreign: bool) {
        // Where the row changed more than once, the first change may have been the open transaction.
        let once = self.version == Some(base.unwrap_or(0) + 1);
        let unknown = self.flight.as_ref().is_some_and(|flight| flight.ambiguous) && !once;
        if unknown && let Some(flight) = self.flight.take() {
            let fail = |batch| answer(context, batch, Err(WriteFailure::Unknown));
            flight.batches.iter().for_each(fail);
        }
        self.requeue();
        self.resume(context, foreign);
    }

    /// Goes on with the row as it was read, unless it shows that a newer process has this host's name.
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

    /// Answers the batches that have expired.
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
