//! The operator gives a route another name while jobs that came by it run.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::site::{
    CANCEL, CONFIG_APPLY, Record, STOP, Site, VISIBLE, configuration, job, route, tenant,
};

const PREFIX: &str = "/lohu930/";
const KEY: &str = "key-of-hule930";

/// Jobs that run during the whole case.
const JOBS: u64 = 6;
const JOB_MS: u64 = 90_000;

/// Runs the case. Returns whether the rule held; `None` if the case could not run.
pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> Option<bool> {
    let tenants = || vec![tenant("hule930", KEY)];
    let first = configuration(7, vec![route("r-27gxpry", PREFIX, 1)], tenants());
    let site = Site::start(folder, record, &first)?;
    thread::sleep(Duration::from_secs(3));
    let path =
        |position: u64| format!("{PREFIX}{:016x}", 0x5c0e_7a21_d94b_0001u64 + (position << 56));
    for position in 0..JOBS {
        let body = job(2, 500, JOB_MS, JOB_MS, false);
        let answer = site.request(position as usize, "POST", &path(position), KEY, Some(&body));
        if answer.is_none_or(|(status, _)| status != 200) {
            record.line("a job was not accepted");
            return None;
        }
    }
    thread::sleep(VISIBLE);
    let seen = |position: u64, host: usize| site.request(host, "GET", &path(position), KEY, None);
    let mut gone_before = 0;
    for position in 0..JOBS {
        gone_before += u32::from(
            seen(position, position as usize + 1).is_none_or(|(status, _)| status != 200),
        );
    }
    if gone_before > 0 {
        record.line("a job is not known before the change");
        return None;
    }
    // The same host, prefix and service. Without the disruption the version changes a time-out only.
    let name = if trouble { "r-4k7wzdm" } else { "r-27gxpry" };
    let second = configuration(9, vec![route(name, PREFIX, 1)], tenants());
    site.store.put("op", "config", &second);
    record.line(&format!("config 9: the route to {PREFIX} is named {name}"));
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let mut gone = 0;
    for position in 0..JOBS {
        for host in 0..site.hosts.len() {
            gone += u32::from(seen(position, host).is_some_and(|(status, _)| status == 410));
        }
    }
    let started = |id: &str| {
        let begun = site.workers.iter().flat_map(|worker| worker.history());
        begun.filter(|begun| begun.task.starts_with(id)).count()
    };
    for position in 0..JOBS {
        let path = path(position);
        let id = &path[PREFIX.len()..];
        let running = site.workers.iter().map(|worker| worker.running_of(id)).sum::<usize>();
        record.line(&format!("job {id}: {} starts, {running} tasks run", started(id)));
    }
    let cancelled = site.request(2, "DELETE", &path(0), KEY, None);
    let at = Instant::now();
    thread::sleep(CANCEL + STOP + Duration::from_secs(1));
    let path = path(0);
    let running: usize =
        site.workers.iter().map(|worker| worker.running_of(&path[PREFIX.len()..])).sum();
    let status = cancelled.map_or(0, |(status, _)| status);
    let after = at.elapsed().as_secs_f64();
    record.line(&format!(
        "{after:.1} s after the DELETE that was answered {status}, {running} of its tasks run"
    ));
    record.line(&format!("{gone} of the GETs for accepted jobs were answered 410"));
    Some(gone == 0)
}
