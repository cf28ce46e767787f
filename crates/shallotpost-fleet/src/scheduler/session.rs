//! Sessions with workers: placements, leases and the ended runs that workers report.

use shallotpost_policy::slowness::Slowness;

use crate::job::StageId;
use crate::prelude::*;
use crate::scheduler::orders::ORDER_TIMEOUT;
use crate::scheduler::{INCARNATIONS_MAX, RAISED_FENCE_MAX};
use crate::worker::{EndedRun, Registration};

/// Reference-counted identifier of a worker.
pub type WorkerKey = Rc<str>;

/// Minimum rate of a worker's clock relative to this host's clock.
pub(super) const CLOCK_RATE_MIN: f64 = 0.98;

/// Time for which a worker is avoided after a failed run, which is mostly the fault of the task itself.
const AVOID_TIME: Duration = Duration::from_millis(800);

/// Time for which a worker is avoided after consecutive failed runs.
const AVOID_TIME_CONSECUTIVE: Duration = Duration::from_secs(4);

/// Speed of a run that is not limited, in percent.
pub const FULL_SPEED_PERCENT: u32 = 100;

/// Time by which a worker's clock may be behind what is expected, in milliseconds.
const CLOCK_BEHIND_MAX_MS: u64 = 50;

/// Time by which a worker's clock may be ahead of what is expected, in milliseconds: answers wait while a host is busy, so the
/// clocks that they carry are old.
const CLOCK_AHEAD_MAX_MS: u64 = 1_000;

/// Time after which a start that was not answered is no longer carried out by a later incarnation of the worker. The
/// incarnation that it was meant for refuses it earlier, once the lease that it carries is over.
pub(super) const LATE_START_TIME_MAX: Duration = Duration::from_secs(12);

/// Time within which a start that was not answered reaches a worker that is out of reach afterwards. A start that is carried
/// out later than that, under the longest lease and without any contact, is not waited for: its task would stand for 22 s
/// on each worker that is gone.
const REACH_TIME_MAX: Duration = Duration::from_millis(3_500);

/// Phase of a run on a worker, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start call is in flight.
    Starting,
    /// The worker has confirmed the start or lists the run.
    Running,
    /// The start call was not answered, so the run may exist. A stop is sent to rule it out.
    StartUnanswered,
    /// A stop call is in flight or confirmed, and the worker has not listed the end of the run yet.
    Stopping,
    /// The start was meant for a former incarnation of the worker. The first list of the present one tells whether it has
    /// taken the start. A start that was answered is not carried out later.
    Undecided { answered: bool },
}

/// A run that is placed on a worker, with the resources that it books there.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number of the run.
    pub number: u64,
    /// Resources booked on the worker.
    pub booking: Size,
    /// Resources that count against the team's quota. They include the processors of a best-effort task, which are not
    /// booked.
    pub size: Size,
    pub team: Option<Rc<str>>,
    /// Priority of its queue; lower numbers are more urgent.
    pub priority: u32,
    pub phase: Phase,
    /// When the start was sent, or when the run was first listed.
    pub started: Uptime,
    /// When the phase last changed, or when the last stop was sent or confirmed.
    pub changed: Uptime,
    pub stop_confirmed: bool,
    /// Whether an earlier owner started the run, at an unknown time.
    pub adopted: bool,
    /// Whether a list of this incarnation of the worker has shown the run.
    pub listed: bool,
    /// Whether the start was answered with a clock that can't be that of this incarnation of the worker.
    pub foreign_clock: bool,
    /// Whether the run was started in isolation.
    pub on_trial: bool,
    /// Last reported progress, in percent.
    pub progress_percent: f64,
    /// Whether the task writes checkpoints, so that a stop loses little work.
    pub checkpoints: bool,
    pub preemptible: bool,
    /// Target for the tail latency of the requests that the task serves; `None` if it has none.
    pub latency_target: Option<Duration>,
    /// Whether the task uses idle processor time, which is not booked.
    pub best_effort: bool,
    /// Speed to which the task is limited, in percent of full speed.
    pub speed_percent: u32,
    /// When the speed limit was last changed.
    pub speed_changed: Uptime,
    /// Last reported gauge; see [`crate::worker::Run::gauge`].
    pub gauge: Option<f64>,
}

/// State of the contact with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered in this epoch yet.
    Joining,
    /// It answers calls.
    Live,
    /// It has stopped answering.
    Silent,
}

/// A lease renewal in flight.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    pub call: CallId,
    /// Fencing token that it was sent under.
    pub fence: u64,
    /// Sequence number that it acknowledges; zero for none.
    pub acknowledged: u64,
    /// Whether it was sent in place of another one, to learn at once which incarnation answers.
    pub is_question: bool,
}

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredStart {
    pub task: TaskId,
    /// Number of the run.
    pub number: u64,
    /// When it was sent.
    pub sent: Uptime,
}

/// Capacity of a worker that is reserved for a stage in whose favour runs were preempted.
#[derive(Clone, Debug)]
pub struct Reservation {
    pub stage: StageId,
    /// Priority of its queue; lower numbers are more urgent.
    pub priority: u32,
    pub size: Size,
    /// When the reservation expires.
    pub until: Uptime,
}

/// Use of a worker for tasks that may crash it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Other runs there have not survived their start yet, or the worker has not answered recently. Nothing else starts.
    Held {
        stage: StageId,
        /// When the worker is given back if the task has not started.
        until: Uptime,
    },
    /// Suspect runs have started, and nothing else starts.
    Closed { stage: StageId, run: u64 },
    /// The suspect runs have survived their start, but not the age of all earlier losses. Other tasks may start.
    Observed { stage: StageId, run: u64 },
}

/// Session with one incarnation of a worker, that is, with one process.
#[derive(Clone, Debug)]
pub struct Session {
    pub registration: Registration,
    /// Whether the worker is still in the registry.
    pub registered: bool,
    /// Start of the worker's former process, in milliseconds since the Unix epoch; `None` if this epoch knows of none.
    pub former_started_unix_ms: Option<u64>,
    /// Incarnation of the worker, counted from zero within this epoch.
    pub incarnation: u64,
    /// Fencing token of this epoch and incarnation.
    pub fence: u64,
    /// Earliest time at which the worker leaves; `None` if it is not draining or does not tell.
    pub leaves: Option<Uptime>,
    /// Whether the stored roster names the worker. Nothing is started on it before.
    pub in_roster: bool,
    pub contact: Contact,
    /// The worker's clock in milliseconds, and when it was read; `None` until the worker has listed its runs in this epoch.
    /// Only lists name the incarnation whose clock they give.
    pub clock: Option<(u64, Uptime)>,
    /// Latest end of a lease that the worker may hold, in milliseconds of its clock.
    pub lease_until_ms: u64,
    /// When the last call was sent that may extend the worker's leases.
    pub lease_sent: Uptime,
    /// Maximum length of a lease that the worker grants.
    pub hold_max: Duration,
    /// Ended runs whose processing is deferred because the first of them belongs to a job that is not known yet.
    pub waiting_ends: Vec<EndedRun>,
    /// Whether the worker's last list left out ended runs, or some of them wait for their job. A run that is missing from
    /// the list may then have ended.
    pub ends_missing: bool,
    /// When ends of unknown jobs that are not processed were first listed, by their sequence numbers.
    pub unknown_since: BTreeMap<u64, Uptime>,
    /// Sequence number up to which ended runs are stored. It is sent to the worker, which may then drop them.
    pub acknowledged: u64,
    /// The last acknowledgement that the worker has answered.
    pub acknowledgement_answered: u64,
    /// Sequence number up to which ended runs are processed.
    pub processed: u64,
    /// Ends that the worker is not told to drop before a time, by their sequence numbers.
    pub held_ends: Vec<(u64, Uptime)>,
    /// Number of consecutive lease renewals without an answer.
    pub unanswered: u32,
    /// When the latest of the answered renewals and probes was sent: the worker's process was alive after that.
    pub answered: Uptime,
    /// When the worker's latest answer arrived.
    pub heard: Uptime,
    /// When the session was opened.
    pub opened: Uptime,
    /// Whether the worker is set aside for a suspect task.
    pub isolation: Option<Isolation>,
    /// Earliest time of the next call that asks whether the worker is alive.
    pub next_probe: Uptime,
    /// When the first of the calls failed that the worker has not answered since its last answer.
    pub broken: Option<Uptime>,
    /// The lease renewal in flight.
    pub renewal: Option<Renewal>,
    /// When the next lease renewal is due.
    pub next_renewal: Uptime,
    pub placements: BTreeMap<TaskId, Placement>,
    /// Starts that were not answered. A later incarnation may still carry them out, also if the present one has confirmed a
    /// stop.
    pub unanswered_starts: Vec<UnansweredStart>,
    /// Number of placements with a latency target, and of best-effort ones.
    pub latency_targets: u32,
    pub best_effort: u32,
    /// Sum of the resources that the placements book.
    pub used: Size,
    pub reservations: Vec<Reservation>,
    /// Number of failed runs since the last completed one.
    pub consecutive_failures: u32,
    /// Time until which other workers are preferred.
    pub avoid_until: Uptime,
    pub slowness: Slowness,
}

impl Session {
    /// Creates a session with a worker that has not answered yet.
    pub fn new(
        registration: Registration,
        incarnation: u64,
        fence: u64,
        hold_max: Duration,
        now: Uptime,
    ) -> Session {
        Session {
            leaves: registration.leaves(now),
            registration,
            registered: true,
            former_started_unix_ms: None,
            incarnation,
            fence,
            in_roster: false,
            contact: Contact::Joining,
            clock: None,
            lease_until_ms: 0,
            lease_sent: Uptime::ZERO,
            hold_max,
            waiting_ends: Vec::new(),
            ends_missing: false,
            unknown_since: BTreeMap::new(),
            acknowledged: 0,
            acknowledgement_answered: 0,
            processed: 0,
            held_ends: Vec::new(),
            unanswered: 0,
            answered: Uptime::ZERO,
            heard: Uptime::ZERO,
            opened: now,
            isolation: None,
            next_probe: Uptime::ZERO,
            broken: None,
            renewal: None,
            next_renewal: now,
            placements: BTreeMap::new(),
            unanswered_starts: Vec::new(),
            latency_targets: 0,
            best_effort: 0,
            used: Size::ZERO,
            reservations: Vec::new(),
            consecutive_failures: 0,
            avoid_until: Uptime::ZERO,
            slowness: Slowness::default(),
        }
    }

    /// Returns whether a registration has the pool and the address of this session.
    pub fn is_at(&self, registration: &Registration) -> bool {
        (&self.registration.pool, &self.registration.address)
            == (&registration.pool, &registration.address)
    }

    /// Returns the worker's rack, which is the second of its labels; empty if it has none.
    pub fn rack(&self) -> &str {
        self.registration.labels.get(1).map_or("", String::as_str)
    }

    /// Returns the capacity that is not booked.
    pub fn free(&self) -> Size {
        self.registration.capacity.minus(&self.used)
    }

    /// Returns the capacity that will not be booked once these resources are free. A worker whose capacity has shrunk
    /// below its bookings must free the difference first.
    pub fn free_after(&self, freed: &Size) -> Size {
        self.registration.capacity.minus(&self.used.minus(freed))
    }

    /// Returns the capacity that a stage of this priority may use: what is neither booked nor reserved for stages of
    /// more urgent priority.
    pub fn free_for(&self, stage: &StageId, priority: u32, now: Uptime) -> Size {
        let kept = self.reservations.iter().filter(|reservation| {
            reservation.until > now
                && reservation.stage != *stage
                && reservation.priority < priority
        });
        kept.fold(self.free(), |free, reservation| free.minus(&reservation.size))
    }

    /// Adds a reservation in place of an earlier one for the same stage. Expired reservations are dropped.
    pub fn reserve(&mut self, reservation: Reservation, now: Uptime) {
        self.reservations.retain(|kept| kept.until > now && kept.stage != reservation.stage);
        self.reservations.push(reservation);
    }

    /// Returns the resources that runs being stopped will free.
    pub fn freeing(&self) -> Size {
        let stopping = self.placements.values().filter(|run| run.phase == Phase::Stopping);
        stopping.fold(Size::ZERO, |sum, run| sum.plus(&run.booking))
    }

    /// Returns the estimated current time of the worker's clock, in milliseconds; `None` until the worker has answered.
    pub fn clock_now(&self, now: Uptime) -> Option<u64> {
        let (clock, read) = self.clock?;
        Some(clock.saturating_add(milliseconds(now.saturating_sub(read))))
    }

    /// Returns the time that the worker's clock has certainly reached at `at`, in milliseconds; `None` until the worker has
    /// answered.
    pub fn least_clock_at(&self, at: Uptime) -> Option<u64> {
        let (clock, read) = self.clock?;
        let least = at.saturating_sub(read).mul_f64(CLOCK_RATE_MIN);
        Some(clock.saturating_add(milliseconds(least)))
    }

    /// Records the clock that the worker lists its runs with.
    ///
    /// From the first list of a session on, the worker refuses the calls of earlier sessions and owners, as their fencing
    /// tokens are lower. Until then, it may have granted the longest lease to any of them.
    pub fn read_clock(&mut self, clock_ms: u64, now: Uptime) {
        if self.clock.is_none() {
            let earlier = clock_ms.saturating_add(milliseconds(self.hold_max));
            self.lease_until_ms = self.lease_until_ms.max(earlier);
        }
        self.clock = Some((clock_ms, now));
    }

    /// Returns the time after which every lease that this incarnation may hold has certainly expired, even if its clock is
    /// slow; zero if it has not listed its runs yet.
    fn leases_end(&self) -> Uptime {
        let Some((clock, read)) = self.clock else { return Uptime::ZERO };
        let left = self.lease_until_ms.saturating_sub(clock).saturating_add(1);
        read.saturating_add(Duration::from_millis(left).div_f64(CLOCK_RATE_MIN))
    }

    /// Returns whether a clock that the worker gave between `sent` and `now` can't be that of this incarnation.
    pub fn is_foreign_clock(&self, clock_ms: u64, sent: Uptime, now: Uptime) -> bool {
        let (Some(least), Some(most)) = (self.least_clock_at(sent), self.clock_now(now)) else {
            return false;
        };
        clock_ms.saturating_add(CLOCK_BEHIND_MAX_MS) < least
            || clock_ms > most.saturating_add(CLOCK_AHEAD_MAX_MS)
    }

    /// Returns the time after which a run has certainly ended if the worker does not answer. A start that another
    /// incarnation has taken may have got the longest lease.
    pub fn run_ends(&self, run: &Placement) -> Uptime {
        let taken_within = match run.phase {
            // The first list of this incarnation bounds all earlier leases.
            Phase::Undecided { .. } if self.clock.is_some() => return self.leases_end(),
            // Without an answer, the start may still be on its way.
            Phase::Undecided { answered: false } => REACH_TIME_MAX,
            Phase::Undecided { answered: true } => ORDER_TIMEOUT,
            _ if run.foreign_clock => ORDER_TIMEOUT,
            _ => return self.leases_end(),
        };
        // A later call extends the leases of all runs on the worker.
        let sent = run.started.max(self.lease_sent);
        let longest_lease = self.hold_max.div_f64(CLOCK_RATE_MIN);
        self.leases_end().max(sent + taken_within + longest_lease)
    }

    /// Returns the maximum time until all that the worker may run has certainly ended, if it does not answer.
    pub fn runs_end_in(&self, now: Uptime) -> Duration {
        let ends = self.placements.values().map(|run| self.run_ends(run));
        ends.fold(self.leases_end(), Uptime::max).saturating_sub(now)
    }

    /// Records that a start was not answered.
    pub fn record_unanswered_start(&mut self, start: UnansweredStart, now: Uptime) {
        self.unanswered_starts.retain(|start| start.sent + LATE_START_TIME_MAX > now);
        self.unanswered_starts.push(start);
    }

    /// Returns whether a later incarnation of the worker may carry out an unanswered start of a task.
    fn may_start_late(&self, task: TaskId, now: Uptime) -> bool {
        let mut starts = self.unanswered_starts.iter();
        starts.any(|start| start.task == task && start.sent + LATE_START_TIME_MAX > now)
    }

    /// Returns the tasks that the next incarnation of the worker may run when the present one has ended.
    pub fn undecided_tasks(&self, now: Uptime) -> Vec<TaskId> {
        let undecided = self
            .placements
            .iter()
            .filter(|(task, run)| !run.listed || self.may_start_late(**task, now));
        undecided.map(|(task, _)| *task).collect()
    }

    /// Returns the sequence number up to which ends are stored and need not be kept by the worker.
    fn releasable_ends(&self, now: Uptime) -> u64 {
        let held = self.held_ends.iter().filter(|(_, until)| *until > now);
        let before_held = held.map(|(sequence, _)| sequence.saturating_sub(1)).min();
        self.acknowledged.min(before_held.unwrap_or(u64::MAX))
    }

    /// Returns the sequence number up to which a call is to tell the worker that its ends are stored; zero for none.
    ///
    /// Another incarnation may take the call, and would drop ends of its own that nobody has read. So it is sent once, and
    /// neither while a call has failed since the last answer nor while a start is in flight. Starts that are sent
    /// before it is answered have a higher fencing token.
    pub fn acknowledgement(&self, now: Uptime) -> u64 {
        let certain =
            self.contact == Contact::Live && self.unanswered == 0 && self.broken.is_none();
        let starting = self.placements.values().any(|run| run.phase == Phase::Starting);
        match self.releasable_ends(now) {
            due if due > self.acknowledgement_answered && certain && !starting => due,
            _ => 0,
        }
    }

    /// Returns whether the worker keeps stored ends of which it can't be told at present.
    pub fn withholds_acknowledgement(&self, now: Uptime) -> bool {
        self.acknowledged > self.acknowledgement_answered && self.acknowledgement(now) == 0
    }

    /// Returns whether a call with an acknowledgement is in flight under the fencing token of further calls.
    pub fn is_acknowledging(&self) -> bool {
        let renewal = self.renewal.filter(|renewal| renewal.acknowledged > 0);
        renewal.is_some_and(|renewal| renewal.fence == self.fence)
    }

    /// Returns whether the fencing token can be raised within this session.
    pub fn can_raise_fence(&self) -> bool {
        self.fence % INCARNATIONS_MAX < RAISED_FENCE_MAX
    }

    /// Returns whether the worker has told in this epoch how all its runs have ended.
    pub fn has_listed_all(&self) -> bool {
        self.clock.is_some() && !self.ends_missing
    }

    /// Returns whether the worker answers, and is still to list how further runs have ended.
    pub fn is_listing(&self) -> bool {
        self.contact == Contact::Live && self.ends_missing
    }

    /// Returns whether new tasks may start on the worker.
    pub fn accepts_tasks(&self) -> bool {
        self.contact == Contact::Live
            && self.broken.is_none()
            && (self.can_raise_fence() || !self.is_acknowledging())
            && self.in_roster
            && self.registered
            && !self.registration.draining
    }

    pub fn book(&mut self, task: TaskId, placement: Placement) {
        self.used = self.used.plus(&placement.booking);
        self.latency_targets += u32::from(placement.latency_target.is_some());
        self.best_effort += u32::from(placement.best_effort);
        self.placements.insert(task, placement);
    }

    /// Removes a placement and returns it.
    pub fn release(&mut self, task: &TaskId) -> Option<Placement> {
        let placement = self.placements.remove(task)?;
        self.used = self.used.minus(&placement.booking);
        self.latency_targets -= u32::from(placement.latency_target.is_some());
        self.best_effort -= u32::from(placement.best_effort);
        Some(placement)
    }

    /// Records a failed or completed run, to detect workers on which every run fails.
    pub fn record_outcome(&mut self, failed: bool, now: Uptime) {
        match failed {
            false => {
                self.consecutive_failures = 0;
                self.avoid_until = Uptime::ZERO;
            }
            true => {
                self.consecutive_failures += 1;
                let time = match self.consecutive_failures {
                    1 => AVOID_TIME,
                    _ => AVOID_TIME_CONSECUTIVE,
                };
                self.avoid_until = now + time;
            }
        }
    }
}

/// Converts a duration to whole milliseconds. It saturates at `u64::MAX`.
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
