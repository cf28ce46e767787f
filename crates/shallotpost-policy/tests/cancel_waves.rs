//! Tests of cancellation: its cost, and the capacity that stays booked until the worker confirms.

mod common;

use std::time::Instant as Clock;

use common::*;
use shallotpost_policy::planner::ReleaseCause;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;

/// Guards against reuse of capacity while the cancelled task still runs.
#[test]
fn cancelled_work_keeps_its_capacity_until_release() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    let service = job("a", "s", Class::Service { replicas: 10 }, size(1, 1, 0), now);
    planner.submit(now, service).expect("fits");
    let running = starts(&planner.plan(now, MANY));
    assert_eq!(running.len(), 8);
    planner.finish(&work("a", "s"));
    assert_eq!(planner.waiting(&"a".to_owned()), Size::from_parts([0; 4]));
    submit_batch(&mut planner, "a", "x", 8, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY), []);
    planner.release(now, &running[0].0, ReleaseCause::Stopped);
    planner.requeue(now, &running[0].0);
    let started = starts(&planner.plan(now, MANY));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0.work.name, "x0", "the cancelled task does not wait again");
}

/// Guards against cancellation that scans the queue: cancelling all of a queue 16 times as long takes 16 times as long,
/// not 256 times. The bound of 100 allows for noise on a shared machine.
#[test]
fn cancellation_does_not_scan_the_queue() {
    let time = |count: usize| {
        let now = Instant::now();
        let mut planner = shard(&Policy::default(), 1, now);
        submit_batch(&mut planner, "a", "x", count, size(1, 1, 0), now);
        let started = Clock::now();
        (0..count).for_each(|index| planner.finish(&work("a", &format!("x{index}"))));
        let spent = started.elapsed();
        assert_eq!(planner.waiting(&"a".to_owned()), Size::from_parts([0; 4]));
        spent
    };
    let least = |count| (0..5).map(|_| time(count)).min().expect("five runs");
    let (short, long) = (least(1000), least(16_000));
    assert!(long < short * 100, "{short:?} for 1,000 and {long:?} for 16,000");
}
