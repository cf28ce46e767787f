//! Calls to the approval service by stages that cannot use the tickets, or that ask for one worker after another. Guards
//! against a service that is kept busy by them while stages that could start get no tickets.
//!
//! Tickets are valid for 2 s and used up to 0.25 s before, so a stage that renews them all the time makes 6 calls in 10 s.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::{JobId, Step};
use shallotpost_fleet::port::Action;
use shallotpost_protocol::size::Size;
use support::{Simulation, job, ms, step};

const FIRST: JobId = 0x1000;
const LONG: Duration = Duration::from_secs(20);

fn settled(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim.workers.values_mut().for_each(|worker| worker.duration = LONG);
    sim
}

/// Returns the number of calls in the next 10 s.
fn calls_in_10_s(sim: &mut Simulation) -> usize {
    let before = sim.approvals.len();
    sim.run(Duration::from_secs(10));
    sim.approvals.len() - before
}

/// Ten stages of a team at its quota renewed their tickets, although little of the quota became free in that time. What
/// ends within the validity of a ticket is a tenth of the quota here, which is less than one task.
#[test]
fn quota() {
    let mut sim = settled(8);
    for id in FIRST..FIRST + 20 {
        let action = Action::Submit(Ok(Box::new(job(vec![step(4, 20_000)]))));
        sim.request("a", &format!("/approved/{id:016x}"), Some("key-b"), action);
        sim.run(ms(20));
    }
    sim.run(Duration::from_secs(3));
    let calls = calls_in_10_s(&mut sim);
    assert!(calls <= 6, "{calls} calls");
}

/// A gang asked again and again, although too little room could become free for all of its members.
#[test]
fn gang_without_room() {
    let mut sim = settled(4);
    sim.submit("a", "urgent", FIRST, vec![step(12, 20_000)]);
    sim.run(ms(500));
    sim.submit("a", "approved", FIRST + 1, vec![Step { gang: true, ..step(6, 20_000) }]);
    sim.run(ms(500));
    let calls = calls_in_10_s(&mut sim);
    assert_eq!(calls, 0, "calls");
    // The urgent tasks end after 20 s, and the gang starts then.
    sim.run(Duration::from_secs(12));
    assert_eq!(sim.starts_of_job(FIRST + 1), 6);
}

/// A stage asked for each worker on which room became free, one after another.
#[test]
fn room_by_room() {
    let mut sim = settled(16);
    // The workers become free one by one, every 100 ms.
    for (number, worker) in (0u64..).zip(sim.workers.values_mut()) {
        worker.job_durations.insert(FIRST, ms(1000 + 100 * number));
    }
    sim.submit("a", "urgent", FIRST, vec![step(64, 20_000)]);
    sim.run(ms(500));
    let before = sim.approvals.len();
    sim.submit("a", "approved", FIRST + 1, vec![step(64, 20_000)]);
    sim.run(ms(2300));
    let calls = sim.approvals.len() - before;
    assert_eq!(sim.starts_of_job(FIRST + 1), 64, "tasks started");
    // One call at the beginning, and one after the tickets have expired.
    assert!(calls <= 2, "{calls} calls");
}

/// Jobs beyond their team's share asked for tickets while they leave the room to others, and the tickets expired unused.
#[test]
fn yielding() {
    let mut sim = settled(4);
    // The team's share is one job per second, with a burst of two.
    sim.submit("a", "urgent", FIRST, vec![step(12, 20_000)]);
    sim.submit("a", "batch", FIRST + 1, vec![Step { gang: true, ..step(6, 20_000) }]);
    sim.run(ms(500));
    for id in FIRST + 2..FIRST + 12 {
        sim.submit("a", "approved", id, vec![step(2, 20_000)]);
        sim.run(ms(20));
    }
    let before = sim.approvals.len();
    sim.run(ms(1000));
    assert_eq!(sim.approvals.len() - before, 0, "calls while they yield");
    // Then they start one task each, as long as there is room for two, and ask for no more than they start.
    let calls = calls_in_10_s(&mut sim);
    let started = (FIRST + 2..FIRST + 12).filter(|id| sim.starts_of_job(*id) > 0).count();
    assert!(calls <= started, "{calls} calls for {started} starts");
}

fn submit_as_b(sim: &mut Simulation, id: JobId, steps: Vec<Step>) {
    let action = Action::Submit(Ok(Box::new(job(steps))));
    sim.request("a", &format!("/approved/{id:016x}"), Some("key-b"), action);
}

/// A gang for which too few workers are approved counted against the quota of its team. Its other jobs got no tickets,
/// although nothing of the team ran.
#[test]
fn beside_unapproved_gang() {
    let mut sim = settled(4);
    sim.unapproved_workers = sim.workers.keys().skip(1).cloned().collect();
    let gang = Step { gang: true, per_worker_max: 2, ..step(3, 20_000) };
    submit_as_b(&mut sim, FIRST, vec![gang]);
    sim.run(Duration::from_secs(2));
    submit_as_b(&mut sim, FIRST + 1, vec![step(1, 20_000)]);
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.starts_of_job(FIRST), 0, "members started");
    assert_eq!(sim.starts_of_job(FIRST + 1), 1, "tasks started");
}

/// A stage without tickets waits for accelerators of its team's quota that it does not need.
#[test]
fn unneeded_resource() {
    let mut sim = settled(4);
    let mut changed = support::configuration();
    changed.version = 2;
    changed.teams[1].cap = Size { processors_milli: 8000, accelerators: 2, ..Size::ZERO };
    sim.configure(changed);
    sim.run(ms(500));
    let size = Size { processors_milli: 1000, accelerators: 2, ..Size::ZERO };
    // The second stage may follow the first one while its tickets are valid, and gets them.
    submit_as_b(&mut sim, FIRST, vec![Step { size, ..step(1, 1500) }]);
    submit_as_b(&mut sim, FIRST + 1, vec![Step { size, ..step(1, 1500) }]);
    sim.run(ms(500));
    submit_as_b(&mut sim, FIRST + 2, vec![step(1, 20_000)]);
    sim.run(ms(1500));
    assert_eq!(sim.starts_of_job(FIRST + 2), 1, "tasks started");
}

/// A gang that lacks room for the moment counted nothing against its team's quota, and lost it to later jobs of the team as
/// long as they arrived.
#[test]
fn gang_behind_stream() {
    let mut sim = Simulation::settled(3);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(8));
    sim.submit_lasting("urgent", FIRST, vec![step(4, 4000)], ms(4000));
    sim.run(ms(200));
    let gang = Step { gang: true, per_worker_max: 1, ..step(3, 8000) };
    submit_as_b(&mut sim, FIRST + 1, vec![gang]);
    sim.run(ms(300));
    for id in FIRST + 2..FIRST + 8 {
        submit_as_b(&mut sim, id, vec![step(1, 8000)]);
        sim.run(ms(2000));
    }
    assert_eq!(sim.starts_of_job(FIRST + 1), 3, "members started");
}

/// The answer to a call for a worker's former life arrived after that for the present one and took the place of its ticket,
/// so that the stage had to ask again.
#[test]
fn late_answer_for_former_life() {
    let mut sim = Simulation::settled(1);
    sim.approval_time = Duration::from_secs(2);
    sim.submit("a", "approved", FIRST, vec![step(1, 300)]);
    sim.run(ms(200));
    assert_eq!(sim.approvals.len(), 1, "calls for the former life");
    let now = sim.now;
    sim.workers.get_mut("w0").expect("a worker").restart(now);
    sim.register("w0", false);
    // The present life is full until the late answer has arrived.
    sim.submit_lasting("urgent", FIRST + 1, vec![step(4, 1900)], ms(1900));
    sim.approval_time = ms(20);
    sim.run(ms(1100));
    assert_eq!(sim.starts_of_job(FIRST + 1), 4, "the worker is full");
    assert_eq!(sim.approvals.len(), 2, "the stage has asked for the present life");
    sim.run_until(Duration::from_secs(3), "a start", |sim| sim.starts_of_job(FIRST) == 1);
    assert!(sim.now > now + ms(1800), "the late answer has arrived");
    assert_eq!(sim.approvals.len(), 2, "calls until the start");
}
