//! Calls to the workers of a large fleet through agents, and the loss of agents.

mod support;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::progress::State;
use support::worker::Change;
use support::{NewLife, Simulation, ms, step};

const JOB: u64 = 0x20_0000;

/// Starts a fleet that is too large for the owner to call all workers itself.
fn large_fleet() -> Simulation {
    let mut sim = Simulation::new(&["a", "b", "c", "d"], 100);
    sim.run(ms(3000));
    sim
}

/// Returns the number of worker calls that the owner has made itself, and that all other hosts have made.
fn calls(sim: &Simulation) -> (usize, usize) {
    let owner = sim.owner().expect("there is an owner");
    let all: usize = sim.worker_calls.values().sum();
    let own = sim.worker_calls.get(&owner).copied().unwrap_or_default();
    (own, all - own)
}

fn times_silent(sim: &Simulation) -> usize {
    sim.logs.iter().filter(|(_, _, text)| text.starts_with("worker_silent")).count()
}

/// The owner ran out of processor time because it held the connections of all workers and made every call itself.
#[test]
fn calls_are_relayed() {
    let mut sim = large_fleet();
    let before = calls(&sim);
    sim.submit("b", "batch", JOB, vec![step(200, 300)]);
    sim.run(ms(2000));
    assert_eq!(sim.starts_of_job(JOB), 200);
    assert_eq!(sim.state("c", "batch", JOB), Some(State::Completed));
    let after = calls(&sim);
    assert_eq!(after.0, before.0, "the owner called workers itself");
    assert!(after.1 >= before.1 + 200);
    sim.check_invariants();
}

/// A small fleet gains nothing from another hop.
#[test]
fn small_fleets_have_none() {
    let mut sim = Simulation::new(&["a", "b", "c"], 20);
    sim.run(ms(3000));
    sim.submit("b", "batch", JOB, vec![step(40, 300)]);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(JOB), 40);
    assert_eq!(calls(&sim).1, 0);
}

/// Calls that a killed agent had accepted must not make its workers count as silent, nor run a task twice.
#[test]
fn killed_agent() {
    let mut sim = large_fleet();
    let owner = sim.owner().expect("there is an owner");
    let agents: Vec<String> =
        sim.worker_calls.keys().filter(|name| **name != owner).cloned().collect();
    assert_eq!(agents.len(), 2, "{agents:?}");
    for worker in sim.workers.values_mut() {
        worker.duration = ms(2500);
    }
    let saves = Step { checkpoints: true, ..step(200, 2500) };
    sim.submit(&owner, "batch", JOB, vec![saves]);
    // The starts are on the way to the agents.
    sim.run(ms(9));
    sim.kill_host(&agents[0]);
    sim.run(ms(9000));
    assert_eq!(times_silent(&sim), 0);
    assert_eq!(sim.state(&owner, "batch", JOB), Some(State::Completed));
    sim.check_invariants();
}

/// A broken path between an agent and a worker that the owner can reach must not take the worker out of use.
#[test]
fn agent_without_path_to_worker() {
    let mut sim = large_fleet();
    let owner = sim.owner().expect("there is an owner");
    let hosts: Vec<String> = sim.hosts.keys().filter(|name| **name != owner).cloned().collect();
    for host in &hosts {
        sim.set_partitioned(host, "w7", true);
    }
    sim.run(ms(6000));
    sim.submit("b", "batch", JOB, vec![step(400, 300)]);
    sim.run(ms(250));
    let starts = &sim.workers["w7"].starts;
    assert!(starts.iter().any(|(_, task, _)| task.stage.job == JOB), "the worker got no task");
    sim.check_invariants();
}

/// An agent was paused with starts that it had not made yet, and made them when it resumed. Guards against a start that a later
/// process of its worker carries out so long after it was given up that nobody rules it out any more.
#[test]
fn paused_agent() {
    let mut sim = Simulation::new(&["a", "b", "c", "d"], 66);
    sim.run(ms(3000));
    let owner = sim.owner().expect("there is an owner");
    let agents: Vec<String> =
        sim.worker_calls.keys().filter(|name| **name != owner).cloned().collect();
    for worker in sim.workers.values_mut() {
        worker.duration = ms(60_000);
    }
    sim.submit(&owner, "batch", JOB, vec![step(100, 60_000)]);
    let sent =
        |sim: &Simulation| sim.logs.iter().any(|(_, _, text)| text.starts_with("run_started"));
    while !sent(&sim) {
        sim.run(ms(1));
    }
    // The starts are on the way to the agents.
    sim.pause_host(&agents[0]);
    sim.run(ms(14_000));
    let started = |sim: &Simulation| {
        let running = sim.workers.values().flat_map(|worker| worker.running());
        running.filter(|task| task.stage.job == JOB).count()
    };
    assert_eq!(started(&sim), 100);
    let barred = sim
        .workers
        .iter()
        .filter(|(_, worker)| worker.records.iter().any(|record| record.change == Change::Barred));
    let barred: Vec<String> = barred.map(|(name, _)| name.clone()).collect();
    assert!(!barred.is_empty(), "no start was on its way to the paused agent");
    for worker in &barred {
        sim.restart_worker(worker, NewLife::default());
    }
    sim.resume_host(&agents[0], true, true);
    sim.run(ms(3000));
    assert_eq!(sim.twice(), Vec::<String>::new());
}

/// Guards against a restarted worker that stays out of use, as the owner has no path to it and does not call it through its agent
/// any more.
#[test]
fn restarted_worker_without_path_to_owner() {
    let mut sim = large_fleet();
    let owner = sim.owner().expect("there is an owner");
    sim.set_partitioned(&owner, "w7", true);
    sim.run(ms(6000));
    sim.restart_worker("w7", NewLife { registered_after: Some(ms(100)), ..NewLife::default() });
    sim.run(ms(6000));
    sim.submit("b", "batch", JOB, vec![step(400, 300)]);
    sim.run(ms(250));
    let starts = &sim.workers["w7"].starts;
    assert!(starts.iter().any(|(_, task, _)| task.stage.job == JOB), "the worker got no task");
    sim.check_invariants();
}
