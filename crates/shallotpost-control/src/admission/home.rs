//! Choice of the home shard of work.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::StdRng;
use shallotpost_protocol::resource::{Availability, Kind};
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Specification};

use crate::configuration::Snapshot;
use crate::membership::PeerList;
use crate::prelude::*;

/// Added to the load of a shard in another data centre, as a fraction of its capacity, so that local shards are
/// preferred.
const REMOTE_PENALTY: f64 = 0.1;

/// Returns the load of every shard whose owner is known. If several hosts report a shard, the highest epoch wins.
pub fn latest_loads(peer_list: &PeerList, own: &[Load]) -> BTreeMap<Shard, Load> {
    let pongs = peer_list.peers.iter().filter_map(|peer| peer.last_pong.as_ref());
    let remote = pongs.flat_map(|(_, pong)| pong.shards.iter());
    let mut latest: BTreeMap<Shard, Load> = BTreeMap::new();
    for load in remote.chain(own) {
        match latest.get(&load.shard) {
            Some(known) if known.epoch > load.epoch => {}
            _ => {
                latest.insert(load.shard.clone(), load.clone());
            }
        }
    }
    latest
}

/// Returns the owner of a shard according to the reported loads; `None` if no host reports the shard.
pub fn known_owner(
    peer_list: &PeerList,
    own: &[Load],
    host: &HostId,
    shard: &Shard,
) -> Option<HostId> {
    let own = own.iter().map(|load| (host, load));
    let remote =
        peer_list.peers.iter().filter_map(|peer| Some((&peer.host, &peer.last_pong.as_ref()?.1)));
    let remote = remote.flat_map(|(host, pong)| pong.shards.iter().map(move |load| (host, load)));
    let owners = remote.chain(own).filter(|(_, load)| load.shard == *shard);
    owners.max_by_key(|(_, load)| load.epoch).map(|(host, _)| host.clone())
}

/// Chooses the home of new work: the less loaded of two random shards that can hold it.
///
/// Two choices keep shards balanced although each host decides independently and on loads that are up to a second old.
/// If no suitable load is known, chooses a random shard of the allowed active data centres.
///
/// # Errors
/// Returns `NeverRunnable` if loads are known and no shard of the allowed data centres could hold the work, and
/// `Unavailable` if every allowed data centre is drained.
pub fn choose_home(
    specification: &Specification,
    snapshot: &Snapshot,
    loads: &BTreeMap<Shard, Load>,
    local: &str,
    random: &mut StdRng,
) -> Result<Shard, Problem> {
    let allowed = |name: &str| {
        specification.data_centres.is_empty()
            || specification.data_centres.iter().any(|other| other == name)
    };
    let known: Vec<&Load> =
        loads.values().filter(|load| allowed(&load.shard.data_centre)).collect();
    let fitting: Vec<&Load> =
        known.iter().copied().filter(|load| fits_when_empty(load, specification)).collect();
    let loads_known = known.iter().any(|load| load.largest != Size::ZERO);
    if fitting.is_empty() && loads_known {
        return Err(never_runnable(specification, &known));
    }
    let is_active = |name: &str| match snapshot.data_centre(name) {
        Some(data_centre) => data_centre.availability == Availability::Active,
        None => true,
    };
    let candidates: Vec<&Load> =
        fitting.into_iter().filter(|load| is_active(&load.shard.data_centre)).collect();
    match less_loaded(&candidates, local, random) {
        Some(shard) => Ok(shard),
        None => random_shard(snapshot, |name| allowed(name) && is_active(name), random),
    }
}

/// What a shard needs in order to take over admitted work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The shard can hold the work when it is empty.
    EmptyCapacity,
    /// The shard has free capacity for the work, in addition to the work that waits there.
    FreeCapacity,
}

/// Maximum load of a shard after it takes over work for balance, as a fraction of its capacity. The rest is a reserve,
/// because loads are up to a second old.
const BALANCE_LOAD_MAX: f64 = 0.9;

/// Chooses another home for admitted work among the shards of `loads`; `None` if none of them can take it.
pub fn choose_other_home(
    specification: &Specification,
    snapshot: &Snapshot,
    loads: &BTreeMap<Shard, Load>,
    requirement: Requirement,
    local: &str,
    random: &mut StdRng,
) -> Option<Shard> {
    let total = specification.size.times(u64::from(specification.class.tasks()));
    let has_room = |load: &Load| {
        let load_after = load.booked.plus(&load.waiting).plus(&total);
        load_after.fits_in(&load.capacity)
            && load_after.dominant_share(&load.capacity) <= BALANCE_LOAD_MAX
    };
    let is_active = |name: &str| {
        snapshot.data_centre(name).is_none_or(|entry| entry.availability == Availability::Active)
    };
    let is_candidate = |load: &&Load| {
        can_hold(load, specification)
            && is_active(&load.shard.data_centre)
            && (requirement == Requirement::EmptyCapacity || has_room(load))
    };
    let candidates: Vec<&Load> = loads.values().filter(is_candidate).collect();
    less_loaded(&candidates, local, random)
}

/// Whether the shard's data centre is allowed for the work and its workers can hold the work when they are empty.
pub fn can_hold(load: &Load, specification: &Specification) -> bool {
    let allowed = &specification.data_centres;
    let name = &load.shard.data_centre;
    (allowed.is_empty() || allowed.contains(name)) && fits_when_empty(load, specification)
}

/// Picks two different candidates at random and returns the less loaded one.
fn less_loaded(candidates: &[&Load], local: &str, random: &mut StdRng) -> Option<Shard> {
    match candidates {
        [] => None,
        [only] => Some(only.shard.clone()),
        candidates => {
            let first = random.random_range(0..candidates.len());
            let second = (first + random.random_range(1..candidates.len())) % candidates.len();
            let pair = [candidates[first], candidates[second]];
            let better = match effective_load(pair[0], local) <= effective_load(pair[1], local) {
                true => pair[0],
                false => pair[1],
            };
            Some(better.shard.clone())
        }
    }
}

fn fits_when_empty(load: &Load, specification: &Specification) -> bool {
    let total = match specification.class {
        Class::Gang { parts } => specification.size.times(u64::from(parts)),
        _ => specification.size,
    };
    // The capacity excludes silent workers, which may return, so it is conclusive only if there are none.
    specification.size.fits_in(&load.largest)
        && (load.silent_workers > 0 || total.fits_in(&load.capacity))
}

/// Returns the booked and waiting size as a fraction of the capacity, plus a penalty for remote shards.
fn effective_load(load: &Load, local: &str) -> f64 {
    let penalty = if load.shard.data_centre == local { 0.0 } else { REMOTE_PENALTY };
    load.booked.plus(&load.waiting).dominant_share(&load.capacity) + penalty
}

fn never_runnable(specification: &Specification, known: &[&Load]) -> Problem {
    let nearest = known.iter().map(|load| load.largest).max_by_key(|size| {
        let need = specification.size.parts();
        let fitting = need.iter().zip(size.parts()).filter(|(need, have)| *need <= have).count();
        (fitting, size.parts())
    });
    let nearest = nearest.unwrap_or(Size::ZERO);
    let message = format!(
        "No shard can hold this work: a task needs {:?}, and the nearest worker holds {nearest:?} when empty.",
        specification.size
    );
    Problem::new(ProblemKind::NeverRunnable, message)
}

/// Chooses a random shard of the allowed data centres. Its owner may be unknown; the next owner finds the record.
fn random_shard(
    snapshot: &Snapshot,
    allowed: impl Fn(&str) -> bool,
    random: &mut StdRng,
) -> Result<Shard, Problem> {
    let names = snapshot.names(Kind::DataCentre).filter(|name| allowed(name));
    let shards: Vec<Shard> = names
        .flat_map(|name| {
            let count = snapshot.data_centre(name).map_or(1, |data_centre| data_centre.shards);
            (0..count).map(|index| Shard { data_centre: name.to_owned(), index })
        })
        .collect();
    match shards.as_slice() {
        [] => {
            let message = "No data centre that may run this work takes work now.";
            Err(Problem::new(ProblemKind::Unavailable, message))
        }
        shards => Ok(shards[random.random_range(0..shards.len())].clone()),
    }
}
