//! Guards against faults of workers and of the calls to them.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification};

const LIMIT: Duration = Duration::from_secs(40);

fn batch(idempotent: bool, milliseconds: &str) -> Specification {
    Specification { idempotent, ..specification("job", Class::Batch, &["run", milliseconds]) }
}

/// Guards against a second start after an ambiguous one, and against answers that are matched to the wrong call.
#[test]
fn start_answers() {
    use Ending::Succeeded;
    let cases = [
        (Fault::NotSent, true, Succeeded, 1),
        (Fault::NotSent, false, Succeeded, 1),
        (Fault::LostRequest, true, Succeeded, 1),
        (Fault::LostRequest, false, Succeeded, 1),
        (Fault::LostAnswer, true, Succeeded, 1),
        (Fault::LostAnswer, false, Succeeded, 1),
        (Fault::LateAnswer, true, Succeeded, 1),
        (Fault::LateAnswer, false, Succeeded, 1),
        (Fault::DuplicateAnswer, true, Succeeded, 1),
        (Fault::StrayAnswer, false, Succeeded, 1),
    ];
    for (fault, idempotent, ending, starts) in cases {
        for milliseconds in ["500", "6000"] {
            let mut harness = SchedulerHarness::new(2);
            harness.take_over(1);
            harness.fault("w0", CallKind::Start, fault, 1);
            harness.fault("w1", CallKind::Start, fault, 1);
            let work = harness.admit(batch(idempotent, milliseconds));
            harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
            let case = (fault, idempotent, milliseconds);
            assert_eq!(harness.outcome(&work).unwrap().ending, ending, "{case:?}");
            assert_eq!(harness.starts(&work), starts, "{case:?}");
        }
    }
}

/// Guards against tasks that are given up or started twice because single claims, heartbeats or stops fail.
#[test]
fn session_answers() {
    let faults = [
        Fault::NotSent,
        Fault::LostRequest,
        Fault::LostAnswer,
        Fault::LateAnswer,
        Fault::DuplicateAnswer,
        Fault::StrayAnswer,
    ];
    for fault in faults {
        for kind in [CallKind::Claim, CallKind::Sync] {
            let mut harness = SchedulerHarness::new(1);
            harness.fault("w0", kind, fault, 2);
            harness.take_over(1);
            let work = harness.admit(batch(true, "3000"));
            harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
            assert_eq!(harness.starts(&work), 1, "{fault:?} {kind:?}");
        }
        let mut harness = SchedulerHarness::new(1);
        let owner = harness.take_over(1);
        let work = harness.admit(batch(true, "60000"));
        harness.run(500);
        harness.fault("w0", CallKind::Stop, fault, 2);
        harness.ask(owner, ClientRequest::Cancel(work.clone()));
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        assert_eq!(harness.running_workers(&work).len(), 0, "{fault:?}");
        assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Cancelled, "{fault:?}");
    }
}

/// Guards against a restart before the task lease has surely lapsed, and against tasks that are never restarted.
#[test]
fn silent_workers() {
    // Duration, whether the worker answers meanwhile, whether it is listed, idempotent, ending, starts.
    let cases = [
        (5_000, false, true, true, Ending::Succeeded, 1),
        (5_000, true, false, false, Ending::Succeeded, 1),
        (60_000, false, true, true, Ending::Succeeded, 2),
        // A later owner cannot know a worker that is not listed, so its lease must not be renewed.
        (60_000, true, false, true, Ending::Succeeded, 2),
        (60_000, false, false, true, Ending::Succeeded, 2),
        (60_000, false, true, false, Ending::Unknown, 1),
    ];
    for case in cases {
        let (duration, alive, listed, idempotent, ending, starts) = case;
        let mut harness = SchedulerHarness::new(1);
        harness.take_over(1);
        let work = harness.admit(batch(idempotent, "15000"));
        harness.run(1000);
        harness.node("w0").alive = alive;
        harness.node("w0").listed = listed;
        harness.add_worker("w9", 4);
        harness.publish();
        harness.run(duration);
        harness.node("w0").alive = true;
        harness.node("w0").listed = true;
        harness.publish();
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        assert_eq!(harness.outcome(&work).unwrap().ending, ending, "{case:?}");
        assert_eq!(harness.starts(&work), starts, "{case:?}");
    }
}

/// Guards against a worker that lost its tasks but still counts as running them.
#[test]
fn restarted_worker() {
    for (idempotent, ending, starts) in [(true, Ending::Succeeded, 2), (false, Ending::Unknown, 1)]
    {
        let mut harness = SchedulerHarness::new(1);
        harness.take_over(1);
        let work = harness.admit(batch(idempotent, "2000"));
        harness.run(1000);
        harness.node("w0").worker.restart();
        harness.run_until(Duration::from_secs(4), |harness| harness.outcome(&work).is_some());
        assert_eq!(harness.outcome(&work).unwrap().ending, ending);
        assert_eq!(harness.starts(&work), starts);
    }
}

/// Guards against a gang that goes on without a part whose start was refused.
#[test]
fn refused_gang_part() {
    let mut harness = SchedulerHarness::new(2);
    harness.take_over(1);
    harness.fault("w1", CallKind::Start, Fault::NotSent, 1);
    let gang = specification("gang", Class::Gang { parts: 2 }, &["run", "1000"]);
    let work = harness.admit(Specification { size: size(3), ..gang });
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded);
    assert_eq!(harness.starts(&work), 3);
}

/// Guards against unbounded restarts on a worker that fails everything.
#[test]
fn failing_worker() {
    let mut harness = SchedulerHarness::new(1);
    harness.node("w0").worker.fails_everything = true;
    harness.take_over(1);
    let work = harness.admit(batch(true, "1000"));
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Failed);
    assert_eq!(harness.starts(&work), 3);
}

/// Guards against starts on a worker that leaves or was dropped from the list, and against work lost by the refusal.
#[test]
fn leaving_worker() {
    for dropped in [false, true] {
        let mut harness = SchedulerHarness::new(1);
        let owner = harness.take_over(1);
        harness.run(500);
        harness.node("w0").worker.leaving = !dropped;
        harness.node("w0").listed = !dropped;
        harness.publish();
        let work = harness.admit(batch(true, "100"));
        harness.run(5000);
        assert!(
            harness.start_calls <= usize::from(!dropped),
            "{} start calls",
            harness.start_calls
        );
        assert_eq!(harness.phase(owner, &work), Some(Phase::Waiting));
        harness.add_worker("w9", 4);
        harness.publish();
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    }
}

/// Guards against answers that arrive after a later event has overtaken them.
#[test]
fn answers_after_later_events() {
    // A snapshot from before the start must not count as the loss of the task.
    let mut harness = SchedulerHarness::new(1);
    harness.fault("w0", CallKind::Sync, Fault::SlowAnswer, 2);
    harness.take_over(1);
    harness.run(20);
    let work = harness.admit(batch(true, "1000"));
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 1);
    // The answer to a start whose task has ended already must not revive the task.
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(200);
    harness.fault("w0", CallKind::Start, Fault::SlowAnswer, 1);
    let work = harness.admit(specification("job", Class::Batch, &["fail", "10"]));
    harness.run_until(Duration::from_secs(2), |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 3);
}

/// Guards against an unbounded number of connections to one worker.
#[test]
fn bounded_calls() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(100);
    harness.node("w0").alive = false;
    for index in 0..4 {
        let size = Size { processors_milli: 1, ..size(0) };
        let name = format!("job{index}");
        let specification = specification(&name, Class::Service { replicas: 2 }, &["serve"]);
        harness.admit(Specification { size, ..specification });
    }
    harness.run(1000);
    assert_eq!(harness.start_calls, 4);
}

/// Guards against a non-idempotent gang that waits forever, or runs a part twice, because the start of one part was
/// ruled out after the other part had succeeded.
#[test]
fn part_ruled_out_after_another_succeeded() {
    let mut harness = SchedulerHarness::new(2);
    harness.take_over(1);
    harness.fault("w0", CallKind::Start, Fault::LostRequest, 1);
    let size = size(4);
    let gang = specification("gang", Class::Gang { parts: 2 }, &["run", "100"]);
    let work = harness.admit(Specification { idempotent: false, size, ..gang });
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Failed);
    assert_eq!(harness.starts(&work), 1);
}
