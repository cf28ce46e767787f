//! Peers: what is known of each, and the pings to them.

use std::collections::{BTreeMap, VecDeque};

use shallotpost_protocol::host::Host;
use shallotpost_protocol::wire::{Frame, Pong};

use super::{Peer, PeerList};
use crate::prelude::*;

/// Interval of pings in the own data centre.
pub const PING_INTERVAL_OWN: Duration = Duration::from_millis(500);

/// Interval of pings to other data centres.
pub const PING_INTERVAL_OTHER: Duration = Duration::from_secs(1);

/// Time after which the answer to a ping is dropped.
pub const PONG_DEADLINE: Duration = Duration::from_secs(2);

/// Time since the last answered ping within which a peer counts as answering.
const ANSWERS_WITHIN: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Known {
    peer: Peer,
    seed: bool,
    /// Incarnation that the current one replaced. An answer to a scan can still show it.
    replaced: Option<u64>,
    next_ping: Option<Instant>,
    /// Open pings: number and moment of sending, oldest first.
    open: VecDeque<(u64, Instant)>,
}

impl Known {
    fn new(peer: Peer, seed: bool) -> Known {
        Known { peer, seed, replaced: None, next_ping: None, open: VecDeque::new() }
    }

    fn answers(&self, now: Instant) -> bool {
        self.peer.last_pong.as_ref().is_some_and(|(sent, _)| now < *sent + ANSWERS_WITHIN)
    }

    /// Forgets all that was known of an earlier incarnation.
    fn replace(&mut self, incarnation: u64) {
        if self.peer.incarnation == incarnation {
            return;
        }
        self.replaced = Some(self.peer.incarnation).filter(|known| *known != 0);
        self.open.clear();
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

/// All peers.
#[derive(Debug)]
pub struct Peers {
    data_centre: DataCentreId,
    known: BTreeMap<HostId, Known>,
    next_number: u64,
}

impl Peers {
    /// The seeds. Pings are numbered from `first_number`.
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
            (seed.host.clone(), Known::new(peer, true))
        });
        Peers {
            data_centre: settings.data_centre.clone(),
            known: known.collect(),
            next_number: first_number,
        }
    }

    /// Whether frames can be sent to this host.
    pub fn knows(&self, host: &str) -> bool {
        self.known.contains_key(host)
    }

    /// Whether the host answered a recent ping.
    pub fn answers(&self, now: Instant, host: &str) -> bool {
        self.known.get(host).is_some_and(|known| known.answers(now))
    }

    /// The peers, by name.
    pub fn fleet(&self) -> PeerList {
        PeerList { peers: self.known.values().map(|known| known.peer.clone()).collect() }
    }

    /// Sends a frame to a known peer.
    pub fn send(&self, context: &mut Context, to: &str, frame: Frame) {
        if let Some(known) = self.known.get(to) {
            let address = known.peer.peer_address.clone();
            context.effects.push(Effect::Peer { to: to.to_owned(), address, frame });
        }
    }

    /// Sends the pings that are due.
    pub fn ping(&mut self, context: &mut Context) {
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
            known.open.retain(|(_, sent)| now < *sent + PONG_DEADLINE);
            self.next_number += 1;
            known.open.push_back((self.next_number, now));
            context.effects.push(Effect::Peer {
                to: known.peer.host.clone(),
                address: known.peer.peer_address.clone(),
                frame: Frame::Ping { number: self.next_number },
            });
        }
    }

    /// Records a pong; returns whether it answers an open ping of this peer.
    pub fn answered(&mut self, now: Instant, from: &str, pong: Pong) -> bool {
        let Some(known) = self.known.get_mut(from) else { return false };
        let matching = known.open.iter().find(|(number, _)| *number == pong.number);
        let Some((number, sent)) = matching.copied() else { return false };
        if now >= sent + PONG_DEADLINE {
            return false;
        }
        known.replace(pong.incarnation);
        // Answers to older pings would bring back an older state.
        known.open.retain(|(other, _)| *other > number);
        known.peer.draining |= pong.draining;
        known.peer.last_pong = Some((sent, pong));
        true
    }

    /// Records a new version of a host row.
    pub fn row_changed(&mut self, now: Instant, row: &Host) {
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
            Known::new(peer, false)
        });
        if known.replaced == Some(row.incarnation) {
            return;
        }
        known.replace(row.incarnation);
        known.peer.data_centre.clone_from(&row.data_centre);
        known.peer.peer_address.clone_from(&row.peer_address);
        known.peer.row_changed_at = Some(now);
        known.peer.applied_revision = row.applied;
        known.peer.draining |= row.draining;
    }

    /// Forgets peers that are no seeds, have no row and do not answer; returns whether any was forgotten.
    pub fn forget(&mut self, now: Instant, has_row: impl Fn(&Peer) -> bool) -> bool {
        let count = self.known.len();
        self.known.retain(|_, known| known.seed || known.answers(now) || has_row(&known.peer));
        self.known.len() < count
    }
}
