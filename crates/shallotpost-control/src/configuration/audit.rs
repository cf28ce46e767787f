//! The audit trail: the log of changes, the refused changes, and the deletion of old rows.

use shallotpost_protocol::identity::NAME_LENGTH_MAX;
use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply, Request};
use shallotpost_protocol::resource::{Change, Kind, LOG_PREFIX, RefusedChange, log_key};
use shallotpost_protocol::table::{self, Write};

use super::update::json;
use super::{Read, Rows, State, table_unavailable};
use crate::message::Batch;
use crate::prelude::*;
use crate::settings::lease_expiry_bound;

/// Prefix of the rows of refused changes.
pub const REFUSED_PREFIX: &str = "audit/refused/";

/// Refused changes that are recorded in a row; further ones are only counted.
pub const REFUSED_BURST: u32 = 20;

/// Time after which one more refused change is recorded.
pub const REFUSED_INTERVAL: Duration = Duration::from_secs(1);

/// Time that the record of a refused change may wait for its commit.
const RECORD_TIME: Duration = Duration::from_secs(60);

/// Log rows that are kept.
pub const LOG_ROWS_KEPT: u64 = 100_000;

/// Time that refused changes are kept, in milliseconds: 30 days.
pub const REFUSED_KEPT_MS: u64 = 30 * 24 * 3600 * 1000;

/// Interval of deletions of old rows.
pub const TRIM_INTERVAL: Duration = Duration::from_secs(60);

/// Rows that one deletion covers. At 23,000 changes per day, 16 per interval would do.
const TRIM_ROWS: usize = 100;

/// Sorts after each digit and separator of a key.
const AFTER_ALL: &str = "~";

/// Limits how many refused changes are recorded.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Moment at which the burst is available in full again.
    full: Option<Instant>,
    sequence: u64,
    suppressed: u64,
}

impl Recorder {
    /// Number of the next record; `None` where the limit is reached.
    fn next(&mut self, now: Instant) -> Option<u64> {
        let full = self.full.map_or(now, |full| full.max(now)) + REFUSED_INTERVAL;
        if full > now + REFUSED_INTERVAL * REFUSED_BURST {
            self.suppressed += 1;
            return None;
        }
        self.full = Some(full);
        self.sequence += 1;
        Some(self.sequence)
    }
}

/// A page of the audit trail that is being read.
#[derive(Debug)]
pub struct Page {
    origin: Origin,
    limit: usize,
    from: Revision,
    changes: Vec<Change>,
    refused: Vec<RefusedChange>,
    /// Refused changes after this time, in milliseconds since the Unix epoch, ...
    after_ms: Option<u64>,
    /// ... up to this time.
    until_ms: u64,
    step: Step,
}

/// Steps of reading a page.
#[derive(Clone, Debug)]
enum Step {
    /// The changes.
    Log,
    /// The next entry host with refused changes, after this key.
    NextHost(String),
    /// The refused changes of an entry host.
    Refused(HostId),
}

/// Old rows that are being looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trim {
    /// Of the log.
    Log,
    /// Of the refused changes of this host.
    Refused,
}

impl State {
    /// Records a change that was refused because of the key.
    pub(super) fn record_refusal(
        &mut self,
        context: &mut Context,
        who: &str,
        request: &Request,
        problem: &Problem,
    ) {
        match request {
            Request::Put { name, resource, dry_run: false, .. } => {
                self.record(context, who, resource.kind(), name, problem)
            }
            Request::Delete { kind, name, dry_run: false, .. } => {
                self.record(context, who, *kind, name, problem)
            }
            _ => {}
        }
    }

    /// Records a refused change. The message of a problem holds no secret, and the content is left out.
    pub(super) fn record(
        &mut self,
        context: &mut Context,
        who: &str,
        kind: Kind,
        name: &str,
        problem: &Problem,
    ) {
        let Some(sequence) = self.recorder.next(context.now) else {
            let fields = vec![("suppressed", self.recorder.suppressed.to_string())];
            return context.log(Level::Warn, "refused changes are not all recorded", fields);
        };
        let refused = RefusedChange {
            who: who.to_owned(),
            host: self.host.clone(),
            at_unix_ms: context.unix_ms,
            kind,
            name: name.chars().take(NAME_LENGTH_MAX).collect(),
            reason: format!("{}: {}", problem.kind, problem.message),
        };
        let key = format!("{}{:020}-{sequence:08}", self.refused_prefix(), context.unix_ms);
        let expires = Some(context.now + RECORD_TIME);
        self.write(context, vec![Write { key, value: json(&refused) }], expires);
    }

    fn refused_prefix(&self) -> String {
        format!("{REFUSED_PREFIX}{}/", self.host)
    }

    /// Writes rows without conditions; nothing waits for the outcome.
    fn write(&mut self, context: &mut Context, writes: Vec<Write>, expires: Option<Instant>) {
        let tag = self.next_tag();
        let reply_to = ServiceName::Configuration;
        let batch = Batch { reply_to, tag, checks: Vec::new(), writes, expires };
        context.send(ServiceName::Commit, Message::Write(batch));
    }

    /// Starts reading a page of the audit trail.
    pub(super) fn audit(
        &mut self,
        context: &mut Context,
        origin: Origin,
        from: Revision,
        limit: usize,
    ) {
        let page = Page {
            origin,
            limit: limit.clamp(1, PAGE_LIMIT_MAX),
            from,
            changes: Vec::new(),
            refused: Vec::new(),
            after_ms: None,
            until_ms: u64::MAX,
            step: Step::Log,
        };
        self.read_audit(context, page);
    }

    fn read_audit(&mut self, context: &mut Context, page: Page) {
        let (prefix, after, limit) = match &page.step {
            // The change of the revision itself tells the time after which refused changes belong to this page.
            Step::Log => {
                let before = page.from.checked_sub(1).map(log_key).unwrap_or_default();
                (LOG_PREFIX.to_owned(), before, page.limit + 1)
            }
            Step::NextHost(after) => (REFUSED_PREFIX.to_owned(), after.clone(), 1),
            Step::Refused(host) => {
                let prefix = format!("{REFUSED_PREFIX}{host}/");
                let after = page.after_ms.map(|after| format!("{prefix}{after:020}{AFTER_ALL}"));
                (prefix, after.unwrap_or_default(), page.limit)
            }
        };
        self.read(context, Read::Audit(page), table::Request::Scan { prefix, after, limit });
    }

    pub(super) fn audit_step(
        &mut self,
        context: &mut Context,
        mut page: Page,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, more)) = rows else {
            let message = "The audit trail cannot be read: the table service does not answer.";
            return context.answer(page.origin, Err(table_unavailable(message)));
        };
        match page.step.clone() {
            Step::Log => page.take_changes(&rows, more),
            Step::NextHost(_) => match rows.first().and_then(|row| host_of(&row.key)) {
                Some(host) => page.step = Step::Refused(host),
                None => return page.answer(context),
            },
            Step::Refused(host) => {
                let refused = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
                let until = page.until_ms;
                page.refused
                    .extend(refused.filter(|refused: &RefusedChange| refused.at_unix_ms <= until));
                page.step = Step::NextHost(format!("{REFUSED_PREFIX}{host}/{AFTER_ALL}"));
            }
        }
        self.read_audit(context, page);
    }

    /// Deletes old rows in small batches: of the log at one host, of the refused changes at the host that wrote them.
    pub(super) fn trim_if_due(&mut self, context: &mut Context) {
        let now = context.now;
        let is_due = self.trimmed.is_none_or(|trimmed| now >= trimmed + TRIM_INTERVAL);
        if !is_due || !self.cache.loaded || self.stopping {
            return;
        }
        self.trimmed = Some(now);
        if self.cache.revision() > LOG_ROWS_KEPT && self.is_first_host(now) {
            self.read_trim(context, Trim::Log, LOG_PREFIX.to_owned());
        }
        if self.recorder.sequence > 0 {
            self.read_trim(context, Trim::Refused, self.refused_prefix());
        }
    }

    fn read_trim(&mut self, context: &mut Context, trim: Trim, prefix: String) {
        let request = table::Request::Scan { prefix, after: String::new(), limit: TRIM_ROWS };
        self.read(context, Read::Trim(trim), request);
    }

    /// Whether this host has the first name of all live hosts.
    fn is_first_host(&self, now: Instant) -> bool {
        let is_live = |changed: Instant| now < changed + lease_expiry_bound(self.lease);
        let live = self.fleet.peers.iter().filter(|peer| peer.row_changed_at.is_some_and(is_live));
        live.map(|peer| &peer.host).all(|host| self.host < *host)
    }

    pub(super) fn trim_step(
        &mut self,
        context: &mut Context,
        trim: Trim,
        rows: Option<(Rows, bool)>,
    ) {
        let bound = match trim {
            Trim::Log => log_key((self.cache.revision() + 1).saturating_sub(LOG_ROWS_KEPT)),
            Trim::Refused => {
                let oldest = context.unix_ms.saturating_sub(REFUSED_KEPT_MS);
                format!("{}{oldest:020}", self.refused_prefix())
            }
        };
        let rows = rows.map(|(rows, _)| rows).unwrap_or_default();
        let old = rows.into_iter().filter(|row| row.key < bound);
        let writes: Vec<Write> = old.map(|row| Write { key: row.key, value: None }).collect();
        if !writes.is_empty() {
            self.write(context, writes, Some(context.now + TRIM_INTERVAL));
        }
    }
}

impl Page {
    fn take_changes(&mut self, rows: &Rows, more: bool) {
        let changes = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
        let (known, mut newer): (Vec<Change>, Vec<Change>) =
            changes.partition(|change: &Change| change.revision <= self.from);
        let is_cut = more || newer.len() > self.limit;
        newer.truncate(self.limit);
        self.after_ms = known.last().map(|change| change.at_unix_ms);
        if let Some(last) = newer.last().filter(|_| is_cut) {
            self.until_ms = last.at_unix_ms;
        }
        self.changes = newer;
        self.step = Step::NextHost(String::new());
    }

    fn answer(mut self, context: &mut Context) {
        self.refused.sort_by(|left, right| {
            (left.at_unix_ms, &left.host).cmp(&(right.at_unix_ms, &right.host))
        });
        self.refused.truncate(self.limit);
        let reply = Reply::Audit { changes: self.changes, refused: self.refused };
        context.answer(self.origin, Ok(reply));
    }
}

/// Entry host in the key of a refused change.
fn host_of(key: &str) -> Option<HostId> {
    let (host, _) = key.strip_prefix(REFUSED_PREFIX)?.split_once('/')?;
    Some(host.to_owned())
}
