//! The resources of the configuration at one revision.

use std::collections::BTreeMap;

use shallotpost_protocol::resource::{DataCentre, Entry, Key, Kind, Policy, Queue, Resource, Team};

use crate::prelude::*;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub revision: Revision,
    pub entries: BTreeMap<(Kind, String), Entry>,
}

impl Snapshot {
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&(kind, name.to_owned()))
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        match &self.entry(Kind::Team, name)?.resource {
            Resource::Team(team) => Some(team),
            _ => None,
        }
    }

    pub fn key(&self, name: &str) -> Option<&Key> {
        match &self.entry(Kind::Key, name)?.resource {
            Resource::Key(key) => Some(key),
            _ => None,
        }
    }

    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        match &self.entry(Kind::DataCentre, name)?.resource {
            Resource::DataCentre(data_centre) => Some(data_centre),
            _ => None,
        }
    }

    pub fn queue(&self, name: &str) -> Option<&Queue> {
        match &self.entry(Kind::Queue, name)?.resource {
            Resource::Queue(queue) => Some(queue),
            _ => None,
        }
    }

    /// Returns the placement policy, or the default one if none is set.
    pub fn policy(&self) -> Policy {
        match self.entry(Kind::Policy, "default").map(|entry| &entry.resource) {
            Some(Resource::Policy(policy)) => policy.clone(),
            _ => Policy::default(),
        }
    }

    /// Returns the names of all resources of a kind, sorted.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.entries.keys().filter(move |(other, _)| *other == kind).map(|(_, name)| name.as_str())
    }
}
