//! Which batch services slow which latency-critical services.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The size of a learning step.
const LEARNING_RATE: f64 = 0.15;
/// Added to the squared processors of a sample, so that tiny neighbours are not blamed for noise.
const DAMPING: f64 = 4.0;
/// The largest slow-down that one sample may show; a single broken measurement then changes little.
const MAX_SLOWDOWN: f64 = 4.0;
/// Steps of a service's reference latency towards larger and smaller samples; it follows the lower quarter.
const BASELINE_RATES: (f64, f64) = (0.01, 0.03);

/// Steps of the reference at the highest load, for each report of one of the service's instances; with 50 instances that
/// report every 5 s the smaller one is about an hour.
const PEAK_BASELINE_RATES: (f64, f64) = (0.05, 0.000_03);

#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    /// Slow-down per core of the batch service.
    slope: f64,
    updated: MonotonicTime,
}

/// The latency of one service without slow-down, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceBaseline {
    /// At the present load.
    current_load: f64,
    /// At the highest load of about the last hour.
    peak_load: f64,
}

/// How much an instance is slowed; 0 is not at all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slowdown {
    /// Against running alone at the present load.
    pub(crate) current_load: f64,
    /// Against running alone at the highest recent load, from which the tail of all latencies comes; negative while the
    /// load is low and the slow-down does not reach the tail.
    pub(crate) peak_load: f64,
}

/// The slow-down of each latency-critical service for each core that a batch service uses on the same worker.
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

    fn decay(&self, now: MonotonicTime, updated: MonotonicTime) -> f64 {
        if self.half_life.is_zero() {
            return 1.0;
        }
        0.5_f64.powf(now.since(updated).as_secs_f64() / self.half_life.as_secs_f64())
    }

    /// The slow-down of `critical` for each core of `batch`.
    pub(crate) fn slope(&self, now: MonotonicTime, critical: u32, batch: u32) -> f64 {
        self.pairs.get(&(critical, batch)).map_or(0.0, |pair| pair.slope * self.decay(now, pair.updated))
    }

    /// Learns from one instance's latency beside `batch_usage`, the processors that each batch service used at the same
    /// time, and returns how much the instance is slowed.
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
            self.pairs.insert((critical, *batch), PairEstimate { slope: slope.clamp(0.0, MAX_SLOWDOWN), updated: now });
        }
        Slowdown { current_load: slowdown, peak_load }
    }

    /// The number of pairs with an estimate.
    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }
}
