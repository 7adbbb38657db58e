//! The tasks that the policy knows.

use std::collections::HashMap;
use std::time::Duration;

use parsleywalk_units::{
    AttemptNumber, MemoryBytes, MilliCores, MonotonicTime, ResourceSize, TaskClass, TaskId, ThrottleLevel,
};

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// Waits for a worker.
    Queued,
    /// Its start is proposed and taken as pending until the deadline.
    Proposed { deadline: MonotonicTime },
    /// Its start is committed.
    Placed,
    /// Its worker confirmed the start.
    Running { since: MonotonicTime },
}

/// One task; `worker` and `size` hold only where the phase is not `Queued`.
#[derive(Debug, Clone)]
pub(crate) struct TaskRecord {
    pub(crate) attempt: AttemptNumber,
    pub(crate) service: u32,
    pub(crate) team: u32,
    pub(crate) group: u32,
    pub(crate) worker: u32,
    pub(crate) class: TaskClass,
    pub(crate) urgent: bool,
    pub(crate) throttle: ThrottleLevel,
    /// When its throttle level is proposed again, and how often still.
    pub(crate) throttle_due: Option<(MonotonicTime, u8)>,
    pub(crate) phase: TaskPhase,
    pub(crate) declared: ResourceSize,
    pub(crate) size: ResourceSize,
    pub(crate) run_time: Option<Duration>,
    pub(crate) saved: Duration,
    pub(crate) queued_at: MonotonicTime,
    /// The time of its entry in `moves`; other entries are left from an earlier attempt or an earlier zone change.
    pub(crate) evacuation_due: Option<MonotonicTime>,
    /// Until when a proposed eviction is taken as pending.
    pub(crate) eviction_pending_until: Option<MonotonicTime>,
    /// Usage of the last report.
    pub(crate) cores: MilliCores,
    pub(crate) memory: MemoryBytes,
    pub(crate) since_checkpoint: Duration,
    pub(crate) measured_at: MonotonicTime,
}

impl TaskRecord {
    pub(crate) fn is_batch(&self) -> bool {
        self.class == TaskClass::Batch
    }

    pub(crate) fn holds_capacity(&self) -> bool {
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

    /// The work that a stop without a new checkpoint would lose, in core seconds.
    pub(crate) fn unsaved_work(&self, now: MonotonicTime) -> f64 {
        let TaskPhase::Running { since } = self.phase else { return 0.0 };
        // Work since the last report counts as well, as no checkpoint since then is known.
        let unreported = now.since(self.measured_at.max(since));
        (self.since_checkpoint + unreported).as_secs_f64() * f64::from(self.size.cores.get()) / 1000.0
    }
}

/// All tasks that wait or hold capacity.
pub(crate) type TaskTable = HashMap<TaskId, TaskRecord>;
