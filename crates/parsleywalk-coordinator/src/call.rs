//! Calls to the leader and its replies.

#![allow(missing_docs, reason = "quick_error does not accept doc comments on fields")]

use std::net::SocketAddr;

use parsleywalk_api::ReplicaChange;
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_units::{JobKey, VmNumber};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::CompactReport;

/// A call to the leader. All calls are idempotent, so they can be resent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Commits a command, whose time the leader sets.
    Command(Box<ControlCommand>),
    /// Commits an operator's command and waits until it is in force at all responsive daemons.
    Operation(Box<ControlCommand>),
    /// Handles a worker's report. `entries` are the addresses of the entry daemons in the worker's zone.
    Report { report: Box<CompactReport>, entries: Vec<SocketAddr> },
    /// Queries a job's status.
    JobStatus(JobKey),
    /// Queries a job's results.
    JobResult(JobKey),
    /// Queries why the tasks of a job are in their phases.
    Explain(JobKey),
    /// Changes the set of replicas.
    ChangeReplicas(ReplicaChange),
}

/// The leader's reply to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The command was committed and applied, with this reply.
    Applied(ControlReply),
    /// An operator's command was committed and applied, with `reply`. It is in force at the daemons `in_force`; those
    /// in `not_heard` have not confirmed it.
    Operation { reply: ControlReply, in_force: Vec<VmNumber>, not_heard: Vec<VmNumber> },
    /// A JSON body to return to the client or worker.
    Json(Vec<u8>),
    /// The job is unknown.
    NotFound,
    /// The job has not ended.
    NotEnded,
    /// The call succeeded and has no result.
    Done,
    /// The call was refused and had no effect.
    Refused(String),
    /// The daemon is not the leader or is not ready to act as one.
    NotLeader,
    /// It is unknown whether the command is or will be committed.
    Lost,
}

quick_error! {
    /// The reason for which a call got no reply from a leader.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallFailure {
        /// The call was not sent to a leader and has no effect.
        NotSent(reason: String) {
            display("{}", reason)
        }
        /// The call was sent to a leader and may have taken effect.
        Unknown(reason: String) {
            display("{}", reason)
        }
    }
}
