//! Metrics: each method appears in the Prometheus text with its labels.

use std::time::Duration;

use shallotpost_daemon::metrics::{Direction, Lease, Metrics, Route, Target};
use shallotpost_protocol::port::Failure;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::{interface, table, work, worker};

fn shard(index: u32) -> Shard {
    Shard { data_centre: "kochi".to_owned(), index }
}

fn load(index: u32, waiting_tasks: u64) -> Load {
    Load {
        shard: shard(index),
        epoch: 1,
        capacity: Size::from_parts([16_000, 65_536, 8, 8]),
        booked: Size::from_parts([12_000, 4_096, 3, 2]),
        waiting: Size::from_parts([500, 100, 0, 1]),
        largest: Size::from_parts([16_000, 65_536, 8, 8]),
        waiting_tasks,
        running_tasks: 6,
        workers: 5,
        silent_workers: 1,
    }
}

fn record_samples(metrics: &Metrics) {
    let duration = Duration::from_millis(20);
    metrics.record_request(Route::from(&interface::Request::Overview), None, duration);
    metrics.record_request(Route::Submit, Some(ProblemKind::Overloaded), duration);
    metrics.record_refusal(&Problem::not_run(ProblemKind::Draining, "stopping"));
    metrics.record_wait(work::Class::Urgent, Duration::from_millis(6300));
    metrics.record_wait(work::Class::Gang { parts: 9 }, Duration::from_millis(20));
    metrics.set_shard_load(&load(0, 4));
    metrics.set_share_distance("intake", -0.25);
    let read = table::Request::Read { keys: Vec::new() };
    metrics.record_table_call(&read, None, duration);
    metrics.record_table_call(&read, None, duration);
    let transact = table::Request::Transact { checks: Vec::new(), writes: Vec::new() };
    metrics.record_table_call(&transact, Some(Failure::Ambiguous), duration);
    metrics.set_table_reachable(true);
    let claim = worker::Request::Claim { shard: shard(0), epoch: 1, lease: duration };
    metrics.record_worker_call(&claim, Some(Failure::NotSent), duration);
    metrics.count_peer_frame(Direction::Sent, &Frame::Ping { number: 1 });
    metrics.set_lease_left(Lease::Ownership, Duration::from_millis(2500));
    metrics.set_lease_left(Lease::Configuration, Duration::ZERO);
    metrics.set_configuration_revision(17);
    metrics.set_configuration_pending(2);
    metrics.set_freshness_age(Some(Duration::from_millis(1500)));
    metrics.count_retry(Target::Worker);
}

const EXPECTED: [&str; 31] = [
    r#"shallotpost_requests_total{result="ok",route="overview"} 1"#,
    r#"shallotpost_requests_total{result="overloaded",route="submit"} 1"#,
    r#"shallotpost_request_seconds_count{route="submit"} 1"#,
    r#"shallotpost_refusals_total{not_run="true",reason="draining"} 1"#,
    r#"shallotpost_waiting_seconds_bucket{class="urgent",le="6.2"} 0"#,
    r#"shallotpost_waiting_seconds_bucket{class="urgent",le="15"} 1"#,
    r#"shallotpost_waiting_seconds_sum{class="urgent"} 6.3"#,
    r#"shallotpost_waiting_seconds_bucket{class="gang",le="0.025"} 1"#,
    r#"shallotpost_tasks_waiting{shard="kochi/0"} 4"#,
    r#"shallotpost_tasks_running{shard="kochi/0"} 6"#,
    r#"shallotpost_workers{shard="kochi/0"} 5"#,
    r#"shallotpost_workers_silent{shard="kochi/0"} 1"#,
    r#"shallotpost_capacity{dimension="processors_milli",shard="kochi/0"} 16000"#,
    r#"shallotpost_capacity{dimension="slots",shard="kochi/0"} 8"#,
    r#"shallotpost_booked{dimension="memory_mib",shard="kochi/0"} 4096"#,
    r#"shallotpost_booked{dimension="accelerators",shard="kochi/0"} 3"#,
    r#"shallotpost_demand{dimension="processors_milli",shard="kochi/0"} 500"#,
    r#"shallotpost_share_distance{team="intake"} -0.25"#,
    r#"shallotpost_table_calls_total{operation="read",result="ok"} 2"#,
    r#"shallotpost_table_calls_total{operation="transact",result="ambiguous"} 1"#,
    r#"shallotpost_table_seconds_count{operation="read"} 2"#,
    "shallotpost_table_reachable 1",
    r#"shallotpost_worker_calls_total{operation="claim",result="not_sent"} 1"#,
    r#"shallotpost_worker_seconds_count{operation="claim"} 1"#,
    r#"shallotpost_peer_frames_total{direction="sent",kind="ping"} 1"#,
    r#"shallotpost_lease_left_seconds{lease="ownership"} 2.5"#,
    r#"shallotpost_lease_left_seconds{lease="configuration"} 0"#,
    "shallotpost_configuration_revision 17",
    "shallotpost_configuration_pending 2",
    "shallotpost_configuration_freshness_age_seconds 1.5",
    r#"shallotpost_retries_total{target="worker"} 1"#,
];

#[test]
fn each_method_appears_in_the_text() {
    let metrics = Metrics::new().expect("metrics");
    record_samples(&metrics);
    let text = metrics.render();
    for line in EXPECTED {
        assert!(text.lines().any(|candidate| candidate == line), "no line {line} in\n{text}");
    }
}

/// Guards against instruments that start with a value and against state shared between two instances.
#[test]
fn fresh_metrics_are_empty() {
    let other = Metrics::new().expect("metrics");
    record_samples(&other);
    let text = Metrics::new().expect("metrics").render();
    let samples: Vec<_> = text.lines().filter(|line| !line.starts_with('#')).collect();
    assert_eq!(samples, Vec::<&str>::new());
}

/// Guards against both the old and the new owner reporting the tasks of a shard after a takeover.
#[test]
fn lost_shards_and_removed_teams_end_their_series() {
    let metrics = Metrics::new().expect("metrics");
    metrics.set_shard_load(&load(0, 4));
    metrics.set_shard_load(&load(1, 5));
    metrics.set_share_distance("intake", 0.5);
    assert!(metrics.render().contains(r#"tasks_waiting{shard="kochi/1"} 5"#));
    metrics.set_shard_load(&load(0, 7));
    metrics.remove_shard(&shard(1));
    metrics.remove_team("intake");
    let text = metrics.render();
    assert!(text.contains(r#"tasks_waiting{shard="kochi/0"} 7"#), "{text}");
    assert!(!text.contains("kochi/1"), "{text}");
    assert!(!text.contains("intake"), "{text}");
}
