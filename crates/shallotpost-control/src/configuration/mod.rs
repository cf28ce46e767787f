//! Configuration: the cached resources, their freshness, and updates by operators.

pub mod snapshot;

pub use snapshot::Snapshot;

use crate::prelude::*;

/// The service.
pub struct Configuration {}

impl Configuration {
    /// A service with an empty cache.
    pub fn new(_settings: &Settings) -> Configuration {
        Configuration {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
