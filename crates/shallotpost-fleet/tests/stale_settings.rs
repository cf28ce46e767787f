//! Confirmed changes while the paths from the store to the hosts fail in some way. Guards against a host that decides by
//! settings that are older than their bound, and against an owner that starts tasks by old knowledge.

mod support;

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use shallotpost_fleet::configuration::{Configuration, Queue, Team};
use shallotpost_fleet::message::{Heartbeat, Message};
use shallotpost_fleet::port::{Action, Answer, Content, RequestId, Row, Table};
use support::{Simulation, configuration, job, ms, step};

/// Time after its confirmation from which a configuration must be in force.
const APPLY: Duration = Duration::from_secs(2);

/// Time without any disturbance after which a host is in touch.
const CONTACT: Duration = Duration::from_secs(3);

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

fn submit(sim: &mut Simulation, host: &str, id: u64, key: &str) -> RequestId {
    let path = format!("/batch/{id:016x}");
    sim.request(host, &path, Some(key), Action::Submit(Ok(Box::new(job(vec![step(1, 100)])))))
}

fn settled() -> Simulation {
    let mut sim = Simulation::settled(2);
    sim.feeds_wait = true;
    sim.run(Duration::from_secs(4));
    sim
}

/// Asks every host for a while with the key and the queue of a version that is confirmed now. Returns the rejections of
/// requests that were sent later than the bound.
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

/// Disturbs a fleet at various times after a feed has begun, and checks that a change is in force in time.
fn assert_in_force(disturb: impl Fn(&mut Simulation)) {
    for offset in (0..2000).step_by(130) {
        let mut sim = settled();
        sim.configure(version(5));
        sim.run(ms(offset));
        disturb(&mut sim);
        let rejections = late_rejections(&mut sim, 6, Duration::from_secs(5));
        assert_eq!(rejections, Vec::<String>::new(), "disturbed after {offset} ms");
    }
}

/// All existing connections to the store went silent for good while new ones worked. Each host gave its feed up only after 3 s
/// and rejected a confirmed key and queue until then.
#[test]
fn silent_connections() {
    assert_in_force(|sim| {
        for host in HOSTS {
            sim.silence_connections(host);
        }
        sim.run(ms(50));
    });
}

/// The same for one host that does not hear the others, so that no peer tells it of the change.
#[test]
fn silent_connections_of_one() {
    assert_in_force(|sim| {
        sim.set_partitioned("a", "b", true);
        sim.set_partitioned("a", "c", true);
        sim.silence_connections("a");
        sim.run(ms(50));
    });
}

/// No host reached the store for 3 s, in silence, and the change came shortly after. Guards against waiting for calls that
/// were sent during the silence.
#[test]
fn silent_store() {
    assert_in_force(|sim| {
        for host in HOSTS {
            sim.silence_connections(host);
            sim.silent_stores.insert(host.to_owned());
        }
        sim.run(Duration::from_secs(3));
        sim.silent_stores.clear();
        sim.run(ms(500));
    });
}

/// Lengths of an outage, and the times from its start to a change, in milliseconds.
const OUTAGES: [(u64, u64); 10] = [
    (300, 0),
    (300, 250),
    (900, 910),
    (1500, 800),
    (1500, 1900),
    (2100, 2120),
    (3300, 3000),
    (3300, 3350),
    (3300, 4100),
    (3300, 7000),
];

/// The store accepted what hosts sent in the last moments of an outage and never answered it. Guards against a host that
/// waits for such calls, and so stays on old settings or refuses requests beyond the bound once the store answers again.
#[test]
fn last_calls_of_an_outage() {
    let mut findings = Vec::new();
    for (outage, change) in OUTAGES {
        let calls = [5, 120, 290, 700].into_iter().cycle();
        for (phase, call) in (0..1900).step_by(170).zip(calls) {
            let case = format!("silent {phase} to {} ms, calls {call} ms before", phase + outage);
            let found = play_outage(ms(phase), ms(outage), ms(change), ms(call));
            findings.extend(found.into_iter().map(|text| format!("{case}, {text}")));
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Lets the store be silent for `outage`, with calls of all hosts shortly before the end and a change `change` after the
/// start. Returns the requests that were sent after the bound and not answered as the changed settings say.
fn play_outage(phase: Duration, outage: Duration, change: Duration, call: Duration) -> Vec<String> {
    let mut sim = settled();
    sim.configure(version(5));
    sim.run(phase);
    let begin = sim.now;
    let (end, confirmed) = (begin + outage, begin + change);
    let (calls, bound) = (end.saturating_sub(call).max(begin), end.max(confirmed) + APPLY);
    sim.store_silent = true;
    let mut moments = [calls, end, confirmed];
    moments.sort_unstable();
    for moment in moments {
        sim.run(moment - sim.now);
        if moment == calls {
            for (host, id) in HOSTS.into_iter().zip(0x200..) {
                submit(&mut sim, host, id, "key-a");
                read(&mut sim, host, &format!("/batch/{JOB:016x}"), "key-a");
            }
        }
        if moment == end {
            sim.store_silent = false;
        }
        if moment == confirmed {
            sim.configure(version(6));
        }
    }
    let mut asked = Vec::new();
    while sim.now < bound + ms(1500) {
        sim.run(ms(50));
        for host in HOSTS {
            let with_key = read(&mut sim, host, &format!("/batch/{JOB:016x}"), "key-6");
            let with_queue = read(&mut sim, host, &format!("/queue-6/{JOB:016x}"), "key-a");
            asked.extend([(host, sim.now, with_key), (host, sim.now, with_queue)]);
        }
    }
    sim.run(Duration::from_secs(3));
    let late = asked.into_iter().filter(|(_, sent, _)| *sent > bound);
    let wrong = late.filter(|(.., request)| sim.answers.get(request) != Some(&Answer::NoJob));
    let text = |(host, sent, request): (&str, Duration, RequestId)| {
        format!("{host} {:?} after the bound: {:?}", sent - bound, sim.answers.get(&request))
    };
    wrong.map(text).collect()
}

/// The store refused reads, as its rate was used up, and went on accepting changes. Hosts rejected the new key for as long,
/// and accepted jobs with a key that had been removed.
#[test]
fn refused_reads() {
    let mut sim = settled();
    sim.store.reads_refused = true;
    let rejections = late_rejections(&mut sim, 6, Duration::from_secs(6));
    assert_eq!(rejections, Vec::<String>::new());
    let mut without = version(7);
    without.teams[0].keys.clear();
    sim.configure(without);
    sim.run(APPLY);
    let removed = submit(&mut sim, "b", 0x99, "key-a");
    sim.run(Duration::from_secs(3));
    let refused = sim.answers.get(&removed);
    assert!(matches!(refused, Some(Answer::NotAdmitted { .. })), "{refused:?}");
    sim.store.reads_refused = false;
    let rejections = late_rejections(&mut sim, 8, Duration::from_secs(4));
    assert_eq!(rejections, Vec::<String>::new());
}

/// A host was cut off from the store and from its peers. It rejected a confirmed key for as long, in place of telling the
/// caller to come back.
#[test]
fn cut_off() {
    let mut sim = settled();
    for party in ["store", "b", "c"] {
        sim.set_partitioned("a", party, true);
    }
    let rejections = late_rejections(&mut sim, 6, Duration::from_secs(6));
    assert_eq!(rejections, Vec::<String>::new());
}

/// A data centre that is cut off from the store goes on answering reads by the settings that it knows.
#[test]
fn reads_while_cut_off() {
    let mut sim = settled();
    let owner = sim.owner().expect("an owner");
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], Duration::from_secs(60));
    sim.run(Duration::from_secs(1));
    for host in HOSTS {
        sim.silent_stores.insert(host.to_owned());
    }
    sim.run(Duration::from_secs(5));
    let host = HOSTS.into_iter().find(|host| *host != owner).expect("another host");
    let request = read(&mut sim, host, &format!("/batch/{JOB:016x}"), "key-a");
    sim.run(Duration::from_secs(1));
    assert!(matches!(sim.answers.get(&request), Some(Answer::State(_))));
}

/// A host that has just started and cannot reach the store gets rows from a peer that has lost the store too. It rejected a
/// key of a configuration that its former process had applied.
#[test]
fn old_rows_of_a_peer() {
    let mut sim = Simulation::new(&["a"], 0);
    sim.set_partitioned("a", "store", true);
    let heartbeat = Heartbeat {
        incarnation: 7,
        address: "z:1".to_owned(),
        operator_version: 5,
        ..Heartbeat::default()
    };
    sim.send_message("a", "z", Message::Heartbeat(heartbeat));
    sim.run(ms(10));
    let content = Content::Configuration(Box::new(version(5)));
    let row = Row { table: Table::Operator, key: "config".to_owned(), version: 5, content };
    sim.send_message("a", "z", Message::OperatorRows { version: 5, rows: vec![row] });
    sim.run(ms(500));
    let request = read(&mut sim, "a", &format!("/batch/{JOB:016x}"), "key-6");
    sim.run(Duration::from_secs(3));
    let answer = sim.answers.get(&request);
    assert!(matches!(answer, Some(Answer::NotAdmitted { .. })), "{answer:?}");
}

/// A paused process rejected what callers had sent meanwhile by the settings from before the pause.
#[test]
fn resumed_host() {
    for tick_first in [false, true] {
        let mut sim = settled();
        sim.pause_host("a");
        sim.configure(version(6));
        sim.run(Duration::from_secs(5));
        let request = read(&mut sim, "a", &format!("/batch/{JOB:016x}"), "key-6");
        sim.run(ms(10));
        sim.set_partitioned("a", "b", true);
        sim.set_partitioned("a", "c", true);
        sim.silence_connections("a");
        sim.resume_host("a", tick_first, true);
        sim.run(Duration::from_secs(3));
        let answer = sim.answers.get(&request);
        assert!(!matches!(answer, Some(Answer::BadKey)), "{answer:?}");
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

/// The connections of the owner went silent, and it heard of an announced drain only after its feed had been given up: it
/// started tasks on the worker for up to 3 s.
#[test]
fn silent_registry_feed() {
    for offset in (0..1800).step_by(130) {
        let mut sim = settled();
        sim.run(ms(offset));
        sim.add_worker("w9", 4000);
        let owner = sim.owner().expect("an owner");
        sim.run(ms(300 + offset));
        sim.silence_connections(&owner);
        sim.register("w0", true);
        let announced = sim.now;
        let starts = |sim: &Simulation| sim.workers["w0"].starts.len();
        sim.run(Duration::from_secs(2));
        let before = starts(&sim);
        for number in 0..12 {
            sim.submit(&owner, "batch", 0x100 + number, vec![step(2, 50)]);
            sim.run(ms(150));
        }
        assert_eq!(starts(&sim), before, "silent {offset} ms after {announced:?}");
    }
}

/// The store refused reads while it accepted the owner's commits. The owner went on to start tasks in a data centre that had
/// been evacuated, on workers that drained, and of jobs that had been cancelled.
#[test]
fn owner_without_reads() {
    let mut sim = settled();
    let owner = sim.owner().expect("an owner");
    sim.store.reads_refused = true;
    let evacuation = Content::Evacuation { data_centre: "kochi".to_owned() };
    sim.store.put(Table::Operator, "evacuate/kochi", evacuation);
    sim.submit_lasting("batch", JOB, vec![step(1, 500), after_first(500)], ms(5500));
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.starts_of_job(JOB), 1, "the first step has started");
    sim.run(Duration::from_secs(5));
    assert!(sim.owns(&owner), "the owner commits");
    assert_eq!(sim.starts_of_job(JOB), 1, "the second step starts by old knowledge");
    sim.store.delete(Table::Operator, "evacuate/kochi");
    sim.store.reads_refused = false;
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.starts_of_job(JOB), 2);
}

fn after_first(milliseconds: u64) -> shallotpost_fleet::job::Step {
    shallotpost_fleet::job::Step { after: vec![0], ..step(1, milliseconds) }
}

/// A cancellation that the owner's peer could not pass on reached it only after its feed of jobs had been given up.
#[test]
fn silent_jobs_feed() {
    for offset in (0..1900).step_by(130) {
        let mut sim = settled();
        sim.run(ms(offset));
        let owner = sim.owner().expect("an owner");
        let other = HOSTS.into_iter().find(|host| *host != owner).expect("another host");
        let steps = vec![step(1, 100), after_first(100)];
        sim.submit_lasting("batch", JOB, steps, ms(3300));
        sim.run(ms(200));
        sim.silence_connections(&owner);
        sim.set_partitioned(other, &owner, true);
        let path = format!("/batch/{JOB:016x}");
        let cancel = sim.request(other, &path, Some("key-a"), Action::Cancel);
        sim.run(Duration::from_secs(6));
        assert_eq!(sim.answers.get(&cancel), Some(&Answer::Cancelled));
        assert_eq!(sim.starts_of_job(JOB), 1, "started after the cancellation, offset {offset} ms");
    }
}

/// Asks the host `a` for 4 s with a key that never was valid, and checks that each request is rejected without much delay.
fn assert_rejects_in_time(sim: &mut Simulation, mut at_each_request: impl FnMut(&mut Simulation)) {
    let mut asked = Vec::new();
    for _ in 0..200 {
        at_each_request(sim);
        asked.push((sim.now, read(sim, "a", &format!("/batch/{JOB:016x}"), "key-9")));
        sim.run(ms(20));
        let waiting = asked.iter().find(|(_, request)| !sim.answers.contains_key(request));
        let since = waiting.map_or(sim.now, |(sent, _)| *sent);
        assert!(sim.now - since <= ms(800), "a request waits since {since:?}");
    }
    sim.run(Duration::from_secs(3));
    for (sent, request) in asked {
        assert_eq!(sim.answers.get(&request), Some(&Answer::BadKey), "sent {sent:?}");
    }
}

/// The peer that relays the calls of a host fell silent. The host tried only its own path to the store from then on, and
/// refused requests.
#[test]
fn silent_relay() {
    let mut sim = settled();
    sim.set_partitioned("a", "store", true);
    sim.run(Duration::from_secs(4));
    for relay in ["b", "c"] {
        sim.pause_host(relay);
        assert_rejects_in_time(&mut sim, |_| {});
        sim.resume_host(relay, true, true);
        sim.run(Duration::from_secs(4));
    }
}

/// A peer sent heartbeats and received nothing. A host took it for the best relay, and never tried another one.
#[test]
fn one_way_peer() {
    let mut sim = settled();
    sim.set_partitioned("a", "store", true);
    let heartbeat = Heartbeat {
        incarnation: 7,
        address: "z:1".to_owned(),
        store_age: Duration::ZERO,
        ..Heartbeat::default()
    };
    assert_rejects_in_time(&mut sim, |sim| {
        sim.send_message("a", "z", Message::Heartbeat(heartbeat.clone()));
    });
}

/// Calls that were lost with the former connections ended after a later one had been answered, and the host took the store
/// for lost.
#[test]
fn late_timeouts() {
    let mut sim = settled();
    let lost =
        |sim: &Simulation| sim.logs.iter().any(|(_, _, text)| text.starts_with("store_lost"));
    for offset in (0..1300).step_by(130) {
        sim.run(ms(offset));
        for host in HOSTS {
            sim.silence_connections(host);
        }
        sim.run(Duration::from_secs(5));
    }
    assert!(!lost(&sim));
}

/// Disturbances of the ways to the store in a seeded day.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    SilentConnections,
    SilentStore,
    Cut,
    Refused,
    Slow,
    Down,
    Compacted,
    Paused,
    Restarted,
    PeersCut,
}

const TROUBLES: [Trouble; 10] = [
    Trouble::SilentConnections,
    Trouble::SilentStore,
    Trouble::Cut,
    Trouble::Refused,
    Trouble::Slow,
    Trouble::Down,
    Trouble::Compacted,
    Trouble::Paused,
    Trouble::Restarted,
    Trouble::PeersCut,
];

/// Plays series of disturbances of some or all hosts that overlap, and a change that is confirmed during or after each.
/// Returns violations: rejections of a confirmed key or queue that were sent after the bound, whatever the hosts' condition;
/// and requests of hosts in touch that were not answered as the new configuration says.
fn play(seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sim = settled();
    let mut findings = Vec::new();
    for round in 0..6u64 {
        let mut played = Vec::new();
        for _ in 0..random.random_range(1..=3) {
            let trouble = *TROUBLES.choose(&mut random).expect("troubles");
            let count = random.random_range(1..=HOSTS.len());
            let hosts: Vec<&str> = HOSTS.choose_multiple(&mut random, count).copied().collect();
            disturb(&mut sim, trouble, &hosts);
            played.push((trouble, hosts));
            sim.run(ms(random.random_range(0..1500)));
        }
        let before = random.random_bool(0.5);
        if before {
            sim.run(ms(random.random_range(0..4000)));
            calm(&mut sim);
            sim.run(ms(random.random_range(0..1500)));
        }
        let newest = 10 + 2 * round;
        let rejections = late_rejections(&mut sim, newest, Duration::from_secs(5));
        let found = rejections.iter().map(|text| format!("round {round}, {played:?}: {text}"));
        findings.extend(found);
        calm(&mut sim);
        sim.run(CONTACT);
        for host in HOSTS {
            let path = format!("/queue-{newest}/{JOB:016x}");
            let request = read(&mut sim, host, &path, &format!("key-{newest}"));
            sim.run(ms(1500));
            if sim.answers.get(&request) != Some(&Answer::NoJob) {
                let answer = sim.answers.get(&request);
                findings.push(format!("round {round}, {played:?}: {host} in touch: {answer:?}"));
            }
        }
    }
    findings
}

fn disturb(sim: &mut Simulation, trouble: Trouble, hosts: &[&str]) {
    match trouble {
        Trouble::Slow => sim.store_delay = ms(400),
        Trouble::Down => sim.store.down = true,
        Trouble::Refused => sim.store.reads_refused = true,
        Trouble::Compacted => sim.store.compact(),
        _ => {}
    }
    for host in hosts {
        match trouble {
            Trouble::SilentConnections => sim.silence_connections(host),
            Trouble::SilentStore => {
                sim.silence_connections(host);
                sim.silent_stores.insert((*host).to_owned());
            }
            Trouble::Cut => sim.set_partitioned(host, "store", true),
            Trouble::Paused => sim.pause_host(host),
            Trouble::Restarted => {
                sim.kill_host(host);
                sim.start_host(host);
            }
            Trouble::PeersCut => {
                for peer in HOSTS.into_iter().filter(|peer| peer != host) {
                    sim.set_partitioned(host, peer, true);
                }
            }
            Trouble::Slow | Trouble::Down | Trouble::Refused | Trouble::Compacted => {}
        }
    }
}

fn calm(sim: &mut Simulation) {
    sim.store_delay = Duration::ZERO;
    sim.store.down = false;
    sim.store.reads_refused = false;
    sim.silent_stores.clear();
    sim.partitions.clear();
    for host in HOSTS {
        sim.resume_host(host, true, true);
    }
}

/// Seeded series of overlapping disturbances. More are played with `STALE_SETTINGS_FIRST` and `STALE_SETTINGS_SEEDS`.
#[test]
fn seeded_days() {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first: u64 = number("STALE_SETTINGS_FIRST", 1);
    let seeds: u64 = number("STALE_SETTINGS_SEEDS", 12);
    let findings: Vec<String> = (first..first + seeds)
        .flat_map(|seed| play(seed).into_iter().map(move |text| format!("seed {seed}, {text}")))
        .collect();
    assert_eq!(findings, Vec::<String>::new());
}
