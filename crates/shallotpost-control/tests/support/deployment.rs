//! A small deployment for fault tests: two teams, and two data centres with two entry hosts and four workers each.

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{Availability, DataCentre, Key, Resource, Right, Team};
use shallotpost_protocol::work::{Class, Specification};

use super::service_harness::batch_job;
use super::test_cluster::{Answer, BOOTSTRAP_KEY, TestCluster};

/// Capacity of each worker.
pub const CAPACITY: Size =
    Size { processors_milli: 4000, memory_mib: 8192, accelerators: 0, slots: 8 };

/// Key of the team `rice`.
pub const RICE_KEY: &str = "rice-key.rice";

/// Key of the team `jute`.
pub const JUTE_KEY: &str = "jute-key.jute";

/// Operator key; valid once [`deploy`] has configured it.
pub const OPERATOR_KEY: &str = "admin.root";

/// Starts the deployment and sets up teams, keys and data centres.
pub fn deploy() -> TestCluster {
    let mut cluster =
        TestCluster::new(&[("a1", "east"), ("a2", "east"), ("b1", "west"), ("b2", "west")]);
    cluster.add_workers("east", 4, CAPACITY);
    cluster.add_workers("west", 4, CAPACITY);
    cluster.run(Duration::from_secs(3));
    for name in ["east", "west"] {
        put(&mut cluster, BOOTSTRAP_KEY, name, data_centre(Availability::Active));
    }
    for team in ["rice", "jute"] {
        put(&mut cluster, BOOTSTRAP_KEY, team, Resource::Team(Team { share: 1, cap: unlimited() }));
        let right = Right::Team(team.to_owned());
        let digest = key::digest(team.as_bytes());
        put(
            &mut cluster,
            BOOTSTRAP_KEY,
            &format!("{team}-key"),
            Resource::Key(Key { right, digest, expires_unix_ms: None }),
        );
    }
    let operator =
        Key { right: Right::Operator, digest: key::digest(b"root"), expires_unix_ms: None };
    put(&mut cluster, BOOTSTRAP_KEY, "admin", Resource::Key(operator));
    cluster.run(Duration::from_secs(5));
    cluster
}

/// A cap without a limit in any dimension.
pub fn unlimited() -> Size {
    Size::from_parts([u64::MAX; 4])
}

/// A data centre with one shard.
pub fn data_centre(availability: Availability) -> Resource {
    Resource::DataCentre(DataCentre { availability, shards: 1 })
}

/// Puts a resource through host `a1` and asserts that it is accepted.
pub fn put(cluster: &mut TestCluster, key: &str, name: &str, resource: Resource) {
    let answer = try_put(cluster, "a1", key, name, resource);
    assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
}

/// Puts a resource through a host.
pub fn try_put(
    cluster: &mut TestCluster,
    host: &str,
    key: &str,
    name: &str,
    resource: Resource,
) -> Answer {
    let request = Request::Put { name: name.to_owned(), resource, revision: None, dry_run: false };
    cluster.ask(host, key, request)
}

/// A job of the team `rice` that runs for this many milliseconds.
pub fn job(id: &str, millis: u64, idempotent: bool) -> Specification {
    let command = vec!["run".to_owned(), millis.to_string()];
    Specification { command, idempotent, ..batch_job("rice", id) }
}

/// A service of the team `rice`.
pub fn service(id: &str, replicas: u32) -> Specification {
    Specification {
        class: Class::Service { replicas },
        command: vec!["serve".to_owned()],
        ..batch_job("rice", id)
    }
}

/// Work ID of the team `rice`.
pub fn rice_work(id: &str) -> WorkId {
    WorkId { team: "rice".to_owned(), name: id.to_owned() }
}
