//! Messages between replicas and observers.

use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogIndex, LogTerm, ReplicaSet};

/// A message of the protocol. Every message may be lost, repeated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Keeps the leadership; sent every heartbeat interval, a few bytes long.
    Heartbeat {
        /// The leader's term.
        term: LogTerm,
        /// Counts the leader's heartbeats; echoed, so that the lease is measured from the sending.
        round: u64,
        /// The leader's committed index. The receiver applies what it knows to equal the leader's log.
        commit: LogIndex,
        /// Whether the leader held its lease when it sent this, so that nobody had committed more.
        lease: bool,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// The sender's term.
        term: LogTerm,
        /// The heartbeat's round.
        round: u64,
    },
    /// Asks whether a vote would be granted, before the term grows.
    PreVote {
        /// The term that the candidate would start.
        term: LogTerm,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// The term of its last entry.
        last_term: LogTerm,
    },
    /// Answers a [`ConsensusMessage::PreVote`].
    PreVoteReply {
        /// The asked term if granted, otherwise the sender's own.
        term: LogTerm,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The candidate's term.
        term: LogTerm,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// The term of its last entry.
        last_term: LogTerm,
    },
    /// Answers a [`ConsensusMessage::Vote`].
    VoteReply {
        /// The sender's term.
        term: LogTerm,
        /// Whether the vote was granted and synced.
        granted: bool,
    },
    /// Hands over entries.
    Append {
        /// The leader's term.
        term: LogTerm,
        /// The index before the first entry.
        previous_index: LogIndex,
        /// The term at that index.
        previous_term: LogTerm,
        /// The leader's committed index.
        commit: LogIndex,
        /// Consecutive entries.
        #[serde(with = "crate::batch")]
        entries: Vec<LogEntry>,
    },
    /// The sender holds, synced, everything that the leader has up to an index.
    Appended {
        /// The sender's term.
        term: LogTerm,
        /// The last index known to match.
        matched: LogIndex,
    },
    /// The entry before the handed-over ones is missing or has another term.
    Mismatch {
        /// The sender's term.
        term: LogTerm,
        /// The `previous_index` that was refused.
        refused: LogIndex,
        /// The last index that may match.
        hint: LogIndex,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: LogTerm,
        /// The last entry that the snapshot holds.
        index: LogIndex,
        /// The term of that entry.
        index_term: LogTerm,
        /// The voters at that entry.
        members: ReplicaSet,
        /// The length of the whole payload in bytes.
        length: u64,
        /// Where this part starts.
        offset: u64,
        /// This part.
        part: Vec<u8>,
    },
    /// Asks for the next part of a snapshot.
    SnapshotWanted {
        /// The sender's term.
        term: LogTerm,
        /// The snapshot's index.
        index: LogIndex,
        /// The bytes that the sender holds.
        offset: u64,
    },
    /// Announces a learner or an observer to any replica.
    Join {
        /// Whether the sender keeps no disk and never votes.
        observer: bool,
        /// Whether the sender's log has never held an entry.
        empty: bool,
        /// The sender's last entry.
        last_index: LogIndex,
    },
}

impl ConsensusMessage {
    /// Tells whether the message carries a part of a snapshot and belongs on a stream of its own.
    #[must_use]
    pub const fn is_bulk(&self) -> bool {
        matches!(self, Self::SnapshotChunk { .. })
    }
}
