//! Records of jobs, steps and tasks in the replicated state.

use std::sync::Arc;

use parsleywalk_units::WorkspaceName;
use serde::{Deserialize, Serialize};

use crate::{JobSubmission, RunNumber, StepSpec, TaskKey};

/// The status of a job as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task has started.
    Pending,
    /// At least one task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has reached the queue's limit on failed runs.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobStatus {
    /// Returns true if no task of the job will run again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// The state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether the task has completed.
    pub done: bool,
    /// The number of the newest run; 0 before the first.
    pub last_run: RunNumber,
    /// The number of runs that failed.
    pub failures: u16,
    /// The number of runs that are placed on workers and not known to have ended.
    pub live: u8,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
}

/// The state of a step in one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The tasks by index.
    pub tasks: Vec<TaskRecord>,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are neither done nor have a live run.
    pub waiting: u32,
}

impl StepRecord {
    fn new(count: u32) -> Self {
        Self { tasks: vec![TaskRecord::default(); count as usize], done: 0, waiting: count }
    }

    /// Returns the number of tasks.
    pub(crate) fn task_count(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks that are not done.
    pub(crate) fn remaining_count(&self) -> u32 {
        self.task_count().saturating_sub(self.done)
    }

    /// Returns the number of tasks that have a live run.
    pub(crate) fn live_count(&self) -> u32 {
        self.remaining_count().saturating_sub(self.waiting)
    }

    /// Returns true if every task is done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// The state of a job's steps in one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// The steps in order.
    pub steps: Vec<StepRecord>,
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as accepted.
    pub submission: Arc<JobSubmission>,
    /// The job's status.
    pub status: JobStatus,
    /// The position in the order of submission.
    pub sequence: u64,
    /// The occurrences in order.
    pub occurrences: Vec<OccurrenceRecord>,
    /// The workspace that owns the job, if it was submitted with a key. Snapshots hold it in their extension.
    #[serde(skip)]
    pub workspace: Option<WorkspaceName>,
}

impl JobRecord {
    pub(crate) fn new(submission: Arc<JobSubmission>, sequence: u64) -> Self {
        let steps = |_| OccurrenceRecord {
            steps: submission.spec.steps.iter().map(|step| StepRecord::new(step.count)).collect(),
        };
        let occurrences = (0..submission.spec.occurrences()).map(steps).collect();
        Self { submission, status: JobStatus::Pending, sequence, occurrences, workspace: None }
    }

    /// Returns true if the record only says that the job was cancelled before it arrived.
    #[must_use]
    pub fn is_tombstone(&self) -> bool {
        self.submission.spec.steps.is_empty()
    }

    /// Returns the specification of a step.
    #[must_use]
    pub fn step_spec(&self, step: u16) -> Option<&StepSpec> {
        self.submission.spec.steps.get(usize::from(step))
    }

    /// Returns the step of the occurrence that the task belongs to.
    #[must_use]
    pub fn step(&self, task: &TaskKey) -> Option<&StepRecord> {
        self.occurrences.get(task.occurrence as usize)?.steps.get(usize::from(task.step))
    }

    pub(crate) fn step_mut(&mut self, task: &TaskKey) -> Option<&mut StepRecord> {
        self.occurrences.get_mut(task.occurrence as usize)?.steps.get_mut(usize::from(task.step))
    }

    /// Returns the state of the task.
    #[must_use]
    pub fn task(&self, task: &TaskKey) -> Option<&TaskRecord> {
        self.step(task)?.tasks.get(task.index as usize)
    }

    /// Returns true if every dependency of the step is done in the occurrence.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, step: u16) -> bool {
        let Some(spec) = self.step_spec(step) else { return false };
        let Some(record) = self.occurrences.get(occurrence as usize) else { return false };
        spec.depends_on.iter().all(|earlier| record.steps.get(usize::from(*earlier)).is_some_and(StepRecord::is_done))
    }

    /// Returns true if the record shows that a task of the job has run: one is done, has failed or has a checkpoint.
    #[must_use]
    pub fn has_run(&self) -> bool {
        let has_run = |task: &TaskRecord| task.done || task.failures > 0 || !task.saved.is_empty();
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.tasks).any(has_run)
    }

    /// Returns true if a run of the job has ended, or been lost, withdrawn or refused, whether it had started or not.
    #[must_use]
    pub fn has_ended_run(&self) -> bool {
        let has_ended = |task: &TaskRecord| task.last_run.get() > u32::from(task.live);
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.tasks).any(has_ended)
    }

    /// Returns true if any run of the job is placed on a worker.
    #[must_use]
    pub fn has_live_runs(&self) -> bool {
        let live = |step: &StepRecord| step.tasks.len() > (step.done + step.waiting) as usize;
        self.occurrences.iter().any(|occurrence| occurrence.steps.iter().any(live))
    }

    /// Returns the number of failed runs.
    #[must_use]
    pub fn failures(&self) -> u32 {
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.tasks).map(|task| u32::from(task.failures)).sum()
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.occurrences.iter().all(|occurrence| occurrence.steps.iter().all(StepRecord::is_done))
    }
}
