//! Processor capacity.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Result, UnitError};

/// Processor capacity in thousandths of a core.
///
/// The text is a number of cores with up to three decimals, such as `4` or `2.5`.
///
/// ```
/// use parsleywalk_units::MilliCores;
///
/// let cores: MilliCores = "2.5".parse()?;
/// assert_eq!(cores.get(), 2500);
/// assert_eq!(cores.to_string(), "2.5");
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MilliCores(u32);

impl MilliCores {
    /// Wraps a number of thousandths of a core.
    #[must_use]
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the number of thousandths of a core.
    #[must_use]
    pub const fn get(self) -> u32 {
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

impl Display for MilliCores {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / 1000, self.0 % 1000);
        if part == 0 {
            return write!(formatter, "{whole}");
        }
        let decimals = format!("{part:03}");
        write!(formatter, "{whole}.{}", decimals.trim_end_matches('0'))
    }
}

impl FromStr for MilliCores {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::invalid("cores", text, "a number of cores such as 4 or 2.5");
        let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
        if !digits(whole) || !digits(part) || part.len() > 3 {
            return Err(invalid());
        }
        let thousandths: u32 = format!("{part:0<3}").parse().map_err(|_| invalid())?;
        whole
            .parse::<u32>()
            .ok()
            .and_then(|whole| whole.checked_mul(1000)?.checked_add(thousandths))
            .map(Self)
            .ok_or_else(|| UnitError::out_of_range("cores", text, "0 to 4294967"))
    }
}

impl Serialize for MilliCores {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        if serializer.is_human_readable() { serializer.collect_str(self) } else { self.0.serialize(serializer) }
    }
}

impl<'de> Deserialize<'de> for MilliCores {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return u32::deserialize(deserializer).map(Self);
        }
        String::deserialize(deserializer)?.parse().map_err(serde::de::Error::custom)
    }
}
