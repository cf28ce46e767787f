//! A small deployment: four zones, one entry host and some workers in each, one queue and one tenant.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{self, EntryHost, HOST, KEY, Requester};
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, LateOrder, Place, Worker};

/// Names of the zones.
const ZONES: [&str; 4] = ["utara", "tengah", "selatan", "timur"];

/// Workers of a rack. The workers of a zone fill one rack after the other.
const WORKERS_PER_RACK: usize = 4;

/// Time for which the states of the small jobs are asked for.
const ASK_MAX: Duration = Duration::from_secs(12);

/// Path of the queue.
pub const QUEUE: &str = "/plans/";

/// A small job of a requester.
pub struct SmallJob {
    pub id: String,
    pub accepted: bool,
    sent: Instant,
}

pub struct Site {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub hosts: Vec<EntryHost>,
    pub requester: Requester,
    pub small_jobs: Vec<SmallJob>,
    pub late_order: LateOrder,
    record: Record,
}

/// Returns the first configuration: one service, one queue, and one tenant without a cap.
pub fn config(attempts: u64) -> Json {
    let route = object(vec![
        ("name", text("plans")),
        ("host", text(HOST)),
        ("prefix", text(QUEUE)),
        ("service", text("kutipan")),
        ("priority", number(1)),
        ("max_attempts", number(attempts)),
        ("stretch", Json::Number(4.0)),
        ("target_duration_ms", number(3000)),
    ]);
    let tenant = object(vec![
        ("name", text("tenant-1")),
        ("api_keys", Json::List(vec![text(KEY)])),
        ("weight", number(100)),
    ]);
    object(vec![
        ("version", number(3)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![object(vec![("name", text("kutipan"))])])),
        ("tenants", Json::List(vec![tenant])),
    ])
}

impl Site {
    /// Starts the store, the workers and the entry hosts; `None` if they are not ready in time.
    pub fn start(record: &Record, folder: &Path, workers: usize, cpu: u64) -> Option<Site> {
        let (store, address) = Store::start();
        store.put("op", "config", Some(&config(4)));
        let (gangs, late_order) = (Gangs::default(), LateOrder::default());
        let workers: Vec<Worker> = (0..workers)
            .map(|index| {
                let place = Place {
                    id: format!("w{index:02}-{:04x}", std::process::id() & 0xffff),
                    service: "kutipan".to_owned(),
                    zone: ZONES[index % 4].to_owned(),
                    rack: format!("r{}-{}", index % 4, index / WORKERS_PER_RACK / 4),
                    kind: ["a", "b"][index / 4 % 2].to_owned(),
                    cpu,
                    memory_mb: 262_144,
                };
                Worker::start(place, &store, record, &gangs, &late_order)
            })
            .collect();
        let hosts: Vec<EntryHost> = ZONES
            .iter()
            .map(|zone| EntryHost::start(&format!("front-{zone}-1"), zone, address, folder))
            .collect();
        if !fleet::wait_until_ready(&hosts, Duration::from_secs(10)) {
            record.say("the entry hosts are not ready");
            return None;
        }
        // Requests begin some seconds after the machines start.
        sleep(Duration::from_secs(3));
        let requester = Requester {
            hosts: hosts.iter().map(|host| host.callers).collect(),
            record: record.clone(),
        };
        record.line("the site is ready");
        let (small_jobs, record) = (Vec::new(), record.clone());
        Some(Site { store, workers, hosts, requester, small_jobs, record, late_order })
    }

    /// Submits a job of a few short tasks, at each host in turn.
    pub fn submit_small(&mut self, tasks: u32, ms: u32, cpu: u32) {
        let at = self.small_jobs.len();
        // The identifiers spread over the range.
        let id = format!("{:016x}", 0x2000_0000_0000_0000_u64 + at as u64 * 0x0137_0000_0000);
        let body = format!(
            r#"{{"specification":"ms={ms}","steps":[{{"count":{tasks},"cpu":{cpu},"requested_memory_mb":256,"estimated_ms":{ms}}}]}}"#
        );
        let sent = Instant::now();
        let accepted = self.requester.submit(at, &format!("{QUEUE}{id}"), &body);
        self.small_jobs.push(SmallJob { id, accepted, sent });
    }

    /// Asks for the small jobs, and says which of them are not shown as completed. Returns their number. Hosts that do not
    /// answer are not asked for long.
    pub fn count_unfinished(&self) -> usize {
        let (mut asked, mut unfinished) = (0, 0);
        let begin = Instant::now();
        let accepted = self.small_jobs.iter().enumerate().filter(|(_, job)| job.accepted);
        for (at, job) in accepted.clone() {
            if begin.elapsed() > ASK_MAX {
                break;
            }
            asked += 1;
            let state = self.requester.state(at, &format!("{QUEUE}{}", job.id));
            if state == "completed" {
                continue;
            }
            unfinished += 1;
            let runs = self.record.runs(&job.id);
            let done =
                runs.iter().filter(|(_, run)| run.ended.is_some_and(|(_, how)| how == "done"));
            let line = format!(
                "small job {} sent at {:.1} s is {state}: {} runs, {} of them done",
                job.id,
                self.record.seconds(job.sent),
                runs.len(),
                done.count()
            );
            match unfinished <= 5 {
                true => self.record.say(&line),
                false => self.record.line(&line),
            }
        }
        let line = format!(
            "{} small jobs accepted, {asked} of them asked for, {unfinished} of these not completed",
            accepted.count()
        );
        self.record.say(&line);
        unfinished
    }

    /// Returns the number of accepted small jobs that were sent before this time and of which nothing has run.
    pub fn count_without_runs(&self, time: Duration) -> usize {
        let waits = |job: &&SmallJob| {
            job.accepted && job.sent.elapsed() > time && self.record.runs(&job.id).is_empty()
        };
        self.small_jobs.iter().filter(waits).count()
    }

    /// Writes the log lines of the entry hosts with this event to the record.
    pub fn record_log(&self, event: &str) {
        for host in &self.hosts {
            for line in host.log_lines(&format!("\"{event}\"")) {
                self.record.line(&format!("log of {}: {line}", host.name));
            }
        }
    }

    /// Returns the number of tasks that run on all workers.
    pub fn count_running(&self) -> usize {
        self.workers.iter().map(|worker| worker.running().len()).sum()
    }

    /// Ends all entry hosts.
    pub fn end(&mut self) {
        self.hosts.iter_mut().for_each(EntryHost::kill);
    }
}
