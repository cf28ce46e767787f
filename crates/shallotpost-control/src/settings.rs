//! Settings of one entry host, and the safety margins of leases.

use shallotpost_protocol::prelude::*;

/// Maximum difference between the clock rates of two machines that leases tolerate, in thousandths.
pub const CLOCK_DRIFT_PER_MILLE: u32 = 20;

/// Added to the lease of another host or worker, to cover scheduling delays of the observer.
pub const OBSERVER_MARGIN: Duration = Duration::from_millis(500);

/// A holder stops acting this long before its lease ends, because it may be paused between checking the lease and
/// acting.
pub const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Returns how long an observer must wait until a lease of this duration has certainly expired at its holder.
pub fn lease_expiry_bound(lease: Duration) -> Duration {
    lease + lease * CLOCK_DRIFT_PER_MILLE / 1000 + OBSERVER_MARGIN
}

/// Whether workers reject calls with an old epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Fencing {
    /// Workers use the epoch as a fencing token and reject calls with an old one.
    Epoch,
    /// Workers do not check epochs. The owner stops starting tasks when its ownership lease ends.
    None,
}

/// A peer from the settings file, contacted before any host row has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    pub host: HostId,
    pub data_centre: DataCentreId,
    pub peer_address: Address,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Address at which other hosts reach the peer connections of this host.
    pub peer_address: Address,
    /// Address at which other hosts and clients reach the HTTP interface of this host.
    pub http_address: Address,
    /// Identifies this run of the process; drawn at random when it starts.
    pub incarnation: u64,
    /// Seeds the random choices of the services, such as jitter.
    pub random_seed: u64,
    pub seeds: Vec<Seed>,
    /// SHA-256 digest of the secret of the key `bootstrap`, which has operator rights and serves for the initial
    /// set-up.
    pub bootstrap_digest: Option<String>,
    /// How long an owner may act after its last successful transaction.
    pub ownership_lease: Duration,
    /// How long a worker keeps tasks running without a call from the owner.
    pub task_lease: Duration,
    /// How long a host may act on its configuration after it was last confirmed.
    pub configuration_lease: Duration,
    pub fencing: Fencing,
    pub table_timeout: Duration,
    /// Timeout of a call to a worker, in addition to the wait that the call requests.
    pub worker_timeout: Duration,
    /// Longest wait that a `sync` call requests from a worker.
    pub sync_wait: Duration,
    /// Maximum number of submissions that wait for their commit.
    pub admission_queue_limit: usize,
    /// Longest time from a stop request to the exit of the process.
    pub stop_bound: Duration,
}

impl Settings {
    /// Returns settings with the default limits, empty addresses and no seeds.
    pub fn new(host: &str, data_centre: &str) -> Settings {
        Settings {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            peer_address: String::new(),
            http_address: String::new(),
            incarnation: 1,
            random_seed: 1,
            seeds: Vec::new(),
            bootstrap_digest: None,
            ownership_lease: Duration::from_secs(3),
            task_lease: Duration::from_secs(8),
            configuration_lease: Duration::from_secs(6),
            fencing: Fencing::Epoch,
            table_timeout: Duration::from_secs(2),
            worker_timeout: Duration::from_secs(2),
            sync_wait: Duration::from_secs(1),
            admission_queue_limit: 10_000,
            stop_bound: Duration::from_secs(30),
        }
    }
}
