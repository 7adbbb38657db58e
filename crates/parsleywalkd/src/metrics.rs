//! Metrics in the Prometheus text format, by `opentelemetry`.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of request durations in seconds.
const DURATION_BOUNDS: [f64; 14] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// The instruments of one daemon. Cloning shares them.
#[derive(Debug, Clone)]
pub(crate) struct DaemonMetrics {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
    requests: Counter<u64>,
    durations: Histogram<f64>,
    refusals: Counter<u64>,
    reports: Counter<u64>,
    commands: Counter<u64>,
    state: Gauge<u64>,
}

impl DaemonMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry has no conflicting collectors");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("parsleywalk");
        Self {
            registry,
            requests: meter
                .u64_counter("parsleywalk_requests")
                .with_description("Requests answered, by outcome")
                .build(),
            durations: meter
                .f64_histogram("parsleywalk_request_duration")
                .with_description("Time from a request's arrival to its answer")
                .with_unit("s")
                .with_boundaries(DURATION_BOUNDS.to_vec())
                .build(),
            refusals: meter.u64_counter("parsleywalk_refusals").with_description("Calls refused at the edge").build(),
            reports: meter
                .u64_counter("parsleywalk_worker_reports")
                .with_description("Worker reports answered")
                .build(),
            commands: meter
                .u64_counter("parsleywalk_commands")
                .with_description("Commands applied to the replicated state, by outcome")
                .build(),
            state: meter.u64_gauge("parsleywalk_state").with_description("Sizes and positions of the state").build(),
            provider: Arc::new(provider),
        }
    }

    pub(crate) fn request(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.durations.record(seconds, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn report(&self) {
        self.reports.add(1, &[]);
    }

    pub(crate) fn command(&self, outcome: &'static str) {
        self.commands.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn state(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// The text that `/metrics` serves.
    pub(crate) fn render(&self) -> String {
        if let Err(error) = self.provider.force_flush() {
            log::debug!("event=metrics_flush_failed error={:?}", error.to_string());
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
