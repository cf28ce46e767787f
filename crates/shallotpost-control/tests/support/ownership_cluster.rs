//! Drives the `Membership` and `Ownership` services of all hosts of one data centre against one table in virtual time.
//!
//! Group commit and scheduler are minimal stand-ins. The ownership invariants are checked after each tick.

use std::collections::{BTreeMap, VecDeque};

use shallotpost_control::kernel::TICK;
use shallotpost_control::membership::Membership;
use shallotpost_control::message::{Batch, WriteFailure};
use shallotpost_control::ownership::Ownership;
use shallotpost_control::ownership::row::{ShardRow, row_key};
use shallotpost_control::prelude::*;
use shallotpost_control::settings::{Fencing, lease_expiry_bound};
use shallotpost_protocol::host::{self, Host};
use shallotpost_protocol::table::{Check, Reply, Request, Write};
use shallotpost_standin::table::Table;

const SECOND: Duration = Duration::from_secs(1);

/// Time from a table call to its answer.
const LATENCY: Duration = Duration::from_millis(20);

/// How the answer to the next transaction that writes a shard row is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The transaction takes effect.
    After,
    /// The transaction does not take effect.
    Before,
}

/// One entry host.
pub struct Node {
    pub running: bool,
    pub paused: bool,
    pub table_unreachable: bool,
    pub loss: Option<Loss>,
    /// Whether its commit queue is full.
    pub overloaded: bool,
    /// Whether the scheduler answers `ReleaseShard`.
    pub releases: bool,
    /// Messages to the scheduler and the router.
    pub sent: Vec<(Instant, Message)>,
    pub draining: bool,
    pub held_shards: BTreeMap<u32, Epoch>,
    pub lease: Option<Instant>,
    settings: Settings,
    membership: Membership,
    ownership: Ownership,
    next_call: u64,
    row_version: Option<u64>,
    /// Time at which its last transaction took effect.
    pub heartbeat: Option<Instant>,
    pub batches: VecDeque<Batch>,
}

/// The data centre.
pub struct OwnershipCluster {
    pub now: Instant,
    pub table: Table,
    pub nodes: Vec<Node>,
    fencing: Fencing,
    queue: BTreeMap<(Instant, u64), (usize, ServiceName, Message)>,
    queued: u64,
    /// Time from a read of shard rows to its answer.
    pub shard_read_delay: Duration,
    /// Time from a read of host rows to its answer.
    pub host_read_delay: Duration,
    /// Claims and releases refused because of a full queue.
    pub refused: u32,
    /// Conflicts of claims and releases.
    pub conflicts: u32,
    owners: BTreeMap<(u32, Epoch), (HostId, u64)>,
    rows: BTreeMap<String, ShardRow>,
}

impl OwnershipCluster {
    pub fn new(hosts: &[&str], fencing: Fencing) -> OwnershipCluster {
        let mut cluster = OwnershipCluster {
            now: Instant::now(),
            table: Table::default(),
            nodes: Vec::new(),
            fencing,
            queue: BTreeMap::new(),
            queued: 0,
            shard_read_delay: LATENCY,
            host_read_delay: LATENCY,
            refused: 0,
            conflicts: 0,
            owners: BTreeMap::new(),
            rows: BTreeMap::new(),
        };
        hosts.iter().for_each(|host| cluster.join(host, 1));
        cluster
    }

    pub fn join(&mut self, host: &str, incarnation: u64) {
        let settings =
            Settings { incarnation, fencing: self.fencing, ..Settings::new(host, "north") };
        self.nodes.push(Node {
            running: true,
            paused: false,
            table_unreachable: false,
            loss: None,
            overloaded: false,
            releases: true,
            sent: Vec::new(),
            held_shards: BTreeMap::new(),
            lease: None,
            membership: Membership::new(&settings),
            ownership: Ownership::new(&settings),
            settings,
            next_call: 0,
            draining: false,
            row_version: None,
            heartbeat: None,
            batches: VecDeque::new(),
        });
        // A new incarnation reads the version of the row that it takes over.
        let row = self.table.row(&host::row_key("north", host));
        self.nodes.last_mut().expect("a node").row_version = row.map(|row| row.version);
    }

    /// The running node with access to the table that holds the shard; `None` unless there is exactly one.
    pub fn owner(&self, shard: u32) -> Option<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.running && !node.table_unreachable && node.held_shards.contains_key(&shard)
        };
        let owners: Vec<usize> = (0..self.nodes.len()).filter(holds).collect();
        match owners.as_slice() {
            [only] => Some(*only),
            _ => None,
        }
    }

    pub fn row(&self, shard: u32) -> Option<ShardRow> {
        let shard = Shard { data_centre: "north".to_owned(), index: shard };
        Some(serde_json::from_str(&self.table.row(&row_key(&shard))?.value).expect("a shard row"))
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.tick();
        }
    }

    /// Runs until the condition holds, at most for `bound`; returns the elapsed time.
    pub fn run_until(
        &mut self,
        bound: Duration,
        condition: impl Fn(&OwnershipCluster) -> bool,
    ) -> Duration {
        let start = self.now;
        while !condition(self) && self.now < start + bound {
            self.run(TICK);
        }
        self.now - start
    }

    pub fn deliver(&mut self, node: usize, name: ServiceName, message: Message) {
        let mut context = Context::new(name, self.now, 0, self.nodes[node].next_call);
        match name {
            ServiceName::Membership => self.nodes[node].membership.handle(&mut context, message),
            _ => self.nodes[node].ownership.handle(&mut context, message),
        }
        self.nodes[node].next_call = context.next_call();
        for effect in context.effects {
            if let Effect::Table { call, request, .. } = effect {
                let (result, delay) = match self.nodes[node].table_unreachable {
                    true => (Err(Failure::NotSent), LATENCY),
                    false if name == ServiceName::Ownership => {
                        (Ok(self.table.handle(&request)), self.shard_read_delay)
                    }
                    false => (Ok(self.table.handle(&request)), self.host_read_delay),
                };
                self.enqueue(node, name, Message::TableResult { call, result }, delay);
            }
        }
        for (to, message) in context.messages {
            self.send(node, to, message);
        }
    }

    fn enqueue(&mut self, node: usize, name: ServiceName, message: Message, delay: Duration) {
        self.queued += 1;
        self.queue.insert((self.now + delay, self.queued), (node, name, message));
    }

    fn send(&mut self, index: usize, to: ServiceName, message: Message) {
        let node = &mut self.nodes[index];
        match (to, &message) {
            (ServiceName::Ownership, _) => self.enqueue(index, to, message, Duration::ZERO),
            (ServiceName::Commit, Message::Write(batch)) if node.overloaded => {
                let result = Err(WriteFailure::Overloaded);
                let written = Message::WriteResult { tag: batch.tag, result };
                self.refused += 1;
                self.enqueue(index, batch.reply_to, written, Duration::ZERO);
            }
            (ServiceName::Commit, Message::Write(batch)) => node.batches.push_back(batch.clone()),
            (ServiceName::Scheduler | ServiceName::Router, _) => {
                node.sent.push((self.now, message.clone()));
                self.simulate_scheduler(index, message);
            }
            _ => {}
        }
    }

    fn simulate_scheduler(&mut self, index: usize, message: Message) {
        let node = &mut self.nodes[index];
        match message {
            Message::ShardAcquired { shard, epoch } => {
                node.held_shards.insert(shard.index, epoch);
                let owner = (node.settings.host.clone(), node.settings.incarnation);
                let known = self.owners.entry((shard.index, epoch)).or_insert(owner.clone());
                assert_eq!(*known, owner, "two owners of {shard} in epoch {epoch}");
            }
            Message::ShardLost { shard } => {
                node.held_shards.remove(&shard.index);
            }
            Message::OwnershipLease { until } => node.lease = Some(until),
            Message::ReleaseShard { shard } if node.releases => {
                self.enqueue(
                    index,
                    ServiceName::Ownership,
                    Message::ShardReleased { shard },
                    LATENCY * 2,
                );
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let due: Vec<_> = self.queue.range(..=(self.now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in due {
            // Messages to a paused process stay queued until it resumes.
            let node = self.queue[&key].0;
            if !self.nodes[node].paused {
                let (node, name, message) = self.queue.remove(&key).expect("queued");
                if self.nodes[node].running {
                    self.deliver(node, name, message);
                }
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].running && !self.nodes[node].paused {
                self.deliver(node, ServiceName::Membership, Message::Tick);
                self.deliver(node, ServiceName::Ownership, Message::Tick);
                self.commit(node);
            }
        }
        self.check();
    }

    /// Group commit of one batch at a time, with heartbeats in between.
    fn commit(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.table_unreachable {
            let due = |batch: &Batch| batch.expires.is_some_and(|at| now >= at);
            let expired = node.batches.front().is_some_and(due);
            if expired && let Some(batch) = node.batches.pop_front() {
                let result = Err(WriteFailure::Expired);
                self.enqueue(
                    index,
                    batch.reply_to,
                    Message::WriteResult { tag: batch.tag, result },
                    LATENCY,
                );
            }
            return;
        }
        let batch = node.batches.pop_front();
        if batch.is_none() && node.heartbeat.is_some_and(|last| now < last + LATENCY * 25) {
            return;
        }
        let shards = batch.as_ref().is_some_and(|batch| batch.writes[0].key.starts_with("shards/"));
        let loss = if shards { node.loss.take() } else { None };
        let reply = match loss {
            Some(Loss::Before) => Reply::Committed,
            _ => self.transact(index, batch.as_ref()),
        };
        let result = match (loss, reply) {
            (Some(_), _) => Err(WriteFailure::Unknown),
            (None, Reply::Conflict { keys }) => {
                self.conflicts += u32::from(shards);
                Err(WriteFailure::Conflict(keys))
            }
            _ => Ok(()),
        };
        if result.is_ok() {
            self.enqueue(
                index,
                ServiceName::Ownership,
                Message::HeartbeatCommitted { sent: now },
                LATENCY,
            );
        }
        if let Some(batch) = batch {
            self.enqueue(
                index,
                batch.reply_to,
                Message::WriteResult { tag: batch.tag, result },
                LATENCY,
            );
        }
    }

    fn transact(&mut self, index: usize, batch: Option<&Batch>) -> Reply {
        let node = &mut self.nodes[index];
        let Settings { host, incarnation, .. } = node.settings.clone();
        let key = host::row_key("north", &host);
        let value = Host {
            host,
            data_centre: "north".to_owned(),
            incarnation,
            peer_address: String::new(),
            http_address: String::new(),
            sequence: 0,
            applied: 0,
            draining: node.draining,
        };
        let mut checks = vec![Check { key: key.clone(), version: node.row_version }];
        let value = Some(serde_json::to_string(&value).expect("serialises"));
        let mut writes = vec![Write { key: key.clone(), value }];
        if let Some(batch) = batch {
            checks.extend(batch.checks.clone());
            writes.extend(batch.writes.clone());
        }
        let reply = self.table.handle(&Request::Transact { checks, writes });
        if reply == Reply::Committed {
            node.row_version = Some(node.row_version.unwrap_or(0) + 1);
            node.heartbeat = Some(self.now);
        }
        reply
    }

    /// Asserts that a shard that was not released is taken only from a host whose lease has certainly lapsed or, with
    /// fencing, from a replaced incarnation.
    fn check_takeover(&self, before: &ShardRow, row: &ShardRow) {
        let is = |node: &Node, host: &str, incarnation: u64| {
            node.settings.host == host && node.settings.incarnation == incarnation
        };
        let owner = self.nodes.iter().find(|node| is(node, &before.owner, before.incarnation));
        let newer = |node: &Node| {
            node.settings.host == before.owner && node.settings.incarnation > before.incarnation
        };
        let replaced = self.fencing == Fencing::Epoch
            && self.nodes.iter().any(|node| newer(node) && node.heartbeat.is_some());
        let same = before.owner == row.owner && before.incarnation == row.incarnation;
        if let Some(heartbeat) =
            owner.and_then(|node| node.heartbeat).filter(|_| !same && !replaced)
        {
            let lapse = lease_expiry_bound(SECOND * 3);
            assert!(
                self.now >= heartbeat + lapse,
                "taken {:?} after a heartbeat",
                self.now - heartbeat
            );
        }
    }

    fn check(&mut self) {
        for found in self.table.rows("shards/") {
            let row: ShardRow = serde_json::from_str(&found.value).expect("a shard row");
            if let Some(before) = self.rows.insert(found.key.clone(), row.clone()) {
                assert!(row.epoch >= before.epoch, "epoch of {} fell", found.key);
                if row != before && !row.released && !before.released {
                    self.check_takeover(&before, &row);
                }
            }
        }
        if self.fencing == Fencing::None {
            let acts = |node: &&Node| {
                let leased = node.lease.is_some_and(|until| self.now < until);
                node.running && !node.paused && leased && node.held_shards.contains_key(&0)
            };
            assert!(self.nodes.iter().filter(acts).count() <= 1, "two hosts act without fencing");
        }
    }
}
