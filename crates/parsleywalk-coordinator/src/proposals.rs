//! Proposals of this leader that are not committed yet.

use std::collections::BTreeMap;
use std::collections::HashMap;

use parsleywalk_consensus::{LogIndex, LogTerm, ProposalId};

use crate::call_table::ReplyTo;

/// The kind of a proposal, which decides what follows once it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalKind {
    /// A command of the leader itself, to which no call waits for a reply.
    Own,
    /// A command whose call gets the state's reply.
    Command(ReplyTo),
    /// An operator's command, whose call gets the reply once the command is in force.
    Operation(ReplyTo),
    /// A membership change, whose call gets a reply once it is committed.
    Membership(ReplyTo),
}

impl ProposalKind {
    /// Returns the call that waits for a reply, if there is one.
    pub(crate) fn reply_to(self) -> Option<ReplyTo> {
        match self {
            Self::Own => None,
            Self::Command(reply_to) | Self::Operation(reply_to) | Self::Membership(reply_to) => Some(reply_to),
        }
    }
}

/// The open proposals by id and, once they are in the log, by index.
#[derive(Debug, Default)]
pub(crate) struct ProposalTable {
    // Hundreds of proposals are open at once under load, too many for a linear search.
    open: HashMap<ProposalId, ProposalKind>,
    by_index: BTreeMap<LogIndex, (LogTerm, ProposalId)>,
    last: u64,
}

impl ProposalTable {
    pub(crate) fn open(&mut self, kind: ProposalKind) -> ProposalId {
        self.last += 1;
        let proposal = ProposalId::new(self.last);
        self.open.insert(proposal, kind);
        proposal
    }

    /// Records the index and term at which a proposal was appended to the log.
    pub(crate) fn record_index(&mut self, proposal: ProposalId, index: LogIndex, term: LogTerm) {
        self.by_index.insert(index, (term, proposal));
    }

    /// Closes a refused proposal.
    pub(crate) fn refuse(&mut self, proposal: ProposalId) -> Option<ProposalKind> {
        self.by_index.retain(|_, (_, recorded)| *recorded != proposal);
        self.open.remove(&proposal)
    }

    /// Closes the proposal whose entry was applied.
    pub(crate) fn apply(&mut self, index: LogIndex, term: LogTerm) -> Option<ProposalKind> {
        let (expected_term, proposal) = self.by_index.remove(&index)?;
        // An entry of another term replaced the proposal, which the consensus node reports as lost.
        if expected_term != term {
            return None;
        }
        self.open.remove(&proposal)
    }

    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}
