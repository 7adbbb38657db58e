//! Workers whose runs fail.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

/// Failures in a row after which a worker is left alone.
const STRIKE_LIMIT: u32 = 2;
/// The longest quarantine is this many times the first.
const GROWTH_LIMIT: u32 = 4;

/// What a worker's recent runs say about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WorkerSuspicion {
    /// Failures or stalls since the last completed run.
    strikes: u32,
    quarantined_until: MonotonicTime,
    quarantines: u32,
}

impl WorkerSuspicion {
    /// Notes a run that completed.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Notes a run that failed or stood still.
    pub(crate) fn strike(&mut self, now: MonotonicTime, quarantine: Duration) {
        self.strikes += 1;
        if self.strikes >= STRIKE_LIMIT && now >= self.quarantined_until {
            let growth = (1 << self.quarantines.min(GROWTH_LIMIT)).min(GROWTH_LIMIT);
            self.quarantined_until = now + quarantine * growth;
            self.quarantines += 1;
        }
    }

    /// Tells whether the worker is to get nothing now.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime) -> bool {
        self.strikes >= STRIKE_LIMIT && now < self.quarantined_until
    }

    /// Tells whether the worker is to get one run at a time, to find out whether it works again.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.strikes >= STRIKE_LIMIT
    }

    /// The failures in a row.
    pub(crate) fn strikes(&self) -> u32 {
        self.strikes
    }
}
