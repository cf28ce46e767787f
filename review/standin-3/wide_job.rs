//! A wide job with checkpoints beside a stream of small jobs of another tenant.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::site::{ACKNOWLEDGE, FINISH, Record, Site, configuration, job, route, tenant};

/// Tasks of the wide work, each of a tenth of a core: 800 of the fleet's 2,500 cores.
const TASKS: u64 = 8_000;

/// Jobs that the same work has without the disruption.
const NARROW_JOBS: u64 = 20;

/// Durations of the tasks of the wide work.
const LEAST_MS: u64 = 20_000;
const MOST_MS: u64 = 110_000;

/// Attempts of a requester, as in the site.
const RETRIES: u64 = 4;

const SMALL_MS: u64 = 300;
const SMALL_PAUSE: Duration = Duration::from_millis(100);
const SMALL_PREFIX: &str = "/lohu930/";

const WIDE_AT: Duration = Duration::from_secs(6);
const TRAFFIC_ENDS: Duration = Duration::from_secs(45);

/// Time for which a job may have nothing running, and for which that is watched.
const STANDS: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(25);

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Option<bool> {
    let jobs = if trouble { 1 } else { NARROW_JOBS };
    let body = || job(TASKS / jobs, 100, LEAST_MS, MOST_MS, true);
    let large: Vec<Json> = (0..jobs).map(|_| body()).collect();
    let routes = vec![route("r-wide", "/pufi791/", 2), route("r-small", "/lohu930/", 1)];
    let tenants = vec![tenant("hule930", "key-of-hule930"), tenant("ruba114", "key-of-ruba114")];
    let site = Site::start(folder, record, &configuration(7, routes, tenants))?;
    thread::sleep(Duration::from_secs(3));
    let start = Instant::now();
    let mut accepted = Vec::new();
    let mut sent = 0;
    let mut wide_sent = false;
    while start.elapsed() < TRAFFIC_ENDS {
        if !wide_sent && start.elapsed() >= WIDE_AT {
            wide_sent = true;
            for (position, body) in (0u64..).zip(&large) {
                let path = format!("/pufi791/{:016x}", 0x000e_7a21_d94b_36f8 + (position << 56));
                // A request without an answer, and one that was refused, is sent again, to another host.
                let accepted = (0..RETRIES).any(|attempt| {
                    let host = (position + attempt) as usize;
                    let answer = site.request(host, "POST", &path, "key-of-hule930", Some(body));
                    answer.is_some_and(|(status, _)| status == 200)
                });
                if !accepted {
                    record.line("a large job was not accepted");
                    return None;
                }
            }
        }
        let path = format!("{SMALL_PREFIX}{:016x}", 0x1000_0000_0000_0001u64 + (sent << 46));
        let body = job(1, 500, SMALL_MS, SMALL_MS, false);
        let answer = site.request(sent as usize, "POST", &path, "key-of-ruba114", Some(&body));
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push(path);
        }
        sent += 1;
        thread::sleep(SMALL_PAUSE);
    }
    record.line("the traffic has ended");
    thread::sleep(FINISH);
    let standing = standing_jobs(&site, &accepted);
    for id in &standing {
        record.line(&format!(
            "job {id} has had nothing running for 3 s, and its task has not ended done"
        ));
    }
    // Those that stand, and a few of the others.
    let asked = |path: &&String| standing.contains(&path[SMALL_PREFIX.len()..]);
    let asked = accepted.iter().filter(asked).take(20).chain(accepted.iter().step_by(20));
    let mut states = BTreeMap::<String, u32>::new();
    for (position, path) in asked.enumerate() {
        let answer = site.request(position + 3, "GET", path, "key-of-ruba114", None);
        let state = match answer {
            Some((200, body)) => body.get("state").text().to_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        *states.entry(state).or_default() += 1;
    }
    record.line(&format!("states that were asked for: {states:?}"));
    let now = Instant::now();
    let (mut due, mut missed) = (0, 0);
    for end in site.workers.iter().flat_map(|worker| worker.ends()) {
        // An end that was listed this long ago must be taken note of.
        if now.saturating_duration_since(end.at) >= ACKNOWLEDGE {
            due += 1;
            missed += u32::from(end.noted.is_none());
        }
    }
    let starts: usize = site.workers.iter().map(|worker| worker.starts().len()).sum();
    record.line(&format!(
        "{starts} starts; {missed} of {due} ends that are due are not taken note of"
    ));
    record.line(&format!(
        "transactions that the store refused for the size of a value: {:?}",
        site.store.refused()
    ));
    record.line(&format!("{} of {} accepted small jobs stand", standing.len(), accepted.len()));
    Some(standing.is_empty())
}

/// Returns the jobs that have nothing running for 3 s while their only task has not ended `done`.
///
/// The rule excuses a job if there is no capacity for it twice over, its tenant has half of its cap, or half of the service's
/// capacity is in use. The wide work asks for 800 of 2,500 cores, and the small jobs for half a core each, so none of this can
/// be the case.
fn standing_jobs(site: &Site, accepted: &[String]) -> BTreeSet<String> {
    let start = Instant::now();
    let mut idle_since = BTreeMap::<&str, Instant>::new();
    let mut standing = BTreeSet::new();
    while start.elapsed() < WATCHED {
        let running: BTreeSet<String> =
            site.workers.iter().flat_map(|worker| worker.running_jobs()).collect();
        let ends = site.workers.iter().flat_map(|worker| worker.ends());
        let done = ends.filter(|end| end.how == "done");
        let done: BTreeSet<String> =
            done.filter_map(|end| Some(end.task.split('.').next()?.to_owned())).collect();
        for path in accepted {
            let id = &path[SMALL_PREFIX.len()..];
            if running.contains(id) || done.contains(id) {
                idle_since.remove(id);
            } else if idle_since.entry(id).or_insert_with(Instant::now).elapsed() >= STANDS {
                standing.insert(id.to_owned());
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    standing
}
