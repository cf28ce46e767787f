//! Sessions with workers: bookings, leases and the lists that workers report.

use crate::job::StageId;
use crate::prelude::*;
use crate::worker::{EndedRun, Registration};

/// Identifier of a worker, shared between the places that refer to it.
pub type WorkerKey = Rc<str>;

/// Rate by which a worker's clock may be slower than this host's.
const CLOCK_RATE_MIN: f64 = 0.98;

/// Consecutive failed runs after which a worker is avoided. Single failures are mostly the task's own.
const FAILURES_MAX: u32 = 2;

/// Time for which a worker is avoided after consecutive failures.
const AVOID: Duration = Duration::from_secs(4);

/// What is known of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start is on its way.
    Starting,
    /// The worker has confirmed or listed it.
    Running,
    /// The start was not answered; a stop is sent to rule it out.
    Doubtful,
    /// A stop is on its way or confirmed; the end is not listed yet.
    Stopping,
}

/// A booking on a worker.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number of the run.
    pub number: u64,
    /// What it takes of the worker.
    pub booking: Size,
    /// What counts against the team's cap.
    pub size: Size,
    /// The team.
    pub team: Option<Rc<str>>,
    /// Priority of its queue.
    pub priority: u32,
    /// What is known of it.
    pub phase: Phase,
    /// When the start was sent, or the run was found.
    pub since: Uptime,
    /// When the phase changed, or the last stop was sent.
    pub changed: Uptime,
    /// Whether the worker has confirmed the stop.
    pub stop_confirmed: bool,
    /// Newest progress in percent.
    pub percent: f64,
    /// Whether a stop loses little work.
    pub checkpoints: bool,
    /// Whether it may be preempted.
    pub preemptible: bool,
    /// Whether it serves under a latency target.
    pub target: Option<Duration>,
    /// Whether it uses left-over processor time.
    pub fills: bool,
    /// Share at which it was told to work, in percent.
    pub pace: u32,
    /// When the share was changed last.
    pub paced: Uptime,
    /// Newest gauge of the worker's list.
    pub gauge: Option<f64>,
}

/// Contact with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It has not answered in this epoch yet.
    Joining,
    /// It answers.
    Live,
    /// It has stopped answering.
    Silent,
}

/// Room that is kept for a stage for which runs were preempted, until its tasks start there.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The stage.
    pub stage: StageId,
    /// Priority of its queue.
    pub priority: u32,
    /// The room.
    pub size: Size,
    /// When it is given up.
    pub until: Uptime,
}

/// State of one life of a worker.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its registration.
    pub registration: Registration,
    /// Whether the registration is still there.
    pub registered: bool,
    /// Counts the lives of this worker in this epoch.
    pub life: u64,
    /// Fencing token of this epoch and life.
    pub fence: u64,
    /// Whether the stored roster names the worker; nothing is started there before.
    pub rostered: bool,
    /// Contact.
    pub contact: Contact,
    /// Its clock in milliseconds, and when that was read.
    pub clock: Option<(u64, Uptime)>,
    /// Latest end of a lease that was sent, on its clock.
    pub lease_until: u64,
    /// Ends that wait because they begin with one of a job that is not known yet, and since when they wait.
    pub waiting_ends: Vec<EndedRun>,
    /// Since when ends wait.
    pub waiting_since: Option<Uptime>,
    /// Highest end that is stored.
    pub seen: u64,
    /// Highest end that is processed.
    pub processed: u64,
    /// Calls in a row that got no answer.
    pub unanswered: u32,
    /// The call that waits for an end, and when it was sent.
    pub hold: Option<(CallId, Uptime)>,
    /// When the next one is due.
    pub next_hold: Uptime,
    /// Bookings.
    pub placements: BTreeMap<TaskId, Placement>,
    /// Sum of the bookings.
    pub used: Size,
    /// Room that is kept for stages.
    pub reservations: Vec<Reservation>,
    /// Failed runs since the last completed one.
    pub consecutive_failures: u32,
    /// The worker is avoided until this moment.
    pub avoid_until: Uptime,
}

impl Session {
    /// A session before the first contact.
    pub fn new(registration: Registration, life: u64, fence: u64, now: Uptime) -> Session {
        Session {
            registration,
            registered: true,
            life,
            fence,
            rostered: false,
            contact: Contact::Joining,
            clock: None,
            lease_until: 0,
            waiting_ends: Vec::new(),
            waiting_since: None,
            seen: 0,
            processed: 0,
            unanswered: 0,
            hold: None,
            next_hold: now,
            placements: BTreeMap::new(),
            used: Size::ZERO,
            reservations: Vec::new(),
            consecutive_failures: 0,
            avoid_until: Uptime::ZERO,
        }
    }

    /// Rack of the worker: the second of its labels.
    pub fn rack(&self) -> &str {
        self.registration.labels.get(1).map_or("", String::as_str)
    }

    /// Room that is not booked.
    pub fn free(&self) -> Size {
        self.registration.capacity.minus(&self.used)
    }

    /// Room for a stage of this priority: what is not booked and not kept for more urgent stages.
    pub fn free_for(&self, stage: &StageId, priority: u32, now: Uptime) -> Size {
        let kept = self.reservations.iter().filter(|reservation| {
            reservation.until > now
                && reservation.stage != *stage
                && reservation.priority < priority
        });
        kept.fold(self.free(), |free, reservation| free.minus(&reservation.size))
    }

    /// Keeps room for a stage, in place of what was kept for it before.
    pub fn reserve(&mut self, reservation: Reservation, now: Uptime) {
        self.reservations.retain(|kept| kept.until > now && kept.stage != reservation.stage);
        self.reservations.push(reservation);
    }

    /// Room that is being freed by stops.
    pub fn freeing(&self) -> Size {
        let stopping = self.placements.values().filter(|run| run.phase == Phase::Stopping);
        stopping.fold(Size::ZERO, |sum, run| sum.plus(&run.booking))
    }

    /// The worker's clock as it is most likely now.
    pub fn clock_now(&self, now: Uptime) -> Option<u64> {
        let (clock, read) = self.clock?;
        Some(clock + milliseconds(now.saturating_sub(read)))
    }

    /// Whether every lease that was sent has expired for certain.
    pub fn lease_lapsed(&self, now: Uptime) -> bool {
        let Some((clock, read)) = self.clock else { return false };
        let least = now.saturating_sub(read).mul_f64(CLOCK_RATE_MIN);
        clock + milliseconds(least) > self.lease_until
    }

    /// Longest time until every lease that was sent has expired for certain.
    pub fn lapses_in(&self, now: Uptime) -> Duration {
        let Some((clock, read)) = self.clock else { return Duration::ZERO };
        let left = Duration::from_millis(self.lease_until.saturating_sub(clock) + 1);
        left.div_f64(CLOCK_RATE_MIN).saturating_sub(now.saturating_sub(read))
    }

    /// Whether new tasks may start there.
    pub fn takes_tasks(&self) -> bool {
        self.contact == Contact::Live
            && self.rostered
            && self.registered
            && !self.registration.draining
    }

    /// Books a run.
    pub fn book(&mut self, task: TaskId, placement: Placement) {
        self.used = self.used.plus(&placement.booking);
        self.placements.insert(task, placement);
    }

    /// Removes a booking.
    pub fn release(&mut self, task: &TaskId) -> Option<Placement> {
        let placement = self.placements.remove(task)?;
        self.used = self.used.minus(&placement.booking);
        Some(placement)
    }

    /// Records that a run failed or completed, to detect workers that fail everything.
    pub fn record_outcome(&mut self, failed: bool, now: Uptime) {
        match failed {
            false => {
                self.consecutive_failures = 0;
                self.avoid_until = Uptime::ZERO;
            }
            true => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_MAX {
                    self.avoid_until = now + AVOID;
                }
            }
        }
    }
}

/// A duration in whole milliseconds.
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
