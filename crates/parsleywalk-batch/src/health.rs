//! Quarantine of workers whose runs fail, and of workers that crash again and again.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::failure_evidence::FailureEvidence;
use crate::{BatchState, JobId, TaskKey};

/// The number of consecutive failures after which a worker is quarantined.
const FAILURE_LIMIT: usize = 2;
/// A worker that has failed runs of this many jobs, and completed none meanwhile, is at fault whatever those jobs do on
/// other workers: several faulty workers make sound jobs fail on several workers.
const BROAD_FAILURE_JOBS: usize = 2;
/// The longest quarantine as a multiple of the first.
const MAX_QUARANTINE_FACTOR: u32 = 4;
/// The number of failures that are kept; more say nothing new.
const MAX_FAILURES: usize = 8;

/// A worker that has crashed this often in a row is quarantined: each crash loses its runs, and since the worker is empty
/// when it is back, it would be chosen first.
const CRASH_LIMIT: u32 = 2;
/// A life of a worker that lasted this long, with the time until its next one, ends the row of crashes.
const STABLE_LIFE: Duration = Duration::from_secs(10);

/// A run that failed or hung.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RunFailure {
    task: TaskKey,
    /// Whether its job has ended and was at fault.
    is_excused: bool,
}

/// The health of a worker as shown by its recent runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct WorkerHealth {
    /// The failed and hung runs since the last completed run, the newest last.
    failures: Vec<RunFailure>,
    quarantined_until: MonotonicTime,
    /// The number of quarantines since the last completed run.
    quarantines: u32,
    /// When the first report of this life arrived.
    alive_since: MonotonicTime,
    /// The number of lives in a row that ended with a crash before [`STABLE_LIFE`].
    crashes: u32,
    /// Whether the worker has to complete a run after a row of crashes.
    is_unproven: bool,
}

/// Methods that change the state.
impl WorkerHealth {
    /// Returns the health of a worker that has become known.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self { alive_since: now, ..Self::default() }
    }

    /// Returns the health of the worker's next life after a crash.
    pub(crate) fn after_crash(&self, now: MonotonicTime, quarantine: Duration) -> Self {
        let is_stable = now.since(self.alive_since) >= STABLE_LIFE;
        let crashes = if is_stable { 1 } else { self.crashes.saturating_add(1) };
        let next = Self { crashes, ..Self::new(now) };
        let Some(doublings) = crashes.checked_sub(CRASH_LIMIT) else { return next };
        Self { is_unproven: true, quarantined_until: now + quarantine * quarantine_factor(doublings), ..next }
    }

    /// Records a completed run.
    pub(crate) fn record_success(&mut self) {
        *self = Self { alive_since: self.alive_since, crashes: self.crashes, ..Self::default() };
    }

    /// Records a failed or hung run of a task, which the evidence covers already.
    pub(crate) fn record_failure(
        &mut self,
        now: MonotonicTime,
        task: TaskKey,
        quarantine: Duration,
        evidence: &FailureEvidence,
    ) {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(RunFailure { task, is_excused: false });
        if now >= self.quarantined_until && self.is_on_probation(evidence) {
            self.quarantined_until = now + quarantine * quarantine_factor(self.quarantines);
            self.quarantines += 1;
        }
    }

    /// Records a run that works, since it has outlived those of its step that failed: the worker does not fail everything.
    pub(crate) fn record_survivor(&mut self, evidence: &FailureEvidence) {
        self.failures.retain(|failure| failure.counts(evidence));
    }

    /// Excuses the failures of jobs that are final and were at fault, before the evidence about them is forgotten.
    pub(crate) fn prune(&mut self, state: &BatchState, evidence: &FailureEvidence) {
        for failure in &mut self.failures {
            failure.is_excused |= !state.is_active(failure.task.job) && evidence.is_at_fault(&failure.task);
        }
    }
}

/// Read-only methods.
impl WorkerHealth {
    /// Returns true if the worker gets runs only of jobs that find no other.
    pub(crate) fn is_quarantined(&self, now: MonotonicTime, evidence: &FailureEvidence) -> bool {
        now < self.quarantined_until && self.is_on_probation(evidence)
    }

    /// Returns true if the worker gets only one run at a time, to test whether it works again. Failures that are the
    /// fault of their task or step don't count, unless they are of several jobs.
    pub(crate) fn is_on_probation(&self, evidence: &FailureEvidence) -> bool {
        self.is_unproven || self.has_failed_often(evidence)
    }

    fn has_failed_often(&self, evidence: &FailureEvidence) -> bool {
        self.failures.len() >= FAILURE_LIMIT
            && (self.failed_jobs() >= BROAD_FAILURE_JOBS
                || self.failures.iter().filter(|failure| failure.counts(evidence)).count() >= FAILURE_LIMIT)
    }

    /// Returns the number of jobs of which runs have failed since the last completed run.
    fn failed_jobs(&self) -> usize {
        let mut jobs: Vec<JobId> = self.failures.iter().map(|failure| failure.task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.len()
    }

    /// Returns the number of crashes in a row.
    pub(crate) fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the number of consecutive failures, whoever is at fault.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failures.len()).unwrap_or(u32::MAX)
    }
}

impl RunFailure {
    /// Returns true if the failure may be the worker's fault.
    fn counts(&self, evidence: &FailureEvidence) -> bool {
        !self.is_excused && !evidence.is_at_fault(&self.task)
    }
}

/// Returns the length of a quarantine as a multiple of the first.
fn quarantine_factor(earlier: u32) -> u32 {
    (1 << earlier.min(MAX_QUARANTINE_FACTOR)).min(MAX_QUARANTINE_FACTOR)
}
