//! Tests of jobs that can never run on the shard.

mod common;

use common::*;
use shallotpost_policy::planner::Planner;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::{Class, Explanation, Phase};

/// Returns a shard with four plain workers and one large worker with accelerators.
fn mixed_shard(now: Instant) -> Planner {
    let mut planner = Planner::new(&Policy::default());
    planner.set_team(now, team("a", 1, unlimited()));
    for index in 0..4 {
        let plain = worker(&format!("p{index}"), "r0", capacity(16, 64, 0, 8));
        planner.set_worker(now, plain);
    }
    planner.set_worker(now, worker("q", "r1", capacity(32, 128, 8, 8)));
    planner
}

fn explain(planner: &Planner, name: &str, now: Instant) -> Explanation {
    planner.explain(now, &work("a", name)).expect("known")
}

/// Guards against jobs that wait forever, and against an error that names a worker which falls short by more than
/// another.
#[test]
fn infeasible_job_is_rejected_with_the_nearest_capacity() {
    let (plain, large) = (capacity(16, 64, 0, 8), capacity(32, 128, 8, 8));
    let cases = [
        ("processors", Class::Batch, size(33, 1, 0), large),
        ("memory", Class::Urgent, size(1, 200, 0), large),
        ("accelerators", Class::Batch, size(1, 1, 9), large),
        ("slots", Class::Batch, capacity(1, 1, 0, 9), plain),
        ("service", Class::Service { replicas: 2 }, size(64, 1, 0), large),
        ("gang in total", Class::Gang { parts: 2 }, size(1, 1, 5), large),
    ];
    let now = Instant::now();
    let mut planner = mixed_shard(now);
    for (name, class, size, nearest) in cases {
        let refused = planner.submit(now, job("a", name, class, size, now));
        let infeasible = refused.expect_err(name);
        assert_eq!(infeasible.nearest_capacity, nearest, "{name}");
        assert!(planner.explain(now, &work("a", name)).is_none(), "{name} is not kept");
    }
}

/// Guards against rejection while no workers are known yet, and against rejection because the workers are not
/// schedulable.
#[test]
fn job_is_rejected_only_by_capacity() {
    let now = Instant::now();
    let mut planner = Planner::new(&Policy::default());
    planner.set_team(now, team("a", 1, unlimited()));
    let large = |name: &str| job("a", name, Class::Batch, size(100, 1, 0), now);
    assert_eq!(planner.submit(now, large("early")), Ok(()));
    let mut closed = worker("w", "r", capacity(8, 8, 0, 8));
    closed.schedulable = false;
    planner.set_worker(now, closed);
    assert!(planner.submit(now, large("late")).is_err());
    let fits = job("a", "fits", Class::Batch, size(8, 8, 0), now);
    assert_eq!(planner.submit(now, fits), Ok(()));
}

/// Guards against jobs that become infeasible after submission without an explanation, and against jobs blocked behind
/// them.
#[test]
fn lost_capacity_is_explained_and_blocks_no_other_job() {
    let now = Instant::now();
    let mut planner = mixed_shard(now);
    planner.set_starts_enabled(now, false);
    planner.submit(now, job("a", "large", Class::Urgent, size(32, 1, 8), now)).expect("fits");
    let gang = job("a", "gang", Class::Gang { parts: 8 }, size(1, 1, 1), now);
    planner.submit(now, gang).expect("fits");
    submit_batch(&mut planner, "a", "small", 3, size(1, 1, 0), now);
    planner.remove_worker(now, &"q".to_owned());
    planner.set_starts_enabled(now, true);
    let later = now + Duration::from_secs(60);
    assert_eq!(starts(&planner.plan(later, MANY)).len(), 3);
    for name in ["large", "gang"] {
        let explanation = explain(&planner, name, later);
        assert_eq!(explanation.phase, Phase::Waiting);
        assert!(explanation.reasons[0].contains("no worker can hold"), "{explanation:?}");
        assert!(explanation.reasons[0].contains("16 cores"), "{explanation:?}");
    }
    planner.set_worker(later, worker("q2", "r1", capacity(32, 128, 8, 8)));
    let started = starts(&planner.plan(later, MANY));
    assert_eq!(started[0].0.work.name, "large", "it starts once a worker can hold it");
}
