//! Cases of this review that are scripts: entry hosts as separate processes, beside stand-ins of the platform, the workers
//! and the requesters.
//!
//! The program takes the name of a case and the path of its record, and exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod deadly_gang;
mod fleet;
mod gang_checkpoints;
mod http;
mod json;
mod large_job;
mod late_start;
mod overdue_job;
mod record;
mod site;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder: PathBuf = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let record = |quiet_tasks| Record::create(Path::new(record), quiet_tasks);
    let outcome = match case.as_str() {
        "late-start" => late_start::run(&record("2"), &folder, trouble),
        "large-job" => large_job::run(&record(large_job::JOB), &folder, trouble),
        "overdue-job" => overdue_job::run(&record(""), &folder, trouble),
        "deadly-gang" => deadly_gang::run(&record(""), &folder, trouble),
        "gang-checkpoints" => gang_checkpoints::run(&record(""), &folder, trouble),
        _ => Outcome::CouldNotRun,
    };
    let _ = std::fs::remove_dir_all(&folder);
    ExitCode::from(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    })
}
