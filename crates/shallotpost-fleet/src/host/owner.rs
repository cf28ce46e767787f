//! Duties of the owner: committing progress, and deleting what is not needed any more.

use crate::host::Host;
use crate::host::ownership::{KEY, OwnerRow, ROSTER_KEY};
use crate::host::store::Purpose;
use crate::message::{decode, encode};
use crate::port::{
    Content, Counter, HostName, RowVersion, StoreAnswer, StoreError, StoreRequest, Table, Timing,
};
use crate::prelude::*;
use crate::progress::Progress;
use crate::scheduler::{Batch, Scheduler, UnreachableWorker, cancellation_key, job_key};
use crate::worker::Registration;

/// Least time between two commits, so that the ends of one moment share a transaction.
const COMMIT_INTERVAL: Duration = Duration::from_millis(25);

/// Most time between two commits: they renew the ownership.
const COMMIT_INTERVAL_MAX: Duration = Duration::from_millis(400);

/// Time that an owner waits for the answers to its orders before it releases its ownership.
const QUIET_BOUND: Duration = Duration::from_millis(400);

/// Time from which a commit is logged: other hosts claim the ownership after little more.
const COMMIT_SLOW: Duration = Duration::from_millis(600);

/// Pause after a commit that the store refused.
const COMMIT_RETRY: Duration = Duration::from_millis(100);

/// Interval of deletions of the rows of hosts that are gone.
const HOSTS_INTERVAL: Duration = Duration::from_secs(20);

/// Interval of deletions of ended jobs.
const DELETION_INTERVAL: Duration = Duration::from_secs(5);

/// Silence of a peer after which it gets no calls for approval: an interval of beats and the delay of a busy host.
const APPROVER_SILENCE_MAX: Duration = Duration::from_millis(1500);

/// State of the owner.
pub(super) struct Owner {
    pub(super) scheduler: Scheduler,
    /// When the last commit that took effect was sent.
    pub(super) confirmed: Uptime,
    epoch: u64,
    sequence: u64,
    version: RowVersion,
    pub(super) loaded: bool,
    /// Pages that are being read.
    pub(super) pages_open: u32,
    /// Pages to read again, and when.
    pub(super) pages_again: Vec<(Uptime, Table, String)>,
    /// Whether the jobs are read again after their history was lost.
    pub(super) reading_again: bool,
    next_deletion: Uptime,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) cancelled: BTreeSet<JobId>,
    pub(super) progress: BTreeMap<JobId, Progress>,
    pub(super) roster: Vec<(WorkerId, Registration)>,
    pub(super) jobs_after: RowVersion,
    pub(super) jobs_waiting: bool,
    pub(super) jobs_next: Uptime,
    pub(super) registry_after: Option<RowVersion>,
    pub(super) registry_waiting: bool,
    pub(super) registry_next: Uptime,
    pub(super) registry_present: BTreeSet<String>,
    /// Workers that the previous owner could not reach.
    pub(super) absent: Vec<UnreachableWorker>,
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
    pub(super) fn update_approvers(&mut self) {
        let now = self.now;
        let peers: Vec<(HostName, String)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.age(now).is_some_and(|age| age < APPROVER_SILENCE_MAX))
            .filter(|(_, peer)| !peer.beat.stopping)
            .map(|(name, peer)| (name.clone(), peer.address.clone()))
            .collect();
        if let Some(owner) = &mut self.owner {
            owner.scheduler.set_peers(&peers);
        }
    }

    /// Deletes the rows of ended jobs whose state need not be kept any longer. Their progress is deleted afterwards, so
    /// that a job without progress is never one that has ended.
    pub(super) fn delete_ended_jobs(&mut self) {
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

    pub(super) fn delete_gone_hosts(&mut self) {
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
            if !owner.scheduler.has_no_open_orders() && now.saturating_sub(since) < QUIET_BOUND {
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
        let row = OwnerRow {
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            epoch: owner.epoch,
            sequence: owner.sequence,
            // Ends that do not fit are stored first; those that arrive later are listed to the successor again.
            released: stopping && (!owner.loaded || owner.scheduler.is_batch_complete()),
            absent: match owner.is_loaded() {
                true => owner.scheduler.unreachable_workers(now),
                false => owner.absent.clone(),
            },
        };
        if owner.loaded {
            owner.scheduler.unreachable_commit_sent(&row.absent);
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
        let duration = now.saturating_sub(commit.sent);
        self.outputs.push(Output::Time { timing: Timing::Commit, duration });
        let slow = (duration >= COMMIT_SLOW).then(|| commit.request.size());
        owner.next_commit = now + COMMIT_INTERVAL;
        let released = commit.row.released;
        if owner.loaded {
            owner.scheduler.unreachable_committed(&commit.row.absent);
        }
        if commit.rosters {
            owner.scheduler.roster_committed();
        }
        self.renew_row(version, commit.row);
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
