//! Replies to commands and the state changes that commands cause.

use parsleywalk_api::{JobPhase, OperationOutcome, TaskPhase};
use parsleywalk_units::{
    AttemptNumber, ClaimId, ClaimOutcome, ConfigurationVersion, JobKey, RackName, RequestKey, ResourceSize,
    ServiceName, TaskClass, TaskId, TeamName, TimeSpan, VmNumber, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::{CommandRefusal, WorkerNumber};

/// The reply to a command together with the state changes that it caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The reply to the proposer.
    pub reply: ControlReply,
    /// The changes, in the order in which they took effect.
    pub changes: Vec<StateChange>,
}

/// The reply to the proposer of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The command took effect, now or when it was applied before.
    Accepted,
    /// The command was refused and changed nothing.
    Refused(CommandRefusal),
    /// The answer to an operator's operation, stored so that a resend gets the same one.
    Operation(OperationAnswer),
    /// The worker is registered.
    Registered {
        /// The registration number, which later commands name.
        worker: WorkerNumber,
    },
    /// The job is recorded.
    Job {
        /// The job's current phase.
        phase: JobPhase,
        /// Whether this command created the job; false for a resubmission.
        created: bool,
    },
    /// The cancel is recorded.
    Cancelled {
        /// The job's current phase; `None` when the cancel arrived before its job.
        phase: Option<JobPhase>,
    },
    /// A replacement for the instance is queued.
    Replaced {
        /// The task that replaces the instance.
        successor: TaskId,
    },
    /// The report is recorded.
    Recorded {
        /// The number of changes that took effect; the others named earlier attempts or were recorded before.
        applied: u32,
    },
    /// The claim holds the request key.
    ClaimGranted,
    /// Another claim holds the request key, or this one was settled already.
    ClaimHeld {
        /// The entry daemon that claimed the key.
        entry: VmNumber,
        /// The claim that holds the key.
        claim: ClaimId,
        /// The outcome of the request, once it has ended.
        outcome: Option<ClaimOutcome>,
    },
}

impl ControlReply {
    /// Returns the reason for which the command was refused, if it was.
    #[must_use]
    pub const fn refusal(&self) -> Option<&CommandRefusal> {
        match self {
            Self::Refused(refusal) => Some(refusal),
            Self::Operation(answer) => answer.refusal.as_ref(),
            _ => None,
        }
    }
}

/// The stored answer to an operator's operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationAnswer {
    /// Whether the operation was accepted or refused.
    pub outcome: OperationOutcome,
    /// Tells the operator what was changed, or why the operation was refused.
    pub message: String,
    /// The reason for a refusal.
    pub refusal: Option<CommandRefusal>,
    /// The configuration version in force after the command.
    pub version: Option<ConfigurationVersion>,
    /// The revision at which the operation was applied.
    pub revision: u64,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It completed with a result.
    Done,
    /// It failed.
    Failed,
    /// Its job was cancelled.
    Cancelled,
    /// It was stopped on order or because its lease expired.
    Evicted,
    /// Its worker never started it.
    NotStarted,
    /// Its worker was lost or no longer runs it.
    Lost,
}

/// A change of the state, from which an index outside the state can be maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A new configuration is in force.
    ConfigurationChanged {
        /// The version of the new configuration.
        version: ConfigurationVersion,
    },
    /// A zone was taken out of service or put back in service.
    ZoneChanged {
        /// The zone that changed.
        zone: ZoneName,
        /// Whether tasks may start in the zone.
        in_service: bool,
    },
    /// A worker was registered.
    WorkerJoined {
        /// The worker's id, which stays the same across registrations.
        worker: WorkerId,
        /// The registration number, which start commands name.
        number: WorkerNumber,
        /// The worker's zone.
        zone: ZoneName,
        /// The worker's rack.
        rack: RackName,
        /// The worker's total resources.
        capacity: ResourceSize,
    },
    /// A registration ended; a `TaskEnded` for each of its attempts follows.
    WorkerLost {
        /// The worker that was lost.
        worker: WorkerId,
        /// The number of the registration that ended.
        number: WorkerNumber,
    },
    /// A task is queued for placement.
    TaskQueued {
        /// The task that changed.
        task: TaskId,
        /// The attempt that the next start command has to name.
        attempt: AttemptNumber,
        /// The service that the task belongs to.
        service: ServiceName,
        /// The team whose job or service the task belongs to.
        team: TeamName,
        /// Whether the task is batch work or an instance of a latency-critical service.
        class: TaskClass,
        /// The declared resources, the least that a start may allocate.
        size: ResourceSize,
        /// Whether the task starts ahead of other batch work.
        urgent: bool,
        /// The declared run time of the service's tasks.
        run_time: Option<TimeSpan>,
        /// The run time that the last checkpoint preserves.
        saved: TimeSpan,
    },
    /// A task was placed on a worker.
    TaskPlaced {
        /// The task that changed.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The worker that runs the attempt.
        worker: WorkerId,
        /// The resources allocated for the attempt.
        size: ResourceSize,
    },
    /// The worker reported that the attempt runs.
    TaskRunning {
        /// The task that changed.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// The worker has to stop the attempt, whose resources stay allocated until it has ended.
    TaskStopping {
        /// The task that changed.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended, or a queued task was cancelled or failed.
    TaskEnded {
        /// The task that changed.
        task: TaskId,
        /// The number of the attempt; for a queued task, of the attempt that would have been next.
        attempt: AttemptNumber,
        /// The outcome of the attempt.
        outcome: AttemptOutcome,
        /// The task's new phase; `Queued` when another attempt follows.
        phase: TaskPhase,
    },
    /// All tasks of a job have ended.
    JobEnded {
        /// The key of the job.
        job: JobKey,
        /// The job's final phase.
        phase: JobPhase,
    },
    /// A claim was granted, settled or removed.
    ClaimChanged {
        /// The claimed request key.
        key: RequestKey,
    },
}
