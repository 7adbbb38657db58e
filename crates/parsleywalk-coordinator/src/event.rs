//! Inputs and outputs of a coordinator.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use parsleywalk_consensus::{LogIndex, LogTerm, LogWrite, ReplicaId, ReplicaRole, WriteTicket};
use parsleywalk_units::{ConfigurationVersion, VmNumber, WorkerId, ZoneName, number_type};

use crate::{CallFailure, CoordinatorMessage, LeaderCall, LeaderReply};

number_type! {
    /// Names a call within one daemon's process; later calls have larger tokens.
    CallToken(u64)
}

/// What a coordinator is told.
#[derive(Debug)]
pub enum CoordinatorEvent {
    /// A call from this daemon, to be answered by a leader wherever it is.
    Call {
        /// Its token, larger than that of any earlier call.
        call: CallToken,
        /// The call.
        body: LeaderCall,
        /// How long to try.
        timeout: Duration,
    },
    /// A message of another daemon.
    Receive {
        /// The sender's VM.
        from: VmNumber,
        /// The message.
        message: CoordinatorMessage,
    },
    /// A log write is synced.
    Persisted {
        /// The ticket of the write.
        ticket: WriteTicket,
    },
}

/// What a coordinator asks of its daemon.
#[derive(Debug)]
pub enum CoordinatorAction {
    /// Sends a message; it may be lost.
    Send {
        /// The receiver's VM.
        to: VmNumber,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Writes to the log on disk, in order, and reports each write once it is synced.
    Persist {
        /// Names the write.
        ticket: WriteTicket,
        /// The write.
        write: LogWrite,
    },
    /// A call has its result. Each call gets exactly one.
    Finish {
        /// The call.
        call: CallToken,
        /// The result.
        result: Result<LeaderReply, CallFailure>,
    },
    /// Another configuration is in force; the state holds it.
    Configure,
    /// Something worth a line in the log.
    Record(CoordinatorRecord),
    /// The log holds what can't be decoded. Going on would let this replica's state differ from the others'.
    Fail {
        /// What can't be decoded.
        reason: String,
    },
}

/// An event for the log, displayed as key=value pairs that are named as the fields.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are the keys of the log line")]
pub enum CoordinatorRecord {
    /// The replica's role, the term or the known leader changed.
    RoleChanged { role: ReplicaRole, term: LogTerm, leader: Option<ReplicaId> },
    /// This daemon leads and holds all that was committed before.
    LeaderReady { term: LogTerm, index: LogIndex },
    /// A snapshot was taken.
    SnapshotTaken { index: LogIndex, bytes: usize },
    /// A snapshot was installed.
    SnapshotInstalled { index: LogIndex, revision: u64 },
    /// A configuration is in force here.
    ConfigurationInForce { version: ConfigurationVersion },
    /// A zone went out of service or came back.
    ZoneChanged { zone: ZoneName, in_service: bool },
    /// The loss of a worker is committed.
    WorkerLost { worker: WorkerId },
    /// A command was applied.
    CommandApplied { refused: bool },
    /// A worker's report was answered.
    ReportAnswered,
}

impl Display for CoordinatorRecord {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::RoleChanged { role, term, leader } => {
                write!(formatter, "event=role_changed role={role} term={term} leader=")?;
                match leader {
                    Some(leader) => write!(formatter, "{leader}"),
                    None => formatter.write_str("none"),
                }
            }
            Self::LeaderReady { term, index } => write!(formatter, "event=leader_ready term={term} index={index}"),
            Self::SnapshotTaken { index, bytes } => {
                write!(formatter, "event=snapshot_taken index={index} bytes={bytes}")
            }
            Self::SnapshotInstalled { index, revision } => {
                write!(formatter, "event=snapshot_installed index={index} revision={revision}")
            }
            Self::ConfigurationInForce { version } => {
                write!(formatter, "event=configuration_in_force version={version}")
            }
            Self::ZoneChanged { zone, in_service } => {
                write!(formatter, "event=zone_changed zone={zone} in_service={in_service}")
            }
            Self::WorkerLost { worker } => write!(formatter, "event=worker_lost worker={worker}"),
            Self::CommandApplied { refused } => write!(formatter, "event=command_applied refused={refused}"),
            Self::ReportAnswered => formatter.write_str("event=report_answered"),
        }
    }
}
