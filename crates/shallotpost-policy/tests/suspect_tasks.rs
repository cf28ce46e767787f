//! Guards the isolation of tasks that may crash their workers.

#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use shallotpost_policy::planner::{Planner, ReleaseCause};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

/// Time after which a worker that was just added gets suspect tasks.
const STEADY: Duration = Duration::from_secs(30);

/// Submits one batch job of one core whose task is suspect.
fn submit_suspect(planner: &mut Planner, name: &str, now: Instant) -> Task {
    let suspect = task("a", name, 0);
    planner.set_suspect(now, &suspect, &[]);
    planner.submit(now, job("a", name, Class::Batch, size(1, 1, 0), now)).unwrap();
    suspect
}

/// Guards against a suspect beside other tasks, on a worker that has just restarted, and against other tasks beside it.
#[test]
fn alone() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 2, start);
    submit_batch(&mut planner, "a", "first", 1, size(1, 1, 0), start);
    let first = starts(&planner.plan(start, MANY));
    let now = start + STEADY;
    let other = if first[0].1 == "w0" { "w1" } else { "w0" };
    planner.note_process(now, &other.to_owned());
    let suspect = submit_suspect(&mut planner, "suspect", now);
    assert!(starts(&planner.plan(now, MANY)).is_empty());
    let now = now + STEADY;
    assert_eq!(starts(&planner.plan(now, MANY)), [(suspect.clone(), other.to_owned())]);
    submit_batch(&mut planner, "a", "second", 12, size(1, 1, 0), now);
    let placed = starts(&planner.plan(now, MANY));
    assert_eq!(placed.len(), 7, "a worker has eight cores, and one runs the first task");
    assert!(placed.iter().all(|(_, worker)| worker != other));
    planner.end_isolation(&suspect);
    assert_eq!(starts(&planner.plan(now, MANY)).len(), 5);
}

/// Guards against a suspect that waits for ever because no worker becomes empty, and against a stop of tasks that may not
/// be preempted.
#[test]
fn busy_workers_are_emptied() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 2, start);
    for index in 0..2 {
        let mut kept = job("b", &format!("kept{index}"), Class::Batch, size(5, 1, 0), start);
        kept.preemptible = index > 0;
        planner.submit(start, kept).unwrap();
    }
    assert_eq!(starts(&planner.plan(start, MANY)).len(), 2);
    let suspect = submit_suspect(&mut planner, "suspect", start);
    let mut now = start;
    let mut stopped = Vec::new();
    while stopped.is_empty() {
        assert!(now < start + Duration::from_secs(60));
        now += Duration::from_secs(1);
        stopped = stops(&planner.plan(now, MANY));
    }
    assert_eq!(stopped, [(task("b", "kept1", 0), StopMode::Checkpoint)]);
    planner.release(now, &task("b", "kept1", 0), ReleaseCause::Stopped);
    assert_eq!(starts(&planner.plan(now, MANY))[0].0, suspect);
    planner.release(now, &suspect, ReleaseCause::Succeeded);
    planner.finish(&suspect.work);
    planner.requeue(now, &task("b", "kept1", 0));
    assert_eq!(starts(&planner.plan(now, MANY)).len(), 1, "the worker is returned");
}

/// Guards against a mark that stays, and against a task that is in two queues or in none after it changed.
#[test]
fn cleared() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 1, start);
    let suspect = submit_suspect(&mut planner, "suspect", start);
    assert!(planner.plan(start, MANY).is_empty());
    planner.clear_suspect(start, &suspect);
    planner.set_suspect(start, &suspect, &[]);
    assert!(planner.plan(start, MANY).is_empty());
    assert_eq!(planner.waiting(&"a".to_owned()), size(1, 1, 0));
    planner.clear_suspect(start, &suspect);
    assert_eq!(starts(&planner.plan(start, MANY)).len(), 1);
    assert_eq!(planner.waiting(&"a".to_owned()), Size::ZERO);
    submit_suspect(&mut planner, "cancelled", start);
    planner.finish(&work("a", "cancelled"));
    planner.submit(start, job("a", "cancelled", Class::Batch, size(1, 1, 0), start)).unwrap();
    assert_eq!(starts(&planner.plan(start, MANY)).len(), 1, "the mark ends with the job");
}

/// Guards against a gang of which only the suspect part starts apart from others.
#[test]
fn gang() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 3, start);
    submit_batch(&mut planner, "b", "other", 1, size(1, 1, 0), start);
    let busy = starts(&planner.plan(start, MANY)).remove(0).1;
    planner.set_suspect(start, &task("a", "gang", 1), &[]);
    planner
        .submit(start, job("a", "gang", Class::Gang { parts: 3 }, size(4, 1, 0), start))
        .unwrap();
    let now = start + STEADY;
    let placed = starts(&planner.plan(now, MANY));
    assert_eq!(placed.len(), 3);
    assert!(placed.iter().all(|(_, worker)| *worker != busy), "{placed:?}");
}

/// Guards against a suspect that goes back to the worker that crashed with it while another one is free.
#[test]
fn other_worker_first() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 2, start);
    let suspect = task("a", "suspect", 0);
    planner.set_suspect(start, &suspect, &["w0".to_owned()]);
    planner.submit(start, job("a", "suspect", Class::Batch, size(1, 1, 0), start)).unwrap();
    assert_eq!(starts(&planner.plan(start + STEADY, MANY)), [(suspect, "w1".to_owned())]);
}

/// Guards against a waiting suspect without an explanation.
#[test]
fn explained() {
    let start = Instant::now();
    let mut planner = shard(&Policy::default(), 1, start);
    let suspect = submit_suspect(&mut planner, "suspect", start);
    let explanation = planner.explain(start, &suspect.work).unwrap();
    assert!(explanation.reasons.iter().any(|reason| reason.contains("lost")), "{explanation:?}");
}
