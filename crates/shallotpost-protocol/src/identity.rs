//! Identifiers of hosts, workers, teams, shards and work, and the rule for valid names.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::problem::{Kind, Problem};

/// Name of an entry host.
pub type HostId = String;
pub type WorkerId = String;
pub type TeamId = String;
pub type DataCentreId = String;
/// Name of a rack, unique in its data centre.
pub type RackId = String;
/// Name of a piece of work, chosen by the caller and unique in its team.
pub type WorkName = String;
/// `ip:port` of a listening socket.
pub type Address = String;
/// Ownership epoch of a shard, incremented each time the shard changes its owner.
pub type Epoch = u64;
/// Position in the sequence of configuration changes.
pub type Revision = u64;
/// Number of a start of one task, counted from 1.
pub type Attempt = u32;
/// Matches the reply of an external service to its call.
pub type CallId = u64;
/// Matches a reply to the open request of a caller. Unique in one process.
pub type RequestId = u64;

/// Maximum length of the name of a team, key, queue or piece of work, in bytes.
pub const NAME_LENGTH_MAX: usize = 64;

/// Subset of the workers of one data centre, with one owner at a time. The text form is `<data centre>/<index>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Shard {
    pub data_centre: DataCentreId,
    /// Index among the shards of the data centre, from 0.
    pub index: u32,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.data_centre, self.index)
    }
}

impl From<Shard> for String {
    fn from(shard: Shard) -> String {
        shard.to_string()
    }
}

impl TryFrom<String> for Shard {
    type Error = Problem;

    fn try_from(text: String) -> Result<Shard, Problem> {
        text.parse()
    }
}

impl FromStr for Shard {
    type Err = Problem;

    fn from_str(text: &str) -> Result<Shard, Problem> {
        let parts = text
            .split_once('/')
            .and_then(|(data_centre, index)| Some((data_centre, index.parse().ok()?)));
        match parts {
            Some((data_centre, index)) => Ok(Shard { data_centre: data_centre.to_owned(), index }),
            None => Err(Problem::new(
                Kind::Malformed,
                format!("{text:?} is not a shard of the form <data centre>/<n>"),
            )),
        }
    }
}

/// Id of a piece of work, unique in the fleet. The text form is `<team>/<name>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct WorkId {
    /// Team that the work is charged to.
    pub team: TeamId,
    pub name: WorkName,
}

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl From<WorkId> for String {
    fn from(work: WorkId) -> String {
        work.to_string()
    }
}

impl TryFrom<String> for WorkId {
    type Error = Problem;

    fn try_from(text: String) -> Result<WorkId, Problem> {
        text.parse()
    }
}

impl FromStr for WorkId {
    type Err = Problem;

    fn from_str(text: &str) -> Result<WorkId, Problem> {
        match text.split_once('/') {
            Some((team, name)) if is_name(team) && is_name(name) => {
                Ok(WorkId { team: team.to_owned(), name: name.to_owned() })
            }
            _ => Err(Problem::new(
                Kind::Malformed,
                format!("{text:?} is not a work id of the form <team>/<id>"),
            )),
        }
    }
}

/// Id of a task: a replica of a service, a part of a gang, or the only task of other work. The text form is
/// `<team>/<name>#<index>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    pub work: WorkId,
    /// Index among the tasks of the work, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.work, self.index)
    }
}

/// Returns whether `text` is a valid name: 1 to [`NAME_LENGTH_MAX`] ASCII letters, digits, `-`, `_` or `.`, not
/// starting with a dot.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty()
        && text.len() <= NAME_LENGTH_MAX
        && !text.starts_with('.')
        && text.bytes().all(allowed)
}
