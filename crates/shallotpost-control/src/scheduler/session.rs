//! The session with one worker: claim, lease, open calls and pending orders.

use std::collections::{BTreeSet, VecDeque};

use shallotpost_policy::planner;
use shallotpost_protocol::worker::{Snapshot, StopMode};
use shallotpost_protocol::worker_list;

use crate::prelude::*;
use crate::scheduler::entry::Sequence;
use crate::settings::lease_expiry_bound;

/// Connections that a worker accepts from all entry hosts together.
const WORKER_CONNECTIONS: usize = 64;

/// Entry hosts that share the connections of a worker.
const ENTRY_HOSTS: usize = 9;

/// Most open start and stop calls per worker.
pub const ORDERS_IN_FLIGHT_MAX: usize = 4;

// One more connection carries the open `sync` or `claim`.
const _: () = assert!(ORDERS_IN_FLIGHT_MAX < WORKER_CONNECTIONS / ENTRY_HOSTS);

/// A start or stop that waits for a free connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start the attempt.
    Start(Task, Attempt),
    /// Stop or change the attempt.
    Stop(Task, Attempt, StopMode),
}

/// An open `claim` or `sync`.
#[derive(Clone, Debug)]
pub struct Beat {
    /// The call.
    pub call: CallId,
    /// Its place in the sequence of the shard.
    pub sequence: Sequence,
    /// Whether it may renew the lease in full.
    pub full_lease: bool,
    /// Ends that it acknowledges.
    pub acknowledged: Vec<(Task, Attempt)>,
}

/// State of one worker's session.
#[derive(Debug)]
pub struct Session {
    /// The worker as last listed.
    pub listing: worker_list::Worker,
    /// Whether the current list has it.
    pub listed: bool,
    /// Whether it accepted a claim of this epoch and has not refused a call since.
    pub claimed: bool,
    /// Whether its last call was answered.
    pub answering: bool,
    /// Whether its last call failed.
    pub silent: bool,
    /// Whether its tasks have been compared with the records since it last started to answer.
    pub reconciled: bool,
    /// Whether its task lease has surely lapsed without an answer.
    pub lapsed: bool,
    /// Whether it reported that it is leaving.
    pub leaving: bool,
    /// Incarnation in its last snapshot.
    pub incarnation: Option<u64>,
    /// Sequence of the last answered `claim` or `sync`.
    pub answered: Sequence,
    /// The open `claim` or `sync`.
    pub beat: Option<Beat>,
    /// Time of the next `claim` or `sync`.
    pub next_beat: Instant,
    /// Latest time at which a full lease may have been granted.
    pub renewed: Instant,
    /// What the planner was told last.
    pub published: Option<planner::Worker>,
    /// Last snapshot, while the records are not loaded yet.
    pub unread: Option<(Sequence, Snapshot)>,
    /// Start and stop calls that are open.
    pub in_flight: usize,
    /// Orders that wait.
    pub orders: VecDeque<Order>,
    /// Ends to acknowledge.
    pub acknowledge: BTreeSet<(Task, Attempt)>,
    /// Tasks that are booked on it.
    pub tasks: BTreeSet<Task>,
}

impl Session {
    /// A session with a worker that may run tasks of an earlier owner.
    pub fn new(listing: worker_list::Worker, now: Instant) -> Session {
        Session {
            listing,
            listed: true,
            claimed: false,
            answering: false,
            silent: false,
            reconciled: false,
            lapsed: false,
            leaving: false,
            incarnation: None,
            answered: 0,
            beat: None,
            next_beat: now,
            renewed: now,
            published: None,
            unread: None,
            in_flight: 0,
            orders: VecDeque::new(),
            acknowledge: BTreeSet::new(),
            tasks: BTreeSet::new(),
        }
    }

    /// Whether it may get starts.
    pub fn is_open(&self) -> bool {
        self.listed
            && self.claimed
            && self.answering
            && self.reconciled
            && !self.leaving
            && !self.listing.leaving
    }

    /// Whether everything that an earlier owner may have started on it is known or has lapsed.
    pub fn is_resolved(&self) -> bool {
        self.reconciled || self.lapsed
    }

    /// Whether the worker no longer answers and its tasks have surely ended.
    pub fn has_lapsed(&self, now: Instant, lease: Duration) -> bool {
        !self.answering && now >= self.renewed + lease_expiry_bound(lease)
    }

    /// Lease for the next call, and whether it counts as a full one; `None` where a call must wait.
    ///
    /// While a worker is silent, its calls carry only the rest of the lease, so that a call whose answer is lost does
    /// not prolong the time until its tasks count as ended.
    pub fn next_lease(
        &self,
        now: Instant,
        lease: Duration,
        timeout: Duration,
    ) -> Option<(Duration, bool)> {
        if self.answering || self.lapsed {
            return Some((lease, true));
        }
        let rest = (self.renewed + lease).checked_duration_since(now + timeout)?;
        Some((rest, false)).filter(|(rest, _)| !rest.is_zero())
    }
}
