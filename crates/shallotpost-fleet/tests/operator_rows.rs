//! Evacuations that hosts learn of by different ways. Guards against one that stays in force after it was removed.

mod support;

use std::time::Duration;

use shallotpost_fleet::message::{Heartbeat, Message};
use shallotpost_fleet::port::{Content, Row, RowVersion, Table};
use support::{Simulation, ms, step};

const JOB: u64 = 0x41;
const EVACUATION: &str = "evacuate/kochi";

fn evacuation() -> Content {
    Content::Evacuation { data_centre: "kochi".to_owned() }
}

/// Returns the evacuated data centres that a host logged last.
fn evacuated<'a>(sim: &'a Simulation, host: &str) -> Option<&'a str> {
    let mut lines = sim.logs.iter().rev().filter(|(_, from, _)| from == host);
    lines.find_map(|(_, _, text)| text.strip_prefix("evacuation evacuated="))
}

/// An evacuation was removed while no feed returned changes, and the store then discarded its history. The rows that were
/// left are older than the evacuation, so all hosts kept it, and no worker of the data centre was used again.
#[test]
fn removed_before_a_compaction() {
    let mut sim = Simulation::settled(2);
    sim.store.put(Table::Operator, EVACUATION, evacuation());
    sim.run(ms(500));
    sim.submit("a", "batch", JOB, vec![step(2, 300)]);
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.starts_of_job(JOB), 0, "the evacuation is not in force");
    sim.store.delete(Table::Operator, EVACUATION);
    sim.store.compact();
    sim.run(Duration::from_secs(2));
    for host in ["a", "b", "c"] {
        assert_eq!(evacuated(&sim, host), Some(""), "{host} keeps the evacuation");
    }
    assert_eq!(sim.starts_of_job(JOB), 2);
}

/// The same for a host that cannot reach the store: it gets the rows of a peer whose newest row is older than the
/// evacuation that this host has applied.
#[test]
fn removed_by_rows_of_a_peer() {
    let mut sim = Simulation::new(&["a"], 0);
    sim.set_partitioned("a", "store", true);
    let mut hear = |version: RowVersion, rows: Vec<Row>| {
        let heartbeat = Heartbeat {
            incarnation: 7,
            address: "z:1".to_owned(),
            operator_version: version,
            ..Heartbeat::default()
        };
        sim.send_message("a", "z", Message::Heartbeat(heartbeat));
        sim.run(ms(10));
        sim.send_message("a", "z", Message::OperatorRows { version, rows });
        sim.run(ms(500));
        evacuated(&sim, "a").map(str::to_owned)
    };
    let row = |key: &str, version, content| Row {
        table: Table::Operator,
        key: key.to_owned(),
        version,
        content,
    };
    let configuration = Content::Configuration(Box::new(support::configuration()));
    let configuration = row("config", 3, configuration);
    let both = vec![configuration.clone(), row(EVACUATION, 5, evacuation())];
    assert_eq!(hear(5, both.clone()), Some("kochi".to_owned()));
    assert_eq!(hear(9, vec![configuration]), Some(String::new()));
    // Rows that were sent before.
    assert_eq!(hear(5, both), Some(String::new()));
}
