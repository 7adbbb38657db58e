//! Limits on allocated resources.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize, UnitError};
use serde::{Deserialize, Serialize};

/// The text of a dimension without a bound.
const UNLIMITED: &str = "-";

/// An upper bound on allocated resources, by dimension; a dimension without a bound is unlimited.
///
/// The text is `<cores>c/<memory>/<accelerators>a` with `-` for each unlimited dimension, such as `64c/-/2a`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceLimit {
    /// The bound on cores.
    pub cores: Option<MilliCores>,
    /// The bound on memory.
    pub memory: Option<MemoryBytes>,
    /// The bound on accelerators.
    pub accelerators: Option<AcceleratorCount>,
}

impl ResourceLimit {
    /// Returns a limit that bounds every dimension.
    #[must_use]
    pub const fn of_size(size: ResourceSize) -> Self {
        Self { cores: Some(size.cores), memory: Some(size.memory), accelerators: Some(size.accelerators) }
    }

    /// Returns true if `size` is within the limit.
    #[must_use]
    pub fn admits(&self, size: &ResourceSize) -> bool {
        self.cores.is_none_or(|cores| size.cores <= cores)
            && self.memory.is_none_or(|memory| size.memory <= memory)
            && self.accelerators.is_none_or(|accelerators| size.accelerators <= accelerators)
    }

    /// Returns true if `size` may be allocated beside what is `allocated`. A sum that overflows is beyond every limit.
    #[must_use]
    pub fn permits(&self, allocated: &ResourceSize, size: &ResourceSize) -> bool {
        allocated.checked_add(size).is_some_and(|sum| self.admits(&sum))
    }

    /// Returns how many tasks of `size` may be allocated beside what is `allocated`.
    #[must_use]
    pub fn permitted_count(&self, allocated: &ResourceSize, size: &ResourceSize) -> u32 {
        let of_cores = count_within(
            u64::from(self.cores.map_or(u32::MAX, MilliCores::get)),
            u64::from(allocated.cores.get()),
            u64::from(size.cores.get()),
        );
        let of_memory =
            count_within(self.memory.map_or(u64::MAX, MemoryBytes::get), allocated.memory.get(), size.memory.get());
        let of_accelerators = count_within(
            u64::from(self.accelerators.map_or(u16::MAX, AcceleratorCount::get)),
            u64::from(allocated.accelerators.get()),
            u64::from(size.accelerators.get()),
        );
        u32::try_from(of_cores.min(of_memory).min(of_accelerators)).unwrap_or(u32::MAX)
    }

    /// Returns true if no dimension has a bound.
    #[must_use]
    pub fn is_unlimited(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the limit as a size, or `None` if a dimension is unlimited.
    #[must_use]
    pub fn as_size(&self) -> Option<ResourceSize> {
        Some(ResourceSize { cores: self.cores?, memory: self.memory?, accelerators: self.accelerators? })
    }

    /// Returns the part of `size` within the limit.
    #[must_use]
    pub fn clamp(&self, size: &ResourceSize) -> ResourceSize {
        ResourceSize {
            cores: self.cores.map_or(size.cores, |cores| size.cores.min(cores)),
            memory: self.memory.map_or(size.memory, |memory| size.memory.min(memory)),
            accelerators: self.accelerators.map_or(size.accelerators, |bound| size.accelerators.min(bound)),
        }
    }
}

/// Returns how often `size` can be added to `allocated` without exceeding `bound`.
fn count_within(bound: u64, allocated: u64, size: u64) -> u64 {
    match bound.checked_sub(allocated) {
        None => 0,
        Some(free) => free.checked_div(size).unwrap_or(u64::MAX),
    }
}

impl Display for ResourceLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.cores {
            Some(cores) => write!(formatter, "{cores}c/")?,
            None => write!(formatter, "{UNLIMITED}/")?,
        }
        match self.memory {
            Some(memory) => write!(formatter, "{memory}/")?,
            None => write!(formatter, "{UNLIMITED}/")?,
        }
        match self.accelerators {
            Some(accelerators) => write!(formatter, "{accelerators}a"),
            None => formatter.write_str(UNLIMITED),
        }
    }
}

impl FromStr for ResourceLimit {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid =
            || UnitError::invalid("limit", text, "<cores>c/<memory>/<accelerators>a, with - for what is unlimited");
        let mut parts = text.split('/').map(|part| (part != UNLIMITED).then_some(part));
        let (Some(cores), Some(memory), Some(accelerators), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(Self {
            cores: cores.map(|part| part.strip_suffix('c').ok_or_else(invalid)?.parse()).transpose()?,
            memory: memory.map(str::parse).transpose()?,
            accelerators: accelerators.map(|part| part.strip_suffix('a').ok_or_else(invalid)?.parse()).transpose()?,
        })
    }
}
