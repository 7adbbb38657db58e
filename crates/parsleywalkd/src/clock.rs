//! Clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parsleywalk_units::{MonotonicTime, StateTime};

/// Reads the monotonic clock relative to the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the wall-clock time with which commands are proposed. The state never goes back: it keeps the latest
    /// timestamp that it has applied.
    pub(crate) fn timestamp() -> StateTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        StateTime::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
