//! A gang with many small members comes to an idle fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the job.
pub const JOB: &str = "1000000000000001";

/// Members of the gang, and of the small gang that comes in its place without the disruption. Each takes a tenth of a core.
const MEMBERS: usize = 1_000;
const MEMBERS_FEW: usize = 100;

const WORKERS: usize = 20;

/// Time for which the case watches.
const WATCH: Duration = Duration::from_secs(60);

/// `finish_s`, and the time for which a job may have nothing running after it.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_MAX: Duration = Duration::from_secs(3);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let members = if trouble { MEMBERS } else { MEMBERS_FEW };
    let path = format!("{QUEUE}{JOB}");
    let body = format!(
        r#"{{"specification":"ms=3000 gang={members}","steps":[{{"count":{members},"cpu":100,"requested_memory_mb":64,"estimated_ms":3000,"gang_scheduled":true}}]}}"#
    );
    if !site.requester.submit(0, &path, &body) {
        record.say("the job was not accepted");
        return Outcome::CouldNotRun;
    }
    let sent = Instant::now();
    let mut next_look = sent;
    let mut state = String::new();
    let mut nothing_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    while sent.elapsed() < WATCH && state != "completed" {
        sleep(Duration::from_millis(50));
        let running = site.count_running();
        let asked = sent.elapsed() >= FINISH;
        nothing_since = match running {
            0 if asked => Some(nothing_since.unwrap_or_else(Instant::now)),
            _ => None,
        };
        longest = nothing_since.map_or(longest, |since| longest.max(since.elapsed()));
        if next_look <= Instant::now() {
            next_look += Duration::from_secs(1);
            record.line(&format!("{running} members run"));
            state = site.requester.state(0, &path);
        }
    }
    site.record_log("worker_silent");
    site.end();
    let runs = record.runs(JOB);
    let attempts: BTreeSet<u64> = runs.iter().map(|(_, run)| run.run).collect();
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, run) in &runs {
        *ends.entry(run.ended.map_or("still there", |(_, how)| how)).or_default() += 1;
    }
    record
        .say(&format!("{} attempts to start the gang; ends of members: {ends:?}", attempts.len()));
    record.say(&format!(
        "the job is {state} {:.0} s after it was accepted; nothing of it ran for {:.1} s on end",
        sent.elapsed().as_secs_f64(),
        longest.as_secs_f64()
    ));
    match () {
        () if longest >= NOTHING_MAX => Outcome::Broken,
        () if state == "completed" => Outcome::Held,
        () => Outcome::CouldNotRun,
    }
}
