//! Seeded days with overlapping disturbances of hosts, workers and the store. Guards against accepted jobs that stand
//! while their turn has come and approved workers have room.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use shallotpost_fleet::job::{Step, TaskId};
use support::day::Day;
use support::{Simulation, ms, step, task};

/// Number of days that are played at the same time.
const THREADS: usize = 3;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Plays a day and returns its report if it breaks a rule.
fn report(seed: u64) -> Option<String> {
    let day = match std::panic::catch_unwind(|| Day::play(seed)) {
        Ok(day) => day,
        Err(_) => return Some(format!("seed {seed}: invariant violated\n")),
    };
    let mut text = String::new();
    for finding in &day.findings {
        text.push_str(&format!("seed {seed}: {finding}\n"));
    }
    if let Some(first) = day.findings.first() {
        text.push_str(&format!("seed {seed}: disturbances {:#?}\n", day.disturbances));
        if std::env::var_os("STANDING_JOBS_TRACE").is_some() {
            let from = first.at.saturating_sub(Duration::from_secs(12));
            text.push_str(&day.trace(from, first.at, first.job));
        }
    }
    (!text.is_empty()).then_some(text)
}

fn check(seed: u64) {
    if let Some(report) = report(seed) {
        panic!("{report}");
    }
}

/// `STANDING_JOBS_SEEDS` is the number of days, `STANDING_JOBS_FIRST` the first seed, and `STANDING_JOBS_TRACE` adds the
/// log to the report of a failure.
#[test]
fn seeded_days() {
    let first = number("STANDING_JOBS_FIRST").unwrap_or(1);
    let count = number("STANDING_JOBS_SEEDS").unwrap_or(3);
    let next = AtomicU64::new(first);
    let failed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    if let Some(report) = report(seed) {
                        failed.fetch_add(1, Ordering::Relaxed);
                        println!("{report}");
                    }
                }
            });
        }
    });
    assert_eq!(failed.into_inner(), 0, "days of {count} that break a rule");
}

fn runs(sim: &Simulation, task: TaskId) -> bool {
    sim.workers.values().any(|worker| worker.running().any(|running| running == task))
}

/// A task runs again 7 s after its worker has died without a trace, whenever that is between two renewals of its lease.
/// Guards against leases that are granted to a worker that does not answer any more.
#[test]
fn lease_of_lost_worker() {
    for offset in (0..1500).step_by(100) {
        let mut sim = Simulation::settled(2);
        sim.submit_lasting("batch", 0x31, vec![step(1, 60_000)], Duration::from_secs(60));
        sim.wait_for_start(0x31, 1);
        sim.run(ms(2000 + offset));
        let worker = sim.workers_of(0x31).pop_first().expect("the task runs");
        sim.kill_worker(&worker, true);
        sim.run(Duration::from_secs(7));
        assert!(runs(&sim, task(0x31, 0, 0)), "death {offset} ms later");
    }
}

/// A worker that has been gone for longer than its leases, and is still registered, does not keep tasks from starting
/// after a change of owner. Guards against a recorded worker that counts as an unknown one once its record has expired.
#[test]
fn expired_record() {
    for silent in [false, true] {
        let mut sim = Simulation::settled(3);
        sim.kill_worker("w0", silent);
        sim.run(Duration::from_secs(15));
        let steps = vec![step(1, 1000), Step { after: vec![0], ..step(1, 1000) }];
        let owner = sim.owner().expect("there is an owner");
        let host = ["a", "b"].into_iter().find(|host| *host != owner).expect("there are two");
        for worker in sim.workers.values_mut() {
            worker.job_durations.insert(0x32, ms(1000));
        }
        sim.submit(host, "batch", 0x32, steps);
        sim.wait_for_start(0x32, 1);
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
        sim.run(ms(2000));
        assert!(sim.starts(task(0x32, 1, 0)) > 0, "silent {silent}");
    }
}

/// Leases were granted to a worker that had died.
#[test]
fn seed_22() {
    check(22);
}

/// A recorded worker counted as an unknown one once its record had expired.
#[test]
fn seed_136() {
    check(136);
}

/// A recorded worker whose record had expired was recorded as an unknown one for the next owner.
#[test]
fn seed_811() {
    check(811);
}

/// A task was started on a worker after a call to it had failed.
#[test]
fn seed_167() {
    check(167);
}
