//! Conditions that are checked immediately before each start, cancellation, and grants.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;

use std::rc::Rc;

use scheduling::*;
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_control::settings::Fencing;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification, State};

const LIMIT: Duration = Duration::from_secs(20);

/// Puts a barrier up (true) or takes it away.
type Barrier = fn(&mut World, bool);

fn barriers() -> [(&'static str, Fencing, Barrier); 4] {
    [
        ("configuration", Fencing::Epoch, |world, up| {
            world.fresh = !up;
            world.expire_leases(up);
        }),
        ("data centre", Fencing::Epoch, |world, up| {
            let availability = if up { Availability::Drained } else { Availability::Active };
            world.set_availability("dc", availability);
        }),
        ("team", Fencing::Epoch, |world, up| {
            world.set_team((!up).then_some(Size::from_parts([u64::MAX; 4])));
        }),
        ("ownership lease", Fencing::None, |world, up| {
            world.lease = !up;
            world.expire_leases(up);
        }),
    ]
}

fn with_fencing(fencing: Fencing) -> World {
    World::with(1, Settings { fencing, ..Settings::new("host", "dc") })
}

/// Guards against starts that are planned although the owner may not start anything.
#[test]
fn no_start_behind_a_barrier() {
    for (name, fencing, barrier) in barriers() {
        let mut world = with_fencing(fencing);
        let owner = world.take_over(1);
        world.run(100);
        barrier(&mut world, true);
        let work = world.admit(specification("job", Class::Batch, &["run", "100"]));
        world.run(1000);
        assert_eq!(
            (world.start_calls, world.phase(owner, &work)),
            (0, Some(Phase::Waiting)),
            "{name}"
        );
        barrier(&mut world, false);
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    }
}

/// Guards against starts that were planned and recorded before the barrier came up: the check must be repeated between
/// the durable intent and the start, and the intent must be withdrawn.
#[test]
fn no_start_after_the_intent() {
    for (name, fencing, barrier) in barriers() {
        let mut world = with_fencing(fencing);
        world.take_over(1);
        world.run(100);
        let specification = specification("job", Class::Batch, &["run", "100"]);
        let work = world.admit(Specification { idempotent: false, ..specification });
        world.run_until(LIMIT, |world| world.open_writes() > 0);
        barrier(&mut world, true);
        world.run(1000);
        assert_eq!(world.start_calls, 0, "{name}");
        assert_eq!(world.record(&work).unwrap().state, State::Admitted, "{name}");
        barrier(&mut world, false);
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        assert_eq!(world.outcome(&work).unwrap().ending, Ending::Succeeded, "{name}");
        assert_eq!(world.starts(&work), 1, "{name}");
    }
}

/// Guards against idempotent starts that wait for a free connection while the data centre is drained.
#[test]
fn no_start_from_the_order_queue() {
    for (name, fencing, barrier) in barriers() {
        let mut world = with_fencing(fencing);
        world.take_over(1);
        world.run(100);
        world.fault("w0", Kind::Start, Fault::LostAnswer, 4);
        let class = Class::Service { replicas: 6 };
        let size = Size { processors_milli: 1, ..size(0) };
        world.admit(Specification { size, ..specification("svc", class, &["serve"]) });
        world.run_until(LIMIT, |world| world.start_calls == 4);
        barrier(&mut world, true);
        world.run(5000);
        assert_eq!(world.start_calls, 4, "{name}");
    }
}

/// Guards against an owner that claims a worker although another host may own the shard and count the worker as empty.
#[test]
fn claims_need_the_ownership_lease() {
    let mut world = with_fencing(Fencing::Epoch);
    world.take_over(1);
    world.run(100);
    world.lease = false;
    world.expire_leases(true);
    world.node("w0").worker.restart();
    let work = world.admit(specification("job", Class::Batch, &["run", "100"]));
    world.run(2000);
    assert_eq!(world.starts(&work), 0);
    world.lease = true;
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
}

/// Guards against an owner that stops during an outage of the table although its workers fence older owners.
#[test]
fn fencing_outlives_the_ownership_lease() {
    let mut world = with_fencing(Fencing::Epoch);
    world.take_over(1);
    world.run(100);
    world.lease = false;
    world.expire_leases(true);
    let work = world.admit(specification("job", Class::Batch, &["run", "100"]));
    world.run(500);
    assert_eq!(world.starts(&work), 1);
}

/// Guards against starts after the deadline and against a wrong `not_run`.
#[test]
fn deadlines() {
    // Deadline, time at which the only worker appears, command, ending, starts.
    let cases = [
        (500, 1000, "run", Ending::Expired, 0),
        (1500, 1000, "run", Ending::Succeeded, 1),
        // Started in time, failed, and not started again.
        (500, 0, "fail", Ending::Expired, 1),
    ];
    for (deadline, appears, command, ending, starts) in cases {
        let mut world = World::new(0);
        world.take_over(1);
        let specification = specification("job", Class::Batch, &[command, "1000"]);
        let deadline_unix_ms = Some(deadline);
        let work = world.admit(Specification { deadline_unix_ms, ..specification });
        world.run(appears);
        world.add_worker("w0", 4);
        world.publish();
        world.run_until(LIMIT, |world| world.outcome(&work).is_some());
        let outcome = world.outcome(&work).unwrap();
        assert_eq!((outcome.ending, outcome.not_run), (ending, starts == 0));
        assert_eq!(world.starts(&work), starts);
    }
}

/// Guards against work that outlives its deadline in the queue after its worker was lost.
#[test]
fn deadline_after_a_loss() {
    let mut world = World::new(1);
    world.take_over(1);
    let specification = specification("job", Class::Batch, &["run", "60000"]);
    let work = world.admit(Specification { deadline_unix_ms: Some(500), ..specification });
    world.run(1000);
    world.node("w0").alive = false;
    world.run_until(LIMIT, |world| world.outcome(&work).is_some());
    let outcome = world.outcome(&work).unwrap();
    assert_eq!((outcome.ending, outcome.not_run), (Ending::Expired, false));
}

/// Guards against a cancellation that is lost, leaves a task running, or claims that a started task was not run.
#[test]
fn cancel_in_each_phase() {
    let classes = [(Class::Batch, true), (Class::Batch, false), (Class::Gang { parts: 2 }, true)];
    for (class, idempotent) in classes {
        for steps in 0..40 {
            let mut world = World::new(2);
            let owner = world.take_over(1);
            world.run(50);
            let specification = specification("job", class, &["run", "200"]);
            let work = world.admit(Specification { idempotent, ..specification });
            world.run_until(LIMIT, |world| world.record(&work).is_some());
            (0..steps + 2).for_each(|_| world.step());
            world.ask(owner, Ask::Cancel(work.clone()));
            let case = format!("{class:?} cancelled after {steps} steps");
            world.run_until(LIMIT, |world| world.outcome(&work).is_some());
            world.run(50);
            let outcome = world.outcome(&work).unwrap();
            assert_eq!(world.answers.len(), 1, "{case}: {:?}", world.answers);
            assert!(world.answers[0].is_ok(), "{case}");
            assert!(world.runners(&work).is_empty(), "{case}");
            assert!(!outcome.not_run || world.starts(&work) == 0, "{case}");
            let expected = matches!(outcome.ending, Ending::Cancelled | Ending::Succeeded);
            assert!(expected, "{case}: {outcome:?}");
            assert!(steps > 15 || outcome.ending == Ending::Cancelled, "{case}: {outcome:?}");
            let starts = world.starts(&work);
            world.run(500);
            assert_eq!(world.starts(&work), starts, "{case}: no start after the end");
        }
    }
}

/// Guards against capacity that is freed before the worker confirmed the stop.
#[test]
fn cancelled_task_holds_its_capacity() {
    let mut world = World::new(1);
    let owner = world.take_over(1);
    let large = |name: &str| Specification {
        size: size(4),
        ..specification(name, Class::Batch, &["run", "9000"])
    };
    let first = world.admit(large("first"));
    let second = world.admit(large("second"));
    world.run(500);
    world.fault("w0", Kind::Stop, Fault::LostRequest, 1);
    world.ask(owner, Ask::Cancel(first.clone()));
    world.run(1500);
    assert_eq!((world.runners(&first).len(), world.starts(&second)), (1, 0));
    world.run_until(LIMIT, |world| world.starts(&second) == 1);
}

/// Guards against a wave of cancellations that costs more than one write for each piece of work.
#[test]
fn cancel_wave() {
    let mut world = World::new(1);
    let owner = world.take_over(1);
    let size = size(4);
    let job =
        |name: &str| Specification { size, ..specification(name, Class::Batch, &["run", "60000"]) };
    let works: Vec<WorkId> = (0..2000).map(|n| world.admit(job(&format!("job{n}")))).collect();
    world.run(2000);
    let before = (world.writes, world.calls);
    works[1..].iter().for_each(|work| world.ask(owner, Ask::Cancel(work.clone())));
    world.run(1000);
    assert_eq!(world.writes - before.0, 1999);
    assert!(world.calls - before.1 < 5);
    assert!(works[1..].iter().all(|work| world.outcome(work).is_some_and(|end| end.not_run)));
    assert_eq!(world.answers.len(), 1999);
}

/// Guards against running more than the cap allows, by a grant that is raised beyond it or lowered too late.
#[test]
fn grants() {
    let cap = |cores: u64| Size { slots: 100, memory_mib: 1 << 20, ..size(cores) };
    let mut world = World::new(2);
    world.set_availability("dc", Availability::Active);
    world.set_availability("other", Availability::Active);
    world.set_team(Some(cap(3)));
    world.set_cap_row(cap(3), &[("other/0", size(1))]);
    world.take_over(1);
    // The raise of the grant fails at first.
    world.write_faults = vec![WriteFailure::Conflict(Vec::new()); 2];
    let jobs: Vec<WorkId> = (0..4)
        .map(|n| world.admit(specification(&format!("job{n}"), Class::Batch, &["run", "30000"])))
        .collect();
    let running = |world: &World| jobs.iter().map(|work| world.runners(work).len()).sum::<usize>();
    world.run_until(LIMIT, |world| {
        assert!(world.granted("dc/0").is_some() || running(world) == 0, "not granted yet");
        world.write_faults.is_empty()
    });
    world.run(4000);
    assert_eq!(running(&world), 2, "one core of the cap is granted to the other shard");
    assert_eq!(world.granted("dc/0"), Some(2000));
    world.set_cap_row(cap(3), &[("dc/0", cap(2))]);
    world.run(4000);
    assert_eq!(running(&world), 3, "the other shard returned its grant");
    world.set_cap_row(cap(1), &[("dc/0", cap(3))]);
    world.run(4000);
    assert_eq!(running(&world), 1, "the cap was lowered");
    assert_eq!(world.granted("dc/0"), Some(1000));
    let row = world.table.row("caps/red").unwrap();
    assert!(row.value.contains("unmet"), "fields of other writers are kept: {}", row.value);
}

/// Guards against a new owner that uses the grant of a team before it knows what silent workers run of it.
#[test]
fn grant_beside_unknown_tasks() {
    let cap = Size { processors_milli: 2000, ..Size::from_parts([u64::MAX; 4]) };
    let mut world = World::new(2);
    world.set_availability("dc", Availability::Active);
    world.set_availability("other", Availability::Active);
    world.set_team(Some(cap));
    world.set_cap_row(cap, &[("dc/0", cap)]);
    let owner = world.add_standby();
    let job = |name: &str| specification(name, Class::Batch, &["run", "60000"]);
    let old = [job("old0"), job("old1")];
    old.iter().for_each(|job| drop(world.write_record(job.clone(), State::Admitted)));
    old.iter().for_each(|job| world.start_directly("w0", 0, job));
    world.node("w0").alive = false;
    world.acquire(owner, 2);
    world.run(1000);
    let new = world.admit(job("new"));
    world.run(5000);
    assert_eq!(world.starts(&new), 0, "the old tasks use the cap until their lease has lapsed");
    world.run_until(LIMIT, |world| world.starts(&new) == 1);
}

/// Guards against work that waits for the next regular read of the cap rows.
#[test]
fn first_grant() {
    // The other data centre is known from its configuration or from its entry host.
    for configured in [true, false] {
        let mut world = World::new(1);
        let unlimited = Size::from_parts([u64::MAX; 4]);
        world.set_team(Some(Size { processors_milli: 3000, ..unlimited }));
        let owner = world.take_over(1);
        match configured {
            true => world.set_availability("other", Availability::Active),
            false => {
                let peers = vec![remote_peer()];
                world.deliver(owner, Message::PeerList(Rc::new(PeerList { peers })));
            }
        }
        world.run(1500);
        let work = world.admit(specification("job", Class::Batch, &["run", "100"]));
        world.run(250);
        // One task, and as much again as headroom.
        assert_eq!((world.starts(&work), world.granted("dc/0")), (1, Some(2000)));
    }
}

fn remote_peer() -> Peer {
    Peer {
        host: "remote".into(),
        data_centre: "other".into(),
        peer_address: String::new(),
        incarnation: 1,
        last_pong: None,
        row_changed_at: None,
        applied_revision: 1,
        draining: false,
    }
}

/// Guards against a cap that is ignored where the shard is the only one.
#[test]
fn cap_of_the_only_shard() {
    let mut world = World::new(2);
    world.set_team(Some(Size { slots: 100, memory_mib: 1 << 20, ..size(2) }));
    world.take_over(1);
    let service = world.admit(specification("svc", Class::Service { replicas: 4 }, &["serve"]));
    world.run(1000);
    assert_eq!(world.runners(&service).len(), 2);
    world.set_team(Some(Size { slots: 100, memory_mib: 1 << 20, ..size(1) }));
    world.run(1000);
    assert_eq!(world.runners(&service).len(), 1);
}

/// Guards against a drained data centre that kills its running work, and against work that stays stopped afterwards.
#[test]
fn drained_data_centre() {
    // Whether the policy stops running tasks, and whether their starts are still open.
    for (stop, open) in [(false, false), (true, false), (true, true)] {
        let mut world = World::new(1);
        world.set_policy_on_cut(stop);
        world.take_over(1);
        world.run(500);
        if open {
            world.fault("w0", Kind::Start, Fault::Slow, 2);
            world.fault("w0", Kind::Sync, Fault::Slow, 20);
            world.run(1000);
        }
        let service = world.admit(specification("svc", Class::Service { replicas: 1 }, &["serve"]));
        let batch = world.admit(specification("job", Class::Batch, &["run", "3000"]));
        world.run(if open { 50 } else { 500 });
        world.set_availability("dc", Availability::Drained);
        world.run(1000);
        let expected = usize::from(!stop);
        assert_eq!(world.runners(&service).len(), expected);
        assert_eq!(world.runners(&batch).len(), expected);
        world.set_availability("dc", Availability::Active);
        world.run_until(LIMIT, |world| world.outcome(&batch).is_some());
        assert_eq!(world.outcome(&batch).unwrap().ending, Ending::Succeeded);
        assert_eq!(world.runners(&service).len(), 1);
    }
}
