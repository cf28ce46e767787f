//! Seeded workloads. Declared sizes and run times are wrong by a factor of up to 10.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::work::Class;

use crate::deployment::{Deployment, TeamLoad, WorkerKind};

/// Minimum and maximum actual run time, in seconds.
const RUN_SECONDS: (f64, f64) = (10.0, 300.0);
/// Fraction of the offered load in services, which start first and run to the end.
const SERVICE_FRACTION: f64 = 0.2;
/// Maximum fraction of the workers of one kind in one data centre that a job takes. A larger job could never start
/// while the services of all teams run.
const JOB_FRACTION_MAX: f64 = 0.3;

/// One job.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// Submission time, from the start of the run.
    pub at: Duration,
    /// Index of the team in the deployment.
    pub team: usize,
    pub class: Class,
    /// Declared and therefore booked size of a task.
    pub size: Size,
    pub declared: Duration,
    /// Actual run time; `None` for services.
    pub run: Option<Duration>,
}

/// Returns all jobs of a deployment in order of submission.
pub fn job_specs(deployment: &Deployment, seed: u64) -> Vec<JobSpec> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut specs = Vec::new();
    for (number, kind) in deployment.kinds.iter().enumerate() {
        for (team, load) in deployment.teams.iter().enumerate() {
            services(&mut random, deployment, kind, team, load, &mut specs);
            arrivals(&mut random, deployment, kind, (number, team), load, &mut specs);
        }
    }
    specs.sort_by_key(|spec| spec.at);
    specs
}

/// Returns the ratio of the offered load at a time, in seconds, to the mean. It peaks in the second third.
fn load_factor(deployment: &Deployment, at: f64) -> f64 {
    match at / deployment.seconds as f64 {
        part if part < 0.33 => 0.9,
        part if part < 0.67 => 1.4,
        _ => 0.7,
    }
}

fn services(
    random: &mut StdRng,
    deployment: &Deployment,
    kind: &WorkerKind,
    team: usize,
    load: &TeamLoad,
    specs: &mut Vec<JobSpec>,
) {
    let capacity = kind.capacity.times(kind.count as u64);
    let mut left = load.load * SERVICE_FRACTION;
    while left > 0.0 {
        let size = declared_size(random, deployment, kind);
        let replicas = limit_tasks(deployment, kind, &size, random.random_range(2..5));
        left -= size.times(u64::from(replicas)).dominant_share(&capacity);
        let class = Class::Service { replicas };
        let at = Duration::from_millis(random.random_range(0..5000));
        let declared = Duration::from_secs(3600);
        specs.push(JobSpec { at, team, class, size, declared, run: None });
    }
}

fn arrivals(
    random: &mut StdRng,
    deployment: &Deployment,
    kind: &WorkerKind,
    (number, team): (usize, usize),
    load: &TeamLoad,
    specs: &mut Vec<JobSpec>,
) {
    let capacity = kind.capacity.times(kind.count as u64);
    let mut at = random.random_range(0.0..2.0);
    while at < deployment.seconds as f64 {
        let class = match random.random_range(0..100) {
            0..4 => Class::Urgent,
            4..8 if number == 1 => Class::Gang { parts: random.random_range(2..9) },
            4..6 => Class::Gang { parts: random.random_range(2..9) },
            _ => Class::Batch,
        };
        let size = declared_size(random, deployment, kind);
        let seconds = log_uniform(random, RUN_SECONDS.0, RUN_SECONDS.1);
        let class = match class {
            Class::Gang { parts } => {
                Class::Gang { parts: limit_tasks(deployment, kind, &size, parts) }
            }
            other => other,
        };
        let run = Duration::from_secs_f64(seconds);
        let declared = Duration::from_secs_f64(seconds * log_uniform(random, 0.1, 10.0));
        let spec = JobSpec {
            at: Duration::from_millis((at * 1000.0) as u64),
            team,
            class,
            size,
            declared,
            run: Some(run),
        };
        let used = size.times(u64::from(class.tasks())).dominant_share(&capacity) * seconds;
        at += used / (load.load * (1.0 - SERVICE_FRACTION) * load_factor(deployment, at));
        specs.push(spec);
    }
}

/// Limits the number of tasks to what fits in `JOB_FRACTION_MAX` of one data centre, but to at least one.
fn limit_tasks(deployment: &Deployment, kind: &WorkerKind, size: &Size, tasks: u32) -> u32 {
    let workers = kind.count / deployment.data_centres;
    let part = size.dominant_share(&kind.capacity.times(workers as u64));
    tasks.min((JOB_FRACTION_MAX / part) as u32).max(1)
}

/// Draws a declared size: the actual size times a factor of 0.1 to 10, at most half a worker.
fn declared_size(random: &mut StdRng, deployment: &Deployment, kind: &WorkerKind) -> Size {
    let (least, most) = deployment.cores;
    let cores = log_uniform(random, least as f64, most as f64) * log_uniform(random, 0.1, 10.0);
    let half = kind.capacity.processors_milli as f64 / 2.0;
    let milli = (cores * 1000.0).clamp(100.0, half);
    let memory = milli / 1000.0 * log_uniform(random, 0.1, 10.0) * 1024.0;
    let memory = memory.clamp(64.0, kind.capacity.memory_mib as f64 / 2.0);
    let accelerators = match kind.capacity.accelerators {
        0 => 0,
        _ => [1, 1, 1, 2, 2, 4][random.random_range(0..6)],
    };
    Size::from_parts([milli as u64, memory as u64, accelerators, 1])
}

/// Draws a value from a log-uniform distribution.
fn log_uniform(random: &mut StdRng, least: f64, most: f64) -> f64 {
    random.random_range(least.ln()..most.ln()).exp()
}
