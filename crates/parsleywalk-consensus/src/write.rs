//! The durable state of a replica.

use std::sync::Arc;

use parsleywalk_units::VmNumber;
use serde::{Deserialize, Serialize};

use crate::{EntryPayload, LogEntry, LogIndex, LogTerm, ReplicaId, ReplicaSet};

/// The durable state of a replica besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: LogTerm,
    /// The candidate that the replica voted for in that term.
    pub vote: Option<ReplicaId>,
    /// A lower bound of the commit index; it is not written with every commit.
    pub commit: LogIndex,
}

/// A snapshot of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: LogTerm,
    /// The voters at that entry.
    pub members: ReplicaSet,
    /// The encoded state.
    pub payload: Arc<Vec<u8>>,
}

/// An atomic write to the log. Its changes are applied in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogWrite {
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// Removes the entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Appends entries.
    pub entries: Vec<LogEntry>,
    /// Removes the entries up to and including this index.
    pub trim_to: Option<LogIndex>,
}

/// The durable state that a replica reads when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The hard state.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// Consecutive entries that start right after the snapshot's index or earlier.
    pub entries: Vec<LogEntry>,
    /// The VMs that form the first membership, as given when the folder was initialised. Empty if the replica joins
    /// existing ones.
    pub bootstrap_vms: Vec<VmNumber>,
}

impl RecoveredLog {
    /// Returns the log of a replica whose first membership is already known, which is one membership entry in term 1.
    #[must_use]
    pub fn bootstrapped(members: ReplicaSet) -> Self {
        let term = LogTerm::new(1);
        let entry = LogEntry { index: LogIndex::new(1), term, payload: EntryPayload::Membership(members) };
        Self { hard_state: HardState { term, ..HardState::default() }, entries: vec![entry], ..Self::default() }
    }
}
