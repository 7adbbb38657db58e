//! Requests and reports that wait for a log entry.

use std::cell::RefCell;
use std::rc::Rc;

use parsleywalk_batch::{BatchCommand, JobId};
use parsleywalk_consensus::{LogIndex, LogTerm};
use parsleywalk_units::{ConfigurationVersion, MonotonicTime, WorkerId, WorkspaceName};
use tokio::sync::oneshot;

use crate::LeaderReply;
use crate::message::RelayedResponse;

/// The responses that a follower has not fetched yet.
pub(crate) type RelayOutbox = Rc<RefCell<Vec<RelayedResponse>>>;

/// The receiver of the reply to a request.
#[derive(Debug)]
pub(crate) enum ReplySender {
    /// A task that waits for the reply.
    Task(oneshot::Sender<LeaderReply>),
    /// A follower that has relayed a worker's report.
    Relay { outbox: RelayOutbox, worker: WorkerId, sequence: u64 },
}

impl ReplySender {
    /// Sends the reply. The receiver may be gone.
    pub(crate) fn send(self, reply: LeaderReply) {
        match self {
            Self::Task(sender) => drop(sender.send(reply)),
            Self::Relay { outbox, worker, sequence } => {
                // Any other reply means that this replica has stopped leading. The follower sends the report to the
                // next leader then.
                if let LeaderReply::Report(response) = reply {
                    outbox.borrow_mut().push(RelayedResponse { worker, sequence, response: *response });
                }
            }
        }
    }
}

/// A caller's request whose commands change a job.
#[derive(Debug)]
pub(crate) struct JobRequest {
    pub(crate) job: JobId,
    /// The workspace for which the commands store the job, if any.
    pub(crate) owner: Option<WorkspaceName>,
    pub(crate) sender: ReplySender,
}

/// A request, report or internal action that waits for its proposal to be committed.
#[derive(Debug)]
pub(crate) enum Waiter {
    /// A caller's or operator's request.
    Reply(ReplySender),
    /// An operator's configuration, with its version.
    Configure(ReplySender, ConfigurationVersion),
    /// A caller's submission of a job.
    Submit(JobRequest),
    /// A caller's cancel of a job.
    Cancel(JobRequest),
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
