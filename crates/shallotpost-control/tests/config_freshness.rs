//! Guards how a host follows the configuration through the table and its peers, with late answers and outages.

#[path = "support/config_cluster.rs"]
mod config_cluster;

use std::rc::Rc;

use config_cluster::{ConfigCluster, Fault, STEP, pong, put, team};
use shallotpost_control::configuration::freshness::{confirmed_by_peers, pending_data_centres};
use shallotpost_control::configuration::poll::POLL_INTERVAL;
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::prelude::*;
use shallotpost_control::settings::lease_expiry_bound;
use shallotpost_protocol::resource::{Change, Entry, HEAD_KEY, Kind, log_key, row_key};
use shallotpost_protocol::wire::Frame;

/// A peer at the same revision without an update in flight.
const AGREES: Option<Answer> = Some((100, 5, None, false));

/// Last pong of a peer: milliseconds since its ping, revision, freshness age in milliseconds, update in flight.
type Answer = (u64, Revision, Option<u64>, bool);

fn peer(now: Instant, answer: Option<Answer>) -> Peer {
    let last_pong = answer.map(|(ago, revision, age, in_flight)| {
        let sent = now - Duration::from_millis(ago);
        (sent, pong(revision, age.map(Duration::from_millis), in_flight))
    });
    Peer { last_pong, ..config_cluster::peer() }
}

fn peer_list(now: Instant, answers: &[Option<Answer>]) -> PeerList {
    PeerList { peers: answers.iter().map(|answer| peer(now, *answer)).collect() }
}

fn fresh_until(cluster: &ConfigCluster, node: usize) -> Option<Instant> {
    cluster.last(node, |message| match message {
        Message::ConfigurationLease { until } => Some(*until),
        _ => None,
    })
}

/// Entry of a team and the rows that a change to it leaves.
fn rows(revision: Revision, name: &str) -> [(String, Option<String>); 3] {
    let resource = team(1, revision);
    let entry = Entry { name: name.to_owned(), revision, resource: resource.clone() };
    let value = |json: serde_json::Result<String>| json.ok();
    [
        (HEAD_KEY.to_owned(), Some(revision.to_string())),
        (row_key(Kind::Team, name), value(serde_json::to_string(&entry))),
        (log_key(revision), value(serde_json::to_string(&change(revision, name)))),
    ]
}

fn change(revision: Revision, name: &str) -> Change {
    Change {
        revision,
        who: "root".to_owned(),
        host: "z".to_owned(),
        at_unix_ms: revision,
        kind: Kind::Team,
        name: name.to_owned(),
        before: None,
        after: Some(team(1, revision)),
    }
}

/// Guards against claiming freshness for a later time than the answers of the peers confirm.
#[test]
fn peer_answers_confirm_no_later_time() {
    let now = Instant::now() + Duration::from_secs(3600);
    type Case<'a> = (&'a str, bool, &'a [Option<Answer>], Option<u64>);
    let cases: &[Case] = &[
        ("passed on", false, &[Some((100, 5, Some(300), true)), None], Some(400)),
        ("older and none", false, &[Some((100, 4, Some(0), false)), None], None),
        ("newer", false, &[Some((100, 6, Some(0), false))], None),
        ("all agree", false, &[AGREES, Some((200, 4, None, false))], Some(200)),
        ("one has an update in flight", false, &[AGREES, Some((200, 5, None, true))], None),
        ("one knows a newer revision", false, &[AGREES, Some((200, 6, None, false))], None),
        ("one does not answer", false, &[AGREES, None], None),
        ("this host has an update in flight", true, &[AGREES], None),
        ("no peer is known", false, &[], None),
        (
            "best of two",
            false,
            &[Some((99, 5, Some(9), true)), Some((50, 5, Some(20), true))],
            Some(70),
        ),
    ];
    for (name, in_flight, answers, expected) in cases {
        let moment = confirmed_by_peers(&peer_list(now, answers), 5, *in_flight);
        assert_eq!(moment.map(|moment| (now - moment).as_millis() as u64), *expected, "{name}");
    }
}

/// Guards against treating a peer as lapsed while another host may have confirmed its configuration after the commit.
#[test]
fn a_change_waits_for_a_peer_as_long_as_it_may_be_fresh() {
    let lease = Duration::from_secs(6);
    let now = Instant::now() + Duration::from_secs(3600);
    let long = lease_expiry_bound(lease).as_millis() as u64;
    let cases: &[(&str, u64, Option<Answer>, bool)] = &[
        ("never answered, just committed", 0, None, true),
        ("never answered, long committed", long, None, false),
        ("answered at the revision", 0, Some((0, 5, Some(0), false)), false),
        ("answered long ago, just committed", long - 1, Some((long * 9, 4, None, false)), true),
        ("answered long ago, long committed", long, Some((long * 9, 4, None, false)), false),
        ("answers, fresh by its own account", long, Some((0, 4, Some(10), false)), true),
        ("answers, stale by its own account", long, Some((0, 4, Some(6000), false)), false),
        ("stale by its own account, just committed", 10, Some((0, 4, None, false)), true),
    ];
    for (name, committed_ago, answer, waits) in cases {
        let committed = now - Duration::from_millis(*committed_ago);
        let waiting = pending_data_centres(&peer_list(now, &[*answer]), 5, committed, now, lease);
        assert_eq!(!waiting.is_empty(), *waits, "{name}");
    }
}

/// Guards against a mix of revisions when resources change during a paged read.
#[test]
fn the_first_load_is_consistent() {
    let mut cluster = ConfigCluster::new(1, true);
    (1..=1500).for_each(|revision| cluster.overwrite(rows(revision, &format!("t{revision:04}"))));
    // The head and the first page are read; the second page is on its way when a team of the first page changes.
    cluster.run(STEP * 3);
    cluster.overwrite(rows(1501, "t0001"));
    cluster.run(Duration::from_secs(1));
    let snapshot = cluster.last(0, |message| match message {
        Message::Snapshot(snapshot) => Some(Rc::clone(snapshot)),
        _ => None,
    });
    let snapshot = snapshot.expect("snapshot");
    let caps = ["t0001", "t1500"].map(|name| snapshot.team(name).map(|team| team.cap.slots));
    assert_eq!((snapshot.revision, snapshot.entries.len()), (1501, 1500));
    assert_eq!(caps, [Some(1501), Some(1500)]);
}

/// Guards against a lease that survives an hour without the table, and against stale state after the table is back.
#[test]
fn an_outage_ends_freshness_until_the_table_is_back() {
    let mut cluster = ConfigCluster::new(1, true);
    cluster.run(Duration::from_secs(2));
    cluster.nodes[0].outage = Some(Fault::NotSent);
    let reads = cluster.nodes[0].reads.len();
    let down = cluster.now;
    cluster.step = Duration::from_millis(100);
    cluster.run(Duration::from_secs(3600));
    assert!(fresh_until(&cluster, 0) <= Some(down + Duration::from_secs(6)));
    let reads = cluster.nodes[0].reads.len() - reads;
    assert!(reads <= 3600 * 2 + 100, "{reads} reads of both services");
    (1..=250).for_each(|revision| cluster.overwrite(rows(revision, &format!("t{revision}"))));
    cluster.nodes[0].outage = None;
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.revision(0), Some(250));
    assert!(fresh_until(&cluster, 0) > Some(cluster.now + Duration::from_secs(4)));
}

/// Guards against counting freshness from the answer: the head may change right after the table answered, so freshness
/// counts from the sending of the read.
#[test]
fn a_slow_read_confirms_the_moment_of_its_sending() {
    let mut cluster = ConfigCluster::new(1, true);
    cluster.run(Duration::from_millis(500));
    cluster.nodes[0].outage = Some(Fault::Slow(Duration::from_millis(1800)));
    cluster.run(Duration::from_millis(2600));
    let until = fresh_until(&cluster, 0).expect("fresh");
    let sent = until - Duration::from_secs(6);
    assert!(cluster.nodes[0].reads.contains(&sent));
    assert!(cluster.now - sent >= Duration::from_millis(1800), "{:?}", cluster.now - sent);
}

/// Guards against hosts that learn of a change later than the next poll, or not at once when a peer reports it.
#[test]
fn other_hosts_follow_the_table() {
    for (told, limit) in [(false, POLL_INTERVAL + STEP * 3), (true, Duration::from_millis(250))] {
        let mut cluster = ConfigCluster::new(2, true);
        cluster.run(Duration::from_millis(1100));
        cluster.ask(0, 1, put("ants", team(1, 9), None));
        cluster.run_until(Duration::from_secs(1), |c| c.revision(0) == Some(1));
        if told {
            let peer_list = peer_list(cluster.now, &[Some((0, 1, Some(0), false))]);
            cluster.deliver(1, ServiceName::Configuration, Message::PeerList(Rc::new(peer_list)));
        }
        cluster.run_until(limit, |c| c.revision(1) == Some(1));
        let applied: serde_json::Value = {
            cluster.run(Duration::from_secs(1));
            let row = cluster.table.row("hosts/west/b").expect("host row");
            serde_json::from_str(&row.value).expect("JSON")
        };
        assert_eq!(applied["applied"], 1);
    }
}

/// Guards against an applied revision that decreases or skips a change when answers are late or out of order.
#[test]
fn the_revision_never_goes_back_and_skips_nothing() {
    let mut cluster = ConfigCluster::new(1, true);
    cluster.overwrite(rows(1, "t1"));
    cluster.run(Duration::from_millis(900));
    // The next poll shows revision 1 and arrives after the following changes.
    cluster.nodes[0].outage = Some(Fault::Slow(Duration::from_millis(1500)));
    cluster.run(Duration::from_millis(200));
    cluster.nodes[0].outage = None;
    let changes = |range: std::ops::RangeInclusive<Revision>| {
        let changes = range.map(|revision| change(revision, &format!("t{revision}"))).collect();
        Message::PeerFrame { from: "p".to_owned(), frame: Frame::Changes { changes } }
    };
    let cases = [(2..=3, 3), (5..=6, 3), (1..=2, 3), (3..=4, 4), (4..=4, 4)];
    for (range, expected) in cases {
        cluster.deliver(0, ServiceName::Configuration, changes(range.clone()));
        assert_eq!(cluster.revision(0), Some(expected), "{range:?}");
    }
    let until = fresh_until(&cluster, 0);
    cluster.run(Duration::from_millis(1600));
    assert_eq!(cluster.revision(0), Some(4), "after the late poll");
    assert_eq!(fresh_until(&cluster, 0), until, "the table shows another revision");
    let errors = cluster.nodes[0].logs.iter().filter(|log| log.level == Level::Error).count();
    cluster.run(Duration::from_secs(5));
    let after = cluster.nodes[0].logs.iter().filter(|log| log.level == Level::Error).count();
    assert!(errors <= 1 && after == 1, "a later poll that shows less is reported once");
    assert_eq!(cluster.revision(0), Some(4));
    // Log rows that are gone are replaced by a full read.
    cluster.overwrite(rows(40, "t40"));
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.revision(0), Some(40));
    // A full read ends after peers supplied newer changes.
    cluster.overwrite(rows(45, "t45"));
    cluster.nodes[0].slow_reads = Some(Duration::from_millis(400));
    let reads = cluster.nodes[0].reads.len();
    cluster.run_until(Duration::from_secs(9), |c| c.nodes[0].reads.len() == reads + 4);
    cluster.deliver(0, ServiceName::Configuration, changes(41..=46));
    cluster.run(Duration::from_millis(800));
    assert_eq!(cluster.revision(0), Some(46));
}

/// Guards against waiting for a slow table when a peer already has a newer revision.
#[test]
fn a_slow_read_does_not_delay_a_change() {
    let mut cluster = ConfigCluster::new(1, true);
    cluster.run(Duration::from_millis(100));
    cluster.nodes[0].slow_reads = Some(Duration::from_millis(1900));
    cluster.run(Duration::from_millis(1000));
    for (wait_ms, expected) in [(0, 0), (600, 1)] {
        cluster.run(Duration::from_millis(wait_ms));
        let peer_list = peer_list(cluster.now, &[Some((0, 3, Some(0), false))]);
        cluster.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::new(peer_list)));
        let asked = cluster.nodes[0].sent.iter().filter(|(_, _, message)| {
            matches!(message, Message::SendFrame { frame: Frame::AskChanges { from: 0 }, .. })
        });
        assert_eq!(asked.count(), expected, "{wait_ms} ms after the read was sent");
    }
}

/// Guards against a host without the table falling behind: it asks a peer with a newer revision, which answers from
/// memory where it can.
#[test]
fn a_host_without_the_table_follows_its_peers() {
    let mut cluster = ConfigCluster::new(2, true);
    cluster.run(Duration::from_millis(100));
    cluster.nodes[1].outage = Some(Fault::LostBefore);
    cluster.run(Duration::from_secs(3));
    for number in 1..=3 {
        cluster.answer(0, number, put("ants", team(1, number), None)).expect("changed");
    }
    let seen = peer_list(cluster.now, &[Some((0, 3, Some(200), true))]);
    cluster.deliver(1, ServiceName::Configuration, Message::PeerList(Rc::new(seen.clone())));
    let frames = |c: &ConfigCluster, node: usize, host: &str| -> Vec<Frame> {
        let frames = c.nodes[node].sent.iter().filter_map(|(_, _, message)| match message {
            Message::SendFrame { to, frame } if to == host => Some(frame.clone()),
            _ => None,
        });
        frames.collect()
    };
    assert_eq!(frames(&cluster, 1, "p"), [Frame::AskChanges { from: 0 }]);
    let ask = |from| Message::PeerFrame { from: "b".to_owned(), frame: Frame::AskChanges { from } };
    // A host whose memory does not reach back far enough, or that has nothing newer, stays silent.
    cluster.deliver(1, ServiceName::Configuration, ask(0));
    cluster.deliver(0, ServiceName::Configuration, ask(3));
    cluster.deliver(0, ServiceName::Configuration, ask(1));
    let Some(Frame::Changes { changes }) = frames(&cluster, 0, "b").pop() else {
        panic!("no answer")
    };
    assert_eq!(changes.iter().map(|change| change.revision).collect::<Vec<_>>(), [2, 3]);
    assert_eq!((frames(&cluster, 0, "b").len(), frames(&cluster, 1, "b").len()), (1, 0));
    cluster.deliver(0, ServiceName::Configuration, ask(0));
    let frame = frames(&cluster, 0, "b").pop().expect("answer");
    let asked = cluster.now;
    cluster.deliver(
        1,
        ServiceName::Configuration,
        Message::PeerFrame { from: "a".to_owned(), frame },
    );
    assert_eq!(cluster.revision(1), Some(3));
    // The peer's freshness counts for the revision that this host now applies.
    let until = asked - Duration::from_millis(200) + Duration::from_secs(6);
    assert_eq!(fresh_until(&cluster, 1), Some(until));
    // A host that has not read the table since its start knows the changes, but must not act on them.
    let mut started = ConfigCluster::new(1, true);
    started.nodes[0].outage = Some(Fault::LostBefore);
    started.run(Duration::from_secs(1));
    let seen = peer_list(started.now, &[Some((100, 5, Some(0), false))]);
    started.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::new(seen)));
    let changes = (1..=5).map(|revision| change(revision, "t")).collect();
    let frame = Frame::Changes { changes };
    started.deliver(
        0,
        ServiceName::Configuration,
        Message::PeerFrame { from: "p".to_owned(), frame },
    );
    assert_eq!((started.revision(0), fresh_until(&started, 0)), (Some(5), None));
}
