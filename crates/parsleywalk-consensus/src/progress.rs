//! Replication progress of a peer as tracked by the leader.

use std::collections::VecDeque;

use parsleywalk_units::MonotonicTime;

use crate::{LogIndex, LogSnapshot, ReplicaId};

/// How the leader sends entries to a peer.
#[derive(Debug)]
pub(crate) enum TransferMode {
    /// Sends one message at a time until the last matching entry is found.
    Probe {
        /// When the unanswered message was sent.
        sent: Option<MonotonicTime>,
    },
    /// Pipelines several messages without waiting for acknowledgements.
    Stream {
        /// The last index and the sending time of each unanswered message.
        in_flight: VecDeque<(LogIndex, MonotonicTime)>,
    },
    /// Sends a snapshot in chunks because the next entries are trimmed from the log.
    Snapshot {
        /// The snapshot, kept until the transfer ends.
        snapshot: LogSnapshot,
        /// The offset of the next chunk in bytes.
        offset: u64,
        /// When the unanswered chunk was sent.
        sent: Option<MonotonicTime>,
    },
}

/// The replication progress of one replica or observer.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    pub(crate) id: ReplicaId,
    pub(crate) observer: bool,
    /// The last index up to which the peer's log is known to match. A replica has synced it; an observer keeps no disk.
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) mode: TransferMode,
    /// When the newest answered heartbeat was sent.
    pub(crate) answered_heartbeat: Option<MonotonicTime>,
    /// When the last message from the peer arrived.
    pub(crate) last_heard: MonotonicTime,
}

impl PeerProgress {
    pub(crate) fn new(id: ReplicaId, observer: bool, next: LogIndex, now: MonotonicTime) -> Self {
        Self {
            id,
            observer,
            matched: LogIndex::ZERO,
            next,
            mode: TransferMode::Probe { sent: None },
            answered_heartbeat: None,
            last_heard: now,
        }
    }

    /// Returns to probing for the last matching entry, starting at `next`.
    pub(crate) fn probe_from(&mut self, next: LogIndex) {
        self.next = next.max(self.matched.next());
        self.mode = TransferMode::Probe { sent: None };
    }

    /// Records that the peer's log matches up to the index.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        match &mut self.mode {
            TransferMode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = TransferMode::Stream { in_flight: VecDeque::new() };
            }
            TransferMode::Stream { in_flight } => {
                while in_flight.front().is_some_and(|(last, _)| *last <= matched) {
                    in_flight.pop_front();
                }
                self.next = self.next.max(self.matched.next());
            }
            TransferMode::Snapshot { snapshot, .. } => {
                if matched >= snapshot.index {
                    self.next = self.matched.next();
                    self.mode = TransferMode::Stream { in_flight: VecDeque::new() };
                }
            }
        }
    }
}
