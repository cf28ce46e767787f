//! Choice of the home shard.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::StdRng;
use shallotpost_protocol::resource::{Availability, Kind};
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{Class, Specification};

use crate::configuration::Snapshot;
use crate::membership::PeerList;
use crate::prelude::*;

/// Load by which a shard of another data centre must be lower to be preferred, in parts of its capacity.
const REMOTE_PENALTY: f64 = 0.1;

/// The latest load of every shard whose owner is known; the highest epoch counts.
pub fn latest_loads(fleet: &PeerList, own: &[Load]) -> BTreeMap<Shard, Load> {
    let pongs = fleet.peers.iter().filter_map(|peer| peer.last_pong.as_ref());
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

/// The host that owns a shard, as far as this host knows.
pub fn known_owner(fleet: &PeerList, own: &[Load], host: &HostId, shard: &Shard) -> Option<HostId> {
    let own = own.iter().map(|load| (host, load));
    let remote =
        fleet.peers.iter().filter_map(|peer| Some((&peer.host, &peer.last_pong.as_ref()?.1)));
    let remote = remote.flat_map(|(host, pong)| pong.shards.iter().map(move |load| (host, load)));
    let owners = remote.chain(own).filter(|(_, load)| load.shard == *shard);
    owners.max_by_key(|(_, load)| load.epoch).map(|(host, _)| host.clone())
}

/// Chooses the less loaded of two different random shards that can hold the work.
///
/// Two choices keep shards balanced although every entry host decides alone and on loads that are up to a second old.
///
/// # Errors
/// `NeverRunnable` where loads are known and no worker of the allowed data centres could hold a task; `Unavailable` where
/// every allowed data centre is drained.
pub fn choose(
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
        known.iter().copied().filter(|load| holds(load, specification)).collect();
    let measured = known.iter().any(|load| load.largest != Size::ZERO);
    if fitting.is_empty() && measured {
        return Err(never_runnable(specification, &known));
    }
    let open = |name: &str| match snapshot.data_centre(name) {
        Some(data_centre) => data_centre.availability == Availability::Active,
        None => true,
    };
    let candidates: Vec<&Load> =
        fitting.into_iter().filter(|load| open(&load.shard.data_centre)).collect();
    match less_loaded(&candidates, local, random) {
        Some(shard) => Ok(shard),
        None => unowned(snapshot, |name| allowed(name) && open(name), random),
    }
}

/// What a shard must offer to take over work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// It could hold the work when empty.
    EmptyCapacity,
    /// It has room for the work now, beside what waits there.
    FreeCapacity,
}

/// Part of its capacity up to which a shard takes work over for balance; leaves room for loads that are a second old.
const ROOM_PART: f64 = 0.9;

/// Chooses another home for admitted work among the loads of other shards; `None` where none can take it.
pub fn choose_other_home(
    specification: &Specification,
    snapshot: &Snapshot,
    loads: &BTreeMap<Shard, Load>,
    need: Requirement,
    local: &str,
    random: &mut StdRng,
) -> Option<Shard> {
    let total = specification.size.times(u64::from(specification.class.tasks()));
    let has_room = |load: &Load| {
        let used = load.booked.plus(&load.waiting).plus(&total);
        used.fits_in(&load.capacity) && used.dominant_share(&load.capacity) <= ROOM_PART
    };
    let open = |name: &str| {
        snapshot.data_centre(name).is_none_or(|entry| entry.availability == Availability::Active)
    };
    let takes = |load: &&Load| {
        can_hold(load, specification)
            && open(&load.shard.data_centre)
            && (need == Requirement::EmptyCapacity || has_room(load))
    };
    let candidates: Vec<&Load> = loads.values().filter(takes).collect();
    less_loaded(&candidates, local, random)
}

/// Whether the work is allowed on the shard and fits its empty workers.
pub fn can_hold(load: &Load, specification: &Specification) -> bool {
    let allowed = &specification.data_centres;
    let name = &load.shard.data_centre;
    (allowed.is_empty() || allowed.contains(name)) && holds(load, specification)
}

/// The less loaded of two different random shards.
fn less_loaded(candidates: &[&Load], local: &str, random: &mut StdRng) -> Option<Shard> {
    match candidates {
        [] => None,
        [only] => Some(only.shard.clone()),
        candidates => {
            let first = random.random_range(0..candidates.len());
            let second = (first + random.random_range(1..candidates.len())) % candidates.len();
            let pair = [candidates[first], candidates[second]];
            let better = match pressure(pair[0], local) <= pressure(pair[1], local) {
                true => pair[0],
                false => pair[1],
            };
            Some(better.shard.clone())
        }
    }
}

fn holds(load: &Load, specification: &Specification) -> bool {
    let total = match specification.class {
        Class::Gang { parts } => specification.size.times(u64::from(parts)),
        _ => specification.size,
    };
    // The capacity leaves out silent workers, which may come back, so it proves nothing while there are any.
    specification.size.fits_in(&load.largest)
        && (load.silent_workers > 0 || total.fits_in(&load.capacity))
}

/// Booked and waiting size in parts of the capacity; remote shards count as more loaded.
fn pressure(load: &Load, local: &str) -> f64 {
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

/// A shard whose owner is not known yet; its next owner finds the record.
fn unowned(
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
