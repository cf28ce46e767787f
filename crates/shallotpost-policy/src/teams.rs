//! Team accounts: weights, grants, bookings and queues.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallotpost_protocol::prelude::*;

use crate::queue::{Lane, TaskKey};
use crate::sum::Sum;

/// Lane of urgent work; served before all other lanes of every team.
pub(crate) const URGENT: usize = 0;
/// Lane of replacements for ended service replicas; served before new work of every team.
pub(crate) const REPLACEMENT: usize = 1;
/// Lane of tasks requeued after a stop, a loss or a refused start; served before new work of the same team.
pub(crate) const REQUEUED: usize = 2;
/// Lane of new work and of failed tasks.
pub(crate) const NEW: usize = 3;
pub(crate) const LANES: usize = 4;

/// A running task that may be preempted. Orders by class rank (batch first), then by the latest start.
pub(crate) type Victim = (u8, std::cmp::Reverse<u64>, TaskKey);

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) id: TeamId,
    /// Weight in weighted fair sharing; at least 1.
    pub(crate) weight: u32,
    /// `None` while the team is unknown; it then gets no starts.
    pub(crate) grant: Option<Size>,
    pub(crate) booked: Sum,
    /// Portion of `booked` whose stop was requested.
    pub(crate) stopping: Sum,
    pub(crate) waiting: Sum,
    pub(crate) waiting_tasks: u64,
    pub(crate) running_tasks: u64,
    pub(crate) lanes: [Lane; LANES],
    /// Size of one part of each gang whose parts all wait, by sequence number and slot.
    pub(crate) gangs: BTreeMap<(u64, usize), Size>,
    /// Capacity version up to which no gang fits.
    pub(crate) gangs_checked_version: u64,
    /// Whether a gang was queued or the headroom grew since then.
    pub(crate) gangs_changed: bool,
    pub(crate) victims: BTreeSet<Victim>,
    /// Workers that were skipped only because of the grant.
    pub(crate) grant_limited_hosts: BTreeSet<usize>,
    /// Earliest time of the next preemption attempt, after one found no victims.
    pub(crate) next_preemption_at: Option<Instant>,
}

impl Account {
    fn new(id: TeamId) -> Account {
        Account {
            id,
            weight: 1,
            grant: None,
            booked: Sum::default(),
            stopping: Sum::default(),
            waiting: Sum::default(),
            waiting_tasks: 0,
            running_tasks: 0,
            lanes: Default::default(),
            gangs: BTreeMap::new(),
            gangs_checked_version: 0,
            gangs_changed: false,
            victims: BTreeSet::new(),
            grant_limited_hosts: BTreeSet::new(),
            next_preemption_at: None,
        }
    }

    /// Returns what the team may still book: nothing if it is unknown or its grant fell below its bookings.
    pub(crate) fn headroom(&self) -> Size {
        let left = self.grant.map(|grant| Sum::from(&grant).minus(&self.booked));
        left.filter(|left| !left.has_negative()).map_or(Size::ZERO, |left| left.size())
    }

    /// Returns whether the grant allows `size` more.
    pub(crate) fn allows(&self, size: &Size) -> bool {
        self.grant.is_some_and(|grant| Sum::from(&grant).minus(&self.booked).holds(size))
    }

    /// Returns the dominant share of the team: its largest fraction of any resource of `total`.
    pub(crate) fn dominant_share(&self, total: &Size) -> f64 {
        self.booked.size().dominant_share(total)
    }

    /// Returns what stays booked once all requested stops are confirmed.
    pub(crate) fn booked_after_stops(&self) -> Sum {
        self.booked.minus(&self.stopping)
    }

    /// Returns the dominant share divided by the weight. The team with the lowest value is served first.
    pub(crate) fn weighted_share(&self, total: &Size) -> f64 {
        self.dominant_share(total) / f64::from(self.weight)
    }

    /// Returns whether the team has tasks and so takes part in fair sharing.
    pub(crate) fn is_active(&self) -> bool {
        self.waiting_tasks > 0 || self.running_tasks > 0
    }
}

/// All accounts. Slots are never reused, so indices into `accounts` stay valid.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    pub(crate) accounts: Vec<Account>,
    slots: HashMap<TeamId, usize>,
}

impl Teams {
    /// Returns the slot of a team, and creates its account if necessary.
    pub(crate) fn slot_or_insert(&mut self, id: &TeamId) -> usize {
        if let Some(slot) = self.slots.get(id) {
            return *slot;
        }
        let slot = self.accounts.len();
        self.accounts.push(Account::new(id.clone()));
        self.slots.insert(id.clone(), slot);
        slot
    }

    pub(crate) fn find(&self, id: &TeamId) -> Option<&Account> {
        self.slots.get(id).map(|slot| &self.accounts[*slot])
    }

    /// Returns the sum of the weights of the active teams.
    pub(crate) fn active_weight(&self) -> f64 {
        let active = self.accounts.iter().filter(|account| account.is_active());
        active.map(|account| f64::from(account.weight)).sum()
    }

    /// Returns the slots of the teams with waiting tasks, the lowest weighted share first.
    pub(crate) fn serving_order(&self, total: &Size) -> Vec<usize> {
        let waiting = self.accounts.iter().enumerate().filter(|(_, team)| team.waiting_tasks > 0);
        let mut order: Vec<(f64, usize)> =
            waiting.map(|(slot, team)| (team.weighted_share(total), slot)).collect();
        order.sort_by(|left, right| {
            let names = || self.accounts[left.1].id.cmp(&self.accounts[right.1].id);
            left.0.total_cmp(&right.0).then_with(names)
        });
        order.into_iter().map(|(_, slot)| slot).collect()
    }
}
