//! Change of the home shard: out of a drained data centre, and to a shard that has room for waiting work.
//!
//! A move is one transaction that deletes the record's row in the old shard, creates it in the new one and names the new
//! home in the row of the id. Between the request and a definite result the work is neither started nor reported here.

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
use crate::scheduler::shard::Owned;

/// Interval at which work that should move is looked for.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time that batch and urgent tasks run on in a drained data centre.
pub const DRAIN_GRACE: Duration = Duration::from_secs(30);

/// Moves of waiting work out of a drained data centre that one search begins.
const DRAIN_MOVES_PER_SEARCH: usize = 32;

/// Running work that is being stopped or written for a drain at a time, where stops or writes are slow.
const DRAIN_STOPS_MAX: usize = 4;

/// Running work that is stopped in one [`SEARCH_INTERVAL`]. A service is down for about 0.2 s, so this many are down at a
/// time.
const DRAIN_STOPS_PER_INTERVAL: usize = 3;

/// Moves to a less loaded shard that one search begins; 8 a second.
const BALANCE_MOVES_PER_SEARCH: usize = 2;

/// Waiting time before work moves to a shard with room.
const BALANCE_WAIT: Duration = Duration::from_secs(5);

/// The same for urgent work, whose bound on the start is a few seconds.
const BALANCE_WAIT_URGENT: Duration = Duration::from_secs(1);

/// Least time between two moves of the same work for balance.
const MOVE_PAUSE_MS: u64 = 10_000;

/// Time for which the size of moved work is added to the load of its new shard. Reported loads are up to a second old.
const SENT_MEMORY: Duration = Duration::from_secs(3);

/// Time after which a move that was not sent to the table is given up.
const MOVE_WAIT_MAX: Duration = Duration::from_secs(3);

/// Time for which work that left is remembered, so that a late notification cannot add it again unread.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Why started work that may not start again stays in a drained data centre.
const RUNS_OUT: &str = "it was started and must not be started again, so it runs to its end";

/// Why other work stays there.
const NO_PLACE: &str = "no other data centre that may run it can take it now";

/// A move whose transaction was handed to `commit`.
#[derive(Clone, Debug)]
pub struct Move {
    /// The new home shard.
    to: Shard,
    /// Whether an earlier transaction of this move may still take effect.
    doubtful: bool,
}

/// Moves of one shard.
#[derive(Default)]
pub struct Moves {
    next_search: Option<Instant>,
    drained_since: Option<Instant>,
    /// Start of the current interval of stops, and the stops in it.
    stops: Option<(Instant, usize)>,
    /// Since when work has waited in the queue.
    waiting: HashMap<WorkId, Instant>,
    /// Work that was sent to other shards, with its size.
    sent: Vec<(Instant, Shard, Size)>,
    /// Work that left.
    departed: BTreeMap<WorkId, Instant>,
    /// Work that left while a scan was open, whose page may still list it.
    pub left_during_scan: BTreeSet<WorkId>,
    /// Work that left while a read by key was open.
    pub left_during_read: BTreeSet<WorkId>,
}

impl Moves {
    /// Whether the work left recently.
    pub fn has_departed(&self, work: &WorkId) -> bool {
        self.departed.contains_key(work)
    }

    fn clean(&mut self, now: Instant) {
        self.sent.retain(|(at, _, _)| now < *at + SENT_MEMORY);
        self.departed.retain(|_, at| now < *at + DEPARTED_MEMORY);
    }
}

impl Entry {
    /// Whether no worker can have a task of it and no change of its record is open.
    fn can_move(&self) -> bool {
        let still = |phase: &Phase| matches!(phase, Phase::Waiting | Phase::Backoff | Phase::Free);
        self.record.state == State::Admitted
            && self.is_settled_here()
            && self.tasks.iter().all(|task| still(&task.phase))
    }

    /// Whether nothing about the record or its end is under way.
    fn is_settled_here(&self) -> bool {
        self.closing.is_none()
            && self.moving.is_none()
            && self.wanted.is_none()
            && self.writing.is_none()
            && self.cancels.is_empty()
    }

    /// Size of all tasks that must find a place.
    fn total(&self) -> Size {
        let specification = &self.record.specification;
        specification.size.times(u64::from(specification.class.tasks()))
    }
}

impl Owned {
    /// Begins the moves that are due.
    pub fn search_moves(&mut self, context: &mut Context, environment: &Environment) {
        let now = context.now;
        if !self.takes_starts() || self.moves.next_search.is_some_and(|next| now < next) {
            return;
        }
        self.moves.next_search = Some(now + SEARCH_INTERVAL);
        self.moves.clean(now);
        let mut loads = self.other_loads(environment, now);
        match environment.availability(&self.id.data_centre) {
            Availability::Drained => {
                self.moves.drained_since.get_or_insert(now);
                self.moves.waiting.clear();
                self.drain(context, environment, &mut loads);
            }
            Availability::Active => {
                self.moves.drained_since = None;
                self.works.values_mut().for_each(|entry| entry.stays = None);
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
            if !entry.is_settled_here() || entry.is_unplaced() {
                continue;
            }
            let waits = entry.can_move();
            let specification = &entry.record.specification;
            let patient = matches!(specification.class, Class::Batch | Class::Urgent);
            // Running work is stopped only for a shard that has room, since it would wait there otherwise.
            let need = if waits { Requirement::EmptyCapacity } else { Requirement::FreeCapacity };
            let target = environment.choose_target(specification, loads, need);
            entry.stays = match target {
                _ if !waits && !entry.is_idempotent() => Some(RUNS_OUT),
                None => Some(NO_PLACE),
                Some(_) => None,
            };
            match target {
                _ if entry.stays.is_some() => {}
                Some(to) if waits && moves < DRAIN_MOVES_PER_SEARCH => {
                    moves += 1;
                    self.begin_move(context, environment, loads, &work, to);
                }
                _ if waits || patient && !grace_over => {}
                _ if stops >= DRAIN_STOPS_MAX || started >= DRAIN_STOPS_PER_INTERVAL => {}
                _ => {
                    stops += 1;
                    started += 1;
                    self.moves.stops = Some((start, started));
                    entry.closing = Some(Closing::Move);
                    if patient {
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
            let unfit = self.unfit.contains(work);
            if entry.has_ended() {
                continue;
            }
            if !unfit && !entry.tasks.iter().all(|task| task.phase == Phase::Waiting) {
                continue;
            }
            let since = before.get(work).copied().unwrap_or(now);
            self.moves.waiting.insert(work.clone(), since);
            let urgent = entry.record.specification.class == Class::Urgent;
            let wait = match urgent {
                _ if unfit => Duration::ZERO,
                true => BALANCE_WAIT_URGENT,
                false => BALANCE_WAIT,
            };
            let moved = entry.record.moved_unix_ms;
            let rested = moved == 0 || context.unix_ms >= moved + MOVE_PAUSE_MS;
            let specification = &entry.record.specification;
            let crowded = !own.booked.plus(&entry.total()).fits_in(&own.capacity)
                || !admission::can_hold(&own, specification);
            if entry.can_move() && now >= since + wait && (unfit || rested && crowded) {
                due.push((!urgent, since, work.clone(), unfit));
            }
        }
        due.sort();
        let mut moves = 0;
        for (_, _, work, unfit) in due {
            if moves >= BALANCE_MOVES_PER_SEARCH {
                return;
            }
            let need = if unfit { Requirement::EmptyCapacity } else { Requirement::FreeCapacity };
            let specification = &self.works[&work].record.specification;
            if let Some(to) = environment.choose_target(specification, loads, need) {
                moves += 1;
                self.begin_move(context, environment, loads, &work, to);
            }
        }
    }

    /// Loads of the other shards, with what was sent there and is not reported yet.
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

    /// Whether another shard could hold the work when empty, also one that takes no work now.
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
            task.phase = Phase::Free;
            task.queued = false;
        }
        entry.submitted = false;
        entry.moving = Some(Move { to: to.clone(), doubtful: false });
        let total = entry.total();
        if let Some(load) = loads.get_mut(&to) {
            load.waiting = load.waiting.plus(&total);
        }
        self.moves.sent.push((context.now, to, total));
        self.planner.finish(work);
        self.unfit.remove(work);
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
        let expires = Some(context.now + MOVE_WAIT_MAX);
        self.rows.writes.insert(tag, Purpose::Move(work.clone()));
        let batch = Batch { reply_to: ServiceName::Scheduler, tag, checks, writes, expires };
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    /// Handles the outcome of the transaction of a move.
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
            Ok(()) => self.depart(context, environment, work),
            Err(WriteFailure::Overloaded | WriteFailure::Expired) if !moving.doubtful => {
                self.stay(context, work)
            }
            Err(WriteFailure::Conflict(_)) => {
                // A definite result: whatever the row says now was written by an earlier transaction.
                moving.doubtful = false;
                self.rows.read_again(work);
            }
            Err(_) => {
                moving.doubtful = true;
                self.rows.read_again(work);
            }
        }
    }

    /// Goes on with a move after the old row was found; `version` is the one that was read.
    ///
    /// A transaction with an unknown outcome may still take effect after the read, so the move is written again; both
    /// are conditional on the same version, so only one of them succeeds.
    pub fn on_move_unwritten(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        work: &WorkId,
        version: Version,
    ) {
        let Some(entry) = self.works.get(work) else { return };
        let doubtful = entry.moving.as_ref().is_some_and(|moving| moving.doubtful);
        match doubtful && version <= entry.version {
            true => self.write_move(context, environment, work),
            false => self.stay(context, work),
        }
    }

    /// Forgets work that moved, and tells the owner of its new home.
    pub fn depart(&mut self, context: &mut Context, environment: &Environment, work: &WorkId) {
        let Some(Move { to, .. }) = self.works.remove(work).and_then(|entry| entry.moving) else {
            return;
        };
        self.planner.finish(work);
        self.unplaced.remove(work);
        self.moves.waiting.remove(work);
        self.moves.departed.insert(work.clone(), context.now);
        if self.rows.has_open_scan() {
            self.moves.left_during_scan.insert(work.clone());
        }
        if self.rows.has_open_read() {
            self.moves.left_during_read.insert(work.clone());
        }
        let fields = vec![("work", work.to_string()), ("shard", to.to_string())];
        context.log(Level::Info, "work moved to another shard", fields);
        // A lost notification only delays the work until the next scan of the new owner.
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

    /// Queues work again that certainly did not move.
    fn stay(&mut self, context: &mut Context, work: &WorkId) {
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

    /// Goes on after all tasks of work that should move were stopped. Waiting work moves at the next search if the data
    /// centre is still drained.
    pub fn on_stopped_for_move(&mut self, context: &mut Context, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else { return };
        entry.closing = None;
        if entry.tasks.iter().all(|task| matches!(task.phase, Phase::Done(_))) {
            return self.end(context, work, Ending::Succeeded, "all tasks succeeded");
        }
        entry.held.clear();
        self.moves.next_search = None;
        self.stay(context, work);
    }
}
