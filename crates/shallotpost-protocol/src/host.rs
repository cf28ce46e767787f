//! Row in which each entry host publishes its own state.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, DataCentreId, HostId, Revision};

/// Value of the row `hosts/<data centre>/<host>`. Every transaction of the host rewrites it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Random number, drawn when the process starts.
    pub incarnation: u64,
    /// Address that peer streams connect to.
    pub peer_address: Address,
    pub http_address: Address,
    /// Incremented by each transaction of this incarnation.
    pub sequence: u64,
    /// Configuration revision that the host applies.
    pub applied: Revision,
    /// Whether the host is shutting down.
    pub draining: bool,
}

/// Returns the key prefix of the host rows of one data centre.
pub fn prefix(data_centre: &str) -> String {
    format!("hosts/{data_centre}/")
}

pub fn row_key(data_centre: &str, host: &str) -> String {
    format!("hosts/{data_centre}/{host}")
}
