//! Comparison of the results of the policy with those of the baseline.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::report::Line;
use crate::simulation::{Result, Wait};

/// Maximum time to the start of urgent work, in seconds.
const URGENT_BOUND: f64 = 6.2;
const CLASSES: [&str; 4] = ["service", "batch", "gang", "urgent"];
/// Reported quantiles of waiting times, with their names.
const QUANTILES: [(&str, f64); 2] = [("wait_p50", 0.5), ("wait_p99", 0.99)];

/// Returns all report lines for one deployment.
pub fn compare(deployment: &Deployment, policy: &Result, baseline: &Result) -> Vec<Line> {
    let line = |name: &str, unit, value, baseline| Line {
        name: name.to_owned(),
        deployment: deployment.name,
        value,
        unit,
        baseline: Some(baseline),
        target: None,
        holds: None,
    };
    let mut lines = Vec::new();
    for (name, quantile) in QUANTILES {
        for class in CLASSES {
            let of = |result: &Result| seconds(result, quantile, |wait| wait.class == class);
            let name = format!("{name}/{class}");
            lines.push(not_above_baseline(line(&name, "s", of(policy), of(baseline))));
        }
        for (team, load) in deployment.teams.iter().enumerate() {
            let of = |result: &Result| seconds(result, quantile, |wait| wait.team == team);
            let name = format!("{name}/{}", load.id);
            let line = line(&name, "s", of(policy), of(baseline));
            // A team that demands more than its fair share is preempted, so it may wait longer than with FIFO.
            let within_fair_share = load.load <= deployment.fair_share(load);
            lines.push(if within_fair_share { not_above_baseline(line) } else { line });
        }
    }
    let urgent = |result: &Result| seconds(result, 0.99, |wait| wait.class == "urgent");
    let mut bound = line("urgent_start_p99", "s", urgent(policy), urgent(baseline));
    bound.target = Some(URGENT_BOUND);
    bound.holds = Some(bound.value <= URGENT_BOUND);
    lines.push(bound);
    let gang = |result: &Result| seconds(result, 0.99, |wait| wait.class == "gang");
    lines.push(not_above_baseline(line("gang_wait_p99", "s", gang(policy), gang(baseline))));
    let (own, other) = (policy.share_distance, baseline.share_distance);
    lines.push(not_above_baseline(line("share_distance", "part", own, other)));
    lines.push(line("packing", "part", policy.packing, baseline.packing));
    if let (Some(own), Some(other)) = (policy.goodput, baseline.goodput) {
        let mut goodput = line("goodput_during_outage", "part", own, other);
        goodput.holds = Some(own >= other);
        lines.push(goodput);
    }
    let counts = |result: &Result| (result.failures as f64, result.preemptions as f64);
    let (own, other) = (counts(policy), counts(baseline));
    lines.push(line("failed_starts", "starts", own.0, other.0));
    lines.push(line("preemptions", "requests", own.1, other.1));
    lines.push(line("refused", "works", policy.refused as f64, baseline.refused as f64));
    lines
}

fn not_above_baseline(line: Line) -> Line {
    Line { holds: line.baseline.map(|baseline| line.value <= baseline), ..line }
}

/// Returns a quantile of the selected waiting times, in seconds.
fn seconds(result: &Result, quantile: f64, chosen: impl Fn(&Wait) -> bool) -> f64 {
    let waits = result.waits.iter().filter(|wait| chosen(wait)).map(|wait| wait.wait);
    self::quantile(waits, quantile).as_secs_f64()
}

/// Returns a quantile of durations, with a resolution of microseconds.
pub fn quantile(values: impl Iterator<Item = Duration>, quantile: f64) -> Duration {
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits are valid");
    for value in values {
        histogram.record(value.as_micros() as u64).expect("the histogram resizes");
    }
    Duration::from_micros(histogram.value_at_quantile(quantile))
}
