//! What coordinators of different daemons say to one another.

use parsleywalk_consensus::{ConsensusMessage, LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::{CallToken, LeaderCall, LeaderReply};

/// A message between coordinators. Any of them may be lost, delayed or repeated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// A message of the replicated log.
    Log {
        /// The sender.
        from: ReplicaId,
        /// The receiver; its incarnation is 0 where the sender does not know it.
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// A call that only the leader can answer.
    Call {
        /// The sender's token, which the answer names.
        call: CallToken,
        /// The call.
        body: LeaderCall,
    },
    /// The answer to a call.
    Reply {
        /// The token of the call.
        call: CallToken,
        /// The answer.
        body: LeaderReply,
    },
    /// How far the sender has applied the log.
    Progress {
        /// The last applied index.
        applied: LogIndex,
    },
}

impl CoordinatorMessage {
    /// Whether the message is large and may wait behind smaller ones.
    #[must_use]
    pub const fn is_bulk(&self) -> bool {
        matches!(self, Self::Log { message: ConsensusMessage::SnapshotChunk { .. }, .. })
    }
}
