//! What the owner reads: jobs with their progress and the roster at the start, then the feeds of jobs and registrations.

use crate::host::Host;
use crate::host::owner::Owner;
use crate::host::ownership::ROSTER_KEY;
use crate::host::store::Purpose;
use crate::job::parse_job_id;
use crate::message::decode;
use crate::port::{Content, Row, StoreAnswer, StoreError, StoreRequest, Table};
use crate::prelude::*;
use crate::scheduler::JOB_PARTS;

/// How long the store waits for a change of the jobs or the registry.
const FEED_WAIT: Duration = Duration::from_millis(1500);

/// Pause between two reads of the feed of jobs. Submitting hosts tell the owner directly; the feed covers lost messages.
const JOBS_FEED_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the feed of registrations, so that the heartbeats of many workers share a call.
const REGISTRY_FEED_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Time after an outage of the store after which the registry is complete again, as the platform states.
const REGISTRY_RETURN: Duration = Duration::from_millis(2300);

/// Most rows that one read returns.
const PAGE: u32 = 400;

/// Mark of cancellation rows in their keys.
const CANCELLATION: &str = ".cancel";

impl Host {
    /// Reads the jobs and their progress, all parts at once.
    pub(super) fn load_jobs(&mut self) {
        for part in JOB_PARTS.chars() {
            self.load_page(Table::Jobs, part.to_string());
        }
        self.load_page(Table::Progress, String::new());
        self.load_page(Table::Ownership, ROSTER_KEY.to_owned());
    }

    fn load_page(&mut self, table: Table, from: String) {
        if let Some(owner) = &mut self.owner {
            owner.pages_open += 1;
        }
        let request = StoreRequest::Read { table, from: from.clone(), limit: PAGE };
        let purpose = match table {
            Table::Jobs => Purpose::JobsRead { from },
            Table::Ownership => Purpose::RosterRead,
            _ => Purpose::ProgressRead { from },
        };
        self.call_store(purpose, request, Duration::ZERO);
    }

    /// Reads a page again later. Rows that were read before are the same.
    fn page_failed(&mut self, table: Table, from: String) {
        let again = self.now + RETRY_PAUSE;
        if let Some(owner) = &mut self.owner {
            owner.pages_again.push((again, table, from));
        }
    }

    /// Begins reads whose time has come again, and ends the reading once all pages are there.
    fn follow_pages(&mut self) {
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        let (due, later): (Vec<_>, Vec<_>) =
            owner.pages_again.drain(..).partition(|(again, _, _)| *again <= now);
        owner.pages_again = later;
        for (_, table, from) in due {
            self.load_page(table, from);
        }
        let Some(owner) = &mut self.owner else { return };
        if owner.pages_open > 0 || !owner.pages_again.is_empty() {
            return;
        }
        owner.jobs_waiting &= !owner.reading_again;
        owner.reading_again = false;
        if !owner.loaded {
            self.finish_loading();
        }
    }

    pub(super) fn jobs_read(&mut self, from: String, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_open = owner.pages_open.saturating_sub(1);
        let Ok(answer) = result else { return self.page_failed(Table::Jobs, from) };
        // Changes during the following pages come with the feed.
        owner.jobs_after = match owner.jobs_after {
            0 => answer.version,
            after => after.min(answer.version),
        };
        let last = answer.rows.last().map(|row| format!("{}~", row.key));
        for row in answer.rows {
            match self.owner.as_ref().is_some_and(Owner::is_loaded) {
                true => self.apply_job_row(row),
                false => self.load_job_row(row),
            }
        }
        if let Some(from) = last.filter(|_| answer.more) {
            self.load_page(Table::Jobs, from);
        }
        self.follow_pages();
    }

    fn load_job_row(&mut self, row: Row) {
        let (Some(owner), Content::Bytes(bytes)) = (&mut self.owner, &row.content) else { return };
        if let Some(id) = row.key.strip_suffix(CANCELLATION).and_then(parse_job_id) {
            owner.cancelled.insert(id);
        } else if let (Some(id), Ok(job)) = (parse_job_id(&row.key), decode::<Job>(bytes)) {
            owner.jobs.insert(id, job);
        } else {
            self.log("job_unreadable", vec![("key", row.key)]);
        }
    }

    pub(super) fn progress_read(&mut self, from: String, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_open = owner.pages_open.saturating_sub(1);
        let Ok(answer) = result else { return self.page_failed(Table::Progress, from) };
        let last = answer.rows.last().map(|row| format!("{}~", row.key));
        for row in answer.rows {
            let Content::Bytes(bytes) = &row.content else { continue };
            if let (Some(id), Ok(progress)) = (parse_job_id(&row.key), decode(bytes)) {
                owner.progress.insert(id, progress);
            }
        }
        if let Some(from) = last.filter(|_| answer.more) {
            self.load_page(Table::Progress, from);
        }
        self.follow_pages();
    }

    pub(super) fn roster_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_open = owner.pages_open.saturating_sub(1);
        let Ok(answer) = result else {
            return self.page_failed(Table::Ownership, ROSTER_KEY.to_owned());
        };
        let row = answer.rows.into_iter().find(|row| row.key == ROSTER_KEY);
        if let Some(Content::Bytes(bytes)) = row.map(|row| row.content) {
            match decode(&bytes) {
                Ok(roster) => owner.roster = roster,
                Err(error) => self.log("roster_unreadable", vec![("error", error.to_string())]),
            }
        }
        self.follow_pages();
    }

    fn finish_loading(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        owner.loaded = true;
        owner.jobs_waiting = false;
        owner.registry_next = self.now;
        let jobs = std::mem::take(&mut owner.jobs);
        let progress = std::mem::take(&mut owner.progress);
        let cancelled = std::mem::take(&mut owner.cancelled);
        let (absent, since) = (std::mem::take(&mut owner.absent), owner.absent_since);
        let roster = std::mem::take(&mut owner.roster);
        let count = jobs.len();
        let now = self.now;
        self.with_scheduler(|scheduler, context| {
            for (id, job) in jobs {
                scheduler.add_job(id, job, context);
            }
            for (id, progress) in &progress {
                scheduler.restore(*id, progress, now);
            }
            for id in cancelled {
                scheduler.cancel(id, context);
            }
            for (worker, registration) in roster {
                scheduler.add_roster_worker(&worker, registration, context);
            }
            for absent in absent {
                scheduler.add_unreachable_worker(absent, since);
            }
        });
        self.log("jobs_loaded", vec![("jobs", count.to_string())]);
    }

    /// Keeps the feeds of the owner open.
    pub(super) fn follow_as_owner(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        if !owner.loaded || owner.reading_again {
            self.follow_pages();
        }
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.loaded) else { return };
        if self.operator.configuration.is_none() {
            return;
        }
        let jobs = !owner.jobs_waiting && owner.jobs_next <= self.now;
        let registry = !owner.registry_waiting && owner.registry_next <= self.now;
        owner.jobs_waiting |= jobs;
        owner.registry_waiting |= registry;
        let (jobs_after, registry_after) = (owner.jobs_after, owner.registry_after);
        if jobs {
            let request =
                StoreRequest::Feed { table: Table::Jobs, after: jobs_after, wait: FEED_WAIT };
            self.call_store(Purpose::JobsFeed, request, FEED_WAIT);
        }
        match registry_after {
            _ if !registry => {}
            None => self.read_registry(String::new()),
            Some(after) => {
                let request = StoreRequest::Feed { table: Table::Workers, after, wait: FEED_WAIT };
                self.call_store(Purpose::RegistryFeed, request, FEED_WAIT);
            }
        }
        self.update_approvers();
        self.delete_gone_hosts();
        self.delete_ended_jobs();
    }

    fn read_registry(&mut self, from: String) {
        let first = from.is_empty();
        let request = StoreRequest::Read { table: Table::Workers, from, limit: PAGE };
        self.call_store(Purpose::RegistryRead { first }, request, Duration::ZERO);
    }

    pub(super) fn jobs_feed(&mut self, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.jobs_waiting = false;
        owner.jobs_next = self.now + JOBS_FEED_PAUSE;
        match result {
            Ok(answer) => {
                owner.jobs_after = owner.jobs_after.max(answer.version);
                for row in answer.rows {
                    self.apply_job_row(row);
                }
            }
            Err(StoreError::HistoryLost) => {
                owner.jobs_waiting = true;
                owner.reading_again = true;
                owner.jobs_after = 0;
                self.log("jobs_read_again", Vec::new());
                for part in JOB_PARTS.chars() {
                    self.load_page(Table::Jobs, part.to_string());
                }
            }
            Err(_) => {}
        }
    }

    fn apply_job_row(&mut self, row: Row) {
        let Content::Bytes(bytes) = &row.content else { return };
        if let Some(id) = row.key.strip_suffix(CANCELLATION).and_then(parse_job_id) {
            self.with_scheduler(|scheduler, context| scheduler.cancel(id, context));
        } else if let (Some(id), Ok(job)) = (parse_job_id(&row.key), decode::<Job>(bytes)) {
            self.with_scheduler(|scheduler, context| scheduler.add_job(id, job, context));
        }
    }

    pub(super) fn registry_read(&mut self, first: bool, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        let Ok(answer) = result else {
            owner.registry_waiting = false;
            owner.registry_next = self.now + RETRY_PAUSE;
            return;
        };
        if first {
            owner.registry_present.clear();
            // Changes during the following pages come with the feed.
            owner.registry_after = Some(answer.version);
        }
        let last = answer.rows.last().map(|row| format!("{}~", row.key));
        owner.registry_present.extend(answer.rows.iter().map(|row| row.key.clone()));
        let more = answer.more;
        for row in answer.rows {
            self.apply_registration(row);
        }
        match last.filter(|_| more) {
            Some(from) => self.read_registry(from),
            None => self.registry_complete(),
        }
    }

    fn registry_complete(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        owner.registry_waiting = false;
        owner.registry_next = self.now;
        let present = std::mem::take(&mut owner.registry_present);
        // After an outage the entries of live workers may still be missing.
        let from = match self.store.failed {
            Some(failed) => (failed + REGISTRY_RETURN).max(self.now),
            None => self.now,
        };
        self.with_scheduler(|scheduler, context| {
            scheduler.retain_registered(&present, context);
            scheduler.set_registry_complete(from);
        });
    }

    pub(super) fn registry_feed(&mut self, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.registry_waiting = false;
        owner.registry_next = self.now + REGISTRY_FEED_PAUSE;
        match result {
            Ok(answer) => {
                owner.registry_after = owner.registry_after.max(Some(answer.version));
                for row in answer.rows {
                    self.apply_registration(row);
                }
            }
            Err(StoreError::HistoryLost) => {
                owner.registry_after = None;
                owner.registry_next = self.now;
            }
            Err(_) => {}
        }
    }

    fn apply_registration(&mut self, row: Row) {
        let key = row.key;
        match row.content {
            Content::Worker(registration) => {
                let pools = self.operator.configuration.as_ref().map(|current| &current.pools);
                let known = |pool: &str| {
                    pools.is_some_and(|pools| pools.iter().any(|known| known.name == pool))
                };
                if known(&registration.pool) {
                    self.with_scheduler(|scheduler, context| {
                        scheduler.set_registration(&key, Some(*registration), context);
                    });
                } else {
                    self.log("registration_unknown_pool", vec![("worker", key)]);
                }
            }
            Content::Deleted => self.with_scheduler(|scheduler, context| {
                scheduler.set_registration(&key, None, context);
            }),
            _ => self.log("registration_unreadable", vec![("worker", key)]),
        }
    }
}
