//! Faults of workers and of the calls to them.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;

use scheduling::*;
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
        (Fault::Late, true, Succeeded, 1),
        (Fault::Late, false, Succeeded, 1),
        (Fault::Twice, true, Succeeded, 1),
        (Fault::Crossed, false, Succeeded, 1),
    ];
    for (fault, idempotent, ending, starts) in cases {
        for milliseconds in ["500", "6000"] {
            let mut world = World::new(2);
            world.take_over(1);
            world.fault("w0", Kind::Start, fault, 1);
            world.fault("w1", Kind::Start, fault, 1);
            let work = world.admit(batch(idempotent, milliseconds));
            world.run_until(LIMIT, |world| world.outcome(&work).is_some());
            let case = (fault, idempotent, milliseconds);
            assert_eq!(world.outcome(&work).unwrap().ending, ending, "{case:?}");
            assert_eq!(world.starts(&work), starts, "{case:?}");
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
        Fault::Late,
        Fault::Twice,
        Fault::Crossed,
    ];
    for fault in faults {
        for kind in [Kind::Claim, Kind::Sync] {
            let mut world = World::new(1);
            world.fault("w0", kind, fault, 2);
            world.take_over(1);
            let work = world.admit(batch(true, "3000"));
            world.run_until(LIMIT, |world| world.outcome(&work).is_some());
            assert_eq!(world.starts(&work), 1, "{fault:?} {kind:?}");
        }
        let mut world = World::new(1);
        let owner = world.take_over(1);
        let work = world.admit(batch(true, "60000"));
        world.run(500);
        world.fault("w0", Kind::Stop, fault, 2);
        world.ask(owner, Ask::Cancel(work.clone()));
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        assert_eq!(world.runners(&work).len(), 0, "{fault:?}");
        assert_eq!(world.outcome(&work).unwrap().ending, Ending::Cancelled, "{fault:?}");
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
        let mut world = World::new(1);
        world.take_over(1);
        let work = world.admit(batch(idempotent, "15000"));
        world.run(1000);
        world.node("w0").alive = alive;
        world.node("w0").listed = listed;
        world.add_worker("w9", 4);
        world.publish();
        world.run(duration);
        world.node("w0").alive = true;
        world.node("w0").listed = true;
        world.publish();
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        assert_eq!(world.outcome(&work).unwrap().ending, ending, "{case:?}");
        assert_eq!(world.starts(&work), starts, "{case:?}");
    }
}

/// Guards against a worker that lost its tasks but still counts as running them.
#[test]
fn restarted_worker() {
    for (idempotent, ending, starts) in [(true, Ending::Succeeded, 2), (false, Ending::Unknown, 1)]
    {
        let mut world = World::new(1);
        world.take_over(1);
        let work = world.admit(batch(idempotent, "2000"));
        world.run(1000);
        world.node("w0").worker.restart();
        world.run_until(Duration::from_secs(4), |world| world.outcome(&work).is_some());
        assert_eq!(world.outcome(&work).unwrap().ending, ending);
        assert_eq!(world.starts(&work), starts);
    }
}

/// Guards against a gang that goes on without a part whose start was refused.
#[test]
fn refused_gang_part() {
    let mut world = World::new(2);
    world.take_over(1);
    world.fault("w1", Kind::Start, Fault::NotSent, 1);
    let gang = specification("gang", Class::Gang { parts: 2 }, &["run", "1000"]);
    let work = world.admit(Specification { size: size(3), ..gang });
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.outcome(&work).unwrap().ending, Ending::Succeeded);
    assert_eq!(world.starts(&work), 3);
}

/// Guards against unbounded restarts on a worker that fails everything.
#[test]
fn failing_worker() {
    let mut world = World::new(1);
    world.node("w0").worker.fails_everything = true;
    world.take_over(1);
    let work = world.admit(batch(true, "1000"));
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.outcome(&work).unwrap().ending, Ending::Failed);
    assert_eq!(world.starts(&work), 3);
}

/// Guards against starts on a worker that leaves or was dropped from the list, and against work lost by the refusal.
#[test]
fn leaving_worker() {
    for dropped in [false, true] {
        let mut world = World::new(1);
        let owner = world.take_over(1);
        world.run(500);
        world.node("w0").worker.leaving = !dropped;
        world.node("w0").listed = !dropped;
        world.publish();
        let work = world.admit(batch(true, "100"));
        world.run(5000);
        assert!(world.start_calls <= usize::from(!dropped), "{} start calls", world.start_calls);
        assert_eq!(world.phase(owner, &work), Some(Phase::Waiting));
        world.add_worker("w9", 4);
        world.publish();
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    }
}

/// Guards against answers that arrive after a later event has overtaken them.
#[test]
fn overtaken_answers() {
    // A snapshot from before the start must not count as the loss of the task.
    let mut world = World::new(1);
    world.fault("w0", Kind::Sync, Fault::Slow, 2);
    world.take_over(1);
    world.run(20);
    let work = world.admit(batch(true, "1000"));
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.starts(&work), 1);
    // The answer to a start whose task has ended already must not revive the task.
    let mut world = World::new(1);
    world.take_over(1);
    world.run(200);
    world.fault("w0", Kind::Start, Fault::Slow, 1);
    let work = world.admit(specification("job", Class::Batch, &["fail", "10"]));
    world.run_until(Duration::from_secs(2), |world| world.outcome(&work).is_some());
    assert_eq!(world.starts(&work), 3);
}

/// Guards against an unbounded number of connections to one worker.
#[test]
fn bounded_calls() {
    let mut world = World::new(1);
    world.take_over(1);
    world.run(100);
    world.node("w0").alive = false;
    for index in 0..4 {
        let size = Size { processors_milli: 1, ..size(0) };
        let name = format!("job{index}");
        let specification = specification(&name, Class::Service { replicas: 2 }, &["serve"]);
        world.admit(Specification { size, ..specification });
    }
    world.run(1000);
    assert_eq!(world.start_calls, 4);
}

/// Guards against a non-idempotent gang that waits for ever, or runs a part twice, because the start of one part was
/// ruled out after the other part had succeeded.
#[test]
fn part_ruled_out_after_another_succeeded() {
    let mut world = World::new(2);
    world.take_over(1);
    world.fault("w0", Kind::Start, Fault::LostRequest, 1);
    let size = size(4);
    let gang = specification("gang", Class::Gang { parts: 2 }, &["run", "100"]);
    let work = world.admit(Specification { idempotent: false, size, ..gang });
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.outcome(&work).unwrap().ending, Ending::Failed);
    assert_eq!(world.starts(&work), 1);
}
