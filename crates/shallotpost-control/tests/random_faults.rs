//! Random sequences of faults with fixed seeds.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduling.rs"]
mod scheduling;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use scheduling::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Specification};

const FAULTS: [Fault; 7] = [
    Fault::NotSent,
    Fault::LostRequest,
    Fault::LostAnswer,
    Fault::Twice,
    Fault::Late,
    Fault::Slow,
    Fault::Crossed,
];

fn job(random: &mut StdRng, n: usize) -> Specification {
    let class = match random.random_range(0..4) {
        0 => Class::Gang { parts: 2 },
        1 => Class::Urgent,
        _ => Class::Batch,
    };
    let time = random.random_range(10..4000).to_string();
    let command = if random.random_bool(0.1) { "fail" } else { "run" };
    let specification = specification(&format!("job{n}"), class, &[command, &time]);
    Specification { idempotent: random.random_bool(0.6), ..specification }
}

fn disturb(
    world: &mut World,
    random: &mut StdRng,
    standbys: &mut Vec<usize>,
    owner: &mut usize,
    epoch: &mut Epoch,
) {
    let worker = format!("w{}", random.random_range(0..3));
    let kind = [Kind::Claim, Kind::Sync, Kind::Start, Kind::Stop][random.random_range(0..4)];
    match random.random_range(0..12) {
        0 => world.node(&worker).alive ^= true,
        1 => {
            world.node(&worker).listed ^= true;
            world.publish();
        }
        2 => world.node(&worker).worker.restart(),
        3 => world.table_up ^= true,
        4 => {
            world.fresh ^= true;
        }
        5 => {
            let drained = random.random_bool(0.5);
            let availability = if drained { Availability::Drained } else { Availability::Active };
            world.set_availability("dc", availability);
        }
        6 => {
            // The owner dies, or is paused and goes on later beside the new owner.
            let paused = random.random_bool(0.5);
            match paused {
                true => world.set_running(*owner, false),
                false => world.kill(*owner),
            }
            world.run(random.random_range(0..5000));
            *epoch += 1;
            // The new owner is a host that has run for a while, or has just started.
            let new = standbys.pop().filter(|_| random.random_bool(0.5));
            let new = new.unwrap_or_else(|| world.add_owner());
            world.acquire(new, *epoch);
            let old = std::mem::replace(owner, new);
            if paused {
                world.run(random.random_range(0..5000));
                world.set_running(old, true);
            }
        }
        7 => {
            let name = format!("job{}", random.random_range(0..8));
            world.ask(*owner, Ask::Cancel(work(&name)));
        }
        _ => world.fault(&worker, kind, FAULTS[random.random_range(0..FAULTS.len())], 2),
    }
}

/// Guards against any sequence of faults that loses work, runs a task in two places or overbooks a worker.
#[test]
fn random_faults() {
    // The last two found an owner that ended or claimed something after it had lost the shard.
    for seed in (0..30).chain([42, 74]) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(3);
        let (mut owner, mut epoch) = (world.take_over(1), 1);
        let mut standbys: Vec<usize> = (0..3).map(|_| world.add_owner()).collect();
        let mut jobs = Vec::new();
        for n in 0..30 {
            if n % 3 == 0 && world.table_up {
                let job = job(&mut random, jobs.len());
                world.admit(job.clone());
                jobs.push(job);
            }
            disturb(&mut world, &mut random, &mut standbys, &mut owner, &mut epoch);
            world.run(random.random_range(0..1500));
        }
        for name in ["w0", "w1", "w2"] {
            (world.node(name).alive, world.node(name).listed) = (true, true);
        }
        (world.table_up, world.fresh) = (true, true);
        world.set_availability("dc", Availability::Active);
        world.run_until(Duration::from_secs(90), |world| {
            jobs.iter().all(|job| world.outcome(&job.work_id()).is_some())
        });
        for job in &jobs {
            let outcome = world.outcome(&job.work_id()).unwrap();
            let starts = world.starts(&job.work_id());
            let tasks = job.class.tasks() as usize;
            assert!(job.idempotent || starts <= tasks, "{}: {starts} starts", job.id);
            assert!(!outcome.not_run || starts == 0, "{} was run: {outcome:?}", job.id);
            let succeeds = job.command[0] == "run" && job.idempotent;
            let expected = match outcome.ending {
                Ending::Cancelled => true,
                Ending::Succeeded => job.command[0] == "run" && starts >= tasks,
                Ending::Failed | Ending::Unknown => !succeeds,
                _ => false,
            };
            assert!(expected, "{}: {outcome:?}, {starts} starts", job.id);
        }
    }
}
