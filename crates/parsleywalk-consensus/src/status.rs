//! The status of a node.

use serde::Serialize;

use crate::{LogIndex, LogTerm, ReplicaId, ReplicaRole};

/// The status of a replica or observer, for state dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConsensusStatus {
    /// The id of the node.
    pub id: ReplicaId,
    /// The current role.
    pub role: ReplicaRole,
    /// The current term.
    pub term: LogTerm,
    /// The known leader.
    pub leader: Option<ReplicaId>,
    /// Whether the node is the leader and has committed an entry of its term.
    pub ready: bool,
    /// Whether the node held the leader lease at its last step.
    pub leader_lease: bool,
    /// The first index in the log; earlier entries can only be replicated by a snapshot.
    pub first_index: LogIndex,
    /// The last index in the log.
    pub last_index: LogIndex,
    /// The known commit index.
    pub commit: LogIndex,
    /// The last index that was delivered for application.
    pub applied: LogIndex,
    /// The last index that the snapshot on disk covers, or 0 without a snapshot.
    pub snapshot: LogIndex,
    /// The voters of the newest membership.
    pub voters: Vec<ReplicaId>,
    /// The voters that a membership change replaces, until the change has ended.
    pub outgoing: Vec<ReplicaId>,
    /// The number of writes that are not synced yet.
    pub unsynced_writes: usize,
    /// The number of proposals that are not committed yet.
    pub open_proposals: usize,
    /// The other replicas and observers; empty unless the node is the leader.
    pub peers: Vec<PeerStatus>,
}

/// The status of another replica or observer as tracked by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The id of the peer.
    pub id: ReplicaId,
    /// Follower, learner or observer.
    pub role: ReplicaRole,
    /// The last index up to which the peer's log is known to match.
    pub matched: LogIndex,
    /// The number of entries that the peer is behind the leader.
    pub lag: u64,
    /// The time since the last message from the peer, in milliseconds.
    pub silent_ms: u64,
    /// Whether a snapshot is being transferred to the peer.
    pub snapshot: bool,
}
