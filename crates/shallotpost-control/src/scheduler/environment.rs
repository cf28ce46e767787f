//! State shared by all owned shards: settings, configuration, leases, worker list and peers.

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

/// Maximum age of the last pong of a peer whose loads are used.
const PEER_ANSWER_MAX_AGE: Duration = Duration::from_secs(3);

/// State that is not specific to one shard.
pub struct Environment {
    pub settings: Settings,
    pub snapshot: Rc<Snapshot>,
    /// End of the configuration lease; `None` before the first one.
    pub configuration_lease_until: Option<Instant>,
    /// End of the ownership lease; `None` before the first one.
    pub ownership_lease_until: Option<Instant>,
    /// Worker list; `None` until it is loaded.
    pub list: Option<Rc<Vec<worker_list::Worker>>>,
    /// Time at which the first list arrived.
    listed_since: Option<Instant>,
    /// Workers that left the list, with the time at which their absence was noticed.
    delisted: BTreeMap<WorkerId, (Instant, worker_list::Worker)>,
    /// Whether other data centres have entry hosts.
    has_remote_hosts: bool,
    /// Other entry hosts with their latest pongs.
    pub peer_list: Rc<PeerList>,
    /// Latest loads of the shards that this host owns.
    pub own_loads: Vec<Load>,
    next_tag: Cell<Tag>,
    random: RefCell<StdRng>,
}

impl Environment {
    /// Creates an environment without configuration and worker list.
    pub fn new(settings: &Settings) -> Environment {
        Environment {
            settings: settings.clone(),
            snapshot: Rc::default(),
            configuration_lease_until: None,
            ownership_lease_until: None,
            list: None,
            listed_since: None,
            delisted: BTreeMap::new(),
            has_remote_hosts: false,
            peer_list: Rc::default(),
            own_loads: Vec::new(),
            next_tag: Cell::new(0),
            random: RefCell::new(StdRng::seed_from_u64(settings.random_seed)),
        }
    }

    /// Replaces the worker list and remembers the workers of this data centre that left it.
    pub fn set_list(&mut self, now: Instant, list: Rc<Vec<worker_list::Worker>>) {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        self.delisted.retain(|_, (since, _)| now < *since + lapse);
        let own = |worker: &&worker_list::Worker| worker.data_centre == self.settings.data_centre;
        let listed: HashSet<&str> =
            list.iter().filter(own).map(|worker| worker.worker.as_str()).collect();
        self.delisted.retain(|worker, _| !listed.contains(worker.as_str()));
        for worker in self.list.iter().flat_map(|list| list.iter()).filter(own) {
            if !listed.contains(worker.worker.as_str()) {
                self.delisted.insert(worker.worker.clone(), (now, worker.clone()));
            }
        }
        self.list = Some(list);
        self.listed_since.get_or_insert(now);
    }

    /// Returns whether every worker that may still hold a task lease is in the list or in the delisted workers. This is
    /// false until the list has been known for as long as a task lease can last.
    pub fn knows_delisted(&self, now: Instant) -> bool {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        self.listed_since.is_some_and(|since| now >= since + lapse)
    }

    /// Returns the workers of a shard that left the list so recently that they may still hold a task lease.
    pub fn delisted<'a>(
        &'a self,
        shard: &'a Shard,
        now: Instant,
    ) -> impl Iterator<Item = &'a worker_list::Worker> {
        let lapse = lease_expiry_bound(self.settings.task_lease);
        let recent = self.delisted.values().filter(move |(since, _)| now < *since + lapse);
        recent.map(|(_, worker)| worker).filter(|worker| self.belongs(worker, shard))
    }

    /// Returns whether a lease holds for at least [`HOLDER_MARGIN`], so that an action started now takes effect within it.
    pub fn lease_holds(until: Option<Instant>, now: Instant) -> bool {
        until.is_some_and(|until| now + HOLDER_MARGIN < until)
    }

    /// Returns a tag that no other write of this service has.
    pub fn next_tag(&self) -> Tag {
        self.next_tag.set(self.next_tag.get() + 1);
        self.next_tag.get()
    }

    /// Returns a random duration from `base` to twice `base`, which spreads the retries of many sessions.
    pub fn jitter(&self, base: Duration) -> Duration {
        base.mul_f64(1.0 + self.random.borrow_mut().random::<f64>())
    }

    /// Returns the latest loads of all shards whose owner is this host or a peer that answers.
    pub fn loads(&self, now: Instant) -> BTreeMap<Shard, Load> {
        let answers = |peer: &&Peer| {
            let sent = peer.last_pong.as_ref().map(|(sent, _)| *sent);
            sent.is_some_and(|sent| now < sent + PEER_ANSWER_MAX_AGE)
        };
        let peers = self.peer_list.peers.iter().filter(answers).cloned().collect();
        admission::latest_loads(&PeerList { peers }, &self.own_loads)
    }

    /// Returns the host that owns a shard, if it is known.
    pub fn owner(&self, shard: &Shard) -> Option<HostId> {
        admission::known_owner(&self.peer_list, &self.own_loads, &self.settings.host, shard)
    }

    /// Chooses another home shard for work from `loads`.
    pub fn choose_target(
        &self,
        specification: &Specification,
        loads: &BTreeMap<Shard, Load>,
        requirement: Requirement,
    ) -> Option<Shard> {
        let random = &mut self.random.borrow_mut();
        let local = &self.settings.data_centre;
        admission::choose_other_home(
            specification,
            &self.snapshot,
            loads,
            requirement,
            local,
            random,
        )
    }

    /// Returns the availability of a data centre; `Active` if it is not configured.
    pub fn availability(&self, data_centre: &str) -> Availability {
        self.snapshot
            .data_centre(data_centre)
            .map_or(Availability::Active, |entry| entry.availability)
    }

    /// Returns whether `shard` is the only one anywhere, so that team caps need not be split.
    pub fn is_only_shard(&self, shard: &Shard) -> bool {
        let other = |name: &str| name != shard.data_centre;
        self.shard_count(&shard.data_centre) == 1
            && !self.snapshot.names(Kind::DataCentre).any(other)
            && !self.has_remote_hosts
    }

    /// Notes whether another data centre has entry hosts. Returns whether that changed, since it affects
    /// [`Environment::is_only_shard`].
    pub fn set_peer_list(&mut self, peer_list: &PeerList) -> bool {
        let own = &self.settings.data_centre;
        let remote = peer_list.peers.iter().any(|peer| peer.data_centre != *own);
        std::mem::replace(&mut self.has_remote_hosts, remote) != remote
    }

    /// Returns the listed workers of a shard; `None` before the list is loaded.
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

/// Returns the index of the shard that owns the workers of a rack. All hosts and releases must compute the same hash.
pub fn shard_index(rack: &str, count: u32) -> u32 {
    let digest = Sha256::digest(rack.as_bytes());
    let hash = digest.iter().take(4).fold(0, |hash: u32, byte| (hash << 8) | u32::from(*byte));
    hash % count.max(1)
}
