//! Records of tasks.

use std::sync::LazyLock;

use parsleywalk_api::TaskPhase;
use parsleywalk_units::{AttemptNumber, ResourceSize, ServiceName, StateTime, TaskId, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::{EvictionReason, JobNumber, WorkerNumber};

/// The maximum number of failure reasons that a task keeps; the oldest is dropped first.
const MAX_FAILURE_REASONS: usize = 4;
/// The maximum length of a failure reason; longer ones are truncated.
pub(crate) const MAX_REASON_BYTES: usize = 256;
/// The maximum length of a checkpoint's reference. A longer one is ignored, since a truncated one would be useless.
const MAX_CHECKPOINT_REFERENCE_BYTES: usize = 256;
/// The maximum length of a task's result; longer ones are truncated.
pub(crate) const MAX_RESULT_BYTES: usize = 4096;

/// The reason for which an attempt was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The scheduling policy evicted it.
    Evicted(EvictionReason),
    /// Its zone was taken out of service before the worker confirmed the start.
    ZoneOut,
    /// Its job was cancelled.
    Cancelled,
    /// Its service no longer needs it, or its replacement runs.
    Retired,
}

/// The job or service that a task belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOwner {
    /// A job, with its number.
    Job(JobNumber),
    /// A latency-critical service, of which the task is an instance.
    Service,
}

/// A live task.
///
/// Kept small, since 142,000 tasks run at the projected size. Data that only some tasks have is kept in `history`
/// and in the state's `successors`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    pub(crate) id: TaskId,
    /// Left out of snapshots, which name each service once for all its tasks.
    #[serde(skip, default = "unnamed_service")]
    pub(crate) service: ServiceName,
    pub(crate) owner: TaskOwner,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: TaskPhase,
    pub(crate) stop: Option<StopReason>,
    pub(crate) declared: ResourceSize,
    pub(crate) size: ResourceSize,
    pub(crate) worker: Option<WorkerNumber>,
    /// The revision at which the task entered its phase.
    pub(crate) entered: u64,
    /// The time at which the worker confirmed that the current attempt runs.
    pub(crate) running_since: StateTime,
    pub(crate) history: Option<Box<TaskHistory>>,
}

/// Returns the placeholder service of a decoded record, until the service is restored. All records share its
/// text, to save memory.
fn unnamed_service() -> ServiceName {
    static UNNAMED: LazyLock<ServiceName> = LazyLock::new(|| "-".parse().expect("the text is a valid name"));
    UNNAMED.clone()
}

/// The checkpoint and the failures of a task's attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskHistory {
    /// The reference of the last checkpoint.
    pub(crate) checkpoint: Option<Box<str>>,
    /// The run time that the last checkpoint preserves, over all attempts.
    pub(crate) saved: TimeSpan,
    /// The run time that was preserved when the current attempt started from its checkpoint.
    pub(crate) resumed: TimeSpan,
    pub(crate) failures: Option<Box<FailureLog>>,
}

/// The failed attempts of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FailureLog {
    /// The number of failed attempts.
    pub(crate) count: u32,
    /// The reasons of the last failures, oldest first.
    pub(crate) reasons: Vec<Box<str>>,
}

impl TaskRecord {
    pub(crate) fn new(id: TaskId, owner: TaskOwner, service: ServiceName, declared: ResourceSize) -> Self {
        Self {
            id,
            service,
            owner,
            attempt: AttemptNumber::new(0),
            phase: TaskPhase::Queued,
            stop: None,
            declared,
            size: declared,
            worker: None,
            entered: 0,
            running_since: StateTime::default(),
            history: None,
        }
    }

    /// Returns true if a reference is valid and differs from the recorded one.
    pub(crate) fn accepts_checkpoint(&self, reference: &str) -> bool {
        !reference.is_empty()
            && reference.len() <= MAX_CHECKPOINT_REFERENCE_BYTES
            && self.checkpoint() != Some(reference)
    }

    pub(crate) fn record_checkpoint(&mut self, now: StateTime, reference: &str, since: TimeSpan) {
        let run_millis = match self.phase {
            TaskPhase::Running | TaskPhase::Stopping if self.running_since != StateTime::default() => {
                u64::try_from(now.since(self.running_since).as_millis()).unwrap_or(u64::MAX)
            }
            _ => 0,
        };
        let history = self.history.get_or_insert_default();
        let saved = history.resumed.as_millis().saturating_add(run_millis.saturating_sub(since.as_millis()));
        history.saved = history.saved.max(TimeSpan::from_millis(saved));
        history.checkpoint = Some(reference.into());
    }

    pub(crate) fn record_failure(&mut self, reason: &str) {
        let log = self.history.get_or_insert_default().failures.get_or_insert_default();
        log.count = log.count.saturating_add(1);
        if log.reasons.len() == MAX_FAILURE_REASONS {
            log.reasons.remove(0);
        }
        log.reasons.push(truncate(reason, MAX_REASON_BYTES).into());
    }
}

/// Queries.
impl TaskRecord {
    /// Returns the task's id.
    #[must_use]
    pub const fn id(&self) -> TaskId {
        self.id
    }

    /// Returns the task's service.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the job or service that the task belongs to.
    #[must_use]
    pub const fn owner(&self) -> TaskOwner {
        self.owner
    }

    /// Returns the number of the current or last attempt; 0 before the first.
    #[must_use]
    pub const fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the task's phase.
    #[must_use]
    pub const fn phase(&self) -> TaskPhase {
        self.phase
    }

    /// Returns the reason for which the attempt has to stop; `None` unless the task is stopping.
    #[must_use]
    pub const fn stop_reason(&self) -> Option<StopReason> {
        self.stop
    }

    /// Returns the declared size, the least that a start may allocate.
    #[must_use]
    pub const fn declared(&self) -> ResourceSize {
        self.declared
    }

    /// Returns the resources allocated for the attempt; the declared size while the task is queued.
    #[must_use]
    pub const fn size(&self) -> ResourceSize {
        self.size
    }

    /// Returns the registration number of the worker that the task is placed on.
    #[must_use]
    pub const fn worker(&self) -> Option<WorkerNumber> {
        self.worker
    }

    /// Returns the revision at which the task entered its current phase.
    #[must_use]
    pub const fn entered(&self) -> u64 {
        self.entered
    }

    /// Returns the number of failed attempts.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failure_log().map_or(0, |log| log.count)
    }

    /// Returns the reasons of the last failures, oldest first.
    pub fn reasons(&self) -> impl Iterator<Item = &str> {
        self.failure_log().into_iter().flat_map(|log| &log.reasons).map(AsRef::as_ref)
    }

    fn failure_log(&self) -> Option<&FailureLog> {
        self.history.as_ref()?.failures.as_deref()
    }

    /// Returns the reference of the last checkpoint.
    #[must_use]
    pub fn checkpoint(&self) -> Option<&str> {
        self.history.as_ref()?.checkpoint.as_deref()
    }

    /// Returns the run time that the last checkpoint preserves.
    #[must_use]
    pub fn saved(&self) -> TimeSpan {
        self.history.as_ref().map_or(TimeSpan::default(), |history| history.saved)
    }

    /// Returns true if resources of a worker are allocated for the task.
    #[must_use]
    pub const fn holds_capacity(&self) -> bool {
        matches!(self.phase, TaskPhase::Starting | TaskPhase::Running | TaskPhase::Stopping)
    }
}

/// Returns the longest prefix of at most `limit` bytes that ends at a character boundary.
pub(crate) fn truncate(text: &str, limit: usize) -> &str {
    if text.len() <= limit {
        return text;
    }
    let end = (0..=limit).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    &text[..end]
}
