//! Simulation of planners with a seeded workload in virtual time.

use std::collections::{BTreeMap, HashMap};

use shallotpost_policy::planner::{Action, Job, ReleaseCause, Team, Worker};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::Mode;

use crate::deployment::Deployment;
use crate::driver::Driver;
use crate::workload::{Item, items};

/// Interval between rounds of decisions.
const TICK: Duration = Duration::from_millis(100);
/// Interval between samples of the bookings.
const SAMPLE: Duration = Duration::from_secs(5);
/// Time of the first sample; before it, the fleet fills.
const WARM_UP: Duration = Duration::from_secs(60);
/// Simulated time after the end of the submissions.
const RUN_OUT: Duration = Duration::from_secs(300);
/// Time after which a faulty worker reports a failed task.
const FAILURE: Duration = Duration::from_secs(1);
/// Duration of a checkpoint.
const CHECKPOINT: Duration = Duration::from_millis(1500);
/// Duration of a stop.
const STOP: Duration = Duration::from_millis(300);
/// One job in this many ignores checkpoint requests.
const DEAF: usize = 20;
/// Time after which the tasks of a lost data centre have certainly ended.
const LEASE: Duration = Duration::from_millis(8660);
/// Time after the return of the data centre that still counts as part of the outage.
const RETURNING: Duration = Duration::from_secs(60);
/// Maximum actions of one round.
const LIMIT: usize = 256;

#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    End { work: usize, index: usize, stamp: u32 },
    Stopped { work: usize, index: usize, stamp: u32, saved: bool },
    Tick,
    Sample,
    Leave,
    LeaseOver,
    Return,
}

#[derive(Clone, Debug, Default)]
struct Run {
    /// Data centre, whether the worker is faulty, and the start time; `None` while the task does not run.
    place: Option<(usize, bool, Duration)>,
    saved: Duration,
    stamp: u32,
    ended: bool,
    stopping: bool,
}

struct State {
    item: Item,
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
    pub fn together<const COUNT: usize>(results: [Result; COUNT]) -> Result {
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
    works: Vec<State>,
    bad: HashMap<(usize, WorkerId), bool>,
    out: Vec<bool>,
    capacities: Vec<Size>,
    result: Result,
    distances: Vec<f64>,
    packings: Vec<f64>,
    done: f64,
}

impl<'a> Simulation<'a> {
    /// Creates a run with one planner for each data centre.
    pub fn new(
        deployment: &'a Deployment,
        planners: Vec<Box<dyn Driver>>,
        seed: u64,
    ) -> Simulation<'a> {
        let works = items(deployment, seed).into_iter().map(|item| {
            let runs = vec![Run::default(); item.class.tasks() as usize];
            State { item, home: None, runs, wait: None }
        });
        let centres = deployment.data_centres;
        Simulation {
            deployment,
            planners,
            origin: Instant::now(),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            works: works.collect(),
            bad: HashMap::new(),
            out: vec![false; centres],
            capacities: (0..centres).map(|centre| deployment.capacity(centre)).collect(),
            result: Result::default(),
            distances: Vec::new(),
            packings: Vec::new(),
            done: 0.0,
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Result {
        self.set_up();
        let end = Duration::from_secs(self.deployment.seconds) + RUN_OUT;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish(end)
    }

    fn at(&self) -> Instant {
        self.origin + self.now
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn set_up(&mut self) {
        for centre in 0..self.planners.len() {
            self.set_workers(centre, true);
            let workers = self.deployment.workers(centre);
            for (position, (id, ..)) in workers.into_iter().enumerate() {
                let bad = position % self.deployment.failing == 3;
                self.bad.insert((centre, id), bad);
            }
            for load in &self.deployment.teams {
                // Each team may use up to 80% of each data centre.
                let parts = self.capacities[centre].parts().map(|part| part * 4 / 5);
                let grant = Size::from_parts(parts);
                let team = Team { id: load.id.clone(), weight: load.weight, grant };
                self.planners[centre].set_team(self.origin, team);
            }
        }
        for index in 0..self.works.len() {
            self.add(self.works[index].item.at, Event::Submit(index));
        }
        self.add(TICK, Event::Tick);
        self.add(WARM_UP, Event::Sample);
        if let Some((leave, back)) = self.deployment.outage {
            self.add(Duration::from_secs(leave), Event::Leave);
            self.add(Duration::from_secs(leave) + LEASE, Event::LeaseOver);
            self.add(Duration::from_secs(back), Event::Return);
        }
    }

    fn set_workers(&mut self, centre: usize, schedulable: bool) {
        let now = self.at();
        for (id, rack, capacity) in self.deployment.workers(centre) {
            self.planners[centre].set_worker(now, Worker { id, rack, capacity, schedulable });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(work) => self.submit(work),
            Event::End { work, index, stamp } => self.end(work, index, stamp),
            Event::Stopped { work, index, stamp, saved } => self.stopped(work, index, stamp, saved),
            Event::Tick => {
                (0..self.planners.len()).for_each(|centre| self.plan(centre));
                self.add(self.now + TICK, Event::Tick);
            }
            Event::Sample => {
                self.sample();
                self.add(self.now + SAMPLE, Event::Sample);
            }
            Event::Leave => self.leave(),
            Event::LeaseOver => self.move_work(),
            Event::Return => {
                self.out[0] = false;
                self.set_workers(0, true);
                let now = self.at();
                self.planners[0].set_starts_enabled(now, true);
            }
        }
    }

    /// Submits a job to the least loaded data centre that accepts it.
    fn submit(&mut self, work: usize) {
        let now = self.at();
        let item = &self.works[work].item;
        let job = Job {
            work: self.work_id(work),
            class: item.class,
            size: item.size,
            run_time: Some(item.declared),
            admitted: self.origin + item.at,
            preemptible: !matches!(item.class, Class::Urgent) && !work.is_multiple_of(7),
        };
        let resource = if item.size.accelerators > 0 { 2 } else { 0 };
        let mut centres: Vec<(u64, usize)> = Vec::new();
        for centre in (0..self.planners.len()).filter(|centre| !self.out[*centre]) {
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
        self.works[work].home = home;
        self.result.refused += u64::from(home.is_none());
    }

    fn work_id(&self, work: usize) -> WorkId {
        let team = self.deployment.teams[self.works[work].item.team].id.clone();
        WorkId { team, name: format!("n{work}") }
    }

    fn task(&self, work: usize, index: usize) -> Task {
        Task { work: self.work_id(work), index: index as u32 }
    }

    fn plan(&mut self, centre: usize) {
        loop {
            let now = self.at();
            let actions = self.planners[centre].plan(now, LIMIT);
            let full = actions.len() >= LIMIT;
            actions.into_iter().for_each(|action| self.carry_out(centre, action));
            if !full {
                return;
            }
        }
    }

    fn carry_out(&mut self, centre: usize, action: Action) {
        match action {
            Action::Start { task, worker } => self.start(centre, &task, worker),
            Action::Stop { task, mode, .. } => self.stop(&task, mode),
        }
    }

    fn start(&mut self, centre: usize, task: &Task, worker: WorkerId) {
        let (work, index) = position(task);
        let bad = self.bad[&(centre, worker)];
        let state = &mut self.works[work];
        let run = &mut state.runs[index];
        run.place = Some((centre, bad, self.now));
        run.stamp += 1;
        run.stopping = false;
        let (stamp, saved) = (run.stamp, run.saved);
        let length = match state.item.run {
            _ if bad => Some(FAILURE),
            Some(run) => Some(run.saturating_sub(saved)),
            None => None,
        };
        let placed = state.runs.iter().all(|run| matches!(run.place, Some((_, false, _))));
        if placed && state.wait.is_none() {
            state.wait = Some(self.now - state.item.at);
        }
        if let Some(length) = length {
            self.add(self.now + length, Event::End { work, index, stamp });
        }
    }

    fn stop(&mut self, task: &Task, mode: Mode) {
        let (work, index) = position(task);
        self.result.preemptions += 1;
        let run = &mut self.works[work].runs[index];
        let stamp = run.stamp;
        let (after, saved) = match mode {
            Mode::Checkpoint if work.is_multiple_of(DEAF) => return,
            Mode::Checkpoint => (CHECKPOINT, true),
            Mode::Stop => (STOP, false),
            Mode::Throttle | Mode::Resume => return,
        };
        if !std::mem::replace(&mut run.stopping, true) {
            self.add(self.now + after, Event::Stopped { work, index, stamp, saved });
        }
    }

    /// Ends a run and counts its work during the outage if it was useful. Returns where and since when it ran.
    fn close(
        &mut self,
        work: usize,
        index: usize,
        useful: bool,
    ) -> Option<(usize, bool, Duration)> {
        let place = self.works[work].runs[index].place.take()?;
        let service = self.works[work].item.run.is_none();
        if let (Some((from, to)), true) = (self.outage(), (useful || service) && !place.1) {
            let seconds = to.min(self.now).saturating_sub(from.max(place.2)).as_secs_f64();
            self.done += seconds * self.part(&self.works[work].item.size);
        }
        Some(place)
    }

    fn outage(&self) -> Option<(Duration, Duration)> {
        let (leave, back) = self.deployment.outage?;
        Some((Duration::from_secs(leave), Duration::from_secs(back) + RETURNING))
    }

    /// Returns the mean of the fractions of all processors and of all accelerators.
    fn part(&self, size: &Size) -> f64 {
        let all = self.capacities.iter().fold(Size::ZERO, |sum, size| sum.plus(size));
        let processors = size.processors_milli as f64 / all.processors_milli as f64;
        let accelerators = size.accelerators as f64 / all.accelerators as f64;
        (processors + accelerators) / 2.0
    }

    fn end(&mut self, work: usize, index: usize, stamp: u32) {
        if self.works[work].runs[index].stamp != stamp {
            return;
        }
        let Some((centre, bad, _)) = self.close(work, index, true) else { return };
        let (now, task) = (self.at(), self.task(work, index));
        if bad {
            self.result.failures += 1;
            self.planners[centre].release(now, &task, ReleaseCause::Failed);
            self.again(work, index, centre);
            return;
        }
        self.planners[centre].release(now, &task, ReleaseCause::Succeeded);
        self.works[work].runs[index].ended = true;
        if self.works[work].runs.iter().all(|run| run.ended) {
            self.planners[centre].finish(&task.work);
        }
    }

    /// Requeues a task, or every part of its gang after stopping those that run.
    fn again(&mut self, work: usize, index: usize, centre: usize) {
        let gang = matches!(self.works[work].item.class, Class::Gang { .. });
        let indices = if gang { 0..self.works[work].runs.len() } else { index..index + 1 };
        let now = self.at();
        for index in indices.clone() {
            let task = self.task(work, index);
            if self.close(work, index, false).is_some() {
                self.planners[centre].release(now, &task, ReleaseCause::Stopped);
            }
        }
        for index in indices {
            let task = self.task(work, index);
            self.works[work].runs[index].ended = false;
            self.works[work].runs[index].stamp += 1;
            self.planners[centre].requeue(now, &task);
        }
    }

    fn stopped(&mut self, work: usize, index: usize, stamp: u32, saved: bool) {
        if self.works[work].runs[index].stamp != stamp {
            return;
        }
        let Some((centre, _, started)) = self.close(work, index, saved) else { return };
        if saved {
            let ran = self.now - started;
            self.works[work].runs[index].saved += ran;
        }
        let task = self.task(work, index);
        let now = self.at();
        self.planners[centre].release(now, &task, ReleaseCause::Stopped);
        self.again(work, index, centre);
    }

    fn leave(&mut self) {
        self.out[0] = true;
        let now = self.at();
        self.planners[0].set_starts_enabled(now, false);
        self.set_workers(0, false);
        for work in 0..self.works.len() {
            for index in 0..self.works[work].runs.len() {
                if matches!(self.works[work].runs[index].place, Some((0, ..))) {
                    self.close(work, index, false);
                    self.works[work].runs[index].stamp += 1;
                }
            }
        }
    }

    /// Moves all jobs of the lost data centre to the others.
    fn move_work(&mut self) {
        let now = self.at();
        for (id, ..) in self.deployment.workers(0) {
            self.planners[0].remove_worker(now, &id);
        }
        for work in 0..self.works.len() {
            let ended = self.works[work].runs.iter().all(|run| run.ended);
            if self.works[work].home == Some(0) && !ended {
                let id = self.work_id(work);
                self.planners[0].finish(&id);
                self.submit(work);
            }
        }
    }

    fn sample(&mut self) {
        let capacity = (0..self.planners.len())
            .filter(|centre| !self.out[*centre])
            .fold(Size::ZERO, |sum, centre| sum.plus(&self.capacities[centre]));
        let mut uses = Vec::new();
        let (mut all, mut waits) = (Size::ZERO, Size::ZERO);
        for team in &self.deployment.teams {
            let (mut booked, mut waiting) = (Size::ZERO, Size::ZERO);
            for (centre, planner) in self.planners.iter().enumerate() {
                if !self.out[centre] {
                    booked = booked.plus(&planner.booked(&team.id));
                    waiting = waiting.plus(&planner.waiting(&team.id));
                }
            }
            (all, waits) = (all.plus(&booked), waits.plus(&waiting));
            let wanted = booked.plus(&waiting).dominant_part(&capacity);
            uses.push((f64::from(team.weight), booked.dominant_part(&capacity), wanted));
        }
        if waits.slots == 0 {
            return;
        }
        self.distances.push(distance(&uses));
        let all_centres = self.capacities.iter().fold(Size::ZERO, |sum, size| sum.plus(size));
        self.packings.push(self.part(&all) * self.part(&all_centres) / self.part(&capacity));
    }

    fn finish(mut self, end: Duration) -> Result {
        self.now = end;
        for work in 0..self.works.len() {
            for index in 0..self.works[work].runs.len() {
                self.close(work, index, true);
            }
        }
        for state in self.works.iter().filter(|state| state.home.is_some()) {
            let (class, team) = (state.item.class.name(), state.item.team);
            let wait = state.wait.unwrap_or(end - state.item.at);
            self.result.waits.push(Wait { class, team, wait });
        }
        self.result.goodput = self.deployment.outage.map(|(leave, back)| {
            let lost = self.part(&self.capacities[0]);
            let remaining = (back - leave) as f64 * (1.0 - lost) + RETURNING.as_secs_f64();
            let bad = self.bad.values().filter(|bad| **bad).count() as f64;
            self.done / (remaining * (1.0 - bad / self.bad.len() as f64))
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
fn distance(uses: &[(f64, f64, f64)]) -> f64 {
    let all: f64 = uses.iter().map(|(_, used, _)| used).sum();
    if all == 0.0 {
        return 0.0;
    }
    let mut order: Vec<&(f64, f64, f64)> = uses.iter().collect();
    order.sort_by(|left, right| (left.2 / left.0).total_cmp(&(right.2 / right.0)));
    let mut weights: f64 = uses.iter().map(|(weight, ..)| weight).sum();
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
