//! State machine of an entry host, which admits, schedules and tracks jobs of several steps on a fleet of workers.
//!
//! The crate reads no clock and opens no socket. [`host::Host`] turns each [`port::Input`] into a list of
//! [`port::Output`]s; the daemon connects it to the platform's adapter and to the other entry hosts.

pub mod configuration;
pub mod host;
pub mod job;
pub mod kernel;
pub mod message;
pub mod origin;
pub mod port;
pub mod prelude;
pub mod progress;
pub mod replica;
pub mod scheduler;
pub mod watch;
pub mod worker;
