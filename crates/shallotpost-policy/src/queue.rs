//! Waiting tasks of one team and one lane, in order.

use shallotpost_protocol::size::Size;

use crate::index::{ABSENT, Index};

/// A task: slot of its job and position among the tasks of the job.
pub(crate) type Key = (usize, u32);

/// Smallest number of positions; below it a lane is not compacted.
const POSITIONS_MIN: usize = 64;

/// Waiting tasks in order. A fresh task was not yet tried against the free capacity since it was queued.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    entries: Vec<Option<(Key, Size)>>,
    live: usize,
    all: Index,
    fresh: Index,
    /// Version of the free capacity up to which no task that is not fresh fits on a worker that has grown.
    pub(crate) seen: u64,
    /// Room in which no fresh task fits; `None` where that is not known.
    barren: Option<Size>,
}

impl Lane {
    /// Appends a task. Returns the tasks whose position changed by compaction, with their new positions.
    pub(crate) fn push(&mut self, key: Key, size: Size) -> Vec<(Key, usize)> {
        let compact = self.entries.len() >= POSITIONS_MIN.max(2 * self.live);
        let mut moved = if compact { self.compact() } else { Vec::new() };
        let position = self.entries.len();
        self.entries.push(Some((key, size)));
        self.live += 1;
        self.barren = None;
        self.all.set(position, size.parts());
        self.fresh.set(position, size.parts());
        moved.push((key, position));
        moved
    }

    /// Removes the task at a position.
    pub(crate) fn remove(&mut self, position: usize) {
        if self.entries.get_mut(position).and_then(Option::take).is_some() {
            self.live -= 1;
            self.all.set(position, ABSENT);
            self.fresh.set(position, ABSENT);
        }
    }

    /// Notes that no worker had room for the task at a position.
    pub(crate) fn tried(&mut self, position: usize) {
        self.fresh.set(position, ABSENT);
    }

    /// Number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.live
    }

    /// First fresh task that fits in `room`, with its position.
    pub(crate) fn first_fresh(&mut self, room: &Size) -> Option<(usize, Key, Size)> {
        if self.barren.is_some_and(|barren| room.fits_in(&barren)) {
            return None;
        }
        let first = self.first_in(&self.fresh, 0, room);
        self.barren = if first.is_none() { Some(*room) } else { None };
        first
    }

    /// First task from `from` on that fits in `room`, with its position.
    pub(crate) fn first(&self, from: usize, room: &Size) -> Option<(usize, Key, Size)> {
        self.first_in(&self.all, from, room)
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// Whether no task fits in `room`; may also be false where none does.
    pub(crate) fn excludes(&self, room: &Size) -> bool {
        self.live == 0 || !Size::from_parts(*self.all.root()).fits_in(room)
    }

    /// Number of tasks before a position.
    pub(crate) fn before(&self, position: usize) -> usize {
        self.entries.iter().take(position).flatten().count()
    }

    fn first_in(&self, index: &Index, from: usize, room: &Size) -> Option<(usize, Key, Size)> {
        let mut from = from;
        loop {
            let position = index.first(from, &room.parts())?;
            match self.entries.get(position) {
                Some(Some((key, size))) if size.fits_in(room) => {
                    return Some((position, *key, *size));
                }
                Some(_) => from = position + 1,
                None => return None,
            }
        }
    }

    fn compact(&mut self) -> Vec<(Key, usize)> {
        let old = std::mem::take(&mut self.entries);
        let fresh = std::mem::take(&mut self.fresh);
        self.all = Index::default();
        let mut moved = Vec::with_capacity(self.live);
        for (position, entry) in old.into_iter().enumerate() {
            let Some((key, size)) = entry else { continue };
            let target = self.entries.len();
            self.entries.push(Some((key, size)));
            self.all.set(target, size.parts());
            self.fresh.set(target, fresh.get(position));
            moved.push((key, target));
        }
        moved
    }
}
