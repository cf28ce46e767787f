//! Starts without an answer that a later process of their worker carries out. Guards against a task that runs twice, as a stop
//! or a list that ruled the start out held for one process only, and against tasks that stand because of such a start.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::worker::EndReason;
use support::restarts::{HIGH_CLOCK_MS, JOB, add_worker, fleet, late, wait_for_renewal};
use support::worker::Change;
use support::{CallKind, NewLife, Simulation, ms, step, task};

/// Time for which the fleet has had an owner when a test begins.
const AGE: Duration = Duration::from_secs(20);

/// Returns a fleet of `w0` in which the start of a job's only task gets no answer, and is carried out after `delay`. Then `w1`
/// joins. The task takes `time` everywhere.
fn unanswered_start(delay: Duration, time: Duration) -> Simulation {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, delay);
    let estimate = u64::try_from(time.as_millis()).expect("fits");
    sim.submit_lasting("batch", JOB, vec![step(1, estimate)], time);
    sim.run(ms(50));
    assert_eq!(sim.late_calls[0].count, 0);
    add_worker(&mut sim, "w1", time);
    sim
}

fn restart(sim: &mut Simulation, dark: u64, registered_after: u64) {
    let registered_after = Some(ms(registered_after));
    sim.restart_worker("w0", NewLife { dark: ms(dark), registered_after, ..NewLife::default() });
}

fn findings(sim: &Simulation, what: &str) -> Vec<String> {
    sim.twice().into_iter().map(|text| format!("{what}: {text}")).collect()
}

/// Guards against a start after a noted end: the list of the second process was taken for a bar to the start, the task ran
/// elsewhere, and the third process carried the start out.
#[test]
fn second_restart_after_end() {
    let mut found = Vec::new();
    for delay in [2500, 3500, 5200, 5700] {
        for gap in [200, 600] {
            let mut sim = unanswered_start(ms(delay), ms(500));
            restart(&mut sim, 300, 100);
            sim.run(ms(delay - 750 - gap));
            restart(&mut sim, 700, 500);
            sim.run(Duration::from_secs(14));
            found.extend(findings(&sim, &format!("delay {delay} gap {gap}")));
            assert!(!sim.is_open(JOB), "delay {delay} gap {gap}");
        }
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against a start after a noted end: the task ran again on the same process and ended, and the next process carried
/// the first start out.
#[test]
fn restart_after_end() {
    let mut found = Vec::new();
    for delay in [2600, 3000, 3400] {
        let mut sim = unanswered_start(ms(delay), ms(400));
        sim.run(ms(delay - 450));
        restart(&mut sim, 350, 300);
        sim.run(Duration::from_secs(14));
        found.extend(findings(&sim, &format!("delay {delay}")));
        assert!(!sim.is_open(JOB), "delay {delay}");
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against a task that stands because its start had no answer from a worker that goes on: it runs there again once the
/// worker has confirmed a stop.
#[test]
fn sound_worker() {
    let mut sim = unanswered_start(ms(4000), Duration::from_secs(60));
    sim.run_until(ms(1800), "a second start", |sim| sim.starts(task(JOB, 0, 0)) == 1);
    sim.run(Duration::from_secs(6));
    assert_eq!(sim.starts(task(JOB, 0, 0)), 1);
    assert_eq!(findings(&sim, "sound worker"), Vec::<String>::new());
}

/// Guards against a task that stands because the worker of an unanswered start takes no more tasks.
#[test]
fn draining_worker() {
    let mut sim = unanswered_start(ms(4000), Duration::from_secs(60));
    sim.register("w0", true);
    sim.run_until(ms(7000), "a start elsewhere", |sim| {
        sim.workers["w1"].running().any(|of| of == task(JOB, 0, 0))
    });
    assert_eq!(findings(&sim, "draining worker"), Vec::<String>::new());
}

/// Guards against ends that are never acknowledged because an earlier start of their task had no answer.
#[test]
fn acknowledged_end() {
    let mut sim = unanswered_start(ms(2000), ms(300));
    sim.run_until(ms(2500), "the end", |sim| sim.workers["w0"].ended_count() > 0);
    sim.run_until(ms(4000), "the acknowledgement", |sim| !sim.workers["w0"].has_ended_runs());
    assert_eq!(findings(&sim, "acknowledged end"), Vec::<String>::new());
}

/// Returns a fleet in which the start of the first member of a gang on `w0` is on its way for `delay` when the other one is
/// refused on `w1`, and the gang is placed again on other workers if it may. `w0` has no room then.
fn broken_gang(delay: Duration) -> Simulation {
    let mut sim = fleet(&[1000, 1000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    let refusing = sim.workers.get_mut("w1").expect("w1");
    (refusing.capacity.processors_milli, refusing.guards_capacity) = (1, true);
    late(&mut sim, CallKind::Start, 1, delay);
    let gang = Step { gang: true, ..step(2, 60_000) };
    sim.submit_lasting("batch", JOB, vec![gang], Duration::from_secs(60));
    sim.run(ms(50));
    assert_eq!(sim.late_calls[0].count, 0);
    for name in ["w0", "w1"] {
        sim.workers.get_mut(name).expect("a worker").capacity.processors_milli = 1;
        sim.register(name, false);
    }
    add_worker(&mut sim, "w2", Duration::from_secs(60));
    sim
}

/// Guards against a start that is in flight when its run is stopped, as another member of the gang was refused: it gets no answer
/// either, and a later process carries it out beside the next run of the gang.
#[test]
fn gang_stopped_in_flight() {
    let mut found = Vec::new();
    for delay in [2000, 3000, 5000] {
        let mut sim = broken_gang(ms(delay));
        sim.run(ms(delay - 450));
        restart(&mut sim, 350, 300);
        sim.run(Duration::from_secs(10));
        found.extend(findings(&sim, &format!("delay {delay}")));
        assert_eq!(sim.workers["w2"].running().count(), 2, "delay {delay}: the gang stands");
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against a gang that stops runs of other jobs again and again while one of its members has to wait for an unanswered
/// start, so that the gang can't start.
#[test]
fn waiting_gang_preempts_nothing() {
    let mut sim = fleet(&[1000, 1000, 1000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(5000));
    let gang = Step { gang: true, ..step(3, 60_000) };
    sim.submit_lasting("urgent", JOB, vec![gang], Duration::from_secs(60));
    sim.run(ms(50));
    assert_eq!(sim.late_calls[0].count, 0);
    // The room that the other members leave.
    let saves = Step { checkpoints: true, ..step(3, 60_000) };
    sim.submit_lasting("batch", 0x90, vec![saves], Duration::from_secs(60));
    sim.run_until(ms(4000), "runs of the other job", |sim| sim.starts_of_job(0x90) >= 3);
    sim.run(ms(1500));
    let preempted = |sim: &Simulation| {
        sim.logs.iter().filter(|(_, _, text)| text.starts_with("preempted")).count()
    };
    assert_eq!(preempted(&sim), 0, "before the gang may start");
    sim.run_until(ms(5000), "the gang", |sim| {
        sim.workers
            .values()
            .flat_map(|worker| worker.running())
            .filter(|of| of.stage.job == JOB)
            .count()
            == 3
    });
    assert_eq!(findings(&sim, "waiting gang"), Vec::<String>::new());
}

/// Guards against a start after the last attempt: the task ran again on the same process and failed, the end was noted, and the next
/// process carried the first start out.
#[test]
fn restart_after_failure() {
    let mut found = Vec::new();
    for delay in [2600, 3000, 3400] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        let mut configuration = support::configuration();
        configuration.version = 2;
        configuration.queues.iter_mut().for_each(|queue| queue.policy.attempts_max = 1);
        sim.configure(configuration);
        sim.run(ms(3000));
        wait_for_renewal(&mut sim, "w0");
        late(&mut sim, CallKind::Start, 1, ms(delay));
        sim.workers.get_mut("w0").expect("w0").failing_jobs.insert(JOB);
        sim.submit_lasting("batch", JOB, vec![step(1, 400)], ms(400));
        sim.run(ms(50));
        assert_eq!(sim.late_calls[0].count, 0);
        sim.run(ms(delay - 450));
        restart(&mut sim, 350, 300);
        sim.run(Duration::from_secs(10));
        let records = &sim.workers["w0"].records;
        let failed = records.iter().position(|record| {
            matches!(record.change, Change::Ended(EndReason::Failed, _)) && !record.late
        });
        let noted = records.iter().any(|record| {
            matches!(record.change, Change::Acknowledged { lapsed: false, .. })
                && Some(record.life) == failed.map(|at| records[at].life)
        });
        let late = records
            .iter()
            .skip(failed.unwrap_or(usize::MAX))
            .any(|record| record.change == Change::Started && record.late);
        assert!(failed.is_some() && late, "delay {delay}: {records:?}");
        if noted {
            found.push(delay);
        }
    }
    assert_eq!(found, Vec::<u64>::new(), "starts after a noted last failure");
}

/// Guards against a task that waits for a start which was carried out: the list of the worker has shown its run or its end.
#[test]
fn lost_answer() {
    let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
    wait_for_renewal(&mut sim, "w0");
    late(&mut sim, CallKind::Start, 1, ms(10));
    sim.submit_lasting("batch", JOB, vec![step(1, 60_000)], Duration::from_secs(60));
    sim.run(ms(50));
    assert_eq!(sim.starts(task(JOB, 0, 0)), 1);
    sim.workers.get_mut("w0").expect("w0").capacity.processors_milli = 1;
    sim.register("w0", false);
    add_worker(&mut sim, "w1", Duration::from_secs(60));
    sim.run_until(ms(2500), "a start elsewhere", |sim| {
        sim.workers["w1"].running().any(|of| of == task(JOB, 0, 0))
    });
    assert_eq!(findings(&sim, "lost answer"), Vec::<String>::new());
}

/// Guards against a wait that protects nothing: a ticket is valid for one process of the worker, so no other one accepts the
/// start.
#[test]
fn approved_queue() {
    for queue in ["approved", "batch"] {
        let mut sim = fleet(&[4000], HIGH_CLOCK_MS, AGE);
        wait_for_renewal(&mut sim, "w0");
        late(&mut sim, CallKind::Start, 1, ms(9000));
        sim.submit_lasting(queue, JOB, vec![step(1, 60_000)], Duration::from_secs(60));
        sim.run(ms(100));
        assert_eq!(sim.late_calls[0].count, 0);
        add_worker(&mut sim, "w1", Duration::from_secs(60));
        restart(&mut sim, 300, 100);
        sim.run(ms(2500));
        let started = sim.starts(task(JOB, 0, 0)) == 1;
        assert_eq!(started, queue == "approved", "{queue}");
    }
}
