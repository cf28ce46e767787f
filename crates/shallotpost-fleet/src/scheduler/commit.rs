//! What the owner stores: progress of jobs, many jobs in one transaction.

use crate::message::encode;
use crate::port::Table;
use crate::prelude::*;
use crate::progress::{Progress, State};
use crate::scheduler::session::WorkerKey;
use crate::scheduler::{Context, Scheduler};

/// Most progress rows in a transaction; the store takes 100 entries, some of which are conditions and deletions.
const ROWS_MAX: usize = 60;

/// Most ended jobs that are deleted in a transaction; each takes three entries.
const DELETIONS_MAX: usize = 10;

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
    deleted: Vec<JobId>,
    seen: Vec<(WorkerKey, u64, u64)>,
}

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
            || self.sessions.values().any(|session| session.processed > session.seen)
    }

    /// Rows for the next transaction. Exactly one call of [`Scheduler::committed`] or
    /// [`Scheduler::not_committed`] must follow.
    pub fn collect(&mut self, now: Uptime) -> Batch {
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
            let progress = Progress {
                state: entry.state,
                occurrences_done: entry.occurrences_done,
                stages,
            };
            self.commit.jobs.push((id, entry.state));
            if let Ok(bytes) = encode(&progress) {
                batch.writes.push((Table::Progress, job_key(id), bytes));
            }
        }
        // Ends may only be noted with all the progress that they caused.
        if self.dirty.is_empty() {
            for (key, session) in &self.sessions {
                if session.processed > session.seen {
                    self.commit.seen.push((Rc::clone(key), session.life, session.processed));
                }
            }
        }
        self.collect_deletions(now, &mut batch);
        batch
    }

    fn collect_deletions(&mut self, now: Uptime, batch: &mut Batch) {
        let expired = |finished: Uptime| now.saturating_sub(finished) > self.bounds.retention;
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.finished.is_some_and(expired))
            .filter(|(_, entry)| entry.stored == entry.state)
            .map(|(id, _)| *id)
            .take(DELETIONS_MAX)
            .collect();
        for id in ids {
            batch.deletes.push((Table::Jobs, job_key(id)));
            batch.deletes.push((Table::Jobs, cancellation_key(id)));
            batch.deletes.push((Table::Progress, job_key(id)));
            self.commit.deleted.push(id);
        }
    }

    /// The transaction has taken effect.
    pub fn committed(&mut self, context: &mut Context) {
        let journal = std::mem::take(&mut self.commit);
        for (id, state) in journal.jobs {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.stored = state;
                if state.is_final() {
                    let state = state.to_string();
                    context.log("job_ended", vec![("job", job_key(id)), ("state", state)]);
                }
            }
        }
        for id in journal.deleted {
            self.jobs.remove(&id);
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

    /// The transaction has not taken effect.
    pub fn not_committed(&mut self) {
        let journal = std::mem::take(&mut self.commit);
        self.dirty.extend(journal.jobs.into_iter().map(|(id, _)| id));
    }
}
