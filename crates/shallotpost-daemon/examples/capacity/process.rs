//! Processor time and memory of a whole daemon process by number of workers, with five tasks on each.

use std::time::Duration;

use eyre::ensure;

use crate::report::Report;
use crate::support::cluster::{Cluster, Plan};
use crate::support::load::Load;
use crate::support::process::Launcher;

/// Name of the only data centre.
const DATA_CENTRE: &str = "kochi";

/// Deployments of different sizes, with the number of small and of large workers.
const DEPLOYMENTS: [&[(&str, usize, usize)]; 3] =
    [&[(DATA_CENTRE, 33, 0)], &[(DATA_CENTRE, 67, 0)], &[(DATA_CENTRE, 133, 0)]];

/// Number of tasks per worker: at the target size, 90,000 tasks run on 18,000 workers.
const TASKS_PER_WORKER: usize = 5;

/// Duration of a measurement.
const PERIOD: Duration = Duration::from_secs(5);

/// Timeout of each step.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Measures and prints the processor time and the memory.
pub fn measure(report: &mut Report) -> eyre::Result<()> {
    let mut processor = Vec::new();
    let mut memory = Vec::new();
    for data_centres in DEPLOYMENTS {
        let workers = data_centres[0].1;
        let plan = Plan {
            data_centres,
            hosts: 1,
            launcher: Launcher::CurrentExecutable,
            stop_bound: TIMEOUT,
        };
        let cluster = Cluster::start(plan)?;
        let replicas = (workers * TASKS_PER_WORKER) as u32;
        let service = Load::new(&cluster).submit_service("service", replicas)?;
        service.await_running(&cluster, TIMEOUT)?;
        let cost = cluster.measure_cost(PERIOD)?;
        let host = cluster.hosts().remove(0);
        let silent = cluster.overview(&host).map(|overview| overview.shards[0].silent_workers);
        ensure!(silent == Some(0), "{silent:?} workers are silent");
        processor.push((workers, cost.processor_percent));
        memory.push((workers, cost.memory_mib));
    }
    report.slope("process_processor", "% core", "workers", &processor);
    report.slope("process_memory", "MiB", "workers", &memory);
    Ok(())
}
