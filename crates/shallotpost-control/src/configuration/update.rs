//! Updates by operators. An update is validated against the current revision and committed with a check on
//! `config/head`. If the outcome of the commit is unknown, it is read from the log row of the update.

use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{
    self, Change, Entry, HEAD_KEY, Kind, Resource, Team, log_key,
};
use shallotpost_protocol::table::{self, Check, Row, Write};

use super::cap::{self, CapRow};
use super::poll::Head;
use super::{Read, Rows, State, content, table_unavailable, validate};
use crate::message::{Batch, WriteFailure};
use crate::prelude::*;

/// Time after which an update that is not committed is answered with a failure. It leaves time for the wait until the
/// change is in force.
pub const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that the transaction of an update waits in the write queue.
const WRITE_EXPIRY: Duration = Duration::from_secs(5);

/// Maximum number of updates that wait at this host; they are made one at a time.
pub const QUEUE_MAX: usize = 100;

/// Maximum number of attempts to commit an update that conflicts with other changes.
pub const ATTEMPTS_MAX: u32 = 5;

/// Number of changes after the applied revision that the read before an update requests.
const READ_AHEAD: u64 = 20;

/// Delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A change that an operator requested.
#[derive(Debug)]
pub struct Update {
    /// Where the answer is sent; `None` once the update was answered.
    origin: Option<Origin>,
    who: String,
    kind: Kind,
    name: String,
    after: Option<Resource>,
    expected: Option<Revision>,
    dry_run: bool,
    deadline: Instant,
    attempts: u32,
}

#[derive(Debug)]
pub struct ActiveUpdate {
    update: Update,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    /// The head must be read, not before `from`.
    Pending { from: Instant },
    /// The head is being read. The number identifies the read, to ignore results for an earlier update.
    Refreshing { number: u64 },
    /// The change is queued or in flight at `commit`.
    Writing { tag: Tag, change: Change },
    /// The outcome is unknown. A later transaction of this host must prove that the change is no longer in flight.
    /// `tag` is `None` until that transaction is sent, not before `from`.
    Barrier { tag: Option<Tag>, from: Instant, change: Change },
    /// The change is no longer in flight; its log row must be read, not before `from`.
    Unresolved { from: Instant, change: Change },
    /// Its log row is being read.
    Resolving { number: u64, change: Change },
}

impl ActiveUpdate {
    /// Whether the change may have been committed or may still be committed.
    pub fn is_in_flight(&self) -> bool {
        self.change().is_some()
    }

    fn change(&self) -> Option<&Change> {
        match &self.stage {
            Stage::Pending { .. } | Stage::Refreshing { .. } => None,
            Stage::Writing { change, .. }
            | Stage::Barrier { change, .. }
            | Stage::Unresolved { change, .. }
            | Stage::Resolving { change, .. } => Some(change),
        }
    }
}

impl State {
    pub(super) fn queue_update(
        &mut self,
        context: &mut Context,
        origin: Origin,
        who: String,
        request: Request,
    ) {
        let (kind, name, after, expected, dry_run) = match request {
            Request::Put { name, resource, revision, dry_run } => {
                (resource.kind(), name, Some(resource), revision, dry_run)
            }
            Request::Delete { kind, name, revision, dry_run } => {
                (kind, name, None, revision, dry_run)
            }
            _ => return,
        };
        let refusal = if self.stopping {
            Some((ProblemKind::Draining, "This entry host is shutting down."))
        } else if self.updates.len() >= QUEUE_MAX {
            Some((ProblemKind::Overloaded, "Too many updates wait at this entry host."))
        } else {
            None
        };
        if let Some((kind, message)) = refusal {
            return context.answer(origin, Err(Problem::new(kind, message)));
        }
        self.updates.push_back(Update {
            origin: Some(origin),
            who,
            kind,
            name,
            after,
            expected,
            dry_run,
            deadline: context.now + UPDATE_TIMEOUT,
            attempts: 0,
        });
        self.advance_updates(context);
    }

    /// Expires late updates, starts the next one and takes its next step if due.
    pub(super) fn advance_updates(&mut self, context: &mut Context) {
        let now = context.now;
        self.expire_updates(context);
        if self.active.is_none() {
            self.active = self
                .updates
                .pop_front()
                .map(|update| ActiveUpdate { update, stage: Stage::Pending { from: now } });
        }
        let Some(active) = &mut self.active else { return };
        match &mut active.stage {
            Stage::Pending { from } if now >= *from => self.refresh(context),
            Stage::Barrier { tag: tag @ None, from, .. } if now >= *from => {
                self.last_tag += 1;
                *tag = Some(self.last_tag);
                context.send(ServiceName::Commit, Message::Write(barrier_batch(self.last_tag)));
            }
            Stage::Unresolved { from, change } if now >= *from => {
                self.last_tag += 1;
                let (number, change) = (self.last_tag, change.clone());
                let keys = vec![log_key(change.revision)];
                active.stage = Stage::Resolving { number, change };
                self.read(context, Read::Resolve { number }, table::Request::Read { keys });
            }
            _ => {}
        }
    }

    /// Answers the updates whose deadline has passed.
    fn expire_updates(&mut self, context: &mut Context) {
        let now = context.now;
        // The queue is in order of deadlines.
        while self.updates.front().is_some_and(|update| now >= update.deadline) {
            let Some(update) = self.updates.pop_front() else { return };
            let message = "Nothing was changed: an earlier update was not finished in time.";
            answer(context, update.origin, Err(table_unavailable(message)));
        }
        let Some(active) = self.active.as_mut().filter(|active| now >= active.update.deadline)
        else {
            return;
        };
        let origin = active.update.origin.take();
        match active.change().map(|change| change.revision) {
            Some(revision) => answer(context, origin, Err(outcome_unknown(revision))),
            None => {
                self.active = None;
                let message = "Nothing was changed: the table service did not answer in time.";
                answer(context, origin, Err(table_unavailable(message)));
            }
        }
    }

    fn refresh(&mut self, context: &mut Context) {
        let number = self.next_tag();
        let Some(active) = &mut self.active else { return };
        active.stage = Stage::Refreshing { number };
        let caps: Vec<String> = match active.update.kind {
            Kind::Team => vec![cap::row_key(&active.update.name)],
            _ => Vec::new(),
        };
        let request = self.head_request(READ_AHEAD, &caps);
        self.read(context, Read::Refresh { number, sent: context.now }, request);
    }

    /// Handles the read of the head before an update.
    pub(super) fn on_refresh(
        &mut self,
        context: &mut Context,
        number: u64,
        sent: Instant,
        rows: Option<(Rows, bool)>,
    ) {
        let stage = self.active.as_ref().map(|active| &active.stage);
        if !matches!(stage, Some(Stage::Refreshing { number: current }) if *current == number) {
            return;
        }
        let Some((rows, _)) = rows else {
            let message = "Nothing was changed: the table service does not answer.";
            return self.finish(context, Err(table_unavailable(message)));
        };
        let head = self.apply_head_read(context, sent, &rows);
        let current = head.filter(|head| head.revision == self.cache.revision());
        match current.filter(|_| self.cache.loaded) {
            Some(head) => self.validate_and_commit(context, head, &rows),
            None => {
                self.poll_now(context.now);
                self.set_pending(context.now + RETRY_DELAY);
            }
        }
    }

    fn set_pending(&mut self, from: Instant) {
        if let Some(active) = &mut self.active {
            active.stage = Stage::Pending { from };
        }
    }

    /// Validates the active update at the current revision, and commits it unless it is a dry run.
    fn validate_and_commit(&mut self, context: &mut Context, head: Head, rows: &Rows) {
        let Some(active) = &self.active else { return };
        let update = &active.update;
        let cap_key = cap::row_key(&update.name);
        let cap_row = rows.iter().find(|row| row.key == cap_key);
        if let Err(problem) = self.validate(update, cap_row) {
            if !update.dry_run {
                let (who, kind, name) = (update.who.clone(), update.kind, update.name.clone());
                self.record_refused_change(context, &who, kind, &name, &problem);
            }
            return self.finish(context, Err(problem));
        }
        if update.dry_run {
            let revision = head.revision;
            let propagation = self.propagation(revision, context.now);
            return self.finish(context, Ok(Reply::Changed { revision, propagation }));
        }
        let change = self.new_change(update, head.revision + 1, context.unix_ms);
        let expires = update.deadline.min(context.now + WRITE_EXPIRY);
        let tag = self.next_tag();
        let batch = change_batch(tag, &change, head, cap_row, expires);
        if let Some(active) = &mut self.active {
            active.stage = Stage::Writing { tag, change };
        }
        // Peers must learn of the update in flight before it can take effect.
        self.report_status(context);
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    fn validate(&self, update: &Update, cap_row: Option<&Row>) -> Result<(), Problem> {
        let snapshot = self.cache.snapshot();
        match &update.after {
            Some(resource) => validate::check_put(snapshot, &update.name, resource)?,
            None => validate::check_delete(snapshot, update.kind, &update.name)?,
        }
        validate::check_expected_revision(snapshot, update.kind, &update.name, update.expected)?;
        let cap = cap_row.map(|row| serde_json::from_str::<CapRow>(&row.value)).transpose();
        let Ok(cap) = cap else {
            // A new row without the existing grants would let the owners grant the cap again.
            let message = format!("The row {} cannot be read.", cap::row_key(&update.name));
            return Err(table_unavailable(&message));
        };
        let has_grants = cap.is_some_and(|cap| cap.granted() != Size::ZERO);
        if update.after.is_none() && update.kind == Kind::Team && has_grants {
            return Err(validate::with_remedy(
                ProblemKind::Conflict,
                format!("Team {:?} still has running work.", update.name),
                "Cancel the work of the team, and delete the team once its tasks have ended.",
            ));
        }
        Ok(())
    }

    fn new_change(&self, update: &Update, revision: Revision, at_unix_ms: u64) -> Change {
        let before = self.cache.snapshot().entry(update.kind, &update.name);
        Change {
            revision,
            who: update.who.clone(),
            host: self.host.clone(),
            at_unix_ms,
            kind: update.kind,
            name: update.name.clone(),
            before: before.map(|entry| entry.resource.clone()),
            after: update.after.clone(),
        }
    }

    pub(super) fn on_write_result(
        &mut self,
        context: &mut Context,
        tag: Tag,
        result: Result<(), WriteFailure>,
    ) {
        let now = context.now;
        let Some(active) = &mut self.active else { return };
        match &active.stage {
            Stage::Writing { tag: own, change } if *own == tag => {
                let change = change.clone();
                self.on_change_result(context, change, result);
            }
            Stage::Barrier { tag: Some(own), change, .. } if *own == tag => {
                let change = change.clone();
                active.stage = match result {
                    Ok(()) => Stage::Unresolved { from: now, change },
                    Err(_) => Stage::Barrier { tag: None, from: now + RETRY_DELAY, change },
                };
                self.advance_updates(context);
            }
            // The outcome of a record of a refused change or of a deletion of old rows.
            _ => {}
        }
    }

    fn on_change_result(
        &mut self,
        context: &mut Context,
        change: Change,
        result: Result<(), WriteFailure>,
    ) {
        match result {
            Ok(()) => self.complete_update(context, change),
            Err(WriteFailure::Conflict(_)) => self.retry_update(context),
            Err(WriteFailure::Overloaded) => self.finish(
                context,
                Err(Problem::new(
                    ProblemKind::Overloaded,
                    "Nothing was changed: the write queue is full.",
                )),
            ),
            Err(WriteFailure::Expired) => {
                let message = "Nothing was changed: the table service did not answer in time.";
                self.finish(context, Err(table_unavailable(message)))
            }
            Err(WriteFailure::Unknown) => {
                if let Some(active) = &mut self.active {
                    active.stage = Stage::Barrier { tag: None, from: context.now, change };
                }
                self.advance_updates(context);
            }
        }
    }

    /// Completes the active update, whose change took effect.
    fn complete_update(&mut self, context: &mut Context, change: Change) {
        let Some(active) = self.active.take() else { return };
        let (revision, lowered_cap) = (change.revision, cap::lowered_cap(&change));
        self.cache.apply(change, context.now);
        // If earlier changes are missing here, the next poll reads them.
        self.poll_now(context.now);
        if let Some(origin) = active.update.origin {
            self.wait_for_propagation(context, origin, revision, lowered_cap);
        }
        self.advance_updates(context);
    }

    /// Retries the active update, whose change conflicted with another one, unless its attempts are used up.
    fn retry_update(&mut self, context: &mut Context) {
        let now = context.now;
        let Some(active) = &mut self.active else { return };
        active.update.attempts += 1;
        if active.update.origin.is_none() {
            self.active = None;
        } else if active.update.attempts >= ATTEMPTS_MAX {
            let message = format!(
                "Nothing was changed: other changes came first {ATTEMPTS_MAX} times; the current revision is {}.",
                self.cache.revision()
            );
            return self.finish(context, Err(Problem::new(ProblemKind::Overloaded, message)));
        } else {
            active.stage = Stage::Pending { from: now };
        }
        self.advance_updates(context);
    }

    /// Answers the active update and ends it.
    fn finish(&mut self, context: &mut Context, result: Result<Reply, Problem>) {
        let origin = self.active.take().and_then(|active| active.update.origin);
        answer(context, origin, result);
        self.advance_updates(context);
    }

    /// Handles the read of the log row that shows the outcome of the active update.
    pub(super) fn on_resolve(
        &mut self,
        context: &mut Context,
        number: u64,
        rows: Option<(Rows, bool)>,
    ) {
        let Some(active) = &mut self.active else { return };
        let change = match &active.stage {
            Stage::Resolving { number: current, change } if *current == number => change.clone(),
            _ => return,
        };
        let Some((rows, _)) = rows else {
            let from = context.now + RETRY_DELAY;
            active.stage = Stage::Unresolved { from, change };
            return;
        };
        match content::<Change>(&rows, &log_key(change.revision)) {
            Some(found) if found == change => self.complete_update(context, change),
            _ => self.retry_update(context),
        }
    }

    /// Resolves the active update by a change that was read elsewhere: if that has the same revision, it is either the
    /// update itself or proves that the update failed.
    pub(super) fn resolve_by_change(&mut self, context: &mut Context, found: &Change) {
        let Some(active) = &self.active else { return };
        let own_change = match &active.stage {
            // The result of `commit` is still expected.
            Stage::Writing { .. } => None,
            _ => active.change().filter(|change| change.revision == found.revision),
        };
        match own_change.cloned() {
            Some(change) if change == *found => self.complete_update(context, change),
            Some(_) => self.retry_update(context),
            None => {}
        }
    }
}

/// Returns the batch that commits a change: the head, the resource, the log row, and the cap row of a team if the cap
/// changes.
fn change_batch(
    tag: Tag,
    change: &Change,
    head: Head,
    cap_row: Option<&Row>,
    expires: Instant,
) -> Batch {
    let resource = change.after.clone().map(|resource| Entry {
        name: change.name.clone(),
        revision: change.revision,
        resource,
    });
    let mut checks = vec![Check { key: HEAD_KEY.to_owned(), version: head.version }];
    let mut writes = vec![
        Write { key: HEAD_KEY.to_owned(), value: json(&change.revision) },
        Write {
            key: resource::row_key(change.kind, &change.name),
            value: resource.as_ref().and_then(json),
        },
        Write { key: log_key(change.revision), value: json(change) },
    ];
    if let Some(value) = cap_value(change, cap_row) {
        let key = cap::row_key(&change.name);
        checks.push(Check { key: key.clone(), version: cap_row.map(|row| row.version) });
        writes.push(Write { key, value });
    }
    Batch { reply_to: ServiceName::Configuration, tag, checks, writes, expires: Some(expires) }
}

/// Returns the new value of the cap row of a team, which keeps the existing grants. The outer `None` leaves the row
/// unchanged, the inner one deletes it.
fn cap_value(change: &Change, row: Option<&Row>) -> Option<Option<String>> {
    let current: Option<CapRow> = row.and_then(|row| serde_json::from_str(&row.value).ok());
    match &change.after {
        Some(Resource::Team(Team { cap, .. })) => {
            if current.as_ref().is_some_and(|current| current.cap == *cap) {
                return None;
            }
            Some(json(&CapRow { cap: *cap, ..current.unwrap_or_default() }))
        }
        None if change.kind == Kind::Team => Some(None),
        _ => None,
    }
}

/// Returns a batch without rows. Once it is committed, no earlier transaction of this host can still take effect.
fn barrier_batch(tag: Tag) -> Batch {
    Batch {
        reply_to: ServiceName::Configuration,
        tag,
        checks: Vec::new(),
        writes: Vec::new(),
        expires: None,
    }
}

pub(super) fn json<T: serde::Serialize>(value: &T) -> Option<String> {
    serde_json::to_string(value).ok()
}

fn answer(context: &mut Context, origin: Option<Origin>, result: Result<Reply, Problem>) {
    if let Some(origin) = origin {
        context.answer(origin, result);
    }
}

fn outcome_unknown(revision: Revision) -> Problem {
    validate::with_remedy(
        ProblemKind::Unknown,
        format!(
            "The table service did not confirm the change in time; it may be revision {revision}."
        ),
        "Read the resource again, and repeat the change with its current revision if it is missing.",
    )
}
