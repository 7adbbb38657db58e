//! Who waits for what is on its way through the log.

use parsleywalk_batch::BatchCommand;
use parsleywalk_consensus::{LogIndex, LogTerm};
use parsleywalk_units::{MonotonicTime, WorkerId};
use tokio::sync::oneshot;

use crate::LeaderReply;

/// Where an answer goes. The caller may be gone.
pub(crate) type ReplySender = oneshot::Sender<LeaderReply>;

/// What waits for a proposal.
#[derive(Debug)]
pub(crate) enum Waiter {
    /// A caller or operator.
    Reply(ReplySender),
    /// A worker's report.
    Report(WaitingReport),
    /// A round of placement.
    Plan,
    /// Nobody.
    Maintenance,
}

/// A report that is answered once its commands are committed, or once there is work or the time is over.
#[derive(Debug)]
pub(crate) struct WaitingReport {
    pub(crate) worker: WorkerId,
    pub(crate) sequence: u64,
    pub(crate) hold_until: MonotonicTime,
    pub(crate) reply: ReplySender,
}

/// Commands that wait for their turn, with who waits for them.
#[derive(Debug)]
pub(crate) struct QueuedCommands {
    pub(crate) commands: Vec<BatchCommand>,
    pub(crate) waiter: Waiter,
}

/// Who waits for a log entry, each with the number of its commands.
pub(crate) type EntryWaiters = Vec<(Waiter, usize)>;

/// A proposal that is in the log.
#[derive(Debug)]
pub(crate) struct AppendedProposal {
    pub(crate) index: LogIndex,
    pub(crate) term: LogTerm,
    pub(crate) waiters: EntryWaiters,
}
