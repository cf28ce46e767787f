//! Takeover of a shard at every step of its work.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;

use scheduling::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Outcome, Specification, State};

const LIMIT: Duration = Duration::from_secs(40);

struct Jobs {
    batch: WorkId,
    once: WorkId,
    gang: WorkId,
    service: WorkId,
}

fn admit(world: &mut World) -> Jobs {
    let once = specification("once", Class::Batch, &["run", "150"]);
    Jobs {
        batch: world.admit(specification("batch", Class::Batch, &["run", "150"])),
        once: world.admit(Specification { idempotent: false, ..once }),
        gang: world.admit(specification("gang", Class::Gang { parts: 2 }, &["run", "150"])),
        service: world.admit(specification("svc", Class::Service { replicas: 2 }, &["serve"])),
    }
}

/// Runs until everything ended and checks that nothing is lost, doubled or started twice.
fn check(world: &mut World, jobs: &Jobs, case: &str) {
    world.run_until(LIMIT, |world| {
        let ended = [&jobs.batch, &jobs.once, &jobs.gang];
        ended.iter().all(|work| world.outcome(work).is_some())
            && world.runners(&jobs.service).len() == 2
    });
    let ending = |work| world.outcome(work).unwrap().ending;
    assert_eq!(ending(&jobs.batch), Ending::Succeeded, "{case}");
    assert_eq!(ending(&jobs.gang), Ending::Succeeded, "{case}");
    let starts = world.starts(&jobs.once);
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
            let mut world = World::new(3);
            let first = world.take_over(1);
            world.run(30);
            let jobs = admit(&mut world);
            (0..steps).for_each(|_| world.step());
            world.kill(first);
            world.node("w0").alive = !silent;
            world.take_over(2);
            check(&mut world, &jobs, &format!("killed after {steps} steps, silent: {silent}"));
        }
    }
}

/// Guards against starts by an owner that was paused, lost its shard, and goes on where it stopped.
#[test]
fn owner_pauses() {
    for steps in 0..40 {
        let mut world = World::new(3);
        let first = world.take_over(1);
        world.run(30);
        let jobs = admit(&mut world);
        (0..steps).for_each(|_| world.step());
        world.set_running(first, false);
        world.run(4000);
        world.take_over(2);
        world.run(100);
        world.set_running(first, true);
        check(&mut world, &jobs, &format!("paused after {steps} steps"));
        world.run(2500);
        assert_eq!(world.fenced, [2], "paused after {steps} steps");
    }
}

/// Guards against starts before the tasks of a silent worker have surely ended, and against an early `Unknown`.
#[test]
fn silent_worker() {
    let lapsed = Duration::from_millis(8660);
    for (idempotent, ending) in [(true, Ending::Succeeded), (false, Ending::Unknown)] {
        let mut world = World::new(1);
        let first = world.take_over(1);
        let specification = specification("job", Class::Batch, &["run", "60000"]);
        let work = world.admit(Specification { idempotent, ..specification });
        world.run(500);
        world.kill(first);
        world.node("w0").alive = false;
        world.add_worker("w9", 4);
        let begun = world.now;
        world.take_over(2);
        world.run_until(LIMIT, |world| match idempotent {
            true => world.starts(&work) == 2,
            false => world.outcome(&work).is_some(),
        });
        let waited = world.now - begun;
        assert!(waited >= lapsed && waited < lapsed + Duration::from_secs(1), "{waited:?}");
        assert!(idempotent || world.outcome(&work).unwrap().ending == ending);
    }
}

/// Guards against an end recorded by an owner that was paused and does not know yet that it lost the shard.
#[test]
fn end_by_an_earlier_owner() {
    let mut world = World::new(0);
    let first = world.take_over(1);
    let work = world.admit(specification("job", Class::Batch, &["run", "60000"]));
    world.run(100);
    world.set_running(first, false);
    world.add_worker("w0", 4);
    let second = world.add_standby();
    world.acquire(second, 2);
    world.run(500);
    world.set_running(first, true);
    world.ask(first, Ask::Cancel(work.clone()));
    world.run(500);
    assert_eq!(world.record(&work).unwrap().state, State::Admitted);
    assert_eq!((world.runners(&work).len(), world.fenced.as_slice()), (1, [2].as_slice()));
    world.kill(second);
    let reads = world.table.reads;
    world.run(6000);
    assert_eq!(world.table.reads, reads, "a fenced owner does nothing");
    world.deliver(first, Message::ShardLost { shard: shard() });
    assert_eq!(world.answers.pop().unwrap().unwrap_err().kind, ProblemKind::Unknown);
}

/// Guards against idle waiting after a takeover in which every worker answers.
#[test]
fn quick_takeover() {
    let mut world = World::new(3);
    let owner = world.add_standby();
    for index in 0..8 {
        let name = format!("job{index}");
        world.write_record(specification(&name, Class::Batch, &["run", "1000"]), State::Admitted);
    }
    world.acquire(owner, 2);
    world.run(150);
    assert_eq!(world.start_calls, 8);
}

/// Guards against takeovers that lose running tasks while the table is slow: leases must be renewed before the records
/// are read.
#[test]
fn table_down_at_takeover() {
    let mut world = World::new(1);
    let first = world.take_over(1);
    let work = world.admit(specification("job", Class::Batch, &["run", "20000"]));
    world.run(500);
    world.kill(first);
    world.table_up = false;
    world.take_over(2);
    world.run(15_000);
    world.table_up = true;
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.starts(&work), 1);
}

/// Guards against snapshots that are forgotten because they came before the records were read.
#[test]
fn records_after_claims() {
    let settings = Settings { sync_wait: Duration::from_secs(7), ..Settings::new("host", "dc") };
    let mut world = World::with(1, settings);
    let owner = world.add_standby();
    let work =
        world.write_record(specification("job", Class::Batch, &["run", "10"]), State::Admitted);
    world.table_up = false;
    world.acquire(owner, 2);
    world.table_up = true;
    world.run_until(Duration::from_secs(3), |world| world.outcome(&work).is_some());
}

/// Guards against a second start while a worker that left the list shortly before the takeover runs the task, whether
/// the new owner saw it leave or started later.
#[test]
fn vanished_worker() {
    for standby in [false, true] {
        let mut world = World::new(1);
        let first = world.take_over(1);
        let mut second = world.add_standby();
        let work = world.admit(specification("job", Class::Batch, &["run", "60000"]));
        world.run(500);
        world.add_worker("w9", 4);
        world.node("w0").listed = false;
        world.publish();
        if !standby {
            second = world.add_owner();
        }
        world.kill(first);
        world.acquire(second, 2);
        world.run_until(LIMIT, |world| world.starts(&work) == 2);
    }
}

/// Guards against a gang of which only some parts run, and against tasks on a worker whose parts are not booked yet.
#[test]
fn half_started_gang() {
    for (silent, cores) in [(false, 1), (true, 3)] {
        let mut world = World::new(3);
        world.node("w2").alive = !silent;
        let sized = |specification| Specification { size: size(cores), ..specification };
        let gang = sized(specification("gang", Class::Gang { parts: 2 }, &["run", "1000"]));
        let work = world.write_record(gang.clone(), State::Admitted);
        world.start_directly("w1", 0, &gang);
        world.take_over(2);
        for name in ["first", "second"] {
            world.admit(sized(specification(name, Class::Batch, &["run", "12000"])));
        }
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        assert_eq!(world.outcome(&work).unwrap().ending, Ending::Succeeded);
        assert_eq!(world.starts(&work), 3, "the part that ran alone is started again");
    }
}

/// Guards against workers that get no tasks because a part of the gang on them has ended before the takeover.
#[test]
fn half_ended_gang() {
    let mut world = World::new(2);
    let command = |milliseconds: &'static str| {
        specification("gang", Class::Gang { parts: 2 }, &["run", milliseconds])
    };
    let work = world.write_record(command("3000"), State::Admitted);
    world.start_directly("w0", 0, &command("3000"));
    world.start_directly("w1", 1, &command("10"));
    world.run(100);
    world.take_over(2);
    let job = |n: usize| specification(&format!("job{n}"), Class::Batch, &["run", "9000"]);
    let jobs: Vec<WorkId> = (0..7).map(|n| world.admit(job(n))).collect();
    world.run(500);
    assert!(jobs.iter().all(|job| world.starts(job) == 1), "seven of eight cores are free");
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!((world.outcome(&work).unwrap().ending, world.starts(&work)), (Ending::Succeeded, 2));
}

/// Guards against tasks that run on although their work ended or is not known.
#[test]
fn stray_tasks() {
    for ended in [false, true] {
        let mut world = World::new(1);
        let job = specification("job", Class::Batch, &["run", "60000"]);
        world.start_directly("w0", 0, &job);
        if ended {
            let (ending, detail) = (Ending::Cancelled, String::new());
            let outcome = Outcome { ending, detail, not_run: false, results: Vec::new() };
            world.write_record(job.clone(), State::Ended(outcome));
        }
        world.take_over(2);
        world.run(500);
        assert!(world.runners(&job.work_id()).is_empty());
    }
}

/// Guards against a release that leaves starts under way or loses tasks.
#[test]
fn release() {
    for steps in 0..30 {
        let mut world = World::new(3);
        let first = world.take_over(1);
        world.run(30);
        let jobs = admit(&mut world);
        (0..steps).for_each(|_| world.step());
        ["w0", "w1"].iter().for_each(|worker| world.fault(worker, Kind::Start, Fault::Slow, 2));
        world.step();
        world.deliver(first, Message::Stop);
        world.deliver(first, Message::ReleaseShard { shard: shard() });
        let calls = world.start_calls;
        world.run_until(Duration::from_secs(3), |world| world.released == 1);
        assert_eq!(world.start_calls, calls, "no start after the request");
        assert_eq!(world.drained, 1);
        world.take_over(2);
        check(&mut world, &jobs, &format!("released after {steps} steps"));
        assert!(world.fenced.is_empty());
    }
}

/// Guards against work that is known to the table only: a lost notification may only delay it.
#[test]
fn lost_notification() {
    let mut world = World::new(1);
    world.take_over(1);
    world.run(200);
    let work =
        world.write_record(specification("job", Class::Batch, &["run", "10"]), State::Admitted);
    world.run_until(Duration::from_secs(6), |world| world.outcome(&work).is_some());
    assert!(world.table.reads < 10, "{} reads", world.table.reads);
}

/// Guards against acting on answers that belong to an earlier epoch of the same shard.
#[test]
fn lost_and_acquired_again() {
    let mut world = World::new(1);
    let owner = world.take_over(1);
    let work = world.admit(specification("job", Class::Batch, &["run", "3000"]));
    world.run(500);
    world.deliver(owner, Message::ShardLost { shard: shard() });
    let calls = world.calls;
    world.run(300);
    assert_eq!(world.calls, calls, "no call for a lost shard");
    world.acquire(owner, 3);
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    assert_eq!(world.starts(&work), 1);
}
