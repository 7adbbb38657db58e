//! Identifiers of the replicated log.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{Incarnation, UnitError, VmNumber};
use serde::{Deserialize, Serialize};

macro_rules! log_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a number.
            #[must_use]
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next number, saturating at the largest.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Returns the previous number, stopping at zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, formatter)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError::Invalid {
                    unit: stringify!($name),
                    text: text.chars().take(64).collect(),
                    expected: "a decimal number in range",
                })
            }
        }
    };
}

log_number! {
    /// The position of an entry in the log; the first entry has index 1, and 0 stands before it.
    LogIndex
}
log_number! {
    /// The term of a leader; at most one leader exists in a term.
    LogTerm
}
log_number! {
    /// A proposal of the local process, drawn by it and returned in the answers.
    ProposalId
}
log_number! {
    /// A write handed to the storage thread; later writes have larger tickets.
    WriteTicket
}

/// One life of a VM's data folder, or one life of a diskless observer.
///
/// The text is the VM's number and the incarnation in hexadecimal digits.
///
/// ```
/// use parsleywalk_consensus::ReplicaId;
///
/// let id: ReplicaId = "vm3.7f2a".parse()?;
/// assert_eq!(id.vm.get(), 3);
/// assert_eq!(id.to_string(), "vm3.7f2a");
/// # Ok::<(), parsleywalk_units::UnitError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The VM.
    pub vm: VmNumber,
    /// Drawn when the data folder is initialised, or when an observer starts. Zero addresses whichever incarnation
    /// lives on the VM and is never a replica's own.
    pub incarnation: Incarnation,
}

impl ReplicaId {
    /// Combines a VM's number and an incarnation.
    #[must_use]
    pub const fn new(vm: VmNumber, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }

    /// Addresses whichever incarnation lives on a VM.
    #[must_use]
    pub const fn any(vm: VmNumber) -> Self {
        Self::new(vm, Incarnation::new(0))
    }
}

impl Display for ReplicaId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "vm{}.{:x}", self.vm, self.incarnation.get())
    }
}

impl FromStr for ReplicaId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let parse = || {
            let (vm, incarnation) = text.strip_prefix("vm")?.split_once('.')?;
            let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
            Some(Self::new(vm.parse().ok()?, Incarnation::new(incarnation)))
        };
        parse().ok_or_else(|| UnitError::Invalid {
            unit: "replica",
            text: text.chars().take(64).collect(),
            expected: "a VM and an incarnation such as vm3.7f2a",
        })
    }
}
