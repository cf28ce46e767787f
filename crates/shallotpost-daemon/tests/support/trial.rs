//! Three daemons of one data centre under load, for one fault each.

use std::path::PathBuf;
use std::time::Duration;

use super::cluster::{Cluster, Plan};
use super::load::{Load, Running, Summary};
use super::process::Launcher;

/// The data centre.
pub const DATA_CENTRE: &str = "kochi";

/// Bound on each step of a test.
pub const STEP_BOUND: Duration = Duration::from_secs(12);

/// Longest load of a test, which ends it before.
const LOAD_MAX: Duration = Duration::from_secs(30);

/// Submissions per second.
const RATE: u32 = 40;

/// Accepted submissions between two steps of a test, so that the fault comes under load.
const PROGRESS: usize = 20;

/// Most time from a stop request to the exit.
pub const STOP_BOUND: Duration = Duration::from_secs(10);

/// Starts the daemon program three times with six workers, and a load through all of them.
pub fn start(path: &str, folder: &str) -> (Cluster, Running) {
    let launcher = Launcher::Program { path: PathBuf::from(path), folder: PathBuf::from(folder) };
    let plan =
        Plan { data_centres: &[(DATA_CENTRE, 4, 2)], hosts: 3, launcher, stop_bound: STOP_BOUND };
    let cluster = Cluster::start(plan).expect("the cluster starts");
    let running = Load::new(&cluster).start("load", RATE, LOAD_MAX);
    await_progress(&cluster, &running);
    (cluster, running)
}

/// Waits until further submissions were accepted.
pub fn await_progress(cluster: &Cluster, running: &Running) {
    let wanted = running.accepted() + PROGRESS;
    let accepted = |_: &Cluster| Ok(running.accepted() >= wanted);
    cluster
        .await_condition("further submissions are accepted", STEP_BOUND, accepted)
        .expect("the load goes on");
}

/// Ends the load and checks what must hold after every fault.
pub fn settle(cluster: &Cluster, running: Running) -> Summary {
    let summary = running.stop(cluster).expect("the load ends");
    assert!(summary.accepted >= 2 * PROGRESS, "too little load: {summary:?}");
    assert_eq!(summary.doubled, 0, "work that is not idempotent was started twice: {summary:?}");
    assert_eq!(summary.lost, 0, "accepted work was lost: {summary:?}");
    assert_eq!(summary.refused_but_run, 0, "work that was refused as not run ran: {summary:?}");
    summary
}
