//! Measures the processor time of the owner's state machine in a large deployment: 350 workers and 60 jobs per second.
//!
//! `cargo run --release -p shallotpost-fleet --example owner_cost [WORKERS [LOAD]]` prints the processor time per task
//! start and exits with status 1 if it exceeds the bound. LOAD is the job rate in percent of the usual one; above 130
//! percent a backlog grows. Sockets and codecs are not measured.

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::Duration;

use shallotpost_fleet::job::Step;
use support::{Simulation, ms, step};

/// Length of the measurement, in virtual time.
const SPAN: Duration = Duration::from_secs(8);

/// Jobs per second and worker, as in large deployments.
const JOBS_PER_WORKER: f64 = 0.17;

/// Maximum processor time per start. At 640 starts per second, it leaves half of a host with 0.12 cores to sockets and
/// codecs.
const START_MAX: Duration = Duration::from_micros(95);

fn main() -> ExitCode {
    let argument = |position| std::env::args().nth(position).and_then(|text| text.parse().ok());
    let workers = argument(1).unwrap_or(350);
    let load = argument(2).unwrap_or(100);
    let mut sim = Simulation::new(&["a", "b", "c"], 0);
    for number in 0..workers {
        sim.add_worker(&format!("i-{number:010x}"), 2_000);
    }
    sim.run(ms(4000));
    let owner = sim.owner().expect("there is an owner");
    let interval = Duration::from_secs_f64(100.0 / (JOBS_PER_WORKER * (workers * load) as f64));
    for worker in sim.workers.values_mut() {
        worker.duration = ms(900);
    }
    let (before, end) = (sim.processor_time[&owner], sim.now + SPAN);
    let mut jobs = 0;
    while sim.now < end {
        let queue = ["urgent", "batch", "approved"][jobs as usize % 3];
        let saves = Step { checkpoints: queue == "batch", ..step(10, 900) };
        sim.submit(["a", "b", "c"][jobs as usize % 3], queue, 0x10_0000 + jobs, vec![saves]);
        jobs += 1;
        sim.run(interval);
    }
    sim.check_invariants();
    let spent = sim.processor_time[&owner] - before;
    let starts: usize = sim.workers.values().map(|worker| worker.starts.len()).sum();
    let each = spent / u32::try_from(starts.max(1)).expect("it is small");
    println!(
        "{workers} workers: {starts} starts of {jobs} jobs, {:.3} cores, {each:?} a start, bound {START_MAX:?}",
        spent.as_secs_f64() / SPAN.as_secs_f64()
    );
    if each <= START_MAX { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
