//! Entry hosts and the worker list.

use crate::prelude::*;

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
    pub answered: Option<(Instant, shallotpost_protocol::wire::Pong)>,
    /// Moment at which its host row was last seen to change, by this host's clock.
    pub row_changed: Option<Instant>,
    /// Revision in its host row.
    pub applied: Revision,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// All entry hosts but this one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The peers, by name.
    pub peers: Vec<Peer>,
}

/// The service.
pub struct Membership {}

impl Membership {
    /// A service that knows the seeds only.
    pub fn new(_settings: &Settings) -> Membership {
        Membership {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
