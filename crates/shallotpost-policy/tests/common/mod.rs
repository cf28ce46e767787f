//! Helpers for the policy tests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use shallotpost_policy::planner::{Action, Job, Planner, ReleaseCause, Team, Worker};
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

/// Action limit that no test reaches.
pub const MANY: usize = 10_000;

pub fn size(cores: u64, memory_gib: u64, accelerators: u64) -> Size {
    Size::from_parts([cores * 1000, memory_gib * 1024, accelerators, 1])
}

pub fn capacity(cores: u64, memory_gib: u64, accelerators: u64, slots: u64) -> Size {
    Size::from_parts([cores * 1000, memory_gib * 1024, accelerators, slots])
}

pub fn worker(name: &str, rack: &str, capacity: Size) -> Worker {
    Worker { id: name.to_owned(), rack: rack.to_owned(), capacity, schedulable: true }
}

pub fn team(name: &str, weight: u32, grant: Size) -> Team {
    Team { id: name.to_owned(), weight, grant }
}

pub fn unlimited() -> Size {
    Size::from_parts([u64::MAX; 4])
}

pub fn work(team: &str, name: &str) -> WorkId {
    WorkId { team: team.to_owned(), name: name.to_owned() }
}

pub fn task(team: &str, name: &str, index: u32) -> Task {
    Task { work: work(team, name), index }
}

pub fn job(team: &str, name: &str, class: Class, size: Size, now: Instant) -> Job {
    Job {
        work: work(team, name),
        class,
        size,
        run_time: Some(Duration::from_secs(60)),
        admitted: now,
        preemptible: true,
    }
}

/// Returns a shard of `workers` workers with 8 cores, 32 GiB and 8 slots, four in a rack, and teams `a` and `b` with
/// equal weights.
pub fn shard(policy: &Policy, workers: usize, now: Instant) -> Planner {
    let mut planner = Planner::new(policy);
    for index in 0..workers {
        let rack = format!("r{}", index / 4);
        planner.set_worker(now, worker(&format!("w{index}"), &rack, capacity(8, 32, 0, 8)));
    }
    planner.set_team(now, team("a", 1, unlimited()));
    planner.set_team(now, team("b", 1, unlimited()));
    planner
}

/// Submits `count` batch jobs of one size, named `<prefix><n>`.
pub fn submit_batch(
    planner: &mut Planner,
    team: &str,
    prefix: &str,
    count: usize,
    size: Size,
    now: Instant,
) {
    for index in 0..count {
        let batch = job(team, &format!("{prefix}{index}"), Class::Batch, size, now);
        planner.submit(now, batch).expect("the job fits a worker");
    }
}

pub fn starts(actions: &[Action]) -> Vec<(Task, WorkerId)> {
    let start = |action: &Action| match action {
        Action::Start { task, worker } => Some((task.clone(), worker.clone())),
        Action::Stop { .. } => None,
    };
    actions.iter().filter_map(start).collect()
}

pub fn stops(actions: &[Action]) -> Vec<(Task, StopMode)> {
    let stop = |action: &Action| match action {
        Action::Stop { task, mode, .. } => Some((task.clone(), *mode)),
        Action::Start { .. } => None,
    };
    actions.iter().filter_map(stop).collect()
}

/// Confirms a stop and queues the task again.
pub fn confirm_stop(planner: &mut Planner, task: &Task, now: Instant) {
    planner.release(now, task, ReleaseCause::Stopped);
    planner.requeue(now, task);
}

/// Completes a task and removes its job.
pub fn complete(planner: &mut Planner, task: &Task, now: Instant) {
    planner.release(now, task, ReleaseCause::Succeeded);
    planner.finish(&task.work);
}
