//! Guards against wrong handling of starts that arrive after their calls have failed.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::work::Ending;
use support::deployment::{RICE_KEY, deploy, job, rice_work};

/// Guards against a task that runs in two places, or non-idempotent work that is started twice or given up, because a
/// start arrives after the snapshot that lacks the task. The cluster checks the first two.
#[test]
fn late_start_is_ruled_out() {
    for idempotent in [true, false] {
        for late in [1, 2] {
            let mut cluster = deploy();
            cluster.late_starts = late;
            // One worker has room for both jobs and for both late starts.
            for index in 0..2 {
                cluster.submit("a1", RICE_KEY, job(&format!("job-{index}"), 10_000, idempotent));
            }
            cluster.run(Duration::from_secs(2));
            assert_eq!(cluster.late_starts, 0, "no start was late");
            for index in 0..2 {
                let name = format!("job-{index}");
                let outcome = cluster.outcome("a1", RICE_KEY, &rice_work(&name));
                assert_eq!(outcome.ending, Ending::Succeeded, "{idempotent} {late}: {outcome:?}");
                assert_eq!(cluster.starts(&name), 1, "{idempotent} {late}: {name}");
            }
        }
    }
}

/// Guards against non-idempotent work that is placed again although it may have run before its worker restarted. The
/// owner cannot tell this from a start that never arrived.
#[test]
fn restarted_worker_leaves_the_outcome_unknown() {
    let mut cluster = deploy();
    cluster.late_starts = 1;
    cluster.submit("a1", RICE_KEY, job("once", 6000, false));
    assert!(cluster.run_until(Duration::from_secs(1), |cluster| cluster.late_starts == 0));
    for site in ["east", "west"] {
        (0..4).for_each(|index| cluster.worker(&format!("{site}-w{index}")).restart());
    }
    let outcome = cluster.outcome("a1", RICE_KEY, &rice_work("once"));
    assert_eq!((outcome.ending, outcome.not_run), (Ending::Unknown, false), "{outcome:?}");
    assert_eq!(cluster.starts("once"), 0);
}
