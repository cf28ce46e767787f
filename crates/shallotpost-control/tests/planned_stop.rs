//! Guards against requests that a planned stop cuts, and against work that waits for a host that has left.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::work::Ending;
use support::cell::Cell;
use support::deployment::{RICE, deploy, job, rice};

fn submit_jobs(cell: &mut Cell, count: usize) {
    for index in 0..count {
        let host = ["a1", "a2"][index % 2];
        let specification = job(&format!("job-{index}"), 1000 + 100 * index as u64, index % 2 == 0);
        cell.submit(host, RICE, specification);
    }
}

#[test]
fn stop_of_each_host() {
    for host in ["a1", "a2", "b1"] {
        let mut cell = deploy();
        submit_jobs(&mut cell, 12);
        let waits: Vec<RequestId> = (0..12)
            .map(|index| {
                let work = rice(&format!("job-{index}"));
                cell.request(host, RICE, Request::Wait { work, wait: Duration::from_secs(20) })
            })
            .collect();
        cell.run(Duration::from_millis(500));
        cell.stop(host);
        let stopped = cell.run_until(Duration::from_secs(30), |cell| cell.stopped(host));
        assert!(stopped, "{host} did not stop within its bound");
        for wait in waits {
            let answer = cell.answer(wait).cloned();
            let whole = matches!(&answer, Some(Ok(Reply::Outcome(outcome))) if outcome.ending == Ending::Succeeded);
            assert!(whole, "{host}: {answer:?}");
        }
        for index in 0..12 {
            assert_eq!(cell.starts(&format!("job-{index}")), 1, "{host}: job-{index}");
        }
    }
}

#[test]
fn new_work_during_stop() {
    let mut cell = deploy();
    cell.stop("a1");
    let answer = cell.ask("a1", RICE, Request::Submit(job("late", 10, true)));
    assert!(matches!(&answer, Err(problem) if problem.kind == ProblemKind::Draining), "{answer:?}");
    cell.submit("a2", RICE, job("late", 10, true));
    assert_eq!(cell.outcome("a2", RICE, &rice("late")).ending, Ending::Succeeded);
    assert_eq!(cell.starts("late"), 1);
}

/// A hand-over between the durable intent and the start must not leave work whose start is in doubt.
#[test]
fn hand_over_between_intent_and_start() {
    for (offset, stopping) in (0..200).step_by(5).zip(["a1", "a2", "b1", "b2"].into_iter().cycle())
    {
        let entry = if stopping.starts_with('a') { "b1" } else { "a1" };
        let mut cell = deploy();
        for index in 0..20 {
            cell.request(entry, RICE, Request::Submit(job(&format!("job-{index}"), 200, false)));
        }
        cell.run(Duration::from_millis(offset));
        cell.stop(stopping);
        cell.run(Duration::from_secs(10));
        for index in 0..20 {
            let name = format!("job-{index}");
            let outcome = cell.outcome(entry, RICE, &rice(&name));
            assert_eq!(
                outcome.ending,
                Ending::Succeeded,
                "stop of {stopping} after {offset} ms: {name}: {outcome:?}"
            );
        }
    }
}
