//! Propagation of changes: whether a change is in force on all hosts.

use std::collections::BTreeSet;

use shallotpost_protocol::interface::Reply;
use shallotpost_protocol::resource::{Change, Propagation, log_key};
use shallotpost_protocol::table::Request;

use super::cap::{self, CapRow, LoweredCap};
use super::{Read, Rows, State, content, freshness, table_unavailable};
use crate::prelude::*;

/// Maximum time for which the answer to a change waits until the change is in force.
pub const PROPAGATION_WAIT_MAX: Duration = Duration::from_secs(2);

/// Interval between reads of the grants under a lowered cap.
const CAP_READ_INTERVAL: Duration = Duration::from_millis(500);

/// A request that waits until a change is in force.
#[derive(Debug)]
pub struct PropagationWait {
    origin: Origin,
    revision: Revision,
    lowered_cap: Option<LoweredCap>,
    /// Data centres whose grants exceed the lowered cap; `None` until the grants have been read.
    holders: Option<BTreeSet<DataCentreId>>,
    /// When the last read of the grants was sent.
    cap_read_at: Option<Instant>,
    /// Whether a read of the grants is in flight.
    is_reading: bool,
    added: Instant,
    deadline: Instant,
    /// Whether the request is a change, not a query.
    is_change: bool,
}

/// A query about a change that is no longer in memory and is read from the table.
#[derive(Debug)]
pub struct PropagationQuery {
    origin: Origin,
    revision: Revision,
}

impl State {
    /// Answers a change once it is in force, or after [`PROPAGATION_WAIT_MAX`].
    pub(super) fn wait_for_propagation(
        &mut self,
        context: &mut Context,
        origin: Origin,
        revision: Revision,
        lowered_cap: Option<LoweredCap>,
    ) {
        let deadline = context.now + PROPAGATION_WAIT_MAX;
        self.add_wait(context, origin, revision, lowered_cap, deadline, true);
    }

    pub(super) fn query_propagation(
        &mut self,
        context: &mut Context,
        origin: Origin,
        revision: Revision,
    ) {
        if let Err(problem) = self.require_loaded() {
            return context.answer(origin, Err(problem));
        }
        let needs_no_read = revision > self.cache.revision() || revision == 0;
        match self.cache.change(revision).map(cap::lowered_cap) {
            Some(lowered_cap) => {
                self.add_wait(context, origin, revision, lowered_cap, context.now, false)
            }
            None if needs_no_read => {
                self.add_wait(context, origin, revision, None, context.now, false)
            }
            None => {
                let keys = vec![log_key(revision)];
                let read = Read::Propagation(PropagationQuery { origin, revision });
                self.read(context, read, Request::Read { keys });
            }
        }
    }

    pub(super) fn on_propagation_read(
        &mut self,
        context: &mut Context,
        query: PropagationQuery,
        rows: Option<(Rows, bool)>,
    ) {
        let PropagationQuery { origin, revision } = query;
        let Some((rows, _)) = rows else {
            let message = "The table service does not answer, and this host no longer has the change in memory.";
            return context.answer(origin, Err(table_unavailable(message)));
        };
        let change: Option<Change> = content(&rows, &log_key(revision));
        let lowered_cap = change.as_ref().and_then(cap::lowered_cap);
        self.add_wait(context, origin, revision, lowered_cap, context.now, false);
    }

    fn add_wait(
        &mut self,
        context: &mut Context,
        origin: Origin,
        revision: Revision,
        lowered_cap: Option<LoweredCap>,
        deadline: Instant,
        is_change: bool,
    ) {
        self.propagation_waits.push(PropagationWait {
            origin,
            revision,
            lowered_cap,
            holders: None,
            cap_read_at: None,
            is_reading: false,
            added: context.now,
            deadline,
            is_change,
        });
        self.check_propagation_waits(context);
    }

    /// Answers the requests whose change is in force or whose deadline has passed, and reads the grants for the others.
    pub(super) fn check_propagation_waits(&mut self, context: &mut Context) {
        for mut wait in std::mem::take(&mut self.propagation_waits) {
            let propagation = self.propagation_of(&wait, context.now);
            let is_expired = context.now >= wait.deadline && !wait.awaits_cap();
            if propagation.in_force || is_expired {
                context.answer(wait.origin, Ok(reply(wait.revision, propagation, wait.is_change)));
                continue;
            }
            self.read_cap(context, &mut wait);
            self.propagation_waits.push(wait);
        }
    }

    fn read_cap(&mut self, context: &mut Context, wait: &mut PropagationWait) {
        let now = context.now;
        let is_due = wait.cap_read_at.is_none_or(|sent| now >= sent + CAP_READ_INTERVAL);
        let Some(lowered) = wait.lowered_cap.as_ref().filter(|_| is_due && !wait.is_reading) else {
            return;
        };
        wait.cap_read_at = Some(now);
        wait.is_reading = true;
        let keys = vec![cap::row_key(&lowered.team)];
        let team = lowered.team.clone();
        self.read(context, Read::Cap { team, sent: now }, Request::Read { keys });
    }

    pub(super) fn on_cap_read(&mut self, team: &str, sent: Instant, rows: Option<(Rows, bool)>) {
        let row: Option<CapRow> =
            rows.as_ref().and_then(|(rows, _)| content(rows, &cap::row_key(team)));
        for wait in &mut self.propagation_waits {
            // A read that was sent before the wait was added may show the grants under the old cap.
            let is_recent = wait.added <= sent;
            let lowered = wait.lowered_cap.as_ref().filter(|lowered| lowered.team == team);
            let Some(lowered) = lowered.filter(|_| is_recent) else { continue };
            wait.is_reading = false;
            if rows.is_some() {
                // A missing row means that the team was deleted, which requires that it has no grants.
                let holders = row.as_ref().map(|row| row.holders_above(&lowered.limit));
                wait.holders = Some(holders.unwrap_or_default());
            }
        }
    }

    /// Propagation of the change that a request waits for, including the return of grants under a lowered cap.
    fn propagation_of(&self, wait: &PropagationWait, now: Instant) -> Propagation {
        let mut propagation = self.propagation(wait.revision, now);
        if wait.lowered_cap.is_some() {
            // While the grants are unknown, the change counts as pending at this host's data centre.
            let unknown = BTreeSet::from([self.data_centre.clone()]);
            let holders = wait.holders.as_ref().unwrap_or(&unknown);
            let waiting: BTreeSet<DataCentreId> =
                propagation.waiting_for.into_iter().chain(holders.iter().cloned()).collect();
            propagation.in_force = waiting.is_empty();
            propagation.waiting_for = waiting.into_iter().collect();
        }
        propagation
    }

    /// Whether every host applies the revision or has lost its configuration lease.
    pub(super) fn propagation(&self, revision: Revision, now: Instant) -> Propagation {
        // Until the peers are known, nothing proves that they apply the revision.
        let committed = self.cache.committed_by(revision).filter(|_| self.peers_known);
        let waiting = match committed {
            Some(committed_by) => freshness::pending_data_centres(
                &self.peer_list,
                revision,
                committed_by,
                now,
                self.lease,
            ),
            None => BTreeSet::from([self.data_centre.clone()]),
        };
        Propagation {
            revision,
            in_force: waiting.is_empty(),
            waiting_for: waiting.into_iter().collect(),
        }
    }
}

impl PropagationWait {
    /// Whether the grants under a lowered cap are needed and have not been read yet.
    fn awaits_cap(&self) -> bool {
        self.lowered_cap.is_some()
            && (self.cap_read_at.is_none() || (self.is_reading && self.holders.is_none()))
    }
}

fn reply(revision: Revision, propagation: Propagation, is_change: bool) -> Reply {
    match is_change {
        true => Reply::Changed { revision, propagation },
        false => Reply::Propagation(propagation),
    }
}
