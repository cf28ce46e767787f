//! Metrics page of a fleet's entry host.

use std::time::Duration;

use shallotpost_daemon::fleet::metrics::Metrics;
use shallotpost_fleet::port::{Counter, Timing};
use strum::IntoEnumIterator;

/// Every counter is on the page from the start, so that alerts do not see missing series. A histogram appears with its
/// first sample.
#[test]
fn page_lists_all() {
    let metrics = Metrics::new().expect("metrics");
    let page = metrics.render();
    for counter in Counter::iter() {
        assert!(page.contains(&format!("shallotpost_{counter}_total 0")), "{counter}: {page}");
    }
    for timing in Timing::iter() {
        metrics.record(timing, Duration::from_millis(30));
    }
    let page = metrics.render();
    for timing in Timing::iter() {
        let bucket = format!("shallotpost_{timing}_seconds_bucket{{le=\"0.05\"}} 1");
        assert!(page.contains(&bucket), "{timing}: {page}");
    }
}

#[test]
fn counters_add_up() {
    let metrics = Metrics::new().expect("metrics");
    metrics.add(Counter::Starts, 3);
    metrics.add(Counter::Starts, 4);
    assert!(metrics.render().contains("shallotpost_starts_total 7"));
}
