//! Spans of time in settings and messages.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Result, UnitError};

/// The suffixes and their factors in milliseconds, from the largest to the smallest.
const SUFFIXES: [(&str, u64); 5] = [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];

/// A span of time in whole milliseconds.
///
/// The text is a whole number with one of the suffixes `ms`, `s`, `m`, `h` and `d`, such as `250ms` or `30m`.
///
/// ```
/// use parsleywalk_units::TimeSpan;
///
/// let span: TimeSpan = "90s".parse()?;
/// assert_eq!(span.as_millis(), 90_000);
/// assert_eq!(span.to_string(), "90s");
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// Wraps a number of milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Wraps a number of seconds, saturating at the longest span.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1000))
    }

    /// Converts a duration, rounding down to whole milliseconds and saturating at the longest span.
    #[must_use]
    pub fn saturating_from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the number of milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the span as a standard duration.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<TimeSpan> for Duration {
    fn from(span: TimeSpan) -> Self {
        span.as_duration()
    }
}

impl Display for TimeSpan {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (suffix, factor) =
            SUFFIXES.iter().find(|(_, factor)| self.0 != 0 && self.0.is_multiple_of(*factor)).unwrap_or(&SUFFIXES[4]);
        write!(formatter, "{}{suffix}", self.0 / factor)
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::invalid("time span", text, "a whole number with ms, s, m, h or d");
        let split = text.find(|character: char| !character.is_ascii_digit()).ok_or_else(invalid)?;
        let (digits, suffix) = text.split_at(split);
        let (_, factor) = SUFFIXES.iter().find(|(known, _)| *known == suffix).ok_or_else(invalid)?;
        if digits.is_empty() {
            return Err(invalid());
        }
        digits
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(*factor))
            .map(Self)
            .ok_or_else(|| UnitError::out_of_range("time span", text, "below 2^64 ms"))
    }
}

impl Serialize for TimeSpan {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if serializer.is_human_readable() { serializer.collect_str(self) } else { self.0.serialize(serializer) }
    }
}

impl<'de> Deserialize<'de> for TimeSpan {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self);
        }
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}
