//! Workers whose session is dropped and opened again in one epoch. Guards against tokens and numbers that start anew with the
//! session, while the worker, calls in flight or the store still hold later ones.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::Table;
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step};

const HOSTS: [&str; 3] = ["a", "b", "c"];
const WORKER: &str = "w0";

/// Returns a fleet whose only worker is called with the fencing token of its second life.
fn second_life() -> Simulation {
    let mut sim = Simulation::settled(1);
    run_job(&mut sim, 1);
    sim.crash(WORKER);
    sim.run(Duration::from_secs(5));
    run_job(&mut sim, 2);
    sim
}

fn run_job(sim: &mut Simulation, id: JobId) {
    sim.submit("a", "batch", id, vec![step(2, 300)]);
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.state("a", "batch", id), Some(State::Completed), "job {id}");
}

/// Returns the lives under which the owner has called the worker, in the order of time.
fn lives(sim: &Simulation) -> Vec<u64> {
    let lines = sim.logs.iter().filter(|(_, _, text)| text.starts_with("worker_joined"));
    lines
        .filter_map(|(_, _, text)| text.rsplit_once("life="))
        .map(|(_, life)| life.parse().expect("a number"))
        .collect()
}

/// A worker that had restarted lost its entry in the registry while it was cut off. The owner forgot it and called it with
/// the token of a first life when it was back, and the worker refused every call.
#[test]
fn cut_off_after_a_restart() {
    let mut sim = second_life();
    for host in HOSTS {
        sim.set_partitioned(host, WORKER, true);
    }
    sim.unregister(WORKER);
    sim.run(Duration::from_secs(6));
    for host in HOSTS {
        sim.set_partitioned(host, WORKER, false);
    }
    sim.register(WORKER, false);
    sim.run(Duration::from_secs(3));
    run_job(&mut sim, 3);
    assert!(lives(&sim).is_sorted_by(|earlier, later| earlier < later), "{:?}", lives(&sim));
}

/// The same for a worker whose address answered for another one for a while.
#[test]
fn address_of_another() {
    let mut sim = second_life();
    sim.workers.get_mut(WORKER).expect("a worker").replaced = true;
    sim.run(Duration::from_secs(2));
    sim.workers.get_mut(WORKER).expect("a worker").replaced = false;
    sim.register(WORKER, false);
    sim.run(Duration::from_secs(2));
    run_job(&mut sim, 3);
    assert!(lives(&sim).is_sorted_by(|earlier, later| earlier < later), "{:?}", lives(&sim));
}

/// Runs a job until the commit with its ends is in flight, and replaces the worker's process meanwhile.
fn replaced_during_a_commit() -> Simulation {
    let mut sim = Simulation::settled(1);
    run_job(&mut sim, 1);
    sim.transaction_delay = ms(900);
    sim.submit("a", "batch", 2, vec![step(4, 300)]);
    sim.run_until(Duration::from_secs(5), "the commit of the ends", |sim| {
        sim.store.has(Table::Progress, &format!("{:016x}", 2))
    });
    sim.workers.get_mut(WORKER).expect("a worker").replaced = true;
    sim.run_until(Duration::from_secs(1), "the loss of the worker", |sim| {
        sim.logs.iter().any(|(_, _, text)| text.starts_with("worker_gone"))
    });
    let now = sim.now;
    sim.workers.get_mut(WORKER).expect("a worker").restart(now);
    sim.register(WORKER, false);
    sim.run(Duration::from_secs(3));
    sim
}

/// The commit acknowledged the numbers of the earlier life to the new process, which drops ends up to them unseen.
#[test]
fn ends_of_the_earlier_life() {
    let sim = replaced_during_a_commit();
    assert_eq!(sim.workers[WORKER].acknowledged(), 0);
}

/// The stored roster still named the worker, but the new session did not know, and nothing was started on it until another
/// worker joined or left.
#[test]
fn named_by_the_roster() {
    let mut sim = replaced_during_a_commit();
    sim.transaction_delay = Duration::ZERO;
    sim.run(Duration::from_secs(1));
    run_job(&mut sim, 3);
    assert_eq!(sim.starts_of_job(3), 2);
}
