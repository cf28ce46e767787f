//! Settings of an entry host of a job fleet: a JSON file that is validated completely before anything starts.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use shallotpost_fleet::host::Freshness;
use shallotpost_fleet::scheduler::Bounds;
use shallotpost_protocol::millis;

/// Maximum lease that the owner requests. Tasks of a lost worker can only be restarted after its lease has expired.
const LEASE_MAX: Duration = Duration::from_secs(6);

/// Minimum lease: a shorter one leaves no time for a failover of the owner.
const LEASE_MIN: Duration = Duration::from_secs(2);

/// Minimum bound on the age of what a host knows: a shorter one leaves no time for a call on another path to the store.
const FRESHNESS_MIN: Duration = Duration::from_secs(1);

/// Minimum processor capacity, in cores: the resolution is a thousandth of a core.
const PROCESSORS_MIN: f64 = 0.001;

/// Contents of the settings file of an entry host.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub host: String,
    pub data_centre: String,
    /// Listening address for callers.
    pub callers_address: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Listening address for peers; also published as the address of this host.
    pub peer_address: SocketAddr,
    /// Listening address of the metrics page.
    pub metrics_address: SocketAddr,
    pub platform: Platform,
    /// Bounds that the platform guarantees or imposes.
    pub bounds: PlatformBounds,
    #[serde(default)]
    pub freshness: FreshnessBounds,
    /// Processor capacity of this host in cores, usually less than one. The host with the highest capacity becomes the
    /// owner of the fleet.
    pub processors: f64,
    /// Maximum number of log lines per event name and second.
    pub log_lines_per_second: u32,
}

impl Settings {
    /// Returns the processor capacity of this host in thousandths of a core.
    pub fn processors_milli(&self) -> u64 {
        // `parse` has checked that the value is positive and finite.
        (self.processors * 1e3).round() as u64
    }
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    pub store: SocketAddr,
    /// The approval service; absent if no queue needs approval.
    #[serde(default)]
    pub approval: Option<SocketAddr>,
}

/// Time limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformBounds {
    /// Maximum lease that a worker grants.
    #[serde(rename = "hold_max_ms", with = "millis")]
    pub lease_max: Duration,
    /// Maximum time from a stop request to the end of the run.
    #[serde(rename = "stop_timeout_ms", with = "millis")]
    pub stop_timeout: Duration,
    /// Time for which the state of an ended job must remain readable.
    #[serde(rename = "retention_s")]
    pub retention_seconds: u64,
    /// Time from SIGTERM until the platform kills the process.
    #[serde(rename = "grace_s")]
    pub grace_seconds: u64,
}

impl PlatformBounds {
    /// Returns the bounds that the scheduler uses.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            lease_max: self.lease_max.min(LEASE_MAX),
            hold_max: self.lease_max,
            stop_timeout: self.stop_timeout,
            retention: Duration::from_secs(self.retention_seconds),
        }
    }
}

/// Times within which changes must be in force. Each has a default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FreshnessBounds {
    /// Bound for the operator's configuration and evacuations.
    #[serde(rename = "settings_ms", with = "millis")]
    pub settings: Duration,
    /// Bound for a worker's announcement that it drains.
    #[serde(rename = "drains_ms", with = "millis")]
    pub drains: Duration,
    /// Bound for the cancellation of a job.
    #[serde(rename = "cancellations_ms", with = "millis")]
    pub cancellations: Duration,
}

impl Default for FreshnessBounds {
    fn default() -> FreshnessBounds {
        let Freshness { settings, drains, cancellations } = Freshness::default();
        FreshnessBounds { settings, drains, cancellations }
    }
}

impl FreshnessBounds {
    /// Returns the bounds that the host uses.
    pub fn freshness(&self) -> Freshness {
        let FreshnessBounds { settings, drains, cancellations } = *self;
        Freshness { settings, drains, cancellations }
    }
}

/// Faults of a settings file. The display format has one line per fault.
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
/// Returns an error if the file cannot be read or decoded, or all faults if it has invalid values.
pub fn read(path: &Path) -> Result<Settings, Faults> {
    let text = fs::read_to_string(path)
        .map_err(|error| Faults(vec![format!("cannot read the file: {error}. Check its path.")]))?;
    parse(&text)
}

/// Decodes and checks the text of a settings file.
///
/// # Errors
///
/// Returns an error if the text cannot be decoded, or all faults if it has invalid values.
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
    if settings.bounds.lease_max < LEASE_MIN {
        faults.push(format!(
            "bounds.hold_max_ms is below {} ms. Use the platform's figure.",
            LEASE_MIN.as_millis()
        ));
    }
    let freshness = settings.freshness;
    for (name, bound) in [
        ("settings_ms", freshness.settings),
        ("drains_ms", freshness.drains),
        ("cancellations_ms", freshness.cancellations),
    ] {
        if bound < FRESHNESS_MIN {
            faults.push(format!(
                "freshness.{name} is below {} ms. Use the platform's figure.",
                FRESHNESS_MIN.as_millis()
            ));
        }
    }
    if !(settings.processors.is_finite() && settings.processors >= PROCESSORS_MIN) {
        faults.push(format!("processors is below {PROCESSORS_MIN}. Use the share of a core."));
    }
    if settings.log_lines_per_second == 0 {
        faults.push("log_lines_per_second is 0. Use 1 or more.".to_owned());
    }
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(Faults(faults)),
    }
}
