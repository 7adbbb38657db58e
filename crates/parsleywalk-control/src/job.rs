//! Records of jobs.

use parsleywalk_api::{JobPhase, TaskPhase};
use parsleywalk_units::{AttemptNumber, JobKey, ServiceName, StateTime, TaskId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A job, kept for a while after it has ended.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent facts")]
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
    /// The number of tasks that ended as failed.
    pub(crate) failures: u32,
    pub(crate) ended_at: Option<StateTime>,
    pub(crate) ends: Vec<TaskEnd>,
    /// Whether the results were dropped to stay within the limit.
    pub(crate) trimmed: bool,
}

/// How one task of a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// The attempt that ended it.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub phase: TaskPhase,
    /// The worker's result text or the reasons of the failure.
    pub text: Box<str>,
}

impl TaskEnd {
    /// Returns the memory that the end takes up, in bytes.
    pub(crate) fn weight(&self) -> u64 {
        (size_of::<Self>() + self.text.len()) as u64
    }
}

/// Queries.
impl JobRecord {
    /// Returns the ids that the job's tasks have or had.
    pub(crate) fn task_ids(&self) -> impl Iterator<Item = TaskId> + use<> {
        let first = self.first.get();
        (first..first + u64::from(self.count)).map(TaskId::new)
    }

    /// Returns the job's key.
    #[must_use]
    pub const fn key(&self) -> &JobKey {
        &self.key
    }

    /// Returns the job's service.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the number of tasks.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the arguments that every start carries; empty once the job has ended.
    #[must_use]
    pub const fn arguments(&self) -> &str {
        &self.arguments
    }

    /// Returns when the job ended.
    #[must_use]
    pub const fn ended_at(&self) -> Option<StateTime> {
        self.ended_at
    }

    /// Tells whether the results were dropped to stay within the limit of kept results.
    #[must_use]
    pub const fn results_dropped(&self) -> bool {
        self.trimmed
    }

    /// Returns where the job stands.
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

/// Tells contents apart without keeping them: the first half of a SHA-256 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentDigest([u8; 16]);

impl ContentDigest {
    pub(crate) fn of<T: Serialize>(contents: &T) -> Self {
        let bytes = bincode::serde::encode_to_vec(contents, bincode::config::standard())
            .expect("commands hold only types that can be encoded");
        let digest = Sha256::digest(&bytes);
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(half)
    }
}
