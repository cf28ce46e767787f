//! A task crashes each worker that starts it, and the owner is killed right after the first two crashes.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{CONTACT, Record, Site, configuration, job, route, tenant};

const KEY: &str = "key-of-hule930";
const JOB: &str = "5c0e7a21d94b36f8";

/// Age at which the task crashes its worker, and the time until the worker is back.
const CRASH_AGE: Duration = Duration::from_secs(1);
const DOWN: Duration = Duration::from_secs(3);

/// Number of crashes after which the owner is killed, the time from the crash to that, and until the process starts again.
const KILLS: usize = 2;
const KILL_AFTER: Duration = Duration::from_secs(1);
const KILLED: Duration = Duration::from_millis(500);

/// Crashes after which the starts of the task are counted, and the number of these that is too many.
const CRASHES: usize = 3;
const STARTS_TOO_MANY: usize = 3;

const LENGTH: Duration = Duration::from_secs(45);

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Option<bool> {
    let tenants = vec![tenant("hule930", KEY)];
    let routes = vec![route("r-1", "/lohu930/", 1)];
    let mut site = Site::start(folder, record, &configuration(7, routes, tenants))?;
    thread::sleep(Duration::from_secs(6));
    let path = format!("/lohu930/{JOB}");
    let answer = site.request(0, "POST", &path, KEY, Some(&job(1, 1_000, 60_000, 60_000, false)));
    if answer.is_none_or(|(status, _)| status != 200) {
        return None;
    }
    let start = Instant::now();
    let (mut starts, mut crashes, mut counted) = (0, 0, 0);
    let mut down: Option<(usize, Instant)> = None;
    let mut kill_at: Option<Instant> = None;
    let mut killed: Option<(usize, Instant)> = None;
    // When a process of each host was last killed or started by this case.
    let mut disturbed: Vec<Option<Instant>> = vec![None; site.hosts.len()];
    let mut epoch = 0;
    while start.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(10));
        let now = Instant::now();
        let begun: Vec<_> = site
            .workers
            .iter()
            .enumerate()
            .flat_map(|(position, worker)| {
                worker.history().into_iter().map(move |begun| (position, begun))
            })
            .filter(|(_, begun)| begun.task.starts_with(JOB))
            .collect();
        if begun.len() > starts {
            starts = begun.len();
            let (position, newest) = begun.iter().max_by_key(|(_, begun)| begun.start)?;
            epoch = newest.fence >> 10;
            let owner = site.owner(epoch);
            let in_touch = owner.is_some_and(|host| {
                disturbed[host]
                    .is_none_or(|at| newest.start.saturating_duration_since(at) > CONTACT)
            });
            if crashes >= CRASHES && in_touch {
                counted += 1;
            }
            record.line(&format!(
                "start {starts}: run {} on {} by {}, in touch: {in_touch}; {crashes} crashes before",
                newest.run,
                site.workers[*position].id,
                owner.map_or("?", |host| site.hosts[host].name.as_str())
            ));
        }
        let due = |begun: &&(usize, crate::worker::Begun)| {
            begun.1.end.is_none() && begun.1.start.elapsed() >= CRASH_AGE
        };
        if let Some((position, _)) = begun.iter().find(due) {
            crashes += 1;
            site.workers[*position].crash();
            down = Some((*position, now));
            record.line(&format!("worker {} crashes under the task", site.workers[*position].id));
            if trouble && crashes <= KILLS {
                kill_at = Some(now + KILL_AFTER);
            }
        }
        if let Some((position, _)) = down.take_if(|(_, at)| now >= *at + DOWN) {
            site.workers[position].restart();
            record.line(&format!("worker {} is back", site.workers[position].id));
        }
        if kill_at.take_if(|at| now >= *at).is_some()
            && let Some(owner) = site.owner(epoch)
        {
            site.kill(owner);
            disturbed[owner] = Some(now);
            killed = Some((owner, now));
            record.line(&format!("{} is killed", site.hosts[owner].name));
        }
        if let Some((host, _)) = killed.take_if(|(_, at)| now >= *at + KILLED) {
            site.start_again(host)?;
            disturbed[host] = Some(now);
            record.line(&format!("{} starts again", site.hosts[host].name));
        }
    }
    let answer = site.request(3, "GET", &path, KEY, None);
    let state = answer.map(|(_, body)| body.get("state").text().to_owned()).unwrap_or_default();
    record.line(&format!(
        "{starts} starts, {crashes} crashes; {counted} starts by machines in touch after {CRASHES} crashes; the job is {state}"
    ));
    (starts > 0).then_some(counted < STARTS_TOO_MANY)
}
