//! Reads and writes the cap rows, and applies this shard's grant of each team's cap to the planner.

use std::collections::{BTreeMap, BTreeSet};

use shallotpost_policy::planner;
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::table::{self, Reply, Request, Write};
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

use crate::configuration::cap::{CapRow, row_key};
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::scheduler::entry::{Phase, TaskEntry};
use crate::scheduler::environment::Environment;
use crate::scheduler::grants::{Demand, GrantState, GrantWrite};
use crate::scheduler::rows::Purpose;
use crate::scheduler::shard::{Call, OwnedShard};

/// Interval between two reads of the cap rows.
const CAPS_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two reads of the cap rows while a team lacks a sufficient grant.
const CAPS_INTERVAL_MIN: Duration = Duration::from_millis(100);

const CAPS_PER_READ: usize = 500;

/// Team grants of one shard.
pub struct Caps {
    /// Maximum that each team may book, as last set in the planner.
    grants: BTreeMap<TeamId, Size>,
    grant_states: BTreeMap<TeamId, GrantState>,
    /// Booked and waiting sizes at the last call of [`GrantState::plan`], and the time of the next regular call.
    planned: BTreeMap<TeamId, (Size, Size, Instant)>,
    /// Teams of the open read, without those whose write completed after the read was sent; `None` if no read is open.
    open_read: Option<BTreeSet<TeamId>>,
    only_shard: bool,
    /// Whether the tasks of all workers have been known at some time since the takeover.
    tasks_known: bool,
    next_read: Instant,
    last_read: Instant,
}

impl Caps {
    pub fn new(now: Instant) -> Caps {
        Caps {
            grants: BTreeMap::new(),
            grant_states: BTreeMap::new(),
            planned: BTreeMap::new(),
            open_read: None,
            only_shard: false,
            tasks_known: false,
            next_read: now,
            last_read: now,
        }
    }
}

impl OwnedShard {
    /// Sets the configured teams in the planner and removes the others.
    pub fn refresh_teams(&mut self, context: &mut Context, environment: &Environment) {
        let only = environment.is_only_shard(&self.id);
        let was_only = std::mem::replace(&mut self.caps.only_shard, only);
        let names: Vec<TeamId> = environment
            .snapshot
            .names(shallotpost_protocol::resource::Kind::Team)
            .map(str::to_owned)
            .collect();
        let gone: Vec<TeamId> =
            self.caps.grants.keys().filter(|team| !names.contains(team)).cloned().collect();
        for team in gone {
            self.caps.grants.remove(&team);
            self.caps.grant_states.remove(&team);
            self.caps.planned.remove(&team);
            self.planner.remove_team(&team);
        }
        for name in names {
            let Some(team) = environment.snapshot.team(&name) else { continue };
            let grant_state = || GrantState::new(self.id.clone(), context.now);
            self.caps.grant_states.entry(name.clone()).or_insert_with(grant_state);
            let known = self.caps.grants.get(&name).copied().unwrap_or(Size::ZERO);
            let grant = match (only, was_only) {
                (true, _) => team.cap,
                // The cap is now split between shards, and this shard has no grant yet.
                (false, true) => self.planner.booked(&name),
                (false, false) => known,
            };
            self.set_grant(context, environment, &name, grant);
            if only {
                self.stop_excess(&name, &grant);
            }
        }
    }

    fn set_grant(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        team: &TeamId,
        grant: Size,
    ) {
        let Some(configured) = environment.snapshot.team(team) else { return };
        self.caps.grants.insert(team.clone(), grant);
        let team = planner::Team { id: team.clone(), weight: configured.share, grant };
        self.planner.set_team(context.now, team);
    }

    /// Schedules an early read of the cap rows if the team's grant does not cover the work.
    pub fn request_grant(&mut self, now: Instant, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let needed = self.planner.booked(&work.team).plus(&entry.record.specification.size);
        if self.caps.grants.get(&work.team).is_none_or(|grant| !needed.fits_in(grant)) {
            let earliest = now.max(self.caps.last_read + CAPS_INTERVAL_MIN);
            self.caps.next_read = self.caps.next_read.min(earliest);
        }
    }

    /// Reads the cap rows of the teams with work or a grant, when due.
    pub fn update_grants(&mut self, context: &mut Context, environment: &Environment) {
        if self.caps.open_read.is_some()
            || !self.takes_starts()
            || environment.is_only_shard(&self.id)
        {
            return;
        }
        let teams = || self.caps.grant_states.iter().filter(|(team, _)| self.uses_cap(team));
        let missing = teams().any(|(_, grant_state)| grant_state.needs_read());
        let due = context.now >= self.caps.next_read
            || missing && context.now >= self.caps.last_read + CAPS_INTERVAL_MIN;
        if !due {
            return;
        }
        let teams: BTreeSet<TeamId> =
            teams().map(|(team, _)| team.clone()).take(CAPS_PER_READ).collect();
        self.caps.next_read = context.now + CAPS_INTERVAL;
        self.caps.last_read = context.now;
        if teams.is_empty() {
            return;
        }
        let keys = teams.iter().map(|team| row_key(team)).collect();
        let call = context.call_table(Request::Read { keys }, environment.settings.table_timeout);
        self.caps.open_read = Some(teams);
        self.calls.insert(call, Call::Caps);
    }

    /// Returns whether the team has work or a grant on this shard.
    fn uses_cap(&self, team: &TeamId) -> bool {
        let row = self.caps.grant_states.get(team).and_then(GrantState::row);
        let granted = row.is_some_and(|row| row.grant(&self.id) != Size::ZERO);
        granted
            || self.caps.grants.get(team).is_some_and(|grant| *grant != Size::ZERO)
            || self.planner.booked(team) != Size::ZERO
            || self.planner.waiting(team) != Size::ZERO
    }

    pub fn on_caps(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        result: Result<Reply, Failure>,
    ) {
        let Some(teams) = self.caps.open_read.take() else { return };
        let Ok(Reply::Rows { rows, .. }) = result else { return };
        let rows: BTreeMap<String, table::Row> =
            rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for team in teams {
            let (row, version) = match rows.get(&row_key(&team)) {
                Some(row) => match serde_json::from_str(&row.value) {
                    Ok(value) => (value, row.version),
                    Err(_) => continue,
                },
                None => match environment.snapshot.team(&team) {
                    Some(configured) => {
                        let new = GrantState::new(self.id.clone(), context.now);
                        self.caps.grant_states.insert(team.clone(), new);
                        (CapRow { cap: configured.cap, ..CapRow::default() }, 0)
                    }
                    None => continue,
                },
            };
            if let Some(grant_state) = self.caps.grant_states.get_mut(&team) {
                grant_state.record_row(row, version);
            }
            self.caps.planned.remove(&team);
        }
        self.plan_grants(context, environment);
    }

    /// Plans the grants of the teams whose demand or row changed, and of all teams once per [`CAPS_INTERVAL`].
    pub fn plan_grants(&mut self, context: &mut Context, environment: &Environment) {
        if !self.takes_starts() || environment.is_only_shard(&self.id) {
            return;
        }
        self.caps.tasks_known |= self.all_workers_resolved(environment)
            && (self.epoch == 1 || environment.knows_delisted(context.now));
        let teams: Vec<TeamId> = self.caps.grants.keys().cloned().collect();
        for team in teams {
            let (booked, waiting) = (self.planner.booked(&team), self.planner.waiting(&team));
            let unchanged = self.caps.planned.get(&team).is_some_and(|(before, queued, next)| {
                (*before, *queued) == (booked, waiting) && context.now < *next
            });
            if !unchanged && self.uses_cap(&team) {
                let next = context.now + CAPS_INTERVAL;
                self.caps.planned.insert(team.clone(), (booked, waiting, next));
                self.plan_grant(context, environment, &team);
            }
        }
    }

    fn plan_grant(&mut self, context: &mut Context, environment: &Environment, team: &TeamId) {
        let demand = self.demand(team);
        let Some(grant_state) = self.caps.grant_states.get_mut(team) else { return };
        // If the team has no cap, tasks that are still unknown cannot exceed it.
        let unlimited =
            grant_state.row().is_some_and(|row| row.cap == Size::from_parts([u64::MAX; 4]));
        if !self.caps.tasks_known && !unlimited {
            return;
        }
        let plan = grant_state.plan(context.now, &demand);
        self.set_grant(context, environment, team, plan.limit);
        if plan.stop != Size::ZERO {
            self.stop_excess(team, &demand.booked.minus(&plan.stop));
        }
        if let Some(write) = plan.write {
            self.write_grant(context, environment, team, &write);
        }
    }

    fn write_grant(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        team: &TeamId,
        write: &GrantWrite,
    ) {
        let key = row_key(team);
        let tag = environment.next_tag();
        let version = (write.version > 0).then_some(write.version);
        let batch = Batch {
            reply_to: ServiceName::Scheduler,
            tag,
            checks: self.checks(key.clone(), version),
            writes: vec![Write { key, value: serde_json::to_string(&write.row).ok() }],
            expires: Some(context.now + CAPS_INTERVAL),
        };
        self.rows.writes.insert(tag, Purpose::Grant(team.clone()));
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    fn demand(&self, team: &TeamId) -> Demand {
        let mut booked = self.planner.booked(team);
        let mut largest = Size::ZERO;
        let first = WorkId { team: team.clone(), name: String::new() };
        for (_, entry) in self.works.range(first..).take_while(|(work, _)| work.team == *team) {
            let size = entry.record.specification.size;
            if !entry.submitted {
                // Tasks of a gang that were found on workers and are not booked in the planner yet.
                let sent = entry.tasks.iter().filter(|task| task.phase.is_sent()).count();
                booked = booked.plus(&size.times(sent as u64));
            }
            if entry.tasks.iter().any(|task| task.phase == Phase::Waiting) {
                let together = if entry.is_gang() { entry.tasks.len() as u64 } else { 1 };
                largest = largest.max(&size.times(together));
            }
        }
        let open = self.sessions.values().filter(|session| session.is_open());
        let target = open.fold(Size::ZERO, |sum, session| sum.plus(&session.listing.capacity));
        Demand { booked, waiting: self.planner.waiting(team), largest, target }
    }

    pub fn on_grant_written(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        team: &TeamId,
        result: Result<(), WriteFailure>,
    ) {
        if let Some(teams) = &mut self.caps.open_read {
            teams.remove(team);
        }
        if let Some(grant_state) = self.caps.grant_states.get_mut(team) {
            grant_state.record_write_result(result.as_ref().copied());
        }
        self.caps.planned.remove(team);
        self.plan_grants(context, environment);
    }

    /// Stops tasks of a team until the rest fits in `limit`, the last admitted work first.
    fn stop_excess(&mut self, team: &TeamId, limit: &Size) {
        let mut kept = self.planner.booked(team);
        if kept.fits_in(limit) {
            return;
        }
        let first = WorkId { team: team.clone(), name: String::new() };
        let works = self.works.range(first..).take_while(|(work, _)| work.team == *team);
        let mut running: Vec<(u64, WorkId)> = Vec::new();
        for (work, entry) in works {
            let size = entry.record.specification.size;
            let stopping = entry.tasks.iter().filter(|task| task.is_stopping()).count();
            kept = kept.minus(&size.times(stopping as u64));
            if entry.tasks.iter().any(TaskEntry::can_stop) {
                running.push((entry.record.admitted_unix_ms, work.clone()));
            }
        }
        running.sort();
        while let Some((_, work)) = running.pop()
            && !kept.fits_in(limit)
        {
            kept = self.stop_work_excess(&work, kept, limit);
        }
    }

    /// Stops tasks of one work record until `kept` fits in `limit`; a gang is stopped as a whole. Returns the remaining
    /// size.
    fn stop_work_excess(&mut self, work: &WorkId, mut kept: Size, limit: &Size) -> Size {
        let Some(entry) = self.works.get(work) else { return kept };
        let size = entry.record.specification.size;
        let mode = match entry.record.specification.class {
            Class::Batch => StopMode::Checkpoint,
            _ => StopMode::Stop,
        };
        let gang = entry.is_gang();
        for index in (0..entry.tasks.len() as u32).rev() {
            let task = Task { work: work.clone(), index };
            let runs = self.task_mut(&task).is_some_and(|state| state.can_stop());
            if runs && (gang || !kept.fits_in(limit)) {
                self.stop_task(&task, mode);
                kept = kept.minus(&size);
            }
        }
        kept
    }
}
