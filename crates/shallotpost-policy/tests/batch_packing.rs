//! Tests of batch placement: packing, spreading and backfill.

mod common;

use std::collections::BTreeSet;

use common::*;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;

/// Guards against a policy setting without effect: packing uses one worker, spreading uses one in each rack.
#[test]
fn setting_packs_or_spreads() {
    for (pack_batch, expected) in [(true, 1), (false, 8)] {
        let now = Instant::now();
        let policy = Policy { pack_batch, ..Policy::default() };
        let mut planner = shard(&policy, 32, now);
        submit_batch(&mut planner, "a", "x", 8, size(1, 1, 0), now);
        let started = starts(&planner.plan(now, MANY));
        let workers: BTreeSet<&WorkerId> = started.iter().map(|(_, worker)| worker).collect();
        assert_eq!(workers.len(), expected, "pack_batch {pack_batch}");
    }
}

/// Guards against head-of-line blocking by a large task.
#[test]
fn small_tasks_are_backfilled() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    submit_batch(&mut planner, "a", "x", 1, size(5, 1, 0), now);
    planner.plan(now, MANY);
    submit_batch(&mut planner, "a", "large", 1, size(8, 1, 0), now);
    submit_batch(&mut planner, "a", "small", 3, size(1, 1, 0), now);
    let started = starts(&planner.plan(now, MANY));
    assert_eq!(started.len(), 3);
}

/// Guards against work without accelerators on a worker with accelerators while other workers have room.
#[test]
fn plain_work_leaves_accelerators_free() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    planner.set_worker(now, worker("q", "r", capacity(8, 32, 8, 8)));
    submit_batch(&mut planner, "a", "x", 16, size(1, 1, 0), now);
    assert!(starts(&planner.plan(now, MANY)).iter().all(|(_, worker)| worker != "q"));
}

/// Guards against bookings lost when a worker is updated, and against starts beyond a reduced capacity.
#[test]
fn changed_workers_keep_their_bookings() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    submit_batch(&mut planner, "a", "x", 6, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 6);
    submit_batch(&mut planner, "a", "y", 10, size(1, 1, 0), now);
    let with = |cores, schedulable| {
        let mut changed = worker("w0", "r9", capacity(cores, 32, 0, 16));
        changed.schedulable = schedulable;
        changed
    };
    planner.set_worker(now, with(4, true));
    assert_eq!(planner.plan(now, MANY), [], "6 of 4 cores are booked");
    planner.set_worker(now, with(9, false));
    assert_eq!(planner.plan(now, MANY), [], "closed");
    planner.set_worker(now, with(9, true));
    assert_eq!(planner.plan(now, MANY).len(), 3);
    assert_eq!(planner.booked(&"a".to_owned()).processors_milli, 9000);
}
