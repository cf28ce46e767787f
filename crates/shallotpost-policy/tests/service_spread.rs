//! Tests of services: replicas are spread over racks and replaced before new work starts.

mod common;

use std::collections::BTreeMap;

use common::*;
use shallotpost_policy::planner::{Planner, ReleaseCause};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;

/// Returns the rack of a worker of `common::shard`.
fn rack(worker: &str) -> usize {
    worker[1..].parse::<usize>().expect("workers are numbered") / 4
}

fn start_service(planner: &mut Planner, replicas: u32, now: Instant) -> Vec<(Task, WorkerId)> {
    let service = job("a", "s", Class::Service { replicas }, size(1, 1, 0), now);
    planner.submit(now, service).expect("fits");
    starts(&planner.plan(now, MANY))
}

/// Guards against several replicas in one rack, which would fail together.
#[test]
fn replicas_are_spread_over_racks() {
    for (replicas, most) in [(3, 1), (4, 1), (6, 2), (8, 2)] {
        let now = Instant::now();
        let mut planner = shard(&Policy::default(), 16, now);
        let mut racks: BTreeMap<usize, u32> = BTreeMap::new();
        for (_, worker) in start_service(&mut planner, replicas, now) {
            *racks.entry(rack(&worker)).or_default() += 1;
        }
        assert_eq!(racks.values().sum::<u32>(), replicas);
        assert!(racks.values().all(|count| *count <= most), "{replicas} replicas: {racks:?}");
    }
}

/// Guards against a replacement that queues behind new work.
#[test]
fn lost_replica_is_replaced_first() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 8, now);
    planner.set_team(now, team("a", 1, unlimited()));
    let started = start_service(&mut planner, 2, now);
    submit_batch(&mut planner, "b", "x", 200, size(1, 1, 0), now);
    planner.plan(now, MANY);
    let (lost, worker) = started[0].clone();
    let others = planner.remove_worker(now, &worker);
    assert!(others.contains(&lost));
    planner.requeue(now, &lost);
    let freed = task("b", "x0", 0);
    assert!(!others.contains(&freed));
    complete(&mut planner, &freed, now);
    let replaced = starts(&planner.plan(now, 1));
    assert_eq!(replaced[0].0, lost);
}

/// Guards against a replacement that waits for batch work of its own team to complete.
#[test]
fn replacement_takes_the_place_of_own_batch_work() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    let started = start_service(&mut planner, 1, now);
    submit_batch(&mut planner, "a", "x", 16, size(1, 1, 0), now);
    planner.plan(now, MANY);
    planner.release(now, &started[0].0, ReleaseCause::Lost);
    planner.plan(now, MANY);
    planner.requeue(now, &started[0].0);
    let requested = stops(&planner.plan(now, MANY));
    assert_eq!(requested.len(), 1);
    confirm_stop(&mut planner, &requested[0].0, now);
    assert_eq!(starts(&planner.plan(now, MANY))[0].0, started[0].0);
}

/// Guards against racks chosen only round-robin: other work between two replicas would put both in the same rack.
#[test]
fn rack_with_fewest_replicas_is_chosen() {
    let now = Instant::now();
    for between in 0..4 {
        let mut planner = shard(&Policy::default(), 8, now);
        let service = job("a", "s", Class::Service { replicas: 2 }, size(1, 1, 0), now);
        planner.submit(now, service).expect("fits");
        let first = starts(&planner.plan(now, 1)).remove(0).1;
        for index in 0..between {
            let urgent = job("b", &format!("u{index}"), Class::Urgent, size(1, 1, 0), now);
            planner.submit(now, urgent).expect("fits");
        }
        let later = starts(&planner.plan(now, MANY));
        let second = later.into_iter().find(|(task, _)| task.work.name == "s");
        let second = second.expect("the second replica starts").1;
        assert_ne!(rack(&first), rack(&second), "{between} tasks between");
    }
}
