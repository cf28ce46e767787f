//! Guards against new work on a leaving worker, and against dead workers that go unnoticed.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::work::Ending;
use support::deployment::{RICE_KEY, deploy, job, rice_work, service};
use support::test_cluster::TestCluster;

/// Changes the state of the cluster.
type Action = fn(&mut TestCluster);

/// Time after which a leaving worker must get no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

#[test]
fn no_new_work() {
    let cases: [(&str, Action); 2] = [
        ("told by the list", |cluster| cluster.list_leaving("east-w0")),
        ("told by the worker", |cluster| cluster.worker("east-w0").leaving = true),
    ];
    for (name, begin) in cases {
        let mut cluster = deploy();
        begin(&mut cluster);
        cluster.run(LEAVING_BOUND);
        let before = cluster.worker("east-w0").starts.len();
        for index in 0..40 {
            cluster.submit("a1", RICE_KEY, job(&format!("job-{index}"), 300, true));
        }
        cluster.run(Duration::from_secs(10));
        assert_eq!(cluster.worker("east-w0").starts.len(), before, "{name}");
    }
}

#[test]
fn dead_worker() {
    let mut cluster = deploy();
    cluster.submit("a1", RICE_KEY, service("intake", 8));
    cluster.submit("a1", RICE_KEY, job("once", 60_000, false));
    assert!(
        cluster
            .run_until(Duration::from_secs(5), |cluster| cluster.placements("intake").len() == 8)
    );
    assert!(
        cluster.run_until(Duration::from_secs(5), |cluster| cluster.placements("once").len() == 1)
    );
    let (worker, _) = cluster.placements("once").remove(0);
    cluster.set_silent(&worker, true);
    let replaced = cluster.run_until(Duration::from_secs(20), |cluster| {
        let places = cluster.placements("intake");
        places.len() == 8 && places.iter().all(|(place, _)| *place != worker)
    });
    assert!(replaced, "{:?}", cluster.placements("intake"));
    assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work("once")).ending, Ending::Unknown);
}

#[test]
fn worker_fails_everything() {
    let mut cluster = deploy();
    cluster.worker("east-w0").fails_everything = true;
    for index in 0..60 {
        cluster.submit("a1", RICE_KEY, job(&format!("job-{index}"), 200, true));
    }
    for index in 0..60 {
        let name = format!("job-{index}");
        assert_eq!(
            cluster.outcome("a1", RICE_KEY, &rice_work(&name)).ending,
            Ending::Succeeded,
            "{name}"
        );
    }
    let wasted = cluster.worker("east-w0").starts.len();
    assert!(wasted <= 12, "{wasted} starts on a worker that fails everything");
}
