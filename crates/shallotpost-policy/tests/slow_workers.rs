//! Workers that turn slow for a while. Guards against tasks that go on being placed there, and against sound workers that
//! count as slow because estimates are rough.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shallotpost_policy::slowness::{QueueSpeed, Slowness};

const WORKERS: usize = 100;

/// Workers with lower numbers are slow.
const SLOW: usize = 12;

/// Plays `runs` runs whose estimates are wrong by up to `spread` (a logarithm), round robin over the workers. Returns the
/// workers that count as slow at the end.
fn play(runs: usize, spread: f64, slow_factor: f64) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(7);
    let mut speed = QueueSpeed::default();
    let mut workers = vec![Slowness::default(); WORKERS];
    let mut now = Duration::ZERO;
    for run in 0..runs {
        now += Duration::from_millis(5);
        let worker = run % WORKERS;
        let factor = if worker < SLOW { slow_factor } else { 1.0 };
        let estimate = Duration::from_millis(640);
        let duration = estimate.mul_f64(factor * random.random_range(-spread..spread).exp());
        workers[worker].record(speed.observe(estimate, duration), now);
    }
    (0..WORKERS).filter(|worker| workers[*worker].is_slow(now)).collect()
}

/// A worker that takes 4.75 times as long is known after a few runs, even if estimates are wrong by a factor of two.
#[test]
fn slow_workers_are_found() {
    let found = play(5 * WORKERS, 0.7, 4.75);
    let right = found.iter().filter(|worker| **worker < SLOW).count();
    assert!(right >= SLOW - 2, "{found:?}");
    assert!(found.len() - right <= 3, "{found:?}");
}

#[test]
fn rough_estimates_condemn_nobody() {
    let found = play(10 * WORKERS, 0.7, 1.0);
    assert!(found.len() <= 3, "{found:?}");
}

/// A worker that gets no tasks any more must get a chance to show that it has recovered.
#[test]
fn slowness_is_forgotten() {
    let mut slowness = Slowness::default();
    for second in 0..3 {
        slowness.record(1.5, Duration::from_secs(second));
    }
    assert!(slowness.is_slow(Duration::from_secs(3)));
    assert!(!slowness.is_slow(Duration::from_secs(8)));
}
