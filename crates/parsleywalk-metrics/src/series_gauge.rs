//! A gauge with a changing set of series.

use std::sync::{Arc, Mutex, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// The labels of a series and its value.
type Series = (Vec<KeyValue>, f64);

/// A gauge whose series are replaced all at once, so that a series that is no longer recorded is no longer rendered. Clones
/// share the series.
#[derive(Debug, Clone, Default)]
pub struct SeriesGauge {
    series: Arc<Mutex<Vec<Series>>>,
}

impl SeriesGauge {
    pub(crate) fn new(meter: &Meter, name: &'static str, description: &'static str) -> Self {
        let gauge = Self::default();
        let observed = gauge.clone();
        let builder = meter.f64_observable_gauge(name).with_description(description);
        builder
            .with_callback(move |observer| {
                let series = observed.series.lock().unwrap_or_else(PoisonError::into_inner);
                for (labels, value) in series.iter() {
                    observer.observe(*value, labels);
                }
            })
            .build();
        gauge
    }

    /// Replaces all series.
    pub fn replace(&self, series: Vec<Series>) {
        *self.series.lock().unwrap_or_else(PoisonError::into_inner) = series;
    }
}
