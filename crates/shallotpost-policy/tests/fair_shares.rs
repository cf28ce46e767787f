//! Tests of fair shares, grants, and preemption of teams above their fair share.

mod common;

use common::*;
use shallotpost_policy::planner::{Action, Planner};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

fn booked_cores(planner: &Planner, team: &str) -> u64 {
    planner.booked(&team.to_owned()).processors_milli / 1000
}

/// Plans repeatedly and confirms all requested stops, long enough for the shares to settle.
fn settle(planner: &mut Planner, now: &mut Instant) {
    for _ in 0..50 {
        *now += Duration::from_millis(200);
        for (task, _) in stops(&planner.plan(*now, MANY)) {
            confirm_stop(planner, &task, *now);
        }
    }
}

/// Guards against shares that ignore the weight, and against first-come, first-served allocation.
#[test]
fn full_shard_is_split_by_weight() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 4, now);
    planner.set_team(now, team("b", 3, unlimited()));
    submit_batch(&mut planner, "a", "x", 40, size(1, 1, 0), now);
    submit_batch(&mut planner, "b", "y", 40, size(1, 1, 0), now);
    planner.plan(now, MANY);
    assert_eq!(booked_cores(&planner, "a"), 8);
    assert_eq!(booked_cores(&planner, "b"), 24);
}

/// Guards against shares that consider only one resource: team `b` is limited by memory, not by processors.
#[test]
fn share_counts_the_dominant_resource() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 4, now);
    submit_batch(&mut planner, "a", "x", 40, size(2, 1, 0), now);
    submit_batch(&mut planner, "b", "y", 40, size(1, 8, 0), now);
    planner.plan(now, MANY);
    let (first, second) = (planner.booked(&"a".to_owned()), planner.booked(&"b".to_owned()));
    let processors = first.processors_milli as f64 / 32_000.0;
    let memory = second.memory_mib as f64 / (128.0 * 1024.0);
    assert!((processors - memory).abs() <= 0.13, "processors {processors}, memory {memory}");
}

/// Guards against idle capacity while a team waits, and against borrowed capacity that is not returned. Only the fair
/// share of the other team is reclaimed, by checkpoint requests.
#[test]
fn borrowed_capacity_is_reclaimed() {
    let mut now = Instant::now();
    let mut planner = shard(&Policy::default(), 4, now);
    submit_batch(&mut planner, "a", "x", 40, size(1, 1, 0), now);
    planner.plan(now, MANY);
    assert_eq!(booked_cores(&planner, "a"), 32);
    submit_batch(&mut planner, "b", "y", 40, size(1, 1, 0), now);
    let actions = planner.plan(now, MANY);
    assert!(!stops(&actions).is_empty());
    assert!(
        stops(&actions)
            .iter()
            .all(|(task, mode)| { task.work.team == "a" && *mode == StopMode::Checkpoint })
    );
    for (task, _) in stops(&actions) {
        confirm_stop(&mut planner, &task, now);
    }
    settle(&mut planner, &mut now);
    assert_eq!((booked_cores(&planner, "a"), booked_cores(&planner, "b")), (16, 16));
    now += Duration::from_secs(5);
    assert_eq!(stops(&planner.plan(now, MANY)), []);
}

/// Guards against preemption of work that cannot be restarted.
#[test]
fn work_that_is_not_preemptible_keeps_running() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    for index in 0..8 {
        let mut fixed = job("a", &format!("x{index}"), Class::Batch, size(1, 1, 0), now);
        fixed.preemptible = false;
        planner.submit(now, fixed).expect("fits");
    }
    planner.plan(now, MANY);
    submit_batch(&mut planner, "b", "y", 1, size(1, 1, 0), now);
    planner.submit(now, job("b", "u", Class::Urgent, size(1, 1, 0), now)).expect("fits");
    assert_eq!(planner.plan(now, MANY), []);
}

/// Guards against preemption for a team that already has its fair share.
#[test]
fn team_at_its_share_reclaims_nothing() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    submit_batch(&mut planner, "a", "x", 8, size(1, 1, 0), now);
    submit_batch(&mut planner, "b", "y", 20, size(1, 1, 0), now);
    let actions = planner.plan(now, MANY);
    assert_eq!(starts(&actions).len(), 16);
    assert_eq!(planner.plan(now + Duration::from_secs(1), MANY), []);
}

/// Guards against bookings beyond a grant in any resource, and against a raised grant without effect.
#[test]
fn grant_limits_each_resource() {
    let cases = [
        ("processors", capacity(3, 100, 9, 9), 3),
        ("memory", capacity(100, 2, 9, 9), 2),
        ("accelerators", capacity(100, 100, 1, 9), 1),
        ("slots", capacity(100, 100, 9, 4), 4),
    ];
    for (resource, grant, expected) in cases {
        let now = Instant::now();
        let mut planner = Planner::new(&Policy::default());
        planner.set_worker(now, worker("w", "r", capacity(8, 32, 8, 8)));
        planner.set_team(now, team("a", 1, grant));
        submit_batch(&mut planner, "a", "x", 10, size(1, 1, 1), now);
        assert_eq!(planner.plan(now, MANY).len(), expected, "{resource}");
        planner.set_team(now, team("a", 1, unlimited()));
        assert_eq!(planner.plan(now, MANY).len(), 8 - expected, "{resource} raised");
    }
}

/// Guards against starts for a team that is unknown to the shard.
#[test]
fn unknown_team_gets_no_starts() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    submit_batch(&mut planner, "z", "x", 1, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY), []);
    planner.set_team(now, team("z", 1, unlimited()));
    assert!(matches!(planner.plan(now, MANY)[..], [Action::Start { .. }]));
}

/// Guards against preemption of a team below its fair share when the team above its share has no preemptible work.
#[test]
fn team_below_its_share_is_not_preempted() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    planner.set_team(now, team("c", 1, unlimited()));
    submit_batch(&mut planner, "a", "x", 4, size(1, 1, 0), now);
    for index in 0..12 {
        let mut fixed = job("b", &format!("y{index}"), Class::Batch, size(1, 1, 0), now);
        fixed.preemptible = false;
        planner.submit(now, fixed).expect("fits");
    }
    assert_eq!(planner.plan(now, MANY).len(), 16);
    submit_batch(&mut planner, "c", "z", 4, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY), []);
}

/// Guards against requested stops that count as usage forever: capacity is reclaimed a second time like the first time.
#[test]
fn capacity_is_reclaimed_repeatedly() {
    let mut now = Instant::now();
    let mut planner = shard(&Policy::default(), 4, now);
    submit_batch(&mut planner, "a", "x", 40, size(1, 1, 0), now);
    planner.plan(now, MANY);
    for round in 0..2 {
        let prefix = format!("y{round}-");
        submit_batch(&mut planner, "b", &prefix, 16, size(1, 1, 0), now);
        settle(&mut planner, &mut now);
        let shares = (booked_cores(&planner, "a"), booked_cores(&planner, "b"));
        assert_eq!(shares, (16, 16), "round {round}");
        (0..16).for_each(|index| {
            complete(&mut planner, &task("b", &format!("{prefix}{index}"), 0), now);
        });
        settle(&mut planner, &mut now);
        assert_eq!(booked_cores(&planner, "a"), 32, "round {round}");
    }
}

/// Guards against a lost wake-up: a worker whose free capacity grew while the grant was used up is offered again when
/// the grant grows.
#[test]
fn raised_grant_offers_workers_that_grew_before() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    // One worker has processors left, the other has memory left, and none has both.
    submit_batch(&mut planner, "b", "memory", 1, size(1, 32, 0), now);
    submit_batch(&mut planner, "b", "cores", 1, size(8, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 2);
    let mut both = job("a", "x", Class::Batch, size(2, 2, 0), now);
    both.preemptible = false;
    planner.set_team(now, team("b", 1000, unlimited()));
    planner.submit(now, both).expect("fits");
    assert_eq!(starts(&planner.plan(now, MANY)), []);
    planner.set_team(now, team("a", 1, size(0, 0, 0)));
    complete(&mut planner, &task("b", "memory0", 0), now);
    assert_eq!(planner.plan(now, MANY), []);
    planner.set_team(now, team("a", 1, unlimited()));
    assert_eq!(starts(&planner.plan(now, MANY)).len(), 1);
}
