//! What the owner stores: progress of jobs, many jobs in one transaction.

use crate::message::encode;
use crate::port::{Table, Timing};
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::scheduler::session::WorkerKey;
use crate::scheduler::{Context, Scheduler};

/// Most progress rows in a transaction; the store takes 100 entries, some of which are conditions and deletions.
const ROWS_MAX: usize = 80;

/// Most ended jobs that are deleted in a transaction; each takes two entries.
const DELETIONS_MAX: usize = 15;

/// Rows of one transaction.
#[derive(Debug, Default)]
pub struct Batch {
    /// Rows to write.
    pub writes: Vec<(Table, String, Vec<u8>)>,
    /// Rows to delete.
    pub deletes: Vec<(Table, String)>,
}

/// What the transaction in flight stores.
#[derive(Debug, Default)]
pub(super) struct Journal {
    jobs: Vec<(JobId, State)>,
    /// Jobs whose progress is to be deleted.
    obsolete: Vec<JobId>,
    seen: Vec<(WorkerKey, u64, u64)>,
}

/// First digits of jobs. Jobs with the same one share a part of the store, which handles one transaction at a time.
pub const JOB_PARTS: &str = "0123456789abcdef";

/// Key of a job's rows.
pub fn job_key(id: JobId) -> String {
    format!("{id:016x}")
}

/// Key of the row that cancels a job. It sorts directly after the job's own row.
pub fn cancellation_key(id: JobId) -> String {
    format!("{id:016x}.cancel")
}

impl Scheduler {
    /// Whether there is something to store.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
            || self.sessions.values().any(|session| !session.rostered)
            || self.sessions.values().any(|session| session.processed > session.seen)
    }

    /// Whether the rows of the last call of [`Scheduler::take_batch`] hold all progress.
    pub fn is_batch_complete(&self) -> bool {
        self.dirty.is_empty()
    }

    /// Rows for the next transaction. The caller sends it until it takes effect and then calls [`Scheduler::committed`], or
    /// drops the scheduler.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::default();
        let ids: Vec<JobId> = self.dirty.iter().take(ROWS_MAX).copied().collect();
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
            let progress =
                Progress { state: entry.state, occurrences_done: entry.occurrences_done, stages };
            self.commit.jobs.push((id, entry.state));
            if let Ok(bytes) = encode(&progress) {
                batch.writes.push((Table::Progress, job_key(id), bytes));
            }
        }
        self.takeover.set_unstored(!self.dirty.is_empty());
        // Ends may only be noted with all the progress that they caused.
        if self.dirty.is_empty() {
            for (key, session) in &self.sessions {
                if session.processed > session.seen {
                    self.commit.seen.push((Rc::clone(key), session.life, session.processed));
                }
            }
        }
        let obsolete = self.commit.obsolete.len().min(DELETIONS_MAX);
        for id in self.commit.obsolete.drain(..obsolete) {
            batch.deletes.push((Table::Progress, job_key(id)));
        }
        batch
    }

    /// Ended jobs whose rows may be deleted, by part.
    pub fn expired_jobs(&self, now: Uptime) -> Vec<Vec<JobId>> {
        let expired = |finished: Uptime| now.saturating_sub(finished) > self.bounds.retention;
        let mut parts: BTreeMap<char, Vec<JobId>> = BTreeMap::new();
        let ended = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.finished.is_some_and(expired))
            .filter(|(_, entry)| entry.stored == entry.state);
        for (id, _) in ended {
            let part = job_key(*id).chars().next().unwrap_or('0');
            let ids = parts.entry(part).or_default();
            if ids.len() < DELETIONS_MAX {
                ids.push(*id);
            }
        }
        parts.into_values().collect()
    }

    /// The rows of these jobs are deleted; their progress goes with the next transaction.
    pub fn forget_jobs(&mut self, ids: &[JobId]) {
        for id in ids {
            self.jobs.remove(id);
            self.dirty.remove(id);
            self.commit.obsolete.push(*id);
        }
    }

    /// The transaction has taken effect.
    pub fn committed(&mut self, context: &mut Context) {
        let journal = self.take_journal();
        for (id, state) in journal.jobs {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.stored = state;
                if state.is_final() {
                    let state = state.to_string();
                    let duration = context.now.saturating_sub(entry.admitted);
                    context.outputs.push(Output::Time { timing: Timing::JobEnd, duration });
                    context.log("job_ended", vec![("job", job_key(id)), ("state", state)]);
                }
            }
        }
        for (worker, life, processed) in journal.seen {
            if let Some(session) = self.sessions.get_mut(&worker)
                && session.life == life
            {
                session.seen = session.seen.max(processed);
                session.next_hold = context.now;
            }
        }
        self.send_holds(context);
    }

    fn take_journal(&mut self) -> Journal {
        let obsolete = std::mem::take(&mut self.commit.obsolete);
        std::mem::replace(&mut self.commit, Journal { obsolete, ..Journal::default() })
    }
}
