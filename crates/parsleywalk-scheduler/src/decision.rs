//! The decisions that the policy proposes.

use std::fmt::{self, Display, Formatter};

use parsleywalk_units::{AttemptNumber, ResourceSize, TaskId, ThrottleLevel, WorkerId};
use serde::{Deserialize, Serialize};

/// The reason for an eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvictionCause {
    /// Urgent batch work needs the capacity.
    UrgentWork,
    /// A service instance needs the capacity.
    ServiceInstance,
    /// The task slows a service on the same worker, and throttling did not help.
    Interference,
    /// The zone of the task was taken out of service.
    ZoneOut,
}

impl Display for EvictionCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::UrgentWork => "urgent work needs the capacity",
            Self::ServiceInstance => "a service instance needs the capacity",
            Self::Interference => "slows a service on the same worker",
            Self::ZoneOut => "its zone is out of service",
        })
    }
}

/// A proposal of the policy. A later call of `decide` repeats a proposal that was refused or lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyDecision {
    /// Start an attempt on a worker.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker on which the attempt starts.
        worker: WorkerId,
        /// The size to allocate, at least the declared size.
        size: ResourceSize,
    },
    /// Checkpoint and stop a batch attempt; the task is queued again.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The reason for the eviction.
        reason: EvictionCause,
    },
    /// Set the throttle level of a batch attempt.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The new throttle level.
        level: ThrottleLevel,
    },
    /// Start a new service instance and stop this one once the new instance runs.
    Replace {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// End a queued task as failed.
    Fail {
        /// The task.
        task: TaskId,
        /// The workers on which the task failed, as text for operators.
        reason: String,
    },
}
