//! Answers that arrive after the state which asked for them was dropped and opened again; the test answers the calls to the
//! store itself. Guards against answers that are taken for those to later calls.

use std::time::Duration;

use shallotpost_fleet::host::{Freshness, Host, Settings};
use shallotpost_fleet::message::{Heartbeat, Message};
use shallotpost_fleet::port::{
    CallId, Content, Input, Output, Row, RowVersion, StoreAnswer, StoreRequest, Table,
};
use shallotpost_fleet::scheduler::Bounds;

const TICK: Duration = Duration::from_millis(20);

/// A host whose calls to the store stay open until the test answers them.
struct TestHost {
    host: Host,
    now: Duration,
    open: Vec<(CallId, StoreRequest)>,
    events: Vec<&'static str>,
}

/// Calls to the store by what they are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    OwnerRow,
    /// The operator's rows.
    Operator,
    /// A claim or a commit.
    Renewal,
    /// A page of what a new owner loads.
    Page,
    Other,
}

fn kind(request: &StoreRequest) -> Kind {
    match request {
        StoreRequest::Read { table: Table::Ownership, from, .. } if from == "owner" => {
            Kind::OwnerRow
        }
        StoreRequest::Read { table: Table::Operator, .. } => Kind::Operator,
        StoreRequest::Read { table: Table::Jobs | Table::Progress | Table::Ownership, .. } => {
            Kind::Page
        }
        StoreRequest::Transact { conditions, .. } if !conditions.is_empty() => Kind::Renewal,
        _ => Kind::Other,
    }
}

impl TestHost {
    fn new(incarnation: u64) -> TestHost {
        let settings = Settings {
            host: "a".to_owned(),
            data_centre: "kochi".to_owned(),
            address: "a:1".to_owned(),
            processors_milli: 250,
            incarnation,
            bounds: Bounds {
                lease_max: Duration::from_secs(6),
                hold_max: Duration::from_secs(10),
                stop_timeout: Duration::from_millis(200),
                retention: Duration::from_secs(120),
            },
            freshness: Freshness::default(),
        };
        let host = Host::new(settings);
        TestHost { host, now: Duration::ZERO, open: Vec::new(), events: Vec::new() }
    }

    fn deliver(&mut self, input: Input) {
        for output in self.host.handle(self.now, 1_700_000_000_000, input) {
            match output {
                Output::Log(log) => self.events.push(log.event),
                Output::Store { call, request, .. } => self.open.push((call, request)),
                _ => {}
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.deliver(Input::Tick);
    }

    /// Takes the open calls of a kind.
    fn take(&mut self, taken: Kind) -> Vec<(CallId, StoreRequest)> {
        let (taken, open) = self.open.drain(..).partition(|(_, request)| kind(request) == taken);
        self.open = open;
        taken
    }

    fn answer(&mut self, calls: Vec<(CallId, StoreRequest)>, version: RowVersion, rows: &[Row]) {
        for (call, _) in calls {
            let answer = StoreAnswer { rows: rows.to_vec(), more: false, version };
            self.deliver(Input::Store { call, result: Ok(answer) });
        }
    }

    /// Answers the read of the operator's rows with a configuration, without which nothing counts as loaded.
    fn configure(&mut self) {
        let content = Content::Configuration(Box::default());
        let key = "config".to_owned();
        let reads = self.take(Kind::Operator);
        self.answer(reads, 1, &[Row { table: Table::Operator, key, version: 1, content }]);
        assert_eq!(self.count("configuration"), 1);
    }

    /// Lets the host find `row` as the ownership row, claim it and win. Returns the row that it wrote.
    fn win(&mut self, row: &[Row]) -> Row {
        let version = row.first().map_or(0, |row| row.version) + 1;
        loop {
            self.tick();
            let reads = self.take(Kind::OwnerRow);
            self.answer(reads, version, row);
            let claims = self.take(Kind::Renewal);
            let Some((_, StoreRequest::Transact { writes, .. })) = claims.first() else { continue };
            let (table, key, bytes) = writes[0].clone();
            self.answer(claims, version, &[]);
            assert_eq!(self.events.last(), Some(&"ownership_won"));
            return Row { table, key, version, content: Content::Bytes(bytes) };
        }
    }

    /// Lets the host hear of a later epoch.
    fn lose(&mut self) {
        let heartbeat = Heartbeat {
            address: "z:1".to_owned(),
            epoch: 9,
            // It cannot relay calls to the store.
            store_age: Duration::MAX,
            ..Heartbeat::default()
        };
        let message = Message::Heartbeat(heartbeat);
        self.deliver(Input::Peer { from: "z".to_owned(), message });
        assert!(self.events.contains(&"ownership_lost"));
    }

    fn count(&self, event: &str) -> usize {
        self.events.iter().filter(|logged| **logged == event).count()
    }
}

/// Pages that an earlier ownership had asked for counted as those of the next one, which finished loading with rows that
/// another owner may have changed in between.
#[test]
fn pages_of_an_earlier_ownership() {
    let mut host = TestHost::new(1);
    let row = host.win(&[]);
    host.configure();
    let late = host.take(Kind::Page);
    host.lose();
    host.win(&[row]);
    host.answer(late, 2, &[]);
    host.tick();
    assert_eq!(host.count("jobs_loaded"), 0, "the pages of this ownership are not read yet");
    let pages = host.take(Kind::Page);
    host.answer(pages, 3, &[]);
    assert_eq!(host.count("jobs_loaded"), 1);
}

/// The answer to a commit of an earlier ownership counted as that to the commit with the same number of the next one,
/// although nothing of it was stored.
#[test]
fn commit_of_an_earlier_ownership() {
    let mut host = TestHost::new(1);
    let row = host.win(&[]);
    let commit = |host: &mut TestHost| loop {
        host.tick();
        let commits = host.take(Kind::Renewal);
        if !commits.is_empty() {
            return commits;
        }
    };
    let late = commit(&mut host);
    host.lose();
    host.win(&[row]);
    commit(&mut host);
    host.answer(late, 7, &[]);
    for _ in 0..25 {
        host.tick();
    }
    assert!(host.take(Kind::Renewal).is_empty(), "another commit follows one that is not answered");
}

/// A peer relayed the result of a call that the former process of the host had made. The new process took it for the result
/// of its own call with the same number.
#[test]
fn calls_of_an_earlier_process() {
    let mut former = TestHost::new(1);
    former.tick();
    let mut host = TestHost::new(2);
    host.tick();
    let content = Content::Evacuation { data_centre: "kochi".to_owned() };
    let key = "evacuate/kochi".to_owned();
    let rows = vec![Row { table: Table::Operator, key, version: 1, content }];
    let answer = StoreAnswer { rows, more: false, version: 1 };
    for (call, _) in former.open {
        let message = Message::StoreResult { call, result: Ok(answer.clone()) };
        host.deliver(Input::Peer { from: "z".to_owned(), message });
    }
    assert_eq!(host.count("evacuation"), 0, "the answer to another process is applied");
}
