//! Compares the placement policy with the FIFO baseline in virtual time, and measures the time of its decisions.
//!
//! Prints one JSON object per line. Exits with status 1 if `holds` is false in any line. The simulation models no
//! network and no processes.

#[path = "measure/deployment.rs"]
mod deployment;
#[path = "measure/driver.rs"]
mod driver;
#[path = "measure/report.rs"]
mod report;
#[path = "measure/simulation.rs"]
mod simulation;
#[path = "measure/speed.rs"]
mod speed;
#[path = "measure/statistics.rs"]
mod statistics;
#[path = "measure/workload.rs"]
mod workload;

use std::process::ExitCode;
use std::thread;

use shallotpost_policy::first_fit::FirstFit;
use shallotpost_policy::planner::Planner;

use crate::deployment::Deployment;
use crate::driver::Driver;
use crate::report::Line;
use crate::simulation::{Result, Simulation};

/// Seeds of the workloads. In a single workload, a few large gangs determine the 99th percentiles.
const SEEDS: [u64; 3] = [1, 2, 3];

fn main() -> ExitCode {
    let mut lines = speed::measure();
    let deployments = [deployment::consortium(), deployment::abu_kayu(), deployment::target()];
    let pairs: Vec<(Result, Result)> = thread::scope(|scope| {
        let runs: Vec<_> = deployments
            .iter()
            .map(|deployment| {
                let policy = scope.spawn(|| run(deployment, policy_driver));
                let baseline = scope.spawn(|| run(deployment, baseline_driver));
                (policy, baseline)
            })
            .collect();
        let joined = runs.into_iter().map(|(policy, baseline)| {
            (policy.join().expect("policy run"), baseline.join().expect("baseline run"))
        });
        joined.collect()
    });
    for (deployment, (policy, baseline)) in deployments.iter().zip(&pairs) {
        lines.extend(statistics::compare(deployment, policy, baseline));
    }
    lines.iter().for_each(Line::print);
    let held = lines.iter().all(|line| line.holds != Some(false));
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs the simulation with each seed and combines the results.
fn run(deployment: &Deployment, driver: fn(&Deployment) -> Box<dyn Driver>) -> Result {
    let results = SEEDS.map(|seed| {
        let planners = (0..deployment.data_centres).map(|_| driver(deployment)).collect();
        Simulation::new(deployment, planners, seed).run()
    });
    Result::combine(results)
}

fn policy_driver(deployment: &Deployment) -> Box<dyn Driver> {
    Box::new(Planner::new(&deployment.policy))
}

fn baseline_driver(_deployment: &Deployment) -> Box<dyn Driver> {
    Box::new(FirstFit::default())
}
