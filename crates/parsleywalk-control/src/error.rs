//! Reasons for refusing commands, and errors of decoding and checking the state.

#![allow(missing_docs, reason = "quick_error does not accept doc comments on fields")]

use parsleywalk_api::TaskPhase;
use parsleywalk_units::{
    AttemptNumber, ConfigurationVersion, Incarnation, JobKey, OperationId, RequestKey, ResourceSize, ServiceName,
    TaskId, TeamName, WorkerId, ZoneName,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::WorkerNumber;

/// The result of decoding a command or a snapshot, or of checking the state.
pub type Result<T> = std::result::Result<T, ControlError>;

quick_error! {
    /// The reason for which encoded bytes or a state are invalid.
    #[derive(Debug)]
    pub enum ControlError {
        /// The bytes cannot be decoded.
        Decode { what: &'static str, cause: Box<bincode::error::DecodeError> } {
            display("cannot decode the {}: {}", what, cause)
            source(cause)
        }
        /// The bytes continue after the encoded value.
        TrailingBytes { what: &'static str, length: usize } {
            display("cannot decode the {}: {} bytes follow it, permitted are 0", what, length)
        }
        /// The snapshot has a format version that this build cannot read.
        Format { found: u32, expected: u32 } {
            display("snapshot has format version {}, permitted is {}", found, expected)
        }
        /// The state violates an invariant.
        Broken { invariant: &'static str, detail: String } {
            display("invariant violated: {}: {}", invariant, detail)
        }
    }
}

quick_error! {
    /// The reason for which a command was refused.
    ///
    /// The text of a refused operation is stored in the state, so all replicas must produce the same text.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum CommandRefusal {
        /// Another operation has already put a configuration of this version in force.
        VersionTaken { version: ConfigurationVersion, operation: OperationId, current: ConfigurationVersion } {
            display("version {} was taken by operation {}; the current version is {}", version, operation, current)
        }
        /// The version does not follow the current one.
        WrongVersion { version: ConfigurationVersion, expected: ConfigurationVersion } {
            display("version {} does not follow the current one; permitted is {}", version, expected)
        }
        /// The operation id was used before for a command with other contents.
        OperationReused { operation: OperationId } {
            display("operation {} was used for another command", operation)
        }
        /// The state holds the maximum number of zones and this one is new.
        TooManyZones { zone: ZoneName, limit: usize } {
            display("zone {} is one more than the permitted {}", zone, limit)
        }
        /// The zone is out of service.
        ZoneOut { zone: ZoneName } {
            display("zone {} is out of service", zone)
        }
        /// No worker is registered under this id.
        UnknownWorker { worker: WorkerId } {
            display("worker {} is not registered", worker)
        }
        /// The registration has ended or never existed.
        UnknownRegistration { worker: WorkerNumber } {
            display("worker registration {} is not current", worker)
        }
        /// The command names another incarnation than the registered one.
        WrongIncarnation { worker: WorkerId, incarnation: Incarnation, registered: Incarnation } {
            display("worker {} has incarnation {}, registered is {}", worker, incarnation, registered)
        }
        /// The worker's zone, rack or capacity differs from the one registered for the same incarnation.
        WorkerChanged { worker: WorkerId, incarnation: Incarnation } {
            display("worker {} changed its zone, rack or capacity within incarnation {}", worker, incarnation)
        }
        /// The worker has too few free resources.
        CapacityExceeded { worker: WorkerId, size: ResourceSize, free: ResourceSize } {
            display("size {} is beyond what is free on worker {}: {}", size, worker, free)
        }
        /// The task would exceed the team's quota.
        QuotaExceeded { team: TeamName, size: ResourceSize, held: ResourceSize, quota: ResourceSize } {
            display("size {} is beyond the quota of team {}: {} of {} are held", size, team, held, quota)
        }
        /// The size to allocate is below the declared one.
        SizeBelowDeclared { task: TaskId, size: ResourceSize, declared: ResourceSize } {
            display("size {} of task {} is below the declared {}", size, task, declared)
        }
        /// No task with this id exists, or it has ended.
        UnknownTask { task: TaskId } {
            display("task {} is unknown or has ended", task)
        }
        /// The command names another attempt than the one that it may change.
        WrongAttempt { task: TaskId, attempt: AttemptNumber, expected: AttemptNumber } {
            display("attempt {} of task {} is not the expected {}", attempt, task, expected)
        }
        /// The command is not permitted in the task's phase.
        WrongPhase { task: TaskId, phase: TaskPhase } {
            display("task {} is {:?}", task, phase)
        }
        /// The command applies only to service instances and this is a batch task, or the reverse.
        WrongKind { task: TaskId } {
            display("task {} is of the wrong kind for this command", task)
        }
        /// The instance already has a replacement.
        AlreadyReplaced { task: TaskId, successor: TaskId } {
            display("instance {} is being replaced by {}", task, successor)
        }
        /// This report or a newer one of the worker has already been recorded.
        StaleReport { worker: WorkerNumber, sequence: u64, recorded: u64 } {
            display("report {} of worker registration {} is not above the recorded {}", sequence, worker, recorded)
        }
        /// The configuration in force has no such service.
        UnknownService { service: ServiceName } {
            display("service {} is not in the configuration", service)
        }
        /// The service is latency-critical and takes no jobs.
        NotBatch { service: ServiceName } {
            display("service {} is not a batch service", service)
        }
        /// The configuration in force has no such team.
        UnknownTeam { team: TeamName } {
            display("team {} is not in the configuration", team)
        }
        /// A job with other contents was submitted under the same key.
        JobDiffers { key: JobKey } {
            display("job {} was submitted with other contents", key)
        }
        /// A field of the job is outside its permitted range.
        JobOutOfRange { field: JobField, found: u64 } {
            display("{} is {}, permitted is {}", field.name(), found, field.range())
        }
        /// The state would exceed the maximum number of tasks.
        TooManyTasks { asked: u64, limit: u64 } {
            display("{} tasks would be held, permitted are {}", asked, limit)
        }
        /// The state holds the maximum number of pending cancels.
        TooManyCancels { limit: usize } {
            display("{} cancels of unknown jobs are held, no more are permitted", limit)
        }
        /// The state holds the maximum number of claims.
        TooManyClaims { limit: usize } {
            display("{} claims are held, no more are permitted", limit)
        }
        /// The request key is not claimed.
        UnknownClaim { key: RequestKey } {
            display("request {} is not claimed", key)
        }
        /// Another claim holds the key, or the claim was settled with another outcome.
        NotHolder { key: RequestKey } {
            display("request {} is held by another claim or settled with another outcome", key)
        }
    }
}

/// A field of a job that has a permitted range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobField {
    /// The number of tasks of the job.
    Count,
    /// The length of the arguments in bytes.
    Arguments,
}

impl JobField {
    const fn name(self) -> &'static str {
        match self {
            Self::Count => "count",
            Self::Arguments => "length of arguments",
        }
    }

    const fn range(self) -> &'static str {
        match self {
            Self::Count => "1 to 10000",
            Self::Arguments => "0 to 4096 bytes",
        }
    }
}
