//! Settings file of `shallotpostd`: a JSON file that is validated completely before anything starts.
//!
//! docs/operating.md explains every field. `examples/settings.json` is a complete example.

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
use sections::read_document;

/// Maximum interval between two heartbeat transactions of an entry host; see docs/design.md, section 3.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of heartbeats per ownership lease, so that the lease survives two lost heartbeats.
pub const HEARTBEATS_PER_LEASE: u32 = 3;

/// Exclusive minimum of the configuration lease: the time of two polls of `config/head`, one of which may be lost.
pub const CONFIGURATION_LEASE_FLOOR: Duration = Duration::from_secs(2);

/// Maximum time until a new owner has claimed the workers after the previous ownership lease expires.
pub const TAKEOVER_DURATION: Duration = Duration::from_secs(2);

/// Maximum accepted duration. A longer one probably has the wrong unit.
pub const DURATION_MAX: Duration = Duration::from_secs(3600);

/// Maximum accepted queue or connection limit. A larger one would not fit into the 64 MB of memory of an entry host.
pub const LIMIT_MAX: u64 = 100_000;

/// Validated contents of the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Listening address of the HTTP interface.
    pub http_address: Address,
    /// Listening address for peers.
    pub peer_address: Address,
    pub platform: Platform,
    /// Other entry hosts. An entry for this host is removed.
    pub seeds: Vec<Seed>,
    /// SHA-256 digest of the secret of the key `bootstrap`, in hexadecimal; absent if that key is disabled.
    pub bootstrap_digest: Option<String>,
    /// Whether workers reject calls with a stale epoch.
    pub fencing: Fencing,
    pub leases: Leases,
    pub timeouts: Timeouts,
    pub limits: Limits,
    pub log: Log,
}

/// Base URLs of the platform's services, in the format `http://<ip>:<port>[/<path>]`, without a trailing slash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    pub table: String,
    pub objects: String,
    pub list: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leases {
    /// Time for which an owner may act after its last successful transaction.
    pub ownership: Duration,
    /// Time for which a worker keeps running tasks without a call from the owner.
    pub task: Duration,
    /// Time for which a host may act on its configuration after the last confirmation.
    pub configuration: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timeouts {
    pub table: Duration,
    /// Timeout of a call to a worker, in addition to the wait that the call requests.
    pub worker: Duration,
    /// Maximum wait that a `sync` call requests from a worker.
    pub sync_wait: Duration,
    /// Timeout of each read from or write to an object stream.
    pub objects: Duration,
    /// Maximum time from a stop request to the exit.
    pub stop_bound: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of submissions waiting for their commit.
    pub admission_queue: usize,
    /// Maximum number of HTTP requests in flight.
    pub open_requests: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Minimum severity of written lines.
    pub level: Level,
    /// Maximum number of lines per event name and interval.
    pub repeat_limit: u32,
    pub repeat_interval: Duration,
}

impl Settings {
    /// Returns the settings of the kernel. The caller chooses `incarnation` and `random_seed` at random for each process.
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
    /// JSON path of the field; `$` stands for the whole file.
    pub path: String,
    /// Description of the invalid value.
    pub found: String,
    /// Description of valid values.
    pub expected: String,
    /// Instruction for the operator.
    pub remedy: String,
}

/// Formats all faults, one per line, below a line with the path of the file.
pub fn format_faults(path: &Path, faults: &[Fault]) -> String {
    let plural = if faults.len() == 1 { "fault" } else { "faults" };
    let heading = format!("{}: {} {plural}", path.display(), faults.len());
    faults.iter().fold(heading, |text, fault| format!("{text}\n  {fault}"))
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns all faults of the file, in the order of the fields.
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

/// Decodes and validates the text of a settings file.
///
/// # Errors
///
/// Returns all faults of the text, in the order of the fields.
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
    let settings = read_document(&document, &mut faults);
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
