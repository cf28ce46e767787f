//! Scheduler service: places work on workers and tracks its tasks for every shard that this host owns.

mod caps;
mod ends;
mod entry;
pub mod environment;
pub mod grants;
mod losses;
pub mod moves;
mod recovery;
mod requests;
mod rows;
mod session;
mod shard;
mod starts;

use std::collections::BTreeMap;

use shallotpost_protocol::port::Failure;
use shallotpost_protocol::wire::{Frame, Load};
use shallotpost_protocol::{table, worker};

use crate::membership::PeerList;
use crate::message::WriteFailure;
use crate::prelude::*;
use environment::Environment;
use rows::Purpose;
use shard::{Call, OwnedShard};

/// Interval between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the state of every shard that this host owns, and routes messages and answers to it.
pub struct Scheduler {
    environment: Box<Environment>,
    shards: BTreeMap<Shard, OwnedShard>,
    next_report: Option<Instant>,
    stopping: bool,
}

impl Scheduler {
    /// Creates a scheduler that owns no shard.
    pub fn new(settings: &Settings) -> Scheduler {
        Scheduler {
            environment: Box::new(Environment::new(settings)),
            shards: BTreeMap::new(),
            next_report: None,
            stopping: false,
        }
    }

    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::Tick => self.tick(context),
            // `ownership` then sends `ReleaseShard` for each shard.
            Message::Stop => self.stopping = true,
            Message::Snapshot(snapshot) => {
                self.environment.snapshot = snapshot;
                self.refresh(context);
            }
            Message::ConfigurationLease { until } => {
                self.environment.configuration_lease_until = Some(until)
            }
            Message::OwnershipLease { until } => {
                self.environment.ownership_lease_until = Some(until)
            }
            Message::PeerList(peer_list) => {
                self.on_peer_list(context, &peer_list);
                self.environment.peer_list = peer_list;
            }
            Message::WorkerList(list) => {
                self.environment.set_list(context.now, list);
                self.refresh(context);
            }
            Message::ShardAcquired { shard, epoch } => self.acquire(context, shard, epoch),
            Message::ShardLost { shard } => self.forget(context, &shard),
            Message::ReleaseShard { shard } => self.release(context, shard),
            Message::WorkAdmitted { record, shard, work } => {
                if let Some(owned) = self.shards.get_mut(&shard) {
                    owned.on_admitted(context, &self.environment, record, work);
                }
            }
            Message::PeerFrame { frame: Frame::Admitted { shard, work }, .. } => {
                if let Some(owned) = self.shards.get_mut(&shard) {
                    owned.on_admitted(context, &self.environment, None, work);
                }
            }
            Message::AuthenticatedRequest { origin, identity, request } => {
                requests::handle(&mut self.shards, context, origin, &identity, request)
            }
            Message::TableResult { call, result } => self.on_table_result(context, call, result),
            Message::WorkerResult { call, result } => self.on_worker_result(context, call, result),
            Message::WriteResult { tag, result } => self.on_write_result(context, tag, result),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut Context) {
        for owned in self.shards.values_mut() {
            owned.tick(context, &self.environment);
        }
        let now = context.now;
        let released: Vec<Shard> = self
            .shards
            .values()
            .filter(|owned| owned.is_released(now))
            .map(|owned| owned.id.clone())
            .collect();
        for shard in released {
            self.forget(context, &shard);
            context.send(ServiceName::Ownership, Message::ShardReleased { shard });
        }
        if self.stopping && self.shards.is_empty() {
            self.stopping = false;
            context.send(ServiceName::Router, Message::Drained(ServiceName::Scheduler));
        }
        if self.next_report.is_none_or(|next| now >= next) {
            self.next_report = Some(now + REPORT_INTERVAL);
            self.report(context);
        }
    }

    fn report(&mut self, context: &mut Context) {
        let loads: Vec<Load> =
            self.shards.values().map(|owned| owned.planner.load(&owned.id, owned.epoch)).collect();
        for name in [ServiceName::Membership, ServiceName::Admission, ServiceName::Router] {
            context.send(name, Message::ShardLoads(loads.clone()));
        }
        self.environment.own_loads = loads;
        let left = match (self.shards.is_empty(), self.environment.ownership_lease_until) {
            (false, Some(until)) => until.saturating_duration_since(context.now),
            _ => Duration::ZERO,
        };
        context.observe(Observation::OwnershipLease(left));
    }

    fn on_peer_list(&mut self, context: &mut Context, peer_list: &PeerList) {
        if self.environment.set_peer_list(peer_list) {
            self.refresh(context);
        }
    }

    fn refresh(&mut self, context: &mut Context) {
        for owned in self.shards.values_mut() {
            owned.refresh_sessions(context, &self.environment);
            owned.refresh_configuration(context, &self.environment);
        }
    }

    fn acquire(&mut self, context: &mut Context, shard: Shard, epoch: Epoch) {
        let known = self.shards.get(&shard).is_some_and(|owned| owned.epoch >= epoch);
        if !known {
            self.forget(context, &shard);
            let owned = OwnedShard::new(context, &self.environment, shard.clone(), epoch);
            self.shards.insert(shard, owned);
        }
    }

    fn forget(&mut self, context: &mut Context, shard: &Shard) {
        if let Some(mut owned) = self.shards.remove(shard) {
            owned.abandon(context);
        }
    }

    fn release(&mut self, context: &mut Context, shard: Shard) {
        match self.shards.get_mut(&shard) {
            Some(owned) => {
                owned.releasing.get_or_insert(context.now);
            }
            None => context.send(ServiceName::Ownership, Message::ShardReleased { shard }),
        }
    }

    fn on_table_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<table::Reply, Failure>,
    ) {
        let environment = &self.environment;
        let Some((owned, purpose)) = take_call(&mut self.shards, call) else { return };
        match purpose {
            Call::Ownership => owned.on_ownership_row(context, result),
            Call::Scan => owned.on_page(context, environment, result),
            Call::Read(works) => owned.on_read(context, environment, works, result),
            Call::Caps => owned.on_caps(context, environment, result),
            Call::Heartbeat(_) | Call::Start(..) | Call::Stop(..) => {}
        }
    }

    fn on_worker_result(
        &mut self,
        context: &mut Context,
        call: CallId,
        result: Result<worker::Reply, Failure>,
    ) {
        let environment = &self.environment;
        let Some((owned, purpose)) = take_call(&mut self.shards, call) else { return };
        match purpose {
            Call::Heartbeat(worker) => {
                owned.on_heartbeat_answer(context, environment, call, &worker, result)
            }
            Call::Start(worker, task, _) => {
                owned.on_start_answer(context, call, &worker, &task, result)
            }
            Call::Stop(worker, task, _) => {
                owned.on_stop_answer(context, call, &worker, &task, result)
            }
            Call::Ownership | Call::Scan | Call::Read(_) | Call::Caps => {}
        }
    }

    fn on_write_result(
        &mut self,
        context: &mut Context,
        tag: Tag,
        result: Result<(), WriteFailure>,
    ) {
        let environment = &self.environment;
        let mut taken = self
            .shards
            .values_mut()
            .find_map(|owned| owned.rows.writes.remove(&tag).map(|purpose| (owned, purpose)));
        if let Some((owned, _)) = &mut taken {
            owned.note_conflict(context, &result);
        }
        match taken {
            Some((owned, Purpose::Record(work))) => {
                owned.on_record_written(context, environment, &work, result)
            }
            Some((owned, Purpose::Grant(team))) => {
                owned.on_grant_written(context, environment, &team, result)
            }
            Some((owned, Purpose::Move(work))) => {
                owned.on_move_written(context, environment, &work, result)
            }
            Some((_, Purpose::Deletion)) | None => {}
        }
    }
}

/// Removes an open call and returns its shard and purpose. A second answer to the same call finds nothing and is dropped.
fn take_call(
    shards: &mut BTreeMap<Shard, OwnedShard>,
    call: CallId,
) -> Option<(&mut OwnedShard, Call)> {
    shards.values_mut().find_map(|owned| owned.calls.remove(&call).map(|purpose| (owned, purpose)))
}
