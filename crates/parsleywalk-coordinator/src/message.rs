//! Messages between the coordinators of different daemons.

use parsleywalk_consensus::{ConsensusMessage, LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};

use crate::{CallToken, LeaderCall, LeaderReply};

/// A message between coordinators. Messages may be lost, delayed, duplicated or reordered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// A message of the consensus protocol.
    Log {
        /// The sending replica.
        from: ReplicaId,
        /// The receiving replica; its incarnation is 0 if the sender does not know it.
        to: ReplicaId,
        /// The consensus message.
        message: ConsensusMessage,
    },
    /// A call that only the leader can reply to.
    Call {
        /// The sender's token, which the reply repeats.
        call: CallToken,
        /// The call.
        body: LeaderCall,
    },
    /// The reply to a call.
    Reply {
        /// The token of the call.
        call: CallToken,
        /// The reply.
        body: LeaderReply,
    },
    /// The sender's progress in applying the log.
    Progress {
        /// The index of the last applied entry.
        applied: LogIndex,
    },
}

impl CoordinatorMessage {
    /// Returns true if the message is large and may be sent after smaller ones.
    #[must_use]
    pub const fn is_bulk(&self) -> bool {
        matches!(self, Self::Log { message: ConsensusMessage::SnapshotChunk { .. }, .. })
    }
}
