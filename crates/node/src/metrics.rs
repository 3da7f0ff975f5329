//! The metrics of a process in the text format of Prometheus.

use std::fmt;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

const LATENCY_BOUNDS_MS: [f64; 14] =
    [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 35.0, 50.0, 74.0, 100.0, 200.0, 500.0, 1000.0, 5000.0];

/// The metrics of one process; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Panics
    /// Panics if the exporter cannot be built, which is a bug.
    #[must_use]
    pub fn open() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("egret")
            .without_target_info()
            .build()
            .expect("a new registry accepts an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("egretcross");
        Self { registry, meter, _provider: provider }
    }

    /// Creates a counter.
    #[must_use]
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a gauge.
    #[must_use]
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Creates a histogram of durations in milliseconds.
    #[must_use]
    pub fn latency(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        let bounds = LATENCY_BOUNDS_MS.to_vec();
        self.meter.f64_histogram(name).with_description(description).with_boundaries(bounds).build()
    }

    /// Returns all metrics as text for scraping.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Creates a label from a key and a displayed value.
#[must_use]
pub fn label(key: &'static str, value: impl fmt::Display) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
