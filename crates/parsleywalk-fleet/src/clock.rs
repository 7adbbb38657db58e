//! The process's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use parsleywalk_units::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Reads a steady clock that goes on while the VM is suspended, relative to its value at the start of the process.
///
/// A lease that was measured on a clock which stands still during a suspension would still seem valid afterwards,
/// although others have taken over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetClock {
    start_micros: u64,
}

impl FleetClock {
    /// Starts at zero.
    #[must_use]
    pub(crate) fn start() -> Self {
        // One microsecond before now, so that no reading is zero, which stands for "never".
        Self { start_micros: boot_micros().saturating_sub(1) }
    }

    /// The time since the start.
    #[must_use]
    pub(crate) fn now(self) -> MonotonicTime {
        MonotonicTime::from_micros(boot_micros().saturating_sub(self.start_micros))
    }

    /// The time of day in milliseconds since 1970; it may jump.
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
