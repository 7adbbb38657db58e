//! Limits on allocated resources.

use parsleywalk_units::{AcceleratorCount, MemoryBytes, MilliCores, ResourceSize};
use serde::{Deserialize, Serialize};

/// An upper bound on allocated resources, by dimension; a dimension without a bound is unlimited.
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
}
