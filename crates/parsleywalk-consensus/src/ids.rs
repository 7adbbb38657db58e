//! Identifiers of the replicated log.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use parsleywalk_units::{Incarnation, UnitError, VmNumber, number_type};
use serde::{Deserialize, Serialize};

number_type! {
    /// The position of an entry in the log. The first entry has index 1; 0 is the position before it.
    LogIndex(u64)
}
number_type! {
    /// An election term, in which at most one leader is elected.
    LogTerm(u64)
}
number_type! {
    /// The id of a proposal, chosen by the local process and returned in the actions that answer the proposal.
    ProposalId(u64)
}
number_type! {
    /// The sequence number of a write.
    WriteTicket(u64)
}

/// The identity of a replica or observer: a VM and an incarnation.
///
/// A replica keeps its incarnation as long as its data folder exists; an observer gets a new one whenever it starts.
/// The text is `vm<number>.<incarnation>` with the incarnation in hexadecimal digits.
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
    /// The incarnation, chosen when the data folder is initialised or when an observer starts. Zero addresses any
    /// incarnation and never identifies a replica.
    pub incarnation: Incarnation,
}

impl ReplicaId {
    /// Creates an id of a VM and an incarnation.
    #[must_use]
    pub const fn new(vm: VmNumber, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }

    /// Creates an address that matches any incarnation on the VM.
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
