//! The bounded queue of batches, and the selection of batches that share a transaction.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shallotpost_protocol::table::Version;

use crate::message::Batch;
use crate::prelude::*;

pub const QUEUE_BATCHES_MAX: usize = 20_000;

/// Maximum total size of the keys and values of queued batches, in bytes.
pub const QUEUE_BYTES_MAX: usize = 8 << 20;

/// Maximum number of distinct rows that one transaction checks or writes, including the row of this host.
pub const TRANSACTION_ROWS_MAX: usize = 500;

/// Maximum number of batches that are examined for one transaction. Bounds the cost of the selection when many batches
/// touch the same keys.
const EXAMINED_MAX: usize = 4 * TRANSACTION_ROWS_MAX;

/// Batches in order of arrival.
#[derive(Debug, Default)]
pub struct Queue {
    batches: VecDeque<Batch>,
    bytes: usize,
    earliest_expiry: Option<Instant>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns the total size of the keys and values of all queued batches, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a batch. `reserved` bytes, held outside the queue, count towards [`QUEUE_BYTES_MAX`].
    ///
    /// # Errors
    /// Returns the batch if the queue is full.
    pub fn push(&mut self, batch: Batch, reserved: usize) -> Result<(), Batch> {
        let full = self.batches.len() >= QUEUE_BATCHES_MAX
            || self.bytes + reserved + byte_size(&batch) > QUEUE_BYTES_MAX;
        if full {
            return Err(batch);
        }
        self.add_to_totals(&batch);
        self.batches.push_back(batch);
        Ok(())
    }

    /// Puts batches back at the front, in their order. They were accepted before, so the limits do not apply.
    pub fn put_back(&mut self, batches: Vec<Batch>) {
        for batch in batches.into_iter().rev() {
            self.add_to_totals(&batch);
            self.batches.push_front(batch);
        }
    }

    pub fn take_all(&mut self) -> Vec<Batch> {
        self.bytes = 0;
        self.earliest_expiry = None;
        std::mem::take(&mut self.batches).into()
    }

    /// Drops the batches that have expired, and calls `on_expired` with each of them.
    pub fn drop_expired(&mut self, now: Instant, mut on_expired: impl FnMut(&Batch)) {
        if self.earliest_expiry.is_none_or(|earliest| now < earliest) {
            return;
        }
        let (mut bytes, mut earliest) = (0, None);
        self.batches.retain(|batch| {
            let expired = is_expired(batch, now);
            if expired {
                bytes += byte_size(batch);
                on_expired(batch);
            } else {
                earliest = [earliest, batch.expires].into_iter().flatten().min();
            }
            !expired
        });
        self.bytes -= bytes;
        self.earliest_expiry = earliest;
    }

    /// Takes batches that can share one transaction. A batch that touches a key written by an already selected batch
    /// stays in the queue, and so does each later batch that touches one of its keys. Unrelated batches may overtake
    /// it.
    pub fn take_compatible(&mut self) -> Vec<Batch> {
        let mut selection = Selection::default();
        let (mut taken, mut skipped) = (Vec::new(), Vec::new());
        for _ in 0..EXAMINED_MAX {
            let Some(batch) = self.batches.pop_front() else { break };
            self.bytes -= byte_size(&batch);
            match selection.add(&batch) {
                true => taken.push(batch),
                false => skipped.push(batch),
            }
            if selection.is_full() {
                break;
            }
        }
        self.put_back(skipped);
        taken
    }

    fn add_to_totals(&mut self, batch: &Batch) {
        self.bytes += byte_size(batch);
        let expiries = [self.earliest_expiry, batch.expires];
        self.earliest_expiry = expiries.into_iter().flatten().min();
    }
}

/// Keys of the batches selected for a transaction, and of those left in the queue.
#[derive(Default)]
struct Selection {
    /// Versions expected by the selected batches, by key.
    checked: BTreeMap<String, Option<Version>>,
    written: BTreeSet<String>,
    /// Keys of batches that were skipped; later batches that touch them must not overtake.
    blocked: BTreeSet<String>,
    rows: usize,
}

impl Selection {
    fn is_full(&self) -> bool {
        self.rows + 1 >= TRANSACTION_ROWS_MAX
    }

    fn add(&mut self, batch: &Batch) -> bool {
        let added = row_count(batch);
        let fits = self.rows + added < TRANSACTION_ROWS_MAX && !self.conflicts(batch);
        if fits {
            self.rows += added;
            self.checked
                .extend(batch.checks.iter().map(|check| (check.key.clone(), check.version)));
            self.written.extend(batch.writes.iter().map(|write| write.key.clone()));
        } else {
            self.blocked.extend(keys(batch).map(str::to_owned));
        }
        fits
    }

    fn conflicts(&self, batch: &Batch) -> bool {
        // Two checks of one row that expect different versions cannot both hold, and the reply would not tell which of
        // them failed.
        let differs = |key: &str, version: Option<Version>| {
            self.checked.get(key).is_some_and(|other| *other != version)
        };
        keys(batch).any(|key| self.written.contains(key) || self.blocked.contains(key))
            || batch.checks.iter().any(|check| differs(&check.key, check.version))
    }
}

fn keys(batch: &Batch) -> impl Iterator<Item = &str> {
    let checked = batch.checks.iter().map(|check| check.key.as_str());
    checked.chain(batch.writes.iter().map(|write| write.key.as_str()))
}

/// Returns the number of distinct rows that a batch checks or writes.
pub fn row_count(batch: &Batch) -> usize {
    keys(batch).collect::<BTreeSet<&str>>().len()
}

/// Returns whether a batch checks or writes the row `key`.
pub fn touches(batch: &Batch, key: &str) -> bool {
    keys(batch).any(|other| other == key)
}

pub fn is_expired(batch: &Batch, now: Instant) -> bool {
    batch.expires.is_some_and(|expires| now >= expires)
}

/// Returns the total size of the keys and values of a batch, in bytes.
pub fn byte_size(batch: &Batch) -> usize {
    let keys: usize = keys(batch).map(str::len).sum();
    let values: usize = batch.writes.iter().flat_map(|write| &write.value).map(String::len).sum();
    keys + values
}
