//! Guards durable records: intents of non-idempotent work, recorded ends during outages, and retention.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use scheduler_harness::*;
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_control::scheduler::environment::shard_index;
use shallotpost_protocol::work::{Class, Ending, Specification, State};

const LIMIT: Duration = Duration::from_secs(40);

fn once(milliseconds: &str) -> Specification {
    let specification = specification("job", Class::Batch, &["run", milliseconds]);
    Specification { idempotent: false, ..specification }
}

/// Guards against starts before the intent is durable, and against work that is stuck after a failed write.
#[test]
fn intent_writes() {
    let failures = [
        WriteFailure::Overloaded,
        WriteFailure::Expired,
        WriteFailure::Unknown,
        WriteFailure::Conflict(vec!["row".into()]),
    ];
    for failure in failures {
        let mut harness = SchedulerHarness::new(2);
        harness.take_over(1);
        harness.run(100);
        harness.write_faults = vec![failure.clone(), failure.clone()];
        let work = harness.admit(once("100"));
        harness.run_until(LIMIT, |harness| {
            let intent = harness.record(&work).map(|record| record.state);
            assert!(harness.starts(&work) == 0 || intent != Some(State::Admitted), "{failure:?}");
            harness.outcome(&work).is_some()
        });
        assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded, "{failure:?}");
        assert_eq!(harness.starts(&work), 1, "{failure:?}");
    }
}

/// Guards against a start that needs the table during an outage, and against one that follows a stale placement.
#[test]
fn table_down_before_the_intent() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(100);
    let all = |specification| Specification { size: size(4), ..specification };
    let work = harness.admit(all(once("100")));
    let other = harness.admit(all(specification("other", Class::Batch, &["run", "100"])));
    harness.run_until(LIMIT, |harness| harness.open_writes() > 0);
    harness.table_up = false;
    harness.run(10_000);
    assert_eq!((harness.starts(&work), harness.starts(&other)), (0, 1), "the capacity is not held");
    harness.table_up = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 1);
}

/// Guards against an intent that stays recorded after its worker was given up without a start.
#[test]
fn worker_lost_before_the_start() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(100);
    harness.write_faults = vec![WriteFailure::Unknown];
    let work = harness.admit(once("100"));
    harness.run_until(LIMIT, |harness| harness.write_faults.is_empty());
    harness.table_up = false;
    harness.node("w0").alive = false;
    harness.run(15_000);
    harness.table_up = true;
    harness.run(3000);
    assert_eq!(harness.record(&work).unwrap().state, State::Admitted);
    harness.node("w0").alive = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 1);
}

/// Guards against a second start by a new owner, whatever the record and the workers show.
#[test]
fn recorded_intents() {
    // Worker of the intent, whether it has the task, ending, starts, time in milliseconds.
    let cases = [
        ("w0", true, Ending::Succeeded, 1, 0..1500),
        ("w0", false, Ending::Unknown, 0, 0..500),
        ("w7", false, Ending::Unknown, 0, 8660..9500),
    ];
    for (worker, runs, ending, starts, time) in cases {
        let mut harness = SchedulerHarness::new(2);
        let intent = State::Starting { workers: vec![worker.to_owned()], epoch: 1 };
        let work = harness.write_record(once("500"), intent);
        if runs {
            harness.start_directly("w0", 0, &once("500"));
        }
        harness.take_over(2);
        let begun = harness.now;
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        assert!(time.contains(&(harness.now - begun).as_millis()), "{worker}");
        let outcome = harness.outcome(&work).unwrap();
        assert_eq!((outcome.ending, outcome.not_run), (ending, false));
        assert_eq!(harness.starts(&work), starts);
    }
}

/// Guards against intents of a paused owner that are written after another owner took over.
#[test]
fn intent_of_an_earlier_owner() {
    let mut harness = SchedulerHarness::new(1);
    harness.node("w0").alive = false;
    harness.take_over(2);
    harness.run(100);
    let work = harness.admit(once("100"));
    harness.run(100);
    let intent = State::Starting { workers: vec!["w0".into()], epoch: 1 };
    harness.write_record(once("100"), intent);
    harness.run(200);
    harness.node("w0").alive = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Unknown);
    assert_eq!(harness.start_calls, 0);
}

/// Guards against lost ends, repeated work and idle workers while the table is down.
#[test]
fn table_down_while_tasks_end() {
    let mut harness = SchedulerHarness::new(2);
    let first = harness.take_over(1);
    let job = |n: usize| specification(&format!("job{n}"), Class::Batch, &["run", "1000"]);
    let works: Vec<WorkId> = (0..20).map(|n| harness.admit(job(n))).collect();
    harness.run(500);
    harness.table_up = false;
    harness.run(8000);
    assert!(harness.ended.is_empty(), "an end that is not durable was reported");
    assert!(works.iter().all(|work| harness.starts(work) == 1), "known work goes on");
    // The workers still keep the ended tasks, so a new owner learns of them.
    harness.kill(first);
    harness.table_up = true;
    harness.take_over(2);
    harness.run_until(LIMIT, |harness| works.iter().all(|work| harness.outcome(work).is_some()));
    for work in &works {
        assert_eq!(harness.outcome(work).unwrap().ending, Ending::Succeeded);
        assert_eq!(harness.starts(work), 1, "{work}");
    }
}

/// Guards against ends that are dropped by failed writes.
#[test]
fn end_writes() {
    let failures = [
        WriteFailure::Overloaded,
        WriteFailure::Unknown,
        WriteFailure::Conflict(vec!["row".into()]),
    ];
    for failure in failures {
        let mut harness = SchedulerHarness::new(1);
        harness.take_over(1);
        let work = harness.admit(specification("job", Class::Batch, &["run", "500"]));
        harness.run(300);
        harness.write_faults = vec![failure.clone(), failure.clone()];
        harness.run_until(LIMIT, |harness| !harness.ended.is_empty());
        harness.run(1000);
        assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded, "{failure:?}");
        assert_eq!((harness.starts(&work), harness.ended.len()), (1, 1), "{failure:?}");
    }
}

/// Guards against records that are deleted too early or never.
#[test]
fn retention() {
    let mut harness = SchedulerHarness::new(0);
    harness.take_over(1);
    let works: Vec<WorkId> = (0..100)
        .map(|n| {
            let specification = specification(&format!("job{n}"), Class::Batch, &["run", "1"]);
            harness.admit(Specification { deadline_unix_ms: Some(1), ..specification })
        })
        .collect();
    harness.run(2000);
    harness.now += Duration::from_secs(3590);
    harness.run(1000);
    assert!(works.iter().all(|work| harness.outcome(work).is_some()));
    harness.run(12_000);
    assert!(harness.table.rows("work/").is_empty());
    assert!(harness.table.rows("ids/").is_empty());
}

/// Guards against work that waits forever for a size that no worker has, and against ending it too early.
#[test]
fn never_runnable() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    let specification = specification("job", Class::Batch, &["run", "1"]);
    let work = harness.admit(Specification { size: size(5), ..specification });
    harness.run(1000);
    let outcome = harness.outcome(&work).unwrap();
    assert_eq!((outcome.ending, outcome.not_run), (Ending::NeverRunnable, true));
    assert!(outcome.detail.contains("4000"), "{}", outcome.detail);
}

/// Guards against ending work as `NeverRunnable` while the only large enough worker does not answer.
#[test]
fn large_worker_is_silent() {
    let mut harness = SchedulerHarness::new(1);
    harness.add_worker("large", 8);
    harness.take_over(1);
    harness.run(500);
    harness.node("large").alive = false;
    harness.run(15_000);
    let specification = specification("job", Class::Batch, &["run", "1"]);
    let work = harness.admit(Specification { size: size(6), ..specification });
    harness.run(3000);
    harness.node("large").alive = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded);
}

/// Guards against owners that disagree about the shard of a worker.
#[test]
fn stable_shards() {
    let indices: Vec<u32> = (0..8).map(|n| shard_index(&format!("rack-{n}"), 3)).collect();
    assert_eq!(indices, [1, 0, 2, 1, 1, 1, 2, 2]);
    assert_eq!(shard_index("rack-1", 1), 0);
}
