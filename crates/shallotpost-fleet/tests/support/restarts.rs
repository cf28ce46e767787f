//! Fleets whose workers start again under their identifiers.

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Step};

use super::{CallKind, LateCalls, NewLife, Simulation, ms};

pub const HOSTS: [&str; 3] = ["a", "b", "c"];
pub const JOB: JobId = 0x47;

/// A clock that is higher than any that a life beginning at zero reaches in a test.
pub const HIGH_CLOCK_MS: u64 = 1_000_000;

/// Time for which the worker is dark. Less than the timeout of a renewal, so that the owner learns of the new life from the
/// registration.
pub const DARK: Duration = ms(600);

/// Returns a fleet that has had an owner for `age`, of workers whose clocks begin at a value, with this many processors each.
pub fn fleet(processors_milli: &[u64], clock_base_ms: u64, age: Duration) -> Simulation {
    let mut sim = Simulation::new(&HOSTS, 0);
    for (number, processors) in processors_milli.iter().enumerate() {
        let name = format!("w{number}");
        sim.add_worker(&name, *processors);
        sim.workers.get_mut(&name).expect("a worker").clock_base_ms = clock_base_ms;
    }
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(age);
    sim
}

/// Lets time pass until a renewal has reached the worker, so that it is not due again for a while.
pub fn wait_for_renewal(sim: &mut Simulation, worker: &str) {
    let before = sim.workers[worker].renewals.len();
    sim.run_until(Duration::from_secs(3), "a renewal", |sim| {
        sim.workers[worker].renewals.len() > before
    });
}

/// Restarts `w0` in the dark and submits a job of which starts reach its new life. Ends when they are executed.
pub fn start_in_the_dark(sim: &mut Simulation, life: NewLife, steps: Vec<Step>, time: Duration) {
    wait_for_renewal(sim, "w0");
    sim.restart_worker("w0", NewLife { dark: DARK, ..life });
    sim.run(DARK - ms(100));
    sim.submit_lasting("batch", JOB, steps, time);
    sim.run(ms(106));
    assert!(
        sim.workers["w0"]
            .starts
            .iter()
            .any(|(at, of, _)| { of.stage.job == JOB && *at + ms(7) >= sim.now })
    );
}

/// Adds a worker with 4 cores.
pub fn add_worker(sim: &mut Simulation, name: &str, time: Duration) {
    sim.add_worker(name, 4000);
    sim.workers.get_mut(name).expect("a worker").job_durations.insert(JOB, time);
}

/// Delays the next calls of a kind to `w0`, which are not answered.
pub fn late(sim: &mut Simulation, kind: CallKind, count: usize, delay: Duration) {
    sim.late_calls.push(LateCalls { worker: "w0".to_owned(), kind, count, delay });
}
