//! Guards against submissions that are lost, admitted twice, or refused with a wrong reason.

mod support;

use std::rc::Rc;

use shallotpost_control::message::{Batch, WriteFailure};
use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::Right;
use shallotpost_protocol::table;
use shallotpost_protocol::work::{Class, Specification};
use shallotpost_standin::table::Table;
use support::service_harness::{
    ServiceHarness, UNIX_MS, batch_job, load, single_peer_list, snapshot,
};

fn admission() -> ServiceHarness {
    let mut harness = ServiceHarness::new(ServiceName::Admission, &Settings::new("a", "east"));
    harness.handle(Message::Snapshot(snapshot()));
    harness.handle(Message::ShardLoads(vec![load("east", 1)]));
    harness
}

fn submit(
    harness: &mut ServiceHarness,
    request: RequestId,
    team: &str,
    specification: Specification,
) {
    let identity = Identity { key: format!("{team}-key"), right: Right::Team(team.to_owned()) };
    let request = Message::AuthenticatedRequest {
        origin: Origin::Client(request),
        identity,
        request: Request::Submit(specification),
    };
    harness.handle(request);
}

/// Takes the only batch that was sent to `commit`.
fn take_batch(harness: &mut ServiceHarness) -> Batch {
    let batches = harness.take_messages().into_iter().filter_map(|(to, message)| match message {
        Message::Write(batch) if to == ServiceName::Commit => Some(batch),
        _ => None,
    });
    let mut batches: Vec<Batch> = batches.collect();
    assert_eq!(batches.len(), 1);
    batches.remove(0)
}

fn take_results(harness: &mut ServiceHarness) -> Vec<Result<Reply, Problem>> {
    let messages = harness.take_messages().into_iter();
    let answer = |message| match message {
        Message::Answer { result, .. } => Some(result),
        _ => None,
    };
    messages.filter_map(|(_, message)| answer(message)).collect()
}

fn write(table: &mut Table, batch: &Batch) -> Result<(), WriteFailure> {
    let request =
        table::Request::Transact { checks: batch.checks.clone(), writes: batch.writes.clone() };
    match table.handle(&request) {
        table::Reply::Committed => Ok(()),
        table::Reply::Conflict { keys } => Err(WriteFailure::Conflict(keys)),
        table::Reply::Rows { .. } => panic!("a transaction answers with rows"),
    }
}

fn answer_reads(harness: &mut ServiceHarness, table: &mut Table) {
    for (call, request) in harness.take_table_calls() {
        let reply = table.handle(&request);
        harness.handle(Message::TableResult { call, result: Ok(reply) });
    }
}

#[test]
fn bad_submissions() {
    type Change = fn(&mut Specification);
    let cases: &[(&str, Change, ProblemKind)] = &[
        ("unknown team", |s| s.team = "tea".to_owned(), ProblemKind::NotFound),
        ("another team", |s| s.team = "jute".to_owned(), ProblemKind::Forbidden),
        ("unknown queue", |s| s.queue = Some("none".to_owned()), ProblemKind::NotFound),
        ("empty id", |s| s.id.clear(), ProblemKind::Malformed),
        ("id with a slash", |s| s.id = "a/b".to_owned(), ProblemKind::Malformed),
        ("no command", |s| s.command.clear(), ProblemKind::Malformed),
        ("no processors", |s| s.size.processors_milli = 0, ProblemKind::Malformed),
        ("two slots", |s| s.size.slots = 2, ProblemKind::Malformed),
        ("no attempts", |s| s.attempts = 0, ProblemKind::Malformed),
        ("no replicas", |s| s.class = Class::Service { replicas: 0 }, ProblemKind::Malformed),
        ("too many parts", |s| s.class = Class::Gang { parts: 1001 }, ProblemKind::Malformed),
        (
            "larger than any worker",
            |s| s.size.processors_milli = 16_001,
            ProblemKind::NeverRunnable,
        ),
        (
            "gang larger than the shard",
            |s| s.class = Class::Gang { parts: 33 },
            ProblemKind::NeverRunnable,
        ),
        ("past deadline", |s| s.deadline_unix_ms = Some(UNIX_MS), ProblemKind::Expired),
        (
            "unknown data centre",
            |s| s.data_centres = vec!["north".to_owned()],
            ProblemKind::NotFound,
        ),
    ];
    for (name, change, kind) in cases {
        let mut harness = admission();
        let mut specification = batch_job("rice", "one");
        change(&mut specification);
        submit(&mut harness, 1, "rice", specification);
        let messages = harness.take_messages();
        match messages.as_slice() {
            [(ServiceName::Router, Message::Answer { result: Err(problem), .. })] => {
                assert_eq!(problem.kind, *kind, "{name}");
                assert!(!problem.remedy.is_empty(), "{name}");
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn open_queue() {
    let cases = [("public", true), ("private", false)];
    for (queue, accepted) in cases {
        let mut harness = admission();
        let specification =
            Specification { queue: Some(queue.to_owned()), ..batch_job("rice", "one") };
        submit(&mut harness, 1, "jute", specification);
        let written =
            harness.take_messages().iter().any(|(_, message)| matches!(message, Message::Write(_)));
        assert_eq!(written, accepted, "queue {queue}");
    }
}

#[test]
fn accepted_after_commit() {
    let mut harness = admission();
    let mut table = Table::default();
    submit(&mut harness, 1, "rice", batch_job("rice", "one"));
    let first = take_batch(&mut harness);
    let result = write(&mut table, &first);
    harness.handle(Message::WriteResult { tag: first.tag, result });
    let messages = harness.take_messages();
    let notified = messages.iter().any(|(to, message)| {
        *to == ServiceName::Scheduler
            && matches!(message, Message::WorkAdmitted { record: Some(_), .. })
    });
    assert!(notified, "the owner was not notified: {messages:?}");
    let accepted = messages.iter().any(|(_, message)| {
        matches!(
            message,
            Message::Answer { result: Ok(Reply::Accepted { repeated: false, .. }), .. }
        )
    });
    assert!(accepted, "{messages:?}");
    assert_eq!(table.rows("work/east/0/rice/one").len(), 1);
}

#[test]
fn repeated_submissions() {
    let other = Specification { attempts: 5, ..batch_job("rice", "one") };
    let cases = [
        ("same", batch_job("rice", "one"), None),
        ("other work", other, Some(ProblemKind::IdReused)),
    ];
    for (name, second, refused) in cases {
        let mut table = Table::default();
        let mut first_host = admission();
        submit(&mut first_host, 1, "rice", batch_job("rice", "one"));
        let first = take_batch(&mut first_host);
        assert_eq!(write(&mut table, &first), Ok(()));
        let mut second_host = admission();
        submit(&mut second_host, 7, "rice", second);
        let batch = take_batch(&mut second_host);
        let result = write(&mut table, &batch);
        second_host.handle(Message::WriteResult { tag: batch.tag, result });
        answer_reads(&mut second_host, &mut table);
        match (take_results(&mut second_host).as_slice(), refused) {
            ([Ok(Reply::Accepted { repeated: true, .. })], None) => {}
            ([Err(problem)], Some(kind)) => assert_eq!(problem.kind, kind, "{name}"),
            other => panic!("{name}: {other:?}"),
        }
        assert_eq!(table.rows("work/").len(), 1, "{name}: the work is recorded once");
    }
}

#[test]
fn unwritten_submissions() {
    let cases = [
        (WriteFailure::Overloaded, ProblemKind::Overloaded),
        (WriteFailure::Expired, ProblemKind::Unavailable),
        (WriteFailure::Unknown, ProblemKind::Unknown),
    ];
    for (failure, kind) in cases {
        let mut harness = admission();
        let mut table = Table::default();
        submit(&mut harness, 1, "rice", batch_job("rice", "one"));
        let batch = take_batch(&mut harness);
        harness.handle(Message::WriteResult { tag: batch.tag, result: Err(failure.clone()) });
        answer_reads(&mut harness, &mut table);
        match take_results(&mut harness).as_slice() {
            [Err(problem)] => {
                assert_eq!(problem.kind, kind, "{failure:?}");
                assert!(
                    !problem.not_run,
                    "{failure:?}: an earlier submission of the id may have run"
                );
            }
            other => panic!("{failure:?}: {other:?}"),
        }
    }
}

#[test]
fn lost_commit_answer() {
    let mut harness = admission();
    let mut table = Table::default();
    submit(&mut harness, 1, "rice", batch_job("rice", "one"));
    let batch = take_batch(&mut harness);
    assert_eq!(write(&mut table, &batch), Ok(()));
    harness.handle(Message::WriteResult { tag: batch.tag, result: Err(WriteFailure::Unknown) });
    answer_reads(&mut harness, &mut table);
    let results = take_results(&mut harness);
    assert!(matches!(results.as_slice(), [Ok(Reply::Accepted { .. })]), "{results:?}");
}

#[test]
fn home_follows_load() {
    let cases = [(60_000, "west"), (0, "east")];
    for (booked, expected) in cases {
        let mut harness = admission();
        let mut own = load("east", 1);
        own.booked = Size::from_parts([booked, 0, 0, 0]);
        harness.handle(Message::ShardLoads(vec![own]));
        harness.handle(Message::PeerList(single_peer_list("b", harness.at(0), load("west", 1))));
        let homes = (0..40).map(|index| {
            submit(&mut harness, index, "rice", batch_job("rice", &format!("job-{index}")));
            take_batch(&mut harness).writes[1].key.clone()
        });
        let homes: Vec<String> = homes.collect();
        for home in &homes {
            assert!(home.starts_with(&format!("work/{expected}/")), "{home} is not in {expected}");
        }
    }
}

#[test]
fn drained_data_centre() {
    use shallotpost_protocol::resource::{Availability, DataCentre, Entry, Kind, Resource};
    let mut harness = admission();
    let mut changed = snapshot().as_ref().clone();
    let resource =
        Resource::DataCentre(DataCentre { availability: Availability::Drained, shards: 1 });
    let entry = Entry { name: "east".to_owned(), revision: 10, resource };
    changed.entries.insert((Kind::DataCentre, "east".to_owned()), entry);
    harness.handle(Message::Snapshot(Rc::new(changed)));
    submit(&mut harness, 1, "rice", batch_job("rice", "one"));
    assert!(take_batch(&mut harness).writes[1].key.starts_with("work/west/"));
}
