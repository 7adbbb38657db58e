//! Metrics of a daemon, exported in the Prometheus text format.

use parsleywalk_metrics::{Counter, Gauge, Histogram, KeyValue, MetricRegistry};

/// The metric instruments of one daemon. Clones share them.
#[derive(Debug, Clone)]
pub(crate) struct DaemonMetrics {
    registry: MetricRegistry,
    requests: Counter<u64>,
    durations: Histogram<f64>,
    refusals: Counter<u64>,
    reports: Counter<u64>,
    commands: Counter<u64>,
    state: Gauge<u64>,
}

impl DaemonMetrics {
    pub(crate) fn new() -> Self {
        let registry = MetricRegistry::new();
        Self {
            requests: registry.counter("parsleywalk_requests", "Requests answered, by outcome"),
            durations: registry
                .duration_histogram("parsleywalk_request_duration", "Time from a request's arrival to its answer"),
            refusals: registry.counter("parsleywalk_refusals", "Calls refused at the edge"),
            reports: registry.counter("parsleywalk_worker_reports", "Worker reports answered"),
            commands: registry.counter("parsleywalk_commands", "Commands applied to the replicated state, by outcome"),
            state: registry.gauge("parsleywalk_state", "Sizes and positions of the state"),
            registry,
        }
    }

    pub(crate) fn record_request(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.durations.record(seconds, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_report(&self) {
        self.reports.add(1, &[]);
    }

    pub(crate) fn record_command(&self, outcome: &'static str) {
        self.commands.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_state(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// Returns the text that `/metrics` serves.
    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
