//! Guards scheduling under random sequences of faults, with fixed seeds.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::resource::Availability;
use shallotpost_protocol::work::{Class, Ending, Specification};

const FAULTS: [Fault; 7] = [
    Fault::NotSent,
    Fault::LostRequest,
    Fault::LostAnswer,
    Fault::DuplicateAnswer,
    Fault::LateAnswer,
    Fault::SlowAnswer,
    Fault::StrayAnswer,
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

fn inject_fault(
    harness: &mut SchedulerHarness,
    random: &mut StdRng,
    standbys: &mut Vec<usize>,
    owner: &mut usize,
    epoch: &mut Epoch,
) {
    let worker = format!("w{}", random.random_range(0..3));
    let kind = [CallKind::Claim, CallKind::Sync, CallKind::Start, CallKind::Stop]
        [random.random_range(0..4)];
    match random.random_range(0..12) {
        0 => harness.node(&worker).alive ^= true,
        1 => {
            harness.node(&worker).listed ^= true;
            harness.publish();
        }
        2 => harness.node(&worker).worker.restart(),
        3 => harness.table_up ^= true,
        4 => {
            harness.renews_configuration_lease ^= true;
        }
        5 => {
            let drained = random.random_bool(0.5);
            let availability = if drained { Availability::Drained } else { Availability::Active };
            harness.set_availability("dc", availability);
        }
        6 => {
            // The owner dies, or is paused and resumes while the new owner is active.
            let paused = random.random_bool(0.5);
            match paused {
                true => harness.set_running(*owner, false),
                false => harness.kill(*owner),
            }
            harness.run(random.random_range(0..5000));
            *epoch += 1;
            // The new owner is a host that has run for a while, or has just started.
            let new = standbys.pop().filter(|_| random.random_bool(0.5));
            let new = new.unwrap_or_else(|| harness.add_owner());
            harness.acquire(new, *epoch);
            let old = std::mem::replace(owner, new);
            if paused {
                harness.run(random.random_range(0..5000));
                harness.set_running(old, true);
            }
        }
        7 => {
            let name = format!("job{}", random.random_range(0..8));
            harness.ask(*owner, ClientRequest::Cancel(work(&name)));
        }
        _ => harness.fault(&worker, kind, FAULTS[random.random_range(0..FAULTS.len())], 2),
    }
}

/// Guards against any sequence of faults that loses work, runs a task in two places or overbooks a worker.
#[test]
fn random_faults() {
    // Seeds 42 and 74 once found an owner that ended or claimed something after it had lost the shard.
    for seed in (0..30).chain([42, 74]) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut harness = SchedulerHarness::new(3);
        let (mut owner, mut epoch) = (harness.take_over(1), 1);
        let mut standbys: Vec<usize> = (0..3).map(|_| harness.add_owner()).collect();
        let mut jobs = Vec::new();
        for n in 0..30 {
            if n % 3 == 0 && harness.table_up {
                let job = job(&mut random, jobs.len());
                harness.admit(job.clone());
                jobs.push(job);
            }
            inject_fault(&mut harness, &mut random, &mut standbys, &mut owner, &mut epoch);
            harness.run(random.random_range(0..1500));
        }
        for name in ["w0", "w1", "w2"] {
            (harness.node(name).alive, harness.node(name).listed) = (true, true);
        }
        (harness.table_up, harness.renews_configuration_lease) = (true, true);
        harness.set_availability("dc", Availability::Active);
        harness.run_until(Duration::from_secs(90), |harness| {
            jobs.iter().all(|job| harness.outcome(&job.work_id()).is_some())
        });
        for job in &jobs {
            let outcome = harness.outcome(&job.work_id()).unwrap();
            let starts = harness.starts(&job.work_id());
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
