//! Where tasks are placed: room, caps, priorities, gangs, limits for a worker, drained workers, approvals.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::Configuration;
use shallotpost_fleet::job::Step;
use shallotpost_fleet::port::{Action, Answer, Content, Table};
use shallotpost_fleet::progress::State;
use shallotpost_fleet::worker::EndReason;
use shallotpost_protocol::size::Size;
use support::{Site, configuration, job, ms, step, task};

fn settled(workers: usize) -> Site {
    let mut site = Site::new(&["a", "b"], workers);
    site.run_until(Duration::from_secs(3), "an owner", |site| site.owner().is_some());
    site.run(ms(1500));
    site
}

/// No worker gets more than it can hold, whatever waits.
#[test]
fn room() {
    let mut site = settled(2);
    for id in 0..10 {
        site.submit("a", "batch", 0x100 + id, vec![step(5, 300)]);
    }
    for _ in 0..100 {
        site.run(ms(20));
        site.check();
    }
    site.run(ms(2000));
    assert_eq!(site.state("b", "batch", 0x109), Some(State::Completed));
}

/// A team's cap holds over all workers, also across a take-over.
#[test]
fn cap_of_team() {
    let mut site = settled(3);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(2500));
    let submit = Action::Submit(Ok(Box::new(job(vec![step(8, 2500)]))));
    site.request("a", "/batch/0000000000000200", Some("key-b"), submit);
    let running = |site: &Site| -> usize {
        site.workers.values().map(|worker| worker.running().count()).sum()
    };
    site.run(ms(500));
    assert_eq!(running(&site), 3);
    let owner = site.owner().expect("there is an owner");
    site.kill_host(&owner);
    for _ in 0..200 {
        site.run(ms(20));
        assert!(running(&site) <= 3, "the cap is exceeded");
    }
}

/// Tasks on a worker that a successor does not reach count against the cap of their team. Guards against a start beyond the
/// cap while such a worker runs on.
#[test]
fn cap_with_unheard_worker() {
    let mut site = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(4));
    let submit = |tasks| Action::Submit(Ok(Box::new(job(vec![step(tasks, 4000)]))));
    let spread = Step { per_worker_max: 1, ..step(2, 4000) };
    let action = Action::Submit(Ok(Box::new(job(vec![spread]))));
    site.request("a", "/batch/0000000000000210", Some("key-b"), action);
    site.run(ms(300));
    let owner = site.owner().expect("there is an owner");
    for host in ["a", "b"] {
        site.cut(host, "w0", true);
    }
    site.kill_host(&owner);
    site.run_until(Duration::from_secs(4), "a take-over", |site| site.owner().is_some());
    let other = site.owner().expect("there is an owner");
    site.request(&other, "/batch/0000000000000211", Some("key-b"), submit(4));
    for _ in 0..100 {
        site.run(ms(20));
        let running: usize = site.workers.values().map(|worker| worker.running().count()).sum();
        assert!(running <= 3, "{running} tasks run although the cap allows 3");
    }
}

/// Urgent work preempts batch work on a full fleet; the batch work is started again.
#[test]
fn preemption() {
    let mut site = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    let saving = Step { checkpoints: true, ..step(4, 3000) };
    site.submit("a", "batch", 0x300, vec![saving]);
    site.run(ms(2000));
    site.workers.values_mut().for_each(|worker| worker.duration = ms(300));
    site.submit("b", "urgent", 0x301, vec![step(2, 300)]);
    site.run(ms(1000));
    assert_eq!(site.starts_of_job(0x301), 2);
    site.run(ms(5000));
    assert_eq!(site.state("a", "batch", 0x300), Some(State::Completed));
    site.check();
}

/// Nothing is stopped for a gang that would not fit then either. Guards against work that is stopped again and again for a
/// gang with too few suitable workers.
#[test]
fn preemption_in_vain() {
    let mut site = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(5));
    site.submit("a", "batch", 0x310, vec![Step { checkpoints: true, ..step(8, 5000) }]);
    site.run(ms(500));
    site.submit("a", "urgent", 0x311, vec![Step { gang: true, ..step(12, 300) }]);
    site.run(ms(1500));
    assert_eq!(site.starts_of_job(0x310), 8, "work was stopped for a gang that cannot start");
}

/// The room that a preemption makes is kept for the stage that needs it. Guards against waiting work that takes it while
/// the other runs are still ending, and is stopped in turn.
#[test]
fn room_for_the_preemptor() {
    let mut site = settled(2);
    for (worker, stop) in site.workers.values_mut().zip([20, 200]) {
        worker.duration = Duration::from_secs(5);
        worker.stop_time = ms(stop);
    }
    site.submit("a", "batch", 0x320, vec![Step { checkpoints: true, ..step(24, 5000) }]);
    site.run(ms(500));
    site.submit("a", "urgent", 0x321, vec![Step { gang: true, ..step(8, 300) }]);
    site.run(ms(600));
    assert_eq!(site.starts_of_job(0x321), 8);
    assert_eq!(site.starts_of_job(0x320), 8, "waiting work took the room of the gang");
}

/// A job beyond its team's share does not displace work within it, whatever its priority. Guards against work that is stopped
/// for such a job and started again in its place.
#[test]
fn no_preemption_beyond_share() {
    let mut site = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    // The team may submit one job a second and catch up on two.
    site.submit("a", "batch", 0x330, vec![Step { checkpoints: true, ..step(4, 3000) }]);
    site.run(ms(100));
    site.submit("a", "urgent", 0x331, vec![step(1, 300)]);
    site.submit("a", "urgent", 0x332, vec![step(1, 300)]);
    site.run(ms(900));
    assert_eq!([site.starts_of_job(0x331), site.starts_of_job(0x332)], [1, 0]);
    assert_eq!(site.starts_of_job(0x330), 4, "work was stopped for a job beyond the share");
}

/// A gang starts as a whole under one run number, or waits.
#[test]
fn gang_as_a_whole() {
    let mut site = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(900));
    site.submit("a", "batch", 0x400, vec![step(3, 900)]);
    site.run(ms(100));
    site.submit("a", "batch", 0x401, vec![Step { gang: true, ..step(6, 900) }]);
    site.run(ms(500));
    assert_eq!(site.starts_of_job(0x401), 0, "part of a gang was started");
    site.run(ms(2500));
    let numbers: std::collections::BTreeSet<u64> = site
        .workers
        .values()
        .flat_map(|worker| worker.starts.iter())
        .filter(|(_, task, _)| task.stage.job == 0x401)
        .map(|(_, _, number)| *number)
        .collect();
    assert_eq!(numbers.len(), 1);
    assert_eq!(site.state("a", "batch", 0x401), Some(State::Completed));
}

/// The other members of a gang are stopped when one cannot start, and the gang starts again under a higher number.
#[test]
fn broken_gang() {
    let mut site = settled(2);
    site.workers.get_mut("w1").expect("there is a worker").loses_starts = true;
    site.submit("a", "batch", 0x402, vec![Step { gang: true, ..step(6, 300) }]);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(1500));
    // The gang is tried again while the fault lasts, but no member waits for the others until the worker gives up.
    for _ in 0..150 {
        site.run(ms(20));
        let newest = site.workers["w0"].starts.last().map(|(at, _, _)| *at);
        let waiting_since = newest.filter(|_| site.workers["w0"].running().count() > 0);
        let waited = waiting_since.map_or(Duration::ZERO, |since| site.now - since);
        assert!(waited < ms(1500), "a member waits alone for {waited:?}");
    }
    site.workers.get_mut("w1").expect("there is a worker").loses_starts = false;
    site.run(ms(6000));
    assert_eq!(site.state("a", "batch", 0x402), Some(State::Completed));
}

/// At most the stated number of tasks of a step run on one worker.
#[test]
fn limit_for_a_worker() {
    let mut site = settled(2);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(9));
    site.submit("a", "batch", 0x500, vec![Step { per_worker_max: 1, ..step(4, 9000) }]);
    site.run(ms(1000));
    assert!(site.workers.values().all(|worker| worker.running().count() == 1));
}

/// A worker that drains, and a data centre that is evacuated, get no new tasks.
#[test]
fn drained_and_evacuated() {
    let mut site = settled(1);
    site.register("w0", true);
    site.run(ms(600));
    site.submit("a", "batch", 0x600, vec![step(1, 100)]);
    site.run(ms(1000));
    assert_eq!(site.starts_of_job(0x600), 0);
    let zone = Content::Evacuation { data_centre: "kochi".to_owned() };
    site.store.put(Table::Operator, "evacuate/kochi", zone);
    site.run(ms(1500));
    site.register("w0", false);
    site.run(ms(1000));
    assert_eq!(site.starts_of_job(0x600), 0);
    site.store.delete(Table::Operator, "evacuate/kochi");
    site.run(ms(2000));
    assert_eq!(site.starts_of_job(0x600), 1);
}

/// A step runs only on approved workers, with a ticket; approval calls are spread over the hosts.
#[test]
fn approval() {
    let mut site = settled(2);
    site.disapproved.insert("w0".to_owned());
    site.submit("a", "approved", 0x700, vec![step(2, 300)]);
    site.run(ms(1500));
    assert_eq!(site.workers["w0"].starts.len(), 0);
    assert_eq!(site.workers["w1"].tickets, [Some("t-w1".to_owned()), Some("t-w1".to_owned())]);
    assert_eq!(site.approvals.len(), 1, "one call names all workers");
    assert_eq!(site.state("b", "approved", 0x700), Some(State::Completed));
}

/// Tasks that last are started again however they end, and count no attempts.
#[test]
fn long_running() {
    let mut site = settled(2);
    site.workers.values_mut().for_each(|worker| worker.ending = EndReason::Failed);
    site.submit("a", "batch", 0x800, vec![Step { long_running: true, ..step(1, 300) }]);
    site.run(ms(3000));
    assert!(site.starts(task(0x800, 0, 0)) >= 4);
    assert_eq!(site.state("a", "batch", 0x800), Some(State::Running));
}

/// Tasks that last are not stopped for urgent work. Guards against a service that loses more of its tasks than its budget
/// for disruptions allows.
#[test]
fn lasting_tasks_are_not_preempted() {
    let mut site = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    let lasting = Step { long_running: true, checkpoints: true, ..step(4, 300) };
    site.submit("a", "batch", 0x810, vec![lasting]);
    site.run(ms(500));
    site.submit("a", "urgent", 0x811, vec![step(2, 300)]);
    site.run(ms(2000));
    assert_eq!([site.starts_of_job(0x810), site.starts_of_job(0x811)], [4, 0]);
}

/// A task that uses left-over processor time is slowed down while a task beside it is over its latency target, and sped up
/// again. Guards against work that harms a service for as long as it runs.
#[test]
fn left_over_work_is_paced() {
    let mut site = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(60));
    let serving = Step { long_running: true, latency_target: ms(100), ..step(1, 300) };
    site.submit("a", "batch", 0x820, vec![serving]);
    site.submit("a", "batch", 0x821, vec![Step { best_effort: true, ..step(1, 60_000) }]);
    site.run(ms(500));
    let worker = |site: &mut Site, gauge: f64| {
        let worker = site.workers.get_mut("w0").expect("there is a worker");
        worker.gauges.insert(0x820, gauge);
    };
    worker(&mut site, 150.0);
    site.run(ms(3000));
    let lowest = site.workers["w0"].paces.iter().map(|(_, share)| *share).min();
    assert!(lowest.is_some_and(|share| share <= 25), "{lowest:?}");
    assert!(site.workers["w0"].paces.iter().all(|(task, _)| task.stage.job == 0x821));
    worker(&mut site, 20.0);
    site.run(ms(3000));
    let last = site.workers["w0"].paces.last().map(|(_, share)| *share);
    assert!(last > lowest, "{last:?}");
}

/// A worker that fails everything is avoided after two failures while another one has room. Without it the job below
/// would use up its attempts there.
#[test]
fn failing_worker() {
    let mut site = settled(2);
    site.workers.get_mut("w0").expect("there is a worker").ending = EndReason::Failed;
    for id in 0..4 {
        site.submit("a", "batch", 0x900 + id, vec![step(1, 300)]);
        site.run(ms(1200));
    }
    for id in 0..4 {
        assert_eq!(site.state("a", "batch", 0x900 + id), Some(State::Completed));
    }
}

/// A backlog that cannot run does not keep the owner from renewing its ownership or from placing what fits.
#[test]
fn backlog() {
    let mut site = settled(1);
    for id in 0..300 {
        let large = Step { size: Size { processors_milli: 9000, ..Size::ZERO }, ..step(1, 300) };
        site.submit("a", "batch", 0x1000 + id, vec![large]);
    }
    site.run(ms(1000));
    site.submit("a", "batch", 0x2000, vec![step(1, 300)]);
    site.run(ms(1500));
    assert_eq!(site.state("a", "batch", 0x2000), Some(State::Completed));
}

/// A queue that was removed takes no more jobs, and those that it has accepted go on.
#[test]
fn removed_queue() {
    let mut site = settled(1);
    site.workers.values_mut().for_each(|worker| worker.duration = ms(1000));
    site.submit("a", "batch", 0xa00, vec![step(8, 1000)]);
    site.run(ms(300));
    let mut next = Configuration { version: 2, ..configuration() };
    next.queues.retain(|queue| queue.name != "batch");
    site.configure(next);
    site.run(ms(1500));
    let request = site.submit("b", "batch", 0xa01, vec![step(1, 300)]);
    site.run(ms(3000));
    assert_eq!(site.answers[&request], Answer::NoQueue);
    assert_eq!(site.starts_of_job(0xa00), 8);
}

/// Only so many starts wait for an answer at a time. Guards against an owner short of processor whose calls queue up behind
/// each other until they time out, after which everything is tried again.
#[test]
fn starts_in_flight_are_bounded() {
    let mut site = settled(50);
    site.workers.values_mut().for_each(|worker| worker.duration = Duration::from_secs(3));
    site.submit("a", "batch", 0x340, vec![step(160, 3000)]);
    site.run(ms(300));
    assert_eq!(site.starts_of_job(0x340), 160);
    let mut times: Vec<Duration> = site
        .workers
        .values()
        .flat_map(|worker| worker.starts.iter().map(|start| start.0))
        .collect();
    times.sort_unstable();
    let first = times.iter().filter(|time| **time == times[0]).count();
    assert!(first <= 100, "{first} starts at once");
}
