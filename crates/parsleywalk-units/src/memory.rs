//! Memory sizes.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Result, UnitError};

/// The suffixes and their factors in bytes, from the largest to the smallest.
const SUFFIXES: [(&str, u64); 5] =
    [("TB", 1_000_000_000_000), ("GB", 1_000_000_000), ("MB", 1_000_000), ("KB", 1_000), ("B", 1)];

/// An amount of memory in bytes.
///
/// The text is a whole number with one of the decimal suffixes `B`, `KB`, `MB`, `GB` and `TB`, such as `512MB` or
/// `16GB`.
///
/// ```
/// use parsleywalk_units::MemoryBytes;
///
/// let memory: MemoryBytes = "1500MB".parse()?;
/// assert_eq!(memory.get(), 1_500_000_000);
/// assert_eq!(memory.to_string(), "1500MB");
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemoryBytes(u64);

impl MemoryBytes {
    /// Wraps a number of bytes.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the sum, or `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Display for MemoryBytes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (suffix, factor) =
            SUFFIXES.iter().find(|(_, factor)| self.0 != 0 && self.0.is_multiple_of(*factor)).unwrap_or(&SUFFIXES[4]);
        write!(formatter, "{}{suffix}", self.0 / factor)
    }
}

impl FromStr for MemoryBytes {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::invalid("memory", text, "a whole number with B, KB, MB, GB or TB");
        let (suffix, factor) = SUFFIXES.iter().find(|(suffix, _)| text.ends_with(suffix)).ok_or_else(invalid)?;
        let digits = &text[..text.len() - suffix.len()];
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(invalid());
        }
        digits
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(*factor))
            .map(Self)
            .ok_or_else(|| UnitError::out_of_range("memory", text, "below 2^64 bytes"))
    }
}

impl Serialize for MemoryBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if serializer.is_human_readable() { serializer.collect_str(self) } else { self.0.serialize(serializer) }
    }
}

impl<'de> Deserialize<'de> for MemoryBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer).map(Self);
        }
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}
