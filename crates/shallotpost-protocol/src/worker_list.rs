//! The platform's list of workers. It is eventually consistent and may be out of date.

use serde::{Deserialize, Serialize};

use crate::identity::{Address, DataCentreId, RackId, WorkerId};
use crate::size::Size;

/// Entry of the worker list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub worker: WorkerId,
    /// Address that the worker listens on.
    pub address: Address,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    /// Total capacity, including what is booked.
    pub capacity: Size,
    /// Whether the worker is about to leave the fleet and must not receive new work.
    pub leaving: bool,
}
