//! Tests of worker quarantine, probing, and faulty work.

mod common;

use common::*;
use shallotpost_policy::planner::{Planner, ReleaseCause};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::{Class, Phase};

fn fail(planner: &mut Planner, task: &Task, now: Instant) {
    planner.release(now, task, ReleaseCause::Failed);
    planner.finish(&task.work);
}

/// Returns a shard of one worker on which one task of each of `count` jobs has failed.
fn failed_worker(count: usize, now: Instant) -> Planner {
    let mut planner = shard(&Policy::default(), 1, now);
    submit_batch(&mut planner, "a", "x", count, size(1, 1, 0), now);
    for (task, _) in starts(&planner.plan(now, MANY)) {
        fail(&mut planner, &task, now);
    }
    planner
}

/// Guards against a worker that fails every task and so attracts all work, and against quarantine after too few
/// failures.
#[test]
fn failing_worker_is_quarantined() {
    let now = Instant::now();
    for (failures, expected) in [(2, 8), (3, 0)] {
        let mut planner = failed_worker(failures, now);
        submit_batch(&mut planner, "a", "y", 8, size(1, 1, 0), now);
        assert_eq!(planner.plan(now, MANY).len(), expected, "after {failures} failures");
    }
}

/// Guards against probing with more than one task, and against a quarantine that never ends or never doubles.
#[test]
fn probe_takes_one_task() {
    let mut now = Instant::now();
    let mut planner = failed_worker(3, now);
    submit_batch(&mut planner, "a", "y", 9, size(1, 1, 0), now);
    now += Duration::from_secs(29);
    assert_eq!(planner.plan(now, MANY), []);
    now += Duration::from_secs(1);
    let probe = starts(&planner.plan(now, MANY));
    assert_eq!(probe.len(), 1);
    fail(&mut planner, &probe[0].0, now);
    now += Duration::from_secs(59);
    assert_eq!(planner.plan(now, MANY), [], "the quarantine doubles");
    now += Duration::from_secs(1);
    let probe = starts(&planner.plan(now, MANY));
    assert_eq!(probe.len(), 1);
    complete(&mut planner, &probe[0].0, now);
    assert_eq!(planner.plan(now, MANY).len(), 7, "the worker is healthy again");
}

/// Guards against quarantine of workers that fail occasionally.
#[test]
fn success_clears_failures() {
    let now = Instant::now();
    let mut planner = failed_worker(2, now);
    submit_batch(&mut planner, "a", "y", 2, size(1, 1, 0), now);
    let running = starts(&planner.plan(now, MANY));
    complete(&mut planner, &running[0].0, now);
    fail(&mut planner, &running[1].0, now);
    submit_batch(&mut planner, "a", "z", 4, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 4);
}

/// Guards against faulty work that gets all workers quarantined, and against retries on workers where it failed.
#[test]
fn faulty_work_quarantines_no_worker() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 6, now);
    submit_batch(&mut planner, "a", "bad", 6, size(1, 1, 0), now);
    let mut failed_on: Vec<(Task, WorkerId)> = Vec::new();
    for attempt in 0..4 {
        for (task, worker) in starts(&planner.plan(now, MANY)) {
            let pair = (task.clone(), worker);
            assert!(!failed_on.contains(&pair), "attempt {attempt} repeats {pair:?}");
            failed_on.push(pair);
            planner.release(now, &task, ReleaseCause::Failed);
            planner.requeue(now, &task);
        }
    }
    for index in 0..6 {
        planner.finish(&work("a", &format!("bad{index}")));
    }
    submit_batch(&mut planner, "a", "good", 48, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 48, "all workers take work");
}

/// Guards against work that fails on every worker without an explanation.
#[test]
fn faulty_work_is_explained() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 4, now);
    planner.submit(now, job("a", "bad", Class::Batch, size(1, 1, 0), now)).expect("fits");
    for _ in 0..3 {
        let started = starts(&planner.plan(now, MANY));
        planner.release(now, &started[0].0, ReleaseCause::Failed);
        planner.requeue(now, &started[0].0);
    }
    let explanation = planner.explain(now, &work("a", "bad")).expect("known");
    assert_eq!(explanation.phase, Phase::Waiting);
    assert!(explanation.reasons.iter().any(|reason| reason.contains("failed on 3 workers")));
}
