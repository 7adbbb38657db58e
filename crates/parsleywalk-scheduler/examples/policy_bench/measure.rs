//! What one run measured.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use parsleywalk_scheduler::EvictionCause;

use crate::truth::LENGTH;
use crate::world::is_absence;

/// What one run measured; work is in core seconds.
#[derive(Debug, Clone)]
pub(crate) struct RunMeasure {
    /// Latencies in microseconds.
    pub(crate) latencies: Histogram<u64>,
    pub(crate) gained: f64,
    pub(crate) lost: f64,
    pub(crate) absence_done: f64,
    pub(crate) absence_allowed: f64,
    pub(crate) causes: BTreeMap<EvictionCause, u64>,
    pub(crate) completed: u64,
    pub(crate) failures: u64,
    pub(crate) memory_kills: u64,
    pub(crate) throttles: u64,
    /// Attempts that began before their task's last checkpoint.
    pub(crate) scratch: u64,
    pub(crate) given_up: u64,
    pub(crate) failed_jobs: u64,
    pub(crate) wrongly_failed: u64,
    urgent: Vec<u64>,
    /// The longest wait of urgent tasks in seconds, all but the worst hundredth.
    pub(crate) urgent_p99: u64,
}

impl RunMeasure {
    pub(crate) fn new() -> Self {
        Self {
            latencies: Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds"),
            gained: 0.0,
            lost: 0.0,
            absence_done: 0.0,
            absence_allowed: 0.0,
            causes: BTreeMap::new(),
            completed: 0,
            failures: 0,
            memory_kills: 0,
            throttles: 0,
            scratch: 0,
            given_up: 0,
            failed_jobs: 0,
            wrongly_failed: 0,
            urgent: Vec::new(),
            urgent_p99: 0,
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and below a minute")]
    pub(crate) fn latency(&mut self, milliseconds: f64) {
        self.latencies.saturating_record((milliseconds * 1000.0) as u64);
    }

    pub(crate) fn gain(&mut self, tick: u64, work: f64) {
        self.gained += work;
        if is_absence(tick) {
            self.absence_done += work;
        }
    }

    pub(crate) fn lose(&mut self, tick: u64, work: f64) {
        self.lost += work;
        if is_absence(tick) {
            self.absence_done -= work;
        }
    }

    pub(crate) fn capacity(&mut self, tick: u64, work: f64) {
        if is_absence(tick) {
            self.absence_allowed += work;
        }
    }

    pub(crate) fn evict(&mut self, cause: EvictionCause) {
        *self.causes.entry(cause).or_default() += 1;
    }

    pub(crate) fn urgent_wait(&mut self, seconds: u64) {
        self.urgent.push(seconds);
    }

    pub(crate) fn finish(&mut self) {
        self.urgent.sort_unstable();
        let place = (self.urgent.len() * 99 / 100).min(self.urgent.len().saturating_sub(1));
        self.urgent_p99 = self.urgent.get(place).copied().unwrap_or_default();
    }

    /// Milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "below a minute")]
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Batch work that was kept, in cores.
    #[expect(clippy::cast_precision_loss, reason = "seconds of one run")]
    pub(crate) fn throughput(&self) -> f64 {
        (self.gained - self.lost) / LENGTH as f64
    }

    pub(crate) fn evictions(&self) -> u64 {
        self.causes.values().sum()
    }

    pub(crate) fn absence(&self) -> f64 {
        if self.absence_allowed > 0.0 { self.absence_done / self.absence_allowed } else { 0.0 }
    }
}
