//! Whether a change is in force everywhere.

use std::collections::BTreeSet;

use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::resource::{Change, Propagation, log_key};
use shallotpost_protocol::table::Request;

use super::cap::{self, CapRow, Lowered};
use super::{Read, Rows, State, content, freshness, table_unavailable};
use crate::prelude::*;

/// Time that the answer to a change waits until it is in force.
pub const FORCE_WAIT: Duration = Duration::from_secs(2);

/// Interval of reads of the grants under a lowered cap.
const CAP_INTERVAL: Duration = Duration::from_millis(500);

/// An answer that waits until a change is in force.
#[derive(Debug)]
pub struct Wait {
    origin: Origin,
    revision: Revision,
    lowered: Option<Lowered>,
    /// Data centres whose grants exceed the lowered cap; `None` until they were read.
    holders: Option<BTreeSet<DataCentreId>>,
    /// Moment of the last read of the grants.
    cap_read: Option<Instant>,
    /// Whether that read is still open.
    is_reading: bool,
    added: Instant,
    until: Instant,
    /// Whether the answer is one to a change, not to a question.
    is_change: bool,
}

/// A question for the force of a change that memory does not hold.
#[derive(Debug)]
pub struct Question {
    origin: Origin,
    revision: Revision,
}

impl State {
    /// Answers once the change is in force, or after [`FORCE_WAIT`].
    pub(super) fn wait_for_force(
        &mut self,
        context: &mut Context,
        origin: Origin,
        revision: Revision,
        lowered: Option<Lowered>,
    ) {
        let until = context.now + FORCE_WAIT;
        self.add_wait(context, origin, revision, lowered, until, true);
    }

    pub(super) fn ask_force(&mut self, context: &mut Context, origin: Origin, revision: Revision) {
        if let Err(problem) = self.require_loaded() {
            return context.answer(origin, Err(problem));
        }
        let is_known = revision > self.cache.revision() || revision == 0;
        match self.cache.change(revision).map(cap::lowered) {
            Some(lowered) => self.add_wait(context, origin, revision, lowered, context.now, false),
            None if is_known => self.add_wait(context, origin, revision, None, context.now, false),
            None => {
                let keys = vec![log_key(revision)];
                let read = Read::Force(Question { origin, revision });
                self.read(context, read, Request::Read { keys });
            }
        }
    }

    pub(super) fn force_read(
        &mut self,
        context: &mut Context,
        question: Question,
        rows: Option<(Rows, bool)>,
    ) {
        let Question { origin, revision } = question;
        let Some((rows, _)) = rows else {
            let message =
                "The table service does not answer, and this entry host does not keep the change.";
            return context.answer(origin, Err(table_unavailable(message)));
        };
        let change: Option<Change> = content(&rows, &log_key(revision));
        let lowered = change.as_ref().and_then(cap::lowered);
        self.add_wait(context, origin, revision, lowered, context.now, false);
    }

    fn add_wait(
        &mut self,
        context: &mut Context,
        origin: Origin,
        revision: Revision,
        lowered: Option<Lowered>,
        until: Instant,
        is_change: bool,
    ) {
        self.waits.push(Wait {
            origin,
            revision,
            lowered,
            holders: None,
            cap_read: None,
            is_reading: false,
            added: context.now,
            until,
            is_change,
        });
        self.check_waits(context);
    }

    /// Answers the waits that are over, and reads grants for the others.
    pub(super) fn check_waits(&mut self, context: &mut Context) {
        for mut wait in std::mem::take(&mut self.waits) {
            let force = self.force_of(&wait, context.now);
            let is_over = context.now >= wait.until && !wait.awaits_cap();
            if force.in_force || is_over {
                context.answer(wait.origin, Ok(reply(wait.revision, force, wait.is_change)));
                continue;
            }
            self.read_cap(context, &mut wait);
            self.waits.push(wait);
        }
    }

    fn read_cap(&mut self, context: &mut Context, wait: &mut Wait) {
        let now = context.now;
        let is_due = wait.cap_read.is_none_or(|read| now >= read + CAP_INTERVAL);
        let Some(lowered) = wait.lowered.as_ref().filter(|_| is_due && !wait.is_reading) else {
            return;
        };
        wait.cap_read = Some(now);
        wait.is_reading = true;
        let keys = vec![cap::row_key(&lowered.team)];
        let team = lowered.team.clone();
        self.read(context, Read::Cap { team, sent: now }, Request::Read { keys });
    }

    pub(super) fn cap_read(&mut self, team: &str, sent: Instant, rows: Option<(Rows, bool)>) {
        let cap: Option<CapRow> =
            rows.as_ref().and_then(|(rows, _)| content(rows, &cap::row_key(team)));
        for wait in &mut self.waits {
            // A read that was sent earlier may show the grants under the cap before the change.
            let is_recent = wait.added <= sent;
            let lowered = wait.lowered.as_ref().filter(|lowered| lowered.team == team);
            let Some(lowered) = lowered.filter(|_| is_recent) else { continue };
            wait.is_reading = false;
            if rows.is_some() {
                // Without a row the team was deleted, which it can only be without grants.
                let holders = cap.as_ref().map(|cap| cap.waiting_for(&lowered.limit));
                wait.holders = Some(holders.unwrap_or_default());
            }
        }
    }

    fn force_of(&self, wait: &Wait, now: Instant) -> Propagation {
        let mut force = self.force(wait.revision, now);
        if wait.lowered.is_some() {
            // Where the grants are not known, this host cannot tell that the change is in force.
            let unknown = BTreeSet::from([self.data_centre.clone()]);
            let holders = wait.holders.as_ref().unwrap_or(&unknown);
            let waiting: BTreeSet<DataCentreId> =
                force.waiting_for.into_iter().chain(holders.iter().cloned()).collect();
            force.in_force = waiting.is_empty();
            force.waiting_for = waiting.into_iter().collect();
        }
        force
    }

    /// Whether each host applies a revision or lost its configuration lease.
    pub(super) fn force(&self, revision: Revision, now: Instant) -> Propagation {
        // As long as the entry hosts are not known, none of them can be said to apply the revision.
        let committed = self.cache.committed_by(revision).filter(|_| self.is_fleet_known);
        let waiting = match committed {
            Some(moment) => {
                freshness::pending_data_centres(&self.fleet, revision, moment, now, self.lease)
            }
            None => BTreeSet::from([self.data_centre.clone()]),
        };
        Propagation {
            revision,
            in_force: waiting.is_empty(),
            waiting_for: waiting.into_iter().collect(),
        }
    }
}

impl Wait {
    /// Whether the first read of the grants has no answer yet.
    fn awaits_cap(&self) -> bool {
        self.lowered.is_some()
            && (self.cap_read.is_none() || (self.is_reading && self.holders.is_none()))
    }
}

fn reply(revision: Revision, propagation: Propagation, is_change: bool) -> Reply {
    match is_change {
        true => Reply::Changed { revision, propagation },
        false => Reply::Propagation(propagation),
    }
}
