//! Jobs and configurations with durations that no task takes. Guards against an owner that ends because of one of them, and
//! then each of its successors, which read the same job.

mod support;

use std::time::Duration;

use shallotpost_fleet::configuration::{Approval, Configuration};
use shallotpost_fleet::job::Step;
use shallotpost_fleet::progress::State;
use support::{Simulation, ms, step};

const ODD: u64 = 0x81;
const NEXT: u64 = 0x82;

fn settled() -> Simulation {
    let mut sim = Simulation::new(&["a", "b"], 2);
    sim.run_until(Duration::from_secs(3), "an owner", |sim| sim.owner().is_some());
    sim.run(ms(1500));
    sim
}

fn with_estimate(estimate: Duration, after: Vec<u16>) -> Step {
    Step { estimate, after, ..step(1, 300) }
}

/// The estimates along a path of steps were added up beyond the largest duration.
#[test]
fn huge_estimates() {
    for estimate in [Duration::MAX, Duration::MAX / 2, Duration::MAX / 3] {
        let mut sim = settled();
        let steps = vec![with_estimate(estimate, Vec::new()), with_estimate(estimate, vec![0])];
        sim.submit("a", "batch", ODD, steps.clone());
        sim.submit("a", "approved", ODD + 8, steps);
        sim.submit("a", "batch", NEXT, vec![step(4, 300)]);
        sim.run(ms(500));
        let owner = sim.owner().expect("there is an owner");
        sim.kill_host(&owner);
        let other = if owner == "a" { "b" } else { "a" };
        sim.run(Duration::from_secs(10));
        for job in [ODD, NEXT] {
            assert_eq!(sim.state(other, "batch", job), Some(State::Completed), "{estimate:?}");
        }
    }
}

/// The completion target and the duration of approvals were computed beyond the largest duration.
#[test]
fn huge_policies() {
    let odd = |version, stretch, duration: Duration| {
        let mut configuration = Configuration { version, ..support::configuration() };
        for queue in &mut configuration.queues {
            queue.policy.stretch = stretch;
            queue.policy.target = duration;
            queue.policy.approval = queue.policy.approval.map(|_| Approval {
                per_call: duration,
                per_worker: duration,
                validity: duration,
            });
        }
        configuration
    };
    let cases =
        [(1e300, Duration::MAX), (f64::MAX, ms(1)), (1.0, Duration::MAX / 2), (-1e300, ms(0))];
    for (version, (stretch, duration)) in (2..).zip(cases) {
        let mut sim = settled();
        sim.configure(odd(version, stretch, duration));
        sim.run(ms(500));
        sim.submit("a", "batch", ODD, vec![step(2, 300)]);
        sim.submit("a", "approved", ODD + 8, vec![step(2, 300)]);
        sim.run(Duration::from_secs(4));
        assert_eq!(sim.state("a", "batch", ODD), Some(State::Completed), "{stretch} {duration:?}");
    }
}
