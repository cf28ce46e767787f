//! SIGTERM of the owner under load: guards against cut requests, a wrong exit code and a stop without end.

mod support;

use std::time::Duration;

use support::cluster;
use support::load::Held;
use support::process::Signal;
use support::trial;

/// Requests that are open at the owner when it is asked to stop.
const HELD: usize = 8;

/// Time for which they wait; the work ends before.
const HELD_WAIT: Duration = Duration::from_secs(5);

#[test]
fn owner_stopped_under_load() {
    let (mut cluster, running) =
        trial::start(env!("CARGO_BIN_EXE_shallotpostd"), env!("CARGO_TARGET_TMPDIR"));
    let (data_centre, owner) = cluster.owner(trial::DATA_CENTRE).expect("the shard has an owner");
    cluster.submit(&cluster::job("held", &["run", "3000"], true)).expect("work is accepted");
    let server = cluster.server(&owner).expect("the owner has an address");
    let held = Held::open(&server, "laundry/held", HELD, HELD_WAIT).expect("requests are opened");
    cluster
        .await_condition("open requests", trial::STEP_BOUND, |_| Ok(held.waiting() == HELD))
        .expect("the owner answers");
    cluster.signal(&owner, Signal::Stop).expect("the owner is asked to stop");
    let status = cluster.await_exit(&owner, trial::STOP_BOUND).expect("the owner can be awaited");
    let status = status.unwrap_or_else(|| panic!("no exit within {:?}", trial::STOP_BOUND));
    assert_eq!(status.code(), Some(0), "{status}");
    let (cut, answered) = held.finish().expect("the requests end");
    assert_eq!((cut, answered), (0, HELD), "requests that were open at the stop were cut");
    let handed_over = cluster.await_condition("a takeover", trial::STEP_BOUND, |cluster| {
        Ok(cluster.owner(&data_centre)?.1 != owner)
    });
    handed_over.expect("another host owns the shard");
    trial::await_progress(&cluster, &running);
    let summary = trial::settle(&cluster, running);
    assert_eq!(summary.cut, 0, "requests were cut: {summary:?}");
    assert_eq!(summary.unknown, 0, "a planned stop leaves no outcome unknown: {summary:?}");
}
