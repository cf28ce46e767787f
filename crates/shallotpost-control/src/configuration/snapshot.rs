//! The resources at one revision.

use std::collections::BTreeMap;

use shallotpost_protocol::resource::{DataCentre, Entry, Key, Kind, Policy, Queue, Resource, Team};

use crate::prelude::*;

/// All resources at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The resources, by kind and name.
    pub entries: BTreeMap<(Kind, String), Entry>,
}

impl Snapshot {
    /// The entry of this kind and name.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&(kind, name.to_owned()))
    }

    /// A team.
    pub fn team(&self, name: &str) -> Option<&Team> {
        match &self.entry(Kind::Team, name)?.resource {
            Resource::Team(team) => Some(team),
            _ => None,
        }
    }

    /// A key.
    pub fn key(&self, name: &str) -> Option<&Key> {
        match &self.entry(Kind::Key, name)?.resource {
            Resource::Key(key) => Some(key),
            _ => None,
        }
    }

    /// A data centre.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        match &self.entry(Kind::DataCentre, name)?.resource {
            Resource::DataCentre(data_centre) => Some(data_centre),
            _ => None,
        }
    }

    /// A queue.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        match &self.entry(Kind::Queue, name)?.resource {
            Resource::Queue(queue) => Some(queue),
            _ => None,
        }
    }

    /// The placement policy; the default one where none is set.
    pub fn policy(&self) -> Policy {
        match self.entry(Kind::Policy, "default").map(|entry| &entry.resource) {
            Some(Resource::Policy(policy)) => policy.clone(),
            _ => Policy::default(),
        }
    }

    /// Names of all resources of a kind, in order.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.entries.keys().filter(move |(other, _)| *other == kind).map(|(_, name)| name.as_str())
    }
}
