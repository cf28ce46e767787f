//! What a new owner reads, in every order and with failures. Guards against an owner that decides before it knows
//! everything, and so loses jobs, starts tasks twice or books runs without a size.

mod support;

use std::time::Duration;

use shallotpost_fleet::port::{Action, Table};
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step, task};

const HOSTS: [&str; 3] = ["a", "b", "c"];
const RUNNING: u64 = 0x51;
const WAITING: u64 = 0x52;
const CANCELLED: u64 = 0x53;

/// Tables that a new owner reads, the operator's among them.
const TABLES: [Table; 5] =
    [Table::Operator, Table::Jobs, Table::Progress, Table::Ownership, Table::Workers];

/// Returns a fleet with two full workers, a job that waits for them and a cancelled one, whose hosts have all been killed.
fn killed_fleet() -> Simulation {
    let mut sim = Simulation::settled(2);
    sim.submit_lasting("batch", RUNNING, vec![step(8, 5000)], Duration::from_secs(9));
    sim.wait_for_start(RUNNING, 8);
    sim.submit("a", "batch", WAITING, vec![step(6, 300)]);
    sim.submit("b", "batch", CANCELLED, vec![step(2, 300)]);
    sim.run(ms(300));
    let path = format!("/batch/{CANCELLED:016x}");
    sim.request("b", &path, Some("key-a"), Action::Cancel);
    sim.run(ms(300));
    HOSTS.iter().for_each(|host| sim.kill_host(host));
    sim
}

/// Starts the hosts again, and asserts that no job is lost and no task runs twice.
fn check_restart(mut sim: Simulation, case: &str) {
    HOSTS.iter().for_each(|host| sim.start_host(host));
    for _ in 0..80 {
        sim.run(ms(100));
        sim.check_invariants();
    }
    sim.read_delays.clear();
    sim.run(Duration::from_secs(8));
    assert_eq!(sim.state("b", "batch", RUNNING), Some(State::Completed), "{case}");
    assert_eq!(sim.state("b", "batch", WAITING), Some(State::Completed), "{case}");
    assert_eq!(sim.state("b", "batch", CANCELLED), Some(State::Cancelled), "{case}");
    assert_eq!((sim.starts_of_job(RUNNING), sim.starts_of_job(WAITING)), (8, 6), "{case}");
    assert_eq!(sim.starts(task(CANCELLED, 0, 0)), 0, "{case}");
}

/// All hosts restarted during an outage of the store, and the configuration was read after the jobs: the new owner dropped
/// all of them. Each read comes before and after each other one, here.
#[test]
fn every_order() {
    for first in TABLES {
        for last in TABLES {
            let mut sim = killed_fleet();
            for table in TABLES {
                let delay = match table {
                    _ if table == last => ms(900),
                    _ if table == first => ms(0),
                    _ => ms(300),
                };
                sim.read_delays.insert(table, delay);
            }
            check_restart(sim, &format!("{first:?} first, {last:?} last"));
        }
    }
}

/// The first reads of a table are refused, so that it is read long after the others.
#[test]
fn refused_reads() {
    for table in TABLES {
        for count in [1, 5, 20] {
            let mut sim = killed_fleet();
            sim.store.refused_reads.insert(table, count);
            check_restart(sim, &format!("{table:?} refused {count} times"));
        }
    }
}

/// The store goes away again while the new owner reads, at any moment.
#[test]
fn outage_half_way() {
    for begin in (20..1300).step_by(80) {
        let mut sim = killed_fleet();
        for (table, delay) in TABLES.into_iter().zip([250, 100, 150, 50, 200]) {
            sim.read_delays.insert(table, ms(delay));
        }
        HOSTS.iter().for_each(|host| sim.start_host(host));
        sim.run(ms(begin));
        sim.store.down = true;
        sim.run(ms(700));
        sim.store.down = false;
        HOSTS.iter().for_each(|host| sim.kill_host(host));
        check_restart(sim, &format!("outage after {begin} ms"));
    }
}

/// The store goes away while the new owner reads, and the same owner goes on when it is back.
#[test]
fn outage_of_a_loading_owner() {
    for begin in (20..1300).step_by(80) {
        let mut sim = killed_fleet();
        for (table, delay) in TABLES.into_iter().zip([250, 100, 150, 50, 200]) {
            sim.read_delays.insert(table, ms(delay));
        }
        HOSTS.iter().for_each(|host| sim.start_host(host));
        sim.run(ms(begin));
        sim.store.down = true;
        sim.run(ms(700));
        sim.store.down = false;
        sim.run(Duration::from_secs(16));
        assert_eq!(sim.state("b", "batch", RUNNING), Some(State::Completed), "{begin}");
        assert_eq!(sim.state("b", "batch", WAITING), Some(State::Completed), "{begin}");
        assert_eq!(sim.state("b", "batch", CANCELLED), Some(State::Cancelled), "{begin}");
        assert_eq!((sim.starts_of_job(RUNNING), sim.starts_of_job(WAITING)), (8, 6), "{begin}");
        sim.check_invariants();
    }
}
