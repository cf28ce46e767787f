//! Queue of the waiting tasks of one lane of a team, indexed by size.

use shallotpost_protocol::size::Size;

use crate::index::{ABSENT, Index};

/// Identifies a task by the slot of its job and its index in the job.
pub(crate) type TaskKey = (usize, u32);

/// Minimum number of positions at which a lane is compacted.
const POSITIONS_MIN: usize = 64;

/// Waiting tasks in FIFO order. An untried task has not been tried against all workers since it was queued.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    entries: Vec<Option<(TaskKey, Size)>>,
    live: usize,
    all: Index,
    untried: Index,
    /// Capacity version up to which no task fits on a worker whose free capacity has grown, except for untried tasks.
    pub(crate) checked_version: u64,
    /// Size into which no untried task fits, from the last failed search; `None` if unknown.
    excluded_room: Option<Size>,
}

impl Lane {
    /// Appends a task. Returns its position, and the new positions of the tasks that a compaction moved.
    pub(crate) fn push(&mut self, key: TaskKey, size: Size) -> Vec<(TaskKey, usize)> {
        let compact = self.entries.len() >= POSITIONS_MIN.max(2 * self.live);
        let mut moved = if compact { self.compact() } else { Vec::new() };
        let position = self.entries.len();
        self.entries.push(Some((key, size)));
        self.live += 1;
        self.excluded_room = None;
        self.all.set(position, size.parts());
        self.untried.set(position, size.parts());
        moved.push((key, position));
        moved
    }

    /// Removes the task at a position. Positions of other tasks stay.
    pub(crate) fn remove(&mut self, position: usize) {
        if self.entries.get_mut(position).and_then(Option::take).is_some() {
            self.live -= 1;
            self.all.set(position, ABSENT);
            self.untried.set(position, ABSENT);
        }
    }

    /// Records that no worker had room for the task at a position.
    pub(crate) fn mark_tried(&mut self, position: usize) {
        self.untried.set(position, ABSENT);
    }

    pub(crate) fn len(&self) -> usize {
        self.live
    }

    /// Returns the first untried task that fits in `room`, with its position.
    pub(crate) fn first_untried(&mut self, room: &Size) -> Option<(usize, TaskKey, Size)> {
        if self.excluded_room.is_some_and(|excluded_room| room.fits_in(&excluded_room)) {
            return None;
        }
        let first = self.first_in(&self.untried, 0, room);
        self.excluded_room = if first.is_none() { Some(*room) } else { None };
        first
    }

    /// Returns the first task at or after position `from` that fits in `room`, with its position.
    pub(crate) fn first(&self, from: usize, room: &Size) -> Option<(usize, TaskKey, Size)> {
        self.first_in(&self.all, from, room)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.live == 0
    }

    /// Returns true only if no task fits in `room`. May return false although no task fits.
    pub(crate) fn fits_none(&self, room: &Size) -> bool {
        self.live == 0 || !Size::from_parts(*self.all.root()).fits_in(room)
    }

    /// Returns the number of tasks before a position.
    pub(crate) fn count_before(&self, position: usize) -> usize {
        self.entries.iter().take(position).flatten().count()
    }

    fn first_in(&self, index: &Index, from: usize, room: &Size) -> Option<(usize, TaskKey, Size)> {
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

    /// Removes empty positions and returns all tasks with their new positions.
    fn compact(&mut self) -> Vec<(TaskKey, usize)> {
        let old = std::mem::take(&mut self.entries);
        let untried = std::mem::take(&mut self.untried);
        self.all = Index::default();
        let mut moved = Vec::with_capacity(self.live);
        for (position, entry) in old.into_iter().enumerate() {
            let Some((key, size)) = entry else { continue };
            let target = self.entries.len();
            self.entries.push(Some((key, size)));
            self.all.set(target, size.parts());
            self.untried.set(target, untried.get(position));
            moved.push((key, target));
        }
        moved
    }
}
