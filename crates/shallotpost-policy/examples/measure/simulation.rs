//! Simulation of planners with a seeded workload in virtual time.

use std::collections::{BTreeMap, HashMap};

use shallotpost_policy::planner::{Action, Job, ReleaseCause, Team, Worker};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

use crate::deployment::Deployment;
use crate::driver::Driver;
use crate::workload::{JobSpec, job_specs};

/// Interval between rounds of decisions.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between samples of the bookings.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time of the first sample; before it, the fleet fills.
const WARM_UP: Duration = Duration::from_secs(60);
/// Simulated time after the end of the submissions.
const DRAIN_TIME: Duration = Duration::from_secs(300);
/// Time after which a faulty worker reports a failed task.
const FAILURE_DELAY: Duration = Duration::from_secs(1);
/// Duration of a checkpoint.
const CHECKPOINT_DURATION: Duration = Duration::from_millis(1500);
/// Duration of a stop.
const STOP_DURATION: Duration = Duration::from_millis(300);
/// One job in this many ignores checkpoint requests.
const IGNORED_CHECKPOINT_INTERVAL: usize = 20;
/// Time after which the tasks of a lost data centre have certainly ended.
const LEASE_DURATION: Duration = Duration::from_millis(8660);
/// Time after the return of the data centre that still counts as part of the outage.
const RECOVERY_TIME: Duration = Duration::from_secs(60);
/// Maximum actions of one round.
const ROUND_ACTIONS_MAX: usize = 256;

#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    End { work: usize, index: usize, generation: u32 },
    Stopped { work: usize, index: usize, generation: u32, saved: bool },
    Plan,
    Sample,
    DataCentreLost,
    LeaseExpired,
    DataCentreReturned,
}

#[derive(Clone, Debug, Default)]
struct Run {
    /// Data centre, whether the worker is faulty, and the start time; `None` while the task does not run.
    place: Option<(usize, bool, Duration)>,
    saved: Duration,
    generation: u32,
    ended: bool,
    stopping: bool,
}

struct JobState {
    spec: JobSpec,
    home: Option<usize>,
    runs: Vec<Run>,
    wait: Option<Duration>,
}

/// Waiting time of one job.
pub struct Wait {
    pub class: &'static str,
    /// Index of the team in the deployment.
    pub team: usize,
    /// Time from submission until all tasks have started on workers that are not faulty; a lower bound for jobs that
    /// still wait at the end.
    pub wait: Duration,
}

/// Results of one run.
#[derive(Default)]
pub struct Result {
    pub waits: Vec<Wait>,
    /// Mean distance of the teams' usage from their fair shares, as a fraction of total usage. See `distance`.
    pub share_distance: f64,
    /// Mean booked fraction of processors and accelerators while tasks wait.
    pub packing: f64,
    /// Useful work done during the outage, as a fraction of the maximum that the remaining capacity allows. `None`
    /// without an outage.
    pub goodput: Option<f64>,
    /// Tasks that failed on faulty workers.
    pub failures: u64,
    /// Checkpoint and stop requests.
    pub preemptions: u64,
    /// Jobs that every data centre rejected.
    pub refused: u64,
}

impl Result {
    /// Combines results: concatenates the waiting times, adds the counts, and averages the other figures.
    pub fn combine<const COUNT: usize>(results: [Result; COUNT]) -> Result {
        let mut all = Result::default();
        let mut goodputs = Vec::new();
        for result in results {
            all.waits.extend(result.waits);
            all.share_distance += result.share_distance / COUNT as f64;
            all.packing += result.packing / COUNT as f64;
            goodputs.extend(result.goodput);
            all.failures += result.failures;
            all.preemptions += result.preemptions;
            all.refused += result.refused;
        }
        all.goodput = (!goodputs.is_empty()).then(|| mean(&goodputs));
        all
    }
}

/// One simulation run.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    planners: Vec<Box<dyn Driver>>,
    origin: Instant,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    jobs: Vec<JobState>,
    faulty: HashMap<(usize, WorkerId), bool>,
    is_down: Vec<bool>,
    capacities: Vec<Size>,
    result: Result,
    distances: Vec<f64>,
    packings: Vec<f64>,
    useful_work: f64,
}

impl<'a> Simulation<'a> {
    /// Creates a run with one planner for each data centre.
    pub fn new(
        deployment: &'a Deployment,
        planners: Vec<Box<dyn Driver>>,
        seed: u64,
    ) -> Simulation<'a> {
        let jobs = job_specs(deployment, seed).into_iter().map(|spec| {
            let runs = vec![Run::default(); spec.class.tasks() as usize];
            JobState { spec, home: None, runs, wait: None }
        });
        let centres = deployment.data_centres;
        Simulation {
            deployment,
            planners,
            origin: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            jobs: jobs.collect(),
            faulty: HashMap::new(),
            is_down: vec![false; centres],
            capacities: (0..centres).map(|centre| deployment.capacity(centre)).collect(),
            result: Result::default(),
            distances: Vec::new(),
            packings: Vec::new(),
            useful_work: 0.0,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Result {
        self.set_up();
        let end = Duration::from_secs(self.deployment.seconds) + DRAIN_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish(end)
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn set_up(&mut self) {
        for centre in 0..self.planners.len() {
            self.set_workers(centre, true);
            let workers = self.deployment.workers(centre);
            for (position, (id, ..)) in workers.into_iter().enumerate() {
                let faulty = position % self.deployment.failing == 3;
                self.faulty.insert((centre, id), faulty);
            }
            for load in &self.deployment.teams {
                // Each team may use up to 80% of each data centre.
                let parts = self.capacities[centre].parts().map(|part| part * 4 / 5);
                let grant = Size::from_parts(parts);
                let team = Team { id: load.id.clone(), weight: load.weight, grant };
                self.planners[centre].set_team(self.origin, team);
            }
        }
        for index in 0..self.jobs.len() {
            self.schedule(self.jobs[index].spec.at, Event::Submit(index));
        }
        self.schedule(PLAN_INTERVAL, Event::Plan);
        self.schedule(WARM_UP, Event::Sample);
        if let Some((leave, back)) = self.deployment.outage {
            self.schedule(Duration::from_secs(leave), Event::DataCentreLost);
            self.schedule(Duration::from_secs(leave) + LEASE_DURATION, Event::LeaseExpired);
            self.schedule(Duration::from_secs(back), Event::DataCentreReturned);
        }
    }

    fn set_workers(&mut self, centre: usize, schedulable: bool) {
        let now = self.instant();
        for (id, rack, capacity) in self.deployment.workers(centre) {
            self.planners[centre].set_worker(now, Worker { id, rack, capacity, schedulable });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(work) => self.submit(work),
            Event::End { work, index, generation } => self.end_task(work, index, generation),
            Event::Stopped { work, index, generation, saved } => {
                self.confirm_stop(work, index, generation, saved)
            }
            Event::Plan => {
                (0..self.planners.len()).for_each(|centre| self.plan(centre));
                self.schedule(self.now + PLAN_INTERVAL, Event::Plan);
            }
            Event::Sample => {
                self.sample();
                self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
            Event::DataCentreLost => self.lose_data_centre(),
            Event::LeaseExpired => self.move_jobs(),
            Event::DataCentreReturned => {
                self.is_down[0] = false;
                self.set_workers(0, true);
                let now = self.instant();
                self.planners[0].set_starts_enabled(now, true);
            }
        }
    }

    /// Submits a job to the least loaded data centre that accepts it.
    fn submit(&mut self, work: usize) {
        let now = self.instant();
        let spec = &self.jobs[work].spec;
        let job = Job {
            work: self.work_id(work),
            class: spec.class,
            size: spec.size,
            run_time: Some(spec.declared),
            admitted: self.origin + spec.at,
            preemptible: !matches!(spec.class, Class::Urgent) && !work.is_multiple_of(7),
        };
        let resource = if spec.size.accelerators > 0 { 2 } else { 0 };
        let mut centres: Vec<(u64, usize)> = Vec::new();
        for centre in (0..self.planners.len()).filter(|centre| !self.is_down[*centre]) {
            let teams = &self.deployment.teams;
            let used = teams.iter().fold(Size::ZERO, |sum, team| {
                let planner = &self.planners[centre];
                sum.plus(&planner.booked(&team.id)).plus(&planner.waiting(&team.id))
            });
            let capacity = self.capacities[centre].parts()[resource].max(1);
            centres.push((used.parts()[resource] * 1_000_000 / capacity, centre));
        }
        centres.sort_unstable();
        let home = centres.into_iter().map(|(_, centre)| centre);
        let mut home =
            home.filter(|centre| self.planners[*centre].submit(now, job.clone()).is_ok());
        let home = home.next();
        self.jobs[work].home = home;
        self.result.refused += u64::from(home.is_none());
    }

    fn work_id(&self, work: usize) -> WorkId {
        let team = self.deployment.teams[self.jobs[work].spec.team].id.clone();
        WorkId { team, name: format!("n{work}") }
    }

    fn task(&self, work: usize, index: usize) -> Task {
        Task { work: self.work_id(work), index: index as u32 }
    }

    fn plan(&mut self, centre: usize) {
        loop {
            let now = self.instant();
            let actions = self.planners[centre].plan(now, ROUND_ACTIONS_MAX);
            let full = actions.len() >= ROUND_ACTIONS_MAX;
            actions.into_iter().for_each(|action| self.apply(centre, action));
            if !full {
                return;
            }
        }
    }

    fn apply(&mut self, centre: usize, action: Action) {
        match action {
            Action::Start { task, worker } => self.start(centre, &task, worker),
            Action::Stop { task, mode, .. } => self.stop(&task, mode),
        }
    }

    fn start(&mut self, centre: usize, task: &Task, worker: WorkerId) {
        let (work, index) = position(task);
        let faulty = self.faulty[&(centre, worker)];
        let state = &mut self.jobs[work];
        let run = &mut state.runs[index];
        run.place = Some((centre, faulty, self.now));
        run.generation += 1;
        run.stopping = false;
        let (generation, saved) = (run.generation, run.saved);
        let length = match state.spec.run {
            _ if faulty => Some(FAILURE_DELAY),
            Some(run) => Some(run.saturating_sub(saved)),
            None => None,
        };
        let placed = state.runs.iter().all(|run| matches!(run.place, Some((_, false, _))));
        if placed && state.wait.is_none() {
            state.wait = Some(self.now - state.spec.at);
        }
        if let Some(length) = length {
            self.schedule(self.now + length, Event::End { work, index, generation });
        }
    }

    fn stop(&mut self, task: &Task, mode: StopMode) {
        let (work, index) = position(task);
        self.result.preemptions += 1;
        let run = &mut self.jobs[work].runs[index];
        let generation = run.generation;
        let (after, saved) = match mode {
            StopMode::Checkpoint if work.is_multiple_of(IGNORED_CHECKPOINT_INTERVAL) => return,
            StopMode::Checkpoint => (CHECKPOINT_DURATION, true),
            StopMode::Stop => (STOP_DURATION, false),
            StopMode::Throttle | StopMode::Resume => return,
        };
        if !std::mem::replace(&mut run.stopping, true) {
            self.schedule(self.now + after, Event::Stopped { work, index, generation, saved });
        }
    }

    /// Ends a run and counts its work during the outage if it was useful. Returns where and since when it ran.
    fn end_run(
        &mut self,
        work: usize,
        index: usize,
        useful: bool,
    ) -> Option<(usize, bool, Duration)> {
        let place = self.jobs[work].runs[index].place.take()?;
        let service = self.jobs[work].spec.run.is_none();
        if let (Some((from, to)), true) = (self.outage(), (useful || service) && !place.1) {
            let seconds = to.min(self.now).saturating_sub(from.max(place.2)).as_secs_f64();
            self.useful_work += seconds * self.mean_fraction(&self.jobs[work].spec.size);
        }
        Some(place)
    }

    fn outage(&self) -> Option<(Duration, Duration)> {
        let (leave, back) = self.deployment.outage?;
        Some((Duration::from_secs(leave), Duration::from_secs(back) + RECOVERY_TIME))
    }

    /// Returns the mean of the fractions of all processors and of all accelerators.
    fn mean_fraction(&self, size: &Size) -> f64 {
        let all = self.capacities.iter().fold(Size::ZERO, |sum, size| sum.plus(size));
        let processors = size.processors_milli as f64 / all.processors_milli as f64;
        let accelerators = size.accelerators as f64 / all.accelerators as f64;
        (processors + accelerators) / 2.0
    }

    fn end_task(&mut self, work: usize, index: usize, generation: u32) {
        if self.jobs[work].runs[index].generation != generation {
            return;
        }
        let Some((centre, faulty, _)) = self.end_run(work, index, true) else { return };
        let (now, task) = (self.instant(), self.task(work, index));
        if faulty {
            self.result.failures += 1;
            self.planners[centre].release(now, &task, ReleaseCause::Failed);
            self.requeue(work, index, centre);
            return;
        }
        self.planners[centre].release(now, &task, ReleaseCause::Succeeded);
        self.jobs[work].runs[index].ended = true;
        if self.jobs[work].runs.iter().all(|run| run.ended) {
            self.planners[centre].finish(&task.work);
        }
    }

    /// Requeues a task, or every part of its gang after stopping those that run.
    fn requeue(&mut self, work: usize, index: usize, centre: usize) {
        let gang = matches!(self.jobs[work].spec.class, Class::Gang { .. });
        let indices = if gang { 0..self.jobs[work].runs.len() } else { index..index + 1 };
        let now = self.instant();
        for index in indices.clone() {
            let task = self.task(work, index);
            if self.end_run(work, index, false).is_some() {
                self.planners[centre].release(now, &task, ReleaseCause::Stopped);
            }
        }
        for index in indices {
            let task = self.task(work, index);
            self.jobs[work].runs[index].ended = false;
            self.jobs[work].runs[index].generation += 1;
            self.planners[centre].requeue(now, &task);
        }
    }

    fn confirm_stop(&mut self, work: usize, index: usize, generation: u32, saved: bool) {
        if self.jobs[work].runs[index].generation != generation {
            return;
        }
        let Some((centre, _, started)) = self.end_run(work, index, saved) else { return };
        if saved {
            let ran = self.now - started;
            self.jobs[work].runs[index].saved += ran;
        }
        let task = self.task(work, index);
        let now = self.instant();
        self.planners[centre].release(now, &task, ReleaseCause::Stopped);
        self.requeue(work, index, centre);
    }

    fn lose_data_centre(&mut self) {
        self.is_down[0] = true;
        let now = self.instant();
        self.planners[0].set_starts_enabled(now, false);
        self.set_workers(0, false);
        for work in 0..self.jobs.len() {
            for index in 0..self.jobs[work].runs.len() {
                if matches!(self.jobs[work].runs[index].place, Some((0, ..))) {
                    self.end_run(work, index, false);
                    self.jobs[work].runs[index].generation += 1;
                }
            }
        }
    }

    /// Moves all jobs of the lost data centre to the others.
    fn move_jobs(&mut self) {
        let now = self.instant();
        for (id, ..) in self.deployment.workers(0) {
            self.planners[0].remove_worker(now, &id);
        }
        for work in 0..self.jobs.len() {
            let ended = self.jobs[work].runs.iter().all(|run| run.ended);
            if self.jobs[work].home == Some(0) && !ended {
                let id = self.work_id(work);
                self.planners[0].finish(&id);
                self.submit(work);
            }
        }
    }

    fn sample(&mut self) {
        let capacity = (0..self.planners.len())
            .filter(|centre| !self.is_down[*centre])
            .fold(Size::ZERO, |sum, centre| sum.plus(&self.capacities[centre]));
        let mut usages = Vec::new();
        let (mut all, mut waits) = (Size::ZERO, Size::ZERO);
        for team in &self.deployment.teams {
            let (mut booked, mut waiting) = (Size::ZERO, Size::ZERO);
            for (centre, planner) in self.planners.iter().enumerate() {
                if !self.is_down[centre] {
                    booked = booked.plus(&planner.booked(&team.id));
                    waiting = waiting.plus(&planner.waiting(&team.id));
                }
            }
            (all, waits) = (all.plus(&booked), waits.plus(&waiting));
            let wanted = booked.plus(&waiting).dominant_share(&capacity);
            usages.push((f64::from(team.weight), booked.dominant_share(&capacity), wanted));
        }
        if waits.slots == 0 {
            return;
        }
        self.distances.push(distance(&usages));
        let all_centres = self.capacities.iter().fold(Size::ZERO, |sum, size| sum.plus(size));
        self.packings.push(
            self.mean_fraction(&all) * self.mean_fraction(&all_centres)
                / self.mean_fraction(&capacity),
        );
    }

    fn finish(mut self, end: Duration) -> Result {
        self.now = end;
        for work in 0..self.jobs.len() {
            for index in 0..self.jobs[work].runs.len() {
                self.end_run(work, index, true);
            }
        }
        for state in self.jobs.iter().filter(|state| state.home.is_some()) {
            let (class, team) = (state.spec.class.name(), state.spec.team);
            let wait = state.wait.unwrap_or(end - state.spec.at);
            self.result.waits.push(Wait { class, team, wait });
        }
        self.result.goodput = self.deployment.outage.map(|(leave, back)| {
            let lost = self.mean_fraction(&self.capacities[0]);
            let remaining = (back - leave) as f64 * (1.0 - lost) + RECOVERY_TIME.as_secs_f64();
            let faulty = self.faulty.values().filter(|faulty| **faulty).count() as f64;
            self.useful_work / (remaining * (1.0 - faulty / self.faulty.len() as f64))
        });
        self.result.share_distance = mean(&self.distances);
        self.result.packing = mean(&self.packings);
        self.result
    }
}

fn position(task: &Task) -> (usize, usize) {
    let work = task.work.name[1..].parse().expect("work is named by its position");
    (work, task.index as usize)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns half the sum of the differences between each team's usage and its fair share, as a fraction of total usage.
/// The fair shares divide the total usage by weighted max-min fairness, none above the demand of the team. Each entry
/// holds weight, usage and demand.
fn distance(usages: &[(f64, f64, f64)]) -> f64 {
    let all: f64 = usages.iter().map(|(_, used, _)| used).sum();
    if all == 0.0 {
        return 0.0;
    }
    let mut order: Vec<&(f64, f64, f64)> = usages.iter().collect();
    order.sort_by(|left, right| (left.2 / left.0).total_cmp(&(right.2 / right.0)));
    let mut weights: f64 = usages.iter().map(|(weight, ..)| weight).sum();
    let mut left = all;
    let mut distance = 0.0;
    for (weight, used, wanted) in order {
        let fair = (left * weight / weights).min(*wanted);
        distance += (used - fair).abs();
        left -= fair;
        weights -= weight;
    }
    distance / 2.0 / all
}
