//! Counters and latency histograms of an entry host, in the text format of Prometheus.
//!
//! docs/OPERATIONS.md lists them. They have no labels, so the number of series does not grow with the deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use shallotpost_fleet::port::{Counter, Timing};
use strum::IntoEnumIterator;

/// Upper bounds of the histogram buckets, in seconds. They cover the range from a store call within a rack to a job of one
/// minute.
const BUCKET_BOUNDS_SECONDS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 10.0, 30.0, 60.0];

/// Counters and histograms since the start of the process.
pub struct Metrics {
    counters: BTreeMap<Counter, opentelemetry::metrics::Counter<u64>>,
    timings: BTreeMap<Timing, Histogram<f64>>,
    registry: Registry,
    /// Keeps the instruments registered with the exporter.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers all counters, at zero, and all histograms.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Metrics, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("shallotpost")
            .without_target_info()
            .without_units()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("shallotpost");
        let counters = Counter::iter().map(|counter| {
            let instrument = meter.u64_counter(counter.to_string()).build();
            // Makes the counter appear in the output before its first increment.
            instrument.add(0, &[]);
            (counter, instrument)
        });
        let timings = Timing::iter().map(|timing| {
            let name = format!("{timing}_seconds");
            (
                timing,
                meter.f64_histogram(name).with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec()).build(),
            )
        });
        Ok(Metrics {
            counters: counters.collect(),
            timings: timings.collect(),
            registry,
            _provider: provider,
        })
    }

    pub fn add(&self, counter: Counter, amount: u64) {
        if let Some(instrument) = self.counters.get(&counter) {
            instrument.add(amount, &[]);
        }
    }

    pub fn record(&self, timing: Timing, duration: Duration) {
        if let Some(instrument) = self.timings.get(&timing) {
            instrument.record(duration.as_secs_f64(), &[]);
        }
    }

    /// Renders the metrics page. If encoding fails, the page is a comment with the error.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# the metrics cannot be written: {error}\n"),
        }
    }
}
