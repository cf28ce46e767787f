//! Guards membership: host rows, pings, the peer list and the worker list.

#[path = "support/membership_harness.rs"]
mod membership_harness;

use membership_harness::{MembershipHarness, host_row, pong, worker};
use shallotpost_control::membership::ROW_RETENTION;
use shallotpost_control::prelude::*;
use shallotpost_control::settings::Seed;
use shallotpost_protocol::host::row_key;
use shallotpost_protocol::table::SCAN_LIMIT_MAX;
use shallotpost_protocol::wire::Frame;

const SECOND: Duration = Duration::from_secs(1);

fn settings() -> Settings {
    let seed = |host: &str, data_centre: &str| Seed {
        host: host.to_owned(),
        data_centre: data_centre.to_owned(),
        peer_address: format!("{host}:1"),
    };
    Settings { seeds: vec![seed("b", "north"), seed("c", "south")], ..Settings::new("a", "north") }
}

/// Guards against late, duplicated or foreign answers renewing what is known of a peer.
#[test]
fn only_timely_matching_pongs_count() {
    // Name, sender, offset to the ping's number, delay of the answer, whether it counts.
    let cases = [
        ("timely", "b", 0, 100, true),
        ("just in time", "b", 0, 1990, true),
        ("late", "b", 0, 2000, false),
        ("other ping", "b", 1 << 20, 100, false),
        ("other peer", "c", 0, 100, false),
        ("stranger", "x", 0, 100, false),
    ];
    for (name, from, offset, delay, counts) in cases {
        let mut harness = MembershipHarness::new(settings());
        harness.tick();
        let sent = harness.now;
        let number = harness.pings("b").pop().expect("a ping");
        // No ticks: the answer is the first message after the host was paused.
        harness.now += Duration::from_millis(delay);
        harness.handle(Message::PeerFrame {
            from: from.to_owned(),
            frame: Frame::Pong(pong(number + offset, 7)),
        });
        harness.run(SECOND);
        let answered = harness.peer(from).and_then(|peer| peer.last_pong);
        assert_eq!(answered.map(|(moment, _)| moment), counts.then_some(sent), "{name}");
    }
}

/// Guards against an older or repeated answer replacing a newer one.
#[test]
fn older_and_repeated_pongs_are_dropped() {
    let mut harness = MembershipHarness::new(settings());
    harness.tick();
    harness.answer_ping("b", 7);
    harness.run(Duration::from_millis(500));
    let first = harness.pings("b").pop().expect("a ping");
    harness.run(Duration::from_millis(500));
    let (sent, second) = (harness.now, harness.pings("b").pop().expect("a ping"));
    assert!(second > first);
    for (number, revision) in [(second, 5), (first, 4), (second, 3)] {
        let mut answer = pong(number, 7);
        answer.revision = revision;
        harness.handle(Message::PeerFrame { from: "b".to_owned(), frame: Frame::Pong(answer) });
    }
    harness.run(SECOND);
    let (moment, answer) = harness.peer("b").and_then(|peer| peer.last_pong).expect("an answer");
    assert_eq!((moment, answer.revision), (sent, 5));
}

/// Guards against a wrong ping rate and against a silent peer stopping the pings.
#[test]
fn silent_peers_are_pinged_at_their_interval() {
    let mut harness = MembershipHarness::new(settings());
    harness.tick();
    harness.run(SECOND * 10);
    assert_eq!(harness.pings("b").len(), 21);
    assert_eq!(harness.pings("c").len(), 11);
    assert_eq!(harness.peer("b").map(|peer| peer.last_pong), Some(None));
}

/// Guards against state of an earlier incarnation surviving, whichever of row and pong shows the new one first, and
/// against a late read of the replaced incarnation's row bringing it back.
#[test]
fn new_incarnation_replaces_earlier_state() {
    for by_row in [true, false] {
        let mut harness = MembershipHarness::new(settings());
        harness.put(&host_row("b", "north", 7, 1, true));
        harness.run(SECOND);
        harness.answer_ping("b", 7);
        harness.run(SECOND);
        let known = harness.peer("b").expect("a peer");
        assert_eq!((known.incarnation, known.draining, known.applied_revision), (7, true, 1));
        assert!(known.last_pong.is_some());
        match by_row {
            true => {
                harness.put(&host_row("b", "north", 8, 1, false));
            }
            false => {
                harness.answer_ping("b", 8);
                harness.put(&host_row("b", "north", 7, 2, true));
            }
        }
        harness.run(SECOND * 3);
        let known = harness.peer("b").expect("a peer");
        assert_eq!((known.incarnation, known.draining), (8, false), "by row: {by_row}");
        assert_eq!(known.last_pong.is_some(), !by_row);
    }
}

/// Guards against scans that overload the table or come too rarely, also after it was down.
#[test]
fn scans_keep_their_intervals() {
    for down in [false, true] {
        let mut harness = MembershipHarness::new(settings());
        harness.table_down = down;
        harness.run(SECOND * 30);
        harness.table_down = false;
        let before = harness.table.reads;
        harness.run(SECOND * 120);
        let reads = harness.table.reads - before;
        // One a second, and one every 10 s to 12 s.
        assert!((129..=133).contains(&reads), "down: {down}, {reads} reads");
    }
}

/// Guards against a slow table getting more calls while one is open.
#[test]
fn open_scan_is_not_repeated() {
    let mut harness = MembershipHarness::new(settings());
    harness.hold_answers = true;
    harness.run(SECOND * 3);
    assert_eq!(harness.table.reads, 2);
}

/// Guards against rows beyond the limit of one page being taken for deleted.
#[test]
fn scan_reads_every_page() {
    let mut harness = MembershipHarness::new(settings());
    let hosts: Vec<String> = (0..SCAN_LIMIT_MAX + 1).map(|index| format!("h{index:04}")).collect();
    hosts.iter().for_each(|host| harness.put(&host_row(host, "south", 7, 1, false)));
    harness.run(SECOND);
    let unknown = hosts.iter().filter(|host| harness.peer(host).is_none()).count();
    assert_eq!(unknown, 0);
}

/// Guards against hosts of other data centres staying unknown and against a lost `SendFrame`.
#[test]
fn rows_make_peers_known() {
    let mut harness = MembershipHarness::new(settings());
    harness.put(&host_row("d", "south", 9, 1, false));
    harness.tick();
    harness.run(Duration::from_millis(200));
    assert_eq!(harness.peer("d").map(|peer| peer.incarnation), Some(9));
    assert!(harness.peer("d").is_some_and(|peer| peer.row_changed_at.is_some()));
    harness.handle(Message::SendFrame { to: "d".to_owned(), frame: Frame::AskChanges { from: 3 } });
    harness.handle(Message::SendFrame {
        to: "nobody".to_owned(),
        frame: Frame::AskChanges { from: 3 },
    });
    let sent: Vec<_> = harness
        .peer_frames()
        .into_iter()
        .filter(|(_, _, frame)| matches!(frame, Frame::AskChanges { .. }))
        .collect();
    assert_eq!(sent, [("d".to_owned(), "d:1".to_owned(), Frame::AskChanges { from: 3 })]);
}

/// Guards against rows of dead hosts staying forever, and against deleting rows of hosts that write or answer, or that
/// could not write because the table was down.
#[test]
fn only_rows_of_dead_hosts_are_deleted() {
    // Name, host, writes, answers, table down during most of the period, whether the row is deleted.
    let cases = [
        ("dead", "d", false, false, false, true),
        ("dead seed", "b", false, false, false, true),
        ("answering seed", "b", false, true, false, false),
        ("writing", "d", true, false, false, false),
        ("table down", "d", false, false, true, false),
    ];
    for (name, host, writes, answers, down, deleted) in cases {
        let mut harness = MembershipHarness::new(settings());
        harness.put(&host_row(host, "north", 7, 1, false));
        harness.tick();
        let mut sequence = 1;
        for second in 0..ROW_RETENTION.as_secs() + 20 {
            harness.table_down = down && (10..ROW_RETENTION.as_secs()).contains(&second);
            if writes {
                sequence += 1;
                harness.put(&host_row(host, "north", 7, sequence, false));
            }
            harness.run(SECOND);
            if answers {
                harness.answer_ping(host, 7);
            }
        }
        assert_eq!(harness.table.row(&row_key("north", host)).is_none(), deleted, "{name}");
        let forgotten = deleted && host != "b";
        assert_eq!(harness.peer(host).is_none(), forgotten, "{name}");
    }
}

/// Guards against a pong that reports stale or missing state, and a stop that peers learn late.
#[test]
fn pong_reports_freshness_and_draining() {
    let mut harness = MembershipHarness::new(settings());
    harness.handle(Message::ConfigurationStatus {
        revision: 4,
        confirmed: Some(harness.now),
        update_in_flight: true,
    });
    harness.run(SECOND);
    let ping = |number| Message::PeerFrame { from: "b".to_owned(), frame: Frame::Ping { number } };
    harness.handle(ping(11));
    harness.handle(Message::Stop);
    harness.handle(ping(12));
    let pongs: Vec<_> = harness
        .peer_frames()
        .into_iter()
        .filter_map(|(to, _, frame)| match frame {
            Frame::Pong(pong) => Some((to, pong)),
            _ => None,
        })
        .collect();
    let [(to, first), (_, second)] = pongs.as_slice() else { panic!("two pongs") };
    assert_eq!((to.as_str(), first.number, first.incarnation, first.revision), ("b", 11, 1, 4));
    assert_eq!(first.freshness_age, Some(SECOND));
    assert!(first.update_in_flight && !first.draining);
    assert!(second.number == 12 && second.draining);
}

/// Guards against a flood of `PeerList` messages, and against repeats without a change.
#[test]
fn peer_list_is_sent_on_change_and_at_most_every_100_ms() {
    let mut harness = MembershipHarness::new(settings());
    harness.tick();
    harness.run(SECOND);
    let before = harness.peer_lists.len();
    harness.run(SECOND * 5);
    assert_eq!(harness.peer_lists.len(), before, "nothing changed");
    for _ in 0..50 {
        harness.answer_ping("b", 7);
        harness.run(Duration::from_millis(500));
    }
    assert_eq!(harness.peer_lists.len(), before + 50);
    for sequence in 2..50 {
        harness.put(&host_row("d", "north", 7, sequence, false));
        harness.answer_ping("b", 7);
        harness.answer_ping("c", 7);
        harness.run(Duration::from_millis(100));
    }
    let gaps = harness.peer_lists.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.min() >= Some(Duration::from_millis(100)));
}

/// Guards against workers of other data centres, against an error emptying the list and against needless messages.
#[test]
fn worker_list_is_sent_on_change() {
    let mut harness = MembershipHarness::new(settings());
    let lists = [
        Ok(vec![worker("w2", "north"), worker("w1", "north"), worker("w3", "south")]),
        Ok(vec![worker("w1", "north"), worker("w2", "north")]),
        Err(Failure::Ambiguous),
        Ok(vec![worker("w1", "north")]),
        Ok(vec![worker("w1", "north"), worker("w2", "north")]),
    ];
    for list in lists {
        harness.listed_workers = list;
        harness.run(SECOND);
    }
    let names: Vec<Vec<&str>> = harness
        .worker_lists
        .iter()
        .map(|workers| workers.iter().map(|worker| worker.worker.as_str()).collect())
        .collect();
    assert_eq!(names, [vec!["w1", "w2"], vec!["w1"], vec!["w1", "w2"]]);
}
