//! Simulation of a fleet in virtual time: entry hosts, workers, a store, and faults between them.
#![allow(dead_code)]

pub mod day;
pub mod restarts;
pub mod store;
pub mod twice;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use shallotpost_fleet::configuration::{Approval, Configuration, Pool, Queue, QueuePolicy, Team};
use shallotpost_fleet::host::{Freshness, Host, Settings};
use shallotpost_fleet::job::{Job, JobId, StageId, Step, TaskId};
use shallotpost_fleet::message::Message;
use shallotpost_fleet::port::{
    Action, Answer, ApprovalError, Connection, Content, Input, Output, Request, RequestId,
    StoreError, StoreRequest, Table, Ticket,
};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::scheduler::Bounds;
use shallotpost_fleet::worker::{Call, Error, Registration};
use shallotpost_protocol::size::Size;

use store::Store;
use worker::Worker;

/// Network latency between any two processes, one way.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Time for which a crashed worker is away.
const CRASH_TIME: Duration = Duration::from_secs(3);

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time after which a call to a worker that does not answer times out.
const UNANSWERED_AFTER: Duration = Duration::from_millis(700);

/// Virtual time of day at the start, in milliseconds since the Unix epoch.
pub const UNIX_MS: u64 = 1_700_000_000_000;

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

enum Event {
    Tick(String),
    Input(String, Input),
    /// An input that has waited in the queue of its host.
    LaggedInput(String, Input),
    Store {
        host: String,
        call: u64,
        request: StoreRequest,
        connection: Connection,
    },
    /// A host closes its idle connections to the store, as a call on one of them was not answered.
    ClosePool(String),
    Worker {
        host: String,
        call: u64,
        worker: String,
        fence: u64,
        request: Call,
    },
    WorkerWait {
        host: String,
        call: u64,
        worker: String,
        until: Duration,
        /// Start of the process that has executed the call.
        life: u64,
    },
    /// A call that its worker executes without an answer, as it has been on its way for long.
    LateCall {
        worker: String,
        fence: u64,
        request: Call,
    },
    /// A worker that is cut off while it restarts is back.
    NewLife {
        worker: String,
        clock_base_ms: u64,
    },
    Register(String),
    /// A call that has reached a worker which hangs, and whether its caller has given up.
    HeldCall(HeldCall),
    /// A feed that waits for a change.
    FeedWait {
        host: String,
        call: u64,
        request: StoreRequest,
        until: Duration,
    },
    Crash(String),
    Restart(String),
}

/// Kind of a call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    Start,
    Stop,
    Renewal,
    Throttle,
}

impl CallKind {
    fn of(request: &Call) -> CallKind {
        match request {
            Call::Start { .. } => CallKind::Start,
            Call::Stop { .. } => CallKind::Stop,
            Call::RenewLease { .. } => CallKind::Renewal,
            Call::Throttle { .. } => CallKind::Throttle,
        }
    }
}

/// Calls that are not answered, and are executed late by the life of the worker that is there then.
#[derive(Clone, Debug)]
pub struct LateCalls {
    pub worker: String,
    pub kind: CallKind,
    /// Number of calls that are still to be delayed.
    pub count: usize,
    /// Time from the call to its execution.
    pub delay: Duration,
}

/// Restart of a worker under its identifier.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewLife {
    /// Time for which the worker is dark. Calls that arrive meanwhile are executed by the new life. If it is zero, the
    /// process restarts at once and its connections are closed.
    pub dark: Duration,
    /// The clock of the new life at its start, in milliseconds.
    pub clock_base_ms: u64,
    /// Time from the start of the new life to its registration; `None` if it does not register.
    pub registered_after: Option<Duration>,
}

struct HeldCall {
    host: String,
    call: u64,
    worker: String,
    fence: u64,
    request: Call,
    deadline: Duration,
    given_up: bool,
}

/// A simulated fleet. Time passes only in [`Simulation::run`] and [`Simulation::run_until`].
pub struct Simulation {
    pub now: Duration,
    pub store: Store,
    pub workers: BTreeMap<String, Worker>,
    pub hosts: BTreeMap<String, Host>,
    pub answers: BTreeMap<RequestId, Answer>,
    /// Log lines: time, host, and event with its fields.
    pub logs: Vec<(Duration, String, String)>,
    /// Pairs that cannot reach each other: two hosts, or a host and a worker, `store` or `approver`.
    pub partitions: BTreeSet<(String, String)>,
    /// Additional time that the store takes to answer.
    pub store_delay: Duration,
    /// Additional time for transactions, beyond `store_delay`.
    pub transaction_delay: Duration,
    /// Additional time for reads of single tables, beyond `store_delay`.
    pub read_delays: BTreeMap<Table, Duration>,
    /// Whether the store accepts calls but neither executes nor answers them.
    pub store_silent: bool,
    /// Additional time after which these hosts handle the store's answers, direct or relayed.
    pub store_lags: BTreeMap<String, Duration>,
    /// Time for which the inputs of these hosts wait, except those of their timers: the hosts are short of processor time.
    pub input_lags: BTreeMap<String, Duration>,
    /// Hosts whose calls to the store get no answer.
    pub silent_stores: BTreeSet<String>,
    /// Hosts whose idle connections to the store are silent for good, until they are closed.
    silent_pools: BTreeSet<String>,
    /// Whether feeds wait for a change, as the request allows, instead of returning at once.
    pub feeds_wait: bool,
    /// Paused hosts, with the inputs that wait for them.
    pub paused_hosts: BTreeMap<String, Vec<Input>>,
    /// Workers that execute and answer their calls only when they resume.
    pub hanging_workers: BTreeSet<String>,
    /// Workers that are gone and whose callers get no answer.
    pub dead_workers: BTreeSet<String>,
    /// Pools and data centres of workers, if they are not `intake` and `kochi`.
    pub sites: BTreeMap<String, (String, String)>,
    /// Minimum time until draining workers leave, as their registrations tell.
    pub drain_remaining: BTreeMap<String, Duration>,
    /// Number in 100 of the pairs of a stage and a worker that are approved.
    pub approval_percent: u64,
    /// Times at which calls of hosts end as unanswered.
    deadlines: BTreeMap<(String, u64), Duration>,
    /// Number of the next workers' answers to lose.
    pub lost_answers: usize,
    pub late_calls: Vec<LateCalls>,
    /// Workers to which existing connections are silent, until a call on a new one is made.
    pub silent_workers: BTreeSet<String>,
    /// Difference of the hosts' time of day from the true one, in milliseconds.
    pub clock_offsets: BTreeMap<String, i64>,
    /// Processor capacity of hosts that are started from now on, in thousandths of a core; 250 for hosts not listed.
    pub processors: BTreeMap<String, u64>,
    /// Tasks that crash each worker shortly after it has started them.
    pub deadly_tasks: BTreeSet<TaskId>,
    /// Time from the start of a deadly task to the crash.
    pub crash_delay: Duration,
    /// Whether deadly tasks crash their worker before it answers the start.
    pub crashes_before_answer: bool,
    /// Workers that are never approved.
    pub unapproved_workers: BTreeSet<String>,
    /// Whether the approval service handles the calls of a host one after another.
    pub approves_in_turn: bool,
    /// Whether the approval service handles the calls of all hosts one after another. Requires `approves_in_turn`.
    pub shared_approver: bool,
    /// Time that the approval service takes for a call.
    pub approval_time: Duration,
    /// Time at which the approval service has handled the calls of a host.
    approver_busy_until: BTreeMap<String, Duration>,
    /// Times of approval calls, and the number of workers that each names.
    pub approvals: Vec<(Duration, usize)>,
    /// Number of calls to workers that each host has made.
    pub worker_calls: BTreeMap<String, usize>,
    /// Real time that the state machine of each host has taken.
    pub processor_time: BTreeMap<String, Duration>,
    started_at: BTreeMap<String, Duration>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    last_request: RequestId,
    last_incarnation: u64,
}

impl Simulation {
    /// Starts a fleet of these hosts and of `workers` workers with 4 cores each in the pool `intake`, under
    /// [`configuration`].
    pub fn new(hosts: &[&str], workers: usize) -> Simulation {
        let mut sim = Simulation {
            now: Duration::ZERO,
            store: Store::default(),
            workers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            answers: BTreeMap::new(),
            logs: Vec::new(),
            partitions: BTreeSet::new(),
            store_delay: Duration::ZERO,
            transaction_delay: Duration::ZERO,
            read_delays: BTreeMap::new(),
            store_silent: false,
            store_lags: BTreeMap::new(),
            input_lags: BTreeMap::new(),
            silent_stores: BTreeSet::new(),
            silent_pools: BTreeSet::new(),
            feeds_wait: false,
            paused_hosts: BTreeMap::new(),
            hanging_workers: BTreeSet::new(),
            dead_workers: BTreeSet::new(),
            sites: BTreeMap::new(),
            drain_remaining: BTreeMap::new(),
            approval_percent: 100,
            deadlines: BTreeMap::new(),
            lost_answers: 0,
            late_calls: Vec::new(),
            silent_workers: BTreeSet::new(),
            clock_offsets: BTreeMap::new(),
            processors: BTreeMap::new(),
            deadly_tasks: BTreeSet::new(),
            crash_delay: ms(10),
            crashes_before_answer: false,
            unapproved_workers: BTreeSet::new(),
            approves_in_turn: false,
            shared_approver: false,
            approval_time: ms(20),
            approver_busy_until: BTreeMap::new(),
            approvals: Vec::new(),
            worker_calls: BTreeMap::new(),
            processor_time: BTreeMap::new(),
            started_at: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            last_request: 0,
            last_incarnation: 0,
        };
        sim.configure(configuration());
        for number in 0..workers {
            sim.add_worker(&format!("w{number}"), 4000);
        }
        for host in hosts {
            sim.start_host(host);
        }
        sim
    }

    /// Starts a fleet of three hosts, and lets time pass until the owner knows its workers.
    pub fn settled(workers: usize) -> Simulation {
        let mut sim = Simulation::new(&["a", "b", "c"], workers);
        sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
        sim.run(ms(1500));
        sim
    }

    /// Submits a job whose tasks take the given time on every present worker.
    pub fn submit_lasting(&mut self, queue: &str, id: JobId, steps: Vec<Step>, time: Duration) {
        for worker in self.workers.values_mut() {
            worker.job_durations.insert(id, time);
        }
        self.submit("a", queue, id, steps);
    }

    /// Returns the workers on which tasks of a job run.
    pub fn workers_of(&self, id: JobId) -> BTreeSet<String> {
        let runs = |worker: &Worker| worker.running().any(|task| task.stage.job == id);
        let workers = self.workers.iter().filter(|(_, worker)| runs(worker));
        workers.map(|(name, _)| name.clone()).collect()
    }

    /// Lets time pass until this number of a job's tasks runs and the owner knows it.
    pub fn wait_for_start(&mut self, id: JobId, tasks: usize) {
        self.run_until(Duration::from_secs(20), "a start", |sim| {
            let running = sim.workers.values().flat_map(|worker| worker.running());
            running.filter(|task| task.stage.job == id).count() == tasks
        });
        self.run(ms(5));
    }

    /// Makes a job's tasks suspects: their workers crash by themselves right after the start.
    pub fn crash_after_start(&mut self, id: JobId, tasks: usize) {
        self.wait_for_start(id, tasks);
        for worker in self.workers_of(id) {
            self.crash(&worker);
        }
    }

    pub fn configure(&mut self, configuration: Configuration) {
        let content = Content::Configuration(Box::new(configuration));
        self.store.put(Table::Operator, "config", content);
    }

    pub fn add_worker(&mut self, name: &str, processors_milli: u64) {
        let worker = Worker::new(self.now, processors_milli);
        self.workers.insert(name.to_owned(), worker);
        self.register(name, false);
    }

    /// Writes a worker's registration to the store.
    pub fn register(&mut self, name: &str, draining: bool) {
        let worker = &self.workers[name];
        let site = self.sites.get(name).cloned();
        let (pool, data_centre) = site.unwrap_or(("intake".to_owned(), "kochi".to_owned()));
        let registration = Registration {
            pool,
            address: format!("{name}:1"),
            data_centre,
            draining,
            capacity: worker.capacity,
            labels: vec!["a".to_owned(), "r1".to_owned()],
            started_unix_ms: worker.started_unix_ms,
            drain_remaining: self.drain_remaining.get(name).copied().filter(|_| draining),
        };
        self.store.put(Table::Workers, name, Content::Worker(Box::new(registration)));
    }

    /// Deletes a worker's registration from the store.
    pub fn unregister(&mut self, name: &str) {
        self.store.delete(Table::Workers, name);
    }

    /// Starts the process of a host, with a new incarnation.
    pub fn start_host(&mut self, name: &str) {
        self.last_incarnation += 1;
        let settings = Settings {
            host: name.to_owned(),
            data_centre: "kochi".to_owned(),
            address: format!("{name}:1"),
            processors_milli: self.processors.get(name).copied().unwrap_or(250),
            incarnation: self.last_incarnation,
            bounds: Bounds {
                lease_max: ms(6000),
                hold_max: ms(10_000),
                stop_timeout: ms(200),
                retention: Duration::from_secs(120),
            },
            freshness: Freshness::default(),
        };
        self.hosts.insert(name.to_owned(), Host::new(settings));
        self.started_at.insert(name.to_owned(), self.now);
        self.push(self.now, Event::Tick(name.to_owned()));
    }

    /// Kills the process of a host.
    pub fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
        self.started_at.remove(name);
        self.paused_hosts.remove(name);
    }

    /// Pauses the process of a host. Its inputs wait in order.
    pub fn pause_host(&mut self, name: &str) {
        if self.hosts.contains_key(name) {
            self.paused_hosts.entry(name.to_owned()).or_default();
        }
    }

    /// Resumes the process of a host. `tick_first` tells whether it handles its timer before its waiting inputs, and
    /// `expire_calls` whether calls that have timed out meanwhile end as unanswered although their answers have arrived.
    pub fn resume_host(&mut self, name: &str, tick_first: bool, expire_calls: bool) {
        let Some(inputs) = self.paused_hosts.remove(name) else { return };
        if tick_first {
            self.deliver(name, Input::Tick);
        }
        for input in inputs {
            let expired = |call: &u64| {
                let deadline = self.deadlines.get(&(name.to_owned(), *call));
                expire_calls && deadline.is_some_and(|deadline| *deadline < self.now)
            };
            let input = match input {
                Input::Worker { call, .. } if expired(&call) => {
                    Input::Worker { call, result: Err(Error::Unanswered) }
                }
                Input::Store { call, .. } if expired(&call) => {
                    Input::Store { call, result: Err(StoreError::Unanswered) }
                }
                input => input,
            };
            self.deliver(name, input);
        }
    }

    /// Ends a worker's process for good. Calls to it are refused, or get no answer if `silent` is set.
    pub fn kill_worker(&mut self, name: &str, silent: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.crash();
        }
        if silent {
            self.dead_workers.insert(name.to_owned());
        }
    }

    /// Makes the existing connections of a host to the store silent for good: calls in flight are lost, and so are those on
    /// the idle connections until the host closes them.
    pub fn silence_connections(&mut self, name: &str) {
        let of_host = |event: &Event| match event {
            Event::Store { host, call, .. } | Event::FeedWait { host, call, .. }
                if host == name =>
            {
                Some(*call)
            }
            _ => None,
        };
        let lost: Vec<_> =
            self.events.iter().filter_map(|(key, event)| Some((*key, of_host(event)?))).collect();
        for (key, call) in lost {
            self.events.remove(&key);
            self.lose_store_call(name.to_owned(), call);
        }
        self.silent_pools.insert(name.to_owned());
    }

    /// Ends a call to the store as unanswered when its caller gives up.
    fn lose_store_call(&mut self, host: String, call: u64) {
        let deadline = self.deadlines.get(&(host.clone(), call)).copied().unwrap_or(self.now);
        self.push(deadline, Event::ClosePool(host.clone()));
        let input = Input::Store { call, result: Err(StoreError::Unanswered) };
        self.push(deadline, Event::Input(host, input));
    }

    /// Breaks or restores the path between two parties, named as in `partitions`.
    pub fn set_partitioned(&mut self, left: &str, right: &str, partitioned: bool) {
        let pair = (left.to_owned(), right.to_owned());
        if partitioned {
            self.partitions.insert(pair);
        } else {
            self.partitions.remove(&pair);
        }
    }

    fn is_partitioned(&self, left: &str, right: &str) -> bool {
        let pair = |a: &str, b: &str| self.partitions.contains(&(a.to_owned(), b.to_owned()));
        pair(left, right) || pair(right, left)
    }

    /// Returns a host that considers itself the owner. There may be several for a moment.
    pub fn owner(&self) -> Option<String> {
        let mut owners = self.hosts.iter().filter(|(_, host)| host.is_owner());
        owners.next().map(|(name, _)| name.clone())
    }

    /// Returns whether a host takes itself for the owner.
    pub fn owns(&self, name: &str) -> bool {
        self.hosts.get(name).is_some_and(Host::is_owner)
    }

    /// Sends a request to a host and returns its number, under which the answer appears in `answers`.
    pub fn request(
        &mut self,
        host: &str,
        path: &str,
        key: Option<&str>,
        action: Action,
    ) -> RequestId {
        self.last_request += 1;
        let request = self.last_request;
        let body = Request {
            host: "fleet.example".to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            action,
            timeout: Duration::from_secs(3),
        };
        self.push(self.now, Event::Input(host.to_owned(), Input::Request { request, body }));
        request
    }

    /// Submits a job as team `a` and returns the number of the request.
    pub fn submit(&mut self, host: &str, queue: &str, id: JobId, steps: Vec<Step>) -> RequestId {
        let job = job(steps);
        let path = format!("/{queue}/{id:016x}");
        self.request(host, &path, Some("key-a"), Action::Submit(Ok(Box::new(job))))
    }

    /// Sends a message to a host as one of its peers.
    pub fn send_message(&mut self, host: &str, from: &str, message: Message) {
        let input = Input::Peer { from: from.to_owned(), message };
        self.push(self.now, Event::Input(host.to_owned(), input));
    }

    /// Reads the state of a job through a host, which takes 1.5 s of virtual time.
    pub fn state(&mut self, host: &str, queue: &str, id: JobId) -> Option<State> {
        let path = format!("/{queue}/{id:016x}");
        let request = self.request(host, &path, Some("key-a"), Action::Read);
        self.run(ms(1500));
        match self.answers.get(&request) {
            Some(Answer::State(state)) => Some(*state),
            _ => None,
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.advance(at);
            self.handle(event);
        }
        self.advance(end);
    }

    /// Lets virtual time pass until the condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold within `bound`.
    pub fn run_until(
        &mut self,
        bound: Duration,
        what: &str,
        condition: impl Fn(&Simulation) -> bool,
    ) {
        let end = self.now + bound;
        while !condition(self) {
            assert!(self.now < end, "{what} did not happen within {bound:?}");
            self.run(ms(10));
        }
    }

    fn advance(&mut self, now: Duration) {
        self.now = now;
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                if self.hosts.contains_key(&host) {
                    self.push(self.now + TICK, Event::Tick(host.clone()));
                    self.deliver(&host, Input::Tick);
                }
            }
            Event::Input(host, input) => match self.input_lags.get(&host).copied() {
                Some(lag) => self.push(self.now + lag, Event::LaggedInput(host, input)),
                None => self.deliver(&host, input),
            },
            Event::LaggedInput(host, input) => self.deliver(&host, input),
            Event::Store { host, call, .. }
                if self.store_silent || self.silent_stores.contains(&host) =>
            {
                self.lose_store_call(host, call);
            }
            Event::ClosePool(host) => drop(self.silent_pools.remove(&host)),
            Event::Store { host, call, connection: Connection::Pooled, .. }
                if self.silent_pools.contains(&host) =>
            {
                self.lose_store_call(host, call);
            }
            Event::Store {
                host, call, request: request @ StoreRequest::Feed { wait, .. }, ..
            } if self.feeds_wait => {
                let until = self.now + wait;
                self.push(self.now, Event::FeedWait { host, call, request, until });
            }
            Event::FeedWait { host, call, request, until } => {
                let result = match self.is_partitioned(&host, "store") {
                    true => Err(StoreError::NotExecuted),
                    false => self.store.call(&request),
                };
                let unchanged = result.as_ref().is_ok_and(|answer| answer.rows.is_empty());
                let silent = self.store_silent || self.silent_stores.contains(&host);
                match () {
                    () if silent => self.lose_store_call(host, call),
                    () if unchanged && self.now < until => {
                        let next = self.now + ms(5);
                        self.push(next, Event::FeedWait { host, call, request, until });
                    }
                    () => {
                        let answered = self.now + NETWORK_DELAY + self.store_delay;
                        self.push(answered, Event::Input(host, Input::Store { call, result }));
                    }
                }
            }
            Event::HeldCall(held) => self.hold_call(held),
            Event::Store { host, call, request, .. } => {
                self.silent_pools.remove(&host);
                let result = match self.is_partitioned(&host, "store") {
                    true => Err(StoreError::NotExecuted),
                    false => self.store.call(&request),
                };
                let extra = match &request {
                    StoreRequest::Transact { .. } => self.transaction_delay,
                    StoreRequest::Read { table, .. } => {
                        self.read_delays.get(table).copied().unwrap_or_default()
                    }
                    StoreRequest::Feed { .. } => Duration::ZERO,
                };
                let lag = self.store_lags.get(&host).copied().unwrap_or_default();
                let answered = self.now + NETWORK_DELAY + self.store_delay + extra + lag;
                self.push(answered, Event::Input(host, Input::Store { call, result }));
            }
            Event::Worker { host, call, worker, fence, request } => {
                self.call_worker(host, call, worker, fence, &request);
            }
            Event::Crash(name) => self.crash(&name),
            Event::Restart(name) => {
                let now = self.now;
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.restart(now);
                    self.register(&name, false);
                }
            }
            Event::LateCall { worker, fence, request } => {
                if self.hanging_workers.contains(&worker) {
                    let next = self.now + ms(5);
                    return self.push(next, Event::LateCall { worker, fence, request });
                }
                if let Some(state) = self.workers.get_mut(&worker) {
                    // Nobody waits for the answer.
                    state.executes_late = true;
                    drop(state.call(self.now, fence, &request));
                    state.executes_late = false;
                }
            }
            Event::NewLife { worker, clock_base_ms } => {
                self.hanging_workers.remove(&worker);
                if let Some(state) = self.workers.get_mut(&worker) {
                    state.restart(self.now);
                    state.clock_base_ms = clock_base_ms;
                    state.keeps_connections = true;
                }
            }
            Event::Register(worker) => self.register(&worker, false),
            Event::WorkerWait { host, call, worker, until, life } => {
                let Some(state) = self.workers.get(&worker) else {
                    let input = Input::Worker { call, result: Err(Error::Unreachable) };
                    return self.push(self.now + NETWORK_DELAY, Event::Input(host, input));
                };
                let answer_timeout = until + UNANSWERED_AFTER;
                let stuck =
                    self.hanging_workers.contains(&worker) || self.dead_workers.contains(&worker);
                // The answer was to come from a process that has ended.
                let ended = state.started_unix_ms != life;
                if (stuck || (ended && state.keeps_connections)) && self.now < answer_timeout {
                    let next = self.now + ms(5);
                    return self.push(next, Event::WorkerWait { host, call, worker, until, life });
                }
                if !ended && !state.crashed && !state.has_ended_runs() && self.now < until {
                    let next = self.now + ms(5);
                    return self.push(next, Event::WorkerWait { host, call, worker, until, life });
                }
                let lost = self.lost_answers > 0;
                let hangs = self.hanging_workers.contains(&worker);
                let silent = lost || state.crashed || hangs || ended;
                let result = match self.is_partitioned(&host, &worker) || silent {
                    true => Err(Error::Unanswered),
                    false => Ok(state.report(self.now)),
                };
                self.lost_answers -= usize::from(lost);
                self.push(
                    self.now + NETWORK_DELAY,
                    Event::Input(host, Input::Worker { call, result }),
                );
            }
        }
    }

    /// Crashes a worker's process. It starts again after three seconds, with the same identifier.
    pub fn crash(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.crashed
        {
            worker.crash();
            self.push(self.now + CRASH_TIME, Event::Restart(name.to_owned()));
        }
    }

    /// Restarts a worker's process under its identifier.
    pub fn restart_worker(&mut self, name: &str, life: NewLife) {
        let clock_base_ms = life.clock_base_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.advance(self.now);
        match life.dark {
            Duration::ZERO => {
                worker.restart(self.now);
                worker.clock_base_ms = clock_base_ms;
            }
            dark => {
                worker.crash();
                self.hanging_workers.insert(name.to_owned());
                let worker = name.to_owned();
                self.push(self.now + dark, Event::NewLife { worker, clock_base_ms });
            }
        }
        if let Some(after) = life.registered_after {
            self.push(self.now + life.dark + after, Event::Register(name.to_owned()));
        }
    }

    /// Cuts a worker off from all hosts, or restores the paths.
    pub fn set_cut(&mut self, worker: &str, cut: bool) {
        let hosts: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
        for host in hosts {
            self.set_partitioned(&host, worker, cut);
        }
    }

    /// Returns the delay of a call, if it is to be executed late.
    fn take_delay(&mut self, worker: &str, request: &Call) -> Option<Duration> {
        let kind = CallKind::of(request);
        let late = self
            .late_calls
            .iter_mut()
            .find(|late| late.worker == worker && late.kind == kind && late.count > 0)?;
        late.count -= 1;
        Some(late.delay)
    }

    /// Keeps a call until its worker resumes. The caller gives up after a while, but the worker executes the call.
    fn hold_call(&mut self, mut held: HeldCall) {
        if !self.hanging_workers.contains(&held.worker) {
            let HeldCall { host, call, worker, fence, request, given_up, .. } = held;
            // The caller expects no answer under this number any more.
            let call = if given_up { 0 } else { call };
            return self.call_worker(host, call, worker, fence, &request);
        }
        if !held.given_up && self.now >= held.deadline {
            held.given_up = true;
            let input = Input::Worker { call: held.call, result: Err(Error::Unanswered) };
            self.push(self.now, Event::Input(held.host.clone(), input));
        }
        self.push(self.now + ms(5), Event::HeldCall(held));
    }

    fn call_worker(&mut self, host: String, call: u64, worker: String, fence: u64, request: &Call) {
        let partitioned =
            self.is_partitioned(&host, &worker) || self.dead_workers.contains(&worker);
        let now = self.now;
        if self.hanging_workers.contains(&worker) && !partitioned {
            let (request, deadline) = (request.clone(), now + UNANSWERED_AFTER);
            let held = HeldCall { host, call, worker, fence, request, deadline, given_up: false };
            return self.push(now, Event::HeldCall(held));
        }
        let mut result = match self.workers.get_mut(&worker) {
            None => Err(Error::Unreachable),
            Some(_) if partitioned => Err(Error::Unanswered),
            Some(state) => state.call(now, fence, request),
        };
        if let (Ok(_), Call::Start { task, .. }) = (&result, request)
            && self.deadly_tasks.contains(task)
        {
            if self.crashes_before_answer {
                result = Err(Error::Unanswered);
                self.crash(&worker);
            } else {
                self.push(now + self.crash_delay, Event::Crash(worker.clone()));
            }
        }
        if let (Ok(_), Call::RenewLease { wait, .. }) = (&result, request) {
            let until = now + *wait;
            let life = self.workers.get(&worker).map_or(0, |state| state.started_unix_ms);
            return self.push(now, Event::WorkerWait { host, call, worker, until, life });
        }
        let answered = match result {
            // An unanswered call takes as long as its timeout.
            Err(Error::Unanswered) => now + UNANSWERED_AFTER,
            _ => now + NETWORK_DELAY,
        };
        self.push(answered, Event::Input(host, Input::Worker { call, result }));
    }

    fn deliver(&mut self, name: &str, input: Input) {
        if let Some(inputs) = self.paused_hosts.get_mut(name) {
            // Ticks do not accumulate.
            if !matches!(input, Input::Tick) {
                inputs.push(input);
            }
            return;
        }
        let Some(host) = self.hosts.get_mut(name) else { return };
        let uptime = self.now - self.started_at[name];
        let offset = self.clock_offsets.get(name).copied().unwrap_or_default();
        let unix_ms = UNIX_MS + u64::try_from(self.now.as_millis()).expect("time fits");
        let unix_ms = unix_ms.saturating_add_signed(offset);
        let begun = std::time::Instant::now();
        let outputs = host.handle(uptime, unix_ms, input);
        *self.processor_time.entry(name.to_owned()).or_default() += begun.elapsed();
        for output in outputs {
            self.execute(name, output);
        }
    }

    fn execute(&mut self, from: &str, output: Output) {
        let later = self.now + NETWORK_DELAY;
        let host = from.to_owned();
        match output {
            Output::Answer { request, answer } => drop(self.answers.insert(request, answer)),
            Output::Peer { to, message, .. } => {
                if !self.is_partitioned(from, &to) {
                    let message: Message = message;
                    let lag = match &message {
                        Message::StoreResult { .. } => self.store_lags.get(&to).copied(),
                        _ => None,
                    };
                    let later = later + lag.unwrap_or_default();
                    self.push(later, Event::Input(to, Input::Peer { from: host, message }));
                }
            }
            Output::Store { call, request, connection, timeout } => {
                self.deadlines.insert((host.clone(), call), self.now + timeout);
                self.push(later, Event::Store { host, call, request, connection });
            }
            Output::Worker { call, worker, fence, request, connection, timeout, .. } => {
                self.deadlines.insert((host.clone(), call), self.now + timeout);
                match connection {
                    Connection::Pooled if self.silent_workers.contains(&worker) => {
                        let input = Input::Worker { call, result: Err(Error::Unanswered) };
                        return self.push(self.now + timeout, Event::Input(host, input));
                    }
                    Connection::Pooled => {}
                    Connection::New => drop(self.silent_workers.remove(&worker)),
                }
                *self.worker_calls.entry(host.clone()).or_default() += 1;
                if let Some(delay) = self.take_delay(&worker, &request) {
                    let input = Input::Worker { call, result: Err(Error::Unanswered) };
                    self.push(self.now + timeout, Event::Input(host, input));
                    let late = Event::LateCall { worker, fence, request };
                    return self.push(later + delay, late);
                }
                self.push(later, Event::Worker { host, call, worker, fence, request });
            }
            Output::Approval { call, request, timeout } => {
                self.approvals.push((self.now, request.workers.len()));
                if self.is_partitioned(from, "approver") {
                    let input = Input::Approval { call, result: Err(ApprovalError::Unanswered) };
                    return self.push(later, Event::Input(host, input));
                }
                let tickets = request
                    .workers
                    .into_iter()
                    .filter(|worker| self.is_approved(request.stage, worker))
                    .map(|worker| Ticket { ticket: format!("t-{worker}"), worker })
                    .collect();
                let caller = if self.shared_approver { String::new() } else { host.clone() };
                let begins = match self.approver_busy_until.get(&caller) {
                    Some(busy_until) if self.approves_in_turn => self.now.max(*busy_until),
                    _ => self.now,
                };
                // The service also handles calls whose caller has given up.
                let answered = begins + self.approval_time;
                self.approver_busy_until.insert(caller, answered);
                let (at, result) = match answered > self.now + timeout {
                    true => (self.now + timeout, Err(ApprovalError::Unanswered)),
                    false => (answered, Ok(tickets)),
                };
                self.push(at, Event::Input(host, Input::Approval { call, result }));
            }
            Output::Log(log) => {
                let fields: Vec<String> =
                    log.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
                let text = format!("{} {}", log.event, fields.join(" "));
                self.logs.push((self.now, host, text));
            }
            Output::Ready(_)
            | Output::Limits(_)
            | Output::Count { .. }
            | Output::Time { .. }
            | Output::Stopped => {}
        }
    }

    /// Returns whether the approval service approves a worker for a stage.
    pub fn is_approved(&self, stage: StageId, worker: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (stage, worker).hash(&mut hasher);
        hasher.finish() % 100 < self.approval_percent && !self.unapproved_workers.contains(worker)
    }

    /// Returns whether a job is stored and has not ended, as far as is stored.
    pub fn is_open(&self, job: JobId) -> bool {
        let ended = self.store.progress(job).is_some_and(|progress| progress.state.is_final());
        self.store.has(Table::Jobs, &format!("{job:016x}")) && !ended
    }

    /// Returns how often a task was started, on all workers together.
    pub fn starts(&self, task: TaskId) -> usize {
        self.workers.values().map(|worker| worker.starts_of(task)).sum()
    }

    /// Returns how many starts of a job's tasks there were, on all workers together.
    pub fn starts_of_job(&self, job: JobId) -> usize {
        let of_job = |worker: &Worker| {
            worker.starts.iter().filter(|(_, task, _)| task.stage.job == job).count()
        };
        self.workers.values().map(of_job).sum()
    }

    /// Requests a planned stop of a host.
    pub fn stop_host(&mut self, name: &str) {
        self.push(self.now, Event::Input(name.to_owned(), Input::Stop));
    }

    /// Returns the violations of the rule TWICE so far.
    pub fn twice(&self) -> Vec<String> {
        let workers = self.workers.iter();
        twice::violations(workers.map(|(name, worker)| (name.as_str(), worker.records.as_slice())))
    }

    /// Asserts that no worker is overcommitted and no task runs on two workers.
    ///
    /// # Panics
    ///
    /// Panics if one of them is violated.
    pub fn check_invariants(&self) {
        let mut running = BTreeSet::new();
        for (name, worker) in &self.workers {
            assert!(worker.used().fits_in(&worker.capacity), "{name} is overcommitted");
            for task in worker.running() {
                assert!(running.insert(task), "{task} runs in two places");
            }
        }
    }
}

/// Returns the configuration of a new simulation: the queues `batch`, `approved` and `urgent` with priorities 2, 1 and
/// 0, and the teams `a`, without a quota, and `b`, with a quota of 3 cores.
pub fn configuration() -> Configuration {
    let queue = |name: &str, priority, approval| Queue {
        name: name.to_owned(),
        host: String::new(),
        prefix: format!("/{name}/"),
        allow_anonymous: false,
        policy: QueuePolicy {
            pool: "intake".to_owned(),
            priority,
            attempts_max: 2,
            stretch: 2.0,
            target: ms(500),
            approval,
        },
    };
    let approval = Approval { per_call: ms(20), per_worker: ms(0), validity: ms(2000) };
    Configuration {
        version: 1,
        queues: vec![
            queue("batch", 2, None),
            queue("urgent", 0, None),
            queue("approved", 1, Some(approval)),
        ],
        pools: vec![Pool { name: "intake".to_owned(), spare: false }],
        teams: vec![
            Team {
                name: "a".to_owned(),
                keys: vec!["key-a".to_owned()],
                weight: 1.0,
                cap: Size::ZERO,
            },
            Team {
                name: "b".to_owned(),
                keys: vec!["key-b".to_owned()],
                weight: 1.0,
                cap: Size { processors_milli: 3000, ..Size::ZERO },
            },
        ],
        ..Configuration::default()
    }
}

/// Returns a job as it is decoded from a request, without the fields that the host fills in.
pub fn job(steps: Vec<Step>) -> Job {
    Job {
        queue: String::new(),
        team: None,
        specification: "text".to_owned(),
        steps,
        schedule: None,
        policy: QueuePolicy::default(),
        epoch: 0,
        origin: None,
    }
}

/// Returns a step of `tasks` tasks that need one core each and have an estimate of `milliseconds`.
pub fn step(tasks: u32, milliseconds: u64) -> Step {
    Step {
        tasks,
        size: Size { processors_milli: 1000, ..Size::ZERO },
        estimate: ms(milliseconds),
        ..Step::default()
    }
}

/// Returns the task at a position of the first occurrence of a job.
pub fn task(job: JobId, step: u16, index: u32) -> TaskId {
    StageId { job, occurrence: 0, step }.task(index)
}
