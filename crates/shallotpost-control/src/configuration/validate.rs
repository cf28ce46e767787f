//! Validation of operators' changes against the resources of one revision.

use shallotpost_protocol::identity::is_name;
use shallotpost_protocol::resource::{DataCentre, Key, Kind, Policy, Queue, Resource, Right, Team};

use super::Snapshot;
use crate::prelude::*;

/// Maximum number of resources of all kinds together; keeps the cache well below the memory of an entry host.
pub const RESOURCES_MAX: usize = 20_000;

/// Maximum number of shards of one data centre.
pub const SHARDS_MAX: u32 = 1000;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_LENGTH: usize = 64;

/// Name of the key that the settings file defines for the initial set-up.
const BOOTSTRAP_KEY: &str = "bootstrap";

/// The only name that a policy may have.
const POLICY_NAME: &str = "default";

/// Maximum number of resources that an error message names.
const NAMES_SHOWN_MAX: usize = 3;

/// Checks the revision that the operator expects: `None` for any, 0 for a resource that does not exist.
///
/// # Errors
/// Returns `Conflict` if the resource is at another revision or does not exist.
pub fn check_expected_revision(
    snapshot: &Snapshot,
    kind: Kind,
    name: &str,
    expected: Option<Revision>,
) -> Result<(), Problem> {
    let current = snapshot.entry(kind, name).map_or(0, |entry| entry.revision);
    match expected {
        Some(expected) if expected != current && current == 0 => Err(Problem::new(
            ProblemKind::Conflict,
            format!("{kind} {name:?} does not exist, but revision {expected} was expected."),
        )),
        Some(expected) if expected != current => Err(Problem::new(
            ProblemKind::Conflict,
            format!("{kind} {name:?} is at revision {current}, but {expected} was expected."),
        )),
        _ => Ok(()),
    }
}

/// Checks new content for a resource.
///
/// # Errors
/// Returns `Malformed` for an invalid name or content, and `Overloaded` if a new resource would exceed
/// [`RESOURCES_MAX`].
pub fn check_put(snapshot: &Snapshot, name: &str, resource: &Resource) -> Result<(), Problem> {
    if !is_name(name) {
        return Err(malformed(
            format!("{name:?} is not a name."),
            "Use 1 to 64 letters, digits, '-', '_' or '.', not starting with a dot.",
        ));
    }
    let is_new = snapshot.entry(resource.kind(), name).is_none();
    if is_new && snapshot.entries.len() >= RESOURCES_MAX {
        return Err(with_remedy(
            ProblemKind::Overloaded,
            format!("There are already {RESOURCES_MAX} resources."),
            "Delete keys and queues that are not used any more.",
        ));
    }
    match resource {
        Resource::Team(team) => check_team(team),
        Resource::Key(key) => check_key(snapshot, name, key),
        Resource::DataCentre(data_centre) => check_data_centre(data_centre),
        Resource::Queue(queue) => check_queue(snapshot, queue),
        Resource::Policy(policy) => check_policy(name, policy),
    }
}

fn check_team(team: &Team) -> Result<(), Problem> {
    require(
        team.share >= 1,
        "The share is 0.",
        "Set share to at least 1; to stop a team from running work, set its cap to 0.",
    )
}

fn check_key(snapshot: &Snapshot, name: &str, key: &Key) -> Result<(), Problem> {
    let is_hex_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let is_digest = key.digest.len() == DIGEST_LENGTH && key.digest.bytes().all(is_hex_digit);
    require(
        name != BOOTSTRAP_KEY,
        "The key name \"bootstrap\" is reserved for the key in the settings file.",
        "Choose another name.",
    )?;
    require(
        is_digest,
        "The digest of the key is not a SHA-256 digest.",
        "Send the SHA-256 digest of the secret as 64 lower-case hexadecimal digits; `shallotpost key grant` does so.",
    )?;
    match &key.right {
        Right::Team(team) => check_team_exists(snapshot, team),
        Right::Operator => Ok(()),
    }
}

fn check_data_centre(data_centre: &DataCentre) -> Result<(), Problem> {
    require(
        (1..=SHARDS_MAX).contains(&data_centre.shards),
        "The number of shards is out of range.",
        "Set shards to 1 to 1000; one shard is enough for about 130 workers.",
    )
}

fn check_queue(snapshot: &Snapshot, queue: &Queue) -> Result<(), Problem> {
    check_team_exists(snapshot, &queue.team)
}

fn check_policy(name: &str, policy: &Policy) -> Result<(), Problem> {
    require(
        name == POLICY_NAME,
        "The only policy is named \"default\".",
        "Put the policy under the name \"default\".",
    )?;
    let durations = [policy.gang_reservation, policy.urgent_bound, policy.quarantine];
    let positive = durations.iter().all(|duration| !duration.is_zero())
        && policy.quarantine_failures >= 1
        && policy.return_starts_per_second >= 1;
    require(
        positive,
        "A duration or count of the policy is 0.",
        "Set gang_reservation_ms, urgent_bound_ms, quarantine_ms, quarantine_failures and return_starts_per_second to at least 1.",
    )
}

fn check_team_exists(snapshot: &Snapshot, team: &str) -> Result<(), Problem> {
    match snapshot.team(team) {
        Some(_) => Ok(()),
        None => Err(malformed(
            format!("There is no team {team:?}."),
            "Create the team first, or name an existing one; `shallotpost list team` shows them.",
        )),
    }
}

/// Checks a deletion.
///
/// # Errors
/// Returns `NotFound` if the resource does not exist, and `Conflict` for a team that keys or queues still use.
pub fn check_delete(snapshot: &Snapshot, kind: Kind, name: &str) -> Result<(), Problem> {
    if snapshot.entry(kind, name).is_none() {
        return Err(Problem::new(ProblemKind::NotFound, format!("There is no {kind} {name:?}.")));
    }
    let users = if kind == Kind::Team { users(snapshot, name) } else { Vec::new() };
    if users.is_empty() {
        return Ok(());
    }
    let more = if users.len() > NAMES_SHOWN_MAX { ", ..." } else { "" };
    let named =
        users.iter().take(NAMES_SHOWN_MAX).map(String::as_str).collect::<Vec<&str>>().join(", ");
    Err(with_remedy(
        ProblemKind::Conflict,
        format!("Team {name:?} is still used by {named}{more}."),
        "Delete the keys and queues of the team first.",
    ))
}

/// Returns the keys and queues that use a team.
fn users(snapshot: &Snapshot, team: &str) -> Vec<String> {
    let uses = |resource: &Resource| match resource {
        Resource::Key(key) => matches!(&key.right, Right::Team(other) if other == team),
        Resource::Queue(queue) => queue.team == team,
        _ => false,
    };
    let entries = snapshot.entries.iter().filter(|(_, entry)| uses(&entry.resource));
    entries.map(|((kind, name), _)| format!("{kind} {name:?}")).collect()
}

fn require(holds: bool, message: &str, remedy: &str) -> Result<(), Problem> {
    if holds { Ok(()) } else { Err(malformed(message.to_owned(), remedy)) }
}

fn malformed(message: String, remedy: &str) -> Problem {
    with_remedy(ProblemKind::Malformed, message, remedy)
}

/// Creates a problem with a specific remedy in place of the default one of its kind.
pub fn with_remedy(kind: ProblemKind, message: String, remedy: &str) -> Problem {
    Problem { remedy: remedy.to_owned(), ..Problem::new(kind, message) }
}
