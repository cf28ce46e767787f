//! Guards against tasks that crash one worker after the other, and against blame for tasks that do not.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use std::collections::BTreeMap;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Specification};

/// Time for which a crashed worker does not answer.
const DOWN: Duration = Duration::from_secs(3);

/// Most starts of a task that crashes each of its workers, as docs/design.md states them.
const STARTS_MAX: usize = 4;

const LIMIT: Duration = Duration::from_secs(300);

/// Crashes each worker on which a task of a job runs whose name begins with `deadly`.
struct Crashes {
    harness: SchedulerHarness,
    /// Running deadly tasks of a worker, since when they run.
    since: BTreeMap<WorkerId, Instant>,
    /// Time from the start of a deadly task until its worker crashes.
    age: Duration,
    returns: BTreeMap<WorkerId, Instant>,
    count: usize,
}

impl Crashes {
    fn new(workers: usize, age: Duration) -> Crashes {
        let harness = SchedulerHarness::new(workers);
        let (since, returns) = (BTreeMap::new(), BTreeMap::new());
        Crashes { harness, since, age, returns, count: 0 }
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
        let returns = self.harness.now + DOWN;
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
            let starts = crashes.starts_within(LIMIT, &work);
            assert!(starts <= STARTS_MAX, "{starts} starts, {workers} workers, {age:?}");
            crashes.check_given_up(&work);
        }
    }
}

/// Guards against evidence that is lost with the owner that saw the crash.
#[test]
fn deadly_task_and_takeovers() {
    let mut crashes = Crashes::new(4, Duration::ZERO);
    let mut owner = crashes.harness.take_over(1);
    let work = crashes.harness.admit(job("deadly", "600000"));
    for epoch in 2..12 {
        let before = crashes.count;
        let end = crashes.harness.now + Duration::from_secs(60);
        while crashes.count == before && crashes.harness.now < end {
            crashes.step();
        }
        // The owner learns of the crash once the worker answers again.
        crashes.run(DOWN + Duration::from_secs(1));
        crashes.harness.kill(owner);
        owner = crashes.harness.take_over(epoch);
    }
    let starts = crashes.starts_within(LIMIT, &work);
    assert!(starts <= STARTS_MAX, "{starts} starts");
    crashes.check_given_up(&work);
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

/// Guards against jobs that are shown as failed, or never end, because they shared workers with a deadly task.
#[test]
fn neighbours() {
    let mut crashes = Crashes::new(3, Duration::from_millis(500));
    crashes.harness.take_over(1);
    let sound: Vec<WorkId> =
        (0..9).map(|n| crashes.harness.admit(job(&format!("sound{n}"), "20000"))).collect();
    let deadly: Vec<WorkId> =
        (0..2).map(|n| crashes.harness.admit(job(&format!("deadly{n}"), "600000"))).collect();
    crashes.run_until(LIMIT * 2, |crashes| {
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
            crashes.run(Duration::from_secs(12));
            if takeovers {
                crashes.harness.kill(owner);
                owner = crashes.harness.take_over(cut + 2);
            }
            crashes.harness.node(&worker).alive = true;
        }
        crashes.run_until(LIMIT, |crashes| crashes.harness.outcome(&work).is_some());
        assert_eq!(crashes.harness.outcome(&work).unwrap().ending, Ending::Succeeded);
    }
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
