//! Polling of the table for configuration changes, with peers as a fallback while the table is slow or unreachable.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_protocol::resource::{Change, Entry, HEAD_KEY, RESOURCE_PREFIX, log_key};
use shallotpost_protocol::table::{Request, SCAN_LIMIT_MAX, Version};
use shallotpost_protocol::wire::Frame;

use super::{Read, Rows, Snapshot, State, content};
use crate::commit::retry::Retry;
use crate::prelude::*;

/// Interval between reads of `config/head`.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between reads if a peer reports a newer revision.
const EARLY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between `AskChanges` frames.
const ASK_CHANGES_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a result after which the table counts as slow and peers are asked for changes.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(500);

/// Number of changes after the applied revision that a poll reads. At 0.27 changes per second, more than 4 per poll are
/// rare.
const READ_AHEAD: u64 = 4;

/// Number of changes that a poll reads after a poll that left this host behind.
const CATCH_UP_READ_AHEAD: u64 = 100;

#[derive(Debug)]
pub struct Poller {
    retry: Retry,
    random: StdRng,
    /// Earliest time of the next read; `None` if it is due immediately.
    next: Option<Instant>,
    /// When the read in flight was sent; `None` if there is none.
    in_flight: Option<Instant>,
    last_sent: Option<Instant>,
    /// Whether the next poll must read all resources.
    reload: bool,
    read_ahead: u64,
    /// When a peer was last asked for changes.
    last_asked: Option<Instant>,
    /// Whether the current decrease of the table's revision has been logged.
    decrease_logged: bool,
}

impl Poller {
    /// Returns a poller that first reads all resources.
    pub fn new(seed: u64) -> Poller {
        Poller {
            retry: Retry::new(seed),
            random: StdRng::seed_from_u64(seed),
            next: None,
            in_flight: None,
            last_sent: None,
            reload: true,
            read_ahead: READ_AHEAD,
            last_asked: None,
            decrease_logged: false,
        }
    }

    fn is_slow(&self, now: Instant) -> bool {
        self.retry.consecutive_failures() > 0
            || self.in_flight.is_some_and(|sent| now >= sent + SLOW_READ_THRESHOLD)
    }

    fn record_success(&mut self, next: Instant) {
        self.retry.record_success();
        self.in_flight = None;
        self.next = Some(next);
    }

    fn record_failure(&mut self, now: Instant) {
        let earliest = self.last_sent.map_or(now, |sent| sent + POLL_INTERVAL);
        self.in_flight = None;
        self.next = Some(self.retry.record_failure(now).max(earliest));
    }
}

/// A read of the head and the changes that follow the applied revision.
#[derive(Debug)]
pub struct Poll {
    sent: Instant,
    /// Revisions whose changes are read.
    requested: Range<Revision>,
}

/// A read of all resources: the head, the resources in pages, and the head again, to detect changes meanwhile.
#[derive(Debug)]
pub struct Load {
    step: Step,
    sent: Instant,
    /// Revision of the head before the first page.
    revision: Revision,
    entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    HeadBefore,
    Page,
    HeadAfter,
}

/// The row `config/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Current revision; 0 if the row does not exist.
    pub revision: Revision,
    /// Version of the row, for the check of an update; `None` if the row does not exist.
    pub version: Option<Version>,
}

/// Returns the head from rows that were read with its key, or `None` if it cannot be parsed.
fn parse_head(rows: &Rows) -> Option<Head> {
    match rows.iter().find(|row| row.key == HEAD_KEY) {
        Some(row) => {
            let revision = serde_json::from_str(&row.value).ok()?;
            Some(Head { revision, version: Some(row.version) })
        }
        None => Some(Head { revision: 0, version: None }),
    }
}

impl State {
    pub(super) fn poll_if_due(&mut self, context: &mut Context) {
        let now = context.now;
        if self.poller.in_flight.is_some() || self.poller.next.is_some_and(|next| now < next) {
            return;
        }
        self.poller.in_flight = Some(now);
        self.poller.last_sent = Some(now);
        if self.poller.reload {
            let load = Load { step: Step::HeadBefore, sent: now, revision: 0, entries: Vec::new() };
            return self.send_load(context, load);
        }
        let first = self.cache.revision() + 1;
        let requested = first..first + self.poller.read_ahead;
        let request = self.head_request(self.poller.read_ahead, &[]);
        self.read(context, Read::Poll(Poll { sent: now, requested }), request);
    }

    /// Returns a request that reads the head, the next `read_ahead` changes and `extra_keys` atomically.
    pub(super) fn head_request(&self, read_ahead: u64, extra_keys: &[String]) -> Request {
        let first = self.cache.revision() + 1;
        let log = (first..first + read_ahead).map(log_key);
        let head = std::iter::once(HEAD_KEY.to_owned());
        Request::Read { keys: head.chain(log).chain(extra_keys.iter().cloned()).collect() }
    }

    pub(super) fn on_poll(
        &mut self,
        context: &mut Context,
        poll: Poll,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, _)) = rows else { return self.poller.record_failure(context.now) };
        self.poller.record_success(poll.sent + POLL_INTERVAL);
        let before = self.cache.revision();
        let head = self.apply_head_read(context, poll.sent, &rows);
        let is_behind = head.is_some_and(|head| head.revision > self.cache.revision());
        self.poller.read_ahead = if is_behind { CATCH_UP_READ_AHEAD } else { READ_AHEAD };
        if is_behind {
            // Old log rows are deleted. If the next change is missing, all resources must be read.
            let next_change_is_missing =
                self.cache.revision() == before && poll.requested.contains(&(before + 1));
            self.poller.reload = next_change_is_missing;
            self.poller.next = Some(context.now);
        }
    }

    pub(super) fn poll_now(&mut self, now: Instant) {
        self.poller.next = Some(now);
    }

    /// Applies the changes in the rows of a head read, and confirms the applied revision if it is current. `sent` is
    /// the time before the read was sent. Returns `None` if the head cannot be parsed.
    pub(super) fn apply_head_read(
        &mut self,
        context: &mut Context,
        sent: Instant,
        rows: &Rows,
    ) -> Option<Head> {
        let Some(head) = parse_head(rows) else {
            context.log(Level::Error, "config/head cannot be read", Vec::new());
            return None;
        };
        for revision in self.cache.revision() + 1..=head.revision {
            let Some(change) = content::<Change>(rows, &log_key(revision)) else { break };
            self.apply(context, change);
        }
        if head.revision == self.cache.revision() {
            self.poller.decrease_logged = false;
            self.confirm(context, sent);
        } else if head.revision < self.cache.revision() {
            self.log_decrease(context, sent, head.revision);
        }
        Some(head)
    }

    /// Logs once that the table shows a lower revision than this host applies. Ignores reads that were sent before the
    /// last change, which may be older.
    fn log_decrease(&mut self, context: &mut Context, sent: Instant, revision: Revision) {
        let is_outdated = self.cache.changed_at().is_some_and(|changed_at| sent <= changed_at);
        if is_outdated || std::mem::replace(&mut self.poller.decrease_logged, true) {
            return;
        }
        let fields =
            vec![("applied", self.cache.revision().to_string()), ("head", revision.to_string())];
        context.log(Level::Error, "config/head shows a lower revision than is applied", fields);
    }

    fn send_load(&mut self, context: &mut Context, load: Load) {
        let request = match load.step {
            Step::HeadBefore | Step::HeadAfter => Request::Read { keys: vec![HEAD_KEY.to_owned()] },
            Step::Page => Request::Scan {
                prefix: RESOURCE_PREFIX.to_owned(),
                after: load
                    .entries
                    .last()
                    .map(|entry| {
                        shallotpost_protocol::resource::row_key(entry.resource.kind(), &entry.name)
                    })
                    .unwrap_or_default(),
                limit: SCAN_LIMIT_MAX,
            },
        };
        self.poller.in_flight = Some(context.now);
        self.read(context, Read::Load(Load { sent: context.now, ..load }), request);
    }

    pub(super) fn on_load_read(
        &mut self,
        context: &mut Context,
        mut load: Load,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, more)) = rows else { return self.poller.record_failure(context.now) };
        match (load.step, parse_head(&rows)) {
            (Step::HeadBefore, Some(head)) => {
                load.revision = head.revision;
                load.step = Step::Page;
                self.send_load(context, load);
            }
            (Step::Page, _) => {
                let entries: Option<Vec<Entry>> =
                    rows.iter().map(|row| serde_json::from_str(&row.value).ok()).collect();
                let Some(entries) = entries else { return self.fail_load(context) };
                load.entries.extend(entries);
                load.step = if more { Step::Page } else { Step::HeadAfter };
                self.send_load(context, load);
            }
            (Step::HeadAfter, Some(head)) if head.revision == load.revision => {
                self.finish_load(context, load)
            }
            // A change was committed while the pages were read, so the load starts again immediately.
            (Step::HeadAfter, Some(_)) => self.poller.record_success(context.now),
            (_, None) => self.fail_load(context),
        }
    }

    fn fail_load(&mut self, context: &mut Context) {
        context.log(Level::Error, "a configuration row cannot be read", Vec::new());
        self.poller.record_failure(context.now);
    }

    fn finish_load(&mut self, context: &mut Context, load: Load) {
        self.poller.record_success(load.sent + POLL_INTERVAL);
        self.poller.reload = false;
        let key = |entry: &Entry| (entry.resource.kind(), entry.name.clone());
        let entries: BTreeMap<_, _> =
            load.entries.into_iter().map(|entry| (key(&entry), entry)).collect();
        self.cache.load(Snapshot { revision: load.revision, entries }, context.now);
        if self.cache.revision() == load.revision {
            self.confirm(context, load.sent);
        }
    }

    /// Confirms the applied revision by the pongs of peers. If a peer reports a newer revision, polls the table early
    /// or, while the table is slow, asks such a peer for the changes.
    pub(super) fn on_peer_list(&mut self, context: &mut Context) {
        self.confirm_by_peers(context);
        let now = context.now;
        let revision = self.cache.revision();
        let newer = |peer: &&crate::membership::Peer| {
            peer.last_pong.as_ref().is_some_and(|(_, pong)| pong.revision > revision)
        };
        let newer: Vec<HostId> =
            self.peer_list.peers.iter().filter(newer).map(|peer| peer.host.clone()).collect();
        if newer.is_empty() {
            return;
        }
        if !self.poller.is_slow(now) {
            let earliest = self.poller.last_sent.map_or(now, |sent| sent + EARLY_POLL_INTERVAL);
            self.poller.next = self.poller.next.map(|next| next.min(earliest));
        } else if self.poller.last_asked.is_none_or(|asked| now >= asked + ASK_CHANGES_INTERVAL) {
            self.poller.last_asked = Some(now);
            // The peer is chosen at random, so that one that does not answer is not asked each time.
            let to = newer[self.poller.random.random_range(0..newer.len())].clone();
            let frame = Frame::AskChanges { from: revision };
            context.send(ServiceName::Membership, Message::SendFrame { to, frame });
        }
    }
}
