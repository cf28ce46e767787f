//! Guards against requests that a planned stop interrupts, and against work that waits for a host that has left.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::work::Ending;
use support::deployment::{RICE_KEY, deploy, job, rice_work};
use support::test_cluster::TestCluster;

fn submit_jobs(cluster: &mut TestCluster, count: usize) {
    for index in 0..count {
        let host = ["a1", "a2"][index % 2];
        let specification = job(&format!("job-{index}"), 1000 + 100 * index as u64, index % 2 == 0);
        cluster.submit(host, RICE_KEY, specification);
    }
}

#[test]
fn stop_of_each_host() {
    for host in ["a1", "a2", "b1"] {
        let mut cluster = deploy();
        submit_jobs(&mut cluster, 12);
        let waits: Vec<RequestId> = (0..12)
            .map(|index| {
                let work = rice_work(&format!("job-{index}"));
                cluster.request(
                    host,
                    RICE_KEY,
                    Request::Wait { work, wait: Duration::from_secs(20) },
                )
            })
            .collect();
        cluster.run(Duration::from_millis(500));
        cluster.stop(host);
        let stopped = cluster.run_until(Duration::from_secs(30), |cluster| cluster.stopped(host));
        assert!(stopped, "{host} did not stop within its bound");
        for wait in waits {
            let answer = cluster.answer(wait).cloned();
            let whole = matches!(&answer, Some(Ok(Reply::Outcome(outcome))) if outcome.ending == Ending::Succeeded);
            assert!(whole, "{host}: {answer:?}");
        }
        for index in 0..12 {
            assert_eq!(cluster.starts(&format!("job-{index}")), 1, "{host}: job-{index}");
        }
    }
}

#[test]
fn new_work_during_stop() {
    let mut cluster = deploy();
    cluster.stop("a1");
    let answer = cluster.ask("a1", RICE_KEY, Request::Submit(job("late", 10, true)));
    assert!(matches!(&answer, Err(problem) if problem.kind == ProblemKind::Draining), "{answer:?}");
    cluster.submit("a2", RICE_KEY, job("late", 10, true));
    assert_eq!(cluster.outcome("a2", RICE_KEY, &rice_work("late")).ending, Ending::Succeeded);
    assert_eq!(cluster.starts("late"), 1);
}

/// Guards against a handover between the durable intent and the start that leaves it unknown whether the work started.
#[test]
fn handover_between_intent_and_start() {
    for (offset, stopping) in (0..200).step_by(5).zip(["a1", "a2", "b1", "b2"].into_iter().cycle())
    {
        let entry = if stopping.starts_with('a') { "b1" } else { "a1" };
        let mut cluster = deploy();
        for index in 0..20 {
            cluster.request(
                entry,
                RICE_KEY,
                Request::Submit(job(&format!("job-{index}"), 200, false)),
            );
        }
        cluster.run(Duration::from_millis(offset));
        cluster.stop(stopping);
        cluster.run(Duration::from_secs(10));
        for index in 0..20 {
            let name = format!("job-{index}");
            let outcome = cluster.outcome(entry, RICE_KEY, &rice_work(&name));
            assert_eq!(
                outcome.ending,
                Ending::Succeeded,
                "stop of {stopping} after {offset} ms: {name}: {outcome:?}"
            );
        }
    }
}
