//! Updates by operators: checked against the current revision, committed with a check on `config/head`, and resolved by
//! reading their log row where the outcome is unknown.

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

/// Time within which an update is answered. It leaves time for the wait until the change is in force.
pub const UPDATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which the transaction of an update is not sent any more.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Updates of this host that wait for the one before.
pub const QUEUE_MAX: usize = 100;

/// Times that an update is tried when other changes come first.
pub const ATTEMPTS_MAX: u32 = 5;

/// Changes that the read before an update asks for.
const AHEAD: u64 = 20;

/// Time before an unsuccessful step is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A change that an operator wants.
#[derive(Debug)]
pub struct Update {
    /// Where the answer goes; `None` once it is answered.
    origin: Option<Origin>,
    who: String,
    kind: Kind,
    name: String,
    after: Option<Resource>,
    expected: Option<Revision>,
    dry_run: bool,
    deadline: Instant,
    tries: u32,
}

/// The update that is being made, and how far it is.
#[derive(Debug)]
pub struct Active {
    update: Update,
    stage: Stage,
}

/// Stages of an update.
#[derive(Debug)]
enum Stage {
    /// The head must be read, from this moment on.
    Pending { from: Instant },
    /// The head is being read. The number tells the answer from one for an earlier update.
    Refreshing { number: u64 },
    /// The change is with `commit`.
    Writing { tag: Tag, change: Change },
    /// The outcome is unknown, and a later transaction of this host must rule out that the change is still on its way.
    Barrier { tag: Option<Tag>, from: Instant, change: Change },
    /// The change can no longer be on its way; its log row must be read, from this moment on.
    Unresolved { from: Instant, change: Change },
    /// Its log row is being read.
    Resolving { number: u64, change: Change },
}

impl Active {
    /// Whether the change may have taken effect.
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
            tries: 0,
        });
        self.proceed_update(context);
    }

    /// Does what is due for the updates.
    pub(super) fn proceed_update(&mut self, context: &mut Context) {
        let now = context.now;
        self.expire_updates(context);
        if self.active.is_none() {
            self.active = self
                .updates
                .pop_front()
                .map(|update| Active { update, stage: Stage::Pending { from: now } });
        }
        let Some(active) = &mut self.active else { return };
        match &mut active.stage {
            Stage::Pending { from } if now >= *from => self.refresh(context),
            Stage::Barrier { tag: tag @ None, from, .. } if now >= *from => {
                self.last_tag += 1;
                *tag = Some(self.last_tag);
                context.send(ServiceName::Commit, Message::Write(barrier(self.last_tag)));
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

    /// Answers the updates whose time is over.
    fn expire_updates(&mut self, context: &mut Context) {
        let now = context.now;
        // Deadlines rise along the queue.
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
            Some(revision) => answer(context, origin, Err(unknown(revision))),
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
        let request = self.head_request(AHEAD, &caps);
        self.read(context, Read::Refresh { number, sent: context.now }, request);
    }

    /// The head was read for the update: decides whether it can be made.
    pub(super) fn refreshed(
        &mut self,
        context: &mut Context,
        number: u64,
        sent: Instant,
        rows: Option<(Rows, bool)>,
    ) {
        let stage = self.active.as_ref().map(|active| &active.stage);
        if !matches!(stage, Some(Stage::Refreshing { number: open }) if *open == number) {
            return;
        }
        let Some((rows, _)) = rows else {
            let message = "Nothing was changed: the table service does not answer.";
            return self.finish(context, Err(table_unavailable(message)));
        };
        let head = self.absorb(context, sent, &rows);
        let current = head.filter(|head| head.revision == self.cache.revision());
        match current.filter(|_| self.cache.loaded) {
            Some(head) => self.decide(context, head, &rows),
            None => {
                self.hurry(context.now);
                self.pend(context.now + REPEAT_INTERVAL);
            }
        }
    }

    fn pend(&mut self, from: Instant) {
        if let Some(active) = &mut self.active {
            active.stage = Stage::Pending { from };
        }
    }

    fn decide(&mut self, context: &mut Context, head: Head, rows: &Rows) {
        let Some(active) = &self.active else { return };
        let update = &active.update;
        let cap_key = cap::row_key(&update.name);
        let cap_row = rows.iter().find(|row| row.key == cap_key);
        if let Err(problem) = self.check(update, cap_row) {
            if !update.dry_run {
                let (who, kind, name) = (update.who.clone(), update.kind, update.name.clone());
                self.record(context, &who, kind, &name, &problem);
            }
            return self.finish(context, Err(problem));
        }
        if update.dry_run {
            let revision = head.revision;
            let propagation = self.force(revision, context.now);
            return self.finish(context, Ok(Reply::Changed { revision, propagation }));
        }
        let change = self.change(update, head.revision + 1, context.unix_ms);
        let expires = update.deadline.min(context.now + WRITE_TIME);
        let tag = self.next_tag();
        let batch = batch(tag, &change, head, cap_row, expires);
        if let Some(active) = &mut self.active {
            active.stage = Stage::Writing { tag, change };
        }
        // Peers must learn of the update in flight before it can take effect.
        self.tell_freshness(context);
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    fn check(&self, update: &Update, cap_row: Option<&Row>) -> Result<(), Problem> {
        let snapshot = self.cache.snapshot();
        match &update.after {
            Some(resource) => validate::put(snapshot, &update.name, resource)?,
            None => validate::delete(snapshot, update.kind, &update.name)?,
        }
        validate::expected_revision(snapshot, update.kind, &update.name, update.expected)?;
        let cap = cap_row.map(|row| serde_json::from_str::<CapRow>(&row.value)).transpose();
        let Ok(cap) = cap else {
            // Without the grants, a new row would let owners grant them once more.
            let message = format!("The row {} cannot be read.", cap::row_key(&update.name));
            return Err(table_unavailable(&message));
        };
        let granted = cap.is_some_and(|cap| cap.granted() != Size::ZERO);
        if update.after.is_none() && update.kind == Kind::Team && granted {
            return Err(validate::with_remedy(
                ProblemKind::Conflict,
                format!("Team {:?} still has work that runs.", update.name),
                "Cancel the work of the team, and delete the team once its tasks have ended.",
            ));
        }
        Ok(())
    }

    fn change(&self, update: &Update, revision: Revision, at_unix_ms: u64) -> Change {
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

    pub(super) fn written(
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
                self.change_written(context, change, result);
            }
            Stage::Barrier { tag: Some(own), change, .. } if *own == tag => {
                let change = change.clone();
                active.stage = match result {
                    Ok(()) => Stage::Unresolved { from: now, change },
                    Err(_) => Stage::Barrier { tag: None, from: now + REPEAT_INTERVAL, change },
                };
                self.proceed_update(context);
            }
            // The outcome of an entry of the audit trail or of a deletion of old rows.
            _ => {}
        }
    }

    fn change_written(
        &mut self,
        context: &mut Context,
        change: Change,
        result: Result<(), WriteFailure>,
    ) {
        match result {
            Ok(()) => self.committed(context, change),
            Err(WriteFailure::Conflict(_)) => self.repeat(context),
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
                self.proceed_update(context);
            }
        }
    }

    /// The change took effect.
    fn committed(&mut self, context: &mut Context, change: Change) {
        let Some(active) = self.active.take() else { return };
        let (revision, lowered) = (change.revision, cap::lowered(&change));
        self.cache.apply(change, context.now);
        // Where changes before it are missing here, the next poll reads them.
        self.hurry(context.now);
        if let Some(origin) = active.update.origin {
            self.wait_for_force(context, origin, revision, lowered);
        }
        self.proceed_update(context);
    }

    /// The change did not take effect, because another one came first.
    fn repeat(&mut self, context: &mut Context) {
        let now = context.now;
        let Some(active) = &mut self.active else { return };
        active.update.tries += 1;
        if active.update.origin.is_none() {
            self.active = None;
        } else if active.update.tries >= ATTEMPTS_MAX {
            let message = format!(
                "Nothing was changed: other changes came first {ATTEMPTS_MAX} times; the current revision is {}.",
                self.cache.revision()
            );
            return self.finish(context, Err(Problem::new(ProblemKind::Overloaded, message)));
        } else {
            active.stage = Stage::Pending { from: now };
        }
        self.proceed_update(context);
    }

    /// Ends the active update with an answer.
    fn finish(&mut self, context: &mut Context, result: Result<Reply, Problem>) {
        let origin = self.active.take().and_then(|active| active.update.origin);
        answer(context, origin, result);
        self.proceed_update(context);
    }

    /// The log row of an update with an unknown outcome was read.
    pub(super) fn resolved(
        &mut self,
        context: &mut Context,
        number: u64,
        rows: Option<(Rows, bool)>,
    ) {
        let Some(active) = &mut self.active else { return };
        let change = match &active.stage {
            Stage::Resolving { number: open, change } if *open == number => change.clone(),
            _ => return,
        };
        let Some((rows, _)) = rows else {
            let from = context.now + REPEAT_INTERVAL;
            active.stage = Stage::Unresolved { from, change };
            return;
        };
        match content::<Change>(&rows, &log_key(change.revision)) {
            Some(found) if found == change => self.committed(context, change),
            _ => self.repeat(context),
        }
    }

    /// Another source showed the change of a revision, which tells the outcome of an update of the same revision.
    pub(super) fn settle_by(&mut self, context: &mut Context, found: &Change) {
        let Some(active) = &self.active else { return };
        let open = match &active.stage {
            // The answer of `commit` is still to come.
            Stage::Writing { .. } => None,
            _ => active.change().filter(|change| change.revision == found.revision),
        };
        match open.cloned() {
            Some(change) if change == *found => self.committed(context, change),
            Some(_) => self.repeat(context),
            None => {}
        }
    }
}

/// The rows of a change: head, resource and log, and the cap of a team where it changes.
fn batch(tag: Tag, change: &Change, head: Head, cap_row: Option<&Row>, expires: Instant) -> Batch {
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

/// New value of the row of a team's cap, with the grants that exist; `None` where the row stays as it is.
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

/// A batch without rows: once it is written, no earlier transaction of this host can take effect any more.
fn barrier(tag: Tag) -> Batch {
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

fn unknown(revision: Revision) -> Problem {
    validate::with_remedy(
        ProblemKind::Unknown,
        format!(
            "The table service did not confirm the change in time; it may be revision {revision}."
        ),
        "Read the resource again, and repeat the change with its current revision if it is missing.",
    )
}
