//! The clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use parsleywalk_units::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also advances while the VM is suspended, relative to the start of the process.
///
/// On a clock that stops during a suspension, a lease would still seem valid afterwards although other replicas have
/// taken over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetClock {
    start_micros: u64,
}

impl FleetClock {
    /// Starts a clock at zero.
    #[must_use]
    pub(crate) fn start() -> Self {
        // Zero stands for "never", so the first reading must not be zero.
        Self { start_micros: boot_micros().saturating_sub(1) }
    }

    /// Returns the time since the start.
    #[must_use]
    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::from_micros(boot_micros().saturating_sub(self.start_micros))
    }

    /// Returns the wall-clock time in Unix milliseconds; it may jump.
    #[must_use]
    pub(crate) fn unix_ms() -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
