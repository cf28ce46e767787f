//! A small deployment for failure tests: two data centres with two entry hosts and four workers each, two teams.

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Availability, DataCentre, Key, Resource, Right, Team};
use shallotpost_protocol::work::{Class, Specification};

use super::cell::{ADMIN, Answer, Cell};
use super::requests::batch;

/// Capacity of each worker.
pub const CAPACITY: Size =
    Size { processors_milli: 4000, memory_mib: 8192, accelerators: 0, slots: 8 };

/// Key of the team `rice`.
pub const RICE: &str = "rice-key.rice";

/// Key of the team `jute`.
pub const JUTE: &str = "jute-key.jute";

/// Key of an operator, for use after the set-up.
pub const OPERATOR: &str = "admin.root";

/// Starts the deployment and sets up teams, keys and data centres.
pub fn deploy() -> Cell {
    let mut cell = Cell::new(&[("a1", "east"), ("a2", "east"), ("b1", "west"), ("b2", "west")]);
    cell.add_workers("east", 4, CAPACITY);
    cell.add_workers("west", 4, CAPACITY);
    cell.run(Duration::from_secs(3));
    for name in ["east", "west"] {
        put(&mut cell, ADMIN, name, data_centre(Availability::Active));
    }
    for team in ["rice", "jute"] {
        put(&mut cell, ADMIN, team, Resource::Team(Team { share: 1, cap: unlimited() }));
        let right = Right::Team(team.to_owned());
        let digest = key::digest(team.as_bytes());
        put(
            &mut cell,
            ADMIN,
            &format!("{team}-key"),
            Resource::Key(Key { right, digest, expires_unix_ms: None }),
        );
    }
    let operator =
        Key { right: Right::Operator, digest: key::digest(b"root"), expires_unix_ms: None };
    put(&mut cell, ADMIN, "admin", Resource::Key(operator));
    cell.run(Duration::from_secs(5));
    cell
}

/// No limit in any amount.
pub fn unlimited() -> Size {
    Size::from_parts([u64::MAX; 4])
}

/// A data centre with one shard.
pub fn data_centre(availability: Availability) -> Resource {
    Resource::DataCentre(DataCentre { availability, shards: 1 })
}

/// Puts a resource; it must be accepted.
pub fn put(cell: &mut Cell, key: &str, name: &str, resource: Resource) {
    let answer = try_put(cell, "a1", key, name, resource);
    assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
}

/// Puts a resource through a host.
pub fn try_put(cell: &mut Cell, host: &str, key: &str, name: &str, resource: Resource) -> Answer {
    let request = Request::Put { name: name.to_owned(), resource, revision: None, dry_run: false };
    cell.ask(host, key, request)
}

/// A job of the team `rice` that runs for this many milliseconds.
pub fn job(id: &str, millis: u64, idempotent: bool) -> Specification {
    let command = vec!["run".to_owned(), millis.to_string()];
    Specification { command, idempotent, ..batch("rice", id) }
}

/// A service of the team `rice`.
pub fn service(id: &str, replicas: u32) -> Specification {
    Specification {
        class: Class::Service { replicas },
        command: vec!["serve".to_owned()],
        ..batch("rice", id)
    }
}

/// The work of the team `rice` with this id.
pub fn rice(id: &str) -> WorkId {
    WorkId { team: "rice".to_owned(), name: id.to_owned() }
}
