//! A job with many tasks that write checkpoints is at work when two workers fail what they run.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the large job.
pub const JOB: &str = "1000000000000001";

/// Tasks of the large job. Each takes a quarter of a core and lasts longer than the case.
const TASKS: usize = 3_600;

/// Workers of 64 cores, and those that fail their runs: 0.083, of 0.085 in the site file.
const WORKERS: usize = 24;
const UNHEALTHY: usize = 2;

/// Runs of a worker that the large job fills.
const BUSY: usize = 200;

/// Time after the large job is at work until the workers fail their runs.
const FAIL_AFTER: Duration = Duration::from_secs(5);

/// Time for which they fail their runs; 6.5 s in the site file.
const FAILING: Duration = Duration::from_secs(5);

/// Time for which small jobs come.
const TRAFFIC: Duration = Duration::from_secs(40);

/// `finish_s` and `acknowledge_ms`.
const FINISH: Duration = Duration::from_secs(14);
const ACKNOWLEDGE: Duration = Duration::from_millis(4_000);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let body = format!(
        r#"{{"specification":"ms=300000 saves=1","steps":[{{"count":{TASKS},"cpu":250,"requested_memory_mb":64,"estimated_ms":300000,"checkpointing":true}}]}}"#
    );
    if !site.requester.submit(0, &format!("{QUEUE}{JOB}"), &body) {
        record.say("the large job was not accepted");
        return Outcome::CouldNotRun;
    }
    let end = Instant::now() + Duration::from_secs(25);
    while site.count_running() < TASKS && Instant::now() < end {
        sleep(Duration::from_millis(100));
    }
    record.say(&format!("{} tasks of the large job run", site.count_running()));
    if site.count_running() < TASKS {
        return Outcome::CouldNotRun;
    }
    let begin = Instant::now();
    let mut failed = !trouble;
    while begin.elapsed() < TRAFFIC {
        if !failed && begin.elapsed() >= FAIL_AFTER {
            failed = true;
            let busy = site.workers.iter().filter(|worker| worker.running().len() >= BUSY);
            busy.take(UNHEALTHY).for_each(|worker| worker.fail_runs(FAILING));
        }
        site.submit_small(4, 500, 500);
        sleep(Duration::from_millis(500));
    }
    sleep(FINISH);
    // Not part of the check: shown for what it means to the requesters.
    site.count_unfinished();
    let now = Instant::now();
    let (mut listed, mut not_noted) = (0, 0);
    for worker in &site.workers {
        for end in worker.listed_ends() {
            if now.saturating_duration_since(end.listed) < ACKNOWLEDGE {
                continue;
            }
            let in_time = |noted: Instant| noted <= end.listed + ACKNOWLEDGE;
            listed += 1;
            not_noted += usize::from(!end.noted.is_some_and(in_time));
        }
    }
    site.record_log("ownership_won");
    site.end();
    let (accepted, refused) = site.store.transactions();
    record.say(&format!(
        "store: {accepted} transactions, {} refused with 400, the first for {}",
        refused.len(),
        refused.first().map_or("nothing", String::as_str)
    ));
    record.say(&format!(
        "{listed} ends listed, {not_noted} of them not taken note of within {} ms",
        ACKNOWLEDGE.as_millis()
    ));
    match not_noted * 5 > listed {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
