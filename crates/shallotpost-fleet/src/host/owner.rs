//! Duties of the owner: reading the jobs and the registry, and committing progress.

use crate::host::Host;
use crate::host::ownership::{KEY, OwnerRow, ROSTER_KEY};
use crate::host::store::Purpose;
use crate::job::parse_job_id;
use crate::message::{decode, encode};
use crate::port::{
    Content, Counter, HostName, Row, RowVersion, StoreAnswer, StoreError, StoreRequest, Table,
};
use crate::prelude::*;
use crate::progress::Progress;
use crate::scheduler::{Absent, Batch, JOB_PARTS, Scheduler, cancellation_key, job_key};
use crate::worker::Registration;

/// Least time between two commits, so that the ends of one moment share a transaction.
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);

/// Most time between two commits: they renew the ownership.
const COMMIT_INTERVAL_MAX: Duration = Duration::from_millis(400);

/// Time that an owner waits for the answers to its orders before it releases its ownership.
const QUIET_BOUND: Duration = Duration::from_millis(400);

/// Pause after a commit that the store refused.
const COMMIT_RETRY: Duration = Duration::from_millis(100);

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

/// Interval of deletions of the rows of hosts that are gone.
const HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Interval of deletions of ended jobs.
const DELETION_INTERVAL: Duration = Duration::from_secs(5);

/// Most rows that one read returns.
const PAGE: u32 = 400;

/// Mark of cancellation rows in their keys.
const CANCELLATION: &str = ".cancel";

/// State of the owner.
pub(super) struct Owner {
    pub(super) scheduler: Scheduler,
    /// When the last commit that took effect was sent.
    pub(super) confirmed: Uptime,
    epoch: u64,
    sequence: u64,
    version: RowVersion,
    loaded: bool,
    /// Pages that are being read.
    pages_open: u32,
    /// Pages to read again, and when.
    pages_again: Vec<(Uptime, Table, String)>,
    /// Whether the jobs are read again after their history was lost.
    reading_again: bool,
    next_deletion: Uptime,
    jobs: BTreeMap<JobId, Job>,
    cancelled: BTreeSet<JobId>,
    progress: BTreeMap<JobId, Progress>,
    roster: Vec<(WorkerId, Registration)>,
    jobs_after: RowVersion,
    jobs_waiting: bool,
    jobs_next: Uptime,
    registry_after: Option<RowVersion>,
    registry_waiting: bool,
    registry_next: Uptime,
    registry_present: BTreeSet<String>,
    /// Workers that the previous owner could not reach.
    pub(super) absent: Vec<Absent>,
    /// When the previous owner's last commit was first seen.
    pub(super) absent_since: Uptime,
    commit: Option<Commit>,
    next_commit: Uptime,
    next_hosts: Uptime,
    /// Since when nothing is started any more because the ownership is about to be released.
    pub(super) releasing: Option<Uptime>,
}

/// The commit in flight.
struct Commit {
    request: StoreRequest,
    sent: Uptime,
    /// Not sent again before this moment; `None` while an answer is awaited.
    again: Option<Uptime>,
    row: OwnerRow,
    /// Whether it holds the roster of workers.
    rosters: bool,
}

impl Owner {
    pub(super) fn new(scheduler: Scheduler, epoch: u64, version: RowVersion, now: Uptime) -> Owner {
        Owner {
            scheduler,
            confirmed: now,
            epoch,
            sequence: 0,
            version,
            loaded: false,
            pages_open: 0,
            pages_again: Vec::new(),
            reading_again: false,
            next_deletion: now + DELETION_INTERVAL,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
            jobs_after: 0,
            jobs_waiting: false,
            jobs_next: now,
            registry_after: None,
            registry_waiting: false,
            registry_next: now,
            registry_present: BTreeSet::new(),
            absent: Vec::new(),
            absent_since: now,
            commit: None,
            next_commit: now,
            next_hosts: now + HOSTS_INTERVAL,
            releasing: None,
        }
    }

    /// Whether the jobs and their progress are known.
    pub(super) fn is_loaded(&self) -> bool {
        self.loaded
    }
}

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
                scheduler.add_job(id, job, true, context);
            }
            for (id, progress) in &progress {
                scheduler.restore(*id, progress, now);
            }
            for id in cancelled {
                scheduler.cancel(id, context);
            }
            for (worker, registration) in roster {
                scheduler.expect(&worker, registration, context);
            }
            for absent in absent {
                scheduler.expect_absent(absent, since);
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
            self.with_scheduler(|scheduler, context| scheduler.add_job(id, job, false, context));
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

    fn update_approvers(&mut self) {
        let now = self.now;
        let peers: Vec<(HostName, String)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_fresh(now) && !peer.beat.stopping)
            .map(|(name, peer)| (name.clone(), peer.address.clone()))
            .collect();
        if let Some(owner) = &mut self.owner {
            owner.scheduler.set_peers(&peers);
        }
    }

    /// Deletes the rows of ended jobs whose state need not be kept any longer. Their progress is deleted afterwards, so
    /// that a job without progress is never one that has ended.
    fn delete_ended_jobs(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.next_deletion <= now) else {
            return;
        };
        owner.next_deletion = now + DELETION_INTERVAL;
        for ids in owner.scheduler.expired_jobs(now) {
            let rows =
                |id: &JobId| [(Table::Jobs, job_key(*id)), (Table::Jobs, cancellation_key(*id))];
            let deletes = ids.iter().flat_map(rows).collect();
            let request =
                StoreRequest::Transact { conditions: Vec::new(), writes: Vec::new(), deletes };
            self.call_store(Purpose::JobsDeleted(ids), request, Duration::ZERO);
        }
    }

    pub(super) fn jobs_deleted(&mut self, ids: &[JobId], deleted: bool) {
        if let Some(owner) = self.owner.as_mut().filter(|_| deleted) {
            owner.scheduler.forget_jobs(ids);
        }
    }

    fn delete_gone_hosts(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.next_hosts <= now) else {
            return;
        };
        owner.next_hosts = now + HOSTS_INTERVAL;
        let gone = self.gone_hosts();
        if gone.is_empty() {
            return;
        }
        self.log("hosts_deleted", vec![("hosts", gone.join(","))]);
        let deletes = gone.iter().map(|host| (Table::Hosts, host.clone())).collect();
        let request =
            StoreRequest::Transact { conditions: Vec::new(), writes: Vec::new(), deletes };
        self.call_store(Purpose::Probe, request, Duration::ZERO);
        gone.iter().for_each(|host| drop(self.peers.remove(host)));
    }

    /// Commits what is due: progress, the renewal of the ownership, or its release.
    pub(super) fn advance_owner(&mut self) {
        let stopping = self.stopping.is_some();
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        if let Some(commit) = &mut owner.commit {
            if commit.again.is_some_and(|again| again <= now) {
                commit.again = None;
                let request = commit.request.clone();
                let sequence = commit.row.sequence;
                self.call_store(Purpose::Commit { sequence }, request, Duration::ZERO);
            }
            return;
        }
        let dirty = owner.is_loaded() && owner.scheduler.is_dirty();
        let since = now.saturating_sub(owner.next_commit);
        let due = owner.next_commit <= now && (dirty || since >= COMMIT_INTERVAL_MAX);
        if stopping {
            // Starts go on while an earlier commit is on its way. They end before the last one.
            let since = *owner.releasing.get_or_insert(now);
            if !owner.scheduler.is_quiet() && now.saturating_sub(since) < QUIET_BOUND {
                return;
            }
        } else if !due {
            return;
        }
        let batch = match owner.is_loaded() {
            true => owner.scheduler.collect(),
            false => Batch::default(),
        };
        owner.sequence += 1;
        let row = OwnerRow {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch: owner.epoch,
            sequence: owner.sequence,
            // Ends that do not fit are stored first; those that arrive later are listed to the successor again.
            released: stopping && (!owner.loaded || owner.scheduler.is_collected()),
            absent: match owner.is_loaded() {
                true => owner.scheduler.absent(now),
                false => owner.absent.clone(),
            },
        };
        if owner.loaded {
            owner.scheduler.add_recorded(&row.absent);
        }
        let Ok(bytes) = encode(&row) else { return };
        let mut writes = batch.writes;
        let roster = if owner.loaded { owner.scheduler.changed_roster() } else { None };
        let rosters = roster.is_some();
        if let Some(Ok(bytes)) = roster.map(|roster| encode(&roster)) {
            writes.push((Table::Ownership, ROSTER_KEY.to_owned(), bytes));
        }
        writes.push((Table::Ownership, KEY.to_owned(), bytes));
        let request = StoreRequest::Transact {
            conditions: vec![(Table::Ownership, KEY.to_owned(), owner.version)],
            writes,
            deletes: batch.deletes,
        };
        let sequence = owner.sequence;
        owner.commit =
            Some(Commit { request: request.clone(), sent: now, again: None, row, rosters });
        self.outputs.push(Output::Count { counter: Counter::Commits, amount: 1 });
        self.call_store(Purpose::Commit { sequence }, request, Duration::ZERO);
    }

    pub(super) fn commit_result(&mut self, sequence: u64, result: Result<StoreAnswer, StoreError>) {
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        let Some(commit) = owner.commit.as_mut().filter(|commit| commit.row.sequence == sequence)
        else {
            return;
        };
        match result {
            Ok(answer) => self.commit_succeeded(answer.version),
            Err(StoreError::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == KEY);
                let found = row.as_ref().and_then(|row| match &row.content {
                    Content::Bytes(bytes) => decode::<OwnerRow>(bytes).ok(),
                    _ => None,
                });
                if found.as_ref() == Some(&commit.row) {
                    // An earlier attempt took effect although its answer was lost.
                    self.commit_succeeded(row.map_or(0, |row| row.version));
                } else {
                    self.lose_ownership("another host won the ownership row");
                    self.observe_successor(row);
                }
            }
            // The same transaction is sent again: its condition prevents that it takes effect twice.
            Err(_) => commit.again = Some(now + COMMIT_RETRY),
        }
    }

    fn commit_succeeded(&mut self, version: RowVersion) {
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        let Some(commit) = owner.commit.take() else { return };
        owner.version = version;
        owner.confirmed = commit.sent;
        owner.next_commit = now + COMMIT_INTERVAL;
        let released = commit.row.released;
        if owner.loaded {
            owner.scheduler.set_recorded(&commit.row.absent);
        }
        if commit.rosters {
            owner.scheduler.set_rostered();
        }
        self.renew_row(version, commit.row);
        if released {
            self.owner = None;
            self.log("ownership_released", Vec::new());
            self.next_beat = now;
            self.send_beats();
            return;
        }
        if self.owner.as_ref().is_some_and(Owner::is_loaded) {
            self.with_scheduler(|scheduler, context| scheduler.committed(context));
        }
    }
}
