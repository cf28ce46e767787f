//! The row that each entry host keeps about itself.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, DataCentreId, HostId, Revision};

/// Value of the row `hosts/<data centre>/<host>`. Every transaction of the host rewrites it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Drawn at random when the process starts.
    pub incarnation: u64,
    /// Where its peer streams connect.
    pub peer_address: Address,
    /// Where its HTTP interface listens.
    pub http_address: Address,
    /// Rises by one with each transaction of this incarnation.
    pub sequence: u64,
    /// The configuration revision that it applies.
    pub applied: Revision,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// Prefix of the host rows of one data centre.
pub fn prefix(data_centre: &str) -> String {
    format!("hosts/{data_centre}/")
}

/// Key of a host's row.
pub fn row_key(data_centre: &str, host: &str) -> String {
    format!("hosts/{data_centre}/{host}")
}
