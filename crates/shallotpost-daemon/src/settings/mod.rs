//! The settings file of `shallotpostd`: a JSON document that is checked as a whole before anything starts.
//!
//! docs/operating.md explains every field. `examples/settings.json` is a complete file.

mod object;
mod rules;
mod sections;

use std::fmt;
use std::fs;
use std::path::Path;
use std::time::Duration;

use shallotpost_control::settings as control;
use shallotpost_control::settings::{Fencing, Seed};
use shallotpost_protocol::identity::{Address, DataCentreId, HostId};
use shallotpost_protocol::port::Level;

use object::Faults;
use sections::read;

/// Longest time between two heartbeat transactions of an entry host; docs/design.md, section 3.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Heartbeats that fit into one ownership lease, so that two lost ones do not cost the ownership.
pub const HEARTBEATS_PER_LEASE: u32 = 3;

/// The configuration lease must be longer than this: two polls of `config/head`, one of which may be lost.
pub const CONFIGURATION_LEASE_FLOOR: Duration = Duration::from_secs(2);

/// Time in which a new owner claims the workers after the old ownership lease has lapsed.
pub const TAKEOVER: Duration = Duration::from_secs(2);

/// Longest accepted duration; a longer one is most likely given in the wrong unit.
pub const DURATION_MAX: Duration = Duration::from_secs(3600);

/// Largest accepted queue or connection limit; a larger one would not fit into the 64 MB of an entry host.
pub const LIMIT_MAX: u64 = 100_000;

/// Everything that the daemon reads from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its HTTP interface listens.
    pub http_address: Address,
    /// Where its peer streams listen.
    pub peer_address: Address,
    /// Services of the platform.
    pub platform: Platform,
    /// Other entry hosts; this host's own entry is left out.
    pub seeds: Vec<Seed>,
    /// SHA-256 digest of the secret of the key `bootstrap`.
    pub bootstrap_digest: Option<String>,
    /// Whether workers refuse old epochs.
    pub fencing: Fencing,
    /// Leases.
    pub leases: Leases,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Limits.
    pub limits: Limits,
    /// Logs.
    pub log: Log,
}

/// Base URLs of the platform's services, of the form `http://<ip>:<port>[/<path>]`, without a slash at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Worker list.
    pub list: String,
}

/// Leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leases {
    /// How long an owner may act after its last successful transaction.
    pub ownership: Duration,
    /// How long a worker runs tasks without a call from the owner.
    pub task: Duration,
    /// How long a host may act on its configuration after it was last confirmed.
    pub configuration: Duration,
}

/// Timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Timeout of a call to the table service.
    pub table: Duration,
    /// Timeout of a call to a worker, beyond the wait that the call asks for.
    pub worker: Duration,
    /// Longest wait that one `sync` call asks a worker for.
    pub sync_wait: Duration,
    /// Timeout of each read or write of an object stream.
    pub objects: Duration,
    /// Most time from a stop request to the exit.
    pub stop_bound: Duration,
}

/// Limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most submissions that wait for their commit.
    pub admission_queue: usize,
    /// Most HTTP requests that are open at once.
    pub open_requests: usize,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is written.
    pub level: Level,
    /// Most lines of one event name in each interval.
    pub repeat_limit: u32,
    /// Length of the interval.
    pub repeat_interval: Duration,
}

impl Settings {
    /// Settings of the services. The caller draws `incarnation` and `random_seed` at random when the process starts.
    pub fn control(&self, incarnation: u64, random_seed: u64) -> control::Settings {
        control::Settings {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            peer_address: self.peer_address.clone(),
            http_address: self.http_address.clone(),
            incarnation,
            random_seed,
            seeds: self.seeds.clone(),
            bootstrap_digest: self.bootstrap_digest.clone(),
            ownership_lease: self.leases.ownership,
            task_lease: self.leases.task,
            configuration_lease: self.leases.configuration,
            fencing: self.fencing,
            table_timeout: self.timeouts.table,
            worker_timeout: self.timeouts.worker,
            sync_wait: self.timeouts.sync_wait,
            admission_queue_limit: self.limits.admission_queue,
            stop_bound: self.timeouts.stop_bound,
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {found}; expected {expected}. {remedy}")]
pub struct Fault {
    /// JSON path of the field; `$` is the whole file.
    pub path: String,
    /// What the file has there.
    pub found: String,
    /// What the field must be.
    pub expected: String,
    /// How to correct it.
    pub remedy: String,
}

/// Text of all faults, one a line, under a line that names the file.
pub fn listing(path: &Path, faults: &[Fault]) -> String {
    let plural = if faults.len() == 1 { "fault" } else { "faults" };
    let head = format!("{}: {} {plural}", path.display(), faults.len());
    faults.iter().fold(head, |text, fault| format!("{text}\n  {fault}"))
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every fault of the file, in the order of the fields.
pub fn check(path: &Path) -> Result<Settings, Vec<Fault>> {
    match fs::read_to_string(path) {
        Ok(text) => parse(&text),
        Err(error) => Err(vec![Fault {
            path: "$".to_owned(),
            found: format!("the file cannot be read ({error})"),
            expected: "a readable JSON file".to_owned(),
            remedy: format!("Check the path {} and its permissions.", path.display()),
        }]),
    }
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// Every fault of the text, in the order of the fields.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let document = serde_json::from_str(text).map_err(|error| {
        vec![Fault {
            path: "$".to_owned(),
            found: format!("the text is not JSON ({error})"),
            expected: "one JSON object".to_owned(),
            remedy: "Correct the syntax at the named line and column.".to_owned(),
        }]
    })?;
    let mut faults = Faults::default();
    let settings = read(&document, &mut faults);
    match settings {
        Some(settings) if faults.0.is_empty() => Ok(settings),
        _ => Err(faults.0),
    }
}

impl fmt::Display for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "table {}, objects {}, list {}", self.table, self.objects, self.list)
    }
}
