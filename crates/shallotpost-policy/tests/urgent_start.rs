//! Tests that urgent work starts within the urgent bound, by preemption if necessary.

mod common;

use common::*;
use shallotpost_policy::planner::Planner;
use shallotpost_protocol::prelude::*;
use shallotpost_protocol::resource::Policy;
use shallotpost_protocol::work::Class;
use shallotpost_protocol::worker::StopMode;

const STEP: Duration = Duration::from_millis(100);
/// Time that a task takes to end after a request, including a margin.
const END_DELAY: Duration = Duration::from_millis(1500);

fn full_shard(now: Instant) -> Planner {
    let mut planner = shard(&Policy::default(), 2, now);
    submit_batch(&mut planner, "a", "x", 16, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 16);
    planner
}

/// Returns the time from the submission of urgent work to its start. Tasks end on requests with one of `modes` only.
fn time_to_start(modes: &[StopMode], size: Size) -> Option<Duration> {
    let admitted = Instant::now();
    let mut planner = full_shard(admitted);
    planner.submit(admitted, job("b", "u", Class::Urgent, size, admitted)).expect("fits");
    let mut ending: Vec<(Instant, Task)> = Vec::new();
    for step in 0..100 {
        let now = admitted + STEP * step;
        let due = ending.iter().filter(|(at, _)| *at <= now);
        due.for_each(|(_, task)| confirm_stop(&mut planner, task, now));
        ending.retain(|(at, _)| *at > now);
        let actions = planner.plan(now, MANY);
        if starts(&actions).iter().any(|(task, _)| task.work.name == "u") {
            return Some(now - admitted);
        }
        let requested = stops(&actions).into_iter().filter(|(_, mode)| modes.contains(mode));
        ending.extend(requested.map(|(task, _)| (now + END_DELAY, task)));
    }
    None
}

/// Guards against urgent work that waits for other work to complete, and against a missed bound when checkpoint
/// requests are ignored.
#[test]
fn urgent_work_starts_within_the_bound() {
    let cases = [
        ("by checkpoint", vec![StopMode::Checkpoint], size(1, 1, 0)),
        ("a whole worker by checkpoint", vec![StopMode::Checkpoint], size(8, 8, 0)),
        ("by stop after ignored checkpoints", vec![StopMode::Stop], size(2, 1, 0)),
    ];
    for (name, modes, size) in cases {
        let time = time_to_start(&modes, size).expect(name);
        assert!(time <= Policy::default().urgent_bound, "{name} took {time:?}");
    }
}

/// Guards against stop requests before a task had time to checkpoint, and against more requests than needed.
#[test]
fn checkpoint_comes_before_stop() {
    let now = Instant::now();
    let mut planner = full_shard(now);
    planner.submit(now, job("b", "u", Class::Urgent, size(2, 1, 0), now)).expect("fits");
    let requested = stops(&planner.plan(now, MANY));
    assert_eq!(requested.len(), 2);
    assert!(requested.iter().all(|(_, mode)| *mode == StopMode::Checkpoint));
    assert_eq!(planner.plan(now + Duration::from_secs(1), MANY), []);
    let forced = stops(&planner.plan(now + Duration::from_secs(4), MANY));
    let expected: Vec<(Task, StopMode)> =
        requested.into_iter().map(|(task, _)| (task, StopMode::Stop)).collect();
    assert_eq!(forced, expected);
}

/// Guards against a start on capacity before the task that uses it has ended.
#[test]
fn capacity_is_free_only_after_release() {
    let now = Instant::now();
    let mut planner = full_shard(now);
    planner.submit(now, job("b", "u", Class::Urgent, size(1, 1, 0), now)).expect("fits");
    let requested = stops(&planner.plan(now, MANY));
    assert_eq!(planner.plan(now + STEP, MANY), []);
    confirm_stop(&mut planner, &requested[0].0, now + STEP);
    let started = starts(&planner.plan(now + STEP, MANY));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0.work.name, "u");
}

/// Guards against preemption of a team within its fair share.
#[test]
fn team_within_its_share_is_not_preempted() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 2, now);
    submit_batch(&mut planner, "a", "x", 8, size(1, 1, 0), now);
    for index in 0..8 {
        let mut fixed = job("b", &format!("y{index}"), Class::Batch, size(1, 1, 0), now);
        fixed.preemptible = false;
        planner.submit(now, fixed).expect("fits");
    }
    assert_eq!(planner.plan(now, MANY).len(), 16);
    planner.submit(now, job("b", "u", Class::Urgent, size(1, 1, 0), now)).expect("fits");
    assert_eq!(planner.plan(now, MANY), []);
}

/// Guards against preemption of a team within its fair share on a worker that also runs a team above its share.
#[test]
fn only_tasks_above_a_fair_share_are_preempted() {
    let now = Instant::now();
    let mut planner = shard(&Policy::default(), 1, now);
    planner.set_team(now, team("c", 1, unlimited()));
    submit_batch(&mut planner, "a", "x", 2, size(1, 1, 0), now);
    submit_batch(&mut planner, "b", "y", 6, size(1, 1, 0), now);
    assert_eq!(planner.plan(now, MANY).len(), 8);
    planner.submit(now, job("c", "large", Class::Urgent, size(8, 8, 0), now)).expect("fits");
    assert_eq!(planner.plan(now, MANY), [], "team b alone cannot make room for it");
    planner.submit(now, job("c", "small", Class::Urgent, size(3, 3, 0), now)).expect("fits");
    let later = now + Duration::from_secs(1);
    let requested = stops(&planner.plan(later, MANY));
    assert!(requested.iter().all(|(task, _)| task.work.team == "b"), "{requested:?}");
}
