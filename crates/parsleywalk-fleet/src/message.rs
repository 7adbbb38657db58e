//! What daemons say to each other.

use std::time::Duration;

use parsleywalk_batch::{JobSpec, JobStatus, QueueConfiguration, ReportResponse, WorkerReport};
use parsleywalk_consensus::{ConsensusMessage, LogTerm, ReplicaId};
use parsleywalk_units::{ConfigurationVersion, Incarnation, VmNumber, WorkerId, ZoneDirection, ZoneName};
use serde::{Deserialize, Serialize};

/// A message of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogMessage {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver, which may be any incarnation on its VM.
    pub to: ReplicaId,
    /// The message.
    pub message: ConsensusMessage,
}

/// What a caller wants of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueueAction {
    /// Store a job.
    Submit(Box<JobSpec>),
    /// Tell a job's status, or the number of waiting jobs where the path names no job.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A call that the leader answers. Every one may be repeated without harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Asks any replica who leads and who the members are.
    Locate,
    /// A caller's request.
    Queue {
        /// The host that the caller addressed, in lower case.
        host: String,
        /// The path.
        path: String,
        /// What the caller wants.
        action: QueueAction,
    },
    /// A worker's report.
    Report(Box<WorkerReport>),
    /// A worker is about to exit.
    Leave {
        /// The worker.
        worker: WorkerId,
        /// Its life, where it said which.
        incarnation: Option<Incarnation>,
    },
    /// An operator's configuration.
    Configure(Box<QueueConfiguration>),
    /// Asks for the newest configuration.
    ReadConfiguration,
    /// Takes a zone out of service or back in.
    SetZone {
        /// The zone.
        zone: ZoneName,
        /// Out or in.
        direction: ZoneDirection,
    },
}

/// The answer to a [`LeaderRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// This replica does not lead; nothing was done.
    NotLeader {
        /// Who does, as far as it knows.
        leader: Option<VmNumber>,
    },
    /// Who leads and who the members are.
    Located {
        /// The leader that the replica knows.
        leader: Option<VmNumber>,
        /// The newest term that it has seen.
        term: LogTerm,
        /// The VMs of the voters that it knows.
        members: Vec<VmNumber>,
    },
    /// The leadership was lost before the commit: the request may have taken effect.
    Uncertain,
    /// Done, by this or an earlier copy of the request.
    Done,
    /// The job's status.
    Status(JobStatus),
    /// The number of the queue's jobs of which no task has started.
    Waiting(u64),
    /// No queue has this host and prefix.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// Operators have sent no configuration yet.
    NoConfiguration,
    /// The request is malformed.
    Invalid(String),
    /// The job was not accepted and never runs.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: String,
    },
    /// The answer to a worker.
    Report(Box<ReportResponse>),
    /// The newest configuration's text.
    Configuration {
        /// Its version.
        version: ConfigurationVersion,
        /// The text as the operator sent it.
        text: String,
    },
}
