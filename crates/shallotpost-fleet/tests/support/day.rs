//! Seeded days: random load and disturbances on a simulated fleet, judged by the rule that no job may stand while its
//! turn has come and there is room.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use shallotpost_fleet::configuration::{Approval, Configuration, Pool, Queue, QueuePolicy, Team};
use shallotpost_fleet::job::{JobId, StageId, Step, TaskId};
use shallotpost_fleet::port::{Action, Answer, Content, RequestId, Table};
use shallotpost_fleet::progress::{Progress, State};
use shallotpost_protocol::size::Size;
use strum::Display;

use super::store::Fault;
use super::{Simulation, job, ms, step};

/// Interval at which the judge looks at the fleet.
const SAMPLE: Duration = Duration::from_millis(100);

/// Time after the end of a disturbance from which the fleet counts as calm.
const CONTACT: Duration = Duration::from_secs(4);

/// Time for which nothing of a job may stand still.
const STANDING_MAX: Duration = Duration::from_secs(3);

/// Time after the last run of a lasting task from which it may not stand still.
const LASTING_GRACE: Duration = Duration::from_secs(6);

/// Time from the last submission and the last disturbance to the end of the day.
const FINISH: Duration = Duration::from_secs(14);

/// Time after its last answer by which all leases of a worker have certainly expired.
const LEASES_MAX: Duration = Duration::from_millis(8800);

const INTAKE: &str = "intake";
const SCANNERS: &str = "scanners";
const DATA_CENTRES: [&str; 3] = ["kochi", "kozhikode", "thrissur"];
const EVACUATION: &str = "evacuate/kochi";

/// What keeps a standing job from its start, as far as the log tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The owner's takeover was not settled yet when the job began to stand, as a worker had fallen silent shortly before
    /// the change of owner or after it.
    UnsettledTakeover,
    /// The takeover was not settled yet, although the workers without contact had been gone for longer than their leases.
    ExpiredRecord,
    /// The takeover was not settled yet, although all workers had been in contact with the owner.
    ContactedWorkers,
    /// There was no owner, or more than one.
    Ownership,
    /// The last run of the task was on a worker that is gone, and its lease had not expired by the owner's count when the job
    /// began to stand.
    LeaseOfLostWorker,
    /// The takeover was settled, but the owner has not started the task since, and an earlier owner may have.
    InheritedTask,
    /// None of these.
    Other,
    /// A job is shown as failed although none of its tasks has failed as often as its queue allows.
    FalseFailure,
    /// All tasks of a job were done at the end of the day, but it is not shown as completed.
    NotCompleted,
}

/// A violation of the rule.
#[derive(Debug)]
pub struct Finding {
    pub cause: Cause,
    pub job: JobId,
    pub at: Duration,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} {} job {:016x}: {}", self.at, self.cause, self.job, self.text)
    }
}

struct Submission {
    queue: usize,
    team: usize,
    steps: Vec<Step>,
    request: RequestId,
    accepted: bool,
    /// Whether it needs no judgement any more: it is cancelled, or has ended.
    closed: bool,
}

#[derive(Clone, Debug)]
enum Change {
    Submit,
    Cancel(JobId),
    Disturb,
    Resume(String),
    Start(String),
    Unpartition(String, String),
    Unsilence(String),
    Wake(String),
    Back,
    Unregister(String),
    StoreCalm,
    Evacuate(bool),
}

/// A simulated day.
pub struct Day {
    pub sim: Simulation,
    pub findings: Vec<Finding>,
    /// Disturbances and their times, for the report of a failure.
    pub disturbances: Vec<String>,
    random: StdRng,
    hosts: Vec<String>,
    changes: BTreeMap<(Duration, u64), Change>,
    sequence: u64,
    jobs: BTreeMap<JobId, Submission>,
    caps: Vec<u64>,
    /// Number of disturbances that last.
    lasting: usize,
    last_disturbance: Duration,
    evacuated: bool,
    done: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, u32>,
    /// Number of entries of each worker's lists that are processed, and the process to which they belong.
    read: BTreeMap<String, (u64, usize, usize)>,
    last_run: BTreeMap<TaskId, Duration>,
    /// Times at which workers died.
    gone: BTreeMap<String, Duration>,
    standing: BTreeMap<(JobId, Option<TaskId>), Duration>,
    found: BTreeSet<JobId>,
    last_change: Duration,
}

/// Queues: name, pool, priority, attempts, and time of an approval call in milliseconds.
const QUEUES: [(&str, &str, u32, u32, Option<u64>); 5] = [
    ("bookings", INTAKE, 0, 4, Some(20)),
    ("routes", INTAKE, 2, 2, None),
    ("scans", SCANNERS, 2, 4, Some(20)),
    ("weaves", SCANNERS, 1, 4, Some(20)),
    ("serving", INTAKE, 1, 4, Some(20)),
];

impl Day {
    /// Plays the day of a seed.
    pub fn play(seed: u64) -> Day {
        let mut day = Day::new(seed);
        while let Some(((at, _), change)) = day.changes.pop_first() {
            day.pass(at);
            day.apply(change);
        }
        day.pass(day.last_change.max(day.last_disturbance) + FINISH);
        day.judge_end();
        day
    }

    fn new(seed: u64) -> Day {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts: Vec<String> = (0..random.random_range(4..=9)).map(|n| format!("h{n}")).collect();
        let mut sim = Simulation::new(&[], 0);
        let caps = vec![0, 0, 60_000, 90_000];
        sim.configure(fleet_configuration(&caps));
        sim.feeds_wait = true;
        sim.approval_percent = 60;
        sim.approves_in_turn = true;
        for number in 0..17 {
            let name = format!("w{number:02}");
            let (pool, processors) = if number < 12 { (INTAKE, 16_000) } else { (SCANNERS, 8000) };
            let site = (pool.to_owned(), DATA_CENTRES[number % 3].to_owned());
            sim.sites.insert(name.clone(), site);
            sim.add_worker(&name, processors);
            if let Some(worker) = sim.workers.get_mut(&name) {
                worker.failure_percent = 2;
            }
        }
        for host in &hosts {
            let processors = [120, 250, 250, 500].choose(&mut random).copied().unwrap_or(250);
            sim.processors.insert(host.clone(), processors);
            sim.start_host(host);
        }
        let mut day = Day {
            sim,
            findings: Vec::new(),
            disturbances: Vec::new(),
            random,
            hosts,
            changes: BTreeMap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            caps,
            lasting: 0,
            last_disturbance: Duration::ZERO,
            evacuated: false,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            read: BTreeMap::new(),
            last_run: BTreeMap::new(),
            gone: BTreeMap::new(),
            standing: BTreeMap::new(),
            found: BTreeSet::new(),
            last_change: Duration::ZERO,
        };
        day.plan();
        day
    }

    /// Plans the submissions, and clusters of disturbances with calm between them.
    fn plan(&mut self) {
        let end = ms(self.random.random_range(50_000..75_000));
        let rate = self.random.random_range(2.0..5.0);
        let mut at = ms(2500);
        while at < end {
            self.schedule(at, Change::Submit);
            let gap: f64 = -self.random.random_range(1e-6..1.0f64).ln();
            at += Duration::from_secs_f64((gap / rate).min(3.0));
        }
        let mut at = ms(self.random.random_range(6000..12_000));
        while at + ms(10_000) < end {
            for _ in 0..self.random.random_range(1..=4) {
                let within = ms(self.random.random_range(0..4000));
                let within = if self.random.random_bool(0.4) { within / 10 } else { within };
                self.schedule(at + within, Change::Disturb);
            }
            at += ms(self.random.random_range(13_000..24_000));
        }
        if self.random.random_bool(0.4) {
            let from = ms(self.random.random_range(8000..40_000));
            let time = ms(self.random.random_range(4000..15_000));
            self.schedule(from, Change::Evacuate(true));
            self.schedule(from + time, Change::Evacuate(false));
        }
    }

    fn schedule(&mut self, at: Duration, change: Change) {
        self.sequence += 1;
        self.last_change = self.last_change.max(at);
        self.changes.insert((at, self.sequence), change);
    }

    fn later(&mut self, least: u64, most: u64, change: Change) -> Duration {
        let time = ms(self.random.random_range(least..most));
        self.lasting += 1;
        self.schedule(self.sim.now + time, change);
        time
    }

    fn pass(&mut self, until: Duration) {
        while self.sim.now < until {
            let time = SAMPLE.min(until - self.sim.now);
            self.sim.run(time);
            self.judge();
        }
    }

    fn apply(&mut self, change: Change) {
        let ends = !matches!(
            change,
            Change::Submit
                | Change::Cancel(_)
                | Change::Disturb
                | Change::Evacuate(_)
                | Change::Unregister(_)
        );
        match change {
            Change::Submit => self.submit(),
            Change::Cancel(id) => self.cancel(id),
            Change::Disturb => self.disturb(),
            Change::Resume(host) => {
                let (tick_first, expire) = (self.random.random(), self.random.random_bool(0.7));
                self.sim.resume_host(&host, tick_first, expire);
            }
            Change::Start(host) => self.sim.start_host(&host),
            Change::Unpartition(left, right) => self.sim.set_partitioned(&left, &right, false),
            Change::Unsilence(host) => drop(self.sim.silent_stores.remove(&host)),
            Change::Wake(worker) => drop(self.sim.hanging_workers.remove(&worker)),
            Change::Unregister(worker) => self.sim.unregister(&worker),
            Change::Back => {}
            Change::StoreCalm => {
                self.sim.store_delay = Duration::ZERO;
                self.sim.store.fault = Fault::None;
                self.sim.store.down = false;
            }
            Change::Evacuate(true) => {
                let content = Content::Evacuation { data_centre: "kochi".to_owned() };
                self.sim.store.put(Table::Operator, EVACUATION, content);
                self.evacuated = true;
            }
            Change::Evacuate(false) => {
                self.sim.store.delete(Table::Operator, EVACUATION);
                self.evacuated = false;
                // The hosts apply it a little later.
                self.standing.clear();
                self.last_disturbance = self.last_disturbance.max(self.sim.now - ms(2000));
            }
        }
        if ends {
            self.lasting -= 1;
            self.last_disturbance = self.sim.now;
        }
    }

    /// Returns a host to send to: mostly one that works.
    fn entry_host(&mut self) -> Option<String> {
        let paused = &self.sim.paused_hosts;
        let up: Vec<&String> = self
            .hosts
            .iter()
            .filter(|host| self.sim.hosts.contains_key(*host) && !paused.contains_key(*host))
            .collect();
        up.choose(&mut self.random).map(|host| (*host).clone())
    }

    fn submit(&mut self) {
        let queue = match self.random.random_range(0..100) {
            0..55 => 0,
            55..72 => 1,
            72..86 => 2,
            86..96 => 3,
            _ => 4,
        };
        let random = &mut self.random;
        let (steps, time): (Vec<Step>, u64) = match queue {
            0 => {
                let time = random.random_range(200..1500);
                let steps = (0..random.random_range(1..=2))
                    .map(|_| step(random.random_range(1..=6), 800))
                    .collect();
                (steps, time)
            }
            1 => {
                let time = random.random_range(500..5000);
                let steps = (0..random.random_range(1..=3))
                    .map(|_| step(random.random_range(1..=8), 2500))
                    .collect();
                (steps, time)
            }
            2 => (vec![step(random.random_range(1..=5), 1500)], random.random_range(500..2400)),
            3 => {
                let gang = Step { gang: true, ..step(random.random_range(1..=5), 2000) };
                (vec![gang], random.random_range(500..3500))
            }
            _ => {
                let lasting =
                    Step { long_running: true, ..step(random.random_range(1..=3), 60_000) };
                (vec![lasting], 1_000_000)
            }
        };
        let mut steps = steps;
        for (position, step) in steps.iter_mut().enumerate().skip(1) {
            step.after = vec![u16::try_from(position - 1).expect("few steps")];
        }
        let id: JobId = random.random();
        let team = random.random_range(0..self.caps.len());
        let fails = queue < 3 && random.random_bool(0.02);
        let cancelled = random.random_bool(0.04);
        let cancelled_after = ms(random.random_range(100..6000));
        let Some(host) = self.entry_host() else { return };
        for worker in self.sim.workers.values_mut() {
            worker.job_durations.insert(id, ms(time));
            if fails {
                worker.failing_jobs.insert(id);
            }
        }
        let path = format!("/{}/{id:016x}", QUEUES[queue].0);
        let action = Action::Submit(Ok(Box::new(job(steps.clone()))));
        let request = self.sim.request(&host, &path, Some(&format!("key-{team}")), action);
        let submission = Submission { queue, team, steps, request, accepted: false, closed: false };
        self.jobs.insert(id, submission);
        if cancelled {
            self.schedule(self.sim.now + cancelled_after, Change::Cancel(id));
        }
    }

    fn cancel(&mut self, id: JobId) {
        let Some(host) = self.entry_host() else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.closed = true;
        let (path, key) =
            (format!("/{}/{id:016x}", QUEUES[job.queue].0), format!("key-{}", job.team));
        self.sim.request(&host, &path, Some(&key), Action::Cancel);
    }

    fn is_up(&self, worker: &str) -> bool {
        !self.sim.workers[worker].crashed
            && !self.sim.hanging_workers.contains(worker)
            && !self.sim.dead_workers.contains(worker)
    }

    fn disturb(&mut self) {
        self.last_disturbance = self.sim.now;
        let workers: Vec<String> =
            self.sim.workers.keys().filter(|name| self.is_up(name)).cloned().collect();
        let paused = &self.sim.paused_hosts;
        let up: Vec<String> = self
            .hosts
            .iter()
            .filter(|host| self.sim.hosts.contains_key(*host) && !paused.contains_key(*host))
            .cloned()
            .collect();
        let owner = self.sim.owner().filter(|owner| up.contains(owner));
        let other = up.choose(&mut self.random).cloned();
        let target = match self.random.random_bool(0.8) {
            true => owner.or(other),
            false => other,
        };
        let Some(host) = target else { return };
        let dead = self.sim.workers.values().filter(|worker| worker.crashed).count();
        let worker = workers.choose(&mut self.random).cloned();
        let kind = self.random.random_range(0..14);
        let text = match (kind, worker) {
            (0..=2, _) if up.len() > 2 => {
                self.sim.pause_host(&host);
                let time = self.later(500, 9000, Change::Resume(host.clone()));
                format!("{host} paused for {time:?}")
            }
            (3, _) if up.len() > 2 => {
                self.sim.kill_host(&host);
                let time = self.later(300, 5000, Change::Start(host.clone()));
                format!("{host} killed for {time:?}")
            }
            (4, _) => {
                self.sim.set_partitioned(&host, "store", true);
                let ends = Change::Unpartition(host.clone(), "store".to_owned());
                let time = self.later(500, 9000, ends);
                format!("{host} refused by the store for {time:?}")
            }
            (5, _) => {
                self.sim.silent_stores.insert(host.clone());
                let time = self.later(500, 9000, Change::Unsilence(host.clone()));
                format!("{host} without answers of the store for {time:?}")
            }
            (6, _) => {
                let time = ms(self.random.random_range(500..9000));
                let hosts: Vec<String> =
                    self.hosts.iter().filter(|peer| **peer != host).cloned().collect();
                let share = self.random.random_range(0.3..=1.0);
                for peer in hosts {
                    if self.random.random_bool(share) {
                        self.sim.set_partitioned(&host, &peer, true);
                        let most = u64::try_from(time.as_millis()).expect("time fits") + 1;
                        let ends = Change::Unpartition(host.clone(), peer);
                        self.later(most - 1, most, ends);
                    }
                }
                format!("{host} cut off from peers for {time:?}")
            }
            (7 | 8, Some(worker)) => {
                self.sim.hanging_workers.insert(worker.clone());
                let time = self.later(1000, 10_000, Change::Wake(worker.clone()));
                format!("{worker} hangs for {time:?}")
            }
            (9, Some(worker)) => {
                self.note_crash(&worker);
                self.sim.crash(&worker);
                self.later(3000, 3001, Change::Back);
                format!("{worker} crashes")
            }
            (10 | 11, Some(worker)) if dead < 3 => {
                let silent = kind == 10 || self.random.random();
                self.note_crash(&worker);
                self.sim.kill_worker(&worker, silent);
                self.gone.insert(worker.clone(), self.sim.now);
                if self.random.random() {
                    self.schedule(self.sim.now + ms(3000), Change::Unregister(worker.clone()));
                }
                format!("{worker} dies, silent {silent}")
            }
            (12, _) => {
                self.sim.store_delay = ms(self.random.random_range(50..900));
                let time = self.later(500, 6000, Change::StoreCalm);
                format!("store slower by {:?} for {time:?}", self.sim.store_delay)
            }
            (13, _) => {
                match self.random.random() {
                    true => self.sim.store.fault = Fault::AnswerLost,
                    false => self.sim.store.down = true,
                }
                let time = self.later(300, 4000, Change::StoreCalm);
                format!("store down {} for {time:?}", self.sim.store.down)
            }
            _ => return,
        };
        self.disturbances.push(format!("{:?} {text}", self.sim.now));
    }

    /// Forgets the completed tasks whose ends are lost with their worker.
    fn note_crash(&mut self, worker: &str) {
        self.read_lists();
        for task in self.sim.workers[worker].unacknowledged_done() {
            self.done.remove(&task);
        }
    }

    fn read_lists(&mut self) {
        for (name, worker) in &self.sim.workers {
            let started = worker.started_unix_ms;
            let read = self.read.entry(name.clone()).or_insert((started, 0, 0));
            if read.0 != started {
                *read = (started, 0, 0);
            }
            self.done.extend(&worker.done[read.1..]);
            for task in &worker.failed[read.2..] {
                *self.failed.entry(*task).or_default() += 1;
            }
            *read = (started, worker.done.len(), worker.failed.len());
        }
    }

    fn judge(&mut self) {
        self.sim.check_invariants();
        self.read_lists();
        let now = self.sim.now;
        let mut running: BTreeMap<JobId, usize> = BTreeMap::new();
        let mut running_tasks = BTreeSet::new();
        for worker in self.sim.workers.values() {
            for task in worker.running() {
                *running.entry(task.stage.job).or_default() += 1;
                running_tasks.insert(task);
                self.last_run.insert(task, now);
            }
        }
        for job in self.jobs.values_mut() {
            job.accepted = job.accepted
                || matches!(self.sim.answers.get(&job.request), Some(Answer::Accepted));
        }
        if self.lasting > 0 || now < self.last_disturbance + CONTACT {
            self.standing.clear();
            return;
        }
        let (pools, teams) = self.usage();
        let mut standing = BTreeMap::new();
        let mut overdue = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.accepted && !job.closed) {
            let (_, pool, _, attempts, _) = QUEUES[job.queue];
            if self.tasks(*id).any(|task| self.failed.get(&task).is_some_and(|n| *n >= attempts)) {
                continue;
            }
            let Some((used, capacity)) = pools.get(pool).copied() else { continue };
            let cap = self.caps[job.team];
            if used * 2 >= capacity || cap > 0 && teams[job.team] * 2 >= cap {
                continue;
            }
            let idle = !running.contains_key(id);
            for (position, step) in job.steps.iter().enumerate() {
                if !idle && !step.long_running {
                    continue;
                }
                let stage = stage_of(*id, position);
                let ready = step.after.iter().all(|before| {
                    let before = usize::from(*before);
                    let stage = stage_of(*id, before);
                    (0..job.steps[before].tasks).all(|index| self.done.contains(&stage.task(index)))
                });
                let mut waiting = (0..step.tasks)
                    .map(|index| stage.task(index))
                    .filter(|task| !self.done.contains(task) && !running_tasks.contains(task));
                let Some(first) = waiting.next().filter(|_| ready) else { continue };
                let needed = if step.gang { u64::from(step.tasks) * 2 } else { 2 };
                if self.room(stage, pool) < needed {
                    continue;
                }
                let mut keys = Vec::new();
                if idle {
                    keys.push((*id, None));
                }
                if step.long_running {
                    let rested = |task: &TaskId| {
                        self.last_run.get(task).is_some_and(|last| now >= *last + LASTING_GRACE)
                    };
                    let tasks = std::iter::once(first).chain(waiting).filter(rested);
                    keys.extend(tasks.map(|task| (*id, Some(task))));
                }
                for key in keys {
                    let since = self.standing.get(&key).copied().unwrap_or(now);
                    standing.insert(key, since);
                    if now >= since + STANDING_MAX && !self.found.contains(id) {
                        overdue.push((*id, first, since));
                    }
                }
            }
        }
        self.standing = standing;
        for (id, task, since) in overdue {
            self.find_standing(id, task, since);
        }
    }

    fn tasks(&self, id: JobId) -> impl Iterator<Item = TaskId> {
        let steps = self.jobs.get(&id).map(|job| job.steps.as_slice()).unwrap_or_default();
        steps.iter().enumerate().flat_map(move |(position, step)| {
            (0..step.tasks).map(move |index| stage_of(id, position).task(index))
        })
    }

    /// Returns the processors in use and present of each pool, and those that each team uses.
    fn usage(&self) -> (BTreeMap<String, (u64, u64)>, Vec<u64>) {
        let mut pools: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut teams = vec![0; self.caps.len()];
        for (name, worker) in &self.sim.workers {
            for task in worker.running() {
                if let Some(job) = self.jobs.get(&task.stage.job) {
                    teams[job.team] += worker.size.processors_milli;
                }
            }
            if self.is_up(name) {
                let sums = pools.entry(self.sim.sites[name].0.clone()).or_default();
                sums.0 += worker.used().processors_milli;
                sums.1 += worker.capacity.processors_milli;
            }
        }
        (pools, teams)
    }

    /// Returns how many tasks of a stage fit on the workers that are approved for it.
    fn room(&self, stage: StageId, pool: &str) -> u64 {
        let workers = self.sim.workers.iter().filter(|(name, _)| {
            let (of, data_centre) = &self.sim.sites[*name];
            *of == pool
                && self.is_up(name)
                && !(self.evacuated && data_centre == "kochi")
                && self.sim.is_approved(stage, name)
        });
        let free = |worker: &super::Worker| {
            let used = worker.used().processors_milli;
            worker.capacity.processors_milli.saturating_sub(used) / worker.size.processors_milli
        };
        workers.map(|(_, worker)| free(worker)).sum()
    }

    /// Records a job that stands, unless its stored progress shows that its task is done.
    fn find_standing(&mut self, id: JobId, task: TaskId, since: Duration) {
        if self.found.contains(&id) {
            return;
        }
        if let Some(progress) = self.sim.store.progress(id) {
            let stored = |task: TaskId| is_stored_done(&progress, task);
            let done: Vec<TaskId> = self.tasks(id).filter(|task| stored(*task)).collect();
            let new = !done.iter().all(|task| self.done.contains(task));
            self.done.extend(done);
            if new || progress.state.is_final() {
                self.standing.remove(&(id, None));
                return;
            }
        }
        self.found.insert(id);
        let starts = self.sim.starts_of_job(id);
        let owners: Vec<&String> = self
            .sim
            .hosts
            .iter()
            .filter(|(_, host)| host.is_owner())
            .map(|(name, _)| name)
            .collect();
        let last = |owner: &str, event: &str| {
            let mut lines = self.sim.logs.iter().rev();
            lines
                .find(|(_, host, text)| host == owner && text.starts_with(event))
                .map(|(at, _, _)| *at)
        };
        // The last line about the start or the loss of a run of the task.
        let line = format!("task={task} ");
        let started = self.sim.logs.iter().rev().find(|(_, _, text)| {
            text.contains(&line)
                && (text.starts_with("run_started") || text.starts_with("run_lost"))
        });
        // A run that was counted as lost while the job stood had held it until then.
        let started =
            started.filter(|(at, _, text)| text.starts_with("run_started") || *at > since + SAMPLE);
        let worker = started.and_then(|(_, _, text)| {
            text.split(' ').find_map(|field| field.strip_prefix("worker="))
        });
        let lost = worker.is_some_and(|worker| !self.is_up(worker));
        let (cause, owner) = match owners.as_slice() {
            [owner] => {
                let won = last(owner, "ownership_won").unwrap_or_default();
                let settled = last(owner, "takeover_settled").filter(|settled| *settled >= won);
                let unsettled = settled.is_none_or(|settled| settled > since);
                let admitted = format!("job={id:016x} ");
                let admitted = self.sim.logs.iter().find_map(|(at, _, text)| {
                    (text.starts_with("admitted") && text.contains(&admitted)).then_some(*at)
                });
                let contacted: BTreeSet<&str> = self
                    .sim
                    .logs
                    .iter()
                    .filter(|(at, host, _)| *at >= won && host == *owner)
                    .filter_map(|(_, _, text)| text.strip_prefix("worker_contact worker="))
                    .collect();
                let silent: Vec<&String> = self
                    .sim
                    .workers
                    .keys()
                    .filter(|name| !contacted.contains(name.as_str()))
                    .collect();
                let gone_before = |name: &str, won: Duration| {
                    self.gone.get(name).is_some_and(|gone| *gone + LEASES_MAX < won)
                };
                let own_start = started.as_ref().is_some_and(|(_, host, _)| host == *owner);
                let cause = match () {
                    () if lost && own_start => Cause::LeaseOfLostWorker,
                    () if unsettled && silent.is_empty() => Cause::ContactedWorkers,
                    () if unsettled && silent.iter().all(|name| gone_before(name, won)) => {
                        Cause::ExpiredRecord
                    }
                    () if unsettled => Cause::UnsettledTakeover,
                    () if lost => Cause::LeaseOfLostWorker,
                    () if !own_start && admitted.is_some_and(|at| at < won) => Cause::InheritedTask,
                    () => Cause::Other,
                };
                let text = format!(
                    "owner {owner}, won {won:?}, settled {settled:?}, without contact {silent:?}"
                );
                (cause, text)
            }
            _ => (Cause::Ownership, format!("owners {owners:?}")),
        };
        let job = &self.jobs[&id];
        let name = QUEUES[job.queue].0;
        let steps = job.steps.len();
        let text = format!(
            "{task} could run since {since:?}, {name}, {steps} steps, {starts} starts, last on \
             {worker:?}; {owner}"
        );
        self.findings.push(Finding { cause, job: id, at: self.sim.now, text });
    }

    /// Judges what is stored about each job at the end of the day.
    fn judge_end(&mut self) {
        let mut found = Vec::new();
        // The owner needs a moment to store what has just ended.
        let done = self.done.clone();
        self.pass(self.sim.now + ms(1000));
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.accepted && !job.closed) {
            let attempts = QUEUES[job.queue].3;
            let failed =
                self.tasks(*id).any(|task| self.failed.get(&task).is_some_and(|n| *n >= attempts));
            let state = self.sim.store.progress(*id).map(|progress| progress.state);
            let all_done = self.tasks(*id).all(|task| done.contains(&task));
            match state {
                Some(State::Failed) if !failed => found.push((*id, Cause::FalseFailure)),
                Some(State::Cancelled) => found.push((*id, Cause::FalseFailure)),
                state if all_done && state != Some(State::Completed) => {
                    found.push((*id, Cause::NotCompleted));
                }
                _ => {}
            }
        }
        let at = self.sim.now;
        for (job, cause) in found {
            let text = format!("{:?}", self.sim.store.progress(job).map(|stored| stored.state));
            self.findings.push(Finding { cause, job, at, text });
        }
    }

    /// Returns the log lines between two times, and those that name a job at any time.
    pub fn trace(&self, from: Duration, to: Duration, id: JobId) -> String {
        let name = format!("{id:016x}");
        let lines = self.sim.logs.iter().filter(|(at, _, text)| {
            text.contains(&name) || (from..=to).contains(at) && !text.starts_with("run_ended")
        });
        lines.map(|(at, host, text)| format!("{at:?} {host} {text}\n")).collect()
    }
}

fn stage_of(job: JobId, position: usize) -> StageId {
    StageId { job, occurrence: 0, step: u16::try_from(position).expect("few steps") }
}

fn is_stored_done(progress: &Progress, task: TaskId) -> bool {
    progress.occurrences_done > 0
        || progress.stages.iter().any(|stage| {
            stage.step == task.stage.step && (stage.complete || stage.done.contains(&task.index))
        })
}

fn fleet_configuration(caps: &[u64]) -> Configuration {
    let queues = QUEUES.iter().map(|(name, pool, priority, attempts, call)| Queue {
        name: (*name).to_owned(),
        host: String::new(),
        prefix: format!("/{name}/"),
        allow_anonymous: false,
        policy: QueuePolicy {
            pool: (*pool).to_owned(),
            priority: *priority,
            attempts_max: *attempts,
            stretch: 2.0,
            target: ms(1000),
            approval: call.map(|call| Approval {
                per_call: ms(call),
                per_worker: ms(0),
                validity: ms(2000),
            }),
        },
    });
    let pool = |name: &str| Pool { name: name.to_owned(), spare: false };
    let teams = caps.iter().enumerate().map(|(number, cap)| Team {
        name: format!("t{number}"),
        keys: vec![format!("key-{number}")],
        weight: if number == 3 { 1.0 } else { 100.0 },
        cap: Size { processors_milli: *cap, ..Size::ZERO },
    });
    Configuration {
        version: 1,
        queues: queues.collect(),
        pools: vec![pool(INTAKE), pool(SCANNERS)],
        teams: teams.collect(),
        ..Configuration::default()
    }
}
