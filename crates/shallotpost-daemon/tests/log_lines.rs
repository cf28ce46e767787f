//! Log output: JSON format, level filter, rate limit, and lines that are dropped instead of blocking.

use std::io::{BufRead, BufReader};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use shallotpost_daemon::logs::{RateLimiter, Writer};
use shallotpost_daemon::settings;
use shallotpost_protocol::port::{Level, Log};
use spdlog::sink::WriteSink;

const INTERVAL: Duration = Duration::from_secs(10);

fn writer(level: Level) -> (Writer, Arc<WriteSink<Vec<u8>>>) {
    let sink = WriteSink::builder().target(Vec::new()).build_arc().expect("a sink");
    let settings = settings::Log { level, repeat_limit: 2, repeat_interval: INTERVAL };
    (Writer::with_sink(&settings, Arc::clone(&sink)).expect("a writer"), sink)
}

fn event(level: Level, event: &'static str) -> Log {
    Log { level, event, fields: vec![("worker", "w\"1\n".to_owned()), ("attempt", "2".to_owned())] }
}

fn lines(sink: &WriteSink<Vec<u8>>) -> Vec<String> {
    let text = String::from_utf8(sink.clone_target()).expect("UTF-8");
    assert!(text.is_empty() || text.ends_with('\n'), "the last line is complete: {text:?}");
    text.lines().map(str::to_owned).collect()
}

#[test]
fn line_holds_time_level_event_and_fields_in_order() {
    let (mut writer, sink) = writer(Level::Info);
    let time = UNIX_EPOCH + Duration::from_millis(1_700_000_000_123);
    writer.write(&event(Level::Warn, "worker_silent"), Instant::now(), time);
    let expected = concat!(
        r#"{"time_unix_ms":1700000000123,"level":"warn","event":"worker_silent","#,
        r#""fields":{"worker":"w\"1\n","attempt":"2"}}"#
    );
    assert_eq!(lines(&sink), [expected]);
}

#[test]
fn level_filters_less_severe_events() {
    let levels = [Level::Error, Level::Warn, Level::Info, Level::Debug];
    for (index, minimum) in levels.into_iter().enumerate() {
        let (mut writer, sink) = writer(minimum);
        for level in levels {
            writer.write(&event(level, "event"), Instant::now(), SystemTime::now());
        }
        // The rate limit of two lines applies to the levels that pass the filter.
        assert_eq!(lines(&sink).len(), (index + 1).min(2), "{minimum}");
    }
}

/// Each step has the seconds since the start, the event name, and the expected result of `admit`.
#[test]
fn limiter_counts_suppressed_events_by_name() {
    let steps = [
        (0, "a", Some(0)),
        (1, "a", Some(0)),
        (2, "a", None),
        (2, "b", Some(0)),
        (9, "a", None),
        (10, "a", Some(2)),
        (11, "a", Some(0)),
        (19, "a", None),
        (45, "b", Some(0)),
        (45, "a", Some(1)),
    ];
    let mut limiter = RateLimiter::new(2, INTERVAL);
    let start = Instant::now();
    for (second, name, expected) in steps {
        let result = limiter.admit(name, start + Duration::from_secs(second));
        assert_eq!(result, expected, "second {second}, event {name}");
    }
}

/// Guards against a count that is lost because the event does not occur again.
#[test]
fn suppressed_events_are_reported_after_the_interval() {
    let (mut writer, sink) = writer(Level::Info);
    let start = Instant::now();
    for _ in 0..5 {
        writer.write(&event(Level::Warn, "table_slow"), start, UNIX_EPOCH);
    }
    let before = start + INTERVAL - Duration::from_millis(1);
    writer.report_suppressed(before, UNIX_EPOCH);
    assert_eq!(lines(&sink).len(), 2, "the interval is not over");
    writer.report_suppressed(start + INTERVAL, UNIX_EPOCH);
    writer.report_suppressed(start + INTERVAL * 2, UNIX_EPOCH);
    let lines = lines(&sink);
    assert_eq!(lines.len(), 3, "reported once: {lines:?}");
    let last: Value = serde_json::from_str(&lines[2]).expect("JSON");
    assert_eq!(last["event"], "events_suppressed");
    assert_eq!(last["fields"], json!({ "name": "table_slow" }));
    assert_eq!(last["suppressed"], 3);
}

/// Guards against a process that blocks because nobody reads the log and the pipe is full.
#[test]
fn full_pipe_drops_lines() {
    let (reader, pipe) = std::io::pipe().expect("a pipe");
    let settings =
        settings::Log { level: Level::Info, repeat_limit: u32::MAX, repeat_interval: INTERVAL };
    let mut writer = Writer::to_file(&settings, OwnedFd::from(pipe)).expect("a writer");
    let text = "x".repeat(1000);
    for _ in 0..400 {
        let log =
            Log { level: Level::Info, event: "run_started", fields: vec![("task", text.clone())] };
        writer.write(&log, Instant::now(), SystemTime::now());
    }
    let dropped = writer.take_dropped();
    assert!((1..400).contains(&dropped), "{dropped} lines were dropped");
    drop(writer);
    let lines = BufReader::new(reader).lines().map(|line| line.expect("a line"));
    let complete = lines.filter(|line| serde_json::from_str::<Value>(line).is_ok()).count();
    assert_eq!(u64::try_from(complete).expect("it is small") + dropped, 400);
}

/// A line that exceeds the atomic write size of a pipe is dropped, because writing it could block.
#[test]
fn long_line_is_dropped() {
    let (reader, pipe) = std::io::pipe().expect("a pipe");
    let settings = settings::Log { level: Level::Info, repeat_limit: 9, repeat_interval: INTERVAL };
    let mut writer = Writer::to_file(&settings, OwnedFd::from(pipe)).expect("a writer");
    let fields = vec![("path", "x".repeat(5000))];
    writer.write(
        &Log { level: Level::Info, event: "rejected", fields },
        Instant::now(),
        SystemTime::now(),
    );
    writer.write(&event(Level::Info, "short"), Instant::now(), SystemTime::now());
    assert_eq!(writer.take_dropped(), 1);
    drop(writer);
    assert_eq!(BufReader::new(reader).lines().count(), 1);
}
