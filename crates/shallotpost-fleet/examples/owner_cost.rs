//! Processor time of the owner's state machine at the size of a grown deployment: 350 workers, 60 jobs a second.
//!
//! `cargo run --release -p shallotpost-fleet --example owner_cost [WORKERS [LOAD]]` prints the time for each start, and exits with
//! status 1 beyond the bound. LOAD is in percent of the usual rate of jobs; above 130 a backlog grows. Sockets and codecs are not part of it.

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::Duration;

use shallotpost_fleet::job::Step;
use support::{Site, ms, step};

/// Measured time, after two seconds for the fleet to settle.
const SPAN: Duration = Duration::from_secs(8);

/// Jobs a second for each worker, as on the grown deployments.
const JOBS_PER_WORKER: f64 = 0.17;

/// Most processor time for a start: 640 starts a second leave half of a host with 0.12 cores to sockets and codecs.
const START_MAX: Duration = Duration::from_micros(95);

fn main() -> ExitCode {
    let argument = |position| std::env::args().nth(position).and_then(|text| text.parse().ok());
    let workers = argument(1).unwrap_or(350);
    let load = argument(2).unwrap_or(100);
    let mut site = Site::new(&["a", "b", "c"], 0);
    for number in 0..workers {
        site.add_worker(&format!("i-{number:010x}"), 2_000);
    }
    site.run(ms(4000));
    let owner = site.owner().expect("there is an owner");
    let interval = Duration::from_secs_f64(100.0 / (JOBS_PER_WORKER * (workers * load) as f64));
    for worker in site.workers.values_mut() {
        worker.duration = ms(900);
    }
    let (before, end) = (site.spent[&owner], site.now + SPAN);
    let mut jobs = 0;
    while site.now < end {
        let queue = ["urgent", "batch", "approved"][jobs as usize % 3];
        let saves = Step { checkpoints: queue == "batch", ..step(10, 900) };
        site.submit(["a", "b", "c"][jobs as usize % 3], queue, 0x10_0000 + jobs, vec![saves]);
        jobs += 1;
        site.run(interval);
    }
    site.check();
    let spent = site.spent[&owner] - before;
    let starts: usize = site.workers.values().map(|worker| worker.starts.len()).sum();
    let each = spent / u32::try_from(starts.max(1)).expect("it is small");
    println!(
        "{workers} workers: {starts} starts of {jobs} jobs, {:.3} cores, {each:?} a start, bound {START_MAX:?}",
        spent.as_secs_f64() / SPAN.as_secs_f64()
    );
    if each <= START_MAX { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
