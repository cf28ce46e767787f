//! Requests of callers: authentication, forwarding, waits and answers.

use crate::prelude::*;

/// The service.
pub struct Router {}

impl Router {
    /// A service in its initial state.
    pub fn new(_settings: &Settings) -> Router {
        Router {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
