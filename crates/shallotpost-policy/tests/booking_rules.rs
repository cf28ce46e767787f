//! Property tests with random event sequences: bookings stay within capacities and grants, gangs start whole, all work
//! that can run does run, and decisions are deterministic.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use shallotpost_policy::planner::{Action, Job, Planner, ReleaseCause};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;

const SEED: [u8; 32] = [7; 32];
const CASES: u32 = 300;
const WORKERS: usize = 6;
const TEAMS: usize = 3;
/// Number of rounds in which all work of one event sequence can complete.
const ROUNDS: usize = 400;

#[derive(Clone, Debug)]
enum Event {
    Worker { index: usize, cores: u64, accelerators: u64, schedulable: bool },
    Remove { index: usize },
    Grant { team: usize, cores: u64 },
    Submit { team: usize, class: Class, cores: u64, accelerators: u64, preemptible: bool },
    Release { pick: usize, cause: ReleaseCause, requeue: bool },
    Finish { pick: usize },
    SetStartsEnabled(bool),
    Plan { limit: usize },
    Wait { milliseconds: u64 },
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![
        4 => Just(Class::Batch),
        1 => Just(Class::Urgent),
        1 => (1u32..4).prop_map(|replicas| Class::Service { replicas }),
        2 => (1u32..6).prop_map(|parts| Class::Gang { parts }),
    ]
}

fn cause() -> impl Strategy<Value = ReleaseCause> {
    prop_oneof![
        4 => Just(ReleaseCause::Succeeded),
        2 => Just(ReleaseCause::Failed),
        1 => Just(ReleaseCause::Stopped),
        1 => Just(ReleaseCause::Refused),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..WORKERS, 0u64..17, 0u64..3, any::<bool>()).prop_map(
            |(index, cores, accelerators, schedulable)| Event::Worker { index, cores, accelerators, schedulable }
        ),
        1 => (0..WORKERS).prop_map(|index| Event::Remove { index }),
        1 => (0..TEAMS, 0u64..60).prop_map(|(team, cores)| Event::Grant { team, cores }),
        10 => (0..TEAMS, class(), 1u64..9, 0u64..2, any::<bool>()).prop_map(
            |(team, class, cores, accelerators, preemptible)| {
                Event::Submit { team, class, cores, accelerators, preemptible }
            }
        ),
        6 => (any::<usize>(), cause(), any::<bool>())
            .prop_map(|(pick, cause, requeue)| Event::Release { pick, cause, requeue }),
        1 => any::<usize>().prop_map(|pick| Event::Finish { pick }),
        1 => any::<bool>().prop_map(Event::SetStartsEnabled),
        8 => (1usize..12).prop_map(|limit| Event::Plan { limit }),
        3 => (1u64..20_000).prop_map(|milliseconds| Event::Wait { milliseconds }),
    ]
}

/// Reference model of the planner state, updated from the events and the actions.
struct Model {
    planner: Planner,
    now: Instant,
    jobs: BTreeMap<WorkId, Job>,
    waiting: BTreeSet<Task>,
    booked: BTreeMap<Task, WorkerId>,
    capacities: BTreeMap<WorkerId, (Size, bool)>,
    grants: BTreeMap<TeamId, Size>,
    starts_disabled: bool,
    submitted: usize,
    actions: Vec<Action>,
}

impl Model {
    fn new(now: Instant) -> Model {
        let mut model = Model {
            planner: Planner::new(&Policy::default()),
            now,
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            booked: BTreeMap::new(),
            capacities: BTreeMap::new(),
            grants: BTreeMap::new(),
            starts_disabled: false,
            submitted: 0,
            actions: Vec::new(),
        };
        for index in 0..WORKERS {
            model.set_worker(index, 16, (index % 3) as u64, true);
        }
        for team in 0..TEAMS {
            model.set_grant(team, 64);
        }
        model
    }

    fn set_worker(&mut self, index: usize, cores: u64, accelerators: u64, schedulable: bool) {
        let id = format!("w{index}");
        let size = capacity(cores, 64, accelerators, 6);
        let mut changed = worker(&id, &format!("r{}", index % 2), size);
        changed.schedulable = schedulable;
        self.capacities.insert(id, (size, schedulable));
        self.planner.set_worker(self.now, changed);
    }

    fn set_grant(&mut self, index: usize, cores: u64) {
        let grant = capacity(cores, 1024, 32, 64);
        let id = format!("t{index}");
        self.grants.insert(id.clone(), grant);
        self.planner.set_team(self.now, team(&id, index as u32 + 1, grant));
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event.clone() {
            Event::Worker { index, cores, accelerators, schedulable } => {
                self.set_worker(index, cores, accelerators, schedulable);
            }
            Event::Remove { index } => self.remove(index)?,
            Event::Grant { team, cores } => self.set_grant(team, cores),
            Event::Submit { team, class, cores, accelerators, preemptible } => {
                let name = format!("j{}", self.submitted);
                self.submitted += 1;
                let size = size(cores, cores, accelerators);
                let mut job = job(&format!("t{team}"), &name, class, size, self.now);
                job.preemptible = preemptible;
                if self.planner.submit(self.now, job.clone()).is_ok() {
                    let tasks = (0..class.tasks()).map(|index| task(&job.work.team, &name, index));
                    self.waiting.extend(tasks);
                    self.jobs.insert(job.work.clone(), job);
                }
            }
            Event::Release { pick, cause, requeue } => self.release_some(pick, cause, requeue),
            Event::Finish { pick } => {
                let idle = |work: &&WorkId| !self.booked.keys().any(|task| task.work == **work);
                let works: Vec<WorkId> = self.jobs.keys().filter(idle).cloned().collect();
                if !works.is_empty() {
                    self.finish(&works[pick % works.len()]);
                }
            }
            Event::SetStartsEnabled(enabled) => {
                self.starts_disabled = !enabled;
                self.planner.set_starts_enabled(self.now, enabled);
            }
            Event::Plan { limit } => self.plan(limit)?,
            Event::Wait { milliseconds } => self.now += Duration::from_millis(milliseconds),
        }
        self.check_sums()
    }

    fn remove(&mut self, index: usize) -> Result<(), TestCaseError> {
        let id = format!("w{index}");
        let lost = self.planner.remove_worker(self.now, &id);
        let on_it = |(_, worker): &(&Task, &WorkerId)| **worker == id;
        let expected: Vec<Task> =
            self.booked.iter().filter(on_it).map(|(task, _)| task.clone()).collect();
        prop_assert_eq!(&lost, &expected, "lost tasks of {}", id);
        self.capacities.remove(&id);
        for task in &lost {
            self.booked.remove(task);
        }
        lost.iter().for_each(|task| self.requeue(task));
        Ok(())
    }

    fn release_some(&mut self, pick: usize, cause: ReleaseCause, requeue: bool) {
        let tasks: Vec<Task> = self.booked.keys().cloned().collect();
        if tasks.is_empty() {
            return;
        }
        let task = &tasks[pick % tasks.len()];
        self.release(task, cause);
        if requeue {
            self.requeue(task);
        } else if !self.booked.keys().any(|other| other.work == task.work) {
            self.finish(&task.work);
        }
    }

    fn release(&mut self, task: &Task, cause: ReleaseCause) {
        self.booked.remove(task);
        self.planner.release(self.now, task, cause);
    }

    fn requeue(&mut self, task: &Task) {
        if self.jobs.contains_key(&task.work) {
            self.waiting.insert(task.clone());
            self.planner.requeue(self.now, task);
        }
    }

    fn finish(&mut self, work: &WorkId) {
        self.planner.finish(work);
        self.jobs.remove(work);
        self.waiting.retain(|task| task.work != *work);
    }

    fn plan(&mut self, limit: usize) -> Result<(), TestCaseError> {
        let actions = self.planner.plan(self.now, limit);
        let mut gangs: BTreeMap<WorkId, u32> = BTreeMap::new();
        for action in &actions {
            match action {
                Action::Start { task, worker } => {
                    self.check_start(task, worker)?;
                    if let Class::Gang { .. } = self.jobs[&task.work].class {
                        *gangs.entry(task.work.clone()).or_default() += 1;
                    }
                }
                Action::Stop { task, worker, .. } => {
                    prop_assert_eq!(self.booked.get(task), Some(worker), "stop of {}", task);
                    prop_assert!(self.jobs[&task.work].preemptible, "stop of {}", task);
                }
            }
        }
        for (work, parts) in &gangs {
            prop_assert_eq!(self.jobs[work].class.tasks(), *parts, "gang {} in part", work);
        }
        let whole = gangs.values().any(|parts| *parts as usize == actions.len());
        prop_assert!(actions.len() <= limit || whole, "{} actions", actions.len());
        self.actions.extend(actions);
        Ok(())
    }

    fn check_start(&mut self, task: &Task, worker: &WorkerId) -> Result<(), TestCaseError> {
        prop_assert!(!self.starts_disabled, "start of {} while starts are disabled", task);
        prop_assert!(self.waiting.remove(task), "{} did not wait", task);
        let size = self.jobs[&task.work].size;
        let (capacity, schedulable) = self.capacities[worker];
        prop_assert!(schedulable, "start on {} which is not schedulable", worker);
        let on_it = self.booked.iter().filter(|(_, other)| *other == worker);
        let used = on_it.fold(size, |sum, (task, _)| sum.plus(&self.jobs[&task.work].size));
        prop_assert!(used.fits_in(&capacity), "{} on {} of {:?}", task, worker, capacity);
        let of_team = self.booked.keys().filter(|other| other.work.team == task.work.team);
        let used = of_team.fold(size, |sum, task| sum.plus(&self.jobs[&task.work].size));
        let grant = self.grants[&task.work.team];
        prop_assert!(used.fits_in(&grant), "{} beyond {:?}", task, grant);
        self.booked.insert(task.clone(), worker.clone());
        Ok(())
    }

    fn check_sums(&self) -> Result<(), TestCaseError> {
        for team in self.grants.keys() {
            let sum = |tasks: Vec<&Task>| {
                let own = tasks.into_iter().filter(|task| task.work.team == *team);
                own.fold(Size::ZERO, |sum, task| sum.plus(&self.jobs[&task.work].size))
            };
            prop_assert_eq!(self.planner.booked(team), sum(self.booked.keys().collect()));
            prop_assert_eq!(self.planner.waiting(team), sum(self.waiting.iter().collect()));
        }
        Ok(())
    }

    /// Makes all workers schedulable, raises all grants and runs the remaining work. Fails if work that could run still
    /// waits.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        self.apply(&Event::SetStartsEnabled(true))?;
        (0..WORKERS).for_each(|index| self.set_worker(index, 16, 2, true));
        (0..TEAMS).for_each(|team| self.set_grant(team, 64));
        for _ in 0..ROUNDS {
            self.plan(MANY)?;
            let tasks: Vec<Task> = self.booked.keys().cloned().collect();
            for task in tasks {
                self.release(&task, ReleaseCause::Succeeded);
                let other = |other: &Task| other.work == task.work;
                if !self.booked.keys().any(other) && !self.waiting.iter().any(other) {
                    self.finish(&task.work);
                }
            }
            self.check_sums()?;
            self.now += Duration::from_secs(2);
        }
        let left: Vec<&Task> = self.waiting.iter().filter(|task| self.is_whole(task)).collect();
        let why = left.first().map(|task| self.planner.explain(self.now, &task.work));
        prop_assert!(left.is_empty(), "{:?} still wait: {:?}", left, why);
        Ok(())
    }

    /// Returns whether the task may start: false for a part of a gang whose parts do not all wait.
    fn is_whole(&self, task: &Task) -> bool {
        let job = &self.jobs[&task.work];
        let waiting = self.waiting.iter().filter(|other| other.work == task.work).count();
        !matches!(job.class, Class::Gang { .. }) || waiting == job.class.tasks() as usize
    }
}

fn run(cases: u32, check: impl Fn(Vec<Event>) -> Result<(), TestCaseError>) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let events = prop::collection::vec(event(), 1..120);
    if let Err(failure) = runner.run(&events, check) {
        panic!("{failure}");
    }
}

/// Guards against overcommitted workers, exceeded grants, partially started gangs, double bookings and lost wake-ups.
#[test]
fn bookings_stay_within_bounds_and_all_work_runs() {
    let now = Instant::now();
    run(CASES, |events| {
        let mut model = Model::new(now);
        events.iter().try_for_each(|event| model.apply(event))?;
        model.drain()
    });
}

/// Guards against decisions that depend on the iteration order of a `HashMap`, which differs between planners.
#[test]
fn equal_events_give_equal_actions() {
    let now = Instant::now();
    run(CASES / 5, |events| {
        let mut models = [Model::new(now), Model::new(now)];
        for model in &mut models {
            events.iter().try_for_each(|event| model.apply(event))?;
            model.drain()?;
        }
        prop_assert_eq!(&models[0].actions, &models[1].actions);
        Ok(())
    });
}
