//! Settings of the stand-in program, and the platform and workers that it starts from them.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotpost_protocol::identity::{DataCentreId, RackId, WorkerId};
use shallotpost_protocol::size::Size;
use shallotpost_protocol::worker_list;

use crate::fault::Fault;
use crate::host::Host;
use crate::hub::{Hub, Server};
use crate::platform::Platform;
use crate::worker::Worker;

/// Settings file of `shallotpost-standin`, in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address that the platform listens on; port 0 selects a free port.
    pub platform: SocketAddr,
    /// Milliseconds after which readers of the worker list see a change.
    #[serde(default)]
    pub list_lag_ms: u64,
    #[serde(default)]
    pub workers: Vec<WorkerSettings>,
}

/// One worker of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Name, unique among the workers.
    pub worker: WorkerId,
    /// Address that the worker listens on; port 0 selects a free port.
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    pub capacity: Size,
}

/// A running platform with its workers. Everything stops when it is dropped.
pub struct Fleet {
    /// The workers, in the order of the settings.
    pub workers: Vec<Server<Host>>,
    pub platform: Arc<Server<Platform>>,
    _hub: Hub,
}

impl Fleet {
    /// Starts the platform and all workers, and lists the workers with the addresses that they listen on.
    ///
    /// # Errors
    ///
    /// Returns an error if an address of the settings cannot be listened on or a thread cannot be started.
    pub fn start(settings: &Settings) -> io::Result<Fleet> {
        let hub = Hub::start()?;
        let platform = Arc::new(hub.serve(settings.platform, Platform::default())?);
        platform.fault(&Fault { list_lag_ms: Some(settings.list_lag_ms), ..Fault::default() });
        let workers = settings.workers.iter().map(|worker| start_worker(&hub, &platform, worker));
        let workers = workers.collect::<io::Result<Vec<_>>>()?;
        platform.update_list(|list| {
            let listed = settings.workers.iter().zip(&workers);
            list.extend(listed.map(|(worker, server)| list_entry(worker, server.address())));
        });
        Ok(Fleet { workers, platform, _hub: hub })
    }
}

fn start_worker(
    hub: &Hub,
    platform: &Arc<Server<Platform>>,
    settings: &WorkerSettings,
) -> io::Result<Server<Host>> {
    let (platform, name) = (Arc::downgrade(platform), settings.worker.clone());
    let on_leaving = move |leaving| {
        let Some(platform) = platform.upgrade() else { return };
        platform.update_list(|list| {
            let named = list.iter_mut().filter(|entry| entry.worker == name);
            named.for_each(|entry| entry.leaving = leaving);
        });
    };
    // Each `RandomState` has its own random keys, so each run of a worker gets another incarnation.
    let incarnation = RandomState::new().hash_one(&settings.worker);
    let worker = Worker::new(incarnation, settings.capacity);
    hub.serve(settings.address, Host::with_on_leaving(worker, Box::new(on_leaving)))
}

fn list_entry(settings: &WorkerSettings, address: SocketAddr) -> worker_list::Worker {
    worker_list::Worker {
        worker: settings.worker.clone(),
        address: address.to_string(),
        data_centre: settings.data_centre.clone(),
        rack: settings.rack.clone(),
        capacity: settings.capacity,
        leaving: false,
    }
}
