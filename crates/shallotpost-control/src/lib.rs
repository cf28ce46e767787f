//! The micro-kernel and its services.
//!
//! Services hold state and turn a message into further messages and effects. They read no clock, socket or global random
//! source; time comes with the [`context::Context`].

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
