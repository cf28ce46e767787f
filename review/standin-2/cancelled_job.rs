//! A job with many tasks is cancelled while it runs.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the job that is cancelled.
pub const JOB: &str = "1000000000000001";

/// Its tasks. Each takes a tenth of a core and lasts longer than the case.
const TASKS: usize = 6_000;

const WORKERS: usize = 20;

/// `cancel_ms` and `stop_timeout_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after the cancelling for which the case watches.
const WATCH: Duration = Duration::from_secs(15);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let path = format!("{QUEUE}{JOB}");
    let body = format!(
        r#"{{"specification":"ms=300000","steps":[{{"count":{TASKS},"cpu":100,"requested_memory_mb":64,"estimated_ms":300000}}]}}"#
    );
    if !site.requester.submit(0, &path, &body) {
        record.say("the job was not accepted");
        return Outcome::CouldNotRun;
    }
    let end = Instant::now() + Duration::from_secs(40);
    while site.count_running() < TASKS && Instant::now() < end {
        sleep(Duration::from_millis(50));
    }
    record.say(&format!("{} tasks run", site.count_running()));
    if site.count_running() < TASKS {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(3));
    if trouble {
        let answer = site.requester.call(1, "DELETE", &path, "");
        record.say(&format!("DELETE {path}: {answer:?}"));
        if answer.is_none_or(|(status, _)| status != 200) {
            return Outcome::CouldNotRun;
        }
    }
    let cancelled = Instant::now();
    let mut late = 0;
    while cancelled.elapsed() < WATCH {
        let left = site.count_running();
        let elapsed = cancelled.elapsed();
        record.line(&format!("{left} tasks run"));
        if elapsed > CANCEL + STOP_TIMEOUT {
            late = left.max(late);
        }
        if left == 0 {
            break;
        }
        sleep(Duration::from_millis(100));
    }
    let gone = cancelled.elapsed();
    site.record_log("worker_silent");
    let silent: usize =
        site.hosts.iter().map(|host| host.log_lines("\"worker_silent\"").len()).sum();
    site.end();
    record.say(&format!("{silent} times a worker that answers counted as silent"));
    if !trouble {
        return Outcome::Held;
    }
    let seconds = gone.as_secs_f64();
    record.say(&format!("{late} tasks ran on after the bound; none after {seconds:.1} s"));
    match late > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
