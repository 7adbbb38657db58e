//! Settings of the dispatcher.

use std::time::Duration;

use crate::PlaceWaitPolicy;

/// Settings of leases, placement and pacing.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// The lease that a worker gets with each answered report, counted from when it sent the report. Longer than a
    /// leader change and than a partition of five to six seconds, either of which would otherwise lose the worker's
    /// runs.
    pub lease: Duration,
    /// How much slower a worker's clock may run, in thousandths; twice the bound that the platform states.
    pub clock_drift_permille: u32,
    /// The minimum time between two reports of a worker.
    pub report_interval: Duration,
    /// The number of reports that a leader handles per second; with more workers, each reports less often.
    pub reports_per_second: u32,
    /// With more workers than this, each reports to a replica of its zone that relays the reports, so that the leader
    /// does not serve a connection to each.
    pub direct_workers: usize,
    /// How long the response to an idle worker's report may be held. Less than the second after which workers give up
    /// waiting.
    pub idle_hold: Duration,
    /// A worker without a report for this long is unresponsive and gets no new runs.
    pub worker_timeout: Duration,
    /// A run at full speed without progress for this long counts as hung.
    pub stall_timeout: Duration,
    /// The first quarantine of a worker whose runs failed; doubled with each further one.
    pub quarantine: Duration,
    /// The largest size of the start orders in one response in bytes; the others follow with the next ones. Workers drop
    /// responses over 4 MiB, and the text form of an order is at most six times as long.
    pub start_bytes: usize,
    /// The largest number of runs on a worker, each of which is a row of its reports.
    pub worker_runs: usize,
    /// How long, on the worker's clock, a start order that the worker does not report may still arrive.
    pub order_expiry: Duration,
    /// Whether the durations of tasks are predicted from measurements, or taken from the callers' estimates.
    pub measured_work: bool,
    /// Whether best-effort jobs with slack need no more headroom than others while late ones of their service wait.
    pub relaxes_headroom: bool,
    /// Under overload, a short job is refused if it would end beyond this many times its objective. Infinity refuses none.
    pub refusal_multiple: f32,
    /// How many times as long a task takes away from the rack of its data, or the tasks of a rack-local step on several
    /// racks. Without it, no task waits for a rack.
    pub remote_factor: Option<f32>,
    /// How long a task may wait for a rack while it could run elsewhere. Half a second is left for a placement to take
    /// effect, so that with 1 s nothing is idle for longer than 1.5 s.
    pub max_place_wait: Duration,
    /// How it is decided whether a task waits for a rack.
    pub place_wait_policy: PlaceWaitPolicy,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(7),
            clock_drift_permille: 40,
            report_interval: Duration::from_millis(100),
            reports_per_second: 900,
            direct_workers: 500,
            idle_hold: Duration::from_millis(600),
            worker_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_millis(1200),
            quarantine: Duration::from_millis(1500),
            start_bytes: 512 * 1024,
            worker_runs: 10_000,
            order_expiry: Duration::from_millis(1100),
            measured_work: true,
            relaxes_headroom: true,
            refusal_multiple: 2.0,
            remote_factor: None,
            max_place_wait: Duration::from_secs(1),
            place_wait_policy: PlaceWaitPolicy::default(),
        }
    }
}

impl DispatchSettings {
    /// Returns how long the response to a busy worker's report is held, given the number of workers. Holding the
    /// response limits the rate of reports, and runs placed in the meantime are sent with it.
    #[must_use]
    pub fn busy_hold(&self, workers: usize) -> Duration {
        self.report_period(workers).saturating_sub(self.report_interval)
    }

    /// Returns the time between two reports of a worker, given the number of workers.
    pub(crate) fn report_period(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let fair = Duration::from_secs(1).saturating_mul(workers) / self.reports_per_second.max(1);
        fair.clamp(self.report_interval, self.worker_timeout / 2)
    }

    /// Returns how long after a report's arrival the worker's lease may still be valid, including clock drift.
    #[must_use]
    pub fn max_lease(&self) -> Duration {
        self.lease * (1000 + self.clock_drift_permille) / 1000
    }
}
