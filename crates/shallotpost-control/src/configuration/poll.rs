//! Following the table, and peers where the table cannot be reached.

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

/// Interval of the reads of `config/head`.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest interval of reads that a peer with a newer revision causes.
const HURRIED_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of `AskChanges`.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer after which the table counts as slow, so that peers are asked for changes.
const SLOW_READ: Duration = Duration::from_millis(500);

/// Changes that each poll asks for beyond the known revision. At 0.27 changes per second, more than 4 per poll are rare.
const AHEAD: u64 = 4;

/// Changes that a poll asks for where more were missing than [`AHEAD`].
const AHEAD_MAX: u64 = 100;

/// State of the polls.
#[derive(Debug)]
pub struct Polls {
    retry: Retry,
    random: StdRng,
    /// Earliest moment of the next read.
    next: Option<Instant>,
    /// Moment of the read that is on its way.
    open: Option<Instant>,
    /// Moment of the last read.
    sent: Option<Instant>,
    /// Whether all resources must be read.
    reload: bool,
    ahead: u64,
    asked: Option<Instant>,
    /// Whether the lower revision of the table was logged.
    reported: bool,
}

impl Polls {
    /// Polls that start with reading all resources.
    pub fn new(seed: u64) -> Polls {
        Polls {
            retry: Retry::new(seed),
            random: StdRng::seed_from_u64(seed),
            next: None,
            open: None,
            sent: None,
            reload: true,
            ahead: AHEAD,
            asked: None,
            reported: false,
        }
    }

    fn is_slow(&self, now: Instant) -> bool {
        self.retry.consecutive_failures() > 0
            || self.open.is_some_and(|sent| now >= sent + SLOW_READ)
    }

    fn succeeded(&mut self, next: Instant) {
        self.retry.record_success();
        self.open = None;
        self.next = Some(next);
    }

    fn failed(&mut self, now: Instant) {
        let interval = self.sent.map_or(now, |sent| sent + POLL_INTERVAL);
        self.open = None;
        self.next = Some(self.retry.record_failure(now).max(interval));
    }
}

/// One read of the head.
#[derive(Debug)]
pub struct Poll {
    sent: Instant,
    /// Revisions whose changes were asked for.
    asked: Range<Revision>,
}

/// A step of reading all resources: the head, the resources in pages, and the head again.
#[derive(Debug)]
pub struct Load {
    step: Step,
    sent: Instant,
    /// Revision before the first page.
    before: Revision,
    entries: Vec<Entry>,
}

/// Steps of [`Load`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    HeadBefore,
    Page,
    HeadAfter,
}

/// The row `config/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Current revision; 0 where the row does not exist.
    pub revision: Revision,
    /// Version of the row, for the check of an update.
    pub version: Option<Version>,
}

/// The head among these rows; `None` where it cannot be read.
fn head(rows: &Rows) -> Option<Head> {
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
        if self.polls.open.is_some() || self.polls.next.is_some_and(|next| now < next) {
            return;
        }
        self.polls.open = Some(now);
        self.polls.sent = Some(now);
        if self.polls.reload {
            let load = Load { step: Step::HeadBefore, sent: now, before: 0, entries: Vec::new() };
            return self.send_load(context, load);
        }
        let first = self.cache.revision() + 1;
        let asked = first..first + self.polls.ahead;
        let request = self.head_request(self.polls.ahead, &[]);
        self.read(context, Read::Poll(Poll { sent: now, asked }), request);
    }

    /// Reads the head, the next changes and further keys, in one snapshot.
    pub(super) fn head_request(&self, ahead: u64, further: &[String]) -> Request {
        let first = self.cache.revision() + 1;
        let log = (first..first + ahead).map(log_key);
        let head = std::iter::once(HEAD_KEY.to_owned());
        Request::Read { keys: head.chain(log).chain(further.iter().cloned()).collect() }
    }

    pub(super) fn polled(&mut self, context: &mut Context, poll: Poll, rows: Option<(Rows, bool)>) {
        let Some((rows, _)) = rows else { return self.polls.failed(context.now) };
        self.polls.succeeded(poll.sent + POLL_INTERVAL);
        let before = self.cache.revision();
        let head = self.absorb(context, poll.sent, &rows);
        let behind = head.is_some_and(|head| head.revision > self.cache.revision());
        self.polls.ahead = if behind { AHEAD_MAX } else { AHEAD };
        if behind {
            // Log rows are deleted when they are old. The resources themselves are the only source then.
            let missing = self.cache.revision() == before && poll.asked.contains(&(before + 1));
            self.polls.reload = missing;
            self.polls.next = Some(context.now);
        }
    }

    /// Polls at once.
    pub(super) fn hurry(&mut self, now: Instant) {
        self.polls.next = Some(now);
    }

    /// Applies what a read of the head shows, and confirms the revision where it is the current one.
    pub(super) fn absorb(
        &mut self,
        context: &mut Context,
        sent: Instant,
        rows: &Rows,
    ) -> Option<Head> {
        let Some(head) = head(rows) else {
            context.log(Level::Error, "config/head cannot be read", Vec::new());
            return None;
        };
        for revision in self.cache.revision() + 1..=head.revision {
            let Some(change) = content::<Change>(rows, &log_key(revision)) else { break };
            self.apply(context, change);
        }
        if head.revision == self.cache.revision() {
            self.polls.reported = false;
            self.confirm(context, sent);
        } else if head.revision < self.cache.revision() {
            self.report_lower(context, sent, head.revision);
        }
        Some(head)
    }

    /// A read that was sent before the last change may show less than is known. A later one must not.
    fn report_lower(&mut self, context: &mut Context, sent: Instant, revision: Revision) {
        let late = self.cache.changed().is_some_and(|changed| sent <= changed);
        if late || std::mem::replace(&mut self.polls.reported, true) {
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
        self.polls.open = Some(context.now);
        self.read(context, Read::Load(Load { sent: context.now, ..load }), request);
    }

    pub(super) fn load_step(
        &mut self,
        context: &mut Context,
        mut load: Load,
        rows: Option<(Rows, bool)>,
    ) {
        let Some((rows, more)) = rows else { return self.polls.failed(context.now) };
        match (load.step, head(&rows)) {
            (Step::HeadBefore, Some(head)) => {
                load.before = head.revision;
                load.step = Step::Page;
                self.send_load(context, load);
            }
            (Step::Page, _) => {
                let entries: Option<Vec<Entry>> =
                    rows.iter().map(|row| serde_json::from_str(&row.value).ok()).collect();
                let Some(entries) = entries else { return self.unreadable(context) };
                load.entries.extend(entries);
                load.step = if more { Step::Page } else { Step::HeadAfter };
                self.send_load(context, load);
            }
            (Step::HeadAfter, Some(head)) if head.revision == load.before => {
                self.loaded(context, load)
            }
            // A change was committed while the pages were read.
            (Step::HeadAfter, Some(_)) => self.polls.succeeded(context.now),
            (_, None) => self.unreadable(context),
        }
    }

    fn unreadable(&mut self, context: &mut Context) {
        context.log(Level::Error, "a configuration row cannot be read", Vec::new());
        self.polls.failed(context.now);
    }

    fn loaded(&mut self, context: &mut Context, load: Load) {
        self.polls.succeeded(load.sent + POLL_INTERVAL);
        self.polls.reload = false;
        let key = |entry: &Entry| (entry.resource.kind(), entry.name.clone());
        let entries: BTreeMap<_, _> =
            load.entries.into_iter().map(|entry| (key(&entry), entry)).collect();
        self.cache.load(Snapshot { revision: load.before, entries }, context.now);
        if self.cache.revision() == load.before {
            self.confirm(context, load.sent);
        }
    }

    /// Uses what the peers' answers tell.
    pub(super) fn follow_peers(&mut self, context: &mut Context) {
        self.confirm_by_peers(context);
        let now = context.now;
        let revision = self.cache.revision();
        let newer = |peer: &&crate::membership::Peer| {
            peer.last_pong.as_ref().is_some_and(|(_, pong)| pong.revision > revision)
        };
        let newer: Vec<HostId> =
            self.fleet.peers.iter().filter(newer).map(|peer| peer.host.clone()).collect();
        if newer.is_empty() {
            return;
        }
        if !self.polls.is_slow(now) {
            let hurried = self.polls.sent.map_or(now, |sent| sent + HURRIED_INTERVAL);
            self.polls.next = self.polls.next.map(|next| next.min(hurried));
        } else if self.polls.asked.is_none_or(|asked| now >= asked + ASK_INTERVAL) {
            self.polls.asked = Some(now);
            // A random one, so that a peer that does not answer is not asked each time.
            let to = newer[self.polls.random.random_range(0..newer.len())].clone();
            let frame = Frame::AskChanges { from: revision };
            context.send(ServiceName::Membership, Message::SendFrame { to, frame });
        }
    }
}
