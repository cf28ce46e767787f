//! Prints measurements as JSON lines.

use serde_json::json;

/// Ratio between the costs per message at the largest and the smallest size above which the cost counts as growing.
const GROWTH_LIMIT: f64 = 1.5;

/// Minimum increase of a growing cost, in microseconds. Smaller differences may be clock noise.
const NOISE_MICROSECONDS: f64 = 1.0;

/// Prints measurements to standard output.
pub struct Report;

impl Report {
    /// Prints one value.
    pub fn value(&mut self, name: &str, value: f64, unit: &str) {
        println!("{}", json!({"name": name, "value": round(value), "unit": unit}));
    }

    /// Prints each point `(size, value)`, and the slope between the first and the last point.
    pub fn slope(&mut self, name: &str, unit: &str, per: &str, points: &[(usize, f64)]) {
        for (size, value) in points {
            let line = json!({
                "name": name, "value": round(*value), "unit": unit, "size": size, "size_of": per,
            });
            println!("{line}");
        }
        if let [(first, low), .., (last, high)] = points {
            let slope = (high - low) / (*last as f64 - *first as f64);
            let line = json!({
                "name": format!("{name}_slope"), "value": round(slope), "unit": unit, "slope_per": per,
            });
            println!("{line}");
        }
    }

    /// Prints the cost per message at each size `(size, cost)`, and whether it grows with the size.
    pub fn per_message(&mut self, name: &str, unit: &str, size_of: &str, points: &[(usize, f64)]) {
        let cheapest = points.iter().map(|point| point.1).fold(f64::INFINITY, f64::min);
        let ratio = match points {
            [(_, low), .., (_, high)] if *low > 0.0 => high / low,
            _ => 1.0,
        };
        let grows =
            ratio > GROWTH_LIMIT && cheapest + NOISE_MICROSECONDS < points[points.len() - 1].1;
        for (size, value) in points {
            let line = json!({
                "name": name, "value": round(*value), "unit": unit, "size": size, "size_of": size_of,
            });
            println!("{line}");
        }
        let line = json!({
            "name": format!("{name}_ratio"), "value": round(ratio), "unit": "ratio",
            "size_of": size_of, "grows": grows,
        });
        println!("{line}");
    }
}

fn round(value: f64) -> f64 {
    match value.abs() {
        size if size >= 100.0 => value.round(),
        size if size >= 1.0 => (value * 100.0).round() / 100.0,
        _ => (value * 10_000.0).round() / 10_000.0,
    }
}
