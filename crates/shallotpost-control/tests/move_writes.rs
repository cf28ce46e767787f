//! The transaction of a change of the home shard, against other writers and late answers.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;
mod support;

use scheduling::*;
use shallotpost_control::message::WriteFailure;
use shallotpost_control::prelude::*;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::table;
use shallotpost_protocol::work::Class;
use support::requests;

const OLD: &str = "work/dc/0/red/job";
const NEW: &str = "work/west/0/red/job";

/// Runs while the shard `west` keeps answering.
fn pass(world: &mut World, milliseconds: u64) {
    for _ in 0..milliseconds / 10 {
        let fleet = requests::fleet_of("other", world.now, requests::load("west", 1));
        world.deliver(0, Message::PeerList(fleet));
        world.step();
    }
}

/// A drained shard whose owner has just handed the move of `job` to `commit`.
fn moving() -> World {
    let mut world = World::new(1);
    world.set_availability("dc", Availability::Drained);
    world.take_over(1);
    pass(&mut world, 1000);
    world.admit(specification("job", Class::Batch, &["run", "100"]));
    for _ in 0..200 {
        if world.is_writing(NEW) {
            return world;
        }
        pass(&mut world, 10);
    }
    panic!("no move was written");
}

fn write(world: &mut World, rows: &[(&str, Option<&str>)]) {
    let row = |(key, value): &(&str, Option<&str>)| table::Write {
        key: (*key).to_owned(),
        value: value.map(str::to_owned),
    };
    let writes = rows.iter().map(row).collect();
    world.table.handle(&table::Request::Transact { checks: Vec::new(), writes });
}

/// Guards against two movers that both succeed, a move by an owner that lost the shard, a move of a record that changed,
/// and a move that is lost or doubled after a failed or unanswered write.
#[test]
fn only_one_writer_succeeds() {
    type Change = fn(&mut World);
    // Change before the write, whether the owner gives up the shard, and whether the record is in its old and new home.
    let cases: &[(&str, Change, bool, bool, bool)] = &[
        ("no fault", |_| {}, false, false, true),
        (
            "answer lost",
            |world| world.write_faults = vec![WriteFailure::Unknown],
            false,
            false,
            true,
        ),
        (
            "queue full",
            |world| world.write_faults = vec![WriteFailure::Overloaded],
            false,
            false,
            true,
        ),
        (
            "moved by another",
            |world| write(world, &[(OLD, None), (NEW, Some("moved"))]),
            false,
            false,
            true,
        ),
        ("moved elsewhere", |world| write(world, &[(OLD, None)]), false, false, false),
        (
            "changed",
            |world| {
                let row = world.table.row(OLD).unwrap();
                write(world, &[(OLD, Some(&row.value.replace("admitted\"", "cancelling\"")))]);
            },
            false,
            true,
            false,
        ),
        (
            "claimed",
            |world| write(world, &[("shards/dc/0", Some(r#"{"epoch":2}"#))]),
            true,
            true,
            false,
        ),
    ];
    for (name, change, fenced, old, new) in cases {
        let mut world = moving();
        world.answers.clear();
        world.ask(0, Ask::Status(work("job")));
        let unsure = matches!(&world.answers[..], [Err(problem)] if problem.kind == ProblemKind::Unavailable);
        assert!(unsure, "{name}: the work is reported while it moves");
        change(&mut world);
        pass(&mut world, 3000);
        assert_eq!(world.fenced.is_empty(), !fenced, "{name}");
        assert_eq!(world.table.row(OLD).is_some(), *old, "{name}");
        let row = world.table.row(NEW);
        assert_eq!(row.as_ref().map(|row| row.version), new.then_some(1), "{name}");
        assert_eq!(world.starts(&work("job")), 0, "{name}");
        if *new {
            assert!(world.table.row("ids/red/job").is_some());
            world.ask(0, Ask::Status(work("job")));
            let answer = world.answers.pop().unwrap();
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
        let mut world = moving_with_delay(offset * 300);
        let record = world.record(&work("job")).unwrap();
        for _ in 0..1000 {
            if world.table.row(OLD).is_none() {
                break;
            }
            pass(&mut world, 10);
        }
        pass(&mut world, 20);
        assert!(world.table.row(NEW).is_some(), "{offset}");
        world.set_availability("dc", Availability::Active);
        let (shard, id) = (shard(), work("job"));
        world.deliver(0, Message::WorkAdmitted { record: Some(record.into()), shard, work: id });
        pass(&mut world, 10_000);
        assert_eq!(world.starts(&work("job")), 0, "{offset}: it started at its old home");
    }
}

/// A shard with slow table reads whose only work waits, drained after this time.
fn moving_with_delay(milliseconds: u64) -> World {
    let mut world = World::new(1);
    world.take_over(1);
    world.fresh = false;
    world.expire_leases(true);
    pass(&mut world, 1000);
    world.admit(specification("job", Class::Batch, &["run", "100"]));
    pass(&mut world, 500 + milliseconds);
    world.fresh = true;
    world.set_availability("dc", Availability::Drained);
    world.table_delay = Duration::from_millis(1200);
    pass(&mut world, 10);
    world
}
