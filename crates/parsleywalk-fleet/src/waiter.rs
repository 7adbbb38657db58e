//! Requests and reports that wait for a log entry.

use parsleywalk_batch::BatchCommand;
use parsleywalk_consensus::{LogIndex, LogTerm};
use parsleywalk_units::{MonotonicTime, WorkerId};
use tokio::sync::oneshot;

use crate::LeaderReply;

/// Sends the reply to a request. The receiver may be gone.
pub(crate) type ReplySender = oneshot::Sender<LeaderReply>;

/// A request, report or internal action that waits for its proposal to be committed.
#[derive(Debug)]
pub(crate) enum Waiter {
    /// A caller's or operator's request.
    Reply(ReplySender),
    /// A worker's report.
    Report(WaitingReport),
    /// A scheduling cycle.
    Plan,
    /// Periodic maintenance; nothing is answered.
    Maintenance,
}

/// A report that is answered once its commands are committed, and then once there are orders or `hold_until` has
/// passed.
#[derive(Debug)]
pub(crate) struct WaitingReport {
    pub(crate) worker: WorkerId,
    pub(crate) sequence: u64,
    pub(crate) hold_until: MonotonicTime,
    pub(crate) sender: ReplySender,
}

/// Commands queued for a proposal, with their waiter.
#[derive(Debug)]
pub(crate) struct QueuedCommands {
    pub(crate) commands: Vec<BatchCommand>,
    pub(crate) waiter: Waiter,
}

/// The waiters of a log entry, each with the number of its commands.
pub(crate) type EntryWaiters = Vec<(Waiter, usize)>;

/// A proposal that is in the log but not yet committed.
#[derive(Debug)]
pub(crate) struct AppendedProposal {
    pub(crate) index: LogIndex,
    pub(crate) term: LogTerm,
    pub(crate) waiters: EntryWaiters,
}
