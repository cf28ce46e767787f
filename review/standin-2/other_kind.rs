//! Workers crash and are back under their identifiers, of another kind.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifiers of the jobs whose tasks require the kind "a" begin with this.
const JOBS: &str = "10000000";

/// Workers, half of them of kind "a". Those that crash are 0.125 of them, of 0.14 in the site file.
const WORKERS: usize = 32;
const CRASHES: usize = 4;

/// Time until the first of them crashes, time between two crashes, and time for which each is down, as in the site file.
const CRASH_AFTER: Duration = Duration::from_secs(6);
const GAP: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(4_500);

/// Time for which jobs come, and length of the case.
const TRAFFIC: Duration = Duration::from_secs(20);
const TIME: Duration = Duration::from_secs(30);

/// Four tasks need two workers each, so there is always one that waits for a worker of its kind.
const BODY: &str = r#"{"specification":"ms=1500","steps":[{"count":8,"cpu":30000,"requested_memory_mb":256,"estimated_ms":1500,"required_label":"a"}]}"#;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let of_kind = |at: &usize| site.workers[*at].place.kind == "a";
    let chosen: Vec<usize> = (0..site.workers.len()).filter(of_kind).take(CRASHES).collect();
    let begin = Instant::now();
    let mut next_job = begin;
    let mut sent = 0;
    let crashes = chosen.iter().zip(0u32..).map(|(at, turn)| (*at, CRASH_AFTER + GAP * turn));
    let mut to_crash: Vec<(usize, Duration)> = if trouble { crashes.collect() } else { Vec::new() };
    let mut down: Vec<(usize, Duration)> = Vec::new();
    while begin.elapsed() < TIME {
        if next_job <= Instant::now() && begin.elapsed() < TRAFFIC {
            next_job += Duration::from_millis(250);
            site.requester.submit(sent, &format!("{QUEUE}{JOBS}{sent:08x}"), BODY);
            sent += 1;
        }
        let elapsed = begin.elapsed();
        for (at, _) in to_crash.extract_if(.., |(_, due)| *due <= elapsed) {
            site.workers[at].crash();
            down.push((at, elapsed + DOWN));
        }
        for (at, _) in down.extract_if(.., |(_, due)| *due <= elapsed) {
            site.workers[at].restart_as(Some("b"));
        }
        sleep(Duration::from_millis(20));
    }
    site.end();
    let runs = record.runs(JOBS);
    let wrong: Vec<_> = runs.iter().filter(|(_, run)| run.kind != "a").collect();
    for (task, run) in wrong.iter().take(6) {
        let at = record.seconds(run.started);
        record.say(&format!("{at:.3} s: {task} starts on {} of kind {}", run.worker, run.kind));
    }
    record.say(&format!(
        "{} starts, {} of them without the required label",
        runs.len(),
        wrong.len()
    ));
    match () {
        () if !wrong.is_empty() => Outcome::Broken,
        () if runs.is_empty() => Outcome::CouldNotRun,
        () => Outcome::Held,
    }
}
