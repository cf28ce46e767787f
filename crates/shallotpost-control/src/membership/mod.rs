//! Membership: the peers of this host, their host rows, and the worker list of the platform.

mod peers;
mod rows;
pub(crate) mod scan;
mod workers;

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_protocol::host;
use shallotpost_protocol::table::{Check, Write};
use shallotpost_protocol::wire::{Frame, Load, Pong};

pub use rows::{HostRow, HostRows};

use crate::message::Batch;
use crate::prelude::*;
use crate::settings::lease_expiry_bound;
use peers::Peers;
use rows::Observations;
use scan::{CompletedScan, Scan};
use workers::WorkerListPoller;

/// Interval between scans of the host rows of this data centre.
pub const OWN_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between scans of all host rows, before jitter.
pub const ALL_SCAN_INTERVAL: Duration = Duration::from_secs(10);

/// Minimum interval between two `PeerList` messages.
pub const PEER_LIST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the row of a host that neither updates it nor answers pings is deleted.
pub const ROW_RETENTION: Duration = Duration::from_secs(600);

/// Interval between attempts to delete the same row, and maximum time that an attempt waits in the write queue.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);

/// Another entry host, as this host knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Address at which it accepts peer connections.
    pub peer_address: Address,
    /// 0 until the incarnation is known.
    pub incarnation: u64,
    /// Last `Pong`, with the time at which its `Ping` was sent.
    pub last_pong: Option<(Instant, shallotpost_protocol::wire::Pong)>,
    /// When its host row was last seen to change, by this host's clock; `None` before it was seen.
    pub row_changed_at: Option<Instant>,
    /// Configuration revision in its host row; 0 before the row was seen.
    pub applied_revision: Revision,
    /// Whether it has announced, in a `Pong` or its host row, that it is shutting down.
    pub draining: bool,
}

/// All known entry hosts except this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerList {
    /// Sorted by name.
    pub peers: Vec<Peer>,
}

/// State of this host that its `Pong` frames report.
#[derive(Debug, Default)]
struct Report {
    revision: Revision,
    confirmed: Option<Instant>,
    update_in_flight: bool,
    loads: Vec<Load>,
    draining: bool,
}

/// Service that follows the peers and the worker list.
pub struct Membership {
    state: Box<State>,
}

impl Membership {
    /// Returns a service that knows only the seeds.
    pub fn new(settings: &Settings) -> Membership {
        Membership { state: Box::new(State::new(settings)) }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message);
    }
}

struct State {
    host: HostId,
    data_centre: DataCentreId,
    incarnation: u64,
    expiry_bound: Duration,
    random: StdRng,
    own_scan: Scan,
    all_scan: Scan,
    rows: Observations,
    peers: Peers,
    workers: WorkerListPoller,
    report: Report,
    peers_changed: bool,
    peer_list_sent: Option<Instant>,
    /// Keys of the rows whose deletion was attempted, with the time of the last attempt.
    deletions: BTreeMap<String, Instant>,
    next_tag: Tag,
}

impl State {
    fn new(settings: &Settings) -> State {
        let mut random = StdRng::seed_from_u64(settings.random_seed);
        // Starts at a random number, so that a pong to an earlier incarnation of this host does not match a ping.
        let first_ping = u64::from(random.random::<u32>()) << 16;
        let own_prefix = host::prefix(&settings.data_centre);
        State {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: settings.incarnation,
            expiry_bound: lease_expiry_bound(settings.ownership_lease),
            random,
            own_scan: Scan::new(own_prefix, OWN_SCAN_INTERVAL, settings.table_timeout),
            all_scan: Scan::new(ALL_PREFIX.to_owned(), ALL_SCAN_INTERVAL, settings.table_timeout),
            rows: Observations::default(),
            peers: Peers::new(settings, first_ping),
            workers: WorkerListPoller::new(&settings.data_centre),
            report: Report::default(),
            peers_changed: true,
            peer_list_sent: None,
            deletions: BTreeMap::new(),
            next_tag: 0,
        }
    }

    fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Tick => self.tick(context),
            Message::Stop => self.report.draining = true,
            Message::TableResult { call, result } if self.own_scan.is_current_call(call) => {
                if let Some(scan) = self.own_scan.on_result(context, result) {
                    let prefix = host::prefix(&self.data_centre);
                    self.on_scan(context, &prefix, &scan);
                }
            }
            Message::TableResult { call, result } if self.all_scan.is_current_call(call) => {
                if let Some(scan) = self.all_scan.on_result(context, result) {
                    self.on_scan(context, ALL_PREFIX, &scan);
                }
            }
            Message::WorkerListResult { call, result } => {
                self.workers.on_result(context, call, result)
            }
            Message::PeerFrame { from, frame: Frame::Ping { number } } => {
                self.answer_ping(context, &from, number);
            }
            Message::PeerFrame { from, frame: Frame::Pong(pong) } => {
                self.peers_changed |= self.peers.on_pong(context.now, &from, pong);
            }
            Message::SendFrame { to, frame } => self.peers.send(context, &to, frame),
            Message::ConfigurationStatus { revision, confirmed, update_in_flight } => {
                self.report.revision = revision;
                self.report.confirmed = confirmed;
                self.report.update_in_flight = update_in_flight;
            }
            Message::ShardLoads(loads) => self.report.loads = loads,
            _ => {}
        }
        self.publish_peer_list(context);
    }

    fn tick(&mut self, context: &mut Context) {
        self.own_scan.poll(context, None);
        self.all_scan.poll(context, Some(&mut self.random));
        self.workers.poll(context);
        self.peers.send_pings(context);
    }

    fn on_scan(&mut self, context: &mut Context, prefix: &str, scan: &CompletedScan) {
        let now = context.now;
        let (own, expiry_bound) = (self.data_centre.as_str(), self.expiry_bound);
        let max_gap = |data_centre: &str| match data_centre == own {
            true => expiry_bound,
            false => ALL_SCAN_INTERVAL * 3,
        };
        let changed = self.rows.record(now, prefix, max_gap, scan);
        for host in changed.iter().filter(|row| row.host != self.host) {
            self.peers.on_row_change(now, host);
            self.peers_changed = true;
        }
        let rows = &self.rows;
        self.peers_changed |=
            self.peers.forget_absent(now, |peer| rows.get(&peer.data_centre, &peer.host).is_some());
        self.delete_stale_rows(context);
        self.schedule_expiry_scan(now);
        let rows = Rc::new(self.rows.in_data_centre(&self.data_centre, scan.started));
        context.send(ServiceName::Ownership, Message::HostRows(rows));
    }

    /// Schedules a scan for the time at which the lease of a silent host has certainly expired, instead of up to a
    /// second later.
    fn schedule_expiry_scan(&mut self, now: Instant) {
        let own_rows = self.rows.iter().filter(|(_, row)| row.host.data_centre == self.data_centre);
        let due = own_rows
            .map(|(_, row)| row.unchanged_at(self.expiry_bound))
            .filter(|due| *due > now)
            .min();
        if let Some(due) = due {
            self.own_scan.run_by(due);
        }
    }

    fn delete_stale_rows(&mut self, context: &mut Context) {
        let now = context.now;
        self.deletions.retain(|_, attempted| now < *attempted + DELETE_INTERVAL);
        let (peers, deletions) = (&self.peers, &self.deletions);
        let stale_rows = self.rows.iter().filter(|(key, row)| {
            row.unchanged_for() >= ROW_RETENTION
                && row.host.host != self.host
                && !peers.is_responsive(now, &row.host.host)
                && !deletions.contains_key(*key)
        });
        let stale_rows: Vec<_> = stale_rows.map(|(key, row)| (key.clone(), row.version)).collect();
        for (key, version) in stale_rows {
            self.deletions.insert(key.clone(), now);
            self.next_tag += 1;
            let batch = Batch {
                reply_to: ServiceName::Membership,
                tag: self.next_tag,
                checks: vec![Check { key: key.clone(), version: Some(version) }],
                writes: vec![Write { key, value: None }],
                expires: Some(now + DELETE_INTERVAL),
            };
            context.send(ServiceName::Commit, Message::Write(batch));
        }
    }

    fn answer_ping(&mut self, context: &mut Context, from: &str, number: u64) {
        if !self.peers.contains(from) {
            // An unknown host has a host row that the next scan finds.
            self.all_scan.run_by(context.now + OWN_SCAN_INTERVAL);
            return;
        }
        let age = |moment: Instant| context.now.saturating_duration_since(moment);
        let pong = Pong {
            number,
            incarnation: self.incarnation,
            revision: self.report.revision,
            freshness_age: self.report.confirmed.map(age),
            update_in_flight: self.report.update_in_flight,
            draining: self.report.draining,
            shards: self.report.loads.clone(),
        };
        self.peers.send(context, from, Frame::Pong(pong));
    }

    fn publish_peer_list(&mut self, context: &mut Context) {
        let now = context.now;
        if !self.peers_changed
            || self.peer_list_sent.is_some_and(|sent| now < sent + PEER_LIST_INTERVAL)
        {
            return;
        }
        self.peers_changed = false;
        self.peer_list_sent = Some(now);
        context.broadcast(Message::PeerList(Rc::new(self.peers.peer_list())));
    }
}

const ALL_PREFIX: &str = "hosts/";
