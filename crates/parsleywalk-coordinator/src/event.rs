//! Inputs and outputs of a coordinator.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use parsleywalk_consensus::{LogIndex, LogTerm, LogWrite, ReplicaId, ReplicaRole, WriteTicket};
use parsleywalk_units::{ConfigurationVersion, VmNumber, WorkerId, ZoneName, number_type};

use crate::{CallFailure, CoordinatorMessage, LeaderCall, LeaderReply};

number_type! {
    /// Identifies a call within one daemon's process. Later calls have larger tokens.
    CallToken(u64)
}

/// An input of a coordinator.
#[derive(Debug)]
pub enum CoordinatorEvent {
    /// This daemon makes a call to the leader, whichever daemon that is.
    Call {
        /// The token of the call, larger than that of any earlier one.
        call: CallToken,
        /// The call to make.
        body: LeaderCall,
        /// The time after which the call fails.
        timeout: Duration,
    },
    /// A message from another daemon arrived.
    Receive {
        /// The VM of the sender.
        from: VmNumber,
        /// The message to handle.
        message: CoordinatorMessage,
    },
    /// A log write was synced to disk.
    Persisted {
        /// The ticket of the write.
        ticket: WriteTicket,
    },
}

/// An output of a coordinator, which its daemon executes.
#[derive(Debug)]
pub enum CoordinatorAction {
    /// Sends a message, which may be lost.
    Send {
        /// The VM of the receiver.
        to: VmNumber,
        /// The message to send.
        message: CoordinatorMessage,
    },
    /// Writes to the log on disk, in order, and returns [`CoordinatorEvent::Persisted`] once the write is synced.
    Persist {
        /// Identifies the write.
        ticket: WriteTicket,
        /// The records to write.
        write: LogWrite,
    },
    /// Completes a call. Each call is completed exactly once.
    Finish {
        /// The token of the call.
        call: CallToken,
        /// The leader's reply or the reason why there is none.
        result: Result<LeaderReply, CallFailure>,
    },
    /// Puts the state's new configuration in force in the daemon.
    Configure,
    /// Writes an event to the daemon's text log.
    Record(CoordinatorRecord),
    /// Stops the daemon, because a command or snapshot cannot be decoded. Continuing would let this replica's state
    /// diverge from the others'.
    Fail {
        /// Names the command or snapshot that cannot be decoded, and the cause.
        reason: String,
    },
}

/// An event for the daemon's text log, displayed as key=value pairs named after the fields.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are the keys of the log line")]
pub enum CoordinatorRecord {
    /// The replica's role, the term or the known leader changed.
    RoleChanged { role: ReplicaRole, term: LogTerm, leader: Option<ReplicaId> },
    /// This daemon is the leader and has applied everything that was committed before its term.
    LeaderReady { term: LogTerm, index: LogIndex },
    /// A snapshot was taken.
    SnapshotTaken { index: LogIndex, bytes: usize },
    /// A snapshot was installed.
    SnapshotInstalled { index: LogIndex, revision: u64 },
    /// A configuration is in force in this daemon.
    ConfigurationInForce { version: ConfigurationVersion },
    /// A zone was taken out of service or put back in service.
    ZoneChanged { zone: ZoneName, in_service: bool },
    /// The loss of a worker was committed.
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
