//! Process of a fleet's entry host while the store is unreachable: its log, metrics and readiness, and a graceful stop.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Timeout of a start and a stop, which take at most the grace period.
const TIMEOUT: Duration = Duration::from_secs(8);

struct KillOnDrop {
    child: Child,
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addresses() -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

/// Guards against log lines that do not arrive on standard output, and a process that does not exit on SIGTERM.
#[test]
fn logs_metrics_and_stop() {
    let addresses = free_addresses();
    let settings = json!({
        "host": "front-kochi-1",
        "data_centre": "kochi",
        "callers_address": addresses[0],
        "readiness_address": addresses[1],
        "peer_address": addresses[2],
        "metrics_address": addresses[3],
        "platform": { "store": addresses[4] },
        "bounds": {
            "hold_max_ms": 6000, "stop_timeout_ms": 200, "retention_s": 120, "grace_s": 6
        },
        "processors": 0.25,
        "log_lines_per_second": 200
    });
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fleet_process.json");
    fs::write(&path, settings.to_string()).expect("the settings are written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_shallotpostd"))
        .args(["--fleet", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let output = child.stdout.take().expect("standard output");
    let mut process = KillOnDrop { child };
    let mut lines = BufReader::new(output).lines().map(|line| {
        serde_json::from_str::<Value>(&line.expect("a line")).expect("each line is JSON")
    });
    assert_eq!(lines.next().expect("a first line")["event"], "start");

    let metrics = || ureq::get(format!("http://{}/", addresses[3])).call();
    let start = Instant::now();
    let mut page = metrics();
    while page.is_err() && start.elapsed() < TIMEOUT {
        sleep(Duration::from_millis(20));
        page = metrics();
    }
    let page = page.expect("the metrics").body_mut().read_to_string().expect("a page");
    assert!(page.contains("shallotpost_jobs_admitted_total 0"), "{page}");
    let ready = ureq::get(format!("http://{}/v1/readiness", addresses[1])).call();
    assert!(ready.is_err(), "a host without the store reports that it is ready");

    let identifier = process.child.id().to_string();
    let signalled = Command::new("kill").args(["-TERM", &identifier]).status().expect("a signal");
    assert!(signalled.success());
    assert!(lines.any(|line| line["event"] == "stop"), "the last line reports the stop");
    let status = process.child.wait().expect("the process ends");
    assert_eq!(status.code(), Some(0));
    assert!(start.elapsed() < TIMEOUT, "{:?}", start.elapsed());
}
