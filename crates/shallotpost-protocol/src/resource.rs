//! Configuration resources. Operators write them, and each entry host caches all of them at one revision.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::identity::{DataCentreId, Revision, TeamId};
use crate::millis;
use crate::size::Size;

/// Kind of a resource. The text form is the path segment in `/v1/resources/<kind>/<name>`.
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
    Team,
    Key,
    /// A data centre, and whether it accepts work.
    DataCentre,
    /// A queue that several teams may submit to.
    Queue,
    /// Placement policy. The only name is `default`.
    Policy,
}

/// Content of a resource. The name is stored separately, see [`Entry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    Team(Team),
    Key(Key),
    DataCentre(DataCentre),
    Queue(Queue),
    Policy(Policy),
}

impl Resource {
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

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight of the team's share when the fleet is full, at least 1.
    pub share: u32,
    /// Maximum total size of the team's running tasks in the fleet. An amount that is absent or `u64::MAX` is not
    /// limited.
    #[serde(default = "unlimited", deserialize_with = "deserialize_cap")]
    pub cap: Size,
}

fn unlimited() -> Size {
    Size::from_parts([u64::MAX; 4])
}

fn unlimited_amount() -> u64 {
    u64::MAX
}

/// Reads a cap. Absent amounts are unlimited: zero, which is the default in a [`Size`], would stop the team.
fn deserialize_cap<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Size, D::Error> {
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

/// Permission that a key grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Submitting, reading and cancelling the work of this team.
    Team(TeamId),
    /// All operations, for all teams.
    Operator,
}

/// A key of a team or an operator. Withdrawing a key deletes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    pub right: Right,
    /// Hexadecimal SHA-256 digest of the secret.
    pub digest: String,
    /// Time after which the key is no longer valid, in milliseconds since the Unix epoch; `None` for no expiry.
    #[serde(default)]
    pub expires_unix_ms: Option<u64>,
}

/// Whether a data centre accepts work.
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
    /// The data centre accepts work.
    Active,
    /// The data centre starts no tasks. Running tasks are moved or run to completion.
    Drained,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    pub availability: Availability,
    /// Number of shards that the workers are divided into, at least 1.
    #[serde(default = "default_shards")]
    pub shards: u32,
}

fn default_shards() -> u32 {
    1
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Team that the work of the queue is charged to.
    pub team: TeamId,
    /// Whether the keys of all teams may submit to the queue.
    #[serde(default)]
    pub open: bool,
}

/// What a shard on the isolated side of a network partition does with its running tasks.
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
pub enum OnPartition {
    #[serde(rename = "stay")]
    #[strum(serialize = "stay")]
    KeepRunning,
    /// Stop the tasks, so that they can start elsewhere.
    Stop,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Whether batch work is packed tightly (true) or spread for short waiting times (false).
    pub pack_batch: bool,
    /// Maximum time that a gang holds a reservation before it returns to the queue.
    #[serde(rename = "gang_reservation_ms", with = "millis")]
    pub gang_reservation: Duration,
    /// Time within which urgent work is to start.
    #[serde(rename = "urgent_bound_ms", with = "millis")]
    pub urgent_bound: Duration,
    /// Number of consecutive failures of different work after which a worker is quarantined.
    pub quarantine_failures: u32,
    /// Duration of the first quarantine of a worker. Each further quarantine doubles it.
    #[serde(rename = "quarantine_ms", with = "millis")]
    pub quarantine: Duration,
    /// Maximum number of starts per second and worker in a data centre that has just returned.
    pub return_starts_per_second: u32,
    /// Applies to services on the isolated side of a network partition.
    #[serde(rename = "services_on_cut")]
    pub services_on_partition: OnPartition,
    /// Applies to all other work on the isolated side of a network partition.
    #[serde(rename = "others_on_cut")]
    pub others_on_partition: OnPartition,
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
            services_on_partition: OnPartition::KeepRunning,
            others_on_partition: OnPartition::KeepRunning,
        }
    }
}

/// A resource as it is stored and listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique among the resources of the same kind.
    pub name: String,
    /// Revision of the last change.
    pub revision: Revision,
    pub resource: Resource,
}

/// A configuration change. Watches and the audit trail consist of these.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub revision: Revision,
    /// Name of the key that made the change.
    pub who: String,
    /// Entry host that accepted the change.
    pub host: String,
    pub at_unix_ms: u64,
    pub kind: Kind,
    pub name: String,
    /// Previous content; `None` if the resource was created.
    pub before: Option<Resource>,
    /// New content; `None` if the resource was deleted.
    pub after: Option<Resource>,
}

/// A refused configuration change, for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedChange {
    /// Name of the key that attempted the change; empty if no valid key was presented.
    pub who: String,
    /// Entry host that refused the change.
    pub host: String,
    pub at_unix_ms: u64,
    pub kind: Kind,
    pub name: String,
    pub reason: String,
}

/// Whether a configuration change is in force on all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    pub revision: Revision,
    /// Whether each entry host either applies the change or has lost its configuration lease.
    pub in_force: bool,
    /// Data centres that the change still waits for.
    pub waiting_for: Vec<DataCentreId>,
}

/// Key of the row that holds the current revision.
pub const HEAD_KEY: &str = "config/head";

/// Key prefix of the rows of all resources.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// Key prefix of the rows of all changes.
pub const LOG_PREFIX: &str = "config/log/";

/// Returns the key of the row of a resource.
pub fn row_key(kind: Kind, name: &str) -> String {
    format!("{RESOURCE_PREFIX}{kind}/{name}")
}

/// Returns the key of the row of a change. The revision is padded with zeros so that the rows sort by revision.
pub fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}
