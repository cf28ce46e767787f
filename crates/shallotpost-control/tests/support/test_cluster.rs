//! Simulates a cluster of kernels over an in-memory table and simulated workers, in virtual time.
//!
//! Tests switch faults on and off. Every call has a fixed latency; the network is not modelled.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use shallotpost_control::kernel::{Kernel, TICK};
use shallotpost_control::prelude::*;
use shallotpost_protocol::interface::{Call, Reply, Request};
use shallotpost_protocol::work::{Outcome, Specification};
use shallotpost_protocol::{key, table, worker, worker_list};
use shallotpost_standin::table::Table;
use shallotpost_standin::worker::Worker;

use super::service_harness::UNIX_MS;

/// Latency from an effect to the resulting event when nothing fails.
const LATENCY: Duration = Duration::from_millis(1);

/// Delay of a late start: its call has failed and two later snapshots have been answered, but the task lease cannot
/// have lapsed yet.
const LATE_START: Duration = Duration::from_secs(7);

/// Bootstrap key with operator rights; valid until an operator key is configured.
pub const BOOTSTRAP_KEY: &str = "bootstrap.first";

/// Answer to a client.
pub type Answer = Result<Reply, Problem>;

/// Work that the simulation executes at a scheduled time.
enum Scheduled {
    /// An event for a host; dropped if the host has been restarted with another incarnation.
    Event(HostId, u64, Event),
    /// A table call that arrives.
    Table(HostId, u64, CallId, table::Request, Duration),
    /// A worker call that arrives.
    Worker(HostId, u64, CallId, WorkerId, worker::Request, Duration),
    /// A start that arrives after its call timed out. It is dropped if the worker has restarted, since the connections
    /// of a process end with it.
    LateStart(WorkerId, u64, worker::Request),
    /// An open `Sync` and the deadline of its wait.
    Sync(HostId, u64, CallId, WorkerId, worker::Request, Instant),
}

/// An entry host.
struct Node {
    kernel: Kernel,
    settings: Settings,
    alive: bool,
    paused: bool,
    stopped: bool,
}

/// A simulated worker and its entry in the worker list.
struct Machine {
    entry: worker_list::Worker,
    state: Worker,
    silent: bool,
}

/// The simulated cluster.
pub struct TestCluster {
    start: Instant,
    now: Instant,
    due: BTreeMap<(Instant, u64), Scheduled>,
    next_scheduled: u64,
    next_request: RequestId,
    nodes: BTreeMap<HostId, Node>,
    machines: BTreeMap<WorkerId, Machine>,
    answers: HashMap<RequestId, Answer>,
    idempotent: HashMap<WorkId, bool>,
    /// Total number of worker state changes at the last check of the invariants.
    checked_changes: u64,
    /// The durable table that all hosts share.
    pub table: Table,
    /// Whether the table service is down.
    pub table_down: bool,
    /// Number of table answers that get lost after the call took effect.
    pub lose_table_answers: u32,
    /// Number of worker answers to starts that get lost after the call took effect.
    pub lose_start_answers: u32,
    /// Number of starts that are delivered only after their calls have failed.
    pub late_starts: u32,
    /// Pairs that cannot reach each other; each side is a data centre or `platform` (table and worker list).
    pub partitions: BTreeSet<(String, String)>,
    /// Log events of all hosts.
    pub logs: Vec<(HostId, Log)>,
}

impl TestCluster {
    /// Starts one host per `(name, data centre)`.
    pub fn new(hosts: &[(&str, &str)]) -> TestCluster {
        let now = Instant::now();
        let mut cluster = TestCluster {
            start: now,
            now,
            due: BTreeMap::new(),
            next_scheduled: 0,
            next_request: 0,
            nodes: BTreeMap::new(),
            machines: BTreeMap::new(),
            answers: HashMap::new(),
            idempotent: HashMap::new(),
            checked_changes: 0,
            table: Table::default(),
            table_down: false,
            lose_table_answers: 0,
            lose_start_answers: 0,
            late_starts: 0,
            partitions: BTreeSet::new(),
            logs: Vec::new(),
        };
        for (index, (host, data_centre)) in hosts.iter().enumerate() {
            cluster.boot(settings(host, data_centre, index as u64 + 1, hosts));
        }
        cluster
    }

    /// Time since the start of the test.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Adds `count` workers of this capacity to a data centre, two a rack.
    pub fn add_workers(&mut self, data_centre: &str, count: usize, capacity: Size) {
        for index in 0..count {
            let id = format!("{data_centre}-w{index}");
            let entry = worker_list::Worker {
                worker: id.clone(),
                address: id.clone(),
                data_centre: data_centre.to_owned(),
                rack: format!("{data_centre}-r{}", index / 2),
                capacity,
                leaving: false,
            };
            let state = Worker::new(1, capacity);
            self.machines.insert(id, Machine { entry, state, silent: false });
        }
    }

    /// Kills a host.
    pub fn kill(&mut self, host: &str) {
        self.node(host).alive = false;
    }

    /// Starts a killed host again as a new process.
    pub fn restart(&mut self, host: &str) {
        let settings = self.node(host).settings.clone();
        let incarnation = settings.incarnation + 100;
        self.boot(Settings { incarnation, random_seed: incarnation, ..settings });
    }

    /// Pauses a host; its events are delivered after it resumes.
    pub fn pause(&mut self, host: &str) {
        self.node(host).paused = true;
    }

    /// Resumes a paused host.
    pub fn resume(&mut self, host: &str) {
        self.node(host).paused = false;
    }

    /// Asks a host for a graceful shutdown.
    pub fn stop(&mut self, host: &str) {
        self.deliver(host, Event::Stop);
    }

    /// Whether the host has finished its graceful shutdown.
    pub fn stopped(&self, host: &str) -> bool {
        self.nodes[host].stopped
    }

    /// Sets whether a worker leaves calls unanswered; its tasks keep running until the task lease lapses.
    pub fn set_silent(&mut self, worker: &str, silent: bool) {
        self.machine(worker).silent = silent;
    }

    /// State of a worker.
    pub fn worker(&mut self, worker: &str) -> &mut Worker {
        &mut self.machine(worker).state
    }

    /// Marks a worker as leaving in the list.
    pub fn list_leaving(&mut self, worker: &str) {
        self.machine(worker).entry.leaving = true;
    }

    /// Partitions two sides, each a data centre or `platform`; clear `partitions` to heal.
    pub fn partition(&mut self, left: &str, right: &str) {
        self.partitions.insert((left.to_owned(), right.to_owned()));
    }

    /// Sends a request through a host.
    pub fn request(&mut self, host: &str, key: &str, request: Request) -> RequestId {
        self.next_request += 1;
        if let Request::Submit(specification) = &request {
            self.idempotent.insert(specification.work_id(), specification.idempotent);
        }
        let call = Call { key: key.to_owned(), request };
        self.deliver(host, Event::Request { request: self.next_request, call });
        self.next_request
    }

    /// Answer to a request; `None` while it is pending.
    pub fn answer(&self, request: RequestId) -> Option<&Answer> {
        self.answers.get(&request)
    }

    /// Sends a request and runs until it is answered.
    ///
    /// # Panics
    ///
    /// Panics if there is no answer within 70 s.
    pub fn ask(&mut self, host: &str, key: &str, request: Request) -> Answer {
        let id = self.request(host, key, request);
        self.run_until(Duration::from_secs(70), |cluster| cluster.answer(id).is_some());
        self.answer(id)
            .cloned()
            .unwrap_or_else(|| panic!("request {id} was not answered within 70 s"))
    }

    /// Submits work and asserts that it is accepted.
    pub fn submit(&mut self, host: &str, key: &str, specification: Specification) {
        let answer = self.ask(host, key, Request::Submit(specification));
        assert!(matches!(answer, Ok(Reply::Accepted { .. })), "{answer:?}");
    }

    /// Waits for the outcome of work; panics if there is none.
    pub fn outcome(&mut self, host: &str, key: &str, work: &WorkId) -> Outcome {
        let request = Request::Wait { work: work.clone(), wait: Duration::from_secs(60) };
        match self.ask(host, key, request) {
            Ok(Reply::Outcome(outcome)) => outcome,
            other => panic!("{work}: {other:?}"),
        }
    }

    /// Workers on which tasks of the work run now, with the tasks.
    pub fn placements(&self, work: &str) -> Vec<(WorkerId, Task)> {
        let tasks = |machine: &Machine| machine.state.running();
        let running = self.machines.iter().flat_map(|(id, machine)| {
            tasks(machine).into_iter().map(move |task| (id.clone(), task))
        });
        running.filter(|(_, task)| task.work.name == work).collect()
    }

    /// Number of tasks of a team that run now.
    pub fn running(&self, team: &str) -> usize {
        let tasks = self.machines.values().flat_map(|machine| machine.state.running());
        tasks.filter(|task| task.work.team == team).count()
    }

    /// Number of tasks of a team that run now in a data centre.
    pub fn running_in(&self, team: &str, data_centre: &str) -> usize {
        let machines =
            self.machines.values().filter(|machine| machine.entry.data_centre == data_centre);
        let tasks = machines.flat_map(|machine| machine.state.running());
        tasks.filter(|task| task.work.team == team).count()
    }

    /// Number of starts of the work so far, over all workers.
    pub fn starts(&self, work: &str) -> usize {
        let starts = self.machines.values().flat_map(|machine| machine.state.starts.iter());
        starts.filter(|(task, _)| task.work.name == work).count()
    }

    /// Number of starts in a data centre so far.
    pub fn starts_in(&self, data_centre: &str) -> usize {
        let machines =
            self.machines.values().filter(|machine| machine.entry.data_centre == data_centre);
        machines.map(|machine| machine.state.starts.len()).sum()
    }

    /// Runs for this long.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds or the limit is reached; returns whether the condition held.
    ///
    /// Checks the invariants after each tick.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&TestCluster) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !condition(self) {
            self.now += TICK;
            self.run_due();
            for host in self.hosts() {
                self.advance(&host);
            }
            self.check_invariants();
        }
        condition(self)
    }

    fn boot(&mut self, settings: Settings) {
        let host = settings.host.clone();
        let kernel = Kernel::new(&settings, self.now, self.unix_ms());
        let node = Node { kernel, settings, alive: true, paused: false, stopped: false };
        self.nodes.insert(host.clone(), node);
        self.collect(&host);
    }

    fn run_due(&mut self) {
        let mut waiting = Vec::new();
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let due = entry.remove();
            match due {
                Scheduled::Event(host, incarnation, event) if self.nodes[&host].paused => {
                    waiting.push(Scheduled::Event(host, incarnation, event));
                }
                Scheduled::Event(host, incarnation, event)
                    if self.nodes[&host].settings.incarnation == incarnation =>
                {
                    self.deliver(&host, event);
                }
                Scheduled::Event(..) => {}
                Scheduled::Table(host, incarnation, call, request, timeout) => {
                    self.table_call(host, incarnation, call, &request, timeout);
                }
                Scheduled::Worker(host, incarnation, call, worker, request, timeout) => {
                    self.worker_call(host, incarnation, call, worker, request, timeout);
                }
                Scheduled::LateStart(worker, incarnation, request) => {
                    let now = self.now;
                    let machine = self.machine(&worker);
                    if machine.state.incarnation() == incarnation {
                        machine.state.handle(now, &request);
                    }
                }
                Scheduled::Sync(host, incarnation, call, worker, request, until) => {
                    self.sync(host, incarnation, call, worker, request, until);
                }
            }
        }
        for due in waiting {
            self.schedule(TICK, due);
        }
    }

    fn deliver(&mut self, host: &str, event: Event) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let node = self.node(host);
        if node.alive {
            node.kernel.deliver(now, unix_ms, event);
            self.collect(host);
        }
    }

    fn advance(&mut self, host: &str) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let node = self.node(host);
        if node.alive && !node.paused && !node.stopped {
            node.kernel.advance(now, unix_ms);
            self.collect(host);
        }
    }

    fn collect(&mut self, host: &str) {
        let incarnation = self.nodes[host].settings.incarnation;
        let data_centre = self.nodes[host].settings.data_centre.clone();
        for effect in self.node(host).kernel.take_effects() {
            self.execute(host, &data_centre, incarnation, effect);
        }
    }

    fn execute(&mut self, host: &str, data_centre: &str, incarnation: u64, effect: Effect) {
        let owned = host.to_owned();
        match effect {
            Effect::Answer { request, result } => {
                assert!(
                    self.answers.insert(request, result).is_none(),
                    "request {request} was answered twice"
                );
            }
            Effect::Table { call, timeout, .. } if self.is_partitioned(data_centre, "platform") => {
                let event = Event::Table { call, result: Err(Failure::Ambiguous) };
                self.schedule(timeout, Scheduled::Event(owned, incarnation, event));
            }
            Effect::Table { call, request, timeout } => {
                self.schedule(
                    LATENCY,
                    Scheduled::Table(owned, incarnation, call, request, timeout),
                );
            }
            Effect::WorkerList { call, timeout }
                if self.is_partitioned(data_centre, "platform") =>
            {
                let event = Event::WorkerList { call, result: Err(Failure::Ambiguous) };
                self.schedule(timeout, Scheduled::Event(owned, incarnation, event));
            }
            Effect::WorkerList { call, .. } => {
                let entries = self.machines.values().map(|machine| machine.entry.clone()).collect();
                let event = Event::WorkerList { call, result: Ok(entries) };
                self.schedule(LATENCY, Scheduled::Event(owned, incarnation, event));
            }
            Effect::Worker { call, worker, request, timeout, .. } => {
                self.schedule(
                    LATENCY,
                    Scheduled::Worker(owned, incarnation, call, worker, request, timeout),
                );
            }
            Effect::Peer { to, frame, .. } => self.send(host, data_centre, to, frame),
            Effect::Log(log) => self.logs.push((owned, log)),
            Effect::Observe(_) => {}
            Effect::Stopped => self.node(host).stopped = true,
        }
    }

    fn send(
        &mut self,
        from: &str,
        data_centre: &str,
        to: HostId,
        frame: shallotpost_protocol::wire::Frame,
    ) {
        let Some(node) = self.nodes.get(&to) else { return };
        let (incarnation, other) = (node.settings.incarnation, node.settings.data_centre.clone());
        if node.alive
            && !node.stopped
            && (data_centre == other || !self.is_partitioned(data_centre, &other))
        {
            let event = Event::Peer { from: from.to_owned(), frame };
            self.schedule(LATENCY, Scheduled::Event(to, incarnation, event));
        }
    }

    fn table_call(
        &mut self,
        host: HostId,
        incarnation: u64,
        call: CallId,
        request: &table::Request,
        timeout: Duration,
    ) {
        let transaction = matches!(request, table::Request::Transact { .. });
        let failed = Event::Table { call, result: Err(Failure::Ambiguous) };
        if self.table_down {
            return self.schedule(timeout, Scheduled::Event(host, incarnation, failed));
        }
        let reply = self.table.handle(request);
        if transaction && self.lose_table_answers > 0 {
            self.lose_table_answers -= 1;
            return self.schedule(timeout, Scheduled::Event(host, incarnation, failed));
        }
        let event = Event::Table { call, result: Ok(reply) };
        self.schedule(LATENCY, Scheduled::Event(host, incarnation, event));
    }

    fn worker_call(
        &mut self,
        host: HostId,
        incarnation: u64,
        call: CallId,
        worker: WorkerId,
        request: worker::Request,
        timeout: Duration,
    ) {
        let now = self.now;
        let failed = Event::Worker { call, result: Err(Failure::Ambiguous) };
        let Some(machine) = self.machines.get_mut(&worker).filter(|machine| !machine.silent) else {
            return self.schedule(timeout, Scheduled::Event(host, incarnation, failed));
        };
        if let worker::Request::Sync { wait, .. } = &request {
            let until = now + *wait;
            if let Some(refusal) = machine.state.renew(now, &request) {
                return self.answer_worker(
                    host,
                    incarnation,
                    call,
                    worker::Reply::Refused(refusal),
                );
            }
            return self.schedule(
                Duration::ZERO,
                Scheduled::Sync(host, incarnation, call, worker, request, until),
            );
        }
        let start = matches!(request, worker::Request::Start { .. });
        if start && self.late_starts > 0 {
            self.late_starts -= 1;
            let process = machine.state.incarnation();
            self.schedule(LATE_START, Scheduled::LateStart(worker, process, request));
            return self.schedule(timeout, Scheduled::Event(host, incarnation, failed));
        }
        let reply = machine.state.handle(now, &request);
        match start && self.lose_start_answers > 0 {
            true => {
                self.lose_start_answers -= 1;
                self.schedule(timeout, Scheduled::Event(host, incarnation, failed));
            }
            false => self.answer_worker(host, incarnation, call, reply),
        }
    }

    fn sync(
        &mut self,
        host: HostId,
        incarnation: u64,
        call: CallId,
        worker: WorkerId,
        request: worker::Request,
        until: Instant,
    ) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&worker) else { return };
        machine.state.advance(now);
        if machine.silent {
            let failed = Event::Worker { call, result: Err(Failure::Ambiguous) };
            return self
                .schedule(Duration::from_secs(2), Scheduled::Event(host, incarnation, failed));
        }
        if !machine.state.has_unreported_change() && now < until {
            return self
                .schedule(TICK, Scheduled::Sync(host, incarnation, call, worker, request, until));
        }
        let worker::Request::Sync { epoch, .. } = request else { return };
        let reply = machine.state.report(now, epoch);
        self.answer_worker(host, incarnation, call, reply);
    }

    fn answer_worker(
        &mut self,
        host: HostId,
        incarnation: u64,
        call: CallId,
        reply: worker::Reply,
    ) {
        let event = Event::Worker { call, result: Ok(reply) };
        self.schedule(LATENCY, Scheduled::Event(host, incarnation, event));
    }

    /// Checks the invariants; skipped while no worker state has changed, since the result would be the same.
    fn check_invariants(&mut self) {
        self.machines.values_mut().for_each(|machine| machine.state.advance(self.now));
        let changes = self.machines.values().map(|machine| machine.state.changes).sum();
        if std::mem::replace(&mut self.checked_changes, changes) == changes {
            return;
        }
        let mut places: BTreeMap<Task, WorkerId> = BTreeMap::new();
        for (id, machine) in &self.machines {
            let (booked, capacity) = (machine.state.booked(), machine.state.capacity());
            assert!(
                booked.fits_in(&capacity),
                "worker {id} is overcommitted: {booked:?} of {capacity:?}"
            );
            for task in machine.state.running() {
                if let Some(other) = places.insert(task.clone(), id.clone()) {
                    panic!(
                        "at {:?} task {task} runs on {other} and on {id}",
                        self.now - self.start
                    );
                }
            }
        }
        for (work, _) in self.idempotent.iter().filter(|(_, idempotent)| !**idempotent) {
            let starts = self.starts(&work.name);
            assert!(starts <= 1, "the non-idempotent work {work} was started {starts} times");
        }
    }

    fn schedule(&mut self, delay: Duration, due: Scheduled) {
        self.next_scheduled += 1;
        self.due.insert((self.now + delay, self.next_scheduled), due);
    }

    fn is_partitioned(&self, left: &str, right: &str) -> bool {
        self.partitions
            .iter()
            .any(|(one, other)| (one == left && other == right) || (one == right && other == left))
    }

    fn hosts(&self) -> Vec<HostId> {
        self.nodes.keys().cloned().collect()
    }

    fn node(&mut self, host: &str) -> &mut Node {
        self.nodes.get_mut(host).unwrap_or_else(|| panic!("no host {host}"))
    }

    fn machine(&mut self, worker: &str) -> &mut Machine {
        self.machines.get_mut(worker).unwrap_or_else(|| panic!("no worker {worker}"))
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + u64::try_from(self.elapsed().as_millis()).unwrap_or(0)
    }
}

fn settings(host: &str, data_centre: &str, incarnation: u64, hosts: &[(&str, &str)]) -> Settings {
    let others = hosts.iter().filter(|(other, _)| *other != host);
    let seeds = others.map(|(host, data_centre)| shallotpost_control::settings::Seed {
        host: (*host).to_owned(),
        data_centre: (*data_centre).to_owned(),
        peer_address: (*host).to_owned(),
    });
    Settings {
        incarnation,
        random_seed: incarnation,
        peer_address: host.to_owned(),
        seeds: seeds.collect(),
        bootstrap_digest: Some(key::digest(b"first")),
        ..Settings::new(host, data_centre)
    }
}
