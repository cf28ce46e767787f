//! Common types for glob import in the services.

pub use shallotpost_protocol::port::{Effect, Event, Failure, Level, Log, Observation};
pub use shallotpost_protocol::prelude::*;

pub use crate::context::Context;
pub use crate::message::{Identity, Message, Origin, Tag};
pub use crate::service::ServiceName;
pub use crate::settings::Settings;
