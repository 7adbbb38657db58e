//! Which batch services slow which latency-critical services.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The size of a learning step.
const STEP: f64 = 0.15;
/// Added to the squared processors of a sample, so that tiny neighbours are not blamed for noise.
const DAMPING: f64 = 4.0;
/// The largest slow-down that one sample may show; a single broken measurement then changes little.
const LARGEST: f64 = 4.0;
/// Steps of a service's reference latency towards larger and smaller samples; it follows the lower quarter.
const REFERENCE_STEPS: (f64, f64) = (0.01, 0.03);

#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    /// Slow-down per core of the batch service.
    slope: f64,
    updated: MonotonicTime,
}

/// The slow-down of each latency-critical service for each core that a batch service uses on the same worker.
#[derive(Debug, Clone)]
pub(crate) struct InterferenceModel {
    half_life: Duration,
    pairs: HashMap<(u32, u32), PairEstimate>,
    /// The latency of each service without slow-down, in seconds, at the present load.
    references: Vec<f64>,
}

impl InterferenceModel {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self { half_life, pairs: HashMap::new(), references: Vec::new() }
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

    /// Learns from one instance's latency beside `neighbours`, the processors that each batch service used at the same
    /// time, and returns how much the instance is slowed; 0 is not at all.
    pub(crate) fn learn(&mut self, now: MonotonicTime, critical: u32, latency: f64, neighbours: &[(u32, f64)]) -> f64 {
        let predicted: f64 = neighbours.iter().map(|(batch, cores)| self.slope(now, critical, *batch) * cores).sum();
        let place = critical as usize;
        if self.references.len() <= place {
            self.references.resize(place + 1, 0.0);
        }
        let reference = &mut self.references[place];
        let alone = latency / (1.0 + predicted);
        if *reference <= 0.0 {
            *reference = alone;
        }
        *reference += (alone - *reference) * if alone > *reference { REFERENCE_STEPS.0 } else { REFERENCE_STEPS.1 };
        let slowdown = (latency / reference.max(1e-9) - 1.0).clamp(-1.0, LARGEST);
        let square: f64 = neighbours.iter().map(|(_, cores)| cores * cores).sum();
        let error = slowdown - predicted;
        for (batch, cores) in neighbours {
            let slope = self.slope(now, critical, *batch) + STEP * error * cores / (DAMPING + square);
            self.pairs.insert((critical, *batch), PairEstimate { slope: slope.clamp(0.0, LARGEST), updated: now });
        }
        slowdown
    }

    /// The number of pairs with an estimate.
    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }
}
