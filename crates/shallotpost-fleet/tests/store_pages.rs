//! Pages of the store's tables. Guards against rows that are skipped between two pages, and against reads that end half-way.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::port::{Action, Content, Table};
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step, task};

/// A page of the table ended at a key that is the beginning of the next ones, and the workers after it were skipped.
#[test]
fn page_ends_at_a_prefix() {
    let mut sim = Simulation::new(&["a"], 0);
    for number in 0..399 {
        sim.store.put(Table::Workers, &format!("k{number:03}"), Content::Unreadable);
    }
    for name in ["w", "w0", "w1"] {
        sim.add_worker(name, 4000);
    }
    sim.run(Duration::from_secs(4));
    for name in ["w", "w0", "w1"] {
        let text = format!("worker_joined worker={name} ");
        let joined = sim.logs.iter().any(|(_, _, line)| line.starts_with(&text));
        assert!(joined, "{name} is skipped");
    }
}

/// A page of jobs ended at a job whose cancellation is the next row, and a new owner ran the job to its end.
#[test]
fn page_ends_before_a_cancellation() {
    let mut sim = Simulation::new(&["a", "b"], 2);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    // A page holds 400 rows. The cancelled job is the last one on it.
    for id in 0..399 {
        sim.submit("a", "batch", id, vec![Step { label: "none".to_owned(), ..step(1, 300) }]);
        sim.run(ms(4));
    }
    let cancelled = 0x1000;
    let waiting = vec![Step { label: "none".to_owned(), ..step(1, 300) }];
    sim.submit("a", "batch", cancelled, waiting);
    sim.run(ms(600));
    let owner = sim.owner().expect("there is an owner");
    let other = if owner == "a" { "b" } else { "a" };
    // The cancellation is stored while the owner cannot store what follows from it.
    sim.set_partitioned(&owner, "store", true);
    sim.set_partitioned(&owner, other, true);
    let path = format!("/batch/{cancelled:016x}");
    sim.request(other, &path, Some("key-a"), Action::Cancel);
    sim.run(ms(300));
    assert!(sim.store.has(Table::Jobs, &format!("{cancelled:016x}.cancel")));
    sim.kill_host(&owner);
    sim.run(Duration::from_secs(6));
    assert_eq!(sim.state(other, "batch", cancelled), Some(State::Cancelled));
    assert_eq!(sim.starts(task(cancelled, 0, 0)), 0);
}

/// The second page of the registry could not be read, and the owner went on as if it had read the whole table: it kept
/// workers whose entries were removed while the history was lost.
#[test]
fn refused_page() {
    let mut sim = Simulation::settled(2);
    for number in 0..420 {
        sim.store.put(Table::Workers, &format!("k{number:03}"), Content::Unreadable);
    }
    sim.run(ms(600));
    sim.unregister("w1");
    sim.store.compact();
    sim.store.refused_pages = 2;
    sim.run(Duration::from_secs(2));
    let unregistered = |name: &str| {
        let text = format!("worker_unregistered worker={name}");
        sim.logs.iter().any(|(_, _, line)| *line == text)
    };
    assert!(unregistered("w1"), "w1 is still used");
    assert!(!unregistered("w0"));
}

/// The same at a takeover, which was never settled, so that every task stayed uncertain until all leases had expired.
#[test]
fn refused_page_at_a_takeover() {
    let mut sim = Simulation::settled(2);
    for number in 0..420 {
        sim.store.put(Table::Workers, &format!("k{number:03}"), Content::Unreadable);
    }
    let owner = sim.owner().expect("there is an owner");
    sim.store.refused_pages = 1;
    sim.kill_host(&owner);
    sim.run(Duration::from_secs(5));
    let settled = |(_, host, line): &&(Duration, String, String)| {
        *host != owner && line.starts_with("takeover_settled")
    };
    assert_eq!(sim.logs.iter().filter(settled).count(), 1);
}
