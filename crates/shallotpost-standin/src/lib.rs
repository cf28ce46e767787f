//! Stand-ins for the platform and the workers, for tests and for evaluation.
//!
//! [`table`] and [`worker`] hold the pure state machines; tests use them directly as fakes.

pub mod table;
pub mod worker;
