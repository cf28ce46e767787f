//! Admission of submissions.

use crate::prelude::*;

/// The service.
pub struct Admission {}

impl Admission {
    /// A service in its initial state.
    pub fn new(_settings: &Settings) -> Admission {
        Admission {}
    }

    /// Handles one message.
    pub fn handle(&mut self, _context: &mut Context, _message: Message) {}
}
