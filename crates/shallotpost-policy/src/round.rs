//! One round of decisions: advances preemptions and reservations, and starts waiting tasks and gangs.

use shallotpost_protocol::prelude::*;

use crate::engine::Engine;
use crate::planner::Action;
use crate::queue::TaskKey;
use crate::teams::{LANES, NEW, REPLACEMENT, REQUEUED, URGENT};

/// Maximum number of tasks that one round tries without finding a worker. Bounds the time of a round when many tasks of
/// different sizes wait for a full fleet; the next round tries the remaining tasks.
const MISSES_MAX: usize = 256;
/// Maximum number of gangs that one round tries.
const GANG_TRIES_MAX: usize = 8;

pub(crate) struct Round {
    pub(crate) now: Instant,
    pub(crate) limit: usize,
    pub(crate) actions: Vec<Action>,
    misses: usize,
    gang_tries: usize,
    /// By team and lane, whether no waiting task fits now.
    exhausted: Vec<[bool; LANES]>,
    /// By team, the capacity version at which all its gangs were tried.
    gangs_tried_version: Vec<Option<u64>>,
}

impl Round {
    /// Returns how many actions may still be added.
    pub(crate) fn remaining(&self) -> usize {
        self.limit.saturating_sub(self.actions.len())
    }
}

impl Engine {
    /// Runs one round and returns at most `limit` actions. Only a gang with more parts may exceed the limit, as the
    /// first start of a round.
    pub(crate) fn plan(&mut self, now: Instant, limit: usize) -> Vec<Action> {
        self.fleet.advance(now);
        if limit == 0 || !self.starts_enabled {
            return Vec::new();
        }
        let teams = self.teams.accounts.len();
        let mut round = Round {
            now,
            limit,
            actions: Vec::new(),
            misses: 0,
            gang_tries: 0,
            exhausted: vec![[false; LANES]; teams],
            gangs_tried_version: vec![None; teams],
        };
        self.advance_preemptions(&mut round);
        self.advance_reservations(&mut round);
        self.advance_isolation(&mut round);
        while round.remaining() > 0 && round.misses < MISSES_MAX && self.start_next(&mut round) {}
        self.reserve(&mut round);
        self.preempt_for_waiting(&mut round);
        round.actions
    }

    /// Books a task on a worker and adds its start to the actions.
    pub(crate) fn start(&mut self, round: &mut Round, key: TaskKey, host: usize) {
        let Some(task) = self.task(key) else { return };
        self.book(round.now, key, host);
        let worker = self.fleet.hosts[host].id.clone();
        round.actions.push(Action::Start { task, worker });
    }

    /// Starts the next task or gang. Returns false if nothing can start.
    fn start_next(&mut self, round: &mut Round) -> bool {
        let order = self.teams.serving_order(&self.fleet.total());
        for lane in [URGENT, REPLACEMENT] {
            if order.iter().any(|team| self.start_from_lane(round, *team, lane)) {
                return true;
            }
        }
        for team in order {
            if self.start_next_gang(round, team)
                || self.start_from_lane(round, team, REQUEUED)
                || self.start_from_lane(round, team, NEW)
            {
                return true;
            }
        }
        false
    }

    fn start_from_lane(&mut self, round: &mut Round, team: usize, lane: usize) -> bool {
        match self.candidate(round, team, lane) {
            Some((key, host)) => {
                self.start(round, key, host);
                true
            }
            None => false,
        }
    }

    /// Returns the first task of a lane that fits, with its worker.
    fn candidate(
        &mut self,
        round: &mut Round,
        team: usize,
        lane: usize,
    ) -> Option<(TaskKey, usize)> {
        if self.teams.accounts[team].lanes[lane].is_empty() || round.exhausted[team][lane] {
            return None;
        }
        if let Some(found) = self.candidate_on_grown_host(team, lane) {
            return Some(found);
        }
        while round.misses < MISSES_MAX {
            let account = &mut self.teams.accounts[team];
            let room = account.headroom().min(&self.fleet.largest_free());
            let Some((position, key, size)) = account.lanes[lane].first_untried(&room) else {
                round.exhausted[team][lane] = true;
                return None;
            };
            if let Some(host) =
                self.find_host(key).filter(|_| self.teams.accounts[team].allows(&size))
            {
                return Some((key, host));
            }
            self.teams.accounts[team].lanes[lane].mark_tried(position);
            round.misses += 1;
        }
        None
    }

    /// Returns the first task of a lane that fits on a worker whose free capacity has grown since the lane last checked
    /// it, with the worker to use. Tasks already tried fit on no other worker.
    ///
    /// A worker that is skipped only because of the team's grant is offered again when the headroom grows.
    fn candidate_on_grown_host(&mut self, team: usize, lane: usize) -> Option<(TaskKey, usize)> {
        let account = &self.teams.accounts[team];
        let headroom = account.headroom();
        let queue = &account.lanes[lane];
        let mut grant_limited = Vec::new();
        let mut fit = None;
        for (grown_version, slot) in self.fleet.grown_hosts.range(queue.checked_version + 1..) {
            let Some(free) = self.fleet.free(*slot) else { continue };
            if queue.fits_none(&free) {
                continue;
            }
            let room = free.min(&headroom);
            let mut first = queue.first(0, &room);
            while let Some((position, ..)) = first.filter(|first| !self.may_place(first.1, *slot)) {
                first = queue.first(position + 1, &room);
            }
            if let Some((_, key, size)) = first {
                fit = Some((key, size, *slot, *grown_version));
                break;
            }
            if room != free {
                grant_limited.push(*slot);
            }
        }
        let version = self.fleet.capacity_version;
        let account = &mut self.teams.accounts[team];
        account.lanes[lane].checked_version =
            fit.map_or(version, |(.., grown_version)| grown_version - 1);
        account.grant_limited_hosts.extend(grant_limited);
        let (key, _, slot, _) = fit.filter(|(_, size, ..)| account.allows(size))?;
        let host = self.find_host(key).unwrap_or(slot);
        Some((key, host))
    }

    /// Starts the first gang of the team that fits, unless its gangs were already tried at this capacity version.
    fn start_next_gang(&mut self, round: &mut Round, team: usize) -> bool {
        let version = self.fleet.capacity_version;
        let tried_now = round.gangs_tried_version[team] == Some(version);
        if tried_now
            || self.teams.accounts[team].gangs.is_empty()
            || round.gang_tries >= GANG_TRIES_MAX
        {
            return false;
        }
        let account = &self.teams.accounts[team];
        let grown = self.fleet.grown_hosts.range(account.gangs_checked_version + 1..);
        let rooms: Vec<Size> = grown.filter_map(|(_, host)| self.fleet.free(*host)).collect();
        let fits = |size: &Size| rooms.iter().any(|room| size.fits_in(room));
        let may_fit_gang = account.gangs_changed || account.gangs.values().any(fits);
        let gangs: Vec<usize> = account.gangs.keys().map(|(_, slot)| *slot).collect();
        for slot in gangs.into_iter().filter(|_| may_fit_gang) {
            if !self.may_fit_gang_now(slot) {
                continue;
            }
            if round.gang_tries >= GANG_TRIES_MAX {
                return false;
            }
            round.gang_tries += 1;
            if self.start_gang_if_fits(round, slot) {
                return true;
            }
        }
        round.gangs_tried_version[team] = Some(version);
        // With earlier actions, a gang may have been skipped only because of the limit of the round.
        if round.actions.is_empty() {
            let account = &mut self.teams.accounts[team];
            account.gangs_checked_version = version;
            account.gangs_changed = false;
        }
        false
    }

    /// Returns whether a worker with room for a part has gained free capacity since the gang was last tried.
    fn may_fit_gang_now(&mut self, slot: usize) -> bool {
        let Some(record) = self.jobs.get_mut(slot) else { return false };
        let size = &record.job.size;
        let fits = |host: usize| self.fleet.free(host).is_some_and(|free| size.fits_in(&free));
        let grown = self.fleet.grown_hosts.range(record.tried_version + 1..);
        if record.tried_version == 0 || grown.into_iter().any(|(_, host)| fits(*host)) {
            return true;
        }
        record.tried_version = self.fleet.capacity_version;
        false
    }
}
