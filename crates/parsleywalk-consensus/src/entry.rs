//! Log entries and the replica sets in membership entries.

use serde::{Deserialize, Serialize};

use crate::{LogIndex, LogTerm, ReplicaId};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The position of the entry in the log.
    pub index: LogIndex,
    /// The term of the leader that appended the entry.
    pub term: LogTerm,
    /// The content of the entry.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Returns the estimated size of the entry in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        // The fixed 16 bytes cover index, term and length, which are encoded as variable-length integers.
        let payload = match &self.payload {
            EntryPayload::Empty => 0,
            EntryPayload::Command(bytes) => bytes.len(),
            EntryPayload::Membership(set) => set.voters().len() * 12,
        };
        payload + 16
    }
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No content. Each new leader appends such an entry to commit the entries of earlier terms.
    Empty,
    /// An encoded command for the replicated state.
    Command(Vec<u8>),
    /// The voters that are in force from this entry on.
    Membership(ReplicaSet),
}

/// A sorted set of voting replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaSet(Vec<ReplicaId>);

impl ReplicaSet {
    /// Creates a set of the replicas, dropping duplicates.
    #[must_use]
    pub fn new(mut voters: Vec<ReplicaId>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        Self(voters)
    }

    /// Returns the voters in ascending order.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        &self.0
    }

    /// Returns true if the replica is a voter of the set.
    #[must_use]
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.0.binary_search(&replica).is_ok()
    }

    /// Returns true if more than half of the voters satisfy the predicate, or if the set is empty.
    pub(crate) fn has_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        self.0.is_empty() || self.0.iter().filter(|voter| predicate(**voter)).count() > self.0.len() / 2
    }

    /// Returns the largest value that more than half of the voters have reached, or `None` for the empty set.
    pub(crate) fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.0.iter().map(|voter| value(*voter)).collect();
        values.sort_unstable();
        values.get(values.len().checked_sub(1)? / 2).copied()
    }
}
