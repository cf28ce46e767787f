//! A fleet in virtual time: whole hosts, one store, workers, and faults between them.
#![allow(dead_code)]

pub mod store;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shallotpost_fleet::configuration::{Approval, Configuration, Pool, Queue, QueuePolicy, Team};
use shallotpost_fleet::host::{Host, Settings};
use shallotpost_fleet::job::{Job, JobId, Step, TaskId};
use shallotpost_fleet::message::Message;
use shallotpost_fleet::port::{
    Action, Answer, ApprovalError, Content, Input, Output, Request, RequestId, StoreError, Table,
    Ticket,
};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::scheduler::Bounds;
use shallotpost_fleet::worker::{Call, Error, Registration};
use shallotpost_protocol::size::Size;

use store::Store;
use worker::Worker;

/// One way between any two processes.
const DELAY: Duration = Duration::from_millis(1);

/// Interval of ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time after which a call to a silent store is given up.
const STORE_PATIENCE: Duration = Duration::from_millis(1200);

/// Start of the virtual time of day.
const UNIX_MS: u64 = 1_700_000_000_000;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

enum Event {
    Tick(String),
    Input(String, Input),
    Store { host: String, call: u64, request: shallotpost_fleet::port::StoreRequest },
    Worker { host: String, call: u64, worker: String, fence: u64, request: Call },
    WorkerWait { host: String, call: u64, worker: String, until: Duration },
}

/// The fleet.
pub struct Site {
    pub now: Duration,
    pub store: Store,
    pub workers: BTreeMap<String, Worker>,
    pub hosts: BTreeMap<String, Host>,
    pub answers: BTreeMap<RequestId, Answer>,
    pub logs: Vec<(Duration, String, String)>,
    /// Pairs of host and worker, host and `store`, host and `approver`, or two hosts, that do not reach each other.
    pub cuts: BTreeSet<(String, String)>,
    /// Time that the store takes for an answer beyond the usual.
    pub store_delay: Duration,
    /// Time that transactions take beyond that.
    pub transaction_delay: Duration,
    /// Whether the store takes calls and answers none; it carries out none either.
    pub store_silent: bool,
    /// Number of answers of workers that are lost next.
    pub lost_answers: usize,
    /// Processors of hosts started from now on, in thousandths of a core; 250 for others.
    pub processors: BTreeMap<String, u64>,
    /// Workers that approve nothing.
    pub disapproved: BTreeSet<String>,
    /// Approval calls, with the number of workers named.
    pub approvals: Vec<(Duration, usize)>,
    /// Processor time that hosts took, in real time.
    pub spent: BTreeMap<String, Duration>,
    started: BTreeMap<String, Duration>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    requests: RequestId,
    incarnations: u64,
}

impl Site {
    /// A fleet with these hosts, `workers` workers of 4 cores in the pool `intake`, and a configuration with the queue
    /// `/batch/` at priority 2 and `/urgent/` at priority 0.
    pub fn new(hosts: &[&str], workers: usize) -> Site {
        let mut site = Site {
            now: Duration::ZERO,
            store: Store::default(),
            workers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            answers: BTreeMap::new(),
            logs: Vec::new(),
            cuts: BTreeSet::new(),
            store_delay: Duration::ZERO,
            transaction_delay: Duration::ZERO,
            store_silent: false,
            lost_answers: 0,
            processors: BTreeMap::new(),
            disapproved: BTreeSet::new(),
            approvals: Vec::new(),
            spent: BTreeMap::new(),
            started: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            requests: 0,
            incarnations: 0,
        };
        site.configure(configuration());
        for number in 0..workers {
            site.add_worker(&format!("w{number}"), 4000);
        }
        for host in hosts {
            site.start_host(host);
        }
        site
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

    /// Writes the registration of a worker.
    pub fn register(&mut self, name: &str, draining: bool) {
        let worker = &self.workers[name];
        let registration = Registration {
            pool: "intake".to_owned(),
            address: format!("{name}:1"),
            data_centre: "kochi".to_owned(),
            draining,
            capacity: worker.capacity,
            labels: vec!["a".to_owned(), "r1".to_owned()],
            started_unix_ms: worker.started_unix_ms,
            drain_remaining: None,
        };
        self.store.put(Table::Workers, name, Content::Worker(Box::new(registration)));
    }

    /// Removes the registration of a worker.
    pub fn unregister(&mut self, name: &str) {
        self.store.delete(Table::Workers, name);
    }

    /// Starts the process of a host, with a new incarnation.
    pub fn start_host(&mut self, name: &str) {
        self.incarnations += 1;
        let settings = Settings {
            host: name.to_owned(),
            data_centre: "kochi".to_owned(),
            address: format!("{name}:1"),
            processors_milli: self.processors.get(name).copied().unwrap_or(250),
            incarnation: self.incarnations,
            bounds: Bounds {
                lease_max: ms(6000),
                stop_timeout: ms(200),
                retention: Duration::from_secs(120),
            },
        };
        self.hosts.insert(name.to_owned(), Host::new(settings));
        self.started.insert(name.to_owned(), self.now);
        self.push(self.now, Event::Tick(name.to_owned()));
    }

    /// Kills the process of a host.
    pub fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
        self.started.remove(name);
    }

    /// Cuts or restores the path between two of hosts, workers and `store`.
    pub fn cut(&mut self, left: &str, right: &str, cut: bool) {
        let pair = (left.to_owned(), right.to_owned());
        if cut {
            self.cuts.insert(pair);
        } else {
            self.cuts.remove(&pair);
        }
    }

    fn is_cut(&self, left: &str, right: &str) -> bool {
        let pair = |a: &str, b: &str| self.cuts.contains(&(a.to_owned(), b.to_owned()));
        pair(left, right) || pair(right, left)
    }

    /// The host that owns the fleet.
    pub fn owner(&self) -> Option<String> {
        let mut owners = self.hosts.iter().filter(|(_, host)| host.is_owner());
        owners.next().map(|(name, _)| name.clone())
    }

    /// Sends a request to a host.
    pub fn request(
        &mut self,
        host: &str,
        path: &str,
        key: Option<&str>,
        action: Action,
    ) -> RequestId {
        self.requests += 1;
        let request = self.requests;
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

    /// Submits a job of steps and returns the number of the request.
    pub fn submit(&mut self, host: &str, queue: &str, id: JobId, steps: Vec<Step>) -> RequestId {
        let job = job(steps);
        let path = format!("/{queue}/{id:016x}");
        self.request(host, &path, Some("key-a"), Action::Submit(Ok(Box::new(job))))
    }

    /// Sends a message to a host as one of its peers.
    pub fn tell(&mut self, host: &str, from: &str, message: Message) {
        let input = Input::Peer { from: from.to_owned(), message };
        self.push(self.now, Event::Input(host.to_owned(), input));
    }

    /// Reads the state of a job through a host.
    pub fn state(&mut self, host: &str, queue: &str, id: JobId) -> Option<State> {
        let path = format!("/{queue}/{id:016x}");
        let request = self.request(host, &path, Some("key-a"), Action::Read);
        self.run(ms(1500));
        match self.answers.get(&request) {
            Some(Answer::State(state)) => Some(*state),
            _ => None,
        }
    }

    /// Runs for some time.
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

    /// Runs until the condition holds; panics after `bound`.
    pub fn run_until(&mut self, bound: Duration, what: &str, condition: impl Fn(&Site) -> bool) {
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
            Event::Input(host, input) => self.deliver(&host, input),
            Event::Store { host, call, .. } if self.store_silent => {
                let input = Input::Store { call, result: Err(StoreError::Unanswered) };
                self.push(self.now + STORE_PATIENCE, Event::Input(host, input));
            }
            Event::Store { host, call, request } => {
                let result = match self.is_cut(&host, "store") {
                    true => Err(StoreError::NotExecuted),
                    false => self.store.call(&request),
                };
                let transacts =
                    matches!(request, shallotpost_fleet::port::StoreRequest::Transact { .. });
                let extra = if transacts { self.transaction_delay } else { Duration::ZERO };
                let answered = self.now + DELAY + self.store_delay + extra;
                self.push(answered, Event::Input(host, Input::Store { call, result }));
            }
            Event::Worker { host, call, worker, fence, request } => {
                self.call_worker(host, call, worker, fence, &request);
            }
            Event::WorkerWait { host, call, worker, until } => {
                let Some(state) = self.workers.get(&worker) else {
                    let input = Input::Worker { call, result: Err(Error::Unreachable) };
                    return self.push(self.now + DELAY, Event::Input(host, input));
                };
                if !state.has_news() && self.now < until {
                    let next = self.now + ms(5);
                    return self.push(next, Event::WorkerWait { host, call, worker, until });
                }
                let lost = self.lost_answers > 0;
                let result = match self.is_cut(&host, &worker) || lost {
                    true => Err(Error::Unanswered),
                    false => Ok(state.report(self.now)),
                };
                self.lost_answers -= usize::from(lost);
                self.push(self.now + DELAY, Event::Input(host, Input::Worker { call, result }));
            }
        }
    }

    fn call_worker(&mut self, host: String, call: u64, worker: String, fence: u64, request: &Call) {
        let cut = self.is_cut(&host, &worker);
        let now = self.now;
        let result = match self.workers.get_mut(&worker) {
            None => Err(Error::Unreachable),
            Some(_) if cut => Err(Error::Unanswered),
            Some(state) => state.call(now, fence, request),
        };
        if let (Ok(_), Call::RenewLease { wait, .. }) = (&result, request) {
            let until = now + *wait;
            return self.push(now, Event::WorkerWait { host, call, worker, until });
        }
        let answered = match result {
            // A call without an answer takes as long as its timeout.
            Err(Error::Unanswered) => now + ms(700),
            _ => now + DELAY,
        };
        self.push(answered, Event::Input(host, Input::Worker { call, result }));
    }

    fn deliver(&mut self, name: &str, input: Input) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let uptime = self.now - self.started[name];
        let unix_ms = UNIX_MS + u64::try_from(self.now.as_millis()).expect("time fits");
        let begun = std::time::Instant::now();
        let outputs = host.handle(uptime, unix_ms, input);
        *self.spent.entry(name.to_owned()).or_default() += begun.elapsed();
        for output in outputs {
            self.execute(name, output);
        }
    }

    fn execute(&mut self, from: &str, output: Output) {
        let later = self.now + DELAY;
        let host = from.to_owned();
        match output {
            Output::Answer { request, answer } => drop(self.answers.insert(request, answer)),
            Output::Peer { to, message, .. } => {
                if !self.is_cut(from, &to) {
                    let message: Message = message;
                    self.push(later, Event::Input(to, Input::Peer { from: host, message }));
                }
            }
            Output::Store { call, request, .. } => {
                self.push(later, Event::Store { host, call, request });
            }
            Output::Worker { call, worker, fence, request, .. } => {
                self.push(later, Event::Worker { host, call, worker, fence, request });
            }
            Output::Approval { call, request, .. } => {
                self.approvals.push((self.now, request.workers.len()));
                if self.is_cut(from, "approver") {
                    let input = Input::Approval { call, result: Err(ApprovalError::Unanswered) };
                    return self.push(later, Event::Input(host, input));
                }
                let tickets = request
                    .workers
                    .into_iter()
                    .filter(|worker| !self.disapproved.contains(worker))
                    .map(|worker| Ticket { ticket: format!("t-{worker}"), worker })
                    .collect();
                let input = Input::Approval { call, result: Ok(tickets) };
                self.push(self.now + ms(20), Event::Input(host, input));
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

    /// Number of starts of a task over all workers.
    pub fn starts(&self, task: TaskId) -> usize {
        self.workers.values().map(|worker| worker.starts_of(task)).sum()
    }

    /// Number of starts of a job's tasks over all workers.
    pub fn starts_of_job(&self, job: JobId) -> usize {
        let of_job = |worker: &Worker| {
            worker.starts.iter().filter(|(_, task, _)| task.stage.job == job).count()
        };
        self.workers.values().map(of_job).sum()
    }

    /// Asks the process of a host to stop.
    pub fn stop_host(&mut self, name: &str) {
        self.push(self.now, Event::Input(name.to_owned(), Input::Stop));
    }

    /// Asserts what must hold at all times: no worker beyond its capacity, no task in two places.
    pub fn check(&self) {
        let mut running = BTreeSet::new();
        for (name, worker) in &self.workers {
            assert!(worker.used().fits_in(&worker.capacity), "{name} is overcommitted");
            for task in worker.running() {
                assert!(running.insert(task), "{task} runs in two places");
            }
        }
    }
}

/// The configuration of [`Site::new`].
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

/// A job of these steps as the adapter decodes it.
pub fn job(steps: Vec<Step>) -> Job {
    Job {
        queue: String::new(),
        team: None,
        specification: "text".to_owned(),
        steps,
        schedule: None,
        policy: QueuePolicy::default(),
        epoch: 0,
    }
}

/// A step of `tasks` tasks of one core and `milliseconds` each.
pub fn step(tasks: u32, milliseconds: u64) -> Step {
    Step {
        tasks,
        size: Size { processors_milli: 1000, ..Size::ZERO },
        estimate: ms(milliseconds),
        ..Step::default()
    }
}

/// The task at a position of a job without a schedule.
pub fn task(job: JobId, step: u16, index: u32) -> TaskId {
    shallotpost_fleet::job::StageId { job, occurrence: 0, step }.task(index)
}
