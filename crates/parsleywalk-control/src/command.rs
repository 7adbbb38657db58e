//! Commands of the replicated log.

use parsleywalk_catalog::Catalog;
use parsleywalk_units::{
    AttemptNumber, ClaimId, ClaimOutcome, Incarnation, JobKey, OperationId, RackName, RequestKey, ResourceSize,
    ServiceName, StateTime, TaskId, TimeSpan, VmNumber, WorkerId, ZoneDirection, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::{AttemptChange, ControlError, WorkerNumber};

/// A change of the control state; `at` is the proposer's state time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Puts a configuration in force.
    ApplyConfiguration {
        /// When it was proposed.
        at: StateTime,
        /// The operator's operation.
        operation: OperationId,
        /// The parsed text, with the version.
        catalog: Catalog,
        /// The operators' text.
        text: String,
    },
    /// Takes an availability zone out of service or back in.
    SetZone {
        /// When it was proposed.
        at: StateTime,
        /// The operator's operation.
        operation: OperationId,
        /// The zone.
        zone: ZoneName,
        /// Which way.
        direction: ZoneDirection,
    },
    /// Makes a worker available, or replaces its older incarnation.
    RegisterWorker {
        /// When it was proposed.
        at: StateTime,
        /// The worker.
        worker: WorkerId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// All that it has.
        capacity: ResourceSize,
    },
    /// Releases all that a worker holds; the leader has proved that its leases have ended.
    LoseWorker {
        /// When it was proposed.
        at: StateTime,
        /// The worker.
        worker: WorkerId,
        /// The incarnation whose leases have ended.
        incarnation: Incarnation,
    },
    /// Submits a job.
    SubmitJob {
        /// When it was proposed.
        at: StateTime,
        /// The job's key.
        key: JobKey,
        /// The job.
        job: JobSpec,
    },
    /// Cancels every task of a job.
    CancelJob {
        /// When it was proposed.
        at: StateTime,
        /// The job's key.
        key: JobKey,
    },
    /// Places a queued task on a worker.
    StartTask {
        /// When it was proposed.
        at: StateTime,
        /// The task.
        task: TaskId,
        /// The attempt, one above the last.
        attempt: AttemptNumber,
        /// The registration of the worker.
        worker: WorkerNumber,
        /// What is committed, at least the declared size.
        size: ResourceSize,
    },
    /// Records the durable changes of a worker's report.
    RecordReport {
        /// When it was proposed.
        at: StateTime,
        /// The registration of the worker.
        worker: WorkerNumber,
        /// The report's sequence number; a report older than one already recorded is refused.
        sequence: u64,
        /// What changed.
        changes: Vec<AttemptChange>,
    },
    /// Orders an attempt to checkpoint and stop, and to resume later.
    EvictTask {
        /// When it was proposed.
        at: StateTime,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: EvictionReason,
    },
    /// Creates a new instance; the old one stops once the new one runs.
    ReplaceInstance {
        /// When it was proposed.
        at: StateTime,
        /// The instance to replace.
        task: TaskId,
    },
    /// Ends a queued batch task as failed.
    FailTask {
        /// When it was proposed.
        at: StateTime,
        /// The task.
        task: TaskId,
        /// Why.
        reason: String,
    },
    /// Claims a request key for an entry.
    Claim {
        /// When it was proposed.
        at: StateTime,
        /// The key.
        key: RequestKey,
        /// The entry that claims.
        entry: VmNumber,
        /// The entry's claim.
        claim: ClaimId,
        /// The time left until the request's deadline.
        deadline: TimeSpan,
    },
    /// Records how a claimed request ended.
    SettleClaim {
        /// When it was proposed.
        at: StateTime,
        /// The key.
        key: RequestKey,
        /// The entry's claim.
        claim: ClaimId,
        /// How it ended.
        outcome: ClaimOutcome,
    },
}

/// What a job consists of: equal tasks of one batch service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The batch service.
    pub service: ServiceName,
    /// The number of tasks, 1 to 10,000.
    pub count: u32,
    /// The size of each task, where it differs from the service's.
    pub size: Option<ResourceSize>,
    /// Whether it starts ahead of other batch work.
    pub urgent: bool,
    /// Handed to the worker with each start; at most 4 KiB.
    pub arguments: String,
}

/// Why an attempt is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionReason {
    /// Urgent work needs the place.
    Urgent,
    /// It slows a neighbour.
    Interference,
    /// Its zone is out of service.
    ZoneOut,
    /// Its worker fails what it starts.
    Quarantine,
    /// It is better placed elsewhere.
    Rebalance,
}

impl ControlCommand {
    /// Returns when the command was proposed.
    #[must_use]
    pub const fn at(&self) -> StateTime {
        match self {
            Self::ApplyConfiguration { at, .. }
            | Self::SetZone { at, .. }
            | Self::RegisterWorker { at, .. }
            | Self::LoseWorker { at, .. }
            | Self::SubmitJob { at, .. }
            | Self::CancelJob { at, .. }
            | Self::StartTask { at, .. }
            | Self::RecordReport { at, .. }
            | Self::EvictTask { at, .. }
            | Self::ReplaceInstance { at, .. }
            | Self::FailTask { at, .. }
            | Self::Claim { at, .. }
            | Self::SettleClaim { at, .. } => *at,
        }
    }

    /// Sets when the command was proposed; the leader does so for commands that arrive from elsewhere.
    pub const fn set_at(&mut self, time: StateTime) {
        match self {
            Self::ApplyConfiguration { at, .. }
            | Self::SetZone { at, .. }
            | Self::RegisterWorker { at, .. }
            | Self::LoseWorker { at, .. }
            | Self::SubmitJob { at, .. }
            | Self::CancelJob { at, .. }
            | Self::StartTask { at, .. }
            | Self::RecordReport { at, .. }
            | Self::EvictTask { at, .. }
            | Self::ReplaceInstance { at, .. }
            | Self::FailTask { at, .. }
            | Self::Claim { at, .. }
            | Self::SettleClaim { at, .. } => *at = time,
        }
    }

    /// Encodes the command for the log.
    ///
    /// # Panics
    ///
    /// Never: no type of a command refuses to be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).expect("every command can be encoded")
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not exactly one command.
    pub fn decode(bytes: &[u8]) -> Result<Self, ControlError> {
        let (command, length) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
            .map_err(|cause| ControlError::Decode { what: "command", cause: Box::new(cause) })?;
        if length == bytes.len() {
            Ok(command)
        } else {
            Err(ControlError::TrailingBytes { what: "command", length: bytes.len() - length })
        }
    }
}
