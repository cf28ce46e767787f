//! Group commit: one transaction in flight, which also carries the host's heartbeat.

use crate::prelude::*;

/// The service.
pub struct Commit {}

impl Commit {
    /// A service without a queue.
    pub fn new(_settings: &Settings) -> Commit {
        Commit {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
