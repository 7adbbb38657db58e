//! Time on the monotonic clock of a process.

use std::fmt::{self, Display, Formatter};
use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on the monotonic clock of a process, in microseconds since the start of the process.
///
/// Values of different processes are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// The largest point in time, which is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Wraps a number of microseconds since the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Wraps a number of milliseconds since the start of the process, saturating at the largest point in time.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point in time `duration` earlier, saturating at the start of the process.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    /// Returns the point in time `duration` later, saturating at [`MonotonicTime::NEVER`].
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

impl Display for MonotonicTime {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
