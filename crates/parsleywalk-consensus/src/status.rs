//! The state dump.

use serde::Serialize;

use crate::{LogIndex, LogTerm, ReplicaId, ReplicaRole};

/// What a replica or observer knows, for state dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConsensusStatus {
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: ReplicaRole,
    /// Its term.
    pub term: LogTerm,
    /// The leader that it knows.
    pub leader: Option<ReplicaId>,
    /// Whether it leads and has committed an entry of its own term.
    pub ready: bool,
    /// Whether it held the leader lease at its last step.
    pub leader_lease: bool,
    /// The first index that it can hand over without a snapshot.
    pub first_index: LogIndex,
    /// Its last entry.
    pub last_index: LogIndex,
    /// The committed index that it knows.
    pub commit: LogIndex,
    /// The last entry that it handed over to be applied.
    pub applied: LogIndex,
    /// Its snapshot's index; 0 without one.
    pub snapshot: LogIndex,
    /// The voters.
    pub voters: Vec<ReplicaId>,
    /// The voters that a membership change replaces, until it has ended.
    pub outgoing: Vec<ReplicaId>,
    /// Writes that are not synced yet.
    pub unsynced_writes: usize,
    /// Proposals that are not committed yet.
    pub open_proposals: usize,
    /// On a leader: every other replica and observer.
    pub peers: Vec<PeerStatus>,
}

/// What a leader knows of another replica or observer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The replica or observer.
    pub id: ReplicaId,
    /// Follower, learner or observer.
    pub role: ReplicaRole,
    /// The last index that it is known to hold.
    pub matched: LogIndex,
    /// The entries that it lacks.
    pub lag: u64,
    /// How long it has been silent, in milliseconds.
    pub silent_ms: u64,
    /// Whether a snapshot is being handed over.
    pub snapshot: bool,
}
