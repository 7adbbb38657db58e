//! Records of jobs.

use parsleywalk_api::{JobPhase, TaskPhase};
use parsleywalk_units::{AttemptNumber, JobKey, ServiceName, StateTime, TaskId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A job that is live or ended recently.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    pub(crate) key: JobKey,
    pub(crate) service: ServiceName,
    /// The first of `count` consecutive task ids.
    pub(crate) first: TaskId,
    pub(crate) count: u32,
    pub(crate) urgent: bool,
    pub(crate) arguments: Box<str>,
    pub(crate) contents: ContentDigest,
    /// The number of tasks that have not ended.
    pub(crate) live: u32,
    pub(crate) started: bool,
    pub(crate) cancelled: bool,
    /// The number of tasks that failed.
    pub(crate) failures: u32,
    pub(crate) ended_at: Option<StateTime>,
    pub(crate) ends: Vec<TaskEnd>,
    /// Whether the results were dropped to limit memory.
    pub(crate) trimmed: bool,
}

/// The result of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The task that ended.
    pub task: TaskId,
    /// The number of the last attempt.
    pub attempt: AttemptNumber,
    /// The task's final phase.
    pub phase: TaskPhase,
    /// The worker's result, or the reasons for the failure.
    pub text: Box<str>,
}

impl TaskEnd {
    /// Returns the memory that the result occupies, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        (size_of::<Self>() + self.text.len()) as u64
    }
}

/// Queries.
impl JobRecord {
    /// Returns the ids of all tasks of the job, live or ended.
    pub(crate) fn task_ids(&self) -> impl Iterator<Item = TaskId> + use<> {
        let first = self.first.get();
        (first..first + u64::from(self.count)).map(TaskId::new)
    }

    /// Returns the key under which the job was submitted.
    #[must_use]
    pub const fn key(&self) -> &JobKey {
        &self.key
    }

    /// Returns the batch service that runs the job.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the number of tasks of the job, live and ended.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the arguments that every start order contains; empty once the job has ended.
    #[must_use]
    pub const fn arguments(&self) -> &str {
        &self.arguments
    }

    /// Returns the time at which the last task ended, once it has.
    #[must_use]
    pub const fn ended_at(&self) -> Option<StateTime> {
        self.ended_at
    }

    /// Returns true if the results were dropped to limit the memory for results.
    #[must_use]
    pub const fn results_dropped(&self) -> bool {
        self.trimmed
    }

    /// Returns the job's phase, which follows from its live tasks, its failures and whether it was cancelled.
    #[must_use]
    pub fn phase(&self) -> JobPhase {
        match (self.live, self.cancelled) {
            (0, true) => JobPhase::Cancelled,
            (0, false) if self.failures > 0 => JobPhase::Failed,
            (0, false) => JobPhase::Done,
            (_, true) => JobPhase::Cancelling,
            (_, false) if self.started => JobPhase::Running,
            (_, false) => JobPhase::Queued,
        }
    }
}

/// The first half of a SHA-256 digest, which tells whether a resent command has the same contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentDigest([u8; 16]);

impl ContentDigest {
    pub(crate) fn of<T: Serialize>(contents: &T) -> Self {
        let bytes = bincode::serde::encode_to_vec(contents, bincode::config::standard())
            .expect("every type in a command can be encoded");
        let digest = Sha256::digest(&bytes);
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }
}
