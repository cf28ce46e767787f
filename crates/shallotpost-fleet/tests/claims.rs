//! Claims of ownership whose answers come in an unlucky order, with a store that the test answers by hand.

use std::time::Duration;

use shallotpost_fleet::host::{Host, Settings};
use shallotpost_fleet::port::{
    CallId, Content, Input, Output, Row, StoreAnswer, StoreError, StoreRequest, Table,
};
use shallotpost_fleet::scheduler::Bounds;

const TICK: Duration = Duration::from_millis(20);

/// One host. Calls about other tables than that of the ownership are answered at once.
struct Scene {
    host: Host,
    now: Duration,
    row: Option<Row>,
    reads: Vec<CallId>,
    claims: Vec<(CallId, Vec<u8>)>,
    won: usize,
}

impl Scene {
    fn new(name: &str, row: Option<Row>) -> Scene {
        let settings = Settings {
            host: name.to_owned(),
            data_centre: "kochi".to_owned(),
            address: format!("{name}:1"),
            processors_milli: 250,
            incarnation: 1,
            bounds: Bounds {
                lease_max: Duration::from_secs(6),
                stop_timeout: Duration::from_millis(200),
                retention: Duration::from_secs(120),
            },
        };
        let host = Host::new(settings);
        Scene { host, now: Duration::ZERO, row, reads: Vec::new(), claims: Vec::new(), won: 0 }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.deliver(Input::Tick);
    }

    fn deliver(&mut self, input: Input) {
        for output in self.host.handle(self.now, 1_700_000_000_000, input) {
            match output {
                Output::Log(log) => self.won += usize::from(log.event == "ownership_won"),
                Output::Store { call, request, .. } => self.store(call, request),
                _ => {}
            }
        }
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

    /// Answers all reads with the row.
    fn answer_reads(&mut self) {
        for call in std::mem::take(&mut self.reads) {
            let rows = self.row.clone().into_iter().collect();
            let answer = StoreAnswer { rows, more: false, version: 1 };
            self.deliver(Input::Store { call, result: Ok(answer) });
        }
    }

    /// A claim takes effect; its answer is not on its way yet.
    fn perform(&mut self, claim: &[u8]) {
        let version = self.row.as_ref().map_or(1, |row| row.version + 1);
        let content = Content::Bytes(claim.to_vec());
        self.row = Some(Row { table: Table::Ownership, key: "owner".to_owned(), version, content });
    }
}

/// The row of another host that has won and is silent.
fn row_of_another() -> Row {
    let mut other = Scene::new("z", None);
    while other.claims.is_empty() {
        other.tick();
        other.answer_reads();
    }
    let (_, bytes) = other.claims.remove(0);
    other.perform(&bytes);
    other.row.expect("there is a row")
}

/// A read in flight while a claim is sent is answered first, the claim is refused, and the next one takes effect: a read
/// shows its row before its answer comes. Guards against an owner that begins the same epoch anew, with run numbers and
/// bookings from nothing.
#[test]
fn epoch_begins_once() {
    for lag in 0..11 {
        let mut scene = Scene::new("a", Some(row_of_another()));
        // Reads are answered some ticks late, so that one is in flight when the silence of the owner is over.
        let mut waited = 0;
        while scene.claims.is_empty() {
            scene.tick();
            waited += usize::from(!scene.reads.is_empty());
            if waited > lag && scene.claims.is_empty() {
                scene.answer_reads();
                waited = 0;
            }
        }
        let (refused, _) = scene.claims.remove(0);
        scene.answer_reads();
        scene.tick();
        scene.deliver(Input::Store { call: refused, result: Err(StoreError::NotExecuted) });
        for _ in 0..20 {
            scene.tick();
            if !scene.claims.is_empty() {
                break;
            }
            scene.answer_reads();
        }
        let (taken, bytes) = scene.claims.remove(0);
        scene.perform(&bytes);
        scene.answer_reads();
        scene.tick();
        let answer = StoreAnswer { rows: Vec::new(), more: false, version: 2 };
        scene.deliver(Input::Store { call: taken, result: Ok(answer) });
        assert_eq!(scene.won, 1, "answers {lag} ticks late");
    }
}
