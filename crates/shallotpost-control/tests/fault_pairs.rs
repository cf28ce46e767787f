//! Guards the invariants under each fault alone, in pairs, and twice in a row.
//!
//! The cluster checks after each tick that no worker is overcommitted, no task runs in two places, and no
//! non-idempotent work is started twice; each request must be answered exactly once.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::work::Ending;
use support::deployment::{RICE_KEY, deploy, job, rice_work, service};
use support::test_cluster::TestCluster;

/// Threads that share the pairs.
const THREADS: usize = 4;

/// A fault with the functions that begin and end it.
struct Fault {
    name: &'static str,
    begin: fn(&mut TestCluster),
    end: fn(&mut TestCluster),
}

const FAULTS: &[Fault] = &[
    Fault {
        name: "owner dies",
        begin: |cluster| cluster.kill("a1"),
        end: |cluster| cluster.restart("a1"),
    },
    Fault {
        name: "owner pauses",
        begin: |cluster| cluster.pause("a1"),
        end: |cluster| cluster.resume("a1"),
    },
    Fault {
        name: "other owner dies",
        begin: |cluster| cluster.kill("b1"),
        end: |cluster| cluster.restart("b1"),
    },
    Fault {
        name: "table down",
        begin: |cluster| cluster.table_down = true,
        end: |cluster| cluster.table_down = false,
    },
    Fault {
        name: "table answers lost",
        begin: |cluster| cluster.lose_table_answers = 5,
        end: |_| {},
    },
    Fault {
        name: "start answers lost",
        begin: |cluster| cluster.lose_start_answers = 5,
        end: |_| {},
    },
    Fault { name: "starts late", begin: |cluster| cluster.late_starts = 5, end: |_| {} },
    Fault {
        name: "worker silent",
        begin: |cluster| cluster.set_silent("east-w0", true),
        end: |cluster| cluster.set_silent("east-w0", false),
    },
    Fault {
        name: "worker restarts",
        begin: |cluster| cluster.worker("west-w1").restart(),
        end: |_| {},
    },
    Fault {
        name: "cut from the platform",
        begin: |cluster| cluster.partition("east", "platform"),
        end: |cluster| cluster.partitions.clear(),
    },
    Fault {
        name: "cut from each other",
        begin: |cluster| cluster.partition("east", "west"),
        end: |cluster| cluster.partitions.clear(),
    },
    Fault {
        name: "cut from everything",
        begin: |cluster| {
            cluster.partition("west", "east");
            cluster.partition("west", "platform");
        },
        end: |cluster| cluster.partitions.clear(),
    },
];

/// Submits work before and during the faults, ends the faults, and checks that every accepted piece of work ends once.
fn check(faults: &[&Fault]) {
    let names: Vec<&str> = faults.iter().map(|fault| fault.name).collect();
    let mut cluster = deploy();
    cluster.submit("a1", RICE_KEY, service("intake", 2));
    let mut requests = submit(&mut cluster, "before");
    cluster.run(Duration::from_millis(100));
    faults.iter().for_each(|fault| (fault.begin)(&mut cluster));
    requests.extend(submit(&mut cluster, "during"));
    cluster.run(Duration::from_secs(12));
    faults.iter().for_each(|fault| (fault.end)(&mut cluster));
    cluster.run(Duration::from_secs(15));
    check_outcomes(&mut cluster, &requests, &names);
    let serving = cluster
        .run_until(Duration::from_secs(10), |cluster| cluster.placements("intake").len() == 2);
    assert!(serving, "{names:?}: the service runs at {:?}", cluster.placements("intake"));
}

/// Every other job of [`submit`] is idempotent.
fn is_idempotent(id: &str) -> bool {
    id.ends_with(['0', '2', '4'])
}

fn submit(cluster: &mut TestCluster, label: &str) -> Vec<(RequestId, String)> {
    let mut requests = Vec::new();
    for (index, host) in ["a2", "b1", "a2", "b1", "b2", "b2"].iter().enumerate() {
        let id = format!("{label}-{index}");
        let specification = job(&id, 300 * (index as u64 + 1), is_idempotent(&id));
        requests.push((cluster.request(host, RICE_KEY, Request::Submit(specification)), id));
    }
    requests
}

fn check_outcomes(cluster: &mut TestCluster, requests: &[(RequestId, String)], names: &[&str]) {
    let accepted =
        |(request, _): &&(RequestId, String)| matches!(cluster.answer(*request), Some(Ok(_)));
    assert!(
        requests.iter().filter(accepted).count() >= 6,
        "{names:?}: too little was accepted to prove anything"
    );
    for (request, id) in requests {
        match cluster.answer(*request).cloned() {
            Some(Ok(Reply::Accepted { .. })) => {
                let outcome = cluster.outcome("a2", RICE_KEY, &rice_work(id));
                // Only work that must not be started twice may end as unknown.
                let unknown = outcome.ending == Ending::Unknown && !is_idempotent(id);
                let known = outcome.ending == Ending::Succeeded || unknown;
                assert!(known, "{names:?}: {id} ended {outcome:?}");
            }
            Some(Err(problem)) if problem.not_run => {
                assert_eq!(
                    cluster.starts(id),
                    0,
                    "{names:?}: {id} was refused as not run: {problem}"
                );
            }
            // A host that died, or a submission with an unknown outcome, promises nothing.
            _ => {}
        }
    }
}

#[test]
fn alone() {
    FAULTS.iter().for_each(|fault| check(&[fault]));
}

#[test]
fn in_pairs() {
    let pairs: Vec<[&Fault; 2]> = FAULTS
        .iter()
        .enumerate()
        .flat_map(|(index, first)| FAULTS[index + 1..].iter().map(move |second| [first, second]))
        .collect();
    // Each pair has its own deployment in virtual time, so the result does not depend on the threads.
    std::thread::scope(|scope| {
        for part in pairs.chunks(pairs.len().div_ceil(THREADS)) {
            scope.spawn(move || part.iter().for_each(|pair| check(pair)));
        }
    });
}

#[test]
fn twice_in_a_row() {
    for fault in FAULTS {
        let mut cluster = deploy();
        let mut requests = Vec::new();
        for round in 0..2 {
            requests.extend(submit(&mut cluster, &format!("round-{round}")));
            cluster.run(Duration::from_millis(100));
            (fault.begin)(&mut cluster);
            cluster.run(Duration::from_secs(12));
            (fault.end)(&mut cluster);
            cluster.run(Duration::from_secs(12));
        }
        check_outcomes(&mut cluster, &requests, &[fault.name, "twice"]);
    }
}
