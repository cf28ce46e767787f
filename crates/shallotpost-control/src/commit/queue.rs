//! The bounded queue of batches, and the choice of those that share a transaction.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use shallotpost_protocol::table::Version;

use crate::message::Batch;
use crate::prelude::*;

/// Most queued batches.
pub const QUEUE_BATCHES_MAX: usize = 20_000;

/// Most bytes of keys and values of queued batches.
pub const QUEUE_BYTES_MAX: usize = 8 << 20;

/// Most distinct rows that one transaction checks or writes, with the host's own row.
pub const TRANSACTION_ROWS_MAX: usize = 500;

/// Most batches that are examined for one transaction; bounds its cost when many batches touch the same keys.
const EXAMINED_MAX: usize = 4 * TRANSACTION_ROWS_MAX;

/// Batches in order of arrival.
#[derive(Debug, Default)]
pub struct Queue {
    batches: VecDeque<Batch>,
    bytes: usize,
    earliest_expiry: Option<Instant>,
}

impl Queue {
    /// Whether no batch waits.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Bytes of keys and values of all batches.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a batch; gives it back where the queue, together with `reserved` bytes held elsewhere, is full.
    pub fn push(&mut self, batch: Batch, reserved: usize) -> Result<(), Batch> {
        let full = self.batches.len() >= QUEUE_BATCHES_MAX
            || self.bytes + reserved + size(&batch) > QUEUE_BYTES_MAX;
        if full {
            return Err(batch);
        }
        self.count(&batch);
        self.batches.push_back(batch);
        Ok(())
    }

    /// Returns batches to the front, in their order. They were accepted before, so no bound applies.
    pub fn put_back(&mut self, batches: Vec<Batch>) {
        for batch in batches.into_iter().rev() {
            self.count(&batch);
            self.batches.push_front(batch);
        }
    }

    /// Takes all batches.
    pub fn take_all(&mut self) -> Vec<Batch> {
        self.bytes = 0;
        self.earliest_expiry = None;
        std::mem::take(&mut self.batches).into()
    }

    /// Drops the batches that have expired, and tells of each.
    pub fn drop_expired(&mut self, now: Instant, mut tell: impl FnMut(&Batch)) {
        if self.earliest_expiry.is_none_or(|earliest| now < earliest) {
            return;
        }
        let (mut bytes, mut earliest) = (0, None);
        self.batches.retain(|batch| {
            let expired = is_expired(batch, now);
            if expired {
                bytes += size(batch);
                tell(batch);
            } else {
                earliest = [earliest, batch.expires].into_iter().flatten().min();
            }
            !expired
        });
        self.bytes -= bytes;
        self.earliest_expiry = earliest;
    }

    /// Takes batches that can share one transaction. A batch is left in the queue where it touches a key that another
    /// one writes, and so is each later batch that touches one of its keys; unrelated batches may overtake it.
    pub fn take_compatible(&mut self) -> Vec<Batch> {
        let mut chosen = Chosen::default();
        let (mut taken, mut skipped) = (Vec::new(), Vec::new());
        for _ in 0..EXAMINED_MAX {
            let Some(batch) = self.batches.pop_front() else { break };
            self.bytes -= size(&batch);
            match chosen.add(&batch) {
                true => taken.push(batch),
                false => skipped.push(batch),
            }
            if chosen.is_full() {
                break;
            }
        }
        self.put_back(skipped);
        taken
    }

    fn count(&mut self, batch: &Batch) {
        self.bytes += size(batch);
        let expiries = [self.earliest_expiry, batch.expires];
        self.earliest_expiry = expiries.into_iter().flatten().min();
    }
}

/// Rows of the batches chosen so far.
#[derive(Default)]
struct Chosen {
    checked: BTreeMap<String, Option<Version>>,
    written: BTreeSet<String>,
    blocked: BTreeSet<String>,
    rows: usize,
}

impl Chosen {
    fn is_full(&self) -> bool {
        self.rows + 1 >= TRANSACTION_ROWS_MAX
    }

    fn add(&mut self, batch: &Batch) -> bool {
        let added = rows(batch);
        let fits = self.rows + added < TRANSACTION_ROWS_MAX && !self.collides(batch);
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

    fn collides(&self, batch: &Batch) -> bool {
        // Two checks of one row that expect different versions cannot both hold, and the answer would not tell whose
        // check failed.
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

/// Distinct rows that a batch checks or writes.
pub fn rows(batch: &Batch) -> usize {
    keys(batch).collect::<BTreeSet<&str>>().len()
}

/// Whether a batch checks or writes this row.
pub fn touches(batch: &Batch, key: &str) -> bool {
    keys(batch).any(|other| other == key)
}

/// Whether a batch must not be sent any more.
pub fn is_expired(batch: &Batch, now: Instant) -> bool {
    batch.expires.is_some_and(|expires| now >= expires)
}

/// Bytes of the keys and values of a batch.
pub fn size(batch: &Batch) -> usize {
    let keys: usize = keys(batch).map(str::len).sum();
    let values: usize = batch.writes.iter().flat_map(|write| &write.value).map(String::len).sum();
    keys + values
}
