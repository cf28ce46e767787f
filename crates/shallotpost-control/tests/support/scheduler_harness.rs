//! Drives schedulers against a simulated table, workers and group commit in virtual time.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use shallotpost_control::configuration::Snapshot;
use shallotpost_control::message::{Batch, WriteFailure};
use shallotpost_control::prelude::*;
use shallotpost_control::scheduler::Scheduler;
use shallotpost_control::settings::Fencing;
pub use shallotpost_protocol::interface::{Reply as ClientReply, Request as ClientRequest};
use shallotpost_protocol::resource::{
    Availability, DataCentre, Entry, OnPartition, Policy, Resource, Right, Team,
};
use shallotpost_protocol::wire::Load;
use shallotpost_protocol::work::{self, Class, Outcome, Record, Specification, State, Status};
use shallotpost_protocol::worker::{Assignment, Refusal, Reply, Request};
use shallotpost_protocol::{table, worker_list};
use shallotpost_standin::table::Table;
use shallotpost_standin::worker::Worker;

pub const STEP: Duration = Duration::from_millis(10);

/// Kind of a worker call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Claim,
    Sync,
    Start,
    Stop,
}

/// What happens to a worker call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call certainly does not reach the worker.
    NotSent,
    /// The call does not reach the worker, and the scheduler cannot know that.
    LostRequest,
    /// The call takes effect, and the answer is lost or truncated.
    LostAnswer,
    /// The answer arrives more than once.
    DuplicateAnswer,
    /// The answer arrives after the timeout, when the failure has already been reported.
    LateAnswer,
    /// The call takes effect at once, and the answer arrives 100 ms later.
    SlowAnswer,
    /// The same answer also arrives for a call that was never made.
    StrayAnswer,
}

pub struct Node {
    pub worker: Worker,
    pub rack: String,
    pub listed: bool,
    pub alive: bool,
    seen: u64,
}

struct Owner {
    scheduler: Scheduler,
    running: bool,
    next_call: u64,
    inbox: Vec<(Instant, Message)>,
    syncs: Vec<(Instant, CallId, WorkerId, Request)>,
    writes: Vec<(Instant, Batch)>,
}

pub struct SchedulerHarness {
    pub now: Instant,
    origin: Instant,
    pub table: Table,
    pub table_up: bool,
    /// Time from a table read to its answer.
    pub table_delay: Duration,
    pub nodes: BTreeMap<WorkerId, Node>,
    owners: Vec<Owner>,
    leader: usize,
    faults: Vec<(WorkerId, CallKind, Fault, usize)>,
    pub write_faults: Vec<WriteFailure>,
    pub snapshot: Snapshot,
    pub settings: Settings,
    pub renews_configuration_lease: bool,
    pub renews_ownership_lease: bool,
    pub ended: Vec<(WorkId, Outcome)>,
    pub answers: Vec<Result<ClientReply, Problem>>,
    pub fenced: Vec<Epoch>,
    pub released: usize,
    pub drained: usize,
    /// Last load report.
    pub loads: Vec<Load>,
    /// Measurements of all owners.
    pub observations: Vec<Observation>,
    pub refusals: Vec<Refusal>,
    /// Number of start calls issued by all owners.
    pub start_calls: usize,
    pub calls: usize,
    open_commands: BTreeSet<CallId>,
    pub writes: usize,
}

pub fn shard() -> Shard {
    Shard { data_centre: "dc".into(), index: 0 }
}

pub fn size(cores: u64) -> Size {
    Size { processors_milli: cores * 1000, memory_mib: 100, accelerators: 0, slots: 1 }
}

pub fn work(name: &str) -> WorkId {
    WorkId { team: "red".into(), name: name.into() }
}

/// A specification of team `red` with tasks of one core.
pub fn specification(name: &str, class: Class, command: &[&str]) -> Specification {
    Specification {
        id: name.into(),
        team: "red".into(),
        class,
        size: size(1),
        command: command.iter().map(|part| (*part).to_owned()).collect(),
        run_time: None,
        idempotent: true,
        deadline_unix_ms: None,
        data_centres: Vec::new(),
        queue: None,
        input: None,
        attempts: 3,
    }
}

impl SchedulerHarness {
    /// A harness with `count` workers of 4 cores and one owner with epoch 1.
    pub fn new(count: usize) -> SchedulerHarness {
        SchedulerHarness::with_settings(count, Settings::new("host", "dc"))
    }

    pub fn with_settings(count: usize, settings: Settings) -> SchedulerHarness {
        let origin = Instant::now();
        let mut harness = SchedulerHarness {
            now: origin,
            origin,
            table: Table::default(),
            table_up: true,
            table_delay: STEP,
            nodes: BTreeMap::new(),
            owners: Vec::new(),
            leader: 0,
            faults: Vec::new(),
            write_faults: Vec::new(),
            snapshot: Snapshot::default(),
            settings,
            renews_configuration_lease: true,
            renews_ownership_lease: true,
            ended: Vec::new(),
            answers: Vec::new(),
            fenced: Vec::new(),
            released: 0,
            drained: 0,
            loads: Vec::new(),
            observations: Vec::new(),
            refusals: Vec::new(),
            start_calls: 0,
            calls: 0,
            open_commands: BTreeSet::new(),
            writes: 0,
        };
        (0..count).for_each(|index| harness.add_worker(&format!("w{index}"), 4));
        harness.set_team(Some(Size::from_parts([u64::MAX; 4])));
        harness
    }

    /// Adds a worker in its own rack.
    pub fn add_worker(&mut self, name: &str, cores: u64) {
        let capacity = Size { slots: 8, memory_mib: 4000, ..size(cores) };
        let mut worker = Worker::new(self.nodes.len() as u64, capacity);
        worker.fencing = self.settings.fencing == Fencing::Epoch;
        let node = Node { worker, rack: name.into(), listed: true, alive: true, seen: 0 };
        self.nodes.insert(name.into(), node);
    }

    /// Sets the cap of team `red`, or withdraws it.
    pub fn set_team(&mut self, cap: Option<Size>) {
        let key = (shallotpost_protocol::resource::Kind::Team, "red".to_owned());
        match cap {
            Some(cap) => {
                let resource = Resource::Team(Team { share: 1, cap });
                let entry = Entry { name: "red".into(), revision: 1, resource };
                self.snapshot.entries.insert(key, entry);
            }
            None => drop(self.snapshot.entries.remove(&key)),
        }
        self.publish();
    }

    pub fn set_availability(&mut self, name: &str, availability: Availability) {
        let key = (shallotpost_protocol::resource::Kind::DataCentre, name.to_owned());
        let resource = Resource::DataCentre(DataCentre { availability, shards: 1 });
        let entry = Entry { name: name.into(), revision: 1, resource };
        self.snapshot.entries.insert(key, entry);
        self.publish();
    }

    /// Sets what the policy says about running tasks of all classes in a drained data centre.
    pub fn set_partition_policy(&mut self, stop: bool) {
        let on_partition = if stop { OnPartition::Stop } else { OnPartition::KeepRunning };
        let policy = Policy {
            services_on_partition: on_partition,
            others_on_partition: on_partition,
            ..Policy::default()
        };
        let key = (shallotpost_protocol::resource::Kind::Policy, "default".to_owned());
        let resource = Resource::Policy(policy);
        let entry = Entry { name: "default".into(), revision: 1, resource };
        self.snapshot.entries.insert(key, entry);
    }

    /// Writes the cap row of team `red`.
    pub fn set_cap_row(&mut self, cap: Size, grants: &[(&str, Size)]) {
        let grants: BTreeMap<&str, Size> = grants.iter().copied().collect();
        let value = serde_json::json!({ "cap": cap, "grants": grants, "unmet": {} }).to_string();
        let write = table::Write { key: "caps/red".into(), value: Some(value) };
        let request = table::Request::Transact { checks: Vec::new(), writes: vec![write] };
        self.table.handle(&request);
    }

    /// Processors granted to a shard, in thousandths of a core.
    pub fn granted(&self, shard: &str) -> Option<u64> {
        let row = self.table.row("caps/red")?;
        let value: serde_json::Value = serde_json::from_str(&row.value).ok()?;
        value["grants"][shard]["processors_milli"].as_u64()
    }

    /// Starts the first attempt of a task on behalf of an owner with epoch 1.
    pub fn start_directly(&mut self, worker: &str, index: u32, specification: &Specification) {
        let epoch = 1;
        let lease = self.settings.task_lease;
        self.execute(&worker.into(), &Request::Claim { shard: shard(), epoch, lease });
        let assignment = Assignment {
            task: Task { work: specification.work_id(), index },
            attempt: 1,
            size: specification.size,
            command: specification.command.clone(),
            input: None,
        };
        self.execute(&worker.into(), &Request::Start { epoch, assignment });
    }

    /// Ends at once those leases that are no longer renewed; does nothing unless `now` is set.
    pub fn expire_leases(&mut self, now: bool) {
        for owner in 0..self.owners.len() {
            let until = self.now;
            if now && !self.renews_configuration_lease {
                self.deliver(owner, Message::ConfigurationLease { until });
            }
            if now && !self.renews_ownership_lease {
                self.deliver(owner, Message::OwnershipLease { until });
            }
        }
    }

    /// Number of batches pending in group commit.
    pub fn open_writes(&self) -> usize {
        self.owners.iter().map(|owner| owner.writes.len()).sum()
    }

    /// Whether a write of this row is pending in group commit.
    pub fn is_writing(&self, key: &str) -> bool {
        let batches = self.owners.iter().flat_map(|owner| &owner.writes);
        batches.flat_map(|(_, batch)| &batch.writes).any(|write| write.key == key)
    }

    pub fn publish(&mut self) {
        let snapshot = Rc::new(self.snapshot.clone());
        let list = Rc::new(self.list());
        for owner in 0..self.owners.len() {
            self.deliver(owner, Message::Snapshot(Rc::clone(&snapshot)));
            self.deliver(owner, Message::WorkerList(Rc::clone(&list)));
        }
    }

    fn list(&self) -> Vec<worker_list::Worker> {
        let listed = self.nodes.iter().filter(|(_, node)| node.listed);
        let entry = |(name, node): (&WorkerId, &Node)| worker_list::Worker {
            worker: name.clone(),
            address: format!("{name}:1"),
            data_centre: "dc".into(),
            rack: node.rack.clone(),
            capacity: node.worker.capacity(),
            leaving: false,
        };
        listed.map(entry).collect()
    }

    /// Starts an owner of the shard and returns its index.
    pub fn take_over(&mut self, epoch: Epoch) -> usize {
        let owner = self.add_owner();
        self.acquire(owner, epoch);
        owner
    }

    /// Starts a host that owns nothing, and runs until it knows which workers left the list.
    pub fn add_standby(&mut self) -> usize {
        let owner = self.add_owner();
        self.run(9000);
        owner
    }

    /// Starts a host that owns nothing yet.
    pub fn add_owner(&mut self) -> usize {
        self.owners.push(Owner {
            scheduler: Scheduler::new(&self.settings),
            running: true,
            next_call: (self.owners.len() as u64 + 1) * 1_000_000,
            inbox: Vec::new(),
            syncs: Vec::new(),
            writes: Vec::new(),
        });
        let owner = self.owners.len() - 1;
        self.publish();
        owner
    }

    /// Records the claim of an owner and tells it.
    pub fn acquire(&mut self, owner: usize, epoch: Epoch) {
        self.leader = owner;
        self.renew();
        let value = Some(serde_json::json!({ "owner": owner, "epoch": epoch }).to_string());
        let write = table::Write { key: "shards/dc/0".into(), value };
        let request = table::Request::Transact { checks: Vec::new(), writes: vec![write] };
        self.table.handle(&request);
        self.deliver(owner, Message::ShardAcquired { shard: shard(), epoch });
    }

    /// Pauses or resumes an owner. Its calls stay in flight; it receives the answers when it resumes.
    pub fn set_running(&mut self, owner: usize, running: bool) {
        self.owners[owner].running = running;
    }

    /// Stops an owner for good and drops everything that it has in flight.
    pub fn kill(&mut self, owner: usize) {
        let owner = &mut self.owners[owner];
        owner.running = false;
        owner.inbox.clear();
        owner.syncs.clear();
        owner.writes.clear();
    }

    /// Applies the fault to the next `times` calls of this kind to the worker.
    pub fn fault(&mut self, worker: &str, kind: CallKind, fault: Fault, times: usize) {
        self.faults.push((worker.into(), kind, fault, times));
    }

    /// Writes the record as admission does, and notifies the owner.
    pub fn admit(&mut self, specification: Specification) -> WorkId {
        let work = self.write_record(specification, State::Admitted);
        for owner in 0..self.owners.len() {
            let message =
                Message::WorkAdmitted { record: None, shard: shard(), work: work.clone() };
            self.deliver(owner, message);
        }
        work
    }

    /// Writes a record without a notification.
    pub fn write_record(&mut self, specification: Specification, state: State) -> WorkId {
        let work = specification.work_id();
        let record = Record {
            specification,
            shard: shard(),
            state,
            admitted_unix_ms: 0,
            attempt: 0,
            moved_unix_ms: 0,
            losses: Vec::new(),
            submitter: String::new(),
        };
        let value = Some(serde_json::to_string(&record).unwrap());
        let registration =
            table::Write { key: work::registration_key(&work), value: Some("{}".into()) };
        let writes =
            vec![table::Write { key: work::row_key(&shard(), &work), value }, registration];
        self.table.handle(&table::Request::Transact { checks: Vec::new(), writes });
        work
    }

    pub fn record(&self, work: &WorkId) -> Option<Record> {
        let row = self.table.row(&work::row_key(&shard(), work))?;
        serde_json::from_str(&row.value).ok()
    }

    pub fn outcome(&self, work: &WorkId) -> Option<Outcome> {
        match self.record(work)?.state {
            State::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Sends a request of team `red` to the owner.
    pub fn ask(&mut self, owner: usize, request: ClientRequest) {
        let identity = Identity { key: "k".into(), right: Right::Team("red".into()) };
        let origin = Origin::Client(1);
        self.deliver(owner, Message::AuthenticatedRequest { origin, identity, request });
    }

    pub fn status(&mut self, owner: usize, work: &WorkId) -> Status {
        self.ask(owner, ClientRequest::Status(work.clone()));
        match self.answers.pop() {
            Some(Ok(ClientReply::Status(status))) => status,
            other => panic!("no status: {other:?}"),
        }
    }

    pub fn phase(&mut self, owner: usize, work: &WorkId) -> Option<work::Phase> {
        self.status(owner, work).tasks.first().map(|task| task.phase)
    }

    pub fn node(&mut self, worker: &str) -> &mut Node {
        self.nodes.get_mut(worker).unwrap()
    }

    /// Workers that run a task of the work.
    pub fn running_workers(&self, work: &WorkId) -> Vec<WorkerId> {
        let running = self.nodes.iter().flat_map(|(name, node)| {
            node.worker.running().into_iter().map(move |task| (name, task))
        });
        running.filter(|(_, task)| task.work == *work).map(|(name, _)| name.clone()).collect()
    }

    /// Number of accepted starts of the work on all workers.
    pub fn starts(&self, work: &WorkId) -> usize {
        let starts = self.nodes.values().flat_map(|node| &node.worker.starts);
        starts.filter(|(task, _)| task.work == *work).count()
    }

    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + Duration::from_millis(milliseconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds, at most `limit` of virtual time.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&SchedulerHarness) -> bool) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(self.now < end, "the condition does not hold after {limit:?}");
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.nodes.values_mut().for_each(|node| node.worker.advance(now));
        self.renew();
        for owner in 0..self.owners.len() {
            self.answer_syncs(owner);
            self.commit(owner);
            if self.owners[owner].running {
                let inbox = std::mem::take(&mut self.owners[owner].inbox);
                let (due, later) = inbox.into_iter().partition(|(due, _)| *due <= now);
                self.owners[owner].inbox = later;
                let due: Vec<(Instant, Message)> = due;
                due.into_iter().for_each(|(_, message)| self.deliver(owner, message));
                self.deliver(owner, Message::Tick);
            }
        }
        self.check();
    }

    fn renew(&mut self) {
        for owner in 0..self.owners.len() {
            if self.renews_configuration_lease {
                let until = self.now + self.settings.configuration_lease;
                self.deliver(owner, Message::ConfigurationLease { until });
            }
            if self.renews_ownership_lease && owner == self.leader {
                let until = self.now + self.settings.ownership_lease;
                self.deliver(owner, Message::OwnershipLease { until });
            }
        }
    }

    /// Asserts that no task runs in two places and no worker refused a start for lack of capacity.
    fn check(&self) {
        let mut running = BTreeSet::new();
        for (name, node) in &self.nodes {
            for task in node.worker.running() {
                assert!(running.insert(task.clone()), "{task} runs in two places, one is {name}");
            }
        }
        assert!(!self.refusals.contains(&Refusal::Full), "a worker was overbooked");
    }

    /// Delivers a message to an owner; dropped while the owner is not running.
    pub fn deliver(&mut self, owner: usize, message: Message) {
        if !self.owners[owner].running {
            return;
        }
        if let Message::WorkerResult { call, .. } = &message {
            self.open_commands.remove(call);
        }
        let unix_ms = (self.now - self.origin).as_millis() as u64;
        let next_call = self.owners[owner].next_call;
        let mut context = Context::new(ServiceName::Scheduler, self.now, unix_ms, next_call);
        self.owners[owner].scheduler.handle(&mut context, message);
        self.owners[owner].next_call = context.next_call();
        for (_, message) in context.messages {
            self.handle_message(owner, message);
        }
        for effect in context.effects {
            self.handle_effect(owner, effect);
        }
    }

    fn handle_message(&mut self, owner: usize, message: Message) {
        match message {
            Message::Write(batch) => self.owners[owner].writes.push((self.now + STEP, batch)),
            Message::WorkEnded { work, outcome } => {
                self.ended.push((work, Outcome::clone(&outcome)))
            }
            Message::Answer { result, .. } => self.answers.push(result),
            Message::Drained(_) => self.drained += 1,
            Message::ShardLoads(loads) => self.loads = loads,
            Message::ShardFenced { epoch, .. } => self.fenced.push(epoch),
            Message::ShardReleased { .. } => {
                assert!(self.open_commands.is_empty(), "released with open calls");
                self.released += 1;
            }
            _ => {}
        }
    }

    fn handle_effect(&mut self, owner: usize, effect: Effect) {
        match effect {
            Effect::Table { call, request, timeout } => match self.table_up {
                true => {
                    let result = Ok(self.table.handle(&request));
                    self.post(owner, self.table_delay, Message::TableResult { call, result });
                }
                false => {
                    let result = Err(Failure::Ambiguous);
                    self.post(owner, timeout, Message::TableResult { call, result });
                }
            },
            Effect::Worker { call, worker, request, timeout, .. } => {
                self.handle_call(owner, call, worker, request, timeout)
            }
            Effect::Observe(observation) => self.observations.push(observation),
            _ => {}
        }
    }

    fn handle_call(
        &mut self,
        owner: usize,
        call: CallId,
        worker: WorkerId,
        request: Request,
        timeout: Duration,
    ) {
        let kind = match request {
            Request::Claim { .. } => CallKind::Claim,
            Request::Sync { .. } => CallKind::Sync,
            Request::Start { .. } => CallKind::Start,
            Request::Stop { .. } => CallKind::Stop,
        };
        self.calls += 1;
        self.start_calls += usize::from(kind == CallKind::Start);
        if matches!(kind, CallKind::Start | CallKind::Stop) {
            self.open_commands.insert(call);
        }
        let found = self
            .faults
            .iter_mut()
            .find(|(on, of, _, times)| *on == worker && *of == kind && *times > 0);
        let fault = found.map(|(_, _, fault, times)| {
            *times -= 1;
            *fault
        });
        let fault = if self.nodes[&worker].alive { fault } else { Some(Fault::LostRequest) };
        let waits = matches!(request, Request::Sync { wait, .. } if !wait.is_zero());
        // Whether the call takes effect, when and how it fails, and the delays of its answers.
        let ambiguous = Some((timeout, Failure::Ambiguous));
        let (executed, failure, answers) = match fault {
            Some(Fault::NotSent) => (false, Some((STEP, Failure::NotSent)), vec![]),
            Some(Fault::LostRequest) => (false, ambiguous, vec![]),
            Some(Fault::LostAnswer) => (true, ambiguous, vec![]),
            Some(Fault::LateAnswer) => (true, ambiguous, vec![timeout + STEP * 50]),
            Some(Fault::SlowAnswer) => (true, None, vec![STEP * 10]),
            Some(Fault::DuplicateAnswer) => (true, None, vec![STEP, STEP * 2, STEP * 50]),
            Some(Fault::StrayAnswer) | None => (true, None, vec![STEP]),
        };
        if let Some((delay, failure)) = failure {
            self.post(owner, delay, Message::WorkerResult { call, result: Err(failure) });
        }
        if !executed {
            return;
        }
        let reply = self.execute(&worker, &request);
        if fault.is_none() && waits && matches!(reply, Reply::State(_)) {
            // The worker has renewed the lease; it answers on the next change or when the wait ends.
            let Request::Sync { wait, .. } = request else { return };
            return self.owners[owner].syncs.push((self.now + wait, call, worker, request));
        }
        if fault == Some(Fault::StrayAnswer) {
            let other = call + (7 << 40);
            self.post(
                owner,
                STEP,
                Message::WorkerResult { call: other, result: Ok(reply.clone()) },
            );
        }
        for delay in answers {
            self.post(owner, delay, Message::WorkerResult { call, result: Ok(reply.clone()) });
        }
    }

    fn execute(&mut self, worker: &WorkerId, request: &Request) -> Reply {
        let now = self.now;
        let reply = self.node(worker).worker.handle(now, request);
        if let Reply::Refused(refusal) = &reply {
            self.refusals.push(refusal.clone());
        }
        reply
    }

    fn answer_syncs(&mut self, owner: usize) {
        let now = self.now;
        let syncs = std::mem::take(&mut self.owners[owner].syncs);
        for (due, call, worker, request) in syncs {
            let node = &self.nodes[&worker];
            let changed = node.worker.changes != node.seen;
            match node.alive {
                true if changed || now >= due => {
                    let node = self.node(&worker);
                    node.seen = node.worker.changes;
                    let result = Ok(self.execute(&worker, &request));
                    self.post(owner, STEP, Message::WorkerResult { call, result });
                }
                false if now >= due + self.settings.worker_timeout => {
                    let result = Err(Failure::Ambiguous);
                    self.post(owner, STEP, Message::WorkerResult { call, result });
                }
                _ => self.owners[owner].syncs.push((due, call, worker, request)),
            }
        }
    }

    fn commit(&mut self, owner: usize) {
        let now = self.now;
        let writes = std::mem::take(&mut self.owners[owner].writes);
        for (due, batch) in writes {
            let tag = batch.tag;
            if now < due {
                self.owners[owner].writes.push((due, batch));
                continue;
            }
            let result = match () {
                _ if batch.expires.is_some_and(|expires| now >= expires) => {
                    Err(WriteFailure::Expired)
                }
                _ if !self.table_up => {
                    self.owners[owner].writes.push((due, batch));
                    continue;
                }
                _ => match self.write_faults.pop() {
                    // The transaction takes effect, but its sender does not learn the outcome.
                    Some(WriteFailure::Unknown) => {
                        self.transact(&batch).and(Err(WriteFailure::Unknown))
                    }
                    Some(failure) => Err(failure),
                    None => self.transact(&batch),
                },
            };
            self.post(owner, STEP, Message::WriteResult { tag, result });
        }
    }

    fn transact(&mut self, batch: &Batch) -> Result<(), WriteFailure> {
        self.writes += 1;
        let (checks, writes) = (batch.checks.clone(), batch.writes.clone());
        match self.table.handle(&table::Request::Transact { checks, writes }) {
            table::Reply::Conflict { keys } => Err(WriteFailure::Conflict(keys)),
            _ => Ok(()),
        }
    }

    fn post(&mut self, owner: usize, delay: Duration, message: Message) {
        let due = self.now + delay;
        self.owners[owner].inbox.push((due, message));
    }
}
