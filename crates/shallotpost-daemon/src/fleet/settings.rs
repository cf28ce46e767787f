//! Settings of an entry host of a job fleet: a JSON document that is checked as a whole before anything starts.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use shallotpost_fleet::scheduler::Bounds;
use shallotpost_protocol::millis;

/// Longest lease that is asked for. Work of a worker that is lost waits for the end of its lease.
const LEASE_MAX: Duration = Duration::from_secs(6);

/// Shortest lease that leaves time for a failover of the owner.
const HOLD_MIN: Duration = Duration::from_secs(2);

/// Smallest share of a core that is told apart.
const PROCESSORS_MIN: f64 = 0.001;

/// Everything that an entry host reads from its settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where peers connect; also the address under which this host is published.
    pub peer_address: SocketAddr,
    /// Where the metrics page is served.
    pub metrics_address: SocketAddr,
    /// Services of the platform.
    pub platform: Platform,
    /// Bounds that the platform states.
    pub bounds: PlatformBounds,
    /// Processor of this host in cores; parts of one are usual. The host with the most becomes the owner of the fleet.
    pub processors: f64,
    /// Most log lines of one event name in a second.
    pub log_lines_per_second: u32,
}

impl Settings {
    /// Processor of this host in thousandths of a core.
    pub fn processors_milli(&self) -> u64 {
        // The settings were checked: it is positive and finite.
        (self.processors * 1e3).round() as u64
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The store.
    pub store: SocketAddr,
    /// The service that approves workers; none where no queue needs approval.
    #[serde(default)]
    pub approval: Option<SocketAddr>,
}

/// Bounds of the platform, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformBounds {
    /// Longest lease that a worker grants.
    #[serde(rename = "hold_max_ms", with = "millis")]
    pub hold_max: Duration,
    /// Time after which a stopped run is gone.
    #[serde(rename = "stop_timeout_ms", with = "millis")]
    pub stop_timeout: Duration,
    /// Time for which the state of an ended job can be read.
    #[serde(rename = "retention_s")]
    pub retention_seconds: u64,
    /// Time from the request to stop until the process is killed.
    #[serde(rename = "grace_s")]
    pub grace_seconds: u64,
}

impl PlatformBounds {
    /// The bounds that decisions depend on.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            lease_max: self.hold_max.min(LEASE_MAX),
            stop_timeout: self.stop_timeout,
            retention: Duration::from_secs(self.retention_seconds),
        }
    }
}

/// Faults of a settings file, one a line.
#[derive(Debug, thiserror::Error)]
pub struct Faults(Vec<String>);

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.join("\n"))
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, is not of the expected form, or contradicts itself; all contradictions are listed.
pub fn read(path: &Path) -> Result<Settings, Faults> {
    let text = fs::read_to_string(path).map_err(|error| {
        Faults(vec![format!("the file cannot be read: {error}. Check its path.")])
    })?;
    parse(&text)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// As for [`read`].
pub fn parse(text: &str) -> Result<Settings, Faults> {
    let settings: Settings = serde_json::from_str(text).map_err(|error| {
        Faults(vec![format!("{error}. Compare with deploy/settings.json.template.")])
    })?;
    let mut faults = Vec::new();
    if settings.host.is_empty() {
        faults.push("host is empty. Give each host a name of its own.".to_owned());
    }
    let addresses = [
        settings.callers_address,
        settings.readiness_address,
        settings.peer_address,
        settings.metrics_address,
    ];
    for (position, address) in addresses.iter().enumerate() {
        if addresses[..position].contains(address) {
            faults.push(format!("{address} is used twice. Give each interface a port of its own."));
        }
    }
    if settings.bounds.hold_max < HOLD_MIN {
        faults.push(format!(
            "bounds.hold_max_ms is below {} ms. Use the platform's figure.",
            HOLD_MIN.as_millis()
        ));
    }
    if !(settings.processors.is_finite() && settings.processors >= PROCESSORS_MIN) {
        faults
            .push(format!("processors is not {PROCESSORS_MIN} or more. Use the share of a core."));
    }
    if settings.log_lines_per_second == 0 {
        faults.push("log_lines_per_second is 0. Use 1 or more.".to_owned());
    }
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(Faults(faults)),
    }
}
