//! Entry hosts as separate processes, and the calls of requesters.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::json;
use crate::record::Record;

/// Program and arguments of the deploy file, without the settings file.
const PROGRAM: &str = "target/release/shallotpostd";

/// Limit of descriptors of an entry host, as SYSTEM.md gives it.
const DESCRIPTORS_MAX: usize = 4_100;

/// Host name and keys of the requesters in the configuration of the cases.
pub const HOST: &str = "jobs.example";
pub const KEY: &str = "key-of-the-tenant";

/// An entry host.
pub struct EntryHost {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl EntryHost {
    /// Starts an entry host in a zone, with its settings and its log in a folder.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> EntryHost {
        let listeners: Vec<TcpListener> = (0..4).map(|_| http::listen_on_free_port()).collect();
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect();
        drop(listeners);
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"host":"{name}","data_centre":"{zone}","callers_address":"{}","readiness_address":"{}",
"peer_address":"{}","metrics_address":"{}","platform":{{"store":"{store}"}},
"bounds":{{"hold_max_ms":10000,"stop_timeout_ms":200,"retention_s":120,"grace_s":6}},
"freshness":{{"settings_ms":2000,"cancellations_ms":3000,"drains_ms":2000}},
"processors":0.25,"log_lines_per_second":200}}"#,
            addresses[0], addresses[1], addresses[2], addresses[3]
        );
        fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        let mut host = EntryHost {
            name: name.to_owned(),
            callers: addresses[0],
            readiness: addresses[1],
            settings,
            log,
            child: None,
        };
        host.launch();
        host
    }

    /// Starts the process, as the platform does after an end.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        // The platform limits descriptors; `exec` keeps the process's id.
        let script =
            format!("ulimit -n {DESCRIPTORS_MAX} && exec {PROGRAM} --fleet --settings \"$1\"");
        let child = Command::new("sh")
            .args(["-c", &script, "sh"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the entry host starts");
        self.child = Some(child);
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn own_end(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.readiness, "GET", "/v1/readiness", &[], "", timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the lines of the log that hold a text.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all entry hosts are ready.
pub fn wait_until_ready(hosts: &[EntryHost], time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if hosts.iter().all(EntryHost::is_ready) {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// Answer to a requester's call: the status, and the body if there is one.
pub type Answer = Option<(u16, String)>;

/// A requester with its record.
#[derive(Clone)]
pub struct Requester {
    pub hosts: Vec<SocketAddr>,
    pub record: Record,
}

impl Requester {
    /// Sends a call to the entry host at this position.
    pub fn call(&self, at: usize, method: &str, path: &str, body: &str) -> Answer {
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", &format!("Token {KEY}")),
            ("Shallotpost-Deadline-Milliseconds", "3000"),
        ];
        let address = self.hosts[at % self.hosts.len()];
        http::call(address, method, path, &headers, body, Duration::from_secs(3)).ok()
    }

    /// Submits a job as PROTOCOL.md says: after no answer, 502 or 504 the same request is sent to another host, and after
    /// 429 or 503 too. Returns whether it was accepted.
    pub fn submit(&self, first: usize, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let answer = self.call(first + attempt, "POST", path, body);
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.record.line(&format!("POST {path} at host {}: {status}", first + attempt));
            if (200..300).contains(&status) {
                return true;
            }
            if status == 400 || status == 404 || status == 401 {
                return false;
            }
            sleep(Duration::from_millis(400));
        }
        false
    }

    /// Returns the state that a host shows; the status if there is none.
    pub fn state(&self, at: usize, path: &str) -> String {
        let answer = self.call(at, "GET", path, "");
        let state = match &answer {
            Some((200, body)) => {
                let answer = json::parse(body.as_bytes()).unwrap_or(json::Json::Null);
                match answer.get("state").text() {
                    "" => format!("200 {body:?}"),
                    state => state.to_owned(),
                }
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("GET {path} at host {at}: {state}"));
        state
    }
}
