//! What a worker's report changes.

use parsleywalk_units::{AttemptNumber, TaskId, TimeSpan};
use serde::{Deserialize, Serialize};

/// One durable change of an attempt that a worker reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptChange {
    /// The attempt runs.
    Running {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The attempt has a new checkpoint; taken also for a task that waits after this attempt was given up as lost.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The reference of the checkpoint.
        reference: String,
        /// The work done since the checkpoint was taken.
        since: TimeSpan,
    },
    /// The attempt has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        end: AttemptEnd,
        /// The reference of the last checkpoint.
        checkpoint: Option<String>,
        /// The work done since the last checkpoint.
        since: TimeSpan,
        /// The result or the reason.
        text: String,
    },
    /// The worker does not have the attempt.
    Absent {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The revision that the report echoed.
        echo: u64,
    },
}

impl AttemptChange {
    /// Returns the task that changes.
    #[must_use]
    pub const fn task(&self) -> TaskId {
        match self {
            Self::Running { task, .. }
            | Self::Checkpoint { task, .. }
            | Self::Ended { task, .. }
            | Self::Absent { task, .. } => *task,
        }
    }

    /// Returns the attempt that changes.
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

/// How a worker reports the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// With a result.
    Done,
    /// Without a result.
    Failed,
    /// Stopped on order or because its lease ended.
    Stopped,
    /// It never started.
    NotStarted,
}
