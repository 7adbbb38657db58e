//! Proposals of this leader that are not decided yet.

use std::collections::BTreeMap;
use std::collections::HashMap;

use parsleywalk_consensus::{LogIndex, LogTerm, ProposalId};

use crate::call_table::ReplyTo;

/// What follows once a proposal is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalKind {
    /// The leader's own command; nobody waits.
    Own,
    /// A call waits for the state's answer.
    Command(ReplyTo),
    /// An operator's call waits until the command is in force.
    Operation(ReplyTo),
    /// A call waits for a membership change.
    Membership(ReplyTo),
}

impl ProposalKind {
    /// Whoever waits.
    pub(crate) fn reply_to(self) -> Option<ReplyTo> {
        match self {
            Self::Own => None,
            Self::Command(reply_to) | Self::Operation(reply_to) | Self::Membership(reply_to) => Some(reply_to),
        }
    }
}

/// The open proposals, by id and, once they are in the log, by index.
#[derive(Debug, Default)]
pub(crate) struct ProposalTable {
    // Maps, since hundreds of proposals are open at once under load.
    open: HashMap<ProposalId, ProposalKind>,
    placed: BTreeMap<LogIndex, (LogTerm, ProposalId)>,
    last: u64,
}

impl ProposalTable {
    pub(crate) fn open(&mut self, kind: ProposalKind) -> ProposalId {
        self.last += 1;
        let proposal = ProposalId::new(self.last);
        self.open.insert(proposal, kind);
        proposal
    }

    /// Notes where the log placed a proposal.
    pub(crate) fn place(&mut self, proposal: ProposalId, index: LogIndex, term: LogTerm) {
        self.placed.insert(index, (term, proposal));
    }

    /// Closes a proposal that was refused.
    pub(crate) fn refuse(&mut self, proposal: ProposalId) -> Option<ProposalKind> {
        self.placed.retain(|_, (_, placed)| *placed != proposal);
        self.open.remove(&proposal)
    }

    /// Closes the proposal whose entry is applied now.
    pub(crate) fn apply(&mut self, index: LogIndex, term: LogTerm) -> Option<ProposalKind> {
        let (placed_term, proposal) = self.placed.remove(&index)?;
        // Another term's entry took the place; the log reports the proposal as lost.
        if placed_term != term {
            return None;
        }
        self.open.remove(&proposal)
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}
