//! The workers of one zone after the other go down and come back, while short jobs come all the time.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{FINISH, Record, Site, ZONES, configuration, job, route, tenant};

const KEYS: [&str; 3] = ["key-of-hule930", "key-of-ruba114", "key-of-lina207"];
const PREFIX: &str = "/lohu930/";

/// Senders of jobs, and the pause of each after a job: 15 jobs a second in all.
const SENDERS: u64 = 9;
const PAUSE: Duration = Duration::from_millis(580);

/// Tasks of a job, and their durations.
const TASKS: u64 = 6;
const LEAST_MS: u64 = 300;
const MOST_MS: u64 = 1_100;

/// For how long the workers of a zone are down, and the time from the beginning of one zone to that of the next.
const DOWN: Duration = Duration::from_millis(4_500);
const STEP: Duration = Duration::from_secs(6);
const TIMES: u32 = 14;

/// Crashes under a task after which its job may be given up.
const CRASHES: usize = 2;

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Option<bool> {
    let tenants = ["hule930", "ruba114", "lina207"].into_iter().zip(KEYS);
    let tenants = tenants.map(|(name, key)| tenant(name, key)).collect();
    let routes = vec![route("r-1", PREFIX, 0)];
    let site = Site::start(folder, record, &configuration(7, routes, tenants))?;
    thread::sleep(Duration::from_secs(3));
    let accepted = Mutex::new(Vec::new());
    let (ended, next) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for sender in 0..SENDERS {
            let (site, accepted, ended, next) = (&site, &accepted, &ended, &next);
            scope.spawn(move || {
                let key = KEYS[sender as usize % KEYS.len()];
                while !ended.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst) + 1;
                    let path =
                        format!("{PREFIX}{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    let body = job(TASKS, 1_000, LEAST_MS, MOST_MS, false);
                    let answer = site.request(number as usize, "POST", &path, key, Some(&body));
                    if answer.is_some_and(|(status, _)| status == 200) {
                        accepted.lock().expect("poisoned").push((path, key));
                    }
                    thread::sleep(PAUSE);
                }
            });
        }
        let start = Instant::now();
        for time in 0..TIMES {
            let begin = start + STEP * time;
            thread::sleep(begin.saturating_duration_since(Instant::now()));
            let zone = ZONES[time as usize % ZONES.len()];
            let workers = || site.workers.iter().filter(|worker| worker.zone == zone);
            if trouble {
                record.line(&format!("the workers of {zone} go down"));
                workers().for_each(|worker| worker.set_cut(true));
                workers().for_each(|worker| worker.crash());
                thread::sleep(DOWN);
                workers().for_each(|worker| worker.restart());
                workers().for_each(|worker| worker.set_cut(false));
                record.line(&format!("the workers of {zone} are back"));
            }
        }
        thread::sleep((start + STEP * TIMES).saturating_duration_since(Instant::now()));
        ended.store(true, Ordering::SeqCst);
    });
    record.line("the traffic has ended");
    thread::sleep(FINISH);
    let accepted = accepted.into_inner().expect("poisoned");
    let mut runs = BTreeMap::<String, Vec<&'static str>>::new();
    for begun in site.workers.iter().flat_map(|worker| worker.history()) {
        runs.entry(begun.task).or_default().push(begun.end.map_or("runs", |(_, how)| how));
    }
    let (mut states, mut without_cause) = (BTreeMap::<String, u32>::new(), 0);
    for (position, (path, key)) in accepted.iter().enumerate() {
        let answer = site.request(position, "GET", path, key, None);
        let state = match answer {
            Some((200, body)) => body.get("state").text().to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        if state == "failed" {
            let id = &path[PREFIX.len()..];
            let task = |index: u64| format!("{id}.0.0.{index}");
            let ends = |index| runs.get(&task(index)).cloned().unwrap_or_default();
            let count = |how: &str| {
                let counts =
                    (0..TASKS).map(|index| ends(index).iter().filter(|end| **end == how).count());
                counts.max().unwrap_or_default()
            };
            let (crashed, failed) = (count("crashed"), count("failed"));
            let never = (0..TASKS).filter(|index| ends(*index).is_empty()).count();
            record.line(&format!(
                "job {id} is shown as failed: most crashes under one task {crashed}, most failed ends of one {failed}, tasks that no worker began {never}"
            ));
            without_cause += u32::from(crashed < CRASHES && failed == 0);
        }
        *states.entry(state).or_default() += 1;
    }
    record.line(&format!("states of the {} accepted jobs: {states:?}", accepted.len()));
    record.line(&format!("{without_cause} jobs are shown as failed without cause"));
    (!accepted.is_empty()).then_some(without_cause == 0)
}
