//! Several changes of owner in a row. Guards against jobs that wait for workers longer than their leases can last.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::JobId;
use shallotpost_fleet::port::Table;
use support::{Simulation, ms, step, task};

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
const RUNNING: JobId = 0x1000;
const WAITING: JobId = 0x2000;

/// Maximum length of the lease of a worker whose clock is 3 % slow.
const WORKER_LEASE: Duration = Duration::from_millis(6180);

/// Longest time from the end of an owner to the end of the last lease that it can have granted: the ownership lease, and
/// then the lease of a worker.
const LEASES_END: Duration = Duration::from_millis(4000 + 6180);

/// Time from the end of an owner to the claim of the next one.
const TAKEOVER: Duration = Duration::from_millis(1800);

/// Time from the last commit of an owner until other hosts, which miss its heartbeats, have read it.
const COMMIT_READ: Duration = Duration::from_millis(1000);

/// Returns a fleet of two workers, with an owner that knows them.
fn fleet() -> Simulation {
    let mut sim = Simulation::new(&HOSTS, 2);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

/// Fills workers with tasks of 2 s, and submits a job that waits for them.
fn fill(sim: &mut Simulation, workers: u32) {
    fill_for(sim, workers, 2000);
}

/// Fills workers with tasks of this length in milliseconds, and submits a job that waits for them.
fn fill_for(sim: &mut Simulation, workers: u32, length: u64) {
    sim.submit_lasting("batch", RUNNING, vec![step(4 * workers, length)], ms(length));
    sim.run(ms(300));
    sim.submit("a", "batch", WAITING, vec![step(1, 300)]);
    sim.run(ms(100));
    assert_eq!(sim.starts_of_job(WAITING), 0, "the workers are full");
}

fn silence(sim: &mut Simulation, worker: &str) {
    for host in HOSTS {
        sim.set_partitioned(host, worker, true);
    }
}

/// A worker that was recorded as unreachable, and whose leases have expired since, holds up nothing at a change of owner.
/// Guards against a takeover that counts it among the workers that may run any task of their pool.
#[test]
fn expired_leases() {
    let mut sim = fleet();
    silence(&mut sim, "w0");
    sim.run(Duration::from_secs(12));
    fill(&mut sim, 1);
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(4), "the start of the waiting job", |sim| {
        sim.starts_of_job(WAITING) > 0
    });
}

/// Kills the owner, and two successors after they have taken over.
fn kill_three_owners(sim: &mut Simulation) {
    for _ in 0..3 {
        let owner = sim.owner().expect("there is an owner");
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
        sim.run(ms(1500));
    }
}

/// Waiting tasks of a pool with a silent worker start once the leases of the first owner have ended. Guards against a
/// wait that each further change of owner begins anew, although later owners reach the worker as little.
#[test]
fn wait_is_inherited() {
    let mut sim = fleet();
    fill(&mut sim, 2);
    silence(&mut sim, "w0");
    let first = sim.now;
    kill_three_owners(&mut sim);
    sim.run_until(Duration::from_secs(30), "the start of the waiting job", |sim| {
        sim.starts_of_job(WAITING) > 0
    });
    let waited = sim.now - first;
    assert!(
        waited < LEASES_END + 3 * COMMIT_READ,
        "the job started {waited:?} after the first owner ended"
    );
    sim.check_invariants();
}

/// Once the previous owner is back and shows that it owns nothing, its leases last for one lease of a worker at most.
/// Guards against a successor that allows it the rest of its ownership lease all the same.
#[test]
fn returned_owner() {
    let mut sim = fleet();
    sim.run(Duration::from_secs(12));
    fill(&mut sim, 2);
    silence(&mut sim, "w0");
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    let killed = sim.now;
    sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
    sim.start_host(&owner);
    let starts = |sim: &Simulation| {
        sim.workers.values().flat_map(|worker| &worker.starts).any(|(at, ..)| *at > killed)
    };
    sim.run_until(Duration::from_secs(30), "a start", starts);
    let waited = sim.now - killed;
    assert!(waited < TAKEOVER + WORKER_LEASE, "nothing started for {waited:?}");
}

/// An owner that ends soon after its own takeover does not shorten the wait for the leases of the owner before it. Guards
/// against tasks that run twice.
#[test]
fn short_epoch() {
    let mut sim = fleet();
    sim.submit_lasting("batch", RUNNING, vec![step(4, 30_000)], Duration::from_secs(30));
    sim.wait_for_start(RUNNING, 4);
    let busy = sim.workers_of(RUNNING).pop_first().expect("the tasks run");
    let first = sim.owner().expect("there is an owner");
    // The first owner reaches the worker alone, and nothing else.
    let others: Vec<&str> = HOSTS.into_iter().filter(|host| *host != first).collect();
    for host in &others {
        sim.set_partitioned(host, &busy, true);
        sim.set_partitioned(host, &first, true);
    }
    sim.silent_stores.insert(first.clone());
    let is_other = |sim: &Simulation| others.iter().any(|host| sim.owns(host));
    sim.run_until(Duration::from_secs(6), "a takeover", is_other);
    let second = others.iter().find(|host| sim.owns(host)).expect("a second owner");
    sim.stop_host(second);
    for _ in 0..140 {
        sim.run(ms(100));
        sim.check_invariants();
    }
}

/// A worker that answers again gets no lease that a successor does not know of. Guards against tasks that run twice, as
/// the successor takes the leases of the worker for expired.
#[test]
fn renewed_lease() {
    let mut sim = fleet();
    sim.submit_lasting("batch", RUNNING, vec![step(4, 30_000)], Duration::from_secs(30));
    sim.wait_for_start(RUNNING, 4);
    let busy = sim.workers_of(RUNNING);
    for (host, worker) in HOSTS.iter().flat_map(|host| busy.iter().map(move |name| (*host, name))) {
        sim.set_partitioned(host, worker, true);
    }
    sim.run(ms(4500));
    let owner = sim.owner().expect("there is an owner");
    sim.silent_stores.insert(owner.clone());
    for worker in &busy {
        sim.set_partitioned(&owner, worker, false);
    }
    sim.run(ms(1200));
    for worker in &busy {
        sim.set_partitioned(&owner, worker, true);
    }
    sim.kill_host(&owner);
    for _ in 0..140 {
        sim.run(ms(100));
        sim.check_invariants();
    }
    assert!(sim.starts_of_job(RUNNING) >= 8, "the tasks were not started again");
}

/// Returns a fleet of two workers, the first of which runs four long tasks.
fn one_busy_worker() -> Simulation {
    let mut sim = Simulation::new(&HOSTS, 1);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim.submit_lasting("batch", RUNNING, vec![step(4, 60_000)], Duration::from_secs(60));
    sim.wait_for_start(RUNNING, 4);
    sim.add_worker("w1", 4000);
    sim.run(ms(2000));
    sim
}

fn check_for_15_s(sim: &mut Simulation) {
    for _ in 0..300 {
        sim.run(ms(50));
        sim.check_invariants();
    }
}

/// A recorded worker answers a new owner, which grants it full leases, but has still to list ends when it falls silent again.
/// Guards against a commit that names the end of its former leases.
#[test]
fn listing_worker() {
    let mut sim = one_busy_worker();
    let from = sim.now;
    let busy = sim.workers.remove("w0").expect("there is a worker");
    sim.run(ms(600));
    let first = sim.owner().expect("there is an owner");
    sim.kill_host(&first);
    sim.run(ms(600));
    sim.workers.insert("w0".to_owned(), busy);
    let unknown = task(0x9999, 0, 0);
    sim.workers.get_mut("w0").expect("there is a worker").list_foreign_end(unknown);
    let has_answered = |sim: &Simulation| {
        let mut later = sim.logs.iter().filter(|(at, ..)| *at > from);
        later.any(|(_, _, text)| text.starts_with("worker_contact worker=w0"))
    };
    sim.run_until(Duration::from_secs(4), "an answer", has_answered);
    sim.run(ms(1500));
    let busy = sim.workers.remove("w0").expect("there is a worker");
    sim.run(ms(600));
    let second = sim.owner().expect("there is an owner");
    sim.kill_host(&second);
    sim.workers.insert("w0".to_owned(), busy);
    silence(&mut sim, "w0");
    check_for_15_s(&mut sim);
}

/// The answer to the commit that releases the ownership is late. Guards against leases that the stopping owner grants after
/// its release, from which the successor counts.
#[test]
fn late_release() {
    let mut sim = one_busy_worker();
    let first = sim.owner().expect("there is an owner");
    sim.store_lags.insert(first.clone(), Duration::from_secs(8));
    for host in HOSTS.iter().filter(|host| **host != first) {
        sim.set_partitioned(host, &first, true);
        sim.set_partitioned(host, "w0", true);
    }
    sim.stop_host(&first);
    check_for_15_s(&mut sim);
}

/// The store does not answer while the owner stops. Guards against renewals without a lease that are repeated at once.
#[test]
fn calls_during_release() {
    let mut sim = one_busy_worker();
    let first = sim.owner().expect("there is an owner");
    sim.store_silent = true;
    for host in HOSTS.iter().filter(|host| **host != first) {
        sim.set_partitioned(host, &first, true);
    }
    sim.stop_host(&first);
    let calls = |sim: &Simulation| sim.worker_calls.get(&first).copied().unwrap_or_default();
    let before = calls(&sim);
    sim.run(Duration::from_secs(3));
    let calls = calls(&sim) - before;
    // Ten calls a second to each of two workers.
    assert!(calls <= 60, "{calls} calls in 3 s");
}

/// Owners that end while they still load pass on how much of the wait is left. Guards against a wait that begins anew with
/// each of them.
#[test]
fn loading_owners() {
    let mut sim = fleet();
    fill(&mut sim, 2);
    silence(&mut sim, "w0");
    let first = sim.now;
    let kill_owner = |sim: &mut Simulation| {
        let owner = sim.owner().expect("there is an owner");
        sim.kill_host(&owner);
        sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
        sim.run(ms(1500));
    };
    kill_owner(&mut sim);
    sim.read_delays.insert(Table::Jobs, ms(3000));
    kill_owner(&mut sim);
    sim.read_delays.clear();
    kill_owner(&mut sim);
    sim.run_until(Duration::from_secs(30), "the start of the waiting job", |sim| {
        sim.starts_of_job(WAITING) > 0
    });
    let waited = sim.now - first;
    assert!(waited < LEASES_END + 3 * COMMIT_READ, "the job started after {waited:?}");
}

/// Returns a fleet whose worker `w0` was restarted under its owner and runs tasks. The stored roster gives the start of the
/// former process.
fn restarted_worker() -> Simulation {
    let mut sim = fleet();
    let now = sim.now;
    sim.workers.get_mut("w0").expect("there is a worker").restart(now);
    sim.register("w0", false);
    sim.run(ms(2000));
    sim.submit_lasting("batch", RUNNING, vec![step(4, 60_000)], Duration::from_secs(60));
    sim.wait_for_start(RUNNING, 4);
    assert!(sim.workers["w0"].running().count() > 0, "the new process runs tasks");
    sim.run(ms(1000));
    sim
}

/// Guards against a successor that takes the later start in the registry for a sign that nothing runs on the worker.
#[test]
fn restarted_before() {
    let mut sim = restarted_worker();
    let owner = sim.owner().expect("there is an owner");
    silence(&mut sim, "w0");
    sim.kill_host(&owner);
    check_for_15_s(&mut sim);
}

/// The same for a worker that the owner has recorded as unreachable.
#[test]
fn restarted_and_recorded() {
    let mut sim = restarted_worker();
    silence(&mut sim, "w0");
    sim.run(ms(2600));
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    check_for_15_s(&mut sim);
}

/// A worker that has just fallen silent is recorded before the next regular commit. Guards against a successor that waits for
/// its whole pool, as it knows nothing of the worker.
#[test]
fn silence_is_recorded() {
    let mut sim = fleet();
    fill_for(&mut sim, 2, 4000);
    let from = sim.now;
    silence(&mut sim, "w0");
    let is_silent = |sim: &Simulation| {
        let mut later = sim.logs.iter().filter(|(at, ..)| *at > from);
        later.any(|(_, _, text)| text.starts_with("worker_silent worker=w0"))
    };
    sim.run_until(Duration::from_secs(4), "the silence", is_silent);
    sim.run(ms(50));
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(4), "the start of the waiting job", |sim| {
        sim.starts_of_job(WAITING) > 0
    });
}

/// The answer to a claim is late, and the new owner reaches its worker alone after it has loaded. Guards against an owner that
/// counts its ownership lease from the answer, while its successor counts from the row.
#[test]
fn late_claim_answer() {
    let mut sim = fleet();
    sim.submit_lasting("batch", RUNNING, vec![step(4, 60_000)], Duration::from_secs(60));
    sim.wait_for_start(RUNNING, 4);
    sim.run(ms(1000));
    let from = sim.now;
    let zero = sim.owner().expect("there is an owner");
    let first = HOSTS.into_iter().find(|host| *host != zero).expect("there are others");
    let others: Vec<&str> = HOSTS.into_iter().filter(|host| *host != first).collect();
    let successors = || others.iter().filter(|host| **host != zero);
    let has_line = |sim: &Simulation, start: &str| {
        let mut later = sim.logs.iter().filter(|(at, ..)| *at > from);
        later.any(|(_, host, text)| host == first && text.starts_with(start))
    };
    sim.kill_host(&zero);
    successors().for_each(|host| sim.pause_host(host));
    sim.store_lags.insert(first.to_owned(), ms(900));
    sim.run_until(Duration::from_secs(8), "a claim", |sim| has_line(sim, "claiming"));
    for host in &others {
        sim.set_partitioned(host, first, true);
        sim.set_partitioned(host, "w0", true);
    }
    sim.run(ms(20));
    successors().for_each(|host| sim.resume_host(host, true, false));
    sim.run_until(Duration::from_secs(4), "a late answer", |sim| sim.owns(first));
    // Its reads are executed, and no commit is.
    sim.run(ms(60));
    sim.silent_stores.insert(first.to_owned());
    let contact = "worker_contact worker=w0";
    sim.run_until(Duration::from_secs(5), "contact", |sim| has_line(sim, contact));
    check_for_15_s(&mut sim);
}
