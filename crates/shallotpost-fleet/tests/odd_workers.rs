//! Workers with impossible values. Guards against an owner that ends because of one of them.

mod support;

use std::time::Duration;

use shallotpost_fleet::job::Step;
use shallotpost_fleet::progress::State;
use shallotpost_protocol::size::Size;
use support::{Simulation, ms, step};

const JOB: u64 = 0x71;
const NEXT: u64 = 0x72;

fn settled(workers: usize) -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], workers);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

/// The sum of the capacities of a pool overflowed, and with it the share of the pool in use, as soon as a job waited that
/// was beyond its team's share.
#[test]
fn huge_capacities() {
    let mut sim = settled(3);
    for name in ["w0", "w1"] {
        let worker = sim.workers.get_mut(name).expect("a worker");
        worker.capacity = Size { processors_milli: u64::MAX, ..worker.capacity };
        sim.register(name, false);
    }
    sim.run(ms(500));
    let wide = |accelerators| Step {
        size: Size { processors_milli: 1000, accelerators, ..Size::ZERO },
        ..step(3, 1000)
    };
    for id in 0..8 {
        sim.submit("a", "batch", JOB + id, vec![wide(5)]);
    }
    sim.run(Duration::from_secs(8));
    assert_eq!(sim.state("a", "batch", JOB + 7), Some(State::Completed));
    sim.check_invariants();
}

/// The end of a lease on a clock that is about to overflow ended the owner, and so did its successors.
#[test]
fn huge_clock() {
    for clock_ms in [u64::MAX, u64::MAX - 3000, 1 << 53] {
        let mut sim = settled(3);
        sim.submit("a", "batch", JOB, vec![step(12, 300)]);
        sim.run(ms(100));
        sim.workers.get_mut("w1").expect("a worker").false_clock_ms = Some(clock_ms);
        sim.run(Duration::from_secs(4));
        sim.submit("a", "batch", NEXT, vec![step(8, 300)]);
        sim.run(Duration::from_secs(4));
        sim.crash("w1");
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.state("a", "batch", JOB), Some(State::Completed), "{clock_ms}");
        assert_eq!(sim.state("a", "batch", NEXT), Some(State::Completed), "{clock_ms}");
    }
}
