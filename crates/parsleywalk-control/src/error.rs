//! Refusals of commands and errors of decoding.

#![allow(missing_docs, reason = "quick_error does not take docs on fields")]

use parsleywalk_api::TaskPhase;
use parsleywalk_units::{
    AttemptNumber, ConfigurationVersion, Incarnation, JobKey, OperationId, RequestKey, ResourceSize, ServiceName,
    TaskId, TeamName, WorkerId, ZoneName,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::WorkerNumber;

/// The result of decoding or checking the state.
pub type Result<T> = std::result::Result<T, ControlError>;

quick_error! {
    /// Why bytes or a state are not valid.
    #[derive(Debug)]
    pub enum ControlError {
        /// The bytes do not decode.
        Decode { what: &'static str, cause: Box<bincode::error::DecodeError> } {
            display("decoding a {}: {}", what, cause)
            source(cause)
        }
        /// Bytes follow the value.
        TrailingBytes { what: &'static str, length: usize } {
            display("decoding a {}: {} bytes follow it, permitted are 0", what, length)
        }
        /// The snapshot was written in another format.
        Format { found: u32, expected: u32 } {
            display("snapshot format is {}, permitted is {}", found, expected)
        }
        /// The state contradicts itself.
        Broken { invariant: &'static str, detail: String } {
            display("invariant broken: {}: {}", invariant, detail)
        }
    }
}

quick_error! {
    /// Why a command changed nothing.
    #[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
    pub enum CommandRefusal {
        /// The version is not the current one plus one, and another operation took it.
        VersionTaken { version: ConfigurationVersion, operation: OperationId, current: ConfigurationVersion } {
            display("version {} was taken by operation {}; the current version is {}", version, operation, current)
        }
        /// The version is not the current one plus one.
        WrongVersion { version: ConfigurationVersion, expected: ConfigurationVersion } {
            display("version {} does not follow the current one; permitted is {}", version, expected)
        }
        /// The operation id was used for other contents.
        OperationReused { operation: OperationId } {
            display("operation {} was used for another command", operation)
        }
        /// Too many zones.
        TooManyZones { zone: ZoneName, limit: usize } {
            display("zone {} is one more than the permitted {}", zone, limit)
        }
        /// The zone is out of service.
        ZoneOut { zone: ZoneName } {
            display("zone {} is out of service", zone)
        }
        /// The worker is not registered.
        UnknownWorker { worker: WorkerId } {
            display("worker {} is not registered", worker)
        }
        /// The registration has ended or never was.
        UnknownRegistration { worker: WorkerNumber } {
            display("worker registration {} is not current", worker)
        }
        /// The incarnation is not the registered one.
        WrongIncarnation { worker: WorkerId, incarnation: Incarnation, registered: Incarnation } {
            display("worker {} has incarnation {}, registered is {}", worker, incarnation, registered)
        }
        /// A worker changed its zone, rack or capacity within one incarnation.
        WorkerChanged { worker: WorkerId, incarnation: Incarnation } {
            display("worker {} changed its zone, rack or capacity within incarnation {}", worker, incarnation)
        }
        /// The worker has no room.
        CapacityExceeded { worker: WorkerId, size: ResourceSize, free: ResourceSize } {
            display("size {} is beyond what is free on worker {}: {}", size, worker, free)
        }
        /// The team's quota has no room.
        QuotaExceeded { team: TeamName, size: ResourceSize, held: ResourceSize, quota: ResourceSize } {
            display("size {} is beyond the quota of team {}: {} of {} are held", size, team, held, quota)
        }
        /// The size is below the declared one.
        SizeBelowDeclared { task: TaskId, size: ResourceSize, declared: ResourceSize } {
            display("size {} of task {} is below the declared {}", size, task, declared)
        }
        /// The task is unknown or has ended.
        UnknownTask { task: TaskId } {
            display("task {} is unknown or has ended", task)
        }
        /// The attempt is not the one that the command may name.
        WrongAttempt { task: TaskId, attempt: AttemptNumber, expected: AttemptNumber } {
            display("attempt {} of task {} is not the expected {}", attempt, task, expected)
        }
        /// The task's phase does not permit the command.
        WrongPhase { task: TaskId, phase: TaskPhase } {
            display("task {} is {:?}", task, phase)
        }
        /// The task is not an instance of a latency-critical service, or is one where a batch task is needed.
        WrongKind { task: TaskId } {
            display("task {} is of the wrong kind for this command", task)
        }
        /// The instance already has a replacement.
        AlreadyReplaced { task: TaskId, successor: TaskId } {
            display("instance {} is being replaced by {}", task, successor)
        }
        /// A newer report of the worker has been recorded.
        StaleReport { worker: WorkerNumber, sequence: u64, recorded: u64 } {
            display("report {} of worker registration {} is not above the recorded {}", sequence, worker, recorded)
        }
        /// The service is not in the configuration.
        UnknownService { service: ServiceName } {
            display("service {} is not in the configuration", service)
        }
        /// The service takes no jobs.
        NotBatch { service: ServiceName } {
            display("service {} is not a batch service", service)
        }
        /// The team is not in the configuration.
        UnknownTeam { team: TeamName } {
            display("team {} is not in the configuration", team)
        }
        /// The key was used for a job with other contents.
        JobDiffers { key: JobKey } {
            display("job {} was submitted with other contents", key)
        }
        /// A field of the job is out of range.
        JobOutOfRange { field: JobField, found: u64 } {
            display("{} is {}, permitted is {}", field.name(), found, field.range())
        }
        /// There are as many tasks as the state holds.
        TooManyTasks { asked: u64, limit: u64 } {
            display("{} tasks would be held, permitted are {}", asked, limit)
        }
        /// There are as many early cancels as the state keeps.
        TooManyCancels { limit: usize } {
            display("{} cancels of unknown jobs are held, no more are permitted", limit)
        }
        /// There are as many claims as the state keeps.
        TooManyClaims { limit: usize } {
            display("{} claims are held, no more are permitted", limit)
        }
        /// Nobody holds the claim.
        UnknownClaim { key: RequestKey } {
            display("request {} is not claimed", key)
        }
        /// Another claim holds the key, or the claim was settled otherwise.
        NotHolder { key: RequestKey } {
            display("request {} is held by another claim or settled with another outcome", key)
        }
    }
}

/// A field of a job with a permitted range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobField {
    /// The number of tasks.
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
