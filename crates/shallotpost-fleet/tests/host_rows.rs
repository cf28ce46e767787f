//! Rows by which entry hosts find each other. Guards against a live host whose row is missing, or is that of another process.

mod support;

use std::time::Duration;

use shallotpost_fleet::port::Table;
use support::Simulation;

/// Time in which a host notices what has become of its row.
const NOTICED: Duration = Duration::from_secs(6);

/// The store carried out a deletion of the row late, when the host was back and had written its row. The row stayed away for
/// good, and hosts that started later did not learn the host's data centre.
#[test]
fn late_deletion() {
    let mut sim = Simulation::settled(1);
    sim.store.delete(Table::Hosts, "b");
    sim.run(NOTICED);
    assert!(sim.store.has(Table::Hosts, "b"), "the host has written its row again");
}

/// The store carried out the write of a former process late, over the row of the present one.
#[test]
fn late_write_of_former_process() {
    let mut sim = Simulation::settled(1);
    let former = sim.store.content(Table::Hosts, "b").expect("a row");
    sim.kill_host("b");
    sim.start_host("b");
    sim.run(NOTICED);
    let present = sim.store.content(Table::Hosts, "b").expect("a row");
    assert_ne!(former, present, "rows name the process");
    sim.store.put(Table::Hosts, "b", former);
    sim.run(NOTICED);
    assert_eq!(sim.store.content(Table::Hosts, "b"), Some(present));
}
