//! Library of the daemon `shallotpostd`; see docs/design.md, section 2.1.

pub mod daemon;
pub mod fleet;
pub mod logs;
pub mod metrics;
pub mod observer;
pub mod settings;
