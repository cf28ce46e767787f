//! Settings of one entry host that the services need.

use shallotpost_protocol::prelude::*;

/// Clock-rate difference between two machines that leases allow for, in thousandths.
pub const CLOCK_RATE_MILLI: u32 = 20;

/// Added to each observed lease for scheduling delays of the observer.
pub const OBSERVER_MARGIN: Duration = Duration::from_millis(500);

/// Time by which a holder stops acting before its lease ends, since it may be paused between check and act.
pub const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Time that an observer must wait until a lease of this length has surely lapsed at its holder.
pub fn surely_lapsed(lease: Duration) -> Duration {
    lease + lease * CLOCK_RATE_MILLI / 1000 + OBSERVER_MARGIN
}

/// Whether workers refuse calls with an old epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Fencing {
    /// They refuse them.
    Epoch,
    /// They do not: the owner stops starting tasks when its ownership lease ends.
    None,
}

/// A peer known from the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its peer streams listen.
    pub peer_address: Address,
}

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its peer streams listen.
    pub peer_address: Address,
    /// Where its HTTP interface listens.
    pub http_address: Address,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// Seed of all random choices of the services, such as jitter.
    pub random_seed: u64,
    /// Other entry hosts.
    pub seeds: Vec<Seed>,
    /// SHA-256 digest of the secret of the key `bootstrap`, which has operator rights; for the first set-up.
    pub bootstrap_digest: Option<String>,
    /// How long an owner may act after its last successful transaction.
    pub ownership_lease: Duration,
    /// How long a worker runs tasks without a call from the owner.
    pub task_lease: Duration,
    /// How long a host may act on its configuration after it was last confirmed.
    pub configuration_lease: Duration,
    /// Whether workers refuse old epochs.
    pub fencing: Fencing,
    /// Timeout of a call to the table service.
    pub table_timeout: Duration,
    /// Timeout of a call to a worker, beyond the wait that the call asks for.
    pub worker_timeout: Duration,
    /// Longest wait that one `sync` call asks a worker for.
    pub sync_wait: Duration,
    /// Most submissions that wait for their commit.
    pub admission_queue_limit: usize,
    /// Most time from a stop request to the exit.
    pub stop_bound: Duration,
}

impl Settings {
    /// Settings with the default limits.
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
