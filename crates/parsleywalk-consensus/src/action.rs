//! Inputs and outputs of the state machine.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use parsleywalk_units::VmNumber;
use serde::{Deserialize, Serialize};

use crate::{ConsensusMessage, LogEntry, LogIndex, LogTerm, LogWrite, ProposalId, ReplicaId, WriteTicket};

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusEvent {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive {
        /// The sender as its link identified it.
        from: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// This write and every one with a smaller ticket are synced.
    Persisted {
        /// The write's ticket.
        ticket: WriteTicket,
    },
    /// Appends a command.
    Propose {
        /// The proposal's id.
        proposal: ProposalId,
        /// The command.
        payload: Vec<u8>,
    },
    /// Changes the voters.
    ChangeMembership {
        /// The proposal's id.
        proposal: ProposalId,
        /// The change.
        change: MembershipChange,
    },
    /// Answers [`ConsensusAction::TakeSnapshot`].
    SnapshotTaken {
        /// The last entry that the snapshot holds.
        index: LogIndex,
        /// The encoded state.
        payload: Vec<u8>,
    },
}

/// What to do, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusAction {
    /// Sends a message.
    Send {
        /// The receiver; see [`ReplicaId::any`].
        to: ReplicaId,
        /// The message.
        message: ConsensusMessage,
    },
    /// Writes and syncs, then reports [`ConsensusEvent::Persisted`]. Writes are carried out in ticket order.
    Persist {
        /// The write's ticket.
        ticket: WriteTicket,
        /// What to write.
        write: LogWrite,
    },
    /// Applies a committed entry; indexes are consecutive and each is handed over once.
    Apply {
        /// The entry.
        entry: LogEntry,
    },
    /// Replaces the whole state. Always the first action of a replica that recovered a snapshot.
    InstallSnapshot {
        /// The last entry that the snapshot holds.
        index: LogIndex,
        /// The encoded state.
        payload: Arc<Vec<u8>>,
    },
    /// Asks for the state just after the entry, which is the last that was handed over.
    TakeSnapshot {
        /// The entry.
        index: LogIndex,
    },
    /// A proposal has its place in the log and is not committed yet. It is committed if an entry with this index and
    /// this term is applied.
    Accepted {
        /// The proposal.
        proposal: ProposalId,
        /// Its place.
        index: LogIndex,
        /// Its term.
        term: LogTerm,
    },
    /// A proposal is over; see [`ProposalRefusal::is_outcome_unknown`].
    Refused {
        /// The proposal.
        proposal: ProposalId,
        /// Why.
        reason: ProposalRefusal,
        /// The leader to ask instead.
        leader: Option<ReplicaId>,
    },
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The role.
        role: ReplicaRole,
        /// The term.
        term: LogTerm,
        /// The leader.
        leader: Option<ReplicaId>,
    },
}

/// A change of the voters. A VM that is to become a voter must have announced itself and caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a VM.
    Add {
        /// The VM.
        vm: VmNumber,
    },
    /// Puts one VM in the place of another, or a new incarnation in the place of the old one.
    Replace {
        /// The VM that leaves.
        old: VmNumber,
        /// The VM that takes its place.
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
    /// This replica does not lead.
    NotLeader,
    /// The proposal had been accepted and the leadership was lost before it was committed: it may still be committed.
    LeadershipLost,
    /// Too many bytes wait to be committed.
    TooBusy,
    /// The payload exceeds the limit.
    TooLarge,
    /// The leader has not committed an entry of its own term yet.
    LeaderNotReady,
    /// The previous membership change is not committed yet.
    ChangePending,
    /// The VM has not announced itself as a learner.
    LearnerUnknown,
    /// The learner does not hold everything that is committed yet, or is silent.
    LearnerBehind,
    /// More than half of the voters after the change would be silent, so the change could not be committed.
    TooFewReachable,
    /// The VM to remove is not a member, the VM to add is one, or nobody would be left.
    InvalidChange,
}

impl ProposalRefusal {
    /// Tells whether the proposal may still be committed; otherwise it never is.
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
    /// Votes and follows a leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Keeps a disk, does not vote yet or any more.
    Learner,
    /// Keeps no disk and never votes.
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
