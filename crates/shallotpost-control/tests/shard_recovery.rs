//! Guards the takeover of a shard at every step of a placement.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Outcome, Specification, State};

const LIMIT: Duration = Duration::from_secs(40);

struct Jobs {
    batch: WorkId,
    once: WorkId,
    gang: WorkId,
    service: WorkId,
}

fn admit(harness: &mut SchedulerHarness) -> Jobs {
    let once = specification("once", Class::Batch, &["run", "150"]);
    Jobs {
        batch: harness.admit(specification("batch", Class::Batch, &["run", "150"])),
        once: harness.admit(Specification { idempotent: false, ..once }),
        gang: harness.admit(specification("gang", Class::Gang { parts: 2 }, &["run", "150"])),
        service: harness.admit(specification("svc", Class::Service { replicas: 2 }, &["serve"])),
    }
}

/// Runs until everything ended and checks that nothing is lost, doubled or started twice.
fn check(harness: &mut SchedulerHarness, jobs: &Jobs, case: &str) {
    harness.run_until(LIMIT, |harness| {
        let ended = [&jobs.batch, &jobs.once, &jobs.gang];
        ended.iter().all(|work| harness.outcome(work).is_some())
            && harness.running_workers(&jobs.service).len() == 2
    });
    let ending = |work| harness.outcome(work).unwrap().ending;
    assert_eq!(ending(&jobs.batch), Ending::Succeeded, "{case}");
    assert_eq!(ending(&jobs.gang), Ending::Succeeded, "{case}");
    let starts = harness.starts(&jobs.once);
    match ending(&jobs.once) {
        Ending::Succeeded => assert_eq!(starts, 1, "{case}"),
        Ending::Unknown => assert!(starts <= 1, "{case}"),
        other => panic!("{case}: {other}"),
    }
}

/// Guards against lost and doubled tasks when the owner dies, at each step of a placement.
#[test]
fn owner_dies() {
    for steps in 0..60 {
        for silent in [false, true] {
            let mut harness = SchedulerHarness::new(3);
            let first = harness.take_over(1);
            harness.run(30);
            let jobs = admit(&mut harness);
            (0..steps).for_each(|_| harness.step());
            harness.kill(first);
            harness.node("w0").alive = !silent;
            harness.take_over(2);
            check(&mut harness, &jobs, &format!("killed after {steps} steps, silent: {silent}"));
        }
    }
}

/// Guards against starts by an owner that was paused, lost its shard, and resumes.
#[test]
fn owner_pauses() {
    for steps in 0..40 {
        let mut harness = SchedulerHarness::new(3);
        let first = harness.take_over(1);
        harness.run(30);
        let jobs = admit(&mut harness);
        (0..steps).for_each(|_| harness.step());
        harness.set_running(first, false);
        harness.run(4000);
        harness.take_over(2);
        harness.run(100);
        harness.set_running(first, true);
        check(&mut harness, &jobs, &format!("paused after {steps} steps"));
        harness.run(2500);
        assert_eq!(harness.fenced, [2], "paused after {steps} steps");
    }
}

/// Guards against starts before the tasks of a silent worker have surely ended, and against an early `Unknown`.
#[test]
fn silent_worker() {
    let lapsed = Duration::from_millis(8660);
    for (idempotent, ending) in [(true, Ending::Succeeded), (false, Ending::Unknown)] {
        let mut harness = SchedulerHarness::new(1);
        let first = harness.take_over(1);
        let specification = specification("job", Class::Batch, &["run", "60000"]);
        let work = harness.admit(Specification { idempotent, ..specification });
        harness.run(500);
        harness.kill(first);
        harness.node("w0").alive = false;
        harness.add_worker("w9", 4);
        let begun = harness.now;
        harness.take_over(2);
        harness.run_until(LIMIT, |harness| match idempotent {
            true => harness.starts(&work) == 2,
            false => harness.outcome(&work).is_some(),
        });
        let waited = harness.now - begun;
        assert!(waited >= lapsed && waited < lapsed + Duration::from_secs(1), "{waited:?}");
        assert!(idempotent || harness.outcome(&work).unwrap().ending == ending);
    }
}

/// Guards against an end recorded by an owner that was paused and does not know yet that it lost the shard.
#[test]
fn end_by_an_earlier_owner() {
    let mut harness = SchedulerHarness::new(0);
    let first = harness.take_over(1);
    let work = harness.admit(specification("job", Class::Batch, &["run", "60000"]));
    harness.run(100);
    harness.set_running(first, false);
    harness.add_worker("w0", 4);
    let second = harness.add_standby();
    harness.acquire(second, 2);
    harness.run(500);
    harness.set_running(first, true);
    harness.ask(first, ClientRequest::Cancel(work.clone()));
    harness.run(500);
    assert_eq!(harness.record(&work).unwrap().state, State::Admitted);
    assert_eq!(
        (harness.running_workers(&work).len(), harness.fenced.as_slice()),
        (1, [2].as_slice())
    );
    harness.kill(second);
    let reads = harness.table.reads;
    harness.run(6000);
    assert_eq!(harness.table.reads, reads, "a fenced owner does nothing");
    harness.deliver(first, Message::ShardLost { shard: shard() });
    assert_eq!(harness.answers.pop().unwrap().unwrap_err().kind, ProblemKind::Unknown);
}

/// Guards against idle waiting after a takeover in which every worker answers.
#[test]
fn quick_takeover() {
    let mut harness = SchedulerHarness::new(3);
    let owner = harness.add_standby();
    for index in 0..8 {
        let name = format!("job{index}");
        harness.write_record(specification(&name, Class::Batch, &["run", "1000"]), State::Admitted);
    }
    harness.acquire(owner, 2);
    harness.run(150);
    assert_eq!(harness.start_calls, 8);
}

/// Guards against takeovers that lose running tasks while the table is slow: leases must be renewed before the records
/// are read.
#[test]
fn table_down_at_takeover() {
    let mut harness = SchedulerHarness::new(1);
    let first = harness.take_over(1);
    let work = harness.admit(specification("job", Class::Batch, &["run", "20000"]));
    harness.run(500);
    harness.kill(first);
    harness.table_up = false;
    harness.take_over(2);
    harness.run(15_000);
    harness.table_up = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 1);
}

/// Guards against snapshots that are forgotten because they came before the records were read.
#[test]
fn records_after_claims() {
    let settings = Settings { sync_wait: Duration::from_secs(7), ..Settings::new("host", "dc") };
    let mut harness = SchedulerHarness::with_settings(1, settings);
    let owner = harness.add_standby();
    let work =
        harness.write_record(specification("job", Class::Batch, &["run", "10"]), State::Admitted);
    harness.table_up = false;
    harness.acquire(owner, 2);
    harness.table_up = true;
    harness.run_until(Duration::from_secs(3), |harness| harness.outcome(&work).is_some());
}

/// Guards against a second start while a worker that left the list shortly before the takeover runs the task, whether
/// the new owner saw it leave or started later.
#[test]
fn vanished_worker() {
    for standby in [false, true] {
        let mut harness = SchedulerHarness::new(1);
        let first = harness.take_over(1);
        let mut second = harness.add_standby();
        let work = harness.admit(specification("job", Class::Batch, &["run", "60000"]));
        harness.run(500);
        harness.add_worker("w9", 4);
        harness.node("w0").listed = false;
        harness.publish();
        if !standby {
            second = harness.add_owner();
        }
        harness.kill(first);
        harness.acquire(second, 2);
        harness.run_until(LIMIT, |harness| harness.starts(&work) == 2);
    }
}

/// Guards against a gang of which only some parts run, and against tasks on a worker whose parts are not booked yet.
#[test]
fn half_started_gang() {
    for (silent, cores) in [(false, 1), (true, 3)] {
        let mut harness = SchedulerHarness::new(3);
        harness.node("w2").alive = !silent;
        let sized = |specification| Specification { size: size(cores), ..specification };
        let gang = sized(specification("gang", Class::Gang { parts: 2 }, &["run", "1000"]));
        let work = harness.write_record(gang.clone(), State::Admitted);
        harness.start_directly("w1", 0, &gang);
        harness.take_over(2);
        for name in ["first", "second"] {
            harness.admit(sized(specification(name, Class::Batch, &["run", "12000"])));
        }
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded);
        assert_eq!(harness.starts(&work), 3, "the part that ran alone is started again");
    }
}

/// Guards against workers that get no tasks because a part of the gang on them has ended before the takeover.
#[test]
fn half_ended_gang() {
    let mut harness = SchedulerHarness::new(2);
    let command = |milliseconds: &'static str| {
        specification("gang", Class::Gang { parts: 2 }, &["run", milliseconds])
    };
    let work = harness.write_record(command("3000"), State::Admitted);
    harness.start_directly("w0", 0, &command("3000"));
    harness.start_directly("w1", 1, &command("10"));
    harness.run(100);
    harness.take_over(2);
    let job = |n: usize| specification(&format!("job{n}"), Class::Batch, &["run", "9000"]);
    let jobs: Vec<WorkId> = (0..7).map(|n| harness.admit(job(n))).collect();
    harness.run(500);
    assert!(jobs.iter().all(|job| harness.starts(job) == 1), "seven of eight cores are free");
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(
        (harness.outcome(&work).unwrap().ending, harness.starts(&work)),
        (Ending::Succeeded, 2)
    );
}

/// Guards against tasks that run on although their work ended or is not known.
#[test]
fn stray_tasks() {
    for ended in [false, true] {
        let mut harness = SchedulerHarness::new(1);
        let job = specification("job", Class::Batch, &["run", "60000"]);
        harness.start_directly("w0", 0, &job);
        if ended {
            let (ending, detail) = (Ending::Cancelled, String::new());
            let outcome = Outcome { ending, detail, not_run: false, results: Vec::new() };
            harness.write_record(job.clone(), State::Ended(outcome));
        }
        harness.take_over(2);
        harness.run(500);
        assert!(harness.running_workers(&job.work_id()).is_empty());
    }
}

/// Guards against a release that leaves starts under way or loses tasks.
#[test]
fn release() {
    for steps in 0..30 {
        let mut harness = SchedulerHarness::new(3);
        let first = harness.take_over(1);
        harness.run(30);
        let jobs = admit(&mut harness);
        (0..steps).for_each(|_| harness.step());
        ["w0", "w1"]
            .iter()
            .for_each(|worker| harness.fault(worker, CallKind::Start, Fault::SlowAnswer, 2));
        harness.step();
        harness.deliver(first, Message::Stop);
        harness.deliver(first, Message::ReleaseShard { shard: shard() });
        let calls = harness.start_calls;
        harness.run_until(Duration::from_secs(3), |harness| harness.released == 1);
        assert_eq!(harness.start_calls, calls, "no start after the request");
        assert_eq!(harness.drained, 1);
        harness.take_over(2);
        check(&mut harness, &jobs, &format!("released after {steps} steps"));
        assert!(harness.fenced.is_empty());
    }
}

/// Guards against work that is known to the table only: a lost notification may only delay it.
#[test]
fn lost_notification() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.run(200);
    let work =
        harness.write_record(specification("job", Class::Batch, &["run", "10"]), State::Admitted);
    harness.run_until(Duration::from_secs(6), |harness| harness.outcome(&work).is_some());
    assert!(harness.table.reads < 10, "{} reads", harness.table.reads);
}

/// Guards against acting on answers that belong to an earlier epoch of the same shard.
#[test]
fn lost_and_acquired_again() {
    let mut harness = SchedulerHarness::new(1);
    let owner = harness.take_over(1);
    let work = harness.admit(specification("job", Class::Batch, &["run", "3000"]));
    harness.run(500);
    harness.deliver(owner, Message::ShardLost { shard: shard() });
    let calls = harness.calls;
    harness.run(300);
    assert_eq!(harness.calls, calls, "no call for a lost shard");
    harness.acquire(owner, 3);
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    assert_eq!(harness.starts(&work), 1);
}
