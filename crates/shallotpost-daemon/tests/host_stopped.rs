//! SIGTERM of the owner under load: guards against requests whose connection is closed without an answer, a wrong exit
//! code and a process that does not exit.

mod support;

use std::time::Duration;

use support::cluster;
use support::fault_scenario;
use support::load::PendingRequests;
use support::process::Signal;

/// Number of requests in flight at the owner when it receives SIGTERM.
const PENDING_REQUESTS: usize = 8;

/// Time for which these requests wait. The work ends earlier.
const REQUEST_WAIT: Duration = Duration::from_secs(5);

#[test]
fn owner_stopped_under_load() {
    let (mut cluster, running) =
        fault_scenario::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) =
        cluster.owner(fault_scenario::DATA_CENTRE).expect("the shard has an owner");
    cluster.submit(&cluster::job("held", &["run", "3000"], true)).expect("work is accepted");
    let server = cluster.server(&owner).expect("the owner has an address");
    let pending = PendingRequests::open(&server, "laundry/held", PENDING_REQUESTS, REQUEST_WAIT)
        .expect("requests are opened");
    cluster
        .await_condition("open requests", fault_scenario::STEP_TIMEOUT, |_| {
            Ok(pending.waiting() == PENDING_REQUESTS)
        })
        .expect("the owner answers");
    cluster.signal(&owner, Signal::Stop).expect("the owner is asked to stop");
    let status =
        cluster.await_exit(&owner, fault_scenario::STOP_TIMEOUT).expect("the owner can be awaited");
    let status =
        status.unwrap_or_else(|| panic!("no exit within {:?}", fault_scenario::STOP_TIMEOUT));
    assert_eq!(status.code(), Some(0), "{status}");
    let (connection_lost, answered) = pending.finish().expect("the requests end");
    assert_eq!(
        (connection_lost, answered),
        (0, PENDING_REQUESTS),
        "requests that were open at the stop were cut"
    );
    let handed_over =
        cluster.await_condition("a takeover", fault_scenario::STEP_TIMEOUT, |cluster| {
            Ok(cluster.owner(&data_centre)?.1 != owner)
        });
    handed_over.expect("another host owns the shard");
    fault_scenario::await_progress(&cluster, &running);
    let summary = fault_scenario::finish_and_check(&cluster, running);
    assert_eq!(summary.connection_lost, 0, "requests were cut: {summary:?}");
    assert_eq!(summary.unknown, 0, "a planned stop leaves no outcome unknown: {summary:?}");
}
