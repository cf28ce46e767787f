//! Measures the cost of one entry host per message and per item of state.
//!
//! `cargo run --release --example capacity` runs one kernel in virtual time at two or three sizes per scenario, and the edge
//! and a whole daemon over loopback. It prints one JSON object per measurement, from which docs/CAPACITY.md computes the cost
//! at the target size. A cost per message that grows by more than half when the size quadruples is printed with
//! `"grows": true`.

mod bench;
mod deployment;
mod memory;
mod process;
mod report;
mod scenario;
#[path = "../../tests/support/mod.rs"]
mod support;
mod transport;

use std::process::ExitCode;

use report::Report;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        [memory::ARGUMENT, kind, size] => memory::run(kind, size),
        [transport::ARGUMENT, kind, address, count] => transport::run(kind, address, count),
        [support::process::DAEMON_ARGUMENT, settings] => support::process::run_daemon(settings),
        _ => measure(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> eyre::Result<()> {
    let mut report = Report;
    scenario::workers(&mut report)?;
    scenario::tasks_per_worker(&mut report)?;
    scenario::peers(&mut report)?;
    scenario::jobs(&mut report)?;
    scenario::backlog(&mut report)?;
    scenario::resources(&mut report)?;
    scenario::watches(&mut report)?;
    scenario::grants(&mut report)?;
    scenario::competing_writers(&mut report);
    scenario::records(&mut report)?;
    scenario::outage(&mut report)?;
    scenario::list(&mut report)?;
    memory::measure(&mut report)?;
    transport::measure(&mut report)?;
    process::measure(&mut report)
}
