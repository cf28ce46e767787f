//! Guards the handover of shards at planned stops and to preferred hosts.

#[path = "support/ownership_cluster.rs"]
mod ownership_cluster;

use std::collections::BTreeMap;
use std::rc::Rc;

use ownership_cluster::{Loss, OwnershipCluster};
use shallotpost_control::configuration::Snapshot;
use shallotpost_control::ownership::{
    HANDOVER_INTERVAL, HANDOVER_MIN_LIVE_TIME, HANDOVER_RETRY_DELAY, rank,
};
use shallotpost_control::prelude::*;
use shallotpost_control::settings::Fencing;
use shallotpost_protocol::resource::{Availability, DataCentre, Entry, Kind, Resource};

const SECOND: Duration = Duration::from_secs(1);

fn shard(index: u32) -> Shard {
    Shard { data_centre: "north".to_owned(), index }
}

fn stop(cluster: &mut OwnershipCluster, node: usize) {
    cluster.nodes[node].draining = true;
    cluster.deliver(node, ServiceName::Ownership, Message::Stop);
}

/// Times at which the node sent a message of this kind to the scheduler or the router.
fn times(cluster: &OwnershipCluster, node: usize, kind: impl Fn(&Message) -> bool) -> Vec<Instant> {
    let sent = cluster.nodes[node].sent.iter().filter(|(_, message)| kind(message));
    sent.map(|(moment, _)| *moment).collect()
}

/// Guards against a stop that keeps a shard, ends before the release is durable, or loses the release with an answer.
#[test]
fn planned_stop_releases_every_shard() {
    // Hosts, whether the scheduler answers, fault of the release, bound of the drain, bound until the next owner acts.
    let cases = [
        ("hand-over", 2, true, None, 200, Some(1300)),
        ("last host", 1, true, None, 200, None),
        ("silent scheduler", 2, false, None, 5200, Some(6300)),
        ("answer lost after", 2, true, Some(Loss::After), 400, Some(1500)),
        ("answer lost before", 2, true, Some(Loss::Before), 400, Some(1500)),
    ];
    for (name, hosts, releases, loss, drain_ms, next_ms) in cases {
        let mut cluster = OwnershipCluster::new(&["a", "b"][..hosts], Fencing::Epoch);
        cluster.run(SECOND * 20);
        let owner = cluster.owner(0).expect("an owner");
        let epoch = cluster.row(0).expect("a row").epoch;
        cluster.nodes[owner].releases = releases;
        cluster.nodes[owner].loss = loss;
        stop(&mut cluster, owner);
        let drained = |cluster: &OwnershipCluster| {
            let done =
                |message: &Message| matches!(message, Message::Drained(ServiceName::Ownership));
            times(cluster, owner, done).len() == 1
        };
        let took = cluster.run_until(SECOND * 30, drained);
        assert!(took <= Duration::from_millis(drain_ms), "{name}: drained after {took:?}");
        let row = cluster.row(0).expect("a row");
        assert!(row.released && row.epoch == epoch, "{name}: {row:?}");
        assert!(cluster.nodes[owner].held_shards.is_empty(), "{name}");
        match next_ms {
            Some(bound) => {
                let next = cluster.run_until(SECOND * 30, |cluster| cluster.owner(0).is_some());
                assert!(took + next <= Duration::from_millis(bound), "{name}: {:?}", took + next);
                cluster.run(SECOND * 20);
                assert_eq!(cluster.row(0).map(|row| row.epoch), Some(epoch + 1), "{name}");
            }
            None => cluster.run(SECOND * 20),
        }
        assert!(
            cluster.nodes[owner].held_shards.is_empty() && drained(&cluster),
            "{name}: claimed while draining"
        );
    }
}

/// Guards against a stopping host that floods its full commit queue, or gives up.
#[test]
fn refused_release_is_retried_at_the_read_interval() {
    let mut cluster = OwnershipCluster::new(&["a"], Fencing::Epoch);
    cluster.run(SECOND * 5);
    cluster.nodes[0].overloaded = true;
    stop(&mut cluster, 0);
    cluster.run(SECOND * 5);
    assert!((4..=6).contains(&cluster.refused), "{} releases", cluster.refused);
    assert_eq!(times(&cluster, 0, |message| matches!(message, Message::Drained(_))), []);
    cluster.nodes[0].overloaded = false;
    cluster.run(SECOND * 2);
    assert!(cluster.row(0).is_some_and(|row| row.released));
    assert_eq!(times(&cluster, 0, |message| matches!(message, Message::Drained(_))).len(), 1);
}

/// Guards against a claim that takes effect during a stop leaving its shard without an owner.
#[test]
fn claim_in_flight_at_a_stop_is_released() {
    for loss in [None, Some(Loss::After)] {
        let mut cluster = OwnershipCluster::new(&["a"], Fencing::Epoch);
        cluster.nodes[0].loss = loss;
        cluster.run_until(SECOND * 5, |cluster| cluster.row(0).is_some());
        assert!(cluster.nodes[0].held_shards.is_empty(), "the claim is still in flight");
        stop(&mut cluster, 0);
        cluster.run(SECOND * 2);
        assert!(cluster.row(0).is_some_and(|row| row.released), "{loss:?}");
        assert_eq!(
            times(&cluster, 0, |message| matches!(message, Message::ShardAcquired { .. })),
            []
        );
        assert_eq!(times(&cluster, 0, |message| matches!(message, Message::Drained(_))).len(), 1);
    }
}

/// Guards against a joining host that gets no shards, gets them too early or all at once, and against shards that move
/// without need.
#[test]
fn shards_move_one_by_one_to_a_preferred_host() {
    let number = 6;
    let preferred = |index: u32| rank(&shard(index), ["a", "b"].into_iter())[0] == "b";
    let moving: Vec<u32> = (0..number).filter(|index| preferred(*index)).collect();
    assert!(moving.len() >= 2, "too few shards prefer the joining host");
    let mut cluster = OwnershipCluster::new(&["a"], Fencing::Epoch);
    let content = DataCentre { availability: Availability::Active, shards: number };
    let resource = Resource::DataCentre(content);
    let entry = Entry { name: "north".to_owned(), revision: 1, resource };
    let entries = BTreeMap::from([((Kind::DataCentre, "north".to_owned()), entry)]);
    let snapshot = Rc::new(Snapshot { revision: 1, entries });
    cluster.deliver(0, ServiceName::Ownership, Message::Snapshot(Rc::clone(&snapshot)));
    cluster.run(SECOND * 5);
    assert_eq!(cluster.nodes[0].held_shards.len(), number as usize);
    let joined = cluster.now;
    // The joining host must not claim before it has read the rows.
    cluster.shard_read_delay = Duration::from_millis(900);
    cluster.join("b", 1);
    cluster.deliver(1, ServiceName::Ownership, Message::Snapshot(snapshot));
    cluster.run(SECOND * 5);
    assert_eq!(cluster.conflicts, 0);
    cluster.run(HANDOVER_MIN_LIVE_TIME + HANDOVER_INTERVAL * (number + 1));
    let held: Vec<u32> = cluster.nodes[1].held_shards.keys().copied().collect();
    assert_eq!(held, moving);
    assert_eq!(cluster.nodes[0].held_shards.len(), number as usize - moving.len());
    let releases = times(&cluster, 0, |message| matches!(message, Message::ReleaseShard { .. }));
    assert_eq!(releases.len(), moving.len(), "a shard moved more than once");
    assert!(releases[0] >= joined + HANDOVER_MIN_LIVE_TIME);
    assert!(releases.windows(2).all(|pair| pair[1] - pair[0] >= HANDOVER_INTERVAL));
}

/// Guards against repeated releases of a shard for a preferred host that cannot claim it.
#[test]
fn failed_handover_is_not_retried_soon() {
    let order = rank(&shard(0), ["a", "b"].into_iter());
    let mut cluster = OwnershipCluster::new(&order[1..], Fencing::Epoch);
    cluster.run(SECOND * 5);
    cluster.join(order[0], 1);
    cluster.nodes[1].overloaded = true;
    cluster.run(HANDOVER_RETRY_DELAY);
    let released = |message: &Message| matches!(message, Message::ReleaseShard { .. });
    assert_eq!(times(&cluster, 0, released).len(), 1);
    assert_eq!(cluster.nodes[0].held_shards, BTreeMap::from([(0, 2)]));
    cluster.nodes[1].overloaded = false;
    cluster.run(HANDOVER_RETRY_DELAY);
    assert_eq!(cluster.nodes[1].held_shards, BTreeMap::from([(0, 3)]));
}

/// Guards against a handover that leaves the shard without an owner when the table becomes unreachable in between.
#[test]
fn interrupted_handover_keeps_the_shard() {
    let hosts = ["a", "b"];
    let order = rank(&shard(0), hosts.into_iter());
    let mut cluster = OwnershipCluster::new(&order[1..], Fencing::Epoch);
    cluster.run(SECOND * 5);
    cluster.join(order[0], 1);
    let begun = |cluster: &OwnershipCluster| {
        cluster.nodes[0]
            .sent
            .iter()
            .any(|(_, message)| matches!(message, Message::ReleaseShard { .. }))
    };
    cluster.run_until(SECOND * 30, begun);
    cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = true);
    cluster.run(SECOND * 10);
    assert_eq!(cluster.nodes[0].held_shards, BTreeMap::from([(0, 1)]));
    cluster.nodes.iter_mut().for_each(|node| node.table_unreachable = false);
    cluster.run(SECOND * 15);
    assert_eq!(cluster.nodes[1].held_shards, BTreeMap::from([(0, 2)]));
}
