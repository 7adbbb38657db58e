//! Records of queued and placed tasks.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel,
};

/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// The task waits for a worker.
    Queued,
    /// The start is proposed and counts as pending until the deadline.
    Proposed { deadline: MonotonicTime },
    /// The start is committed.
    Placed,
    /// The worker confirmed the start.
    Running { since: MonotonicTime },
}

/// A queued or placed task. `worker` and `size` are valid only if the phase is not `Queued`.
#[derive(Debug, Clone)]
pub(crate) struct TaskRecord {
    pub(crate) attempt: AttemptNumber,
    pub(crate) service: u32,
    pub(crate) team: u32,
    /// Index of the task's group in the queue.
    pub(crate) group: u32,
    pub(crate) worker: u32,
    pub(crate) class: TaskClass,
    pub(crate) urgent: bool,
    pub(crate) throttle: ThrottleLevel,
    /// When the throttle level is proposed again, and how many proposals remain.
    pub(crate) throttle_due: Option<(MonotonicTime, u8)>,
    pub(crate) phase: TaskPhase,
    pub(crate) declared: ResourceSize,
    pub(crate) size: ResourceSize,
    pub(crate) run_time: Option<Duration>,
    /// Run time covered by the last checkpoint.
    pub(crate) saved: Duration,
    pub(crate) queued_at: MonotonicTime,
    /// Time of the task's current entry in `evacuations`; other entries of the task are stale.
    pub(crate) evacuation_due: Option<MonotonicTime>,
    /// Until when a proposed eviction counts as pending.
    pub(crate) eviction_pending_until: Option<MonotonicTime>,
    /// Processor usage in the last report.
    pub(crate) cores: MilliCores,
    /// Memory usage in the last report.
    pub(crate) memory: MemoryBytes,
    pub(crate) since_checkpoint: Duration,
    pub(crate) measured_at: MonotonicTime,
}

impl TaskRecord {
    pub(crate) fn is_batch(&self) -> bool {
        self.class == TaskClass::Batch
    }

    pub(crate) fn has_allocation(&self) -> bool {
        self.phase != TaskPhase::Queued
    }

    pub(crate) fn is_committed(&self) -> bool {
        matches!(self.phase, TaskPhase::Placed | TaskPhase::Running { .. })
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, TaskPhase::Running { .. })
    }

    pub(crate) fn has_pending_eviction(&self, now: MonotonicTime) -> bool {
        self.eviction_pending_until.is_some_and(|until| now < until)
    }

    /// Returns the work that a stop without a new checkpoint would lose, in core seconds.
    pub(crate) fn unsaved_work(&self, now: MonotonicTime) -> f64 {
        let TaskPhase::Running { since } = self.phase else { return 0.0 };
        // The time since the last report counts as unsaved, because no checkpoint since then is known.
        let unreported = now.since(self.measured_at.max(since));
        (self.since_checkpoint + unreported).as_secs_f64() * f64::from(self.size.cores.get()) / 1000.0
    }
}

/// All queued and placed tasks.
pub(crate) type TaskTable = HashMap<TaskId, TaskRecord>;
