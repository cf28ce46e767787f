//! Commits of the owner, which store the progress of many jobs in one transaction.

use crate::port::{Table, Timing};
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::scheduler::session::WorkerKey;
use crate::scheduler::{Context, Scheduler};

/// Maximum number of progress rows in a transaction. The store accepts 100 entries, some of which are conditions and
/// deletions.
const PROGRESS_ROWS_MAX: usize = 80;

/// Maximum number of finished jobs that are deleted in a transaction; each takes two entries.
const JOB_DELETIONS_MAX: usize = 15;

/// Rows of one transaction.
#[derive(Debug, Default)]
pub struct Batch {
    pub writes: Vec<(Table, String, Vec<u8>)>,
    pub deletes: Vec<(Table, String)>,
}

/// Content of the transaction in flight.
#[derive(Debug, Default)]
pub(super) struct InFlightCommit {
    jobs: Vec<(JobId, State)>,
    /// Jobs whose progress rows are to be deleted. The ones that do not fit into a transaction remain for the next.
    obsolete: Vec<JobId>,
    /// Workers, their incarnations and the sequence numbers up to which their ended runs are stored.
    acknowledged: Vec<(WorkerKey, u64, u64)>,
}

impl InFlightCommit {
    /// Returns whether the transaction stores progress of the job.
    pub(super) fn holds(&self, job: JobId) -> bool {
        self.jobs.iter().any(|(id, _)| *id == job)
    }
}

/// Number of keys' leading bytes that share a partition of the store. A partition executes one transaction at a time, so
/// a slow store needs many partitions, and a new owner reads all of them at once.
const BYTES_PER_PART: usize = 4;

/// Returns the names of all partitions of jobs.
pub fn job_parts() -> impl Iterator<Item = String> {
    (0..=u8::MAX).step_by(BYTES_PER_PART).map(|byte| format!("{byte:02x}"))
}

/// Returns the partition of a job's key or of the first digits of one: its first byte, rounded down. Other keys have the
/// partition without a name.
pub fn job_part(key: &str) -> String {
    let byte = key.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
    byte.map_or_else(String::new, |byte| {
        format!("{:02x}", usize::from(byte) / BYTES_PER_PART * BYTES_PER_PART)
    })
}

pub fn job_key(id: JobId) -> String {
    format!("{id:016x}")
}

/// Returns the key of the row that cancels a job. It sorts directly after the job's own row.
pub fn cancellation_key(id: JobId) -> String {
    format!("{id:016x}.cancel")
}

impl Scheduler {
    /// Returns whether anything has to be stored.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
            || self.sessions.values().any(|session| !session.in_roster)
            || self.sessions.values().any(|session| session.processed > session.acknowledged)
            || self.has_contact_to_record()
            || self.late_starts_changed
    }

    /// Returns whether the last batch from [`Scheduler::take_batch`] holds all progress.
    pub fn is_batch_complete(&self) -> bool {
        self.dirty.is_empty()
    }

    /// Returns the rows for the next transaction. The caller retries the transaction until it takes effect and then
    /// calls [`Scheduler::committed`], or drops the scheduler.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        // A job that was submitted again overwrites the progress of the former one.
        let obsolete = std::mem::take(&mut self.commit.obsolete);
        let (again, obsolete): (Vec<JobId>, Vec<JobId>) =
            obsolete.into_iter().partition(|id| self.jobs.contains_key(id));
        self.dirty.extend(again);
        self.commit.obsolete = obsolete;
        let ids: Vec<JobId> = self.dirty.iter().take(PROGRESS_ROWS_MAX).copied().collect();
        for id in ids {
            self.dirty.remove(&id);
            let Some(entry) = self.jobs.get(&id) else { continue };
            let stages = match entry.state.is_final() {
                true => Vec::new(),
                false => entry
                    .stages
                    .iter()
                    .filter_map(|((occurrence, step), stage)| stage.progress(*occurrence, *step))
                    .collect(),
            };
            let crashes = match entry.state.is_final() {
                true => Vec::new(),
                false => entry
                    .stages
                    .iter()
                    .flat_map(|((occurrence, step), stage)| {
                        stage.stored_crashes(*occurrence, *step)
                    })
                    .collect(),
            };
            let (state, occurrences_done) = (entry.state, entry.occurrences_done);
            let failure = entry.failure.clone();
            let progress = Progress { state, occurrences_done, stages, crashes, failure };
            self.commit.jobs.push((id, state));
            if let Ok(bytes) = progress.to_bytes() {
                batch.writes.push((Table::Progress, job_key(id), bytes));
            }
        }
        self.takeover.set_unstored_ends(!self.dirty.is_empty());
        // Ended runs may only be acknowledged once all progress that they caused is stored.
        if self.dirty.is_empty() {
            for (key, session) in &self.sessions {
                if session.processed > session.acknowledged {
                    self.commit.acknowledged.push((
                        Rc::clone(key),
                        session.incarnation,
                        session.processed,
                    ));
                }
            }
        }
        let obsolete = self.commit.obsolete.len().min(JOB_DELETIONS_MAX);
        for id in self.commit.obsolete.drain(..obsolete) {
            batch.deletes.push((Table::Progress, job_key(id)));
        }
        batch
    }

    /// Returns finished jobs whose retention time has passed, grouped by partition of the store. Each group fits into
    /// one transaction.
    pub fn expired_jobs(&self, now: Uptime) -> Vec<Vec<JobId>> {
        let expired = |finished: Uptime| now.saturating_sub(finished) > self.bounds.retention;
        let mut parts: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
        let ended = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.finished.is_some_and(expired))
            .filter(|(_, entry)| entry.stored_state == entry.state);
        for (id, _) in ended {
            let part = job_part(&job_key(*id));
            let ids = parts.entry(part).or_default();
            if ids.len() < JOB_DELETIONS_MAX {
                ids.push(*id);
            }
        }
        parts.into_values().collect()
    }

    /// Forgets jobs whose rows have been deleted. Their progress rows are deleted with the next transactions.
    pub fn forget_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
            self.dirty.remove(id);
            self.commit.obsolete.push(*id);
        }
    }

    /// Records that the transaction in flight has taken effect, and sends the lease renewals that acknowledge the
    /// stored ends.
    pub fn committed(&mut self, context: &mut Context) {
        let commit = self.take_in_flight_commit();
        for (id, state) in commit.jobs {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.stored_state = state;
                if state.is_final() {
                    let state = state.to_string();
                    let duration = context.now.saturating_sub(entry.admitted);
                    context.outputs.push(Output::Time { timing: Timing::JobEnd, duration });
                    context.log("job_ended", vec![("job", job_key(id)), ("state", state)]);
                }
            }
        }
        for (worker, incarnation, processed) in commit.acknowledged {
            if let Some(session) = self.sessions.get_mut(&worker)
                && session.incarnation == incarnation
            {
                session.acknowledged = session.acknowledged.max(processed);
                session.next_renewal = context.now;
            }
        }
        self.send_renewals(context);
    }

    fn take_in_flight_commit(&mut self) -> InFlightCommit {
        let obsolete = std::mem::take(&mut self.commit.obsolete);
        std::mem::replace(
            &mut self.commit,
            InFlightCommit { obsolete, ..InFlightCommit::default() },
        )
    }
}
