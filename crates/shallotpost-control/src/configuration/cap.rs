//! The row `caps/<team>`: the cap of a team and the grants of its shards.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallotpost_protocol::resource::{Change, Resource};

use crate::prelude::*;

pub const CAP_PREFIX: &str = "caps/";

pub fn row_key(team: &str) -> String {
    format!("{CAP_PREFIX}{team}")
}

/// Value of the row `caps/<team>`. The configuration service writes the cap. The owner of each shard writes the grant
/// of the shard, and raises it only if the sum of all grants stays within the cap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapRow {
    /// Maximum size that the team may have running on all shards together.
    pub cap: Size,
    /// Part of the cap that each shard may use. The sum exceeds the cap only after the cap was lowered.
    #[serde(default)]
    pub grants: BTreeMap<Shard, Size>,
    /// Demand of each shard beyond its grant, rounded up to powers of two so that it changes rarely.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unmet: BTreeMap<Shard, Size>,
    /// Fields that this release does not know, such as those of a later one; they are written back unchanged.
    #[serde(flatten)]
    pub unknown_fields: BTreeMap<String, serde_json::Value>,
}

impl CapRow {
    /// Returns the grant of a shard; zero if it has none.
    pub fn grant(&self, shard: &Shard) -> Size {
        self.grants.get(shard).copied().unwrap_or(Size::ZERO)
    }

    /// Returns the sum of all grants; saturates.
    pub fn granted(&self) -> Size {
        self.grants.values().fold(Size::ZERO, |sum, grant| sum.plus(grant))
    }

    /// Returns the data centres whose shards hold grants if the sum of all grants exceeds both `limit` and the current
    /// cap, and none otherwise. The current cap counts because a later change may have raised it above `limit`.
    pub fn holders_above(&self, limit: &Size) -> BTreeSet<DataCentreId> {
        if self.granted().fits_in(&self.cap.max(limit)) {
            return BTreeSet::new();
        }
        let holders = self.grants.iter().filter(|(_, grant)| **grant != Size::ZERO);
        holders.map(|(shard, _)| shard.data_centre.clone()).collect()
    }
}

/// A lowered cap. The change is pending until the owners have returned enough of their grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoweredCap {
    pub team: TeamId,
    /// The new cap.
    pub limit: Size,
}

/// Returns the cap that a change lowers, if any.
pub fn lowered_cap(change: &Change) -> Option<LoweredCap> {
    match (&change.before, &change.after) {
        (Some(Resource::Team(before)), Some(Resource::Team(after)))
            if !before.cap.fits_in(&after.cap) =>
        {
            Some(LoweredCap { team: change.name.clone(), limit: after.cap })
        }
        _ => None,
    }
}
