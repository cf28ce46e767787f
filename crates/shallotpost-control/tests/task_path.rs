//! The path of a task from admission to its recorded end.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;

use scheduling::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification};
use shallotpost_protocol::worker::{Reply, Request};

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against a broken path for any class, and against ends that the worker keeps for ever.
#[test]
fn each_class_ends() {
    let cases = [
        ("batch", Class::Batch, ["run", "100"], true, Ending::Succeeded, 1),
        ("urgent", Class::Urgent, ["run", "100"], true, Ending::Succeeded, 1),
        ("gang", Class::Gang { parts: 3 }, ["run", "100"], true, Ending::Succeeded, 3),
        ("once", Class::Batch, ["run", "100"], false, Ending::Succeeded, 1),
        ("retried", Class::Batch, ["fail", "100"], true, Ending::Failed, 3),
        ("failing gang", Class::Gang { parts: 2 }, ["fail", "100"], true, Ending::Failed, 6),
        ("failing once", Class::Batch, ["fail", "100"], false, Ending::Failed, 1),
    ];
    for (name, class, command, idempotent, ending, starts) in cases {
        let mut world = World::new(2);
        world.take_over(1);
        let specification = specification("job", class, &command);
        let work = world.admit(Specification { idempotent, ..specification });
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        world.run(2500);
        let outcome = world.outcome(&work).unwrap();
        assert_eq!((outcome.ending, outcome.not_run), (ending, false), "{name}");
        assert_eq!(world.starts(&work), starts, "{name}");
        assert_eq!(world.ended.len(), 1, "{name}: the end is reported once");
        let now = world.now;
        for node in world.nodes.values_mut() {
            let claim = Request::Claim { shard: shard(), epoch: 9, lease: Duration::from_secs(1) };
            let Reply::State(state) = node.worker.handle(now, &claim) else { panic!("{name}") };
            assert!(state.tasks.is_empty(), "{name}: the worker still keeps {:?}", state.tasks);
        }
    }
}

/// Guards against answers about unknown work, and to keys of other teams.
#[test]
fn requests() {
    let mut world = World::new(1);
    let owner = world.take_over(1);
    world.run(100);
    for name in ["a", "b", "c"] {
        world.admit(specification(name, Class::Batch, &["run", "9000"]));
    }
    let foreign = Specification {
        team: "blue".into(),
        ..specification("foreign", Class::Batch, &["run", "9000"])
    };
    let foreign = world.admit(foreign);
    world.run(100);
    let list = |after: &str, limit| Ask::List { team: "red".into(), after: after.into(), limit };
    for (request, names, rest) in [(list("", 2), "ab", true), (list("b", 2), "c", false)] {
        world.ask(owner, request);
        let Some(Ok(Answer::Work { entries, more })) = world.answers.pop() else { panic!() };
        let found: String = entries.into_iter().map(|entry| entry.work.name).collect();
        assert_eq!((found.as_str(), more), (names, rest));
    }
    let cases = [
        (Ask::Status(work("none")), ProblemKind::NotFound),
        (Ask::Cancel(work("none")), ProblemKind::NotFound),
        (Ask::Status(foreign.clone()), ProblemKind::Forbidden),
        (Ask::Explain(foreign.clone()), ProblemKind::Forbidden),
        (Ask::Cancel(foreign), ProblemKind::Forbidden),
    ];
    for (request, kind) in cases {
        world.ask(owner, request);
        assert_eq!(world.answers.pop().unwrap().unwrap_err().kind, kind);
    }
    world.run(500);
    let load = &world.loads[0];
    assert_eq!((load.epoch, load.running_tasks, load.workers), (1, 3, 1));
    world.ask(owner, Ask::Explain(work("a")));
    assert!(matches!(world.answers.pop(), Some(Ok(Answer::Explanation(_)))));
}

/// Guards against services that stay down after a failure, and against a restart without delay.
#[test]
fn services_are_restarted() {
    let mut world = World::new(2);
    let owner = world.take_over(1);
    let service = world.admit(specification("svc", Class::Service { replicas: 2 }, &["serve"]));
    let broken = world.admit(specification("bad", Class::Service { replicas: 1 }, &["fail", "10"]));
    world.run(5000);
    assert_eq!(world.runners(&service).len(), 2);
    let starts = world.starts(&broken);
    assert!((3..=8).contains(&starts), "{starts} starts in 5 s");
    assert_eq!(world.phase(owner, &service), Some(Phase::Running));
    assert!(world.outcome(&broken).is_none());
}

/// Guards against waits that count every attempt or also tasks that an earlier owner started, and that do not include
/// the time before a takeover.
#[test]
fn waits_until_first_starts() {
    let waits = |world: &World| -> Vec<(Class, Duration)> {
        let waits = world.observations.iter().filter_map(|observation| match observation {
            Observation::Waited { class, waiting } => Some((*class, *waiting)),
            _ => None,
        });
        waits.collect()
    };
    let mut world = World::new(1);
    world.take_over(1);
    let service = Class::Service { replicas: 1 };
    let failing = world.admit(specification("bad", service, &["fail", "10"]));
    world.run(5000);
    assert!(world.starts(&failing) >= 3);
    let first = waits(&world);
    assert_eq!(first.len(), 1, "one task: {first:?}");
    assert!(first[0].0 == service && first[0].1 < Duration::from_secs(1), "{first:?}");

    let mut world = World::new(1);
    world.settings.task_lease = Duration::from_secs(8);
    let running = specification("job", Class::Batch, &["run", "60000"]);
    world.admit(running.clone());
    world.start_directly("w0", 0, &running);
    let waiting = world.admit(specification("other", Class::Batch, &["run", "60000"]));
    world.run(2000);
    world.take_over(2);
    world.run_until(Duration::from_secs(40), |world| world.starts(&waiting) == 1);
    world.run(500);
    let waits = waits(&world);
    assert_eq!(waits.len(), 1, "the other task was found running: {waits:?}");
    assert!(waits[0].1 >= Duration::from_secs(2), "{waits:?}");
}

/// Guards against a report of an ownership lease that is not held, or that does not shrink.
#[test]
fn ownership_lease_reports() {
    let last = |world: &World| {
        world.observations.iter().rev().find_map(|observation| match observation {
            Observation::OwnershipLease(left) => Some(*left),
            _ => None,
        })
    };
    let mut world = World::new(1);
    world.take_over(1);
    world.run(1000);
    assert!(last(&world).is_some_and(|left| !left.is_zero()), "{:?}", last(&world));
    world.lease = false;
    world.expire_leases(true);
    world.run(1000);
    assert_eq!(last(&world), Some(Duration::ZERO));
}
