//! Calls to the approval service: when a stage needs one, and which workers it names.

use std::hash::{DefaultHasher, Hash, Hasher};

use shallotpost_policy::approval::{Candidate, Cost, workers_to_name};

use crate::job::StageId;
use crate::port::{ApprovalError, ApprovalRequest, Counter, Ticket};
use crate::prelude::*;
use crate::scheduler::placement::{Demand, fits};
use crate::scheduler::round::PoolWorker;
use crate::scheduler::session::{Session, WorkerKey};
use crate::scheduler::stage::{CachedApproval, Stage};
use crate::scheduler::{Context, PendingApproval, Scheduler};

/// Pause after a call to the approval service that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time before its expiry at which a ticket is no longer used: the start takes a few milliseconds to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(250);

/// Pause between two checks of the approvals of a stage that needs no call at present. Each check takes some
/// microseconds per worker.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of workers that one call to the approval service names.
const WORKERS_MAX: usize = 100;

/// A worker that a call may name.
struct Nominee {
    /// What must be done before a task fits: nothing, preemption, or waiting until the worker is empty.
    room: Room,
    /// Whether the service has not approved it for the stage before.
    unknown: bool,
    /// Spreads the stages that ask at the same time over different workers.
    order: u64,
    key: WorkerKey,
    incarnation: u64,
    /// Number of tasks of the stage that fit.
    tasks: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    Free,
    Preemptible,
    Busy,
}

impl Scheduler {
    /// Requests the approval of workers for which it is missing or about to expire.
    pub(super) fn request_approvals(
        &mut self,
        demand: &Demand,
        early: bool,
        pool_workers: &[PoolWorker],
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(approval) = demand.policy.approval else { return };
        let Some(stage) = self.stage(demand.id) else { return };
        let waiting = u64::from(stage.count_waiting());
        if waiting == 0
            || stage.approval_pending
            || stage.next_approval_call > now
            || !self.approvers.is_available(now)
        {
            return;
        }
        let first = stage.approvals.is_empty();
        if early && !first {
            return self.postpone_approval_check(demand.id, now);
        }
        let (mut nominees, usable) = self.nominees(demand, stage, Room::Free, pool_workers, now);
        let mut needed = waiting.saturating_sub(usable);
        if needed > 0 && sum(&nominees) < needed {
            // Preemption requires a ticket beforehand.
            let (preemptible, usable) =
                self.nominees(demand, stage, Room::Preemptible, pool_workers, now);
            needed = waiting.saturating_sub(usable);
            nominees.extend(preemptible);
        }
        let useless = nominees.is_empty() && !first
            || demand.step().gang && !self.may_fit_gang(demand, stage, waiting, pool_workers, now);
        if needed == 0 || useless {
            return self.postpone_approval_check(demand.id, now);
        }
        // Capacity becomes free while the tickets are valid, and another call for it takes as long again.
        nominees.extend(self.nominees(demand, stage, Room::Busy, pool_workers, now).0);
        if nominees.is_empty() {
            return self.postpone_approval_check(demand.id, now);
        }
        nominees.sort_by_key(|nominee| (nominee.room, nominee.unknown, nominee.order));
        let mut named = BTreeSet::new();
        nominees.retain(|nominee| named.insert(Rc::clone(&nominee.key)));
        let rate = self.approval_rates.get(&demand.job.profile()).copied().unwrap_or_default();
        let cost = Cost { per_call: approval.per_call, per_worker: approval.per_worker };
        let candidates = nominees
            .iter()
            .map(|nominee| Candidate { tasks: nominee.tasks, approved: !nominee.unknown });
        nominees.truncate(workers_to_name(needed, candidates, rate, cost).min(WORKERS_MAX));
        let workers = nominees.iter().map(|nominee| nominee.key.to_string()).collect();
        let duration = approval.duration(nominees.len());
        let request = ApprovalRequest { stage: demand.id, workers };
        let call = context.allocate_call();
        let sent = self.approvers.send(call, request, duration, now, context.outputs);
        let Some(ends) = sent else { return };
        context.outputs.push(Output::Count { counter: Counter::Approvals, amount: 1 });
        let workers =
            nominees.into_iter().map(|nominee| (nominee.key, nominee.incarnation)).collect();
        let pending = PendingApproval { stage: demand.id, workers, ends, late: false };
        self.pending_approvals.insert(call, pending);
        if let Some(stage) = self.stage_mut(demand.id) {
            stage.approval_pending = true;
        }
    }

    /// Returns the workers with this kind of room whose approval is not known, and the number of tasks that fit on the
    /// workers with valid tickets.
    fn nominees(
        &self,
        demand: &Demand,
        stage: &Stage,
        room: Room,
        pool_workers: &[PoolWorker],
        now: Uptime,
    ) -> (Vec<Nominee>, u64) {
        let mut nominees = Vec::new();
        let mut usable = 0;
        for (worker, session) in self.suitable(demand, pool_workers) {
            let tasks = match room {
                Room::Free => self.count_fitting_on_worker(demand, worker, now),
                Room::Preemptible => {
                    let capacity = Self::capacity_with_preemption(demand, session, now);
                    Self::count_fitting(demand, session, &capacity)
                }
                Room::Busy => fits(&demand.step().booking(), &worker.capacity),
            };
            let cached = stage.approvals.get(&worker.key);
            let known = cached.filter(|cached| cached.incarnation == worker.incarnation);
            match known {
                _ if tasks == 0 => {}
                Some(cached) if cached.ticket.is_none() => {}
                Some(cached) if cached.expires > now => usable += u64::from(tasks),
                // Named among the workers with free room already.
                _ if room != Room::Free && self.has_free_room(demand, worker, now) => {}
                _ => nominees.push(Nominee {
                    room,
                    unknown: known.is_none(),
                    order: order(demand, session),
                    key: Rc::clone(&worker.key),
                    incarnation: worker.incarnation,
                    tasks: tasks.into(),
                }),
            }
        }
        (nominees, usable)
    }

    /// Returns whether all members of a gang can have room, with preemption, on workers that the service has not refused.
    /// Tickets for a part of them would expire unused.
    fn may_fit_gang(
        &self,
        demand: &Demand,
        stage: &Stage,
        members: u64,
        pool_workers: &[PoolWorker],
        now: Uptime,
    ) -> bool {
        let suitable = self.suitable(demand, pool_workers);
        let suitable = suitable.filter(|(worker, _)| !stage.refuses(worker));
        let room = suitable.map(|(worker, session)| {
            let preemptible = Self::capacity_with_preemption(demand, session, now);
            let with_preemption = Self::count_fitting(demand, session, &preemptible);
            u64::from(with_preemption.max(self.count_fitting_on_worker(demand, worker, now)))
        });
        room.sum::<u64>() >= members
    }

    fn has_free_room(&self, demand: &Demand, worker: &PoolWorker, now: Uptime) -> bool {
        self.count_fitting_on_worker(demand, worker, now) > 0
    }

    /// Delays the next check of the approvals of a stage.
    fn postpone_approval_check(&mut self, stage: StageId, now: Uptime) {
        if let Some(stage) = self.stage_mut(stage) {
            stage.next_approval_call = now + CHECK_PAUSE;
        }
    }

    /// Handles the result of a call to the approval service.
    pub fn approval_result(
        &mut self,
        call: CallId,
        result: Result<Vec<Ticket>, ApprovalError>,
        context: &mut Context,
    ) {
        match &result {
            Ok(_) => self.approvers.end(call, context.now),
            Err(_) => self.approvers.fail(call, context.now),
        }
        let counter = match &result {
            Ok(_) => None,
            Err(ApprovalError::Busy) => Some(Counter::ApprovalsRefused),
            Err(ApprovalError::Unanswered) => Some(Counter::ApprovalsUnanswered),
        };
        if let Some(counter) = counter {
            context.outputs.push(Output::Count { counter, amount: 1 });
        }
        let Some(pending) = self.pending_approvals.remove(&call) else { return };
        let Some(entry) = self.jobs.get(&pending.stage.job) else { return };
        let validity = entry.policy.approval.map_or(Duration::ZERO, |approval| approval.validity);
        let profile = entry.job.profile();
        self.round_due = true;
        if self.stage(pending.stage).is_some() {
            self.fresh.insert(pending.stage);
        }
        let Some(stage) = self.stage_mut(pending.stage) else { return };
        // After a late answer, another call for the stage may be in flight.
        stage.approval_pending &= pending.late;
        let Ok(tickets) = result else {
            stage.next_approval_call = context.now + RETRY_PAUSE;
            return;
        };
        let expires = context.now.saturating_add(validity.saturating_sub(TICKET_MARGIN));
        let named = pending.workers.len();
        for (worker, incarnation) in pending.workers {
            // The answer for a later incarnation may have arrived first.
            let known = stage.approvals.get(&worker);
            if known.is_some_and(|known| known.incarnation > incarnation) {
                continue;
            }
            let ticket = tickets.iter().find(|ticket| *ticket.worker == *worker);
            let ticket = ticket.map(|ticket| ticket.ticket.clone());
            stage.approvals.insert(worker, CachedApproval { ticket, expires, incarnation });
        }
        self.approval_rates.entry(profile).or_default().record(named, tickets.len());
    }

    /// Lets stages ask again whose approval calls take longer than expected, and ends calls that can no longer be
    /// answered. Answers that arrive in between are used.
    pub(super) fn expire_pending_approvals(&mut self, context: &mut Context) {
        let late = self.approvers.expire(context.now);
        let amount = late.len() as u64;
        if amount > 0 {
            context.outputs.push(Output::Count { counter: Counter::ApprovalsLate, amount });
        }
        self.mark_approvals_late(late);
        let ended: Vec<CallId> = self
            .pending_approvals
            .iter()
            .filter(|(_, pending)| pending.ends < context.now)
            .map(|(call, _)| *call)
            .collect();
        self.mark_approvals_late(ended.iter().copied());
        for call in ended {
            self.approvers.fail(call, context.now);
            self.pending_approvals.remove(&call);
        }
    }

    /// Lets the stages of these calls ask again.
    pub(super) fn mark_approvals_late(&mut self, calls: impl IntoIterator<Item = CallId>) {
        for call in calls {
            let Some(pending) = self.pending_approvals.get_mut(&call) else { continue };
            let was_late = std::mem::replace(&mut pending.late, true);
            let stage = pending.stage;
            if !was_late && let Some(stage) = self.stage_mut(stage) {
                stage.approval_pending = false;
            }
        }
    }
}

fn sum(nominees: &[Nominee]) -> u64 {
    nominees.iter().map(|nominee| nominee.tasks).sum()
}

/// Returns the position of a worker in the order of a stage. Workers near the data come first.
fn order(demand: &Demand, session: &Session) -> u64 {
    let mut hasher = DefaultHasher::new();
    (demand.id, &session.registration.address).hash(&mut hasher);
    let near = demand.step().data_rack.is_empty() || session.rack() == demand.step().data_rack;
    hasher.finish() >> 1 | u64::from(!near) << 63
}
