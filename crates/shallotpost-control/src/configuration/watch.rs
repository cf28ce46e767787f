//! Watches: pages of changes after a revision, without gaps or repetitions.

use shallotpost_protocol::interface::{Reply, WAIT_MAX};
use shallotpost_protocol::resource::{Change, log_key};
use shallotpost_protocol::table::{Request, Row};

use super::{Read, Rows, State, table_unavailable};
use crate::prelude::*;

const PAGE_CHANGES_MAX: usize = 200;

/// Maximum number of log rows that one page reads from the table.
const TABLE_READ_ROWS_MAX: u64 = 100;

/// Maximum number of watches that wait at one entry host.
pub const WATCHERS_MAX: usize = 1000;

/// A watch request that waits for changes.
#[derive(Debug)]
pub struct Watcher {
    origin: Origin,
    from: Revision,
    deadline: Instant,
}

impl Watcher {
    pub fn answer_empty(self, context: &mut Context) {
        let reply = Reply::Changes { changes: Vec::new(), next: self.from };
        context.answer(self.origin, Ok(reply));
    }
}

impl State {
    pub(super) fn watch(
        &mut self,
        context: &mut Context,
        origin: Origin,
        from: Revision,
        wait: Duration,
    ) {
        if self.watchers.len() >= WATCHERS_MAX {
            let message = "Too many watches wait at this entry host.";
            return context.answer(origin, Err(Problem::new(ProblemKind::Overloaded, message)));
        }
        let wait = if self.stopping { Duration::ZERO } else { wait.min(WAIT_MAX) };
        self.watchers.push(Watcher { origin, from, deadline: context.now + wait });
        self.serve_watchers(context);
    }

    /// Answers the watches for which there are changes or whose deadline has passed. A host that is behind the caller's
    /// revision has no changes to send yet.
    pub(super) fn serve_watchers(&mut self, context: &mut Context) {
        for watcher in std::mem::take(&mut self.watchers) {
            let is_behind = self.cache.revision() <= watcher.from;
            match self.cache.changes_after(watcher.from, PAGE_CHANGES_MAX) {
                _ if is_behind && context.now >= watcher.deadline => watcher.answer_empty(context),
                _ if is_behind => self.watchers.push(watcher),
                Some(changes) => answer(context, watcher, changes),
                None => self.read_page(context, watcher),
            }
        }
    }

    fn read_page(&mut self, context: &mut Context, watcher: Watcher) {
        let last = self.cache.revision().min(watcher.from + TABLE_READ_ROWS_MAX);
        let keys = (watcher.from + 1..=last).map(log_key).collect();
        self.read(context, Read::Watch(watcher), Request::Read { keys });
    }

    pub(super) fn on_watch_read(
        &mut self,
        context: &mut Context,
        watcher: Watcher,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, _)) = rows else {
            let message = "The table service does not answer, and this host no longer has these changes in memory.";
            return context.answer(watcher.origin, Err(table_unavailable(message)));
        };
        let changes = contiguous_changes(&rows, watcher.from);
        if changes.is_empty() {
            let message =
                format!("The change of revision {} is no longer in the log.", watcher.from + 1);
            let problem = Problem::new(ProblemKind::RevisionTooOld, message);
            return context.answer(watcher.origin, Err(problem));
        }
        answer(context, watcher, changes);
    }
}

fn answer(context: &mut Context, watcher: Watcher, changes: Vec<Change>) {
    let next = changes.last().map_or(watcher.from, |change| change.revision);
    context.answer(watcher.origin, Ok(Reply::Changes { changes, next }));
}

/// Returns the changes that follow a revision, up to the first gap.
fn contiguous_changes(rows: &[Row], from: Revision) -> Vec<Change> {
    let changes = rows.iter().map_while(|row| serde_json::from_str::<Change>(&row.value).ok());
    let expected = from + 1..;
    changes
        .zip(expected)
        .take_while(|(change, revision)| change.revision == *revision)
        .map(|(change, _)| change)
        .collect()
}
