//! A successor of an owner that died, was cut off or stopped: nothing runs twice, and nothing is forgotten.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use shallotpost_fleet::job::{Job, Step};
use shallotpost_fleet::message::Message;
use shallotpost_fleet::port::Answer;
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::{Call, EndReason};
use support::store::Fault;
use support::{Site, ms, step, task};

/// A fleet of three hosts that has settled, and the name of its owner.
fn settled(workers: usize) -> (Site, String) {
    let mut site = Site::new(&["a", "b", "c"], workers);
    site.run_until(Duration::from_secs(3), "an owner", |site| site.owner().is_some());
    site.run(ms(1500));
    let owner = site.owner().expect("there is an owner");
    (site, owner)
}

fn other(owner: &str) -> &'static str {
    if owner == "a" { "b" } else { "a" }
}

/// Kills the owner and waits for its successor.
fn replace(site: &mut Site, owner: &str) -> String {
    site.kill_host(owner);
    site.run_until(Duration::from_secs(6), "a take-over", |site| site.owner().is_some());
    site.run(ms(300));
    site.owner().expect("there is an owner")
}

/// Tasks that run while their owner dies run on, and are not started again.
#[test]
fn running_tasks_continue() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(5));
    site.submit(&owner, "batch", 0x11, vec![step(6, 5000)]);
    site.run(ms(500));
    let successor = replace(&mut site, &owner);
    site.run(ms(5000));
    site.check();
    for index in 0..6 {
        assert_eq!(site.starts(task(0x11, 0, index)), 1);
    }
    assert_eq!(site.state(&successor, "batch", 0x11), Some(State::Completed));
}

/// A task that ended while there was no owner is taken from the worker's list.
#[test]
fn ends_without_owner() {
    let (mut site, owner) = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(900));
    site.submit(other(&owner), "batch", 0x12, vec![step(2, 900)]);
    site.run(ms(300));
    let successor = replace(&mut site, &owner);
    site.run(ms(1000));
    assert_eq!(site.starts(task(0x12, 0, 0)), 1);
    assert_eq!(site.state(&successor, "batch", 0x12), Some(State::Completed));
}

/// A worker that lost its registration behind a cut still holds its ends. Guards against starting again what has ended
/// there, which happened when a successor knew only the workers of the registry.
#[test]
fn unregistered_worker() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(400));
    site.submit(&owner, "batch", 0x13, vec![step(8, 400)]);
    site.run(ms(100));
    for host in ["a", "b", "c"] {
        site.cut(host, "w0", true);
    }
    site.unregister("w0");
    replace(&mut site, &owner);
    site.run(ms(1500));
    assert_eq!(site.starts_of_job(0x13), 8, "a task that had ended was started again");
    for host in ["a", "b", "c"] {
        site.cut(host, "w0", false);
    }
    site.register("w0", false);
    site.run(ms(2500));
    let successor = site.owner().expect("there is an owner");
    assert_eq!(site.starts_of_job(0x13), 8);
    assert_eq!(site.state(&successor, "batch", 0x13), Some(State::Completed));
}

/// A failed run counts once, also when its end is listed again to a successor and ends of two workers arrive in the wrong
/// order. Guards against jobs that failed too early (one count too many) or too late (one too few).
#[test]
fn failures_count_once() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.ending = EndReason::Failed);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(1200));
    site.submit(&owner, "batch", 0x14, vec![step(1, 1200)]);
    // The failure of the first run is stored; the worker is not told, because the owner dies.
    site.run(ms(1150));
    for worker in ["w0", "w1"] {
        site.cut(&owner, worker, true);
    }
    site.run(ms(200));
    let successor = replace(&mut site, &owner);
    site.run(ms(6000));
    assert_eq!(site.starts(task(0x14, 0, 0)), 2);
    assert_eq!(site.state(&successor, "batch", 0x14), Some(State::Failed));
}

/// The owner reads the jobs again where their history is lost and keeps its epoch. Guards against run numbers that begin
/// anew below runs that have ended.
#[test]
fn lost_history() {
    let (mut site, owner) = settled(1);
    site.submit(&owner, "batch", 0x15, vec![step(1, 300)]);
    site.run(ms(1500));
    site.store.compact();
    site.submit(other(&owner), "batch", 0x16, vec![step(1, 300)]);
    site.run(ms(3000));
    assert_eq!(site.owner().as_deref(), Some(owner.as_str()));
    assert_eq!(site.state(&owner, "batch", 0x16), Some(State::Completed));
    let numbers: Vec<u64> =
        site.workers["w0"].starts.iter().map(|(_, _, number)| *number).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
}

/// The lease of a worker that does not answer any more lapses, and its tasks run elsewhere. Guards against calls without
/// an answer that extended the recorded lease for ever.
#[test]
fn silent_worker() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(4));
    site.submit(&owner, "batch", 0x17, vec![step(8, 4000)]);
    site.run(ms(300));
    site.workers.remove("w0");
    site.unregister("w0");
    site.run(Duration::from_secs(16));
    assert_eq!(site.state(&owner, "batch", 0x17), Some(State::Completed));
}

/// While the store is away the owner goes on with accepted jobs and tells nobody that a job has ended before that is
/// stored.
#[test]
fn store_outage() {
    let (mut site, owner) = settled(1);
    site.submit(&owner, "batch", 0x18, vec![step(4, 300), Step { after: vec![0], ..step(1, 300) }]);
    site.run(ms(50));
    site.store.down = true;
    site.run(ms(2000));
    assert_eq!(site.starts(task(0x18, 1, 0)), 1, "the second step has to start without the store");
    assert_eq!(site.workers["w0"].noted(), 0, "an end was noted that is not stored");
    assert_eq!(site.state(&owner, "batch", 0x18), Some(State::Running));
    let refused = site.submit(&owner, "batch", 0x19, vec![step(1, 100)]);
    site.run(ms(100));
    assert!(matches!(site.answers[&refused], Answer::NotAdmitted { .. }));
    site.store.down = false;
    site.run(ms(1500));
    assert_eq!(site.state(&owner, "batch", 0x18), Some(State::Completed));
    assert_eq!(site.workers["w0"].noted(), site.workers["w0"].ends());
}

/// Answers of the store are lost after the write took effect: a job is admitted once, and ownership stays.
#[test]
fn lost_answers() {
    let (mut site, owner) = settled(1);
    site.store.fault = Fault::AnswerLost;
    let request = site.submit(other(&owner), "batch", 0x1a, vec![step(1, 300)]);
    site.run(ms(2000));
    assert_eq!(site.answers[&request], Answer::Accepted);
    assert_eq!(site.starts(task(0x1a, 0, 0)), 1);
    assert_eq!(site.owner().as_deref(), Some(owner.as_str()));
    site.store.fault = Fault::None;
    site.run(ms(500));
    assert_eq!(site.state(&owner, "batch", 0x1a), Some(State::Completed));
}

/// A host that the store alone refuses goes on through a peer: as owner, for submissions, and for the configuration.
#[test]
fn refused_by_store() {
    let (mut site, owner) = settled(1);
    site.cut(&owner, "store", true);
    site.run(ms(1000));
    let request = site.submit(&owner, "batch", 0x1b, vec![step(1, 300)]);
    site.run(ms(2500));
    assert_eq!(site.answers[&request], Answer::Accepted);
    assert_eq!(site.state(&owner, "batch", 0x1b), Some(State::Completed));
    site.configure(shallotpost_fleet::configuration::Configuration {
        version: 2,
        queues: Vec::new(),
        ..support::configuration()
    });
    site.run(ms(1900));
    let gone = site.submit(&owner, "batch", 0x1c, vec![step(1, 300)]);
    site.run(ms(50));
    assert_eq!(site.answers[&gone], Answer::NoQueue);
}

/// A planned stop hands over within a second and interrupts no task.
#[test]
fn planned_stop() {
    let (mut site, owner) = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    site.submit(other(&owner), "batch", 0x1d, vec![step(2, 3000)]);
    site.run(ms(300));
    site.stop_host(&owner);
    site.run_until(Duration::from_secs(1), "a successor", |site| {
        site.owner().is_some_and(|now| now != owner)
    });
    site.run(ms(4000));
    assert_eq!(site.starts_of_job(0x1d), 2);
    let successor = site.owner().expect("there is an owner");
    assert_eq!(site.state(&successor, "batch", 0x1d), Some(State::Completed));
}

/// A worker that starts again under its identifier runs nothing of before: its tasks are started again, under a fencing
/// token that late orders of the earlier life do not have.
#[test]
fn reborn_worker() {
    let (mut site, owner) = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(2000));
    site.submit(&owner, "batch", 0x1e, vec![step(2, 2000)]);
    site.run(ms(500));
    let now = site.now;
    site.workers.get_mut("w0").expect("there is a worker").reborn(now);
    site.register("w0", false);
    site.run(ms(4500));
    assert_eq!(site.starts_of_job(0x1e), 4);
    assert_eq!(site.state(&owner, "batch", 0x1e), Some(State::Completed));
}

/// A start without an answer is ruled out before the task is placed again.
#[test]
fn lost_start() {
    let (mut site, owner) = settled(2);
    site.workers.get_mut("w0").expect("there is a worker").loses_starts = true;
    site.submit(&owner, "batch", 0x1f, vec![step(6, 300)]);
    site.run(ms(800));
    site.workers.get_mut("w0").expect("there is a worker").loses_starts = false;
    site.run(ms(4000));
    site.check();
    for index in 0..6 {
        assert_eq!(site.starts(task(0x1f, 0, index)), 1);
    }
    assert_eq!(site.state(&owner, "batch", 0x1f), Some(State::Completed));
}

/// Another worker at the address of one that is out of reach proves that it has ended: its tasks are placed again at once,
/// and a take-over does not wait for its lease.
#[test]
fn address_taken_over() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(2));
    site.submit(&owner, "batch", 0x20, vec![step(8, 2000)]);
    site.run(ms(300));
    site.workers.get_mut("w0").expect("there is a worker").replaced = true;
    replace(&mut site, &owner);
    site.run(ms(4000));
    assert_eq!(site.starts_of_job(0x20), 12);
    let successor = site.owner().expect("there is an owner");
    assert_eq!(site.state(&successor, "batch", 0x20), Some(State::Completed));
}

/// A single answer that is lost does not take a worker out of use. Guards against a fleet that loses a part of its room
/// while a share of the answers is lost.
#[test]
fn single_lost_answer() {
    let (mut site, owner) = settled(1);
    site.submit(&owner, "batch", 0x21, vec![step(8, 300)]);
    site.run(ms(100));
    site.lost_answers = 1;
    site.run(ms(3000));
    assert_eq!(site.lost_answers, 0);
    let silent = site.logs.iter().filter(|(_, _, text)| text.starts_with("worker_silent")).count();
    assert_eq!(silent, 0);
    assert_eq!(site.state(&owner, "batch", 0x21), Some(State::Completed));
}

/// A claim whose answer was lost proves nothing about the previous owner, which may have renewed its leases just before.
/// Guards against a successor that takes its own row for the one that it replaced, and waits for one lease only.
#[test]
fn claim_without_answer() {
    let (mut site, owner) = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(400));
    site.submit(&owner, "batch", 0x22, vec![step(8, 400)]);
    site.run(ms(100));
    for host in ["a", "b", "c"] {
        site.cut(host, "w0", true);
    }
    site.kill_host(&owner);
    site.store.fault = Fault::AnswerLost;
    site.run_until(Duration::from_secs(6), "a take-over", |site| site.owner().is_some());
    site.store.fault = Fault::None;
    site.run(ms(8000));
    assert_eq!(
        site.starts_of_job(0x22),
        8,
        "a task was started again before every lease had lapsed"
    );
    site.run(ms(6000));
    assert_eq!(site.starts_of_job(0x22), 12);
}

/// A planned stop while the store is slow interrupts starts for little more than the hand-over takes. Guards against a
/// stopping owner that starts nothing while it still has progress to store.
#[test]
fn planned_stop_with_slow_store() {
    let (mut site, owner) = settled(8);
    for (worker, milliseconds) in site.workers.values_mut().zip((1..).map(|step| step * 400)) {
        worker.duration = ms(milliseconds);
    }
    site.submit(&owner, "batch", 0x23, vec![step(600, 1500)]);
    site.run(ms(100));
    site.store_delay = ms(300);
    site.run(ms(2000));
    let stopped = site.now;
    site.stop_host(&owner);
    site.run(ms(4000));
    let mut starts: Vec<Duration> =
        site.workers.values().flat_map(|worker| &worker.starts).map(|(at, _, _)| *at).collect();
    starts.retain(|at| *at > stopped);
    starts.extend([stopped, site.now]);
    starts.sort_unstable();
    let gap = starts.windows(2).map(|pair| pair[1] - pair[0]).max().expect("there are starts");
    // The release, the claim and the reads of jobs and registry take 1.2 s with this store, and the lists a little more.
    assert!(gap < ms(2000), "nothing was started for {gap:?}");
    site.check();
}

/// Ends are noticed while the store is slow, so that the next steps start. Guards against a worker that is read only as
/// often as the store answers.
#[test]
fn ends_with_slow_store() {
    let (mut site, owner) = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(410));
    site.submit(&owner, "batch", 0x24, vec![step(4, 410)]);
    site.run(ms(100));
    site.store_delay = ms(1000);
    let steps = (0..6u16).map(|position| Step { after: (0..position).collect(), ..step(4, 410) });
    site.submit(&owner, "batch", 0x25, steps.collect());
    // Admission takes a second with this store, and each of five steps 410 ms and at most 150 until its ends are read.
    site.run(ms(1000 + 5 * 560));
    assert_eq!(site.starts(task(0x25, 5, 0)), 1, "the last step has not started");
}

/// While commits are slow, hosts take ownership from owners that are alive and go on for a moment. No task may complete
/// twice, and none may be forgotten.
#[test]
fn overlapping_owners() {
    for seed in 0..6u64 {
        let (mut site, _) = settled(3);
        for worker in site.workers.values_mut() {
            worker.duration = ms(120 + 60 * (seed % 5));
        }
        for round in 0..60u64 {
            let host = ["a", "b", "c"][usize::try_from((round + seed) % 3).expect("it is small")];
            site.submit(host, "batch", 0x3000 + round, vec![step(2, 200)]);
            site.store_delay = if (round / 12) % 2 == 0 { ms(700 + 40 * seed) } else { ms(20) };
            site.run(ms(90 + 7 * (seed % 6)));
            site.check();
        }
        site.store_delay = Duration::ZERO;
        site.run(Duration::from_secs(20));
        let mut done = BTreeSet::new();
        for task in site.workers.values().flat_map(|worker| &worker.done) {
            assert!(done.insert(*task), "seed {seed}: {task} completed twice");
        }
        assert_eq!(done.len(), 120, "seed {seed}");
    }
}

/// A worker lists an end and a run of a job that the owner has not read yet: an earlier owner started it at the last moment.
/// Guards against an end that is noted although the job is not known, after which the task runs again.
#[test]
fn reports_before_the_job() {
    let mut site = Site::new(&["a"], 2);
    let started = |task| Call::Start {
        task,
        number: 1,
        specification: "text".to_owned(),
        until_ms: 5000,
        checkpoint: String::new(),
        ticket: None,
    };
    for (name, index, milliseconds) in [("w0", 0, 100), ("w1", 1, 4000)] {
        let worker = site.workers.get_mut(name).expect("there is a worker");
        worker.duration = ms(milliseconds);
        worker.call(Duration::ZERO, 0, &started(task(0x26, 0, index))).expect("it starts");
    }
    site.run(ms(1500));
    assert_eq!(site.owner().as_deref(), Some("a"));
    site.submit("a", "batch", 0x26, vec![step(2, 4000)]);
    site.run(ms(4000));
    assert_eq!(site.starts_of_job(0x26), 2);
    assert_eq!(site.state("a", "batch", 0x26), Some(State::Completed));
}

/// An epoch begins once, also where a read shows the won row before the claim is answered. Guards against an owner that
/// begins the same epoch anew: its run numbers and bookings start from nothing.
#[test]
fn epoch_begins_once_with_a_slow_store() {
    for delay in (50..500).step_by(25) {
        let mut site = Site::new(&["a", "b"], 1);
        site.store_delay = ms(150);
        site.transaction_delay = ms(delay);
        site.store.fault = Fault::Refused;
        let claims =
            |site: &Site| site.logs.iter().any(|(_, _, text)| text.starts_with("claiming"));
        site.run_until(Duration::from_secs(5), "a claim", claims);
        // The first claim is refused, and its answer is still on its way when the store takes the next one.
        site.run(ms(2));
        site.store.fault = Fault::None;
        site.run(ms(6000));
        let won = site.logs.iter().filter(|(_, _, text)| text.starts_with("ownership_won"));
        let mut epochs: Vec<&str> = won.filter_map(|(_, _, text)| text.split(' ').nth(1)).collect();
        let count = epochs.len();
        epochs.dedup();
        assert_eq!(epochs.len(), count, "delay {delay}: {epochs:?}");
    }
}

/// Calls for approval are not sent through hosts that the owner does not reach. Guards against jobs that wait for calls
/// without a result after their data centre's neighbour was cut off.
#[test]
fn approvals_beside_a_cut_off_host() {
    let (mut site, owner) = settled(4);
    let rest: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != owner).collect();
    for other in rest.iter().copied().chain(["store", "w0", "w1", "w2", "w3"]) {
        site.cut(&owner, other, true);
    }
    let owned = |site: &Site| rest.iter().any(|name| site.hosts[*name].is_owner());
    site.run_until(Duration::from_secs(6), "a take-over", owned);
    site.run(ms(100));
    for job in 0..8 {
        site.submit(rest[0], "approved", 0x2700 + job, vec![step(1, 100)]);
    }
    site.run(ms(500));
    for job in 0..8 {
        assert_eq!(site.starts_of_job(0x2700 + job), 1, "job {job}");
    }
}

/// A host whose calls for approval fail does not get most of them because it is always free. Guards against jobs that are
/// refused again and again while other hosts could ask for them.
#[test]
fn approvals_beside_a_failing_host() {
    let (mut site, owner) = settled(4);
    let failing = if owner == "a" { "b" } else { "a" };
    site.cut(failing, "approver", true);
    site.approvals.clear();
    for job in 0..8 {
        site.submit(&owner, "approved", 0x2800 + job, vec![step(1, 100)]);
    }
    site.run(ms(800));
    for job in 0..8 {
        assert_eq!(site.starts_of_job(0x2800 + job), 1, "job {job}");
    }
    assert!(site.approvals.len() <= 12, "{} calls", site.approvals.len());
}

/// A job that is accepted after a take-over starts at once, although a worker of the earlier owner is out of reach. Guards
/// against a successor that takes such jobs for ones that the earlier owner may have started.
#[test]
fn new_jobs_beside_a_cut_off_worker() {
    let (mut site, owner) = settled(4);
    let rest: Vec<&str> = ["a", "b", "c"].into_iter().filter(|name| *name != owner).collect();
    for other in rest.iter().copied().chain(["store", "w1", "w2", "w3"]) {
        site.cut(&owner, other, true);
    }
    rest.iter().for_each(|other| site.cut(other, "w0", true));
    let owned = |site: &Site| rest.iter().any(|name| site.hosts[*name].is_owner());
    site.run_until(Duration::from_secs(6), "a take-over", owned);
    site.run(ms(200));
    for (job, host) in [(0x2900, rest[0]), (0x2901, rest[1])] {
        site.submit(host, "batch", job, vec![step(1, 100)]);
    }
    site.run(ms(300));
    assert_eq!([site.starts_of_job(0x2900), site.starts_of_job(0x2901)], [1, 1]);
}

/// An owner that does not know yet that it was replaced hears of jobs that were accepted under its successor, and leaves
/// them alone. Guards against a job that both start.
#[test]
fn jobs_of_the_successor() {
    let (mut site, owner) = settled(2);
    for (id, epoch) in [(0x2a00, 1), (0x2a01, 2)] {
        let team = Some("a".to_owned());
        let policy = support::configuration().queues[0].policy.clone();
        let queue = "batch".to_owned();
        let job = Job { queue, team, policy, epoch, ..support::job(vec![step(1, 100)]) };
        site.tell(&owner, other(&owner), Message::Submitted { id, job: Box::new(job) });
    }
    site.run(ms(500));
    assert_eq!([site.starts_of_job(0x2a00), site.starts_of_job(0x2a01)], [1, 0]);
}

/// The host with the most processor owns the fleet, at the start and after a take-over, also while hosts that were cut off
/// with the owner still seem to be present. Guards against an owner on a host that cannot carry it.
#[test]
fn strongest_host_owns() {
    let mut site = Site::new(&[], 4);
    for (host, processors) in [("a", 120), ("b", 500), ("c", 120), ("d", 500), ("e", 250)] {
        site.processors.insert(host.to_owned(), processors);
    }
    ["a", "c", "e", "d", "b"].into_iter().for_each(|host| site.start_host(host));
    site.run(ms(3000));
    assert_eq!(site.owner().as_deref(), Some("b"));
    // b and d are cut off from the others and from the store.
    for strong in ["b", "d"] {
        for other in ["a", "c", "e", "store"] {
            site.cut(strong, other, true);
        }
    }
    let since = site.now;
    let owned = |site: &Site| ["a", "c", "e"].iter().any(|name| site.hosts[*name].is_owner());
    site.run_until(ms(2200), "a take-over", owned);
    assert!(site.hosts["e"].is_owner(), "a weak host owns the fleet");
    assert!(site.now - since < ms(2000), "{:?}", site.now - since);
}

/// The store is silent for all hosts. When it answers again, the owner goes on: the others give it time to renew its row,
/// as they see its beats. Guards against a take-over after each outage, by whoever notices the end of it first.
#[test]
fn owner_survives_an_outage_of_the_store() {
    for outage in (2000..4400).step_by(150) {
        let mut site = Site::new(&["a", "b", "c", "d", "e"], 2);
        site.run(ms(2500));
        let owner = site.owner();
        assert!(owner.is_some());
        site.store_silent = true;
        site.run(ms(outage));
        site.store_silent = false;
        site.run(ms(3000));
        assert_eq!(site.owner(), owner, "after {outage} ms");
        let claims = site.logs.iter().filter(|(_, _, text)| text.starts_with("claiming")).count();
        assert_eq!(claims, 1, "after {outage} ms");
    }
}
