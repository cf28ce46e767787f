//! Guards the verdict on tasks whose runs were lost with their workers.

use shallotpost_policy::losses::{self, Verdict};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Loss;

fn loss(index: u32, incarnation: u64, alone: bool, certain: bool) -> Loss {
    let (worker, age) = ("w".to_owned(), Duration::from_secs(incarnation));
    Loss { index, attempt: 1, worker, incarnation, age, alone, certain }
}

/// Guards against tasks that are given up for crashes that are not certain, or while other work ran on the worker.
#[test]
fn verdicts() {
    use Verdict::{Deadly, Sound, Suspect};
    // Certain crashes alone, certain crashes beside other work, uncertain losses.
    let cases = [
        ([0, 0, 0], Sound),
        ([1, 0, 0], Sound),
        ([0, 0, 1], Sound),
        ([0, 2, 0], Suspect),
        ([0, 0, 7], Suspect),
        ([0, 7, 0], Suspect),
        ([2, 0, 5], Suspect),
        ([1, 6, 0], Suspect),
        ([3, 0, 0], Deadly),
        ([2, 1, 0], Deadly),
    ];
    for ([alone, shared, uncertain], expected) in cases {
        let kinds = [(alone, true, true), (shared, false, true), (uncertain, true, false)];
        let kinds = kinds
            .into_iter()
            .flat_map(|(count, alone, certain)| std::iter::repeat_n((alone, certain), count));
        let mut all = Vec::new();
        for (number, (alone, certain)) in kinds.enumerate() {
            losses::record(&mut all, loss(3, number as u64, alone, certain));
        }
        assert_eq!(losses::verdict(&all, 3), expected, "{alone} {shared} {uncertain}");
        assert_eq!(losses::verdict(&all, 2), Sound, "losses of another task");
    }
}

/// Guards against one crash that counts twice, and against losses that push certain crashes out of the record.
#[test]
fn recorded_once() {
    let mut all = Vec::new();
    for _ in 0..3 {
        losses::record(&mut all, loss(0, 1, true, true));
    }
    assert_eq!(all.len(), 1);
    losses::record(&mut all, loss(1, 1, true, true));
    (2..40).for_each(|number| losses::record(&mut all, loss(0, number, true, false)));
    assert!(all.len() < 12, "{} losses", all.len());
    assert!(all.contains(&loss(0, 1, true, true)) && all.contains(&loss(1, 1, true, true)));
}

/// Guards against losses that stay although the worker was only out of reach, and against crashes that stay uncertain.
#[test]
fn resolved() {
    let mut all = vec![loss(0, 1, true, false), loss(0, 2, true, false), loss(0, 3, true, true)];
    assert!(!losses::resolve(&mut all, "other", 2));
    assert!(losses::resolve(&mut all, "w", 2));
    assert_eq!(all, [loss(0, 1, true, true), loss(0, 3, true, true)]);
    assert!(!losses::resolve(&mut all, "w", 3), "a certain crash stays");
    assert_eq!(all.len(), 2);
}

/// Guards against restarts without a pause, and against delays that grow without bound or hold up sound tasks.
#[test]
fn delays() {
    let seconds = |count: u64| {
        let all: Vec<Loss> = (0..count).map(|number| loss(0, number, false, false)).collect();
        losses::restart_delay(&all, 0).as_secs()
    };
    assert_eq!([0, 1, 2, 3, 4, 8, 90].map(seconds), [0, 0, 10, 20, 40, 600, 600]);
}

/// Guards against isolation that ends before a run has outlived all losses of its work, or never.
#[test]
fn isolation_times() {
    let time = |ages: &[u64]| {
        let all: Vec<Loss> = ages.iter().map(|age| loss(0, *age, false, true)).collect();
        losses::isolation_time(&all)
    };
    assert!(time(&[5, 60, 7]) > Duration::from_secs(60));
    assert_eq!(time(&[1, 5_000]), losses::SURVIVAL_TIME);
}
