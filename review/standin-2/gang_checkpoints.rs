//! The workers of one rack crash while a gang that writes checkpoints runs there.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the job.
const JOB: &str = "1000000000000001";

/// Members of the gang. Each takes more than half of a worker, so they take all workers of a rack.
const MEMBERS: usize = 4;

/// Workers, 4 a rack. One rack is 0.125 of them, of 0.14 in the site file.
const WORKERS: usize = 32;

/// Age of the gang at which its workers crash.
const AGE: Duration = Duration::from_millis(5_200);

/// Time for which the workers are down, as in the site file.
const DOWN: Duration = Duration::from_millis(4_500);

const TIME_MAX: Duration = Duration::from_secs(80);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let begin = Instant::now();
    for _ in 0..6 {
        site.submit_small(3, 700, 2_000);
        sleep(Duration::from_millis(250));
    }
    let path = format!("{QUEUE}{JOB}");
    let body = format!(
        r#"{{"specification":"ms=20000 saves=1 gang={MEMBERS}","steps":[{{"count":{MEMBERS},"cpu":40000,"requested_memory_mb":1024,"estimated_ms":20000,"gang_scheduled":true,"same_rack":true,"checkpointing":true}}]}}"#
    );
    if !site.requester.submit(0, &path, &body) {
        record.say("the job was not accepted");
        return Outcome::CouldNotRun;
    }
    let mut crashed: Option<(Instant, Vec<usize>)> = None;
    let mut back = !trouble;
    let mut state = String::new();
    while begin.elapsed() < TIME_MAX && state != "completed" {
        site.submit_small(3, 700, 2_000);
        sleep(Duration::from_millis(250));
        let runs = record.runs(JOB);
        let of_age = runs.iter().filter(|(_, run)| run.started.elapsed() >= AGE).count();
        match &crashed {
            None if trouble && of_age >= MEMBERS => {
                let down = workers_of_gang_racks(&site);
                record.say(&format!("the {} workers of the gang's rack crash", down.len()));
                down.iter().for_each(|at| site.workers[*at].crash());
                crashed = Some((Instant::now(), down));
            }
            Some((at, down)) if !back && at.elapsed() >= DOWN => {
                down.iter().for_each(|at| site.workers[*at].restart());
                back = true;
            }
            _ => {}
        }
        state = site.requester.state(0, &path);
    }
    site.end();
    let mut starts: BTreeMap<u64, Vec<(String, String)>> = BTreeMap::new();
    for (task, run) in record.runs(JOB) {
        starts.entry(run.run).or_default().push((task, run.checkpoint));
    }
    let mut differ = false;
    for (number, members) in &starts {
        record.say(&format!("run {number}: {members:?}"));
        differ |= members.iter().any(|(_, checkpoint)| *checkpoint != members[0].1);
    }
    record.say(&format!(
        "the job is {state}; members of one run got different checkpoints: {differ}"
    ));
    match differ {
        true => Outcome::Broken,
        false if state == "completed" => Outcome::Held,
        false => Outcome::CouldNotRun,
    }
}

/// Returns the positions of all workers of the racks on which the gang runs.
fn workers_of_gang_racks(site: &Site) -> Vec<usize> {
    let runs_gang = |task: &String| task.starts_with(JOB);
    let workers = site.workers.iter();
    let racks: Vec<&str> = workers
        .filter(|worker| worker.running().iter().any(runs_gang))
        .map(|worker| worker.place.rack.as_str())
        .collect();
    let on_rack = |at: &usize| racks.contains(&site.workers[*at].place.rack.as_str());
    (0..site.workers.len()).filter(on_rack).collect()
}
