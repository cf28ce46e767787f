//! Tests of gang placement: all parts start together, and reservations prevent starvation and expire.

mod common;

use common::*;
use shallotpost_policy::planner::{Planner, ReleaseCause};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;

fn gang(planner: &mut Planner, name: &str, parts: u32, size: Size, now: Instant) {
    planner.submit(now, job("a", name, Class::Gang { parts }, size, now)).expect("fits");
}

/// Completes the oldest running task and submits another, so that no worker ever empties on its own.
fn churn(planner: &mut Planner, running: &mut Vec<Task>, round: usize, now: Instant) {
    if running.is_empty() {
        return;
    }
    let ended = running.remove(0);
    complete(planner, &ended, now);
    submit_batch(planner, "a", &format!("more{round}-"), 1, size(1, 1, 0), now);
}

/// Guards against parts of a gang that start before the others.
#[test]
fn gang_starts_all_parts_or_none() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    submit_batch(&mut planner, "a", "x", 1, size(8, 1, 0), now);
    let blocker = starts(&planner.plan(now, MANY)).remove(0).0;
    gang(&mut planner, "g", 2, size(8, 1, 0), now);
    assert_eq!(planner.plan(now, MANY), []);
    complete(&mut planner, &blocker, now);
    let parts = starts(&planner.plan(now, MANY));
    assert_eq!(parts.len(), 2);
    assert_ne!(parts[0].1, parts[1].1);
}

/// Guards against a gang split by the limit of a round, and against a gang that a small limit prevents from ever
/// starting.
#[test]
fn limit_does_not_split_a_gang() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    planner.submit(now, job("b", "u", Class::Urgent, size(1, 1, 0), now)).expect("fits");
    gang(&mut planner, "g", 4, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, 3).len(), 1);
    assert_eq!(planner.plan(now, 3).len(), 4);
}

/// Guards against parts that start while other parts of the gang still run or are not requeued.
#[test]
fn gang_waits_for_all_parts() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    gang(&mut planner, "g", 2, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 2);
    let parts = [task("a", "g", 0), task("a", "g", 1)];
    planner.release(now, &parts[0], ReleaseCause::Failed);
    planner.requeue(now, &parts[0]);
    assert_eq!(planner.plan(now, MANY), []);
    planner.release(now, &parts[1], ReleaseCause::Stopped);
    assert_eq!(planner.plan(now, MANY), []);
    planner.requeue(now, &parts[1]);
    assert_eq!(planner.plan(now, MANY).len(), 2);
}

/// Guards against starvation: without a reservation, small tasks take each freed core before the gang fits.
#[test]
fn reservation_ends_starvation() {
    let mut now = Instant::now();
    let policy = Policy { gang_reservation: Duration::from_secs(600), ..Policy::default() };
    let mut planner = shard(&policy, 2, now);
    submit_batch(&mut planner, "a", "x", 16, size(1, 1, 0), now);
    let mut running: Vec<Task> =
        starts(&planner.plan(now, MANY)).into_iter().map(|(task, _)| task).collect();
    submit_batch(&mut planner, "a", "y", 16, size(1, 1, 0), now);
    gang(&mut planner, "g", 2, size(8, 1, 0), now);
    let mut started = false;
    for round in 0..100 {
        now += Duration::from_secs(5);
        churn(&mut planner, &mut running, round, now);
        for (task, _) in starts(&planner.plan(now, MANY)) {
            started |= task.work.name == "g";
            running.push(task);
        }
    }
    assert!(started);
}

/// Guards against a reservation that idles capacity forever: the held capacity is used again after it expires.
#[test]
fn reservation_expires() {
    let mut now = Instant::now();
    let policy = Policy { gang_reservation: Duration::from_secs(60), ..Policy::default() };
    let mut planner = shard(&policy, 1, now);
    let mut endless = job("a", "x", Class::Batch, size(4, 1, 0), now);
    endless.preemptible = false;
    planner.submit(now, endless).expect("fits");
    planner.plan(now, MANY);
    gang(&mut planner, "g", 2, size(4, 1, 0), now);
    now += Duration::from_secs(40);
    planner.plan(now, MANY);
    submit_batch(&mut planner, "a", "y", 1, size(4, 1, 0), now);
    assert_eq!(planner.plan(now, MANY), [], "the room is reserved");
    now += Duration::from_secs(61);
    planner.plan(now, MANY);
    let actions = planner.plan(now + Duration::from_millis(1), MANY);
    let running = planner.booked(&"a".to_owned()).processors_milli;
    assert_eq!(running, 8000, "the room is used again: {actions:?}");
}
