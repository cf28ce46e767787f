//! Guards against configuration that is accepted and not in force: withdrawn keys, drained data centres, lowered caps.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{Availability, Kind, Resource, Team};
use support::cell::{Answer, Cell};
use support::deployment::{
    OPERATOR, RICE, data_centre, deploy, job, put, rice, service, try_put, unlimited,
};

/// Bound on the time from an accepted change to its effect everywhere; docs/design.md, section 1.4.
const IN_FORCE_BOUND: Duration = Duration::from_secs(9);

fn is_unauthorized(answer: &Answer) -> bool {
    matches!(answer, Err(problem) if problem.kind == ProblemKind::Unauthorized)
}

/// A change of the cell.
type Step = fn(&mut Cell);

/// Faults during which a change is made through host `a1`.
const FAULTS: &[(&str, Step)] = &[
    ("none", |_| {}),
    ("other data centre cut from the platform", |cell| cell.cut("west", "platform")),
    ("other data centre cut from everything", |cell| {
        cell.cut("west", "platform");
        cell.cut("west", "east");
    }),
    ("host of the other data centre paused", |cell| cell.pause("b1")),
    ("host of the same data centre dead", |cell| cell.kill("a2")),
];

#[test]
fn withdrawn_key() {
    for (name, begin) in FAULTS {
        let mut cell = deploy();
        begin(&mut cell);
        cell.run(Duration::from_millis(200));
        let delete = Request::Delete {
            kind: Kind::Key,
            name: "rice-key".to_owned(),
            revision: None,
            dry_run: false,
        };
        let answer = cell.ask("a1", OPERATOR, delete);
        assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
        cell.run(IN_FORCE_BOUND);
        cell.resume("b1");
        for host in ["a1", "b1", "b2"] {
            let answer = cell.ask(host, RICE, Request::Submit(job("late", 10, true)));
            let refused = is_unauthorized(&answer)
                || matches!(&answer, Err(problem) if problem.kind == ProblemKind::StaleConfiguration);
            assert!(refused, "{name}: host {host} answered {answer:?}");
        }
        assert_eq!(cell.starts("late"), 0, "{name}");
    }
}

#[test]
fn drained_data_centre() {
    for (name, begin) in FAULTS {
        let mut cell = deploy();
        for index in 0..40 {
            let specification = job(&format!("job-{index}"), 2000, true);
            cell.request("b2", RICE, Request::Submit(specification));
        }
        cell.run(Duration::from_millis(300));
        begin(&mut cell);
        let answer = try_put(&mut cell, "a1", OPERATOR, "west", data_centre(Availability::Drained));
        assert!(matches!(answer, Ok(Reply::Changed { .. })), "{name}: {answer:?}");
        cell.run(IN_FORCE_BOUND);
        cell.resume("b1");
        let starts = cell.starts_in("west");
        cell.run(Duration::from_secs(20));
        assert_eq!(
            cell.starts_in("west"),
            starts,
            "{name}: a task started in the drained data centre"
        );
    }
}

#[test]
fn restored_data_centre() {
    let mut cell = deploy();
    put(&mut cell, OPERATOR, "west", data_centre(Availability::Drained));
    put(&mut cell, OPERATOR, "east", data_centre(Availability::Drained));
    cell.run(IN_FORCE_BOUND);
    put(&mut cell, OPERATOR, "west", data_centre(Availability::Active));
    cell.run(Duration::from_secs(2));
    cell.submit("a1", RICE, service("intake", 2));
    let serving = cell.run_until(Duration::from_secs(10), |cell| cell.places("intake").len() == 2);
    assert!(serving, "{:?}", cell.places("intake"));
    assert_eq!(cell.starts_in("east"), 0);
}

fn capped(slots: u64) -> Resource {
    let cap = Size { slots, ..unlimited() };
    Resource::Team(Team { share: 1, cap })
}

#[test]
fn fleet_wide_cap() {
    for (name, begin) in FAULTS {
        let mut cell = deploy();
        put(&mut cell, OPERATOR, "rice", capped(5));
        cell.run(IN_FORCE_BOUND);
        begin(&mut cell);
        for index in 0..30 {
            let host = ["a1", "b2"][index % 2];
            cell.request(host, RICE, Request::Submit(job(&format!("job-{index}"), 1000, true)));
        }
        let exceeded = cell.run_until(Duration::from_secs(20), |cell| cell.running("rice") > 5);
        assert!(!exceeded, "{name}: {} tasks of a team with a cap of 5 run", cell.running("rice"));
        let started = (0..30).filter(|index| cell.starts(&format!("job-{index}")) > 0).count();
        assert!(started >= 10, "{name}: only {started} of 30 tasks started in 20 s");
    }
}

#[test]
fn lowered_cap() {
    let mut cell = deploy();
    cell.submit("a1", RICE, service("intake", 8));
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.places("intake").len() == 8));
    put(&mut cell, OPERATOR, "rice", capped(3));
    cell.run(IN_FORCE_BOUND);
    assert!(cell.running("rice") <= 3, "{} tasks run", cell.running("rice"));
    let above = cell.run_until(Duration::from_secs(20), |cell| cell.running("rice") > 3);
    assert!(!above);
    let status = cell.ask("a1", RICE, Request::Status(rice("intake")));
    assert!(matches!(status, Ok(Reply::Status(_))), "the work itself is kept: {status:?}");
}

#[test]
fn revision_never_reverts() {
    let mut cell = deploy();
    cell.kill("b2");
    cell.cut("west", "platform");
    put(&mut cell, OPERATOR, "rice", capped(7));
    cell.run(IN_FORCE_BOUND);
    cell.cuts.clear();
    cell.restart("b2");
    cell.run(Duration::from_secs(5));
    for host in ["a1", "a2", "b1", "b2"] {
        let get = Request::Get { kind: Kind::Team, name: "rice".to_owned() };
        match cell.ask(host, OPERATOR, get) {
            Ok(Reply::Entry(entry)) => assert_eq!(entry.resource, capped(7), "{host}"),
            other => panic!("{host}: {other:?}"),
        }
    }
}
