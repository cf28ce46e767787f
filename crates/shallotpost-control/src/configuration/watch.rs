//! Watches: pages of changes after a revision, without gap or repeat.

use shallotpost_protocol::interface::{Reply, WAIT_MAX};
use shallotpost_protocol::resource::{Change, log_key};
use shallotpost_protocol::table::{Request, Row};

use super::{Read, Rows, State, table_unavailable};
use crate::prelude::*;

/// Most changes in one page.
const PAGE_MAX: usize = 200;

/// Most log rows that one page reads from the table.
const READ_MAX: u64 = 100;

/// Most watches that wait at one entry host.
pub const WATCHERS_MAX: usize = 1000;

/// A watch that waits.
#[derive(Debug)]
pub struct Watcher {
    origin: Origin,
    from: Revision,
    until: Instant,
}

impl Watcher {
    /// Answers that there is no change yet.
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
        self.watchers.push(Watcher { origin, from, until: context.now + wait });
        self.serve_watchers(context);
    }

    /// Answers the watches for which there are changes or whose wait is over. A host that is behind the caller's revision
    /// has nothing to tell yet.
    pub(super) fn serve_watchers(&mut self, context: &mut Context) {
        for watcher in std::mem::take(&mut self.watchers) {
            let is_behind = self.cache.revision() <= watcher.from;
            match self.cache.changes_after(watcher.from, PAGE_MAX) {
                _ if is_behind && context.now >= watcher.until => watcher.answer_empty(context),
                _ if is_behind => self.watchers.push(watcher),
                Some(changes) => answer(context, watcher, changes),
                None => self.read_page(context, watcher),
            }
        }
    }

    fn read_page(&mut self, context: &mut Context, watcher: Watcher) {
        let last = self.cache.revision().min(watcher.from + READ_MAX);
        let keys = (watcher.from + 1..=last).map(log_key).collect();
        self.read(context, Read::Watch(watcher), Request::Read { keys });
    }

    pub(super) fn watch_read(
        &mut self,
        context: &mut Context,
        watcher: Watcher,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, _)) = rows else {
            let message = "The table service does not answer, and this entry host does not keep these changes.";
            return context.answer(watcher.origin, Err(table_unavailable(message)));
        };
        let changes = without_gap(&rows, watcher.from);
        if changes.is_empty() {
            let message =
                format!("The change of revision {} is not kept any more.", watcher.from + 1);
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

/// The changes that follow a revision, up to the first gap.
fn without_gap(rows: &[Row], from: Revision) -> Vec<Change> {
    let changes = rows.iter().map_while(|row| serde_json::from_str::<Change>(&row.value).ok());
    let expected = from + 1..;
    changes
        .zip(expected)
        .take_while(|(change, revision)| change.revision == *revision)
        .map(|(change, _)| change)
        .collect()
}
