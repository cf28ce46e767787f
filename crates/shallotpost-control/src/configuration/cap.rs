//! The row `caps/<team>`: a team's cap and what is granted of it to each shard.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallotpost_protocol::resource::{Change, Resource};

use crate::prelude::*;

/// Prefix of the rows of all caps.
pub const CAP_PREFIX: &str = "caps/";

/// Key of a team's row.
pub fn row_key(team: &str) -> String {
    format!("{CAP_PREFIX}{team}")
}

/// Value of the row. Configuration writes the cap; the owner of each shard writes its own grant, and raises it only where
/// the sum of all grants stays within the cap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapRow {
    /// Most that the team may have running fleet-wide.
    pub cap: Size,
    /// Part of the cap that each shard may use. The sum never exceeds the cap, except after the cap was lowered.
    #[serde(default)]
    pub grants: BTreeMap<Shard, Size>,
    /// What each shard lacks beyond its grant, rounded up to powers of two so that it changes rarely.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unmet: BTreeMap<Shard, Size>,
    /// Further fields, such as those of a later release, which are kept as they are.
    #[serde(flatten)]
    pub unknown_fields: BTreeMap<String, serde_json::Value>,
}

impl CapRow {
    /// Grant of a shard.
    pub fn grant(&self, shard: &Shard) -> Size {
        self.grants.get(shard).copied().unwrap_or(Size::ZERO)
    }

    /// Sum of all grants; saturates.
    pub fn granted(&self) -> Size {
        self.grants.values().fold(Size::ZERO, |sum, grant| sum.plus(grant))
    }

    /// Data centres whose shards hold grants, where the grants exceed both this cap and `limit`. A later change may have
    /// replaced `limit` by a higher cap.
    pub fn waiting_for(&self, limit: &Size) -> BTreeSet<DataCentreId> {
        if self.granted().fits_in(&self.cap.max(limit)) {
            return BTreeSet::new();
        }
        let holders = self.grants.iter().filter(|(_, grant)| **grant != Size::ZERO);
        holders.map(|(shard, _)| shard.data_centre.clone()).collect()
    }
}

/// A lowered cap, which is pending until owners returned enough of their grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lowered {
    /// The team.
    pub team: TeamId,
    /// Its new cap.
    pub limit: Size,
}

/// What a change lowers.
pub fn lowered(change: &Change) -> Option<Lowered> {
    match (&change.before, &change.after) {
        (Some(Resource::Team(before)), Some(Resource::Team(after)))
            if !before.cap.fits_in(&after.cap) =>
        {
            Some(Lowered { team: change.name.clone(), limit: after.cap })
        }
        _ => None,
    }
}
