//! Changes of attempts that a worker's report causes.

use parsleywalk_units::{AttemptNumber, TaskId, TimeSpan};
use serde::{Deserialize, Serialize};

/// A change of an attempt that a worker reported and that has to be replicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptChange {
    /// The worker has started the attempt.
    Running {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// The attempt has written a new checkpoint.
    ///
    /// Also accepted while the task is queued again because this attempt was declared lost.
    Checkpoint {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The reference from which a later attempt resumes.
        reference: String,
        /// The run time since the checkpoint was written.
        since: TimeSpan,
    },
    /// The attempt has ended.
    Ended {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The end that the worker reported.
        end: AttemptEnd,
        /// The reference of the last checkpoint, if there is one.
        checkpoint: Option<String>,
        /// The run time since the last checkpoint.
        since: TimeSpan,
        /// The result of a completed attempt, otherwise the reason.
        text: String,
    },
    /// The worker neither runs the attempt nor has its end to report.
    Absent {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The revision of the last response that the worker had handled when it sent the report.
        echo: u64,
    },
}

impl AttemptChange {
    /// Returns the task whose attempt changes.
    #[must_use]
    pub const fn task(&self) -> TaskId {
        match self {
            Self::Running { task, .. }
            | Self::Checkpoint { task, .. }
            | Self::Ended { task, .. }
            | Self::Absent { task, .. } => *task,
        }
    }

    /// Returns the number of the attempt that changes.
    #[must_use]
    pub const fn attempt(&self) -> AttemptNumber {
        match self {
            Self::Running { attempt, .. }
            | Self::Checkpoint { attempt, .. }
            | Self::Ended { attempt, .. }
            | Self::Absent { attempt, .. } => *attempt,
        }
    }
}

/// The end of an attempt, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// It completed with a result.
    Done,
    /// It failed.
    Failed,
    /// The worker stopped it, on order or because its lease expired.
    Stopped,
    /// The worker never started it.
    NotStarted,
}
