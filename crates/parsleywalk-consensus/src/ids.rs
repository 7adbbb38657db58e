//! Identifiers of the replicated log.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{Incarnation, UnitError, VmNumber, number_type};
use serde::{Deserialize, Serialize};

number_type! {
    /// The position of an entry in the log; the first entry has index 1, and 0 stands before it.
    LogIndex(u64)
}
number_type! {
    /// The term of a leader; at most one leader exists in a term.
    LogTerm(u64)
}
number_type! {
    /// A proposal of the local process, drawn by it and returned in the answers.
    ProposalId(u64)
}
number_type! {
    /// A write handed to the storage thread; later writes have larger tickets.
    WriteTicket(u64)
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
        parse().ok_or_else(|| UnitError::invalid("replica", text, "a VM and an incarnation such as vm3.7f2a"))
    }
}
