//! Handling of a leader's messages.

use super::ConsensusNode;
use crate::{ConsensusMessage, EntryPayload, LogEntry, LogIndex, LogTerm, LogWrite, ReplicaId, ReplicaRole};

impl ConsensusNode {
    /// Adopts the sender of a leader's message as the leader and returns true, or informs a deposed leader of the newer
    /// term and returns false.
    pub(super) fn accept_leader(&mut self, from: ReplicaId, term: LogTerm) -> bool {
        if term < self.term {
            let message = ConsensusMessage::HeartbeatReply { term: self.term, round: 0 };
            self.send_after_hard_state(from, message);
            return false;
        }
        self.adopt_term(term, Some(from));
        self.record_leader_contact();
        true
    }

    pub(super) fn on_heartbeat(&mut self, from: ReplicaId, term: LogTerm, round: u64, commit: LogIndex, lease: bool) {
        if !self.accept_leader(from, term) {
            return;
        }
        self.leader_commit = self.leader_commit.max(commit);
        if lease {
            self.commit_confirmed_at = Some(self.now);
        }
        self.advance_commit(commit.min(self.verified_index));
        self.send_after_hard_state(from, ConsensusMessage::HeartbeatReply { term, round });
        if commit > self.verified_index {
            // After a restart, this replica does not know up to where its log matches the leader's. The leader knows
            // and may have no entries to send. This message makes it probe the replica again.
            let matched = self.verified_index;
            self.send_after_writes(from, ConsensusMessage::Appended { term, matched });
        }
    }

    pub(super) fn on_append(&mut self, from: ReplicaId, message: ConsensusMessage) {
        let ConsensusMessage::Append { term, previous_index, previous_term, commit, entries } = message else { return };
        if !self.accept_leader(from, term) {
            return;
        }
        self.leader_commit = self.leader_commit.max(commit);
        let last = entries.last().map_or(previous_index, |entry| entry.index);
        // Entries up to the base are committed, so they match the leader's.
        if previous_index >= self.log.base_index() && self.log.term_at(previous_index) != Some(previous_term) {
            let hint = self.mismatch_hint(previous_index);
            return self.send(from, ConsensusMessage::Mismatch { term, refused: previous_index, hint });
        }
        let base = self.log.base_index();
        self.store_entries(entries.into_iter().filter(|entry| entry.index > base).collect());
        self.verified_index = self.verified_index.max(last);
        self.advance_commit(commit.min(self.verified_index));
        self.send_after_writes(from, ConsensusMessage::Appended { term, matched: last });
    }

    /// Returns the last index that may match, which is before all entries of the rejected entry's term.
    fn mismatch_hint(&self, refused: LogIndex) -> LogIndex {
        let Some(term) = self.log.term_at(refused) else { return self.log.last_index() };
        let mut hint = refused.previous();
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint = hint.previous();
        }
        hint.max(self.commit)
    }

    fn store_entries(&mut self, entries: Vec<LogEntry>) {
        let mut write = LogWrite::default();
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.truncate_from(entry.index);
                    write.truncate_from = Some(entry.index);
                }
                None => {}
            }
            self.append_entry(entry.clone());
            write.entries.push(entry);
        }
        if !write.entries.is_empty() {
            self.persist(write, Vec::new());
            self.update_role();
        }
    }

    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        if let EntryPayload::Membership(set) = &entry.payload {
            self.history.push(entry.index, set.clone());
        }
        self.log.append(entry);
    }

    fn truncate_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "a committed entry cannot be overwritten");
        assert!(index > self.verified_index, "an entry that the same leader sent cannot be overwritten");
        assert!(self.role != ReplicaRole::Leader, "a leader does not overwrite its log");
        self.log.truncate_from(index);
        self.history.truncate_from(index);
    }

    pub(super) fn advance_commit(&mut self, commit: LogIndex) {
        if commit <= self.commit {
            return;
        }
        let pending = self.history.is_pending();
        self.commit = commit;
        self.history.set_commit(commit);
        if pending && !self.history.is_pending() {
            // The commit is written to disk because the outgoing voters, no longer needed now, may be shut down for
            // good.
            self.persist_hard_state(Vec::new());
            self.update_role();
        }
    }
}
