//! Estimate of how much each batch service slows each latency-critical service.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Share of the prediction error by which one sample corrects the estimates.
const LEARNING_RATE: f64 = 0.15;
/// Added to the squared cores of a sample, so that noise is not attributed to batch services with small usage.
const DAMPING: f64 = 4.0;
/// Upper bound of a sample's slowdown and of the estimated slowdown per core, so that a single broken measurement
/// changes little.
const MAX_SLOWDOWN: f64 = 4.0;
/// Rates at which the baseline latency of a service follows larger and smaller samples. With these rates it follows the
/// lower quartile.
const BASELINE_RATES: (f64, f64) = (0.01, 0.03);

/// Rates at which the baseline at peak load follows larger and smaller values, for each report of an instance. With 50
/// instances that report every 5 s, the smaller rate corresponds to about an hour.
const PEAK_BASELINE_RATES: (f64, f64) = (0.05, 0.000_03);

/// Interference estimate of a pair of services.
#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    /// Slowdown per core that the batch service uses.
    slope: f64,
    updated_at: MonotonicTime,
}

/// Baseline latency of one service, without interference, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceBaseline {
    /// Baseline at the current load.
    current_load: f64,
    /// Baseline at the highest load of about the last hour.
    peak_load: f64,
}

/// Relative slowdown of an instance: 0 is the baseline latency, 1 is twice the baseline latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slowdown {
    /// Slowdown against the baseline at the current load.
    pub(crate) current_load: f64,
    /// Slowdown against the baseline at the highest recent load, which determines the tail latency over time. Negative
    /// while the load is low and the latency stays below that baseline.
    pub(crate) peak_load: f64,
}

/// Estimates the slowdown of each latency-critical service per core that a batch service uses on the same worker.
#[derive(Debug, Clone)]
pub(crate) struct InterferenceModel {
    half_life: Duration,
    pairs: HashMap<(u32, u32), PairEstimate>,
    baselines: Vec<ServiceBaseline>,
}

impl InterferenceModel {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self { half_life, pairs: HashMap::new(), baselines: Vec::new() }
    }

    /// Returns the factor by which an estimate has decayed since its last update.
    fn decay(&self, now: MonotonicTime, updated_at: MonotonicTime) -> f64 {
        if self.half_life.is_zero() {
            return 1.0;
        }
        0.5_f64.powf(now.since(updated_at).as_secs_f64() / self.half_life.as_secs_f64())
    }

    /// Returns the estimated slowdown of service `critical` per core that service `batch` uses.
    pub(crate) fn slope(&self, now: MonotonicTime, critical: u32, batch: u32) -> f64 {
        self.pairs.get(&(critical, batch)).map_or(0.0, |pair| pair.slope * self.decay(now, pair.updated_at))
    }

    /// Updates the estimates with one instance's `latency` in seconds and returns the instance's slowdown.
    /// `batch_usage` has the cores that each batch service used on the same worker at the same time.
    pub(crate) fn record_sample(
        &mut self,
        now: MonotonicTime,
        critical: u32,
        latency: f64,
        batch_usage: &[(u32, f64)],
    ) -> Slowdown {
        let predicted: f64 = batch_usage.iter().map(|(batch, cores)| self.slope(now, critical, *batch) * cores).sum();
        let index = critical as usize;
        if self.baselines.len() <= index {
            self.baselines.resize(index + 1, ServiceBaseline::default());
        }
        let baseline = &mut self.baselines[index];
        let unslowed = latency / (1.0 + predicted);
        if baseline.current_load <= 0.0 {
            *baseline = ServiceBaseline { current_load: unslowed, peak_load: unslowed };
        }
        let rate = if unslowed > baseline.current_load { BASELINE_RATES.0 } else { BASELINE_RATES.1 };
        baseline.current_load += (unslowed - baseline.current_load) * rate;
        let rate =
            if baseline.current_load > baseline.peak_load { PEAK_BASELINE_RATES.0 } else { PEAK_BASELINE_RATES.1 };
        baseline.peak_load += (baseline.current_load - baseline.peak_load) * rate;
        let slowdown_against = |baseline: f64| (latency / baseline.max(1e-9) - 1.0).clamp(-1.0, MAX_SLOWDOWN);
        let (slowdown, peak_load) =
            (slowdown_against(baseline.current_load), slowdown_against(baseline.peak_load.max(baseline.current_load)));
        let squared_cores: f64 = batch_usage.iter().map(|(_, cores)| cores * cores).sum();
        let error = slowdown - predicted;
        for (batch, cores) in batch_usage {
            let slope = self.slope(now, critical, *batch) + LEARNING_RATE * error * cores / (DAMPING + squared_cores);
            self.pairs
                .insert((critical, *batch), PairEstimate { slope: slope.clamp(0.0, MAX_SLOWDOWN), updated_at: now });
        }
        Slowdown { current_load: slowdown, peak_load }
    }

    /// Returns the number of service pairs with an estimate.
    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }
}
