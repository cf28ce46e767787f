//! State of each peer, and the pings to the peers.

use std::collections::{BTreeMap, VecDeque};

use shallotpost_protocol::host::Host;
use shallotpost_protocol::wire::{Frame, Pong};

use super::{Peer, PeerList};
use crate::prelude::*;

/// Interval between pings to a peer in this data centre.
pub const PING_INTERVAL_OWN: Duration = Duration::from_millis(500);

/// Interval between pings to a peer in another data centre.
pub const PING_INTERVAL_OTHER: Duration = Duration::from_secs(1);

/// Time after a ping from which its pong is ignored.
pub const PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum age of the last answered ping of a responsive peer.
const RESPONSIVE_AGE_MAX: Duration = Duration::from_secs(10);

/// A peer with the state of its pings.
#[derive(Debug)]
struct PeerState {
    peer: Peer,
    seed: bool,
    /// Incarnation that the current one replaced; a scan that was in flight may still show it.
    replaced_incarnation: Option<u64>,
    next_ping: Option<Instant>,
    /// Numbers of the pings in flight and the times at which they were sent, oldest first.
    in_flight: VecDeque<(u64, Instant)>,
}

impl PeerState {
    fn new(peer: Peer, seed: bool) -> PeerState {
        PeerState {
            peer,
            seed,
            replaced_incarnation: None,
            next_ping: None,
            in_flight: VecDeque::new(),
        }
    }

    fn is_responsive(&self, now: Instant) -> bool {
        self.peer.last_pong.as_ref().is_some_and(|(sent, _)| now < *sent + RESPONSIVE_AGE_MAX)
    }

    /// Records the incarnation of the peer. If it is new, discards the state of the earlier one.
    fn set_incarnation(&mut self, incarnation: u64) {
        if self.peer.incarnation == incarnation {
            return;
        }
        self.replaced_incarnation = Some(self.peer.incarnation).filter(|known| *known != 0);
        self.in_flight.clear();
        self.peer = Peer {
            incarnation,
            last_pong: None,
            row_changed_at: None,
            applied_revision: 0,
            draining: false,
            ..self.peer.clone()
        };
    }
}

#[derive(Debug)]
pub struct Peers {
    data_centre: DataCentreId,
    known: BTreeMap<HostId, PeerState>,
    last_number: u64,
}

impl Peers {
    /// Returns the seeds of the settings. Pings are numbered from `first_number + 1`.
    pub fn new(settings: &Settings, first_number: u64) -> Peers {
        let seeds = settings.seeds.iter().filter(|seed| seed.host != settings.host);
        let known = seeds.map(|seed| {
            let peer = Peer {
                host: seed.host.clone(),
                data_centre: seed.data_centre.clone(),
                peer_address: seed.peer_address.clone(),
                incarnation: 0,
                last_pong: None,
                row_changed_at: None,
                applied_revision: 0,
                draining: false,
            };
            (seed.host.clone(), PeerState::new(peer, true))
        });
        Peers {
            data_centre: settings.data_centre.clone(),
            known: known.collect(),
            last_number: first_number,
        }
    }

    /// Whether frames can be sent to this host.
    pub fn contains(&self, host: &str) -> bool {
        self.known.contains_key(host)
    }

    /// Whether the peer answered a ping within the last `RESPONSIVE_AGE_MAX`.
    pub fn is_responsive(&self, now: Instant, host: &str) -> bool {
        self.known.get(host).is_some_and(|known| known.is_responsive(now))
    }

    /// Returns the state of all peers, sorted by name.
    pub fn peer_list(&self) -> PeerList {
        PeerList { peers: self.known.values().map(|known| known.peer.clone()).collect() }
    }

    /// Sends a frame to a peer; drops it if the peer is unknown.
    pub fn send(&self, context: &mut Context, to: &str, frame: Frame) {
        if let Some(known) = self.known.get(to) {
            let address = known.peer.peer_address.clone();
            context.effects.push(Effect::Peer { to: to.to_owned(), address, frame });
        }
    }

    pub fn send_pings(&mut self, context: &mut Context) {
        let now = context.now;
        for known in self.known.values_mut() {
            if known.next_ping.is_some_and(|next| now < next) {
                continue;
            }
            let interval = match known.peer.data_centre == self.data_centre {
                true => PING_INTERVAL_OWN,
                false => PING_INTERVAL_OTHER,
            };
            known.next_ping = Some(now + interval);
            known.in_flight.retain(|(_, sent)| now < *sent + PONG_TIMEOUT);
            self.last_number += 1;
            known.in_flight.push_back((self.last_number, now));
            context.effects.push(Effect::Peer {
                to: known.peer.host.clone(),
                address: known.peer.peer_address.clone(),
                frame: Frame::Ping { number: self.last_number },
            });
        }
    }

    /// Records a pong. Returns false if it does not answer a ping in flight to this peer.
    pub fn on_pong(&mut self, now: Instant, from: &str, pong: Pong) -> bool {
        let Some(known) = self.known.get_mut(from) else { return false };
        let matching = known.in_flight.iter().find(|(number, _)| *number == pong.number);
        let Some((number, sent)) = matching.copied() else { return false };
        if now >= sent + PONG_TIMEOUT {
            return false;
        }
        known.set_incarnation(pong.incarnation);
        // Pongs to older pings would restore an older state.
        known.in_flight.retain(|(other, _)| *other > number);
        known.peer.draining |= pong.draining;
        known.peer.last_pong = Some((sent, pong));
        true
    }

    /// Records a new version of a host row; adds its host if unknown.
    pub fn on_row_change(&mut self, now: Instant, row: &Host) {
        let known = self.known.entry(row.host.clone()).or_insert_with(|| {
            let peer = Peer {
                host: row.host.clone(),
                data_centre: row.data_centre.clone(),
                peer_address: row.peer_address.clone(),
                incarnation: row.incarnation,
                last_pong: None,
                row_changed_at: None,
                applied_revision: 0,
                draining: false,
            };
            PeerState::new(peer, false)
        });
        if known.replaced_incarnation == Some(row.incarnation) {
            return;
        }
        known.set_incarnation(row.incarnation);
        known.peer.data_centre.clone_from(&row.data_centre);
        known.peer.peer_address.clone_from(&row.peer_address);
        known.peer.row_changed_at = Some(now);
        known.peer.applied_revision = row.applied;
        known.peer.draining |= row.draining;
    }

    /// Forgets peers that are not seeds, have no host row and are not responsive. Returns whether any was forgotten.
    pub fn forget_absent(&mut self, now: Instant, has_row: impl Fn(&Peer) -> bool) -> bool {
        let count = self.known.len();
        self.known
            .retain(|_, known| known.seed || known.is_responsive(now) || has_row(&known.peer));
        self.known.len() < count
    }
}
