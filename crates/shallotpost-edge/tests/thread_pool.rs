//! Thread pool: which jobs it admits and which it rejects.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::mpsc::channel;

use shallotpost_edge::pool::{Limits, ThreadPool};
use support::TEST_TIMEOUT;

fn pool(max_threads: usize, max_queued: usize) -> ThreadPool {
    ThreadPool::new("test", Limits { max_threads, max_queued, stack_bytes: 128 << 10 })
}

/// Guards against a job that is rejected because the thread of the job before, which has reported its result, has not
/// yet returned to the pool.
#[test]
fn released_slots_are_free() {
    let pool = pool(1, 0);
    let (report, reports) = channel();
    let (resume, resumed) = channel::<()>();
    let first = report.clone();
    assert!(pool.execute(Box::new(move |slot| {
        drop(slot);
        first.send(1).unwrap();
        resumed.recv_timeout(TEST_TIMEOUT).unwrap();
    })));
    assert_eq!(reports.recv_timeout(TEST_TIMEOUT), Ok(1));
    assert!(pool.execute(Box::new(move |_slot| report.send(2).unwrap())));
    resume.send(()).unwrap();
    assert_eq!(reports.recv_timeout(TEST_TIMEOUT), Ok(2));
}

/// Guards against more jobs in progress than the limits allow, and against a job that is rejected below them.
#[test]
fn limits_are_exact() {
    for (max_threads, max_queued) in [(1, 0), (2, 0), (1, 1), (3, 2)] {
        let pool = pool(max_threads, max_queued);
        let (report, reports) = channel();
        let submit = || {
            let (resume, resumed) = channel::<()>();
            let report = report.clone();
            let admitted = pool.execute(Box::new(move |_slot| {
                resumed.recv_timeout(TEST_TIMEOUT).unwrap();
                report.send(()).unwrap();
            }));
            admitted.then_some(resume)
        };
        let admitted: Vec<_> = std::iter::from_fn(submit).take(100).collect();
        assert_eq!(admitted.len(), max_threads + max_queued);
        admitted.iter().for_each(|resume| resume.send(()).unwrap());
        admitted.iter().for_each(|_| reports.recv_timeout(TEST_TIMEOUT).unwrap());
    }
}
