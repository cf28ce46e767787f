//! State of the owner, its commits, and the deletion of rows that are no longer needed.

use std::collections::VecDeque;

use crate::host::Host;
use crate::host::freshness::Freshness;
use crate::host::operator::Operator;
use crate::host::owner_feeds::{jobs_watch, registry_watch};
use crate::host::ownership::{KEY, OwnerRow, Predecessor, ROSTER_KEY};
use crate::host::store::{Path, Purpose};
use crate::message::{decode, encode};
use crate::port::{
    Content, Counter, HostName, RowVersion, StoreAnswer, StoreError, StoreRequest, Table, Timing,
};
use crate::prelude::*;
use crate::progress::Progress;
use crate::scheduler::{
    Batch, Scheduler, StoredStart, UnreachableWorker, cancellation_key, job_key,
};
use crate::watch::Watch;
use crate::worker::Registration;

/// Minimum time between two commits, so that runs that end at about the same time share a transaction.
const COMMIT_INTERVAL_MIN: Duration = Duration::from_millis(25);

/// Maximum time between two commits. Commits also renew the ownership.
const COMMIT_INTERVAL_MAX: Duration = Duration::from_millis(400);

/// Maximum time for which a stopping owner waits for workers to answer before it releases the ownership.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(400);

/// Minimum duration of a commit that is logged as slow. If a commit takes only slightly longer, other hosts claim the
/// ownership.
const SLOW_COMMIT: Duration = Duration::from_millis(600);

/// Delay before a failed commit is sent again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which the rows of expired hosts are deleted.
const HOST_DELETION_INTERVAL: Duration = Duration::from_secs(20);

/// Interval at which the rows of ended jobs are deleted.
const JOB_DELETION_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum age of the last heartbeat of a peer that is sent approval calls: one heartbeat interval and the delay of a
/// busy host.
const APPROVER_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(1500);

/// What a new owner has read so far, before anything of it is passed to the scheduler.
#[derive(Default)]
pub(super) struct Loading {
    /// Partitions of jobs that are still to be read.
    pub(super) parts_to_read: VecDeque<String>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    /// Jobs whose rows cannot be decoded.
    pub(super) unreadable_jobs: BTreeSet<JobId>,
    pub(super) cancelled: BTreeSet<JobId>,
    pub(super) progress: BTreeMap<JobId, Progress>,
    pub(super) roster: Vec<(WorkerId, Registration)>,
    /// Workers that the previous owner could not reach.
    pub(super) unreachable_workers: Vec<UnreachableWorker>,
    /// Starts without an answer of the previous owner.
    pub(super) late_starts: Vec<StoredStart>,
}

/// Phase of an ownership.
pub(super) enum Phase {
    /// The stored rows are being read, or no configuration is known yet. The scheduler knows nothing, and nothing is
    /// decided.
    Loading(Loading),
    /// The scheduler has everything that was read. A configuration is known, and remains so.
    Scheduling,
}

/// State that a host has only while it is the owner.
pub(super) struct Owner {
    pub(super) phase: Phase,
    pub(super) scheduler: Scheduler,
    /// Time at which the last successful commit was sent.
    pub(super) last_commit_sent: Uptime,
    epoch: u64,
    sequence: u64,
    version: RowVersion,
    /// Number of page reads in flight while the jobs are loaded or read again.
    pub(super) pages_in_flight: u32,
    /// Failed page reads, with the time of the retry, the table and the least key.
    pub(super) page_retries: Vec<(Uptime, Table, String)>,
    /// Whether the jobs are read again because the store no longer holds the changes that the feed needs.
    pub(super) reloading_jobs: bool,
    next_job_deletion: Uptime,
    /// Version up to which the jobs that were read contain every change, and the time at which the first read was sent.
    pub(super) jobs_read: Option<(RowVersion, Uptime)>,
    pub(super) jobs_watch: Watch,
    /// Versions of the rows of the known jobs. A row is written once, so another version is that of another job.
    pub(super) job_versions: BTreeMap<JobId, RowVersion>,
    pub(super) registry_watch: Watch,
    /// When the read of the first page of the registry was sent, and the version that it returned.
    pub(super) registry_read_sent: Uptime,
    pub(super) registry_version: RowVersion,
    /// Key from which the next page of the registry is read; `None` if the whole registry has been read.
    pub(super) registry_page: Option<String>,
    /// Whether the registry must be read again because a new configuration may name the pools of unusable entries.
    pub(super) registry_stale: bool,
    pub(super) registry_page_in_flight: bool,
    pub(super) next_registry_page: Uptime,
    /// Workers found so far by the current read of the whole registry.
    pub(super) registry_keys: BTreeSet<String>,
    /// Entries of the registry that name no worker to use; each was reported once.
    pub(super) unusable_entries: BTreeSet<String>,
    /// Time at which this host first saw the previous owner's last commit.
    pub(super) previous_commit_observed: Uptime,
    /// The previous owner, until it is known to have ended; `None` if it is not known.
    pub(super) predecessor: Option<Predecessor>,
    commit: Option<Commit>,
    next_commit: Uptime,
    next_host_deletion: Uptime,
    /// Time from which no task is started because the ownership is about to be released.
    pub(super) releasing_since: Option<Uptime>,
    /// The outdated table that was logged last.
    pub(super) outdated_logged: Option<Table>,
}

struct Commit {
    request: StoreRequest,
    sent: Uptime,
    /// Time at which it is sent again; `None` while a call is in flight.
    retry_at: Option<Uptime>,
    /// Whether it was also sent through a peer.
    hedged: bool,
    row: OwnerRow,
    has_roster: bool,
}

impl Owner {
    pub(super) fn new(
        scheduler: Scheduler,
        epoch: u64,
        version: RowVersion,
        freshness: &Freshness,
        now: Uptime,
    ) -> Owner {
        Owner {
            phase: Phase::Loading(Loading::default()),
            scheduler,
            last_commit_sent: now,
            epoch,
            sequence: 0,
            version,
            pages_in_flight: 0,
            page_retries: Vec::new(),
            reloading_jobs: false,
            next_job_deletion: now + JOB_DELETION_INTERVAL,
            jobs_read: None,
            jobs_watch: jobs_watch(freshness),
            job_versions: BTreeMap::new(),
            registry_watch: registry_watch(freshness),
            registry_read_sent: now,
            registry_version: 0,
            registry_page: Some(String::new()),
            registry_stale: false,
            registry_page_in_flight: false,
            next_registry_page: now,
            registry_keys: BTreeSet::new(),
            unusable_entries: BTreeSet::new(),
            previous_commit_observed: now,
            predecessor: None,
            commit: None,
            next_commit: now,
            next_host_deletion: now + HOST_DELETION_INTERVAL,
            releasing_since: None,
            outdated_logged: None,
        }
    }

    /// Returns whether the scheduler has everything that the owner had to read.
    pub(super) fn is_loaded(&self) -> bool {
        matches!(self.phase, Phase::Scheduling)
    }

    /// Returns whether the commit in flight releases the ownership.
    pub(super) fn is_release_sent(&self) -> bool {
        self.commit.as_ref().is_some_and(|commit| commit.row.released)
    }

    /// Returns the first table, if any, of which so old a state is known that no task may start. What is known of a table
    /// must keep up with the owner's commits: if these are answered and the calls for the table are not, nothing else tells
    /// that changes are missing.
    pub(super) fn outdated(&self, operator: &Operator, freshness: &Freshness) -> Option<Table> {
        let tables = [
            (Table::Operator, &operator.watch, freshness.settings_age_max()),
            (Table::Workers, &self.registry_watch, freshness.registry_age_max()),
            (Table::Jobs, &self.jobs_watch, freshness.jobs_age_max()),
        ];
        let outdated = tables
            .into_iter()
            .find(|(_, watch, age_max)| !watch.is_current(self.last_commit_sent, *age_max));
        outdated.map(|(table, ..)| table)
    }

    /// Returns what has been read so far; `None` once the scheduler has it.
    pub(super) fn loading(&mut self) -> Option<&mut Loading> {
        match &mut self.phase {
            Phase::Loading(loading) => Some(loading),
            Phase::Scheduling => None,
        }
    }
}

impl Host {
    /// Tells the scheduler which peers can relay approval calls.
    pub(super) fn update_approvers(&mut self) {
        let now = self.now;
        let peers: Vec<(HostName, String)> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                peer.heartbeat_age(now).is_some_and(|age| age < APPROVER_HEARTBEAT_AGE_MAX)
            })
            .filter(|(_, peer)| !peer.heartbeat.stopping)
            .map(|(name, peer)| (name.clone(), peer.address.clone()))
            .collect();
        if let Some(owner) = &mut self.owner {
            owner.scheduler.set_peers(&peers);
        }
    }

    /// Deletes the rows of ended jobs whose retention time is over. Their progress is deleted afterwards, so that a
    /// stored job without progress is never an ended one.
    pub(super) fn delete_ended_jobs(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.next_job_deletion <= now) else {
            return;
        };
        owner.next_job_deletion = now + JOB_DELETION_INTERVAL;
        for ids in owner.scheduler.expired_jobs(now) {
            // The feed has not returned the rows of the others yet.
            let versions = self.owner.as_ref().map(|owner| &owner.job_versions);
            let row = |id: JobId| Some((id, *versions?.get(&id)?));
            let jobs = ids.into_iter().filter_map(row).collect();
            self.delete_jobs(jobs);
        }
    }

    /// Deletes the rows of jobs of one partition that still have these versions: the store may carry out a deletion late, when
    /// another job was submitted under the identifier.
    fn delete_jobs(&mut self, jobs: Vec<(JobId, RowVersion)>) {
        if jobs.is_empty() {
            return;
        }
        let condition = |(id, version): &(JobId, RowVersion)| (Table::Jobs, job_key(*id), *version);
        let rows = |(id, _): &(JobId, RowVersion)| {
            [(Table::Jobs, job_key(*id)), (Table::Jobs, cancellation_key(*id))]
        };
        let request = StoreRequest::Transact {
            conditions: jobs.iter().map(condition).collect(),
            writes: Vec::new(),
            deletes: jobs.iter().flat_map(rows).collect(),
        };
        self.call_store(Purpose::JobsDeleted(jobs), request, Duration::ZERO);
    }

    pub(super) fn jobs_deleted(
        &mut self,
        jobs: Vec<(JobId, RowVersion)>,
        result: Result<StoreAnswer, StoreError>,
    ) {
        match result {
            // An earlier attempt took effect for some of them although its answer was lost.
            Err(StoreError::Conflict { .. }) if jobs.len() > 1 => {
                jobs.into_iter().for_each(|job| self.delete_jobs(vec![job]));
            }
            Ok(_) | Err(StoreError::Conflict { .. }) => {
                let Some(owner) = &mut self.owner else { return };
                for (id, version) in jobs {
                    if owner.job_versions.get(&id) == Some(&version) {
                        owner.job_versions.remove(&id);
                        owner.scheduler.forget_jobs(&[id]);
                    }
                }
            }
            Err(_) => {}
        }
    }

    /// Deletes the rows of hosts that have sent no heartbeat for a long time.
    pub(super) fn delete_expired_hosts(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.as_mut().filter(|owner| owner.next_host_deletion <= now)
        else {
            return;
        };
        owner.next_host_deletion = now + HOST_DELETION_INTERVAL;
        let expired = self.expired_hosts();
        if expired.is_empty() {
            return;
        }
        self.log("hosts_deleted", vec![("hosts", expired.join(","))]);
        let deletes = expired.iter().map(|host| (Table::Hosts, host.clone())).collect();
        let request =
            StoreRequest::Transact { conditions: Vec::new(), writes: Vec::new(), deletes };
        self.call_store(Purpose::Probe, request, Duration::ZERO);
        expired.iter().for_each(|host| drop(self.peers.remove(host)));
    }

    /// Sends a commit if one is due. It stores progress and renews or releases the ownership. One commit is in flight
    /// at a time.
    pub(super) fn commit_if_due(&mut self) {
        let stopping = self.stopping.is_some();
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        if let Some(commit) = &mut owner.commit {
            if commit.retry_at.is_some_and(|retry_at| retry_at <= now) {
                commit.retry_at = None;
                let request = commit.request.clone();
                let sequence = commit.row.sequence;
                self.call_store(Purpose::Commit { sequence }, request, Duration::ZERO);
            }
            return self.hedge_commit();
        }
        let since = now.saturating_sub(owner.next_commit);
        let is_dirty = || owner.is_loaded() && owner.scheduler.is_dirty();
        let due = owner.next_commit <= now && (since >= COMMIT_INTERVAL_MAX || is_dirty());
        if stopping {
            // Starts continue while an earlier commit is in flight, and cease before the last commit is built.
            let since = *owner.releasing_since.get_or_insert(now);
            if !owner.scheduler.has_no_open_orders() && now.saturating_sub(since) < RELEASE_WAIT_MAX
            {
                return;
            }
        } else if !due {
            return;
        }
        let batch = match owner.is_loaded() {
            true => owner.scheduler.take_batch(),
            false => Batch::default(),
        };
        owner.sequence += 1;
        let (unreachable_workers, late_starts) = match &mut owner.phase {
            Phase::Loading(loading) => {
                let age = now.saturating_sub(owner.previous_commit_observed);
                let workers = loading.unreachable_workers.iter().map(|worker| worker.aged(age));
                let starts = loading.late_starts.iter().map(|start| start.aged(age));
                (workers.collect(), starts.collect())
            }
            Phase::Scheduling => {
                (owner.scheduler.unreachable_workers(now), owner.scheduler.take_late_starts(now))
            }
        };
        let row = OwnerRow {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch: owner.epoch,
            sequence: owner.sequence,
            // The ownership is not released before all ended runs are stored. Workers list runs that end later to the
            // successor.
            released: stopping && (!owner.is_loaded() || owner.scheduler.is_batch_complete()),
            unreachable_workers,
            late_starts,
        };
        if owner.is_loaded() {
            owner.scheduler.unreachable_commit_sent(&row.unreachable_workers, now);
        }
        let Ok(bytes) = encode(&row) else { return };
        let mut writes = batch.writes;
        let roster = if owner.is_loaded() { owner.scheduler.changed_roster(now) } else { None };
        let has_roster = roster.is_some();
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
        owner.commit = Some(Commit {
            request: request.clone(),
            sent: now,
            retry_at: None,
            hedged: false,
            row,
            has_roster,
        });
        self.outputs.push(Output::Count { counter: Counter::Commits, amount: 1 });
        self.call_store(Purpose::Commit { sequence }, request, Duration::ZERO);
    }

    /// Sends the commit in flight through a peer too if the store no longer answers this host. The condition on the row's
    /// version keeps it from taking effect twice.
    fn hedge_commit(&mut self) {
        let commit = self.owner.as_ref().and_then(|owner| owner.commit.as_ref());
        let Some((sent, sequence)) =
            commit.filter(|commit| !commit.hedged).map(|commit| (commit.sent, commit.row.sequence))
        else {
            return;
        };
        let Some(relay) = self.hedge_host(sent) else { return };
        let Some(commit) = self.owner.as_mut().and_then(|owner| owner.commit.as_mut()) else {
            return;
        };
        commit.hedged = true;
        let request = commit.request.clone();
        let purpose = Purpose::Commit { sequence };
        self.call_store_on(Path::Relayed(relay), purpose, request, Duration::ZERO);
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
            // The condition on the row's version keeps the repeated transaction from taking effect twice.
            Err(_) => commit.retry_at = Some(now + COMMIT_RETRY_DELAY),
        }
    }

    fn commit_succeeded(&mut self, version: RowVersion) {
        let now = self.now;
        let Some(owner) = &mut self.owner else { return };
        let Some(commit) = owner.commit.take() else { return };
        owner.version = version;
        owner.last_commit_sent = commit.sent;
        let duration = now.saturating_sub(commit.sent);
        self.outputs.push(Output::Time { timing: Timing::Commit, duration });
        let slow = (duration >= SLOW_COMMIT).then(|| commit.request.size());
        owner.next_commit = now + COMMIT_INTERVAL_MIN;
        let released = commit.row.released;
        if owner.is_loaded() {
            owner.scheduler.unreachable_committed(&commit.row.unreachable_workers, commit.sent);
        }
        if commit.has_roster {
            owner.scheduler.roster_committed();
        }
        self.record_renewal(version, commit.row);
        if let Some((rows, bytes)) = slow {
            let fields = vec![
                ("duration_ms", duration.as_millis().to_string()),
                ("rows", rows.to_string()),
                ("bytes", bytes.to_string()),
            ];
            self.log("commit_slow", fields);
        }
        if released {
            self.owner = None;
            self.drop_owner_calls();
            self.log("ownership_released", Vec::new());
            self.next_heartbeat = now;
            self.send_heartbeats();
            return;
        }
        if self.owner.as_ref().is_some_and(Owner::is_loaded) {
            self.with_scheduler(|scheduler, context| scheduler.committed(context));
        }
    }
}
