//! What a leader knows of another replica or observer.

use std::collections::VecDeque;

use parsleywalk_units::MonotonicTime;

use crate::{LogIndex, LogSnapshot, ReplicaId};

/// How entries are handed over.
#[derive(Debug)]
pub(crate) enum TransferMode {
    /// One message at a time, until the last common entry is found.
    Probe {
        /// When the unanswered message was sent.
        sent: Option<MonotonicTime>,
    },
    /// Several messages ahead of the answers.
    Stream {
        /// The last index of each unanswered message and when it was sent.
        unanswered: VecDeque<(LogIndex, MonotonicTime)>,
    },
    /// A snapshot in parts, since the wanted entries are trimmed.
    Snapshot {
        /// The snapshot, held until the transfer ends.
        snapshot: LogSnapshot,
        /// The start of the part to send next.
        offset: u64,
        /// When the unanswered part was sent.
        sent: Option<MonotonicTime>,
    },
}

/// The state of one receiver.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    pub(crate) id: ReplicaId,
    pub(crate) observer: bool,
    /// The last index that the peer holds synced (an observer: holds).
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) mode: TransferMode,
    /// When the newest answered heartbeat was sent.
    pub(crate) confirmed: Option<MonotonicTime>,
    pub(crate) heard: MonotonicTime,
}

impl PeerProgress {
    pub(crate) fn new(id: ReplicaId, observer: bool, next: LogIndex, now: MonotonicTime) -> Self {
        Self {
            id,
            observer,
            matched: LogIndex::ZERO,
            next,
            mode: TransferMode::Probe { sent: None },
            confirmed: None,
            heard: now,
        }
    }

    /// Goes back to finding the last common entry.
    pub(crate) fn probe_from(&mut self, next: LogIndex) {
        self.next = next.max(self.matched.next());
        self.mode = TransferMode::Probe { sent: None };
    }

    /// Notes that the peer holds everything up to the index.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        match &mut self.mode {
            TransferMode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = TransferMode::Stream { unanswered: VecDeque::new() };
            }
            TransferMode::Stream { unanswered } => {
                while unanswered.front().is_some_and(|(last, _)| *last <= matched) {
                    unanswered.pop_front();
                }
                self.next = self.next.max(self.matched.next());
            }
            TransferMode::Snapshot { snapshot, .. } => {
                if matched >= snapshot.index {
                    self.next = self.matched.next();
                    self.mode = TransferMode::Stream { unanswered: VecDeque::new() };
                }
            }
        }
    }
}
