//! Entry hosts and the worker list.

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
use workers::Workers;

/// Interval of the scan of the host rows of the own data centre.
pub const OWN_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the scan of all host rows, before jitter.
pub const ALL_SCAN_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest interval between two `PeerList` messages.
pub const FLEET_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which the row of a host that neither writes it nor answers is deleted.
pub const ROW_RETENTION: Duration = Duration::from_secs(600);

/// Time between two attempts to delete the same row, and longest time that an attempt waits to be sent.
const DELETE_INTERVAL: Duration = Duration::from_secs(10);

/// One entry host as this host sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its peer streams listen.
    pub peer_address: Address,
    /// Its incarnation; 0 before it is known.
    pub incarnation: u64,
    /// Moment at which its last answered `Ping` was sent, with the answer.
    pub last_pong: Option<(Instant, shallotpost_protocol::wire::Pong)>,
    /// Moment at which its host row was last seen to change, by this host's clock.
    pub row_changed_at: Option<Instant>,
    /// Revision in its host row.
    pub applied_revision: Revision,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// All entry hosts but this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerList {
    /// The peers, by name.
    pub peers: Vec<Peer>,
}

/// What the `Pong` of this host reports.
#[derive(Debug, Default)]
struct Report {
    revision: Revision,
    confirmed: Option<Instant>,
    update_in_flight: bool,
    loads: Vec<Load>,
    draining: bool,
}

/// The service.
pub struct Membership {
    state: Box<State>,
}

impl Membership {
    /// A service that knows the seeds only.
    pub fn new(settings: &Settings) -> Membership {
        Membership { state: Box::new(State::new(settings)) }
    }

    /// Handles one message.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        self.state.handle(context, message);
    }
}

struct State {
    host: HostId,
    data_centre: DataCentreId,
    incarnation: u64,
    lapse: Duration,
    random: StdRng,
    own_scan: Scan,
    all_scan: Scan,
    rows: Observations,
    peers: Peers,
    workers: Workers,
    report: Report,
    fleet_changed: bool,
    fleet_sent: Option<Instant>,
    deletions: BTreeMap<String, Instant>,
    next_tag: Tag,
}

impl State {
    fn new(settings: &Settings) -> State {
        let mut random = StdRng::seed_from_u64(settings.random_seed);
        // A random start keeps answers to pings of an earlier incarnation of this host from matching.
        let first_ping = u64::from(random.random::<u32>()) << 16;
        let own_prefix = host::prefix(&settings.data_centre);
        State {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: settings.incarnation,
            lapse: lease_expiry_bound(settings.ownership_lease),
            random,
            own_scan: Scan::new(own_prefix, OWN_SCAN_INTERVAL, settings.table_timeout),
            all_scan: Scan::new(ALL_PREFIX.to_owned(), ALL_SCAN_INTERVAL, settings.table_timeout),
            rows: Observations::default(),
            peers: Peers::new(settings, first_ping),
            workers: Workers::new(&settings.data_centre),
            report: Report::default(),
            fleet_changed: true,
            fleet_sent: None,
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
                    self.record(context, &prefix, &scan);
                }
            }
            Message::TableResult { call, result } if self.all_scan.is_current_call(call) => {
                if let Some(scan) = self.all_scan.on_result(context, result) {
                    self.record(context, ALL_PREFIX, &scan);
                }
            }
            Message::WorkerListResult { call, result } => {
                self.workers.answer(context, call, result)
            }
            Message::PeerFrame { from, frame: Frame::Ping { number } } => {
                self.pong(context, &from, number);
            }
            Message::PeerFrame { from, frame: Frame::Pong(pong) } => {
                self.fleet_changed |= self.peers.answered(context.now, &from, pong);
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
        self.publish_fleet(context);
    }

    fn tick(&mut self, context: &mut Context) {
        self.own_scan.poll(context, None);
        self.all_scan.poll(context, Some(&mut self.random));
        self.workers.poll(context);
        self.peers.ping(context);
    }

    fn record(&mut self, context: &mut Context, prefix: &str, scan: &CompletedScan) {
        let now = context.now;
        let (own, lapse) = (self.data_centre.as_str(), self.lapse);
        let gap = |data_centre: &str| match data_centre == own {
            true => lapse,
            false => ALL_SCAN_INTERVAL * 3,
        };
        let changed = self.rows.record(now, prefix, gap, scan);
        for host in changed.iter().filter(|row| row.host != self.host) {
            self.peers.row_changed(now, host);
            self.fleet_changed = true;
        }
        let rows = &self.rows;
        self.fleet_changed |=
            self.peers.forget(now, |peer| rows.get(&peer.data_centre, &peer.host).is_some());
        self.delete_retired(context);
        self.hasten_own_scan(now);
        let rows = Rc::new(self.rows.of(&self.data_centre, scan.started));
        context.send(ServiceName::Ownership, Message::HostRows(rows));
    }

    /// Scans at the moment at which a silent host's lease has surely lapsed, instead of up to a second later.
    fn hasten_own_scan(&mut self, now: Instant) {
        let own = self.rows.iter().filter(|(_, row)| row.host.data_centre == self.data_centre);
        let due = own.map(|(_, row)| row.due(self.lapse)).filter(|due| *due > now).min();
        if let Some(due) = due {
            self.own_scan.run_by(due);
        }
    }

    fn delete_retired(&mut self, context: &mut Context) {
        let now = context.now;
        self.deletions.retain(|_, tried| now < *tried + DELETE_INTERVAL);
        let (peers, deletions) = (&self.peers, &self.deletions);
        let retired = self.rows.iter().filter(|(key, row)| {
            row.unchanged() >= ROW_RETENTION
                && row.host.host != self.host
                && !peers.answers(now, &row.host.host)
                && !deletions.contains_key(*key)
        });
        let retired: Vec<_> = retired.map(|(key, row)| (key.clone(), row.version)).collect();
        for (key, version) in retired {
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

    fn pong(&mut self, context: &mut Context, from: &str, number: u64) {
        if !self.peers.knows(from) {
            // A host that is not known yet has a row that the next scan finds.
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

    fn publish_fleet(&mut self, context: &mut Context) {
        let now = context.now;
        if !self.fleet_changed || self.fleet_sent.is_some_and(|sent| now < sent + FLEET_INTERVAL) {
            return;
        }
        self.fleet_changed = false;
        self.fleet_sent = Some(now);
        context.broadcast(Message::PeerList(Rc::new(self.peers.fleet())));
    }
}

/// Prefix of all host rows.
const ALL_PREFIX: &str = "hosts/";
