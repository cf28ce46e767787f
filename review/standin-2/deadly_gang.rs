//! A gang whose members crash the workers that start them.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the job.
const JOB: &str = "1000000000000001";

/// Members of the gang. Each takes more than half of a worker.
const MEMBERS: usize = 5;

const WORKERS: usize = 40;

/// Starts of a task that are allowed: under three of them workers have crashed, and fewer than three follow.
const STARTS_MAX: usize = 5;

/// Starts at which the case ends early.
const STARTS_SHOWN: usize = 12;

const TIME_MAX: Duration = Duration::from_secs(90);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let path = format!("{QUEUE}{JOB}");
    let crash = if trouble { " crash=1000" } else { "" };
    let body = format!(
        r#"{{"specification":"ms=3000 gang={MEMBERS}{crash}","steps":[{{"count":{MEMBERS},"cpu":40000,"requested_memory_mb":1024,"estimated_ms":3000,"gang_scheduled":true,"image":"i1"}}]}}"#
    );
    if !site.requester.submit(0, &path, &body) {
        record.say("the job was not accepted");
        return Outcome::CouldNotRun;
    }
    let begin = Instant::now();
    let mut state = String::new();
    while begin.elapsed() < TIME_MAX
        && record.runs(JOB).len() < STARTS_SHOWN * MEMBERS
        && !["failed", "completed"].contains(&state.as_str())
    {
        sleep(Duration::from_millis(500));
        state = site.requester.state(0, &path);
    }
    let mut starts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (task, run) in record.runs(JOB) {
        let how = run.ended.map_or("runs", |(_, how)| how);
        starts.entry(task).or_default().push(format!("{} {how}", run.worker));
    }
    [
        "ownership_won",
        "worker_lost",
        "worker_silent",
        "worker_contact",
        "task_suspected",
        "job_given_up",
    ]
    .iter()
    .for_each(|event| site.record_log(event));
    site.end();
    for (task, starts) in &starts {
        record.say(&format!("{task}: {} starts: {}", starts.len(), starts.join(", ")));
    }
    record.say(&format!("the job is {state} after {:.0} s", begin.elapsed().as_secs_f64()));
    let lost = |starts: &Vec<String>| starts.iter().filter(|run| run.ends_with("lost")).count();
    let broken = starts.values().any(|starts| starts.len() > STARTS_MAX && lost(starts) >= 3);
    match () {
        () if broken => Outcome::Broken,
        () if state == "failed" || state == "completed" => Outcome::Held,
        () => Outcome::CouldNotRun,
    }
}
