//! The leader: proposals, replication, heartbeats and commits.

use parsleywalk_units::MonotonicTime;

use super::{ConsensusNode, DeferredStep};
use crate::progress::{PeerProgress, TransferMode};
use crate::{
    ConsensusAction, ConsensusMessage, EntryPayload, LogEntry, LogIndex, LogTerm, LogWrite, ProposalId,
    ProposalRefusal, ReplicaId, ReplicaRole,
};

/// The number of heartbeats whose sending times are kept. A reply to an older one is too late to extend the lease.
const MAX_SENT_HEARTBEATS: usize = 64;

impl ConsensusNode {
    pub(super) fn become_leader(&mut self) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.id);
        self.leader_since = self.now;
        self.synced_index = LogIndex::ZERO;
        self.incoming = None;
        self.peers.clear();
        self.track_voters();
        self.term_start_index = self.append_as_leader(EntryPayload::Empty);
        self.append_confirmation();
        self.send_heartbeats();
    }

    /// Starts to track all other voters that are not tracked yet.
    pub(super) fn track_voters(&mut self) {
        let next = self.log.last_index().next();
        for voter in self.history.voters() {
            if voter != self.id {
                self.track_peer(PeerProgress::new(voter, false, next, self.now));
            }
        }
    }

    pub(super) fn track_peer(&mut self, progress: PeerProgress) {
        if let Err(peer_index) = self.peers.binary_search_by_key(&progress.id, |peer| peer.id) {
            self.peers.insert(peer_index, progress);
        }
    }

    pub(super) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.term, payload };
        self.uncommitted_bytes += entry.size();
        self.append_entry(entry.clone());
        let write = LogWrite { entries: vec![entry], ..LogWrite::default() };
        self.persist(write, vec![DeferredStep::RecordOwnSync { term: self.term, index }]);
        index
    }

    pub(super) fn propose(&mut self, proposal: ProposalId, payload: Vec<u8>) {
        let reason = if self.role != ReplicaRole::Leader {
            ProposalRefusal::NotLeader
        } else if payload.len() > self.settings.payload_limit {
            ProposalRefusal::TooLarge
        } else if self.uncommitted_bytes + payload.len() > self.settings.uncommitted_bytes {
            ProposalRefusal::TooBusy
        } else {
            return self.accept(proposal, EntryPayload::Command(payload));
        };
        self.refuse(proposal, reason);
    }

    pub(super) fn refuse(&mut self, proposal: ProposalId, reason: ProposalRefusal) {
        let leader = self.leader.filter(|leader| *leader != self.id);
        self.actions.push(ConsensusAction::Refused { proposal, reason, leader });
    }

    pub(super) fn accept(&mut self, proposal: ProposalId, payload: EntryPayload) {
        let index = self.log.last_index().next();
        self.actions.push(ConsensusAction::Accepted { proposal, index, term: self.term });
        self.proposals.push_back((index, proposal));
        self.append_as_leader(payload);
    }

    pub(super) fn record_own_sync(&mut self, term: LogTerm, index: LogIndex) {
        if self.role == ReplicaRole::Leader && self.term == term {
            self.synced_index = self.synced_index.max(index);
            self.commit_by_quorum();
        }
    }

    pub(super) fn commit_by_quorum(&mut self) {
        let matched = |voter: ReplicaId| {
            if voter == self.id {
                return self.synced_index;
            }
            self.peers
                .binary_search_by_key(&voter, |peer| peer.id)
                .map_or(LogIndex::ZERO, |peer_index| self.peers[peer_index].matched)
        };
        let Some(quorum) = self.history.quorum_value(matched) else { return };
        // An entry of an earlier term can still be overwritten although a majority holds it (section 5.4.2 of the Raft
        // paper).
        let own_term = self.log.term_at(quorum) == Some(self.term) || self.settings.disabled.own_term_commit;
        if quorum > self.commit && own_term {
            self.advance_commit(quorum);
            self.continue_membership_change();
        }
    }

    /// Continues a membership change after a commit.
    ///
    /// Once the new set is committed, it is appended a second time. The other replicas then learn from the log that the
    /// change is committed, without this leader or the outgoing voters, which may fail at any time. The change ends
    /// when the new set alone commits the second entry.
    fn continue_membership_change(&mut self) {
        if !self.append_confirmation() && !self.history.is_pending() && !self.history.is_voter(self.id) {
            // The last heartbeats tell the others that the change that removed this leader has ended.
            self.send_heartbeats();
            self.step_down();
        }
    }

    /// Appends the confirmation entry of a committed membership change; returns true if one was needed.
    fn append_confirmation(&mut self) -> bool {
        let set = self.history.unconfirmed().cloned();
        set.map(|set| self.append_as_leader(EntryPayload::Membership(set))).is_some()
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.next_heartbeat = self.now + self.settings.heartbeat;
        self.round += 1;
        self.sent_heartbeats.push_back((self.round, self.now));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let lease = self.has_leader_lease(self.now);
        for peer_index in 0..self.peers.len() {
            let to = self.peers[peer_index].id;
            let (term, round, commit) = (self.term, self.round, self.commit);
            self.send(to, ConsensusMessage::Heartbeat { term, round, commit, lease });
        }
    }

    /// Returns true if the reply belongs to the current leadership. A newer term ends the leadership.
    fn is_current_reply(&mut self, term: LogTerm) -> bool {
        if term > self.term {
            self.adopt_term(term, None);
        }
        self.role == ReplicaRole::Leader && term == self.term
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: ReplicaId, term: LogTerm, round: u64) {
        if !self.is_current_reply(term) {
            return;
        }
        let sent = self.sent_heartbeats.iter().find(|(number, _)| *number == round).map(|(_, sent)| *sent);
        if let Some(peer) = self.peer(from) {
            peer.answered_heartbeat = peer.answered_heartbeat.max(sent);
        }
    }

    /// Returns the latest time such that a quorum has answered a heartbeat sent then or later.
    fn quorum_heartbeat(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let answered_heartbeat = |voter: ReplicaId| {
            if voter == self.id {
                return Some(now);
            }
            let peer_index = self.peers.binary_search_by_key(&voter, |peer| peer.id).ok()?;
            self.peers[peer_index].answered_heartbeat
        };
        self.history.quorum_value(answered_heartbeat).flatten()
    }

    /// Returns true if a quorum still withholds its votes because of a heartbeat from this leader.
    pub(super) fn holds_quorum_lease(&self, now: MonotonicTime) -> bool {
        let duration = self.settings.lease_duration();
        let now = now.max(self.now);
        self.quorum_heartbeat(now).is_some_and(|sent| now < sent + duration)
    }

    /// Steps down if no quorum has answered for the longest election timeout, because of a network partition or because
    /// this process was suspended.
    pub(super) fn check_quorum(&mut self) {
        if self.role != ReplicaRole::Leader || self.settings.disabled.check_quorum {
            return;
        }
        let last_contact = self.quorum_heartbeat(self.now).unwrap_or(self.leader_since).max(self.leader_since);
        if self.now >= last_contact + self.settings.election_timeout_max {
            self.step_down();
        }
    }

    pub(super) fn on_appended(&mut self, from: ReplicaId, term: LogTerm, matched: LogIndex) {
        if !self.is_current_reply(term) {
            return;
        }
        assert!(matched <= self.log.last_index(), "a follower cannot hold more of this term than its leader");
        if let Some(peer) = self.peer(from) {
            let idle = matches!(&peer.mode, TransferMode::Stream { in_flight } if in_flight.is_empty());
            if idle && matched < peer.matched {
                // The peer restarted and no longer knows up to where its log matches, so the prefix is sent again.
                let next = peer.matched.next();
                peer.probe_from(next);
                return;
            }
            peer.acknowledge(matched);
            self.commit_by_quorum();
        }
    }

    pub(super) fn on_mismatch(&mut self, from: ReplicaId, term: LogTerm, refused: LogIndex, hint: LogIndex) {
        if !self.is_current_reply(term) {
            return;
        }
        let Some(peer) = self.peer(from) else { return };
        let stale = match &peer.mode {
            TransferMode::Probe { .. } => refused.next() != peer.next,
            TransferMode::Stream { .. } => refused <= peer.matched,
            TransferMode::Snapshot { .. } => true,
        };
        if !stale {
            if peer.observer {
                // An observer that restarted with the same id has lost entries that it acknowledged.
                peer.matched = peer.matched.min(hint);
            }
            peer.probe_from(hint.next().min(refused).max(LogIndex::new(1)));
        }
    }

    /// Sends entries or snapshot chunks to each peer as far as its window allows.
    pub(super) fn send_entries(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        for peer_index in 0..self.peers.len() {
            while self.send_next(peer_index) {}
        }
    }

    /// Sends at most one message to the peer and returns true if there may be more to send.
    ///
    /// An unresponsive peer only gets heartbeats, since other messages would most likely be lost.
    fn send_next(&mut self, peer_index: usize) -> bool {
        let now = self.now;
        let resend = self.settings.resend_timeout;
        let window = self.settings.append_window;
        if !self.is_responsive(&self.peers[peer_index]) {
            self.drop_stale_transfer(peer_index);
            return false;
        }
        let peer = &mut self.peers[peer_index];
        if matches!(peer.mode, TransferMode::Snapshot { .. }) {
            return self.send_snapshot_chunk(peer_index);
        }
        // An observer applies the entries that it receives, so it only gets committed ones.
        let end = if peer.observer { self.commit } else { self.log.last_index() };
        let waits = match &mut peer.mode {
            TransferMode::Probe { sent } => sent.is_some_and(|sent| now < sent + resend),
            TransferMode::Stream { in_flight } => {
                if in_flight.front().is_some_and(|(_, sent)| now >= *sent + resend) {
                    let next = peer.matched.next();
                    peer.probe_from(next);
                    return true;
                }
                in_flight.len() >= window || peer.next > end
            }
            TransferMode::Snapshot { .. } => true,
        };
        if waits {
            return false;
        }
        let previous_index = peer.next.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else { return self.start_snapshot(peer_index) };
        let probing = matches!(peer.mode, TransferMode::Probe { .. });
        let entries = self.log.batch(peer.next, end, self.settings.append_bytes);
        if let TransferMode::Probe { sent } = &mut peer.mode {
            *sent = Some(now);
        } else if let (TransferMode::Stream { in_flight }, Some(last)) = (&mut peer.mode, entries.last()) {
            in_flight.push_back((last.index, now));
            peer.next = last.index.next();
        }
        let to = peer.id;
        let (term, commit) = (self.term, self.commit);
        self.send(to, ConsensusMessage::Append { term, previous_index, previous_term, commit, entries });
        !probing
    }

    /// Cancels a snapshot transfer to a peer that has been unresponsive for `peer_expiry`, which releases the snapshot.
    fn drop_stale_transfer(&mut self, peer_index: usize) {
        let expiry = self.settings.peer_expiry;
        let peer = &mut self.peers[peer_index];
        if matches!(peer.mode, TransferMode::Snapshot { .. }) && self.now >= peer.last_heard + expiry {
            let next = peer.matched.next();
            peer.probe_from(next);
        }
    }
}
