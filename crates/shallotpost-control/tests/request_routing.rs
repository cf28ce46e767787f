//! Guards against answers that reach the wrong client, are lost, or come from a host that does not own the work.

mod support;

use std::rc::Rc;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::table::{self, Write};
use shallotpost_protocol::wire::Frame;
use shallotpost_protocol::work::{
    self, Class, Ending, Outcome, Record, Registration, State, Status,
};
use shallotpost_standin::table::Table;
use support::service_harness::{
    ServiceHarness, UNIX_MS, batch_job, load, single_peer_list, snapshot,
};

const KEY: &str = "rice-key.rice";

fn work() -> WorkId {
    WorkId { team: "rice".to_owned(), name: "one".to_owned() }
}

fn shard(data_centre: &str) -> Shard {
    Shard { data_centre: data_centre.to_owned(), index: 0 }
}

/// A table with the record of `rice/one` in the shard of this data centre.
fn table(data_centre: &str, state: State) -> Table {
    let mut table = Table::default();
    let specification = batch_job("rice", "one");
    let registration = Registration { shard: shard(data_centre), digest: specification.digest() };
    let record = Record {
        specification,
        shard: shard(data_centre),
        state,
        admitted_unix_ms: UNIX_MS,
        attempt: 0,
        moved_unix_ms: 0,
        losses: Vec::new(),
        submitter: "rice-key".to_owned(),
    };
    let writes = vec![
        Write {
            key: work::registration_key(&work()),
            value: serde_json::to_string(&registration).ok(),
        },
        Write {
            key: work::row_key(&shard(data_centre), &work()),
            value: serde_json::to_string(&record).ok(),
        },
    ];
    table.handle(&table::Request::Transact { checks: Vec::new(), writes });
    table
}

/// Host `a` owns the shard of `east`, host `b` that of `west`.
fn router() -> ServiceHarness {
    router_of(Settings::new("a", "east"))
}

fn router_of(settings: Settings) -> ServiceHarness {
    let mut harness = ServiceHarness::new(ServiceName::Router, &settings);
    harness.handle(Message::Snapshot(snapshot()));
    harness.handle(Message::ConfigurationLease { until: harness.at(600_000) });
    harness.handle(Message::ShardLoads(vec![load("east", 1)]));
    harness.handle(Message::PeerList(single_peer_list("b", harness.at(0), load("west", 1))));
    harness
}

fn request(harness: &mut ServiceHarness, request: RequestId, content: Request) {
    let call = Call { key: KEY.to_owned(), request: content };
    harness.handle(Message::Request { request, call });
}

fn wait(millis: u64) -> Request {
    Request::Wait { work: work(), wait: Duration::from_millis(millis) }
}

fn answer_reads(harness: &mut ServiceHarness, table: &mut Table) {
    for (call, request) in harness.take_table_calls() {
        let reply = table.handle(&request);
        harness.handle(Message::TableResult { call, result: Ok(reply) });
    }
}

fn outcome() -> Outcome {
    Outcome {
        ending: Ending::Succeeded,
        detail: String::new(),
        not_run: false,
        results: Vec::new(),
    }
}

fn status(state: State) -> Reply {
    Reply::Status(Status {
        work: work(),
        class: Class::Batch,
        shard: shard("east"),
        state,
        tasks: Vec::new(),
    })
}

/// Takes the forwards to peers: request id, attempt and the forwarded request.
fn take_forwards(harness: &mut ServiceHarness) -> Vec<(RequestId, Attempt, Request)> {
    let frame = |message| match message {
        Message::SendFrame { frame: Frame::Forward { request, attempt, call }, .. } => {
            Some((request, attempt, call.request))
        }
        _ => None,
    };
    harness.take_messages().into_iter().filter_map(|(_, message)| frame(message)).collect()
}

/// Takes the origins of the requests to the scheduler.
fn take_scheduler_origins(harness: &mut ServiceHarness) -> Vec<Origin> {
    let origin = |(to, message)| match message {
        Message::AuthenticatedRequest { origin, .. } if to == ServiceName::Scheduler => {
            Some(origin)
        }
        _ => None,
    };
    harness.take_messages().into_iter().filter_map(origin).collect()
}

fn forwarded(
    harness: &mut ServiceHarness,
    from: &str,
    request: RequestId,
    attempt: Attempt,
    reply: Reply,
) {
    let frame = Frame::ForwardReply { request, attempt, result: Ok(reply) };
    harness.handle(Message::PeerFrame { from: from.to_owned(), frame });
}

#[test]
fn answers_out_of_order() {
    let mut harness = router();
    let mut table = table("west", State::Admitted);
    request(&mut harness, 1, Request::Status(work()));
    request(&mut harness, 2, Request::Explain(work()));
    answer_reads(&mut harness, &mut table);
    let forwards = take_forwards(&mut harness);
    let [(first, 1, Request::Status(_)), (second, 1, Request::Explain(_))] = forwards.as_slice()
    else {
        panic!("{forwards:?}")
    };
    forwarded(&mut harness, "b", *second, 1, Reply::Cancelling);
    forwarded(&mut harness, "b", *first, 1, status(State::Admitted));
    let answers = harness.take_answers();
    assert_eq!(answers, [(2, Ok(Reply::Cancelling)), (1, Ok(status(State::Admitted)))]);
}

#[test]
fn unexpected_answers() {
    let cases: &[(&str, &str, Attempt, bool)] = &[
        ("answer to the open attempt", "b", 2, true),
        ("late answer to an earlier attempt", "b", 1, false),
        ("answer to a later attempt", "b", 3, false),
        ("answer of another host", "c", 2, false),
    ];
    for (name, from, attempt, accepted) in cases {
        let mut harness = router();
        let mut table = table("west", State::Admitted);
        request(&mut harness, 1, Request::Status(work()));
        answer_reads(&mut harness, &mut table);
        let [(id, 1, _)] = take_forwards(&mut harness)[..] else { panic!("{name}: not forwarded") };
        harness.advance_to(1000);
        answer_reads(&mut harness, &mut table);
        let [(_, 2, _)] = take_forwards(&mut harness)[..] else { panic!("{name}: not sent again") };
        forwarded(&mut harness, from, id, *attempt, status(State::Admitted));
        assert_eq!(harness.take_answers().len(), usize::from(*accepted), "{name}");
        forwarded(&mut harness, "b", id, 2, status(State::Admitted));
        let repeated = harness.take_answers().len();
        assert_eq!(repeated, usize::from(!accepted), "{name}: each request is answered once");
    }
}

/// Guards against an answer to a request that the former process of the host had forwarded, which reaches the client whose
/// request has the same number in the present process.
#[test]
fn answers_to_the_former_process() {
    let forward = |incarnation| {
        let mut harness = router_of(Settings { incarnation, ..Settings::new("a", "east") });
        let mut table = table("west", State::Admitted);
        request(&mut harness, 1, wait(5000));
        answer_reads(&mut harness, &mut table);
        let [(id, attempt, _)] = take_forwards(&mut harness)[..] else { panic!("not forwarded") };
        (harness, id, attempt)
    };
    let (_, former, attempt) = forward(1);
    let (mut harness, present, _) = forward(2);
    forwarded(&mut harness, "b", former, attempt, Reply::Cancelling);
    assert_eq!(harness.take_answers(), [], "the answer is for the former process");
    forwarded(&mut harness, "b", present, attempt, Reply::Outcome(outcome()));
    assert_eq!(harness.take_answers(), [(1, Ok(Reply::Outcome(outcome())))]);
}

#[test]
fn wait_for_end() {
    let mut harness = router();
    let mut table = table("east", State::Admitted);
    request(&mut harness, 1, wait(5000));
    answer_reads(&mut harness, &mut table);
    let [origin] =
        take_scheduler_origins(&mut harness).try_into().expect("the scheduler is asked once");
    harness.handle(Message::Answer { origin, result: Ok(status(State::Admitted)) });
    assert_eq!(harness.take_answers(), []);
    harness.handle(Message::WorkEnded { work: work(), outcome: Rc::new(outcome()) });
    assert_eq!(harness.take_answers(), [(1, Ok(Reply::Outcome(outcome())))]);
    harness.handle(Message::WorkEnded { work: work(), outcome: Rc::new(outcome()) });
    harness.advance_to(5000);
    assert_eq!(harness.take_answers(), [], "the wait is answered once");
}

#[test]
fn owner_does_not_know() {
    let not_found = || Err(Problem::new(ProblemKind::NotFound, "unknown"));
    let cases = [
        ("ended", State::Ended(outcome()), wait(5000), Ok(Reply::Outcome(outcome()))),
        ("ended", State::Ended(outcome()), Request::Cancel(work()), Ok(Reply::Cancelling)),
        ("admitted", State::Admitted, Request::Status(work()), Ok(status(State::Admitted))),
    ];
    for (name, state, content, expected) in cases {
        let mut harness = router();
        let mut table = table("east", state);
        request(&mut harness, 1, content.clone());
        answer_reads(&mut harness, &mut table);
        let [origin] =
            take_scheduler_origins(&mut harness).try_into().expect("the scheduler is asked once");
        harness.handle(Message::Answer { origin, result: not_found() });
        answer_reads(&mut harness, &mut table);
        assert_eq!(harness.take_answers(), [(1, expected)], "{name}: {content:?}");
    }
}

#[test]
fn silent_owner() {
    let mut harness = router();
    let mut table = table("west", State::Admitted);
    request(&mut harness, 1, wait(20_000));
    answer_reads(&mut harness, &mut table);
    assert_eq!(take_forwards(&mut harness).len(), 1);
    harness.advance_to(6000);
    answer_reads(&mut harness, &mut table);
    assert_eq!(take_forwards(&mut harness).len(), 1, "a lost forward is sent again");
    // Host `a` has taken the shard over.
    harness.handle(Message::ShardLoads(vec![load("east", 1), load("west", 2)]));
    harness.advance_to(12_000);
    answer_reads(&mut harness, &mut table);
    assert_eq!(take_scheduler_origins(&mut harness).len(), 1, "the new owner is asked");
}

#[test]
fn answers_in_time() {
    let cases = [
        ("no table answer", Request::Status(work()), 10_000, ProblemKind::Unavailable),
        ("no table answer to a wait", wait(700), 700, ProblemKind::TimedOut),
    ];
    for (name, content, millis, kind) in cases {
        let mut harness = router();
        request(&mut harness, 1, content);
        harness.advance_to(millis - 1);
        assert_eq!(harness.take_answers().len(), 0, "{name}");
        harness.advance_to(millis);
        match harness.take_answers().as_slice() {
            [(1, Err(problem))] => assert_eq!(problem.kind, kind, "{name}"),
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn full_list() {
    let mut harness = router();
    let list = Request::List { team: "rice".to_owned(), after: String::new(), limit: 10 };
    request(&mut harness, 1, list);
    let messages = harness.take_messages();
    let mut request = 0;
    for (_, message) in &messages {
        if let Message::SendFrame { frame: Frame::Forward { request: id, .. }, .. } = message {
            request = *id;
        }
    }
    let page = |name: &str| {
        let work = WorkId { team: "rice".to_owned(), name: name.to_owned() };
        let entry = Status {
            work,
            class: Class::Batch,
            shard: shard("east"),
            state: State::Admitted,
            tasks: Vec::new(),
        };
        Reply::Work { entries: vec![entry], more: false }
    };
    harness.handle(Message::Answer { origin: Origin::Client(request), result: Ok(page("b")) });
    assert_eq!(harness.take_answers().len(), 0, "half a list is no answer");
    forwarded(&mut harness, "b", request, 1, page("a"));
    match harness.take_answers().as_slice() {
        [(1, Ok(Reply::Work { entries, more: false }))] => {
            let names: Vec<&str> = entries.iter().map(|entry| entry.work.name.as_str()).collect();
            assert_eq!(names, ["a", "b"]);
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a list that silently omits the work of a shard without an owner.
#[test]
fn list_with_unowned_shard() {
    let cases: [(&str, Result<(), Failure>, bool); 2] =
        [("readable", Ok(()), true), ("not readable", Err(Failure::Ambiguous), false)];
    for (name, read, complete) in cases {
        let mut harness = ServiceHarness::new(ServiceName::Router, &Settings::new("a", "east"));
        harness.handle(Message::Snapshot(snapshot()));
        harness.handle(Message::ConfigurationLease { until: harness.at(600_000) });
        harness.handle(Message::ShardLoads(vec![load("east", 1)]));
        let mut table = table("west", State::Admitted);
        let list = Request::List { team: "rice".to_owned(), after: String::new(), limit: 10 };
        request(&mut harness, 1, list);
        let [origin] =
            take_scheduler_origins(&mut harness).try_into().expect("the scheduler is asked once");
        let own = Reply::Work { entries: Vec::new(), more: false };
        harness.handle(Message::Answer { origin, result: Ok(own) });
        let [(call, scan)] = harness.take_table_calls().try_into().expect("one shard has no owner");
        let result = read.map(|()| table.handle(&scan));
        harness.handle(Message::TableResult { call, result });
        match harness.take_answers().as_slice() {
            [(1, Ok(Reply::Work { entries, more: false }))] if complete => {
                assert_eq!(entries.len(), 1, "{name}");
                assert_eq!(entries[0].work, work(), "{name}");
            }
            [(1, Err(problem))] if !complete => assert_eq!(problem.kind, ProblemKind::Unavailable),
            other => panic!("{name}: {other:?}"),
        }
    }
}

/// Guards against pages full of ended work that hide the open work after them.
#[test]
fn list_behind_ended_records() {
    let mut harness = ServiceHarness::new(ServiceName::Router, &Settings::new("a", "east"));
    harness.handle(Message::Snapshot(snapshot()));
    harness.handle(Message::ConfigurationLease { until: harness.at(600_000) });
    harness.handle(Message::ShardLoads(vec![load("east", 1)]));
    let mut table = table("west", State::Admitted);
    let ended = |index: usize| {
        let specification = batch_job("rice", &format!("a-{index}"));
        let key = work::row_key(&shard("west"), &specification.work_id());
        let state = State::Ended(outcome());
        let record = Record {
            specification,
            shard: shard("west"),
            state,
            admitted_unix_ms: UNIX_MS,
            attempt: 0,
            moved_unix_ms: 0,
            losses: Vec::new(),
            submitter: String::new(),
        };
        Write { key, value: serde_json::to_string(&record).ok() }
    };
    let writes = (0..12).map(ended).collect();
    table.handle(&table::Request::Transact { checks: Vec::new(), writes });
    let list = Request::List { team: "rice".to_owned(), after: String::new(), limit: 5 };
    request(&mut harness, 1, list);
    let [origin] =
        take_scheduler_origins(&mut harness).try_into().expect("the scheduler is asked once");
    let own = Reply::Work { entries: Vec::new(), more: false };
    harness.handle(Message::Answer { origin, result: Ok(own) });
    for _ in 0..3 {
        answer_reads(&mut harness, &mut table);
    }
    match harness.take_answers().as_slice() {
        [(1, Ok(Reply::Work { entries, more: false }))] => assert_eq!(entries[0].work, work()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn planned_stop() {
    let mut harness = router();
    let mut table = table("east", State::Admitted);
    request(&mut harness, 1, wait(60_000));
    answer_reads(&mut harness, &mut table);
    harness.handle(Message::Stop);
    request(&mut harness, 2, Request::Ready);
    match harness.take_answers().as_slice() {
        [(2, Err(problem))] => assert_eq!(problem.kind, ProblemKind::Draining),
        other => panic!("readiness goes first: {other:?}"),
    }
    harness.handle(Message::Drained(ServiceName::Ownership));
    harness.handle(Message::Drained(ServiceName::Commit));
    harness.advance_to(27_000);
    assert!(harness.effects.is_empty(), "the open request is not cut");
    harness.advance_to(28_000);
    assert!(
        matches!(harness.take_answers().as_slice(), [(1, Err(_))]),
        "answered before the bound"
    );
    assert!(matches!(harness.effects.as_slice(), [Effect::Stopped]));
}
