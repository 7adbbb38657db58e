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

/// Steps of the reference at the highest load, for each report of one of the service's instances; with 50 instances that
/// report every 5 s the smaller one is about an hour.
const TAIL_STEPS: (f64, f64) = (0.05, 0.000_03);

#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    /// Slow-down per core of the batch service.
    slope: f64,
    updated: MonotonicTime,
}

/// The latency of one service without slow-down, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceReference {
    /// At the present load.
    present: f64,
    /// At the highest load of about the last hour.
    tail: f64,
}

/// How much an instance is slowed; 0 is not at all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Slowdown {
    /// Against running alone at the present load.
    pub(crate) present: f64,
    /// Against running alone at the highest recent load, from which the tail of all latencies comes; negative while the
    /// load is low and the slow-down does not reach the tail.
    pub(crate) tail: f64,
}

/// The slow-down of each latency-critical service for each core that a batch service uses on the same worker.
#[derive(Debug, Clone)]
pub(crate) struct InterferenceModel {
    half_life: Duration,
    pairs: HashMap<(u32, u32), PairEstimate>,
    references: Vec<ServiceReference>,
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
    /// time, and returns how much the instance is slowed.
    pub(crate) fn learn(
        &mut self,
        now: MonotonicTime,
        critical: u32,
        latency: f64,
        neighbours: &[(u32, f64)],
    ) -> Slowdown {
        let predicted: f64 = neighbours.iter().map(|(batch, cores)| self.slope(now, critical, *batch) * cores).sum();
        let place = critical as usize;
        if self.references.len() <= place {
            self.references.resize(place + 1, ServiceReference::default());
        }
        let reference = &mut self.references[place];
        let alone = latency / (1.0 + predicted);
        if reference.present <= 0.0 {
            *reference = ServiceReference { present: alone, tail: alone };
        }
        let steps = if alone > reference.present { REFERENCE_STEPS.0 } else { REFERENCE_STEPS.1 };
        reference.present += (alone - reference.present) * steps;
        let steps = if reference.present > reference.tail { TAIL_STEPS.0 } else { TAIL_STEPS.1 };
        reference.tail += (reference.present - reference.tail) * steps;
        let over = |reference: f64| (latency / reference.max(1e-9) - 1.0).clamp(-1.0, LARGEST);
        let (slowdown, tail) = (over(reference.present), over(reference.tail.max(reference.present)));
        let square: f64 = neighbours.iter().map(|(_, cores)| cores * cores).sum();
        let error = slowdown - predicted;
        for (batch, cores) in neighbours {
            let slope = self.slope(now, critical, *batch) + STEP * error * cores / (DAMPING + square);
            self.pairs.insert((critical, *batch), PairEstimate { slope: slope.clamp(0.0, LARGEST), updated: now });
        }
        Slowdown { present: slowdown, tail }
    }

    /// The number of pairs with an estimate.
    pub(crate) fn len(&self) -> usize {
        self.pairs.len()
    }
}
