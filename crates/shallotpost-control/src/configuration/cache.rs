//! The cached resources and the newest changes. The revision never goes back.

use std::collections::VecDeque;
use std::rc::Rc;

use shallotpost_protocol::resource::{Change, Entry};

use super::Snapshot;
use crate::prelude::*;

/// Most changes that are kept in memory, for peers and watchers.
pub const CHANGES_MAX: usize = 1000;

/// Resources at one revision, and how they came about.
#[derive(Debug, Default)]
pub struct Cache {
    snapshot: Rc<Snapshot>,
    /// Changes up to the revision of the snapshot, without gap, with the moments of their application.
    changes: VecDeque<(Change, Instant)>,
    /// Moment at which the revision changed last.
    changed: Option<Instant>,
    /// Whether the table was read in full since the start of the process.
    pub loaded: bool,
}

impl Cache {
    /// Revision that this host applies.
    pub fn revision(&self) -> Revision {
        self.snapshot.revision
    }

    /// The resources.
    pub fn snapshot(&self) -> &Rc<Snapshot> {
        &self.snapshot
    }

    /// Moment at which the revision changed last.
    pub fn changed(&self) -> Option<Instant> {
        self.changed
    }

    /// Applies the next change; ignores one that is applied already. False where changes before it are missing.
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
        self.changed = Some(now);
        true
    }

    /// Takes over resources that were read in full, unless they are older.
    pub fn load(&mut self, snapshot: Snapshot, now: Instant) {
        self.loaded = true;
        if snapshot.revision > self.revision() || self.changed.is_none() {
            self.snapshot = Rc::new(snapshot);
            self.changes.clear();
            self.changed = Some(now);
        }
    }

    /// Up to `limit` changes after a revision, without gap; `None` where they are not kept.
    pub fn changes_after(&self, from: Revision, limit: usize) -> Option<Vec<Change>> {
        let first = self.changes.front()?.0.revision;
        let skipped = usize::try_from((from + 1).checked_sub(first)?).ok()?;
        let changes = self.changes.iter().skip(skipped).take(limit);
        Some(changes.map(|(change, _)| change.clone()).collect())
    }

    /// A change that is kept.
    pub fn change(&self, revision: Revision) -> Option<&Change> {
        let first = self.changes.front()?.0.revision;
        let index = usize::try_from(revision.checked_sub(first)?).ok()?;
        self.changes.get(index).map(|(change, _)| change)
    }

    /// A moment by which the change of this revision was certainly committed; `None` where it is not applied here.
    pub fn committed_by(&self, revision: Revision) -> Option<Instant> {
        if revision > self.revision() {
            return None;
        }
        let newer = self.changes.iter().find(|(change, _)| change.revision >= revision);
        newer.map(|(_, moment)| *moment).or(self.changed)
    }
}
