//! Guards the conditions checked immediately before each start, cancellation, and grants.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use std::rc::Rc;

use scheduler_harness::*;
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_control::settings::Fencing;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Phase, Specification, State};

const LIMIT: Duration = Duration::from_secs(20);

/// Raises (true) or removes (false) a condition that forbids starts.
type Barrier = fn(&mut SchedulerHarness, bool);

fn barriers() -> [(&'static str, Fencing, Barrier); 4] {
    [
        ("configuration", Fencing::Epoch, |harness, up| {
            harness.renews_configuration_lease = !up;
            harness.expire_leases(up);
        }),
        ("data centre", Fencing::Epoch, |harness, up| {
            let availability = if up { Availability::Drained } else { Availability::Active };
            harness.set_availability("dc", availability);
        }),
        ("team", Fencing::Epoch, |harness, up| {
            harness.set_team((!up).then_some(Size::from_parts([u64::MAX; 4])));
        }),
        ("ownership lease", Fencing::None, |harness, up| {
            harness.renews_ownership_lease = !up;
            harness.expire_leases(up);
        }),
    ]
}

fn with_fencing(fencing: Fencing) -> SchedulerHarness {
    SchedulerHarness::with_settings(1, Settings { fencing, ..Settings::new("host", "dc") })
}

/// Guards against starts that are planned although the owner may not start anything.
#[test]
fn no_start_while_forbidden() {
    for (name, fencing, barrier) in barriers() {
        let mut harness = with_fencing(fencing);
        let owner = harness.take_over(1);
        harness.run(100);
        barrier(&mut harness, true);
        let work = harness.admit(specification("job", Class::Batch, &["run", "100"]));
        harness.run(1000);
        assert_eq!(
            (harness.start_calls, harness.phase(owner, &work)),
            (0, Some(Phase::Waiting)),
            "{name}"
        );
        barrier(&mut harness, false);
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    }
}

/// Guards against starts that were planned and recorded before the barrier came up: the check must be repeated between
/// the durable intent and the start, and the intent must be withdrawn.
#[test]
fn no_start_after_the_intent() {
    for (name, fencing, barrier) in barriers() {
        let mut harness = with_fencing(fencing);
        harness.take_over(1);
        harness.run(100);
        let specification = specification("job", Class::Batch, &["run", "100"]);
        let work = harness.admit(Specification { idempotent: false, ..specification });
        harness.run_until(LIMIT, |harness| harness.open_writes() > 0);
        barrier(&mut harness, true);
        harness.run(1000);
        assert_eq!(harness.start_calls, 0, "{name}");
        assert_eq!(harness.record(&work).unwrap().state, State::Admitted, "{name}");
        barrier(&mut harness, false);
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        assert_eq!(harness.outcome(&work).unwrap().ending, Ending::Succeeded, "{name}");
        assert_eq!(harness.starts(&work), 1, "{name}");
    }
}

/// Guards against idempotent starts that wait for a free connection while the data centre is drained.
#[test]
fn no_start_from_the_order_queue() {
    for (name, fencing, barrier) in barriers() {
        let mut harness = with_fencing(fencing);
        harness.take_over(1);
        harness.run(100);
        harness.fault("w0", CallKind::Start, Fault::LostAnswer, 4);
        let class = Class::Service { replicas: 6 };
        let size = Size { processors_milli: 1, ..size(0) };
        harness.admit(Specification { size, ..specification("svc", class, &["serve"]) });
        harness.run_until(LIMIT, |harness| harness.start_calls == 4);
        barrier(&mut harness, true);
        harness.run(5000);
        assert_eq!(harness.start_calls, 4, "{name}");
    }
}

/// Guards against an owner that claims a worker although another host may own the shard and count the worker as empty.
#[test]
fn claims_need_the_ownership_lease() {
    let mut harness = with_fencing(Fencing::Epoch);
    harness.take_over(1);
    harness.run(100);
    harness.renews_ownership_lease = false;
    harness.expire_leases(true);
    harness.node("w0").worker.restart();
    let work = harness.admit(specification("job", Class::Batch, &["run", "100"]));
    harness.run(2000);
    assert_eq!(harness.starts(&work), 0);
    harness.renews_ownership_lease = true;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
}

/// Guards against an owner that stops during an outage of the table although its workers fence older owners.
#[test]
fn fencing_outlives_the_ownership_lease() {
    let mut harness = with_fencing(Fencing::Epoch);
    harness.take_over(1);
    harness.run(100);
    harness.renews_ownership_lease = false;
    harness.expire_leases(true);
    let work = harness.admit(specification("job", Class::Batch, &["run", "100"]));
    harness.run(500);
    assert_eq!(harness.starts(&work), 1);
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
        let mut harness = SchedulerHarness::new(0);
        harness.take_over(1);
        let specification = specification("job", Class::Batch, &[command, "1000"]);
        let deadline_unix_ms = Some(deadline);
        let work = harness.admit(Specification { deadline_unix_ms, ..specification });
        harness.run(appears);
        harness.add_worker("w0", 4);
        harness.publish();
        harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
        let outcome = harness.outcome(&work).unwrap();
        assert_eq!((outcome.ending, outcome.not_run), (ending, starts == 0));
        assert_eq!(harness.starts(&work), starts);
    }
}

/// Guards against work that outlives its deadline in the queue after its worker was lost.
#[test]
fn deadline_after_a_loss() {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    let specification = specification("job", Class::Batch, &["run", "60000"]);
    let work = harness.admit(Specification { deadline_unix_ms: Some(500), ..specification });
    harness.run(1000);
    harness.node("w0").alive = false;
    harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
    let outcome = harness.outcome(&work).unwrap();
    assert_eq!((outcome.ending, outcome.not_run), (Ending::Expired, false));
}

/// Guards against a cancellation that is lost, leaves a task running, or claims that a started task was not run.
#[test]
fn cancel_in_each_phase() {
    let classes = [(Class::Batch, true), (Class::Batch, false), (Class::Gang { parts: 2 }, true)];
    for (class, idempotent) in classes {
        for steps in 0..40 {
            let mut harness = SchedulerHarness::new(2);
            let owner = harness.take_over(1);
            harness.run(50);
            let specification = specification("job", class, &["run", "200"]);
            let work = harness.admit(Specification { idempotent, ..specification });
            harness.run_until(LIMIT, |harness| harness.record(&work).is_some());
            (0..steps + 2).for_each(|_| harness.step());
            harness.ask(owner, ClientRequest::Cancel(work.clone()));
            let case = format!("{class:?} cancelled after {steps} steps");
            harness.run_until(LIMIT, |harness| harness.outcome(&work).is_some());
            harness.run(50);
            let outcome = harness.outcome(&work).unwrap();
            assert_eq!(harness.answers.len(), 1, "{case}: {:?}", harness.answers);
            assert!(harness.answers[0].is_ok(), "{case}");
            assert!(harness.running_workers(&work).is_empty(), "{case}");
            assert!(!outcome.not_run || harness.starts(&work) == 0, "{case}");
            let expected = matches!(outcome.ending, Ending::Cancelled | Ending::Succeeded);
            assert!(expected, "{case}: {outcome:?}");
            assert!(steps > 15 || outcome.ending == Ending::Cancelled, "{case}: {outcome:?}");
            let starts = harness.starts(&work);
            harness.run(500);
            assert_eq!(harness.starts(&work), starts, "{case}: no start after the end");
        }
    }
}

/// Guards against capacity that is freed before the worker confirmed the stop.
#[test]
fn cancelled_task_holds_its_capacity() {
    let mut harness = SchedulerHarness::new(1);
    let owner = harness.take_over(1);
    let large = |name: &str| Specification {
        size: size(4),
        ..specification(name, Class::Batch, &["run", "9000"])
    };
    let first = harness.admit(large("first"));
    let second = harness.admit(large("second"));
    harness.run(500);
    harness.fault("w0", CallKind::Stop, Fault::LostRequest, 1);
    harness.ask(owner, ClientRequest::Cancel(first.clone()));
    harness.run(1500);
    assert_eq!((harness.running_workers(&first).len(), harness.starts(&second)), (1, 0));
    harness.run_until(LIMIT, |harness| harness.starts(&second) == 1);
}

/// Guards against a wave of cancellations that costs more than one write for each piece of work.
#[test]
fn cancel_wave() {
    let mut harness = SchedulerHarness::new(1);
    let owner = harness.take_over(1);
    let size = size(4);
    let job =
        |name: &str| Specification { size, ..specification(name, Class::Batch, &["run", "60000"]) };
    let works: Vec<WorkId> = (0..2000).map(|n| harness.admit(job(&format!("job{n}")))).collect();
    harness.run(2000);
    let before = (harness.writes, harness.calls);
    works[1..].iter().for_each(|work| harness.ask(owner, ClientRequest::Cancel(work.clone())));
    harness.run(1000);
    assert_eq!(harness.writes - before.0, 1999);
    assert!(harness.calls - before.1 < 5);
    assert!(works[1..].iter().all(|work| harness.outcome(work).is_some_and(|end| end.not_run)));
    assert_eq!(harness.answers.len(), 1999);
}

/// Guards against running more than the cap allows, by a grant that is raised beyond it or lowered too late.
#[test]
fn grants() {
    let cap = |cores: u64| Size { slots: 100, memory_mib: 1 << 20, ..size(cores) };
    let mut harness = SchedulerHarness::new(2);
    harness.set_availability("dc", Availability::Active);
    harness.set_availability("other", Availability::Active);
    harness.set_team(Some(cap(3)));
    harness.set_cap_row(cap(3), &[("other/0", size(1))]);
    harness.take_over(1);
    // The raise of the grant fails at first.
    harness.write_faults = vec![WriteFailure::Conflict(Vec::new()); 2];
    let jobs: Vec<WorkId> = (0..4)
        .map(|n| harness.admit(specification(&format!("job{n}"), Class::Batch, &["run", "30000"])))
        .collect();
    let running = |harness: &SchedulerHarness| {
        jobs.iter().map(|work| harness.running_workers(work).len()).sum::<usize>()
    };
    harness.run_until(LIMIT, |harness| {
        assert!(harness.granted("dc/0").is_some() || running(harness) == 0, "not granted yet");
        harness.write_faults.is_empty()
    });
    harness.run(4000);
    assert_eq!(running(&harness), 2, "one core of the cap is granted to the other shard");
    assert_eq!(harness.granted("dc/0"), Some(2000));
    harness.set_cap_row(cap(3), &[("dc/0", cap(2))]);
    harness.run(4000);
    assert_eq!(running(&harness), 3, "the other shard returned its grant");
    harness.set_cap_row(cap(1), &[("dc/0", cap(3))]);
    harness.run(4000);
    assert_eq!(running(&harness), 1, "the cap was lowered");
    assert_eq!(harness.granted("dc/0"), Some(1000));
    let row = harness.table.row("caps/red").unwrap();
    assert!(row.value.contains("unmet"), "fields of other writers are kept: {}", row.value);
}

/// Guards against a new owner that uses the grant of a team before it knows what silent workers run of it.
#[test]
fn grant_beside_unknown_tasks() {
    let cap = Size { processors_milli: 2000, ..Size::from_parts([u64::MAX; 4]) };
    let mut harness = SchedulerHarness::new(2);
    harness.set_availability("dc", Availability::Active);
    harness.set_availability("other", Availability::Active);
    harness.set_team(Some(cap));
    harness.set_cap_row(cap, &[("dc/0", cap)]);
    let owner = harness.add_standby();
    let job = |name: &str| specification(name, Class::Batch, &["run", "60000"]);
    let old = [job("old0"), job("old1")];
    old.iter().for_each(|job| drop(harness.write_record(job.clone(), State::Admitted)));
    old.iter().for_each(|job| harness.start_directly("w0", 0, job));
    harness.node("w0").alive = false;
    harness.acquire(owner, 2);
    harness.run(1000);
    let new = harness.admit(job("new"));
    harness.run(5000);
    assert_eq!(harness.starts(&new), 0, "the old tasks use the cap until their lease has lapsed");
    harness.run_until(LIMIT, |harness| harness.starts(&new) == 1);
}

/// Guards against work that waits for the next regular read of the cap rows.
#[test]
fn first_grant() {
    // The other data centre is known from its configuration or from its entry host.
    for configured in [true, false] {
        let mut harness = SchedulerHarness::new(1);
        let unlimited = Size::from_parts([u64::MAX; 4]);
        harness.set_team(Some(Size { processors_milli: 3000, ..unlimited }));
        let owner = harness.take_over(1);
        match configured {
            true => harness.set_availability("other", Availability::Active),
            false => {
                let peers = vec![remote_peer()];
                harness.deliver(owner, Message::PeerList(Rc::new(PeerList { peers })));
            }
        }
        harness.run(1500);
        let work = harness.admit(specification("job", Class::Batch, &["run", "100"]));
        harness.run(250);
        // One task, and as much again as headroom.
        assert_eq!((harness.starts(&work), harness.granted("dc/0")), (1, Some(2000)));
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
    let mut harness = SchedulerHarness::new(2);
    harness.set_team(Some(Size { slots: 100, memory_mib: 1 << 20, ..size(2) }));
    harness.take_over(1);
    let service = harness.admit(specification("svc", Class::Service { replicas: 4 }, &["serve"]));
    harness.run(1000);
    assert_eq!(harness.running_workers(&service).len(), 2);
    harness.set_team(Some(Size { slots: 100, memory_mib: 1 << 20, ..size(1) }));
    harness.run(1000);
    assert_eq!(harness.running_workers(&service).len(), 1);
}

/// Guards against a drained data centre that kills its running work, and against work that stays stopped afterwards.
#[test]
fn drained_data_centre() {
    // Whether the policy stops running tasks, and whether their starts are still open.
    for (stop, open) in [(false, false), (true, false), (true, true)] {
        let mut harness = SchedulerHarness::new(1);
        harness.set_partition_policy(stop);
        harness.take_over(1);
        harness.run(500);
        if open {
            harness.fault("w0", CallKind::Start, Fault::SlowAnswer, 2);
            harness.fault("w0", CallKind::Sync, Fault::SlowAnswer, 20);
            harness.run(1000);
        }
        let service =
            harness.admit(specification("svc", Class::Service { replicas: 1 }, &["serve"]));
        let batch = harness.admit(specification("job", Class::Batch, &["run", "3000"]));
        harness.run(if open { 50 } else { 500 });
        harness.set_availability("dc", Availability::Drained);
        harness.run(1000);
        let expected = usize::from(!stop);
        assert_eq!(harness.running_workers(&service).len(), expected);
        assert_eq!(harness.running_workers(&batch).len(), expected);
        harness.set_availability("dc", Availability::Active);
        harness.run_until(LIMIT, |harness| harness.outcome(&batch).is_some());
        assert_eq!(harness.outcome(&batch).unwrap().ending, Ending::Succeeded);
        assert_eq!(harness.running_workers(&service).len(), 1);
    }
}
