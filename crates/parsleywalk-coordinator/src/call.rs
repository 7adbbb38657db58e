//! Calls that only the leader can answer.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use std::net::SocketAddr;

use parsleywalk_api::ReplicaChange;
use parsleywalk_control::{ControlCommand, ControlReply};
use parsleywalk_units::{JobKey, VmNumber};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::CompactReport;

/// A call to the leader. Every one may be sent again without harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Commits a command; the leader sets its time.
    Command(Box<ControlCommand>),
    /// Commits an operator's command and waits until it is in force.
    Operation(Box<ControlCommand>),
    /// Handles a worker's report. `entries` are the caller edges of the worker's zone.
    Report { report: Box<CompactReport>, entries: Vec<SocketAddr> },
    /// Asks for a job's status.
    JobStatus(JobKey),
    /// Asks for a job's results.
    JobResult(JobKey),
    /// Asks why a job stands where it does.
    Explain(JobKey),
    /// Changes the set of replicas.
    ChangeReplicas(ReplicaChange),
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// What the state answered to a committed command.
    Applied(ControlReply),
    /// An operator's command is committed, and in force at the daemons named.
    Operation { reply: ControlReply, in_force: Vec<VmNumber>, not_heard: Vec<VmNumber> },
    /// A JSON body to pass on.
    Json(Vec<u8>),
    /// There is no such thing.
    NotFound,
    /// The job has not ended.
    NotEnded,
    /// Done, with nothing more to say.
    Done,
    /// Refused without any effect.
    Refused(String),
    /// The daemon is not the leader, or not ready to act as one.
    NotLeader,
    /// The command may or may not be committed.
    Lost,
}

quick_error! {
    /// Why a call has no answer from a leader.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallFailure {
        /// Nothing was proposed and nothing will be.
        NotSent(reason: String) {
            display("{}", reason)
        }
        /// The call may have taken effect.
        Unknown(reason: String) {
            display("{}", reason)
        }
    }
}
