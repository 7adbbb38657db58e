//! Events of the control thread.

use std::fmt::{self, Debug, Formatter};
use std::time::Duration;

use parsleywalk_consensus::WriteTicket;
use parsleywalk_coordinator::{CallFailure, CoordinatorMessage, LeaderCall, LeaderReply};
use parsleywalk_units::VmNumber;

use super::thread::ControlThread;

/// Called exactly once, with the result of a call.
pub(crate) type ReplyCallback = Box<dyn FnOnce(Result<LeaderReply, CallFailure>) + Send>;

/// Runs on the control thread and reads its state.
pub(crate) type LocalQuery = Box<dyn FnOnce(&ControlThread) + Send>;

/// An event for the control thread.
pub(crate) enum ControlEvent {
    /// This daemon makes a call to the leader.
    Call { call: LeaderCall, timeout: Duration, callback: ReplyCallback },
    /// A message arrived from another daemon's coordinator.
    Peer { from: VmNumber, message: CoordinatorMessage },
    /// Log writes were synced.
    Persisted(Vec<WriteTicket>),
    /// Another thread reads this daemon's state.
    Query(LocalQuery),
    /// The daemon is shutting down.
    Stop,
}

impl Debug for ControlEvent {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Call { .. } => "Call",
            Self::Peer { .. } => "Peer",
            Self::Persisted(_) => "Persisted",
            Self::Query(_) => "Query",
            Self::Stop => "Stop",
        })
    }
}
