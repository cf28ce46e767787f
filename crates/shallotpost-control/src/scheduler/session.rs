//! Session with one worker: claim, task lease, open calls and queued orders.

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

/// Maximum number of open start and stop calls per worker.
pub const ORDERS_IN_FLIGHT_MAX: usize = 4;

// The open `sync` or `claim` needs one more connection.
const _: () = assert!(ORDERS_IN_FLIGHT_MAX < WORKER_CONNECTIONS / ENTRY_HOSTS);

/// A start or stop that waits for a free connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    Start(Task, Attempt),
    /// Stops, checkpoints, throttles or resumes the attempt.
    Stop(Task, Attempt, StopMode),
}

/// Process of a worker that has ended, or may have.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: u64,
    /// When it was first seen.
    pub since: Instant,
    /// When it stopped answering.
    pub ended_at: Instant,
    /// Whether all tasks that it may have run belong to one job.
    pub single_work: bool,
    /// Whether a cause other than the tasks is known or likely: the worker was about to leave, or
    /// stopped answering together with many others.
    pub other_cause: bool,
}

/// Time without an answer from a worker.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// When the first call failed.
    pub since: Instant,
    /// Whether the worker ran a suspect task.
    pub ran_suspect: bool,
}

/// An open `claim` or `sync`.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub call: CallId,
    pub sequence: Sequence,
    /// Whether it grants a full task lease rather than the rest of the last one.
    pub full_lease: bool,
    /// Ended attempts that it acknowledges.
    pub acknowledged: Vec<(Task, Attempt)>,
}

#[derive(Debug)]
pub struct Session {
    /// Entry of the worker in the last list that had it.
    pub listing: worker_list::Worker,
    /// Whether the current list has the worker.
    pub listed: bool,
    /// Whether the worker accepted a claim of this epoch and has not answered `NotClaimed` since.
    pub claimed: bool,
    /// Whether the last `claim` or `sync` returned a snapshot and the worker is listed.
    pub answering: bool,
    /// Whether the last `claim` or `sync` failed.
    pub silent: bool,
    /// Whether the worker's tasks have been compared with the records since it last started to answer.
    pub reconciled: bool,
    /// Whether the task lease has certainly lapsed without an answer.
    pub lapsed: bool,
    /// Whether the worker reported that it is leaving.
    pub leaving: bool,
    /// Incarnation in the last snapshot; it changes when the worker restarts.
    pub incarnation: Option<u64>,
    /// When this incarnation was first seen.
    pub since: Option<Instant>,
    /// The incarnation before it, if it ended during the session.
    pub ended: Option<Process>,
    /// Set from the first failed call to the next answer.
    pub silence: Option<Silence>,
    /// Sequence number of the last `claim` or `sync` whose snapshot was compared.
    pub answered: Sequence,
    pub heartbeat: Option<Heartbeat>,
    /// Earliest time of the next `claim` or `sync`.
    pub next_heartbeat: Instant,
    /// Latest time at which the worker may have received a full task lease.
    pub renewed: Instant,
    /// State last published to the planner.
    pub published: Option<planner::Worker>,
    /// Last snapshot that arrived before the records were loaded.
    pub deferred_snapshot: Option<(Sequence, Snapshot)>,
    /// Number of open start and stop calls.
    pub in_flight: usize,
    /// Orders that wait for a free connection.
    pub orders: VecDeque<Order>,
    /// Ended attempts that the next `sync` acknowledges.
    pub to_acknowledge: BTreeSet<(Task, Attempt)>,
    /// Tasks booked on the worker.
    pub tasks: BTreeSet<Task>,
}

impl Session {
    /// Creates a session with a worker that may run tasks of an earlier owner.
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
            since: None,
            ended: None,
            silence: None,
            answered: 0,
            heartbeat: None,
            next_heartbeat: now,
            renewed: now,
            published: None,
            deferred_snapshot: None,
            in_flight: 0,
            orders: VecDeque::new(),
            to_acknowledge: BTreeSet::new(),
            tasks: BTreeSet::new(),
        }
    }

    /// Returns whether the worker may be sent starts.
    pub fn is_open(&self) -> bool {
        self.listed
            && self.claimed
            && self.answering
            && self.reconciled
            && !self.leaving
            && !self.listing.leaving
    }

    /// Returns whether every task that an earlier owner may have started on the worker is known or has lapsed.
    pub fn is_resolved(&self) -> bool {
        self.reconciled || self.lapsed
    }

    /// Returns whether the worker does not answer and its task lease has certainly lapsed, so that its tasks have ended.
    pub fn has_lapsed(&self, now: Instant, lease: Duration) -> bool {
        !self.answering && now >= self.renewed + lease_expiry_bound(lease)
    }

    /// Returns the lease for the next call and whether it is a full one; `None` if no call may be sent now.
    ///
    /// Calls to a silent worker carry only the rest of the last lease, so that a call whose answer is lost does not delay
    /// the time at which the worker's tasks count as ended.
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
