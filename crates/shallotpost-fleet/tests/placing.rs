//! Placement of tasks: capacity, quotas, preemption, gangs, limits per worker, draining workers and approvals. Guards
//! against overcommitted workers, exceeded quotas and needless interruptions.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Configuration;
use shallotpost_fleet::job::Step;
use shallotpost_fleet::port::{Action, Answer, Content, Table};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::EndReason;
use shallotpost_protocol::size::Size;
use support::{Simulation, configuration, job, ms, step, task};

/// Returns a fleet of two hosts that has finished starting.
fn settled(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

/// No worker gets more tasks than its capacity allows, however long the backlog is.
#[test]
fn worker_capacity() {
    let mut sim = settled(2);
    for id in 0..10 {
        sim.submit("a", "batch", 0x100 + id, vec![step(5, 300)]);
    }
    for _ in 0..100 {
        sim.run(ms(20));
        sim.check_invariants();
    }
    sim.run(ms(2000));
    assert_eq!(sim.state("b", "batch", 0x109), Some(State::Completed));
}

/// A team's quota applies to all workers together, also during a takeover.
#[test]
fn cap_of_team() {
    let mut sim = settled(3);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(2500));
    let submit = Action::Submit(Ok(Box::new(job(vec![step(8, 2500)]))));
    sim.request("a", "/batch/0000000000000200", Some("key-b"), submit);
    let running = |sim: &Simulation| -> usize {
        sim.workers.values().map(|worker| worker.running().count()).sum()
    };
    sim.run(ms(500));
    assert_eq!(running(&sim), 3);
    let owner = sim.owner().expect("there is an owner");
    sim.kill_host(&owner);
    for _ in 0..200 {
        sim.run(ms(20));
        assert!(running(&sim) <= 3, "the cap is exceeded");
    }
}

/// Tasks on a worker that the new owner cannot reach count against their team's quota. Guards against starts beyond the
/// quota while such a worker continues to run them.
#[test]
fn cap_counts_unreachable_worker() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(4));
    let submit = |tasks| Action::Submit(Ok(Box::new(job(vec![step(tasks, 4000)]))));
    let spread = Step { per_worker_max: 1, ..step(2, 4000) };
    let action = Action::Submit(Ok(Box::new(job(vec![spread]))));
    sim.request("a", "/batch/0000000000000210", Some("key-b"), action);
    sim.run(ms(300));
    let owner = sim.owner().expect("there is an owner");
    for host in ["a", "b"] {
        sim.set_partitioned(host, "w0", true);
    }
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
    let other = sim.owner().expect("there is an owner");
    sim.request(&other, "/batch/0000000000000211", Some("key-b"), submit(4));
    for _ in 0..100 {
        sim.run(ms(20));
        let running: usize = sim.workers.values().map(|worker| worker.running().count()).sum();
        assert!(running <= 3, "{running} tasks run although the cap allows 3");
    }
}

/// Urgent tasks preempt batch tasks on a full fleet, and the batch tasks are started again.
#[test]
fn preemption() {
    let mut sim = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    let checkpointing = Step { checkpoints: true, ..step(4, 3000) };
    sim.submit("a", "batch", 0x300, vec![checkpointing]);
    sim.run(ms(2000));
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(300));
    sim.submit("b", "urgent", 0x301, vec![step(2, 300)]);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(0x301), 2);
    sim.run(ms(5000));
    assert_eq!(sim.state("a", "batch", 0x300), Some(State::Completed));
    sim.check_invariants();
}

/// No task is preempted for a gang that would not fit afterwards either. Guards against tasks that are stopped again
/// and again for a gang with too few suitable workers.
#[test]
fn no_preemption_for_a_gang_that_cannot_fit() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(5));
    sim.submit("a", "batch", 0x310, vec![Step { checkpoints: true, ..step(8, 5000) }]);
    sim.run(ms(500));
    sim.submit("a", "urgent", 0x311, vec![Step { gang: true, ..step(12, 300) }]);
    sim.run(ms(1500));
    assert_eq!(sim.starts_of_job(0x310), 8, "tasks were stopped for a gang that cannot start");
}

/// Capacity freed by a preemption is kept for the stage that needs it. Guards against waiting tasks that take it while
/// other runs are still ending, and are then preempted in turn.
#[test]
fn freed_capacity_is_kept_for_the_preemptor() {
    let mut sim = settled(2);
    for (worker, stop) in sim.workers.values_mut().zip([20, 200]) {
        worker.duration = Duration::from_secs(5);
        worker.stop_time = ms(stop);
    }
    sim.submit("a", "batch", 0x320, vec![Step { checkpoints: true, ..step(24, 5000) }]);
    sim.run(ms(500));
    sim.submit("a", "urgent", 0x321, vec![Step { gang: true, ..step(8, 300) }]);
    sim.run(ms(600));
    assert_eq!(sim.starts_of_job(0x321), 8);
    assert_eq!(sim.starts_of_job(0x320), 8, "waiting tasks took the capacity of the gang");
}

/// A job beyond its team's share does not preempt tasks of jobs within their share, whatever its priority. Guards
/// against tasks that are stopped for such a job and started again in its place.
#[test]
fn no_preemption_beyond_share() {
    let mut sim = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    // The team's share is one job per second, with a burst of two.
    sim.submit("a", "batch", 0x330, vec![Step { checkpoints: true, ..step(4, 3000) }]);
    sim.run(ms(100));
    sim.submit("a", "urgent", 0x331, vec![step(1, 300)]);
    sim.submit("a", "urgent", 0x332, vec![step(1, 300)]);
    sim.run(ms(900));
    assert_eq!([sim.starts_of_job(0x331), sim.starts_of_job(0x332)], [1, 0]);
    assert_eq!(sim.starts_of_job(0x330), 4, "tasks were stopped for a job beyond the share");
}

/// All members of a gang start with one run number, or none starts.
#[test]
fn gang_as_a_whole() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(900));
    sim.submit("a", "batch", 0x400, vec![step(3, 900)]);
    sim.run(ms(100));
    sim.submit("a", "batch", 0x401, vec![Step { gang: true, ..step(6, 900) }]);
    sim.run(ms(500));
    assert_eq!(sim.starts_of_job(0x401), 0, "part of a gang was started");
    sim.run(ms(2500));
    let numbers: std::collections::BTreeSet<u64> = sim
        .workers
        .values()
        .flat_map(|worker| worker.starts.iter())
        .filter(|(_, task, _)| task.stage.job == 0x401)
        .map(|(_, _, number)| *number)
        .collect();
    assert_eq!(numbers.len(), 1);
    assert_eq!(sim.state("a", "batch", 0x401), Some(State::Completed));
}

/// When a member of a gang cannot start, the others are stopped and the gang starts again. Guards against members that
/// wait for the others until their worker gives up.
#[test]
fn broken_gang() {
    let mut sim = settled(2);
    sim.workers.get_mut("w1").expect("there is a worker").loses_starts = true;
    sim.submit("a", "batch", 0x402, vec![Step { gang: true, ..step(6, 300) }]);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(1500));
    // The gang is started again and again during the fault, but no member waits until the worker gives up.
    for _ in 0..150 {
        sim.run(ms(20));
        let newest = sim.workers["w0"].starts.last().map(|(at, _, _)| *at);
        let waiting_since = newest.filter(|_| sim.workers["w0"].running().count() > 0);
        let waited = waiting_since.map_or(Duration::ZERO, |since| sim.now - since);
        assert!(waited < ms(1500), "a member waits alone for {waited:?}");
    }
    sim.workers.get_mut("w1").expect("there is a worker").loses_starts = false;
    sim.run(ms(6000));
    assert_eq!(sim.state("a", "batch", 0x402), Some(State::Completed));
}

/// At most `per_worker_max` tasks of a step run on one worker.
#[test]
fn per_worker_limit() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(9));
    sim.submit("a", "batch", 0x500, vec![Step { per_worker_max: 1, ..step(4, 9000) }]);
    sim.run(ms(1000));
    assert!(sim.workers.values().all(|worker| worker.running().count() == 1));
}

/// A draining worker and the workers of an evacuated data centre get no new tasks.
#[test]
fn drained_and_evacuated() {
    let mut sim = settled(1);
    sim.register("w0", true);
    sim.run(ms(600));
    sim.submit("a", "batch", 0x600, vec![step(1, 100)]);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(0x600), 0);
    let zone = Content::Evacuation { data_centre: "kochi".to_owned() };
    sim.store.put(Table::Operator, "evacuate/kochi", zone);
    sim.run(ms(1500));
    sim.register("w0", false);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(0x600), 0);
    sim.store.delete(Table::Operator, "evacuate/kochi");
    sim.run(ms(2000));
    assert_eq!(sim.starts_of_job(0x600), 1);
}

/// A step that needs approval runs only on approved workers, with their tickets, and one call asks for all workers.
#[test]
fn approval() {
    let mut sim = settled(2);
    sim.unapproved_workers.insert("w0".to_owned());
    sim.submit("a", "approved", 0x700, vec![step(2, 300)]);
    sim.run(ms(1500));
    assert_eq!(sim.workers["w0"].starts.len(), 0);
    assert_eq!(sim.workers["w1"].tickets, [Some("t-w1".to_owned()), Some("t-w1".to_owned())]);
    assert_eq!(sim.approvals.len(), 1, "one call names all workers");
    assert_eq!(sim.state("b", "approved", 0x700), Some(State::Completed));
}

/// Long-running tasks are started again however they end, and use up no attempts.
#[test]
fn long_running() {
    let mut sim = settled(2);
    sim.workers.values_mut().for_each(|worker| worker.end_reason = EndReason::Failed);
    sim.submit("a", "batch", 0x800, vec![Step { long_running: true, ..step(1, 300) }]);
    sim.run(ms(3000));
    assert!(sim.starts(task(0x800, 0, 0)) >= 4);
    assert_eq!(sim.state("a", "batch", 0x800), Some(State::Running));
}

/// Long-running tasks are not preempted by urgent ones. Guards against a service that loses more of its tasks than its
/// disruption budget allows.
#[test]
fn long_running_tasks_are_not_preempted() {
    let mut sim = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    let long_running = Step { long_running: true, checkpoints: true, ..step(4, 300) };
    sim.submit("a", "batch", 0x810, vec![long_running]);
    sim.run(ms(500));
    sim.submit("a", "urgent", 0x811, vec![step(2, 300)]);
    sim.run(ms(2000));
    assert_eq!([sim.starts_of_job(0x810), sim.starts_of_job(0x811)], [4, 0]);
}

/// A best-effort task is throttled while a task on the same worker exceeds its latency target, and sped up afterwards.
/// Guards against best-effort tasks that slow a service down for as long as they run.
#[test]
fn best_effort_tasks_are_throttled() {
    let mut sim = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    let serving = Step { long_running: true, latency_target: ms(100), ..step(1, 300) };
    sim.submit("a", "batch", 0x820, vec![serving]);
    sim.submit("a", "batch", 0x821, vec![Step { best_effort: true, ..step(1, 60_000) }]);
    sim.run(ms(500));
    let worker = |sim: &mut Simulation, gauge: f64| {
        let worker = sim.workers.get_mut("w0").expect("there is a worker");
        worker.gauges.insert(0x820, gauge);
    };
    worker(&mut sim, 150.0);
    sim.run(ms(3000));
    let lowest = sim.workers["w0"].throttles.iter().map(|(_, share)| *share).min();
    assert!(lowest.is_some_and(|share| share <= 25), "{lowest:?}");
    assert!(sim.workers["w0"].throttles.iter().all(|(task, _)| task.stage.job == 0x821));
    worker(&mut sim, 20.0);
    sim.run(ms(3000));
    let last = sim.workers["w0"].throttles.last().map(|(_, share)| *share);
    assert!(last > lowest, "{last:?}");
}

/// A worker on which tasks keep failing is avoided after two failures while another one has capacity. Guards against
/// jobs that use up their attempts there.
#[test]
fn failing_worker() {
    let mut sim = settled(2);
    sim.workers.get_mut("w0").expect("there is a worker").end_reason = EndReason::Failed;
    for id in 0..4 {
        sim.submit("a", "batch", 0x900 + id, vec![step(1, 300)]);
        sim.run(ms(1200));
    }
    for id in 0..4 {
        assert_eq!(sim.state("a", "batch", 0x900 + id), Some(State::Completed));
    }
}

/// A backlog of tasks that fit no worker does not keep the owner from renewing its ownership or placing other tasks.
#[test]
fn backlog() {
    let mut sim = settled(1);
    for id in 0..300 {
        let large = Step { size: Size { processors_milli: 9000, ..Size::ZERO }, ..step(1, 300) };
        sim.submit("a", "batch", 0x1000 + id, vec![large]);
    }
    sim.run(ms(1000));
    sim.submit("a", "batch", 0x2000, vec![step(1, 300)]);
    sim.run(ms(1500));
    assert_eq!(sim.state("a", "batch", 0x2000), Some(State::Completed));
}

/// A removed queue accepts no more jobs, and the jobs that it accepted continue.
#[test]
fn removed_queue() {
    let mut sim = settled(1);
    sim.workers.values_mut().for_each(|worker| worker.duration = ms(1000));
    sim.submit("a", "batch", 0xa00, vec![step(8, 1000)]);
    sim.run(ms(300));
    let mut next = Configuration { version: 2, ..configuration() };
    next.queues.retain(|queue| queue.name != "batch");
    sim.configure(next);
    sim.run(ms(1500));
    let request = sim.submit("b", "batch", 0xa01, vec![step(1, 300)]);
    sim.run(ms(3000));
    assert_eq!(sim.answers[&request], Answer::NoQueue);
    assert_eq!(sim.starts_of_job(0xa00), 8);
}

/// The number of start calls in flight is limited. Guards against an owner with little processor time whose calls queue
/// up until they time out and are all repeated.
#[test]
fn starts_in_flight_are_bounded() {
    let mut sim = settled(50);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    sim.submit("a", "batch", 0x340, vec![step(160, 3000)]);
    sim.run(ms(300));
    assert_eq!(sim.starts_of_job(0x340), 160);
    let mut times: Vec<Duration> =
        sim.workers.values().flat_map(|worker| worker.starts.iter().map(|start| start.0)).collect();
    times.sort_unstable();
    let first = times.iter().filter(|time| **time == times[0]).count();
    assert!(first <= 100, "{first} starts at once");
}

/// The next owner counted the whole room of the workers out of reach against each team's cap, so that a team with a
/// backlog could start nothing until the leases had lapsed.
#[test]
fn cap_after_takeover() {
    let mut sim = settled(3);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(2));
    let submit = |tasks| Action::Submit(Ok(Box::new(job(vec![step(tasks, 2000)]))));
    // Two of the three running tasks are on workers that the next owner reaches. The others wait.
    let spread = Step { per_worker_max: 1, ..step(3, 2000) };
    let action = Action::Submit(Ok(Box::new(job(vec![spread]))));
    sim.request("a", "/batch/0000000000000220", Some("key-b"), action);
    sim.run(ms(100));
    sim.request("a", "/batch/0000000000000221", Some("key-b"), submit(8));
    sim.run(ms(200));
    let owner = sim.owner().expect("there is an owner");
    let other = if owner == "a" { "b" } else { "a" };
    sim.set_partitioned(other, "w0", true);
    sim.kill_host(&owner);
    sim.run_until(Duration::from_secs(4), "a takeover", |sim| sim.owner().is_some());
    sim.run(ms(100));
    sim.request(other, "/batch/0000000000000222", Some("key-b"), submit(2));
    for _ in 0..150 {
        sim.run(ms(20));
        let running: usize = sim.workers.values().map(|worker| worker.running().count()).sum();
        assert!(running <= 3, "{running} tasks run although the cap allows 3");
    }
    assert_eq!(sim.starts_of_job(0x222), 2, "the team could not start anything");
}

/// Burst of a team far beyond its share: the jobs beyond it took the room for which a wide job waited. Gangs are not
/// preempted, so the job then waited for their end.
#[test]
fn jobs_beyond_share_yield() {
    let mut sim = settled(4);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(1));
    let gang = |tasks| vec![Step { gang: true, ..step(tasks, 1000) }];
    sim.submit("a", "batch", 0x2ff, vec![Step { long_running: true, ..step(9, 1000) }]);
    sim.run(ms(2500));
    // The weight of one job a second allows two of them.
    sim.submit("a", "batch", 0x300, vec![step(5, 1000)]);
    sim.run(ms(100));
    sim.submit("a", "batch", 0x301, gang(7));
    sim.run(ms(50));
    for id in 0..6 {
        sim.submit("a", "batch", 0x302 + id, gang(2));
    }
    // The short job has ended; gangs that had started after it would still run.
    sim.run(ms(930));
    assert_eq!(sim.starts_of_job(0x301), 7, "the wide job waits");
    sim.run(Duration::from_secs(20));
    assert_eq!(sim.state("a", "batch", 0x307), Some(State::Completed));
}

/// Jobs beyond their team's share are preempted by any other, also by those of a lower priority.
#[test]
fn jobs_beyond_share_are_preempted() {
    let mut sim = settled(4);
    sim.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(6));
    let long = || vec![Step { checkpoints: true, ..step(4, 6000) }];
    for id in 0..8 {
        sim.submit("a", "urgent", 0x310 + id, long());
    }
    sim.run(ms(500));
    let submit = Action::Submit(Ok(Box::new(job(vec![step(3, 3000)]))));
    sim.request("a", "/batch/0000000000000320", Some("key-b"), submit);
    sim.run(ms(1000));
    assert_eq!(sim.starts_of_job(0x320), 3, "the other team waits");
}

/// Slow workers: further tasks went there while sound workers had room.
#[test]
fn slow_worker_is_avoided() {
    let mut sim = settled(10);
    let slow = ["w0", "w1"];
    for (name, worker) in &mut sim.workers {
        worker.duration = if slow.contains(&name.as_str()) { ms(1500) } else { ms(300) };
    }
    for id in 0..30 {
        sim.submit("a", "batch", 0x400 + id, vec![step(8, 300)]);
        sim.run(ms(250));
    }
    let of_slow = |sim: &Simulation| -> usize {
        slow.iter().map(|name| sim.workers[*name].starts.len()).sum()
    };
    let before = of_slow(&sim);
    for id in 0..8 {
        sim.submit("a", "batch", 0x500 + id, vec![step(8, 300)]);
        sim.run(ms(400));
    }
    assert!(of_slow(&sim) - before <= 8, "{} tasks went to slow workers", of_slow(&sim) - before);
}
