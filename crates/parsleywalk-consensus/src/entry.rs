//! Entries of the log and the sets of replicas in them.

use serde::{Deserialize, Serialize};

use crate::{LogIndex, LogTerm, ReplicaId};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: LogTerm,
    /// What it holds.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Estimates the bytes that the entry takes in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        // Index, term and length take a few bytes each as variable-length integers.
        let payload = match &self.payload {
            EntryPayload::Empty => 0,
            EntryPayload::Command(bytes) => bytes.len(),
            EntryPayload::Membership(set) => set.voters().len() * 12,
        };
        payload + 16
    }
}

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; appended by each new leader.
    Empty,
    /// A command of the replicated state.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Membership(ReplicaSet),
}

/// The replicas that vote, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaSet(Vec<ReplicaId>);

impl ReplicaSet {
    /// Builds a set; repeated replicas count once.
    #[must_use]
    pub fn new(mut voters: Vec<ReplicaId>) -> Self {
        voters.sort_unstable();
        voters.dedup();
        Self(voters)
    }

    /// Returns the voters in order.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        &self.0
    }

    /// Tells whether the replica votes.
    #[must_use]
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.0.binary_search(&replica).is_ok()
    }

    /// Tells whether more than half of the voters satisfy the predicate; true for the empty set.
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
