//! Fleets of jobs: the state machine of an entry host that admits, places and follows jobs of several steps.
//!
//! Nothing here reads a clock or a socket. [`host::Host`] takes [`port::Input`]s and returns [`port::Output`]s; the
//! daemon connects it to the platform's adapter and to its peers.

pub mod configuration;
pub mod host;
pub mod job;
pub mod kernel;
pub mod message;
pub mod port;
pub mod prelude;
pub mod progress;
pub mod scheduler;
pub mod worker;
