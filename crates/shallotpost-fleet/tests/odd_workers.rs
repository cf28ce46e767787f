//! Odd entries among those of the workers, and workers with impossible values. Guards against an owner that ends, that no
//! longer follows the other workers, or that loses runs because of one of them.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Configuration;
use shallotpost_fleet::job::Step;
use shallotpost_fleet::port::{Content, Table};
use shallotpost_fleet::progress::State;
use shallotpost_protocol::size::Size;
use support::{Simulation, ms, step};

const JOB: u64 = 0x71;
const NEXT: u64 = 0x72;

fn settled(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

fn count(sim: &Simulation, event: &str) -> usize {
    sim.logs.iter().filter(|(_, _, text)| text.starts_with(event)).count()
}

/// The sum of the capacities of a pool overflowed, and with it the share of the pool in use, as soon as a job waited that
/// was beyond its team's share.
#[test]
fn huge_capacities() {
    let mut sim = settled(3);
    for name in ["w0", "w1"] {
        let worker = sim.workers.get_mut(name).expect("a worker");
        worker.capacity = Size { processors_milli: u64::MAX, ..worker.capacity };
        sim.register(name, false);
    }
    sim.run(ms(500));
    let wide = |accelerators| Step {
        size: Size { processors_milli: 1000, accelerators, ..Size::ZERO },
        ..step(3, 1000)
    };
    for id in 0..8 {
        sim.submit("a", "batch", JOB + id, vec![wide(5)]);
    }
    sim.run(Duration::from_secs(8));
    assert_eq!(sim.state("a", "batch", JOB + 7), Some(State::Completed));
    sim.check_invariants();
}

/// The end of a lease on a clock that is about to overflow ended the owner, and so did its successors.
#[test]
fn huge_clock() {
    for clock_ms in [u64::MAX, u64::MAX - 3000, 1 << 53] {
        let mut sim = settled(3);
        sim.submit("a", "batch", JOB, vec![step(12, 300)]);
        sim.run(ms(100));
        sim.workers.get_mut("w1").expect("a worker").false_clock_ms = Some(clock_ms);
        sim.run(Duration::from_secs(4));
        sim.submit("a", "batch", NEXT, vec![step(8, 300)]);
        sim.run(Duration::from_secs(4));
        sim.crash("w1");
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.state("a", "batch", JOB), Some(State::Completed), "{clock_ms}");
        assert_eq!(sim.state("a", "batch", NEXT), Some(State::Completed), "{clock_ms}");
    }
}

/// A known worker whose entry cannot be read for a while: it was given further tasks, although the entry names no worker
/// to use. Its runs go on, and it is used again once its entry is back.
#[test]
fn unreadable_for_a_while() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(8));
    sim.submit("a", "batch", JOB, vec![Step { per_worker_max: 2, ..step(4, 8000) }]);
    sim.run(ms(300));
    let before = sim.workers["w0"].starts.len();
    assert_eq!(before, 2);
    sim.store.put(Table::Workers, "w0", Content::Unreadable);
    sim.run(ms(600));
    sim.submit("a", "batch", NEXT, vec![step(6, 300)]);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(300));
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.workers["w0"].starts.len(), before, "tasks were started on w0");
    assert_eq!(sim.state("a", "batch", NEXT), Some(State::Completed));
    assert_eq!(sim.workers["w0"].running().count(), before, "runs were lost");
    sim.register("w0", false);
    sim.run(Duration::from_secs(4));
    assert_eq!(sim.state("a", "batch", JOB), Some(State::Completed));
    assert_eq!(sim.starts_of_job(JOB), 4, "a run was repeated");
    sim.submit("a", "batch", JOB + 5, vec![step(8, 300)]);
    sim.run(ms(300));
    assert!(sim.workers["w0"].starts.len() > before, "w0 is not used again");
    assert_eq!(count(&sim, "runs_lost"), 0);
}

/// The same over a takeover: the successor reads the table while the entry is unreadable and finds the runs of the worker
/// through the roster.
#[test]
fn unreadable_at_takeover() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(6));
    sim.submit("a", "batch", JOB, vec![step(8, 6000)]);
    sim.run(ms(300));
    sim.store.put(Table::Workers, "w0", Content::Unreadable);
    sim.store.put(Table::Workers, "odd", Content::Unreadable);
    sim.run(ms(300));
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    let other = if owner == "a" { "b" } else { "a" };
    sim.run(Duration::from_secs(9));
    assert_eq!(sim.state(other, "batch", JOB), Some(State::Completed));
    assert_eq!(sim.starts_of_job(JOB), 8, "a run was repeated");
}

/// An odd entry was reported with each of its changes and each read of the table, and flooded the log.
#[test]
fn reported_once() {
    let mut sim = settled(2);
    for _ in 0..20 {
        sim.store.put(Table::Workers, "odd", Content::Unreadable);
        sim.run(ms(300));
        sim.store.compact();
    }
    assert_eq!(count(&sim, "registration_unreadable worker=odd"), 1);
    sim.store.delete(Table::Workers, "odd");
    sim.run(ms(600));
    sim.store.put(Table::Workers, "odd", Content::Unreadable);
    sim.run(ms(600));
    assert_eq!(count(&sim, "registration_unreadable worker=odd"), 2);
}

/// The entry of a worker arrived before the configuration that names its pool, and the worker was never used, because its
/// entry did not change again.
#[test]
fn pool_named_later() {
    let mut sim = settled(1);
    let mut configuration = support::configuration();
    configuration.pools.clear();
    configuration.version = 2;
    sim.configure(configuration);
    sim.run(ms(500));
    sim.add_worker("new", 8000);
    sim.run(ms(1500));
    assert_eq!(count(&sim, "registration_unknown_pool worker=new"), 1);
    sim.configure(Configuration { version: 3, ..support::configuration() });
    sim.run(ms(1500));
    sim.submit("a", "batch", JOB, vec![step(10, 300)]);
    sim.run(ms(200));
    assert!(!sim.workers["new"].starts.is_empty(), "the worker is not used");
}

/// An entry of a known worker with a start in the future took its runs for lost, and they were started a second time.
#[test]
fn start_in_the_future() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    sim.submit("a", "batch", JOB, vec![Step { per_worker_max: 2, ..step(4, 3000) }]);
    sim.run(ms(300));
    let real = sim.workers["w0"].started_unix_ms;
    sim.workers.get_mut("w0").expect("a worker").started_unix_ms = 4_000_000_000_000;
    sim.register("w0", false);
    sim.workers.get_mut("w0").expect("a worker").started_unix_ms = real;
    sim.run(ms(600));
    assert_eq!(count(&sim, "runs_lost"), 0);
    assert_eq!(count(&sim, "registration_unreadable worker=w0"), 1);
    sim.run(Duration::from_secs(4));
    assert_eq!(sim.state("a", "batch", JOB), Some(State::Completed));
    assert_eq!(sim.starts_of_job(JOB), 4, "a run was repeated");
}
