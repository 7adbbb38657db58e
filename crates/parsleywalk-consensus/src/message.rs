//! Messages between replicas and observers.

use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogIndex, LogTerm, ReplicaSet};

/// A message between replicas. Every message may be lost, duplicated, delayed or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Maintains the leadership. The leader sends it every heartbeat interval, so it is kept to a few bytes.
    Heartbeat {
        /// The leader's term.
        term: LogTerm,
        /// The number of the heartbeat, echoed in the reply so that the lease is measured from the time of sending.
        round: u64,
        /// The leader's commit index. The receiver commits up to it only the entries known to match the leader's log.
        commit: LogIndex,
        /// Whether the leader held its lease when it sent the message, so that no other leader had committed more.
        lease: bool,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// The sender's term.
        term: LogTerm,
        /// The round of the answered heartbeat, or 0 in an answer to a deposed leader.
        round: u64,
    },
    /// Asks whether the receiver would grant a vote, before the candidate increments its term.
    PreVote {
        /// The term that the candidate would start.
        term: LogTerm,
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: LogTerm,
    },
    /// Answers a [`ConsensusMessage::PreVote`].
    PreVoteReply {
        /// The requested term if granted, otherwise the sender's term.
        term: LogTerm,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// The candidate's term.
        term: LogTerm,
        /// The index of the candidate's last entry.
        last_index: LogIndex,
        /// The term of the candidate's last entry.
        last_term: LogTerm,
    },
    /// Answers a [`ConsensusMessage::Vote`].
    VoteReply {
        /// The sender's term.
        term: LogTerm,
        /// Whether the vote is granted and synced.
        granted: bool,
    },
    /// Replicates entries.
    Append {
        /// The leader's term.
        term: LogTerm,
        /// The index before the first entry.
        previous_index: LogIndex,
        /// The term of the entry at `previous_index`.
        previous_term: LogTerm,
        /// The leader's commit index.
        commit: LogIndex,
        /// Consecutive entries; empty in a probe without new entries.
        #[serde(with = "crate::batch")]
        entries: Vec<LogEntry>,
    },
    /// Acknowledges that the sender's synced log matches the leader's up to an index.
    Appended {
        /// The sender's term.
        term: LogTerm,
        /// The last index known to match.
        matched: LogIndex,
    },
    /// Rejects an [`ConsensusMessage::Append`] because the entry at `previous_index` is missing or has another term.
    Mismatch {
        /// The sender's term.
        term: LogTerm,
        /// The `previous_index` of the rejected message.
        refused: LogIndex,
        /// The last index that may match.
        hint: LogIndex,
    },
    /// Transfers a chunk of a snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: LogTerm,
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The term of that entry.
        index_term: LogTerm,
        /// The voters at that entry.
        members: ReplicaSet,
        /// The length of the whole payload in bytes.
        length: u64,
        /// The offset of the chunk in the payload, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        part: Vec<u8>,
    },
    /// Requests the next chunk of a snapshot.
    SnapshotWanted {
        /// The sender's term.
        term: LogTerm,
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The number of bytes that the sender has received, which is the offset of the requested chunk.
        offset: u64,
    },
    /// Announces a replica or an observer, so that the leader starts to replicate to it.
    Join {
        /// Whether the sender keeps no durable log and never votes.
        observer: bool,
        /// Whether the sender's log has never held an entry.
        empty: bool,
        /// The index of the sender's last entry.
        last_index: LogIndex,
    },
}

impl ConsensusMessage {
    /// Returns true if the message carries a chunk of a snapshot and should be sent on a separate stream, so that it
    /// does not delay other messages.
    #[must_use]
    pub const fn is_bulk(&self) -> bool {
        matches!(self, Self::SnapshotChunk { .. })
    }
}
