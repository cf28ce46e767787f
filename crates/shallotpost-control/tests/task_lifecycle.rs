//! Guards the lifecycle of a task from admission to its recorded end.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification};
use shallotpost_protocol::worker::{Reply, Request};

const LIMIT: Duration = Duration::from_secs(20);

/// Guards against a class of work that does not complete, and against ended tasks that the worker never forgets.
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
        let mut harness = SchedulerHarness::new(2);
        harness.take_over(1);
        let specification = specification("job", class, &command);
        let work = harness.admit(Specification { idempotent, ..specification });
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        harness.run(2500);
        let outcome = harness.outcome(&work).unwrap();
        assert_eq!((outcome.ending, outcome.not_run), (ending, false), "{name}");
        assert_eq!(harness.starts(&work), starts, "{name}");
        assert_eq!(harness.ended.len(), 1, "{name}: the end is reported once");
        let now = harness.now;
        for node in harness.nodes.values_mut() {
            let claim = Request::Claim { shard: shard(), epoch: 9, lease: Duration::from_secs(1) };
            let Reply::State(state) = node.worker.handle(now, &claim) else { panic!("{name}") };
            assert!(state.tasks.is_empty(), "{name}: the worker still keeps {:?}", state.tasks);
        }
    }
}

/// Guards against answers about unknown work, and to keys of other teams.
#[test]
fn requests() {
    let mut harness = SchedulerHarness::new(1);
    let owner = harness.take_over(1);
    harness.run(100);
    for name in ["a", "b", "c"] {
        harness.admit(specification(name, Class::Batch, &["run", "9000"]));
    }
    let foreign = Specification {
        team: "blue".into(),
        ..specification("foreign", Class::Batch, &["run", "9000"])
    };
    let foreign = harness.admit(foreign);
    harness.run(100);
    let list =
        |after: &str, limit| ClientRequest::List { team: "red".into(), after: after.into(), limit };
    for (request, names, rest) in [(list("", 2), "ab", true), (list("b", 2), "c", false)] {
        harness.ask(owner, request);
        let Some(Ok(ClientReply::Work { entries, more })) = harness.answers.pop() else { panic!() };
        let found: String = entries.into_iter().map(|entry| entry.work.name).collect();
        assert_eq!((found.as_str(), more), (names, rest));
    }
    let cases = [
        (ClientRequest::Status(work("none")), ProblemKind::NotFound),
        (ClientRequest::Cancel(work("none")), ProblemKind::NotFound),
        (ClientRequest::Status(foreign.clone()), ProblemKind::Forbidden),
        (ClientRequest::Explain(foreign.clone()), ProblemKind::Forbidden),
        (ClientRequest::Cancel(foreign), ProblemKind::Forbidden),
    ];
    for (request, kind) in cases {
        harness.ask(owner, request);
        assert_eq!(harness.answers.pop().unwrap().unwrap_err().kind, kind);
    }
    harness.run(500);
    let load = &harness.loads[0];
    assert_eq!((load.epoch, load.running_tasks, load.workers), (1, 3, 1));
    harness.ask(owner, ClientRequest::Explain(work("a")));
    assert!(matches!(harness.answers.pop(), Some(Ok(ClientReply::Explanation(_)))));
}

/// Guards against services that stay down after a failure, and against a restart without delay.
#[test]
fn services_are_restarted() {
    let mut harness = SchedulerHarness::new(2);
    let owner = harness.take_over(1);
    let service = harness.admit(specification("svc", Class::Service { replicas: 2 }, &["serve"]));
    let broken =
        harness.admit(specification("bad", Class::Service { replicas: 1 }, &["fail", "10"]));
    harness.run(5000);
    assert_eq!(harness.running_workers(&service).len(), 2);
    let starts = harness.starts(&broken);
    assert!((3..=8).contains(&starts), "{starts} starts in 5 s");
    assert_eq!(harness.phase(owner, &service), Some(Phase::Running));
    assert!(harness.outcome(&broken).is_none());
}

/// Guards against waits that count every attempt or also tasks that an earlier owner started, and that do not include
/// the time before a takeover.
#[test]
fn waits_until_first_starts() {
    let waits = |harness: &SchedulerHarness| -> Vec<(Class, Duration)> {
        let waits = harness.observations.iter().filter_map(|observation| match observation {
            Observation::Waited { class, waiting } => Some((*class, *waiting)),
            _ => None,
        });
        waits.collect()
    };
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    let service = Class::Service { replicas: 1 };
    let failing = harness.admit(specification("bad", service, &["fail", "10"]));
    harness.run(5000);
    assert!(harness.starts(&failing) >= 3);
    let first = waits(&harness);
    assert_eq!(first.len(), 1, "one task: {first:?}");
    assert!(first[0].0 == service && first[0].1 < Duration::from_secs(1), "{first:?}");

    let mut harness = SchedulerHarness::new(1);
    harness.settings.task_lease = Duration::from_secs(8);
    let running = specification("job", Class::Batch, &["run", "60000"]);
    harness.admit(running.clone());
    harness.start_directly("w0", 0, &running);
    let waiting = harness.admit(specification("other", Class::Batch, &["run", "60000"]));
    harness.run(2000);
    harness.take_over(2);
    harness.run_until(Duration::from_secs(40), |harness| harness.starts(&waiting) == 1);
    harness.run(500);
    let waits = waits(&harness);
    assert_eq!(waits.len(), 1, "the other task was found running: {waits:?}");
    assert!(waits[0].1 >= Duration::from_secs(2), "{waits:?}");
}

/// Guards against a report of an ownership lease that is not held, or that does not shrink.
#[test]
fn ownership_lease_reports() {
    let last = |harness: &SchedulerHarness| {
        harness.observations.iter().rev().find_map(|observation| match observation {
            Observation::OwnershipLease(left) => Some(*left),
            _ => None,
        })
    };
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(1000);
    assert!(last(&harness).is_some_and(|left| !left.is_zero()), "{:?}", last(&harness));
    harness.renews_ownership_lease = false;
    harness.expire_leases(true);
    harness.run(1000);
    assert_eq!(last(&harness), Some(Duration::ZERO));
}
