//! Ownership claims whose answers, or the heartbeats of other hosts, arrive in an unfavourable order; the test answers the
//! calls to the store itself. Guards against an epoch that is started twice, and against leases that are not waited for.

use std::time::Duration;

use shallotpost_fleet::host::{Freshness, Host, Settings};
use shallotpost_fleet::message::{Heartbeat, Message};
use shallotpost_fleet::port::{
    CallId, Content, Input, Output, Row, StoreAnswer, StoreError, StoreRequest, Table,
};
use shallotpost_fleet::scheduler::Bounds;

const TICK: Duration = Duration::from_millis(20);

/// Incarnation of each host's process, and so of the owner `z`.
const OWNER: u64 = 1;

/// A host whose reads and transactions of the ownership table the test answers. Other calls, except feeds, are answered
/// at once.
struct TestHost {
    host: Host,
    now: Duration,
    row: Option<Row>,
    reads: Vec<CallId>,
    claims: Vec<(CallId, Vec<u8>)>,
    won: usize,
    /// Longest time for which leases of earlier owners may last, as logged with the last ownership that was won.
    uncertain: Duration,
    /// Whether the host has taken the previous owner for ended since it won.
    predecessor_ended: bool,
}

impl TestHost {
    fn new(name: &str, row: Option<Row>) -> TestHost {
        let settings = Settings {
            host: name.to_owned(),
            data_centre: "kochi".to_owned(),
            address: format!("{name}:1"),
            processors_milli: 250,
            incarnation: OWNER,
            bounds: Bounds {
                lease_max: Duration::from_secs(6),
                hold_max: Duration::from_secs(10),
                stop_timeout: Duration::from_millis(200),
                retention: Duration::from_secs(120),
            },
            freshness: Freshness::default(),
        };
        let host = Host::new(settings);
        TestHost {
            host,
            now: Duration::ZERO,
            row,
            reads: Vec::new(),
            claims: Vec::new(),
            won: 0,
            uncertain: Duration::ZERO,
            predecessor_ended: false,
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.deliver(Input::Tick);
    }

    fn deliver(&mut self, input: Input) {
        for output in self.host.handle(self.now, 1_700_000_000_000, input) {
            match output {
                Output::Log(log) if log.event == "ownership_won" => {
                    self.won += 1;
                    let field = log.fields.iter().find(|(name, _)| *name == "uncertain_ms");
                    let milliseconds = field.and_then(|(_, value)| value.parse().ok());
                    self.uncertain = Duration::from_millis(milliseconds.expect("a number"));
                }
                Output::Log(log) if log.event == "predecessor_ended" => {
                    self.predecessor_ended = true;
                }
                Output::Store { call, request, .. } => self.store(call, request),
                _ => {}
            }
        }
    }

    /// Delivers a heartbeat of a process of the host `z` that has seen this epoch.
    fn hear(&mut self, incarnation: u64, epoch: u64) {
        let heartbeat = Heartbeat {
            incarnation,
            address: "z:1".to_owned(),
            epoch,
            owner: incarnation == OWNER,
            store_age: Duration::MAX,
            ..Heartbeat::default()
        };
        let message = Message::Heartbeat(heartbeat);
        self.deliver(Input::Peer { from: "z".to_owned(), message });
    }

    fn store(&mut self, call: CallId, request: StoreRequest) {
        match request {
            StoreRequest::Read { table: Table::Ownership, .. } => self.reads.push(call),
            StoreRequest::Transact { mut writes, .. }
                if writes.iter().any(|(table, ..)| *table == Table::Ownership) =>
            {
                self.claims.push((call, writes.remove(0).2));
            }
            StoreRequest::Feed { .. } => {}
            StoreRequest::Read { .. } | StoreRequest::Transact { .. } => {
                let answer = StoreAnswer { rows: Vec::new(), more: false, version: 1 };
                self.deliver(Input::Store { call, result: Ok(answer) });
            }
        }
    }

    /// Answers all pending reads with the current row.
    fn answer_reads(&mut self) {
        for call in std::mem::take(&mut self.reads) {
            let rows = self.row.clone().into_iter().collect();
            let answer = StoreAnswer { rows, more: false, version: 1 };
            self.deliver(Input::Store { call, result: Ok(answer) });
        }
    }

    /// Makes a claim take effect without answering it.
    fn perform(&mut self, claim: &[u8]) {
        let version = self.row.as_ref().map_or(1, |row| row.version + 1);
        let content = Content::Bytes(claim.to_vec());
        self.row = Some(Row { table: Table::Ownership, key: "owner".to_owned(), version, content });
    }
}

/// Returns the row of another host that claimed the ownership and sends no heartbeats.
fn row_of_another() -> Row {
    let mut other = TestHost::new("z", None);
    while other.claims.is_empty() {
        other.tick();
        other.answer_reads();
    }
    let (_, bytes) = other.claims.remove(0);
    other.perform(&bytes);
    other.row.expect("there is a row")
}

/// A read that is in flight when a claim is sent is answered first, and the claim is refused. The next claim takes
/// effect, and a read returns its row before the claim is answered. Guards against an owner that starts the same epoch
/// twice, with run numbers and bookings reset.
#[test]
fn epoch_begins_once() {
    for lag in 0..11 {
        let mut test_host = TestHost::new("a", Some(row_of_another()));
        // Reads are answered some ticks late, so that one is in flight when the claim timeout ends.
        let mut waited = 0;
        while test_host.claims.is_empty() {
            test_host.tick();
            waited += usize::from(!test_host.reads.is_empty());
            if waited > lag && test_host.claims.is_empty() {
                test_host.answer_reads();
                waited = 0;
            }
        }
        let (refused, _) = test_host.claims.remove(0);
        test_host.answer_reads();
        test_host.tick();
        test_host.deliver(Input::Store { call: refused, result: Err(StoreError::NotExecuted) });
        for _ in 0..20 {
            test_host.tick();
            if !test_host.claims.is_empty() {
                break;
            }
            test_host.answer_reads();
        }
        let (taken, bytes) = test_host.claims.remove(0);
        test_host.perform(&bytes);
        test_host.answer_reads();
        test_host.tick();
        let answer = StoreAnswer { rows: Vec::new(), more: false, version: 2 };
        test_host.deliver(Input::Store { call: taken, result: Ok(answer) });
        assert_eq!(test_host.won, 1, "answers {lag} ticks late");
    }
}

/// Time from the previous owner's last commit to the end of its last lease.
const LEASES_END: Duration = Duration::from_millis(4000 + 6180);

/// Starts a host that sees the row of another owner, and returns it with the time at which it has seen the row.
fn observer() -> (TestHost, Duration) {
    let mut test_host = TestHost::new("a", Some(row_of_another()));
    test_host.tick();
    test_host.tick();
    test_host.answer_reads();
    let observed = test_host.now;
    (test_host, observed)
}

/// Answers reads until the host claims the ownership, and returns the claim.
fn next_claim(test_host: &mut TestHost) -> (CallId, Vec<u8>) {
    for _ in 0..400 {
        test_host.tick();
        if !test_host.claims.is_empty() {
            return test_host.claims.remove(0);
        }
        test_host.answer_reads();
    }
    panic!("the host does not claim the ownership");
}

fn accept(test_host: &mut TestHost, call: CallId) {
    let version = test_host.row.as_ref().map_or(0, |row| row.version);
    let answer = StoreAnswer { rows: Vec::new(), more: false, version };
    test_host.deliver(Input::Store { call, result: Ok(answer) });
}

fn assert_waits_for_leases(test_host: &TestHost, observed: Duration) {
    let until = test_host.now + test_host.uncertain;
    assert!(until + TICK * 2 >= observed + LEASES_END, "waits until {until:?} only");
}

/// A read that is in flight when a claim is sent returns the claimed row before the claim is answered. Guards against a host
/// that takes its own row for that of an ended owner, and waits too briefly for the leases of the owner before.
#[test]
fn read_before_answer() {
    let (mut test_host, observed) = observer();
    // Reads are answered late, so that one is in flight when the claim is sent.
    let mut waited = 0;
    while test_host.claims.is_empty() {
        test_host.tick();
        waited += usize::from(!test_host.reads.is_empty());
        if waited > 7 && test_host.claims.is_empty() {
            test_host.answer_reads();
            waited = 0;
        }
    }
    assert!(!test_host.reads.is_empty(), "a read is in flight");
    let (call, bytes) = test_host.claims.remove(0);
    test_host.perform(&bytes);
    test_host.answer_reads();
    test_host.tick();
    accept(&mut test_host, call);
    assert_waits_for_leases(&test_host, observed);
}

/// A claim without an answer takes effect after the read that followed it, and the host claims again over its own row. Guards
/// against a wait that ignores the owner before.
#[test]
fn late_claim() {
    let (mut test_host, observed) = observer();
    let (call, late) = next_claim(&mut test_host);
    test_host.deliver(Input::Store { call, result: Err(StoreError::Unanswered) });
    test_host.tick();
    test_host.tick();
    test_host.answer_reads();
    test_host.perform(&late);
    let (call, _) = next_claim(&mut test_host);
    let rows = test_host.row.clone().into_iter().collect();
    test_host.deliver(Input::Store { call, result: Err(StoreError::Conflict { rows }) });
    let (call, bytes) = next_claim(&mut test_host);
    test_host.perform(&bytes);
    accept(&mut test_host, call);
    assert_waits_for_leases(&test_host, observed);
}

/// A heartbeat that a former process of the owner's host had sent arrived after those of the owner, which was taken for
/// ended: it was replaced at once.
#[test]
fn late_heartbeat_of_former_process() {
    let (mut test_host, _) = observer();
    test_host.hear(OWNER, 1);
    test_host.hear(7, 0);
    for _ in 0..25 {
        test_host.tick();
        test_host.answer_reads();
    }
    assert!(test_host.claims.is_empty(), "it claims from a live owner");
}

/// Such a heartbeat before the claim shortened the wait for the leases of an owner that may still start tasks.
#[test]
fn former_process_before_the_claim() {
    let (mut test_host, _) = observer();
    // The owner has renewed the row for longer than a lease lasts.
    for _ in 0..600 {
        test_host.row.as_mut().expect("a row").version += 1;
        test_host.tick();
        test_host.answer_reads();
    }
    let observed = test_host.now;
    test_host.hear(OWNER, 1);
    test_host.hear(7, 0);
    let (call, bytes) = next_claim(&mut test_host);
    test_host.perform(&bytes);
    accept(&mut test_host, call);
    assert_waits_for_leases(&test_host, observed);
}

/// Such a heartbeat after the claim ended the wait for the leases of an owner that may still start tasks.
#[test]
fn former_process_after_the_claim() {
    let (mut test_host, _) = observer();
    let (call, bytes) = next_claim(&mut test_host);
    test_host.perform(&bytes);
    accept(&mut test_host, call);
    test_host.hear(7, 0);
    assert!(!test_host.predecessor_ended);
    // The next process of the owner's host has read the row of the owner or a later one.
    test_host.hear(8, 1);
    assert!(test_host.predecessor_ended);
}

/// An owner whose next process has read its row has ended. Guards against a successor that waits for its lease.
#[test]
fn next_process_of_the_owner() {
    let (mut test_host, _) = observer();
    test_host.hear(OWNER, 1);
    test_host.hear(8, 1);
    for _ in 0..10 {
        test_host.tick();
        test_host.answer_reads();
    }
    assert_eq!(test_host.claims.len(), 1);
}
