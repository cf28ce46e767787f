//! Memory per item: the resident memory of a separate process at two sizes, minus the memory of the fakes.

use std::fs;
use std::process::Command;
use std::time::Duration;

use eyre::{bail, ensure, eyre};
use shallotpost_protocol::interface::Request;
use shallotpost_protocol::size::Size;

use crate::bench::Bench;
use crate::deployment::{Deployment, SINGLE_SHARD, job, service, team_key};
use crate::report::Report;

/// Argument that makes this program print its memory for one kind and size.
pub const ARGUMENT: &str = "--memory";

/// Number of copies of the fakes from which their memory is computed. A first copy, which is not counted, uses up the
/// memory that the process has already reserved.
const FAKE_COPIES: usize = 4;

/// Kinds of items, each with a small and a large size.
const KINDS: [(&str, usize, usize); 7] = [
    ("worker", 133, 532),
    ("running_task", 133, 1064),
    ("queued_task", 1250, 5000),
    ("team", 460, 1840),
    ("peer", 34, 134),
    ("watch", 250, 1000),
    ("listed_worker", 1000, 18_000),
];

/// Measures and prints the memory per item of each kind.
pub fn measure(report: &mut Report) -> eyre::Result<()> {
    let executable = std::env::current_exe()?;
    for (kind, small, large) in KINDS {
        let run = |size: usize| -> eyre::Result<f64> {
            let output =
                Command::new(&executable).args([ARGUMENT, kind, &size.to_string()]).output()?;
            ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
            Ok(String::from_utf8_lossy(&output.stdout).trim().parse()?)
        };
        let points = [(small, run(small)?), (large, run(large)?)];
        report.slope(&format!("memory_{kind}"), "KiB", kind, &points);
    }
    Ok(())
}

/// Prints the resident memory of a kernel of this size, in KiB.
pub fn run(kind: &str, size: &str) -> eyre::Result<()> {
    let size: usize = size.parse()?;
    let mut bench = Bench::new(&deployment(kind, size)?);
    load(&mut bench, kind, size)?;
    let total = resident_kib()?;
    let mut copies = vec![bench.copy_fakes()];
    let before = resident_kib()?;
    copies.extend((0..FAKE_COPIES).map(|_| bench.copy_fakes()));
    let fakes = (resident_kib()? - before) / FAKE_COPIES as f64;
    println!("{}", total - fakes);
    drop(copies);
    Ok(())
}

fn deployment(kind: &str, size: usize) -> eyre::Result<Deployment> {
    let small = Deployment { workers: 5, ..SINGLE_SHARD };
    Ok(match kind {
        "worker" => Deployment { workers: size, shards: 1 + size as u32 / 150, ..SINGLE_SHARD },
        "running_task" | "queued_task" => SINGLE_SHARD,
        "team" => Deployment { teams: size, ..small },
        "peer" => Deployment { peers: size, ..small },
        "watch" => small,
        "listed_worker" => Deployment { listed_elsewhere: size, ..small },
        _ => bail!("no kind {kind}"),
    })
}

fn load(bench: &mut Bench, kind: &str, size: usize) -> eyre::Result<()> {
    let small_task = Size { processors_milli: 4000, memory_mib: 8192, accelerators: 0, slots: 1 };
    let large_task = Size { processors_milli: 32_000, ..small_task };
    match kind {
        "running_task" => {
            for index in 0..size {
                let work = service(index % 4, &format!("service-{index}"), 1, small_task);
                bench.request("submit", &team_key(index % 4), Request::Submit(work));
            }
            let all = bench.run_until(Duration::from_secs(60), |bench| bench.running() == size);
            ensure!(all, "{} of {size} tasks run", bench.running());
        }
        "queued_task" => {
            for index in 0..133 + size {
                let work = job(index % 4, &format!("job-{index}"), 600_000, large_task);
                bench.request("submit", &team_key(index % 4), Request::Submit(work));
            }
            let all = bench.run_until(Duration::from_secs(60), |bench| {
                bench.open_requests() == 0 && bench.running() == 133
            });
            ensure!(all && bench.refused() == 0, "{} submissions refused", bench.refused());
        }
        "watch" => (0..size).for_each(|_| {
            let wait = Duration::from_secs(60);
            bench.request(
                "watch",
                crate::deployment::OPERATOR,
                Request::Watch { from: 1 << 20, wait },
            );
        }),
        _ => {}
    }
    bench.run(Duration::from_secs(5));
    Ok(())
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.ok_or_else(|| eyre!("no resident size in /proc/self/status"))
}
