//! Resource vectors.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{AcceleratorCount, MemoryBytes, MilliCores, Result, UnitError};

/// A vector of resource amounts, such as the capacity of a worker or the requirements of a task.
///
/// The text is `<cores>c/<memory>/<accelerators>a`, such as `2.5c/16GB/0a`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceSize {
    /// The processor cores.
    pub cores: MilliCores,
    /// The memory.
    pub memory: MemoryBytes,
    /// The accelerators.
    pub accelerators: AcceleratorCount,
}

impl ResourceSize {
    /// Creates a size without accelerators.
    #[must_use]
    pub const fn new(cores: MilliCores, memory: MemoryBytes) -> Self {
        Self { cores, memory, accelerators: AcceleratorCount::new(0) }
    }

    /// Returns the same size with the given number of accelerators.
    #[must_use]
    pub const fn with_accelerators(self, accelerators: AcceleratorCount) -> Self {
        Self { accelerators, ..self }
    }

    /// Returns true if each component is at most that of `other`.
    #[must_use]
    pub fn fits_within(&self, other: &Self) -> bool {
        self.cores <= other.cores && self.memory <= other.memory && self.accelerators <= other.accelerators
    }

    /// Returns the component-wise sum, or `None` if a component overflows.
    #[must_use]
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores: self.cores.checked_add(other.cores)?,
            memory: self.memory.checked_add(other.memory)?,
            accelerators: AcceleratorCount::new(self.accelerators.get().checked_add(other.accelerators.get())?),
        })
    }

    /// Returns the component-wise difference, saturating at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: AcceleratorCount::new(self.accelerators.get().saturating_sub(other.accelerators.get())),
        }
    }

    /// Returns the component-wise maximum.
    #[must_use]
    pub fn componentwise_max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns true if all components are zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

impl Display for ResourceSize {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}c/{}/{}a", self.cores, self.memory, self.accelerators)
    }
}

impl FromStr for ResourceSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || UnitError::invalid("size", text, "<cores>c/<memory>/<accelerators>a");
        let mut parts = text.split('/');
        let (Some(cores), Some(memory), Some(accelerators), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(Self {
            cores: cores.strip_suffix('c').ok_or_else(invalid)?.parse()?,
            memory: memory.parse()?,
            accelerators: accelerators.strip_suffix('a').ok_or_else(invalid)?.parse()?,
        })
    }
}
