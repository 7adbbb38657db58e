//! The clock of a daemon.

use parsleywalk_units::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that also advances while the VM is suspended, relative to the start of the process.
///
/// On a clock that stops during a suspension, a lease or a call would still seem valid afterwards although others have
/// taken over.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    start_micros: u64,
}

impl SteadyClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        // Zero stands for "never", so the first reading must not be zero.
        Self { start_micros: boot_micros().saturating_sub(1) }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(self) -> MonotonicTime {
        MonotonicTime::from_micros(boot_micros().saturating_sub(self.start_micros))
    }
}

fn boot_micros() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0) / 1000
}
