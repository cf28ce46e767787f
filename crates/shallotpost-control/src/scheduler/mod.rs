//! Placement and worker sessions of the owned shards.

pub mod grants;

use crate::prelude::*;

/// The service.
pub struct Scheduler {}

impl Scheduler {
    /// A service that owns no shard.
    pub fn new(_settings: &Settings) -> Scheduler {
        Scheduler {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
