//! Guards the transaction that moves work to another home shard against concurrent writers and late answers.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;
mod support;

use scheduler_harness::*;
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::table;
use shallotpost_protocol::work::Class;
use support::service_harness;

const OLD: &str = "work/dc/0/red/job";
const NEW: &str = "work/west/0/red/job";

/// Runs while the shard `west` keeps answering.
fn run(harness: &mut SchedulerHarness, milliseconds: u64) {
    for _ in 0..milliseconds / 10 {
        let peer_list = service_harness::single_peer_list(
            "other",
            harness.now,
            service_harness::load("west", 1),
        );
        harness.deliver(0, Message::PeerList(peer_list));
        harness.step();
    }
}

/// A drained shard whose owner has just handed the move of `job` to `commit`.
fn moving() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.set_availability("dc", Availability::Drained);
    harness.take_over(1);
    run(&mut harness, 1000);
    harness.admit(specification("job", Class::Batch, &["run", "100"]));
    for _ in 0..200 {
        if harness.is_writing(NEW) {
            return harness;
        }
        run(&mut harness, 10);
    }
    panic!("no move was written");
}

fn write(harness: &mut SchedulerHarness, rows: &[(&str, Option<&str>)]) {
    let row = |(key, value): &(&str, Option<&str>)| table::Write {
        key: (*key).to_owned(),
        value: value.map(str::to_owned),
    };
    let writes = rows.iter().map(row).collect();
    harness.table.handle(&table::Request::Transact { checks: Vec::new(), writes });
}

/// Guards against two movers that both succeed, a move by an owner that lost the shard, a move of a record that
/// changed, and a move that is lost or doubled after a failed or unanswered write.
#[test]
fn only_one_writer_succeeds() {
    type Change = fn(&mut SchedulerHarness);
    // Change before the write, whether the owner gives up the shard, and whether the record is in its old and new home.
    let cases: &[(&str, Change, bool, bool, bool)] = &[
        ("no fault", |_| {}, false, false, true),
        (
            "answer lost",
            |harness| harness.write_faults = vec![WriteFailure::Unknown],
            false,
            false,
            true,
        ),
        (
            "queue full",
            |harness| harness.write_faults = vec![WriteFailure::Overloaded],
            false,
            false,
            true,
        ),
        (
            "moved by another",
            |harness| write(harness, &[(OLD, None), (NEW, Some("moved"))]),
            false,
            false,
            true,
        ),
        ("moved elsewhere", |harness| write(harness, &[(OLD, None)]), false, false, false),
        (
            "changed",
            |harness| {
                let row = harness.table.row(OLD).unwrap();
                write(harness, &[(OLD, Some(&row.value.replace("admitted\"", "cancelling\"")))]);
            },
            false,
            true,
            false,
        ),
        (
            "claimed",
            |harness| write(harness, &[("shards/dc/0", Some(r#"{"epoch":2}"#))]),
            true,
            true,
            false,
        ),
    ];
    for (name, change, fenced, old, new) in cases {
        let mut harness = moving();
        harness.answers.clear();
        harness.ask(0, ClientRequest::Status(work("job")));
        let unsure = matches!(&harness.answers[..], [Err(problem)] if problem.kind == ProblemKind::Unavailable);
        assert!(unsure, "{name}: the work is reported while it moves");
        change(&mut harness);
        run(&mut harness, 3000);
        assert_eq!(harness.fenced.is_empty(), !fenced, "{name}");
        assert_eq!(harness.table.row(OLD).is_some(), *old, "{name}");
        let row = harness.table.row(NEW);
        assert_eq!(row.as_ref().map(|row| row.version), new.then_some(1), "{name}");
        assert_eq!(harness.starts(&work("job")), 0, "{name}");
        if *new {
            assert!(harness.table.row("ids/red/job").is_some());
            harness.ask(0, ClientRequest::Status(work("job")));
            let answer = harness.answers.pop().unwrap();
            let gone = matches!(&answer, Err(problem) if problem.kind == ProblemKind::NotFound);
            assert!(gone, "{name}: {answer:?}");
        }
    }
}

/// Guards against a page of rows, or a notification with the record, that is older than a move and lets the old owner
/// start the work.
#[test]
fn late_answers_do_not_bring_work_back() {
    for offset in 0..24 {
        let mut harness = moving_with_delay(offset * 300);
        let record = harness.record(&work("job")).unwrap();
        for _ in 0..1000 {
            if harness.table.row(OLD).is_none() {
                break;
            }
            run(&mut harness, 10);
        }
        run(&mut harness, 20);
        assert!(harness.table.row(NEW).is_some(), "{offset}");
        harness.set_availability("dc", Availability::Active);
        let (shard, id) = (shard(), work("job"));
        harness.deliver(0, Message::WorkAdmitted { record: Some(record.into()), shard, work: id });
        run(&mut harness, 10_000);
        assert_eq!(harness.starts(&work("job")), 0, "{offset}: it started at its old home");
    }
}

/// A shard with slow table reads whose only work waits, drained after this time.
fn moving_with_delay(milliseconds: u64) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1);
    harness.take_over(1);
    harness.renews_configuration_lease = false;
    harness.expire_leases(true);
    run(&mut harness, 1000);
    harness.admit(specification("job", Class::Batch, &["run", "100"]));
    run(&mut harness, 500 + milliseconds);
    harness.renews_configuration_lease = true;
    harness.set_availability("dc", Availability::Drained);
    harness.table_delay = Duration::from_millis(1200);
    run(&mut harness, 10);
    harness
}
