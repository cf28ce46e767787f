//! Lists of workers that an owner reads late, as it is short of processor time. Guards against tasks that start again although
//! their workers have listed the ends of their runs all the while.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use support::{Simulation, ms, step};

const JOB: JobId = 0x50;

/// Time for which the inputs of the owner wait: longer than the owner waits for the results of its agents, and longer than
/// other hosts wait for its commits.
const LAGS: [u64; 3] = [900, 1250, 2500];

/// The owner takes calls to its agents for lost, so that its workers are silent again and again, for twice the time of a lease.
#[test]
fn slow_owner() {
    for (workers, lag) in [10, 100].into_iter().flat_map(|count| LAGS.map(|lag| (count, lag))) {
        let mut sim = Simulation::new(&["a", "b", "c", "d"], workers as usize);
        sim.run(Duration::from_secs(5));
        sim.submit_lasting("batch", JOB, vec![step(workers, 1500)], ms(1500));
        sim.wait_for_start(JOB, workers as usize);
        let owner = sim.owner().expect("an owner");
        sim.input_lags.insert(owner, ms(lag));
        sim.run(Duration::from_secs(14));
        sim.input_lags.clear();
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.starts_of_job(JOB), workers as usize, "{workers} workers, lag {lag} ms");
        assert_eq!(sim.twice(), Vec::<String>::new(), "{workers} workers, lag {lag} ms");
    }
}
