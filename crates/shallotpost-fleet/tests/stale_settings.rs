//! Confirmed changes while the paths from the store to the hosts fail in some way. Guards against a host that decides by
//! settings that are older than their bound.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::{Configuration, Queue, Team};
use shallotpost_fleet::port::{Action, Answer, Content, RequestId, Table};
use support::{Simulation, configuration, ms};

/// Time after its confirmation from which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(2);

const HOSTS: [&str; 3] = ["a", "b", "c"];
const JOB: u64 = 0x44;

/// Returns the standard configuration with a version, a key `key-N` and a queue `queue-N` of that version.
fn version(version: u64) -> Configuration {
    let mut next = configuration();
    next.version = version;
    let team = Team { keys: vec![format!("key-{version}")], ..next.teams[0].clone() };
    next.teams[0].keys.push(format!("key-{}", version - 1));
    next.teams.push(Team { name: "new".to_owned(), ..team });
    let queue = next.queues[0].clone();
    next.queues.push(Queue {
        name: format!("queue-{version}"),
        prefix: format!("/queue-{version}/"),
        ..queue
    });
    next
}

fn read(sim: &mut Simulation, host: &str, path: &str, key: &str) -> RequestId {
    sim.request(host, path, Some(key), Action::Read)
}

fn settled() -> Simulation {
    let mut sim = Simulation::settled(2);
    sim.feeds_wait = true;
    sim.run(Duration::from_secs(4));
    sim
}

/// Asks every host for a while with the key and the queue of a version that is confirmed now. Returns the rejections of requests
/// that were sent later than the bound.
fn late_rejections(sim: &mut Simulation, newest: u64, time: Duration) -> Vec<String> {
    sim.configure(version(newest));
    let confirmed = sim.now;
    let mut asked = Vec::new();
    while sim.now < confirmed + time {
        for host in HOSTS {
            let with_key = read(sim, host, &format!("/batch/{JOB:016x}"), &format!("key-{newest}"));
            let path = format!("/queue-{newest}/{JOB:016x}");
            let with_queue = read(sim, host, &path, "key-a");
            asked.extend([(host, sim.now, with_key), (host, sim.now, with_queue)]);
        }
        sim.run(ms(20));
    }
    sim.run(Duration::from_secs(3));
    let late = asked.into_iter().filter(|(_, sent, _)| *sent > confirmed + APPLY);
    let rejected = late.filter_map(|(host, sent, request)| match sim.answers.get(&request) {
        Some(answer @ (Answer::BadKey | Answer::NoQueue)) => {
            Some(format!("{host}: {answer:?} after {:?}", sent - confirmed))
        }
        _ => None,
    });
    rejected.collect()
}

/// All existing connections to the store went silent for good while new ones worked. Each host gave its feed up only after 3 s
/// and rejected a confirmed key and queue until then.
#[test]
fn silent_connections() {
    for offset in (0..2000).step_by(130) {
        let mut sim = settled();
        sim.configure(version(5));
        sim.run(ms(offset));
        for host in HOSTS {
            sim.silence_connections(host);
        }
        sim.run(ms(50));
        let rejections = late_rejections(&mut sim, 6, Duration::from_secs(5));
        assert_eq!(rejections, Vec::<String>::new(), "silent after {offset} ms");
    }
}

/// The same while hosts do not hear each other, for one host, so that no peer tells it of the change.
#[test]
fn silent_connections_of_one() {
    for offset in (0..2000).step_by(130) {
        let mut sim = settled();
        sim.set_partitioned("a", "b", true);
        sim.set_partitioned("a", "c", true);
        sim.configure(version(5));
        sim.run(ms(offset));
        sim.silence_connections("a");
        sim.run(ms(50));
        let rejections = late_rejections(&mut sim, 6, Duration::from_secs(5));
        assert_eq!(rejections, Vec::<String>::new(), "silent after {offset} ms");
    }
}

/// No host reached the store for 3 s, in silence, and the change came shortly after. Calls that had been sent during the silence
/// were waited for.
#[test]
fn silent_store() {
    for offset in (0..2000).step_by(130) {
        let mut sim = settled();
        sim.configure(version(5));
        sim.run(ms(offset));
        for host in HOSTS {
            sim.silence_connections(host);
            sim.silent_stores.insert(host.to_owned());
        }
        sim.run(Duration::from_secs(3));
        sim.silent_stores.clear();
        sim.run(ms(500));
        let rejections = late_rejections(&mut sim, 6, Duration::from_secs(5));
        assert_eq!(rejections, Vec::<String>::new(), "silent after {offset} ms");
    }
}

/// An operator's row that cannot be read took the place of the configuration.
#[test]
fn unreadable_configuration() {
    let mut sim = settled();
    sim.configure(version(6));
    sim.run(ms(200));
    sim.store.put(Table::Operator, "config", Content::Unreadable);
    sim.store.compact();
    sim.run(Duration::from_secs(3));
    for host in HOSTS {
        let request = read(&mut sim, host, &format!("/batch/{JOB:016x}"), "key-6");
        sim.run(ms(100));
        assert_eq!(sim.answers.get(&request), Some(&Answer::NoJob));
    }
}
