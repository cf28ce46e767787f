//! Burst of jobs whose tasks need approved workers. Guards against calls that name so many workers that the approval
//! service falls behind, and against calls that yield too little capacity.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_policy::approval::{Candidate, Cost, Rate, workers_to_name};

const COST: Cost =
    Cost { per_call: Duration::from_millis(80), per_worker: Duration::from_micros(1_100) };

/// Share of the workers that the service approves.
const APPROVED: f64 = 0.45;

const POOL: usize = 350;

/// Returns workers for which the service has not decided yet.
fn unknown(rooms: impl Iterator<Item = u64>) -> impl Iterator<Item = Candidate> {
    rooms.map(|tasks| Candidate { tasks, approved: false })
}

/// Outcome of a burst in which one host calls the service.
struct Outcome {
    /// Longest time from a stage's arrival to its tickets.
    longest_wait: Duration,
    /// Share of the stages whose approved workers have room for all tasks.
    sufficient: f64,
}

/// Plays a burst: every 120 ms a stage of 25 tasks, three of which fit on a worker. `name` returns the number of workers
/// that a call names.
fn play(mut name: impl FnMut(Rate) -> usize) -> Outcome {
    let mut random = StdRng::seed_from_u64(41);
    let mut rate = Rate::default();
    let (mut free_at, mut longest_wait, mut sufficient) = (Duration::ZERO, Duration::ZERO, 0);
    let stages = 100;
    for number in 0..stages {
        let arrival = Duration::from_millis(120) * number;
        let named = name(rate);
        let approved = (0..named).filter(|_| random.random_bool(APPROVED)).count();
        rate.record(named, approved);
        let duration = COST.per_call + COST.per_worker * u32::try_from(named).expect("it is small");
        free_at = free_at.max(arrival) + duration;
        longest_wait = longest_wait.max(free_at - arrival);
        sufficient += u32::from(approved * 3 >= 25);
    }
    Outcome { longest_wait, sufficient: f64::from(sufficient) / f64::from(stages) }
}

/// A call that names 100 workers takes 190 ms, so stages that arrive every 120 ms wait ever longer.
#[test]
fn service_keeps_up() {
    let all = play(|_| 100);
    assert!(all.longest_wait > Duration::from_secs(2), "the burst does not show the failure");
    let chosen =
        play(|rate| workers_to_name(25, unknown(std::iter::repeat_n(3, POOL)), rate, COST));
    assert!(chosen.longest_wait < Duration::from_millis(500), "{:?}", chosen.longest_wait);
    assert!(chosen.sufficient > 0.9, "{}", chosen.sufficient);
}

/// Workers without room do not count, so more are named when the pool is nearly full.
#[test]
fn rooms_count() {
    let rooms = (0..POOL as u64).map(|number| u64::from(number % 10 == 0));
    let named = workers_to_name(4, unknown(rooms), Rate::default(), COST);
    assert!((100..200).contains(&named), "{named}");
    assert_eq!(workers_to_name(4, unknown([9, 9].into_iter()), Rate::default(), COST), 2);
}

/// Workers that the platform allows for in a job's objective: one call that names so many for each step.
const NAMED_IN_OBJECTIVE: usize = 30;

/// An unlucky call must not make the next ones name the whole pool.
#[test]
fn unlucky_calls() {
    let mut rate = Rate::default();
    for _ in 0..50 {
        rate.record(20, 0);
    }
    let named = workers_to_name(2, unknown(std::iter::repeat_n(3, POOL)), rate, COST);
    assert!(named <= NAMED_IN_OBJECTIVE, "{named}");
}

/// A renewal that names more workers than it needs keeps the service busy for others' calls.
#[test]
fn approved_before() {
    let cost = Cost { per_call: Duration::from_millis(10), per_worker: Duration::from_millis(1) };
    let known = std::iter::repeat_n(Candidate { tasks: 3, approved: true }, POOL);
    assert_eq!(workers_to_name(9, known, Rate::default(), cost), 5);
}
