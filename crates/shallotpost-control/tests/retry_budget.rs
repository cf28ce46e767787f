//! Guards the retry budget and the retry backoff.

use shallotpost_control::commit::retry::{BACKOFF_MAX, RETRY_BUDGET_MAX, Retry};
use shallotpost_control::prelude::*;

/// Retries that happen within `time` when each call fails at once.
fn retries(retry: &mut Retry, from: Instant, time: Duration) -> (usize, Instant) {
    let (mut now, mut count) = (from, 0);
    loop {
        let next = retry.record_failure(now);
        if next > from + time {
            return (count, now);
        }
        (now, count) = (next, count + 1);
    }
}

/// Guards against a constant load of retries during a long outage.
#[test]
fn a_failing_service_gets_few_retries_and_still_recovers() {
    let start = Instant::now();
    let mut retry = Retry::new(1);
    let (count, last) = retries(&mut retry, start, Duration::from_secs(60));
    assert!((30..=80).contains(&count), "{count} retries in 60 s");
    assert!(start + Duration::from_secs(60) - last <= BACKOFF_MAX, "retries go on");
}

/// A tenth of the successful calls may be retried, even where the backoff is short because they alternate.
#[test]
fn the_budget_is_a_tenth_of_the_successes() {
    let start = Instant::now();
    let mut retry = Retry::new(1);
    let mut spends = |_: &u32| {
        retry.record_success();
        retry.record_failure(start) - start < Duration::from_millis(51)
    };
    let first = (0..100).take_while(|pass| spends(pass)).count() as f64;
    // Each pass earns 0.1 and costs 1.
    assert_eq!(first, (RETRY_BUDGET_MAX / 0.9).floor());
}

/// Guards against hosts that failed together and retry in lockstep.
#[test]
fn the_jitter_differs_by_seed_only() {
    let start = Instant::now();
    let delays = |seed| {
        let mut retry = Retry::new(seed);
        (0..5).map(|_| retry.record_failure(start) - start).collect::<Vec<Duration>>()
    };
    assert_eq!(delays(1), delays(1));
    assert_ne!(delays(1), delays(2));
    assert!(delays(1).windows(2).all(|pair| pair[0] < pair[1]), "exponential");
}
