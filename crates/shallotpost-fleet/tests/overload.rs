//! Teams far beyond their share or at their quota, with long backlogs. Guards against room that stays free while accepted
//! jobs wait, and against other teams that wait because of them.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Step};
use shallotpost_fleet::port::Action;
use shallotpost_protocol::size::Size;
use support::{Simulation, job, ms, step};

const BACKLOG: JobId = 0x1000;
const OTHER: JobId = 0x20;

/// Workers of four cores each, and so four of the tasks that the tests submit.
const WORKERS: usize = 4;

fn settled() -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], WORKERS);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

fn submit(sim: &mut Simulation, key: &str, queue: &str, id: JobId, steps: Vec<Step>) {
    let path = format!("/{queue}/{id:016x}");
    let action = Action::Submit(Ok(Box::new(job(steps))));
    sim.request("a", &path, Some(key), action);
}

fn starts_since(sim: &Simulation, since: Duration) -> usize {
    let starts = sim.workers.values().flat_map(|worker| &worker.starts);
    starts.filter(|(at, ..)| *at >= since).count()
}

/// Jobs beyond their team's share started only on half of the room while any stage waited, even one that no worker suits
/// or another one of their own kind. After the burst, the backlog must run at the rate of the whole room.
#[test]
fn backlog_beyond_share() {
    let mut sim = settled();
    // No worker has this label, so its stage waits for good, but not for room.
    let unsuited = Step { label: "none".to_owned(), ..step(1, 300) };
    submit(&mut sim, "key-a", "urgent", OTHER, vec![unsuited]);
    for id in 0..100 {
        submit(&mut sim, "key-a", "batch", BACKLOG + id, vec![step(3, 300)]);
        sim.run(ms(5));
    }
    let begin = sim.now;
    let time = Duration::from_secs(3);
    sim.run(time);
    let rate = WORKERS as f64 * 4.0 / 0.3;
    let starts = starts_since(&sim, begin) as f64 / time.as_secs_f64();
    assert!(starts > 0.8 * rate, "{starts:.0} starts per second, room for {rate:.0}");
    sim.check_invariants();
}

/// Stages of a team at its quota renewed their tickets again and again, and no calls were left for another team, whose jobs
/// waited with most of the room free.
#[test]
fn backlog_at_the_quota() {
    let mut sim = settled();
    sim.approves_in_turn = true;
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(3000));
    for id in 0..600 {
        submit(&mut sim, "key-b", "approved", BACKLOG + id, vec![step(4, 3000)]);
        sim.run(ms(2));
    }
    sim.run(Duration::from_secs(2));
    // The other team is beyond its share too, so its jobs come after those that have waited for longer.
    for id in 0..6 {
        submit(&mut sim, "key-a", "approved", OTHER + id, vec![step(2, 3000)]);
    }
    sim.run(ms(500));
    let started = (0..6).filter(|id| sim.starts_of_job(OTHER + id) == 2).count();
    assert_eq!(started, 6, "jobs of the other team have started");
}

/// A stage that no worker can ever hold claimed the room of its pool for good, and jobs beyond their team's share waited
/// for it.
#[test]
fn impossible_claim() {
    let mut sim = settled();
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(20));
    submit(&mut sim, "key-a", "urgent", OTHER, vec![step(12, 20_000)]);
    let huge = Size { processors_milli: 5000, ..Size::ZERO };
    submit(&mut sim, "key-a", "batch", OTHER + 1, vec![Step { size: huge, ..step(1, 300) }]);
    sim.run(ms(500));
    for id in 0..3 {
        submit(&mut sim, "key-a", "batch", BACKLOG + id, vec![step(1, 300)]);
    }
    sim.run(ms(1000));
    let started = (0..3).filter(|id| sim.starts_of_job(BACKLOG + id) > 0).count();
    assert_eq!(started, 3, "jobs started");
}

/// Jobs beyond their team's share stood without end, although there was room for them, while a larger task waited.
#[test]
fn starving_job() {
    let mut sim = settled();
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(20));
    submit(&mut sim, "key-a", "urgent", OTHER, vec![step(14, 20_000)]);
    sim.run(ms(500));
    let whole = Size { processors_milli: 4000, ..Size::ZERO };
    submit(&mut sim, "key-a", "batch", OTHER + 1, vec![Step { size: whole, ..step(1, 300) }]);
    sim.run(ms(200));
    submit(&mut sim, "key-a", "batch", BACKLOG, vec![step(2, 20_000)]);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(BACKLOG), 0, "the job yields at first");
    sim.run_until(ms(2000), "a start of the job", |sim| sim.starts_of_job(BACKLOG) > 0);
    assert_eq!(sim.starts_of_job(BACKLOG), 1, "one of its tasks runs");
    // A job of the same queue that would have room without that task must not stop it.
    let half = Size { processors_milli: 2000, ..Size::ZERO };
    submit(&mut sim, "key-b", "batch", OTHER + 2, vec![Step { size: half, ..step(1, 300) }]);
    sim.run(ms(2000));
    let stopped = sim.logs.iter().any(|(_, _, line)| line.starts_with("preempted"));
    assert!(!stopped, "the task was stopped");
}

/// A yielding job that its team's quota never allows was the starving one of every round, and the jobs behind it starved on.
#[test]
fn starving_beside_quota() {
    let mut sim = settled();
    let mut changed = support::configuration();
    changed.version = 2;
    changed.teams[0].cap = Size { processors_milli: 100_000, accelerators: 1, ..Size::ZERO };
    sim.configure(changed);
    sim.run(ms(300));
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(20));
    submit(&mut sim, "key-a", "urgent", OTHER, vec![step(14, 20_000)]);
    sim.run(ms(500));
    let whole = Size { processors_milli: 4000, ..Size::ZERO };
    submit(&mut sim, "key-a", "batch", OTHER + 1, vec![Step { size: whole, ..step(1, 20_000) }]);
    sim.run(ms(200));
    let beyond_cap = Size { processors_milli: 1000, accelerators: 2, ..Size::ZERO };
    submit(&mut sim, "key-a", "batch", BACKLOG, vec![Step { size: beyond_cap, ..step(1, 20_000) }]);
    sim.run(ms(100));
    submit(&mut sim, "key-a", "batch", BACKLOG + 1, vec![step(2, 20_000)]);
    sim.run(ms(3000));
    assert_eq!(sim.starts_of_job(BACKLOG + 1), 1, "one of its tasks runs");
}
