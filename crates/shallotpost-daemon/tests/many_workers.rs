//! One daemon with the workers of two shards: guards against an owner that cannot keep a call open to each of its workers
//! once it has taken over the shard of another host.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use support::cluster::{Cluster, Plan};
use support::process::Launcher;
use support::trial::{DATA_CENTRE, STEP_BOUND, STOP_BOUND};

/// Workers of two shards at the target size.
const WORKERS: usize = 266;

/// Looks at the workers that must all show them answering, so that one good moment does not count.
const LOOKS: usize = 20;

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
        stop_bound: STOP_BOUND,
    };
    let cluster = Cluster::start(plan).expect("the cluster starts");
    let host = cluster.hosts().remove(0);
    let counts = |cluster: &Cluster| {
        let overview = cluster.overview(&host)?;
        overview.shards.first().map(|shard| (shard.workers, shard.silent_workers))
    };
    cluster
        .await_condition("every worker is listed", STEP_BOUND, |cluster| {
            Ok(counts(cluster).is_some_and(|(workers, _)| workers == WORKERS as u64))
        })
        .expect("the owner has every worker");
    cluster
        .await_condition("every worker answers", Duration::from_secs(8), |cluster| {
            let looks: Vec<_> = (0..LOOKS).map(|_| counts(cluster)).collect();
            Ok(looks.iter().all(|look| *look == Some((WORKERS as u64, 0))))
        })
        .unwrap_or_else(|error| panic!("{error}: {:?} workers and silent ones", counts(&cluster)));
}
