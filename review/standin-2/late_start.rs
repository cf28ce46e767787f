//! A worker leaves one start unanswered, crashes, and its next process carries the start out.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the job whose only task is started late.
const JOB: &str = "1000000000000001";

const WORKERS: usize = 16;

/// Time from the unanswered start until its worker crashes, and time for which it is down, as in the site file. The start is
/// carried out 10.5 s late, of 12 s.
const CRASH_AFTER: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(4_500);

/// Time for which the case watches after the job was sent.
const WATCH: Duration = Duration::from_secs(16);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    // Other starts, so that the unanswered one is a small share of all.
    for _ in 0..8 {
        site.submit_small(4, 500, 500);
        sleep(Duration::from_millis(250));
    }
    if trouble {
        site.late_order.expect(JOB);
    }
    let body = r#"{"specification":"ms=600","steps":[{"count":1,"cpu":500,"requested_memory_mb":256,"estimated_ms":600}]}"#;
    let path = format!("{QUEUE}{JOB}");
    if !site.requester.submit(0, &path, body) {
        record.say("the job was not accepted");
        return Outcome::CouldNotRun;
    }
    let sent = Instant::now();
    let mut kept: Option<(String, Instant)> = None;
    let (mut crashed, mut back) = (false, false);
    let mut noted = None;
    while sent.elapsed() < WATCH {
        kept = kept.or_else(|| site.late_order.taken());
        if let Some((name, at)) = &kept {
            let worker = site.workers.iter().find(|worker| worker.place.id == *name);
            let Some(worker) = worker else { return Outcome::CouldNotRun };
            if !crashed && at.elapsed() >= CRASH_AFTER {
                let ends = worker.listed_ends();
                let of_job = ends.iter().filter(|end| end.task.starts_with(JOB));
                noted = of_job.filter_map(|end| end.noted).max();
                crashed = true;
                worker.crash();
            }
            if crashed && !back && at.elapsed() >= CRASH_AFTER + DOWN {
                back = true;
                worker.restart();
            }
        }
        if sent.elapsed() < Duration::from_secs(8) {
            site.submit_small(4, 500, 500);
        }
        sleep(Duration::from_millis(250));
    }
    let state = site.requester.state(0, &path);
    site.end();
    let runs = record.runs(JOB);
    for (task, run) in &runs {
        let ended = run.ended.map(|(at, how)| format!("{how} at {:.3} s", record.seconds(at)));
        let started = record.seconds(run.started);
        record.say(&format!(
            "{task} run {} starts on {} at {started:.3} s, {}",
            run.run,
            run.worker,
            ended.unwrap_or_default()
        ));
    }
    let done = runs.iter().filter_map(|(_, run)| run.ended.filter(|(_, how)| *how == "done"));
    let Some((done, _)) = done.min_by_key(|(at, _)| *at) else { return Outcome::CouldNotRun };
    let again = runs.iter().filter(|(_, run)| run.started > done).count();
    let noted_s = noted.map_or(0.0, |noted| record.seconds(noted));
    record.say(&format!(
        "the job is {state}; its end was taken note of at {noted_s:.3} s; {again} starts after the task was done"
    ));
    match () {
        () if trouble && noted.is_none_or(|noted| noted < done) => Outcome::CouldNotRun,
        () if again > 0 => Outcome::Broken,
        () => Outcome::Held,
    }
}
