//! The fixed set of services, their names, and the dispatch of messages to them.

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

/// Name of a service, which is also its address for messages. Call ids carry the discriminant in their low bits.
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
pub enum ServiceName {
    /// Commits row changes of all services in shared transactions, and writes the host row.
    Commit,
    /// Keeps the configuration cache current and commits configuration updates.
    Configuration,
    /// Tracks the other entry hosts and reads the worker list.
    Membership,
    /// Claims, renews and hands over shards.
    Ownership,
    /// Places work of the owned shards and keeps the sessions with their workers.
    Scheduler,
    /// Validates submissions and stores their records.
    Admission,
    /// Authenticates requests, forwards them to the host that can handle them, and delivers the answers.
    Router,
}

pub enum Service {
    Commit(Commit),
    Configuration(Configuration),
    Membership(Membership),
    Ownership(Ownership),
    Scheduler(Scheduler),
    Admission(Admission),
    Router(Router),
}

impl Service {
    pub fn new(name: ServiceName, settings: &Settings) -> Service {
        match name {
            ServiceName::Commit => Service::Commit(Commit::new(settings)),
            ServiceName::Configuration => Service::Configuration(Configuration::new(settings)),
            ServiceName::Membership => Service::Membership(Membership::new(settings)),
            ServiceName::Ownership => Service::Ownership(Ownership::new(settings)),
            ServiceName::Scheduler => Service::Scheduler(Scheduler::new(settings)),
            ServiceName::Admission => Service::Admission(Admission::new(settings)),
            ServiceName::Router => Service::Router(Router::new(settings)),
        }
    }

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
