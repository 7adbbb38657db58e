//! The metric registry of a process.

use std::sync::Arc;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::SeriesGauge;

/// The histogram bucket bounds of durations, in seconds.
const DURATION_BOUNDS: [f64; 14] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Creates instruments and renders their values. Clones share the same instruments.
#[derive(Debug, Clone)]
pub struct MetricRegistry {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
    meter: Meter,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricRegistry {
    /// Creates a registry without instruments.
    ///
    /// # Panics
    ///
    /// Never panics, since the exporter can only conflict with collectors that are already registered.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry has no conflicting collectors");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("parsleywalk");
        Self { registry, provider: Arc::new(provider), meter }
    }

    /// Creates a counter of events.
    #[must_use]
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a gauge, which records a value that can rise and fall.
    #[must_use]
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Creates a gauge whose series are replaced all at once.
    #[must_use]
    pub fn series_gauge(&self, name: &'static str, description: &'static str) -> SeriesGauge {
        SeriesGauge::new(&self.meter, name, description)
    }

    /// Creates a histogram of durations in seconds, with buckets from 0.5 ms to 10 s.
    #[must_use]
    pub fn duration_histogram(&self, name: &'static str, description: &'static str) -> Histogram<f64> {
        let histogram = self.meter.f64_histogram(name).with_description(description).with_unit("s");
        histogram.with_boundaries(DURATION_BOUNDS.to_vec()).build()
    }

    /// Returns the current values in the Prometheus text format, or an empty text if they cannot be encoded.
    #[must_use]
    pub fn render(&self) -> String {
        if let Err(error) = self.provider.force_flush() {
            log::debug!("event=metrics_flush_failed error={:?}", error.to_string());
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            log::warn!("event=metrics_not_encoded error={:?}", error.to_string());
            String::new()
        })
    }
}
