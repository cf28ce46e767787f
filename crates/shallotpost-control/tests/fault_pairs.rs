//! Guards the invariants through each failure alone, in pairs, and twice in a row.
//!
//! The cell checks after each tick that no worker is overcommitted, no task runs in two places, and no non-idempotent work
//! is started twice; each request must be answered exactly once.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::work::Ending;
use support::cell::Cell;
use support::deployment::{RICE, deploy, job, rice, service};

/// Threads that share the pairs.
const THREADS: usize = 4;

/// A failure and its end.
struct Fault {
    name: &'static str,
    begin: fn(&mut Cell),
    end: fn(&mut Cell),
}

const FAULTS: &[Fault] = &[
    Fault { name: "owner dies", begin: |cell| cell.kill("a1"), end: |cell| cell.restart("a1") },
    Fault { name: "owner pauses", begin: |cell| cell.pause("a1"), end: |cell| cell.resume("a1") },
    Fault {
        name: "other owner dies",
        begin: |cell| cell.kill("b1"),
        end: |cell| cell.restart("b1"),
    },
    Fault {
        name: "table down",
        begin: |cell| cell.table_down = true,
        end: |cell| cell.table_down = false,
    },
    Fault { name: "table answers lost", begin: |cell| cell.lose_table_answers = 5, end: |_| {} },
    Fault { name: "start answers lost", begin: |cell| cell.lose_start_answers = 5, end: |_| {} },
    Fault { name: "starts late", begin: |cell| cell.late_starts = 5, end: |_| {} },
    Fault {
        name: "worker silent",
        begin: |cell| cell.silence("east-w0", true),
        end: |cell| cell.silence("east-w0", false),
    },
    Fault { name: "worker restarts", begin: |cell| cell.worker("west-w1").restart(), end: |_| {} },
    Fault {
        name: "cut from the platform",
        begin: |cell| cell.cut("east", "platform"),
        end: |cell| cell.cuts.clear(),
    },
    Fault {
        name: "cut from each other",
        begin: |cell| cell.cut("east", "west"),
        end: |cell| cell.cuts.clear(),
    },
    Fault {
        name: "cut from everything",
        begin: |cell| {
            cell.cut("west", "east");
            cell.cut("west", "platform");
        },
        end: |cell| cell.cuts.clear(),
    },
];

/// Submits work before and during the faults, ends the faults, and checks that every accepted piece of work ends once.
fn check(faults: &[&Fault]) {
    let names: Vec<&str> = faults.iter().map(|fault| fault.name).collect();
    let mut cell = deploy();
    cell.submit("a1", RICE, service("intake", 2));
    let mut requests = submit(&mut cell, "before");
    cell.run(Duration::from_millis(100));
    faults.iter().for_each(|fault| (fault.begin)(&mut cell));
    requests.extend(submit(&mut cell, "during"));
    cell.run(Duration::from_secs(12));
    faults.iter().for_each(|fault| (fault.end)(&mut cell));
    cell.run(Duration::from_secs(15));
    check_outcomes(&mut cell, &requests, &names);
    let serving = cell.run_until(Duration::from_secs(10), |cell| cell.places("intake").len() == 2);
    assert!(serving, "{names:?}: the service runs at {:?}", cell.places("intake"));
}

/// Every other job of [`submit`] is idempotent.
fn is_idempotent(id: &str) -> bool {
    id.ends_with(['0', '2', '4'])
}

fn submit(cell: &mut Cell, label: &str) -> Vec<(RequestId, String)> {
    let mut requests = Vec::new();
    for (index, host) in ["a2", "b1", "a2", "b1", "b2", "b2"].iter().enumerate() {
        let id = format!("{label}-{index}");
        let specification = job(&id, 300 * (index as u64 + 1), is_idempotent(&id));
        requests.push((cell.request(host, RICE, Request::Submit(specification)), id));
    }
    requests
}

fn check_outcomes(cell: &mut Cell, requests: &[(RequestId, String)], names: &[&str]) {
    let accepted =
        |(request, _): &&(RequestId, String)| matches!(cell.answer(*request), Some(Ok(_)));
    assert!(
        requests.iter().filter(accepted).count() >= 6,
        "{names:?}: too little was accepted to prove anything"
    );
    for (request, id) in requests {
        match cell.answer(*request).cloned() {
            Some(Ok(Reply::Accepted { .. })) => {
                let outcome = cell.outcome("a2", RICE, &rice(id));
                // Only work that must not be started twice may end as unknown.
                let unknown = outcome.ending == Ending::Unknown && !is_idempotent(id);
                let known = outcome.ending == Ending::Succeeded || unknown;
                assert!(known, "{names:?}: {id} ended {outcome:?}");
            }
            Some(Err(problem)) if problem.not_run => {
                assert_eq!(cell.starts(id), 0, "{names:?}: {id} was refused as not run: {problem}");
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
    // Each pair has a deployment of its own in virtual time, so the verdict does not depend on the threads.
    std::thread::scope(|scope| {
        for part in pairs.chunks(pairs.len().div_ceil(THREADS)) {
            scope.spawn(move || part.iter().for_each(|pair| check(pair)));
        }
    });
}

#[test]
fn twice_in_a_row() {
    for fault in FAULTS {
        let mut cell = deploy();
        let mut requests = Vec::new();
        for round in 0..2 {
            requests.extend(submit(&mut cell, &format!("round-{round}")));
            cell.run(Duration::from_millis(100));
            (fault.begin)(&mut cell);
            cell.run(Duration::from_secs(12));
            (fault.end)(&mut cell);
            cell.run(Duration::from_secs(12));
        }
        check_outcomes(&mut cell, &requests, &[fault.name, "twice"]);
    }
}
