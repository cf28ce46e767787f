//! What all owned shards share: settings, configuration, leases and the worker list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sha2::{Digest, Sha256};
use shallotpost_protocol::resource::{Availability, Kind};
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::Specification;
use shallotpost_protocol::worker_list;

use crate::admission::{self, Requirement};
use crate::configuration::Snapshot;
use crate::membership::{Peer, PeerList};
use crate::prelude::*;
use crate::settings::{HOLDER_MARGIN, lease_expiry_bound};

/// Time since its last answer within which the owner of a shard counts as answering.
const ANSWERS_WITHIN: Duration = Duration::from_secs(3);

/// State that is not specific to a shard.
pub struct Environment {
    /// Settings of this host.
    pub settings: Settings,
    /// Latest configuration.
    pub snapshot: Rc<Snapshot>,
    /// End of the configuration lease.
    pub fresh_until: Option<Instant>,
    /// End of the ownership lease.
    pub lease_until: Option<Instant>,
    /// The worker list, once loaded.
    pub list: Option<Rc<Vec<worker_list::Worker>>>,
    /// Time of the first list.
    listed_since: Option<Instant>,
    /// Workers that left the list, with the time at which this was seen.
    vanished: BTreeMap<WorkerId, (Instant, worker_list::Worker)>,
    /// Whether other data centres have entry hosts.
    has_remote_hosts: bool,
    /// Entry hosts with their latest answers.
    pub fleet: Rc<PeerList>,
    /// Latest loads of the shards of this host.
    pub own_loads: Vec<Load>,
    next_tag: Cell<Tag>,
    random: RefCell<StdRng>,
}

impl Environment {
    /// An environment without configuration and worker list.
    pub fn new(settings: &Settings) -> Environment {
        Environment {
            settings: settings.clone(),
            snapshot: Rc::default(),
            fresh_until: None,
            lease_until: None,
            list: None,
            listed_since: None,
            vanished: BTreeMap::new(),
            has_remote_hosts: false,
            fleet: Rc::default(),
            own_loads: Vec::new(),
            next_tag: Cell::new(0),
            random: RefCell::new(StdRng::seed_from_u64(settings.random_seed)),
        }
    }

    /// Takes over a worker list.
    pub fn set_list(&mut self, now: Instant, list: Rc<Vec<worker_list::Worker>>) {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        self.vanished.retain(|_, (since, _)| now < *since + lapse);
        let own = |worker: &&worker_list::Worker| worker.data_centre == self.settings.data_centre;
        let listed: HashSet<&str> =
            list.iter().filter(own).map(|worker| worker.worker.as_str()).collect();
        self.vanished.retain(|worker, _| !listed.contains(worker.as_str()));
        for worker in self.list.iter().flat_map(|list| list.iter()).filter(own) {
            if !listed.contains(worker.worker.as_str()) {
                self.vanished.insert(worker.worker.clone(), (now, worker.clone()));
            }
        }
        self.list = Some(list);
        self.listed_since.get_or_insert(now);
    }

    /// Whether every worker that may still hold a lease is in the list or was seen to leave it. A process that started
    /// less than a task lease ago cannot tell.
    pub fn knows_vanished(&self, now: Instant) -> bool {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        self.listed_since.is_some_and(|since| now >= since + lapse)
    }

    /// Workers of a shard that left the list less than a task lease ago.
    pub fn vanished<'a>(
        &'a self,
        shard: &'a Shard,
        now: Instant,
    ) -> impl Iterator<Item = &'a worker_list::Worker> {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        let recent = self.vanished.values().filter(move |(since, _)| now < *since + lapse);
        recent.map(|(_, worker)| worker).filter(|worker| self.belongs(worker, shard))
    }

    /// Whether a lease is certain to hold until an effect of now has taken place.
    pub fn holds(until: Option<Instant>, now: Instant) -> bool {
        until.is_some_and(|until| now + HOLDER_MARGIN < until)
    }

    /// A tag that no other write of this service has.
    pub fn next_tag(&self) -> Tag {
        self.next_tag.set(self.next_tag.get() + 1);
        self.next_tag.get()
    }

    /// A duration between `base` and twice `base`, so that retries of many sessions spread.
    pub fn jitter(&self, base: Duration) -> Duration {
        base.mul_f64(1.0 + self.random.borrow_mut().random::<f64>())
    }

    /// Latest loads of all shards whose owner answers.
    pub fn loads(&self, now: Instant) -> BTreeMap<Shard, Load> {
        let answers = |peer: &&Peer| {
            let sent = peer.last_pong.as_ref().map(|(sent, _)| *sent);
            sent.is_some_and(|sent| now < sent + ANSWERS_WITHIN)
        };
        let peers = self.fleet.peers.iter().filter(answers).cloned().collect();
        admission::latest_loads(&PeerList { peers }, &self.own_loads)
    }

    /// The host that owns a shard, as far as this host knows.
    pub fn owner(&self, shard: &Shard) -> Option<HostId> {
        admission::known_owner(&self.fleet, &self.own_loads, &self.settings.host, shard)
    }

    /// Chooses another home for work among these shards.
    pub fn choose_target(
        &self,
        specification: &Specification,
        loads: &BTreeMap<Shard, Load>,
        need: Requirement,
    ) -> Option<Shard> {
        let random = &mut self.random.borrow_mut();
        let local = &self.settings.data_centre;
        admission::choose_other_home(specification, &self.snapshot, loads, need, local, random)
    }

    /// Availability of a data centre; active where it is not configured.
    pub fn availability(&self, data_centre: &str) -> Availability {
        self.snapshot
            .data_centre(data_centre)
            .map_or(Availability::Active, |entry| entry.availability)
    }

    /// Whether `shard` is the only one of the fleet, so that the cap of a team need not be split.
    pub fn is_only_shard(&self, shard: &Shard) -> bool {
        let other = |name: &str| name != shard.data_centre;
        self.shard_count(&shard.data_centre) == 1
            && !self.snapshot.names(Kind::DataCentre).any(other)
            && !self.has_remote_hosts
    }

    /// Takes over the other entry hosts. Returns whether this may change which shard is the only one.
    pub fn set_fleet(&mut self, fleet: &PeerList) -> bool {
        let own = &self.settings.data_centre;
        let remote = fleet.peers.iter().any(|peer| peer.data_centre != *own);
        std::mem::replace(&mut self.has_remote_hosts, remote) != remote
    }

    /// Workers of a shard; `None` before the list is loaded.
    pub fn workers<'a>(
        &'a self,
        shard: &'a Shard,
    ) -> Option<impl Iterator<Item = &'a worker_list::Worker>> {
        let belongs = move |worker: &&worker_list::Worker| self.belongs(worker, shard);
        self.list.as_deref().map(|list| list.iter().filter(belongs))
    }

    fn belongs(&self, worker: &worker_list::Worker, shard: &Shard) -> bool {
        let count = self.shard_count(&shard.data_centre);
        worker.data_centre == shard.data_centre && shard_index(&worker.rack, count) == shard.index
    }

    fn shard_count(&self, data_centre: &str) -> u32 {
        self.snapshot.data_centre(data_centre).map_or(1, |entry| entry.shards.max(1))
    }
}

/// Index of the shard that the workers of a rack belong to. The hash is the same on every host and release.
pub fn shard_index(rack: &str, count: u32) -> u32 {
    let digest = Sha256::digest(rack.as_bytes());
    let hash = digest.iter().take(4).fold(0, |hash: u32, byte| (hash << 8) | u32::from(*byte));
    hash % count.max(1)
}
