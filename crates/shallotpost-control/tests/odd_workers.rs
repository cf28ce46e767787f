//! Workers with impossible capacities. Guards against a scheduler that ends, or that no longer serves the other workers.

#![allow(clippy::unwrap_used)]

#[path = "support/scheduler_harness.rs"]
mod scheduler_harness;

use scheduler_harness::*;
use shallotpost_control::prelude::*;
use shallotpost_protocol::work::{Class, Ending, Specification};
use shallotpost_standin::worker::Worker;

const LIMIT: Duration = Duration::from_secs(40);

/// The list and the worker's answers name capacities whose sums over the workers exceed the largest number.
#[test]
fn huge_capacities() {
    for capacity in [u64::MAX, u64::MAX / 2 + 1, 0] {
        let mut harness = SchedulerHarness::new(4);
        for (incarnation, name) in [(70, "w0"), (71, "w1"), (72, "w2")] {
            let capacity = Size::from_parts([capacity; 4]);
            harness.node(name).worker = Worker::new(incarnation, capacity);
        }
        harness.publish();
        harness.take_over(1);
        let job = |name: &str, size| Specification {
            size,
            ..specification(name, Class::Batch, &["run", "1000"])
        };
        let mut works: Vec<_> =
            (0..12).map(|index| harness.admit(job(&format!("job-{index}"), size(2)))).collect();
        let gang = specification("gang", Class::Gang { parts: 2 }, &["run", "1000"]);
        works.push(harness.admit(Specification { size: size(1), ..gang }));
        harness.admit(job("never", Size::from_parts([u64::MAX; 4])));
        harness
            .run_until(LIMIT, |harness| works.iter().all(|work| harness.outcome(work).is_some()));
        for work in &works {
            assert_eq!(harness.outcome(work).unwrap().ending, Ending::Succeeded, "{capacity}");
        }
    }
}
