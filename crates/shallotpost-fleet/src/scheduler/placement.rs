//! Placement of waiting tasks: approvals and the choice of workers.

use crate::configuration::QueuePolicy;
use crate::job::StageId;
use crate::port::{ApprovalRequest, Counter};
use crate::prelude::*;
use crate::scheduler::round::{Round, Slot};
use crate::scheduler::session::Session;
use crate::scheduler::stage::{Place, Stage};
use crate::scheduler::{Ask, Context, Entry, Scheduler};

/// Pause after a call for approval that failed, or that approved no worker with room.
pub(super) const ASK_PAUSE: Duration = Duration::from_millis(150);

/// A ticket is not used within this time of its expiry: the start takes a few milliseconds to arrive.
pub(super) const TICKET_MARGIN: Duration = Duration::from_millis(250);

/// Pause between two looks at the approvals of a stage that needs none at present. Each look costs some microseconds for
/// each worker.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Most workers that one call for approval names.
const WORKERS_MAX: usize = 100;

/// Most workers whose tickets are renewed with one call; each costs time.
const RENEWALS_MAX: usize = 10;

/// Time before the expected end of the preceding steps at which approval is asked for, beyond the call's duration.
const ASK_EARLY: Duration = Duration::from_millis(150);

/// Most stages of one pool that a round tries without success; the others wait for the next whole round. Each try costs
/// some microseconds for each worker.
const FAILURES_PER_ROUND: u32 = 24;

/// Interval of rounds that try all stages.
const WHOLE_ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a round for each stage that it tried. It bounds the processor time of a host with a quarter of a core.
const PAUSE_PER_STAGE: Duration = Duration::from_micros(60);

/// Whether a job still counts for its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It is within its team's share and of use.
    Regular,
    /// It is so late that it is of little use to its submitter.
    Expired,
    /// Its team has submitted more than its share.
    BeyondShare,
}

/// Multiple of the objective after which a job is of little use; the platform counts nothing later.
const EXPIRY: u32 = 3;

/// A stage with tasks to place, in the order in which stages are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    urgency: Urgency,
    priority: u32,
    /// Jobs beyond their objective come after those that can still meet it.
    late: bool,
    due: Uptime,
    stage: StageId,
    /// The preceding steps are not done yet.
    early: bool,
}

/// What limits the placement of one stage.
pub(super) struct Demand {
    pub(super) id: StageId,
    job: Rc<Job>,
    pub(super) terms: Rc<QueuePolicy>,
    pub(super) team: Option<Rc<str>>,
    pub(super) cap: Size,
}

impl Demand {
    pub(super) fn step(&self) -> &Step {
        &self.job.steps[usize::from(self.id.step)]
    }
}

impl Scheduler {
    /// One round over all stages with tasks to place.
    pub(super) fn place(&mut self, context: &mut Context) {
        if !context.may_start {
            return;
        }
        self.refresh_terms(context.configuration);
        let whole = context.now.saturating_sub(self.last_whole_round) >= WHOLE_ROUND_INTERVAL;
        if whole {
            self.last_whole_round = context.now;
        }
        let mut round = self.begin_round(context);
        let mut tried = 0;
        for candidate in self.candidates(context) {
            if self.is_saturated(context.now) {
                self.round_due = true;
                break;
            }
            let Some(demand) = self.demand(candidate.stage, context.configuration) else {
                continue;
            };
            let pool = &demand.terms.pool;
            if !whole && round.failures(pool) >= FAILURES_PER_ROUND {
                continue;
            }
            tried += 1;
            let mut slots = round.take_slots(pool);
            if !candidate.early && self.has_room(&demand, &slots, context.now) {
                match demand.step().gang {
                    true => self.place_gang(&demand, &mut slots, &round, context),
                    false => self.place_tasks(&demand, &mut slots, &round, context),
                }
            }
            self.ask(&demand, candidate.early, &slots, context);
            if !candidate.early && self.has_waiting(demand.id) {
                round.add_failure(pool);
                // What counts no longer does not displace what still does.
                if candidate.urgency == Urgency::Regular {
                    self.preempt(&demand, &slots, &mut round, context);
                }
            }
            round.put_slots(pool, slots);
        }
        self.round_pause = PAUSE_PER_STAGE * tried;
    }

    fn begin_round(&self, context: &Context) -> Round {
        let mut round = Round::new(self.uncertain_usage());
        for (key, session) in &self.sessions {
            let usable = session.takes_tasks()
                && !self.is_recorded_absent(key)
                && !context.evacuated.contains(&session.registration.data_centre);
            if usable {
                round.add(&session.registration.pool, Slot::new(key, session, context.now));
            }
        }
        round
    }

    /// Room of a worker that the stage may use.
    fn free(&self, demand: &Demand, slot: &Slot, now: Uptime) -> Size {
        let session = if slot.reserved { self.sessions.get(&slot.key) } else { None };
        session
            .map_or(slot.free, |session| session.free_for(&demand.id, demand.terms.priority, now))
    }

    /// Number of further tasks of the stage that may start on a worker.
    fn room_in(&self, demand: &Demand, slot: &Slot, now: Uptime) -> u32 {
        let free = self.free(demand, slot, now);
        if demand.step().per_worker_max == 0 {
            return fits(&demand.step().booking(), &free);
        }
        let session = self.sessions.get(&slot.key);
        session.map_or(0, |session| Self::room(demand, session, &free))
    }

    /// Whether any worker of the pool has room for one task of the stage.
    fn has_room(&self, demand: &Demand, slots: &[Slot], now: Uptime) -> bool {
        let booking = demand.step().booking();
        slots.iter().any(|slot| booking.fits_in(&self.free(demand, slot, now)))
    }

    fn has_waiting(&self, id: StageId) -> bool {
        let waits = |stage: &Stage| stage.tasks.iter().any(|task| task.place == Place::Waiting);
        self.stage(id).is_some_and(waits)
    }

    /// Whether a worker suits a stage, apart from approval and room.
    fn suits(&self, demand: &Demand, slot: &Slot) -> bool {
        let label = &demand.step().label;
        let labelled = || {
            let session = self.sessions.get(&slot.key);
            session.is_some_and(|session| session.registration.labels.contains(label))
        };
        demand.step().booking().fits_in(&slot.capacity) && (label.is_empty() || labelled())
    }

    /// Workers that suit a stage, apart from approval and room.
    pub(super) fn suitable<'a>(
        &'a self,
        demand: &'a Demand,
        slots: &'a [Slot],
    ) -> impl Iterator<Item = (&'a Slot, &'a Session)> {
        let slots = slots.iter().filter(|slot| self.suits(demand, slot));
        slots.filter_map(|slot| Some((slot, self.sessions.get(&slot.key)?)))
    }

    fn candidates(&self, context: &Context) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for id in &self.open {
            let Some(entry) = self.jobs.get(id) else { continue };
            let terms = &entry.terms;
            let objective = entry.chain.mul_f64(terms.stretch.max(1.0)) + terms.target;
            let due = entry.admitted + objective;
            let urgency = match () {
                () if entry.beyond_share => Urgency::BeyondShare,
                () if entry.job.long_running() => Urgency::Regular,
                () if context.now > entry.admitted + objective * EXPIRY => Urgency::Expired,
                () => Urgency::Regular,
            };
            for ((occurrence, step), stage) in &entry.stages {
                if stage.open == 0 || !stage.tasks.iter().any(|task| task.place == Place::Waiting) {
                    continue;
                }
                let Some(remaining) = self.remaining(entry, *occurrence, *step, context.now) else {
                    continue;
                };
                let call = terms.approval.map_or(Duration::ZERO, |approval| approval.duration(16));
                if remaining > call + ASK_EARLY {
                    continue;
                }
                candidates.push(Candidate {
                    urgency,
                    priority: terms.priority,
                    late: due < context.now,
                    due,
                    stage: StageId { job: *id, occurrence: *occurrence, step: *step },
                    early: remaining > Duration::ZERO,
                });
            }
        }
        candidates.sort_unstable();
        candidates
    }

    /// Expected time until the preceding steps are done; zero where they are, `None` where they have tasks that wait.
    fn remaining(
        &self,
        entry: &Entry,
        occurrence: u32,
        step: u16,
        now: Uptime,
    ) -> Option<Duration> {
        let after = &entry.job.steps.get(usize::from(step))?.after;
        let mut remaining = Duration::ZERO;
        for before in after {
            let stage = entry.stages.get(&(occurrence, *before))?;
            if stage.open == 0 {
                continue;
            }
            let estimate = entry.job.steps.get(usize::from(*before))?.estimate;
            for (task, index) in stage.tasks.iter().zip(0u32..) {
                let worker = match &task.place {
                    Place::Done => continue,
                    Place::Placed(worker) => worker,
                    Place::Waiting | Place::Uncertain => return None,
                };
                let id = StageId { job: entry.id, occurrence, step: *before }.task(index);
                let run = self.sessions.get(worker)?.placements.get(&id)?;
                let left = estimate.saturating_sub(now.saturating_sub(run.since));
                remaining = remaining.max(left.max(Duration::from_millis(1)));
            }
        }
        Some(remaining)
    }

    fn demand(&self, id: StageId, configuration: &Configuration) -> Option<Demand> {
        let entry = self.jobs.get(&id.job)?;
        entry.job.steps.get(usize::from(id.step))?;
        let team = entry.team.clone();
        let cap = team.as_deref().and_then(|team| configuration.team(team));
        let cap = cap.map_or(Size::ZERO, |team| team.cap);
        let (job, terms) = (Rc::clone(&entry.job), Rc::clone(&entry.terms));
        Some(Demand { id, job, terms, team, cap })
    }

    /// Whether the team's cap leaves room for this much more.
    pub(super) fn within_cap(&self, demand: &Demand, more: &Size, round: &Round) -> bool {
        let Some(team) = &demand.team else { return true };
        let booked = self.usage.get(team).copied().unwrap_or(Size::ZERO);
        let uncertain = round.uncertain.get(team).copied().unwrap_or(Size::ZERO);
        let used = booked.plus(&uncertain).plus(more);
        let exceeds = |(used, cap): (u64, u64)| cap > 0 && used > cap;
        !used.parts().into_iter().zip(demand.cap.parts()).any(exceeds)
    }

    /// Whether a valid ticket for the worker is at hand.
    pub(super) fn has_ticket(demand: &Demand, stage: &Stage, slot: &Slot, now: Uptime) -> bool {
        demand.terms.approval.is_none()
            || stage.verdicts.get(&slot.key).is_some_and(|verdict| {
                verdict.ticket.is_some() && verdict.life == slot.life && verdict.expires > now
            })
    }

    /// Number of further tasks of the stage that fit on a worker.
    pub(super) fn room(demand: &Demand, session: &Session, free: &Size) -> u32 {
        let fits = fits(&demand.step().booking(), free);
        match demand.step().per_worker_max {
            0 => fits,
            limit => {
                let range = demand.id.task(0)..=demand.id.task(u32::MAX);
                let present = session.placements.range(range).count();
                fits.min(limit.saturating_sub(u32::try_from(present).unwrap_or(u32::MAX)))
            }
        }
    }

    /// How well a worker suits the next task; lower is better.
    fn cost(&self, demand: &Demand, slot: &Slot, now: Uptime) -> (bool, bool, bool, u64) {
        let step = demand.step();
        let conflicts = match step.best_effort {
            true => slot.serves,
            false => step.latency_target > Duration::ZERO && slot.fills,
        };
        let far = !step.data_rack.is_empty()
            && self.sessions.get(&slot.key).is_none_or(|session| session.rack() != step.data_rack);
        let free = self.free(demand, slot, now);
        let left = match step.best_effort {
            // Left-over capacity is what these tasks work with.
            true => 1.0 - free.dominant_share(&slot.capacity),
            false => free.minus(&step.booking()).dominant_share(&slot.capacity),
        };
        (slot.avoided, conflicts, far, (left * 1e6) as u64)
    }

    fn place_tasks(
        &mut self,
        demand: &Demand,
        slots: &mut [Slot],
        round: &Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage(demand.id) else { return };
        // Workers with their cost; only the cost of the chosen worker changes.
        let mut open: Vec<_> = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| self.suits(demand, slot))
            .filter(|(_, slot)| Self::has_ticket(demand, stage, slot, now))
            .filter(|(_, slot)| self.room_in(demand, slot, now) > 0)
            .map(|(position, slot)| (position, self.cost(demand, slot, now)))
            .collect();
        for index in stage.waiting() {
            if open.is_empty() || !self.within_cap(demand, &demand.step().size, round) {
                return;
            }
            let task = self.stage(demand.id).and_then(|stage| stage.tasks.get(index as usize));
            let failed_on = task.and_then(|task| task.failed_on.clone());
            let best = (0..open.len()).min_by_key(|at| {
                let (position, cost) = open[*at];
                (failed_on.as_ref() == Some(&slots[position].key), cost)
            });
            let Some(at) = best.filter(|_| !self.is_saturated(now)) else { return };
            let slot = &mut slots[open[at].0];
            let number = self.allocate_run();
            let priority = demand.terms.priority;
            self.start(&slot.key, demand.id.task(index), number, priority, context);
            slot.book(demand);
            if self.room_in(demand, slot, now) == 0 {
                open.remove(at);
            } else {
                open[at].1 = self.cost(demand, slot, now);
            }
        }
    }

    /// Places all members of a gang at the same time, or none.
    fn place_gang(
        &mut self,
        demand: &Demand,
        slots: &mut [Slot],
        round: &Round,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(stage) = self.stage(demand.id) else { return };
        let waiting = stage.waiting();
        let range = demand.id.task(0)..=demand.id.task(u32::MAX);
        let remains = self
            .sessions
            .values()
            .any(|session| session.placements.range(range.clone()).next().is_some());
        // Members of the previous run must be gone first.
        if remains || waiting.len() != stage.tasks.len() {
            return;
        }
        let all = demand.step().size.times(waiting.len() as u64);
        if !self.within_cap(demand, &all, round) {
            return;
        }
        let mut rooms: Vec<(usize, &Session, u32)> = Vec::new();
        for (position, slot) in slots.iter().enumerate() {
            let room = self.room_in(demand, slot, now);
            if room > 0
                && self.suits(demand, slot)
                && Self::has_ticket(demand, stage, slot, now)
                && let Some(session) = self.sessions.get(&slot.key)
            {
                rooms.push((position, session, room));
            }
        }
        rooms.sort_by_cached_key(|(position, ..)| self.cost(demand, &slots[*position], now));
        let whole = |rooms: &[(usize, &Session, u32)]| {
            let room: u64 = rooms.iter().map(|(_, _, room)| u64::from(*room)).sum();
            room >= waiting.len() as u64
        };
        if demand.step().one_rack {
            let racks: BTreeSet<&str> =
                rooms.iter().map(|(_, session, _)| session.rack()).collect();
            let fitting = racks.into_iter().find(|rack| {
                let on_rack: Vec<_> = rooms
                    .iter()
                    .filter(|(_, session, _)| session.rack() == *rack)
                    .cloned()
                    .collect();
                whole(&on_rack)
            });
            if let Some(rack) = fitting {
                rooms.retain(|(_, session, _)| session.rack() == rack);
            }
        }
        if !whole(&rooms) {
            return;
        }
        let places = rooms.into_iter().flat_map(|(position, _, room)| {
            std::iter::repeat_n(position, usize::try_from(room).unwrap_or(usize::MAX))
        });
        let starts: Vec<(u32, usize)> = waiting.into_iter().zip(places).collect();
        let number = self.allocate_run();
        for (index, position) in starts {
            let priority = demand.terms.priority;
            let slot = &mut slots[position];
            self.start(&slot.key, demand.id.task(index), number, priority, context);
            slot.book(demand);
        }
    }

    /// Asks for the approval of workers where it is missing or about to expire.
    fn ask(&mut self, demand: &Demand, early: bool, slots: &[Slot], context: &mut Context) {
        let now = context.now;
        let Some(approval) = demand.terms.approval else { return };
        let Some(stage) = self.stage(demand.id) else { return };
        let waiting = stage.waiting().len();
        if waiting == 0 || stage.asking || stage.next_ask > now || !self.approvers.is_available(now)
        {
            return;
        }
        let mut unknown = Vec::new();
        let mut expired = Vec::new();
        let mut usable = 0u64;
        for (slot, session) in self.suitable(demand, slots) {
            // Room may also come from preemption, which needs the ticket first.
            let room = Self::room(demand, session, &Self::obtainable(demand, session, now));
            let named = (Rc::clone(&slot.key), slot.life, room);
            match stage.verdicts.get(&slot.key).filter(|verdict| verdict.life == slot.life) {
                None => unknown.push(named),
                Some(verdict) if verdict.ticket.is_none() => {}
                Some(verdict) if verdict.expires > now => usable += u64::from(room),
                Some(_) => expired.push(named),
            }
        }
        let first = stage.verdicts.is_empty();
        if !first && (early || usable >= waiting as u64) {
            self.postpone_ask(demand.id, now);
            return;
        }
        expired.retain(|(_, _, room)| *room > 0);
        expired.sort_by_key(|(_, _, room)| std::cmp::Reverse(*room));
        expired.truncate(RENEWALS_MAX.min(waiting.max(2) * 2));
        if !first {
            unknown.retain(|(_, _, room)| *room > 0);
        }
        let mut named = expired;
        named.append(&mut unknown);
        named.truncate(WORKERS_MAX);
        if named.is_empty() {
            self.postpone_ask(demand.id, now);
            return;
        }
        let workers = named.iter().map(|(key, _, _)| key.to_string()).collect();
        let duration = approval.duration(named.len());
        let request = ApprovalRequest { stage: demand.id, workers };
        let call = context.allocate_call();
        let sent = self.approvers.send(call, request, duration, now, context.outputs);
        let Some(expires) = sent else { return };
        context.outputs.push(Output::Count { counter: Counter::Approvals, amount: 1 });
        let ask = Ask {
            stage: demand.id,
            workers: named.into_iter().map(|(key, life, _)| (key, life)).collect(),
            expires,
        };
        self.asks.insert(call, ask);
        if let Some(stage) = self.stage_mut(demand.id) {
            stage.asking = true;
        }
    }

    /// Looks at the approvals of a stage again after a while.
    fn postpone_ask(&mut self, stage: StageId, now: Uptime) {
        if let Some(stage) = self.stage_mut(stage) {
            stage.next_ask = now + LOOK_PAUSE;
        }
    }
}

/// How often a booking fits into a room.
fn fits(booking: &Size, room: &Size) -> u32 {
    let parts = booking.parts().into_iter().zip(room.parts());
    let fits = parts.filter(|(need, _)| *need > 0).map(|(need, have)| have / need).min();
    u32::try_from(fits.unwrap_or(u64::from(u32::MAX))).unwrap_or(u32::MAX)
}
