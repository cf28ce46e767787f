//! Service that is slower than announced for a while. Guards against waits that stay too short while it is slow, and too
//! long after it has become quick again.

use std::time::Duration;

use shallotpost_policy::approval_pace::Pace;

const ANNOUNCED: Duration = Duration::from_millis(50);

/// A wait that ends before the answer arrives makes the caller ask again in vain.
#[test]
fn slow_service() {
    let mut pace = Pace::default();
    for _ in 0..8 {
        pace.record(ANNOUNCED, ANNOUNCED * 6);
    }
    assert!(pace.expected(ANNOUNCED * 2) > ANNOUNCED * 6, "{:?}", pace.expected(ANNOUNCED * 2));
}

/// A service that recovers must not be treated as slow for long.
#[test]
fn quick_again() {
    let mut pace = Pace::default();
    (0..20).for_each(|_| pace.record_silence());
    for _ in 0..20 {
        pace.record(ANNOUNCED, ANNOUNCED);
    }
    assert!(pace.factor() < 1.5, "{}", pace.factor());
}

/// Delays of the network must not make a service with short calls look slow.
#[test]
fn short_calls() {
    let mut pace = Pace::default();
    let announced = Duration::from_millis(5);
    (0..20).for_each(|_| pace.record(announced, announced * 3));
    assert!(pace.factor() < 1.1, "{}", pace.factor());
}

/// A policy may announce any duration. An overflow would end the owner.
#[test]
fn huge_duration() {
    let mut pace = Pace::default();
    pace.record(Duration::MAX, Duration::MAX);
    assert!(pace.expected(Duration::MAX) < Duration::from_secs(60));
}
