//! Measures recovery times and the cost of the control plane with real daemon processes on loopback.
//!
//! `cargo run --release --example recover` starts stand-ins for the platform and the workers at the current size of the
//! Consortium, and nine daemon processes. Under a bounded load, it kills the owner of a shard, pauses a second one, makes the
//! table service unavailable and stops a third owner. It prints one JSON object per measurement and exits with 1 if a target
//! is missed. With the argument `idle`, it measures only the cost without load.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use serde_json::json;
use support::cluster::{Cluster, Plan};
use support::load::{self, Load};
use support::process::{self, DAEMON_ARGUMENT, Launcher};

/// Data centres of the Consortium at its current size, with the number of small and of large workers.
const DATA_CENTRES: &[(&str, usize, usize)] =
    &[("kochi", 15, 5), ("kozhikode", 10, 4), ("thrissur", 10, 4)];

/// Argument that limits the run to the cost without load.
const IDLE_ARGUMENT: &str = "idle";

/// Duration of a cost measurement.
const COST_PERIOD: Duration = Duration::from_secs(10);

/// Maximum time until urgent work starts. It also applies after the owner of a shard has failed.
const URGENT_START_TARGET: Duration = Duration::from_millis(6200);

/// Limits of the control plane per entry host.
const PROCESSOR_LIMIT_PERCENT: f64 = 5.0;
const MEMORY_LIMIT_MIB: f64 = 64.0;
const TRAFFIC_LIMIT_KB_PER_SECOND: f64 = 12.0;

/// Limits of all entry hosts together at the table service.
const WRITE_LIMIT_PER_SECOND: f64 = 300.0;
const READ_LIMIT_PER_SECOND: f64 = 2000.0;

/// Maximum time from a stop request to the exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Peak rate of submissions per second, over all entry hosts.
const PEAK_RATE: u32 = 200;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = match arguments.as_slice() {
        [argument, settings] if argument == DAEMON_ARGUMENT => {
            process::run_daemon(settings).map(|()| true)
        }
        [argument] if argument == IDLE_ARGUMENT => measure(true),
        _ => measure(false),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("recover: {error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the measurements, or only those without load. Returns whether every target is met.
fn measure(idle_only: bool) -> eyre::Result<bool> {
    let mut report = Report::default();
    let plan = Plan {
        data_centres: DATA_CENTRES,
        hosts: 3,
        launcher: Launcher::CurrentExecutable,
        stop_bound: STOP_TIMEOUT,
    };
    let mut cluster = Cluster::start(plan).wrap_err("the cluster cannot be started")?;
    idle_cost(&mut cluster, &mut report)?;
    if idle_only {
        return Ok(report.holds);
    }
    peak_cost(&mut cluster, &mut report)?;
    owner_killed(&mut cluster, &mut report)?;
    owner_paused(&mut cluster, &mut report)?;
    table_outage(&mut cluster, &mut report)?;
    planned_stop(&mut cluster, &mut report)?;
    Ok(report.holds)
}

/// Measures the cost of the control plane with running services and without submissions.
fn idle_cost(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let service = Load::new(cluster).submit_service("idle", 60)?;
    service.await_running(cluster, Duration::from_secs(20))?;
    let cost = cluster.measure_cost(COST_PERIOD)?;
    report.add(
        "idle_processor_percent",
        cost.processor_percent,
        "percent",
        Some(PROCESSOR_LIMIT_PERCENT),
    );
    report.add("idle_memory", cost.memory_mib, "MiB", Some(MEMORY_LIMIT_MIB));
    let traffic = cost.traffic_kb_per_second;
    report.add("idle_traffic", traffic, "KB/s", Some(TRAFFIC_LIMIT_KB_PER_SECOND));
    for (cause, traffic) in &cost.calls_kb_per_second {
        report.add(&format!("idle_calls_{cause}"), *traffic, "KB/s", None);
    }
    // Peer streams do not pass through a stand-in, so this sum does not include them.
    let calls = cost.calls_kb_per_second.iter().map(|(_, traffic)| traffic).sum();
    report.add("idle_calls", calls, "KB/s", Some(TRAFFIC_LIMIT_KB_PER_SECOND));
    report.add("idle_table_writes", cost.writes_per_second, "1/s", Some(WRITE_LIMIT_PER_SECOND));
    report.add("idle_table_reads", cost.reads_per_second, "1/s", Some(READ_LIMIT_PER_SECOND));
    Ok(())
}

/// Measures table operations and memory with submissions at the peak rate.
fn peak_cost(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let mut load = Load::new(cluster);
    let running = load.start("peak", PEAK_RATE, COST_PERIOD);
    let cost = cluster.measure_cost(COST_PERIOD)?;
    let summary = running.finish(cluster)?;
    report.add("peak_processor_percent", cost.processor_percent, "percent", None);
    report.add("peak_memory", cost.memory_mib, "MiB", Some(MEMORY_LIMIT_MIB));
    report.add("peak_table_writes", cost.writes_per_second, "1/s", Some(WRITE_LIMIT_PER_SECOND));
    report.add("peak_table_reads", cost.reads_per_second, "1/s", Some(READ_LIMIT_PER_SECOND));
    report.add("peak_accepted", summary.accepted as f64 / COST_PERIOD.as_secs_f64(), "1/s", None);
    report.add_summary("peak", &summary);
    Ok(())
}

fn owner_killed(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let (data_centre, owner) = cluster.owner("kochi")?;
    let running = Load::new(cluster).start("killed", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.kill(&owner)?;
    let seconds = cluster.time_to_start("after-kill", &data_centre)?;
    report.add(
        "recovery_after_kill",
        seconds.as_secs_f64(),
        "s",
        Some(URGENT_START_TARGET.as_secs_f64()),
    );
    let summary = running.finish(cluster)?;
    report.add_summary("killed", &summary);
    cluster.restart(&owner)
}

fn owner_paused(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let (data_centre, owner) = cluster.owner("thrissur")?;
    let running = Load::new(cluster).start("paused", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.signal(&owner, process::Signal::Pause)?;
    let seconds = cluster.time_to_start("after-pause", &data_centre)?;
    report.add(
        "recovery_after_pause",
        seconds.as_secs_f64(),
        "s",
        Some(URGENT_START_TARGET.as_secs_f64()),
    );
    cluster.signal(&owner, process::Signal::Resume)?;
    let summary = running.finish(cluster)?;
    report.add_summary("paused", &summary);
    Ok(())
}

fn table_outage(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let running = Load::new(cluster).start("outage", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.set_table_down(true);
    std::thread::sleep(Duration::from_secs(5));
    cluster.set_table_down(false);
    let seconds = cluster.time_to_start("after-outage", "kochi")?;
    report.add(
        "recovery_after_outage",
        seconds.as_secs_f64(),
        "s",
        Some(URGENT_START_TARGET.as_secs_f64()),
    );
    let summary = running.finish(cluster)?;
    report.add_summary("outage", &summary);
    Ok(())
}

fn planned_stop(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let (data_centre, owner) = cluster.owner("kozhikode")?;
    let running = Load::new(cluster).start("stopped", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.signal(&owner, process::Signal::Stop)?;
    let seconds = cluster.time_to_start("after-stop", &data_centre)?;
    report.add(
        "recovery_after_stop",
        seconds.as_secs_f64(),
        "s",
        Some(URGENT_START_TARGET.as_secs_f64()),
    );
    let status = cluster.await_exit(&owner, STOP_TIMEOUT)?;
    ensure!(status.is_some(), "{owner} did not exit within its stop bound");
    let summary = running.finish(cluster)?;
    report.add("cut_requests_at_stop", summary.connection_lost as f64, "requests", Some(0.0));
    report.add_summary("stopped", &summary);
    Ok(())
}

/// Prints measurements and records whether all targets are met.
struct Report {
    holds: bool,
}

impl Default for Report {
    fn default() -> Report {
        Report { holds: true }
    }
}

impl Report {
    /// Prints one measurement. A target is an upper bound.
    fn add(&mut self, name: &str, value: f64, unit: &str, target: Option<f64>) {
        let holds = target.is_none_or(|target| value <= target);
        self.holds &= holds;
        let line = json!({
            "name": name,
            "deployment": "consortium",
            "value": value,
            "unit": unit,
            "baseline": null,
            "target": target,
            "holds": holds,
        });
        println!("{line}");
    }

    fn add_summary(&mut self, name: &str, summary: &load::Summary) {
        self.add(&format!("{name}_lost_work"), summary.lost as f64, "jobs", Some(0.0));
        self.add(
            &format!("{name}_doubled_starts"),
            summary.started_twice as f64,
            "jobs",
            Some(0.0),
        );
        self.add(
            &format!("{name}_refused_but_run"),
            summary.refused_but_run as f64,
            "jobs",
            Some(0.0),
        );
        self.add(&format!("{name}_unknown"), summary.unknown as f64, "jobs", None);
    }
}
