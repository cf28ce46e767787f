//! Tests of the limited start rate after workers return.

mod common;

use common::*;
use shallotpost_policy::planner::Planner;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;

const WORKERS: usize = 10;
const RATE: usize = 4;

fn waiting_shard(now: Instant) -> Planner {
    let mut planner = shard(&Policy::default(), WORKERS, now);
    submit_batch(&mut planner, "a", "x", 200, size(1, 1, 0), now);
    planner
}

/// Returns the number of starts in each of the first three seconds from `now`, with a round every 50 ms.
fn starts_by_second(planner: &mut Planner, now: Instant) -> [usize; 3] {
    let mut counts = [0; 3];
    for step in 0..60 {
        let at = now + Duration::from_millis(50) * step;
        counts[step as usize / 20] += starts(&planner.plan(at, MANY)).len();
    }
    counts
}

fn set_all(planner: &mut Planner, count: usize, schedulable: bool, now: Instant) {
    for index in 0..count {
        let rack = format!("r{}", index / 4);
        let mut changed = worker(&format!("w{index}"), &rack, capacity(8, 32, 0, 8));
        changed.schedulable = schedulable;
        planner.set_worker(now, changed);
    }
}

/// Guards against a thundering herd when starts are enabled again, and against workers that are never filled.
#[test]
fn reenabled_shard_starts_at_a_limited_rate() {
    let now = Instant::now();
    let mut planner = waiting_shard(now);
    planner.set_starts_enabled(now, false);
    assert_eq!(planner.plan(now, MANY), []);
    planner.set_starts_enabled(now, true);
    let counts = starts_by_second(&mut planner, now);
    assert!(counts.iter().all(|count| *count <= RATE * WORKERS), "{counts:?}");
    assert_eq!(counts.iter().sum::<usize>(), 8 * WORKERS, "all workers are full: {counts:?}");
}

/// Guards against a thundering herd when many workers return, either schedulable again or added again after removal.
#[test]
fn mass_return_starts_at_a_limited_rate() {
    for removed in [false, true] {
        let mut now = Instant::now();
        let mut planner = waiting_shard(now);
        set_all(&mut planner, WORKERS, false, now);
        if removed {
            for index in 0..WORKERS {
                planner.remove_worker(now, &format!("w{index}"));
            }
        }
        now += Duration::from_secs(30);
        set_all(&mut planner, WORKERS, true, now);
        let counts = starts_by_second(&mut planner, now);
        assert!(counts[0] > 0, "removed {removed}: {counts:?}");
        assert!(counts.iter().all(|count| *count <= RATE * WORKERS), "{removed}: {counts:?}");
    }
}

/// Guards against a limit on workers that return one at a time, and against a limit that never ends.
#[test]
fn rate_limit_ends_and_exempts_single_workers() {
    let now = Instant::now();
    let mut planner = waiting_shard(now);
    set_all(&mut planner, WORKERS, false, now);
    set_all(&mut planner, 1, true, now);
    assert_eq!(planner.plan(now, MANY).len(), 8);
    let mut planner = waiting_shard(now);
    planner.set_starts_enabled(now, false);
    planner.set_starts_enabled(now, true);
    let later = now + Duration::from_secs(11);
    assert_eq!(planner.plan(later, MANY).len(), 8 * WORKERS);
}

/// Guards against returned workers that keep accepting only one part of a gang at a time.
#[test]
fn gang_starts_on_a_returned_worker() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    planner.set_starts_enabled(now, false);
    planner.set_starts_enabled(now, true);
    let gang = job("a", "g", Class::Gang { parts: 4 }, size(1, 1, 0), now);
    planner.submit(now, gang).expect("fits");
    assert_eq!(planner.plan(now + Duration::from_secs(1), MANY), []);
    assert_eq!(planner.plan(now + Duration::from_secs(11), MANY).len(), 4);
}
