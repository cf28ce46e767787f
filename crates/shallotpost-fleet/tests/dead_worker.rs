//! A worker that dies without a trace: it answers nothing, and nothing tells that its process has ended. Guards against
//! tasks that wait for it longer than one lease.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Step};
use shallotpost_protocol::size::Size;
use support::{Simulation, ms, step, task};

const LONG: JobId = 0x1000;
const SHORT: JobId = 0x2000;

/// Maximum length of a lease, for a worker whose clock is 2 % slow.
const LEASE_MAX: Duration = Duration::from_millis(6123);

/// Time for the owner to notice the end of the lease and to start the task on another worker that it sets aside.
const RESTART: Duration = Duration::from_millis(700);

/// Size of every task; a worker has room for 40.
const SMALL: Size = Size { processors_milli: 100, ..Size::ZERO };

fn small(milliseconds: u64) -> Step {
    Step { size: SMALL, ..step(1, milliseconds) }
}

/// Submits a job of one short task every 100 ms, for the given time.
fn submit_short_jobs(sim: &mut Simulation, first: JobId, time: Duration) {
    for number in 0..(time.as_millis() / 100) as u64 {
        sim.submit("a", "batch", first + number, vec![small(300)]);
        sim.run(ms(100));
    }
}

/// Times of the worker's death, from the start of the long task: just after a renewal was sent, and later.
const DEATHS: [Duration; 3] = [ms(3000), ms(3500), ms(4000)];

/// Returns a fleet of four workers, one of which runs a long task and has died, and its name.
fn dead_worker(death: Duration) -> (Simulation, String) {
    let mut sim = Simulation::settled(4);
    sim.workers.values_mut().for_each(|worker| worker.size = SMALL);
    sim.submit_lasting("batch", LONG, vec![small(20_000)], Duration::from_secs(20));
    sim.wait_for_start(LONG, 1);
    sim.run(death);
    let name = sim.workers_of(LONG).pop_first().expect("the task runs");
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, &name, true);
    }
    (sim, name)
}

/// The task of a dead worker starts elsewhere one lease after the worker's death. Guards against leases that are granted
/// by calls which the worker no longer answers.
#[test]
fn lease_after_death() {
    for death in DEATHS {
        let (mut sim, _) = dead_worker(death);
        let died = sim.now;
        submit_short_jobs(&mut sim, SHORT, ms(9000));
        let starts = sim.workers.values().flat_map(|worker| &worker.starts);
        let restart = starts.filter(|(at, started, _)| *started == task(LONG, 0, 0) && *at > died);
        let restart = restart.map(|(at, _, _)| *at - died).min().expect("the task starts again");
        assert!(restart <= LEASE_MAX + RESTART, "started {restart:?} after the worker's death");
        sim.check_invariants();
    }
}

/// Nothing is sent to a worker once a call to it has failed. Guards against starts that wait for the end of its lease.
#[test]
fn starts_after_failed_call() {
    for death in DEATHS {
        let (mut sim, name) = dead_worker(death);
        let died = sim.now;
        submit_short_jobs(&mut sim, SHORT, ms(4000));
        let failed = format!("worker={name} error=the worker did not answer");
        let is_failure =
            |line: &str| line.starts_with("start_failed") && line.contains(failed.as_str());
        let first = sim.logs.iter().find(|(at, _, line)| *at > died && is_failure(line));
        let first = first.map(|(at, _, _)| *at).expect("a start fails");
        let worker = format!("worker={name} ");
        let sent = |line: &str| line.starts_with("run_started") && line.contains(&worker);
        let later = sim.logs.iter().filter(|(at, _, line)| *at > first && sent(line)).count();
        assert_eq!(later, 0, "starts on the worker after the first one has failed");
    }
}
