//! The closed set of services and their names.

use strum::{Display, EnumIter, FromRepr, IntoStaticStr};

use crate::admission::Admission;
use crate::commit::Commit;
use crate::configuration::Configuration;
use crate::context::Context;
use crate::membership::Membership;
use crate::message::Message;
use crate::ownership::Ownership;
use crate::router::Router;
use crate::scheduler::Scheduler;
use crate::settings::Settings;

/// Name under which a service is registered.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    FromRepr,
    IntoStaticStr,
)]
#[repr(u8)]
#[strum(serialize_all = "snake_case")]
pub enum Name {
    /// Group commit.
    Commit,
    /// Configuration cache and updates.
    Configuration,
    /// Entry hosts and the worker list.
    Membership,
    /// Shard ownership.
    Ownership,
    /// Placement and worker sessions of owned shards.
    Scheduler,
    /// Submissions.
    Admission,
    /// Requests, waits and forwarding.
    Router,
}

/// A service with its state.
pub enum Service {
    /// Group commit.
    Commit(Commit),
    /// Configuration cache and updates.
    Configuration(Configuration),
    /// Entry hosts and the worker list.
    Membership(Membership),
    /// Shard ownership.
    Ownership(Ownership),
    /// Placement and worker sessions of owned shards.
    Scheduler(Scheduler),
    /// Submissions.
    Admission(Admission),
    /// Requests, waits and forwarding.
    Router(Router),
}

impl Service {
    /// Creates the service of this name.
    pub fn new(name: Name, settings: &Settings) -> Service {
        match name {
            Name::Commit => Service::Commit(Commit::new(settings)),
            Name::Configuration => Service::Configuration(Configuration::new(settings)),
            Name::Membership => Service::Membership(Membership::new(settings)),
            Name::Ownership => Service::Ownership(Ownership::new(settings)),
            Name::Scheduler => Service::Scheduler(Scheduler::new(settings)),
            Name::Admission => Service::Admission(Admission::new(settings)),
            Name::Router => Service::Router(Router::new(settings)),
        }
    }

    /// Handles one message.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match self {
            Service::Commit(service) => service.handle(context, message),
            Service::Configuration(service) => service.handle(context, message),
            Service::Membership(service) => service.handle(context, message),
            Service::Ownership(service) => service.handle(context, message),
            Service::Scheduler(service) => service.handle(context, message),
            Service::Admission(service) => service.handle(context, message),
            Service::Router(service) => service.handle(context, message),
        }
    }
}
