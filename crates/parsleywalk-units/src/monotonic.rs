//! Time on one process's monotonic clock.

use std::fmt::{self, Display, Formatter};
use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds since its start.
///
/// Values of different processes are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Wraps a number of microseconds since the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Wraps a number of milliseconds since the start of the process, saturating.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time passed since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `span` earlier, stopping at the start of the process.
    #[must_use]
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    /// Adds a span, saturating at [`MonotonicTime::NEVER`].
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Display for MonotonicTime {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
