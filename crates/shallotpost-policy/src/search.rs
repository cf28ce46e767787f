//! Search for the worker for one task, and for the workers for all parts of a gang.

use std::collections::BTreeSet;

use shallotpost_protocol::prelude::*;

use crate::engine::Engine;
use crate::fleet::{Visit, fit_count};
use crate::queue::TaskKey;

/// Maximum number of workers with room that are compared for one task. More candidates improve packing but take more
/// time.
const CANDIDATES_MAX: usize = 16;

/// How a worker is chosen among those with room for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    /// The worker with the least capacity left afterwards.
    Pack,
    /// The worker with the most capacity left afterwards, among the first candidates of several racks.
    Spread,
}

impl Engine {
    /// Returns a worker for a waiting task, if one has room now.
    pub(crate) fn find_host(&mut self, key: TaskKey) -> Option<usize> {
        let record = self.jobs.get(key.0)?;
        let size = record.job.size;
        if !self.fleet.may_fit(&size) {
            return None;
        }
        let from = self.fleet.next_rack();
        let record = self.jobs.get(key.0)?;
        if record.is_service() {
            return self.find_service_host(key.0, &size, from);
        }
        let choice = if self.policy.pack_batch { Choice::Pack } else { Choice::Spread };
        let from = if choice == Choice::Pack { 0 } else { from };
        let found = self.best_host(&size, from, choice, &record.failed_on);
        found.or_else(|| {
            let retry = !record.failed_on.is_empty() && !self.has_alternative(key.0);
            retry.then(|| self.best_host(&size, from, choice, &BTreeSet::new())).flatten()
        })
    }

    /// Returns whether a task may be placed on a worker. Workers on which its job failed are excluded as long as
    /// another one could hold it.
    pub(crate) fn may_place(&self, key: TaskKey, host: usize) -> bool {
        let failed = self.jobs.get(key.0).is_some_and(|record| record.failed_on.contains(&host));
        !failed || !self.has_alternative(key.0)
    }

    /// Returns whether a schedulable, healthy worker on which the job did not fail could hold one of its tasks, now or
    /// later.
    fn has_alternative(&self, slot: usize) -> bool {
        let Some(record) = self.jobs.get(slot) else { return false };
        self.fleet.hosts.iter().enumerate().any(|(slot, host)| {
            let open = host.known && host.schedulable && !host.health.is_restricted();
            open && record.job.size.fits_in(&host.capacity) && !record.failed_on.contains(&slot)
        })
    }

    fn best_host(
        &self,
        size: &Size,
        from: usize,
        choice: Choice,
        avoid: &BTreeSet<usize>,
    ) -> Option<usize> {
        let mut candidates = 0;
        let mut best: Option<(f64, usize)> = None;
        self.fleet.visit(size, from, &mut |host| {
            if avoid.contains(&host) {
                return Visit::Next;
            }
            let left = self.free_fraction_after(host, size);
            let score = if choice == Choice::Pack { left } else { -left };
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, host));
            }
            candidates += 1;
            match choice {
                _ if candidates >= CANDIDATES_MAX => Visit::Stop,
                Choice::Pack => Visit::Next,
                Choice::Spread => Visit::NextRack,
            }
        });
        best.map(|(_, host)| host)
    }

    /// Returns a worker in the rack with the fewest tasks of the service, if possible one on which the service did not
    /// fail.
    fn find_service_host(&self, slot: usize, size: &Size, from: usize) -> Option<usize> {
        let record = self.jobs.get(slot)?;
        let mut best: Option<((bool, u32), usize)> = None;
        self.fleet.visit(size, from, &mut |host| {
            let rack = self.fleet.hosts[host].rack;
            let count = record.booked_by_rack.get(&rack).copied().unwrap_or(0);
            let score = (record.failed_on.contains(&host), count);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, host));
            }
            match score {
                (false, 0) => Visit::Stop,
                (false, _) => Visit::NextRack,
                (true, _) => Visit::Next,
            }
        });
        best.map(|(_, host)| host).filter(|host| self.may_place((slot, 0), *host))
    }

    /// Returns workers with room for `parts` tasks now, each with its number of tasks, and the number of tasks for
    /// which there is no room.
    pub(crate) fn find_hosts(
        &self,
        slot: usize,
        size: &Size,
        parts: u64,
    ) -> (Vec<(usize, u64)>, u64) {
        let mut found = Vec::new();
        let mut left = parts;
        if left == 0 {
            return (found, 0);
        }
        self.fleet.visit(size, 0, &mut |position| {
            let host = &self.fleet.hosts[position];
            if !self.may_place((slot, 0), position) {
                return Visit::Next;
            }
            let room = self.fleet.free(position).map_or(0, |free| fit_count(&free, size));
            let count = room.min(host.concurrent_starts_max()).min(left);
            if count > 0 {
                found.push((position, count));
                left -= count;
            }
            if left == 0 { Visit::Stop } else { Visit::Next }
        });
        (found, left)
    }

    /// Returns the fraction of its capacity that stays free when a worker takes `size`, summed over the resources.
    fn free_fraction_after(&self, host: usize, size: &Size) -> f64 {
        let free = self.fleet.free(host);
        let host = &self.fleet.hosts[host];
        let left = free.unwrap_or(Size::ZERO).minus(size).parts();
        let parts = left.into_iter().zip(host.capacity.parts());
        parts.map(|(left, all)| if all == 0 { 0.0 } else { left as f64 / all as f64 }).sum()
    }
}
