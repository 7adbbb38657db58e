//! What the policy proposes.

use std::fmt::{self, Display, Formatter};

use parsleywalk_units::{AttemptNumber, ResourceSize, TaskId, ThrottleLevel, WorkerId};
use serde::{Deserialize, Serialize};

/// Why a task is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionCause {
    /// Urgent batch work needs the room.
    UrgentWork,
    /// A service instance needs the room.
    ServiceInstance,
    /// It slows a service and throttling did not help.
    Interference,
    /// Its zone was taken out of service.
    ZoneOut,
}

impl Display for EvictionCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::UrgentWork => "urgent work needs the room",
            Self::ServiceInstance => "a service instance needs the room",
            Self::Interference => "slows a service on the same worker",
            Self::ZoneOut => "its zone is out of service",
        })
    }
}

/// A proposal; one that is refused or lost is made again from a later call of `decide`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// Start an attempt.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where.
        worker: WorkerId,
        /// What to commit: at least the declared size.
        size: ResourceSize,
    },
    /// Checkpoint and stop an attempt; the task is queued again.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: EvictionCause,
    },
    /// Set how strongly an attempt is slowed.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The level.
        level: ThrottleLevel,
    },
    /// Start a new instance and stop this one once the new one runs.
    Replace {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// End a task as failed.
    Fail {
        /// The task.
        task: TaskId,
        /// Where it failed.
        reason: String,
    },
}
