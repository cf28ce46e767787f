//! Reads of the owner: jobs, progress and roster after a takeover, then the feeds of jobs and registrations.

use crate::host::Host;
use crate::host::freshness::{Freshness, feed_wait};
use crate::host::owner::{Loading, Owner, Phase};
use crate::host::ownership::ROSTER_KEY;
use crate::host::store::Purpose;
use crate::job::parse_job_id;
use crate::message::decode;
use crate::port::{Content, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table};
use crate::prelude::*;
use crate::progress::Progress;
use crate::scheduler::job_parts;
use crate::watch::{Poll, Watch};

/// Maximum time for which the store waits for a change of the jobs or the registry.
const FEED_WAIT_MAX: Duration = Duration::from_millis(1500);

/// Pause between two reads of the feed of jobs. Hosts notify the owner of jobs directly; the feed makes up for lost
/// messages.
const JOBS_FEED_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the feed of registrations, so that the heartbeats of many workers share a call.
const REGISTRY_FEED_PAUSE: Duration = Duration::from_millis(250);

/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Pause between the reads of two partitions while the jobs are read again.
const RELOAD_PAUSE: Duration = Duration::from_millis(20);

/// Time after an outage of the store until the registry is complete again, as guaranteed by the platform.
const REGISTRY_RECOVERY: Duration = Duration::from_millis(2300);

/// Maximum number of rows that a read returns.
const PAGE_SIZE: u32 = 400;

/// Maximum number of reads in flight while a new owner loads the jobs.
const PAGES_IN_FLIGHT_MAX: u32 = 80;

/// Maximum time by which a worker's start may lie ahead of this host's clock, in milliseconds: a day, for wrong clocks.
const START_AHEAD_MAX_MS: u64 = 24 * 3_600 * 1_000;

/// Suffix of the keys of cancellation rows.
const CANCELLATION_SUFFIX: &str = ".cancel";

/// Returns the watch of a new owner for the jobs.
pub(super) fn jobs_watch(freshness: &Freshness) -> Watch {
    let wait = feed_wait(freshness.jobs_age_max(), JOBS_FEED_PAUSE, FEED_WAIT_MAX);
    Watch::new(wait, JOBS_FEED_PAUSE)
}

/// Returns the watch of a new owner for the registry.
pub(super) fn registry_watch(freshness: &Freshness) -> Watch {
    let wait = feed_wait(freshness.registry_age_max(), REGISTRY_FEED_PAUSE, FEED_WAIT_MAX);
    Watch::new(wait, REGISTRY_FEED_PAUSE)
}

impl Host {
    /// Starts to read the jobs, their progress and the roster, all partitions in parallel.
    pub(super) fn load_jobs(&mut self) {
        if let Some(loading) = self.owner.as_mut().and_then(Owner::loading) {
            loading.parts_to_read = job_parts().collect();
        }
        self.read_parts();
        self.load_page(Table::Progress, String::new());
        self.load_page(Table::Ownership, ROSTER_KEY.to_owned());
    }

    /// Reads further partitions of jobs, so that a bounded number of reads is in flight.
    fn read_parts(&mut self) {
        while let Some(owner) = &mut self.owner
            && owner.pages_in_flight < PAGES_IN_FLIGHT_MAX
            && let Some(part) =
                owner.loading().and_then(|loading| loading.parts_to_read.pop_front())
        {
            self.load_page(Table::Jobs, part);
        }
    }

    fn load_page(&mut self, table: Table, from: String) {
        if let Some(owner) = &mut self.owner {
            owner.pages_in_flight += 1;
            if table == Table::Jobs {
                owner.jobs_read.get_or_insert((RowVersion::MAX, self.now));
            }
        }
        let request = StoreRequest::Read { table, from: from.clone(), limit: PAGE_SIZE };
        let purpose = match table {
            Table::Jobs => Purpose::JobsRead { from },
            Table::Ownership => Purpose::RosterRead,
            _ => Purpose::ProgressRead { from },
        };
        self.call_store(purpose, request, Duration::ZERO);
    }

    /// Schedules another read of a page that could not be read. Rows that were read before have not changed.
    fn retry_page(&mut self, table: Table, from: String) {
        let retry_at = self.now + RETRY_DELAY;
        if let Some(owner) = &mut self.owner {
            owner.page_retries.push((retry_at, table, from));
        }
    }

    /// Repeats failed reads that are due, and finishes loading once all pages are read.
    fn advance_loading(&mut self) {
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        let (due, later): (Vec<_>, Vec<_>) =
            owner.page_retries.drain(..).partition(|(retry_at, _, _)| *retry_at <= now);
        owner.page_retries = later;
        for (_, table, from) in due {
            self.load_page(table, from);
        }
        self.read_parts();
        let Some(owner) = &mut self.owner else { return };
        if owner.pages_in_flight > 0 || !owner.page_retries.is_empty() {
            return;
        }
        if std::mem::take(&mut owner.reloading_jobs) {
            owner.resume_jobs_feed(now);
        }
        self.finish_loading();
    }

    pub(super) fn jobs_read(&mut self, from: String, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_in_flight = owner.pages_in_flight.saturating_sub(1);
        let Ok(answer) = result else { return self.retry_page(Table::Jobs, from) };
        // The feed returns changes that are made while the following pages are read.
        if let Some((version, _)) = &mut owner.jobs_read {
            *version = answer.version.min(*version);
        }
        let next = next_page(&answer);
        for row in answer.rows {
            match self.owner.as_ref().is_some_and(Owner::is_loaded) {
                true => self.apply_job_row(row),
                false => self.load_job_row(row),
            }
        }
        if let Some(from) = next {
            self.load_page(Table::Jobs, from);
        }
        self.advance_loading();
    }

    fn load_job_row(&mut self, row: Row) {
        self.record_job_version(&row);
        let loading = self.owner.as_mut().and_then(Owner::loading);
        let (Some(loading), Content::Bytes(bytes)) = (loading, &row.content) else { return };
        if let Some(id) = row.key.strip_suffix(CANCELLATION_SUFFIX).and_then(parse_job_id) {
            loading.cancelled.insert(id);
        } else if let (Some(id), Ok(job)) = (parse_job_id(&row.key), decode::<Job>(bytes)) {
            loading.jobs.insert(id, job);
        } else {
            loading.unreadable_jobs.extend(parse_job_id(&row.key));
            self.log("job_unreadable", vec![("key", row.key)]);
        }
    }

    /// Records the version of a job's row. Forgets a job of the same identifier whose row had an earlier version.
    fn record_job_version(&mut self, row: &Row) {
        let (Some(owner), Some(id)) = (&mut self.owner, parse_job_id(&row.key)) else { return };
        match owner.job_versions.get(&id) {
            Some(known) if *known >= row.version => return,
            Some(_) => owner.scheduler.forget_jobs(&[id]),
            None => {}
        }
        owner.job_versions.insert(id, row.version);
    }

    pub(super) fn progress_read(&mut self, from: String, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_in_flight = owner.pages_in_flight.saturating_sub(1);
        let Ok(answer) = result else { return self.retry_page(Table::Progress, from) };
        let next = next_page(&answer);
        let mut unreadable = Vec::new();
        let Some(loading) = owner.loading() else { return };
        for row in answer.rows {
            let Content::Bytes(bytes) = &row.content else { continue };
            match (parse_job_id(&row.key), Progress::from_bytes(bytes)) {
                (Some(id), Ok(progress)) => drop(loading.progress.insert(id, progress)),
                (_, result) => unreadable.push((row.key, result.err())),
            }
        }
        if let Some(from) = next {
            self.load_page(Table::Progress, from);
        }
        for (key, error) in unreadable {
            let error =
                error.map_or_else(|| "not a job's key".to_owned(), |error| error.to_string());
            self.log("progress_unreadable", vec![("key", key), ("error", error)]);
        }
        self.advance_loading();
    }

    pub(super) fn roster_read(&mut self, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        owner.pages_in_flight = owner.pages_in_flight.saturating_sub(1);
        let Ok(answer) = result else {
            return self.retry_page(Table::Ownership, ROSTER_KEY.to_owned());
        };
        let row = answer.rows.into_iter().find(|row| row.key == ROSTER_KEY);
        if let Some(Content::Bytes(bytes)) = row.map(|row| row.content) {
            match (decode(&bytes), owner.loading()) {
                (Ok(roster), Some(loading)) => loading.roster = roster,
                (Ok(_), None) => {}
                (Err(error), _) => {
                    self.log("roster_unreadable", vec![("error", error.to_string())])
                }
            }
        }
        self.advance_loading();
    }

    /// Passes everything that was read to the scheduler, once a configuration is known too. Until then the rows are kept:
    /// after an outage of the store, the configuration may be read last.
    fn finish_loading(&mut self) {
        if self.operator.configuration.is_none() {
            return;
        }
        let Some(owner) = &mut self.owner else { return };
        let Phase::Loading(loading) = std::mem::replace(&mut owner.phase, Phase::Scheduling) else {
            return;
        };
        let Loading {
            jobs,
            unreadable_jobs,
            progress,
            cancelled,
            roster,
            unreachable_workers,
            late_starts,
            ..
        } = loading;
        // An earlier owner has ended between the deletion of these jobs and that of their progress.
        let deleted: Vec<JobId> = progress
            .keys()
            .filter(|id| !jobs.contains_key(id) && !unreadable_jobs.contains(id))
            .copied()
            .collect();
        owner.resume_jobs_feed(self.now);
        owner.next_registry_page = self.now;
        let since = owner.previous_commit_observed;
        let count = jobs.len();
        let now = self.now;
        self.with_scheduler(|scheduler, context| {
            scheduler.forget_jobs(&deleted);
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
            for worker in unreachable_workers {
                scheduler.add_unreachable_worker(worker, since);
            }
            for start in late_starts {
                scheduler.add_late_start(start, since, context);
            }
        });
        self.log("jobs_loaded", vec![("jobs", count.to_string())]);
    }

    /// Does the owner's periodic work: loading, the feeds of jobs and registrations, and deletions.
    pub(super) fn tick_owner(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        if !owner.is_loaded() || owner.reloading_jobs {
            self.advance_loading();
        }
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.is_loaded()) else { return };
        let jobs_poll = match owner.reloading_jobs {
            true => None,
            false => owner.jobs_watch.poll(self.now),
        };
        if !owner.registry_page_in_flight && std::mem::take(&mut owner.registry_stale) {
            owner.reread_registry();
        }
        let registry_poll = match owner.registry_page {
            Some(_) => None,
            None => owner.registry_watch.poll(self.now),
        };
        let page = owner
            .registry_page
            .clone()
            .filter(|_| !owner.registry_page_in_flight && owner.next_registry_page <= self.now);
        if let Some(poll) = jobs_poll {
            let after = poll.after.unwrap_or_default();
            let request = StoreRequest::Feed { table: Table::Jobs, after, wait: poll.wait };
            self.call_store_again(poll, Purpose::JobsFeed(poll), request);
        }
        if let Some(poll) = registry_poll {
            let after = poll.after.unwrap_or_default();
            let request = StoreRequest::Feed { table: Table::Workers, after, wait: poll.wait };
            self.call_store_again(poll, Purpose::RegistryFeed(poll), request);
        }
        if let Some(from) = page {
            self.read_registry(from);
        }
        self.log_outdated_table();
        self.update_approvers();
        self.delete_expired_hosts();
        self.delete_ended_jobs();
    }

    /// Logs when starts cease because what is known of a table is too old, and when they resume.
    fn log_outdated_table(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        let outdated = owner.outdated(&self.operator, &self.settings.freshness);
        if outdated == owner.outdated_logged {
            return;
        }
        owner.outdated_logged = outdated;
        let table = outdated.map_or_else(String::new, |table| table.to_string());
        let age = |watch: &Watch| watch.age(self.now).as_millis().to_string();
        let fields = vec![
            ("table", table),
            ("settings_age_ms", age(&self.operator.watch)),
            ("registry_age_ms", age(&owner.registry_watch)),
            ("jobs_age_ms", age(&owner.jobs_watch)),
        ];
        self.log("starts_held", fields);
    }

    fn read_registry(&mut self, from: String) {
        if let Some(owner) = &mut self.owner {
            owner.registry_page_in_flight = true;
            if from.is_empty() {
                owner.registry_read_sent = self.now;
            }
        }
        let request =
            StoreRequest::Read { table: Table::Workers, from: from.clone(), limit: PAGE_SIZE };
        self.call_store(Purpose::RegistryRead { from }, request, Duration::ZERO);
    }

    pub(super) fn jobs_feed(&mut self, poll: Poll, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        let now = self.now;
        match result {
            Ok(answer) => {
                let changed = !answer.rows.is_empty();
                let known = owner.jobs_watch.answered(poll, now, answer.version, changed);
                let Some(known) = known else { return };
                for row in answer.rows.into_iter().filter(|row| row.version > known) {
                    self.apply_job_row(row);
                }
            }
            Err(StoreError::HistoryLost) => {
                if !owner.jobs_watch.history_lost(poll, now) {
                    return;
                }
                owner.reloading_jobs = true;
                owner.jobs_read = None;
                // One after the other, so that the owner goes on with its other work. Hosts notify it of new jobs.
                let parts = job_parts().zip(0u32..);
                owner
                    .page_retries
                    .extend(parts.map(|(part, position)| {
                        (now + RELOAD_PAUSE * position, Table::Jobs, part)
                    }));
                self.log("jobs_read_again", Vec::new());
            }
            Err(error) => {
                owner.jobs_watch.failed(poll, now, error == StoreError::NotExecuted);
            }
        }
    }

    fn apply_job_row(&mut self, row: Row) {
        let Content::Bytes(bytes) = &row.content else { return };
        if let Some(id) = row.key.strip_suffix(CANCELLATION_SUFFIX).and_then(parse_job_id) {
            self.with_scheduler(|scheduler, context| scheduler.cancel(id, context));
            return;
        }
        self.record_job_version(&row);
        // Most jobs are known from the host that accepted them.
        let unknown =
            |id: &JobId| self.owner.as_ref().is_some_and(|owner| !owner.scheduler.knows(*id));
        let Some(id) = parse_job_id(&row.key).filter(unknown) else { return };
        match decode::<Job>(bytes) {
            Ok(job) => {
                self.with_scheduler(|scheduler, context| scheduler.add_job(id, job, context));
            }
            Err(_) => self.log("job_unreadable", vec![("key", row.key)]),
        }
    }

    /// Handles a page of the registry. A page that could not be read is read again.
    pub(super) fn registry_read(&mut self, from: String, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        let Ok(answer) = result else {
            owner.registry_page_in_flight = false;
            owner.next_registry_page = self.now + RETRY_DELAY;
            return;
        };
        if from.is_empty() {
            owner.registry_keys.clear();
            // The feed returns changes that are made while the following pages are read.
            owner.registry_version = answer.version;
        }
        let next = next_page(&answer);
        owner.registry_page.clone_from(&next);
        owner.registry_keys.extend(answer.rows.iter().map(|row| row.key.clone()));
        for row in answer.rows {
            self.apply_registration(row);
        }
        match next {
            Some(from) => self.read_registry(from),
            None => self.registry_complete(),
        }
    }

    fn registry_complete(&mut self) {
        let Some(owner) = &mut self.owner else { return };
        owner.registry_page_in_flight = false;
        owner.registry_watch.resume(owner.registry_version, owner.registry_read_sent, self.now);
        let present = std::mem::take(&mut owner.registry_keys);
        owner.unusable_entries.retain(|key| present.contains(key));
        // Registrations of live workers may still be missing after an outage of the store.
        let from = match self.store.last_failure {
            Some(failed) => (failed + REGISTRY_RECOVERY).max(self.now),
            None => self.now,
        };
        self.with_scheduler(|scheduler, context| {
            scheduler.retain_registered(&present, context);
            scheduler.set_registry_complete(from);
        });
    }

    pub(super) fn registry_feed(&mut self, poll: Poll, result: Result<StoreAnswer, StoreError>) {
        let Some(owner) = &mut self.owner else { return };
        let now = self.now;
        match result {
            Ok(answer) => {
                let changed = !answer.rows.is_empty();
                let known = owner.registry_watch.answered(poll, now, answer.version, changed);
                let Some(known) = known else { return };
                // Calls that overlap return the same changes, and an older one may be answered last.
                for row in answer.rows.into_iter().filter(|row| row.version > known) {
                    self.apply_registration(row);
                }
            }
            Err(StoreError::HistoryLost) => {
                if owner.registry_watch.history_lost(poll, now) {
                    owner.reread_registry();
                }
            }
            Err(error) => {
                owner.registry_watch.failed(poll, now, error == StoreError::NotExecuted);
            }
        }
    }

    fn apply_registration(&mut self, row: Row) {
        let pools = self.operator.configuration.as_ref().map(|current| &current.pools);
        let known =
            |pool: &str| pools.is_some_and(|pools| pools.iter().any(|known| known.name == pool));
        // A later start than the known one ends all runs of the worker.
        let latest_start = self.unix_ms.saturating_add(START_AHEAD_MAX_MS);
        let (registration, fault) = match row.content {
            Content::Worker(registration) if registration.started_unix_ms > latest_start => {
                (None, Some("registration_unreadable"))
            }
            Content::Worker(registration) if known(&registration.pool) => {
                (Some(*registration), None)
            }
            Content::Worker(_) => (None, Some("registration_unknown_pool")),
            Content::Deleted => (None, None),
            _ => (None, Some("registration_unreadable")),
        };
        let Some(owner) = &mut self.owner else { return };
        match fault {
            None => drop(owner.unusable_entries.remove(&row.key)),
            Some(event) if owner.unusable_entries.insert(row.key.clone()) => {
                self.log(event, vec![("worker", row.key.clone())]);
            }
            Some(_) => {}
        }
        // An entry that cannot be used gives the worker no further tasks. Its runs go on.
        self.with_scheduler(|scheduler, context| {
            scheduler.set_registration(&row.key, registration, context);
        });
    }
}

impl Owner {
    /// Begins a read of the whole registry.
    fn reread_registry(&mut self) {
        self.registry_watch.stop();
        self.registry_page = Some(String::new());
        self.next_registry_page = Uptime::ZERO;
    }

    /// Lets the feed of jobs continue after a read of all jobs.
    fn resume_jobs_feed(&mut self, now: Uptime) {
        if let Some((version, sent)) = self.jobs_read.take() {
            self.jobs_watch.resume(version, sent, now);
        }
    }
}

/// Returns the key from which the next page is read; `None` after the last one. The last row of a page is read again: no
/// text that is added to its key sorts before every longer key that begins with it.
fn next_page(answer: &StoreAnswer) -> Option<String> {
    answer.rows.last().filter(|_| answer.more).map(|row| row.key.clone())
}
