//! Tests that explanations name the most binding reason first and the remedy for it.

mod common;

use common::*;
use shallotpost_policy::planner::Planner;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::{Class, Phase};

type Prepare = fn(&mut Planner, Instant);

fn disable_starts(planner: &mut Planner, now: Instant) {
    planner.set_starts_enabled(now, false);
}

fn lower_grant(planner: &mut Planner, now: Instant) {
    planner.set_team(now, team("a", 1, capacity(1, 100, 9, 9)));
}

fn forget_team(planner: &mut Planner, _now: Instant) {
    planner.remove_team(&"a".to_owned());
}

fn fill_workers(planner: &mut Planner, now: Instant) {
    submit_batch(planner, "b", "x", 16, size(1, 1, 0), now);
}

fn make_unschedulable(planner: &mut Planner, now: Instant) {
    for name in ["w0", "w1"] {
        let mut closed = worker(name, "r0", capacity(8, 32, 0, 8));
        closed.schedulable = false;
        planner.set_worker(now, closed);
    }
}

fn replace_workers(planner: &mut Planner, now: Instant) {
    planner.set_worker(now, worker("w2", "r0", capacity(1, 32, 0, 8)));
    planner.remove_worker(now, &"w0".to_owned());
    planner.remove_worker(now, &"w1".to_owned());
}

/// Guards against an explanation that starts with a reason which is not binding, or lacks a remedy.
#[test]
fn first_reason_is_the_binding_one() {
    let cases: [(&str, Prepare, &str, &str); 6] = [
        ("starts disabled", disable_starts, "takes no new work", "active"),
        ("grant", lower_grant, "processors is short", "raise its cap on processors"),
        ("unknown team", forget_team, "not known", "create the team"),
        ("full", fill_workers, "no worker has 2 cores", "running tasks end"),
        (
            "unschedulable workers",
            make_unschedulable,
            "no worker takes tasks",
            "until a worker answers",
        ),
        ("infeasible", replace_workers, "no worker can hold", "smaller size"),
    ];
    for (name, prepare, reason, remedy) in cases {
        let now = Instant::now();
        let mut planner = shard(&Policy::default(), 2, now);
        prepare(&mut planner, now);
        planner.plan(now, MANY);
        let mut waiting = job("a", "j", Class::Batch, size(2, 1, 0), now);
        waiting.preemptible = false;
        // If the job is already infeasible, it is submitted before the capacity is lost.
        if planner.submit(now, waiting.clone()).is_err() {
            planner = shard(&Policy::default(), 2, now);
            planner.submit(now, waiting).expect("fits");
            prepare(&mut planner, now);
        }
        let explanation = planner.explain(now, &work("a", "j")).expect("known");
        assert_eq!(explanation.phase, Phase::Waiting, "{name}");
        assert!(explanation.reasons[0].contains(reason), "{name}: {explanation:?}");
        assert!(explanation.remedies[0].contains(remedy), "{name}: {explanation:?}");
    }
}

/// Guards against an explanation with a phase that does not match the tasks.
#[test]
fn phase_follows_the_tasks() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    submit_batch(&mut planner, "a", "x", 8, size(1, 1, 0), now);
    let phase = |planner: &Planner, name: &str| {
        planner.explain(now, &work("a", name)).map(|explanation| explanation.phase)
    };
    assert_eq!(phase(&planner, "x0"), Some(Phase::Waiting));
    planner.plan(now, MANY);
    assert_eq!(phase(&planner, "x0"), Some(Phase::Running));
    planner.submit(now, job("b", "u", Class::Urgent, size(1, 1, 0), now)).expect("fits");
    let stopped = stops(&planner.plan(now, MANY)).remove(0).0;
    assert_eq!(phase(&planner, &stopped.work.name), Some(Phase::Stopping));
    complete(&mut planner, &stopped, now);
    assert_eq!(phase(&planner, &stopped.work.name), None);
}

/// Guards against over-declared work without an explanation, and against measured usage that changes bookings.
#[test]
fn over_declared_work_is_explained() {
    for (cores, expected) in [(1, true), (3, false)] {
        let now = Instant::now();
        let mut planner = shard(&Policy::default(), 1, now);
        submit_batch(&mut planner, "a", "x", 1, size(4, 1, 0), now);
        planner.plan(now, MANY);
        planner.record_usage(now, &task("a", "x0", 0), &size(cores, 1, 0));
        let explanation = planner.explain(now, &work("a", "x0")).expect("known");
        let named = explanation.reasons.iter().any(|reason| reason.contains("processors"));
        assert_eq!(named, expected, "{explanation:?}");
        assert_eq!(planner.booked(&"a".to_owned()).processors_milli, 4000);
    }
}
