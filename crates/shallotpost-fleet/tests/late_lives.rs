//! Workers that restart under their identifier in a fleet that has run for a while, so that neither the sessions nor the
//! workers are new. Guards against tasks that run twice, and against jobs that fail or stand, because a later life takes a call.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::{Action, Answer};
use support::restarts::{
    DARK, HIGH_CLOCK_MS, JOB, add_worker, fleet, late, start_in_the_dark, wait_for_renewal,
};
use support::{CallKind, NewLife, Simulation, ms, step, task};

const SECOND: JobId = 0x48;
const LONG: Duration = Duration::from_secs(60);
/// Time for which the fleet has had an owner when a test begins: neither the first lists of the sessions nor the starts of the
/// workers are recent then.
const AGE: Duration = Duration::from_secs(20);

/// Lets no further task fit on a worker.
fn fill(sim: &mut Simulation, name: &str) {
    sim.workers.get_mut(name).expect("a worker").capacity.processors_milli = 1;
    sim.register(name, false);
    sim.run(ms(20));
}

fn report(sim: &Simulation, what: &str) -> Vec<String> {
    if std::env::var_os("LATE_LIVES_TRACE").is_some() {
        for (at, host, text) in &sim.logs {
            println!("{what} {at:?} {host} {text}");
        }
        for (name, worker) in &sim.workers {
            for record in &worker.records {
                println!("{what} {name} {record:?}");
            }
        }
    }
    sim.twice().into_iter().map(|text| format!("{what}: {text}")).collect()
}

/// Guards against a lease that a later start on the new life extends for the runs that were there before: their end was
/// counted from their own start.
#[test]
fn extended_lease() {
    let mut findings = Vec::new();
    for known in [false, true] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        let life = match known {
            true => NewLife { registered_after: Some(ms(1900)), ..NewLife::default() },
            false => NewLife::default(),
        };
        start_in_the_dark(&mut sim, life, vec![step(1, 60_000)], LONG);
        sim.run(ms(1400));
        sim.submit_lasting("batch", SECOND, vec![step(1, 60_000)], LONG);
        sim.run_until(ms(500), "a second start", |sim| {
            sim.workers["w0"].starts_of(task(SECOND, 0, 0)) == 1
        });
        if known {
            sim.set_cut("w0", true);
            sim.run(ms(1));
        } else {
            sim.run(ms(20));
            sim.set_cut("w0", true);
        }
        add_worker(&mut sim, "w1", LONG);
        sim.workers.get_mut("w1").expect("a worker").job_durations.insert(SECOND, LONG);
        sim.run(Duration::from_secs(24));
        findings.extend(report(&sim, &format!("known {known}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Guards against a successor that takes an unreachable new life for the old one of the roster: the life has not registered.
#[test]
fn unregistered_life() {
    let mut findings = Vec::new();
    for stopped in [true, false] {
        for after in [0, 20, 100, 300] {
            let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
            start_in_the_dark(&mut sim, NewLife::default(), vec![step(2, 60_000)], LONG);
            sim.run(ms(after));
            let owner = sim.owner().expect("an owner");
            sim.set_cut("w0", true);
            match stopped {
                true => sim.stop_host(&owner),
                false => sim.kill_host(&owner),
            }
            add_worker(&mut sim, "w1", LONG);
            sim.run(Duration::from_secs(24));
            findings.extend(report(&sim, &format!("stopped {stopped} after {after}")));
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Guards against a start that the new life executes without an answer, when the owner never learns of that life: the run was
/// counted under the lease of the former session.
#[test]
fn unanswered_start() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(100));
    sim.restart_worker("w0", NewLife { dark: DARK, ..NewLife::default() });
    sim.run(DARK - ms(100));
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
    sim.run(ms(106));
    assert_eq!(sim.workers["w0"].starts_of(task(JOB, 0, 0)), 1);
    sim.set_cut("w0", true);
    add_worker(&mut sim, "w1", LONG);
    sim.run(Duration::from_secs(26));
    assert_eq!(report(&sim, "unanswered"), Vec::<String>::new());
}

/// Guards against a clock of the new life that is close to that of the former one, but behind.
#[test]
fn similar_clock() {
    let mut findings = Vec::new();
    for behind in [1800, 1500, 1300, 1000, 800, 600, 300] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        wait_for_renewal(&mut sim, "w0");
        wait_for_renewal(&mut sim, "w0");
        // The next renewal comes 1.404 s later, and the new life begins 0.6 s after that.
        let begin = sim.now + ms(1404) + DARK;
        let base = HIGH_CLOCK_MS + u64::try_from(begin.as_millis()).expect("fits");
        let life = NewLife { clock_base_ms: base - behind, ..NewLife::default() };
        start_in_the_dark(&mut sim, life, vec![step(1, 60_000)], LONG);
        sim.run(ms(20));
        sim.set_cut("w0", true);
        add_worker(&mut sim, "w1", LONG);
        sim.run(Duration::from_secs(16));
        findings.extend(report(&sim, &format!("behind {behind}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Moment at which the task is submitted whose start the new life executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Submission {
    /// Before the ends, so that its start is in flight when they are stored.
    Before,
    /// While the first call that acknowledges them is in flight.
    First,
    /// While a later renewal is in flight.
    Later,
}

/// A renewal that is executed late by the new life, which has executed a start and ended it before.
#[derive(Clone, Copy, Debug)]
struct LateAcknowledgement {
    submission: Submission,
    /// Time by which the clock of the new life is ahead of the former one; `None` if it is far from it.
    ahead: Option<Duration>,
    delay: Duration,
    /// Whether the new life's answer to the start is lost.
    unanswered: bool,
    /// Number of jobs that have run in the epoch before.
    jobs_before: u64,
}

impl LateAcknowledgement {
    fn play(self) -> Vec<String> {
        let mut sim = fleet(&[4000], 0, AGE);
        for id in 0..self.jobs_before {
            sim.submit_lasting("batch", 1000 + id, vec![step(2, 300)], ms(300));
            sim.run(ms(500));
        }
        let before = sim.workers["w0"].ended_count();
        sim.submit_lasting("batch", 1, vec![step(4, 300)], ms(300));
        sim.wait_for_start(1, 4);
        if self.submission == Submission::Before {
            sim.submit_lasting("batch", JOB, vec![step(1, 100)], ms(100));
            sim.run(ms(50));
            // The commit takes longer than the start.
            sim.transaction_delay = ms(60);
        }
        while sim.workers["w0"].ended_count() < before + 4 {
            sim.run(ms(1));
        }
        let is_processed = |sim: &Simulation| {
            let ends = sim.logs.iter().filter(|(_, _, text)| text.starts_with("run_ended"));
            ends.count() == usize::try_from(before + 4).expect("fits")
        };
        match self.submission {
            Submission::Before => {
                while !is_processed(&sim) {
                    sim.run(ms(1));
                }
            }
            Submission::First => {}
            Submission::Later => {
                sim.run(Duration::from_secs(3));
                assert_eq!(sim.workers["w0"].acknowledged(), before + 4);
            }
        }
        late(&mut sim, CallKind::Renewal, 1, self.delay);
        while self.submission != Submission::Before && sim.late_calls[0].count > 0 {
            sim.run(ms(1));
        }
        let dark = ms(100);
        let begin = u64::try_from((sim.now + dark).as_millis()).expect("fits");
        let ahead = self.ahead.map(|ahead| u64::try_from(ahead.as_millis()).expect("fits"));
        let clock_base_ms = ahead.map_or(0, |ahead| begin + ahead);
        let registered_after = Some(self.delay + ms(200));
        sim.restart_worker("w0", NewLife { dark, registered_after, clock_base_ms });
        if self.unanswered {
            late(&mut sim, CallKind::Start, 1, ms(120));
        }
        if self.submission != Submission::Before {
            sim.run(ms(110));
            sim.submit_lasting("batch", JOB, vec![step(1, 100)], ms(100));
        }
        sim.run(Duration::from_secs(8));
        report(&sim, &format!("{self:?}"))
    }
}

/// Guards against an acknowledgement that was sent in calm and is executed late by the new life, which drops an end that
/// nobody has read.
#[test]
fn late_acknowledgement() {
    let mut findings = Vec::new();
    for submission in [Submission::Before, Submission::First, Submission::Later] {
        for ahead in [None, Some(ms(0)), Some(ms(500))] {
            for delay in [400, 700, 1300].map(ms) {
                for unanswered in [false, true] {
                    let jobs_before = 0;
                    let late =
                        LateAcknowledgement { submission, ahead, delay, unanswered, jobs_before };
                    findings.extend(late.play());
                }
            }
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Guards against the same in an epoch in which the fencing token has been raised so often that it is raised no more, and
/// against starts that wait for a renewal then.
#[test]
fn late_acknowledgement_in_a_long_epoch() {
    let late = LateAcknowledgement {
        submission: Submission::First,
        ahead: Some(ms(0)),
        delay: ms(700),
        unanswered: false,
        jobs_before: 600,
    };
    assert_eq!(late.play(), Vec::<String>::new());
    let mut sim = fleet(&[4000], 0, AGE);
    for id in 0..late.jobs_before {
        sim.submit_lasting("batch", id, vec![step(2, 300)], ms(300));
        sim.run(ms(50));
        assert_eq!(sim.starts_of_job(id), 2, "job {id} after 50 ms");
        sim.run(ms(450));
    }
}

/// Guards against a question that harms a worker whose clock only seems to be another one, as its last list was read late:
/// against runs that are given up, and a second chain of renewals after the one that was in flight.
#[test]
fn mistaken_question() {
    let mut sim = fleet(&[4000], 0, AGE);
    sim.submit_lasting("batch", 1, vec![step(1, 60_000)], LONG);
    sim.wait_for_start(1, 1);
    wait_for_renewal(&mut sim, "w0");
    // The next list has waited for 1.2 s when the owner reads its clock.
    sim.run(ms(1300));
    let answered = sim.now + ms(100);
    let clock_ms = u64::try_from((answered - ms(1200)).as_millis()).expect("fits");
    sim.workers.get_mut("w0").expect("w0").false_clock_ms = Some(clock_ms);
    wait_for_renewal(&mut sim, "w0");
    sim.workers.get_mut("w0").expect("w0").false_clock_ms = None;
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
    let renewals = sim.workers["w0"].renewals.len();
    sim.run_until(ms(1000), "a start", |sim| sim.starts(task(JOB, 0, 0)) == 1);
    sim.run(ms(10));
    assert!(sim.workers["w0"].renewals.len() > renewals, "no question");
    let renewals = sim.workers["w0"].renewals.len();
    sim.run(Duration::from_secs(6));
    let calls = sim.workers["w0"].renewals.len() - renewals;
    assert!(calls <= 6, "{calls} renewals in 6 s");
    let harm = ["worker_silent", "worker_restarted", "runs_lost", "fenced", "ownership_lost"];
    let found: Vec<_> = sim
        .logs
        .iter()
        .filter(|(_, _, text)| harm.iter().any(|event| text.starts_with(event)))
        .collect();
    assert!(found.is_empty(), "{found:?}");
    assert_eq!(sim.workers["w0"].running().count(), 2);
    assert_eq!(sim.starts(task(JOB, 0, 0)), 1);
}

/// Guards against a late start that a second new life executes, after the first one has shown that it had not taken it.
#[test]
fn second_restart() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(2500));
    sim.submit_lasting("batch", JOB, vec![step(1, 5000)], Duration::from_secs(5));
    sim.run(ms(50));
    assert_eq!(sim.late_calls[0].count, 0);
    let life = NewLife { dark: ms(100), registered_after: Some(ms(50)), ..NewLife::default() };
    sim.workers.get_mut("w0").expect("w0").capacity.processors_milli = 1;
    sim.restart_worker("w0", life);
    add_worker(&mut sim, "w1", LONG);
    sim.workers.get_mut("w1").expect("w1").job_durations.insert(JOB, Duration::from_secs(5));
    sim.run(ms(600));
    wait_for_renewal(&mut sim, "w0");
    let life = NewLife { dark: ms(780), registered_after: Some(ms(400)), ..NewLife::default() };
    sim.restart_worker("w0", life);
    sim.run(Duration::from_secs(10));
    assert_eq!(report(&sim, "second restart"), Vec::<String>::new());
}

/// Guards against the late start of a run that the former life has refused by a confirmed stop: the new life knows nothing
/// of the stop.
#[test]
fn forgotten_stop() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(2600));
    sim.submit_lasting("batch", JOB, vec![step(1, 5000)], Duration::from_secs(5));
    add_worker(&mut sim, "w1", LONG);
    sim.workers.get_mut("w1").expect("w1").job_durations.insert(JOB, Duration::from_secs(5));
    sim.run(ms(50));
    fill(&mut sim, "w0");
    sim.run(ms(2130));
    let life = NewLife { dark: ms(350), registered_after: Some(ms(200)), ..NewLife::default() };
    sim.restart_worker("w0", life);
    sim.run(Duration::from_secs(10));
    assert_eq!(report(&sim, "forgotten stop"), Vec::<String>::new());
}

/// Guards against a stop that is not repeated, as the stop of the same run was confirmed by the former life.
#[test]
fn repeated_stop() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    // The start is executed 1.2 s late. Its stop is confirmed by the former life at 0.71 s.
    late(&mut sim, CallKind::Start, 1, ms(1200));
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
    sim.run(ms(40));
    assert_eq!(sim.late_calls[0].count, 0);
    sim.run_until(ms(900), "a confirmed stop", |sim| {
        sim.workers["w0"]
            .records
            .iter()
            .any(|record| record.change == support::worker::Change::Barred)
    });
    sim.run(ms(4));
    let life = NewLife { dark: ms(300), registered_after: Some(ms(300)), ..NewLife::default() };
    sim.restart_worker("w0", life);
    sim.run_until(ms(2000), "a late start", |sim| sim.workers["w0"].starts_of(task(JOB, 0, 0)) > 0);
    sim.run(ms(800));
    let running = sim.workers["w0"].running().count();
    // The next stop is lost.
    late(&mut sim, CallKind::Stop, 1, Duration::from_secs(3600));
    let path = format!("/batch/{JOB:016x}");
    let request = sim.request("b", &path, Some("key-a"), Action::Cancel);
    sim.run(Duration::from_secs(6));
    report(&sim, "repeated stop");
    assert_eq!(sim.answers.get(&request), Some(&Answer::Cancelled));
    assert_eq!((running, sim.workers["w0"].running().count()), (1, 0));
}

/// Guards against a task that stands because its unanswered start may have reached a new life that is gone for good. The bound
/// is that for a worker that is cut off.
#[test]
fn dead_life() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(100));
    let life = NewLife { dark: DARK, registered_after: Some(ms(50)), ..NewLife::default() };
    sim.restart_worker("w0", life);
    sim.run(DARK - ms(100));
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
    sim.run(ms(166));
    sim.kill_worker("w0", true);
    let from = sim.now;
    add_worker(&mut sim, "w1", LONG);
    sim.run_until(Duration::from_secs(40), "the task", |sim| {
        sim.workers["w1"].running().any(|of| of == task(JOB, 0, 0))
    });
    report(&sim, "dead life");
    assert!(sim.now - from < ms(14_000), "stood for {:?}", sim.now - from);
}

/// Guards against a successor whose time of day is ahead, and which takes a worker's process for older than it is.
#[test]
fn host_clock() {
    let mut findings = Vec::new();
    for offset in [0, 14_000, 60_000] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        sim.clock_offsets = ["b", "c"].map(|host| (host.to_owned(), offset)).into();
        let life = NewLife { registered_after: Some(ms(50)), ..NewLife::default() };
        start_in_the_dark(&mut sim, life, vec![step(2, 60_000)], LONG);
        sim.run(ms(100));
        let owner = sim.owner().expect("an owner");
        sim.set_cut("w0", true);
        sim.stop_host(&owner);
        add_worker(&mut sim, "w1", LONG);
        sim.run(Duration::from_secs(24));
        findings.extend(report(&sim, &format!("offset {offset}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Guards against a job that is given up for a run which the new life of its worker executes: the start was counted as a crash
/// of the former life before the first list could clear it.
#[test]
fn given_up_early() {
    let mut findings = Vec::new();
    for delay in [0, 4, 8, 12, 20, 30, 40] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
        sim.wait_for_start(JOB, 1);
        sim.run(ms(50));
        let calm = NewLife { registered_after: Some(ms(0)), ..NewLife::default() };
        sim.restart_worker("w0", calm);
        sim.run_until(Duration::from_secs(5), "an isolated start", |sim| {
            sim.starts(task(JOB, 0, 0)) == 2
        });
        sim.run(ms(250));
        let contacts = |sim: &Simulation| {
            sim.logs
                .iter()
                .filter(|(_, _, text)| text.starts_with("worker_contact worker=w0"))
                .count()
        };
        let before = contacts(&sim);
        sim.restart_worker("w0", calm);
        sim.run_until(Duration::from_secs(2), "contact", |sim| contacts(sim) > before);
        sim.run(ms(delay));
        let life = NewLife { dark: ms(150), registered_after: Some(ms(100)), ..NewLife::default() };
        if sim.starts(task(JOB, 0, 0)) == 2 {
            sim.restart_worker("w0", life);
        }
        sim.run(Duration::from_secs(3));
        report(&sim, &format!("delay {delay}"));
        let given_up: Vec<String> = sim
            .logs
            .iter()
            .filter(|(_, _, text)| text.starts_with("job_given_up"))
            .map(|(at, _, text)| format!("delay {delay}: {at:?} {text}"))
            .collect();
        findings.extend(given_up);
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Guards against a worker that is not called for 0.7 s after its restart is known, as the first call was sent on a connection to
/// the former process. A new process takes late calls of former sessions until then.
#[test]
fn silent_connection() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    let life = NewLife { dark: ms(100), registered_after: Some(ms(50)), ..NewLife::default() };
    sim.restart_worker("w0", life);
    sim.silent_workers.insert("w0".to_owned());
    let since = sim.now;
    let logged = |sim: &Simulation, event: &str| {
        sim.logs.iter().any(|(at, _, text)| *at > since && text.starts_with(event))
    };
    sim.run_until(ms(1000), "a known restart", |sim| logged(sim, "worker_restarted"));
    sim.run_until(ms(100), "contact", |sim| logged(sim, "worker_contact"));
}
