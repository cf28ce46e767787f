//! Cache of the resources and the latest changes. Its revision never decreases.

use std::collections::VecDeque;
use std::rc::Rc;

use shallotpost_protocol::resource::{Change, Entry};

use super::Snapshot;
use crate::prelude::*;

/// Maximum number of changes kept in memory for peers and watches.
pub const CHANGES_MAX: usize = 1000;

/// The resources at the applied revision, and the changes that led to it.
#[derive(Debug, Default)]
pub struct Cache {
    snapshot: Rc<Snapshot>,
    /// Latest changes up to the revision of the snapshot, without gaps, each with the time at which it was applied.
    changes: VecDeque<(Change, Instant)>,
    /// When the revision last changed; `None` before the first change or full read.
    changed_at: Option<Instant>,
    /// Whether all resources have been read from the table since the start of the process.
    pub loaded: bool,
}

impl Cache {
    /// Returns the revision that this host applies; 0 before any is known.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    pub fn snapshot(&self) -> &Rc<Snapshot> {
        &self.snapshot
    }

    /// When the revision last changed; `None` before the first change or full read.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Applies the next change; ignores one that is already applied. Returns false if changes before it are missing.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        if change.revision <= self.revision() {
            return true;
        }
        if change.revision != self.revision() + 1 {
            return false;
        }
        let snapshot = Rc::make_mut(&mut self.snapshot);
        snapshot.revision = change.revision;
        let key = (change.kind, change.name.clone());
        match change.after.clone() {
            Some(resource) => {
                let (name, revision) = (change.name.clone(), change.revision);
                snapshot.entries.insert(key, Entry { name, revision, resource });
            }
            None => {
                snapshot.entries.remove(&key);
            }
        }
        self.changes.push_back((change, now));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
        self.changed_at = Some(now);
        true
    }

    /// Replaces the resources by a full read of the table, unless that is older.
    pub fn load(&mut self, snapshot: Snapshot, now: Instant) {
        self.loaded = true;
        if snapshot.revision > self.revision() || self.changed_at.is_none() {
            self.snapshot = Rc::new(snapshot);
            self.changes.clear();
            self.changed_at = Some(now);
        }
    }

    /// Returns up to `limit` changes after `from` without gaps, or `None` if they are no longer in memory.
    pub fn changes_after(&self, from: Revision, limit: usize) -> Option<Vec<Change>> {
        let first = self.changes.front()?.0.revision;
        let skipped = usize::try_from((from + 1).checked_sub(first)?).ok()?;
        let changes = self.changes.iter().skip(skipped).take(limit);
        Some(changes.map(|(change, _)| change.clone()).collect())
    }

    /// Returns the change of this revision, or `None` if it is not in memory.
    pub fn change(&self, revision: Revision) -> Option<&Change> {
        let first = self.changes.front()?.0.revision;
        let index = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.changes.get(index).map(|(change, _)| change)
    }

    /// Returns a time by which the change of this revision was certainly committed, or `None` if this host does not
    /// apply it.
    pub fn committed_by(&self, revision: Revision) -> Option<Instant> {
        if revision > self.revision() {
            return None;
        }
        let newer = self.changes.iter().find(|(change, _)| change.revision >= revision);
        newer.map(|(_, applied)| *applied).or(self.changed_at)
    }
}
