//! Overview of all hosts and shards, as known to this host.

use std::collections::BTreeMap;

use shallotpost_protocol::interface::{HostState, Overview, ShardState};
use shallotpost_protocol::resource::{Kind, Propagation};
use shallotpost_protocol::wire::Load;

use super::Router;
use crate::membership::Peer;
use crate::prelude::*;

/// Age of the last answered ping from which a peer counts as unreachable.
const UNREACHABLE_AGE: Duration = Duration::from_secs(3);

impl Router {
    /// Returns the state of all hosts and shards that are known to this host.
    pub(super) fn overview(&self, now: Instant) -> Overview {
        let own = HostState {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            reachable: true,
            draining: self.shutdown.is_some(),
            revision: self.snapshot.revision,
        };
        let peers = self.peer_list.peers.iter().map(|peer| host_state(peer, now));
        let mut hosts: Vec<HostState> = peers.chain([own]).collect();
        hosts.sort_by(|left, right| left.host.cmp(&right.host));
        Overview {
            pending: self.pending_propagations(&hosts),
            hosts,
            shards: self.shard_states(),
            revision: self.snapshot.revision,
            table_reachable: self.table_reachable,
        }
    }

    /// Returns the current revision if some host does not apply it yet.
    fn pending_propagations(&self, hosts: &[HostState]) -> Vec<Propagation> {
        let revision = self.snapshot.revision;
        let behind = hosts.iter().filter(|host| host.revision < revision);
        let mut waiting_for: Vec<String> = behind.map(|host| host.data_centre.clone()).collect();
        waiting_for.sort();
        waiting_for.dedup();
        match waiting_for.is_empty() {
            true => Vec::new(),
            false => vec![Propagation { revision, in_force: false, waiting_for }],
        }
    }

    /// Returns the shards of the configured data centres whose owner is not known.
    pub(super) fn unowned_shards(&self) -> Vec<Shard> {
        let unowned = self.shard_states().into_iter().filter(|state| state.owner.is_none());
        unowned.map(|state| state.shard).collect()
    }

    fn shard_states(&self) -> Vec<ShardState> {
        let mut states: BTreeMap<Shard, ShardState> = BTreeMap::new();
        for name in self.snapshot.names(Kind::DataCentre) {
            let count = self.snapshot.data_centre(name).map_or(1, |data_centre| data_centre.shards);
            for index in 0..count {
                let shard = Shard { data_centre: name.to_owned(), index };
                states.insert(shard.clone(), unowned_state(shard));
            }
        }
        let remote = self
            .peer_list
            .peers
            .iter()
            .filter_map(|peer| Some((&peer.host, &peer.last_pong.as_ref()?.1)));
        let remote =
            remote.flat_map(|(host, pong)| pong.shards.iter().map(move |load| (host, load)));
        let own = self.own_loads.iter().map(|load| (&self.settings.host, load));
        for (host, load) in remote.chain(own) {
            let known = states
                .entry(load.shard.clone())
                .or_insert_with(|| unowned_state(load.shard.clone()));
            if load.epoch >= known.epoch {
                *known = owned_state(host, load);
            }
        }
        states.into_values().collect()
    }
}

fn host_state(peer: &Peer, now: Instant) -> HostState {
    let last_pong = peer.last_pong.as_ref();
    HostState {
        host: peer.host.clone(),
        data_centre: peer.data_centre.clone(),
        reachable: last_pong
            .is_some_and(|(sent, _)| now.saturating_duration_since(*sent) < UNREACHABLE_AGE),
        draining: peer.draining,
        revision: last_pong.map_or(0, |(_, pong)| pong.revision).max(peer.applied_revision),
    }
}

fn unowned_state(shard: Shard) -> ShardState {
    ShardState {
        shard,
        owner: None,
        epoch: 0,
        waiting: 0,
        running: 0,
        workers: 0,
        silent_workers: 0,
    }
}

fn owned_state(host: &str, load: &Load) -> ShardState {
    ShardState {
        shard: load.shard.clone(),
        owner: Some(host.to_owned()),
        epoch: load.epoch,
        waiting: load.waiting_tasks,
        running: load.running_tasks,
        workers: load.workers,
        silent_workers: load.silent_workers,
    }
}
