//! Test scenario: three daemons of one data centre under load, into which a test injects one fault.

use std::path::PathBuf;
use std::time::Duration;

use super::cluster::{Cluster, Plan};
use super::load::{Load, RunningLoad, Summary};
use super::process::Launcher;

/// Name of the only data centre.
pub const DATA_CENTRE: &str = "kochi";

/// Timeout of each step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum duration of the load. A test stops it earlier.
const LOAD_DURATION_MAX: Duration = Duration::from_secs(30);

/// Rate of the load, in submissions per second.
const SUBMISSIONS_PER_SECOND: u32 = 40;

/// Number of accepted submissions to wait for between two steps of a test, so that the fault happens under load.
const PROGRESS_SUBMISSIONS: usize = 20;

/// Maximum time from a stop request to the exit.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts three daemon processes with six workers, and a load that uses all three.
pub fn start(path: &str, folder: &str) -> (Cluster, RunningLoad) {
    let launcher = Launcher::Program { path: PathBuf::from(path), folder: PathBuf::from(folder) };
    let plan =
        Plan { data_centres: &[(DATA_CENTRE, 4, 2)], hosts: 3, launcher, stop_bound: STOP_TIMEOUT };
    let cluster = Cluster::start(plan).expect("the cluster starts");
    let running = Load::new(&cluster).start("load", SUBMISSIONS_PER_SECOND, LOAD_DURATION_MAX);
    await_progress(&cluster, &running);
    (cluster, running)
}

/// Waits until [`PROGRESS_SUBMISSIONS`] further submissions have been accepted.
pub fn await_progress(cluster: &Cluster, running: &RunningLoad) {
    let target_count = running.accepted() + PROGRESS_SUBMISSIONS;
    let accepted = |_: &Cluster| Ok(running.accepted() >= target_count);
    cluster
        .await_condition("further submissions are accepted", STEP_TIMEOUT, accepted)
        .expect("the load goes on");
}

/// Ends the load and checks the invariants that hold after every fault.
pub fn finish_and_check(cluster: &Cluster, running: RunningLoad) -> Summary {
    let summary = running.stop(cluster).expect("the load ends");
    assert!(summary.accepted >= 2 * PROGRESS_SUBMISSIONS, "too little load: {summary:?}");
    assert_eq!(
        summary.started_twice, 0,
        "work that is not idempotent was started twice: {summary:?}"
    );
    assert_eq!(summary.lost, 0, "accepted work was lost: {summary:?}");
    assert_eq!(summary.refused_but_run, 0, "work that was refused as not run ran: {summary:?}");
    summary
}
