//! Shard ownership: claims, epochs, leases and hand-over.

use crate::prelude::*;

/// The service.
pub struct Ownership {}

impl Ownership {
    /// A service in its initial state.
    pub fn new(_settings: &Settings) -> Ownership {
        Ownership {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
