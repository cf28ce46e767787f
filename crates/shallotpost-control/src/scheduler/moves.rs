//! Moves work to another home shard: out of a drained data centre, or to a shard with free capacity for waiting work.
//!
//! A move is one transaction that deletes the record's row in the old shard, creates it in the new shard and updates the
//! home in the registration row. Until the result is definite, the work is neither started nor reported by this shard.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::table::{Check, Version, Write};
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::work::{self, Class, Ending, Record, Registration, State};
use shallotpost_protocol::worker::StopMode;

use crate::admission::{self, Requirement};
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::scheduler::entry::{Closing, Entry, Phase};
use crate::scheduler::environment::Environment;
use crate::scheduler::rows::Purpose;
use crate::scheduler::shard::OwnedShard;

/// Interval between two searches for work that should move.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which batch and urgent tasks keep running in a drained data centre.
pub const DRAIN_GRACE: Duration = Duration::from_secs(30);

/// Maximum number of moves of waiting work out of a drained data centre per search.
const DRAIN_MOVES_PER_SEARCH: usize = 32;

/// Maximum number of work records that are being stopped or moved for a drain at the same time; limits slow stops and
/// writes.
const DRAIN_STOPS_MAX: usize = 4;

/// Maximum number of running work records stopped per [`SEARCH_INTERVAL`]. A moved service is down for about 0.2 s, so
/// this is also about the number of services that are down at a time.
const DRAIN_STOPS_PER_INTERVAL: usize = 3;

/// Maximum number of moves to a less loaded shard per search, which is 8 per second.
const BALANCE_MOVES_PER_SEARCH: usize = 2;

/// Time that work waits before it moves to a shard with free capacity.
const BALANCE_WAIT: Duration = Duration::from_secs(5);

/// As [`BALANCE_WAIT`], for urgent work, which must start within a few seconds.
const BALANCE_WAIT_URGENT: Duration = Duration::from_secs(1);

/// Minimum time between two balancing moves of the same work, in milliseconds.
const MOVE_COOLDOWN_MS: u64 = 10_000;

/// Time for which the size of moved work is added to the reported load of its new shard. Reported loads are up to a second
/// old.
const SENT_LOAD_RETENTION: Duration = Duration::from_secs(3);

/// Time after which the write of a move expires if it has not been sent to the table.
const MOVE_WRITE_WAIT_MAX: Duration = Duration::from_secs(3);

/// Time for which moved work is remembered, so that a late notification does not add it again without reading its row.
const MOVED_AWAY_RETENTION: Duration = Duration::from_secs(60);

/// Why started non-idempotent work stays in a drained data centre.
const RUNS_TO_END: &str = "it was started and must not be started again, so it runs to its end";

/// Why other work stays in a drained data centre.
const NO_DESTINATION: &str = "no other data centre that may run it can take it now";

/// A move whose transaction was handed to `commit`.
#[derive(Clone, Debug)]
pub struct Move {
    /// New home shard.
    to: Shard,
    /// Whether an earlier transaction of this move may still take effect.
    outcome_unknown: bool,
}

/// State of the moves from one shard.
#[derive(Default)]
pub struct Moves {
    next_search: Option<Instant>,
    drained_since: Option<Instant>,
    /// Start of the current [`SEARCH_INTERVAL`] of stops, and the number of stops in it.
    stops: Option<(Instant, usize)>,
    /// Time since which each work record has waited in the queue.
    waiting: HashMap<WorkId, Instant>,
    /// Recent moves: time, new shard and size.
    sent: Vec<(Instant, Shard, Size)>,
    /// Recently moved work and the time of the move.
    moved_away: BTreeMap<WorkId, Instant>,
    /// Work that moved while a scan was open; the page may still contain its row.
    pub left_during_scan: BTreeSet<WorkId>,
    /// Work that moved while a read by key was open; the result may still contain its row.
    pub left_during_read: BTreeSet<WorkId>,
}

impl Moves {
    /// Returns whether the work moved away within [`MOVED_AWAY_RETENTION`].
    pub fn has_moved_away(&self, work: &WorkId) -> bool {
        self.moved_away.contains_key(work)
    }

    fn prune(&mut self, now: Instant) {
        self.sent.retain(|(at, _, _)| now < *at + SENT_LOAD_RETENTION);
        self.moved_away.retain(|_, at| now < *at + MOVED_AWAY_RETENTION);
    }
}

impl Entry {
    /// Returns whether no worker can have a task of the work and its record has no pending change.
    fn can_move(&self) -> bool {
        let is_unstarted =
            |phase: &Phase| matches!(phase, Phase::Waiting | Phase::Backoff | Phase::Idle);
        self.record.state == State::Admitted
            && self.has_no_pending_change()
            && self.tasks.iter().all(|task| is_unstarted(&task.phase))
    }

    /// Returns whether no end, move, cancellation or record write is pending.
    fn has_no_pending_change(&self) -> bool {
        self.closing.is_none()
            && self.moving.is_none()
            && self.pending_state.is_none()
            && self.writing.is_none()
            && self.cancels.is_empty()
    }

    /// Returns the total size of all tasks.
    fn total(&self) -> Size {
        let specification = &self.record.specification;
        specification.size.times(u64::from(specification.class.tasks()))
    }
}

impl OwnedShard {
    pub fn search_moves(&mut self, context: &mut Context, environment: &Environment) {
        let now = context.now;
        if !self.takes_starts() || self.moves.next_search.is_some_and(|next| now < next) {
            return;
        }
        self.moves.next_search = Some(now + SEARCH_INTERVAL);
        self.moves.prune(now);
        let mut loads = self.other_loads(environment, now);
        match environment.availability(&self.id.data_centre) {
            Availability::Drained => {
                self.moves.drained_since.get_or_insert(now);
                self.moves.waiting.clear();
                self.drain(context, environment, &mut loads);
            }
            Availability::Active => {
                self.moves.drained_since = None;
                self.works.values_mut().for_each(|entry| entry.stay_reason = None);
                self.balance(context, environment, &mut loads);
            }
        }
    }

    fn drain(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        loads: &mut BTreeMap<Shard, Load>,
    ) {
        let under_way =
            |entry: &&Entry| entry.moving.is_some() || entry.closing == Some(Closing::Move);
        let mut stops = self.works.values().filter(under_way).count();
        let since = self.moves.drained_since.unwrap_or(context.now);
        let grace_over = context.now >= since + DRAIN_GRACE;
        let (start, mut started) = match self.moves.stops {
            Some((start, stops)) if context.now < start + SEARCH_INTERVAL => (start, stops),
            _ => (context.now, 0),
        };
        let mut moves = 0;
        let open = self.works.iter().filter(|(_, entry)| !entry.has_ended());
        let works: Vec<WorkId> = open.map(|(work, _)| work.clone()).collect();
        for work in works {
            let Some(entry) = self.works.get_mut(&work) else { continue };
            if !entry.has_no_pending_change() || entry.is_unlocated() {
                continue;
            }
            let waits = entry.can_move();
            let specification = &entry.record.specification;
            let has_grace = matches!(specification.class, Class::Batch | Class::Urgent);
            // Running work is stopped only for a shard with free capacity; it would have to wait in any other.
            let requirement =
                if waits { Requirement::EmptyCapacity } else { Requirement::FreeCapacity };
            let target = environment.choose_target(specification, loads, requirement);
            entry.stay_reason = match target {
                _ if !waits && !entry.is_idempotent() => Some(RUNS_TO_END),
                None => Some(NO_DESTINATION),
                Some(_) => None,
            };
            match target {
                _ if entry.stay_reason.is_some() => {}
                Some(to) if waits && moves < DRAIN_MOVES_PER_SEARCH => {
                    moves += 1;
                    self.begin_move(context, environment, loads, &work, to);
                }
                _ if waits || has_grace && !grace_over => {}
                _ if stops >= DRAIN_STOPS_MAX || started >= DRAIN_STOPS_PER_INTERVAL => {}
                _ => {
                    stops += 1;
                    started += 1;
                    self.moves.stops = Some((start, started));
                    entry.closing = Some(Closing::Move);
                    if has_grace {
                        self.stop_tasks(&work, StopMode::Checkpoint);
                    }
                    self.close(context, &work);
                }
            }
        }
    }

    fn balance(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        loads: &mut BTreeMap<Shard, Load>,
    ) {
        let now = context.now;
        let own = self.planner.load(&self.id, self.epoch);
        let before = std::mem::take(&mut self.moves.waiting);
        let mut due = Vec::new();
        for (work, entry) in &self.works {
            let infeasible = self.infeasible.contains(work);
            if entry.has_ended() {
                continue;
            }
            if !infeasible && !entry.tasks.iter().all(|task| task.phase == Phase::Waiting) {
                continue;
            }
            let since = before.get(work).copied().unwrap_or(now);
            self.moves.waiting.insert(work.clone(), since);
            let urgent = entry.record.specification.class == Class::Urgent;
            let wait = match urgent {
                _ if infeasible => Duration::ZERO,
                true => BALANCE_WAIT_URGENT,
                false => BALANCE_WAIT,
            };
            let moved = entry.record.moved_unix_ms;
            let cooled_down = moved == 0 || context.unix_ms >= moved + MOVE_COOLDOWN_MS;
            let specification = &entry.record.specification;
            let overloaded = !own.booked.plus(&entry.total()).fits_in(&own.capacity)
                || !admission::can_hold(&own, specification);
            if entry.can_move() && now >= since + wait && (infeasible || cooled_down && overloaded)
            {
                due.push((!urgent, since, work.clone(), infeasible));
            }
        }
        due.sort();
        let mut moves = 0;
        for (_, _, work, infeasible) in due {
            if moves >= BALANCE_MOVES_PER_SEARCH {
                return;
            }
            let requirement =
                if infeasible { Requirement::EmptyCapacity } else { Requirement::FreeCapacity };
            let specification = &self.works[&work].record.specification;
            if let Some(to) = environment.choose_target(specification, loads, requirement) {
                moves += 1;
                self.begin_move(context, environment, loads, &work, to);
            }
        }
    }

    /// Returns the loads of the other shards, plus the size of moved work that they may not report yet.
    fn other_loads(&self, environment: &Environment, now: Instant) -> BTreeMap<Shard, Load> {
        let mut loads = environment.loads(now);
        loads.remove(&self.id);
        for (_, shard, size) in &self.moves.sent {
            if let Some(load) = loads.get_mut(shard) {
                load.waiting = load.waiting.plus(size);
            }
        }
        loads
    }

    /// Returns whether another shard could hold the work if it were empty, even one that accepts no work now.
    pub fn fits_elsewhere(&self, environment: &Environment, now: Instant, work: &WorkId) -> bool {
        let Some(entry) = self.works.get(work) else { return false };
        let holds = |load: &Load| {
            load.shard != self.id && admission::can_hold(load, &entry.record.specification)
        };
        entry.record.state == State::Admitted && environment.loads(now).values().any(holds)
    }

    fn begin_move(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        loads: &mut BTreeMap<Shard, Load>,
        work: &WorkId,
        to: Shard,
    ) {
        let Some(entry) = self.works.get_mut(work) else { return };
        for task in &mut entry.tasks {
            task.phase = Phase::Idle;
            task.queued = false;
        }
        entry.submitted = false;
        entry.moving = Some(Move { to: to.clone(), outcome_unknown: false });
        let total = entry.total();
        if let Some(load) = loads.get_mut(&to) {
            load.waiting = load.waiting.plus(&total);
        }
        self.moves.sent.push((context.now, to, total));
        self.planner.finish(work);
        self.infeasible.remove(work);
        self.write_move(context, environment, work);
    }

    fn write_move(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let Some(Move { to, .. }) = entry.moving.clone() else { return };
        let attempts = entry.tasks.iter().map(|task| task.attempt).max().unwrap_or(0);
        let record = Record {
            shard: to.clone(),
            attempt: attempts.max(Attempt::from(entry.may_have_run)),
            moved_unix_ms: context.unix_ms,
            losses: entry.losses.clone(),
            ..entry.record.clone()
        };
        let digest = record.specification.digest();
        let registration = Registration { shard: to.clone(), digest };
        let (old, new) = (work::row_key(&self.id, work), work::row_key(&to, work));
        let mut checks = self.checks(old.clone(), Some(entry.version));
        checks.push(Check { key: new.clone(), version: None });
        let writes = vec![
            Write { key: old, value: None },
            Write { key: new, value: serde_json::to_string(&record).ok() },
            Write {
                key: work::registration_key(work),
                value: serde_json::to_string(&registration).ok(),
            },
        ];
        let tag = environment.next_tag();
        let expires = Some(context.now + MOVE_WRITE_WAIT_MAX);
        self.rows.writes.insert(tag, Purpose::Move(work.clone()));
        let batch = Batch { reply_to: ServiceName::Scheduler, tag, checks, writes, expires };
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    pub fn on_move_written(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        work: &WorkId,
        result: Result<(), WriteFailure>,
    ) {
        let Some(moving) = self.works.get_mut(work).and_then(|entry| entry.moving.as_mut()) else {
            return;
        };
        match result {
            Ok(()) => self.finish_move(context, environment, work),
            Err(WriteFailure::Overloaded | WriteFailure::Expired) if !moving.outcome_unknown => {
                self.abort_move(context, work)
            }
            Err(WriteFailure::Conflict(_)) => {
                // The result is definite: whatever the row now says, an earlier transaction wrote it.
                moving.outcome_unknown = false;
                self.rows.read_again(work);
            }
            Err(_) => {
                moving.outcome_unknown = true;
                self.rows.read_again(work);
            }
        }
    }

    /// Continues a move whose old row still exists with the `version` that was read.
    ///
    /// A transaction with an unknown outcome may still take effect after the read, so the move is written again. Both
    /// writes are conditional on the same version, so only one of them succeeds.
    pub fn on_move_unwritten(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        work: &WorkId,
        version: Version,
    ) {
        let Some(entry) = self.works.get(work) else { return };
        let outcome_unknown = entry.moving.as_ref().is_some_and(|moving| moving.outcome_unknown);
        match outcome_unknown && version <= entry.version {
            true => self.write_move(context, environment, work),
            false => self.abort_move(context, work),
        }
    }

    /// Removes work that has moved, and notifies the owner of its new home shard.
    pub fn finish_move(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(Move { to, .. }) = self.works.remove(work).and_then(|entry| entry.moving) else {
            return;
        };
        self.planner.finish(work);
        self.unlocated.remove(work);
        self.moves.waiting.remove(work);
        self.moves.moved_away.insert(work.clone(), context.now);
        if self.rows.has_open_scan() {
            self.moves.left_during_scan.insert(work.clone());
        }
        if self.rows.has_open_read() {
            self.moves.left_during_read.insert(work.clone());
        }
        let fields = vec![("work", work.to_string()), ("shard", to.to_string())];
        context.log(Level::Info, "work moved to another shard", fields);
        // If the notification is lost, the next scan of the new owner finds the work.
        let (shard, work) = (to, work.clone());
        match environment.owner(&shard) {
            Some(host) if host == environment.settings.host => {
                let (shard, work) = (shard.clone(), work.clone());
                context.send(
                    ServiceName::Scheduler,
                    Message::WorkAdmitted { record: None, shard, work },
                );
            }
            Some(to) => {
                let frame = Frame::Admitted { shard: shard.clone(), work: work.clone() };
                context.send(ServiceName::Membership, Message::SendFrame { to, frame });
            }
            None => {}
        }
        context.send(ServiceName::Router, Message::WorkMoved { work, shard });
    }

    /// Queues work again whose move certainly did not take effect.
    fn abort_move(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.moving = None;
        entry.closing = None;
        let specification = &entry.record.specification;
        if let Some(deadline) = specification.deadline_unix_ms
            && !matches!(specification.class, Class::Service { .. })
        {
            self.deadlines.insert((deadline, work.clone()));
        }
        let count = entry.tasks.len() as u32;
        for index in 0..count {
            self.queue_later(context, &Task { work: work.clone(), index }, Duration::ZERO);
        }
    }

    /// Continues a move after all tasks of the work have stopped: queues the work, which the next search moves if the data
    /// centre is still drained.
    pub fn on_stopped_for_move(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.closing = None;
        if entry.tasks.iter().all(|task| matches!(task.phase, Phase::Done(_))) {
            return self.end(context, work, Ending::Succeeded, "all tasks succeeded");
        }
        entry.deferred_acknowledgements.clear();
        self.moves.next_search = None;
        self.abort_move(context, work);
    }
}
