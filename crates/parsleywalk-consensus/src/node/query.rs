//! Read-only access to the state of a node.

use parsleywalk_units::MonotonicTime;

use super::ConsensusNode;
use crate::progress::{PeerProgress, TransferMode};
use crate::{ConsensusStatus, LogIndex, LogTerm, PeerStatus, ReplicaId, ReplicaRole};

/// Queries.
impl ConsensusNode {
    /// Returns the latest time at which the next step is due if no event occurs before.
    #[must_use]
    pub fn next_deadline(&self) -> MonotonicTime {
        if !self.actions.is_empty() {
            return self.now;
        }
        let timer = match self.role {
            ReplicaRole::Leader => self.next_heartbeat,
            ReplicaRole::Follower | ReplicaRole::Candidate => self.election_deadline,
            ReplicaRole::Learner | ReplicaRole::Observer => self.next_join,
        };
        timer.min(self.now + self.settings.tick)
    }

    /// Returns the id of the node.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// Returns the newest term that the node has seen.
    #[must_use]
    pub fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the known commit index.
    #[must_use]
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the voters of the newest membership in the log.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.history.newest().voters()
    }

    /// Returns true if a membership change has begun and is not known to have ended. Until it ends, the loss of another
    /// disk may make it impossible to elect a leader.
    #[must_use]
    pub fn is_changing_membership(&self) -> bool {
        self.history.is_pending() || self.history.replaced_set().is_some()
    }

    /// Returns true if the node is the leader and has committed an entry of its own term, so that everything that
    /// earlier leaders committed is applied.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.role == ReplicaRole::Leader && self.commit >= self.term_start_index
    }

    /// Returns true if the node is the leader, is ready, and no other replica can have been elected by `now`.
    #[must_use]
    pub fn has_leader_lease(&self, now: MonotonicTime) -> bool {
        self.is_ready() && self.holds_quorum_lease(now)
    }

    /// Returns true if the node has delivered everything that the leader reported as committed, and if a leader holding
    /// its lease reported that within the last lease period. Neither a snapshot nor a message from a deposed leader
    /// proves how much is committed.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        if self.role == ReplicaRole::Leader {
            return self.has_leader_lease(self.now);
        }
        let recent =
            self.commit_confirmed_at.is_some_and(|confirmed_at| self.now < confirmed_at + self.settings.leader_lease);
        // A leader knows the commit index of its predecessors only after it has committed an entry of its own term.
        let ready = self.log.term_at(self.applied) == Some(self.term);
        recent && ready && self.applied >= self.leader_commit
    }

    /// Returns the status of the node for state dumps.
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
            outgoing: self.history.replaced_set().map(|set| set.voters().to_vec()).unwrap_or_default(),
            unsynced_writes: self.pending_writes.len(),
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
            silent_ms: u64::try_from(self.now.since(peer.last_heard).as_millis()).unwrap_or(u64::MAX),
            snapshot: matches!(peer.mode, TransferMode::Snapshot { .. }),
        }
    }
}
