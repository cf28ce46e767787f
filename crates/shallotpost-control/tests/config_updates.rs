//! Guards configuration updates: conflicts, unknown outcomes, propagation, watches and the audit trail.

#[path = "support/config_cluster.rs"]
mod config_cluster;

use std::collections::BTreeMap;
use std::rc::Rc;

use config_cluster::{ConfigCluster, Fault, STEP, pong, put, team};
use shallotpost_control::configuration::audit::{LOG_ROWS_KEPT, REFUSED_BURST};
use shallotpost_control::configuration::cache::CHANGES_MAX;
use shallotpost_control::configuration::cap::{self, CapRow};
use shallotpost_control::configuration::update::{ATTEMPTS_MAX, UPDATE_TIMEOUT};
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request};
use shallotpost_protocol::resource::{
    Change, DataCentre, HEAD_KEY, Key, Kind, LOG_PREFIX, Policy, Propagation, Queue, Resource,
    Right, log_key,
};

fn ready(hosts: usize) -> ConfigCluster {
    let mut cluster = ConfigCluster::new(hosts, true);
    for node in 0..hosts {
        cluster.deliver(node, ServiceName::Configuration, Message::PeerList(Rc::default()));
    }
    cluster.run(Duration::from_millis(100));
    cluster
}

fn kind(result: &Result<Reply, Problem>) -> Result<Revision, ProblemKind> {
    match result {
        Ok(Reply::Changed { revision, .. }) => Ok(*revision),
        Ok(other) => panic!("unexpected reply {other:?}"),
        Err(problem) => Err(problem.kind),
    }
}

fn log(cluster: &ConfigCluster) -> Vec<Change> {
    let rows = cluster.table.rows(LOG_PREFIX);
    rows.iter().map(|row| serde_json::from_str(&row.value).expect("change")).collect()
}

/// Reported changes of the flag `update_in_flight`, without repeats.
fn in_flight(sent: &[(Instant, ServiceName, Message)]) -> Vec<bool> {
    let told = sent.iter().filter_map(|(_, _, message)| match message {
        Message::ConfigurationStatus { update_in_flight, .. } => Some(*update_in_flight),
        _ => None,
    });
    let mut told: Vec<bool> = told.collect();
    told.dedup();
    told
}

fn is_in_flight(cluster: &ConfigCluster, node: usize) -> bool {
    in_flight(&cluster.nodes[node].sent).pop().expect("freshness")
}

/// Guards against a lost answer that loses a change, applies it twice or gives the operator a wrong answer.
#[test]
fn each_fault_leaves_one_correct_answer() {
    use Fault::*;
    let late = Late(Duration::from_millis(2500));
    // Fault of all calls after the update was sent, and its duration in seconds.
    type Outage = Option<(Fault, u64)>;
    type Case<'a> = (&'a str, &'a [Fault], Outage, Result<Revision, ProblemKind>, usize);
    let cases: &[Case] = &[
        ("no fault", &[], None, Ok(1), 1),
        ("lost after the effect", &[LostAfter], None, Ok(1), 1),
        ("lost before the effect", &[LostBefore], None, Ok(1), 1),
        ("not sent", &[NotSent], None, Ok(1), 1),
        ("late copy", &[late, LostAfter], None, Ok(1), 1),
        ("table slow", &[Slow(Duration::from_millis(1900))], None, Ok(1), 1),
        ("table down from the start", &[], Some((NotSent, 15)), Err(ProblemKind::Unavailable), 0),
        ("table down afterwards", &[LostBefore], Some((NotSent, 15)), Err(ProblemKind::Unknown), 0),
        (
            "table down after effect",
            &[LostAfter],
            Some((NotSent, 15)),
            Err(ProblemKind::Unknown),
            1,
        ),
        ("table back in time, not written", &[LostBefore], Some((NotSent, 6)), Ok(1), 1),
        ("table back in time, written", &[LostAfter], Some((NotSent, 6)), Ok(1), 1),
    ];
    for (name, faults, outage, expected, changes) in cases {
        let mut cluster = ready(1);
        cluster.nodes[0].faults.extend(faults.iter().map(|fault| (HEAD_KEY, *fault)));
        cluster.ask(0, 1, put("ants", team(1, 9), Some(0)));
        if let Some((fault, seconds)) = outage {
            let refreshed = |c: &ConfigCluster| faults.is_empty() || c.nodes[0].faults.is_empty();
            cluster.run_until(Duration::from_secs(1), refreshed);
            cluster.nodes[0].outage = Some(*fault);
            cluster.run(Duration::from_secs(*seconds));
            assert_eq!(is_in_flight(&cluster, 0), !faults.is_empty(), "{name}");
            cluster.nodes[0].outage = None;
        }
        cluster.run(Duration::from_secs(12));
        let answers: Vec<_> = cluster.answers(0, 1).iter().map(kind).collect();
        assert_eq!(answers, [*expected], "{name}");
        assert!(!is_in_flight(&cluster, 0), "{name}: resolved once the table is back");
        assert_eq!(log(&cluster).len(), *changes, "{name}");
        let next = kind(&cluster.answer(0, 2, put("bees", team(1, 9), None)));
        assert_eq!(next, Ok(*changes as Revision + 1), "{name}");
    }
}

/// Peers must see an update in flight before it can take effect, or they would confirm the revision before it.
#[test]
fn an_update_is_announced_before_it_is_sent() {
    let mut cluster = ready(1);
    cluster.ask(0, 1, put("ants", team(1, 9), None));
    cluster.run_until(Duration::from_secs(1), |c| c.table.row(HEAD_KEY).is_some());
    let node = &cluster.nodes[0];
    let is_update = |(_, keys): &(Instant, Vec<String>)| keys.iter().any(|key| key == HEAD_KEY);
    let update = node.transactions.iter().position(is_update).expect("transaction");
    assert_eq!(in_flight(&node.sent[..node.sent_before[update]]).last(), Some(&true));
}

/// Peers must not confirm the revision before an update as long as a copy of it may be on its way.
#[test]
fn an_update_stays_in_flight_until_no_copy_can_take_effect() {
    let mut cluster = ready(1);
    cluster.nodes[0].faults.push_back((HEAD_KEY, Fault::Late(Duration::from_secs(13))));
    cluster.nodes[0].faults.extend([("hosts/", Fault::LostBefore); 9]);
    cluster.ask(0, 1, put("ants", team(1, 9), None));
    cluster.run_until(Duration::from_secs(30), |c| c.table.row(HEAD_KEY).is_some());
    assert_eq!(in_flight(&cluster.nodes[0].sent), [true, false, true]);
    cluster.run(Duration::from_secs(15));
    assert_eq!(in_flight(&cluster.nodes[0].sent), [true, false, true, false]);
    assert_eq!(kind(&cluster.answers(0, 1)[0]), Err(ProblemKind::Unknown));
    assert_eq!((log(&cluster).len(), cluster.revision(0)), (1, Some(1)));
}

/// Two operators at two hosts must not overwrite each other's change unseen.
#[test]
fn racing_operators_get_an_order() {
    let cases = [
        ("same resource, expected revision", "ants", Some(0), Err(ProblemKind::Conflict)),
        ("same resource, any revision", "ants", None, Ok(2)),
        ("different resources", "bees", Some(0), Ok(2)),
    ];
    for (name, second, expected, outcome) in cases {
        let mut cluster = ready(2);
        cluster.ask(0, 1, put("ants", team(1, 9), expected));
        cluster.ask(1, 2, put(second, team(2, 9), expected));
        cluster.run(Duration::from_secs(5));
        let answers =
            [(0, 1), (1, 2)].map(|(node, number)| kind(&cluster.answers(node, number)[0]));
        assert_eq!(answers, [Ok(1), outcome], "{name}");
        let revisions: Vec<Revision> = log(&cluster).iter().map(|change| change.revision).collect();
        assert_eq!(revisions, (1..=revisions.len() as u64).collect::<Vec<u64>>(), "{name}");
        assert_eq!([0, 1].map(|node| cluster.revision(node)), [Some(revisions.len() as u64); 2]);
        if let Err(problem) = &cluster.answers(1, 2)[0] {
            assert!(problem.message.contains("revision 1"), "{name}: {problem}");
        }
    }
}

/// An update with an unknown outcome must not take another host's change of the same revision for its own.
#[test]
fn an_unknown_outcome_is_told_from_a_change_of_another_host() {
    for (expected, outcome) in [(None, Ok(2)), (Some(0), Err(ProblemKind::Conflict))] {
        let mut cluster = ready(2);
        cluster.nodes[0].faults.push_back((HEAD_KEY, Fault::LostBefore));
        cluster.ask(0, 1, put("ants", team(1, 9), expected));
        cluster.run_until(Duration::from_secs(1), |c| c.nodes[0].faults.is_empty());
        cluster.nodes[0].outage = Some(Fault::NotSent);
        assert_eq!(kind(&cluster.answer(1, 2, put("ants", team(2, 9), None))), Ok(1));
        cluster.run(Duration::from_secs(6));
        cluster.nodes[0].outage = None;
        cluster.run(Duration::from_secs(9));
        assert_eq!(kind(&cluster.answers(0, 1)[0]), outcome);
        assert_eq!(log(&cluster).len(), 1 + usize::from(outcome.is_ok()));
    }
}

/// An update that loses against others each time must end.
#[test]
fn an_update_is_tried_a_bounded_number_of_times() {
    let mut cluster = ready(1);
    cluster.ask(0, 1, put("ants", team(1, 9), None));
    while cluster.answers(0, 1).is_empty() && cluster.now < cluster.start + UPDATE_TIMEOUT {
        // Another host writes the head between each read and the transaction that follows.
        cluster.overwrite([(HEAD_KEY.to_owned(), Some("0".to_owned()))]);
        cluster.step();
    }
    assert_eq!(kind(&cluster.answers(0, 1)[0]), Err(ProblemKind::Overloaded));
    let tries = cluster.nodes[0].transactions.iter();
    let tries = tries.filter(|(_, keys)| keys.iter().any(|key| key == HEAD_KEY)).count();
    assert_eq!(tries as u32, ATTEMPTS_MAX);
}

/// An invalid resource must be refused with a remedy, and recorded without its secret.
#[test]
fn invalid_changes_are_refused() {
    use ProblemKind::{Conflict, Malformed, NotFound};
    let digest = "ab".repeat(32);
    let key = |digest: &str, team: &str| {
        let right = Right::Team(team.to_owned());
        Resource::Key(Key { right, digest: digest.to_owned(), expires_unix_ms: None })
    };
    let queue = |team: &str| Resource::Queue(Queue { team: team.to_owned(), open: false });
    let data_centre = |shards| {
        let availability = shallotpost_protocol::resource::Availability::Active;
        Resource::DataCentre(DataCentre { availability, shards })
    };
    let policy = Policy { quarantine_failures: 0, ..Policy::default() };
    let delete = |kind, name: &str, revision| Request::Delete {
        kind,
        name: name.to_owned(),
        revision,
        dry_run: false,
    };
    let cases = [
        (put("a/b", team(1, 9), None), Malformed, "letters"),
        (put("bees", team(0, 9), None), Malformed, "share"),
        (put("k2", key("secret-value", "ants"), None), Malformed, "64"),
        (put("k2", key(&"AB".repeat(32), "ants"), None), Malformed, "lower-case"),
        (put("k2", key(&digest, "wasps"), None), Malformed, "Create the team"),
        (put("bootstrap", key(&digest, "ants"), None), Malformed, "another name"),
        (put("q", queue("wasps"), None), Malformed, "Create the team"),
        (put("east", data_centre(0), None), Malformed, "shards"),
        (put("other", Resource::Policy(Policy::default()), None), Malformed, "default"),
        (put("default", Resource::Policy(policy), None), Malformed, "at least 1"),
        (put("ants", team(1, 9), Some(0)), Conflict, "current revision"),
        (put("bees", team(1, 9), Some(7)), Conflict, "current revision"),
        (delete(Kind::Team, "wasps", None), NotFound, "list"),
        (delete(Kind::Key, "k1", Some(1)), Conflict, "current revision"),
        (delete(Kind::Team, "ants", None), Conflict, "keys and queues"),
    ];
    let mut cluster = ready(1);
    assert_eq!(kind(&cluster.answer(0, 100, put("ants", team(1, 9), None))), Ok(1));
    assert_eq!(kind(&cluster.answer(0, 101, put("k1", key(&digest, "ants"), None))), Ok(2));
    for (number, (request, expected, remedy)) in cases.iter().enumerate() {
        let answer = cluster.answer(0, number as u64, request.clone());
        let problem = answer.expect_err(&format!("{request:?}"));
        assert_eq!(problem.kind, *expected, "{request:?}");
        assert!(problem.remedy.contains(remedy), "{request:?}: {problem}");
    }
    cluster.run(Duration::from_secs(1));
    let refused = cluster.table.rows("audit/refused/a/");
    assert_eq!(refused.len(), cases.len());
    assert!(refused.iter().all(|row| !row.value.contains("secret-value")));
    assert_eq!(cluster.revision(0), Some(2));
}

/// A dry run must check everything and change nothing; a list must be complete over its pages.
#[test]
fn dry_runs_change_nothing_and_lists_are_complete() {
    let mut cluster = ready(1);
    for (number, name) in (0..).zip(["a1", "a2", "b1", "a3"]) {
        cluster.answer(0, number, put(name, team(1, 9), None)).expect("changed");
    }
    for (number, (name, share, expected)) in
        (10..).zip([("c", 1, Ok(4)), ("c", 0, Err(ProblemKind::Malformed))])
    {
        let (name, resource) = (name.to_owned(), team(share, 9));
        let request = Request::Put { name, resource, revision: None, dry_run: true };
        assert_eq!(kind(&cluster.answer(0, number, request)), expected);
    }
    assert_eq!((log(&cluster).len(), cluster.table.rows("audit/").len()), (4, 0));
    for (after, names, more) in [("", vec!["a1", "a2"], true), ("a2", vec!["a3"], false)] {
        let (prefix, after) = ("a".to_owned(), after.to_owned());
        let request = Request::Resources { kind: Kind::Team, prefix, after, limit: 2 };
        match cluster.answer(0, 20 + u64::from(more), request) {
            Ok(Reply::Entries { entries, revision: 4, more: found }) => {
                let found_names: Vec<&str> = entries.iter().map(|entry| &*entry.name).collect();
                assert_eq!((found_names, found), (names, more));
            }
            other => panic!("unexpected answer {other:?}"),
        }
    }
}

/// A stopping host must finish what it began and refuse the rest.
#[test]
fn a_stop_finishes_the_updates_that_began() {
    let mut cluster = ready(1);
    cluster.ask(0, 1, put("ants", team(1, 9), None));
    cluster.ask(0, 2, Request::Watch { from: 9, wait: Duration::from_secs(50) });
    cluster.deliver(0, ServiceName::Configuration, Message::Stop);
    cluster.ask(0, 3, put("bees", team(1, 9), None));
    let drained = |c: &ConfigCluster| {
        c.last(0, |message| {
            matches!(message, Message::Drained(ServiceName::Configuration)).then_some(())
        })
    };
    cluster.run(STEP);
    assert_eq!((cluster.answers(0, 1).len(), drained(&cluster)), (0, None));
    cluster.run(Duration::from_secs(1));
    assert_eq!(kind(&cluster.answers(0, 1)[0]), Ok(1));
    assert!(matches!(cluster.answers(0, 2)[..], [Ok(Reply::Changes { next: 9, .. })]));
    assert_eq!(kind(&cluster.answers(0, 3)[0]), Err(ProblemKind::Draining));
    assert_eq!(drained(&cluster), Some(()));
}

/// Guards against access without operator rights, except to the key's own team, and against refusals that flood the
/// table.
#[test]
fn only_operators_have_access() {
    let mut cluster = ready(1);
    cluster.answer(0, 0, put("ants", team(1, 9), None)).expect("changed");
    let get = |kind, name: &str| Request::Get { kind, name: name.to_owned() };
    let all =
        |kind| Request::Resources { kind, prefix: String::new(), after: String::new(), limit: 10 };
    let cases = [
        (get(Kind::Team, "ants"), true),
        (get(Kind::Team, "bees"), false),
        (get(Kind::Key, "ants"), false),
        (all(Kind::Key), false),
        (put("ants", team(9, 9), None), false),
        (Request::Watch { from: 0, wait: Duration::ZERO }, false),
        (Request::Propagation(1), false),
        (Request::Audit { from: 0, limit: 10 }, false),
    ];
    for (number, (request, allowed)) in (1..).zip(&cases) {
        cluster.ask_as(0, number, Right::Team("ants".to_owned()), request.clone());
        let answer = cluster.answers(0, number).remove(0);
        let is_forbidden =
            matches!(&answer, Err(problem) if problem.kind == ProblemKind::Forbidden);
        assert_eq!((answer.is_ok(), is_forbidden), (*allowed, !*allowed), "{request:?}");
    }
    for number in 100..200 {
        let right = Right::Team("ants".to_owned());
        cluster.ask_as(0, number, right, put("ants", team(9, 9), None));
    }
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.table.rows("audit/refused/").len(), REFUSED_BURST as usize);
}

fn peer(revision: Revision, sent: Option<Instant>, row_changed_at: Option<Instant>) -> Peer {
    let pong = pong(revision, Some(Duration::ZERO), false);
    Peer { last_pong: sent.map(|sent| (sent, pong)), row_changed_at, ..config_cluster::peer() }
}

fn propagation_of(cluster: &mut ConfigCluster, number: u64, revision: Revision) -> Propagation {
    match cluster.answer(0, number, Request::Propagation(revision)) {
        Ok(Reply::Propagation(force)) => force,
        other => panic!("unexpected answer {other:?}"),
    }
}

/// A restriction must read as pending as long as an isolated host may act on the configuration before it.
#[test]
fn a_change_is_pending_until_the_lease_of_a_silent_peer_lapsed() {
    // Seconds before the change at which the peer gave its last sign, and the time until the change is in force.
    // Whatever this host saw of the peer, another one may have confirmed its configuration until the change.
    for (silence_s, pending_ms) in [(0, 6620), (60, 6620)] {
        let mut cluster = ready(1);
        cluster.run(Duration::from_secs(silence_s + 1));
        let sign = cluster.now - Duration::from_secs(silence_s);
        let peer_list = PeerList { peers: vec![peer(0, Some(sign), Some(sign))] };
        cluster.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::new(peer_list)));
        let asked = cluster.now;
        let Ok(Reply::Changed { revision, propagation: first }) =
            cluster.answer(0, 1, put("ants", team(1, 9), None))
        else {
            panic!("not changed")
        };
        assert!(cluster.now - asked >= Duration::from_secs(2), "the answer waits");
        assert_eq!((first.in_force, first.waiting_for), (false, vec!["north".to_owned()]));
        cluster.run(asked + Duration::from_millis(pending_ms) - cluster.now);
        assert!(!propagation_of(&mut cluster, 2, revision).in_force, "{silence_s}");
        cluster.run(Duration::from_millis(100));
        assert!(propagation_of(&mut cluster, 3, revision).in_force, "{silence_s}");
    }
}

/// A change is in force as soon as each peer applies it, whether its answer or its row tells.
#[test]
fn a_change_is_in_force_once_each_peer_applies_it() {
    for by_row in [true, false] {
        let mut cluster = ready(1);
        cluster.ask(0, 1, put("ants", team(1, 9), None));
        let now = cluster.now;
        let behind = PeerList { peers: vec![peer(0, Some(now), Some(now))] };
        cluster.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::new(behind)));
        cluster.run(Duration::from_secs(1));
        assert_eq!(cluster.answers(0, 1), []);
        let current = Peer {
            applied_revision: by_row.into(),
            ..peer((!by_row).into(), Some(now), Some(now))
        };
        let peer_list = Message::PeerList(Rc::new(PeerList { peers: vec![current] }));
        cluster.deliver(0, ServiceName::Configuration, peer_list);
        cluster.run(Duration::from_millis(20));
        let propagation = Propagation { revision: 1, in_force: true, waiting_for: Vec::new() };
        assert_eq!(
            cluster.answers(0, 1),
            [Ok(Reply::Changed { revision: 1, propagation })],
            "{by_row}"
        );
    }
}

/// A lowered cap must read as pending while owners hold more than it allows, and must not drop their grants.
#[test]
fn a_lowered_cap_is_pending_until_grants_are_returned() {
    let mut cluster = ready(1);
    cluster.answer(0, 1, put("ants", team(1, 10), None)).expect("changed");
    let row = |c: &ConfigCluster| -> CapRow {
        let row = c.table.row(&cap::row_key("ants")).expect("row of the cap");
        serde_json::from_str(&row.value).expect("cap")
    };
    assert_eq!(row(&cluster).grants, BTreeMap::new());
    let grant = |cluster: &mut ConfigCluster, slots| {
        let shard = Shard { data_centre: "west".to_owned(), index: 0 };
        let grants = BTreeMap::from([(shard, Size { slots, ..Size::ZERO })]);
        let value = serde_json::to_string(&CapRow { grants, ..row(cluster) }).expect("JSON");
        cluster.overwrite([(cap::row_key("ants"), Some(value))]);
    };
    grant(&mut cluster, 8);
    let lowered = cluster.answer(0, 2, put("ants", team(1, 5), None));
    let waiting =
        Propagation { revision: 2, in_force: false, waiting_for: vec!["west".to_owned()] };
    assert_eq!(lowered, Ok(Reply::Changed { revision: 2, propagation: waiting.clone() }));
    assert_eq!((row(&cluster).cap.slots, row(&cluster).granted().slots), (5, 8));
    assert_eq!(propagation_of(&mut cluster, 3, 2), waiting);
    cluster.answer(0, 7, put("ants", team(1, 9), None)).expect("changed");
    assert!(propagation_of(&mut cluster, 8, 2).in_force, "a higher cap replaced it");
    cluster.answer(0, 9, put("ants", team(1, 5), None)).expect("changed");
    let delete = Request::Delete {
        kind: Kind::Team,
        name: "ants".to_owned(),
        revision: None,
        dry_run: false,
    };
    assert_eq!(kind(&cluster.answer(0, 4, delete.clone())), Err(ProblemKind::Conflict));
    grant(&mut cluster, 5);
    assert!(propagation_of(&mut cluster, 5, 4).in_force);
    grant(&mut cluster, 0);
    assert_eq!(kind(&cluster.answer(0, 6, delete)), Ok(5));
    assert_eq!(cluster.table.row(&cap::row_key("ants")), None);
    // A new row in place of one that cannot be read would forget its grants.
    cluster.overwrite([(cap::row_key("ants"), Some("?".to_owned()))]);
    let unreadable = cluster.answer(0, 10, put("ants", team(1, 5), None));
    assert_eq!(kind(&unreadable), Err(ProblemKind::Unavailable));
}

/// Grants that were read under an earlier cap must not put a lower one in force.
#[test]
fn grants_read_before_a_change_do_not_count_for_it() {
    let mut cluster = ready(1);
    cluster.answer(0, 1, put("ants", team(1, 10), None)).expect("changed");
    let cap_row = |cap, slots| {
        let shard = Shard { data_centre: "west".to_owned(), index: 0 };
        let grants = BTreeMap::from([(shard, Size { slots, ..Size::ZERO })]);
        let cap = Size { slots: cap, ..Size::from_parts([u64::MAX; 4]) };
        [(
            cap::row_key("ants"),
            serde_json::to_string(&CapRow { cap, grants, ..CapRow::default() }).ok(),
        )]
    };
    cluster.overwrite(cap_row(10, 8));
    cluster.ask(0, 2, put("ants", team(1, 5), None));
    cluster.run(Duration::from_millis(300));
    cluster.overwrite(cap_row(5, 4));
    cluster.nodes[0].slow_reads = Some(Duration::from_millis(1000));
    cluster.run(Duration::from_millis(500));
    cluster.nodes[0].slow_reads = None;
    cluster.ask(0, 3, put("ants", team(1, 3), None));
    cluster.run(Duration::from_secs(3));
    let in_force = |result: &Result<Reply, Problem>| match result {
        Ok(Reply::Changed { propagation, .. }) => propagation.in_force,
        other => panic!("unexpected answer {other:?}"),
    };
    let answers = [2, 3].map(|number| in_force(&cluster.answers(0, number)[0]));
    assert_eq!(answers, [true, false]);
}

/// Guards against a watch that misses or repeats changes, also across hosts and for changes no longer in memory.
#[test]
fn a_watch_has_neither_gap_nor_repeat() {
    let mut cluster = ready(1);
    let total = CHANGES_MAX as u64 + 50;
    for number in 1..=total {
        cluster.ask(0, number, put(&format!("t{}", number % 7), team(1, number), None));
        cluster.run_until(Duration::from_secs(5), |c| !c.answers(0, number).is_empty());
        cluster.nodes[0].sent.retain(|(_, _, message)| matches!(message, Message::Snapshot(_)));
    }
    // The second host starts later, so it has read the resources and keeps no change in memory.
    cluster.nodes.push(config_cluster::Node::new(&config_cluster::settings(1)));
    cluster.run(Duration::from_secs(1));
    let (mut from, mut seen, mut page) = (0, Vec::new(), 0);
    while from < total {
        let watch = Request::Watch { from, wait: Duration::from_secs(1) };
        page += 1;
        match cluster.answer(page as usize % 2, 10_000 + page, watch) {
            Ok(Reply::Changes { changes, next }) => {
                seen.extend(changes.iter().map(|change| change.revision));
                from = next;
            }
            other => panic!("unexpected answer {other:?}"),
        }
    }
    assert_eq!(seen, (1..=total).collect::<Vec<Revision>>());
    // The wait ends with the next change, at the other host too, or with its time.
    cluster.ask(1, 1, Request::Watch { from, wait: Duration::from_secs(30) });
    cluster.ask(1, 2, Request::Watch { from: from + 5, wait: Duration::from_secs(3) });
    cluster.ask(0, 3, put("last", team(1, 1), None));
    cluster.run(Duration::from_secs(2));
    assert!(matches!(&cluster.answers(1, 1)[..], [Ok(Reply::Changes { changes, next })]
            if changes.len() == 1 && *next == from + 1));
    cluster.run(Duration::from_secs(2));
    let empty = Reply::Changes { changes: Vec::new(), next: from + 5 };
    assert_eq!(cluster.answers(1, 2), [Ok(empty)], "a host that is behind does not go back");
    cluster.overwrite((1..=9).map(|revision| (log_key(revision), None)));
    let old = cluster.answer(0, 4, Request::Watch { from: 3, wait: Duration::ZERO });
    assert_eq!(old.expect_err("deleted").kind, ProblemKind::RevisionTooOld);
}

/// The audit trail must show accepted and refused changes, page by page and each once.
#[test]
fn the_audit_trail_holds_accepted_and_refused_changes() {
    let mut cluster = ready(2);
    for number in 0..6 {
        let share = u32::from(number % 2 == 0);
        cluster.ask(number as usize % 2, number, put("ants", team(share, 9), None));
        cluster.run(Duration::from_secs(2));
    }
    let (mut accepted, mut refused) = (Vec::new(), Vec::new());
    for (number, from, limit) in [(10, 0, 2), (11, 2, 10)] {
        match cluster.answer(0, number, Request::Audit { from, limit }) {
            Ok(Reply::Audit { changes, refused: page }) => {
                accepted.extend(changes.iter().map(|change| (change.revision, change.who.clone())));
                refused.extend(page);
            }
            other => panic!("unexpected answer {other:?}"),
        }
    }
    assert_eq!(accepted, (1..=3).map(|revision| (revision, "root".to_owned())).collect::<Vec<_>>());
    assert_eq!(refused.len(), 3, "{refused:?}");
    assert!(refused.iter().all(|refused| refused.host == "b" && refused.who == "root"));
}

/// Guards against a log that grows without bound, against several hosts trimming it, and against loss of its newest
/// rows.
#[test]
fn old_log_rows_are_deleted_by_the_first_host() {
    for (other, kept) in [("p", vec![4, 5, 6]), ("A", vec![1, 2, 3, 4, 5, 6])] {
        let mut cluster = ConfigCluster::new(1, true);
        let head = LOG_ROWS_KEPT + 3;
        let rows = (1..=6).map(|revision| (log_key(revision), Some("{}".to_owned())));
        cluster.overwrite(rows.chain([(HEAD_KEY.to_owned(), Some(head.to_string()))]));
        let peer = Peer { host: other.to_owned(), ..peer(0, None, Some(cluster.now)) };
        let peer_list = PeerList { peers: vec![peer] };
        cluster.deliver(0, ServiceName::Configuration, Message::PeerList(Rc::new(peer_list)));
        cluster.run(Duration::from_secs(5));
        let left = cluster.table.rows(LOG_PREFIX).into_iter().map(|row| row.key);
        let kept: Vec<String> = kept.into_iter().map(log_key).collect();
        assert_eq!(left.collect::<Vec<String>>(), kept, "beside {other}");
    }
}
