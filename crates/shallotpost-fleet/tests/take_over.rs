//! Takeovers after an owner was killed, cut off or stopped, and faults of the store and of workers. Guards against
//! tasks that run twice and against jobs that are lost.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallotpost_fleet::configuration::Pool;
use shallotpost_fleet::job::{Job, Step};
use shallotpost_fleet::message::Message;
use shallotpost_fleet::port::{Answer, Table};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::{Call, EndReason};
use support::store::Fault;
use support::{Simulation, ms, step, task};

/// Returns a fleet of three hosts that has finished starting, and the name of its owner.
fn settled(workers: usize) -> (Simulation, String) {
    let mut sim = Simulation::new(&["a", "b", "c"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    let owner = sim.owner().expect("there is an owner");
    (sim, owner)
}

fn other(owner: &str) -> &'static str {
    if owner == "a" { "b" } else { "a" }
}

/// Kills the owner, waits for a takeover and returns the name of the new owner.
fn replace(sim: &mut Simulation, owner: &str) -> String {
    sim.kill_host(owner);
    sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
    sim.run(ms(300));
    sim.owner().expect("there is an owner")
}

/// Tasks that run while their owner is killed continue and are not started again.
#[test]
fn running_tasks_continue() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(5));
    sim.submit(&owner, "batch", 0x11, vec![step(6, 5000)]);
    sim.run(ms(500));
    let successor = replace(&mut sim, &owner);
    sim.run(ms(5000));
    sim.check_invariants();
    for index in 0..6 {
        assert_eq!(sim.starts(task(0x11, 0, index)), 1);
    }
    assert_eq!(sim.state(&successor, "batch", 0x11), Some(State::Completed));
}

/// The end of a task while there is no owner is read from the worker's list.
#[test]
fn ends_without_owner() {
    let (mut sim, owner) = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(900));
    sim.submit(other(&owner), "batch", 0x12, vec![step(2, 900)]);
    sim.run(ms(300));
    let successor = replace(&mut sim, &owner);
    sim.run(ms(1000));
    assert_eq!(sim.starts(task(0x12, 0, 0)), 1);
    assert_eq!(sim.state(&successor, "batch", 0x12), Some(State::Completed));
}

/// A worker that is cut off and has lost its registration still lists its ended runs. Guards against a second start of
/// tasks that ended there, which happens if a new owner knows only the workers of the registry.
#[test]
fn unregistered_worker() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(400));
    sim.submit(&owner, "batch", 0x13, vec![step(8, 400)]);
    sim.run(ms(100));
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, "w0", true);
    }
    sim.unregister("w0");
    replace(&mut sim, &owner);
    sim.run(ms(1500));
    assert_eq!(sim.starts_of_job(0x13), 8, "a task that had ended was started again");
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, "w0", false);
    }
    sim.register("w0", false);
    sim.run(ms(2500));
    let successor = sim.owner().expect("there is an owner");
    assert_eq!(sim.starts_of_job(0x13), 8);
    assert_eq!(sim.state(&successor, "batch", 0x13), Some(State::Completed));
}

/// A failed run counts once, even if its end is listed again to a new owner and ends from two workers arrive out of
/// order. Guards against jobs that fail too early (a run counted twice) or too late (a run not counted).
#[test]
fn failures_count_once() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.end_reason = EndReason::Failed);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(1200));
    sim.submit(&owner, "batch", 0x14, vec![step(1, 1200)]);
    // The failure of the first run is stored, but not acknowledged to the worker before the owner is killed.
    sim.run(ms(1150));
    for worker in ["w0", "w1"] {
        sim.set_partitioned(&owner, worker, true);
    }
    sim.run(ms(200));
    let successor = replace(&mut sim, &owner);
    sim.run(ms(6000));
    assert_eq!(sim.starts(task(0x14, 0, 0)), 2);
    assert_eq!(sim.state(&successor, "batch", 0x14), Some(State::Failed));
}

/// The owner reads the jobs again after the store has dropped their change history, and keeps its epoch. Guards against
/// run numbers that start again below those of ended runs.
#[test]
fn lost_history() {
    let (mut sim, owner) = settled(1);
    sim.submit(&owner, "batch", 0x15, vec![step(1, 300)]);
    sim.run(ms(1500));
    sim.store.compact();
    sim.submit(other(&owner), "batch", 0x16, vec![step(1, 300)]);
    sim.run(ms(3000));
    assert_eq!(sim.owner().as_deref(), Some(owner.as_str()));
    assert_eq!(sim.state(&owner, "batch", 0x16), Some(State::Completed));
    let numbers: Vec<u64> = sim.workers["w0"].starts.iter().map(|(_, _, number)| *number).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
}

/// The lease of a worker that no longer answers expires, and its tasks run elsewhere. Guards against unanswered calls
/// that extend the recorded lease forever.
#[test]
fn silent_worker() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(4));
    sim.submit(&owner, "batch", 0x17, vec![step(8, 4000)]);
    sim.run(ms(300));
    sim.workers.remove("w0");
    sim.unregister("w0");
    sim.run(Duration::from_secs(16));
    assert_eq!(sim.state(&owner, "batch", 0x17), Some(State::Completed));
}

/// During an outage of the store, the owner continues accepted jobs and reports no end of a job before it is stored.
#[test]
fn store_outage() {
    let (mut sim, owner) = settled(1);
    sim.submit(&owner, "batch", 0x18, vec![step(4, 300), Step { after: vec![0], ..step(1, 300) }]);
    sim.run(ms(50));
    sim.store.down = true;
    sim.run(ms(2000));
    assert_eq!(sim.starts(task(0x18, 1, 0)), 1, "the second step has to start without the store");
    assert_eq!(sim.workers["w0"].acknowledged(), 0, "an end was noted that is not stored");
    assert_eq!(sim.state(&owner, "batch", 0x18), Some(State::Running));
    let refused = sim.submit(&owner, "batch", 0x19, vec![step(1, 100)]);
    sim.run(ms(100));
    assert!(matches!(sim.answers[&refused], Answer::NotAdmitted { .. }));
    sim.store.down = false;
    sim.run(ms(1500));
    assert_eq!(sim.state(&owner, "batch", 0x18), Some(State::Completed));
    assert_eq!(sim.workers["w0"].acknowledged(), sim.workers["w0"].ended_count());
}

/// The store's answers are lost after writes took effect. Guards against a job that is admitted twice and an owner that
/// loses its ownership.
#[test]
fn lost_answers() {
    let (mut sim, owner) = settled(1);
    sim.store.fault = Fault::AnswerLost;
    let request = sim.submit(other(&owner), "batch", 0x1a, vec![step(1, 300)]);
    sim.run(ms(2000));
    assert_eq!(sim.answers[&request], Answer::Accepted);
    assert_eq!(sim.starts(task(0x1a, 0, 0)), 1);
    assert_eq!(sim.owner().as_deref(), Some(owner.as_str()));
    sim.store.fault = Fault::None;
    sim.run(ms(500));
    assert_eq!(sim.state(&owner, "batch", 0x1a), Some(State::Completed));
}

/// An owner that cannot reach the store, but its peers, commits, admits jobs and follows the configuration through
/// them.
#[test]
fn owner_cut_off_from_the_store() {
    let (mut sim, owner) = settled(1);
    sim.set_partitioned(&owner, "store", true);
    sim.run(ms(1000));
    let request = sim.submit(&owner, "batch", 0x1b, vec![step(1, 300)]);
    sim.run(ms(2500));
    assert_eq!(sim.answers[&request], Answer::Accepted);
    assert_eq!(sim.state(&owner, "batch", 0x1b), Some(State::Completed));
    sim.configure(shallotpost_fleet::configuration::Configuration {
        version: 2,
        queues: Vec::new(),
        ..support::configuration()
    });
    sim.run(ms(1900));
    let gone = sim.submit(&owner, "batch", 0x1c, vec![step(1, 300)]);
    sim.run(ms(50));
    assert_eq!(sim.answers[&gone], Answer::NoQueue);
}

/// A planned stop hands over the ownership within a second and interrupts no task.
#[test]
fn planned_stop() {
    let (mut sim, owner) = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    sim.submit(other(&owner), "batch", 0x1d, vec![step(2, 3000)]);
    sim.run(ms(300));
    sim.stop_host(&owner);
    sim.run_until(Duration::from_secs(1), "a successor", |sim| {
        sim.owner().is_some_and(|now| now != owner)
    });
    sim.run(ms(4000));
    assert_eq!(sim.starts_of_job(0x1d), 2);
    let successor = sim.owner().expect("there is an owner");
    assert_eq!(sim.state(&successor, "batch", 0x1d), Some(State::Completed));
}

/// A worker that restarts under its identifier has lost its runs, so its tasks are started again. The new fencing token
/// keeps out delayed calls to the earlier process.
#[test]
fn restarted_worker() {
    let (mut sim, owner) = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(2000));
    sim.submit(&owner, "batch", 0x1e, vec![step(2, 2000)]);
    sim.run(ms(500));
    let now = sim.now;
    sim.workers.get_mut("w0").expect("there is a worker").restart(now);
    sim.register("w0", false);
    sim.run(ms(4500));
    assert_eq!(sim.starts_of_job(0x1e), 4);
    assert_eq!(sim.state(&owner, "batch", 0x1e), Some(State::Completed));
}

/// A task whose start was not answered is placed again only when that start can no longer take effect.
#[test]
fn lost_start() {
    let (mut sim, owner) = settled(2);
    sim.workers.get_mut("w0").expect("there is a worker").loses_starts = true;
    sim.submit(&owner, "batch", 0x1f, vec![step(6, 300)]);
    sim.run(ms(800));
    sim.workers.get_mut("w0").expect("there is a worker").loses_starts = false;
    sim.run(ms(4000));
    sim.check_invariants();
    for index in 0..6 {
        assert_eq!(sim.starts(task(0x1f, 0, index)), 1);
    }
    assert_eq!(sim.state(&owner, "batch", 0x1f), Some(State::Completed));
}

/// Another worker at the address of an unreachable one proves that the latter has ended. Its tasks are placed again at
/// once, and a takeover does not wait for its lease.
#[test]
fn address_taken_over() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(2));
    sim.submit(&owner, "batch", 0x20, vec![step(8, 2000)]);
    sim.run(ms(300));
    sim.workers.get_mut("w0").expect("there is a worker").replaced = true;
    replace(&mut sim, &owner);
    sim.run(ms(4000));
    assert_eq!(sim.starts_of_job(0x20), 12);
    let successor = sim.owner().expect("there is an owner");
    assert_eq!(sim.state(&successor, "batch", 0x20), Some(State::Completed));
}

/// A single lost answer does not make a worker count as silent. Guards against a fleet that loses capacity while a
/// share of the answers is lost.
#[test]
fn single_lost_answer() {
    let (mut sim, owner) = settled(1);
    sim.submit(&owner, "batch", 0x21, vec![step(8, 300)]);
    sim.run(ms(100));
    sim.lost_answers = 1;
    sim.run(ms(3000));
    assert_eq!(sim.lost_answers, 0);
    let silent = sim.logs.iter().filter(|(_, _, text)| text.starts_with("worker_silent")).count();
    assert_eq!(silent, 0);
    assert_eq!(sim.state(&owner, "batch", 0x21), Some(State::Completed));
}

/// A claim whose answer was lost tells nothing about the previous owner, which may have renewed its leases just before.
/// Guards against a new owner that takes its own row for the one it replaced and waits for one lease only.
#[test]
fn claim_without_answer() {
    let (mut sim, owner) = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(400));
    sim.submit(&owner, "batch", 0x22, vec![step(8, 400)]);
    sim.run(ms(100));
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, "w0", true);
    }
    sim.kill_host(&owner);
    sim.store.fault = Fault::AnswerLost;
    sim.run_until(Duration::from_secs(6), "a takeover", |sim| sim.owner().is_some());
    sim.store.fault = Fault::None;
    sim.run(ms(8000));
    assert_eq!(
        sim.starts_of_job(0x22),
        8,
        "a task was started again before every lease had expired"
    );
    sim.run(ms(6000));
    assert_eq!(sim.starts_of_job(0x22), 12);
}

/// A planned stop with a slow store interrupts starts for little longer than the handover. Guards against a stopping
/// owner that starts nothing while it still has progress to store.
#[test]
fn planned_stop_with_slow_store() {
    let (mut sim, owner) = settled(8);
    for (worker, milliseconds) in sim.workers.values_mut().zip((1..).map(|step| step * 400)) {
        worker.duration = ms(milliseconds);
    }
    sim.submit(&owner, "batch", 0x23, vec![step(600, 1500)]);
    sim.run(ms(100));
    sim.store_delay = ms(300);
    sim.run(ms(2000));
    let stopped = sim.now;
    sim.stop_host(&owner);
    sim.run(ms(4000));
    let mut starts: Vec<Duration> =
        sim.workers.values().flat_map(|worker| &worker.starts).map(|(at, _, _)| *at).collect();
    starts.retain(|at| *at > stopped);
    starts.extend([stopped, sim.now]);
    starts.sort_unstable();
    let gap = starts.windows(2).map(|pair| pair[1] - pair[0]).max().expect("there are starts");
    // The release, the claim and the reads of jobs and registry take 1.2 s with this store, and the reads of the
    // workers' lists a little more.
    assert!(gap < ms(2000), "nothing was started for {gap:?}");
    sim.check_invariants();
}

/// Ends are noticed while the store is slow, so that the next steps start. Guards against workers whose lists are read
/// only as often as the store answers.
#[test]
fn ends_with_slow_store() {
    let (mut sim, owner) = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(410));
    sim.submit(&owner, "batch", 0x24, vec![step(4, 410)]);
    sim.run(ms(100));
    sim.store_delay = ms(1000);
    let steps = (0..6u16).map(|position| Step { after: (0..position).collect(), ..step(4, 410) });
    sim.submit(&owner, "batch", 0x25, steps.collect());
    // Admission takes 1 s with this store. Each of five steps takes 410 ms, and at most 150 ms until its ends are read.
    sim.run(ms(1000 + 5 * 560));
    assert_eq!(sim.starts(task(0x25, 5, 0)), 1, "the last step has not started");
}

/// While commits are slow, hosts take the ownership from live owners, which continue for a moment. Guards against tasks
/// that complete twice or never.
#[test]
fn overlapping_owners() {
    for seed in 0..6u64 {
        let (mut sim, _) = settled(3);
        for worker in sim.workers.values_mut() {
            worker.duration = ms(120 + 60 * (seed % 5));
        }
        for round in 0..60u64 {
            let host = ["a", "b", "c"][usize::try_from((round + seed) % 3).expect("it is small")];
            sim.submit(host, "batch", 0x3000 + round, vec![step(2, 200)]);
            sim.store_delay = if (round / 12) % 2 == 0 { ms(700 + 40 * seed) } else { ms(20) };
            sim.run(ms(90 + 7 * (seed % 6)));
            sim.check_invariants();
        }
        sim.store_delay = Duration::ZERO;
        sim.run(Duration::from_secs(20));
        let mut done = BTreeSet::new();
        for task in sim.workers.values().flat_map(|worker| &worker.done) {
            assert!(done.insert(*task), "seed {seed}: {task} completed twice");
        }
        assert_eq!(done.len(), 120, "seed {seed}");
    }
}

/// Workers list an ended and a present run of a job that the owner has not read yet, because an earlier owner started
/// it at the last moment. Guards against an end that is acknowledged before the job is known, after which the task runs
/// again.
#[test]
fn reports_before_the_job() {
    let mut sim = Simulation::new(&["a"], 2);
    let started = |task| Call::Start {
        task,
        number: 1,
        specification: "text".to_owned(),
        until_ms: 5000,
        checkpoint: String::new(),
        ticket: None,
    };
    for (name, index, milliseconds) in [("w0", 0, 100), ("w1", 1, 4000)] {
        let worker = sim.workers.get_mut(name).expect("there is a worker");
        worker.duration = ms(milliseconds);
        worker.call(Duration::ZERO, 0, &started(task(0x26, 0, index))).expect("it starts");
    }
    sim.run(ms(1500));
    assert_eq!(sim.owner().as_deref(), Some("a"));
    sim.submit("a", "batch", 0x26, vec![step(2, 4000)]);
    sim.run(ms(4000));
    assert_eq!(sim.starts_of_job(0x26), 2);
    assert_eq!(sim.state("a", "batch", 0x26), Some(State::Completed));
}

/// An epoch is started once, even if a read returns the new row before the claim is answered. Guards against an owner
/// that starts the same epoch twice, with run numbers and bookings reset.
#[test]
fn epoch_begins_once_with_a_slow_store() {
    for delay in (50..500).step_by(25) {
        let mut sim = Simulation::new(&["a", "b"], 1);
        sim.store_delay = ms(150);
        sim.transaction_delay = ms(delay);
        sim.store.fault = Fault::Refused;
        let claims =
            |sim: &Simulation| sim.logs.iter().any(|(_, _, text)| text.starts_with("claiming"));
        sim.run_until(Duration::from_secs(5), "a claim", claims);
        // The first claim is refused, and its answer is still in flight when the store accepts the next one.
        sim.run(ms(2));
        sim.store.fault = Fault::None;
        sim.run(ms(6000));
        let won = sim.logs.iter().filter(|(_, _, text)| text.starts_with("ownership_won"));
        let mut epochs: Vec<&str> = won.filter_map(|(_, _, text)| text.split(' ').nth(1)).collect();
        let count = epochs.len();
        epochs.dedup();
        assert_eq!(epochs.len(), count, "delay {delay}: {epochs:?}");
    }
}

/// Approval calls are not relayed through hosts that the owner cannot reach. Guards against jobs that wait for results
/// that never arrive after a neighbouring host was cut off.
#[test]
fn approvals_with_a_cut_off_host() {
    let (mut sim, owner) = settled(4);
    let rest: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != owner).collect();
    for other in rest.iter().copied().chain(["store", "w0", "w1", "w2", "w3"]) {
        sim.set_partitioned(&owner, other, true);
    }
    let owned = |sim: &Simulation| rest.iter().any(|name| sim.hosts[*name].is_owner());
    sim.run_until(Duration::from_secs(6), "a takeover", owned);
    sim.run(ms(100));
    for job in 0..8 {
        sim.submit(rest[0], "approved", 0x2700 + job, vec![step(1, 100)]);
    }
    sim.run(ms(500));
    for job in 0..8 {
        assert_eq!(sim.starts_of_job(0x2700 + job), 1, "job {job}");
    }
}

/// A host whose approval calls fail does not get most of them for being idle. Guards against jobs whose approval fails
/// again and again while other hosts could make the call.
#[test]
fn approvals_with_a_failing_host() {
    let (mut sim, owner) = settled(4);
    let failing = if owner == "a" { "b" } else { "a" };
    sim.set_partitioned(failing, "approver", true);
    sim.approvals.clear();
    for job in 0..8 {
        sim.submit(&owner, "approved", 0x2800 + job, vec![step(1, 100)]);
    }
    sim.run(ms(800));
    for job in 0..8 {
        assert_eq!(sim.starts_of_job(0x2800 + job), 1, "job {job}");
    }
    assert!(sim.approvals.len() <= 12, "{} calls", sim.approvals.len());
}

/// A job that is accepted after a takeover starts at once, although a worker of the earlier owner is unreachable.
/// Guards against a new owner that assumes that the earlier one may have started the job.
#[test]
fn new_jobs_with_a_cut_off_worker() {
    let (mut sim, owner) = settled(4);
    let rest: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != owner).collect();
    for other in rest.iter().copied().chain(["store", "w1", "w2", "w3"]) {
        sim.set_partitioned(&owner, other, true);
    }
    rest.iter().for_each(|other| sim.set_partitioned(other, "w0", true));
    let owned = |sim: &Simulation| rest.iter().any(|name| sim.hosts[*name].is_owner());
    sim.run_until(Duration::from_secs(6), "a takeover", owned);
    sim.run(ms(200));
    for (job, host) in [(0x2900, rest[0]), (0x2901, rest[1])] {
        sim.submit(host, "batch", job, vec![step(1, 100)]);
    }
    sim.run(ms(300));
    assert_eq!([sim.starts_of_job(0x2900), sim.starts_of_job(0x2901)], [1, 1]);
}

/// An owner that has not noticed its replacement ignores jobs that were accepted under its successor. Guards against a
/// job that both owners start.
#[test]
fn jobs_of_the_successor() {
    let (mut sim, owner) = settled(2);
    for (id, epoch) in [(0x2a00, 1), (0x2a01, 2)] {
        let team = Some("a".to_owned());
        let policy = support::configuration().queues[0].policy.clone();
        let queue = "batch".to_owned();
        let job = Job { queue, team, policy, epoch, ..support::job(vec![step(1, 100)]) };
        sim.send_message(&owner, other(&owner), Message::Submitted { id, job: Box::new(job) });
    }
    sim.run(ms(500));
    assert_eq!([sim.starts_of_job(0x2a00), sim.starts_of_job(0x2a01)], [1, 0]);
}

/// The host with the most processor capacity becomes the owner at the start and after a takeover, even if hosts that
/// were cut off with the owner still seem alive. Guards against an owner with too little capacity.
#[test]
fn host_with_most_processors_owns() {
    let mut sim = Simulation::new(&[], 4);
    for (host, processors) in [("a", 120), ("b", 500), ("c", 120), ("d", 500), ("e", 250)] {
        sim.processors.insert(host.to_owned(), processors);
    }
    ["a", "c", "e", "d", "b"].into_iter().for_each(|host| sim.start_host(host));
    sim.run(ms(3000));
    assert_eq!(sim.owner().as_deref(), Some("b"));
    // b and d are cut off from the others and from the store.
    for strong in ["b", "d"] {
        for other in ["a", "c", "e", "store"] {
            sim.set_partitioned(strong, other, true);
        }
    }
    let since = sim.now;
    let owned = |sim: &Simulation| ["a", "c", "e"].iter().any(|name| sim.hosts[*name].is_owner());
    sim.run_until(ms(2200), "a takeover", owned);
    assert!(sim.hosts["e"].is_owner(), "a host with less capacity owns the fleet");
    assert!(sim.now - since < ms(2000), "{:?}", sim.now - since);
}

/// The store answers no host for a while. Afterwards the owner keeps its ownership: the other hosts see its heartbeats
/// and give it time to renew its row. Guards against a takeover after each outage by the first host that notices its
/// end.
#[test]
fn owner_survives_an_outage_of_the_store() {
    for outage in (2000..4400).step_by(150) {
        let mut sim = Simulation::new(&["a", "b", "c", "d", "e"], 2);
        sim.run(ms(2500));
        let owner = sim.owner();
        assert!(owner.is_some());
        sim.store_silent = true;
        sim.run(ms(outage));
        sim.store_silent = false;
        sim.run(ms(3000));
        assert_eq!(sim.owner(), owner, "after {outage} ms");
        let claims = sim.logs.iter().filter(|(_, _, text)| text.starts_with("claiming")).count();
        assert_eq!(claims, 1, "after {outage} ms");
    }
}

/// An owner whose commits take longer than the others wait for the row was replaced in the middle of a burst. The next
/// one first had to read all jobs, and then fell behind as well.
#[test]
fn slow_owner_stays() {
    let mut sim = Simulation::new(&["a", "b", "c"], 3);
    sim.run(ms(3000));
    let owner = sim.owner().expect("there is an owner");
    sim.store_lags.insert(owner.clone(), ms(1150));
    sim.run(ms(8000));
    assert_eq!(sim.owner(), Some(owner.clone()));
    let claims = sim.logs.iter().filter(|(_, _, text)| text.starts_with("ownership_won")).count();
    assert_eq!(claims, 1);
    sim.store_lags.clear();
    sim.kill_host(&owner);
    sim.run_until(ms(2500), "a takeover", |sim| sim.owner().is_some());
}

/// A host whose path to the store has become silent must not make its callers and the fleet wait for timeouts.
#[test]
fn silent_path_to_the_store() {
    let mut sim = Simulation::new(&["a", "b", "c"], 3);
    sim.run(ms(3000));
    let owner = sim.owner().expect("there is an owner");
    sim.silent_stores.insert(owner.clone());
    let request = sim.submit(&owner, "batch", 0x9a0, vec![step(2, 100)]);
    sim.run(ms(900));
    assert_eq!(sim.answers.get(&request), Some(&Answer::Accepted));
    let ended = |(_, _, text): &(Duration, String, String)| text.starts_with("job_ended");
    assert!(sim.logs.iter().any(ended), "the job has not ended");
    assert_eq!(sim.owner(), Some(owner));
}

/// After an outage without answers, a submission in flight waited for its timeout of 1.2 s although the store answered
/// other calls again.
#[test]
fn store_returns() {
    let mut sim = Simulation::new(&["a", "b", "c"], 3);
    sim.run(ms(3000));
    let owner = sim.owner().expect("there is an owner");
    let other = ["a", "b", "c"].into_iter().find(|host| *host != owner).expect("another host");
    sim.store_silent = true;
    sim.run(ms(3300));
    let request = sim.submit(other, "batch", 0x9b0, vec![step(2, 100)]);
    sim.run(ms(100));
    sim.store_silent = false;
    sim.run(ms(500));
    assert_eq!(sim.answers.get(&request), Some(&Answer::Accepted));
}

/// A former owner whose process is back tells its successor as soon as it has read the ownership row. Guards against a wait of
/// another second for leases, after a first heartbeat that does not show this yet.
#[test]
fn restarted_owner_is_known() {
    let (mut sim, owner) = settled(1);
    replace(&mut sim, &owner);
    sim.read_delays.insert(Table::Ownership, ms(200));
    sim.start_host(&owner);
    sim.run_until(ms(500), "the end of the former owner", |sim| {
        sim.logs.iter().any(|(_, _, text)| text.starts_with("predecessor_ended"))
    });
}

/// The stored roster kept the pool of a worker's former life. A successor that could not reach the worker took the tasks of its
/// present pool for waiting, and started them again while they ran there.
#[test]
fn roster_of_former_life() {
    let mut sim = Simulation::new(&["a", "b", "c"], 2);
    let mut changed = support::configuration();
    changed.version = 2;
    let mut press = changed.queues[0].clone();
    (press.name, press.prefix) = ("press".to_owned(), "/press/".to_owned());
    press.policy.pool = "press".to_owned();
    changed.queues.push(press);
    changed.pools.push(Pool { name: "press".to_owned(), spare: false });
    sim.configure(changed);
    sim.sites.insert("w1".to_owned(), ("press".to_owned(), "kochi".to_owned()));
    sim.register("w1", false);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    // The other worker of the pool is full at first.
    sim.submit_lasting("press", 0x41, vec![step(4, 2000)], ms(2000));
    sim.wait_for_start(0x41, 4);
    let now = sim.now;
    sim.workers.get_mut("w0").expect("a worker").restart(now);
    sim.sites.insert("w0".to_owned(), ("press".to_owned(), "kochi".to_owned()));
    sim.register("w0", false);
    sim.submit_lasting("press", 0x42, vec![step(4, 20_000)], Duration::from_secs(20));
    sim.wait_for_start(0x42, 4);
    assert_eq!(sim.workers_of(0x42).into_iter().collect::<Vec<_>>(), ["w0"]);
    for host in ["a", "b", "c"] {
        sim.set_partitioned(host, "w0", true);
    }
    sim.unregister("w0");
    let owner = sim.owner().expect("there is an owner");
    replace(&mut sim, &owner);
    for _ in 0..400 {
        sim.run(ms(10));
        sim.check_invariants();
    }
}

/// The stored roster went on to tell of a restart that was long over. A successor that could not reach the worker waited for
/// the longest lease, 4 s more than without a restart, and all tasks of the pool stood meanwhile.
#[test]
fn roster_of_old_restart() {
    let takes = |restarted: bool| {
        let (mut sim, owner) = settled(2);
        if restarted {
            let now = sim.now;
            sim.workers.get_mut("w0").expect("a worker").restart(now);
            sim.register("w0", false);
        }
        for job in 1..=20 {
            sim.submit_lasting("batch", job, vec![step(1, 100)], ms(100));
            sim.run(ms(1000));
        }
        sim.kill_worker("w0", true);
        sim.unregister("w0");
        let killed = sim.now;
        sim.kill_host(&owner);
        sim.submit(other(&owner), "batch", 0x99, vec![step(1, 100)]);
        sim.run_until(Duration::from_secs(20), "a start", |sim| sim.starts(task(0x99, 0, 0)) > 0);
        sim.now - killed
    };
    let (calm, restarted) = (takes(false), takes(true));
    assert!(restarted < calm + ms(500), "started after {restarted:?} instead of {calm:?}");
}
