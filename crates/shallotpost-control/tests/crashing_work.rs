//! Guards against tasks that crash one worker after the other, and against blame for tasks that do not.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use std::collections::BTreeMap;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Specification};

/// Time for which a crashed worker does not answer, if the test sets no other.
const DOWN: Duration = Duration::from_secs(3);

/// Most starts of a task that crashes each of its workers, as docs/design.md states them.
const STARTS_MAX: usize = 4;

const LIMIT: Duration = Duration::from_secs(300);

/// Limit where one worker is the only one that can hold the task.
const ONE_WORKER_LIMIT: Duration = Duration::from_secs(900);

/// Crashes each worker on which a task of a job runs whose name begins with `deadly`.
struct Crashes {
    harness: SchedulerHarness,
    /// Running deadly tasks of a worker, since when they run.
    since: BTreeMap<WorkerId, Instant>,
    /// Time from the start of a deadly task until its worker crashes.
    age: Duration,
    returns: BTreeMap<WorkerId, Instant>,
    /// Time for which a crashed worker does not answer.
    down: Duration,
    count: usize,
}

impl Crashes {
    fn new(workers: usize, age: Duration) -> Crashes {
        let harness = SchedulerHarness::new(workers);
        let (since, returns) = (BTreeMap::new(), BTreeMap::new());
        Crashes { harness, since, age, returns, down: DOWN, count: 0 }
    }

    fn step(&mut self) {
        self.harness.step();
        let now = self.harness.now;
        let names: Vec<WorkerId> = self.harness.nodes.keys().cloned().collect();
        for name in names {
            let node = self.harness.node(&name);
            let deadly =
                node.worker.running().iter().any(|task| task.work.name.starts_with("deadly"));
            if !deadly {
                self.since.remove(&name);
            }
            if deadly && now >= *self.since.entry(name.clone()).or_insert(now) + self.age {
                self.crash(&name);
            }
        }
        let due: Vec<WorkerId> = self
            .returns
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.returns.remove(&name);
            self.harness.node(&name).alive = true;
        }
    }

    fn crash(&mut self, name: &str) {
        let returns = self.harness.now + self.down;
        let node = self.harness.node(name);
        node.worker.restart();
        node.alive = false;
        self.since.remove(name);
        self.returns.insert(name.to_owned(), returns);
        self.count += 1;
    }

    fn run(&mut self, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            self.step();
        }
    }

    fn run_until(&mut self, limit: Duration, condition: impl Fn(&Crashes) -> bool) {
        let end = self.harness.now + limit;
        while !condition(self) {
            assert!(self.harness.now < end, "the condition does not hold after {limit:?}");
            self.step();
        }
    }

    /// Runs until the work has ended or `time` has passed. Returns the number of its starts.
    fn starts_within(&mut self, time: Duration, work: &WorkId) -> usize {
        let end = self.harness.now + time;
        while self.harness.now < end && self.harness.outcome(work).is_none() {
            self.step();
        }
        self.harness.starts(work)
    }

    /// Number of lost runs in the record of the work.
    fn losses(&self, work: &WorkId) -> usize {
        self.harness.record(work).map_or(0, |record| record.losses.len())
    }

    fn check_given_up(&self, work: &WorkId) {
        let outcome = self.harness.outcome(work).expect("it was not given up");
        assert_eq!(outcome.ending, Ending::Failed, "{outcome:?}");
        let named = ["crashed", "correct the task"];
        assert!(named.iter().all(|part| outcome.detail.contains(part)), "{outcome:?}");
    }
}

fn job(name: &str, milliseconds: &str) -> Specification {
    specification(name, Class::Batch, &["run", milliseconds])
}

/// Guards against a task that is started again without limit after each crash that it causes.
#[test]
fn deadly_task() {
    for age in [Duration::ZERO, Duration::from_secs(5)] {
        for workers in [1, 6] {
            let mut crashes = Crashes::new(workers, age);
            crashes.harness.take_over(1);
            let work = crashes.harness.admit(job("deadly", "600000"));
            let starts = crashes.starts_within(ONE_WORKER_LIMIT, &work);
            assert!(starts <= STARTS_MAX, "{starts} starts, {workers} workers, {age:?}");
            crashes.check_given_up(&work);
        }
    }
}

/// Guards against evidence that is lost with the owner that saw the crash. Each owner dies as soon as a loss is stored.
#[test]
fn deadly_task_and_takeovers() {
    for age in [Duration::from_secs(5), Duration::ZERO] {
        let mut crashes = Crashes::new(4, age);
        let mut owner = crashes.harness.take_over(1);
        let work = crashes.harness.admit(job("deadly", "600000"));
        // Crashes of which no owner learns, since the one that started the task has died before.
        let (mut unseen, mut takeovers) = (0, 0);
        for epoch in 2..12 {
            let before = crashes.losses(&work);
            let end = crashes.harness.now + LIMIT;
            let seen = |crashes: &Crashes| {
                crashes.losses(&work) > before || crashes.harness.outcome(&work).is_some()
            };
            while !seen(&crashes) && crashes.harness.now < end {
                crashes.step();
            }
            if crashes.harness.outcome(&work).is_some() {
                break;
            }
            takeovers += 1;
            unseen = crashes.count - crashes.losses(&work);
            crashes.harness.kill(owner);
            owner = crashes.harness.take_over(epoch);
        }
        let starts = crashes.starts_within(LIMIT, &work);
        assert!(starts <= STARTS_MAX + unseen, "{starts} starts, {unseen} unseen, {age:?}");
        assert!(takeovers >= 3, "{takeovers} takeovers");
        assert!(unseen == 0 || age.is_zero() && unseen <= 2, "{unseen} unseen, {age:?}");
        crashes.check_given_up(&work);
    }
}

/// Guards against a service or a gang that takes its workers down for ever.
#[test]
fn deadly_services_and_gangs() {
    for class in [Class::Service { replicas: 2 }, Class::Gang { parts: 2 }, Class::Urgent] {
        let mut crashes = Crashes::new(6, Duration::ZERO);
        crashes.harness.take_over(1);
        let work = crashes.harness.admit(specification("deadly", class, &["run", "600000"]));
        let starts = crashes.starts_within(LIMIT, &work);
        let most = STARTS_MAX * class.tasks() as usize;
        assert!(starts <= most, "{starts} starts, {class:?}");
        crashes.check_given_up(&work);
    }
}

/// Guards against jobs that are shown as failed, or never end, because they shared workers with deadly tasks.
#[test]
fn neighbours() {
    let mut crashes = Crashes::new(3, Duration::from_millis(500));
    crashes.harness.take_over(1);
    crashes.run(Duration::from_secs(40));
    let sound: Vec<WorkId> =
        (0..9).map(|n| crashes.harness.admit(job(&format!("sound{n}"), "20000"))).collect();
    let mut deadly = Vec::new();
    for n in 0..8 {
        deadly.push(crashes.harness.admit(job(&format!("deadly{n}"), "600000")));
        crashes.run(Duration::from_secs(5));
    }
    crashes.run_until(LIMIT * 6, |crashes| {
        sound.iter().chain(&deadly).all(|work| crashes.harness.outcome(work).is_some())
    });
    for work in &sound {
        assert_eq!(crashes.harness.outcome(work).unwrap().ending, Ending::Succeeded, "{work}");
    }
    for work in &deadly {
        crashes.check_given_up(work);
        assert!(crashes.harness.starts(work) <= STARTS_MAX, "{}", crashes.harness.starts(work));
    }
}

/// Guards against a service that is given up because deadly tasks crash its workers again and again.
#[test]
fn neighbours_for_long() {
    let mut crashes = Crashes::new(4, Duration::from_millis(500));
    crashes.harness.take_over(1);
    let class = Class::Service { replicas: 1 };
    let service = crashes.harness.admit(specification("service", class, &["serve"]));
    for n in 0..10 {
        crashes.run(Duration::from_secs(60));
        crashes.harness.admit(job(&format!("deadly{n}"), "600000"));
    }
    crashes.run(LIMIT * 4);
    assert!(crashes.harness.starts(&service) >= 4, "{}", crashes.harness.starts(&service));
    assert_eq!(crashes.harness.outcome(&service), None);
    assert_eq!(crashes.harness.running_workers(&service).len(), 1);
}

/// Guards against a deadly task that never gets a worker of its own because long-running services are on all of them.
#[test]
fn busy_workers() {
    let mut crashes = Crashes::new(2, Duration::ZERO);
    crashes.harness.take_over(1);
    let class = Class::Service { replicas: 4 };
    let service = crashes.harness.admit(specification("service", class, &["serve"]));
    crashes.run(Duration::from_secs(2));
    let work = crashes.harness.admit(job("deadly", "600000"));
    let starts = crashes.starts_within(LIMIT, &work);
    assert!(starts <= STARTS_MAX, "{starts} starts");
    crashes.check_given_up(&work);
    crashes.run_until(LIMIT, |crashes| crashes.harness.running_workers(&service).len() == 4);
}

/// Guards against sound work that is blamed for workers that were cut off and run the same process as before.
#[test]
fn cut_off_workers() {
    for takeovers in [false, true] {
        let mut crashes = Crashes::new(3, Duration::ZERO);
        let mut owner = crashes.harness.take_over(1);
        let work = crashes.harness.admit(job("sound", "30000"));
        for cut in 0..6 {
            crashes.run_until(LIMIT, |crashes| !crashes.harness.running_workers(&work).is_empty());
            crashes.run(Duration::from_secs(1));
            let worker = crashes.harness.running_workers(&work).remove(0);
            crashes.harness.node(&worker).alive = false;
            crashes.run(Duration::from_secs(25));
            if takeovers {
                crashes.harness.kill(owner);
                owner = crashes.harness.take_over(cut + 2);
            }
            crashes.harness.node(&worker).alive = true;
        }
        crashes.run_until(LIMIT, |crashes| crashes.harness.outcome(&work).is_some());
        assert_eq!(crashes.harness.outcome(&work).unwrap().ending, Ending::Succeeded);
        assert!(crashes.harness.starts(&work) >= 4, "the cuts lost no runs");
    }
}

/// Guards against a deadly task without bound where the crashed machines return only after the task leases have lapsed, and
/// against blame for those that never return.
#[test]
fn slow_reboots() {
    let mut crashes = Crashes::new(6, Duration::from_secs(1));
    crashes.down = Duration::from_secs(90);
    crashes.harness.take_over(1);
    let work = crashes.harness.admit(job("deadly", "600000"));
    let starts = crashes.starts_within(LIMIT * 2, &work);
    // Two more runs may start before the workers of the first ones return and show that they crashed.
    assert!(starts <= STARTS_MAX + 2, "{starts} starts");
    crashes.check_given_up(&work);
    let mut crashes = Crashes::new(8, Duration::ZERO);
    crashes.harness.take_over(1);
    let work = crashes.harness.admit(job("sound", "60000"));
    crashes.run(Duration::from_secs(40));
    for round in 0..6 {
        crashes.run_until(LIMIT, |crashes| !crashes.harness.running_workers(&work).is_empty());
        let worker = crashes.harness.running_workers(&work).remove(0);
        crashes.harness.node(&worker).alive = false;
        crashes.run(Duration::from_secs(25));
        assert!(crashes.harness.outcome(&work).is_none(), "{round}");
    }
    assert!(crashes.losses(&work) >= 5, "the silence lost no runs");
    crashes.run_until(LIMIT * 3, |crashes| crashes.harness.outcome(&work).is_some());
    assert_eq!(crashes.harness.outcome(&work).unwrap().ending, Ending::Succeeded);
}

/// Guards against blame for cuts of many workers at once that end with a restart of their processes.
#[test]
fn cut_and_restarted_together() {
    let mut crashes = Crashes::new(8, Duration::ZERO);
    crashes.harness.take_over(1);
    let admit = |n: usize| Specification { size: size(4), ..job(&format!("sound{n}"), "50000") };
    let jobs: Vec<WorkId> = (0..4).map(|n| crashes.harness.admit(admit(n))).collect();
    crashes.down = Duration::from_secs(20);
    for _ in 0..5 {
        crashes.run(Duration::from_secs(40));
        (0..8).for_each(|n| crashes.crash(&format!("w{n}")));
        crashes.run(Duration::from_secs(21));
    }
    crashes.run_until(LIMIT, |crashes| {
        jobs.iter().all(|work| crashes.harness.outcome(work).is_some())
    });
    for work in &jobs {
        assert_eq!(crashes.harness.outcome(work).unwrap().ending, Ending::Succeeded, "{work}");
    }
}

/// Guards against a deadly service whose replicas crash many workers at once, so that no crash counts.
#[test]
fn many_deadly_replicas() {
    let mut crashes = Crashes::new(20, Duration::ZERO);
    crashes.down = Duration::from_secs(30);
    crashes.harness.take_over(1);
    let class = Class::Service { replicas: 8 };
    let work = crashes.harness.admit(specification("deadly", class, &["serve"]));
    let starts = crashes.starts_within(LIMIT, &work);
    assert!(starts <= STARTS_MAX * 8, "{starts} starts");
    crashes.check_given_up(&work);
}

/// Guards against sound work that is blamed for a worker which crashes by itself, whatever runs there.
#[test]
fn faulty_worker() {
    let mut crashes = Crashes::new(2, Duration::ZERO);
    crashes.harness.take_over(1);
    let work = crashes.harness.admit(Specification { size: size(3), ..job("sound", "40000") });
    let filler = crashes.harness.admit(Specification { size: size(3), ..job("filler", "60000") });
    for round in 0..30 {
        crashes.run(Duration::from_secs(4 + round % 3));
        if !crashes.returns.contains_key("w0") {
            crashes.crash("w0");
        }
    }
    crashes.run_until(LIMIT, |crashes| {
        [&work, &filler].iter().all(|work| crashes.harness.outcome(work).is_some())
    });
    for work in [&work, &filler] {
        assert_eq!(crashes.harness.outcome(work).unwrap().ending, Ending::Succeeded, "{work}");
    }
}

/// Guards against blame for a worker that crashes again and again by itself and is the only one that can hold the task.
#[test]
fn only_worker_is_faulty() {
    for (seconds, rounds) in [(45, 14), (100, 8)] {
        let mut crashes = Crashes::new(2, Duration::ZERO);
        crashes.harness.add_worker("large", 8);
        crashes.harness.take_over(1);
        let specification = Specification { size: size(8), ..job("sound", "120000") };
        let work = crashes.harness.admit(specification);
        for _ in 0..rounds {
            crashes.run(Duration::from_secs(seconds));
            crashes.crash("large");
        }
        crashes.run_until(LIMIT * 5, |crashes| crashes.harness.outcome(&work).is_some());
        assert_eq!(crashes.harness.outcome(&work).unwrap().ending, Ending::Succeeded, "{seconds}");
    }
}

/// Guards against sound work that is blamed because its workers are restarted one after the other, after they said that
/// they leave.
#[test]
fn planned_restarts() {
    let mut crashes = Crashes::new(3, Duration::ZERO);
    crashes.harness.take_over(1);
    let work = crashes.harness.admit(job("sound", "60000"));
    for _ in 0..6 {
        crashes.run(Duration::from_secs(35));
        let Some(worker) = crashes.harness.running_workers(&work).pop() else { continue };
        crashes.harness.node(&worker).worker.leaving = true;
        crashes.run(Duration::from_secs(2));
        crashes.crash(&worker);
        crashes.harness.node(&worker).worker.leaving = false;
    }
    crashes.run_until(LIMIT, |crashes| crashes.harness.outcome(&work).is_some());
    assert_eq!(crashes.harness.outcome(&work).unwrap().ending, Ending::Succeeded);
}
