//! Queries.

use parsleywalk_units::MonotonicTime;

use super::ConsensusNode;
use crate::progress::{PeerProgress, TransferMode};
use crate::{ConsensusStatus, LogIndex, LogTerm, PeerStatus, ReplicaId, ReplicaRole};

/// Queries.
impl ConsensusNode {
    /// Returns when the next step is due, should nothing happen before.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        if !self.actions.is_empty() {
            return self.now;
        }
        let timer = match self.role {
            ReplicaRole::Leader => self.heartbeat_at,
            ReplicaRole::Follower | ReplicaRole::Candidate => self.election_at,
            ReplicaRole::Learner | ReplicaRole::Observer => self.join_at,
        };
        timer.min(self.now + self.settings.tick)
    }

    /// Returns the replica's own id.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the newest term that this replica has seen.
    #[must_use]
    pub fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the leader that this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the committed index that this replica knows.
    #[must_use]
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the voters of the newest membership in the log.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.history.newest().voters()
    }

    /// Tells whether a membership change has begun and is not known to have ended. The loss of a further disk may cost the
    /// leader for good before the end.
    #[must_use]
    pub fn is_changing_membership(&self) -> bool {
        self.history.is_pending() || self.history.leaving().is_some()
    }

    /// Tells whether this replica leads and has committed an entry of its own term, so that everything that earlier
    /// leaders committed is applied.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.role == ReplicaRole::Leader && self.commit >= self.first_own
    }

    /// Tells whether this replica leads, is ready and no other replica can be elected before `now`.
    #[must_use]
    pub fn has_leader_lease(&self, now: MonotonicTime) -> bool {
        self.is_ready() && self.quorum_lease(now)
    }

    /// Tells whether this replica has handed over everything that the leader had reported as committed, and has heard
    /// so from a leader that held its lease, within the lease period. Neither a snapshot nor a deposed leader's word
    /// says how much is committed.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        if self.role == ReplicaRole::Leader {
            return self.has_leader_lease(self.now);
        }
        let recent = self.commit_heard.is_some_and(|heard| self.now < heard + self.settings.leader_lease);
        // Only a leader that has committed an entry of its own term knows how far its predecessors committed.
        let ready = self.log.term_at(self.applied) == Some(self.term);
        recent && ready && self.applied >= self.leader_commit
    }

    /// Returns the state for dumps.
    #[must_use]
    pub fn status(&self) -> ConsensusStatus {
        ConsensusStatus {
            id: self.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            ready: self.is_ready(),
            leader_lease: self.has_leader_lease(self.now),
            first_index: self.log.base_index().next(),
            last_index: self.log.last_index(),
            commit: self.commit,
            applied: self.applied,
            snapshot: self.snapshot_index,
            voters: self.voters().to_vec(),
            outgoing: self.history.leaving().map(|set| set.voters().to_vec()).unwrap_or_default(),
            unsynced_writes: self.pending.len(),
            open_proposals: self.proposals.len(),
            peers: self.peers.iter().map(|peer| self.peer_status(peer)).collect(),
        }
    }

    fn peer_status(&self, peer: &PeerProgress) -> PeerStatus {
        let role = if peer.observer {
            ReplicaRole::Observer
        } else if self.history.is_voter(peer.id) {
            ReplicaRole::Follower
        } else {
            ReplicaRole::Learner
        };
        PeerStatus {
            id: peer.id,
            role,
            matched: peer.matched,
            lag: self.log.last_index().get().saturating_sub(peer.matched.get()),
            silent_ms: u64::try_from(self.now.since(peer.heard).as_millis()).unwrap_or(u64::MAX),
            snapshot: matches!(peer.mode, TransferMode::Snapshot { .. }),
        }
    }
}
