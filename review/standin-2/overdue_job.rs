//! A repeated job comes that can never be done, and whose first time is long past.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::record::Record;
use crate::site::{QUEUE, Site};

/// Identifier of the repeated job.
const JOB: &str = "1000000000000001";

/// Body of the repeated job: each hour, from the beginning of 1970, on workers with a label that none has.
const BODY: &str = r#"{"specification":"ms=500","steps":[{"count":4,"cpu":500,"requested_memory_mb":256,"estimated_ms":500,"required_label":"c"}],"repetitions":500000,"interval_ms":3600000}"#;

const WORKERS: usize = 12;

/// Time after the start of the traffic at which it comes.
const COMES_AFTER: Duration = Duration::from_secs(5);

/// Time for which small jobs come, and `finish_s`.
const TRAFFIC: Duration = Duration::from_secs(55);
const FINISH: Duration = Duration::from_secs(14);

/// `memory_mb` of an entry host, and the time after which a killed process is started again.
const MEMORY_KB: u64 = 260 << 10;
const RESTART_AFTER: Duration = Duration::from_millis(500);

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Outcome {
    let Some(mut site) = Site::start(record, folder, WORKERS, 64_000) else {
        return Outcome::CouldNotRun;
    };
    let begin = Instant::now();
    let mut sent = !trouble;
    let mut watched = Watched { ends: vec![0; site.hosts.len()], most_kb: 0, down: Vec::new() };
    let mut next_small = begin;
    while begin.elapsed() < TRAFFIC {
        if !sent && begin.elapsed() >= COMES_AFTER {
            sent = true;
            let accepted = site.requester.submit(0, &format!("{QUEUE}{JOB}"), BODY);
            record.say(&format!("the repeated job was accepted: {accepted}"));
            if !accepted {
                return Outcome::CouldNotRun;
            }
        }
        if next_small <= Instant::now() {
            next_small += Duration::from_millis(700);
            site.submit_small(4, 500, 500);
        }
        watch(&mut site, &mut watched, record);
    }
    record.line("no more small jobs come");
    let end = Instant::now() + FINISH;
    while Instant::now() < end {
        watch(&mut site, &mut watched, record);
    }
    site.count_unfinished();
    let waiting = site.count_without_runs(Duration::from_secs(3));
    site.record_log("ownership_won");
    site.end();
    for (host, ends) in site.hosts.iter().zip(&watched.ends) {
        record.say(&format!("{} ended {ends} times", host.name));
    }
    record.say(&format!("the most memory that a process was seen to use: {} kB", watched.most_kb));
    record.say(&format!("{waiting} small jobs, sent over 3 s before, have had nothing running"));
    match waiting > 0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// What was seen of the processes of the entry hosts.
struct Watched {
    ends: Vec<usize>,
    most_kb: u64,
    down: Vec<(usize, Instant)>,
}

/// Kills processes that use too much memory, and starts processes that have ended.
fn watch(site: &mut Site, watched: &mut Watched, record: &Record) {
    for (at, host) in site.hosts.iter_mut().enumerate() {
        let memory_kb = host.memory_kb();
        watched.most_kb = memory_kb.max(watched.most_kb);
        let own_end = host.own_end();
        if memory_kb > MEMORY_KB {
            host.kill();
            record.line(&format!("{} uses {memory_kb} kB and is killed", host.name));
        } else if let Some(end) = &own_end {
            record.line(&format!("{} has ended: {end}", host.name));
        } else {
            continue;
        }
        watched.ends[at] += 1;
        watched.down.push((at, Instant::now()));
    }
    for (at, _) in watched.down.extract_if(.., |(_, since)| since.elapsed() >= RESTART_AFTER) {
        site.hosts[at].launch();
    }
    sleep(Duration::from_millis(20));
}
