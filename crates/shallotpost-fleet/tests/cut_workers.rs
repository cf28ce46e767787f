//! Workers that leave a start without an answer and are cut off afterwards. Guards against a task that runs twice, as the
//! worker starts again behind the cut and its new process carries the start out under the longest lease.

mod support;

use std::time::Duration;

use support::restarts::{HIGH_CLOCK_MS, JOB, add_worker, fleet, late, wait_for_renewal};
use support::{CallKind, NewLife, Simulation, ms, step, task};

const LONG: Duration = Duration::from_secs(60);

/// Time for which the fleet has had an owner when a test begins.
const AGE: Duration = Duration::from_secs(20);

/// When the worker crashes, is up again and carries the start out, counted from the beginning of the cut.
const CRASH: Duration = ms(300);
const RESTART: Duration = ms(800);
const LATE: Duration = ms(1500);

/// When the registry drops the worker, counted from the beginning of the cut.
const UNREGISTERED: Duration = ms(3000);

/// Time within which a job whose worker has died for good must run again: 4 s until the fleet counts as calm, and 3 s.
const STANDING_MAX: Duration = Duration::from_secs(7);

/// Returns a fleet of two workers in which `w0` has left the start of the only task without an answer. It carries the start out
/// after `delay`.
fn unanswered_start(delay: Duration) -> Simulation {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, delay);
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
    sim.run(ms(50));
    assert_eq!(sim.late_calls[0].count, 0, "the start is on its way");
    add_worker(&mut sim, "w1", LONG);
    sim
}

fn running(sim: &Simulation) -> usize {
    sim.workers
        .values()
        .flat_map(|worker| worker.running())
        .filter(|of| *of == task(JOB, 0, 0))
        .count()
}

fn trace(sim: &Simulation, what: &str) {
    if std::env::var_os("CUT_WORKERS_TRACE").is_some() {
        for (at, host, text) in &sim.logs {
            println!("{what} {at:?} {host} {text}");
        }
        for (name, worker) in &sim.workers {
            for record in &worker.records {
                println!("{what} {name} {record:?}");
            }
        }
    }
}

/// A cut of a worker that starts again behind it.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// Time from the start without an answer to the cut.
    after: Duration,
    time: Duration,
    /// When the owner is killed, counted from the start without an answer; `None` if it stays.
    owner_killed: Option<Duration>,
}

impl Cut {
    /// Plays the cut and returns the violations.
    fn play(self) -> Vec<String> {
        let begin = ms(50);
        let mut sim = unanswered_start(self.after + LATE);
        let registered_after = Some(self.time - RESTART + ms(200));
        let life = NewLife { dark: RESTART - CRASH, registered_after, clock_base_ms: 0 };
        let mut changes = vec![
            (self.after, 0),
            (self.after + CRASH, 1),
            (self.after + UNREGISTERED, 2),
            (self.after + self.time, 3),
        ];
        changes.extend(self.owner_killed.map(|at| (at, 4)));
        changes.sort_unstable();
        let mut now = begin;
        for (at, change) in changes {
            sim.run(at.saturating_sub(now));
            now = at.max(now);
            match change {
                0 => sim.set_cut("w0", true),
                1 => sim.restart_worker("w0", life),
                2 => sim.unregister("w0"),
                3 => sim.set_cut("w0", false),
                _ => {
                    let owner = sim.owner().expect("there is an owner");
                    sim.kill_host(&owner);
                }
            }
        }
        sim.run(Duration::from_secs(20));
        trace(&sim, &format!("{self:?}"));
        let mut findings: Vec<String> =
            sim.twice().into_iter().map(|text| format!("{self:?}: {text}")).collect();
        if running(&sim) != 1 {
            findings.push(format!("{self:?}: the task runs {} times at the end", running(&sim)));
        }
        findings
    }
}

/// The worker is cut off at some time after it has answered other calls than the start, also before the owner takes the start
/// for unanswered.
#[test]
fn restart_behind_cut() {
    let mut findings = Vec::new();
    for after in [200, 400, 600, 710, 1500, 3000, 3700, 5500, 9000].map(ms) {
        for time in [5500, 9000].map(ms) {
            findings.extend(Cut { after, time, owner_killed: None }.play());
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// The owner changes before the cut, or during it, and its successor has to know of the start.
#[test]
fn owner_change_and_cut() {
    let mut findings = Vec::new();
    for after in [3000, 4400, 6000].map(ms) {
        for killed in [1200, 2000, 3100, 4500, 6500, 8500, 9700].map(ms) {
            findings.extend(Cut { after, time: ms(5500), owner_killed: Some(killed) }.play());
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// The owner dies before it takes the start for unanswered, after it has asked the worker about it.
#[test]
fn owner_killed_early() {
    let mut findings = Vec::new();
    for after in [3000, 4400, 6000].map(ms) {
        for killed in [200, 400, 700, 720, 800].map(ms) {
            findings.extend(Cut { after, time: ms(5500), owner_killed: Some(killed) }.play());
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// The owner dies while the start is on its way, so no commit names the start.
#[test]
fn owner_killed_at_once() {
    let mut findings = Vec::new();
    for after in [3000, 4400, 6000].map(ms) {
        findings.extend(Cut { after, time: ms(5500), owner_killed: Some(ms(60)) }.play());
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// The worker starts again at any moment after the start, and its new process carries the start out as soon as it is up or a
/// little later.
#[test]
fn restart_without_cut() {
    let mut findings = Vec::new();
    for after in [300, 1500, 5500, 9000].map(ms) {
        for dark in [100, 600, 2000].map(ms) {
            for late in [0, 40].map(ms) {
                let delay = after + dark + late;
                if delay > Duration::from_secs(12) {
                    continue;
                }
                let mut sim = unanswered_start(delay);
                sim.run(after - ms(50));
                let registered_after = Some(ms(200));
                sim.restart_worker("w0", NewLife { dark, registered_after, clock_base_ms: 0 });
                sim.run(Duration::from_secs(25));
                let what = format!("after {after:?} dark {dark:?} late {late:?}");
                trace(&sim, &what);
                let twice = sim.twice();
                findings.extend(twice.into_iter().map(|text| format!("{what}: {text}")));
                if running(&sim) != 1 {
                    findings.push(format!("{what}: {} runs at the end", running(&sim)));
                }
            }
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// A worker that dies for good while the start is on its way holds the task for no longer than any other worker that dies.
/// Guards against a longer wait for each start that was in flight when its worker died.
#[test]
fn death_before_answer() {
    for offset in (0..1400).step_by(100).map(ms) {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        wait_for_renewal(&mut sim, "w0");
        sim.run(offset);
        sim.kill_worker("w0", true);
        let died = sim.now;
        sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
        sim.run(ms(50));
        add_worker(&mut sim, "w1", LONG);
        sim.run_until(Duration::from_secs(30), "the task", |sim| running(sim) == 1);
        trace(&sim, &format!("{offset:?}"));
        assert!(sim.now - died <= STANDING_MAX, "{offset:?}: stood for {:?}", sim.now - died);
    }
}

/// A worker that dies for good after it has left a start without an answer holds the task until no process of it can run the
/// start any more, and not for longer.
#[test]
fn death_after_start() {
    for after in [1500, 3000, 6500].map(ms) {
        let mut sim = unanswered_start(after + Duration::from_secs(1));
        sim.run(after);
        let sent = sim.now - after;
        sim.kill_worker("w0", true);
        sim.run_until(Duration::from_secs(30), "the task", |sim| running(sim) == 1);
        trace(&sim, &format!("{after:?}"));
        assert!(sim.now - sent < ms(22_500), "{after:?}: stood until {:?}", sim.now - sent);
    }
}
