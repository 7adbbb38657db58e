//! Commands of the replicated log.

use parsleywalk_catalog::Catalog;
use parsleywalk_units::{
    AttemptNumber, ClaimId, ClaimOutcome, Incarnation, JobKey, OperationId, RackName, RequestKey, ResourceSize,
    ServiceName, StateTime, TaskId, TimeSpan, VmNumber, WorkerId, ZoneDirection, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::snapshot::DECODE_LIMIT_BYTES;
use crate::{AttemptChange, ControlError, WorkerNumber};

/// A command that changes the control state.
///
/// `at` is the proposer's state time. The state's clock never runs backwards, so an earlier time does not change it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Puts a configuration in force.
    ApplyConfiguration {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The id of the operator's operation; a resend under the same id gets the stored answer.
        operation: OperationId,
        /// The configuration parsed from `text`, including its version.
        catalog: Catalog,
        /// The configuration as the operator wrote it.
        text: String,
    },
    /// Takes an availability zone out of service or puts it back in service.
    SetZone {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The id of the operator's operation; a resend under the same id gets the stored answer.
        operation: OperationId,
        /// The zone to change.
        zone: ZoneName,
        /// Whether the zone is taken out of service or put back in.
        direction: ZoneDirection,
    },
    /// Registers a worker, and ends the registration of its older incarnation.
    RegisterWorker {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The id of the worker.
        worker: WorkerId,
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// The worker's zone.
        zone: ZoneName,
        /// The worker's rack.
        rack: RackName,
        /// The worker's total resources.
        capacity: ResourceSize,
    },
    /// Ends a worker's registration and all attempts on it, after the leader has found that its leases have expired.
    LoseWorker {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The id of the worker.
        worker: WorkerId,
        /// The incarnation whose leases have expired.
        incarnation: Incarnation,
    },
    /// Submits a job.
    SubmitJob {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The job's key, which identifies resubmissions.
        key: JobKey,
        /// The tasks to run.
        job: JobSpec,
    },
    /// Cancels every task of a job.
    CancelJob {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The key of the job, which may arrive later.
        key: JobKey,
    },
    /// Places a queued task on a worker.
    StartTask {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The task to change.
        task: TaskId,
        /// The number of the new attempt, one above the last.
        attempt: AttemptNumber,
        /// The number of the worker's registration.
        worker: WorkerNumber,
        /// The resources to allocate, at least the declared size.
        size: ResourceSize,
    },
    /// Records the changes of a worker's report that have to be replicated.
    RecordReport {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The number of the worker's registration.
        worker: WorkerNumber,
        /// The report's sequence number; a report that is not newer than the last recorded one is refused.
        sequence: u64,
        /// The changes to record, in order.
        changes: Vec<AttemptChange>,
    },
    /// Stops an attempt after a checkpoint, so that the task resumes later.
    EvictTask {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The task to change.
        task: TaskId,
        /// The number of the attempt to stop.
        attempt: AttemptNumber,
        /// The reason for the eviction.
        reason: EvictionReason,
    },
    /// Creates a replacement for an instance, which stops once its replacement runs.
    ReplaceInstance {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The instance to replace.
        task: TaskId,
    },
    /// Ends a queued batch task as failed.
    FailTask {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The task to change.
        task: TaskId,
        /// The reason for which the task is not tried again; appended to the reasons of its failed attempts.
        reason: String,
    },
    /// Claims a request key for an entry daemon, so that no other one runs the request.
    Claim {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The request key.
        key: RequestKey,
        /// The entry daemon that claims the key.
        entry: VmNumber,
        /// The id that the entry daemon gave the claim.
        claim: ClaimId,
        /// The time left until the request's deadline.
        deadline: TimeSpan,
    },
    /// Records the outcome of a claimed request.
    SettleClaim {
        /// The time at which the command was proposed.
        at: StateTime,
        /// The request key.
        key: RequestKey,
        /// The id that the entry daemon gave the claim.
        claim: ClaimId,
        /// The outcome of the request.
        outcome: ClaimOutcome,
    },
}

/// The contents of a job: identical tasks of one batch service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The batch service that runs the tasks.
    pub service: ServiceName,
    /// The number of tasks, 1 to 10,000.
    pub count: u32,
    /// The size of each task; the service's declared size if `None`.
    pub size: Option<ResourceSize>,
    /// Whether the tasks start ahead of other batch work.
    pub urgent: bool,
    /// The arguments that the worker gets with each start order, at most 4,096 bytes.
    pub arguments: String,
}

/// The reason for which an attempt is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvictionReason {
    /// Its resources are needed for urgent work or a service instance.
    Urgent,
    /// It slows down a latency-critical instance on the same worker.
    Interference,
    /// Its zone was taken out of service.
    ZoneOut,
    /// Its worker is quarantined because its tasks keep failing.
    Quarantine,
    /// Another worker suits it better.
    Rebalance,
}

impl ControlCommand {
    /// Returns the time at which the command was proposed.
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

    /// Sets the time at which the command was proposed. The leader does so for every command that it proposes.
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

    /// Encodes the command for the replicated log.
    ///
    /// # Panics
    ///
    /// Never panics: every type in a command can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).expect("every command can be encoded")
    }

    /// Decodes a command from the replicated log.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not exactly one encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self, ControlError> {
        let limited = bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>();
        let (command, length) = bincode::serde::decode_from_slice(bytes, limited)
            .map_err(|cause| ControlError::Decode { what: "command", cause: Box::new(cause) })?;
        if length == bytes.len() {
            Ok(command)
        } else {
            Err(ControlError::TrailingBytes { what: "command", length: bytes.len() - length })
        }
    }
}
