//! Guards against new work on a worker that is about to leave, and against overlooked dead workers.

mod support;

use shallotpost_control::prelude::*;
use shallotpost_protocol::work::Ending;
use support::cell::Cell;
use support::deployment::{RICE, deploy, job, rice, service};

/// A change of the cell.
type Step = fn(&mut Cell);

/// Time after which a leaving worker must get no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

#[test]
fn no_new_work() {
    let cases: [(&str, Step); 2] = [
        ("told by the list", |cell| cell.list_leaving("east-w0")),
        ("told by the worker", |cell| cell.worker("east-w0").leaving = true),
    ];
    for (name, begin) in cases {
        let mut cell = deploy();
        begin(&mut cell);
        cell.run(LEAVING_BOUND);
        let before = cell.worker("east-w0").starts.len();
        for index in 0..40 {
            cell.submit("a1", RICE, job(&format!("job-{index}"), 300, true));
        }
        cell.run(Duration::from_secs(10));
        assert_eq!(cell.worker("east-w0").starts.len(), before, "{name}");
    }
}

#[test]
fn dead_worker() {
    let mut cell = deploy();
    cell.submit("a1", RICE, service("intake", 8));
    cell.submit("a1", RICE, job("once", 60_000, false));
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.places("intake").len() == 8));
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.places("once").len() == 1));
    let (worker, _) = cell.places("once").remove(0);
    cell.silence(&worker, true);
    let replaced = cell.run_until(Duration::from_secs(20), |cell| {
        let places = cell.places("intake");
        places.len() == 8 && places.iter().all(|(place, _)| *place != worker)
    });
    assert!(replaced, "{:?}", cell.places("intake"));
    assert_eq!(cell.outcome("a1", RICE, &rice("once")).ending, Ending::Unknown);
}

#[test]
fn worker_fails_everything() {
    let mut cell = deploy();
    cell.worker("east-w0").fails_everything = true;
    for index in 0..60 {
        cell.submit("a1", RICE, job(&format!("job-{index}"), 200, true));
    }
    for index in 0..60 {
        let name = format!("job-{index}");
        assert_eq!(cell.outcome("a1", RICE, &rice(&name)).ending, Ending::Succeeded, "{name}");
    }
    let wasted = cell.worker("east-w0").starts.len();
    assert!(wasted <= 12, "{wasted} starts on a worker that fails everything");
}
