//! Workers whose runs fail.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Failures in a row after which a worker is left alone.
const FAILURE_LIMIT: u32 = 2;
/// The longest quarantine is this many times the first.
const MAX_QUARANTINE_FACTOR: u32 = 4;

/// What a worker's recent runs say about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WorkerHealth {
    /// Failures or stalls since the last completed run.
    failures: u32,
    quarantined_until: MonotonicTime,
    quarantines: u32,
}

impl WorkerHealth {
    /// Notes a run that completed.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a run that failed or stood still.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, quarantine: Duration) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT && now >= self.quarantined_until {
            let factor = (1 << self.quarantines.min(MAX_QUARANTINE_FACTOR)).min(MAX_QUARANTINE_FACTOR);
            self.quarantined_until = now + quarantine * factor;
            self.quarantines += 1;
        }
    }

    /// Tells whether the worker is to get nothing now.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime) -> bool {
        self.failures >= FAILURE_LIMIT && now < self.quarantined_until
    }

    /// Tells whether the worker is to get one run at a time, to find out whether it works again.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// The failures in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }
}
