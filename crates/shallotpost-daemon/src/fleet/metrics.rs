//! Counters and latency histograms of an entry host, in the text format of Prometheus.
//!
//! docs/OPERATIONS.md lists them. They carry no labels, so their number does not grow with the deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::metrics::{Histogram, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use shallotpost_fleet::port::{Counter, Timing};
use strum::IntoEnumIterator;

/// Upper bounds of the histograms in seconds, from the answer of a store in the same rack to a job of a minute.
const BOUNDS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 10.0, 30.0, 60.0];

/// Counters and histograms since the start of the process.
pub struct Metrics {
    counters: BTreeMap<Counter, opentelemetry::metrics::Counter<u64>>,
    timings: BTreeMap<Timing, Histogram<f64>>,
    registry: Registry,
    /// Keeps the meters registered.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Metrics without any observation.
    ///
    /// # Errors
    ///
    /// The exporter cannot be registered.
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
            // A counter that was never added to is shown too.
            instrument.add(0, &[]);
            (counter, instrument)
        });
        let timings = Timing::iter().map(|timing| {
            let name = format!("{timing}_seconds");
            (timing, meter.f64_histogram(name).with_boundaries(BOUNDS.to_vec()).build())
        });
        Ok(Metrics {
            counters: counters.collect(),
            timings: timings.collect(),
            registry,
            _provider: provider,
        })
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        if let Some(instrument) = self.counters.get(&counter) {
            instrument.add(amount, &[]);
        }
    }

    /// Adds a duration to a histogram.
    pub fn record(&self, timing: Timing, duration: Duration) {
        if let Some(instrument) = self.timings.get(&timing) {
            instrument.record(duration.as_secs_f64(), &[]);
        }
    }

    /// The page; a comment with the error where it cannot be written.
    pub fn render(&self) -> String {
        let mut page = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut page) {
            Ok(()) => String::from_utf8_lossy(&page).into_owned(),
            Err(error) => format!("# the metrics cannot be written: {error}\n"),
        }
    }
}
