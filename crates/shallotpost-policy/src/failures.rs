//! Attribution of task failures: a worker on which different work fails is quarantined; work that fails on several
//! workers is faulty itself and no longer counts against them.

use shallotpost_protocol::prelude::*;

use crate::engine::Engine;
use crate::health::{FAULTY_WORK_WORKERS_MIN, HealthState};

/// At most one worker in this many (but at least one) is quarantined. Beyond that, the work is the more likely cause.
const QUARANTINED_DIVISOR: usize = 2;

impl Engine {
    pub(crate) fn record_success(&mut self, host: usize) {
        self.fleet.hosts[host].health.record_success();
        self.fleet.refresh(host);
    }

    /// Records a failed task, and quarantines its worker if that is the likely cause.
    pub(crate) fn record_failure(&mut self, now: Instant, slot: usize, host: usize) {
        let Some(record) = self.jobs.get_mut(slot) else { return };
        record.failed_on.insert(host);
        let work = (record.sequence, slot);
        if self.is_faulty(slot) {
            self.discard_failures(slot);
            return;
        }
        let health = &mut self.fleet.hosts[host].health;
        health.record_failure(work);
        match health.state {
            HealthState::Probing { .. } => self.quarantine(now, host),
            HealthState::Healthy => self.quarantine_if_suspect(now, host),
            HealthState::Quarantined { .. } => {}
        }
    }

    /// Returns whether the work failed on so many workers that it is the likely cause.
    pub(crate) fn is_faulty(&self, slot: usize) -> bool {
        self.jobs.get(slot).is_some_and(|record| record.failed_on.len() >= FAULTY_WORK_WORKERS_MIN)
    }

    fn quarantine_if_suspect(&mut self, now: Instant, host: usize) {
        let failures = self.fleet.hosts[host].health.failures.len();
        if failures < self.policy.quarantine_failures.max(1) as usize {
            return;
        }
        let restricted = self.fleet.hosts.iter().filter(|host| host.health.is_restricted()).count();
        if restricted < (self.fleet.known_workers / QUARANTINED_DIVISOR).max(1) {
            self.quarantine(now, host);
        }
    }

    fn quarantine(&mut self, now: Instant, host: usize) {
        let until = self.fleet.hosts[host].health.quarantine(now, self.policy.quarantine);
        self.fleet.set_timer(until, host);
        self.fleet.refresh(host);
    }

    /// Removes the failures of faulty work from the records of its workers, and ends quarantines that depend on them.
    fn discard_failures(&mut self, slot: usize) {
        let Some(record) = self.jobs.get(slot) else { return };
        let work = (record.sequence, slot);
        let hosts: Vec<usize> = record.failed_on.iter().copied().collect();
        let needed = self.policy.quarantine_failures.max(1) as usize;
        for host in hosts {
            let health = &mut self.fleet.hosts[host].health;
            let before = health.failures.len();
            health.failures.retain(|failure| *failure != work);
            let withdrawn = health.failures.len() < before;
            if withdrawn && health.is_restricted() && health.failures.len() < needed {
                health.state = HealthState::Healthy;
                health.quarantine_count = 0;
            }
            self.fleet.refresh(host);
        }
    }
}
