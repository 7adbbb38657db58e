//! Jobs of callers.

use parsleywalk_units::{AttemptNumber, JobKey, ResourceSize, ServiceName, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

const fn one() -> u32 {
    1
}

/// Submits a job: equal tasks of one batch service. A resend under the same key is the same job.
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
    /// The size of each task, where it differs from the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<ResourceSize>,
    /// Whether it starts ahead of other batch work.
    #[serde(default)]
    pub urgent: bool,
    /// Handed to the worker with each start; at most 4 KiB.
    #[serde(default)]
    pub arguments: String,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Accepted; no task has started yet.
    Queued,
    /// At least one task has started and not all have ended.
    Running,
    /// A cancel is committed and some tasks have still to confirm that they stopped.
    Cancelling,
    /// All tasks are done.
    Done,
    /// All tasks have ended and at least one failed.
    Failed,
    /// Cancelled as a whole.
    Cancelled,
}

impl JobPhase {
    /// Tells whether the job has ended.
    #[must_use]
    pub const fn has_ended(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waits for a worker.
    Queued,
    /// Placed; the worker has not confirmed the start yet.
    Starting,
    /// Confirmed by its worker.
    Running,
    /// Ordered to stop; the worker has not confirmed yet.
    Stopping,
    /// Ended with a result.
    Done,
    /// Ended for good without a result.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Its current or last attempt; 0 before the first.
    pub attempt: AttemptNumber,
    /// Where it stands.
    pub phase: TaskPhase,
    /// The worker that holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
}

/// A job with its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobKey,
    /// Where it stands.
    pub phase: JobPhase,
    /// Its tasks, by id; at most the first 100.
    pub tasks: Vec<TaskStatus>,
    /// The number of all tasks.
    pub count: u32,
}

/// How one task ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The task.
    pub task: TaskId,
    /// The attempt that ended it.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub phase: TaskPhase,
    /// The worker's result text or the reasons of the failure.
    pub text: String,
}

/// The results of a job that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// The job.
    pub job: JobKey,
    /// How it ended.
    pub phase: JobPhase,
    /// Each task's result, by id.
    pub results: Vec<TaskResult>,
}
