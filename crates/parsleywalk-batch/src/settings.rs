//! Settings of the dispatcher.

use std::time::Duration;

/// Times and limits of leases, placement and pacing.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// How long a worker may go on after it sent its last answered report. Longer than a change of leader and than a
    /// partition of five to six seconds, in which work would otherwise be lost on both sides.
    pub lease: Duration,
    /// How much slower a worker's clock may run, in thousandths; twice the platform's bound.
    pub clock_drift_permille: u32,
    /// The least wait between two reports of a worker.
    pub report_interval: Duration,
    /// The reports that a leader takes in a second; with more workers, each reports less often.
    pub reports_per_second: u32,
    /// How long the answer to an idle worker's report may wait for work. Below the second after which workers drop an
    /// answer.
    pub idle_hold: Duration,
    /// A worker that is silent for this long gets no new runs.
    pub silence_timeout: Duration,
    /// A run whose progress stands still for this long, at full speed, is taken for hung.
    pub stall_timeout: Duration,
    /// How long a worker is left alone after its runs failed; doubled with each further time.
    pub quarantine: Duration,
    /// On the worker's clock, how long an order that it does not list may still be on its way.
    pub order_expiry: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(7),
            clock_drift_permille: 40,
            report_interval: Duration::from_millis(100),
            reports_per_second: 900,
            idle_hold: Duration::from_millis(600),
            silence_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_millis(1200),
            quarantine: Duration::from_millis(1500),
            order_expiry: Duration::from_millis(1100),
        }
    }
}

impl DispatchSettings {
    /// How long the answer to a busy worker's report is held with so many workers. A held answer bounds how often the
    /// worker reports, and carries the runs that are placed meanwhile.
    #[must_use]
    pub fn busy_hold(&self, workers: usize) -> Duration {
        self.report_period(workers).saturating_sub(self.report_interval)
    }

    /// The wait between two reports with so many workers.
    fn report_period(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let fair = Duration::from_secs(1).saturating_mul(workers) / self.reports_per_second.max(1);
        fair.clamp(self.report_interval, self.silence_timeout / 2)
    }

    /// How long after the arrival of a report the lease that answers it may run.
    #[must_use]
    pub fn max_lease(&self) -> Duration {
        self.lease * (1000 + self.clock_drift_permille) / 1000
    }
}
