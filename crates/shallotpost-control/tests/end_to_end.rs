//! Guards the end-to-end path of work, from submission through one host to its outcome through another.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{Queue, Resource};
use shallotpost_protocol::work::{Class, Ending, Specification, State};
use support::deployment::{
    CAPACITY, JUTE_KEY, OPERATOR_KEY, RICE_KEY, deploy, job, put, rice_work, service,
};
use support::test_cluster::TestCluster;

#[test]
fn each_class() {
    let mut cluster = deploy();
    let gang = Specification { class: Class::Gang { parts: 3 }, ..job("gang", 500, true) };
    let urgent = Specification { class: Class::Urgent, ..job("urgent", 500, true) };
    for specification in [job("batch", 500, true), job("once", 500, false), gang, urgent] {
        let work = specification.work_id();
        cluster.submit("a1", RICE_KEY, specification);
        let outcome = cluster.outcome("b2", RICE_KEY, &work);
        assert_eq!(outcome.ending, Ending::Succeeded, "{work}: {outcome:?}");
    }
    assert_eq!(cluster.starts("gang"), 3);
    assert_eq!(cluster.starts("once"), 1);
}

#[test]
fn service_until_cancelled() {
    let mut cluster = deploy();
    cluster.submit("b1", RICE_KEY, service("intake", 3));
    let started = cluster
        .run_until(Duration::from_secs(5), |cluster| cluster.placements("intake").len() == 3);
    assert!(started, "{:?}", cluster.placements("intake"));
    let answer = cluster.ask("a2", RICE_KEY, Request::Cancel(rice_work("intake")));
    assert_eq!(answer, Ok(Reply::Cancelling));
    assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work("intake")).ending, Ending::Cancelled);
    assert!(cluster.placements("intake").is_empty());
}

#[test]
fn failing_work() {
    let mut cluster = deploy();
    let command = vec!["fail".to_owned(), "10".to_owned()];
    cluster.submit(
        "a1",
        RICE_KEY,
        Specification { command: command.clone(), ..job("again", 0, true) },
    );
    cluster.submit("a1", RICE_KEY, Specification { command, ..job("once", 0, false) });
    assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work("again")).ending, Ending::Failed);
    assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work("once")).ending, Ending::Failed);
    assert_eq!((cluster.starts("again"), cluster.starts("once")), (3, 1));
}

#[test]
fn status_from_each_host() {
    let mut cluster = deploy();
    cluster.submit("a1", RICE_KEY, service("intake", 1));
    cluster.run_until(Duration::from_secs(5), |cluster| cluster.placements("intake").len() == 1);
    for host in ["a1", "a2", "b1", "b2"] {
        let status = cluster.ask(host, RICE_KEY, Request::Status(rice_work("intake")));
        let Ok(Reply::Status(status)) = status else { panic!("{host}: {status:?}") };
        assert_eq!(status.state, State::Admitted);
        assert_eq!(status.tasks.len(), 1, "{host}");
    }
    let list = Request::List { team: "rice".to_owned(), after: String::new(), limit: 10 };
    let answer = cluster.ask("b1", RICE_KEY, list);
    assert!(matches!(&answer, Ok(Reply::Work { entries, .. }) if entries.len() == 1), "{answer:?}");
}

fn submit_all(cluster: &mut TestCluster, count: usize) -> Vec<RequestId> {
    let request = |cluster: &mut TestCluster, index: usize| {
        let host = ["a1", "a2", "b1", "b2"][index % 4];
        cluster.request(host, RICE_KEY, Request::Submit(job(&format!("job-{index}"), 200, true)))
    };
    (0..count).map(|index| request(cluster, index)).collect()
}

#[test]
fn many_jobs_once() {
    let mut cluster = deploy();
    let requests = submit_all(&mut cluster, 200);
    cluster.run(Duration::from_secs(5));
    for request in requests {
        let answer = cluster.answer(request).cloned();
        assert!(matches!(answer, Some(Ok(Reply::Accepted { .. }))), "{answer:?}");
    }
    for index in 0..200 {
        let name = format!("job-{index}");
        assert_eq!(cluster.outcome("a1", RICE_KEY, &rice_work(&name)).ending, Ending::Succeeded);
        assert_eq!(cluster.starts(&name), 1, "{name}");
    }
}

#[test]
fn workers_of_all_shards() {
    let mut cluster = deploy();
    cluster.submit("a1", RICE_KEY, service("intake", 3));
    cluster.run_until(Duration::from_secs(5), |cluster| cluster.placements("intake").len() == 3);
    cluster.set_silent("west-w3", true);
    cluster.run(Duration::from_secs(5));
    let list = |after: &str| Request::Workers { after: after.to_owned(), limit: 5 };
    let Ok(Reply::Workers { entries: first, more: true }) =
        cluster.ask("b1", OPERATOR_KEY, list(""))
    else {
        panic!("the first of two pages is expected")
    };
    let Ok(Reply::Workers { entries: second, more: false }) =
        cluster.ask("b1", OPERATOR_KEY, list(&first[4].worker))
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
    let refused = cluster.ask("b1", RICE_KEY, list(""));
    assert!(
        matches!(&refused, Err(problem) if problem.kind == ProblemKind::Forbidden),
        "{refused:?}"
    );
}

/// Requests about the work `rice/<id>`.
fn requests_about(id: &str) -> [Request; 4] {
    let wait = Duration::from_secs(5);
    [
        Request::Status(rice_work(id)),
        Request::Explain(rice_work(id)),
        Request::Wait { work: rice_work(id), wait },
        Request::Cancel(rice_work(id)),
    ]
}

/// Guards against a key of another team that reads or cancels more than it submitted itself to an open queue, through
/// any host and also after the end.
#[test]
fn work_of_another_team() {
    let mut cluster = deploy();
    let queue = Queue { team: "rice".to_owned(), open: true };
    put(&mut cluster, OPERATOR_KEY, "public", Resource::Queue(queue));
    cluster.run(Duration::from_secs(2));
    let queued = |id: &str, millis: u64| Specification {
        queue: Some("public".to_owned()),
        ..job(id, millis, true)
    };
    cluster.submit("a1", JUTE_KEY, queued("by-jute", 1000));
    cluster.submit("a1", RICE_KEY, queued("by-rice", 1000));
    for host in ["a1", "b2"] {
        for request in ["by-rice", "unknown"].into_iter().flat_map(requests_about) {
            let answer = cluster.ask(host, JUTE_KEY, request.clone());
            let forbidden =
                matches!(&answer, Err(problem) if problem.kind == ProblemKind::Forbidden);
            assert!(forbidden, "{host}: {request:?}: {answer:?}");
        }
        for request in requests_about("by-jute") {
            let answer = cluster.ask(host, JUTE_KEY, request.clone());
            assert!(answer.is_ok(), "{host}: {request:?}: {answer:?}");
        }
    }
    assert_eq!(cluster.outcome("b1", RICE_KEY, &rice_work("by-rice")).ending, Ending::Succeeded);
    assert_eq!(cluster.outcome("b1", JUTE_KEY, &rice_work("by-jute")).ending, Ending::Succeeded);
}
