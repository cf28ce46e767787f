//! The control plane of an entry host: a kernel that runs one actor per service and routes messages between them.
//!
//! Services hold state and turn each message into further messages and effects. They perform no I/O and read neither
//! the clock nor a global random source; the time comes with the [`context::Context`], and all randomness from a seed.

pub mod admission;
pub mod commit;
pub mod configuration;
pub mod context;
pub mod kernel;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod prelude;
pub mod router;
pub mod scheduler;
pub mod service;
pub mod settings;
