//! Hand-over of shards at planned stops and to preferred hosts.

#[path = "support/ownership_site.rs"]
mod ownership_site;

use std::collections::BTreeMap;
use std::rc::Rc;

use ownership_site::{Loss, Site};
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

fn stop(site: &mut Site, node: usize) {
    site.nodes[node].draining = true;
    site.deliver(node, ServiceName::Ownership, Message::Stop);
}

/// When the node sent a message of this kind to the scheduler or the router.
fn times(site: &Site, node: usize, kind: impl Fn(&Message) -> bool) -> Vec<Instant> {
    let sent = site.nodes[node].sent.iter().filter(|(_, message)| kind(message));
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
        let mut site = Site::new(&["a", "b"][..hosts], Fencing::Epoch);
        site.pass(SECOND * 20);
        let owner = site.owner(0).expect("an owner");
        let epoch = site.row(0).expect("a row").epoch;
        site.nodes[owner].releases = releases;
        site.nodes[owner].loss = loss;
        stop(&mut site, owner);
        let drained = |site: &Site| {
            let done =
                |message: &Message| matches!(message, Message::Drained(ServiceName::Ownership));
            times(site, owner, done).len() == 1
        };
        let took = site.pass_until(SECOND * 30, drained);
        assert!(took <= Duration::from_millis(drain_ms), "{name}: drained after {took:?}");
        let row = site.row(0).expect("a row");
        assert!(row.released && row.epoch == epoch, "{name}: {row:?}");
        assert!(site.nodes[owner].held.is_empty(), "{name}");
        match next_ms {
            Some(bound) => {
                let next = site.pass_until(SECOND * 30, |site| site.owner(0).is_some());
                assert!(took + next <= Duration::from_millis(bound), "{name}: {:?}", took + next);
                site.pass(SECOND * 20);
                assert_eq!(site.row(0).map(|row| row.epoch), Some(epoch + 1), "{name}");
            }
            None => site.pass(SECOND * 20),
        }
        assert!(
            site.nodes[owner].held.is_empty() && drained(&site),
            "{name}: claimed while draining"
        );
    }
}

/// Guards against a stopping host that floods its full commit queue, or gives up.
#[test]
fn refused_release_is_repeated_at_the_pace_of_reads() {
    let mut site = Site::new(&["a"], Fencing::Epoch);
    site.pass(SECOND * 5);
    site.nodes[0].overloaded = true;
    stop(&mut site, 0);
    site.pass(SECOND * 5);
    assert!((4..=6).contains(&site.refused), "{} releases", site.refused);
    assert_eq!(times(&site, 0, |message| matches!(message, Message::Drained(_))), []);
    site.nodes[0].overloaded = false;
    site.pass(SECOND * 2);
    assert!(site.row(0).is_some_and(|row| row.released));
    assert_eq!(times(&site, 0, |message| matches!(message, Message::Drained(_))).len(), 1);
}

/// Guards against a claim that takes effect during a stop leaving its shard without an owner.
#[test]
fn claim_in_flight_at_a_stop_is_released() {
    for loss in [None, Some(Loss::After)] {
        let mut site = Site::new(&["a"], Fencing::Epoch);
        site.nodes[0].loss = loss;
        site.pass_until(SECOND * 5, |site| site.row(0).is_some());
        assert!(site.nodes[0].held.is_empty(), "the claim is still in flight");
        stop(&mut site, 0);
        site.pass(SECOND * 2);
        assert!(site.row(0).is_some_and(|row| row.released), "{loss:?}");
        assert_eq!(times(&site, 0, |message| matches!(message, Message::ShardAcquired { .. })), []);
        assert_eq!(times(&site, 0, |message| matches!(message, Message::Drained(_))).len(), 1);
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
    let mut site = Site::new(&["a"], Fencing::Epoch);
    let content = DataCentre { availability: Availability::Active, shards: number };
    let resource = Resource::DataCentre(content);
    let entry = Entry { name: "north".to_owned(), revision: 1, resource };
    let entries = BTreeMap::from([((Kind::DataCentre, "north".to_owned()), entry)]);
    let snapshot = Rc::new(Snapshot { revision: 1, entries });
    site.deliver(0, ServiceName::Ownership, Message::Snapshot(Rc::clone(&snapshot)));
    site.pass(SECOND * 5);
    assert_eq!(site.nodes[0].held.len(), number as usize);
    let joined = site.now;
    // The joining host must not claim before it has read the rows.
    site.shard_read_delay = Duration::from_millis(900);
    site.join("b", 1);
    site.deliver(1, ServiceName::Ownership, Message::Snapshot(snapshot));
    site.pass(SECOND * 5);
    assert_eq!(site.conflicts, 0);
    site.pass(HANDOVER_MIN_LIVE_TIME + HANDOVER_INTERVAL * (number + 1));
    let held: Vec<u32> = site.nodes[1].held.keys().copied().collect();
    assert_eq!(held, moving);
    assert_eq!(site.nodes[0].held.len(), number as usize - moving.len());
    let releases = times(&site, 0, |message| matches!(message, Message::ReleaseShard { .. }));
    assert_eq!(releases.len(), moving.len(), "a shard moved more than once");
    assert!(releases[0] >= joined + HANDOVER_MIN_LIVE_TIME);
    assert!(releases.windows(2).all(|pair| pair[1] - pair[0] >= HANDOVER_INTERVAL));
}

/// Guards against a shard that is released again and again for a preferred host that cannot claim it.
#[test]
fn vain_hand_over_is_not_repeated_soon() {
    let order = rank(&shard(0), ["a", "b"].into_iter());
    let mut site = Site::new(&order[1..], Fencing::Epoch);
    site.pass(SECOND * 5);
    site.join(order[0], 1);
    site.nodes[1].overloaded = true;
    site.pass(HANDOVER_RETRY_DELAY);
    let released = |message: &Message| matches!(message, Message::ReleaseShard { .. });
    assert_eq!(times(&site, 0, released).len(), 1);
    assert_eq!(site.nodes[0].held, BTreeMap::from([(0, 2)]));
    site.nodes[1].overloaded = false;
    site.pass(HANDOVER_RETRY_DELAY);
    assert_eq!(site.nodes[1].held, BTreeMap::from([(0, 3)]));
}

/// Guards against a hand-over that leaves the shard without an owner when the table stops answering in between.
#[test]
fn interrupted_hand_over_keeps_the_shard() {
    let hosts = ["a", "b"];
    let order = rank(&shard(0), hosts.into_iter());
    let mut site = Site::new(&order[1..], Fencing::Epoch);
    site.pass(SECOND * 5);
    site.join(order[0], 1);
    let begun = |site: &Site| {
        site.nodes[0]
            .sent
            .iter()
            .any(|(_, message)| matches!(message, Message::ReleaseShard { .. }))
    };
    site.pass_until(SECOND * 30, begun);
    site.nodes.iter_mut().for_each(|node| node.cut = true);
    site.pass(SECOND * 10);
    assert_eq!(site.nodes[0].held, BTreeMap::from([(0, 1)]));
    site.nodes.iter_mut().for_each(|node| node.cut = false);
    site.pass(SECOND * 15);
    assert_eq!(site.nodes[1].held, BTreeMap::from([(0, 2)]));
}
