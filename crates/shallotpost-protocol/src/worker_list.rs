//! The platform's list of workers. It is eventually consistent and may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

use crate::identity::{Address, DataCentreId, RackId, WorkerId};
use crate::size::Size;

/// Maximum length of an entry, in bytes. It also limits the depth of nested values in fields that are skipped.
const ENTRY_BYTES_MAX: usize = 8 << 10;

/// Maximum length of each text of an entry, in bytes.
const TEXT_BYTES_MAX: usize = 128;

/// Maximum amount of each resource of a worker: a million cores, a pebibyte of memory.
const CAPACITY_MAX: u64 = 1 << 30;

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

/// A worker list as it is read. Entries that cannot be read, or with values that no worker can have, name no worker to
/// use and are left out: they may come from another writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List(pub Vec<Worker>);

impl<'de> Deserialize<'de> for List {
    /// Reads the list from JSON. The text of each entry is read by itself, so that no entry affects another one.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<List, D::Error> {
        let entries = Vec::<Box<RawValue>>::deserialize(deserializer)?;
        Ok(List(entries.iter().filter_map(|entry| Worker::parse(entry.get())).collect()))
    }
}

impl Worker {
    /// Reads an entry; returns `None` if it names no worker to use.
    fn parse(text: &str) -> Option<Worker> {
        // A derived implementation also accepts a list of the fields' values in their order.
        let object = text.starts_with('{') && text.len() <= ENTRY_BYTES_MAX;
        let worker: Worker = object.then(|| serde_json::from_str(text).ok())??;
        worker.is_possible().then_some(worker)
    }

    /// Returns whether the values lie in the ranges that a worker can have.
    fn is_possible(&self) -> bool {
        let reachable = |address: SocketAddr| {
            let ip = address.ip().to_canonical();
            address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
        };
        let texts = [&self.worker, &self.data_centre, &self.rack];
        !self.worker.is_empty()
            && texts.into_iter().all(|text| text.len() <= TEXT_BYTES_MAX)
            && self.capacity.parts().into_iter().all(|amount| amount <= CAPACITY_MAX)
            && self.address.parse().is_ok_and(reachable)
    }
}
