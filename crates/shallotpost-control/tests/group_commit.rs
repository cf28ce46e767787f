//! Guards group commit under lost, late and conflicting answers of the table.

#[path = "support/config_cluster.rs"]
mod config_cluster;

use std::rc::Rc;

use config_cluster::{ConfigCluster, Fault, STEP, batch};
use shallotpost_control::commit::queue::{QUEUE_BYTES_MAX, TRANSACTION_ROWS_MAX};
use shallotpost_control::commit::{COMMIT_INTERVAL_MIN, commit_interval};
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::message::{Batch, WriteFailure};
use shallotpost_control::prelude::*;
use shallotpost_protocol::host::Host;
use shallotpost_protocol::table::{Check, Write};

const OWN_ROW: &str = "hosts/east/a";

type Outcome = Result<(), WriteFailure>;

fn ready() -> ConfigCluster {
    let mut cluster = ConfigCluster::new(1, false);
    cluster.run(Duration::from_millis(100));
    cluster
}

fn write(cluster: &mut ConfigCluster, batch: Batch) {
    cluster.deliver(0, ServiceName::Commit, Message::Write(batch));
}

/// Outcomes of a tag, which the service must report once.
fn outcomes(cluster: &ConfigCluster, tag: Tag) -> Vec<Outcome> {
    let written = cluster.nodes[0].sent.iter().filter_map(|(_, _, message)| match message {
        Message::WriteResult { tag: other, result } if *other == tag => Some(result.clone()),
        _ => None,
    });
    written.collect()
}

fn own_row(cluster: &ConfigCluster) -> Host {
    serde_json::from_str(&cluster.table.row(OWN_ROW).expect("own row").value).expect("host")
}

fn renewals(cluster: &ConfigCluster) -> Vec<Instant> {
    let sent = cluster.nodes[0].sent.iter().filter_map(|(_, to, message)| match message {
        Message::HeartbeatCommitted { sent } if *to == ServiceName::Ownership => Some(*sent),
        _ => None,
    });
    sent.collect()
}

/// Guards against writes that are lost, applied twice or reported wrongly when their transactions fail.
#[test]
fn each_fault_leaves_one_correct_outcome() {
    use Fault::*;
    let late = Late(Duration::from_millis(2500));
    let cases: &[(&str, &[Fault])] = &[
        ("no fault", &[]),
        ("answer lost after the effect", &[LostAfter]),
        ("answer lost before the effect", &[LostBefore]),
        ("both in turn", &[LostBefore, LostAfter]),
        ("not sent", &[NotSent, NotSent]),
        ("not sent, then lost", &[NotSent, LostAfter]),
        ("slow answer", &[Slow(Duration::from_millis(1900))]),
        ("copy takes effect while the next one is on its way", &[late, LostBefore]),
        ("copy arrives after the next one", &[late, LostAfter]),
        ("copy arrives as the next one leaves", &[Late(Duration::from_millis(2050)), LostBefore]),
    ];
    for (name, faults) in cases {
        let mut cluster = ready();
        cluster.nodes[0].faults.extend(faults.iter().map(|fault| ("work/", *fault)));
        write(&mut cluster, batch(1, "work/x", "v", None));
        cluster.run(Duration::from_secs(12));
        assert_eq!(outcomes(&cluster, 1), [Ok(())], "{name}");
        assert_eq!(cluster.table.row("work/x").expect("row").version, 1, "{name}: written once");
        write(&mut cluster, batch(2, "work/y", "v", Some(None)));
        cluster.run(Duration::from_secs(1));
        assert_eq!(outcomes(&cluster, 2), [Ok(())], "{name}: the queue goes on");
    }
}

/// A delayed copy must not take effect after its batch was reported as conflicting or expired.
#[test]
fn a_reported_failure_never_takes_effect_later() {
    use Fault::*;
    type Case<'a> = (&'a str, Option<u64>, &'a [Fault], &'a [Outcome]);
    let late = Late(Duration::from_millis(2500));
    let conflict = WriteFailure::Conflict(vec!["work/x".to_owned()]);
    let cases: &[Case] = &[
        ("conflict after an unknown outcome", None, &[late], &[Err(conflict)]),
        ("before it was sent", Some(20), &[], &[Err(WriteFailure::Expired)]),
        ("after a call that did not leave", Some(35), &[NotSent], &[Err(WriteFailure::Expired)]),
        ("with an unknown outcome", Some(1000), &[LostBefore], &[Err(WriteFailure::Unknown)]),
    ];
    for (name, expires_ms, faults, expected) in cases {
        let mut cluster = ready();
        write(&mut cluster, batch(9, "audit/x", "v", None));
        cluster.run_until(Duration::from_secs(1), |c| !outcomes(c, 9).is_empty());
        cluster.nodes[0].faults.extend(faults.iter().map(|fault| ("work/", *fault)));
        let expires = expires_ms.map(|ms| cluster.now + Duration::from_millis(ms));
        write(&mut cluster, Batch { expires, ..batch(1, "work/x", "v", Some(None)) });
        cluster.run(Duration::from_millis(1900));
        if expires.is_none() {
            // Another host takes the key while the transaction is on its way, and gives it back once the second copy
            // has been refused.
            cluster.overwrite([("work/x".to_owned(), Some("other".to_owned()))]);
            cluster.run_until(Duration::from_secs(2), |c| c.nodes[0].transactions.len() > 3);
            cluster.overwrite([("work/x".to_owned(), None)]);
        }
        cluster.run(Duration::from_secs(8));
        assert_eq!(outcomes(&cluster, 1), *expected, "{name}");
        assert_eq!(cluster.table.row("work/x"), None, "{name}");
    }
}

/// The conflict of one batch must neither fail nor delay the others of its transaction.
#[test]
fn a_conflict_fails_only_its_own_batch() {
    let mut cluster = ready();
    write(&mut cluster, batch(1, "work/x", "v", Some(Some(5))));
    write(&mut cluster, batch(2, "work/y", "v", Some(None)));
    write(&mut cluster, batch(3, "work/z", "v", None));
    cluster.run(COMMIT_INTERVAL_MIN * 4);
    let conflict = Err(WriteFailure::Conflict(vec!["work/x".to_owned()]));
    assert_eq!(outcomes(&cluster, 1), [conflict]);
    assert_eq!(outcomes(&cluster, 2), [Ok(())]);
    assert_eq!(outcomes(&cluster, 3), [Ok(())]);
}

/// Conflicts must not make the host commit more often than twice in each interval.
#[test]
fn conflicts_do_not_defeat_the_interval() {
    let mut cluster = ready();
    let before = cluster.nodes[0].transactions.len();
    for tag in 0..300 {
        write(&mut cluster, batch(2 * tag, "work/x", "v", Some(Some(5))));
        write(&mut cluster, batch(2 * tag + 1, &format!("work/{tag}"), "v", Some(None)));
        cluster.step();
    }
    let sent = cluster.nodes[0].transactions.len() - before;
    let intervals = (STEP * 300).div_duration_f32(COMMIT_INTERVAL_MIN) as usize;
    assert!(sent <= 2 * intervals + 2, "{sent} transactions in {intervals} intervals");
}

/// Batches that depend on each other must not share a transaction; others do, up to the row limit.
#[test]
fn batches_share_a_transaction_only_where_they_are_independent() {
    let check = |tag, key: &str, version| Batch {
        checks: vec![Check { key: key.to_owned(), version }],
        ..batch(tag, &format!("work/t{tag}"), "v", None)
    };
    let pair = |n| {
        let second = Write { key: format!("work/second/{n}"), value: None };
        let mut pair = batch(n, &format!("work/{n}"), "v", None);
        pair.writes.push(second);
        pair
    };
    let many: Vec<Batch> = (0..300).map(pair).collect();
    // Two rows do not fit beside the own row and 498 others.
    let first = (TRANSACTION_ROWS_MAX - 1) / 2 * 2;
    let large = Batch {
        writes: (0..TRANSACTION_ROWS_MAX)
            .map(|n| Write { key: format!("work/{n}"), value: None })
            .collect(),
        ..batch(1, "work/x", "v", None)
    };
    let [x1, x2] = [1, 2].map(|tag| batch(tag, "work/x", "v", None));
    let cases: Vec<(&str, Vec<Batch>, Vec<usize>)> = vec![
        ("independent", vec![x1.clone(), batch(2, "work/y", "v", None)], vec![2]),
        ("same key", vec![x1.clone(), x2.clone()], vec![1, 1]),
        ("a later check", vec![x1.clone(), check(2, "work/x", Some(1))], vec![1, 1]),
        ("an earlier check", vec![check(1, "work/x", None), x2.clone()], vec![2]),
        ("different versions", vec![check(1, "k", None), check(2, "k", Some(1))], vec![1, 1]),
        (
            "order by key",
            vec![x1.clone(), check(2, "work/x", Some(1)), batch(3, "work/t2", "v", None)],
            vec![1, 1, 1],
        ),
        ("row limit", many, vec![first, 600 - first]),
        ("too large for any transaction", vec![large], vec![]),
    ];
    for (name, batches, expected) in cases {
        let mut cluster = ready();
        // The interval starts, so that the batches wait for the next transaction together.
        write(&mut cluster, batch(9999, "work/first", "v", None));
        batches.into_iter().for_each(|batch| write(&mut cluster, batch));
        cluster.run(COMMIT_INTERVAL_MIN * 6);
        let rows = cluster.nodes[0].transactions.iter().map(|(_, keys)| keys.len() - 1);
        let rows = rows.skip_while(|rows| *rows == 0).skip(1);
        let rows: Vec<usize> = rows.filter(|rows| *rows > 0).collect();
        assert_eq!(rows, expected, "{name}");
    }
}

/// The lease must start no later than the transaction that renewed it, and the heartbeat must not stop.
#[test]
fn renewals_carry_the_moment_of_sending() {
    let mut cluster = ready();
    cluster.nodes[0].faults.extend([("work/", Fault::LostBefore), ("work/", Fault::LostAfter)]);
    write(&mut cluster, batch(1, "work/x", "v", None));
    cluster.run(Duration::from_secs(8));
    let first = cluster.nodes[0].transactions.iter().find(|(_, keys)| keys.len() > 1);
    let first = first.expect("a transaction with the batch").0;
    // The outcome was found by reading, so either copy may be the one that took effect.
    assert!(renewals(&cluster).contains(&first));
    let heartbeats: Vec<Instant> =
        renewals(&cluster).into_iter().filter(|sent| *sent > first).collect();
    let late = |pair: &[Instant]| pair[1].duration_since(pair[0]) > Duration::from_secs(1);
    assert!(heartbeats.len() >= 2 && !heartbeats.windows(2).any(late), "{heartbeats:?}");
    assert!(own_row(&cluster).sequence > 4);
}

/// A delayed write of an older process must not stop this one; a newer process must.
#[test]
fn only_a_newer_incarnation_stops_the_service() {
    for (name, established) in [("older", false), ("newer", true)] {
        let mut cluster = ConfigCluster::new(1, false);
        let other = Host { incarnation: 55, sequence: 70, ..own_row(&ready()) };
        let row = [(OWN_ROW.to_owned(), serde_json::to_string(&other).ok())];
        cluster.overwrite(row.clone());
        match established {
            true => cluster.run(Duration::from_millis(500)),
            // The own row was read and the first transaction is not sent yet.
            false => cluster.step(),
        }
        cluster.overwrite(row);
        write(&mut cluster, batch(1, "work/x", "v", None));
        cluster.run(Duration::from_secs(3));
        let errors = cluster.nodes[0].logs.iter().filter(|log| log.level == Level::Error).count();
        let expected =
            if established { (Err(WriteFailure::Overloaded), 1, 55) } else { (Ok(()), 0, 100) };
        assert_eq!(outcomes(&cluster, 1), [expected.0], "{name}");
        assert_eq!(errors, expected.1, "{name}");
        assert_eq!(own_row(&cluster).incarnation, expected.2, "{name}");
    }
}

/// An outage of an hour must cost neither unbounded memory nor a flood of calls, and must end by itself.
#[test]
fn an_hour_long_outage_stays_bounded() {
    let mut cluster = ready();
    cluster.nodes[0].outage = Some(Fault::NotSent);
    let calls = |c: &ConfigCluster| c.nodes[0].transactions.len() + c.nodes[0].reads.len();
    let before = calls(&cluster);
    let value = "v".repeat(1 << 20);
    for tag in 0..9 {
        write(&mut cluster, batch(tag, &format!("work/{tag}"), &value, None));
    }
    let held = QUEUE_BYTES_MAX / (1 << 20) - 1;
    assert_eq!(outcomes(&cluster, held as Tag), [Err(WriteFailure::Overloaded)]);
    cluster.step = Duration::from_millis(100);
    cluster.run(Duration::from_secs(3600));
    assert!(calls(&cluster) - before < 3600 + 50, "{} calls", calls(&cluster) - before);
    let changes = |c: &ConfigCluster| {
        let changes = c.nodes[0].sent.iter().filter_map(|(_, to, message)| match message {
            Message::TableReachable(reachable) if *to == ServiceName::Router => Some(*reachable),
            _ => None,
        });
        changes.collect::<Vec<bool>>()
    };
    assert_eq!(changes(&cluster), [true, false]);
    cluster.nodes[0].outage = None;
    cluster.run(Duration::from_secs(4));
    assert_eq!(changes(&cluster), [true, false, true]);
    assert_eq!(outcomes(&cluster, 0), [Ok(())]);
    assert_eq!(outcomes(&cluster, held as Tag - 1), [Ok(())]);
}

/// More hosts must commit less often each, so that the table sees a bounded load.
#[test]
fn the_interval_follows_the_live_hosts() {
    let cases = [(1, 30), (9, 30), (72, 265), (135, 500), (400, 500)];
    for (hosts, expected_ms) in cases {
        assert_eq!(commit_interval(hosts), Duration::from_millis(expected_ms), "{hosts} hosts");
    }
    let mut cluster = ready();
    // Half of the peers have not been seen since before the start.
    let seen = |index: usize| index.is_multiple_of(2).then_some(cluster.now);
    let peer = |index| Peer { row_changed_at: seen(index), ..config_cluster::peer() };
    let peer_list = PeerList { peers: (0..142).map(peer).collect() };
    cluster.deliver(0, ServiceName::Commit, Message::PeerList(Rc::new(peer_list)));
    let sent = cluster.nodes[0].transactions.len();
    for tag in 0..265 {
        write(&mut cluster, batch(tag, &format!("work/{tag}"), "v", None));
        cluster.run(STEP);
    }
    // 72 live hosts: one transaction every 265 ms for 2.65 s, as a multiple of the step.
    let sent = cluster.nodes[0].transactions.len() - sent;
    assert!((9..=10).contains(&sent), "{sent} transactions");
}

/// A stopping host with a long queue must not wait for the interval.
#[test]
fn a_stop_does_not_wait_for_the_interval() {
    let mut cluster = ready();
    let peers =
        (0..200).map(|_| Peer { row_changed_at: Some(cluster.now), ..config_cluster::peer() });
    let peer_list = PeerList { peers: peers.collect() };
    cluster.deliver(0, ServiceName::Commit, Message::PeerList(Rc::new(peer_list)));
    let batches = TRANSACTION_ROWS_MAX as Tag * 20;
    for tag in 0..batches {
        write(&mut cluster, batch(tag, &format!("work/{tag}"), "v", None));
    }
    cluster.deliver(0, ServiceName::Commit, Message::Stop);
    cluster.run(Duration::from_secs(1));
    assert_eq!(outcomes(&cluster, batches - 1), [Ok(())]);
}

/// A stopping host must tell others at once and lose none of its queued writes.
#[test]
fn a_stop_flushes_the_queue() {
    let mut cluster = ready();
    let drained = |c: &ConfigCluster| {
        let drained = |(at, _, message): &(Instant, ServiceName, Message)| {
            matches!(message, Message::Drained(ServiceName::Commit)).then_some(*at)
        };
        c.nodes[0].sent.iter().find_map(drained)
    };
    cluster.nodes[0].faults.push_back(("work/", Fault::LostAfter));
    write(&mut cluster, batch(1, "work/x", "v", None));
    cluster.run(Duration::from_millis(50));
    cluster.deliver(0, ServiceName::Commit, Message::Stop);
    cluster.run(Duration::from_secs(1));
    assert_eq!(drained(&cluster), None, "an outcome is open");
    cluster.run_until(Duration::from_secs(3), |c| !outcomes(c, 1).is_empty());
    write(&mut cluster, batch(2, "work/y", "v", None));
    let last = cluster.now;
    cluster.run(Duration::from_millis(150));
    assert!(own_row(&cluster).draining);
    assert_eq!(drained(&cluster), None, "a service wrote a moment ago");
    cluster.run(Duration::from_secs(1));
    assert_eq!(outcomes(&cluster, 2), [Ok(())]);
    assert_eq!(drained(&cluster), Some(last + Duration::from_millis(200)));
}
