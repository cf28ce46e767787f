//! Configuration resources. Operators write them; every entry host caches them at one revision.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::identity::{DataCentreId, Revision, TeamId};
use crate::millis;
use crate::size::Size;

/// Kind of a resource; the text form is the path segment in `/v1/resources/<kind>/<name>`.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A team with its share and cap.
    Team,
    /// A key of a team or an operator.
    Key,
    /// A data centre and whether it takes work.
    DataCentre,
    /// A queue that several teams may submit to.
    Queue,
    /// Placement policy; the only name is `default`.
    Policy,
}

/// A resource's content. The name is kept beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// A team.
    Team(Team),
    /// A key.
    Key(Key),
    /// A data centre.
    DataCentre(DataCentre),
    /// A queue.
    Queue(Queue),
    /// Placement policy.
    Policy(Policy),
}

impl Resource {
    /// Kind of this content.
    pub fn kind(&self) -> Kind {
        match self {
            Resource::Team(_) => Kind::Team,
            Resource::Key(_) => Kind::Key,
            Resource::DataCentre(_) => Kind::DataCentre,
            Resource::Queue(_) => Kind::Queue,
            Resource::Policy(_) => Kind::Policy,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight of its share when the fleet is full, at least 1.
    pub share: u32,
    /// Most that it may have running fleet-wide; an amount that is left out, or `u64::MAX`, is no limit.
    #[serde(default = "unlimited", deserialize_with = "cap")]
    pub cap: Size,
}

fn unlimited() -> Size {
    Size::from_parts([u64::MAX; 4])
}

fn unlimited_amount() -> u64 {
    u64::MAX
}

/// Reads a cap. In a [`Size`] an amount that is left out is zero; in a cap that would stop the team.
fn cap<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Cap {
        #[serde(default = "unlimited_amount")]
        processors_milli: u64,
        #[serde(default = "unlimited_amount")]
        memory_mib: u64,
        #[serde(default = "unlimited_amount")]
        accelerators: u64,
        #[serde(default = "unlimited_amount")]
        slots: u64,
    }
    let cap = Cap::deserialize(deserializer)?;
    Ok(Size::from_parts([cap.processors_milli, cap.memory_mib, cap.accelerators, cap.slots]))
}

/// What a key allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Submit, read and cancel the work of this team.
    Team(TeamId),
    /// Everything, for every team.
    Operator,
}

/// A key. Withdrawn keys are deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// What it allows.
    pub right: Right,
    /// Hexadecimal SHA-256 digest of the secret.
    pub digest: String,
    /// Time after which it no longer works, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub expires_unix_ms: Option<u64>,
}

/// Whether a data centre takes work.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Availability {
    /// It takes work.
    Active,
    /// It starts nothing; running tasks are moved or run out.
    Drained,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Whether it takes work.
    pub availability: Availability,
    /// Number of shards that its workers are split into, at least 1.
    #[serde(default = "one")]
    pub shards: u32,
}

fn one() -> u32 {
    1
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The team that pays for its work.
    pub team: TeamId,
    /// Whether any team's key may submit to it.
    #[serde(default)]
    pub open: bool,
}

/// What a shard that is cut off does with running tasks of a class.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OnCut {
    /// They run on.
    Stay,
    /// They are stopped, so that they can start elsewhere.
    Stop,
}

/// Placement policy of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Whether batch work is packed tightly (true) or spread for short waiting times (false).
    pub pack_batch: bool,
    /// How long a gang may hold a reservation before it returns to the queue.
    #[serde(rename = "gang_reservation_ms", with = "millis")]
    pub gang_reservation: Duration,
    /// Bound on the start of urgent work.
    #[serde(rename = "urgent_bound_ms", with = "millis")]
    pub urgent_bound: Duration,
    /// Consecutive failures of different work after which a worker is quarantined.
    pub quarantine_failures: u32,
    /// First quarantine; doubles with each repeat.
    #[serde(rename = "quarantine_ms", with = "millis")]
    pub quarantine: Duration,
    /// Starts a second on a data centre that has just returned, per worker.
    pub return_starts_per_second: u32,
    /// Services on a side that is cut off.
    pub services_on_cut: OnCut,
    /// Other work on a side that is cut off.
    pub others_on_cut: OnCut,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            pack_batch: true,
            gang_reservation: Duration::from_secs(60),
            urgent_bound: Duration::from_millis(6200),
            quarantine_failures: 3,
            quarantine: Duration::from_secs(30),
            return_starts_per_second: 4,
            services_on_cut: OnCut::Stay,
            others_on_cut: OnCut::Stay,
        }
    }
}

/// A resource as it is stored and listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name, unique in its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Content.
    pub resource: Resource,
}

/// One configuration change; the unit of the watch and of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its place in the sequence.
    pub revision: Revision,
    /// Name of the key that made it.
    pub who: String,
    /// Entry host that took it.
    pub host: String,
    /// Time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// Content before; `None` where it was created.
    pub before: Option<Resource>,
    /// Content after; `None` where it was deleted.
    pub after: Option<Resource>,
}

/// A change that was refused, for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Name of the key that tried; empty where no valid key was shown.
    pub who: String,
    /// Entry host that refused.
    pub host: String,
    /// Time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: String,
    /// Why.
    pub reason: String,
}

/// Whether a change is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Force {
    /// The revision that is asked about.
    pub revision: Revision,
    /// Whether every entry host applies it or lost its configuration lease.
    pub in_force: bool,
    /// Data centres that it waits for.
    pub waiting_for: Vec<DataCentreId>,
}

/// Key of the row with the current revision.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the rows of all resources.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// Prefix of the rows of all changes.
pub const LOG_PREFIX: &str = "config/log/";

/// Key of a resource's row.
pub fn row_key(kind: Kind, name: &str) -> String {
    format!("{RESOURCE_PREFIX}{kind}/{name}")
}

/// Key of a change's row; the revision is padded so that key order is revision order.
pub fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}
