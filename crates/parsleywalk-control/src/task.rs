//! Records of tasks.

use std::sync::LazyLock;

use parsleywalk_api::TaskPhase;
use parsleywalk_units::{AttemptNumber, ResourceSize, ServiceName, StateTime, TaskId, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::{EvictionReason, JobNumber, WorkerNumber};

/// The reasons of failure that a task keeps; older ones are dropped.
const FAILURE_LIMIT: usize = 4;
/// The longest reason of failure that is kept, in bytes.
pub(crate) const REASON_LIMIT: usize = 256;
/// The longest reference of a checkpoint, in bytes; a longer one is ignored, since a part of it would be of no use.
const CHECKPOINT_LIMIT: usize = 256;
/// The longest result of a task, in bytes; what is beyond is cut off.
pub(crate) const RESULT_LIMIT: usize = 4096;

/// Why an attempt was ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReason {
    /// The policy evicted it.
    Evicted(EvictionReason),
    /// It had not started when its zone was taken out of service.
    ZoneOut,
    /// Its job was cancelled.
    Cancelled,
    /// Its service needs it no longer, or its replacement runs.
    Retired,
}

/// Who needs a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOwner {
    /// A job.
    Job(JobNumber),
    /// The number of instances that a latency-critical service declares.
    Service,
}

/// A task that has not ended.
///
/// Kept small, since there is one for each of the 142,000 tasks that run at the projected size; what only some tasks
/// have is kept apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    pub(crate) id: TaskId,
    /// Not in a snapshot, which names the service once for all its tasks.
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
    /// When the present attempt was confirmed to run.
    pub(crate) running_since: StateTime,
    pub(crate) history: Option<Box<TaskHistory>>,
}

/// The service of a decoded record until the snapshot's own names are filled in; shared, so that it costs no memory.
fn unnamed_service() -> ServiceName {
    static UNNAMED: LazyLock<ServiceName> = LazyLock::new(|| "-".parse().expect("the text is a valid name"));
    UNNAMED.clone()
}

/// What the earlier attempts of a task left behind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskHistory {
    /// The reference of the last checkpoint.
    pub(crate) checkpoint: Option<Box<str>>,
    /// The work that the checkpoint saved, over all attempts.
    pub(crate) saved: TimeSpan,
    /// The work that the checkpoint from which the present attempt resumed had saved.
    pub(crate) resumed: TimeSpan,
    pub(crate) failures: Option<Box<FailureLog>>,
}

/// The failed attempts of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FailureLog {
    /// The number of failed attempts.
    pub(crate) count: u32,
    /// The last reasons of failure, oldest first.
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

    /// Tells whether a reference is another one than the recorded.
    pub(crate) fn takes_checkpoint(&self, reference: &str) -> bool {
        !reference.is_empty() && reference.len() <= CHECKPOINT_LIMIT && self.checkpoint() != Some(reference)
    }

    pub(crate) fn record_checkpoint(&mut self, now: StateTime, reference: &str, since: TimeSpan) {
        let worked = match self.phase {
            TaskPhase::Running | TaskPhase::Stopping if self.running_since != StateTime::default() => {
                u64::try_from(now.since(self.running_since).as_millis()).unwrap_or(u64::MAX)
            }
            _ => 0,
        };
        let history = self.history.get_or_insert_default();
        let saved = history.resumed.as_millis().saturating_add(worked.saturating_sub(since.as_millis()));
        history.saved = history.saved.max(TimeSpan::from_millis(saved));
        history.checkpoint = Some(reference.into());
    }

    pub(crate) fn record_failure(&mut self, reason: &str) {
        let log = self.history.get_or_insert_default().failures.get_or_insert_default();
        log.count = log.count.saturating_add(1);
        if log.reasons.len() == FAILURE_LIMIT {
            log.reasons.remove(0);
        }
        log.reasons.push(shorten(reason, REASON_LIMIT).into());
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

    /// Returns who needs the task.
    #[must_use]
    pub const fn owner(&self) -> TaskOwner {
        self.owner
    }

    /// Returns the present or last attempt; 0 before the first.
    #[must_use]
    pub const fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns where the task stands.
    #[must_use]
    pub const fn phase(&self) -> TaskPhase {
        self.phase
    }

    /// Returns why the attempt was ordered to stop.
    #[must_use]
    pub const fn stop_reason(&self) -> Option<StopReason> {
        self.stop
    }

    /// Returns the declared size.
    #[must_use]
    pub const fn declared(&self) -> ResourceSize {
        self.declared
    }

    /// Returns what is committed, or the declared size while the task is queued.
    #[must_use]
    pub const fn size(&self) -> ResourceSize {
        self.size
    }

    /// Returns the registration of the worker that holds the task.
    #[must_use]
    pub const fn worker(&self) -> Option<WorkerNumber> {
        self.worker
    }

    /// Returns the revision at which the task entered its phase.
    #[must_use]
    pub const fn entered(&self) -> u64 {
        self.entered
    }

    /// Returns the number of failed attempts.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failure_log().map_or(0, |log| log.count)
    }

    /// Returns the last reasons of failure, oldest first.
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

    /// Returns the work that the last checkpoint saved.
    #[must_use]
    pub fn saved(&self) -> TimeSpan {
        self.history.as_ref().map_or(TimeSpan::default(), |history| history.saved)
    }

    /// Tells whether the task takes up capacity on a worker.
    #[must_use]
    pub const fn holds_capacity(&self) -> bool {
        matches!(self.phase, TaskPhase::Starting | TaskPhase::Running | TaskPhase::Stopping)
    }
}

/// Returns the longest prefix of at most `limit` bytes.
pub(crate) fn shorten(text: &str, limit: usize) -> &str {
    if text.len() <= limit {
        return text;
    }
    let end = (0..=limit).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    &text[..end]
}
