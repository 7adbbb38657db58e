//! Metrics in the Prometheus text format, based on OpenTelemetry.
//!
//! [`MetricRegistry`] creates the instruments of a process and renders their values:
//!
//! ```
//! use parsleywalk_metrics::MetricRegistry;
//!
//! let registry = MetricRegistry::new();
//! let starts = registry.counter("parsleywalk_starts", "Runs that were ordered");
//! starts.add(2, &[]);
//! assert!(registry.render().contains("parsleywalk_starts_total"));
//! ```

mod registry;
mod series_gauge;

pub use opentelemetry::KeyValue;
pub use opentelemetry::metrics::{Counter, Gauge, Histogram};
pub use registry::MetricRegistry;
pub use series_gauge::SeriesGauge;
