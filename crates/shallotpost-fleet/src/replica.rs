//! Replica of a table of the store, kept from reads of the whole table, from the feed of its changes and from the replicas
//! of peers, in whatever order these arrive.
//!
//! A row that was deleted leaves nothing behind, so a replica is compared by the version up to which it contains every
//! change, and not by the versions of the rows that are left in it.

use crate::port::{Content, Row, RowVersion};
use crate::prelude::*;

/// Rows of a table as of [`Replica::version`].
#[derive(Debug, Default)]
pub struct Replica {
    rows: BTreeMap<String, Row>,
    version: RowVersion,
    changed: RowVersion,
}

impl Replica {
    /// Returns the version up to which the replica contains every change; zero before the first read.
    pub fn version(&self) -> RowVersion {
        self.version
    }

    /// Returns a version at or after the newest known change and not after [`Replica::version`]. Unlike that version, it
    /// stays while the table does not change.
    pub fn changed(&self) -> RowVersion {
        self.changed
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Replaces the rows with a complete copy of the table as of `version`. A copy that is older than the replica is
    /// ignored. A row that cannot be read keeps its previous content.
    pub fn replace(&mut self, version: RowVersion, rows: Vec<Row>) {
        if version < self.version {
            return;
        }
        let mut previous = std::mem::take(&mut self.rows);
        for row in rows {
            self.changed = self.changed.max(row.version);
            let known = previous.remove(&row.key);
            let kept = match row.content {
                Content::Deleted => None,
                Content::Unreadable => known,
                _ => Some(row),
            };
            self.rows.extend(kept.map(|row| (row.key.clone(), row)));
        }
        // The copy does not tell when the rows that are missing from it were deleted.
        if !previous.is_empty() {
            self.changed = version;
        }
        self.version = version;
    }

    /// Applies the changes up to `version` that a feed returned. The feed must have continued at or before
    /// [`Replica::version`]; changes that the replica contains already are ignored.
    pub fn apply(&mut self, version: RowVersion, changes: Vec<Row>) {
        for row in changes.into_iter().filter(|row| row.version > self.version) {
            self.changed = self.changed.max(row.version);
            match row.content {
                Content::Deleted => drop(self.rows.remove(&row.key)),
                Content::Unreadable => {}
                _ => drop(self.rows.insert(row.key.clone(), row)),
            }
        }
        self.version = self.version.max(version);
    }

    /// Records that a peer knows of a change. Returns whether this replica may lack it.
    pub fn lacks(&mut self, changed: RowVersion) -> bool {
        if changed > self.version {
            return true;
        }
        self.changed = self.changed.max(changed);
        false
    }
}
