//! Grants: the part of each team's cap that this shard may book.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallotpost_policy::planner;
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::table::{Reply, Request, Version, Write};
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::Mode;

use crate::message::{Batch, WriteFailure};
use crate::prelude::*;
use crate::scheduler::entry::TaskEntry;
use crate::scheduler::environment::Environment;
use crate::scheduler::rows::Purpose;
use crate::scheduler::shard::{Call, Owned};

/// Interval between two reads of the cap rows.
const CAPS_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two reads of the cap rows, for teams without a sufficient grant.
const CAPS_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Most cap rows of one read.
const CAPS_PER_READ: usize = 500;

/// Value of the row `caps/<team>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapRow {
    /// Most that the team may have booked fleet-wide.
    pub cap: Size,
    /// Part of each shard.
    #[serde(default)]
    pub grants: BTreeMap<String, Size>,
    /// Further fields, which are kept as they are.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

/// Grants of one shard.
pub struct Caps {
    grants: BTreeMap<TeamId, Size>,
    writing: BTreeSet<TeamId>,
    call: Option<CallId>,
    only: bool,
    next_read: Instant,
    last_read: Instant,
}

impl Caps {
    /// No grants.
    pub fn new(now: Instant) -> Caps {
        Caps {
            grants: BTreeMap::new(),
            writing: BTreeSet::new(),
            call: None,
            only: false,
            next_read: now,
            last_read: now,
        }
    }
}

/// Grant that a shard should hold: what it has booked and what its waiting tasks need, as far as the cap leaves room
/// beside the grants of the other shards, and never less than what is booked.
pub fn next_grant(cap: &Size, others: &Size, booked: &Size, waiting: &Size) -> Size {
    booked.plus(waiting).min(&cap.minus(others)).max(booked)
}

/// Key of a team's cap row.
pub fn row_key(team: &str) -> String {
    format!("caps/{team}")
}

impl Owned {
    /// Tells the planner the configured teams.
    pub fn refresh_teams(&mut self, context: &mut Context, environment: &Environment) {
        let only = environment.is_only_shard(&self.id);
        let was_only = std::mem::replace(&mut self.caps.only, only);
        let names: Vec<TeamId> = environment
            .snapshot
            .names(shallotpost_protocol::resource::Kind::Team)
            .map(str::to_owned)
            .collect();
        let gone: Vec<TeamId> =
            self.caps.grants.keys().filter(|team| !names.contains(team)).cloned().collect();
        for team in gone {
            self.caps.grants.remove(&team);
            self.planner.remove_team(&team);
        }
        for name in names {
            let Some(team) = environment.snapshot.team(&name) else { continue };
            let known = self.caps.grants.get(&name).copied().unwrap_or(Size::ZERO);
            let grant = match (only, was_only) {
                (true, _) => team.cap,
                // The cap is split from now on, and this shard holds no part of it yet.
                (false, true) => self.planner.booked(&name),
                (false, false) => known,
            };
            self.set_grant(context, environment, &name, grant);
            if only {
                self.stop_above(&name, &grant);
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
        let team = planner::Team { id: team.clone(), share: configured.share, grant };
        self.planner.set_team(context.now, team);
    }

    /// Reads the cap rows soon where the grant of the team does not cover the work.
    pub fn request_grant(&mut self, now: Instant, work: &WorkId) {
        let Some(entry) = self.works.get(work) else { return };
        let needed = self.planner.booked(&work.team).plus(&entry.record.specification.size);
        if self.caps.grants.get(&work.team).is_none_or(|grant| !needed.fits_in(grant)) {
            let earliest = now.max(self.caps.last_read + CAPS_INTERVAL_MIN);
            self.caps.next_read = self.caps.next_read.min(earliest);
        }
    }

    /// Reads the cap rows of the teams with waiting or booked work.
    pub fn update_grants(&mut self, context: &mut Context, environment: &Environment) {
        let idle = self.caps.call.is_none() && context.now >= self.caps.next_read;
        if !idle || !self.takes_starts() || environment.is_only_shard(&self.id) {
            return;
        }
        self.caps.next_read = context.now + CAPS_INTERVAL;
        self.caps.last_read = context.now;
        let needed = self.caps.grants.iter().filter(|(team, grant)| {
            **grant != Size::ZERO
                || self.planner.booked(team) != Size::ZERO
                || self.planner.waiting(team) != Size::ZERO
        });
        let keys: Vec<String> = needed.map(|(team, _)| row_key(team)).take(CAPS_PER_READ).collect();
        if keys.is_empty() {
            return;
        }
        let call = context.call_table(Request::Read { keys }, environment.settings.table_timeout);
        self.caps.call = Some(call);
        self.calls.insert(call, Call::Caps);
    }

    /// Adjusts the grants to the rows that were read.
    pub fn on_caps(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        result: Result<Reply, Failure>,
    ) {
        self.caps.call = None;
        let Ok(Reply::Rows { rows, .. }) = result else { return };
        let rows: BTreeMap<String, (Version, CapRow)> = rows
            .into_iter()
            .filter_map(|row| {
                Some((row.key, (row.version, serde_json::from_str(&row.value).ok()?)))
            })
            .collect();
        let teams: Vec<TeamId> = self.caps.grants.keys().cloned().collect();
        for team in teams {
            if !self.caps.writing.contains(&team) {
                let row = rows.get(&row_key(&team)).cloned();
                self.adjust_grant(context, environment, &team, row);
            }
        }
    }

    fn adjust_grant(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        team: &TeamId,
        row: Option<(Version, CapRow)>,
    ) {
        let Some(configured) = environment.snapshot.team(team) else { return };
        let booked = self.planner.booked(team);
        let waiting = self.planner.waiting(team);
        let (version, mut row) = match row {
            Some((version, row)) => (Some(version), row),
            None if booked == Size::ZERO && waiting == Size::ZERO => return,
            None => (None, CapRow { cap: configured.cap, ..CapRow::default() }),
        };
        let own = self.id.to_string();
        let held = row.grants.get(&own).copied().unwrap_or(Size::ZERO);
        let others = row.grants.iter().filter(|(shard, _)| **shard != own);
        let others = others.fold(Size::ZERO, |sum, (_, grant)| sum.plus(grant));
        let next = next_grant(&row.cap, &others, &booked, &waiting);
        // The planner may use only what is durable now and stays durable after the write.
        let room = row.cap.minus(&others);
        self.set_grant(context, environment, team, held.min(&next).min(&room));
        self.stop_above(team, &room);
        if next == held {
            return;
        }
        row.grants.insert(own, next);
        let key = row_key(team);
        let tag = environment.next_tag();
        let batch = Batch {
            reply_to: Name::Scheduler,
            tag,
            checks: self.checks(key.clone(), version),
            writes: vec![Write { key, value: serde_json::to_string(&row).ok() }],
            expires: Some(context.now + CAPS_INTERVAL),
        };
        self.caps.writing.insert(team.clone());
        self.rows.writes.insert(tag, Purpose::Grant(team.clone(), next.min(&room)));
        context.send(Name::Commit, Message::Write(batch));
    }

    /// Uses a grant once it is durable. After any other outcome the next read tells.
    pub fn on_grant_written(
        &mut self,
        context: &mut Context,
        environment: &Environment,
        team: &TeamId,
        grant: Size,
        result: Result<(), WriteFailure>,
    ) {
        self.caps.writing.remove(team);
        if result.is_ok() && self.caps.grants.contains_key(team) {
            self.set_grant(context, environment, team, grant);
        }
    }

    /// Stops tasks of a team until the rest fits into `limit`, those of the last admitted work first.
    fn stop_above(&mut self, team: &TeamId, limit: &Size) {
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
            kept = self.stop_work_above(&work, kept, limit);
        }
    }

    /// Stops tasks of one work until `kept` fits into `limit`, all parts of a gang at once. Returns what is kept.
    fn stop_work_above(&mut self, work: &WorkId, mut kept: Size, limit: &Size) -> Size {
        let Some(entry) = self.works.get(work) else { return kept };
        let size = entry.record.specification.size;
        let mode = match entry.record.specification.class {
            Class::Batch => Mode::Checkpoint,
            _ => Mode::Stop,
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
