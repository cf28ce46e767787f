//! Guards the path of work from the submission through one host to the outcome through another.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{Queue, Resource};
use shallotpost_protocol::work::{Class, Ending, Specification, State};
use support::cell::Cell;
use support::deployment::{CAPACITY, JUTE, OPERATOR, RICE, deploy, job, put, rice, service};

#[test]
fn each_class() {
    let mut cell = deploy();
    let gang = Specification { class: Class::Gang { parts: 3 }, ..job("gang", 500, true) };
    let urgent = Specification { class: Class::Urgent, ..job("urgent", 500, true) };
    for specification in [job("batch", 500, true), job("once", 500, false), gang, urgent] {
        let work = specification.work_id();
        cell.submit("a1", RICE, specification);
        let outcome = cell.outcome("b2", RICE, &work);
        assert_eq!(outcome.ending, Ending::Succeeded, "{work}: {outcome:?}");
    }
    assert_eq!(cell.starts("gang"), 3);
    assert_eq!(cell.starts("once"), 1);
}

#[test]
fn service_until_cancelled() {
    let mut cell = deploy();
    cell.submit("b1", RICE, service("intake", 3));
    let started = cell.run_until(Duration::from_secs(5), |cell| cell.places("intake").len() == 3);
    assert!(started, "{:?}", cell.places("intake"));
    let answer = cell.ask("a2", RICE, Request::Cancel(rice("intake")));
    assert_eq!(answer, Ok(Reply::Cancelling));
    assert_eq!(cell.outcome("a1", RICE, &rice("intake")).ending, Ending::Cancelled);
    assert!(cell.places("intake").is_empty());
}

#[test]
fn failing_work() {
    let mut cell = deploy();
    let command = vec!["fail".to_owned(), "10".to_owned()];
    cell.submit("a1", RICE, Specification { command: command.clone(), ..job("again", 0, true) });
    cell.submit("a1", RICE, Specification { command, ..job("once", 0, false) });
    assert_eq!(cell.outcome("a1", RICE, &rice("again")).ending, Ending::Failed);
    assert_eq!(cell.outcome("a1", RICE, &rice("once")).ending, Ending::Failed);
    assert_eq!((cell.starts("again"), cell.starts("once")), (3, 1));
}

#[test]
fn status_from_each_host() {
    let mut cell = deploy();
    cell.submit("a1", RICE, service("intake", 1));
    cell.run_until(Duration::from_secs(5), |cell| cell.places("intake").len() == 1);
    for host in ["a1", "a2", "b1", "b2"] {
        let status = cell.ask(host, RICE, Request::Status(rice("intake")));
        let Ok(Reply::Status(status)) = status else { panic!("{host}: {status:?}") };
        assert_eq!(status.state, State::Admitted);
        assert_eq!(status.tasks.len(), 1, "{host}");
    }
    let list = Request::List { team: "rice".to_owned(), after: String::new(), limit: 10 };
    let answer = cell.ask("b1", RICE, list);
    assert!(matches!(&answer, Ok(Reply::Work { entries, .. }) if entries.len() == 1), "{answer:?}");
}

fn submit_all(cell: &mut Cell, count: usize) -> Vec<RequestId> {
    let request = |cell: &mut Cell, index: usize| {
        let host = ["a1", "a2", "b1", "b2"][index % 4];
        cell.request(host, RICE, Request::Submit(job(&format!("job-{index}"), 200, true)))
    };
    (0..count).map(|index| request(cell, index)).collect()
}

#[test]
fn many_jobs_once() {
    let mut cell = deploy();
    let requests = submit_all(&mut cell, 200);
    cell.run(Duration::from_secs(5));
    for request in requests {
        let answer = cell.answer(request).cloned();
        assert!(matches!(answer, Some(Ok(Reply::Accepted { .. }))), "{answer:?}");
    }
    for index in 0..200 {
        let name = format!("job-{index}");
        assert_eq!(cell.outcome("a1", RICE, &rice(&name)).ending, Ending::Succeeded);
        assert_eq!(cell.starts(&name), 1, "{name}");
    }
}

#[test]
fn workers_of_all_shards() {
    let mut cell = deploy();
    cell.submit("a1", RICE, service("intake", 3));
    cell.run_until(Duration::from_secs(5), |cell| cell.places("intake").len() == 3);
    cell.silence("west-w3", true);
    cell.run(Duration::from_secs(5));
    let list = |after: &str| Request::Workers { after: after.to_owned(), limit: 5 };
    let Ok(Reply::Workers { entries: first, more: true }) = cell.ask("b1", OPERATOR, list(""))
    else {
        panic!("the first of two pages is expected")
    };
    let Ok(Reply::Workers { entries: second, more: false }) =
        cell.ask("b1", OPERATOR, list(&first[4].worker))
    else {
        panic!("the second of two pages is expected")
    };
    let workers: Vec<_> = first.into_iter().chain(second).collect();
    assert_eq!(workers.len(), 8);
    let silent: Vec<&str> =
        workers.iter().filter(|state| !state.answers).map(|state| state.worker.as_str()).collect();
    assert_eq!(silent, ["west-w3"]);
    assert_eq!(workers.iter().map(|state| state.booked.slots).sum::<u64>(), 3);
    assert!(workers.iter().all(|state| state.capacity == CAPACITY));
    let refused = cell.ask("b1", RICE, list(""));
    assert!(
        matches!(&refused, Err(problem) if problem.kind == ProblemKind::Forbidden),
        "{refused:?}"
    );
}

/// Requests about the work `rice/<id>`.
fn requests_about(id: &str) -> [Request; 4] {
    let wait = Duration::from_secs(5);
    [
        Request::Status(rice(id)),
        Request::Explain(rice(id)),
        Request::Wait { work: rice(id), wait },
        Request::Cancel(rice(id)),
    ]
}

/// A key of another team reads and cancels only what it submitted itself to an open queue, through any host and also after the end.
#[test]
fn work_of_another_team() {
    let mut cell = deploy();
    let queue = Queue { team: "rice".to_owned(), open: true };
    put(&mut cell, OPERATOR, "public", Resource::Queue(queue));
    cell.run(Duration::from_secs(2));
    let queued = |id: &str, millis: u64| Specification {
        queue: Some("public".to_owned()),
        ..job(id, millis, true)
    };
    cell.submit("a1", JUTE, queued("by-jute", 1000));
    cell.submit("a1", RICE, queued("by-rice", 1000));
    for host in ["a1", "b2"] {
        for request in ["by-rice", "unknown"].into_iter().flat_map(requests_about) {
            let answer = cell.ask(host, JUTE, request.clone());
            let forbidden =
                matches!(&answer, Err(problem) if problem.kind == ProblemKind::Forbidden);
            assert!(forbidden, "{host}: {request:?}: {answer:?}");
        }
        for request in requests_about("by-jute") {
            let answer = cell.ask(host, JUTE, request.clone());
            assert!(answer.is_ok(), "{host}: {request:?}: {answer:?}");
        }
    }
    assert_eq!(cell.outcome("b1", RICE, &rice("by-rice")).ending, Ending::Succeeded);
    assert_eq!(cell.outcome("b1", JUTE, &rice("by-jute")).ending, Ending::Succeeded);
}
