//! Drives one service with messages and records its messages and effects.

use std::rc::Rc;

use shallotpost_control::configuration::Snapshot;
use shallotpost_control::membership::{Peer, PeerList};
use shallotpost_control::prelude::*;
use shallotpost_control::service::Service;
use shallotpost_protocol::key;
use shallotpost_protocol::resource::{
    Availability, DataCentre, Entry, Key, Kind, Queue, Resource, Right, Team,
};
use shallotpost_protocol::wire::{Load, Pong};
use shallotpost_protocol::work::{Class, Specification};

/// Wall-clock time of all tests.
pub const UNIX_MS: u64 = 1_700_000_000_000;

/// A service under test with its clock.
pub struct ServiceHarness {
    service: Service,
    name: ServiceName,
    start: Instant,
    now: Instant,
    next_call: u64,
    /// Messages that the service sent and the test has not taken yet.
    pub messages: Vec<(ServiceName, Message)>,
    /// Effects that the test has not taken yet, without observations.
    pub effects: Vec<Effect>,
}

impl ServiceHarness {
    pub fn new(name: ServiceName, settings: &Settings) -> ServiceHarness {
        let now = Instant::now();
        let service = Service::new(name, settings);
        ServiceHarness {
            service,
            name,
            start: now,
            now,
            next_call: 0,
            messages: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Time of the test clock this many milliseconds after the start.
    pub fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Moves the clock to this many milliseconds after the start and sends a tick.
    pub fn advance_to(&mut self, millis: u64) {
        self.now = self.at(millis);
        self.handle(Message::Tick);
    }

    /// Delivers one message to the service.
    pub fn handle(&mut self, message: Message) {
        let mut context = Context::new(self.name, self.now, UNIX_MS, self.next_call);
        self.service.handle(&mut context, message);
        self.next_call = context.next_call();
        self.messages.append(&mut context.messages);
        let effects = std::mem::take(&mut context.effects).into_iter();
        self.effects.extend(effects.filter(|effect| !matches!(effect, Effect::Observe(_))));
    }

    /// Takes the answers to clients, in order.
    pub fn take_answers(
        &mut self,
    ) -> Vec<(RequestId, Result<shallotpost_protocol::interface::Reply, Problem>)> {
        let effects = std::mem::take(&mut self.effects);
        let (answers, others): (Vec<_>, Vec<_>) =
            effects.into_iter().partition(|effect| matches!(effect, Effect::Answer { .. }));
        self.effects = others;
        let answer = |effect| match effect {
            Effect::Answer { request, result } => Some((request, result)),
            _ => None,
        };
        answers.into_iter().filter_map(answer).collect()
    }

    /// Takes the calls to the table service, in order.
    pub fn take_table_calls(&mut self) -> Vec<(CallId, shallotpost_protocol::table::Request)> {
        let effects = std::mem::take(&mut self.effects);
        let (calls, others): (Vec<_>, Vec<_>) =
            effects.into_iter().partition(|effect| matches!(effect, Effect::Table { .. }));
        self.effects = others;
        let call = |effect| match effect {
            Effect::Table { call, request, .. } => Some((call, request)),
            _ => None,
        };
        calls.into_iter().filter_map(call).collect()
    }

    /// Takes the messages to other services, in order.
    pub fn take_messages(&mut self) -> Vec<(ServiceName, Message)> {
        std::mem::take(&mut self.messages)
    }
}

/// Snapshot with teams `rice` and `jute` and their keys, an expired key, an operator key, two data centres, and an open
/// and a closed queue of `rice`.
pub fn snapshot() -> Rc<Snapshot> {
    let mut snapshot = Snapshot { revision: 9, ..Snapshot::default() };
    let mut put = |name: &str, resource: Resource| {
        let entry = Entry { name: name.to_owned(), revision: 9, resource: resource.clone() };
        snapshot.entries.insert((resource.kind(), name.to_owned()), entry);
    };
    for team in ["rice", "jute"] {
        put(team, Resource::Team(Team { share: 1, cap: Size::from_parts([u64::MAX; 4]) }));
        put(&format!("{team}-key"), team_key(team, None));
    }
    put("old-key", team_key("rice", Some(UNIX_MS)));
    put(
        "admin",
        Resource::Key(Key {
            right: Right::Operator,
            digest: key::digest(b"root"),
            expires_unix_ms: None,
        }),
    );
    for name in ["east", "west"] {
        put(
            name,
            Resource::DataCentre(DataCentre { availability: Availability::Active, shards: 1 }),
        );
    }
    put("public", Resource::Queue(Queue { team: "rice".to_owned(), open: true }));
    put("private", Resource::Queue(Queue { team: "rice".to_owned(), open: false }));
    Rc::new(snapshot)
}

fn team_key(team: &str, expires_unix_ms: Option<u64>) -> Resource {
    let right = Right::Team(team.to_owned());
    Resource::Key(Key { right, digest: key::digest(team.as_bytes()), expires_unix_ms })
}

/// The snapshot without one entry.
pub fn snapshot_without(kind: Kind, name: &str) -> Rc<Snapshot> {
    let mut snapshot = snapshot().as_ref().clone();
    snapshot.entries.remove(&(kind, name.to_owned()));
    Rc::new(snapshot)
}

/// A batch job of the team.
pub fn batch_job(team: &str, id: &str) -> Specification {
    Specification {
        id: id.to_owned(),
        team: team.to_owned(),
        class: Class::Batch,
        size: Size::from_parts([1000, 512, 0, 1]),
        command: vec!["run".to_owned(), "10".to_owned()],
        run_time: None,
        idempotent: true,
        deadline_unix_ms: None,
        data_centres: Vec::new(),
        queue: None,
        input: None,
        attempts: 3,
    }
}

/// Load of shard 0 of a data centre whose workers hold 16 cores.
pub fn load(data_centre: &str, epoch: Epoch) -> Load {
    Load {
        shard: Shard { data_centre: data_centre.to_owned(), index: 0 },
        epoch,
        capacity: Size::from_parts([64_000, 65_536, 0, 32]),
        booked: Size::ZERO,
        waiting: Size::ZERO,
        largest: Size::from_parts([16_000, 16_384, 0, 8]),
        waiting_tasks: 0,
        running_tasks: 0,
        workers: 4,
        silent_workers: 0,
    }
}

/// A peer list with one peer, which owns the shard of this load and answered a ping at `answered`.
pub fn single_peer_list(host: &str, answered: Instant, load: Load) -> Rc<PeerList> {
    let pong = Pong {
        number: 1,
        incarnation: 1,
        revision: 9,
        freshness_age: None,
        update_in_flight: false,
        draining: false,
        shards: vec![load.clone()],
    };
    let peer = Peer {
        host: host.to_owned(),
        data_centre: load.shard.data_centre,
        peer_address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        last_pong: Some((answered, pong)),
        row_changed_at: None,
        applied_revision: 9,
        draining: false,
    };
    Rc::new(PeerList { peers: vec![peer] })
}
