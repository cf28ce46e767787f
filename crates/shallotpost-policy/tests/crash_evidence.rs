//! Attribution of crashes to tasks. Guards against tasks that crash workers without end, and against sound tasks that are
//! given up because they shared a worker with one.

use std::time::Duration;

use shallotpost_policy::crash::{
    Crash, History, SETTLE_TIME, Verdict, is_common_cause, isolated_workers_max,
    yielding_isolated_workers_max,
};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn crash(run: u64, age: Duration, isolated: bool) -> Crash {
    Crash { run, age, isolated, certain: true }
}

/// A deadly task is isolated after its first crash, and given up within the three crashes that the platform allows.
#[test]
fn deadly_within_three_crashes() {
    let mut history = History::default();
    history.record(crash(1, ms(10), false));
    assert_eq!(history.verdict(), Verdict::Suspect);
    history.record(crash(2, ms(10), true));
    assert_eq!(history.verdict(), Verdict::Suspect);
    history.record(crash(3, ms(10), true));
    assert_eq!(history.verdict(), Verdict::Deadly);
}

/// Crashes that the task shared with others never condemn it, however many they are.
#[test]
fn shared_crashes_do_not_condemn() {
    let mut history = History::default();
    for run in 0..50 {
        history.record(crash(run, ms(10), false));
    }
    assert_eq!(history.verdict(), Verdict::Suspect);
}

/// Workers that are cut off look like crashed ones at first, and condemned sound tasks.
#[test]
fn silence_does_not_condemn() {
    let silence = |run| Crash { certain: false, ..crash(run, ms(10), true) };
    let mut history = History::default();
    for run in 1..=3 {
        history.record(silence(run));
    }
    assert_eq!(history.verdict(), Verdict::Suspect);
    history.record(crash(1, ms(10), true));
    assert_eq!(history.verdict(), Verdict::Suspect);
    history.record(crash(2, ms(10), true));
    assert_eq!(history.verdict(), Verdict::Deadly);
}

/// Workers that crash by themselves lose a long run several times, also in isolation, and its job was given up.
#[test]
fn ages_must_agree() {
    let mut history = History::default();
    for (run, age) in [(1, 3791), (2, 1237)] {
        history.record(crash(run, ms(age), false));
    }
    for (run, age) in [(3, 1222), (4, 1444)] {
        history.record(crash(run, ms(age), true));
        assert_eq!(history.verdict(), Verdict::Suspect);
    }
    let mut at_same_age = history.clone();
    at_same_age.record(crash(5, ms(1500), true));
    assert_eq!(at_same_age.verdict(), Verdict::Deadly);
    // Starts of a task that crashes its workers at any age are bounded too.
    history.record(crash(5, ms(3190), true));
    assert_eq!(history.verdict(), Verdict::Deadly);
}

/// A task may take its workers away for good, so that no crash is ever certain. It would be started without end.
#[test]
fn silence_is_bounded() {
    let mut history = History::default();
    for run in 1..=4 {
        assert_ne!(history.verdict(), Verdict::Deadly);
        history.record(Crash { certain: false, ..crash(run, ms(10), true) });
    }
    assert_eq!(history.verdict(), Verdict::Deadly);
}

/// An end that is reported twice counts once.
#[test]
fn runs_count_once() {
    let mut history = History::default();
    history.record(crash(1, ms(10), true));
    history.record(crash(1, ms(10), true));
    assert_eq!(history.verdict(), Verdict::Suspect);
}

/// A sound task that lost its run by accident is free again once a run has outlived the loss.
#[test]
fn survival_clears() {
    let mut history = History::default();
    history.record(crash(1, ms(10), true));
    history.record(crash(2, ms(2000), false));
    assert!(!history.survive(ms(9) + SETTLE_TIME));
    assert!(history.survive(ms(10) + SETTLE_TIME));
    assert_eq!(history.crashes(), [crash(2, ms(2000), false)]);
    assert_eq!(history.verdict(), Verdict::Sound);
    assert!(history.survive(history.isolation_time()));
    assert!(history.is_empty());
}

/// A task that crashes its workers some seconds after its start is isolated until that age, and found as well.
#[test]
fn late_crashes_count() {
    let mut history = History::default();
    history.record(crash(1, ms(2500), false));
    assert_eq!(history.verdict(), Verdict::Sound);
    history.record(crash(2, ms(2400), false));
    assert_eq!(history.verdict(), Verdict::Suspect);
    assert_eq!(history.isolation_time(), ms(2500) + SETTLE_TIME);
    history.record(crash(3, ms(2500), true));
    history.record(crash(4, ms(2500), true));
    assert_eq!(history.verdict(), Verdict::Deadly);
}

/// The loss of a rack or a data centre is not the fault of the tasks there; the crashes of a few deadly tasks are.
#[test]
fn common_causes() {
    assert!(!is_common_cause(3, 12));
    assert!(is_common_cause(4, 12));
    assert!(!is_common_cause(20, 540));
    assert!(is_common_cause(54, 540));
}

/// Isolation leaves most workers to sound tasks, and is possible in the smallest pool.
#[test]
fn few_workers_are_set_aside() {
    assert_eq!(isolated_workers_max(0), 1);
    assert_eq!(isolated_workers_max(3), 1);
    assert_eq!(isolated_workers_max(540), 135);
    assert_eq!(yielding_isolated_workers_max(3), 1);
    assert_eq!(yielding_isolated_workers_max(540), 33);
}
