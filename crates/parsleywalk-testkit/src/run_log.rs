//! What ran where.

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
    /// When it started, since the log was made.
    pub start: Duration,
    /// When it ended; `None` while it runs.
    pub end: Option<Duration>,
    /// How it ended; `None` while it runs and after a kill of its worker.
    pub phase: Option<ReportedPhase>,
    /// The work that its checkpoint held at the start.
    pub resumed_from: Duration,
    /// The work held at the end, including `resumed_from`.
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

/// Records what several workers run, on one clock. Clones share the records.
#[derive(Debug, Clone)]
pub struct RunLog {
    base: Instant,
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
        Self { base: Instant::now(), records: Arc::default() }
    }

    pub(crate) fn start(&self, record: RunRecord) -> usize {
        let mut records = self.lock();
        records.push(record);
        records.len() - 1
    }

    pub(crate) fn end(&self, place: usize, at: Instant, phase: Option<ReportedPhase>, work: Duration) {
        let mut records = self.lock();
        let record = &mut records[place];
        record.end = Some(self.clock(at).max(record.start));
        record.phase = phase;
        record.work = work;
    }

    pub(crate) fn clock(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.base)
    }

    /// All records, in the order in which they started.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// The records of one task.
    #[must_use]
    pub fn of_task(&self, task: TaskId) -> Vec<RunRecord> {
        self.lock().iter().filter(|record| record.task == task).cloned().collect()
    }

    /// Checks that no attempt ran twice, that no two attempts of a task overlap and that no task was done twice.
    ///
    /// # Errors
    ///
    /// Names the first task that ran twice.
    pub fn check(&self) -> Result<()> {
        let mut records = self.records();
        records.sort_by_key(|record| (record.task, record.start));
        for group in records.chunk_by(|first, second| first.task == second.task) {
            for (place, first) in group.iter().enumerate() {
                if let Some(second) = group[place + 1..].iter().find(|second| first.conflicts_with(second)) {
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
    /// Tells whether this run and a later one of the same task break "one place at a time, each attempt once".
    fn conflicts_with(&self, later: &Self) -> bool {
        self.attempt == later.attempt
            || self.end.is_none_or(|end| end > later.start)
            || self.phase == Some(ReportedPhase::Done)
    }
}
