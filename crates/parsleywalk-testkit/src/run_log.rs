//! The log of the attempts that fake workers have run.

use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use parsleywalk_api::ReportedPhase;
use parsleywalk_units::{AttemptNumber, Incarnation, TaskId, WorkerId};

use crate::{Result, TestkitError};

/// One run of an attempt on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// When it started, as time since the log was created.
    pub start: Duration,
    /// When it ended, as time since the log was created; `None` while it runs.
    pub end: Option<Duration>,
    /// The phase in which it ended; `None` while it runs and if its worker was killed.
    pub phase: Option<ReportedPhase>,
    /// The work contained in the checkpoint from which it started.
    pub resumed_from: Duration,
    /// The work done when it ended, including `resumed_from`.
    pub work: Duration,
}

impl Display for RunRecord {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "attempt {} on {}.{} from {:?} to {:?}",
            self.attempt, self.worker, self.incarnation, self.start, self.end
        )
    }
}

/// Records the attempts of several workers on a common clock. Clones share the records.
#[derive(Debug, Clone)]
pub struct RunLog {
    started_at: Instant,
    records: Arc<Mutex<Vec<RunRecord>>>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self::new()
    }
}

impl RunLog {
    /// Creates an empty log whose clock starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { started_at: Instant::now(), records: Arc::default() }
    }

    pub(crate) fn start(&self, record: RunRecord) -> usize {
        let mut records = self.lock();
        records.push(record);
        records.len() - 1
    }

    pub(crate) fn end(&self, index: usize, at: Instant, phase: Option<ReportedPhase>, work: Duration) {
        let mut records = self.lock();
        let record = &mut records[index];
        record.end = Some(self.elapsed(at).max(record.start));
        record.phase = phase;
        record.work = work;
    }

    pub(crate) fn elapsed(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started_at)
    }

    /// Returns all records in the order in which the attempts started.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Returns the records of one task in the order in which its attempts started.
    #[must_use]
    pub fn task_records(&self, task: TaskId) -> Vec<RunRecord> {
        self.lock().iter().filter(|record| record.task == task).cloned().collect()
    }

    /// Checks that no attempt ran twice, that no two attempts of a task overlapped and that none started after the task
    /// was done.
    ///
    /// # Errors
    ///
    /// Returns [`TestkitError::RanTwice`] for the first task that breaks one of these rules.
    pub fn check(&self) -> Result<()> {
        let mut records = self.records();
        records.sort_by_key(|record| (record.task, record.start));
        for group in records.chunk_by(|first, second| first.task == second.task) {
            for (index, first) in group.iter().enumerate() {
                if let Some(second) = group[index + 1..].iter().find(|second| first.conflicts_with(second)) {
                    return Err(TestkitError::RanTwice {
                        task: first.task,
                        first: first.to_string(),
                        second: second.to_string(),
                    });
                }
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunRecord {
    /// Returns true if a later run of the same task repeats this attempt, overlaps it or follows its success.
    fn conflicts_with(&self, later: &Self) -> bool {
        self.attempt == later.attempt
            || self.end.is_none_or(|end| end > later.start)
            || self.phase == Some(ReportedPhase::Done)
    }
}
