//! A small deployment on loopback: the store, workers of two services, and entry hosts as separate processes.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, number, object, text};
use crate::store::Store;
use crate::worker::Worker;

/// Bounds of the site `abukayu-ops`.
pub const MAX_HOLD: Duration = Duration::from_secs(10);
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
pub const RESTORE: Duration = Duration::from_millis(250);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const VISIBLE: Duration = Duration::from_secs(3);
pub const CONTACT: Duration = Duration::from_secs(3);
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
pub const CANCEL: Duration = Duration::from_secs(3);
pub const FINISH: Duration = Duration::from_secs(14);
pub const STOP: Duration = Duration::from_millis(200);

/// Time for which a requester waits for an answer.
pub const DEADLINE: Duration = Duration::from_secs(3);

pub const ZONES: [&str; 4] = ["utara", "tengah", "selatan", "timur"];

/// Entry hosts of each zone.
const HOSTS: [usize; 4] = [2, 2, 2, 1];

/// Workers of the service `kutipan` in each zone, and the sizes that they have by turns, in thousandths of a core.
const WORKERS: [usize; 4] = [9, 9, 9, 8];
const SIZES: [u64; 4] = [64_000, 64_000, 32_000, 128_000];

/// Workers of a rack.
const RACK: usize = 4;

/// Workers of the kind `b`; the others are of the kind `a`.
pub const SPECIAL: usize = 2;

pub const SERVICE: &str = "kutipan";
pub const ROUTE_HOST: &str = "ficu95.example";

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
}

pub struct Site {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
    children: Vec<Child>,
    record: Arc<Record>,
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("cannot create the record");
        Record { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn line(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("poisoned"), "{at:8.3} {line}");
    }
}

impl Site {
    /// Starts everything with a configuration, and waits until each entry host is ready.
    pub fn start(folder: &Path, record: &Arc<Record>, configuration: &Json) -> Option<Site> {
        let (store, address) = Store::start();
        store.put("op", "config", configuration);
        let mut workers = Vec::new();
        for (zone, count) in ZONES.into_iter().zip(WORKERS) {
            for _ in 0..count {
                let position = workers.len();
                let (id, rack) = (format!("i-{position:08x}"), format!("r1-{}", position / RACK));
                let cpu = SIZES[position % SIZES.len()];
                let kind = if position < SPECIAL { "b" } else { "a" };
                workers.push(Worker::start(&store, id, SERVICE, zone, kind, rack, cpu));
            }
        }
        let mut site = Site {
            store,
            workers,
            hosts: Vec::new(),
            folder: folder.to_owned(),
            children: Vec::new(),
            record: Arc::clone(record),
        };
        let mut readiness = Vec::new();
        for (zone, count) in ZONES.into_iter().zip(HOSTS) {
            for position in 1..=count {
                let name = format!("front-{zone}-{position}");
                readiness.push(site.start_host(folder, name, zone, address)?);
            }
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        for address in readiness {
            let ready = || call(address, "GET", "/v1/readiness", &[], None, DEADLINE);
            while ready().is_none_or(|(status, _)| status != 200) {
                if Instant::now() > deadline {
                    return None;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        record.line("all entry hosts are ready");
        Some(site)
    }

    /// Starts an entry host with the command of the deploy file. Returns the address of its readiness check.
    fn start_host(
        &mut self,
        folder: &Path,
        name: String,
        zone: &str,
        store: SocketAddr,
    ) -> Option<SocketAddr> {
        let [callers, ready, peer, metrics] = free_addresses();
        let address = |address: SocketAddr| text(address.to_string());
        // The fields of deploy/settings.json.template, with the figures of the site.
        let settings = object(vec![
            ("host", text(&name)),
            ("data_centre", text(zone)),
            ("callers_address", address(callers)),
            ("readiness_address", address(ready)),
            ("peer_address", address(peer)),
            ("metrics_address", address(metrics)),
            ("platform", object(vec![("store", address(store))])),
            (
                "bounds",
                object(vec![
                    ("hold_max_ms", number(MAX_HOLD.as_millis() as u64)),
                    ("stop_timeout_ms", number(200)),
                    ("retention_s", number(120)),
                    ("grace_s", number(6)),
                ]),
            ),
            (
                "freshness",
                object(vec![
                    ("settings_ms", number(2_000)),
                    ("cancellations_ms", number(3_000)),
                    ("drains_ms", number(2_000)),
                ]),
            ),
            ("processors", Json::Number(0.25)),
            ("log_lines_per_second", number(200)),
        ]);
        std::fs::write(folder.join(format!("{name}.json")), settings.write()).ok()?;
        let child = spawn(folder, &name)?;
        self.record.line(&format!("started {name}, process {}", child.id()));
        self.children.push(child);
        self.hosts.push(Host { name, callers });
        Some(ready)
    }

    /// Returns the host that won an epoch of the ownership, by the hosts' logs.
    pub fn owner(&self, epoch: u64) -> Option<usize> {
        let won = format!("\"ownership_won\",\"fields\":{{\"epoch\":\"{epoch}\"");
        self.hosts.iter().position(|host| {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", host.name)));
            log.is_ok_and(|log| log.contains(&won))
        })
    }

    pub fn kill(&mut self, host: usize) {
        let _ = self.children[host].kill();
        let _ = self.children[host].wait();
    }

    /// Starts the process of a host again.
    pub fn start_again(&mut self, host: usize) -> Option<()> {
        self.children[host] = spawn(&self.folder, &self.hosts[host].name)?;
        Some(())
    }

    /// Returns whether a task of a job runs on a worker.
    pub fn runs(&self, job: &str, worker: &str) -> bool {
        self.workers.iter().any(|known| known.id == worker && known.running_of(job) > 0)
    }

    /// Sends a request to an entry host. Returns the status and the body; `None` if no answer came in time.
    pub fn request(
        &self,
        host: usize,
        method: &str,
        path: &str,
        key: &str,
        body: Option<&Json>,
    ) -> Option<(u16, Json)> {
        let host = &self.hosts[host % self.hosts.len()];
        let (key, deadline) = (format!("Token {key}"), DEADLINE.as_millis().to_string());
        let headers = [
            ("Host", ROUTE_HOST),
            ("Content-Type", "application/json"),
            ("Authorization", key.as_str()),
            ("Shallotpost-Deadline-Milliseconds", deadline.as_str()),
        ];
        let answer = call(host.callers, method, path, &headers, body, DEADLINE);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {}", body.write()),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("{method} {path} at {} -> {shown}", host.name));
        answer
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a daemon with the command of the deploy file, and notes its process for the script.
fn spawn(folder: &Path, name: &str) -> Option<Child> {
    let file = |name: String| File::options().append(true).create(true).open(folder.join(name));
    let log = file(format!("{name}.log")).ok()?;
    let child = Command::new("target/release/shallotpostd")
        .arg("--fleet")
        .arg("--settings")
        .arg(folder.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stderr(log.try_clone().ok()?)
        .stdout(log)
        .spawn()
        .ok()?;
    writeln!(file("pids".to_owned()).ok()?, "{}", child.id()).ok()?;
    Some(child)
}

/// Returns free addresses, below the range from which the system takes the ports of outgoing connections, and different
/// ones for each call.
fn free_addresses() -> [SocketAddr; 4] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    [(); 4].map(|()| {
        loop {
            let offset = std::process::id() % 12_000 * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
            let port = 20_000 + (offset % 12_000) as u16;
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                return listener.local_addr().expect("no address");
            }
        }
    })
}

/// Returns a route to the workers, without approvals.
pub fn route(name: &str, prefix: &str, priority: u64) -> Json {
    object(vec![
        ("name", text(name)),
        ("host", text(ROUTE_HOST)),
        ("prefix", text(prefix)),
        ("kind", text("unsafe")),
        ("timeout_ms", number(3_000)),
        ("target_duration_ms", number(3_000)),
        ("priority", number(priority)),
        ("service", text(SERVICE)),
        ("max_attempts", number(4)),
        ("stretch", Json::Number(4.0)),
        ("allow_anonymous", Json::Bool(false)),
    ])
}

/// Returns a tenant with one key, and the cap of the page's example in cores.
pub fn tenant(name: &str, key: &str) -> Json {
    let cap = object(vec![("cpu", number(1_191_451)), ("requested_memory_mb", number(3_964_352))]);
    object(vec![
        ("name", text(name)),
        ("api_keys", Json::List(vec![text(key)])),
        ("priority", number(1)),
        ("weight", number(13)),
        ("cap", cap),
    ])
}

pub fn configuration(version: u64, routes: Vec<Json>, tenants: Vec<Json>) -> Json {
    let service = object(vec![
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_connections", number(64)),
        ("admission_check", Json::Bool(false)),
        ("spare", Json::Bool(false)),
    ]);
    let limits = object(vec![
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(262_144)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    object(vec![
        ("version", number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(tenants)),
    ])
}

/// Returns a job of one step, whose tasks take between `least_ms` and `most_ms`.
pub fn job(tasks: u64, cpu: u64, least_ms: u64, most_ms: u64, checkpointing: bool) -> Json {
    let mut step = vec![
        ("count", number(tasks)),
        ("cpu", number(cpu)),
        ("requested_memory_mb", number(64)),
        ("estimated_ms", number(u64::midpoint(least_ms, most_ms))),
    ];
    if checkpointing {
        step.push(("checkpointing", Json::Bool(true)));
    }
    let specification = text(format!("run {least_ms} {most_ms}"));
    object(vec![("specification", specification), ("steps", Json::List(vec![object(step)]))])
}
