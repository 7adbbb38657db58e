//! Taking, transferring and installing snapshots, and trimming the log.

use std::sync::Arc;

use rand::RngExt;

use super::{ConsensusNode, IncomingSnapshot};
use crate::history::MembershipHistory;
use crate::progress::TransferMode;
use crate::window::LogWindow;
use crate::{
    ConsensusAction, ConsensusMessage, LogIndex, LogSnapshot, LogTerm, LogWrite, ReplicaId, ReplicaRole, ReplicaSet,
};

impl ConsensusNode {
    /// Randomizes when the next snapshot is due. If all replicas wrote large snapshots at the same entry, their log
    /// syncs would all be delayed at the same time.
    pub(super) fn randomize_snapshot_threshold(&mut self) {
        let min_entries = self.settings.snapshot_entries;
        self.snapshot_threshold = self.rng.random_range(min_entries..=min_entries.saturating_add(min_entries / 4));
    }

    pub(super) fn request_snapshot_if_due(&mut self) {
        let since = self.applied.get().saturating_sub(self.snapshot_index.get());
        // Large entries can exceed the memory limit long before there are enough of them for a snapshot.
        let due = since >= self.snapshot_threshold || (since > 0 && self.log.bytes() > self.settings.log_bytes);
        if due {
            self.request_snapshot();
        }
    }

    fn request_snapshot(&mut self) {
        if self.requested_snapshot.is_none() {
            self.requested_snapshot = Some(self.applied);
            self.actions.push(ConsensusAction::TakeSnapshot { index: self.applied });
        }
    }

    pub(super) fn on_snapshot_taken(&mut self, index: LogIndex, payload: Vec<u8>) {
        if self.requested_snapshot == Some(index) {
            self.requested_snapshot = None;
        }
        assert!(index <= self.applied, "a snapshot cannot cover entries that are not applied");
        // A newer snapshot from the leader may have been installed meanwhile.
        if index < self.snapshot_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let members = self.history.at(index).clone();
        let snapshot = LogSnapshot { index, term, members, payload: Arc::new(payload) };
        self.recent_snapshot = Some(snapshot.clone());
        if index > self.snapshot_index {
            self.persist_snapshot(snapshot);
        }
    }

    /// Writes the snapshot and trims the log.
    fn persist_snapshot(&mut self, snapshot: LogSnapshot) {
        let index = snapshot.index;
        let trim_to = self.log.trim_point(index, self.settings.retained_entries, self.settings.log_bytes / 2);
        self.snapshot_index = index;
        self.randomize_snapshot_threshold();
        self.log.trim_to(trim_to);
        self.history.trim_to(trim_to);
        let write = LogWrite { snapshot: Some(snapshot), trim_to: Some(trim_to), ..LogWrite::default() };
        self.persist(write, Vec::new());
    }

    /// Starts to transfer a snapshot to the peer and returns true, or requests a snapshot and returns false if there is
    /// none in this step.
    pub(super) fn start_snapshot(&mut self, peer_index: usize) -> bool {
        let Some(snapshot) = self.recent_snapshot.clone() else {
            self.request_snapshot();
            return false;
        };
        self.peers[peer_index].mode = TransferMode::Snapshot { snapshot, offset: 0, sent: None };
        true
    }

    pub(super) fn send_snapshot_chunk(&mut self, peer_index: usize) -> bool {
        let (now, resend) = (self.now, self.settings.resend_timeout);
        let term = self.term;
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let peer = &mut self.peers[peer_index];
        let TransferMode::Snapshot { snapshot, offset, sent } = &mut peer.mode else { return false };
        if sent.is_some_and(|sent| now < sent + resend) {
            return false;
        }
        *sent = Some(now);
        let start = usize::try_from(*offset).unwrap_or(usize::MAX).min(snapshot.payload.len());
        let end = start.saturating_add(chunk_bytes).min(snapshot.payload.len());
        let message = ConsensusMessage::SnapshotChunk {
            term,
            index: snapshot.index,
            index_term: snapshot.term,
            members: snapshot.members.clone(),
            length: snapshot.payload.len() as u64,
            offset: *offset,
            part: snapshot.payload[start..end].to_vec(),
        };
        let to = peer.id;
        self.send(to, message);
        false
    }

    pub(super) fn on_snapshot_wanted(&mut self, from: ReplicaId, term: LogTerm, index: LogIndex, offset: u64) {
        if self.role != ReplicaRole::Leader || term != self.term {
            return;
        }
        let Some(peer) = self.peer(from) else { return };
        if let TransferMode::Snapshot { snapshot, offset: next, sent } = &mut peer.mode
            && snapshot.index == index
            && *next != offset
            && offset <= snapshot.payload.len() as u64
        {
            *next = offset;
            *sent = None;
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: ReplicaId, message: ConsensusMessage) {
        let ConsensusMessage::SnapshotChunk { term, index, index_term, members, length, offset, part } = message else {
            return;
        };
        if !self.accept_leader(from, term) {
            return;
        }
        self.leader_commit = self.leader_commit.max(index);
        if index <= self.commit {
            return self.send_after_writes(from, ConsensusMessage::Appended { term, matched: index });
        }
        let current =
            self.incoming.as_ref().is_some_and(|incoming| (incoming.index, incoming.term) == (index, index_term));
        if !current {
            self.incoming = Some(IncomingSnapshot { index, term: index_term, payload: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return };
        if offset == incoming.payload.len() as u64 {
            incoming.payload.extend_from_slice(&part);
        }
        let received = incoming.payload.len() as u64;
        if received < length {
            return self.send(from, ConsensusMessage::SnapshotWanted { term, index, offset: received });
        }
        let payload = self.incoming.take().map(|incoming| incoming.payload).unwrap_or_default();
        self.verified_index = self.verified_index.max(index);
        self.install_snapshot(LogSnapshot { index, term: index_term, members, payload: Arc::new(payload) });
        self.send_after_writes(from, ConsensusMessage::Appended { term, matched: index });
    }

    fn install_snapshot(&mut self, snapshot: LogSnapshot) {
        let LogSnapshot { index, term, .. } = snapshot;
        if self.log.term_at(index) == Some(term) {
            // The log already contains the entries that the snapshot covers.
            return self.advance_commit(index);
        }
        assert!(index > self.commit, "a snapshot cannot remove committed entries");
        let members: ReplicaSet = snapshot.members.clone();
        self.log = LogWindow::new(index, term);
        self.history = MembershipHistory::new(index, members);
        self.commit = index;
        self.applied = index;
        self.requested_snapshot = None;
        self.actions.push(ConsensusAction::InstallSnapshot { index, payload: snapshot.payload.clone() });
        self.snapshot_index = index;
        let write = LogWrite { snapshot: Some(snapshot), truncate_from: Some(LogIndex::new(1)), ..LogWrite::default() };
        self.persist(write, Vec::new());
        self.update_role();
    }
}
