//! Guards against configuration that is accepted but not in force: withdrawn keys, drained data centres, lowered caps.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{Availability, Kind, Resource, Team};
use support::deployment::{
    OPERATOR_KEY, RICE_KEY, data_centre, deploy, job, put, rice_work, service, try_put, unlimited,
};
use support::test_cluster::{Answer, TestCluster};

/// Bound on the time from an accepted change to its effect everywhere; docs/design.md, section 1.4.
const IN_FORCE_BOUND: Duration = Duration::from_secs(9);

fn is_unauthorized(answer: &Answer) -> bool {
    matches!(answer, Err(problem) if problem.kind == ProblemKind::Unauthorized)
}

/// Changes the state of the cluster.
type Action = fn(&mut TestCluster);

/// Faults during which a change is made through host `a1`.
const FAULTS: &[(&str, Action)] = &[
    ("none", |_| {}),
    ("other data centre cut from the platform", |cluster| cluster.partition("west", "platform")),
    ("other data centre cut from everything", |cluster| {
        cluster.partition("west", "platform");
        cluster.partition("west", "east");
    }),
    ("host of the other data centre paused", |cluster| cluster.pause("b1")),
    ("host of the same data centre dead", |cluster| cluster.kill("a2")),
];

#[test]
fn withdrawn_key() {
    for (name, begin) in FAULTS {
        let mut cluster = deploy();
        begin(&mut cluster);
        cluster.run(Duration::from_millis(200));
        let delete = Request::Delete {
            kind: Kind::Key,
            name: "rice-key".to_owned(),
            revision: None,
            dry_run: false,
        };
        let answer = cluster.ask("a1", OPERATOR_KEY, delete);
        assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
        cluster.run(IN_FORCE_BOUND);
        cluster.resume("b1");
        for host in ["a1", "b1", "b2"] {
            let answer = cluster.ask(host, RICE_KEY, Request::Submit(job("late", 10, true)));
            let refused = is_unauthorized(&answer)
                || matches!(&answer, Err(problem) if problem.kind == ProblemKind::StaleConfiguration);
            assert!(refused, "{name}: host {host} answered {answer:?}");
        }
        assert_eq!(cluster.starts("late"), 0, "{name}");
    }
}

#[test]
fn drained_data_centre() {
    for (name, begin) in FAULTS {
        let mut cluster = deploy();
        for index in 0..40 {
            let specification = job(&format!("job-{index}"), 2000, true);
            cluster.request("b2", RICE_KEY, Request::Submit(specification));
        }
        cluster.run(Duration::from_millis(300));
        begin(&mut cluster);
        let answer =
            try_put(&mut cluster, "a1", OPERATOR_KEY, "west", data_centre(Availability::Drained));
        assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
        cluster.run(IN_FORCE_BOUND);
        cluster.resume("b1");
        let starts = cluster.starts_in("west");
        cluster.run(Duration::from_secs(20));
        assert_eq!(
            cluster.starts_in("west"),
            starts,
            "{name}: a task started in the drained data centre"
        );
    }
}

#[test]
fn restored_data_centre() {
    let mut cluster = deploy();
    put(&mut cluster, OPERATOR_KEY, "west", data_centre(Availability::Drained));
    put(&mut cluster, OPERATOR_KEY, "east", data_centre(Availability::Drained));
    cluster.run(IN_FORCE_BOUND);
    put(&mut cluster, OPERATOR_KEY, "west", data_centre(Availability::Active));
    cluster.run(Duration::from_secs(2));
    cluster.submit("a1", RICE_KEY, service("intake", 2));
    let serving = cluster
        .run_until(Duration::from_secs(10), |cluster| cluster.placements("intake").len() == 2);
    assert!(serving, "{:?}", cluster.placements("intake"));
    assert_eq!(cluster.starts_in("east"), 0);
}

fn capped(slots: u64) -> Resource {
    let cap = Size { slots, ..unlimited() };
    Resource::Team(Team { share: 1, cap })
}

#[test]
fn fleet_wide_cap() {
    for (name, begin) in FAULTS {
        let mut cluster = deploy();
        put(&mut cluster, OPERATOR_KEY, "rice", capped(5));
        cluster.run(IN_FORCE_BOUND);
        begin(&mut cluster);
        for index in 0..30 {
            let host = ["a1", "b2"][index % 2];
            cluster.request(
                host,
                RICE_KEY,
                Request::Submit(job(&format!("job-{index}"), 1000, true)),
            );
        }
        let exceeded =
            cluster.run_until(Duration::from_secs(20), |cluster| cluster.running("rice") > 5);
        assert!(
            !exceeded,
            "{name}: {} tasks of a team with a cap of 5 run",
            cluster.running("rice")
        );
        let started = (0..30).filter(|index| cluster.starts(&format!("job-{index}")) > 0).count();
        assert!(started >= 10, "{name}: only {started} of 30 tasks started in 20 s");
    }
}

#[test]
fn lowered_cap() {
    let mut cluster = deploy();
    cluster.submit("a1", RICE_KEY, service("intake", 8));
    assert!(
        cluster
            .run_until(Duration::from_secs(5), |cluster| cluster.placements("intake").len() == 8)
    );
    put(&mut cluster, OPERATOR_KEY, "rice", capped(3));
    cluster.run(IN_FORCE_BOUND);
    assert!(cluster.running("rice") <= 3, "{} tasks run", cluster.running("rice"));
    let above = cluster.run_until(Duration::from_secs(20), |cluster| cluster.running("rice") > 3);
    assert!(!above);
    let status = cluster.ask("a1", RICE_KEY, Request::Status(rice_work("intake")));
    assert!(matches!(status, Ok(Reply::Status(_))), "the work itself is kept: {status:?}");
}

#[test]
fn revision_never_reverts() {
    let mut cluster = deploy();
    cluster.kill("b2");
    cluster.partition("west", "platform");
    put(&mut cluster, OPERATOR_KEY, "rice", capped(7));
    cluster.run(IN_FORCE_BOUND);
    cluster.partitions.clear();
    cluster.restart("b2");
    cluster.run(Duration::from_secs(5));
    for host in ["a1", "a2", "b1", "b2"] {
        let get = Request::Get { kind: Kind::Team, name: "rice".to_owned() };
        match cluster.ask(host, OPERATOR_KEY, get) {
            Ok(Reply::Entry(entry)) => assert_eq!(entry.resource, capped(7), "{host}"),
            other => panic!("{host}: {other:?}"),
        }
    }
}
