//! What the control thread is told.

use std::fmt::{self, Debug, Formatter};
use std::time::Duration;

use parsleywalk_consensus::WriteTicket;
use parsleywalk_coordinator::{CallFailure, CoordinatorMessage, LeaderCall, LeaderReply};
use parsleywalk_units::VmNumber;

use super::thread::ControlThread;

/// Called exactly once with the result of a call.
pub(crate) type CallDone = Box<dyn FnOnce(Result<LeaderReply, CallFailure>) + Send>;

/// Runs on the control thread with a view of its state.
pub(crate) type LocalQuery = Box<dyn FnOnce(&ControlThread) + Send>;

/// What the control thread is told.
pub(crate) enum ControlEvent {
    /// A call to the leader from this daemon.
    Call { call: LeaderCall, timeout: Duration, done: CallDone },
    /// A message of another daemon's coordinator.
    Peer { from: VmNumber, message: CoordinatorMessage },
    /// Log writes are synced.
    Persisted(Vec<WriteTicket>),
    /// A question to this daemon's own state.
    Query(LocalQuery),
    /// The daemon stops.
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
