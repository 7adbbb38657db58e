//! Measurements of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use parsleywalk_scheduler::EvictionCause;

use crate::ground_truth::RUN_SECONDS;
use crate::simulation::is_zone_outage;

/// Measurements of one run. Work is in core seconds.
#[derive(Debug, Clone)]
pub(crate) struct RunMeasure {
    /// Latencies in microseconds.
    pub(crate) latencies: Histogram<u64>,
    pub(crate) completed_work: f64,
    /// Completed work that was lost later because it was not covered by a checkpoint.
    pub(crate) lost_work: f64,
    /// Work completed and not lost during the zone outage.
    pub(crate) outage_work: f64,
    /// Work that would have been possible during the zone outage.
    pub(crate) outage_available_work: f64,
    pub(crate) causes: BTreeMap<EvictionCause, u64>,
    pub(crate) completed: u64,
    pub(crate) failures: u64,
    pub(crate) oom_kills: u64,
    pub(crate) throttles: u64,
    /// Evicted tasks that resumed from a point before their last checkpoint.
    pub(crate) lost_checkpoints: u64,
    /// Jobs ended by the simulation after too many failures.
    pub(crate) abandoned_jobs: u64,
    /// Jobs ended as failed by the policy.
    pub(crate) failed_jobs: u64,
    /// Jobs ended as failed by the policy although they could succeed.
    pub(crate) wrongly_failed: u64,
    urgent_waits: Vec<u64>,
    /// 99th percentile of the queueing time of urgent tasks, in seconds.
    pub(crate) urgent_p99: u64,
}

impl RunMeasure {
    pub(crate) fn new() -> Self {
        Self {
            latencies: Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds"),
            completed_work: 0.0,
            lost_work: 0.0,
            outage_work: 0.0,
            outage_available_work: 0.0,
            causes: BTreeMap::new(),
            completed: 0,
            failures: 0,
            oom_kills: 0,
            throttles: 0,
            lost_checkpoints: 0,
            abandoned_jobs: 0,
            failed_jobs: 0,
            wrongly_failed: 0,
            urgent_waits: Vec::new(),
            urgent_p99: 0,
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and below a minute")]
    pub(crate) fn record_latency(&mut self, milliseconds: f64) {
        self.latencies.saturating_record((milliseconds * 1000.0) as u64);
    }

    pub(crate) fn add_completed_work(&mut self, tick: u64, work: f64) {
        self.completed_work += work;
        if is_zone_outage(tick) {
            self.outage_work += work;
        }
    }

    pub(crate) fn add_lost_work(&mut self, tick: u64, work: f64) {
        self.lost_work += work;
        if is_zone_outage(tick) {
            self.outage_work -= work;
        }
    }

    pub(crate) fn add_available_work(&mut self, tick: u64, work: f64) {
        if is_zone_outage(tick) {
            self.outage_available_work += work;
        }
    }

    pub(crate) fn count_eviction(&mut self, cause: EvictionCause) {
        *self.causes.entry(cause).or_default() += 1;
    }

    pub(crate) fn record_urgent_wait(&mut self, seconds: u64) {
        self.urgent_waits.push(seconds);
    }

    pub(crate) fn finish(&mut self) {
        self.urgent_waits.sort_unstable();
        let index = (self.urgent_waits.len() * 99 / 100).min(self.urgent_waits.len().saturating_sub(1));
        self.urgent_p99 = self.urgent_waits.get(index).copied().unwrap_or_default();
    }

    /// Returns a latency quantile in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "below a minute")]
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the batch work that was completed and not lost, in cores.
    #[expect(clippy::cast_precision_loss, reason = "seconds of one run")]
    pub(crate) fn throughput(&self) -> f64 {
        (self.completed_work - self.lost_work) / RUN_SECONDS as f64
    }

    pub(crate) fn evictions(&self) -> u64 {
        self.causes.values().sum()
    }

    /// Returns the share of the possible work that was done during the zone outage.
    pub(crate) fn outage_utilization(&self) -> f64 {
        if self.outage_available_work > 0.0 { self.outage_work / self.outage_available_work } else { 0.0 }
    }
}
