//! Outage of the table service under load: guards against work that is accepted before it is durable, refused work that
//! runs, and hosts that do not recover after the outage.

mod support;

use std::time::{Duration, Instant};

use support::fault_scenario;

/// Duration of the outage. It exceeds the ownership lease and the 5 s for which a submission waits for its commit.
const OUTAGE: Duration = Duration::from_secs(7);

#[test]
fn table_down_under_load() {
    let (cluster, running) =
        fault_scenario::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let begin = Instant::now();
    cluster.set_table_down(true);
    let await_reachable = |reachable: bool| {
        cluster.await_condition(
            "the hosts notice whether the table service is reachable",
            fault_scenario::STEP_TIMEOUT,
            |cluster| {
                let hosts = cluster.hosts();
                Ok(hosts.iter().all(|host| cluster.reaches_table(host) == Some(reachable)))
            },
        )
    };
    await_reachable(false).expect("every host notices the outage");
    cluster
        .await_condition("the end of the outage", fault_scenario::STEP_TIMEOUT, |_| {
            Ok(begin.elapsed() >= OUTAGE)
        })
        .expect("the outage ends");
    // Accepted submissions are counted first, so that one accepted between the two counts cannot fail the check.
    let accepted = running.accepted();
    let durable = cluster.registered_submissions();
    assert!(accepted <= durable, "{accepted} accepted, {durable} durable");
    cluster.set_table_down(false);
    await_reachable(true).expect("every host notices the end of the outage");
    fault_scenario::await_progress(&cluster, &running);
    let summary = fault_scenario::finish_and_check(&cluster, running);
    assert!(summary.refused > 0, "nothing was refused during the outage: {summary:?}");
}
