//! The audit trail: the log of changes, the records of refused changes, and the deletion of old rows.

use shallotpost_protocol::identity::NAME_LENGTH_MAX;
use shallotpost_protocol::interface::{PAGE_LIMIT_MAX, Reply, Request};
use shallotpost_protocol::resource::{Change, Kind, LOG_PREFIX, RefusedChange, log_key};
use shallotpost_protocol::table::{self, Write};

use super::update::json;
use super::{Read, Rows, State, table_unavailable};
use crate::message::Batch;
use crate::prelude::*;
use crate::settings::lease_expiry_bound;

pub const REFUSED_PREFIX: &str = "audit/refused/";

/// Maximum number of refused changes recorded in a burst; further ones are only counted.
pub const REFUSED_BURST: u32 = 20;

/// Interval at which one more refused change may be recorded after a burst.
pub const REFUSED_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time that the record of a refused change waits in the write queue.
const RECORD_EXPIRY: Duration = Duration::from_secs(60);

pub const LOG_ROWS_KEPT: u64 = 100_000;

/// Retention of refused changes in milliseconds: 30 days.
pub const REFUSED_KEPT_MS: u64 = 30 * 24 * 3600 * 1000;

/// Interval between deletions of old rows.
pub const TRIM_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of rows read by one deletion. 16 per interval would suffice for 23,000 changes per day.
const TRIM_ROWS: usize = 100;

/// Sorts after every digit and separator in a key.
const KEY_RANGE_END: &str = "~";

/// Rate limiter for the records of refused changes; also numbers them.
#[derive(Debug, Default)]
pub struct RefusalLimiter {
    /// When the full burst is available again.
    full_at: Option<Instant>,
    sequence: u64,
    suppressed: u64,
}

impl RefusalLimiter {
    /// Returns the sequence number of the next record, or `None` if the limit is reached.
    fn next_sequence(&mut self, now: Instant) -> Option<u64> {
        let full_at = self.full_at.map_or(now, |full_at| full_at.max(now)) + REFUSED_INTERVAL;
        if full_at > now + REFUSED_INTERVAL * REFUSED_BURST {
            self.suppressed += 1;
            return None;
        }
        self.full_at = Some(full_at);
        self.sequence += 1;
        Some(self.sequence)
    }
}

/// State of reading a page of the audit trail.
#[derive(Debug)]
pub struct Page {
    origin: Origin,
    limit: usize,
    from: Revision,
    changes: Vec<Change>,
    refused: Vec<RefusedChange>,
    /// Only refused changes after this time belong to the page. In milliseconds since the Unix epoch; `None` for no
    /// limit.
    after_ms: Option<u64>,
    /// Only refused changes up to this time belong to the page. In milliseconds since the Unix epoch.
    until_ms: u64,
    step: Step,
}

/// What a page reads next.
#[derive(Clone, Debug)]
enum Step {
    /// The log of changes.
    Log,
    /// The next host with refused changes, after this key.
    NextHost(String),
    Refused(HostId),
}

/// Kind of rows whose oldest are deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trim {
    Log,
    /// Refused changes that this host recorded.
    Refused,
}

impl State {
    /// Records a request that the key does not permit, if it is a change.
    pub(super) fn record_forbidden(
        &mut self,
        context: &mut Context,
        who: &str,
        request: &Request,
        problem: &Problem,
    ) {
        match request {
            Request::Put { name, resource, dry_run: false, .. } => {
                self.record_refused_change(context, who, resource.kind(), name, problem)
            }
            Request::Delete { kind, name, dry_run: false, .. } => {
                self.record_refused_change(context, who, *kind, name, problem)
            }
            _ => {}
        }
    }

    /// Records a refused change, unless the limit is reached. The message of a problem holds no secret; the content of
    /// the change is omitted.
    pub(super) fn record_refused_change(
        &mut self,
        context: &mut Context,
        who: &str,
        kind: Kind,
        name: &str,
        problem: &Problem,
    ) {
        let Some(sequence) = self.refusal_limiter.next_sequence(context.now) else {
            let fields = vec![("suppressed", self.refusal_limiter.suppressed.to_string())];
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
        let expires = Some(context.now + RECORD_EXPIRY);
        self.write_unchecked(context, vec![Write { key, value: json(&refused) }], expires);
    }

    fn refused_prefix(&self) -> String {
        format!("{REFUSED_PREFIX}{}/", self.host)
    }

    /// Writes rows without checks; the outcome is ignored.
    fn write_unchecked(
        &mut self,
        context: &mut Context,
        writes: Vec<Write>,
        expires: Option<Instant>,
    ) {
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
            // The read includes the change of `from` itself, whose time is the lower limit for refused changes.
            Step::Log => {
                let before = page.from.checked_sub(1).map(log_key).unwrap_or_default();
                (LOG_PREFIX.to_owned(), before, page.limit + 1)
            }
            Step::NextHost(after) => (REFUSED_PREFIX.to_owned(), after.clone(), 1),
            Step::Refused(host) => {
                let prefix = format!("{REFUSED_PREFIX}{host}/");
                let after =
                    page.after_ms.map(|after| format!("{prefix}{after:020}{KEY_RANGE_END}"));
                (prefix, after.unwrap_or_default(), page.limit)
            }
        };
        self.read(context, Read::Audit(page), table::Request::Scan { prefix, after, limit });
    }

    pub(super) fn on_audit_read(
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
            Step::Log => page.add_changes(&rows, more),
            Step::NextHost(_) => match rows.first().and_then(|row| host_of(&row.key)) {
                Some(host) => page.step = Step::Refused(host),
                None => return page.answer(context),
            },
            Step::Refused(host) => {
                let refused = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
                let until = page.until_ms;
                page.refused
                    .extend(refused.filter(|refused: &RefusedChange| refused.at_unix_ms <= until));
                page.step = Step::NextHost(format!("{REFUSED_PREFIX}{host}/{KEY_RANGE_END}"));
            }
        }
        self.read_audit(context, page);
    }

    /// Deletes old rows in small batches. One host deletes rows of the log; each host deletes the refused changes that
    /// it recorded.
    pub(super) fn trim_if_due(&mut self, context: &mut Context) {
        let now = context.now;
        let is_due = self.last_trim.is_none_or(|trimmed| now >= trimmed + TRIM_INTERVAL);
        if !is_due || !self.cache.loaded || self.stopping {
            return;
        }
        self.last_trim = Some(now);
        if self.cache.revision() > LOG_ROWS_KEPT && self.is_first_host(now) {
            self.read_trim(context, Trim::Log, LOG_PREFIX.to_owned());
        }
        if self.refusal_limiter.sequence > 0 {
            self.read_trim(context, Trim::Refused, self.refused_prefix());
        }
    }

    fn read_trim(&mut self, context: &mut Context, trim: Trim, prefix: String) {
        let request = table::Request::Scan { prefix, after: String::new(), limit: TRIM_ROWS };
        self.read(context, Read::Trim(trim), request);
    }

    /// Whether this host has the lowest name of all live hosts.
    fn is_first_host(&self, now: Instant) -> bool {
        let is_live = |changed: Instant| now < changed + lease_expiry_bound(self.lease);
        let live =
            self.peer_list.peers.iter().filter(|peer| peer.row_changed_at.is_some_and(is_live));
        live.map(|peer| &peer.host).all(|host| self.host < *host)
    }

    pub(super) fn on_trim_read(
        &mut self,
        context: &mut Context,
        trim: Trim,
        rows: Option<(Rows, bool)>,
    ) {
        let first_kept = match trim {
            Trim::Log => log_key((self.cache.revision() + 1).saturating_sub(LOG_ROWS_KEPT)),
            Trim::Refused => {
                let oldest = context.unix_ms.saturating_sub(REFUSED_KEPT_MS);
                format!("{}{oldest:020}", self.refused_prefix())
            }
        };
        let rows = rows.map(|(rows, _)| rows).unwrap_or_default();
        let old = rows.into_iter().filter(|row| row.key < first_kept);
        let writes: Vec<Write> = old.map(|row| Write { key: row.key, value: None }).collect();
        if !writes.is_empty() {
            self.write_unchecked(context, writes, Some(context.now + TRIM_INTERVAL));
        }
    }
}

impl Page {
    fn add_changes(&mut self, rows: &Rows, more: bool) {
        let changes = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
        let (earlier, mut newer): (Vec<Change>, Vec<Change>) =
            changes.partition(|change: &Change| change.revision <= self.from);
        let is_truncated = more || newer.len() > self.limit;
        newer.truncate(self.limit);
        self.after_ms = earlier.last().map(|change| change.at_unix_ms);
        if let Some(last) = newer.last().filter(|_| is_truncated) {
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

/// Returns the host in the key of a refused change.
fn host_of(key: &str) -> Option<HostId> {
    let (host, _) = key.strip_prefix(REFUSED_PREFIX)?.split_once('/')?;
    Some(host.to_owned())
}
