//! One daemon with the workers of two shards: guards against an owner that cannot keep a call open to each of its workers
//! after it has taken over the shard of another host.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use support::cluster::{Cluster, Plan};
use support::fault_scenario::{DATA_CENTRE, STEP_TIMEOUT, STOP_TIMEOUT};
use support::process::Launcher;

/// Number of workers of two shards at the target size.
const WORKERS: usize = 266;

/// Number of consecutive samples in which every worker must answer, so that a single good sample is not enough.
const SAMPLES: usize = 20;

#[test]
fn every_worker_answers() {
    let launcher = Launcher::Program {
        path: PathBuf::from(env!("CARGO_BIN_EXE_shallotpostd")),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
    };
    let plan = Plan {
        data_centres: &[(DATA_CENTRE, WORKERS, 0)],
        hosts: 1,
        launcher,
        stop_bound: STOP_TIMEOUT,
    };
    let cluster = Cluster::start(plan).expect("the cluster starts");
    let host = cluster.hosts().remove(0);
    let counts = |cluster: &Cluster| {
        let overview = cluster.overview(&host)?;
        overview.shards.first().map(|shard| (shard.workers, shard.silent_workers))
    };
    cluster
        .await_condition("every worker is listed", STEP_TIMEOUT, |cluster| {
            Ok(counts(cluster).is_some_and(|(workers, _)| workers == WORKERS as u64))
        })
        .expect("the owner has every worker");
    cluster
        .await_condition("every worker answers", Duration::from_secs(8), |cluster| {
            let samples: Vec<_> = (0..SAMPLES).map(|_| counts(cluster)).collect();
            Ok(samples.iter().all(|sample| *sample == Some((WORKERS as u64, 0))))
        })
        .unwrap_or_else(|error| panic!("{error}: {:?} workers and silent ones", counts(&cluster)));
}
