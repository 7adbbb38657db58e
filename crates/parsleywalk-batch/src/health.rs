//! Quarantine of workers whose runs fail.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// The number of consecutive failures after which a worker is quarantined.
const FAILURE_LIMIT: u32 = 2;
/// The longest quarantine as a multiple of the first.
const MAX_QUARANTINE_FACTOR: u32 = 4;

/// The health of a worker as shown by its recent runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WorkerHealth {
    /// Failed or hung runs since the last completed run.
    failures: u32,
    quarantined_until: MonotonicTime,
    /// The number of quarantines since the last completed run.
    quarantines: u32,
}

impl WorkerHealth {
    /// Records a completed run.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed or hung run.
    pub(crate) fn record_failure(&mut self, now: MonotonicTime, quarantine: Duration) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT && now >= self.quarantined_until {
            let factor = (1 << self.quarantines.min(MAX_QUARANTINE_FACTOR)).min(MAX_QUARANTINE_FACTOR);
            self.quarantined_until = now + quarantine * factor;
            self.quarantines += 1;
        }
    }

    /// Returns true if the worker must not get any runs now.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime) -> bool {
        self.failures >= FAILURE_LIMIT && now < self.quarantined_until
    }

    /// Returns true if the worker gets only one run at a time, to test whether it works again.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Returns the number of consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }
}
