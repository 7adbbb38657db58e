//! Messages between daemons.

use std::fmt::{self, Debug, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use parsleywalk_batch::{
    ApiKey, JobSpec, JobStatus, QueueConfiguration, ReportResponse, WorkerReport, WorkspaceConfiguration,
};
use parsleywalk_consensus::{ConsensusMessage, LogTerm, ReplicaId};
use parsleywalk_peer::DaemonRelease;
use parsleywalk_units::{ConfigurationVersion, Incarnation, VmNumber, WorkerId, ZoneDirection, ZoneName};
use serde::{Deserialize, Serialize};

/// A message of the consensus protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogMessage {
    /// The sending replica.
    pub from: ReplicaId,
    /// The receiving replica, which may be any incarnation on its VM.
    pub to: ReplicaId,
    /// The consensus message.
    pub message: ConsensusMessage,
}

/// The action of a caller's request to a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QueueAction {
    /// Stores a job.
    Submit(Box<JobSpec>),
    /// Reads a job's status, or the number of waiting jobs if the path names no job.
    Read,
    /// Cancels a job.
    Cancel,
}

/// A request to the leader. All requests are idempotent. A call carries the time in which it may take effect, since a
/// copy can arrive long after its caller has moved on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Asks any replica for the leader and the members.
    Locate,
    /// A caller's request to a queue.
    Queue {
        /// The host that the caller addressed, in lower case.
        host: String,
        /// The path of the caller's request.
        path: String,
        /// The requested action.
        action: QueueAction,
    },
    /// A worker's report.
    Report(Box<WorkerReport>),
    /// Announces that a worker is about to exit.
    Leave {
        /// The worker that exits.
        worker: WorkerId,
        /// The worker's incarnation, if it was given.
        incarnation: Option<Incarnation>,
    },
    /// Activates an operator's configuration.
    Configure(Box<QueueConfiguration>),
    /// Reads the active configuration.
    ReadConfiguration,
    /// Takes a zone out of service or returns it to service.
    SetZone {
        /// The zone to change.
        zone: ZoneName,
        /// Whether the zone goes out of or back into service.
        direction: ZoneDirection,
    },
    /// Reports that a follower has gathered from workers. The reply carries the responses that have become ready for
    /// the calling daemon since its last such request.
    Relay {
        /// The reports, at most one for each worker.
        reports: Vec<Arc<WorkerReport>>,
    },
    /// A caller's request to a queue, with a key. Leaders of release 1 cannot decode it.
    KeyedQueue {
        /// The host that the caller addressed, in lower case.
        host: String,
        /// The path of the caller's request.
        path: String,
        /// The requested action.
        action: QueueAction,
        /// The key that the caller sent.
        key: ApiKey,
    },
    /// Activates an operator's configuration that has workspaces. Leaders of release 1 cannot decode it.
    ConfigureWorkspaces {
        /// The configuration.
        configuration: Box<QueueConfiguration>,
        /// The workspaces, with the version of the configuration.
        workspaces: Box<WorkspaceConfiguration>,
    },
}

impl QueueAction {
    /// Returns the action's name in the log.
    const fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Read => "read",
            Self::Cancel => "cancel",
        }
    }
}

impl LeaderRequest {
    /// Returns the first release that can decode the request.
    pub(crate) const fn release(&self) -> DaemonRelease {
        match self {
            Self::KeyedQueue { .. } | Self::ConfigureWorkspaces { .. } => DaemonRelease::WORKSPACES,
            Self::Locate
            | Self::Queue { .. }
            | Self::Report(_)
            | Self::Leave { .. }
            | Self::Configure(_)
            | Self::ReadConfiguration
            | Self::SetZone { .. }
            | Self::Relay { .. } => DaemonRelease::FIRST,
        }
    }

    /// Returns the request without its key, or `None` if it has none. A leader of release 1 can decode it, and answers it
    /// as a leader of this release would: its deployment has no workspaces, so that keys are ignored.
    pub(crate) fn without_key(&self) -> Option<Self> {
        let Self::KeyedQueue { host, path, action, .. } = self else { return None };
        Some(Self::Queue { host: host.clone(), path: path.clone(), action: action.clone() })
    }
}

impl LeaderRequest {
    /// Returns true if the request has its effect however late it is handled. Reports have sequence numbers, and an
    /// announcement with an incarnation cannot be taken for one of the worker's next life.
    pub(crate) const fn outlives_window(&self) -> bool {
        matches!(self, Self::Report(_) | Self::Leave { incarnation: Some(_), .. })
    }
}

impl Display for LeaderRequest {
    /// Writes what the request is about, for the log.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locate => write!(formatter, "locate"),
            Self::Queue { path, action, .. } | Self::KeyedQueue { path, action, .. } => {
                write!(formatter, "{} path={path:?}", action.name())
            }
            Self::Report(report) => write!(formatter, "report worker={}", report.worker),
            Self::Leave { worker, .. } => write!(formatter, "leave worker={worker}"),
            Self::Configure(configuration) | Self::ConfigureWorkspaces { configuration, .. } => {
                write!(formatter, "configure version={}", configuration.version)
            }
            Self::ReadConfiguration => write!(formatter, "read_configuration"),
            Self::SetZone { zone, direction } => write!(formatter, "set_zone zone={zone} direction={direction}"),
            Self::Relay { reports } => write!(formatter, "relay reports={}", reports.len()),
        }
    }
}

/// The leader's response to a report that a follower has relayed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedResponse {
    /// The worker that sent the report.
    pub worker: WorkerId,
    /// The report's sequence number.
    pub sequence: u64,
    /// The response.
    pub response: ReportResponse,
}

/// The reply to a [`LeaderRequest`]. `Debug` hides the text of a configuration, which holds the keys of workspaces.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The replica does not lead, and the request had no effect.
    NotLeader {
        /// The leader known to the replica.
        leader: Option<VmNumber>,
    },
    /// The leader and the members known to the replica.
    Located {
        /// The leader, if one is known.
        leader: Option<VmNumber>,
        /// The newest term that the replica has seen.
        term: LogTerm,
        /// The VMs of the voters.
        members: Vec<VmNumber>,
    },
    /// The replica lost its leadership before the commit, so the request may have taken effect.
    Uncertain,
    /// The request has taken effect, now or when an earlier copy of it was applied.
    Done,
    /// The status of the job.
    Status(JobStatus),
    /// The number of the queue's jobs of which no task has started.
    Waiting(u64),
    /// No queue matches the host and the path.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// No configuration is active yet.
    NoConfiguration,
    /// The request is invalid, with the reason.
    Invalid(String),
    /// The job was refused and will never run.
    Refused {
        /// The time after which the caller should retry.
        retry_after: Duration,
        /// The reason for the refusal.
        reason: String,
    },
    /// The response to a worker report.
    Report(Box<ReportResponse>),
    /// The active configuration.
    Configuration {
        /// The version of the configuration.
        version: ConfigurationVersion,
        /// The text as sent by the operator.
        text: String,
    },
    /// Responses to relayed reports.
    Relayed {
        /// The responses that have become ready.
        responses: Vec<RelayedResponse>,
        /// Whether the workers of the calling daemon's zone are to report to it and not to the leader.
        is_gathering: bool,
    },
    /// The request had no effect, because its caller no longer waits or a later order has overtaken it.
    Overtaken,
    /// The queue is not public, and the request has no key or an unknown one.
    Unauthorized,
    /// The job belongs to another workspace than the key, or the request has no key.
    Forbidden,
    /// The request had no effect, because not every daemon that takes part in it is known to support it. It can be
    /// repeated.
    NotReady,
}

impl Debug for LeaderReply {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader } => formatter.debug_struct("NotLeader").field("leader", leader).finish(),
            Self::Located { leader, term, members } => {
                let mut debug = formatter.debug_struct("Located");
                debug.field("leader", leader).field("term", term).field("members", members).finish()
            }
            Self::Uncertain => formatter.write_str("Uncertain"),
            Self::Done => formatter.write_str("Done"),
            Self::Status(status) => formatter.debug_tuple("Status").field(status).finish(),
            Self::Waiting(waiting) => formatter.debug_tuple("Waiting").field(waiting).finish(),
            Self::NoQueue => formatter.write_str("NoQueue"),
            Self::NoJob => formatter.write_str("NoJob"),
            Self::NoConfiguration => formatter.write_str("NoConfiguration"),
            Self::Invalid(reason) => formatter.debug_tuple("Invalid").field(reason).finish(),
            Self::Refused { retry_after, reason } => {
                let mut debug = formatter.debug_struct("Refused");
                debug.field("retry_after", retry_after).field("reason", reason).finish()
            }
            Self::Report(response) => formatter.debug_tuple("Report").field(response).finish(),
            Self::Configuration { version, text } => {
                let mut debug = formatter.debug_struct("Configuration");
                debug.field("version", version).field("text_bytes", &text.len()).finish()
            }
            Self::Relayed { responses, is_gathering } => {
                let mut debug = formatter.debug_struct("Relayed");
                debug.field("responses", responses).field("is_gathering", is_gathering).finish()
            }
            Self::Overtaken => formatter.write_str("Overtaken"),
            Self::Unauthorized => formatter.write_str("Unauthorized"),
            Self::Forbidden => formatter.write_str("Forbidden"),
            Self::NotReady => formatter.write_str("NotReady"),
        }
    }
}
