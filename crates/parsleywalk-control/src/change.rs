//! What applying a command answers and changes.

use parsleywalk_api::{JobPhase, OperationOutcome, TaskPhase};
use parsleywalk_units::{
    AttemptNumber, ClaimId, ClaimOutcome, ConfigurationVersion, JobKey, RackName, RequestKey, ResourceSize,
    ServiceName, TaskClass, TaskId, TeamName, TimeSpan, VmNumber, WorkerId, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::{CommandRefusal, WorkerNumber};

/// The result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The answer to the proposer.
    pub reply: ControlReply,
    /// What changed, in order.
    pub changes: Vec<StateChange>,
}

/// The answer to the proposer of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The command was carried out, or had been before.
    Accepted,
    /// The command changed nothing.
    Refused(CommandRefusal),
    /// The answer to an operator's operation, kept for resends.
    Operation(OperationAnswer),
    /// The worker is registered.
    Registered {
        /// Its registration.
        worker: WorkerNumber,
    },
    /// The job is known.
    Job {
        /// Where it stands.
        phase: JobPhase,
        /// Whether this command created it.
        created: bool,
    },
    /// The cancel is recorded.
    Cancelled {
        /// Where the job stands; `None` when the cancel arrived before its job.
        phase: Option<JobPhase>,
    },
    /// The instance is being replaced.
    Replaced {
        /// The new instance.
        successor: TaskId,
    },
    /// The report is recorded.
    Recorded {
        /// The number of changes that took effect; the others were about earlier attempts or had no effect.
        applied: u32,
    },
    /// The claim holds the key.
    ClaimGranted,
    /// The key was claimed before.
    ClaimHeld {
        /// The entry that claimed it.
        entry: VmNumber,
        /// The claim.
        claim: ClaimId,
        /// How the request ended, once it has.
        outcome: Option<ClaimOutcome>,
    },
}

impl ControlReply {
    /// Returns the refusal, where the command was refused.
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
    /// How it ended.
    pub outcome: OperationOutcome,
    /// What was done or why it was refused.
    pub message: String,
    /// Why it was refused.
    pub refusal: Option<CommandRefusal>,
    /// The configuration version in force after the command.
    pub version: Option<ConfigurationVersion>,
    /// The revision from which the change is in force.
    pub revision: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// With a result.
    Done,
    /// Without a result.
    Failed,
    /// Its job was cancelled.
    Cancelled,
    /// It was stopped.
    Evicted,
    /// It never started.
    NotStarted,
    /// Its worker is gone or does not have it.
    Lost,
}

/// One change of the state, for whoever keeps an index of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// Another configuration is in force.
    ConfigurationChanged {
        /// Its version.
        version: ConfigurationVersion,
    },
    /// A zone went out of service or came back.
    ZoneChanged {
        /// The zone.
        zone: ZoneName,
        /// Whether tasks may start there.
        in_service: bool,
    },
    /// A worker is available.
    WorkerJoined {
        /// The worker.
        worker: WorkerId,
        /// Its registration, which start commands name.
        number: WorkerNumber,
        /// Its zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// All that it has.
        capacity: ResourceSize,
    },
    /// A worker is gone; the ends of its attempts follow.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// Its registration.
        number: WorkerNumber,
    },
    /// A task waits for a worker.
    TaskQueued {
        /// The task.
        task: TaskId,
        /// The attempt that a start has to name.
        attempt: AttemptNumber,
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
        /// The class.
        class: TaskClass,
        /// The declared size.
        size: ResourceSize,
        /// Whether it starts ahead of other batch work.
        urgent: bool,
        /// The declared run time.
        run_time: Option<TimeSpan>,
        /// The work that the last checkpoint saved.
        saved: TimeSpan,
    },
    /// A start is committed.
    TaskPlaced {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerId,
        /// What is committed.
        size: ResourceSize,
    },
    /// The worker confirmed the start.
    TaskRunning {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A stop is committed; the capacity stays taken until the attempt ends.
    TaskStopping {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended, or a queued task was withdrawn.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// The attempt; the one that would have been next for a queued task.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Where the task stands now; `Queued` when a further attempt follows.
        phase: TaskPhase,
    },
    /// All tasks of a job have ended.
    JobEnded {
        /// The job.
        job: JobKey,
        /// How it ended.
        phase: JobPhase,
    },
    /// A claim was granted, settled or dropped.
    ClaimChanged {
        /// The key.
        key: RequestKey,
    },
}
