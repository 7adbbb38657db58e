//! Messages by which callers submit jobs and read their status and results.

use parsleywalk_units::{AttemptNumber, JobKey, ResourceSize, ServiceName, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

const fn one() -> u32 {
    1
}

/// Submits a job of equal tasks of one batch service. A resend with the same key refers to the same job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The team and the caller's key, as `{"team": .., "key": ..}`.
    pub job: JobKey,
    /// The batch service that the tasks belong to.
    pub service: ServiceName,
    /// The number of tasks, 1 to 10,000.
    #[serde(default = "one")]
    pub count: u32,
    /// The size of each task, if it differs from the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<ResourceSize>,
    /// Whether its tasks start ahead of other batch tasks.
    #[serde(default)]
    pub urgent: bool,
    /// Passed to the worker with each start order; at most 4 KiB.
    #[serde(default)]
    pub arguments: String,
}

/// The phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Accepted; no task has started yet.
    Queued,
    /// At least one task has started and not all have ended.
    Running,
    /// A cancel is committed, but the workers have not confirmed yet that all tasks have stopped.
    Cancelling,
    /// All tasks are done.
    Done,
    /// All tasks have ended and at least one failed.
    Failed,
    /// Cancelled as a whole.
    Cancelled,
}

impl JobPhase {
    /// Returns true if the job has ended.
    #[must_use]
    pub const fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// The phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waiting for a worker.
    Queued,
    /// Placed on a worker that has not confirmed the start yet.
    Starting,
    /// Running, as its worker has confirmed.
    Running,
    /// Ordered to stop; its worker has not confirmed the stop yet.
    Stopping,
    /// Ended with a result.
    Done,
    /// Ended without a result; it is not retried.
    Failed,
    /// Cancelled with its job.
    Cancelled,
}

/// The status of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Its current or last attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Its phase.
    pub phase: TaskPhase,
    /// The worker on which it is placed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
}

/// The status of a job and its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobKey,
    /// Its phase.
    pub phase: JobPhase,
    /// Its tasks, sorted by id; at most the first 100.
    pub tasks: Vec<TaskStatus>,
    /// The number of all tasks.
    pub count: u32,
}

/// The result of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The task.
    pub task: TaskId,
    /// The attempt that ended it.
    pub attempt: AttemptNumber,
    /// The phase in which it ended.
    pub phase: TaskPhase,
    /// The worker's result, or the reasons for the failure.
    pub text: String,
}

/// The results of a job that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// The job.
    pub job: JobKey,
    /// The phase in which it ended.
    pub phase: JobPhase,
    /// The results of its tasks, sorted by id.
    pub results: Vec<TaskResult>,
}
