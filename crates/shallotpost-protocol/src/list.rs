//! The platform's list of workers. It lags behind the truth.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, DataCentreId, RackId, WorkerId};
use crate::size::Size;

/// One worker of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Unique name.
    pub worker: WorkerId,
    /// Where it listens.
    pub address: Address,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// What it can hold.
    pub capacity: Size,
    /// Whether it is about to leave and must get no new work.
    pub leaving: bool,
}
