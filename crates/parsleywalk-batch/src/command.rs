//! Commands of the replicated state machine.

use parsleywalk_units::{Incarnation, WorkerId, WorkspaceName, ZoneDirection, ZoneName};
use serde::{Deserialize, Serialize};

use crate::error::{decode, encode};
use crate::{
    EndNumber, JobId, JobQueue, JobSpec, QueueConfiguration, Result, RunNumber, TaskKey, Workspace,
    WorkspaceConfiguration,
};

/// A change of the replicated state. Preconditions are checked again when a command is applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BatchCommand {
    /// Activates a configuration unless one with the same or a higher version is active.
    Configure(Box<QueueConfiguration>),
    /// Takes a zone out of service or returns it to service.
    SetZone {
        /// The zone to change.
        zone: ZoneName,
        /// Whether the zone goes out of or back into service.
        direction: ZoneDirection,
    },
    /// Stores a job; a job id that is already known changes nothing.
    Submit(Box<JobSubmission>),
    /// Cancels a job.
    Cancel {
        /// The job to cancel.
        job: JobId,
    },
    /// Records run ends that a worker reported.
    Settle {
        /// The reporting worker.
        worker: WorkerId,
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// The run ends in ascending order of their numbers.
        ends: Vec<RunEnd>,
    },
    /// Places runs on workers.
    Place {
        /// The runs to place.
        runs: Vec<RunPlacement>,
    },
    /// Ends every run of a worker's incarnation, because its lease has expired or a newer incarnation has replaced it.
    Lose {
        /// The lost worker.
        worker: WorkerId,
        /// The incarnation that is over.
        incarnation: Incarnation,
        /// The newest checkpoints known to the leader.
        saved: Vec<(TaskKey, String)>,
    },
    /// Withdraws placements whose start orders cannot have been carried out.
    Withdraw {
        /// The worker that the runs were placed on.
        worker: WorkerId,
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// The runs to withdraw.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// Removes jobs whose retention period is over.
    Forget {
        /// The jobs to remove, in ascending order.
        jobs: Vec<JobId>,
    },
    /// Activates the workspaces of the active configuration, which the command before it in the log has activated. It
    /// changes nothing if the active configuration has another version, or workspaces already. Since release 2.
    ConfigureWorkspaces(Box<WorkspaceConfiguration>),
    /// Stores a job that a workspace owns; a job id that is already known changes nothing. Since release 2.
    SubmitOwned {
        /// The job.
        submission: Box<JobSubmission>,
        /// The owner.
        workspace: WorkspaceName,
    },
}

/// A job with the properties its queue had when the job was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The id chosen by the caller.
    pub job: JobId,
    /// The steps, payload and schedule of the job.
    pub spec: JobSpec,
    /// The name of the job's queue.
    pub queue: String,
    /// The service whose workers run the job.
    pub service: parsleywalk_units::ServiceName,
    /// The queue's priority.
    pub priority: u8,
    /// The number of failed runs after which a task fails the job.
    pub attempt_limit: u16,
    /// The queue's stretch: the factor applied to the critical path when the latency objective is computed.
    pub stretch: f32,
    /// The queue's latency objective, added to the stretched critical path.
    pub latency_objective: std::time::Duration,
    /// Whether a start requires a ticket from the advice service.
    pub advised: bool,
    /// When the leader accepted the job, in Unix milliseconds. Used only for reporting and for queue order.
    pub accepted_unix_ms: u64,
}

/// The size of a command or of a row in it without its texts in bytes, which is at least that of its encoding.
const COMMAND_ROW_BYTES: usize = 128;

impl BatchCommand {
    /// Returns about how many bytes the command takes in a log entry, rounded up.
    #[must_use]
    pub fn size_hint(&self) -> usize {
        let rows = match self {
            Self::Configure(configuration) => configuration.text.len() * 4,
            Self::SetZone { .. } | Self::Cancel { .. } => 0,
            Self::Submit(submission) | Self::SubmitOwned { submission, .. } => submission.spec.size_hint(),
            Self::Settle { ends, .. } => ends.iter().map(|end| COMMAND_ROW_BYTES + end.saved.len()).sum(),
            Self::Place { runs } => runs.len() * COMMAND_ROW_BYTES,
            Self::Lose { saved, .. } => saved.iter().map(|(_, saved)| COMMAND_ROW_BYTES + saved.len()).sum(),
            Self::Withdraw { runs, .. } => runs.len() * COMMAND_ROW_BYTES,
            Self::Forget { jobs } => jobs.len() * COMMAND_ROW_BYTES,
            Self::ConfigureWorkspaces(configuration) => {
                let rows = configuration.workspaces.iter().map(Workspace::size_hint).sum::<usize>();
                rows + configuration.public_queues.len() * size_of::<u64>()
            }
        };
        2 * COMMAND_ROW_BYTES + rows
    }
}

impl JobSubmission {
    /// Creates the submission of a job to a queue, accepted at a wall-clock time in Unix milliseconds.
    #[must_use]
    pub fn new(job: JobId, spec: JobSpec, queue: &JobQueue, unix_ms: u64) -> Self {
        Self {
            job,
            spec,
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            attempt_limit: queue.attempt_limit,
            stretch: queue.stretch,
            latency_objective: queue.latency_objective,
            advised: queue.advice.is_some(),
            accepted_unix_ms: unix_ms,
        }
    }

    /// Returns a tombstone: the submission that stands for a job which was cancelled before it arrived. It has no steps,
    /// which no valid job has.
    #[must_use]
    pub fn tombstone(job: JobId, queue: &JobQueue, unix_ms: u64) -> Self {
        Self::new(job, JobSpec::default(), queue, unix_ms)
    }

    /// Returns the command that stores the job with its owner, if it has one.
    #[must_use]
    pub fn into_command(self, owner: Option<WorkspaceName>) -> BatchCommand {
        let submission = Box::new(self);
        match owner {
            Some(workspace) => BatchCommand::SubmitOwned { submission, workspace },
            None => BatchCommand::Submit(submission),
        }
    }

    /// Returns the commands of one entry that store the job as cancelled; no task of it ever starts. Replicas of every
    /// release apply them alike, unless the job has an owner. A tombstone of the job is replaced.
    #[must_use]
    pub fn into_cancelled(self, owner: Option<WorkspaceName>) -> Vec<BatchCommand> {
        let job = self.job;
        vec![BatchCommand::Forget { jobs: vec![job] }, self.into_command(owner), BatchCommand::Cancel { job }]
    }
}

/// A run placed on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPlacement {
    /// The task that is run.
    pub task: TaskKey,
    /// The run number, higher than that of every earlier run of the task.
    pub run: RunNumber,
    /// The worker that the run is placed on.
    pub worker: WorkerId,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
}

/// The end of a run as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The number of the run end in the worker's list of run ends.
    pub number: EndNumber,
    /// The task that was run.
    pub task: TaskKey,
    /// The run that ended.
    pub run: RunNumber,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
}

/// The outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The run failed, whether the task or the worker caused it.
    Failed,
    /// The leader ordered the run to stop.
    Stopped,
    /// The worker's lease expired.
    LeaseLapsed,
    /// Another member of the run's gang ended.
    GangBroken,
    /// The other gang members did not start in time.
    GangIncomplete,
    /// The worker refused to start the run.
    Refused,
}

/// Encodes the commands of one log entry.
#[must_use]
pub fn encode_commands(commands: &[BatchCommand]) -> Vec<u8> {
    encode(&commands)
}

/// Decodes the commands of one log entry.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid encoding of a list of commands.
pub fn decode_commands(bytes: &[u8]) -> Result<Vec<BatchCommand>> {
    decode("commands", bytes)
}
