//! Commands of the replicated state.

use parsleywalk_units::{Incarnation, WorkerId, ZoneDirection, ZoneName};
use serde::{Deserialize, Serialize};

use crate::error::{decode, encode};
use crate::{EndNumber, JobId, JobSpec, QueueConfiguration, Result, RunNumber, TaskKey};

/// A change of the replicated state. Each is checked again when it is applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BatchCommand {
    /// Puts a configuration in force, unless one with the same or a higher version is.
    Configure(Box<QueueConfiguration>),
    /// Takes a zone out of service or back in.
    SetZone {
        /// The zone.
        zone: ZoneName,
        /// Out or in.
        direction: ZoneDirection,
    },
    /// Stores a job; a known id changes nothing.
    Submit(Box<JobSubmission>),
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Records ends that a worker listed.
    Settle {
        /// The worker.
        worker: WorkerId,
        /// Its life.
        incarnation: Incarnation,
        /// The ends, in the order of their numbers.
        ends: Vec<RunEnd>,
    },
    /// Commits runs to workers.
    Place {
        /// The runs.
        runs: Vec<RunPlacement>,
    },
    /// Everything that a life of a worker ran is over: its lease has ended or it has been followed by another life.
    Lose {
        /// The worker.
        worker: WorkerId,
        /// The life that is over.
        incarnation: Incarnation,
        /// The newest checkpoints that were heard of.
        saved: Vec<(TaskKey, String)>,
    },
    /// Takes back placements whose orders can't have been carried out.
    Withdraw {
        /// The worker.
        worker: WorkerId,
        /// Its life.
        incarnation: Incarnation,
        /// The runs.
        runs: Vec<(TaskKey, RunNumber)>,
    },
    /// Removes jobs that ended long ago.
    Forget {
        /// The jobs.
        jobs: Vec<JobId>,
    },
}

/// A job and what its queue said when it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The caller's id.
    pub job: JobId,
    /// What it consists of.
    pub spec: JobSpec,
    /// The name of its queue.
    pub queue: String,
    /// The service whose workers run it.
    pub service: parsleywalk_units::ServiceName,
    /// The queue's priority.
    pub priority: u8,
    /// The queue's limit on failed runs.
    pub attempt_limit: u16,
    /// The queue's stretch.
    pub stretch: f32,
    /// The queue's latency objective.
    pub latency_objective: std::time::Duration,
    /// Whether starts need the advice service's word.
    pub advised: bool,
    /// When the leader accepted it, in milliseconds since 1970; used for reports and for the order of the queue only.
    pub accepted_unix_ms: u64,
}

/// A run that is committed to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPlacement {
    /// The task.
    pub task: TaskKey,
    /// The run's number, higher than that of every earlier run of the task.
    pub run: RunNumber,
    /// The worker.
    pub worker: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The end of a run as its worker listed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Its number in the worker's list.
    pub number: EndNumber,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
    /// The newest checkpoint, empty if there is none.
    pub saved: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// Its work is complete.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease ended.
    LeaseLapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// The worker did not start it.
    Refused,
}

/// Encodes the commands of one log entry.
#[must_use]
pub fn encode_commands(commands: &[BatchCommand]) -> Vec<u8> {
    encode(&commands)
}

/// Decodes a log entry.
///
/// # Errors
///
/// Returns an error when the entry does not hold commands.
pub fn decode_commands(bytes: &[u8]) -> Result<Vec<BatchCommand>> {
    decode("commands", bytes)
}
