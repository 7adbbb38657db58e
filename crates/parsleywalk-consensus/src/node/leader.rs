//! Leading.

use parsleywalk_units::MonotonicTime;

use super::{ConsensusNode, DeferredStep};
use crate::progress::{PeerProgress, TransferMode};
use crate::{
    ConsensusAction, ConsensusMessage, EntryPayload, LogEntry, LogIndex, LogTerm, LogWrite, ProposalId,
    ProposalRefusal, ReplicaId, ReplicaRole,
};

/// Heartbeats whose sending times are remembered; answers to older ones prove nothing useful.
const REMEMBERED_ROUNDS: usize = 64;

impl ConsensusNode {
    pub(super) fn lead(&mut self) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.id);
        self.led_since = self.now;
        self.own_matched = LogIndex::ZERO;
        self.incoming = None;
        self.peers.clear();
        self.track_voters();
        self.first_own = self.append_own(EntryPayload::Empty);
        self.confirm_members();
        self.send_heartbeats();
    }

    /// Makes sure that every other voter is known.
    pub(super) fn track_voters(&mut self) {
        let next = self.log.last_index().next();
        for voter in self.history.voters() {
            if voter != self.id {
                self.track(PeerProgress::new(voter, false, next, self.now));
            }
        }
    }

    pub(super) fn track(&mut self, progress: PeerProgress) {
        if let Err(position) = self.peers.binary_search_by_key(&progress.id, |peer| peer.id) {
            self.peers.insert(position, progress);
        }
    }

    pub(super) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.term, payload };
        self.uncommitted_bytes += entry.size();
        self.append_entry(entry.clone());
        let write = LogWrite { entries: vec![entry], ..LogWrite::default() };
        self.persist(write, vec![DeferredStep::CountOwn { term: self.term, index }]);
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
        self.append_own(payload);
    }

    pub(super) fn count_own(&mut self, term: LogTerm, index: LogIndex) {
        if self.role == ReplicaRole::Leader && self.term == term {
            self.own_matched = self.own_matched.max(index);
            self.commit_by_quorum();
        }
    }

    pub(super) fn commit_by_quorum(&mut self) {
        let matched = |voter: ReplicaId| {
            if voter == self.id {
                return self.own_matched;
            }
            self.peers
                .binary_search_by_key(&voter, |peer| peer.id)
                .map_or(LogIndex::ZERO, |position| self.peers[position].matched)
        };
        let Some(quorum) = self.history.quorum_value(matched) else { return };
        // An entry of an earlier term can still be overwritten while only copies of it are counted.
        let own = self.log.term_at(quorum) == Some(self.term) || self.settings.disabled.own_term_commit;
        if quorum > self.commit && own {
            self.advance_commit(quorum);
            self.finish_change();
        }
    }

    /// Goes on with a membership change after a commit.
    ///
    /// The set is appended a second time, so that the others need neither this leader nor the outgoing voters to find
    /// out that the change is committed: all of these may be lost at the next moment. The change ends with the commit
    /// of the second entry, by the new set alone.
    fn finish_change(&mut self) {
        if !self.confirm_members() && !self.history.is_pending() && !self.history.is_voter(self.id) {
            // Lets the others know that the change which removed this leader has ended.
            self.send_heartbeats();
            self.step_down();
        }
    }

    fn confirm_members(&mut self) -> bool {
        let set = self.history.unconfirmed().cloned();
        set.map(|set| self.append_own(EntryPayload::Membership(set))).is_some()
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.heartbeat_at = self.now + self.settings.heartbeat;
        self.round += 1;
        self.rounds.push_back((self.round, self.now));
        if self.rounds.len() > REMEMBERED_ROUNDS {
            self.rounds.pop_front();
        }
        let lease = self.has_leader_lease(self.now);
        for position in 0..self.peers.len() {
            let to = self.peers[position].id;
            let (term, round, commit) = (self.term, self.round, self.commit);
            self.send(to, ConsensusMessage::Heartbeat { term, round, commit, lease });
        }
    }

    /// Tells whether an answer is meant for the present leadership; a newer term ends it.
    fn is_current_reply(&mut self, term: LogTerm) -> bool {
        if term > self.term {
            self.follow(term, None);
        }
        self.role == ReplicaRole::Leader && term == self.term
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: ReplicaId, term: LogTerm, round: u64) {
        if !self.is_current_reply(term) {
            return;
        }
        let sent = self.rounds.iter().find(|(number, _)| *number == round).map(|(_, sent)| *sent);
        if let Some(peer) = self.peer(from) {
            peer.confirmed = peer.confirmed.max(sent);
        }
    }

    /// Returns the latest time at which a quorum is known to have been following.
    fn quorum_confirmed(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let confirmed = |voter: ReplicaId| {
            if voter == self.id {
                return Some(now);
            }
            let position = self.peers.binary_search_by_key(&voter, |peer| peer.id).ok()?;
            self.peers[position].confirmed
        };
        self.history.quorum_value(confirmed).flatten()
    }

    /// Tells whether a quorum still withholds its votes for this leader.
    pub(super) fn quorum_lease(&self, now: MonotonicTime) -> bool {
        let span = self.settings.lease_span();
        let now = now.max(self.now);
        self.quorum_confirmed(now).is_some_and(|confirmed| now < confirmed + span)
    }

    /// Steps down when no quorum has answered for an election timeout, by isolation or because this process was frozen.
    pub(super) fn check_quorum(&mut self) {
        if self.role != ReplicaRole::Leader || self.settings.disabled.check_quorum {
            return;
        }
        let confirmed = self.quorum_confirmed(self.now).unwrap_or(self.led_since).max(self.led_since);
        if self.now >= confirmed + self.settings.election_timeout_max {
            self.step_down();
        }
    }

    pub(super) fn on_appended(&mut self, from: ReplicaId, term: LogTerm, matched: LogIndex) {
        if !self.is_current_reply(term) {
            return;
        }
        assert!(matched <= self.log.last_index(), "a follower cannot hold more of this term than its leader");
        if let Some(peer) = self.peer(from) {
            let idle = matches!(&peer.mode, TransferMode::Stream { unanswered } if unanswered.is_empty());
            if idle && matched < peer.matched {
                // The peer restarted and has to be told again where its log equals this one.
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
                // An observer that restarted under the same id holds less than it did.
                peer.matched = peer.matched.min(hint);
            }
            peer.probe_from(hint.next().min(refused).max(LogIndex::new(1)));
        }
    }

    /// Sends each peer what its window allows.
    pub(super) fn send_entries(&mut self) {
        if self.role != ReplicaRole::Leader {
            return;
        }
        for position in 0..self.peers.len() {
            while self.send_next(position) {}
        }
    }

    /// Sends one message to the peer; tells whether there may be more to send.
    ///
    /// A silent peer gets heartbeats only, since more would most likely be sent in vain.
    fn send_next(&mut self, position: usize) -> bool {
        let now = self.now;
        let resend = self.settings.resend_after;
        let window = self.settings.append_window;
        if !self.hears(&self.peers[position]) {
            self.drop_stale_transfer(position);
            return false;
        }
        let peer = &mut self.peers[position];
        if matches!(peer.mode, TransferMode::Snapshot { .. }) {
            return self.send_chunk(position);
        }
        // Observers apply what they receive, so they get committed entries only.
        let end = if peer.observer { self.commit } else { self.log.last_index() };
        let waits = match &mut peer.mode {
            TransferMode::Probe { sent } => sent.is_some_and(|sent| now < sent + resend),
            TransferMode::Stream { unanswered } => {
                if unanswered.front().is_some_and(|(_, sent)| now >= *sent + resend) {
                    let next = peer.matched.next();
                    peer.probe_from(next);
                    return true;
                }
                unanswered.len() >= window || peer.next > end
            }
            TransferMode::Snapshot { .. } => true,
        };
        if waits {
            return false;
        }
        let previous_index = peer.next.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else { return self.start_snapshot(position) };
        let probing = matches!(peer.mode, TransferMode::Probe { .. });
        let entries = self.log.batch(peer.next, end, self.settings.append_bytes);
        if let TransferMode::Probe { sent } = &mut peer.mode {
            *sent = Some(now);
        } else if let (TransferMode::Stream { unanswered }, Some(last)) = (&mut peer.mode, entries.last()) {
            unanswered.push_back((last.index, now));
            peer.next = last.index.next();
        }
        let to = peer.id;
        let (term, commit) = (self.term, self.commit);
        self.send(to, ConsensusMessage::Append { term, previous_index, previous_term, commit, entries });
        !probing
    }

    /// Releases the snapshot that was being handed over to a peer which has been silent for long.
    fn drop_stale_transfer(&mut self, position: usize) {
        let expiry = self.settings.peer_expiry;
        let peer = &mut self.peers[position];
        if matches!(peer.mode, TransferMode::Snapshot { .. }) && self.now >= peer.heard + expiry {
            let next = peer.matched.next();
            peer.probe_from(next);
        }
    }
}
