//! Scenarios that are measured in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::ensure;
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::resource::{Resource, Team};
use shallotpost_protocol::size::Size;

use crate::bench::{Bench, Meter};
use crate::deployment::{Deployment, OPERATOR, SINGLE_SHARD, job, service, team, team_key};
use crate::report::Report;

/// Duration of a measurement, in virtual time.
const PERIOD: Duration = Duration::from_secs(20);

/// Number of configuration changes per run, one per second.
const CONFIGURATION_CHANGES: usize = 20;

/// Maximum time for which a job waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of runs of each scenario.
const RUNS: usize = 3;

/// Size of a task of which eight fit on a worker.
const EIGHTH_OF_WORKER: Size =
    Size { processors_milli: 4000, memory_mib: 8192, accelerators: 0, slots: 1 };

/// Size of a task that needs a whole worker.
const WHOLE_WORKER: Size =
    Size { processors_milli: 32_000, memory_mib: 65_536, accelerators: 2, slots: 1 };

type Meters = BTreeMap<&'static str, Meter>;

fn meter(meters: &Meters, kind: &str) -> Meter {
    meters.get(kind).copied().unwrap_or_default()
}

/// Returns the total kernel time of a measurement, in percent of a core.
fn kernel_percent(meters: &Meters) -> f64 {
    let total: Duration = meters.values().map(|meter| meter.kernel).sum();
    100.0 * total.as_secs_f64() / PERIOD.as_secs_f64()
}

/// Returns the total time for encoding and decoding, in percent of a core.
fn codec_percent(meters: &Meters) -> f64 {
    let total: Duration = meters.values().map(|meter| meter.codec).sum();
    100.0 * total.as_secs_f64() / PERIOD.as_secs_f64()
}

/// Runs a scenario [`RUNS`] times and keeps the minimum times. The counts are the same in each run.
fn min_of_runs(run: impl Fn() -> eyre::Result<Meters>) -> eyre::Result<Meters> {
    let mut meters = run()?;
    for _ in 1..RUNS {
        for (kind, other) in run()? {
            let meter = meters.entry(kind).or_insert(other);
            *meter = meter.min_times(&other);
        }
    }
    Ok(meters)
}

fn add(sum: &mut Meters, meters: &Meters) {
    for (kind, meter) in meters {
        sum.entry(kind).or_default().add(meter);
    }
}

fn points(sizes: &[usize], runs: &[Meters], value: impl Fn(&Meters) -> f64) -> Vec<(usize, f64)> {
    sizes.iter().copied().zip(runs.iter().map(value)).collect()
}

/// Cost per `sync` and per tick by the number of workers, without tasks.
pub fn workers(report: &mut Report) -> eyre::Result<()> {
    let sizes = [133, 266, 532];
    let run = |workers: usize| {
        let deployment = Deployment { workers, shards: 1 + workers as u32 / 150, ..SINGLE_SHARD };
        min_of_runs(|| Ok(Bench::new(&deployment).measure(PERIOD)))
    };
    let runs = sizes.into_iter().map(run).collect::<eyre::Result<Vec<Meters>>>()?;
    let print_cost = |report: &mut Report, name: &str, kind: &'static str| {
        let micros = points(&sizes, &runs, |meters| meter(meters, kind).kernel_micros());
        report.per_message(name, "us", "workers", &micros);
    };
    print_cost(report, "sync_kernel", "sync");
    print_cost(report, "tick_idle_kernel", "tick");
    print_cost(report, "heartbeat_kernel", "table_heartbeat");
    let codec = points(&sizes, &runs, |meters| meter(meters, "sync").codec_micros());
    report.per_message("sync_codec", "us", "workers", &codec);
    report.slope("idle_kernel", "% core", "workers", &points(&sizes, &runs, kernel_percent));
    report.slope("idle_codec", "% core", "workers", &points(&sizes, &runs, codec_percent));
    for (kind, meter) in runs[0].iter().filter(|(kind, _)| kind.starts_with("table_")) {
        let rate = meter.count as f64 / PERIOD.as_secs_f64();
        report.value(&format!("idle_rate_{kind}"), rate, "1/s");
        report.value(&format!("idle_bytes_{kind}"), meter.bytes(), "bytes");
    }
    Ok(())
}

/// Cost and size of a `sync` by the number of tasks on each worker.
pub fn tasks_per_worker(report: &mut Report) -> eyre::Result<()> {
    let sizes = [0, 2, 8];
    let run = |tasks: usize| {
        let mut bench = Bench::new(&SINGLE_SHARD);
        if tasks > 0 {
            let replicas = 133 * tasks as u32;
            for part in 0..2 {
                let half = replicas / 2 + replicas % 2 * part;
                let work = service(0, &format!("service-{part}"), half, EIGHTH_OF_WORKER);
                bench.request("submit", &team_key(0), Request::Submit(work));
            }
            let limit = Duration::from_secs(60);
            let all_running = bench.run_until(limit, |bench| bench.running() == 133 * tasks);
            ensure!(all_running, "{} of {} tasks run", bench.running(), 133 * tasks);
            bench.run(Duration::from_secs(5));
        }
        Ok(bench.measure(PERIOD))
    };
    let runs = sizes.into_iter().map(|size| min_of_runs(|| run(size)));
    let runs = runs.collect::<eyre::Result<Vec<Meters>>>()?;
    let running = sizes.map(|tasks| 133 * tasks);
    let value = |kind: &'static str, value: fn(&Meter) -> f64| {
        points(&running, &runs, |meters| value(&meter(meters, kind)))
    };
    report.slope("sync_kernel_133", "us", "running", &value("sync", Meter::kernel_micros));
    report.slope("sync_codec_133", "us", "running", &value("sync", Meter::codec_micros));
    report.slope("sync_bytes_133", "bytes", "running", &value("sync", Meter::bytes));
    report.slope("tick_133", "us", "running", &value("tick", Meter::kernel_micros));
    report.slope("kernel_133", "% core", "running", &points(&running, &runs, kernel_percent));
    report.slope("codec_133", "% core", "running", &points(&running, &runs, codec_percent));
    Ok(())
}

/// Cost of pings, pongs and host rows by the number of peers.
pub fn peers(report: &mut Report) -> eyre::Result<()> {
    let sizes = [33, 67, 134];
    let run = |peers: usize| {
        let deployment = Deployment { workers: 5, peers, ..SINGLE_SHARD };
        min_of_runs(|| Ok(Bench::new(&deployment).measure(PERIOD)))
    };
    let runs = sizes.into_iter().map(run).collect::<eyre::Result<Vec<Meters>>>()?;
    let scans =
        points(&sizes, &runs, |meters| meter(meters, "table_scan_all_hosts").kernel_micros());
    report.slope("scan_all_hosts_kernel", "us", "peers", &scans);
    for kind in ["ping", "pong"] {
        let micros = points(&sizes, &runs, |meters| meter(meters, kind).kernel_micros());
        report.per_message(&format!("{kind}_kernel"), "us", "peers", &micros);
    }
    for kind in ["ping", "pong", "ping_sent", "pong_sent", "table_scan_all_hosts"] {
        let largest = meter(&runs[2], kind);
        report.value(&format!("{kind}_bytes"), largest.bytes(), "bytes");
        report.value(&format!("{kind}_codec"), largest.codec_micros(), "us");
        let rate = largest.count as f64 / PERIOD.as_secs_f64();
        report.value(&format!("{kind}_rate_134_peers"), rate, "1/s");
    }
    report.slope("peers_kernel", "% core", "peers", &points(&sizes, &runs, kernel_percent));
    Ok(())
}

fn run_jobs(rate: usize) -> eyre::Result<Meters> {
    let mut bench = Bench::new(&SINGLE_SHARD);
    let mut meters = Meters::new();
    for second in 0..PERIOD.as_secs() {
        for index in 0..rate {
            let work = job(index % 4, &format!("job-{second}-{index}"), 1000, EIGHTH_OF_WORKER);
            bench.request("submit", &team_key(index % 4), Request::Submit(work));
        }
        add(&mut meters, &bench.measure(Duration::from_secs(1)));
    }
    let ended = bench.run_until(Duration::from_secs(30), |bench| {
        bench.running() == 0 && bench.open_requests() == 0
    });
    let expected = rate * PERIOD.as_secs() as usize;
    ensure!(ended && bench.refused() == 0, "jobs at {rate}/s: {} refused", bench.refused());
    ensure!(bench.starts() == expected, "{} starts of {expected} jobs", bench.starts());
    Ok(meters)
}

/// Cost of a job from the submission to the record of its end, by the rate.
pub fn jobs(report: &mut Report) -> eyre::Result<()> {
    let rates = [0, 28, 112];
    let runs = rates.into_iter().map(|rate| min_of_runs(|| run_jobs(rate)));
    let runs = runs.collect::<eyre::Result<Vec<Meters>>>()?;
    for kind in ["submit", "start", "sync_change"] {
        let micros = points(&rates, &runs, |meters| meter(meters, kind).kernel_micros());
        report.per_message(&format!("{kind}_kernel"), "us", "jobs/s", &micros[1..]);
        let codec = points(&rates, &runs, |meters| meter(meters, kind).codec_micros());
        report.per_message(&format!("{kind}_codec"), "us", "jobs/s", &codec[1..]);
        report.value(&format!("{kind}_bytes"), meter(&runs[1], kind).bytes(), "bytes");
    }
    let commit = |value: fn(&Meter) -> f64| {
        points(&rates, &runs, |meters| value(&meter(meters, "table_commit")))
    };
    report.slope("commit_kernel", "us", "jobs/s", &commit(Meter::kernel_micros));
    report.slope("commit_codec", "us", "jobs/s", &commit(Meter::codec_micros));
    report.slope("commit_bytes", "bytes", "jobs/s", &commit(Meter::bytes));
    report.value("answer_bytes", meter(&runs[1], "answer").bytes(), "bytes");
    let total = |meters: &Meters| kernel_percent(meters) + codec_percent(meters);
    let base = total(&runs[0]);
    let per_job = |index: usize| {
        let extra = (total(&runs[index]) - base) / 100.0 * 1e6;
        (rates[index], extra / rates[index] as f64)
    };
    report.per_message("job_total", "us", "jobs/s", &[per_job(1), per_job(2)]);
    let writes = |meters: &Meters| {
        let calls = meter(meters, "table_commit").count + meter(meters, "table_heartbeat").count;
        calls as f64 / PERIOD.as_secs_f64()
    };
    report.slope("table_writes", "1/s", "jobs/s", &points(&rates, &runs, writes));
    let reads = |meters: &Meters| {
        let reads = meters
            .iter()
            .filter(|(kind, _)| kind.starts_with("table_read") || kind.starts_with("table_scan"));
        reads.map(|(_, meter)| meter.count).sum::<u64>() as f64 / PERIOD.as_secs_f64()
    };
    report.slope("table_reads", "1/s", "jobs/s", &points(&rates, &runs, reads));
    let bytes = |meters: &Meters| {
        let calls = meters.iter().filter(|(kind, _)| kind.starts_with("table_"));
        calls.map(|(_, meter)| meter.sent + meter.received).sum::<u64>() as f64
            / PERIOD.as_secs_f64()
    };
    report.slope("table_bytes", "bytes/s", "jobs/s", &points(&rates, &runs, bytes));
    Ok(())
}

/// Returns the kernel time of a tick while no queued task fits, and of each start afterwards, in microseconds.
fn run_backlog(size: usize) -> eyre::Result<(f64, f64)> {
    let mut bench = Bench::new(&Deployment { workers: 33, ..SINGLE_SHARD });
    for index in 0..33 {
        let work = job(0, &format!("first-{index}"), 60_000, WHOLE_WORKER);
        bench.request("submit", &team_key(0), Request::Submit(work));
    }
    bench.run(Duration::from_secs(5));
    for index in 0..size {
        let work = job(index % 4, &format!("queued-{index}"), 500, WHOLE_WORKER);
        bench.request("submit", &team_key(index % 4), Request::Submit(work));
    }
    let admitted = bench.run_until(Duration::from_secs(30), |bench| bench.open_requests() == 0);
    ensure!(admitted && bench.refused() == 0, "{} of {size} refused", bench.refused());
    ensure!(bench.running() == 33, "{} tasks run while the queue fills", bench.running());
    let tick = meter(&bench.measure(Duration::from_secs(10)), "tick").kernel_micros();
    let started = bench.run_until(Duration::from_secs(60), |bench| bench.starts() > 40);
    ensure!(started, "no queued task started");
    let before = bench.starts();
    let meters = bench.measure(Duration::from_secs(10));
    let total: Duration = meters.values().map(|meter| meter.kernel).sum();
    Ok((tick, total.as_secs_f64() * 1e6 / (bench.starts() - before) as f64))
}

/// Cost of an idle tick and of a start by the number of queued tasks.
pub fn backlog(report: &mut Report) -> eyre::Result<()> {
    let sizes = [1250, 2500, 5000];
    let mut idle = Vec::new();
    let mut busy = Vec::new();
    for size in sizes {
        let (mut tick, mut start) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..RUNS {
            let costs = run_backlog(size)?;
            (tick, start) = (tick.min(costs.0), start.min(costs.1));
        }
        idle.push((size, tick));
        busy.push((size, start));
    }
    report.per_message("tick_backlog_kernel", "us", "queued tasks", &idle);
    report.per_message("start_backlog_kernel", "us", "queued tasks", &busy);
    Ok(())
}

/// Returns the meters of a period with one configuration change per second, and of an idle period after it.
fn run_changes(teams: usize) -> eyre::Result<(Meters, Meters)> {
    let mut bench = Bench::new(&Deployment { teams, ..SINGLE_SHARD });
    let mut meters = Meters::new();
    for round in 0..CONFIGURATION_CHANGES {
        let cap = Size::from_parts([(1 << 40) + round as u64; 4]);
        let resource = Resource::Team(Team { share: 1, cap });
        let put = Request::Put { name: team(round), resource, revision: None, dry_run: false };
        bench.request("change", OPERATOR, put);
        add(&mut meters, &bench.measure(Duration::from_secs(1)));
    }
    bench.run(Duration::from_secs(5));
    let answered = bench.refused() == 0 && bench.open_requests() == 0;
    ensure!(answered, "{} changes refused", bench.refused());
    Ok((meters, bench.measure(Duration::from_secs(CONFIGURATION_CHANGES as u64))))
}

/// Cost of a configuration change and of a poll by the number of resources.
pub fn resources(report: &mut Report) -> eyre::Result<()> {
    let sizes = [230, 460, 920];
    let mut runs = Vec::new();
    for teams in sizes {
        let changes = min_of_runs(|| Ok(run_changes(teams)?.0))?;
        runs.push((teams, changes, min_of_runs(|| Ok(run_changes(teams)?.1))?));
    }
    let total = |meters: &Meters| -> Duration { meters.values().map(|meter| meter.kernel).sum() };
    let change = |(teams, changes, idle): &(usize, Meters, Meters)| {
        let extra = total(changes).saturating_sub(total(idle));
        (2 * teams, extra.as_secs_f64() * 1e6 / CONFIGURATION_CHANGES as f64)
    };
    let changes: Vec<(usize, f64)> = runs.iter().map(change).collect();
    report.per_message("change_kernel", "us", "resources", &changes);
    let poll = |(teams, _, idle): &(usize, Meters, Meters)| {
        (2 * teams, meter(idle, "table_read_head").kernel_micros())
    };
    let polls: Vec<(usize, f64)> = runs.iter().map(poll).collect();
    report.per_message("poll_kernel", "us", "resources", &polls);
    report.value("poll_bytes", meter(&runs[1].2, "table_read_head").bytes(), "bytes");
    Ok(())
}

/// Cost of an idle tick by the number of open watches.
pub fn watches(report: &mut Report) -> eyre::Result<()> {
    let sizes = [250, 500, 1000];
    let run = |count: usize| {
        let mut bench = Bench::new(&Deployment { workers: 5, ..SINGLE_SHARD });
        for _ in 0..count {
            let wait = Duration::from_secs(60);
            bench.request("watch", OPERATOR, Request::Watch { from: 1 << 20, wait });
        }
        let mut meters = bench.measure(Duration::from_secs(1));
        let watch = meter(&meters, "watch");
        meters = bench.measure(PERIOD);
        meters.insert("watch", watch);
        Ok(meters)
    };
    let runs = sizes.into_iter().map(|size| min_of_runs(|| run(size)));
    let runs = runs.collect::<eyre::Result<Vec<Meters>>>()?;
    let value =
        |kind: &'static str| points(&sizes, &runs, |meters| meter(meters, kind).kernel_micros());
    report.per_message("watch_kernel", "us", "open watches", &value("watch"));
    report.slope("tick_watches", "us", "open watches", &value("tick"));
    Ok(())
}

/// Cost and size of the reads of the cap rows, by the number of teams with running work and by the number of other
/// shards that hold a grant of each team.
pub fn grants(report: &mut Report) -> eyre::Result<()> {
    let run = |teams: usize, granted_elsewhere: usize| {
        let mut bench = Bench::new(&Deployment { teams, granted_elsewhere, ..SINGLE_SHARD });
        for index in 0..teams {
            let work = service(index, "service", 1, EIGHTH_OF_WORKER);
            bench.request("submit", &team_key(index), Request::Submit(work));
        }
        let all_running =
            bench.run_until(Duration::from_secs(60), |bench| bench.running() == teams);
        ensure!(
            all_running,
            "{} of {teams} services run, {} refused",
            bench.running(),
            bench.refused()
        );
        bench.run(Duration::from_secs(5));
        Ok(bench.measure(PERIOD))
    };
    let mut print_cost = |name: &str, size_of: &str, sizes: [usize; 3], runs: Vec<Meters>| {
        let value = |value: fn(&Meter) -> f64| {
            points(&sizes, &runs, |meters| value(&meter(meters, "table_read_caps")))
        };
        report.slope(&format!("{name}_kernel"), "us", size_of, &value(Meter::kernel_micros));
        report.slope(&format!("{name}_codec"), "us", size_of, &value(Meter::codec_micros));
        report.slope(&format!("{name}_bytes"), "bytes", size_of, &value(Meter::bytes));
        let rate = meter(&runs[2], "table_read_caps").count as f64 / PERIOD.as_secs_f64();
        report.value(&format!("{name}_rate"), rate, "1/s");
    };
    let sizes = [115, 230, 460];
    let runs = sizes.into_iter().map(|teams| min_of_runs(|| run(teams, 1)));
    print_cost("caps", "teams", sizes, runs.collect::<eyre::Result<Vec<Meters>>>()?);
    let sizes = [1, 34, 134];
    let runs = sizes.into_iter().map(|granted| min_of_runs(|| run(46, granted)));
    print_cost("caps_46", "other shards", sizes, runs.collect::<eyre::Result<Vec<Meters>>>()?);
    Ok(())
}

/// Waiting time of the first job of a team while other shards write its cap row, and the share of transactions that
/// conflict.
pub fn competing_writers(report: &mut Report) {
    const TEAMS: usize = 46;
    let mut waits = Vec::new();
    let mut conflicts = Vec::new();
    for rate in [0, 1, 4, 16] {
        let deployment = Deployment { teams: TEAMS, granted_elsewhere: 1, ..SINGLE_SHARD };
        // The interval of group commit depends on the number of hosts.
        let mut bench = Bench::new(&Deployment { peers: 134, ..deployment });
        bench.set_competing_writers(TEAMS, rate);
        for index in 0..TEAMS {
            let work = job(index, "first", 100, EIGHTH_OF_WORKER);
            bench.request("submit", &team_key(index), Request::Submit(work));
        }
        let mut waited = 0.0;
        let (mut failed, mut sent) = (0, 0);
        let step = Duration::from_millis(10);
        for _ in 0..GRANT_TIMEOUT.as_millis() / step.as_millis() {
            let meters = bench.measure(step);
            waited += (TEAMS - bench.starts()) as f64 * step.as_secs_f64();
            failed += meter(&meters, "table_conflict").count;
            sent += meter(&meters, "table_commit").count + meter(&meters, "table_heartbeat").count;
            if bench.starts() == TEAMS {
                break;
            }
        }
        waits.push((rate, waited / TEAMS as f64));
        conflicts.push((rate, 100.0 * failed as f64 / sent as f64));
        report.value(&format!("grant_unstarted_{rate}"), (TEAMS - bench.starts()) as f64, "jobs");
    }
    report.slope("grant_wait", "s", "other writes of a cap row per second", &waits);
    report.slope(
        "grant_conflicts",
        "% of transactions",
        "other writes of a cap row per second",
        &conflicts,
    );
}

/// Table calls per second of one host with 134 peers before and during an outage of one minute, and in the second with the
/// most calls after it.
pub fn outage(report: &mut Report) -> eyre::Result<()> {
    let mut bench = Bench::new(&Deployment { peers: 134, ..SINGLE_SHARD });
    let mut submitted = 0;
    let mut second = |bench: &mut Bench| {
        for _ in 0..28 {
            let work = job(submitted % 4, &format!("job-{submitted}"), 1000, EIGHTH_OF_WORKER);
            bench.request("submit", &team_key(submitted % 4), Request::Submit(work));
            submitted += 1;
        }
        let meters = bench.measure(Duration::from_secs(1));
        let calls = meters.iter().filter(|(kind, _)| kind.starts_with("table_"));
        calls.map(|(_, meter)| meter.count).sum::<u64>() as f64
    };
    let before: Vec<f64> = (0..10).map(|_| second(&mut bench)).collect();
    bench.set_table_down(true);
    let during: Vec<f64> = (0..60).map(|_| second(&mut bench)).collect();
    bench.set_table_down(false);
    let after: Vec<f64> = (0..10).map(|_| second(&mut bench)).collect();
    let mean = |calls: &[f64]| calls.iter().sum::<f64>() / calls.len() as f64;
    report.value("table_calls_before_outage", mean(&before), "1/s");
    report.value("table_calls_in_outage", mean(&during), "1/s");
    report.value(
        "table_calls_after_outage",
        after.iter().fold(0.0, |max, call| max.max(*call)),
        "1/s",
    );
    let ended = bench.run_until(Duration::from_secs(60), |bench| {
        bench.running() == 0 && bench.open_requests() == 0
    });
    ensure!(ended, "{} requests stay open after the outage", bench.open_requests());
    Ok(())
}

/// Cost and size of the scan of a shard's records by the number of records.
pub fn records(report: &mut Report) -> eyre::Result<()> {
    let sizes = [266, 532, 1064];
    let run = |count: usize| {
        let mut bench = Bench::new(&SINGLE_SHARD);
        for index in 0..count {
            let work = service(index % 4, &format!("service-{index}"), 1, EIGHTH_OF_WORKER);
            bench.request("submit", &team_key(index % 4), Request::Submit(work));
        }
        let all_running =
            bench.run_until(Duration::from_secs(60), |bench| bench.running() == count);
        ensure!(
            all_running,
            "{} of {count} services run, {} refused",
            bench.running(),
            bench.refused()
        );
        bench.run(Duration::from_secs(5));
        Ok(bench.measure(PERIOD))
    };
    let runs = sizes.into_iter().map(|size| min_of_runs(|| run(size)));
    let runs = runs.collect::<eyre::Result<Vec<Meters>>>()?;
    let per_second = |value: fn(&Meter) -> f64| {
        let rate = move |meters: &Meters| {
            let scan = meter(meters, "table_scan_work");
            value(&scan) * scan.count as f64 / PERIOD.as_secs_f64()
        };
        points(&sizes, &runs, rate)
    };
    report.slope("scan_work_kernel", "us/s", "records", &per_second(Meter::kernel_micros));
    report.slope("scan_work_codec", "us/s", "records", &per_second(Meter::codec_micros));
    report.slope("scan_work_bytes", "bytes/s", "records", &per_second(Meter::bytes));
    report.slope("scan_work_rate", "1/s", "records", &per_second(|_| 1.0));
    Ok(())
}

/// Cost and size of the worker list by the number of listed workers.
pub fn list(report: &mut Report) -> eyre::Result<()> {
    let sizes = [1000, 2000, 4000];
    let run = |listed: usize| {
        let deployment = Deployment { workers: 5, listed_elsewhere: listed - 5, ..SINGLE_SHARD };
        min_of_runs(|| Ok(Bench::new(&deployment).measure(Duration::from_secs(5))))
    };
    let runs = sizes.into_iter().map(run).collect::<eyre::Result<Vec<Meters>>>()?;
    let value =
        |value: fn(&Meter) -> f64| points(&sizes, &runs, |meters| value(&meter(meters, "list")));
    report.slope("list_kernel", "us", "listed workers", &value(Meter::kernel_micros));
    report.slope("list_codec", "us", "listed workers", &value(Meter::codec_micros));
    report.slope("list_bytes", "bytes", "listed workers", &value(Meter::bytes));
    report.value("list_rate", meter(&runs[0], "list").count as f64 / 5.0, "1/s");
    Ok(())
}
