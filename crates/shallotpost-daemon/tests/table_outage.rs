//! Outage of the table service under load: guards against work that is accepted without being durable, refused work that
//! runs, and hosts that do not return after the outage.

mod support;

use std::time::{Duration, Instant};

use support::trial;

/// Length of the outage, beyond the ownership lease and the 5 s for which a submission waits for its commit.
const OUTAGE: Duration = Duration::from_secs(7);

#[test]
fn table_down_under_load() {
    let (cluster, running) =
        trial::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let begin = Instant::now();
    cluster.set_table_down(true);
    let see = |reachable: bool| {
        cluster.await_condition("the hosts see the table service", trial::STEP_BOUND, |cluster| {
            let hosts = cluster.hosts();
            Ok(hosts.iter().all(|host| cluster.reaches_table(host) == Some(reachable)))
        })
    };
    see(false).expect("every host notices the outage");
    cluster
        .await_condition("the end of the outage", trial::STEP_BOUND, |_| {
            Ok(begin.elapsed() >= OUTAGE)
        })
        .expect("the outage ends");
    // Counted first, so that an answer on its way cannot make the check fail.
    let accepted = running.accepted();
    let durable = cluster.registered();
    assert!(accepted <= durable, "{accepted} accepted, {durable} durable");
    cluster.set_table_down(false);
    see(true).expect("every host notices the end of the outage");
    trial::await_progress(&cluster, &running);
    let summary = trial::settle(&cluster, running);
    assert!(summary.refused > 0, "nothing was refused during the outage: {summary:?}");
}
