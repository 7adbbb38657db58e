//! Events that the state machine consumes and actions that it returns.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use parsleywalk_units::VmNumber;
use serde::{Deserialize, Serialize};

use crate::{ConsensusMessage, LogEntry, LogIndex, LogTerm, LogWrite, ProposalId, ReplicaId, WriteTicket};

/// An input of [`ConsensusNode::step`](crate::ConsensusNode::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusEvent {
    /// Only time has passed.
    Tick,
    /// A message arrived.
    Receive {
        /// The sender, as authenticated by the transport.
        from: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// The write and all writes with smaller tickets are synced.
    Persisted {
        /// The write's ticket.
        ticket: WriteTicket,
    },
    /// Proposes a command.
    Propose {
        /// The proposal's id.
        proposal: ProposalId,
        /// The command.
        payload: Vec<u8>,
    },
    /// Proposes a change of the voters.
    ChangeMembership {
        /// The proposal's id.
        proposal: ProposalId,
        /// The change.
        change: MembershipChange,
    },
    /// Answers [`ConsensusAction::TakeSnapshot`].
    SnapshotTaken {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The encoded state.
        payload: Vec<u8>,
    },
}

/// An output of [`ConsensusNode::step`](crate::ConsensusNode::step), to be executed in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusAction {
    /// Sends a message.
    Send {
        /// The recipient; see [`ReplicaId::any`].
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Writes and syncs in ticket order, then reports [`ConsensusEvent::Persisted`].
    Persist {
        /// The write's ticket.
        ticket: WriteTicket,
        /// The changes to write.
        write: LogWrite,
    },
    /// Applies a committed entry. Indexes are consecutive, and each entry is delivered once.
    Apply {
        /// The entry.
        entry: LogEntry,
    },
    /// Replaces the whole state. This is always the first action of a replica that recovered a snapshot.
    InstallSnapshot {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The encoded state.
        payload: Arc<Vec<u8>>,
    },
    /// Requests a snapshot of the state right after the entry at `index`, the last one delivered by `Apply`.
    TakeSnapshot {
        /// The last entry that the snapshot must cover.
        index: LogIndex,
    },
    /// A proposal is appended to the leader's log and not committed yet. It is committed if an entry with this index
    /// and this term is applied.
    Accepted {
        /// The proposal.
        proposal: ProposalId,
        /// The index of the proposal's entry.
        index: LogIndex,
        /// The term of the proposal's entry.
        term: LogTerm,
    },
    /// A proposal has ended without being applied here; see [`ProposalRefusal::is_outcome_unknown`].
    Refused {
        /// The proposal.
        proposal: ProposalId,
        /// Why the proposal was refused.
        reason: ProposalRefusal,
        /// The leader to propose to instead, if another replica is known to lead.
        leader: Option<ReplicaId>,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The current role.
        role: ReplicaRole,
        /// The current term.
        term: LogTerm,
        /// The known leader.
        leader: Option<ReplicaId>,
    },
}

/// A change of the voters. A VM must have announced itself as a learner and caught up before it can become a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a VM.
    Add {
        /// The VM.
        vm: VmNumber,
    },
    /// Replaces one VM by another, or an incarnation by a newer one of the same VM.
    Replace {
        /// The VM to remove.
        old: VmNumber,
        /// The VM to add.
        new: VmNumber,
    },
    /// Removes a VM.
    Remove {
        /// The VM.
        vm: VmNumber,
    },
}

/// Why a proposal was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalRefusal {
    /// This replica is not the leader.
    NotLeader,
    /// The leadership was lost after the proposal was accepted and before it was committed. It may still be committed.
    LeadershipLost,
    /// The uncommitted entries would exceed [`ConsensusSettings::uncommitted_bytes`](crate::ConsensusSettings).
    TooBusy,
    /// The payload exceeds [`ConsensusSettings::payload_limit`](crate::ConsensusSettings).
    TooLarge,
    /// The leader has not committed an entry of its own term yet.
    LeaderNotReady,
    /// The previous membership change is not committed yet.
    ChangePending,
    /// The VM has not announced itself as a learner.
    LearnerUnknown,
    /// The learner does not hold everything that is committed yet, or is unresponsive.
    LearnerBehind,
    /// No majority of the voters after the change is responsive, so the change could not be committed.
    TooFewReachable,
    /// The VM to remove is not a voter, the VM to add is one already, or no voter would be left.
    InvalidChange,
}

impl ProposalRefusal {
    /// Returns true if the proposal may still be committed. Otherwise it never will be.
    #[must_use]
    pub const fn is_outcome_unknown(self) -> bool {
        matches!(self, Self::LeadershipLost)
    }
}

impl Display for ProposalRefusal {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotLeader => "this replica is not the leader",
            Self::LeadershipLost => "leadership was lost before the commit, outcome unknown",
            Self::TooBusy => "too many bytes wait to be committed",
            Self::TooLarge => "the payload exceeds the limit",
            Self::LeaderNotReady => "the leader is not ready yet",
            Self::ChangePending => "the previous membership change is not committed yet",
            Self::LearnerUnknown => "the VM has not announced itself as a learner",
            Self::LearnerBehind => "the learner has not caught up yet",
            Self::TooFewReachable => "too few of the voters after the change are reachable",
            Self::InvalidChange => "the membership change does not fit the present members",
        })
    }
}

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// A voter that replicates the leader's log.
    Follower,
    /// A voter that requests votes.
    Candidate,
    /// The replica that appends entries in its term.
    Leader,
    /// A replica with a durable log that is not a voter, or is none any more.
    Learner,
    /// A node without a durable log, which never votes.
    Observer,
}

impl Display for ReplicaRole {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Follower => "follower",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
            Self::Learner => "learner",
            Self::Observer => "observer",
        })
    }
}
