//! Starts and ends whose task this owner, or this session, knows nothing of: they come from an earlier owner or session. Guards
//! against tasks that run twice or stand because what ruled them out held for one process only.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Schedule, Step};
use shallotpost_fleet::port::Action;
use shallotpost_fleet::progress::State;
use support::restarts::{HIGH_CLOCK_MS, JOB, add_worker, fleet, late, wait_for_renewal};
use support::worker::Change;
use support::{CallKind, NewLife, Simulation, UNIX_MS, job, ms, step, task};

const LONG: Duration = Duration::from_secs(60);

/// Time for which the fleet has had an owner when a test begins.
const AGE: Duration = Duration::from_secs(5);

/// Time for which a restarting worker is dark.
const DARK: Duration = ms(350);

/// Lets no further task fit on a worker.
fn fill(sim: &mut Simulation, name: &str) {
    sim.workers.get_mut(name).expect("a worker").capacity.processors_milli = 1;
    sim.register(name, false);
}

/// Submits a job whose first start to `w0` is carried out `delay` later. Returns the time of that.
fn submit_late(sim: &mut Simulation, steps: Vec<Step>, delay: Duration) -> Duration {
    wait_for_renewal(sim, "w0");
    late(sim, CallKind::Start, 1, delay);
    sim.submit_lasting("batch", JOB, steps, LONG);
    while sim.late_calls[0].count > 0 {
        sim.run(ms(1));
    }
    sim.now + delay
}

/// Submits a job whose start on `w0` is late and ruled out by a confirmed stop, and lets it start on `w1`. Returns when the late
/// start is carried out.
fn start_late(sim: &mut Simulation, delay: Duration) -> Duration {
    let due = submit_late(sim, vec![step(1, 60_000)], delay);
    fill(sim, "w0");
    add_worker(sim, "w1", LONG);
    // An owner may also wait until the late start is over.
    while sim.now + DARK + ms(100) < due && sim.workers["w1"].starts_of(task(JOB, 0, 0)) == 0 {
        sim.run(ms(10));
    }
    due
}

/// Restarts `w0` so that its new process carries out the late start before any call of the owner.
fn restart_before(sim: &mut Simulation, due: Duration) {
    sim.run(due.saturating_sub(sim.now + DARK + ms(50)));
    let life = NewLife { dark: DARK, registered_after: Some(ms(200)), ..NewLife::default() };
    sim.restart_worker("w0", life);
}

/// Guards against a successor that knows nothing of a start which its predecessor has ruled out by a confirmed stop.
#[test]
fn unknown_to_successor() {
    let mut findings = Vec::new();
    for planned in [true, false] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        let due = start_late(&mut sim, ms(9000));
        let owner = sim.owner().expect("an owner");
        match planned {
            true => sim.stop_host(&owner),
            false => sim.kill_host(&owner),
        }
        restart_before(&mut sim, due);
        sim.run(Duration::from_secs(4));
        findings.extend(sim.twice().into_iter().map(|text| format!("planned {planned}: {text}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// The session with a silent worker that has left the registry was dropped, and with it what the owner knew of its calls.
/// Guards against a start that the next process of this worker carries out.
#[test]
fn dropped_session() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    let due = start_late(&mut sim, ms(9000));
    sim.set_cut("w0", true);
    sim.unregister("w0");
    sim.run(ms(4000));
    sim.set_cut("w0", false);
    restart_before(&mut sim, due);
    sim.run(Duration::from_secs(4));
    assert_eq!(sim.twice(), Vec::<String>::new());
}

/// A restarted worker carried out the start of one member of a gang whose other members had been stopped. Guards against an
/// owner that lets this member run on alone, while the gang waits for it to end.
#[test]
fn lone_member() {
    let mut sim = fleet(&[1000, 1000], HIGH_CLOCK_MS, AGE);
    let gang = Step { gang: true, ..step(2, 60_000) };
    let due = submit_late(&mut sim, vec![gang], ms(5000));
    // The gang waits for room until the late start has been carried out.
    fill(&mut sim, "w1");
    sim.run_until(Duration::from_secs(4), "the end of the other member", |sim| {
        sim.workers_of(JOB).is_empty()
    });
    restart_before(&mut sim, due);
    let started = |sim: &Simulation| {
        let mut starts = sim.workers["w0"].records.iter();
        starts.any(|record| record.change == Change::Started && record.late)
    };
    sim.run_until(Duration::from_secs(2), "the late start", started);
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.workers_of(JOB).len(), 0, "a member of the gang runs alone");
}

/// What keeps an owner from reading the jobs, for a while.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// The store refuses reads and executes commits.
    RefusedReads,
    /// The connections go silent, and the store falls silent this many milliseconds later.
    Silence(u64),
}

/// A predecessor had started the task of a job that the owner did not know, as its reads of the jobs failed for longer than an
/// end of an unknown job waits. Guards against an end that is acknowledged and dropped before its job is known.
#[test]
fn end_of_unknown_job() {
    let outages = (0..1500).step_by(60).map(Outage::Silence).chain([Outage::RefusedReads]);
    let mut findings = Vec::new();
    for outage in outages {
        for time in [2000, 5000, 9000] {
            let (starts, state) = play_unknown_job(outage, ms(time));
            if starts > 0 || state != Some(State::Completed) {
                findings.push(format!("{outage:?} for {time} ms: {starts} starts, {state:?}"));
            }
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// A job that a predecessor has started, and that the owner does not know.
const UNKNOWN: JobId = 0x51;

/// Lets a worker list the end of a task whose job the owner reads only after an outage. Returns how often the owner has started
/// the task, and the job's state.
fn play_unknown_job(outage: Outage, time: Duration) -> (usize, Option<State>) {
    let (mut sim, other) = with_unknown_job(outage);
    sim.workers.get_mut("w0").expect("w0").list_foreign_end(task(UNKNOWN, 0, 0));
    pass_outage(&mut sim, outage, time);
    (sim.starts_of_job(UNKNOWN), sim.state(&other, "batch", UNKNOWN))
}

/// The same for a run. Guards against a stop of a run that was wanted, after which the task has to run again.
#[test]
fn run_of_unknown_job() {
    let mut findings = Vec::new();
    for outage in [Outage::RefusedReads, Outage::Silence(0), Outage::Silence(900)] {
        // In a longer silence, the leases of all runs expire.
        for time in [2000, 5000] {
            let (mut sim, _) = with_unknown_job(outage);
            sim.workers.get_mut("w0").expect("w0").run_foreign(task(UNKNOWN, 0, 0), LONG);
            pass_outage(&mut sim, outage, ms(time));
            let running = sim.workers["w0"].running().any(|run| run == task(UNKNOWN, 0, 0));
            if sim.starts_of_job(UNKNOWN) > 0 || !running {
                findings.push(format!("{outage:?} for {time} ms: running {running}"));
            }
        }
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// Submits a job through a host that the owner does not hear, while the owner cannot read the jobs. Returns the host too.
fn with_unknown_job(outage: Outage) -> (Simulation, String) {
    let mut sim = Simulation::settled(1);
    sim.feeds_wait = true;
    sim.run(ms(2000));
    let owner = sim.owner().expect("an owner");
    let other = ["a", "b", "c"].into_iter().find(|host| *host != owner).expect("a host");
    sim.set_partitioned(other, &owner, true);
    match outage {
        Outage::RefusedReads => sim.store.reads_refused = true,
        Outage::Silence(_) => sim.silence_connections(&owner),
    }
    sim.submit(other, "batch", UNKNOWN, vec![step(1, 300)]);
    sim.run(ms(10));
    (sim, other.to_owned())
}

/// Lets the outage last for a time, and the owner read the jobs after it.
fn pass_outage(sim: &mut Simulation, outage: Outage, time: Duration) {
    if let Outage::Silence(after) = outage {
        sim.run(ms(after));
        sim.store_silent = true;
    }
    sim.run(time);
    (sim.store.reads_refused, sim.store_silent) = (false, false);
    sim.run(Duration::from_secs(9));
    sim.partitions.clear();
    sim.run(Duration::from_secs(1));
}

/// Submits a job that is due once, this much later.
fn submit_due(sim: &mut Simulation, after: Duration) {
    let due = u64::try_from((sim.now + after).as_millis()).expect("time fits");
    let schedule = Schedule { occurrences: 1, first_unix_ms: UNIX_MS + due, interval: LONG };
    let job =
        shallotpost_fleet::job::Job { schedule: Some(schedule), ..job(vec![step(1, 60_000)]) };
    let path = format!("/batch/{JOB:016x}");
    sim.request("a", &path, Some("key-a"), Action::Submit(Ok(Box::new(job))));
    sim.workers.values_mut().for_each(|worker| {
        worker.job_durations.insert(JOB, LONG);
    });
    sim.run(ms(100));
}

/// A predecessor whose time of day was ahead had started an occurrence on a worker that its successor did not reach. Guards
/// against a successor that starts the tasks of each occurrence that becomes due while the takeover is not settled.
#[test]
fn early_occurrence() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    let owner = sim.owner().expect("an owner");
    sim.clock_offsets.insert(owner.clone(), 5000);
    submit_due(&mut sim, ms(4000));
    sim.wait_for_start(JOB, 1);
    sim.set_cut("w0", true);
    sim.kill_host(&owner);
    add_worker(&mut sim, "w1", LONG);
    sim.run(Duration::from_secs(14));
    assert_eq!(sim.twice(), Vec::<String>::new());
    assert_eq!(sim.workers["w1"].starts_of(task(JOB, 0, 0)), 1, "the task starts in the end");
}

/// An owner that was cut off together with a worker went on under its lease when an occurrence became due. Guards against a
/// successor that starts its tasks before it has reached this worker.
#[test]
fn occurrence_during_takeover() {
    let mut findings = Vec::new();
    for due in [2000, 2500, 3000, 3500, 4000] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        let owner = sim.owner().expect("an owner");
        submit_due(&mut sim, ms(due));
        for party in ["a", "b", "c", "store"].into_iter().filter(|party| *party != owner) {
            sim.set_partitioned(&owner, party, true);
            sim.set_partitioned(party, "w0", true);
        }
        add_worker(&mut sim, "w1", LONG);
        sim.set_partitioned(&owner, "w1", true);
        sim.run(Duration::from_secs(14));
        findings.extend(sim.twice().into_iter().map(|text| format!("due {due}: {text}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// An owner that was cut off from the store and the other hosts went on under its lease on a worker that had restarted, as the new
/// process did not know the fencing token of the successor. Guards against starts on a process that an owner has first reached
/// when it may have been replaced.
#[test]
fn replaced_owner() {
    const WAITING: JobId = 0x52;
    let mut findings = Vec::new();
    for after in (0..1600).step_by(100) {
        let mut sim = fleet(&[1000], HIGH_CLOCK_MS, AGE);
        sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
        sim.wait_for_start(JOB, 1);
        sim.submit_lasting("batch", WAITING, vec![step(1, 60_000)], LONG);
        sim.run(Duration::from_secs(1));
        let owner = sim.owner().expect("an owner");
        for party in ["a", "b", "c", "store"].into_iter().filter(|party| *party != owner) {
            sim.set_partitioned(&owner, party, true);
        }
        add_worker(&mut sim, "w1", LONG);
        sim.workers.get_mut("w1").expect("w1").job_durations.insert(WAITING, LONG);
        sim.set_partitioned(&owner, "w1", true);
        sim.run_until(Duration::from_secs(4), "a start by the successor", |sim| {
            sim.workers["w1"].starts_of(task(WAITING, 0, 0)) == 1
        });
        sim.run(ms(after));
        let life =
            NewLife { dark: ms(100), registered_after: Some(ms(1500)), ..NewLife::default() };
        sim.restart_worker("w0", life);
        sim.run(Duration::from_secs(4));
        findings.extend(sim.twice().into_iter().map(|text| format!("after {after}: {text}")));
    }
    assert_eq!(findings, Vec::<String>::new());
}

/// A worker that an owner and its successor reached restarted, and the owner, which was cut off from the store and the other
/// hosts, started the lost task on a worker that its successor did not reach. Guards against a successor that starts such a task
/// while the owner before it may still do so.
#[test]
fn lost_by_both() {
    let mut findings = Vec::new();
    for after in (0..2000).step_by(200) {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], LONG);
        sim.wait_for_start(JOB, 1);
        add_worker(&mut sim, "w1", LONG);
        sim.run(Duration::from_secs(2));
        let owner = sim.owner().expect("an owner");
        for party in ["a", "b", "c", "store"].into_iter().filter(|party| *party != owner) {
            sim.set_partitioned(&owner, party, true);
            sim.set_partitioned(party, "w1", true);
        }
        add_worker(&mut sim, "w2", LONG);
        sim.set_partitioned(&owner, "w2", true);
        sim.run_until(Duration::from_secs(4), "a successor", |sim| {
            ["a", "b", "c"].into_iter().any(|host| host != owner && sim.owns(host))
        });
        sim.run(ms(after));
        let life = NewLife { registered_after: Some(ms(50)), ..NewLife::default() };
        sim.restart_worker("w0", life);
        fill(&mut sim, "w0");
        sim.run(Duration::from_secs(12));
        findings.extend(sim.twice().into_iter().map(|text| format!("after {after}: {text}")));
        assert!(sim.starts(task(JOB, 0, 0)) > 1, "after {after}: not started again");
    }
    assert_eq!(findings, Vec::<String>::new());
}
