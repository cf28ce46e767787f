//! Drives the services `commit` and `configuration` of several hosts against one table in virtual time.
#![allow(dead_code)]

use std::collections::VecDeque;

use shallotpost_control::commit::Commit;
use shallotpost_control::configuration::Configuration;
use shallotpost_control::context::calling_service;
use shallotpost_control::membership::Peer;
use shallotpost_control::message::Batch;
use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Reply, Request as Ask};
use shallotpost_protocol::resource::{Resource, Right, Team};
use shallotpost_protocol::table::{Check, Request, Write};
use shallotpost_protocol::wire::Pong;
use shallotpost_standin::table::Table;

pub const STEP: Duration = Duration::from_millis(10);

/// What happens to a call to the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The call takes effect; the answer is lost.
    LostAfter,
    /// The call does not take effect and gets no answer.
    LostBefore,
    /// The call does not leave the host.
    NotSent,
    /// The call gets no answer and takes effect after this delay.
    Late(Duration),
    /// The call takes effect at once; the answer arrives after this delay.
    Slow(Duration),
}

struct OpenCall {
    at: Instant,
    call: CallId,
    result: Result<shallotpost_protocol::table::Reply, Failure>,
}

pub struct Node {
    pub commit: Commit,
    pub configuration: Configuration,
    /// Faults of the next transactions that write a key with the given prefix, in order.
    pub faults: VecDeque<(&'static str, Fault)>,
    /// Fault of every call while it is set; takes precedence over `faults`.
    pub outage: Option<Fault>,
    /// Messages to services other than the simulated ones, with the time of sending.
    pub sent: Vec<(Instant, ServiceName, Message)>,
    /// Write results that `commit` or `configuration` received.
    pub write_results: Vec<(Tag, Result<(), shallotpost_control::message::WriteFailure>)>,
    pub logs: Vec<Log>,
    /// Latency of reads; `None` for the usual one.
    pub slow_reads: Option<Duration>,
    /// Sent transactions: time of sending and written keys.
    pub transactions: Vec<(Instant, Vec<String>)>,
    /// Number of messages in `sent` before each transaction.
    pub sent_before: Vec<usize>,
    pub reads: Vec<Instant>,
    open: Vec<OpenCall>,
    next_call: u64,
}

impl Node {
    pub fn new(settings: &Settings) -> Node {
        Node {
            commit: Commit::new(settings),
            configuration: Configuration::new(settings),
            faults: VecDeque::new(),
            outage: None,
            sent: Vec::new(),
            write_results: Vec::new(),
            logs: Vec::new(),
            slow_reads: None,
            transactions: Vec::new(),
            sent_before: Vec::new(),
            reads: Vec::new(),
            open: Vec::new(),
            next_call: 0,
        }
    }
}

pub struct ConfigCluster {
    pub start: Instant,
    /// Time between two ticks.
    pub step: Duration,
    pub now: Instant,
    pub table: Table,
    pub nodes: Vec<Node>,
    /// Whether `configuration` runs too.
    pub with_configuration: bool,
    late_requests: Vec<(Instant, Request)>,
}

impl ConfigCluster {
    /// Hosts `a`, `b`, ... in data centres `east`, `west`, `north`.
    pub fn new(hosts: usize, with_configuration: bool) -> ConfigCluster {
        let now = Instant::now();
        let nodes = (0..hosts).map(|index| Node::new(&settings(index))).collect();
        let table = Table::default();
        ConfigCluster {
            start: now,
            step: STEP,
            now,
            table,
            nodes,
            with_configuration,
            late_requests: Vec::new(),
        }
    }

    pub fn unix_ms(&self) -> u64 {
        1_000_000 + self.now.duration_since(self.start).as_millis() as u64
    }

    pub fn deliver(&mut self, node: usize, to: ServiceName, message: Message) {
        let mut queue = VecDeque::from([(to, message)]);
        let (now, unix_ms) = (self.now, self.unix_ms());
        while let Some((to, message)) = queue.pop_front() {
            let state = &mut self.nodes[node];
            let mut context = Context::new(to, now, unix_ms, state.next_call);
            if let Message::WriteResult { tag, result } = &message {
                state.write_results.push((*tag, result.clone()));
            }
            match to {
                ServiceName::Commit => state.commit.handle(&mut context, message),
                ServiceName::Configuration if self.with_configuration => {
                    state.configuration.handle(&mut context, message)
                }
                _ => {
                    state.sent.push((now, to, message));
                    continue;
                }
            }
            state.next_call = context.next_call();
            queue.extend(context.messages);
            context.effects.into_iter().for_each(|effect| self.effect(node, effect));
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Table { call, request, timeout } => self.call(node, call, request, timeout),
            Effect::Log(log) => self.nodes[node].logs.push(log),
            other => panic!("unexpected effect {other:?}"),
        }
    }

    fn call(&mut self, node: usize, call: CallId, request: Request, timeout: Duration) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let mut fault = state.outage;
        match &request {
            Request::Transact { writes, .. } => {
                let keys: Vec<String> = writes.iter().map(|write| write.key.clone()).collect();
                let hit = state.faults.front().is_some_and(|(prefix, _)| {
                    fault.is_none() && keys.iter().any(|key| key.starts_with(prefix))
                });
                if hit {
                    fault = state.faults.pop_front().map(|(_, fault)| fault);
                }
                state.transactions.push((now, keys));
                state.sent_before.push(state.sent.len());
            }
            _ => {
                state.reads.push(now);
                fault = fault.or(state.slow_reads.map(Fault::Slow));
            }
        }
        let (at, result) = match fault {
            None => (now + STEP, Ok(self.table.handle(&request))),
            Some(Fault::LostAfter) => {
                self.table.handle(&request);
                (now + timeout, Err(Failure::Ambiguous))
            }
            Some(Fault::LostBefore) => (now + timeout, Err(Failure::Ambiguous)),
            Some(Fault::NotSent) => (now + STEP, Err(Failure::NotSent)),
            Some(Fault::Late(delay)) => {
                self.late_requests.push((now + delay, request));
                (now + timeout, Err(Failure::Ambiguous))
            }
            Some(Fault::Slow(delay)) => (now + delay, Ok(self.table.handle(&request))),
        };
        self.nodes[node].open.push(OpenCall { at, call, result });
    }

    /// Sends a request with an operator key; `number` identifies its answers.
    pub fn ask(&mut self, node: usize, number: u64, request: Ask) {
        self.ask_as(node, number, Right::Operator, request);
    }

    pub fn ask_as(&mut self, node: usize, number: u64, right: Right, request: Ask) {
        let identity = Identity { key: "root".to_owned(), right };
        let ask =
            Message::AuthenticatedRequest { origin: Origin::Client(number), identity, request };
        self.deliver(node, ServiceName::Configuration, ask);
    }

    /// All answers to a request; a correct service sends at most one.
    pub fn answers(&self, node: usize, number: u64) -> Vec<Result<Reply, Problem>> {
        let answers = self.nodes[node].sent.iter().filter_map(|(_, _, message)| match message {
            Message::Answer { origin: Origin::Client(other), result } if *other == number => {
                Some(result.clone())
            }
            _ => None,
        });
        answers.collect()
    }

    /// Sends a request and runs until it is answered; panics after 20 s.
    pub fn answer(&mut self, node: usize, number: u64, request: Ask) -> Result<Reply, Problem> {
        self.ask(node, number, request);
        self.run_until(Duration::from_secs(20), |c| !c.answers(node, number).is_empty());
        self.answers(node, number).remove(0)
    }

    /// Last value that `pick` finds in the messages of a host.
    pub fn last<T>(&self, node: usize, pick: impl Fn(&Message) -> Option<T>) -> Option<T> {
        self.nodes[node].sent.iter().rev().find_map(|(_, _, message)| pick(message))
    }

    /// Revision that a host applies.
    pub fn revision(&self, node: usize) -> Option<Revision> {
        self.last(node, |message| match message {
            Message::Snapshot(snapshot) => Some(snapshot.revision),
            _ => None,
        })
    }

    /// Writes rows directly to the table, without checks.
    pub fn overwrite(&mut self, rows: impl IntoIterator<Item = (String, Option<String>)>) {
        let writes = rows.into_iter().map(|(key, value)| Write { key, value }).collect();
        self.table.handle(&Request::Transact { checks: Vec::new(), writes });
    }

    /// Advances the clock by one step and delivers what is due.
    pub fn step(&mut self) {
        self.now += self.step;
        let now = self.now;
        let (due, late_requests): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late_requests).into_iter().partition(|(at, _)| *at <= now);
        self.late_requests = late_requests;
        due.iter().for_each(|(_, request)| {
            self.table.handle(request);
        });
        for node in 0..self.nodes.len() {
            let open = std::mem::take(&mut self.nodes[node].open);
            let (due, open): (Vec<_>, Vec<_>) = open.into_iter().partition(|call| call.at <= now);
            self.nodes[node].open = open;
            for OpenCall { call, result, .. } in due {
                let to = calling_service(call).expect("a service made the call");
                self.deliver(node, to, Message::TableResult { call, result });
            }
            self.deliver(node, ServiceName::Commit, Message::Tick);
            self.deliver(node, ServiceName::Configuration, Message::Tick);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds; panics after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&ConfigCluster) -> bool,
    ) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "condition not met within {limit:?}");
            self.step();
        }
    }
}

pub fn settings(index: usize) -> Settings {
    let name = ["a", "b", "c"][index];
    let data_centre = ["east", "west", "north"][index];
    Settings { incarnation: 100, random_seed: 7 + index as u64, ..Settings::new(name, data_centre) }
}

/// A batch that writes `key`; `check` is the expected version, if any.
pub fn batch(tag: Tag, key: &str, value: &str, check: Option<Option<u64>>) -> Batch {
    let checks = check.map(|version| Check { key: key.to_owned(), version }).into_iter().collect();
    let writes = vec![Write { key: key.to_owned(), value: Some(value.to_owned()) }];
    Batch { reply_to: ServiceName::Scheduler, tag, checks, writes, expires: None }
}

/// A team with this cap of slots.
pub fn team(share: u32, slots: u64) -> Resource {
    Resource::Team(Team { share, cap: Size { slots, ..Size::from_parts([u64::MAX; 4]) } })
}

pub fn put(name: &str, resource: Resource, revision: Option<Revision>) -> Ask {
    Ask::Put { name: name.to_owned(), resource, revision, dry_run: false }
}

/// A peer in the data centre `north` that has not been seen yet.
pub fn peer() -> Peer {
    Peer {
        host: "p".to_owned(),
        data_centre: "north".to_owned(),
        peer_address: String::new(),
        incarnation: 1,
        last_pong: None,
        row_changed_at: None,
        applied_revision: 0,
        draining: false,
    }
}

pub fn pong(revision: Revision, freshness_age: Option<Duration>, update_in_flight: bool) -> Pong {
    Pong {
        number: 1,
        incarnation: 1,
        revision,
        freshness_age,
        update_in_flight,
        draining: false,
        shards: Vec::new(),
    }
}
