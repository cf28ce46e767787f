//! Measures recovery and the cost of control with real daemon processes on loopback.
//!
//! `cargo run --release --example recover` starts stand-ins for the platform and the workers at the current size of the
//! Consortium and nine daemons as processes of their own, applies a bounded load, kills the owner of a shard, pauses
//! another one, and prints one JSON object per measurement. It exits with 1 if a target is missed. With the argument `idle`
//! it measures only the cost without load.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use serde_json::json;
use support::cluster::{Cluster, Plan};
use support::load::{self, Load};
use support::process::{self, DAEMON_ARGUMENT, Launcher};

/// The current size of the Consortium: data centres with the number of workers of each kind.
const DATA_CENTRES: &[(&str, usize, usize)] =
    &[("kochi", 15, 5), ("kozhikode", 10, 4), ("thrissur", 10, 4)];

/// Limits the run to the cost without load.
const IDLE_ARGUMENT: &str = "idle";

/// Time over which the cost of control is measured.
const COST_PERIOD: Duration = Duration::from_secs(10);

/// Bound on the start of urgent work, which must also hold after the death of an owner.
const URGENT_BOUND: Duration = Duration::from_millis(6200);

/// Limits for control per entry host.
const PROCESSOR_LIMIT_PERCENT: f64 = 5.0;
const MEMORY_LIMIT_MIB: f64 = 64.0;
const TRAFFIC_LIMIT_KB_PER_SECOND: f64 = 12.0;

/// Limits of the table service.
const WRITE_LIMIT_PER_SECOND: f64 = 300.0;
const READ_LIMIT_PER_SECOND: f64 = 2000.0;

/// Most time from a stop request to the exit.
const STOP_BOUND: Duration = Duration::from_secs(30);

/// Submissions per second at peak, over all entry hosts.
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

/// Prints the measurements, or only those without load; returns whether every target holds.
fn measure(idle: bool) -> eyre::Result<bool> {
    let mut report = Report::default();
    let plan = Plan {
        data_centres: DATA_CENTRES,
        hosts: 3,
        launcher: Launcher::Own,
        stop_bound: STOP_BOUND,
    };
    let mut cluster = Cluster::start(plan).wrap_err("the cluster cannot be started")?;
    idle_cost(&mut cluster, &mut report)?;
    if idle {
        return Ok(report.holds);
    }
    peak_cost(&mut cluster, &mut report)?;
    owner_dies(&mut cluster, &mut report)?;
    owner_pauses(&mut cluster, &mut report)?;
    table_outage(&mut cluster, &mut report)?;
    planned_stop(&mut cluster, &mut report)?;
    Ok(report.holds)
}

/// Cost of control with running services and no submissions.
fn idle_cost(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let service = Load::new(cluster).submit_service("idle", 60)?;
    service.await_running(cluster, Duration::from_secs(20))?;
    let cost = cluster.cost_over(COST_PERIOD)?;
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
    // Peer streams do not pass a stand-in and are not in this sum.
    let calls = cost.calls_kb_per_second.iter().map(|(_, traffic)| traffic).sum();
    report.add("idle_calls", calls, "KB/s", Some(TRAFFIC_LIMIT_KB_PER_SECOND));
    report.add("idle_table_writes", cost.writes_per_second, "1/s", Some(WRITE_LIMIT_PER_SECOND));
    report.add("idle_table_reads", cost.reads_per_second, "1/s", Some(READ_LIMIT_PER_SECOND));
    Ok(())
}

/// Table use and memory under submissions at the peak rate.
fn peak_cost(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let mut load = Load::new(cluster);
    let running = load.start("peak", PEAK_RATE, COST_PERIOD);
    let cost = cluster.cost_over(COST_PERIOD)?;
    let summary = running.finish(cluster)?;
    report.add("peak_processor_percent", cost.processor_percent, "percent", None);
    report.add("peak_memory", cost.memory_mib, "MiB", Some(MEMORY_LIMIT_MIB));
    report.add("peak_table_writes", cost.writes_per_second, "1/s", Some(WRITE_LIMIT_PER_SECOND));
    report.add("peak_table_reads", cost.reads_per_second, "1/s", Some(READ_LIMIT_PER_SECOND));
    report.add("peak_accepted", summary.accepted as f64 / COST_PERIOD.as_secs_f64(), "1/s", None);
    report.add_summary("peak", &summary);
    Ok(())
}

fn owner_dies(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let (data_centre, owner) = cluster.owner("kochi")?;
    let running = Load::new(cluster).start("killed", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.kill(&owner)?;
    let seconds = cluster.time_to_start("after-kill", &data_centre)?;
    report.add("recovery_after_kill", seconds.as_secs_f64(), "s", Some(URGENT_BOUND.as_secs_f64()));
    let summary = running.finish(cluster)?;
    report.add_summary("killed", &summary);
    cluster.restart(&owner)
}

fn owner_pauses(cluster: &mut Cluster, report: &mut Report) -> eyre::Result<()> {
    let (data_centre, owner) = cluster.owner("thrissur")?;
    let running = Load::new(cluster).start("paused", 20, Duration::from_secs(12));
    std::thread::sleep(Duration::from_secs(1));
    cluster.signal(&owner, process::Signal::Pause)?;
    let seconds = cluster.time_to_start("after-pause", &data_centre)?;
    report.add(
        "recovery_after_pause",
        seconds.as_secs_f64(),
        "s",
        Some(URGENT_BOUND.as_secs_f64()),
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
        Some(URGENT_BOUND.as_secs_f64()),
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
    report.add("recovery_after_stop", seconds.as_secs_f64(), "s", Some(URGENT_BOUND.as_secs_f64()));
    let status = cluster.await_exit(&owner, STOP_BOUND)?;
    ensure!(status.is_some(), "{owner} did not exit within its stop bound");
    let summary = running.finish(cluster)?;
    report.add("cut_requests_at_stop", summary.cut as f64, "requests", Some(0.0));
    report.add_summary("stopped", &summary);
    Ok(())
}

/// Prints measurements and remembers whether all targets hold.
struct Report {
    holds: bool,
}

impl Default for Report {
    fn default() -> Report {
        Report { holds: true }
    }
}

impl Report {
    /// Prints one measurement; a target is an upper bound.
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
        self.add(&format!("{name}_doubled_starts"), summary.doubled as f64, "jobs", Some(0.0));
        self.add(
            &format!("{name}_refused_but_run"),
            summary.refused_but_run as f64,
            "jobs",
            Some(0.0),
        );
        self.add(&format!("{name}_unknown"), summary.unknown as f64, "jobs", None);
    }
}
